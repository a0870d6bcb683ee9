"""
Connections
~~~~~~~~~~~

HTTP sessions to targets and to the store. TCP keep-alive and user timeouts
detect connections whose peer has vanished, since no answer may ever arrive on
them.
"""

import asyncio
import socket
from typing import Any, Final

import aiohttp

# Time without acknowledgement after which a connection has failed, long enough
# for the retransmission of a lost packet.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1_500
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
CONNECT_TIMEOUT_S: Final = 0.6
# Targets close idle connections without notice after a few seconds.
POOL_IDLE_TIMEOUT_S: Final = 2.0
# Longest header line of a target's answer.
MAX_FIELD_BYTES: Final = 32_768


class TrackedResponse(aiohttp.ClientResponse):
    """Response that knows how its connection has ended."""

    # Done when the connection is lost, with an exception after a reset.
    connection_lost: asyncio.Future[None] | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Track the connection, then receive the head of the response.

        aiohttp forgets how a connection ended if nothing asked before, and the
        end may arrive together with the head.
        """
        if connection.protocol is not None:
            self.connection_lost = connection.protocol.closed
        if self.connection_lost is not None:
            self.connection_lost.remove_done_callback(_retrieve_exception)
            self.connection_lost.add_done_callback(_retrieve_exception)
        return await super().start(connection)


def _retrieve_exception(connection_lost: asyncio.Future[None]) -> None:
    """Keep asyncio from logging a reset that no response waits for."""
    if not connection_lost.cancelled():
        connection_lost.exception()


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)  # noqa: WPS425 - positional in the socket API
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, setting in options:
        opened.setsockopt(level, option, setting)
    return opened


def open_session(*, reuse: bool) -> aiohttp.ClientSession:
    """Return a session; without ``reuse`` each request opens a connection."""
    if reuse:
        pool = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=POOL_IDLE_TIMEOUT_S,
            socket_factory=_open_socket,
        )
    else:
        pool = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_open_socket
        )
    return aiohttp.ClientSession(
        connector=pool,
        response_class=TrackedResponse,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        max_line_size=MAX_FIELD_BYTES,
        max_field_size=MAX_FIELD_BYTES,
    )
