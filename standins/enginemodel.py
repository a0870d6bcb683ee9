"""
Engine model
~~~~~~~~~~~~

Behaviour of a model engine in virtual time, without input or output: chunked
prefill by priority, continuous batching, limited memory, a prefix cache and
cold start. The HTTP stand-in and the measurements use the same model.
"""

import collections
from typing import Literal, NamedTuple

from bergamotstream import records

Verdict = Literal['accepted', 'busy', 'out_of_memory', 'duplicate']
NoticeKind = Literal['first_token', 'tokens', 'finished', 'exported', 'crashed']

BLOCK_TOKENS = 512
MS_PER_S = 1_000


class EngineSettings(NamedTuple):
    """Speeds and sizes of an emulated engine."""

    memory_tokens: int = 400_000
    cache_blocks: int = 400
    slots: int = 32
    chunk_tokens: int = 2_048
    prefill_tokens_per_s: int = 20_000
    step_ms: float = 12.0
    step_ms_per_sequence: float = 0.25
    cold_factor: float = 4.0
    cold_limit: int = 1
    warm_after: int = 8
    report_lag_ms: int = 500


class Submission(NamedTuple):
    """An attempt as the engine receives it.

    With ``hold`` the engine prefills its segment of a prompt, exports the KV
    cache and keeps the memory until the attempt is cancelled.
    """

    attempt_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix_hashes: tuple[int, ...] = ()
    offset: int = 0
    hold: bool = False


class Notice(NamedTuple):
    """Progress of an attempt; ``offset`` counts tokens produced so far."""

    attempt_id: str
    kind: NoticeKind
    offset: int
    at_ms: int


class Sequence:
    """A running attempt."""

    def __init__(self, submission: Submission, prefill_left: int) -> None:
        """Start with ``prefill_left`` prompt tokens to process."""
        self.submission = submission
        self.prefill_left = prefill_left
        self.produced = submission.offset
        self.memory = submission.prompt_tokens + submission.output_tokens


class Step(NamedTuple):
    """Work of one batch, fixed when it begins: it cannot be interrupted."""

    prefill: Sequence | None
    prefill_tokens: int
    decoding: tuple[Sequence, ...]
    end_ms: float


