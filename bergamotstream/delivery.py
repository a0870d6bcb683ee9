"""
Delivery
~~~~~~~~

Writes an open answer to its caller: as server-sent events, or as one JSON
object. The connection of a caller is closed after 10 s without progress.
"""

import asyncio
import contextlib
from typing import Any

from aiohttp import web

from bergamotstream import errors, eventstream, openanswers

# A request that is refused within this time gets an HTTP error status. After it
# the stream starts, so that the caller sees that the host is alive.
STREAM_START_DELAY_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
STALL_TIMEOUT_S = 10.0


class CallerStalled(ConnectionError):
    """The caller read nothing within the timeout."""


def error_body(error: errors.ServiceError, request_id: str) -> dict[str, Any]:
    """Return the JSON object of an error."""
    return {
        'code': error.code,
        'run_state': error.run_state,
        'message': str(error),
        'remedy': error.remedy,
        'request_id': request_id,
        'retry_after_ms': error.retry_after_ms,
    }


def error_response(
    error: errors.ServiceError, request_id: str = ''
) -> web.Response:
    """Return the HTTP response of an error."""
    headers = {}
    if error.retry_after_ms:
        seconds = -(-error.retry_after_ms // 1_000)
        headers['Retry-After'] = str(seconds)
    return web.json_response(
        error_body(error, request_id), status=error.http_status, headers=headers
    )


class Delivery:
    """Delivery of one answer on one connection."""

    def __init__(
        self,
        request: web.Request,
        answer: openanswers.OpenAnswer,
        reader_id: int,
    ) -> None:
        """Read ``answer`` as its reader ``reader_id``."""
        self._request = request
        self._answer = answer
        self._reader_id = reader_id
        self._request_id = answer.request.request_id
        self._response = web.StreamResponse()
        self._next: asyncio.Future[openanswers.AnswerSegment | None] | None = (
            None
        )

    async def deliver(self, stream: bool) -> web.StreamResponse:
        """Deliver as a stream or as one object.

        Raises ``ConnectionError`` when the connection can no longer be used.
        """
        return await (self.as_stream() if stream else self.as_object())

    async def as_object(self) -> web.Response:
        """Wait for the whole answer and return it as JSON."""
        texts: list[str] = []
        segment = await self._answer.next_segment(self._reader_id)
        while segment is not None:
            if segment.restart:
                texts.clear()
            texts.extend(segment.tokens)
            segment = await self._answer.next_segment(self._reader_id)
        if self._answer.error is not None:
            return error_response(self._answer.error, self._request_id)
        body = {
            'request_id': self._request_id,
            'output_tokens': self._answer.token_count,
            'text': ''.join(texts),
        }
        return web.json_response(body)

    async def as_stream(self) -> web.StreamResponse:
        """Write events as tokens arrive."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.callback(self._cancel_next)
            return await self._stream()

    async def _stream(self) -> web.StreamResponse:
        if (
            await self._wait_ready(STREAM_START_DELAY_S)
            and self._is_immediate_refusal()
        ):
            return self._refusal_response()
        self._response.content_type = eventstream.CONTENT_TYPE
        await self._response.prepare(self._request)
        while True:
            if not await self._wait_ready(HEARTBEAT_INTERVAL_S):
                await self._write(eventstream.HEARTBEAT)
                continue
            segment = await self._consume_next()
            if segment is None:
                break
            await self._write(self._encode(segment))
        await self._write(self._final_event())
        return self._response

    def _cancel_next(self) -> None:
        if self._next is not None:
            self._next.cancel()

    def _is_immediate_refusal(self) -> bool:
        """Return whether the answer is an error without any tokens."""
        done = self._next is not None and self._next.result() is None
        return done and self._answer.error is not None

    def _refusal_response(self) -> web.Response:
        assert self._answer.error is not None  # noqa: S101 checked by _stream
        return error_response(self._answer.error, self._request_id)

    async def _wait_ready(self, timeout_s: float) -> bool:
        """Wait for the next segment without consuming it."""
        if self._next is None:
            self._next = asyncio.ensure_future(
                self._answer.next_segment(self._reader_id)
            )
        done, _ = await asyncio.wait({self._next}, timeout=timeout_s)
        return bool(done)

    async def _consume_next(self) -> openanswers.AnswerSegment | None:
        assert self._next is not None  # noqa: S101 after _wait_ready
        segment = await self._next
        self._next = None
        return segment

    def _encode(self, segment: openanswers.AnswerSegment) -> bytes:
        encoded = b''
        if segment.restart:
            body = {'request_id': self._request_id}
            encoded = eventstream.encode_event('restart', body)
        if segment.tokens:
            chunk = {
                'request_id': self._request_id,
                'offset': segment.offset,
                'tokens': len(segment.tokens),
                'text': ''.join(segment.tokens),
            }
            encoded += eventstream.encode_event('chunk', chunk)
        return encoded

    def _final_event(self) -> bytes:
        if self._answer.error is not None:
            body = error_body(self._answer.error, self._request_id)
            return eventstream.encode_event('error', body)
        done = {
            'request_id': self._request_id,
            'output_tokens': self._answer.token_count,
        }
        return eventstream.encode_event('done', done)

    async def _write(self, encoded: bytes) -> None:
        """Write; raises :class:`CallerStalled` without progress."""
        write_task = asyncio.ensure_future(self._response.write(encoded))
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(write_task.cancel)
            await self._await_progress(write_task)

    async def _await_progress(self, write_task: asyncio.Future[None]) -> None:
        unsent = self._unsent_bytes()
        while True:
            done, _ = await asyncio.wait({write_task}, timeout=STALL_TIMEOUT_S)
            if done:
                return write_task.result()
            if self._unsent_bytes() >= unsent:
                raise CallerStalled('the caller stopped reading')
            unsent = self._unsent_bytes()

    def _unsent_bytes(self) -> int:
        transport = self._request.transport
        if transport is None:
            raise ConnectionResetError('the caller disconnected')
        return transport.get_write_buffer_size()
