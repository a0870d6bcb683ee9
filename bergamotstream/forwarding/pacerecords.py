"""
Pace records
~~~~~~~~~~~~

Tells the paces of targets how requests ended, and writes their changes to the
log and the metrics. Bursts after a recovery change a pace a few times for each
target, so a line is written only when the limit in whole requests changes.
"""

from collections.abc import Iterable

from bergamotstream import clock, metrics
from bergamotstream.forwarding import (
    commitments,
    eventlog,
    exchangerecords,
    fleetrecords,
    requeststate,
    scheduler,
    targetpace,
)


class PaceRecorder:
    """Records the paces of targets on one host."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Update the paces of ``core``."""
        self._core = core
        self._log = log
        self._clock = time_source
        self._meters = meters

    def record_listed(
        self, target: fleetrecords.TargetEntry, *, is_running: bool
    ) -> None:
        """Record the entry of a target."""
        self._write(
            self._core.pace.record_listed(
                target,
                self._clock.wall_ms() - target.started_ms,
                self._clock.now_ms(),
                is_running=is_running,
            )
        )

    def update_zones(self) -> None:
        """Record zones that are out of service, or back."""
        self._write(
            *self._core.pace.update_zones(self._core.view, self._clock.now_ms())
        )

    def record_first_token(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        waited_ms: int,
    ) -> None:
        """Record the first bytes of a stream, in ms after the placement."""
        now_ms = self._clock.now_ms()
        target = assignment.target
        # The forecast is of a target as slow as this one has been lately.
        estimate = self._core.health.estimate_of(target.target_id, now_ms)
        expected_ms = max(
            assignment.forecast_ms / estimate.slowness, assignment.prefill_ms
        )
        self._record_answer(served, assignment, waited_ms, expected_ms)

    def record_success(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record a complete answer; streams have told their first bytes."""
        if not served.job.route.streaming:
            waited_ms = self._clock.now_ms() - assignment.placed_ms
            # A profile tells the time of the first token only.
            self._record_answer(served, assignment, waited_ms, float(0))

    def _record_answer(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        waited_ms: int,
        expected_ms: float,
    ) -> None:
        timing = targetpace.Timing(
            served.job.route.name, assignment.placed_ms, waited_ms, expected_ms
        )
        self._write(
            self._core.pace.record_answer(
                assignment.target, timing, self._clock.now_ms()
            )
        )

    def record_gap(
        self,
        assignment: exchangerecords.Assignment,
        median_ms: float,
        usual_ms: float,
    ) -> None:
        """Record the median of some gaps between events of a stream."""
        if usual_ms and median_ms > usual_ms * targetpace.LATE_FACTOR:
            self.record_trouble(assignment, 'late')

    def record_trouble(
        self, assignment: exchangerecords.Assignment, reason: str
    ) -> None:
        """Record an answer that was late or failed."""
        self._write(
            self._core.pace.record_trouble(
                assignment.target,
                assignment.placed_ms,
                self._clock.now_ms(),
                reason,
            )
        )

    def record_refused(
        self, target: fleetrecords.TargetEntry, placed_ms: int
    ) -> None:
        """Record a refusal of a target or a helper."""
        self._write(
            self._core.pace.record_refused(
                target, placed_ms, self._clock.now_ms()
            )
        )

    def record_unreachable(
        self, target: fleetrecords.TargetEntry, placed_ms: int
    ) -> None:
        """Record that a target accepted no connection, or is another run."""
        self._write(
            self._core.pace.record_unreachable(
                target, placed_ms, self._clock.now_ms()
            )
        )

    def forgive(self, target_id: str) -> None:
        """Record that a failure came from the links of this host."""
        target = self._core.view.targets_by_id.get(target_id)
        if target is not None:
            self._write(self._core.pace.forgive(target))

    def hear(self, peer: str, placed: Iterable[commitments.Commitment]) -> None:
        """Record what a peer's commitments tell of its answers."""
        self._write(
            *self._core.pace.hear(
                peer,
                placed,
                self._core.view.targets_by_id,
                self._clock.now_ms(),
            )
        )

    def gauges(self) -> dict[metrics.Series, float]:
        """Return the limits in force by target."""
        return {
            metrics.Series('target_pace_limit', target_id): float(limit)
            for target_id, limit in self._core.pace.limits().items()
        }

    def _write(self, *changes: targetpace.Change | None) -> None:
        for change in changes:
            if change is None:
                continue
            self._meters.count('target_pace_changes', change.reason)
            self._log.write(
                'target_pace',
                target=change.target.target_id,
                started_ms=change.target.started_ms,
                service=change.target.service,
                limit=change.limit,
                previous=change.previous,
                reason=change.reason,
                answers=change.answers,
            )
