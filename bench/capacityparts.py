"""
Parts of the control load
~~~~~~~~~~~~~~~~~~~~~~~~~

Costs that the shell pays outside the core: reading the host list, and packing
and reading the configuration that one host fetches from another.
"""

import json
import time
from collections.abc import Callable
from typing import Any

from bergamotstream import bundleformat, hostlists, records
from bench import capacityfit

REPEATS = 5
NS_PER_MS = 1_000_000
LIST_SIZES = (68, 680, 3_400, 13_600)
WORKSPACES = (10, 100, 1_000, 13_000)


def measure() -> None:
    """Print the tables."""
    _measure_host_list()
    _measure_bundles()


def cpu_ms(call: Callable[[], Any]) -> float:
    """Return the shortest CPU time of a call in milliseconds."""
    spent = []
    for _ in range(REPEATS):
        begin = time.process_time_ns()
        call()
        spent.append(time.process_time_ns() - begin)
    return min(spent) / NS_PER_MS


def _measure_host_list() -> None:
    sizes_bytes = []
    read_ms = []
    for size in LIST_SIZES:
        content = _host_list(size)
        sizes_bytes.append(float(len(content)))
        read_ms.append(cpu_ms(lambda: _read_list(content)))  # noqa: B023
    columns = {'bytes': sizes_bytes, 'read ms': read_ms}
    print(capacityfit.table('entries of the host list', LIST_SIZES, columns))


def _read_list(content: bytes) -> hostlists.HostList:
    return hostlists._lists.validate_json(content)  # noqa: SLF001


def _host_list(size: int) -> bytes:
    """Return a list of ``size`` entries, 2 of 17 of them hosts."""
    hosts = size * 2 // 17
    listed = hostlists.HostList(
        tuple(
            records.HostInfo(
                f'host-{number:04}', 'zone-a', '10.0.0.1:1', '10.0.0.1:2'
            )
            for number in range(hosts)
        ),
        tuple(
            records.TargetInfo(
                f'target-{number:05}', 'model-1', 'zone-a', '10.0.0.1:3'
            )
            for number in range(size - hosts)
        ),
    )
    plain = {
        'hosts': [entry._asdict() for entry in listed.hosts],
        'targets': [entry._asdict() for entry in listed.targets],
    }
    return json.dumps(plain).encode()


def _measure_bundles() -> None:
    packed_bytes = []
    pack_ms = []
    read_ms = []
    for size in WORKSPACES:
        bundle = _bundle(size)
        content = bundleformat.encode_bundle(bundle)
        packed_bytes.append(float(len(content)))
        pack_ms.append(cpu_ms(lambda: bundleformat.encode_bundle(bundle)))  # noqa: B023
        read_ms.append(
            cpu_ms(lambda: bundleformat.decode_bundle(content, bundle))  # noqa: B023
        )
    columns = {'bytes': packed_bytes, 'pack ms': pack_ms, 'read ms': read_ms}
    print(capacityfit.table('workspaces of a bundle', WORKSPACES, columns))


def _bundle(workspaces: int) -> records.Bundle:
    names = [f'workspace-{number:05}' for number in range(workspaces)]
    entries = {
        name: records.WorkspaceConfig(name, 1, 1.0, 64 + index % 100, 100_000)
        for index, name in enumerate(names)
    }
    services = {'model-1': records.ServiceConfig('model-1', 'model')}
    return records.Bundle(1, entries, services)
