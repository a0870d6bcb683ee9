"""
Claim requests
~~~~~~~~~~~~~~

The accepting host's side of at-most-once execution: claims a key before the
only dispatch and repeats the report of the outcome until it is acknowledged.
"""

from typing import NamedTuple

from bergamotstream import (
    actions,
    components,
    messages,
    partitions,
    records,
    sessionstate,
    state,
)

REPORT_RETRY_MS = 500
MAX_REPORTS = 20


class ClaimDecision(NamedTuple):
    """What to do after the owner's reply to a claim."""

    dispatch: bool = False
    recorded: bytes | None = None
    code: str = ''
    run_state: records.RunState = 'not_run'
    retry_after_ms: int = 0
    produced: tuple[actions.Action, ...] = ()


class PendingReport(NamedTuple):
    """An outcome report that has not been acknowledged."""

    message: messages.OutcomeReport
    due_ms: int
    times_sent: int


# Error code and run state that a caller gets for each outcome of a claim.
REFUSALS_BY_OUTCOME: dict[str, tuple[str, records.RunState]] = {
    'in_progress': ('in_progress', 'may_have_run'),
    'may_have_run': ('outcome_unknown', 'may_have_run'),
    'conflict': ('key_conflict', 'not_run'),
    'expired': ('key_expired', 'may_have_run'),
    'unavailable': ('claims_unavailable', 'not_run'),
}


class ClaimRequests:
    """Claims of the requests that are open at this host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without claims."""
        self._state = shared
        self._sessions_by_claim: dict[str, sessionstate.Session] = {}
        self._reports_by_claim: dict[str, PendingReport] = {}

    def request_claim(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Request the claim from the owner of the key's partition, once."""
        request = session.request
        count = self._state.settings.limits.claim_partitions
        partition = partitions.claims_partition(
            request.workspace, request.idempotency_key, count
        )
        claim = sessionstate.Claim(
            self._state.new_id(), partition, self._state.now_ms, 'asked'
        )
        session.claim = claim
        self._sessions_by_claim[claim.claim_id] = session
        return self._send_claim(request, claim)

    def retry(self, session: sessionstate.Session) -> components.Actions:
        """Repeat an unanswered claim under the same claim id."""
        claim = session.claim
        if claim is None or claim.state != 'asked':
            return []
        return self._send_claim(session.request, claim)

    def is_overdue(self, session: sessionstate.Session) -> bool:
        """Return whether a confirmation would come too late to dispatch."""
        claim = session.claim
        if claim is None:
            return True
        window_ms = self._state.settings.timing.dispatch_window_ms
        return self._state.now_ms - claim.sent_ms > window_ms

    def session_of(self, claim_id: str) -> sessionstate.Session | None:
        """Return the open session that waits for this claim."""
        return self._sessions_by_claim.get(claim_id)

    def on_reply(
        self, session: sessionstate.Session, message: messages.ClaimReply
    ) -> ClaimDecision:
        """Decide what the owner's reply means for the request."""
        claim = session.claim
        self._sessions_by_claim.pop(message.claim_id, None)
        if claim is None or session.stage != 'claiming':
            return ClaimDecision(
                code='outcome_unknown', run_state='may_have_run'
            )
        if message.outcome == 'claimed':
            return self._decide_confirmed(session, claim)
        if message.outcome == 'recorded':
            session.claim = claim._replace(state='closed')
            return ClaimDecision(recorded=message.recorded)
        code, run_state = REFUSALS_BY_OUTCOME[message.outcome]
        return ClaimDecision(
            code=code,
            run_state=run_state,
            retry_after_ms=message.retry_after_ms,
            # The claim may have been written although it was not confirmed.
            produced=tuple(self.report_abandoned(session)),
        )

    def report_ran(
        self, session: sessionstate.Session, answer: bytes
    ) -> components.Actions:
        """Report that a claimed request ran."""
        recorded = answer[: self._state.settings.limits.recorded_answer_bytes]
        return self._report(session, 'ran', recorded)

    def report_abandoned(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Report that a claimed request certainly did not run."""
        return self._report(session, 'abandoned', b'')

    def close(self, session: sessionstate.Session) -> components.Actions:
        """Close the claim of a request that ends without an outcome.

        A request that was not dispatched is abandoned; one that was keeps its
        claim without an outcome, so a repeated request is refused as one
        that may have run.
        """
        claim = session.claim
        if claim is None or claim.state == 'closed':
            return []
        if claim.state == 'claimed' and session.stage == 'running':
            return []
        self._sessions_by_claim.pop(claim.claim_id, None)
        return self.report_abandoned(session)

    def on_outcome_ack(self, claim_id: str) -> None:
        """Stop repeating the report of a claim."""
        self._reports_by_claim.pop(claim_id, None)

    def resend_reports(self) -> components.Actions:
        """Repeat reports that were not acknowledged."""
        now_ms = self._state.now_ms
        due = [
            (claim_id, report)
            for claim_id, report in self._reports_by_claim.items()
            if report.due_ms <= now_ms
        ]
        produced: components.Actions = []
        for claim_id, report in due:
            produced.extend(self._send_report(claim_id, report))
        return produced

    def _send_claim(
        self, request: records.RequestSpec, claim: sessionstate.Claim
    ) -> components.Actions:
        message = messages.ClaimRequest(
            partition=claim.partition,
            claim_id=claim.claim_id,
            workspace=request.workspace,
            key=request.idempotency_key,
            key_age_ms=request.key_age_ms,
            body_digest=request.body_digest,
        )
        # Without an owner the claim is repeated until its window has passed;
        # a graceful shutdown leaves a partition briefly without an owner.
        owner = self._state.owner_of(claim.partition)
        return [actions.SendMessage(owner, message)] if owner else []

    def _decide_confirmed(
        self, session: sessionstate.Session, claim: sessionstate.Claim
    ) -> ClaimDecision:
        age_ms = self._state.now_ms - claim.sent_ms
        session.claim = claim._replace(state='claimed')
        if age_ms <= self._state.settings.timing.dispatch_window_ms:
            return ClaimDecision(dispatch=True)
        produced = self.report_abandoned(session)
        return ClaimDecision(
            code='claims_unavailable',
            retry_after_ms=self._state.settings.timing.takeover_ms,
            produced=tuple(produced),
        )

    def _report(
        self, session: sessionstate.Session, outcome: str, answer: bytes
    ) -> components.Actions:
        claim = session.claim
        if claim is None or claim.state == 'closed':
            return []
        session.claim = claim._replace(state='closed')
        message = messages.OutcomeReport(
            partition=claim.partition,
            claim_id=claim.claim_id,
            workspace=session.request.workspace,
            key=session.request.idempotency_key,
            state=outcome,
            answer=answer,
        )
        report = PendingReport(message, self._state.now_ms, 0)
        return self._send_report(claim.claim_id, report)

    def _send_report(
        self, claim_id: str, report: PendingReport
    ) -> components.Actions:
        if report.times_sent >= MAX_REPORTS:
            self._reports_by_claim.pop(claim_id, None)
            return []
        self._reports_by_claim[claim_id] = report._replace(
            due_ms=self._state.now_ms + REPORT_RETRY_MS,
            times_sent=report.times_sent + 1,
        )
        owner = self._state.owner_of(report.message.partition)
        return [actions.SendMessage(owner, report.message)] if owner else []
