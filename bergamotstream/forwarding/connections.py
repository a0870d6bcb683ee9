"""
Connections
~~~~~~~~~~~

HTTP sessions to targets and to the store. TCP keep-alive and user timeouts
detect connections whose peer has vanished, since no answer may ever arrive on
them.
"""

import asyncio
import functools
import select
import socket
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeAlias

import aiohttp

from bergamotstream import checkedconnections
from bergamotstream.forwarding import answerlimits, callerlimits, pacedreads
from bergamotstream.platform import protocol

# Time without acknowledgement after which a connection has failed: to the store,
# long enough for the retransmission of a lost packet; to targets and peers, also
# for a sound one that is silent for some seconds. A request that may run only
# once cannot be sent elsewhere instead.
STORE_UNACKNOWLEDGED_MS: Final = 1_500
TARGET_UNACKNOWLEDGED_MS: Final = 5_000
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
CONNECT_TIMEOUT_S: Final = 0.6
# Targets close idle connections without notice after a few seconds.
POOL_IDLE_TIMEOUT_S: Final = 2.0
# Answers to other requests that are skipped while a request waits for its own,
# and the length of their bodies, which the HTTP library buffers.
MAX_SKIPPED: Final = 8
MAX_SKIPPED_BYTES: Final = 131_072
# Longest pause for bytes that are costly to parse. Sound answers share the
# pauses of hostile ones, and targets cut off what stays unread for seconds.
MAX_PAUSE_S: Final = 0.5


class ConnectionLost(aiohttp.ClientError):
    """A connection ended before an answer; the request may have run."""


class SkippedAnswer(NamedTuple):
    """An answer to another request than the one that waits."""

    # ``IP:port`` of the target.
    address: str
    attempt_id: str
    foreign_id: str
    status: int


SkipRecorder: TypeAlias = Callable[[SkippedAnswer], None]


class TargetHandler(checkedconnections.CheckedHandler):
    """Receives one answer to each request.

    Skips answers that name another request, which a target may send before
    the own one. Aborts a connection that sends too much before the head of an
    answer, or anything while no request waits: no request can be told what
    that answers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        record_invalid: checkedconnections.InvalidRecorder,
        record_skipped: SkipRecorder,
        parsing: callerlimits.ParseBudget,
    ) -> None:
        """Wait for no answer yet; ``parsing`` is shared by connections."""
        super().__init__(loop, record_invalid)
        self._parsing = parsing
        # Whether no bytes are read for the sake of other connections.
        self._is_throttled = False
        self._record_skipped = record_skipped
        # True once a request was to be sent on the connection.
        self.is_used = False
        # Of the head and all that comes after it.
        self._received_bytes = 0
        # Up to the read that completed the head, without its part of the body.
        self._head_bytes = 0
        self._body: Any = None
        self._attempt_id = ''
        self._pace = pacedreads.Pace()
        self._skipped_bodies: list[Any] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound each read; called by the event loop."""
        self._pace.attach(transport)
        super().connection_made(transport)

    def expect_answer(self, attempt_id: str) -> bool:
        """Prepare for a request; False if the connection must not be used.

        It has ended, is paused, or has sent something before the request.
        Without an ``attempt_id`` no answer is skipped.
        """
        self.is_used = True
        self._attempt_id = attempt_id
        self._skipped_bodies.clear()
        is_read = self.is_connected() and not self._is_throttled
        return is_read and not self._has_input()

    def set_response_params(self, **options: Any) -> None:
        """Start to receive the answer to a request; called by aiohttp."""
        self._received_bytes = 0
        self._head_bytes = 0
        self._body = None
        super().set_response_params(**options)

    def accepts(self, head: Any, body: Any) -> bool:
        """Tell whether a valid head belongs to the request that waits."""
        if self._is_foreign(head):
            self._skipped_bodies.append(body)
            self._record_skip(head)
            return False
        self._body = body
        return True

    def data_received(self, data: bytes) -> None:
        """Receive bytes, in a turn whose length bounds the next one."""
        if not data:
            # The library parses on, for each chunk of a body that its reader
            # takes, what a read has counted before.
            super().data_received(data)
            return
        if self._is_idle():
            self.abort()
            return
        self._received_bytes += len(data)
        self._pace.start()
        try:
            self._check_head()
            super().data_received(data)
            self._check_answer()
        except answerlimits.LimitExceeded as exceeded:
            self._fail(exceeded)
        self._throttle(self._pace.end(len(data)))

    def _throttle(self, turn_ms: int) -> None:
        """Leave the processor to others after bytes that took long."""
        delay_s = pacedreads.pause_s(self._parsing, turn_ms)
        if delay_s and self.transport is not None:
            self._is_throttled = True
            self._pause_transport_reading()
            self._loop.call_later(
                min(delay_s, MAX_PAUSE_S), self._end_throttling
            )

    def _end_throttling(self) -> None:
        self._is_throttled = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._is_throttled:
            super()._resume_transport_reading()

    def _check_head(self) -> None:
        """Raise ``LimitExceeded`` for too many bytes without a head."""
        if self._is_head_missing:
            answerlimits.check(
                'head_bytes', self._received_bytes, answerlimits.MAX_HEAD_BYTES
            )

    def _check_answer(self) -> None:
        """Raise ``LimitExceeded`` for bytes that are not the answer's."""
        if self._is_head_missing:
            self._check_skipped()
        elif self._body is not None and not self._body.is_eof():
            body_bytes = self._body.total_bytes
            other_bytes = self._received_bytes - body_bytes
            self._head_bytes = self._head_bytes or other_bytes
            answerlimits.check(
                'framing_bytes',
                other_bytes - self._head_bytes,
                answerlimits.MAX_FRAMING_BYTES + body_bytes,
            )

    def _fail(self, exceeded: answerlimits.LimitExceeded) -> None:
        if self._is_head_missing:
            self.fail(exceeded)
        else:
            self._body.set_exception(exceeded)
            self.abort()

    def _is_foreign(self, head: Any) -> bool:
        """Tell whether a head names other requests only."""
        echoed = head.headers.getall(protocol.ATTEMPT_ID, ())
        return bool(
            self._attempt_id and echoed and self._attempt_id not in echoed
        )

    def _record_skip(self, head: Any) -> None:
        self._record_skipped(
            SkippedAnswer(
                self.peer_address(),
                self._attempt_id,
                head.headers[protocol.ATTEMPT_ID],
                head.code,
            )
        )

    def _check_skipped(self) -> None:
        """Raise ``LimitExceeded`` for too many answers to other requests."""
        answerlimits.check(
            'skipped_answers', len(self._skipped_bodies), MAX_SKIPPED
        )
        answerlimits.check(
            'skipped_bytes',
            sum(body.total_bytes for body in self._skipped_bodies),
            MAX_SKIPPED_BYTES,
        )

    def _is_idle(self) -> bool:
        """Tell whether no request waits for an answer or the rest of one."""
        if self._is_head_missing:
            return False
        return self._body is None or self._body.is_eof()

    def _has_input(self) -> bool:
        """Tell whether the socket holds unread bytes or its end."""
        if self.transport is None:
            return True
        opened = self.transport.get_extra_info('socket')
        poller = select.poll()
        poller.register(opened.fileno(), select.POLLIN)
        return bool(poller.poll(0))


