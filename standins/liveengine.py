"""
Live engine
~~~~~~~~~~~

Runs the engine model in real time and keeps the progress of its attempts, so
that any number of streams can read a running or recently finished attempt.
"""

import asyncio
import collections
import contextlib
from collections.abc import Callable
from typing import Any, NamedTuple

from bergamotstream import clock, records
from standins import enginemodel

POISON_MARKER = 'poison'
KEEP_FINISHED_MS = 30_000
IDLE_WAIT_S = 0.05
MS_PER_S = 1_000
# The cache events of a real engine skip some numbers under load.
GAP_EVERY = 7
CACHE_EVENTS_KEPT = 256


class Progress:
    """Progress of one attempt; ``ended`` is set once nothing follows."""

    def __init__(self, fingerprint: int, offset: int, poisoned: bool) -> None:
        """Start with ``offset`` tokens produced elsewhere."""
        self.fingerprint = fingerprint
        self.produced = offset
        self.poisoned = poisoned
        self.ended = ''
        self.ended_ms = 0
        self.changed = asyncio.Event()

    def update(self, notice: enginemodel.Notice) -> None:
        """Take over a notice of the engine model and wake the streams."""
        self.produced = notice.offset
        if notice.kind in {'finished', 'exported', 'crashed'}:
            self.end(notice.kind, notice.at_ms)
        self.wake()

    def end(self, reason: str, now_ms: int) -> None:
        """Mark the attempt as ended for ``reason``."""
        self.ended = reason
        self.ended_ms = now_ms
        self.wake()

    def wake(self) -> None:
        """Wake the streams that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class CacheChange(NamedTuple):
    """Change of the prefix cache, published ``report_lag_ms`` later."""

    sequence: int
    at_ms: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


class LiveEngine:
    """An engine model driven by the clock."""

    def __init__(
        self,
        model: enginemodel.EngineModel,
        time: clock.Clock,
        crashed: Callable[[], None],
    ) -> None:
        """Call ``crashed`` when the engine crashes."""
        self.model = model
        self.progress_by_attempt: dict[str, Progress] = {}
        self._time = time
        self._crashed = crashed
        self._wake = asyncio.Event()
        self._cached: frozenset[int] = frozenset()
        self._changes: collections.deque[CacheChange] = collections.deque(
            maxlen=CACHE_EVENTS_KEPT
        )
        self._next_change = 1

    async def run(self) -> None:
        """Advance the model until cancelled."""
        while True:
            self.advance()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), self._wait_s())

    def advance(self) -> None:
        """Run the model up to now and hand its notices to the streams."""
        now_ms = self._time.now_ms()
        starts = self.model.starts
        for notice in self.model.advance(now_ms):
            self._deliver(notice)
        if self.model.starts != starts:
            self._forget_all()
            self._crashed()
        self._note_cache(now_ms)
        self._drop_finished(now_ms)

    def submit(
        self, submission: enginemodel.Submission, body: dict[str, Any]
    ) -> enginemodel.Verdict:
        """Submit an attempt; a refused one is not run."""
        self.advance()
        if submission.attempt_id in self.progress_by_attempt:
            return 'duplicate'
        verdict = self.model.submit(submission, self._time.now_ms())
        if verdict == 'accepted':
            self.progress_by_attempt[submission.attempt_id] = Progress(
                int(body.get('fingerprint', 0)),
                submission.offset,
                POISON_MARKER in str(body.get('prompt', '')),
            )
            self._wake.set()
        return verdict

    def cancel(self, attempt_id: str) -> bool:
        """Cancel an attempt and forget its tokens."""
        self.advance()
        progress = self.progress_by_attempt.pop(attempt_id, None)
        if progress is not None and not progress.ended:
            progress.end('cancelled', self._time.now_ms())
        return self.model.cancel(attempt_id)

    def crash(self) -> None:
        """Lose everything and start again cold."""
        self.model.restart(self._time.now_ms())
        self._forget_all()
        self._crashed()

    def report(self) -> records.LoadReport:
        """Return the lagging load report."""
        self.advance()
        return self.model.report(self._time.now_ms())

    def changes_after(self, sequence: int) -> list[CacheChange]:
        """Return cache changes after ``sequence``, late and with gaps."""
        self.advance()
        limit_ms = self._time.now_ms() - self.model.settings.report_lag_ms
        return [
            change
            for change in self._changes
            if change.sequence > sequence
            and change.at_ms <= limit_ms
            and change.sequence % GAP_EVERY
        ]

    def _wait_s(self) -> float:
        next_ms = self.model.next_step_ms()
        if next_ms is None:
            return IDLE_WAIT_S
        return max(next_ms - self._time.now_ms(), 1) / MS_PER_S

    def _deliver(self, notice: enginemodel.Notice) -> None:
        progress = self.progress_by_attempt.get(notice.attempt_id)
        if progress is None or progress.ended:
            return
        if progress.poisoned and notice.kind != 'crashed':
            # Later notices of the same advance belong to the crashed run.
            progress.end('crashed', notice.at_ms)
            self.model.restart(notice.at_ms)
            return
        progress.update(notice)

    def _forget_all(self) -> None:
        for progress in self.progress_by_attempt.values():
            if not progress.ended:
                progress.end('crashed', self._time.now_ms())
        self.progress_by_attempt.clear()

    def _note_cache(self, now_ms: int) -> None:
        cached = frozenset(self.model.cached_hashes())
        if cached == self._cached:
            return
        added = tuple(cached - self._cached)
        removed = tuple(self._cached - cached)
        change = CacheChange(self._next_change, now_ms, added, removed)
        self._changes.append(change)
        self._next_change += 1
        self._cached = cached

    def _drop_finished(self, now_ms: int) -> None:
        limit_ms = now_ms - KEEP_FINISHED_MS
        old = [
            attempt_id
            for attempt_id, progress in self.progress_by_attempt.items()
            if progress.ended
            and progress.ended_ms < limit_ms
            and attempt_id not in self.model.sequences_by_attempt
        ]
        for attempt_id in old:
            self.progress_by_attempt.pop(attempt_id)
