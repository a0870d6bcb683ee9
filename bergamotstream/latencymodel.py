"""
Latency model
~~~~~~~~~~~~~

Learned speeds of a target and an estimate of its prefill work, from which time
to first token and finish time are predicted. Speeds are exponentially weighted
moving averages.
"""

import bisect
from typing import NamedTuple

from bergamotstream import grants, records

MS_PER_S = 1_000
# Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.1
# Samples are clamped to these factors of the configured speed, because larger
# deviations are faults.
SLOWEST_FACTOR = 0.05
FASTEST_FACTOR = 4.0
# A target that is slower by this factor may have turned cold.
POSSIBLY_COLD_FACTOR = 2.0
# Prompt tokens that engines process in one uninterruptible step. Source:
# chunked prefill, Agrawal et al., "Sarathi-Serve", 2024.
CHUNK_TOKENS = 2_048
# Tokens that an overdue prefill is still counted with.
OVERDUE_TOKENS = 512
# How much slower an engine is while it warms up.
COLD_FACTOR = 4.0
# Sorts after every other priority.
LOWEST_PRIORITY = 1_000_000
# Shorter prompts say little about the prefill speed.
MIN_SAMPLE_TOKENS = 1_000


class Speeds:
    """Learned speeds of one target."""

    def __init__(self, service: records.ServiceConfig) -> None:
        """Start with the configured speeds."""
        self._configured = service
        self._prefill_samples = 0
        self.prefill_tokens_per_s = float(service.prefill_tokens_per_s)
        self.decode_ms_per_token = float(service.decode_ms_per_token)
        self.call_ms = float(service.call_ms)

    def learn_prefill(self, tokens: int, duration_ms: int) -> None:
        """Learn from the time for which a prompt was processed alone."""
        if tokens < MIN_SAMPLE_TOKENS or duration_ms <= 0:
            return
        sample = tokens * MS_PER_S / duration_ms
        weight = SAMPLE_WEIGHT
        if sample * POSSIBLY_COLD_FACTOR > self.prefill_tokens_per_s:
            self._prefill_samples += 1
            # The configured speed counts as one sample.
            weight = max(weight, 1 / (self._prefill_samples + 1))
        # Averages the time per token. An average of speeds is biased upwards
        # by a few short samples, and a target that seems fast gets more work.
        current = 1 / self.prefill_tokens_per_s
        bounded = _bounded(sample, self._configured.prefill_tokens_per_s)
        self.prefill_tokens_per_s = 1 / (
            current + weight * (1 / bounded - current)
        )

    def learn_decode(self, tokens: int, duration_ms: int) -> None:
        """Learn from the time between the first and the last token."""
        if tokens > 1 and duration_ms > 0:
            self.decode_ms_per_token = _average(
                self.decode_ms_per_token,
                duration_ms / (tokens - 1),
                self._configured.decode_ms_per_token,
            )

    def learn_call(self, duration_ms: int) -> None:
        """Learn from the duration of a call to a plain service."""
        if duration_ms > 0:
            self.call_ms = _average(
                self.call_ms, float(duration_ms), self._configured.call_ms
            )

    def prefill_ms(self, tokens: float) -> float:
        """Return the time to process prompt tokens."""
        return tokens * MS_PER_S / self.prefill_tokens_per_s


class Prefill:
    """A granted attempt whose first token has not been seen."""

    def __init__(
        self,
        attempt_id: str,
        priority: int,
        tokens: int,
        begins_ms: int = 0,
        exported: bool = False,
    ) -> None:
        """Start with all ``tokens`` left.

        No message reports the end of an ``exported`` prompt part, so it ends
        by the estimate.
        """
        self.attempt_id = attempt_id
        self.priority = priority
        self.begins_ms = begins_ms
        self.exported = exported
        self.tokens = tokens
        self.tokens_left = float(tokens)
        # When the engine began to process it, if known.
        self.processing_since_ms: int | None = None
        # Cleared when a more urgent prefill is queued before it.
        self.never_overtaken = True


