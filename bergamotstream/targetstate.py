"""
Target state
~~~~~~~~~~~~

What a partition's owner knows about one target: the attempts that occupy it,
reserved memory, cold start, speeds, cached prefixes and its load report.
"""

from typing import NamedTuple

from bergamotstream import (
    coldstart,
    grants,
    messages,
    prediction,
    prefixes,
    records,
)

# Share of memory and slots that only short requests may use.
SHORT_SHARE = 0.2
BACKOFF_MS = 100
MAX_BACKOFF_MS = 5_000
# Longest time between a grant and the arrival of its attempt at the target.
FLIGHT_MS = 500


class Need(NamedTuple):
    """What a request needs from one target."""

    length_class: records.LengthClass
    priority: int
    prompt_tokens: int
    memory_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    # The workspace has more than its share of the partition's slots.
    over_share: bool = False


class Occupant:
    """An attempt that occupies a target; ended ones may still run there."""

    def __init__(self, need: Need, granted_ms: int) -> None:
        """Occupy ``need`` from ``granted_ms`` on."""
        self.need = need
        self.granted_ms = granted_ms
        self.ended_ms: int | None = None

    @property
    def short(self) -> bool:
        """Tell whether the short requests' share may be used."""
        return self.need.length_class == 'short'


class Findings(NamedTuple):
    """What a load report revealed."""

    cancel: tuple[str, ...] = ()
    dead: tuple[str, ...] = ()
    restarted: bool = False


