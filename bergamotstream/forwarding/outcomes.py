"""
Outcomes
~~~~~~~~

Passes the outcomes of requests to target health, crash blame and the
commitment table, and writes their log events and metrics.
"""

import functools
import statistics
from collections.abc import Callable
from typing import Final

import multidict

from bergamotstream import clock, metrics
from bergamotstream.forwarding import (
    answerlimits,
    crashblame,
    dispatch,
    eventlog,
    exchangerecords,
    fingerprints,
    fleetrecords,
    links,
    pacerecords,
    refusals,
    relayedevents,
    requeststate,
    requesttimes,
    reservations,
    scheduler,
    targetstatements,
)
from bergamotstream.platform import documents

# A target refuses a request at once for a helper that had ended before, and
# after about 1.5 s for one that ended while it read its part.
HELPER_STALL_MS: Final = 1_000
# Events after which the parts of a prompt have not crashed their target: it ends
# as soon as it begins to write an answer on such a part.
WRITTEN_EVENTS: Final = 8
# A request that its caller abandons sooner tells nothing of the link.
SILENT_LINK_MS: Final = 600
# Inter-event gaps per sample of a target's speed.
GAP_SAMPLES: Final = 5


# Labels in the metrics, by whether a target has answered.
_PROBE_OUTCOMES: Final = {True: 'answered', False: 'failed', None: 'busy'}


def _tell_nobody() -> None:
    """Tell nobody before the exchange with peers exists."""


