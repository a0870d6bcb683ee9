"""
Answers
~~~~~~~

Answers of the requests that are open at this host. An answer keeps the tokens
that were produced, so that another target can continue after them; tokens
that the caller has not read are bounded, and then the target waits.
"""

import asyncio
from typing import NamedTuple

from bergamotstream import (
    actions,
    errors,
    records,
    requestbody,
    streamassembler,
)

# Prompts that are held at once; a host with more would run out of memory.
MAX_TOTAL_PROMPT_BYTES = 268_435_456
# Time after which a caller whose request does not fit should come back.
OVERLOAD_RETRY_MS = 500
# An ended answer without a reader is kept this long for a resume.
ENDED_RETENTION_S = 3.0
TOKEN_OVERHEAD_BYTES = 64


class AnswerSegment(NamedTuple):
    """What the caller is sent next: tokens from ``offset`` on."""

    restart: bool
    offset: int
    tokens: tuple[str, ...]


class OpenAnswer:
    """The answer of one open request; a sink of its attempts."""

    def __init__(
        self,
        parsed: requestbody.ParsedRequest,
        offset: int,
        max_unread_bytes: int,
    ) -> None:
        """Start after ``offset`` tokens that the caller already has."""
        self.request = parsed.request
        self.prompt = parsed.prompt
        self.error: errors.ServiceError | None = None
        self.ended = False
        self.reader_id = 0
        self.has_reader = False
        self._first_offset = offset
        self._tokens: list[str] = []
        self._sent_count = 0
        self._restart_pending = False
        self._unread_bytes = 0
        self._max_unread_bytes = max_unread_bytes
        self._assembler = streamassembler.StreamAssembler(
            parsed.request.request_id, offset
        )
        self._changed = asyncio.Event()

    @property
    def offset(self) -> int:
        """Count of tokens produced so far, also at other hosts."""
        return self._assembler.offset

    @property
    def token_count(self) -> int:
        """Count of tokens in the answer, also those sent by other hosts."""
        return self._first_offset + len(self._tokens)

    @property
    def text(self) -> str:
        """Text of the tokens that were produced through this host."""
        return ''.join(self._tokens)

    @property
    def unread_bytes(self) -> int:
        """Bytes that wait for the caller."""
        return self._unread_bytes

    def switch_attempt(self, dispatch: actions.Dispatch) -> None:
        """Accept tokens of this attempt only from now on.

        A new attempt needs the whole text before its offset. After a resume
        from another host that text is missing, so the answer restarts.
        """
        if self._first_offset and not dispatch.resume:
            self.restart()
        self._assembler.switch_attempt(dispatch.attempt_id)

    def restart(self) -> None:
        """Discard the tokens and tell the caller to do so."""
        self._restart_pending = (
            self._restart_pending or self._first_offset + self._sent_count > 0
        )
        self._assembler.restart()
        self._tokens.clear()
        self._first_offset = 0
        self._sent_count = 0
        self._unread_bytes = 0
        self._notify()

    async def deliver(
        self, attempt_id: str, offset: int, tokens: tuple[str, ...]
    ) -> None:
        """Take tokens of an attempt once the caller has read enough."""
        while self._unread_bytes >= self._max_unread_bytes and not self.ended:
            await self._wait()
        if self.ended:
            return
        chunk = streamassembler.Chunk(
            self.request.request_id, attempt_id, offset, tokens
        )
        ready = self._assembler.accept(chunk)
        self._tokens.extend(ready)
        self._unread_bytes += _size_bytes(ready)
        self._notify()

    def finish(self, recorded: bytes) -> None:
        """End the answer; ``recorded`` is the text of an earlier run."""
        if recorded and not self._tokens:
            self._tokens.append(recorded.decode())
        self._end()

    def refuse(self, error: errors.ServiceError) -> None:
        """End the answer with an error."""
        self.error = error
        self._end()

    def attach(self, offset: int) -> int:
        """Let a new reader continue after ``offset``; returns its number.

        Raises ``invalid_request`` if this host does not have those tokens.
        """
        position = offset - self._first_offset
        if not 0 <= position <= len(self._tokens):
            raise errors.InvalidRequest(
                f'offset {offset} is not within the answer so far'
            )
        self.reader_id += 1
        self.has_reader = True
        self._sent_count = position
        self._unread_bytes = _size_bytes(tuple(self._tokens[position:]))
        self._notify()
        return self.reader_id

    async def next_segment(self, reader_id: int) -> AnswerSegment | None:
        """Wait for unread tokens; None at the end of the answer.

        Raises ``ConnectionAbortedError`` when another reader took over.
        """
        while self.reader_id == reader_id:
            if self._restart_pending or self._sent_count < len(self._tokens):
                return self._consume_unsent()
            if self.ended:
                return None
            await self._wait()
        raise ConnectionAbortedError('the caller resumed on a new connection')

    def _consume_unsent(self) -> AnswerSegment:
        offset = self._first_offset + self._sent_count
        tokens = tuple(self._tokens[self._sent_count :])
        segment = AnswerSegment(self._restart_pending, offset, tokens)
        self._restart_pending = False
        self._sent_count = len(self._tokens)
        self._unread_bytes = 0
        self._notify()
        return segment

    def _end(self) -> None:
        self.ended = True
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait(self) -> None:
        await self._changed.wait()


