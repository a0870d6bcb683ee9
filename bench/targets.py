"""
Targets
~~~~~~~

Fakes of back ends: model engines around the engine model of ``standins`` and
plain services that count executions. Both run attempts and feed streams.
"""

from collections.abc import Iterable
from typing import Any

from bergamotstream import records
from standins import enginemodel

STREAM_BATCH_TOKENS = 16
RESTART_MS = 2_000
POISON_MS = 100


class Stream:
    """An open connection from a host to one attempt on one target."""

    def __init__(self, host: Any, attempt_id: str, offset: int) -> None:
        """Deliver to ``host`` the tokens after ``offset``."""
        self.host = host
        self.attempt_id = attempt_id
        self.sent = offset
        self.muted = False


class Target:
    """What engines and plain services have in common."""

    def __init__(self, world: Any, info: records.TargetInfo) -> None:
        """Start in the virtual time and network of ``world``."""
        self.world = world
        self.time = world.time
        self.info = info
        self.name = info.name
        self.starts = 1
        self.leaving = False
        self.down_until_ms = 0
        self.streams_by_attempt: dict[str, list[Stream]] = {}

    @property
    def down(self) -> bool:
        """Tell whether new connections are refused."""
        return self.time.now_ms < self.down_until_ms

    def open(self, stream: Stream, submission: Any, *, resume: bool) -> None:
        """Run an attempt, or attach to one that already runs."""
        if self.down:
            kind = 'target_died' if resume else 'refused'
            self.tell(stream, 'fail', kind)
            return
        kind = (
            self.attach(stream, submission)
            if resume
            else self.accept(submission)
        )
        if kind:
            self.tell(stream, 'fail', kind)
            return
        streams = self.streams_by_attempt.setdefault(stream.attempt_id, [])
        streams.append(stream)
        self.tell(stream, 'started')
        self.wake()

    def crash(self, duration_ms: int = RESTART_MS) -> None:
        """Stop all attempts and refuse connections for ``duration_ms``."""
        self.down_until_ms = self.time.now_ms + duration_ms
        self.starts += 1
        self.world.checks.target_went_cold(self.name, self.down_until_ms)
        streams_by_attempt = self.streams_by_attempt
        self.streams_by_attempt = {}
        for streams in streams_by_attempt.values():
            for stream in streams:
                self.tell(stream, 'fail', 'target_died')

    def leave(self) -> None:
        """Report from now on that this target is leaving."""
        self.leaving = True

    def silence(self) -> None:
        """Make the open connections silent; new ones work."""
        for stream in self._streams():
            stream.muted = True

    def tell(self, stream: Stream, method: str, *arguments: Any) -> None:
        """Deliver progress over a connection unless it is silent."""
        if not stream.muted:
            self.world.links.send(
                self.name,
                stream.host.name,
                stream.host.stream,
                method,
                stream,
                *arguments,
            )

    def accept(self, submission: Any) -> str:
        """Start an attempt; return a failure kind if it is not accepted."""
        raise NotImplementedError

    def attach(self, stream: Stream, submission: Any) -> str:
        """Resume an attempt; return a failure kind if it cannot be."""
        raise NotImplementedError

    def cancel(self, attempt_id: str) -> None:
        """End the streams of an attempt."""
        for stream in self.streams_by_attempt.pop(attempt_id, ()):
            self.tell(stream, 'fail', 'lost')

    def wake(self) -> None:
        """Go on with the work that is due."""

    def progress(self, attempt_id: str, offset: int, *, ended: bool) -> None:
        """Send the tokens up to ``offset`` over the attempt's streams."""
        for stream in self.streams_by_attempt.get(attempt_id, ()):
            fresh = offset - stream.sent
            first = fresh > 0 and stream.sent == 0
            if ended or first or fresh >= STREAM_BATCH_TOKENS:
                self.tell(stream, 'tokens', stream.sent, offset, ended)
                stream.sent = offset
        if ended:
            self.streams_by_attempt.pop(attempt_id, None)

    def _streams(self) -> Iterable[Stream]:
        for streams in self.streams_by_attempt.values():
            yield from streams


