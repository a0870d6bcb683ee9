"""
Helpers for failure tests
~~~~~~~~~~~~~~~~~~~~~~~~~

The fleet of the demonstration as real processes, callers that use a given
order of hosts, and signals to single processes.
"""

import asyncio
import contextlib
import time

import aiohttp

from demo import __main__ as demonstration
from demo import caller, fleet, operators, processes, workload

LIMIT_S = 90
DEADLINE_MS = 20_000
POLL_S = 0.05


class RunningFleet:
    """A fleet that serves; ``children`` signals its processes."""

    def __init__(self, planned, children, http):
        """Keep what the tests use."""
        self.planned = planned
        self.children = children
        self.http = http

    def caller(self, *first):
        """Return a caller that uses the hosts with these indexes first."""
        order = [*first, *(each for each in range(3) if each not in first)]
        return OrderedCaller(
            self.http, [self.planned.hosts[each] for each in order]
        )

    async def command(self, host, name):
        """Run an operators' command at a host given by its index."""
        address = self.planned.hosts[host].caller_address
        return await operators.command(self.http, address, name)

    async def wait_for_open(self, host, count):
        """Wait until a host has so many open requests."""
        address = self.planned.hosts[host].caller_address
        while True:
            url = f'http://{address}/healthz'
            async with self.http.get(url) as response:
                if (await response.json())['open_requests'] >= count:
                    return
            await asyncio.sleep(POLL_S)

    async def execution_faults(self, outcomes):
        """Return keys that ran twice or ran although refused."""
        executions = await demonstration.count_executions(
            self.planned, self.http
        )
        return demonstration.check_executions(outcomes, executions)

    @contextlib.asynccontextmanager
    async def paused(self, name):
        """Pause a process; it goes on at the end of the block."""
        self.children.pause(name)
        try:
            yield
        finally:
            self.children.resume(name)


class OrderedCaller(caller.Caller):
    """A caller that was told the hosts in a given order."""

    def __init__(self, http, hosts):
        """Keep every URL that was used, and what each request received."""
        super().__init__(http, hosts[0].caller_address)
        self.urls = []
        self.received = []
        self.addresses = [host.caller_address for host in hosts]

    async def _hosts(self, workspace):
        return self.addresses

    async def _send(self, url, body, collected):
        self.urls.append(url)
        if collected not in self.received:
            self.received.append(collected)
        await super()._send(url, body, collected)

    async def wait_for_first_token(self):
        """Wait until a request has received a part of its answer."""
        while not any(each.tokens for each in self.received):
            await asyncio.sleep(POLL_S)

    async def run_timed(self, request):
        """Return the outcome and how long it took in ms."""
        began_s = time.monotonic()
        outcome = await self.run(request)
        return outcome, (time.monotonic() - began_s) * caller.MS_PER_S


@contextlib.asynccontextmanager
async def running_fleet(folder):
    """Start three hosts and everything they need; stop all at the end."""
    planned = fleet.plan_fleet()
    children = processes.Processes(folder)
    unlimited = aiohttp.TCPConnector(limit=0)
    try:
        async with (
            asyncio.timeout(LIMIT_S),
            aiohttp.ClientSession(connector=unlimited) as http,
        ):
            await fleet.start_platform(planned, children, http)
            await fleet.start_hosts(planned, children, folder, http)
            await operators.create_bundle(http, planned)
            await operators.wait_until_ready(http, planned)
            yield RunningFleet(planned, children, http)
    finally:
        await children.stop_all()


def request(number, kind, tokens=1):
    """Return a request of a kind of the demonstration's load."""
    plain = kind in {'lookup', 'transfer'}
    body = {
        'workspace': 'clinica',
        'service': fleet.PLAIN_SERVICE if plain else fleet.MODEL_SERVICE,
        'prompt': f'request {number} of a failure test',
        'max_output_tokens': tokens,
        'deadline_ms': DEADLINE_MS,
    }
    return workload.PlannedRequest(number, 0, kind, body)