class TargetConnector(aiohttp.TCPConnector):
    """Connector whose connections take each answer for one request only."""

    def __init__(
        self,
        record_invalid: checkedconnections.InvalidRecorder,
        record_skipped: SkipRecorder,
        unacknowledged_ms: int,
        **options: Any,
    ) -> None:
        """Take the options of ``aiohttp.TCPConnector``."""
        super().__init__(
            limit=0,
            socket_factory=functools.partial(
                _open_socket, unacknowledged_ms=unacknowledged_ms
            ),
            **options,
        )
        factory: Any = functools.partial(
            TargetHandler,
            loop=self._loop,
            record_invalid=record_invalid,
            record_skipped=record_skipped,
            parsing=callerlimits.ParseBudget(),
        )
        self._factory = factory

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection on which nothing has arrived.

        Raises ``ClientConnectorError`` if not even a new one is silent.
        """
        while True:
            connection = await super().connect(  # noqa: WPS476 - in turn
                req, traces, timeout
            )
            handler: Any = connection.protocol
            is_new = not handler.is_used
            if handler.expect_answer(req.headers.get(protocol.ATTEMPT_ID, '')):
                return connection
            connection.close()
            if is_new:
                raise aiohttp.ClientConnectorError(
                    req.connection_key,
                    ConnectionAbortedError('not silent before a request'),
                )


class TrackedResponse(aiohttp.ClientResponse):
    """Response that knows how its connection has ended.

    Its connection is used again only after ``read`` or ``release``, and not at
    the end of its body, as the answer has yet to be checked.
    """

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

    def _response_eof(self) -> None:
        """Keep the connection at the end of the body; called by aiohttp."""


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


def _open_socket(
    address: tuple[Any, ...], unacknowledged_ms: int
) -> socket.socket:
    family, kind, protocol = address[:3]
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)  # noqa: WPS425 - positional in the socket API
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, setting in options:
        opened.setsockopt(level, option, setting)
    return opened


def _ignore(recorded: NamedTuple) -> None:
    """Record nothing."""


def open_session(
    *,
    reuse: bool,
    record_invalid: checkedconnections.InvalidRecorder = _ignore,
    record_skipped: SkipRecorder = _ignore,
    unacknowledged_ms: int = TARGET_UNACKNOWLEDGED_MS,
) -> aiohttp.ClientSession:
    """Return a session; without ``reuse`` each request opens a connection.

    ``record_invalid`` is called for each answer whose head is invalid, and
    ``record_skipped`` with each answer to another request.
    """
    if reuse:
        options: dict[str, Any] = {'keepalive_timeout': POOL_IDLE_TIMEOUT_S}
    else:
        options = {'force_close': True}
    pool = TargetConnector(
        record_invalid, record_skipped, unacknowledged_ms, **options
    )
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
        max_line_size=answerlimits.MAX_HEAD_BYTES,
        max_field_size=answerlimits.MAX_HEAD_BYTES,
        max_headers=pacedreads.MAX_HEAD_LINES,
    )
