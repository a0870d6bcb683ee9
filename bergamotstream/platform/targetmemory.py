"""
Target memory
~~~~~~~~~~~~~

Orders to targets that reserve memory for a request and release it.
"""

import json
from typing import Final

import aiohttp

from bergamotstream.forwarding import fleetrecords
from bergamotstream.platform import protocol

# A target may still execute an order that times out.
ORDER_TIMEOUT_S: Final = 0.4
OK: Final = 200


class OrderUnanswered(ConnectionError):
    """The target did not answer; it may still execute the order."""


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
    """Release memory; raises :class:`OrderUnanswered`."""
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
            if protocol.ATTEMPT_ID in answer.headers:
                raise OrderUnanswered('answer to a request')
            return answer.status == OK
    except (aiohttp.ClientError, TimeoutError, OSError) as fault:
        raise OrderUnanswered(repr(fault)) from fault
