"""
HTTP bodies
~~~~~~~~~~~

Reads the bodies of HTTP requests within a time limit.
"""

import asyncio
from typing import Any

from aiohttp import web

from bergamotstream import errors, outsidedata

UPLOAD_TIMEOUT_S = 10


async def read_body(request: web.Request) -> bytes:
    """Return a body; raises ``invalid_request`` after 10 s."""
    try:
        async with asyncio.timeout(UPLOAD_TIMEOUT_S):
            return await request.read()
    except TimeoutError:
        raise errors.InvalidRequest('body: not received within 10 s') from None


def parse_object(received: bytes) -> dict[str, Any]:
    """Return a JSON object; raises ``invalid_request`` for anything else."""
    try:
        body = outsidedata.decode_json(received)
    except ValueError as fault:
        raise errors.InvalidRequest(f'body: not JSON: {fault}') from None
    if not isinstance(body, dict):
        raise errors.InvalidRequest('body: not a JSON object')
    return body