class TargetState:
    """Bookkeeping of one target at its partition's owner."""

    def __init__(
        self,
        info: records.TargetInfo,
        service: records.ServiceConfig,
        now_ms: int,
    ) -> None:
        """Start without attempts; memory is learned from reports."""
        self.info = info
        self.name = info.name
        self.service = service
        self.cold_start = coldstart.ColdStart(service, now_ms)
        self.speeds = prediction.Speeds(service)
        self.prefills = prediction.PrefillQueue(now_ms)
        self.prefixes = prefixes.PrefixDigest()
        self.occupants: dict[str, Occupant] = {}
        self.orphans: set[str] = set()
        self.memory_reserved = 0
        self.leaving_by_operator = False
        self.reported_leaving = False
        self.lost_ms = -1
        self.reserved_for = ''
        self.idle_since_ms = now_ms
        self._memory_beyond_short = 0
        self._orphan_memory = 0
        self._start_id = ''
        self._taken_ms = now_ms - FLIGHT_MS
        self._freed_ms_by_attempt: dict[str, int] = {}
        self._backoff_ms = 0
        self._usable_from_ms = now_ms

    @property
    def running(self) -> int:
        """Return attempts that run or may run on the target."""
        return len(self.occupants) + len(self.orphans)

    @property
    def leaving(self) -> bool:
        """Tell whether the target must get no new work from now on."""
        return self.leaving_by_operator or self.reported_leaving

    @property
    def memory_used(self) -> int:
        """Return memory in tokens that is reserved or held by orphans."""
        return self.memory_reserved + self._orphan_memory

    def usable(self, now_ms: int) -> bool:
        """Tell whether the target may be given new work at all."""
        return not self.leaving and now_ms >= self._usable_from_ms

    def usable_in_ms(self, now_ms: int) -> int:
        """Return how long the target is still avoided."""
        return max(self._usable_from_ms - now_ms, 0)

    def fits(self, need: Need) -> bool:
        """Tell whether the caps and the memory leave room for ``need``."""
        if self.running >= self._slots_for(need):
            return False
        if self.service.kind == 'plain':
            return True
        memory = need.memory_tokens
        if self.memory_used + memory > self.service.memory_tokens:
            return False
        if need.length_class == 'short':
            return True
        used = self._memory_beyond_short + self._orphan_memory
        if used + memory > self.memory_beyond_short:
            return False
        others = sum(not entry.short for entry in self.occupants.values())
        others += len(self.orphans)
        return others < _kept_share(self._slots_for(need))

    def fits_beside(self, need: Need, kept_tokens: int) -> bool:
        """Tell whether ``need`` leaves memory for a long prompt's part."""
        used = self._memory_beyond_short + self._orphan_memory
        wanted = need.memory_tokens + kept_tokens
        return used + wanted <= self.memory_beyond_short

    @property
    def memory_beyond_short(self) -> int:
        """Return the memory that medium and long requests may use."""
        return int(self.service.memory_tokens * (1 - SHORT_SHARE))

    def occupy(self, attempt_id: str, need: Need, now_ms: int) -> None:
        """Reserve memory and a slot for an attempt."""
        if attempt_id in self.occupants:
            return
        occupant = Occupant(need, now_ms)
        self.occupants[attempt_id] = occupant
        self.orphans.discard(attempt_id)
        if not self.orphans:
            self._orphan_memory = 0
        self._reserve(occupant, 1)

    def start_prefill(self, attempt_id: str, need: Need, now_ms: int) -> None:
        """Count the prompt tokens that the engine has to process."""
        self.drain(now_ms)
        cached = self.cached_tokens(need)
        tokens = max(need.prompt_tokens - cached, 1)
        self.prefills.add(prediction.Prefill(attempt_id, need.priority, tokens))

    def drain(self, now_ms: int) -> None:
        """Bring the estimate of prefill work up to date."""
        self.prefills.drain(now_ms, self.speeds.prefill_tokens_per_s)

    def cached_tokens(self, need: Need) -> int:
        """Return the prompt tokens that the engine probably has cached."""
        blocks = self.prefixes.matching_blocks(need.prefix_hashes)
        return blocks * prediction.BLOCK_TOKENS

    def predicted_ttft_ms(self, need: Need) -> float:
        """Return the predicted time to first token of a new attempt.

        Call :meth:`drain` before. A step of a less urgent prefill that has
        begun must end first. A cold target is slower by a fixed factor.
        """
        if self.service.kind == 'plain':
            return self.speeds.call_ms * (1 + self.running / self.slots)
        own = max(need.prompt_tokens - self.cached_tokens(need), 1)
        ahead = self.prefills.tokens_ahead(need.priority)
        ahead += self.prefills.tokens_in_step(need.priority)
        factor = prediction.COLD_FACTOR if self.cold_start.slow else 1
        return self.speeds.prefill_ms(ahead + own) * factor

    @property
    def slots(self) -> int:
        """Return how many attempts a warm target can run."""
        return max(self.service.slots, 1)

    @property
    def has_long_prefill(self) -> bool:
        """Tell whether a long prompt is being processed."""
        return self.prefills.last_priority() >= grants.FIRST_LONG_PRIORITY

    def free(self, attempt_id: str, now_ms: int) -> None:
        """Free an attempt that has certainly ended."""
        occupant = self.occupants.pop(attempt_id, None)
        if occupant is None:
            return
        self.prefills.remove(attempt_id)
        self._reserve(occupant, -1)
        self._freed_ms_by_attempt[attempt_id] = now_ms
        if not self.running:
            self.idle_since_ms = now_ms

    def end(self, attempt_id: str, now_ms: int) -> None:
        """Keep the memory of an attempt until a report shows it gone."""
        occupant = self.occupants.get(attempt_id)
        if occupant is not None and occupant.ended_ms is None:
            occupant.ended_ms = now_ms
            self.prefills.remove(attempt_id)

    def first_token(
        self, attempt_id: str, ttft_ms: int, predicted_ms: float, now_ms: int
    ) -> None:
        """Learn from the time to first token of an attempt."""
        self.drain(now_ms)
        prefill = self.prefills.remove(attempt_id)
        occupant = self.occupants.get(attempt_id)
        if prefill is None or occupant is None:
            return
        self.reset_backoff(now_ms)
        self.prefixes.remember(occupant.need.prefix_hashes)
        if self.service.kind == 'plain' or not prefill.undisturbed:
            return
        if self.cold_start.cold:
            return
        if self.cold_start.observe_ttft(ttft_ms, predicted_ms, now_ms):
            self.prefixes.clear()
        elif prefill.tokens == occupant.need.prompt_tokens:
            self._learn_prefill(prefill, occupant, ttft_ms, now_ms)

    def _learn_prefill(
        self,
        prefill: prediction.Prefill,
        occupant: Occupant,
        ttft_ms: int,
        now_ms: int,
    ) -> None:
        if prefill.head_ms is None:
            return
        duration_ms = now_ms - prefill.head_ms
        if prefill.head_ms == occupant.granted_ms:
            # The way from the owner to the target does not count.
            duration_ms = ttft_ms
        self.speeds.learn_prefill(prefill.tokens, duration_ms)

    def learn_end(
        self, grant: grants.Grant, message: messages.GrantRelease, now_ms: int
    ) -> None:
        """Learn from an attempt that has finished."""
        self.reset_backoff(now_ms)
        self.cold_start.count_finished(grant.granted_ms, now_ms)
        if self.service.kind == 'plain':
            self.speeds.learn_call(message.duration_ms)
        elif grant.ttft_ms is not None:
            decoding_ms = message.duration_ms - grant.ttft_ms
            self.speeds.learn_decode(message.output_tokens, decoding_ms)

    def back_off(self, now_ms: int) -> None:
        """Avoid the target for a time that doubles with each failure."""
        doubled = max(self._backoff_ms * 2, BACKOFF_MS)
        self._backoff_ms = min(doubled, MAX_BACKOFF_MS)
        self._usable_from_ms = now_ms + self._backoff_ms

    def reset_backoff(self, now_ms: int) -> None:
        """Trust the target again after a success."""
        self._backoff_ms = 0
        self._usable_from_ms = now_ms

    def turn_cold(self, now_ms: int, *, told_by_report: bool) -> None:
        """Fall back to the cold cap and forget the cached prefixes."""
        self.cold_start.turn_cold(now_ms, told_by_report=told_by_report)
        self.prefixes.clear()

    def reconcile(
        self, report: records.LoadReport, now_ms: int
    ) -> Findings | None:
        """Compare a load report with the bookkeeping.

        A report shows the past, so an attempt counts as gone or orphaned
        only if the report was taken after the attempt was ended or freed.
        Returns None for a report older than the last one.
        """
        taken_ms = now_ms - report.age_ms
        if taken_ms < self._taken_ms and report.start_id == self._start_id:
            return None
        self._taken_ms = taken_ms
        shown = frozenset(report.running)
        restarted = bool(self._start_id) and report.start_id != self._start_id
        self._start_id = report.start_id
        dead: tuple[str, ...] = ()
        if restarted:
            dead = self._dead_attempts(shown, taken_ms)
            self.turn_cold(now_ms, told_by_report=report.cold)
        if self.cold_start.observe_report(report.cold, taken_ms, now_ms):
            self.prefixes.clear()
        self._free_ended(shown, taken_ms, now_ms)
        self._find_orphans(report, shown, taken_ms)
        still_shown = tuple(
            attempt_id
            for attempt_id in report.running
            if self._has_ended(attempt_id)
        )
        return Findings(still_shown, dead, restarted)

    def _slots_for(self, need: Need) -> int:
        cap = self.cold_start.cap
        return _kept_share(cap) if need.over_share else cap

    def _has_ended(self, attempt_id: str) -> bool:
        occupant = self.occupants.get(attempt_id)
        return occupant is not None and occupant.ended_ms is not None

    def _dead_attempts(
        self, shown: frozenset[str], taken_ms: int
    ) -> tuple[str, ...]:
        return tuple(
            attempt_id
            for attempt_id, occupant in self.occupants.items()
            if attempt_id not in shown
            and occupant.granted_ms < taken_ms - FLIGHT_MS
        )

    def _free_ended(
        self, shown: frozenset[str], taken_ms: int, now_ms: int
    ) -> None:
        gone = [
            attempt_id
            for attempt_id, occupant in self.occupants.items()
            if occupant.ended_ms is not None
            and attempt_id not in shown
            and taken_ms >= occupant.ended_ms
        ]
        for attempt_id in gone:
            self.free(attempt_id, now_ms)

    def _find_orphans(
        self,
        report: records.LoadReport,
        shown: frozenset[str],
        taken_ms: int,
    ) -> None:
        self._freed_ms_by_attempt = {
            attempt_id: freed_ms
            for attempt_id, freed_ms in self._freed_ms_by_attempt.items()
            if freed_ms > taken_ms
        }
        self.orphans = {
            attempt_id
            for attempt_id in shown
            if attempt_id not in self.occupants
            and attempt_id not in self._freed_ms_by_attempt
        }
        known = sum(
            self.occupants[attempt_id].need.memory_tokens
            for attempt_id in shown
            if attempt_id in self.occupants
        )
        beyond = max(report.memory_tokens_used - known, 0)
        self._orphan_memory = beyond if self.orphans else 0

    def _reserve(self, occupant: Occupant, sign: int) -> None:
        need = occupant.need
        self.memory_reserved += sign * need.memory_tokens
        if not occupant.short:
            self._memory_beyond_short += sign * need.memory_tokens


def _kept_share(slots: int) -> int:
    """Return the slots without the share that is kept for others."""
    return max(int(slots * (1 - SHORT_SHARE)), min(slots, 1))
