"""
Sessions
~~~~~~~~

Requests at the accepting host, from the caller's request to the end of its
answer: charge and grant in parallel, claim where the request must not be
repeated, dispatch, resume or retry after a failure, final answer.
"""

from bergamotstream import (
    actions,
    requestchecks,
    requestlog,
    asking,
    heldgrants,
    charging,
    claiming,
    components,
    events,
    messages,
    records,
    retries,
    sessionstate,
    wakeups,
)

FIND_WAIT_MS = 300
CALLER_GRACE_MS = 3_000
MAX_STALLED_RESUMES = 3
RESUMABLE = frozenset(('lost', 'silent'))
# What the owner learns from a failed attempt; other kinds are 'failed'.
OUTCOMES_BY_FAILURE = {'refused': 'not_run', 'target_died': 'target_lost'}


class Sessions(components.Component):
    """Open requests of this host."""

    name = 'sessions'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start without open requests."""
        super().__init__(shared)
        self.sessions_by_request: dict[str, sessionstate.Session] = {}
        self._asking = asking.Asking(shared)
        self._grants = heldgrants.HeldGrants(shared)
        self._charging = charging.Charging(shared)
        self._claiming = claiming.Claiming(shared)
        self._budgets = retries.RetryBudgets(shared.settings.limits)
        self._wakeups = wakeups.Wakeups()
        self._renew_at_ms = 0

    @components.handles(events.HostListRead, events.BundleChanged)
    def rebuild(self, event: events.Event) -> components.Actions:
        """Recompute the partitions that can be asked."""
        self._asking.choice.rebuild()
        return []

    @components.handles(events.RequestReceived)
    def receive(self, event: events.RequestReceived) -> components.Actions:
        """Admit a request or refuse it at once."""
        request = event.request
        if request.request_id in self.sessions_by_request:
            return requestchecks.refuse(self.state, request, 'in_progress')
        code = requestchecks.refusal_code(
            self.state, request, event.deadline_ms
        )
        if code:
            return requestchecks.refuse(self.state, request, code)
        session = self._open(request, event.deadline_ms)
        return [
            requestlog.received(session),
            *self._charging.ask(session),
            *self._ask(session),
        ]

    @components.handles(events.ResumeReceived)
    def resume(self, event: events.ResumeReceived) -> components.Actions:
        """Continue a request by id, here or after its host has died."""
        request = event.request
        session = self.sessions_by_request.get(request.request_id)
        if session is not None:
            return self._reattach(session, event.offset)
        code = requestchecks.refusal_code(
            self.state, request, event.deadline_ms
        )
        if code:
            return requestchecks.refuse(self.state, request, code)
        session = self._open(request, event.deadline_ms)
        session.offset = event.offset
        produced = [
            *requestlog.resumed(session, 'caller', self.state.now_ms),
            *self._charging.ask(session),
        ]
        if not session.repeatable:
            return [*produced, *self._ask(session)]
        return [*produced, *self._find(session)]

    @components.handles(events.CallerGone)
    def caller_gone(self, event: events.CallerGone) -> components.Actions:
        """Keep the attempt for a while, because the caller may resume."""
        session = self.sessions_by_request.get(event.request_id)
        if session is not None:
            session.caller_gone_ms = self.state.now_ms
            self._wake(session, self.state.now_ms + CALLER_GRACE_MS)
        return []

    @components.handles(messages.ChargeReply)
    def charged(
        self, message: messages.ChargeReply, sender: str
    ) -> components.Actions:
        """Go on with a charged request or refuse it."""
        session = self.sessions_by_request.get(message.request_id)
        if session is None:
            return []
        if not self._charging.answered(session, message):
            return self._refuse(session, message.code, message.retry_after_ms)
        return self._advance(session)

    @components.handles(messages.GrantReply)
    def granted(
        self, message: messages.GrantReply, sender: str
    ) -> components.Actions:
        """Use a grant, or ask elsewhere after a denial."""
        session = self.sessions_by_request.get(message.request_id)
        if session is None or not self._asking.usable(session, message, sender):
            return self._grants.return_grant(message, sender)
        if not message.granted:
            return self._denied(session, message)
        attempt = sessionstate.Attempt(
            attempt_id=message.attempt_id,
            partition=message.partition,
            targets=message.targets,
            engine_priority=message.engine_priority,
            asked_ms=message.asked_ms,
        )
        self._grants.hold(session, attempt)
        return self._advance(session)

    @components.handles(messages.ClaimReply)
    def claimed(
        self, message: messages.ClaimReply, sender: str
    ) -> components.Actions:
        """Dispatch a claimed request, or answer from what is recorded."""
        session = self._claiming.session_of(message.claim_id)
        if session is None:
            return []
        verdict = self._claiming.answered(session, message)
        counted = actions.Count('claims', message.outcome)
        if verdict.dispatch:
            return [counted, *self._start(session)]
        if verdict.recorded is not None:
            return [counted, *self._finish(session, verdict.recorded)]
        return [
            counted,
            *verdict.produced,
            *self._refuse(
                session, verdict.code, verdict.retry_after_ms, verdict.run_state
            ),
        ]

    @components.handles(messages.OutcomeAck)
    def outcome_kept(
        self, message: messages.OutcomeAck, sender: str
    ) -> components.Actions:
        """Stop repeating an outcome report."""
        self._claiming.outcome_kept(message.claim_id)
        return []

    @components.handles(messages.FindReply)
    def found(
        self, message: messages.FindReply, sender: str
    ) -> components.Actions:
        """Attach to a running attempt, or start anew when there is none."""
        session = self.sessions_by_request.get(message.request_id)
        if session is None or session.stage != 'finding':
            return []
        if not message.found:
            session.pending_finds.discard(message.partition)
            return [] if session.pending_finds else self._start_anew(session)
        attempt = sessionstate.Attempt(
            attempt_id=message.attempt_id,
            partition=message.partition,
            targets=message.targets,
            engine_priority=session.workspace.priority,
            started=True,
        )
        self._grants.hold(session, attempt)
        session.may_have_run = True
        return self._grants.dispatch(session, resume=True)

    @components.handles(messages.GrantExpired)
    def expired(
        self, message: messages.GrantExpired, sender: str
    ) -> components.Actions:
        """Leave an attempt whose grant the owner has ended or moved."""
        session = self._grants.sessions_by_attempt.get(message.attempt_id)
        if session is None:
            return []
        produced = self._grants.drop(session)
        if session.caller_gone_ms:
            return [*produced, *self._refuse(session, 'caller_gone')]
        if not session.repeatable and session.stage == 'running':
            return [*produced, *self._refuse(session, 'outcome_unknown')]
        session.restart_asking()
        return [*produced, *self._ask(session)]

    @components.handles(messages.HoldingsQuery)
    def holdings(
        self, message: messages.HoldingsQuery, sender: str
    ) -> components.Actions:
        """Report the grants and charges held in a partition."""
        reply = messages.HoldingsReply(
            partition=message.partition,
            holdings=self._grants.holdings(message.partition),
            charges=self._charging.held(
                self.sessions_by_request.values(), message.partition
            ),
        )
        produced: components.Actions = [actions.SendMessage(sender, reply)]
        for session in self.sessions_by_request.values():
            produced.extend(
                self._asking.follow_owner(session, message.partition, sender)
            )
        return produced

    @components.handles(events.AttemptStarted)
    def started(self, event: events.AttemptStarted) -> components.Actions:
        """Note that the target accepted the attempt."""
        session = self._grants.sessions_by_attempt.get(event.attempt_id)
        if session is not None and session.attempt is not None:
            session.attempt = session.attempt._replace(started=True)
        return []

    @components.handles(events.FirstToken)
    def first_token(self, event: events.FirstToken) -> components.Actions:
        """Tell the owner that the prefill is done."""
        session = self._grants.sessions_by_attempt.get(event.attempt_id)
        if session is None or session.attempt is None:
            return []
        return self._grants.first_token(session, session.attempt)

    @components.handles(events.AttemptFinished)
    def finished(self, event: events.AttemptFinished) -> components.Actions:
        """Finish the request."""
        session = self._grants.sessions_by_attempt.get(event.attempt_id)
        if session is None:
            return []
        session.offset = event.output_tokens
        return [
            *self._grants.end(session, 'finished'),
            *self._claiming.ran(session, event.answer),
            *self._finish(session, event.answer),
        ]

    @components.handles(events.AttemptFailed)
    def failed(self, event: events.AttemptFailed) -> components.Actions:
        """Resume, retry or give up after a failed attempt."""
        session = self._grants.sessions_by_attempt.get(event.attempt_id)
        if session is None or session.attempt is None:
            return []
        progressed = event.offset > session.offset
        session.offset = max(session.offset, event.offset)
        if event.kind == 'refused':
            session.note_refusal()
        if event.kind == 'rejected':
            return self._fail_rejected(session)
        if event.kind in RESUMABLE and session.resumable:
            stalled = session.attempt.stalled_resumes + 1
            if progressed:
                stalled = 0
            if stalled <= MAX_STALLED_RESUMES:
                session.attempt = session.attempt._replace(
                    stalled_resumes=stalled
                )
                return [
                    *requestlog.resumed(session, event.kind, self.state.now_ms),
                    *self._grants.dispatch(session, resume=True),
                ]
        return self._retry(session, event.kind)

    @components.handles(events.Tick)
    def tick(self, event: events.Tick) -> components.Actions:
        """Handle deadlines, repeated questions and renewals that are due."""
        produced = self._claiming.tick()
        for request_id in list(self._wakeups.due(self.state.now_ms)):
            session = self.sessions_by_request.get(request_id)
            if session is not None:
                produced.extend(self._wake_up(session))
        if self.state.now_ms >= self._renew_at_ms:
            timing = self.state.settings.timing
            self._renew_at_ms = self.state.now_ms + timing.grant_renew_ms
            produced.extend(self._grants.renew())
        return produced

    def _open(
        self, request: records.RequestSpec, deadline_ms: int
    ) -> sessionstate.Session:
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
        self._budgets.earn(request.workspace)
        self._wake(session, session.deadline_at_ms)
        return session

    def _wake(self, session: sessionstate.Session, due_ms: int) -> None:
        self._wakeups.add(due_ms, session.request.request_id)

    def _wake_up(self, session: sessionstate.Session) -> components.Actions:
        now_ms = self.state.now_ms
        if session.remaining_ms(now_ms) <= 0:
            return self._refuse(session, 'deadline_passed')
        if self._abandoned_by_caller(session):
            return self._refuse(session, 'caller_gone')
        if session.stage == 'running':
            return []
        self._wake(session, now_ms + self.state.settings.timing.ask_again_ms)
        if session.stage == 'finding':
            return self._start_anew(session)
        if session.stage == 'claiming':
            return self._wait_for_claim(session)
        produced = self._charging.ask_again(session)
        if session.attempt is None:
            return [*produced, *self._ask(session, again=True)]
        return [*produced, *self._advance(session)]

    def _abandoned_by_caller(self, session: sessionstate.Session) -> bool:
        gone_ms = session.caller_gone_ms
        if not gone_ms or self.state.now_ms < gone_ms + CALLER_GRACE_MS:
            return False
        return session.repeatable or session.stage == 'asking'

    def _ask(
        self, session: sessionstate.Session, *, again: bool = False
    ) -> components.Actions:
        try:
            if again:
                return self._asking.ask_again(session)
            produced = self._asking.ask(session)
        except asking.Refused as refused:
            return self._refuse(session, refused.code, refused.retry_after_ms)
        self._wake(session, session.ask_again_at_ms)
        return produced

    def _denied(
        self, session: sessionstate.Session, message: messages.GrantReply
    ) -> components.Actions:
        try:
            produced = self._asking.denied(session, message)
        except asking.Refused as refused:
            return self._refuse(session, refused.code, refused.retry_after_ms)
        self._wake(session, session.ask_again_at_ms)
        return produced

    def _advance(self, session: sessionstate.Session) -> components.Actions:
        """Claim or dispatch once both the grant and the charge are there."""
        charged = session.charge_state in {'granted', 'local'}
        if not charged or session.attempt is None:
            return []
        if session.stage != 'asking':
            return []
        if session.repeatable:
            return self._start(session)
        session.stage = 'claiming'
        self._wake(session, self.state.now_ms)
        return self._claiming.ask(session)

    def _start(self, session: sessionstate.Session) -> components.Actions:
        """Dispatch unless the grant has grown old while it was held."""
        attempt = session.attempt
        if attempt is not None and self._asking.is_leased(attempt.asked_ms):
            return self._grants.dispatch(session)
        produced = self._grants.end(session, 'unused')
        if not session.repeatable:
            return [
                *produced,
                *self._claiming.abandoned(session),
                *self._refuse(session, 'claims_unavailable'),
            ]
        session.restart_asking()
        return [*produced, *self._ask(session)]

    def _wait_for_claim(
        self, session: sessionstate.Session
    ) -> components.Actions:
        if not self._claiming.overdue(session):
            return self._claiming.ask_again(session)
        retry_after_ms = self.state.settings.timing.takeover_ms
        return self._refuse(session, 'claims_unavailable', retry_after_ms)

    def _retry(
        self, session: sessionstate.Session, kind: str
    ) -> components.Actions:
        outcome = OUTCOMES_BY_FAILURE.get(kind, 'failed')
        retried = requestlog.retried(session, kind, self.state.now_ms)
        produced = self._grants.end(session, outcome)
        if not session.repeatable:
            return [*produced, *self._fail_claimed(session)]
        if not self._budgets.try_spend(session.request.workspace):
            retry_ms = self.state.settings.timing.takeover_ms
            return [
                *produced,
                *self._refuse(session, 'retries_exhausted', retry_ms),
            ]
        produced.extend(retried)
        session.restart_asking()
        return [*produced, *self._ask(session)]

    def _fail_claimed(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """End a request whose only dispatch has failed."""
        if session.may_have_run:
            return self._refuse(session, 'outcome_unknown')
        return [
            *self._claiming.abandoned(session),
            *self._refuse(session, 'target_failed'),
        ]

    def _fail_rejected(
        self, session: sessionstate.Session
    ) -> components.Actions:
        return [
            *self._grants.end(session, 'finished'),
            *self._claiming.ran(session, b''),
            *self._refuse(session, 'target_failed', run_state='ran'),
        ]

    def _refuse(
        self,
        session: sessionstate.Session,
        code: str,
        retry_after_ms: int = 0,
        run_state: records.RunState | None = None,
    ) -> components.Actions:
        """Give the final answer now and return what the request held."""
        outcome = 'cancelled' if session.stage == 'running' else 'unused'
        return [
            *self._asking.withdraw(session),
            *self._claiming.given_up(session),
            *self._grants.end(session, outcome),
            *self._close(session),
            *requestlog.refused(
                session.request,
                code,
                run_state or session.run_state,
                retry_after_ms,
            ),
        ]

    def _finish(
        self, session: sessionstate.Session, answer: bytes
    ) -> components.Actions:
        answered = requestlog.finished(session, self.state.now_ms)
        return [
            *self._grants.end(session, 'unused'),
            *self._close(session),
            *answered,
            actions.FinishRequest(session.request.request_id, answer),
        ]

    def _close(self, session: sessionstate.Session) -> components.Actions:
        self.sessions_by_request.pop(session.request.request_id, None)
        self.state.open_requests = len(self.sessions_by_request)
        return self._charging.release(session)

    def _reattach(
        self, session: sessionstate.Session, offset: int
    ) -> components.Actions:
        session.caller_gone_ms = 0
        if session.stage != 'running' or not session.resumable:
            return []
        session.offset = offset
        return self._grants.dispatch(session, resume=True)

    def _find(self, session: sessionstate.Session) -> components.Actions:
        session.stage = 'finding'
        self._wake(session, self.state.now_ms + FIND_WAIT_MS)
        known = self._asking.choice.partitions_of(session.service.name)
        asked = self._grants.find(session, known)
        return asked if asked else self._start_anew(session)

    def _start_anew(self, session: sessionstate.Session) -> components.Actions:
        session.stage = 'asking'
        produced: components.Actions = []
        if session.offset:
            session.offset = 0
            produced.append(actions.RestartAnswer(session.request.request_id))
        return [*produced, *self._ask(session)]