class OutcomeRecorder:
    """Records the outcomes of requests on one host."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Update the state of ``core``."""
        self._core = core
        self._log = log
        self._clock = time_source
        self._meters = meters
        self.statements = targetstatements.TargetStatements(
            core, log, time_source
        )
        self.refusals = refusals.RefusalRecorder(
            core.view, log, time_source, meters
        )
        self.pace = pacerecords.PaceRecorder(core, log, time_source, meters)
        # Called when peers should know what has failed, targets or links.
        self.tell_peers: Callable[[], None] = _tell_nobody

    def record_placement(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record where a try is sent."""
        served.destination = assignment.target.target_id
        served.request.tried_target_ids.add(assignment.target.target_id)
        if not served.request.tries_sent:
            served.request.forecast_ms = assignment.forecast_ms
        self._log.write(
            'placed',
            id=served.job.request.attempt_id,
            fingerprint=eventlog.hex_of(served.job.fingerprint),
            parts=','.join(map(eventlog.hex_of, served.job.parts)),
            target=assignment.target.target_id,
            started_ms=assignment.target.started_ms,
            helpers=','.join(helper.target_id for helper in assignment.helpers),
            reserved=len(assignment.reservations),
            read_ms=round(assignment.prefill_ms),
            forecast_ms=round(assignment.forecast_ms),
            cost=round(assignment.cost, 3),
            service=served.job.service.name,
            version=self._core.view.in_force.version,
            revision=self._core.view.revision,
            sent=served.request.tries_sent,
        )

    def record_head(
        self,
        assignment: exchangerecords.Assignment,
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> None:
        """Record that a target answers, and what it says of itself."""
        self._record_answer(assignment.target, assignment.placed_ms)
        self.statements.record_head(assignment, status, headers)

    def record_first_byte(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        waited_ms: int,
    ) -> None:
        """Record the first bytes, ``waited_ms`` after the placement."""
        now_ms = self._clock.now_ms()
        self._core.start_decoding(assignment)
        request = served.request
        request.first_byte_ms = request.first_byte_ms or now_ms
        kind = served.job.route.name
        error_ms = abs(waited_ms - round(assignment.forecast_ms))
        self._meters.observe('forecast_error', kind, error_ms)
        self.pace.record_first_token(served, assignment, waited_ms)

    def record_gap(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        pause_ms: int,
    ) -> None:
        """Record the gap between two events."""
        request = served.request
        request.longest_gap_ms = max(request.longest_gap_ms, pause_ms)
        served.recent_gaps_ms.append(pause_ms)
        if len(served.recent_gaps_ms) == GAP_SAMPLES:
            self._update_speed(served, assignment)
        goal_ms = served.job.route.pause_goal_ms
        if goal_ms and pause_ms > goal_ms:
            # The answer is late already, so further gaps cost nothing.
            first = assignment.commitment_ids[0]
            self._core.table.update(first, pause_goal_ms=0)
        if served.events >= WRITTEN_EVENTS and not served.is_written:
            served.is_written = True
            self._core.blame.record_served(
                served.job.parts, self._clock.now_ms()
            )

    def _update_speed(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Compare the median gap with that of a full target.

        Single gaps and the first token say little about a target's speed: a
        single long gap comes from a long prompt on the same target, and a late
        first token from work that other hosts placed at the same time.
        """
        usual_ms = requesttimes.usual_pause_ms(served.job.service)
        median_ms = statistics.median(served.recent_gaps_ms)
        served.recent_gaps_ms.clear()
        self._core.health.record_speed(
            assignment.target.target_id,
            median_ms,
            usual_ms,
            self._clock.now_ms(),
        )
        self.pace.record_gap(assignment, median_ms, usual_ms)

    def record_stream_end(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        framing: dispatch.Framing,
        splitter: relayedevents.EventSplitter,
    ) -> None:
        """Record the end of a target's stream, before it is checked."""
        self._log.write(
            'stream_ended',
            id=served.job.request.attempt_id,
            target=assignment.target.target_id,
            framing=framing.value,
            events=splitter.received_events,
            rest_bytes=len(splitter.rest),
            last_event=served.request.last_event_id,
        )

    def record_success(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record a complete answer."""
        now_ms = self._clock.now_ms()
        target_id = assignment.target.target_id
        self._record_answer(assignment.target, assignment.placed_ms)
        self._core.health.record_success(target_id, now_ms)
        self.pace.record_success(served, assignment)
        self._core.blame.record_served(served.job.fingerprints, now_ms)
        cleared = self._core.blame.counts.clear_target(
            target_id, assignment.placed_ms, now_ms
        )
        for fingerprint in cleared:
            self._log.write(
                'suspicion_cleared',
                id=served.job.request.attempt_id,
                target=target_id,
                fingerprint=eventlog.hex_of(fingerprint),
            )

    def record_cancelled(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record a try that ends as its caller is gone or served by another.

        A target that crashes without a reset leaves its callers waiting.
        """
        waited_ms = self._clock.now_ms() - assignment.placed_ms
        if served.outcome == requeststate.SUPERSEDED:
            self._log.write(
                'try_superseded',
                id=served.job.request.attempt_id,
                target=assignment.target.target_id,
                waited_ms=waited_ms,
                silent=served.is_silent,
                events=served.events,
            )
            return
        if served.outcome == requeststate.OPEN:
            served.outcome = requeststate.ABANDONED
        if not served.is_unanswered:
            return
        if not served.is_suspected:
            self._suspect_silent(served, assignment)
        if waited_ms >= SILENT_LINK_MS:
            self._record_link_failure(assignment.target, silent=True)
        self._log.write(
            'target_unanswered',
            id=served.job.request.attempt_id,
            fingerprint=eventlog.hex_of(served.job.fingerprint),
            parts=','.join(map(eventlog.hex_of, served.job.parts)),
            target=assignment.target.target_id,
            started_ms=assignment.target.started_ms,
            waited_ms=waited_ms,
        )

    def record_silent_target(
        self, served: requeststate.Try, assignment: exchangerecords.Assignment
    ) -> None:
        """Record that a target is silent while another one is tried."""
        self._core.health.record_failure(
            assignment.target.target_id, self._clock.now_ms()
        )
        self.pace.record_trouble(assignment, 'silent')
        if not served.is_suspected:
            self._suspect_silent(served, assignment)
        self._record_link_failure(assignment.target, silent=True)

    def record_failure(self, assignment: exchangerecords.Assignment) -> None:
        """Record an error response from the target itself."""
        self._core.health.record_failure(
            assignment.target.target_id, self._clock.now_ms()
        )

    def _suspect_silent(
        self, served: requeststate.Try, assignment: exchangerecords.Assignment
    ) -> None:
        """Suspect the targets of a try that say nothing of a crash."""
        served.is_suspected = True
        self._suspect(served, assignment.target)
        if served.is_unanswered:
            self._suspect(served, *assignment.helpers)

    def _suspect(
        self, served: requeststate.Try, *targets: fleetrecords.TargetEntry
    ) -> None:
        now_ms = self._clock.now_ms()
        for target in targets:
            self._core.blame.suspect(
                target, served.suspects(), now_ms, broken=False
            )

    @functools.singledispatchmethod
    def record_fault(
        self,
        fault: Exception,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record the fault that ended an attempt."""
        raise TypeError(f'{fault!r} has no registered handler')

    @record_fault.register
    def _unreachable(
        self,
        fault: dispatch.TargetUnreachable,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record a target that accepted no connection."""
        now_ms = self._clock.now_ms()
        target_id = assignment.target.target_id
        until_ms = self._core.health.record_unreachable(target_id, now_ms)
        self.pace.record_unreachable(assignment.target, assignment.placed_ms)
        self._log.write(
            'target_unreachable',
            id=served.job.request.attempt_id,
            target=target_id,
            fault=fault,
            waited_ms=now_ms - assignment.placed_ms,
            pause_ms=until_ms - now_ms,
        )
        self._record_link_failure(
            assignment.target, refused=fault.connection_refused
        )

    def _record_link_failure(
        self,
        target: fleetrecords.TargetEntry,
        *,
        refused: bool = False,
        silent: bool = False,
        is_probe: bool = False,
    ) -> None:
        """Record a try that failed at a target or on the way to it."""
        now_ms = self._clock.now_ms()
        if self._core.reach.record_failure(
            target,
            now_ms,
            links.Symptoms(refused=refused, silent=silent, is_probe=is_probe),
        ):
            self.tell_peers()
            self._meters.count('links', 'lost')
            self._log.write(
                'links_lost',
                service=target.service,
                failing=','.join(
                    f'{failure.target_id}:{now_ms - failure.at_ms}'
                    for failure in self._core.links.failures(target.service)
                ),
            )

    def _record_answer(
        self, target: fleetrecords.TargetEntry, placed_ms: int
    ) -> None:
        """Put earlier failures down to their targets, or to the links."""
        verdict = self._core.links.record_answer(target, placed_ms)
        for failure in verdict.failures:
            self._settle_failure(failure, links_failed=verdict.links_failed)
        if verdict.failures:
            self.tell_peers()
        if verdict.was_lost:
            self._meters.count('links', 'back')
            self._log.write(
                'links_back',
                service=target.service,
                target=target.target_id,
                settled=len(verdict.failures),
                cause='links' if verdict.links_failed else 'targets',
            )

    def _settle_failure(
        self, failure: links.Failure, *, links_failed: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        target_id = failure.target_id
        self._core.blame.settle(target_id, now_ms, broken=not links_failed)
        if links_failed:
            self._core.health.forget_own(target_id)
            self.pace.forgive(target_id)
        elif failure.refused:
            self._core.health.confirm_refusing(target_id, now_ms)
            self.record_crash(target_id, 'refusing')

    def record_probe(
        self,
        target: fleetrecords.TargetEntry,
        sent_ms: int,
        *,
        answered: bool | None,
        fault: str = '',
    ) -> None:
        """Record whether a target answered a probe; ``None`` if it is busy."""
        self._meters.count('probes', _PROBE_OUTCOMES[answered])
        self._log.write(
            'target_probed',
            target=target.target_id,
            service=target.service,
            answered=answered,
            fault=fault,
            waited_ms=self._clock.now_ms() - sent_ms,
        )
        if answered:
            self._record_answer(target, sent_ms)
        elif answered is not None:
            self._record_link_failure(target, is_probe=True)

    def record_target_change(self, target_id: str, outcome: str) -> None:
        """Record a change of a target's entry.

        An entry that lapses while the store is away proves nothing: the
        target writes it again, or it is removed later.
        """
        if outcome in {'gone', 'restarted'}:
            self.record_crash(target_id, outcome)
            self._core.health.forget(target_id)
            self._core.links.forget(target_id)

    def record_crash(self, target_id: str, evidence: str) -> None:
        """Blame the requests that ran on a target for its crash."""
        now_ms = self._clock.now_ms()
        for confirmation in self._core.blame.confirm(target_id, now_ms):
            outcome = 'counted' if confirmation.counted else 'too_old'
            self._meters.count('crash_suspicions', outcome)
            self._log.write(
                'crash_confirmed',
                target=target_id,
                evidence=evidence,
                fingerprint=eventlog.hex_of(confirmation.fingerprint),
                age_ms=confirmation.age_ms,
                outcome=outcome,
                **self._core.blame.counts.crashes_of(
                    confirmation.fingerprint, now_ms
                )._asdict(),
            )

    def log_blame_changes(self) -> None:
        """Log what is refused from now on, and what no longer is."""
        for change in self._core.blame.take_changes():
            self._log.write(
                'blame_changed',
                fingerprint=eventlog.hex_of(change.fingerprint),
                is_part=fingerprints.is_part(change.fingerprint),
                reason=change.reason,
            )

    def record_suspected_part(self, served: requeststate.RequestState) -> None:
        """Record a broken request that gets no second target."""
        self._log.write(
            'retry_refused',
            id=served.job.request.attempt_id,
            reason='suspected_part',
            parts=','.join(map(eventlog.hex_of, served.job.parts)),
        )

    def record_trial(self, job: exchangerecords.Job) -> None:
        """Record a request that tests whether its part crashes targets."""
        if job.trial_part:
            self._log.write(
                'blame_trial',
                id=job.request.attempt_id,
                fingerprint=eventlog.hex_of(job.trial_part),
            )

    def record_blamed(self, fingerprint_text: str) -> None:
        """Refuse the request of a record in the store."""
        try:
            fingerprint = documents.decode_blamed_key(fingerprint_text)
        except documents.Undecodable as fault:
            self._log.write('blame_unreadable', fault=fault)
            return
        entry = crashblame.Blamed(fingerprint, 0)
        if self._core.blame.blame((entry,), self._clock.now_ms()):
            self._log.write(
                'blame_learned', fingerprint=fingerprint_text, source='store'
            )

    @record_fault.register
    def _refused(
        self,
        fault: dispatch.TargetRefused,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record a refusal by the target or by a helper that it names."""
        now_ms = self._clock.now_ms()
        at_fault = assignment.target
        for helper in assignment.helpers:
            if helper.address == fault.at_fault:
                at_fault = helper
                if now_ms - assignment.placed_ms >= HELPER_STALL_MS:
                    self._suspect(served, helper)
        served.request.tried_target_ids.add(at_fault.target_id)
        if fault.misdirected:
            self._core.health.record_unreachable(at_fault.target_id, now_ms)
            self.record_crash(at_fault.target_id, 'misdirected')
            self.pace.record_unreachable(at_fault, assignment.placed_ms)
        else:
            self._core.health.record_full(at_fault.target_id, now_ms)
            self.pace.record_refused(at_fault, assignment.placed_ms)
        self._meters.count('target_refusals', str(fault.status))
        self._log.write(
            'target_refused',
            id=served.job.request.attempt_id,
            target=at_fault.target_id,
            status=fault.status,
            stated=fault.statement,
            at_fault=fault.at_fault,
        )

    @record_fault.register
    def _broken(
        self,
        fault: dispatch.TargetBroken,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record a target that gave no usable answer."""
        now_ms = self._clock.now_ms()
        target_id = assignment.target.target_id
        self._core.health.record_failure(target_id, now_ms)
        self.pace.record_trouble(assignment, 'failed')
        if isinstance(fault, dispatch.TargetErrorAnswer):
            self._record_answer(assignment.target, assignment.placed_ms)
        else:
            self._core.blame.suspect(
                assignment.target,
                served.suspects(),
                now_ms,
                broken=True,
                unproved_placed_ms=assignment.placed_ms,
            )
            if served.is_unanswered:
                self._suspect(served, *assignment.helpers)
            self._record_link_failure(assignment.target)
        self._meters.count('target_failures', served.job.service.name)
        if isinstance(fault, dispatch.UnstatedRefusal):
            self._meters.count('unstated_refusals', str(fault.status))
        self._log.write(
            'target_broken',
            id=served.job.request.attempt_id,
            target=target_id,
            fingerprint=eventlog.hex_of(served.job.fingerprint),
            parts=','.join(map(eventlog.hex_of, served.job.parts)),
            started_ms=assignment.target.started_ms,
            fault=fault,
            waited_ms=now_ms - assignment.placed_ms,
            last_event=served.request.last_event_id,
        )
        if isinstance(fault.__cause__, answerlimits.LimitExceeded):
            self._record_limit(fault.__cause__, served, assignment)

    def _record_limit(
        self,
        exceeded: answerlimits.LimitExceeded,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record an answer that was ended for its bytes."""
        self._meters.count('answer_limits', exceeded.limit)
        self._log.write(
            'answer_limit_exceeded',
            id=served.job.request.attempt_id,
            target=assignment.target.target_id,
            limit=exceeded.limit,
            received=exceeded.received,
            allowed=exceeded.allowed,
        )

    @record_fault.register
    def _not_reserved(
        self,
        fault: reservations.MemoryRefused,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
    ) -> None:
        """Record that helpers could not reserve memory for a long prompt."""
        holders = [entry.target.target_id for entry in assignment.reservations]
        served.request.tried_target_ids.update(holders)
        self._meters.count('reservations', 'refused')
        self._log.write(
            'not_reserved',
            id=served.job.request.attempt_id,
            targets=','.join(holders),
        )

    def record_end(
        self, served: requeststate.RequestState, outcome: str, detail: str = ''
    ) -> None:
        """Record the final outcome of a request."""
        job = served.job
        took_ms = self._clock.now_ms() - job.arrived_ms
        first_ms = served.first_byte_ms
        self._meters.count('requests', outcome)
        self._meters.observe('request', job.route.name, took_ms)
        self._log.write(
            'ended',
            id=job.request.attempt_id,
            fingerprint=eventlog.hex_of(job.fingerprint),
            route=job.route.name,
            outcome=outcome,
            detail=detail,
            revision=self._core.view.revision,
            took_ms=took_ms,
            first_ms=first_ms - job.arrived_ms if first_ms else -1,
            forecast_ms=round(served.forecast_ms),
            pause_ms=served.longest_gap_ms,
            goal_ms=job.route.goal_ms,
            pause_goal_ms=job.route.pause_goal_ms,
            prompt_tokens=job.request.prompt_tokens,
            sent=served.tries_sent,
            tries=','.join(entry.summary() for entry in served.tries),
            peers=','.join(served.tried_peers),
            last_event=served.last_event_id,
        )
