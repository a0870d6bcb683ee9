"""
Request reads
~~~~~~~~~~~~~

Reads the requests of callers within the operators' limits. A body that is too
long is refused before the rest of it comes, and one that stops short of its
end when the time of its request is over.
"""

import asyncio
from typing import Final

from aiohttp import web

from bergamotstream import errors
from bergamotstream.forwarding import callerlimits, fleetrecords

MS_PER_S: Final = 1_000


async def read_body(
    request: web.BaseRequest,
    limits: fleetrecords.CallerLimits | None,
    timeout_ms: int,
) -> bytes:
    """Return a body; raises ``BodyTooLarge`` or ``BodyTimeout``."""
    _check_length(request.content_length or 0, limits)
    received = bytearray()
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            async for chunk in request.content.iter_any():
                received += chunk
                _check_length(len(received), limits)
    except TimeoutError as late:
        raise errors.BodyTimeout(
            f'{len(received)} bytes in {timeout_ms} ms'
        ) from late
    return bytes(received)


def _check_length(
    length: int, limits: fleetrecords.CallerLimits | None
) -> None:
    if limits and length > limits.max_body_bytes:
        raise errors.BodyTooLarge(
            f'{length} bytes, limit {limits.max_body_bytes}'
        )


def check_headers(
    request: web.BaseRequest, limits: fleetrecords.CallerLimits
) -> None:
    """Raise ``HeadersTooLarge`` above the operators' limit."""
    size = callerlimits.count_header_bytes(request.raw_headers)
    # The limit is for the headers; a path may have the same length beside them.
    size = max(size, len(request.raw_path))
    if size > limits.max_header_bytes:
        raise errors.HeadersTooLarge(
            f'{size} bytes, limit {limits.max_header_bytes}'
        )