class OpenAnswers:
    """The open answers of this host by request id."""

    def __init__(self, max_open: int, max_unread_bytes: int) -> None:
        """Allow ``max_open`` requests and ``max_unread_bytes`` unread each."""
        self._max_open = max_open
        self._max_unread_bytes = max_unread_bytes
        self._prompt_bytes = 0
        self.by_request: dict[str, OpenAnswer] = {}

    def open(
        self, parsed: requestbody.ParsedRequest, offset: int
    ) -> OpenAnswer:
        """Open an answer; raises ``in_progress`` or ``overloaded``."""
        request_id = parsed.request.request_id
        if request_id in self.by_request:
            raise errors.InProgress(
                f'request {request_id} is open', run_state='may_have_run'
            )
        prompt_bytes = self._prompt_bytes + len(parsed.prompt)
        if (
            len(self.by_request) >= self._max_open
            or prompt_bytes > MAX_TOTAL_PROMPT_BYTES
        ):
            raise errors.Overloaded(
                'too many requests are open', retry_after_ms=OVERLOAD_RETRY_MS
            )
        answer = OpenAnswer(parsed, offset, self._max_unread_bytes)
        self.by_request[request_id] = answer
        self._prompt_bytes = prompt_bytes
        return answer

    def end(
        self,
        request_id: str,
        recorded: bytes = b'',
        error: errors.ServiceError | None = None,
    ) -> None:
        """End an answer; without a reader it is kept for a resume."""
        answer = self.by_request.get(request_id)
        if answer is None:
            return
        if error is None:
            answer.finish(recorded)
        else:
            answer.refuse(error)
        if not answer.has_reader:
            self._schedule_expiry(answer)

    def detach(self, answer: OpenAnswer) -> None:
        """Note that the caller's connection broke."""
        answer.has_reader = False
        if answer.ended:
            self._schedule_expiry(answer)

    def close(self, request_id: str) -> None:
        """Forget an answer; tokens that still arrive are discarded."""
        answer = self.by_request.pop(request_id, None)
        if answer is not None:
            self._prompt_bytes -= len(answer.prompt)
            answer.finish(b'')

    def _schedule_expiry(self, answer: OpenAnswer) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(ENDED_RETENTION_S, self._expire, answer)

    def _expire(self, answer: OpenAnswer) -> None:
        request_id = answer.request.request_id
        if self.by_request.get(request_id) is answer and not answer.has_reader:
            self.close(request_id)


def refusal_error(action: actions.RefuseRequest) -> errors.ServiceError:
    """Return the typed error of an action."""
    error_type = errors.get_error_by_code(action.code)
    run_state: records.RunState = action.run_state
    return error_type(
        action.detail,
        run_state=run_state,
        retry_after_ms=action.retry_after_ms,
    )


def _size_bytes(tokens: tuple[str, ...]) -> int:
    return sum(len(token) + TOKEN_OVERHEAD_BYTES for token in tokens)