class EngineTarget(Target):
    """A model engine."""

    def __init__(
        self,
        world: Any,
        info: records.TargetInfo,
        settings: enginemodel.EngineSettings,
    ) -> None:
        """Start warm."""
        super().__init__(world, info)
        self.engine = enginemodel.EngineModel(
            settings, info.name, self.time.now_ms
        )
        self.engine.warm_up()
        self.finished_by_attempt: dict[str, int] = {}
        self._wake_ms = 0

    def accept(self, submission: enginemodel.Submission) -> str:
        """Submit to the engine; what it does not accept does not run."""
        self._advance()
        verdict = self.engine.submit(submission, self.time.now_ms)
        if verdict != 'accepted':
            return 'refused'
        self.world.checks.attempt_started(self, submission.attempt_id)
        if self.world.is_poison(submission.attempt_id):
            self.time.call_after(
                POISON_MS, self._crash_if_running, submission.attempt_id
            )
        return ''

    def attach(self, stream: Stream, submission: Any) -> str:
        """Resume an attempt that runs or has finished in this start."""
        self._advance()
        attempt_id = stream.attempt_id
        sequence = self.engine.sequences_by_attempt.get(attempt_id)
        if sequence is not None:
            return ''
        if attempt_id not in self.finished_by_attempt:
            return 'target_died'
        self.time.call_after(1, self._replay, attempt_id)
        return ''

    def cancel(self, attempt_id: str) -> None:
        """Drop an attempt and free its memory."""
        super().cancel(attempt_id)
        self._advance()
        self.engine.cancel(attempt_id)

    def turn_cold(self) -> None:
        """Become cold without a restart and without warning."""
        self._advance()
        self.engine.turn_cold()
        self.world.checks.target_went_cold(self.name, self.time.now_ms)
        self.wake()

    def crash(self, duration_ms: int = RESTART_MS) -> None:
        """Lose all attempts and start again cold."""
        self.engine.restart(self.time.now_ms)
        self.finished_by_attempt.clear()
        super().crash(duration_ms)

    def wake(self) -> None:
        """Run the steps that are due and schedule the next one."""
        self._advance()
        next_ms = self.engine.next_step_ms()
        if next_ms is not None and not self._is_scheduled(next_ms):
            self._wake_ms = next_ms
            self.time.call_at(next_ms, self.wake)

    def report(self) -> records.LoadReport:
        """Return the lagging load report."""
        self.engine.leaving = self.leaving
        self._advance()
        return self.engine.report(self.time.now_ms)

    def _is_scheduled(self, next_ms: int) -> bool:
        return self.time.now_ms < self._wake_ms <= next_ms

    def _advance(self) -> None:
        for notice in self.engine.advance(self.time.now_ms):
            if notice.kind == 'crashed':
                self.crash()
                return
            if notice.kind == 'exported':
                self._export(notice.attempt_id)
                continue
            ended = notice.kind == 'finished'
            if ended:
                self.finished_by_attempt[notice.attempt_id] = notice.offset
            self.progress(notice.attempt_id, notice.offset, ended=ended)

    def _export(self, attempt_id: str) -> None:
        for stream in self.streams_by_attempt.get(attempt_id, ()):
            self.tell(stream, 'exported')

    def _replay(self, attempt_id: str) -> None:
        offset = self.finished_by_attempt.get(attempt_id)
        if offset is not None:
            self.progress(attempt_id, offset, ended=True)

    def _crash_if_running(self, attempt_id: str) -> None:
        self._advance()
        if attempt_id in self.engine.sequences_by_attempt:
            self.crash()


class PlainTarget(Target):
    """A plain service instance; each call that arrives is executed.

    It knows no attempts: a call that is sent again runs again, and a call
    cannot be cancelled.
    """

    def __init__(
        self, world: Any, info: records.TargetInfo, call_ms: int
    ) -> None:
        """Answer each call after ``call_ms`` milliseconds."""
        super().__init__(world, info)
        self.call_ms = call_ms

    def accept(self, submission: enginemodel.Submission) -> str:
        """Execute a call."""
        attempt_id = submission.attempt_id
        self.world.checks.attempt_started(self, attempt_id)
        self.time.call_after(
            self.call_ms, self._finish, attempt_id, self.starts
        )
        return ''

    def attach(self, stream: Stream, submission: Any) -> str:
        """Execute the call again."""
        return self.accept(submission)

    def report(self) -> records.LoadReport:
        """Return the load report, without a lag."""
        return records.LoadReport(
            target=self.name,
            start_id=f'{self.name}/{self.starts}',
            running=tuple(self.streams_by_attempt),
            memory_tokens_used=0,
            age_ms=0,
            leaving=self.leaving,
        )

    def _finish(self, attempt_id: str, start: int) -> None:
        if start == self.starts:
            self.progress(attempt_id, 1, ended=True)