class PrefillBacklog(NamedTuple):
    """Prefills that run before a new one.

    ``step_tokens`` are those of a step of a less urgent prefill that has
    begun and cannot be interrupted.
    """

    prefills: int
    tokens: float
    step_tokens: float


NO_BACKLOG = PrefillBacklog(0, float(0), float(0))


class PrefillQueue:
    """Estimate of an engine's prefill work, in the order it is run.

    The engine runs the lowest priority number first and ties in order of
    arrival. Between messages the estimate drains at the learned speed.
    """

    def __init__(self, now_ms: int) -> None:
        """Start idle."""
        self._entries: list[Prefill] = []
        self._updated_ms = now_ms

    def __len__(self) -> int:
        """Return the number of unfinished prefills."""
        return len(self._entries)

    def add(self, entry: Prefill) -> None:
        """Insert a prefill behind those of the same priority."""
        index = bisect.bisect_right(
            self._entries, entry.priority, key=_priority
        )
        if not self._entries:
            entry.processing_since_ms = self._updated_ms
        for later in self._entries[index:]:
            later.never_overtaken = False
        self._entries.insert(index, entry)

    def remove(self, attempt_id: str) -> Prefill | None:
        """Remove a prefill that has ended and return it."""
        for index, entry in enumerate(self._entries):
            if entry.attempt_id == attempt_id:
                self._entries.pop(index)
                self._start_head()
                return entry
        return None

    def _start_head(self) -> None:
        if self._entries and self._entries[0].processing_since_ms is None:
            self._entries[0].processing_since_ms = self._updated_ms

    def clear(self) -> None:
        """Discard all prefills because the engine restarted."""
        self._entries.clear()

    def drain(self, now_ms: int, tokens_per_s: float) -> None:
        """Account for the work done since the last call."""
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        if not self._entries or not elapsed_ms:
            return
        budget = elapsed_ms * tokens_per_s / MS_PER_S
        ended = []
        for entry in self._entries:
            if entry.begins_ms > now_ms:
                continue
            min_tokens_left = 0 if entry.exported else OVERDUE_TOKENS
            done = min(max(entry.tokens_left - min_tokens_left, 0), budget)
            entry.tokens_left -= done
            budget -= done
            if not entry.tokens_left:
                ended.append(entry.attempt_id)
        for attempt_id in ended:
            self.remove(attempt_id)

    def last_priority(self) -> int:
        """Return the priority of the least urgent prefill, or -1."""
        return self._entries[-1].priority if self._entries else -1

    def tokens_by_length(self) -> tuple[float, float]:
        """Return the tokens left of long prompts and of all prompts."""
        long_tokens = float(0)
        all_tokens = float(0)
        for entry in self._entries:
            all_tokens += entry.tokens_left
            if entry.priority >= grants.FIRST_LONG_PRIORITY:
                long_tokens += entry.tokens_left
        return long_tokens, all_tokens

    def backlog_before(self, priority: int) -> PrefillBacklog:
        """Return what runs before a new prefill of ``priority``."""
        if not self._entries:
            return NO_BACKLOG
        count = 0
        tokens = float(0)
        for entry in self._entries:
            if entry.priority > priority:
                break
            count += 1
            tokens += entry.tokens_left
        step_tokens = float(0)
        if not count:
            first = self._entries[0]
            if first.begins_ms <= self._updated_ms:
                step_tokens = min(first.tokens_left, CHUNK_TOKENS)
        return PrefillBacklog(count, tokens, step_tokens)


def _priority(entry: Prefill) -> int:
    return entry.priority


def _bounded(sample: float, configured: float) -> float:
    low, high = configured * SLOWEST_FACTOR, configured * FASTEST_FACTOR
    return min(max(sample, low), high)


def _average(current: float, sample: float, configured: float) -> float:
    return current + SAMPLE_WEIGHT * (_bounded(sample, configured) - current)
