"""
Request times
~~~~~~~~~~~~~

``python -m tests.requesttimes --before /work/tree-of-an-older-commit`` sends
small requests to a host process of another work tree and to one of this tree,
in alternating runs against a stand-in target, and prints the time of a request
and the processor time of the host for each.
"""

import asyncio
import contextlib
import pathlib
import statistics
import tempfile
import time
from typing import NamedTuple

import aiohttp
import defopt

from bench import idledaemon
from tests import hostprocesskit
from tests import platformkit as kit

CONNECTIONS = 4
WARM_UP = 200
US_PER_S = 1_000_000


class Times(NamedTuple):
    """Microseconds of one run."""

    median_us: float
    p95_us: float
    cpu_us: float


@contextlib.asynccontextmanager
async def running_host(root):
    """Yield a host process of a work tree beside a target."""

    async def respond(request, writer):
        writer.write(kit.answer(request))

    async with contextlib.AsyncExitStack() as stack:
        system = kit.System()
        await system.store.start()
        stack.push_async_callback(system.store.stop)
        await system.store.put('op/config', kit.configuration_document())
        target = await stack.enter_async_context(kit.raw_target(respond))
        await system.store.put(
            'servers/t1', kit.target_document(target.address, slots=40)
        )
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        host = hostprocesskit.HostProcess(
            pathlib.Path(folder),
            'h1',
            '{0}:{1}'.format(*system.store._listener._address),
        )
        host.start(root)
        stack.callback(host.process.wait)
        stack.callback(host.process.kill)
        await system.until_ready(
            kit.make_settings()._replace(readiness_address=host.readiness)
        )
        yield host


async def send(session, url, count):
    """Send requests one after the other; return the seconds of each."""
    headers = {
        'Host': kit.HOST_NAME,
        'Api-Key': kit.KEY,
        kit.ATTEMPT: 'a1',
        'Bergamotstream-Deadline-Ms': '5000',
    }
    taken = []
    for _ in range(count):
        started = time.perf_counter()
        async with session.post(url, data=b'x', headers=headers) as response:
            await response.read()
            if response.status != 200:
                raise ValueError(f'status {response.status}')
        taken.append(time.perf_counter() - started)
    return taken


async def run(root, requests):
    """Measure the host of one work tree."""
    async with contextlib.AsyncExitStack() as stack:
        host = await stack.enter_async_context(running_host(root))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        url = f'http://{host.caller}/lookup/1'
        await send(session, url, WARM_UP)
        started_s = idledaemon.cpu_s(host.process.pid)
        parts = await asyncio.gather(
            *(
                send(session, url, requests // CONNECTIONS)
                for _ in range(CONNECTIONS)
            )
        )
        cpu_s = idledaemon.cpu_s(host.process.pid) - started_s
    taken = [seconds * US_PER_S for part in parts for seconds in part]
    return Times(
        statistics.median(taken),
        statistics.quantiles(taken, n=20)[-1],
        cpu_s * US_PER_S / len(taken),
    )


def show(name, times):
    """Print one line."""
    figures = ' '.join(
        f'{field} {measured:.2f}' for field, measured in times._asdict().items()
    )
    print(name, figures, flush=True)


def main(
    *, before: pathlib.Path, pairs: int = 8, requests: int = 4_000
) -> None:
    """Compare two work trees.

    :param before: work tree of the other commit
    :param pairs: runs of each tree
    :param requests: requests of each run
    """
    ratios = []
    for number in range(pairs):
        # The order alternates, so that a load that rises favours neither.
        trees = [before, hostprocesskit.ROOT][:: 1 if number % 2 else -1]
        by_tree = {tree: asyncio.run(run(tree, requests)) for tree in trees}
        earlier, later = by_tree[before], by_tree[hostprocesskit.ROOT]
        show('before', earlier)
        show('after ', later)
        ratios.append([new / old for new, old in zip(later, earlier)])
    medians = [statistics.median(column) for column in zip(*ratios)]
    show('median of after / before', Times(*medians))


if __name__ == '__main__':
    defopt.run(main)
