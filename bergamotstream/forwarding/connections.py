"""
Connections
~~~~~~~~~~~

HTTP sessions to targets and to the store. TCP keep-alive and user timeouts
detect connections whose peer has vanished, since no answer may ever arrive on
them.
"""

import asyncio
import functools
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
# Bytes received before the head of an answer is complete. The HTTP library skips
# blank lines before a head, so its own limits do not count them.
MAX_HEAD_BYTES: Final = 1_048_576
# Statuses of heads that an answer's own head follows.
INTERIM_STATUSES: Final = frozenset(range(100, 200)) - {101}


class ConnectionLost(aiohttp.ClientError):
    """A connection ended before an answer; the request may have run."""


class LimitedHeadHandler(aiohttp.client_proto.ResponseHandler):
    """Aborts a connection that sends too much before the head of an answer."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait for no answer yet."""
        super().__init__(loop)
        self._is_head_missing = False
        self._head_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Start to receive the answer to a request; called by aiohttp."""
        self._is_head_missing = True
        self._head_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Note that a head is complete; called by the parser."""
        self._is_head_missing = data[0].code in INTERIM_STATUSES
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Count the bytes until the head is complete."""
        if self._is_head_missing:
            self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.set_exception(
                aiohttp.ClientConnectionError('no head within the limit')
            )
            self.abort()
            return
        super().data_received(data)


class TargetConnector(aiohttp.TCPConnector):
    """Connector whose connections limit the head of an answer."""

    def __init__(self, **options: Any) -> None:
        """Take the options of ``aiohttp.TCPConnector``."""
        super().__init__(limit=0, socket_factory=_open_socket, **options)
        factory: Any = functools.partial(LimitedHeadHandler, loop=self._loop)
        self._factory = factory


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


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again; raises ``ConnectionLost``.

    aiohttp repeats requests by methods such as GET or PUT after these errors.
    The first send may have run, and no limit of this project counts the second.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        # No connection was opened, which aiohttp does not try again.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as lost:
        raise ConnectionLost(repr(lost)) from lost


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
        pool = TargetConnector(keepalive_timeout=POOL_IDLE_TIMEOUT_S)
    else:
        pool = TargetConnector(force_close=True)
    return aiohttp.ClientSession(
        connector=pool,
        middlewares=(_send_once,),
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
