"""
Orders
~~~~~~

Orders to targets: memory is reserved for a request and given back.
"""

import json
from typing import Final

import aiohttp

from bergamotstream.forwarding import fleetrecords
from bergamotstream.platform import protocol

# An order that is not answered by then may still be carried out.
ORDER_TIMEOUT_S: Final = 0.4
OK: Final = 200


class OrderUnanswered(ConnectionError):
    """No answer came; the order may be carried out later."""


async def reserve(
    session: aiohttp.ClientSession,
    target: fleetrecords.TargetEntry,
    ticket: str,
    tokens: int,
    hold_ms: int,
) -> bool:
    """Reserve or renew memory; False if the target has too little.

    Raises :class:`OrderUnanswered`.
    """
    order = {
        'op': 'reserve',
        'id': ticket,
        'tokens': tokens,
        'hold_ms': hold_ms,
    }
    return await _send(session, target, order)


async def release(
    session: aiohttp.ClientSession,
    target: fleetrecords.TargetEntry,
    ticket: str,
) -> bool:
    """Give memory back; raises :class:`OrderUnanswered`."""
    return await _send(session, target, {'op': 'release', 'id': ticket})


async def _send(
    session: aiohttp.ClientSession,
    target: fleetrecords.TargetEntry,
    order: dict[str, object],
) -> bool:
    try:
        async with session.post(
            f'http://{target.address}{protocol.ORDER_PATH}',
            data=json.dumps(order).encode(),
            headers={
                'Content-Type': 'application/json',
                protocol.EXPECT_INSTANCE: target.target_id,
            },
            timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
        ) as answer:
            return answer.status == OK
    except (aiohttp.ClientError, TimeoutError, OSError) as fault:
        raise OrderUnanswered(repr(fault)) from fault
