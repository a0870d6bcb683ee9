"""
Demonstration
~~~~~~~~~~~~~

Starts platform services, targets and entry hosts as separate processes on
loopback, sends a seeded load and checks every answer.
"""

import asyncio
import collections
import contextlib
import pathlib
import sys
import tempfile
import time

import aiohttp
import defopt

from demo import caller, faults, fleet, operators, processes, report, workload

START_LIMIT_S = 30


class StartTimedOut(TimeoutError):
    """The hosts were not ready in time."""


async def run_load(
    planned: fleet.Fleet,
    http: aiohttp.ClientSession,
    load: list[workload.PlannedRequest],
) -> list[caller.Outcome]:
    """Send all requests at their times and return their outcomes."""
    callers = caller.Caller(http, planned.hosts[0].caller_address)
    began_s = time.monotonic()
    tasks = [
        callers.run_at(request, began_s + request.at_s) for request in load
    ]
    return list(await asyncio.gather(*tasks))


async def count_executions(
    planned: fleet.Fleet, http: aiohttp.ClientSession
) -> collections.Counter[str]:
    """Return how often each key was executed by the plain service."""
    executions: collections.Counter[str] = collections.Counter()
    counted = await asyncio.gather(
        *(read_executions(plain.address, http) for plain in planned.plains)
    )
    for executions_by_key in counted:
        executions.update(executions_by_key)
    return executions


async def read_executions(
    address: str, http: aiohttp.ClientSession
) -> dict[str, int]:
    """Return the executions of one plain target by key."""
    async with http.get(f'http://{address}/stats') as response:
        return dict((await response.json())['executions'])


def check_executions(
    outcomes: list[caller.Outcome], executions: collections.Counter[str]
) -> list[str]:
    """Return the keys that ran twice, or ran although refused."""
    wrong = []
    for outcome in outcomes:
        count = executions[outcome.key] if outcome.key else 0
        wanted = {'answered': {1}, 'refused': {0}}.get(outcome.state, {0, 1})
        if outcome.key and count not in wanted:
            wrong.append(f'{outcome.key}: {outcome.state}, ran {count} times')
    return wrong


async def start(
    planned: fleet.Fleet,
    children: processes.Processes,
    folder: pathlib.Path,
    http: aiohttp.ClientSession,
) -> None:
    """Start everything; raises ``StartTimedOut``."""
    try:
        async with asyncio.timeout(START_LIMIT_S):
            await fleet.start_platform(planned, children, http)
            await fleet.start_hosts(planned, children, folder, http)
            await operators.create_bundle(http, planned)
            await operators.wait_until_ready(http, planned)
    except TimeoutError as late:
        raise StartTimedOut(f'not ready within {START_LIMIT_S} s') from late


async def demonstrate(
    requests: int,
    folder: pathlib.Path,
    children: processes.Processes,
    *,
    with_faults: bool,
) -> bool:
    """Run everything; return whether every answer was whole and its own."""
    planned = fleet.plan_fleet()
    unlimited = aiohttp.TCPConnector(limit=0)
    async with contextlib.AsyncExitStack() as cleanup:
        http = await cleanup.enter_async_context(
            aiohttp.ClientSession(connector=unlimited)
        )
        await start(planned, children, folder, http)
        print(f'{len(planned.hosts)} hosts are ready; {requests} requests')
        tokens = workload.OUTPUT_TOKENS
        if with_faults:
            tokens = workload.LONG_OUTPUT_TOKENS
            injecting = asyncio.create_task(
                faults.inject(planned, children, http)
            )
            cleanup.callback(injecting.cancel)
        load = workload.plan_load(requests, tokens)
        outcomes = await run_load(planned, http, load)
        executions = await count_executions(planned, http)
    report.print_report(outcomes)
    wrong = check_executions(outcomes, executions)
    wrong.extend(f'{name} has ended' for name in children.ended())
    for line in wrong:
        print(f'  {line}')
    names = [host.name for host in planned.hosts]
    statuses = await children.stop(children.running(names))
    print(f'graceful stop of the hosts: exit statuses {statuses}')
    return not any(statuses.values()) and not wrong and _all_whole(outcomes)


def _all_whole(outcomes: list[caller.Outcome]) -> bool:
    states = {outcome.state for outcome in outcomes}
    return 'answered' in states and not states & {'failed', 'wrong'}


async def supervise(
    requests: int, limit_s: int, folder: pathlib.Path, *, with_faults: bool
) -> bool:
    """Stop all processes whatever happens."""
    children = processes.Processes(folder)
    try:
        async with asyncio.timeout(limit_s):
            return await demonstrate(
                requests, folder, children, with_faults=with_faults
            )
    except TimeoutError as late:
        print(late if str(late) else f'not finished within {limit_s} s')
        for name in children.ended():
            print(f'{name} has ended:\n{children.log_tail(name)}')
        return False
    finally:
        await children.stop_all()


def main(
    *,
    requests: int = 200,
    limit_s: int = 300,
    logs: str = '',
    with_faults: bool = False,
) -> None:
    """Run the demonstration.

    :param requests: count of requests to send
    :param limit_s: time limit of the whole demonstration in s
    :param with_faults: break engines and kill a host meanwhile
    :param logs: folder for settings and logs; a temporary one by default
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(logs or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        began_s = time.monotonic()
        whole = asyncio.run(
            supervise(requests, limit_s, folder, with_faults=with_faults)
        )
        print(f'finished in {time.monotonic() - began_s:.1f} s')
    sys.exit(0 if whole else 1)


if __name__ == '__main__':
    defopt.run(main)