class EngineModel:
    """One engine; call :meth:`advance` before any other method."""

    def __init__(
        self, settings: EngineSettings, name: str, now_ms: int
    ) -> None:
        """Start cold at ``now_ms``."""
        self.settings = settings
        self.name = name
        self.starts = 0
        self._advanced_ms = now_ms
        self.leaving = False
        self.sequences_by_attempt: dict[str, Sequence] = {}
        self._cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._reports: collections.deque[tuple[int, records.LoadReport]] = (
            collections.deque()
        )
        self.restart(now_ms)

    def restart(self, now_ms: int) -> list[Notice]:
        """Crash and start again, cold and empty."""
        lost = [
            Notice(attempt_id, 'crashed', sequence.produced, now_ms)
            for attempt_id, sequence in self.sequences_by_attempt.items()
        ]
        self.starts += 1
        self.finished_since_cold = 0
        self.sequences_by_attempt.clear()
        self._cached.clear()
        self._step_end_ms = float(now_ms)
        self._running_step: Step | None = None
        return lost

    def turn_cold(self) -> None:
        """Become cold without a restart."""
        self.finished_since_cold = 0
        self._cached.clear()

    def warm_up(self) -> None:
        """Become warm at once."""
        self.finished_since_cold = self.settings.warm_after

    @property
    def cold(self) -> bool:
        """Tell whether the engine is in cold start."""
        return self.finished_since_cold < self.settings.warm_after

    @property
    def memory_used(self) -> int:
        """Return the reserved KV-cache memory in tokens."""
        return sum(
            sequence.memory for sequence in self.sequences_by_attempt.values()
        )

    def submit(self, submission: Submission, now_ms: int) -> Verdict:
        """Accept an attempt or say why not; a refused one is not run."""
        if submission.attempt_id in self.sequences_by_attempt:
            return 'duplicate'
        if len(self.sequences_by_attempt) >= self.settings.slots:
            return 'busy'
        memory = submission.prompt_tokens + submission.output_tokens
        if self.memory_used + memory > self.settings.memory_tokens:
            return 'out_of_memory'
        cached = self._cached_tokens(submission.prefix_hashes)
        left = max(submission.prompt_tokens - cached, 1)
        self.sequences_by_attempt[submission.attempt_id] = Sequence(
            submission, left
        )
        if self._running_step is None:
            self._step_end_ms = max(self._step_end_ms, float(now_ms))
            self._running_step = self._begin_step()
        self._record_report(now_ms)
        return 'accepted'

    def cancel(self, attempt_id: str) -> bool:
        """Drop an attempt and free its memory."""
        found = self.sequences_by_attempt.pop(attempt_id, None) is not None
        self._record_report(self._advanced_ms)
        return found

    def overloaded(self) -> bool:
        """Tell whether a cold engine has more work than it can bear."""
        allowed = self.settings.cold_limit + self.finished_since_cold
        return self.cold and len(self.sequences_by_attempt) > allowed

    def advance(self, now_ms: int) -> list[Notice]:
        """Run all steps that end by ``now_ms``."""
        notices: list[Notice] = []
        self._advanced_ms = now_ms
        if self.overloaded():
            notices.extend(self.restart(now_ms))
        while self._running_step is not None:
            if self._running_step.end_ms > now_ms:
                break
            self._step_end_ms = self._running_step.end_ms
            notices.extend(self._end_step(self._running_step))
            self._running_step = self._begin_step()
        self._record_report(now_ms)
        return notices

    def next_step_ms(self) -> int | None:
        """Return when the present step ends, or None when idle."""
        if self._running_step is None:
            return None
        return int(self._running_step.end_ms) + 1

    def report(self, now_ms: int) -> records.LoadReport:
        """Return the newest report that is at least the lag old."""
        while len(self._reports) > 1:
            if self._reports[1][0] > now_ms - self.settings.report_lag_ms:
                break
            self._reports.popleft()
        taken_ms, report = self._reports[0]
        # Nothing changed from then until the lag before now.
        age_ms = min(now_ms - taken_ms, self.settings.report_lag_ms)
        return report._replace(age_ms=age_ms)

    def cached_hashes(self) -> tuple[int, ...]:
        """Return the hashes of the cached prompt blocks."""
        return tuple(self._cached)

    def _record_report(self, now_ms: int) -> None:
        report = records.LoadReport(
            target=self.name,
            start_id=f'{self.name}/{self.starts}',
            running=tuple(self.sequences_by_attempt),
            memory_tokens_used=self.memory_used,
            age_ms=0,
            cold=self.cold,
            leaving=self.leaving,
        )
        if self._reports and self._reports[-1][1] == report:
            return
        self._reports.append((now_ms, report))

    def _cached_tokens(self, hashes: tuple[int, ...]) -> int:
        blocks = 0
        for block_hash in hashes:
            if block_hash not in self._cached:
                break
            self._cached.move_to_end(block_hash)
            blocks += 1
        return blocks * BLOCK_TOKENS

    def _busy(self) -> bool:
        return any(
            sequence.prefill_left or not sequence.submission.hold
            for sequence in self.sequences_by_attempt.values()
        )

    def _next_prefill(self) -> Sequence | None:
        waiting = [
            sequence
            for sequence in self.sequences_by_attempt.values()
            if sequence.prefill_left
        ]
        if not waiting:
            return None
        return min(waiting, key=lambda entry: entry.submission.priority)

    def _decoding(self) -> list[Sequence]:
        return [
            sequence
            for sequence in self.sequences_by_attempt.values()
            if not sequence.prefill_left and not sequence.submission.hold
        ]

    def _begin_step(self) -> Step | None:
        if not self._busy():
            return None
        prefill = self._next_prefill()
        chunk = 0
        if prefill is not None:
            chunk = min(prefill.prefill_left, self.settings.chunk_tokens)
        decoding = tuple(self._decoding())
        duration_ms = self._step_duration_ms(chunk, len(decoding))
        return Step(prefill, chunk, decoding, self._step_end_ms + duration_ms)

    def _step_duration_ms(self, chunk: int, decoding: int) -> float:
        engine = self.settings
        duration = engine.step_ms + engine.step_ms_per_sequence * decoding
        duration += chunk * MS_PER_S / engine.prefill_tokens_per_s
        return duration * engine.cold_factor if self.cold else duration

    def _end_step(self, step: Step) -> list[Notice]:
        end_ms = int(step.end_ms)
        # Attempts that were cancelled during the step are gone.
        present = set(self.sequences_by_attempt.values())
        decoding = [entry for entry in step.decoding if entry in present]
        notices: list[Notice] = []
        prefill = step.prefill
        if prefill in present and prefill is not None:
            prefill.prefill_left -= step.prefill_tokens
            if not prefill.prefill_left:
                self._remember(prefill.submission.prefix_hashes)
                notices.extend(self._end_prefill(prefill, decoding, end_ms))
        for sequence in decoding:
            notices.append(self._produce(sequence, end_ms))
        return notices

    def _end_prefill(
        self, prefill: Sequence, decoding: list[Sequence], end_ms: int
    ) -> list[Notice]:
        if not prefill.submission.hold:
            decoding.append(prefill)
            return []
        attempt_id = prefill.submission.attempt_id
        return [Notice(attempt_id, 'exported', prefill.produced, end_ms)]

    def _produce(self, sequence: Sequence, end_ms: int) -> Notice:
        submission = sequence.submission
        sequence.produced += 1
        kind: NoticeKind = 'tokens'
        if sequence.produced == submission.offset + 1:
            kind = 'first_token'
        if sequence.produced >= submission.output_tokens:
            kind = 'finished'
            self.sequences_by_attempt.pop(submission.attempt_id)
            self.finished_since_cold += 1
        return Notice(submission.attempt_id, kind, sequence.produced, end_ms)

    def _remember(self, hashes: tuple[int, ...]) -> None:
        for block_hash in hashes:
            self._cached[block_hash] = None
            self._cached.move_to_end(block_hash)
        while len(self._cached) > self.settings.cache_blocks:
            self._cached.popitem(last=False)
