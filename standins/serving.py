"""
Serving
~~~~~~~

HTTP listener of a stand-in that can crash: all connections break, new ones
are refused for a while, then it listens again.
"""

import asyncio
import json
from typing import Any, NamedTuple

from aiohttp import web

MS_PER_S = 1_000
CLOSE_LIMIT_S = 0.1


class Address(NamedTuple):
    """Host IP and port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises :class:`ValueError` for anything else."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


async def read_json(request: web.Request) -> dict[str, Any]:
    """Return the JSON object of a body; answers status 400 otherwise."""
    try:
        body = json.loads(await request.read() or b'{}')
    except ValueError as fault:
        raise web.HTTPBadRequest(text=f'not JSON: {fault}') from fault
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text='not a JSON object')
    return body


class Listener:
    """Listens at one address until closed."""

    def __init__(self, app: web.Application, address: Address) -> None:
        """Serve ``app`` at ``address``."""
        # Handlers of silenced streams end with their connection.
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_LIMIT_S,
        )
        self._address = address
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Listen."""
        await self._runner.setup()
        await self._open()

    async def close(self) -> None:
        """Break all connections and listen no more."""
        self._abort_connections()
        await self._runner.cleanup()

    async def restart(self, down_ms: int) -> None:
        """Crash, refuse connections for ``down_ms`` and listen again."""
        if self._site is None:
            return
        site = self._site
        self._site = None
        await site.stop()
        self._abort_connections()
        await asyncio.sleep(down_ms / MS_PER_S)
        await self._open()

    def _abort_connections(self) -> None:
        server = self._runner.server
        for connection in list(server.connections if server else ()):
            if connection.transport is not None:
                connection.transport.abort()

    async def _open(self) -> None:
        self._site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            reuse_address=True,
        )
        await self._site.start()


async def serve_forever(app: web.Application, address: str) -> None:
    """Serve ``app`` at ``address`` until the process is ended."""
    listener = Listener(app, parse_address(address))
    await listener.start()
    await asyncio.Event().wait()
