"""
Idle daemons
~~~~~~~~~~~~

``python -m bench.idledaemon`` starts a cell of real daemons against the
stand-ins of the key-value service and the host list on 127.0.0.1 and prints
resident memory and CPU time of each daemon while no request arrives. The
targets of the host list do not exist, so each poll of one is refused.
"""

import asyncio
import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import aiohttp
import defopt

from bergamotstream import records
from demo import fleet, processes

START_LIMIT_S = 30
SETTLE_S = 8
MEASURED_S = 15
KIB_PER_MIB = 1_024
IMPORTS = (
    'import pathlib, sys; import {module};'
    'sys.stdout.write(pathlib.Path("/proc/self/status").read_text())'
)


def resident_mib(status: str) -> float:
    """Return VmRSS of the text of a ``/proc/<pid>/status`` file."""
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KIB_PER_MIB
    raise ValueError('no VmRSS')


def cpu_s(pid: int) -> float:
    """Return user and system time of a process."""
    fields = _read(pid, 'stat').rpartition(')')[2].split()
    # Fields 14 and 15 of the file, counted from the third.
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def imports_mib(module: str) -> float:
    """Return the resident memory of a process that only imports a module."""
    finished = subprocess.run(
        [sys.executable, '-c', IMPORTS.format(module=module)],
        capture_output=True,
        text=True,
        check=True,
        timeout=START_LIMIT_S,
    )
    return resident_mib(finished.stdout)


def plan(hosts: int, targets: int) -> fleet.Fleet:
    """Return a fleet of one cell whose targets do not listen."""
    spare = processes.free_addresses(2 * hosts + targets + 2)
    zones = fleet.ZONES
    return fleet.Fleet(
        kv=spare.pop(),
        host_list=spare.pop(),
        weight_store='',
        hosts=tuple(
            records.HostInfo(
                f'host-{number}',
                zones[number % len(zones)],
                spare.pop(),
                spare.pop(),
            )
            for number in range(hosts)
        ),
        engines=tuple(
            records.TargetInfo(
                f'engine-{number}',
                fleet.MODEL_SERVICE,
                zones[number % len(zones)],
                spare.pop(),
            )
            for number in range(targets)
        ),
        plains=(),
    )


async def measure_cell(planned: fleet.Fleet, folder: pathlib.Path) -> None:
    """Start everything, wait, measure and stop everything."""
    children = processes.Processes(folder)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(children.stop_all)
        async with asyncio.timeout(START_LIMIT_S):
            await _start(planned, children, folder)
        await asyncio.sleep(SETTLE_S)
        pids = [children.pid(host.name) for host in planned.hosts]
        before = [cpu_s(pid) for pid in pids]
        begin = time.monotonic()
        await asyncio.sleep(MEASURED_S)
        spent_s = time.monotonic() - begin
        for pid, earlier_s in zip(pids, before, strict=True):
            core_percent = (cpu_s(pid) - earlier_s) / spent_s * 100
            resident = resident_mib(_read(pid, 'status'))
            print(f'daemon: {resident:.1f} MiB, {core_percent:.2f}% of a core')


def main(*, hosts: int = 8, targets: int = 60) -> None:
    """Print the figures of idle daemons.

    :param hosts: Daemons of the cell.
    :param targets: Targets of the host list.
    """
    print(f'imports of aiohttp: {imports_mib("aiohttp"):.1f} MiB')
    print(f'imports of pycapnp: {imports_mib("capnp"):.1f} MiB')
    print(f'empty interpreter: {imports_mib("sys"):.1f} MiB')
    print(
        f'imports of the daemon: {imports_mib("bergamotstream.daemon"):.1f} MiB'
    )
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure_cell(plan(hosts, targets), pathlib.Path(folder)))


async def _start(
    planned: fleet.Fleet, children: processes.Processes, folder: pathlib.Path
) -> None:
    await children.start('kv', 'standins.kv', {'address': planned.kv})
    await children.start(
        'hostlist',
        'standins.hostlist',
        {'address': planned.host_list, 'lag-ms': fleet.HOST_LIST_LAG_MS},
    )
    async with aiohttp.ClientSession() as http:
        await fleet.wait_until_listening(http, planned.kv, '/stats')
        await fleet.wait_until_listening(http, planned.host_list, '/hosts')
        listed = {
            'hosts': [host._asdict() for host in planned.hosts],
            'targets': [target._asdict() for target in planned.engines],
        }
        url = f'http://{planned.host_list}/hosts'
        async with http.post(url, json=listed) as response:
            response.raise_for_status()
        await fleet.start_hosts(planned, children, folder, http)


def _read(pid: int, name: str) -> str:
    return pathlib.Path(f'/proc/{pid}/{name}').read_text()


if __name__ == '__main__':
    defopt.run(main)
