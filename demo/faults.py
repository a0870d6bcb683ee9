"""
Faults
~~~~~~

Breaks engines and kills a host while the load runs.
"""

import asyncio
import random

import aiohttp

from demo import fleet, processes

SEED = 3
INTERVAL_S = 1.5
KINDS = ('crash', 'silent', 'cold')
# A host is killed after this many faults of engines.
HOST_AFTER = 5


async def inject(
    planned: fleet.Fleet,
    children: processes.Processes,
    http: aiohttp.ClientSession,
) -> None:
    """Inject seeded faults until cancelled."""
    source = random.Random(SEED)
    count = 0
    while True:
        await asyncio.sleep(INTERVAL_S)
        engine = source.choice(planned.engines)
        kind = source.choice(KINDS)
        print(f'  fault: {engine.name} {kind}')
        await _break(engine.address, kind, http)
        count += 1
        if count == HOST_AFTER:
            # The first host stays; callers ask it for addresses.
            victim = planned.hosts[-1].name
            print(f'  fault: {victim} is killed')
            children.kill(victim)


async def _break(address: str, kind: str, http: aiohttp.ClientSession) -> None:
    url = f'http://{address}/faults'
    try:
        async with http.post(url, json={'kind': kind}) as response:
            await response.read()
    except aiohttp.ClientError:
        # It is still restarting after the last fault.
        return
