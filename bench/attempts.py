"""
Attempts
~~~~~~~~

The streams that a host reads from targets: dispatch, groups, relay to the
caller, silence and failures.
"""

import functools
from typing import Any

from bergamotstream import actions, events, records, streamassembler
from bench import shapes, targets
from standins import enginemodel

KEEP_ALIVE_MS = 250
BLOCK_TOKENS = 512
# The core attaches to these attempts again.
RESUMABLE = frozenset(('lost', 'silent'))


def token_text(spec: records.RequestSpec, index: int) -> str:
    """Return the token that the answer to ``spec`` has at ``index``."""
    return f'{spec.idempotency_key or spec.request_id}/{index}'


class Attempt:
    """An attempt that the shell runs on its targets."""

    def __init__(self, action: actions.Dispatch, spec: Any) -> None:
        """Start with no stream open."""
        self.action = action
        self.spec = spec
        self.offset = action.offset
        self.last_byte_ms = 0
        self.first_seen = action.resume and action.offset > 0
        self.segments_done = 0
        self.streams_by_target: dict[str, targets.Stream] = {}


class Attempts:
    """The attempts of one host."""

    def __init__(self, host: Any) -> None:
        """Start without attempts."""
        self.host = host
        self.world = host.world
        self.time = host.time
        self._attempts_by_id: dict[str, Attempt] = {}

    def do_dispatch(self, action: actions.Dispatch) -> None:
        """Open streams to the targets; the last one generates."""
        self.world.requests_by_attempt[action.attempt_id] = action.request_id
        call = self.host.calls_by_request.get(action.request_id)
        if call is None:
            refusal = events.AttemptFailed(action.attempt_id, 'refused', 0)
            self.host.receive(refusal)
            return
        attempt = Attempt(action, call.spec)
        attempt.last_byte_ms = self.time.now_ms
        self._attempts_by_id[action.attempt_id] = attempt
        assembler = self.host.assemblers_by_request[action.request_id]
        assembler.switch_attempt(action.attempt_id)
        if action.resume:
            attempt.segments_done = len(action.targets) - 1
        if self.world.version.relays_in_order:
            attempt.offset = assembler.offset
        self._open_next(attempt)

    def do_cancelattempt(self, action: actions.CancelAttempt) -> None:
        """Cancel at a target and stop reading from it."""
        self._attempts_by_id.pop(action.attempt_id, None)
        self._cancel(action.target, action.attempt_id)

    def _cancel(self, name: str, attempt_id: str) -> None:
        target = self.world.targets_by_name.get(name)
        if target is not None:
            self.world.links.send(
                self.host.name, name, target.cancel, attempt_id
            )

    def do_dropstream(self, action: actions.DropStream) -> None:
        """Stop reading an attempt."""
        self._attempts_by_id.pop(action.attempt_id, None)

    def started(self, stream: targets.Stream) -> None:
        """Note that a target accepted an attempt."""
        attempt = self._current(stream)
        if attempt is not None:
            attempt.last_byte_ms = self.time.now_ms
            self.host.handle(events.AttemptStarted(stream.attempt_id))

    def exported(self, stream: targets.Stream) -> None:
        """Go on with a group once a member has exported its part."""
        attempt = self._current(stream)
        if attempt is not None:
            attempt.segments_done += 1
            self._open_next(attempt)

    def tokens(
        self, stream: targets.Stream, start: int, end: int, ended: bool
    ) -> None:
        """Relay tokens ``start`` to ``end``."""
        attempt = self._current(stream)
        if attempt is None:
            return
        attempt.last_byte_ms = self.time.now_ms
        attempt.offset = end
        self._relay(attempt, start, end)
        if not attempt.first_seen:
            attempt.first_seen = True
            self.host.handle(events.FirstToken(stream.attempt_id))
        if ended:
            self._attempts_by_id.pop(stream.attempt_id, None)
            self._free_segments(attempt)
            self._finish(attempt)

    def fail(self, stream: targets.Stream, kind: Any) -> None:
        """End an attempt whose stream failed."""
        attempt = self._current(stream)
        if attempt is None:
            return
        # The naive shell goes on reading a connection that it gave up.
        if kind != 'silent' or self.world.version.relays_in_order:
            self._attempts_by_id.pop(stream.attempt_id)
        if kind not in RESUMABLE:
            self._free_segments(attempt)
        self.host.handle(
            events.AttemptFailed(stream.attempt_id, kind, attempt.offset)
        )

    def check_silence(self) -> None:
        """Give up connections without a byte for too long."""
        for attempt in tuple(self._attempts_by_id.values()):
            silent = [
                stream
                for target, stream in attempt.streams_by_target.items()
                if self._is_silent(target, stream)
            ]
            if silent:
                self._check_age(attempt, silent[0])
            else:
                attempt.last_byte_ms = self.time.now_ms

    def _is_silent(self, target: str, stream: targets.Stream) -> bool:
        return stream.muted or self.world.links.is_cut(target, self.host.name)

    def _check_age(self, attempt: Attempt, stream: targets.Stream) -> None:
        age_ms = self.time.now_ms - attempt.last_byte_ms
        limit_ms = self.world.timing.silent_ms
        if attempt.spec.idempotency_key:
            # A call that must not be repeated waits until its deadline.
            limit_ms = attempt.action.remaining_ms
        if age_ms > limit_ms:
            attempt.last_byte_ms = self.time.now_ms
            self.fail(stream, 'silent')

    def _open_next(self, attempt: Attempt) -> None:
        """Open a stream to the target of the next segment."""
        action = attempt.action
        granted = action.targets[attempt.segments_done]
        stream = targets.Stream(self.host, action.attempt_id, attempt.offset)
        attempt.streams_by_target[granted.name] = stream
        if self.world.links.is_cut(self.host.name, granted.name):
            # The connection is not established in time; nothing is sent.
            self.time.call_after(
                self.world.timing.silent_ms,
                self.host.stream,
                'fail',
                stream,
                'target_died' if action.resume else 'refused',
            )
            return
        target = self.world.targets_by_name[granted.name]
        self.world.links.send(
            self.host.name,
            granted.name,
            functools.partial(target.open, resume=action.resume),
            stream,
            self._submission(attempt),
        )

    def _submission(self, attempt: Attempt) -> enginemodel.Submission:
        action = attempt.action
        spec = attempt.spec
        hold = attempt.segments_done < len(action.targets) - 1
        done = action.targets[: attempt.segments_done]
        start = sum(granted.tokens for granted in done)
        tokens = action.targets[attempt.segments_done].tokens
        if not hold:
            tokens = spec.prompt_tokens - start
        first = start // BLOCK_TOKENS
        last = (start + tokens) // BLOCK_TOKENS
        return enginemodel.Submission(
            attempt_id=action.attempt_id,
            prompt_tokens=tokens,
            output_tokens=0 if hold else spec.max_output_tokens,
            priority=action.engine_priority,
            prefix_hashes=spec.prefix_hashes[first:last],
            offset=0 if hold else attempt.offset,
            hold=hold,
        )

    def _free_segments(self, attempt: Attempt) -> None:
        if self.world.version.relays_in_order:
            for granted in attempt.action.targets[:-1]:
                self._cancel(granted.name, attempt.action.attempt_id)

    def _current(self, stream: targets.Stream) -> Attempt | None:
        attempt = self._attempts_by_id.get(stream.attempt_id)
        if attempt is None:
            return None
        streams = attempt.streams_by_target.values()
        return attempt if stream in streams else None

    def _relay(self, attempt: Attempt, start: int, end: int) -> None:
        request_id = attempt.action.request_id
        call = self.host.calls_by_request.get(request_id)
        if call is None:
            return
        tokens = tuple(
            token_text(attempt.spec, index) for index in range(start, end)
        )
        if self.world.version.relays_in_order:
            chunk = streamassembler.Chunk(
                request_id, attempt.action.attempt_id, start, tokens
            )
            assembler = self.host.assemblers_by_request[request_id]
            tokens = assembler.accept(chunk)
        if tokens:
            self.host.to_caller(call.received, self.host, tokens)

    def _finish(self, attempt: Attempt) -> None:
        answer = b''
        if attempt.spec.service == shapes.PLAIN_SERVICE:
            answer = token_text(attempt.spec, 0).encode()
        attempt_id = attempt.action.attempt_id
        self.host.handle(
            events.AttemptFinished(attempt_id, attempt.offset, answer)
        )
