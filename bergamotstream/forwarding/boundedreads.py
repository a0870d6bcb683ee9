"""
Bounded reads
~~~~~~~~~~~~~

Bounds how many bytes of one connection are parsed before the tasks of others
get a turn. The parser calls back for each chunk of a body, which may hold a
single byte.
"""

import asyncio
from typing import Any, Final

from aiohttp import web

MAX_READ_BYTES: Final = 16_384


def bound(transport: asyncio.BaseTransport) -> None:
    """Bound the reads of a connection."""
    # Attribute of the transports of asyncio, without a public setter.
    transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]


class BoundedServer(web.Server):
    """Server whose connections are read in bounded parts."""

    def connection_made(
        self,
        handler: web.RequestHandler,
        transport: asyncio.Transport,
        **options: Any,
    ) -> None:
        """Bound the reads; called by the handler of a connection."""
        bound(transport)
        super().connection_made(handler, transport, **options)
