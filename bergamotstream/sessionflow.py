"""
Session flow
~~~~~~~~~~~~

The steps of a request at the accepting host: charge and grant in parallel,
claim where the request must not be repeated, dispatch, retry after a failure,
final answer.
"""

from collections.abc import Iterable, Iterator

from bergamotstream import (
    actions,
    chargerequests,
    claimrequests,
    components,
    grantrequests,
    heldgrants,
    messages,
    records,
    requestlog,
    retries,
    sessionstate,
    state,
    wakeups,
)

FIND_TIMEOUT_MS = 300
# A caller whose connection broke may resume its request within this time.
CALLER_GRACE_MS = 3_000
# Outcome reported to the owner by kind of failure; other kinds are 'failed'.
OUTCOMES_BY_FAILURE = {'refused': 'not_run', 'target_died': 'target_lost'}


class SessionFlow:
    """Steps of the open requests of one host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without open requests."""
        self.state = shared
        self.sessions_by_request: dict[str, sessionstate.Session] = {}
        self.grant_requests = grantrequests.GrantRequests(shared)
        self.grants = heldgrants.HeldGrants(shared)
        self.charge_requests = chargerequests.ChargeRequests(shared)
        self.claim_requests = claimrequests.ClaimRequests(shared)
        self._budgets = retries.RetryBudgets(shared.settings.limits)
        self._wakeups = wakeups.WakeupQueue()

    def due(self) -> Iterator[sessionstate.Session]:
        """Yield the open sessions whose wakeup is due."""
        for request_id in list(self._wakeups.pop_due(self.state.now_ms)):
            session = self.sessions_by_request.get(request_id)
            if session is not None:
                yield session

    def open(
        self, request: records.RequestSpec, deadline_ms: int
    ) -> sessionstate.Session:
        """Open a session for a request that has passed the checks."""
        bundle = self.state.bundle
        if bundle is None:
            raise AssertionError('admission checks the bundle first')
        session = sessionstate.Session(
            request,
            bundle.workspaces_by_name[request.workspace],
            bundle.services_by_name[request.service],
            self.state.now_ms,
            deadline_ms,
        )
        self.sessions_by_request[request.request_id] = session
        self.state.open_requests = len(self.sessions_by_request)
        self._budgets.deposit(request.workspace)
        self.schedule_wakeup(session, session.deadline_at_ms)
        return session

    def schedule_wakeup(
        self, session: sessionstate.Session, due_ms: int
    ) -> None:
        """Schedule a wakeup of a session at ``due_ms``."""
        self._wakeups.add(due_ms, session.request.request_id)

    def on_wakeup(self, session: sessionstate.Session) -> components.Actions:
        """Handle a passed deadline or repeat an unanswered message."""
        now_ms = self.state.now_ms
        if session.remaining_ms(now_ms) <= 0:
            return self.refuse(session, 'deadline_passed')
        if self._abandoned_by_caller(session):
            return self.refuse(session, 'caller_gone')
        if session.stage == 'running':
            return []
        self.schedule_wakeup(
            session, now_ms + self.state.settings.timing.ask_again_ms
        )
        if session.stage == 'finding':
            return self.restart_request(session)
        if session.stage == 'claiming':
            return self._wait_for_claim(session)
        produced = self.charge_requests.retry(session)
        if session.attempt is None:
            return [*produced, *self.request_grant(session, is_retry=True)]
        return [*produced, *self.advance(session)]

    def _abandoned_by_caller(self, session: sessionstate.Session) -> bool:
        gone_ms = session.caller_gone_ms
        if not gone_ms or self.state.now_ms < gone_ms + CALLER_GRACE_MS:
            return False
        return session.repeatable or session.stage == 'asking'

    def request_grant(
        self, session: sessionstate.Session, *, is_retry: bool = False
    ) -> components.Actions:
        """Request a grant, or refuse the request if no partition can grant."""
        try:
            if is_retry:
                return self.grant_requests.retry_if_due(session)
            produced = self.grant_requests.request_grant(session)
        except grantrequests.GrantRefused as refused:
            return self.refuse(session, refused.code, refused.retry_after_ms)
        self.schedule_wakeup(session, session.grant_retry_at_ms)
        return produced

    def exclude(
        self, session: sessionstate.Session, targets: Iterable[str]
    ) -> components.Actions:
        """Request a grant again, for other targets."""
        session.excluded_targets += tuple(sorted(targets))
        session.reset_grant_request()
        return self.request_grant(session)

    def on_grant_denied(
        self, session: sessionstate.Session, message: messages.GrantReply
    ) -> components.Actions:
        """Request a grant elsewhere after a denial, or refuse the request."""
        try:
            produced = self.grant_requests.on_denial(session, message)
        except grantrequests.GrantRefused as refused:
            if refused.code == 'in_progress' and session.can_attach_elsewhere:
                # The caller repeated the request after its host failed.
                return self.find_running_attempt(session)
            return self.refuse(session, refused.code, refused.retry_after_ms)
        self.schedule_wakeup(session, session.grant_retry_at_ms)
        return produced

    def advance(self, session: sessionstate.Session) -> components.Actions:
        """Claim or dispatch once both the grant and the charge are made."""
        charged = session.charge_state in {'granted', 'local'}
        if not charged or session.attempt is None:
            return []
        if session.stage != 'asking':
            return []
        if session.repeatable:
            return self.start_attempt(session)
        session.stage = 'claiming'
        self.schedule_wakeup(session, self.state.now_ms)
        return self.claim_requests.request_claim(session)

    def start_attempt(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Dispatch unless the lease of the grant may have expired meanwhile."""
        attempt = session.attempt
        if attempt is not None and self.grant_requests.is_leased(
            attempt.asked_ms
        ):
            return self.grants.dispatch(session)
        produced = self.grants.release(session, 'unused')
        if not session.repeatable:
            return [
                *produced,
                *self.claim_requests.report_abandoned(session),
                *self.refuse(session, 'claims_unavailable'),
            ]
        session.reset_grant_request()
        return [*produced, *self.request_grant(session)]

    def _wait_for_claim(
        self, session: sessionstate.Session
    ) -> components.Actions:
        if not self.claim_requests.is_overdue(session):
            return self.claim_requests.retry(session)
        retry_after_ms = self.state.settings.timing.takeover_ms
        return self.refuse(session, 'claims_unavailable', retry_after_ms)

    def retry(
        self, session: sessionstate.Session, kind: str
    ) -> components.Actions:
        """Retry with another grant, or refuse the request."""
        outcome = OUTCOMES_BY_FAILURE.get(kind, 'failed')
        retried = requestlog.retried(session, kind, self.state.now_ms)
        produced = self.grants.release(session, outcome)
        if not session.repeatable:
            return [*produced, *self._fail_claimed(session)]
        if not self._budgets.try_withdraw(session.request.workspace):
            retry_after_ms = self.state.settings.timing.takeover_ms
            return [
                *produced,
                *self.refuse(session, 'retries_exhausted', retry_after_ms),
            ]
        produced.extend(retried)
        session.reset_grant_request()
        return [*produced, *self.request_grant(session)]

    def _fail_claimed(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """End a request whose only dispatch has failed."""
        if session.may_have_run:
            return self.refuse(session, 'outcome_unknown')
        return [
            *self.claim_requests.report_abandoned(session),
            *self.refuse(session, 'target_failed'),
        ]

    def fail_rejected(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """End a request that the target ran and rejected."""
        return [
            *self.grants.release(session, 'finished'),
            *self.claim_requests.report_ran(session, b''),
            *self.refuse(session, 'target_failed', run_state='ran'),
        ]

    def refuse(
        self,
        session: sessionstate.Session,
        code: str,
        retry_after_ms: int = 0,
        run_state: records.RunState = 'not_run',
    ) -> components.Actions:
        """Refuse the request and release its grant, charge and claim."""
        if code == 'in_progress':
            session.may_have_run = True
        if run_state != 'ran':
            run_state = session.worst_run_state(run_state)
        outcome = 'cancelled' if session.stage == 'running' else 'unused'
        return [
            *self.grant_requests.cancel(session),
            *self.claim_requests.close(session),
            *self.grants.release(session, outcome),
            *self._close(session),
            *requestlog.refused(
                session.request,
                code,
                run_state,
                retry_after_ms,
            ),
        ]

    def finish(
        self, session: sessionstate.Session, answer: bytes
    ) -> components.Actions:
        """End a request successfully."""
        answered = requestlog.finished(session, self.state.now_ms)
        return [
            *self.grants.release(session, 'unused'),
            *self._close(session),
            *answered,
            actions.FinishRequest(session.request.request_id, answer),
        ]

    def _close(self, session: sessionstate.Session) -> components.Actions:
        self.sessions_by_request.pop(session.request.request_id, None)
        self.state.open_requests = len(self.sessions_by_request)
        return self.charge_requests.release(session)

    def reattach(
        self, session: sessionstate.Session, offset: int
    ) -> components.Actions:
        """Attach a caller that resumes its open request."""
        session.caller_gone_ms = 0
        if session.stage != 'running' or not session.resumable:
            return []
        session.offset = offset
        return self.grants.dispatch(session, resume=True)

    def find_running_attempt(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Ask the owners whether the request is already running."""
        session.stage = 'finding'
        self.schedule_wakeup(session, self.state.now_ms + FIND_TIMEOUT_MS)
        known = self.grant_requests.choice.partitions_of(session.service.name)
        find_requests = self.grants.send_find_requests(session, known)
        return find_requests if find_requests else self.restart_request(session)

    def restart_request(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Run a resumed request from the beginning."""
        session.stage = 'asking'
        produced: components.Actions = []
        if session.offset:
            session.offset = 0
            produced.append(actions.RestartAnswer(session.request.request_id))
        return [*produced, *self.request_grant(session)]
