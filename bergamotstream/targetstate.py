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
    latencymodel,
    messages,
    occupancy,
    prefixes,
    records,
)

BACKOFF_MS = 100
MAX_BACKOFF_MS = 5_000


class Reconciliation(NamedTuple):
    """Differences between a load report and the bookkeeping."""

    cancel: tuple[str, ...] = ()
    lost_attempts: tuple[str, ...] = ()
    restarted: bool = False


class TargetState:
    """Bookkeeping of one target at its partition's owner."""

    def __init__(
        self,
        info: records.TargetInfo,
        service: records.ServiceConfig,
        now_ms: int,
    ) -> None:
        """Start without attempts; reports add memory of unknown ones."""
        self.info = info
        self.name = info.name
        self.service = service
        self.cold_start = coldstart.ColdStart(service, now_ms)
        self.speeds = latencymodel.Speeds(service)
        self.prefills = latencymodel.PrefillQueue(now_ms)
        self.prefixes = prefixes.PrefixDigest()
        self.occupancy = occupancy.Occupancy(service)
        self.leaving_by_operator = False
        self.reported_leaving = False
        self.crashed_ms = -1
        self.reserved_for = ''
        self.idle_since_ms = now_ms
        self._start_id = ''
        self._sampled_ms = now_ms - occupancy.MAX_TRANSIT_MS
        self._backoff_ms = 0
        self._usable_from_ms = now_ms

    @property
    def running(self) -> int:
        """Return attempts that run or may run on the target."""
        return self.occupancy.running

    @property
    def leaving(self) -> bool:
        """Return whether the target must get no new work from now on."""
        return self.leaving_by_operator or self.reported_leaving

    def usable(self, now_ms: int) -> bool:
        """Return whether the target may be given new work at all."""
        return not self.leaving and now_ms >= self._usable_from_ms

    def fits(self, requirement: occupancy.Requirement) -> bool:
        """Return whether the request fits within the cap and the memory."""
        return self.occupancy.fits(requirement, self.cold_start.cap)

    def occupy(
        self,
        attempt_id: str,
        requirement: occupancy.Requirement,
        now_ms: int,
        *,
        prefill: bool,
    ) -> None:
        """Reserve a slot and memory for an attempt; add its prefill."""
        self.occupancy.occupy(attempt_id, requirement, now_ms)
        if prefill and self.service.kind == 'model':
            self._start_prefill(attempt_id, requirement, now_ms)

    def drain(self, now_ms: int) -> None:
        """Bring the estimate of prefill work up to date."""
        self.prefills.drain(now_ms, self.speeds.prefill_tokens_per_s)

    def cached_tokens(self, requirement: occupancy.Requirement) -> int:
        """Return the prompt tokens that the engine probably has cached."""
        if not requirement.prefix_hashes:
            return 0
        blocks = self.prefixes.matching_blocks(requirement.prefix_hashes)
        return blocks * records.BLOCK_TOKENS

    def predicted_ttft_ms(
        self,
        requirement: occupancy.Requirement,
        backlog: latencymodel.PrefillBacklog | None = None,
    ) -> float:
        """Return the predicted time to first token of a new attempt.

        Call :meth:`drain` before; ``backlog`` saves a second count. A step of a
        less urgent prefill that has begun must end first. A cold target is
        slower by a fixed factor.
        """
        if self.service.kind == 'plain':
            return self.speeds.call_ms * (1 + self.running / self.slots)
        if backlog is None:
            backlog = self.prefills.backlog_before(requirement.priority)
        tokens = backlog.tokens + backlog.step_tokens
        tokens += max(
            requirement.prompt_tokens - self.cached_tokens(requirement), 1
        )
        factor = latencymodel.COLD_FACTOR if self.cold_start.known_cold else 1
        return self.speeds.prefill_ms(tokens) * factor

    @property
    def slots(self) -> int:
        """Return how many attempts a warm target can run."""
        return max(self.service.slots, 1)

    @property
    def has_long_prefill(self) -> bool:
        """Return whether a long prompt is being processed."""
        return self.prefills.last_priority() >= grants.FIRST_LONG_PRIORITY

    def free(self, attempt_id: str, now_ms: int) -> None:
        """Free an attempt that has certainly ended."""
        self.prefills.remove(attempt_id)
        self.occupancy.free(attempt_id, now_ms)
        if not self.running:
            self.idle_since_ms = now_ms

    def end(self, attempt_id: str, now_ms: int) -> None:
        """Keep an ended attempt's memory until a report omits it."""
        self.prefills.remove(attempt_id)
        self.occupancy.end(attempt_id, now_ms)

    def observe_first_token(
        self, attempt_id: str, ttft_ms: int, predicted_ms: float, now_ms: int
    ) -> None:
        """Learn from the time to first token of an attempt."""
        self.drain(now_ms)
        prefill = self.prefills.remove(attempt_id)
        occupant = self.occupancy.occupants.get(attempt_id)
        if prefill is None or occupant is None:
            return
        self.reset_backoff(now_ms)
        self.prefixes.add(occupant.requirement.prefix_hashes)
        if self.service.kind == 'plain' or not prefill.never_overtaken:
            return
        if self.cold_start.cold:
            return
        if self.cold_start.observe_ttft(ttft_ms, predicted_ms, now_ms):
            self.prefixes.clear()
        elif prefill.tokens == occupant.requirement.prompt_tokens:
            self._learn_prefill(prefill, occupant, ttft_ms, now_ms)

    def observe_finish(
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
        """Use the target without delay after a success."""
        self._backoff_ms = 0
        self._usable_from_ms = now_ms

    def turn_cold(self, now_ms: int, *, trust_reports: bool) -> None:
        """Apply the cold cap and discard the cached prefixes."""
        self.cold_start.turn_cold(now_ms, trust_reports=trust_reports)
        self.prefixes.clear()

    def reconcile(
        self, report: records.LoadReport, now_ms: int
    ) -> Reconciliation | None:
        """Compare a load report with the bookkeeping.

        A report describes the past, so an attempt counts as gone or orphaned
        only if the report was taken after the attempt was ended or freed.
        Returns None for a report older than the last one.
        """
        sampled_ms = now_ms - report.age_ms
        if sampled_ms < self._sampled_ms and report.start_id == self._start_id:
            return None
        self._sampled_ms = sampled_ms
        reported_attempts = frozenset(report.running)
        restarted = report.start_id != self._start_id
        if not self._start_id and self.crashed_ms < 0:
            restarted = False
        self._start_id = report.start_id
        lost_attempts: tuple[str, ...] = ()
        if restarted:
            lost_attempts = self.occupancy.lost_attempts(
                reported_attempts, sampled_ms
            )
            self.turn_cold(now_ms, trust_reports=report.cold)
        if self.cold_start.observe_report(report.cold, sampled_ms, now_ms):
            self.prefixes.clear()
        self.occupancy.free_ended(reported_attempts, sampled_ms, now_ms)
        self.occupancy.find_orphans(
            reported_attempts, report.memory_tokens_used, sampled_ms
        )
        return Reconciliation(
            self.occupancy.ended_but_reported(reported_attempts),
            lost_attempts,
            restarted,
        )

    def _start_prefill(
        self, attempt_id: str, requirement: occupancy.Requirement, now_ms: int
    ) -> None:
        """Count the prompt tokens that the engine has to process."""
        self.drain(now_ms)
        cached = self.cached_tokens(requirement)
        tokens = max(requirement.prompt_tokens - cached, 1)
        self.prefills.add(
            latencymodel.Prefill(
                attempt_id,
                requirement.priority,
                tokens,
                now_ms + requirement.delay_ms,
                requirement.exported,
            )
        )

    def _learn_prefill(
        self,
        prefill: latencymodel.Prefill,
        occupant: occupancy.Occupant,
        ttft_ms: int,
        now_ms: int,
    ) -> None:
        if prefill.processing_since_ms is None:
            return
        duration_ms = now_ms - prefill.processing_since_ms
        if prefill.processing_since_ms == occupant.granted_ms:
            # Excludes the transit from the owner to the target.
            duration_ms = ttft_ms
        self.speeds.learn_prefill(prefill.tokens, duration_ms)
