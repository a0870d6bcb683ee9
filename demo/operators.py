"""
Operators
~~~~~~~~~

Creates the first bundle as two operators would: one drafts it, another signs
it, then it is rolled out. Waits until all hosts can serve.
"""

import asyncio
from typing import Any

import aiohttp

from demo import fleet

AUTHOR = 'ana'
SIGNER = 'bruno'
POLL_S = 0.1

# Priority, weight, concurrent requests and tokens/s; the largest workspace
# has the lowest priority.
WORKSPACES = {
    'panaderia': (0, 1.0, 40, 2_000_000),
    'clinica': (1, 1.0, 40, 2_000_000),
    'archivo': (2, 4.0, 80, 8_000_000),
}


def first_changes() -> list[dict[str, Any]]:
    """Return the changes that create workspaces and services."""
    changes = [
        {
            'path': f'workspaces/{name}',
            'value': {
                'priority': priority,
                'weight': weight,
                'max_concurrent': concurrent,
                'tokens_per_s': tokens,
            },
        }
        for name, (priority, weight, concurrent, tokens) in WORKSPACES.items()
    ]
    model = {
        'kind': 'model',
        'memory_tokens': fleet.ENGINE_MEMORY_TOKENS,
        'warm_after': fleet.WARM_AFTER,
        'prefill_tokens_per_s': fleet.PREFILL_TOKENS_PER_S,
        'decode_ms_per_token': fleet.STEP_MS,
    }
    plain = {'kind': 'plain', 'memory_tokens': 1_000_000, 'warm_after': 0}
    changes.append({'path': f'services/{fleet.MODEL_SERVICE}', 'value': model})
    changes.append({'path': f'services/{fleet.PLAIN_SERVICE}', 'value': plain})
    return changes


async def command(
    http: aiohttp.ClientSession, address: str, name: str, **arguments: Any
) -> dict[str, Any]:
    """Send a command; raises ``RuntimeError`` if the host refuses it."""
    body = {'command': name, 'arguments': arguments}
    async with http.post(f'http://{address}/admin', json=body) as response:
        answer = await response.json()
    if answer['code']:
        raise RuntimeError(f'{name}: {answer}')
    return dict(answer['body'])


async def create_bundle(
    http: aiohttp.ClientSession, planned: fleet.Fleet
) -> None:
    """Draft, sign and roll out the first bundle at three hosts."""
    addresses = [host.caller_address for host in planned.hosts]
    draft = await _repeat_until_done(
        lambda: command(
            http,
            addresses[0],
            'config.draft',
            author=AUTHOR,
            base_version=0,
            changes=first_changes(),
        )
    )
    number = draft['draft']
    # Any host takes any command; the key-value service orders them.
    middle = addresses[len(addresses) // 2]
    await command(http, middle, 'config.sign', draft=number, signer=SIGNER)
    last = addresses[-1]
    await command(http, last, 'config.roll', draft=number, operator=AUTHOR)


async def wait_until_ready(
    http: aiohttp.ClientSession, planned: fleet.Fleet
) -> None:
    """Wait until each host knows owners of all targets and a complete cell.

    A host that starts over a second before the others forms a cell of its own
    at first. Until they have joined, no other host can take over from it.
    """
    count = len(planned.engines) + len(planned.plains)
    names = {host.name for host in planned.hosts}
    addresses = [host.caller_address for host in planned.hosts]
    await asyncio.gather(
        *(_wait_for_owners(http, address, count) for address in addresses),
        *(_wait_for_members(http, address, names) for address in addresses),
    )


async def _wait_for_owners(
    http: aiohttp.ClientSession, address: str, count: int
) -> None:
    owned = 0
    while owned < count:
        await asyncio.sleep(POLL_S)
        listed = await command(http, address, 'targets.show')
        owned = sum(bool(target['owner']) for target in listed['targets'])


async def _wait_for_members(
    http: aiohttp.ClientSession, address: str, names: set[str]
) -> None:
    members: set[str] = set()
    while members != names:
        await asyncio.sleep(POLL_S)
        listed = await command(http, address, 'hosts.show')
        members = {host['name'] for host in listed['hosts'] if host['member']}


async def _repeat_until_done(attempt: Any) -> dict[str, Any]:
    while True:
        try:
            return dict(await attempt())
        except RuntimeError as fault:
            # The key-value service may still be starting.
            if 'kv_unavailable' not in str(fault):
                raise
        await asyncio.sleep(POLL_S)
