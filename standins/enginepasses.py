"""
Engine passes
~~~~~~~~~~~~~

Behaviour of a model engine of the users' platform in virtual time, without
input or output. Durations and the order of reading are those of
``bergamotstream.forwarding.enginetiming``, from which hosts forecast.
"""

import operator
from collections.abc import Iterable
from typing import Final, Literal, NamedTuple

from bergamotstream.forwarding import enginetiming, fleetrecords

NoticeKind = Literal['part_read', 'event', 'finished']

# Tokens that are left by rounding are taken as read.
LEAST_TOKENS: Final = 0.5


class Notice(NamedTuple):
    """What a request has reached at the end of a pass."""

    attempt_id: str
    kind: NoticeKind


class Work(NamedTuple):
    """A request, or one part of its prompt, as an engine receives it."""

    attempt_id: str
    prompt_tokens: int
    answer_tokens: int
    # The number of engines that read the prompt.
    parts: int
    # False for an engine that only reads a part.
    writes: bool
    priority: int


class Running:
    """Work that an engine has admitted."""

    def __init__(
        self, work: Work, read_ms: float, now_ms: int, pass_number: int
    ) -> None:
        """Start with all of the part unread."""
        self.work = work
        self.read = enginetiming.Prefill(now_ms, read_ms, work.parts > 1)
        self.tokens_left = work.prompt_tokens / work.parts
        self.ms_per_token = read_ms / self.tokens_left
        self.written = 0
        # Set when all parts are read, also those of other engines.
        self.may_write = False
        self.admitted_in_pass = pass_number


class EnginePasses:
    """One engine; :meth:`end_pass` is called when a pass ends."""

    def __init__(self, profile: fleetrecords.EngineProfile) -> None:
        """Start idle."""
        self.profile = profile
        self.slowness = float(1)
        self.running_by_attempt: dict[str, Running] = {}
        self._queue: list[tuple[int, int, Work]] = []
        self._arrivals = 0
        self._passes = 0

    def submit(self, work: Work, now_ms: int) -> None:
        """Queue work; parts of other engines' requests need no slot."""
        if work.writes:
            self._arrivals += 1
            self._queue.append((work.priority, self._arrivals, work))
        else:
            self._admit(work, now_ms)

    def cancel(self, attempt_id: str) -> None:
        """Drop a request; unknown ones are left alone."""
        self.running_by_attempt.pop(attempt_id, None)
        self._queue = [
            entry for entry in self._queue if entry[2].attempt_id != attempt_id
        ]

    def start_writing(self, attempt_id: str) -> None:
        """Tell that all engines have read their parts of a prompt."""
        running = self.running_by_attempt.get(attempt_id)
        if running is not None:
            running.may_write = True

    def begin_pass(self, now_ms: int) -> float:
        """Return the duration of the next pass in ms; 0 when idle."""
        self._admit_queued(now_ms)
        self._passes += 1
        writers = self._writers()
        steps = self.profile.steps_in_pass if writers else 1
        duration_ms = enginetiming.decode_pass_ms(
            self.profile,
            len(writers),
            sum(running.work.prompt_tokens for running in writers),
        )
        duration_ms += self._read_chunks(steps)
        return duration_ms * self.slowness

    def end_pass(self) -> list[Notice]:
        """Return what the pass has reached."""
        return [*self._ended_reads(), *self._written_events()]

    def _ended_reads(self) -> Iterable[Notice]:
        for attempt_id, running in list(self.running_by_attempt.items()):
            unread = running.tokens_left > LEAST_TOKENS
            if unread or running.may_write or not running.read.prefill_ms:
                continue
            running.read = running.read._replace(prefill_ms=float(0))
            if not running.work.writes:
                self.running_by_attempt.pop(attempt_id)
            yield Notice(attempt_id, 'part_read')

    def _written_events(self) -> Iterable[Notice]:
        for running in self._writers():
            if running.admitted_in_pass == self._passes:
                continue
            attempt_id = running.work.attempt_id
            running.written += self.profile.steps_in_pass
            yield Notice(attempt_id, 'event')
            if running.written >= running.work.answer_tokens:
                self.running_by_attempt.pop(attempt_id)
                yield Notice(attempt_id, 'finished')

    def _writers(self) -> list[Running]:
        return [
            running
            for running in self.running_by_attempt.values()
            if running.may_write and running.work.writes
        ]

    def _admit(self, work: Work, now_ms: int) -> None:
        whole_ms = enginetiming.prefill_ms(self.profile, work.prompt_tokens)
        self.running_by_attempt[work.attempt_id] = Running(
            work, whole_ms / work.parts, now_ms, self._passes
        )

    def _admit_queued(self, now_ms: int) -> None:
        """Admit the most urgent requests that have a slot and memory."""
        self._queue.sort(key=operator.itemgetter(0, 1))
        while self._queue:
            requests = [
                running.work
                for running in self.running_by_attempt.values()
                if running.work.writes
            ]
            work = self._queue[0][2]
            held = sum(_memory(entry) for entry in (*requests, work))
            if len(requests) >= self.profile.slots:
                return
            if requests and held > self.profile.memory_tokens:
                return
            self._queue.pop(0)
            self._admit(work, now_ms)

    def _read_chunks(self, steps: int) -> float:
        """Read for ``steps`` steps; return the milliseconds it takes."""
        budget = float(steps * self.profile.chunk_tokens)
        unread = [
            running
            for running in self.running_by_attempt.values()
            if running.tokens_left > LEAST_TOKENS
        ]
        reads = [running.read for running in unread]
        spent_ms = float(0)
        for index in enginetiming.prefill_order(reads, range(len(reads))):
            running = unread[index]
            tokens = min(running.tokens_left, budget)
            budget -= tokens
            running.tokens_left -= tokens
            spent_ms += tokens * running.ms_per_token
        return spent_ms


def _memory(work: Work) -> int:
    return work.prompt_tokens // work.parts + work.answer_tokens
