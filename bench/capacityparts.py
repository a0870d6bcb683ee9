"""
Parts of the control load
~~~~~~~~~~~~~~~~~~~~~~~~~

Costs that the shell pays outside the core: reading the host list, and packing
and reading the configuration that one host fetches from another.
"""

import functools
import json
import time
from collections.abc import Callable
from typing import Any

import pydantic

from bergamotstream import bundleformat, hostlists, records
from bench import capacityfit

REPEATS = 5
_lists = pydantic.TypeAdapter(hostlists.HostList)
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
    contents = [_host_list(size) for size in LIST_SIZES]
    columns = {
        'bytes': [float(len(content)) for content in contents],
        'read ms': [
            cpu_ms(functools.partial(_read_list, content))
            for content in contents
        ],
    }
    print(capacityfit.table('entries of the host list', LIST_SIZES, columns))


def _read_list(content: bytes) -> hostlists.HostList:
    return _lists.validate_json(content)


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
    bundles = [_bundle(size) for size in WORKSPACES]
    packed = [bundleformat.encode_bundle(bundle) for bundle in bundles]
    columns = {
        'bytes': [float(len(content)) for content in packed],
        'pack ms': [
            cpu_ms(functools.partial(bundleformat.encode_bundle, bundle))
            for bundle in bundles
        ],
        'read ms': [
            cpu_ms(
                functools.partial(bundleformat.decode_bundle, content, bundle)
            )
            for content, bundle in zip(packed, bundles, strict=True)
        ],
    }
    print(capacityfit.table('workspaces of a bundle', WORKSPACES, columns))


def _bundle(workspaces: int) -> records.Bundle:
    names = [f'workspace-{number:05}' for number in range(workspaces)]
    entries = {
        name: records.WorkspaceConfig(name, 1, 1.0, 64 + index % 100, 100_000)
        for index, name in enumerate(names)
    }
    services = {'model-1': records.ServiceConfig('model-1', 'model')}
    return records.Bundle(1, entries, services)
