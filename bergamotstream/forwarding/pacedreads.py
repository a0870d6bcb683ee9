"""
Paced reads
~~~~~~~~~~~

Bounds the time for which the bytes of one connection are parsed before the
tasks of others get a turn. The parser calls back for each chunk of a body, so
the time depends on what the bytes are: a chunk may hold a single byte.
"""

import asyncio
import collections
import contextlib
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol

from aiohttp import StreamReader, web

from bergamotstream import clock, errors
from bergamotstream.forwarding import answerlimits, callerlimits, heldbytes

MIN_READ_BYTES: Final = 1_024
# Of a connection whose bytes are not known yet: 340 chunks of one byte, which
# take some ms.
FIRST_READ_BYTES: Final = 2_048
# Many connections may send without end; others wait for a turn of each of them.
MAX_READ_BYTES: Final = 16_384
# Bounds of the head of a request that hold whatever the operators allow, as a
# head is kept until its end.
MAX_HEAD_BYTES: Final = 2_097_152
MAX_HEAD_LINES: Final = 65_536
# Of a message between hosts, which holds a caller's head in Base64.
MAX_PEER_HEAD_BYTES: Final = 2 * MAX_HEAD_BYTES
HEAD_TOO_LARGE: Final = 431
HEAD_REFUSAL: Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
# A path may be as long as the headers. The rest is for the request line and for
# what is read before the end of a head is seen.
MAX_HEAD_PARTS: Final = 2
HEAD_MARGIN_BYTES: Final = 32_768
REFUSAL_LINGER_S: Final = 1.0
# Retry delay of a request that was refused for want of memory: other callers'
# requests have ended by then.
MEMORY_RETRY_AFTER_MS: Final = 1_000
# Bytes on the connection for a byte of a body in chunks of one, with room for
# extensions. Trailers count as what surrounds a body.
MAX_CHUNK_OVERHEAD: Final = 16
UNREADABLE: Final = 'The bytes are no request.'
MAX_SHOWN: Final = 200
# A read that takes this much processor time is followed by one of half the size.
LONG_TURN_MS: Final = 2
INTERNAL_ERROR: Final = 500
MS_PER_S: Final = 1_000
_CLOCK: Final = clock.Clock()

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


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
        self._transport.max_size = FIRST_READ_BYTES

    def start(self) -> None:
        """Record that the bytes of a read are about to be parsed."""
        self._started_ms = _CLOCK.processor_ms()

    def end(self, read_bytes: int) -> int:
        """Choose the size of the next read by the time that this one took.

        Returns that time. It is processor time, since the bytes of a connection
        are not to blame for a host that was frozen or waited for a processor.
        """
        turn_ms = _CLOCK.processor_ms() - self._started_ms
        transport = self._transport
        if turn_ms >= LONG_TURN_MS:
            transport.max_size = max(transport.max_size // 2, MIN_READ_BYTES)
        elif not turn_ms and read_bytes >= transport.max_size:
            transport.max_size = min(transport.max_size * 2, MAX_READ_BYTES)
        return turn_ms


class PacedHandler(web.RequestHandler):
    """Connection of a caller or a peer, with paced and bounded reads."""

    __slots__ = (
        '_body_bytes',
        '_connection',
        '_costs',
        '_head',
        '_head_bytes',
        '_holding',
        '_is_refused',
        '_is_throttled',
        '_pace',
        '_payload',
        '_unread_bytes',
    )

    # Received since the last head, while its body is open.
    _body_bytes: int
    # The transport, also after the library has closed and forgotten it.
    _connection: Any
    # Requests that are open, with their bodies; the last may be incomplete.
    _costs: collections.deque[tuple[callerlimits.RequestCost, StreamReader]]
    # The head or trailers that are not complete; the bytes of the head.
    _head: callerlimits.RequestCost
    _head_bytes: int
    _holding: heldbytes.Holding
    _is_refused: bool
    # Whether no bytes are read for the sake of other connections.
    _is_throttled: bool
    _pace: Pace
    # The body of the request whose head came last.
    _payload: StreamReader | None
    # Of an answer that is being written.
    _unread_bytes: int

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the reads; called by the event loop."""
        self._pace = Pace()
        self._pace.attach(transport)
        self._connection = transport
        self._body_bytes = 0
        self._costs = collections.deque()
        self._head = callerlimits.RequestCost()
        self._head_bytes = 0
        self._holding = self._limits.held.open(self._handle_exceeded)
        self._is_refused = False
        self._is_throttled = False
        self._payload = None
        self._unread_bytes = 0
        super().connection_made(transport)
        victim = self._limits.connections.open(self)
        if isinstance(victim, PacedHandler):
            victim.end_idle()
        self._update_holding()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds; called by the event loop."""
        limits = self._limits
        super().connection_lost(exc)
        self._costs.clear()
        limits.held.remove(self._holding)
        limits.connections.close(self)

    def data_received(self, data: bytes) -> None:
        """Parse what was read; called by the event loop."""
        if self._is_refused or self.transport is None:
            return
        requests = self._request_count
        if not data:
            super().data_received(data)
            self._count_rest(requests)
            return
        self._pace.start()
        payload = self._payload
        is_head = payload is None or payload.is_eof()
        body_bytes = payload.total_bytes if payload else 0
        super().data_received(data)
        grown_bytes = payload.total_bytes - body_bytes if payload else 0
        if grown_bytes:
            # What came before surrounded a part of the body, and is gone.
            self._head = callerlimits.RequestCost()
        self._head.add_head(data)
        self._head.remove(grown_bytes)
        if self._request_count > requests:
            self._record_requests(self._request_count - requests)
        elif is_head:
            self._head_bytes += len(data)
        else:
            self._body_bytes += len(data)
        turn_ms = self._pace.end(len(data))
        if self._is_endless():
            self._refuse_endless()
        else:
            self._throttle(turn_ms)
        self._update_holding()

    def _count_rest(self, requests: int) -> None:
        """Count after ``requests`` what was read before and is parsed now.

        The library parses on for each chunk of a body that its reader takes, so
        nothing is done here that the next read does as well.
        """
        if self._request_count > requests:
            self._record_requests(self._request_count - requests)
            self._update_holding()
        else:
            self._head.clear()

    def pause_writing(self) -> None:
        """Count what the caller does not read; called by the event loop."""
        super().pause_writing()
        self._update_holding()

    def resume_writing(self) -> None:
        """Count what the caller has read; called by the event loop."""
        super().resume_writing()
        self._update_holding()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, and release its request."""
        body = resp.body if isinstance(resp, web.Response) else None
        self._unread_bytes = len(body) if isinstance(body, bytes) else 0
        self._update_holding()
        is_last = self._is_refused and not self._messages
        if is_last:
            resp.force_close()
            _free_frames(request.content.exception())
        with contextlib.ExitStack() as stack:
            stack.callback(self._release_request)
            finished = await super().finish_response(request, resp, start_time)
        if is_last:
            await self._linger()
        return finished

    def end_idle(self) -> None:
        """Close a connection without a request, to make room for another."""
        self._server.record_limit('connections', self._limits.connections.most)
        self._abort()

    @property
    def _server(self) -> 'PacedServer':
        manager = self._manager
        if not isinstance(manager, PacedServer):
            raise TypeError(manager)
        return manager

    @property
    def _limits(self) -> callerlimits.ServerLimits:
        return self._server.limits

    def _resume_transport_reading(self) -> None:
        if not self._is_throttled:
            super()._resume_transport_reading()

    def _release_request(self) -> None:
        self._unread_bytes = 0
        if self._costs:
            self._costs.popleft()
        self._update_holding()

    def _record_requests(self, count: int) -> None:
        """Count requests whose heads have just been completed."""
        for message, payload in list(self._messages)[-count:]:
            cost = callerlimits.RequestCost()
            # Bytes that are no request have no headers.
            taken_bytes = cost.set_head(getattr(message, 'raw_headers', ()))
            self._head.remove(taken_bytes + payload.total_bytes)
            self._costs.append((cost, payload))
            self._payload = payload
        self._head_bytes = 0
        self._body_bytes = 0

    def _update_holding(self) -> None:
        """Count what the host holds for this connection."""
        if self.transport is None:
            return
        size = callerlimits.CONNECTION_BYTES + self._unread_bytes
        size += self._head.total(0, is_complete=False)
        is_waiting = self._paused or (self._head_bytes > 0 and not self._costs)
        for cost, payload in self._costs:
            is_complete = payload.is_eof()
            size += cost.total(payload.total_bytes, is_complete=is_complete)
            is_waiting = is_waiting or not is_complete
        if self._paused and not self._unread_bytes:
            size += self.transport.get_write_buffer_size()
        self._limits.connections.use(
            self, is_busy=bool(self._costs) and not is_waiting
        )
        self._holding.is_waiting = is_waiting
        self._holding.resize(size)

    def _handle_exceeded(self, exceeded: answerlimits.LimitExceeded) -> None:
        """Refuse a request that is not complete, or close the connection."""
        self._server.record_limit('caller_bytes', exceeded.allowed)
        payload = self._payload
        is_reading = self._current_request is not None
        self._drop_parser()
        if is_reading and payload is not None and not payload.is_eof():
            self._lingering_time = 0
            payload.set_exception(
                errors.Overloaded(
                    str(exceeded), retry_after_ms=MEMORY_RETRY_AFTER_MS
                )
            )
        else:
            self._abort()

    def _abort(self) -> None:
        """Close the connection at once.

        A transport that is only closed waits until its caller has read what is
        unsent, for which there is no time limit.
        """
        self.force_close()
        self._connection.abort()

    async def _linger(self) -> None:
        """Drop what still arrives, so that a caller that sends gets its answer.

        A connection that is closed with unread bytes is reset.
        """
        self._resume_transport_reading()
        await asyncio.sleep(REFUSAL_LINGER_S)

    def _drop_parser(self) -> None:
        """Read nothing more, and free a head that is not complete."""
        self._is_refused = True
        self._parser = None
        self._head = callerlimits.RequestCost()
        self._pause_transport_reading()

    def _throttle(self, turn_ms: int) -> None:
        """Leave the processor to others after bytes that took long."""
        delay_s = pause_s(self._limits.parsing, turn_ms)
        if not delay_s:
            return
        self._is_throttled = True
        self._pause_transport_reading()
        self._loop.call_later(delay_s, self._end_throttling)

    def _end_throttling(self) -> None:
        self._is_throttled = False
        is_held = self._reading_paused or self._buffer_paused
        if not is_held and not self._is_refused:
            self._resume_transport_reading()

    def _is_endless(self) -> bool:
        """Tell whether a head, or what surrounds a body, is too long."""
        body_bytes = self._payload.total_bytes if self._payload else 0
        allowed = answerlimits.MAX_FRAMING_BYTES
        allowed += body_bytes * MAX_CHUNK_OVERHEAD
        longest = self._limits.max_head_bytes()
        return self._head_bytes > longest or self._body_bytes > allowed

    def _refuse_endless(self) -> None:
        """Refuse a head or framing without end, after open requests."""
        self._record_unreadable(
            HEAD_TOO_LARGE,
            f'{self._head_bytes} bytes of a head, {self._body_bytes} with a body',
        )
        is_open = bool(self._costs) or self._current_request is not None
        is_body = self._payload is not None and not self._payload.is_eof()
        transport = self.transport
        self._drop_parser()
        if is_body or transport is None:
            self._abort()
        elif is_open:
            self.close()
        else:
            transport.write(HEAD_REFUSAL)
            # What still arrives is not read; a caller that sends on gets a
            # reset, but not before it could read the answer.
            self._loop.call_later(REFUSAL_LINGER_S, self.force_close)

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


def _free_frames(fault: BaseException | type[BaseException] | None) -> None:
    """Free what the readers of a body had received when it was refused.

    The traceback of the fault keeps it for as long as the body exists.
    """
    if isinstance(fault, BaseException):
        traceback.clear_frames(fault.__traceback__)


class PacedServer(web.Server):
    """Server whose connections have paced and bounded reads."""

    def __init__(
        self,
        handler: Handler,
        recorder: 'Recorder',
        limits: callerlimits.ServerLimits,
        **options: Any,
    ) -> None:
        """Tell ``recorder`` of connections that are refused or closed."""
        super().__init__(handler, **options)
        self.record_unreadable = recorder.record_unreadable
        self.record_limit = recorder.record_limit
        self.limits = limits

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return PacedHandler(self, loop=self._loop, **self._kwargs)


class Recorder(Protocol):
    """Records what a server refuses."""

    def record_unreadable(self, status: int, fault: str, caller: str) -> None:
        """Record bytes that are no request."""

    def record_limit(self, limit: str, allowed: int) -> None:
        """Record a connection that was closed at a limit for all of them."""


def pause_s(parsing: callerlimits.ParseBudget, turn_ms: int) -> float:
    """Return the pause of a connection whose bytes took ``turn_ms``."""
    if turn_ms < LONG_TURN_MS:
        return 0
    return parsing.delay_ms(turn_ms, _CLOCK.now_ms()) / MS_PER_S


def max_caller_head(max_header_bytes: int) -> int:
    """Return the longest head of a caller with these limits of headers."""
    return max_header_bytes * MAX_HEAD_PARTS + HEAD_MARGIN_BYTES
