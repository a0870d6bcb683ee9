"""
Paced reads
~~~~~~~~~~~

Bounds the time for which the bytes of one connection are parsed before the
tasks of others get a turn. The parser calls back for each chunk of a body, so
the time depends on what the bytes are: a chunk may hold a single byte.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import StreamReader, web

from bergamotstream import clock
from bergamotstream.forwarding import answerlimits

MIN_READ_BYTES: Final = 1_024
# Many connections may send without end; others wait for a turn of each of them.
MAX_READ_BYTES: Final = 16_384
# Bounds of the head of a request that hold whatever the operators allow, as a
# head is kept until its end. They apply their own limit to heads that have come.
MAX_HEAD_BYTES: Final = 2_097_152
MAX_HEAD_LINES: Final = 65_536
# Of a message between hosts, which holds a caller's head in Base64.
MAX_PEER_HEAD_BYTES: Final = 2 * MAX_HEAD_BYTES
HEAD_TOO_LARGE: Final = 431
# Bytes on the connection for a byte of a body in chunks of one, with room for
# extensions. Trailers count as what surrounds a body.
MAX_CHUNK_OVERHEAD: Final = 16
UNREADABLE: Final = 'The bytes are no request.'
MAX_SHOWN: Final = 200
# A read that takes this long is followed by one of half the size.
LONG_TURN_MS: Final = 2
INTERNAL_ERROR: Final = 500
_CLOCK: Final = clock.Clock()

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
UnreadableRecorder = Callable[[int, str, str], None]


class Pace:
    """The size of the next read of one connection."""

    def __init__(self) -> None:
        """Wait for the connection."""
        self._transport: Any = None
        self._started_ms = 0

    def attach(self, transport: asyncio.BaseTransport) -> None:
        """Bound the reads of ``transport``."""
        self._transport = transport
        # An attribute of asyncio's transports, which have no setter for it.
        self._transport.max_size = MAX_READ_BYTES

    def start(self) -> None:
        """Record that the bytes of a read are about to be parsed."""
        self._started_ms = _CLOCK.now_ms()

    def end(self, read_bytes: int) -> None:
        """Choose the size of the next read by the time that this one took."""
        turn_ms = _CLOCK.now_ms() - self._started_ms
        transport = self._transport
        if turn_ms >= LONG_TURN_MS:
            transport.max_size = max(transport.max_size // 2, MIN_READ_BYTES)
        elif not turn_ms and read_bytes >= transport.max_size:
            transport.max_size = min(transport.max_size * 2, MAX_READ_BYTES)


class PacedHandler(web.RequestHandler):
    """Connection of a caller or a peer, with paced reads."""

    __slots__ = ('_body_bytes', '_head_bytes', '_pace', '_payload')

    # Received since the last head, while its body is open.
    _body_bytes: int
    # Received of a head that is not complete.
    _head_bytes: int
    _pace: Pace
    # The body of the request whose head came last.
    _payload: StreamReader | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the reads; called by the event loop."""
        self._pace = Pace()
        self._pace.attach(transport)
        self._body_bytes = 0
        self._head_bytes = 0
        self._payload = None
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what was read; called by the event loop."""
        self._pace.start()
        requests = self._request_count
        super().data_received(data)
        if self._request_count > requests:
            self._payload = self._messages[-1][1]
            self._head_bytes = 0
            self._body_bytes = 0
        elif self._payload is None or self._payload.is_eof():
            self._head_bytes += len(data)
        else:
            self._body_bytes += len(data)
        if self._is_endless():
            self._end_head()
        self._pace.end(len(data))

    def _is_endless(self) -> bool:
        """Tell whether a head, or what surrounds a body, is too long."""
        body_bytes = self._payload.total_bytes if self._payload else 0
        allowed = answerlimits.MAX_FRAMING_BYTES
        allowed += body_bytes * MAX_CHUNK_OVERHEAD
        manager = self._manager
        longest = MAX_HEAD_BYTES
        if isinstance(manager, PacedServer):
            longest = manager.max_head_bytes
        return self._head_bytes > longest or self._body_bytes > allowed

    def _end_head(self) -> None:
        """Close a connection that sends a head or framing without end."""
        self._record_unreadable(
            HEAD_TOO_LARGE,
            f'{self._head_bytes} bytes of a head, {self._body_bytes} with a body',
        )
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Record and answer bytes that are no request, or a fault.

        The library would write the bytes, which may hold a key, to the log.
        """
        if status >= INTERNAL_ERROR:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError('an answer has begun')
        fault = (message or '').partition('\n')[0][:MAX_SHOWN]
        self._record_unreadable(status, f'{type(exc).__name__}: {fault}')
        response = web.Response(status=status, text=UNREADABLE)
        response.force_close()
        return response

    def _record_unreadable(self, status: int, fault: str) -> None:
        manager, transport = self._manager, self.transport
        if isinstance(manager, PacedServer) and transport is not None:
            caller = transport.get_extra_info('peername')
            manager.record_unreadable(status, fault, str(caller))


class PacedServer(web.Server):
    """Server whose connections have paced reads."""

    def __init__(
        self,
        handler: Handler,
        record_unreadable: UnreadableRecorder,
        max_head_bytes: int,
        **options: Any,
    ) -> None:
        """Call ``record_unreadable`` with status, fault and caller."""
        super().__init__(handler, **options)
        self.record_unreadable = record_unreadable
        self.max_head_bytes = max_head_bytes

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return PacedHandler(self, loop=self._loop, **self._kwargs)
