"""
Body reads
~~~~~~~~~~

Reads bodies over links of any rate: a read ends when nothing arrives for some
time, however long the whole body takes. A limit on the whole would throw away
what has come and ask for it again, which keeps a full link full.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import aiohttp

# Long enough for two retransmissions of a lost packet.
IDLE_TIMEOUT_S: Final = 1.0


async def parts_of(
    response: aiohttp.ClientResponse, limit: asyncio.Timeout
) -> AsyncIterator[bytes]:
    """Yield the parts of a body as they arrive.

    ``limit`` is the caller's open time limit, which starts again with the head
    and with each part.
    """
    _restart(limit)
    async for part in response.content.iter_any():
        _restart(limit)
        yield part


async def read(
    response: aiohttp.ClientResponse, limit: asyncio.Timeout
) -> bytes:
    """Return a whole body; see :func:`parts_of`."""
    return b''.join([part async for part in parts_of(response, limit)])


def _restart(limit: asyncio.Timeout) -> None:
    limit.reschedule(asyncio.get_running_loop().time() + IDLE_TIMEOUT_S)
