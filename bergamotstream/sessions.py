"""
Sessions
~~~~~~~~

Handles events and messages for the requests that are open at the accepting
host. :mod:`bergamotstream.sessionflow` has the steps that they trigger.
"""

from bergamotstream import (
    actions,
    components,
    events,
    messages,
    requestchecks,
    requestlog,
    sessionflow,
    sessionstate,
)

MAX_STALLED_RESUMES = 3
RESUMABLE_FAILURES = frozenset(('lost', 'silent'))


class Sessions(components.Component):
    """Open requests of this host."""

    name = 'sessions'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start without open requests."""
        super().__init__(shared)
        self._flow = sessionflow.SessionFlow(shared)
        self._renew_at_ms = 0

    @components.handles(events.HostListRead, events.BundleChanged)
    def rebuild_partition_choice(
        self, event: events.Event
    ) -> components.Actions:
        """Recompute the partitions that can grant a target."""
        self._flow.grant_requests.choice.rebuild()
        return []

    @components.handles(events.RequestReceived)
    def on_request(self, event: events.RequestReceived) -> components.Actions:
        """Admit a request or refuse it immediately."""
        request = event.request
        if request.request_id in self._flow.sessions_by_request:
            return requestchecks.refuse(self.state, request, 'in_progress')
        code = requestchecks.refusal_code(
            self.state, request, event.deadline_ms
        )
        if code:
            return requestchecks.refuse(self.state, request, code)
        session = self._flow.open(request, event.deadline_ms)
        return [
            requestlog.received(session),
            *self._flow.charge_requests.request_charge(session),
            *self._flow.request_grant(session),
        ]

    @components.handles(events.ResumeReceived)
    def on_resume(self, event: events.ResumeReceived) -> components.Actions:
        """Resume a request by id, also after its previous host has failed."""
        request = event.request
        session = self._flow.sessions_by_request.get(request.request_id)
        if session is not None:
            return self._flow.reattach(session, event.offset)
        code = requestchecks.refusal_code(
            self.state, request, event.deadline_ms
        )
        if code:
            return requestchecks.refuse(self.state, request, code, resumed=True)
        session = self._flow.open(request, event.deadline_ms)
        session.offset = event.offset
        session.may_have_run = True
        produced = [
            *requestlog.resumed(session, 'caller', self.state.now_ms),
            *self._flow.charge_requests.request_charge(session),
        ]
        if not session.repeatable:
            return [*produced, *self._flow.request_grant(session)]
        return [*produced, *self._flow.find_running_attempt(session)]

    @components.handles(events.CallerGone)
    def on_caller_gone(self, event: events.CallerGone) -> components.Actions:
        """Keep the attempt for a grace period, as the caller may resume."""
        session = self._flow.sessions_by_request.get(event.request_id)
        if session is not None:
            session.caller_gone_ms = self.state.now_ms
            grace_ms = sessionflow.CALLER_GRACE_MS
            self._flow.schedule_wakeup(session, self.state.now_ms + grace_ms)
        return []

    @components.handles(messages.ChargeReply)
    def on_charge_reply(
        self, message: messages.ChargeReply, sender: str
    ) -> components.Actions:
        """Advance a charged request, or refuse it if the charge is denied."""
        session = self._flow.sessions_by_request.get(message.request_id)
        if session is None:
            return []
        if not self._flow.charge_requests.on_reply(session, message):
            return self._flow.refuse(
                session, message.code, message.retry_after_ms
            )
        return self._flow.advance(session)

    @components.handles(messages.GrantReply)
    def on_grant_reply(
        self, message: messages.GrantReply, sender: str
    ) -> components.Actions:
        """Use a grant, or request one elsewhere after a denial."""
        session = self._flow.sessions_by_request.get(message.request_id)
        if session is None or not self._flow.grant_requests.is_usable(
            session, message, sender
        ):
            return self._flow.grants.return_grant(message, sender)
        if not message.granted:
            return self._flow.on_grant_denied(session, message)
        leaving = self._leaving_targets(message)
        if leaving:
            returned = self._flow.grants.return_grant(message, sender)
            return [*returned, *self._flow.exclude(session, leaving)]
        attempt = sessionstate.Attempt(
            attempt_id=message.attempt_id,
            partition=message.partition,
            targets=message.targets,
            engine_priority=message.engine_priority,
            asked_ms=message.asked_ms,
        )
        self._flow.grants.hold(session, attempt)
        return self._flow.advance(session)

    def _leaving_targets(self, message: messages.GrantReply) -> set[str]:
        """Return the granted targets that leave by this host's bundle.

        The owner that granted them may have an older one.
        """
        bundle = self.state.bundle
        leaving = frozenset() if bundle is None else bundle.targets_leaving
        return {target.name for target in message.targets} & leaving

    @components.handles(messages.ClaimReply)
    def on_claim_reply(
        self, message: messages.ClaimReply, sender: str
    ) -> components.Actions:
        """Dispatch a claimed request, or answer with its recorded outcome."""
        session = self._flow.claim_requests.session_of(message.claim_id)
        if session is None:
            return []
        decision = self._flow.claim_requests.on_reply(session, message)
        counted = actions.Count('claims', message.outcome)
        if decision.dispatch:
            # A claim that is confirmed now was not dispatched by any host.
            session.may_have_run = False
            return [counted, *self._flow.start_attempt(session)]
        if decision.recorded is not None:
            return [counted, *self._flow.finish(session, decision.recorded)]
        return [
            counted,
            *decision.produced,
            *self._flow.refuse(
                session,
                decision.code,
                decision.retry_after_ms,
                decision.run_state,
            ),
        ]

    @components.handles(messages.OutcomeAck)
    def on_outcome_ack(
        self, message: messages.OutcomeAck, sender: str
    ) -> components.Actions:
        """Stop repeating an outcome report."""
        self._flow.claim_requests.on_outcome_ack(message.claim_id)
        return []

    @components.handles(messages.FindReply)
    def on_find_reply(
        self, message: messages.FindReply, sender: str
    ) -> components.Actions:
        """Attach to a running attempt, or restart when there is none."""
        session = self._flow.sessions_by_request.get(message.request_id)
        if session is None or session.stage != 'finding':
            return []
        if not message.found:
            session.pending_finds.discard(message.partition)
            return (
                []
                if session.pending_finds
                else self._flow.restart_request(session)
            )
        attempt = sessionstate.Attempt(
            attempt_id=message.attempt_id,
            partition=message.partition,
            targets=message.targets,
            engine_priority=session.workspace.priority,
            started=True,
        )
        self._flow.grants.hold(session, attempt)
        session.may_have_run = True
        return self._flow.grants.dispatch(session, resume=True)

    @components.handles(messages.GrantExpired)
    def on_grant_expired(
        self, message: messages.GrantExpired, sender: str
    ) -> components.Actions:
        """Drop an attempt whose grant has expired or moved to another host."""
        session = self._flow.grants.sessions_by_attempt.get(message.attempt_id)
        if session is None:
            return []
        produced = self._flow.grants.drop(session)
        if message.moved:
            session.may_have_run = True
            return [*produced, *self._flow.refuse(session, 'in_progress')]
        if session.caller_gone_ms:
            return [*produced, *self._flow.refuse(session, 'caller_gone')]
        if not session.repeatable and session.stage == 'running':
            return [*produced, *self._flow.refuse(session, 'outcome_unknown')]
        session.reset_grant_request()
        return [*produced, *self._flow.request_grant(session)]

    @components.handles(messages.HoldingsQuery)
    def on_holdings_query(
        self, message: messages.HoldingsQuery, sender: str
    ) -> components.Actions:
        """Report the grants and charges held in a partition."""
        reply = messages.HoldingsReply(
            partition=message.partition,
            holdings=self._flow.grants.holdings(message.partition),
            charges=self._flow.charge_requests.held_charges(
                self._flow.sessions_by_request.values(), message.partition
            ),
        )
        produced: components.Actions = [actions.SendMessage(sender, reply)]
        for session in self._flow.sessions_by_request.values():
            produced.extend(
                self._flow.grant_requests.follow_owner(
                    session, message.partition, sender
                )
            )
        return produced

    @components.handles(events.AttemptStarted)
    def on_attempt_started(
        self, event: events.AttemptStarted
    ) -> components.Actions:
        """Record that the target accepted the attempt."""
        session = self._flow.grants.sessions_by_attempt.get(event.attempt_id)
        if session is not None and session.attempt is not None:
            session.attempt = session.attempt._replace(started=True)
        return []

    @components.handles(events.FirstToken)
    def on_first_token(self, event: events.FirstToken) -> components.Actions:
        """Report to the owner that the prefill is done."""
        session = self._flow.grants.sessions_by_attempt.get(event.attempt_id)
        if session is None or session.attempt is None:
            return []
        return self._flow.grants.record_first_token(session, session.attempt)

    @components.handles(events.AttemptFinished)
    def on_attempt_finished(
        self, event: events.AttemptFinished
    ) -> components.Actions:
        """Finish the request."""
        session = self._flow.grants.sessions_by_attempt.get(event.attempt_id)
        if session is None:
            return []
        session.offset = event.output_tokens
        return [
            *self._flow.grants.release(session, 'finished'),
            *self._flow.claim_requests.report_ran(session, event.answer),
            *self._flow.finish(session, event.answer),
        ]

    @components.handles(events.AttemptFailed)
    def on_attempt_failed(
        self, event: events.AttemptFailed
    ) -> components.Actions:
        """Resume or retry after a failed attempt, or refuse the request."""
        session = self._flow.grants.sessions_by_attempt.get(event.attempt_id)
        if session is None or session.attempt is None:
            return []
        progressed = event.offset > session.offset
        session.offset = max(session.offset, event.offset)
        if event.kind == 'refused':
            session.record_refusal()
        if event.kind == 'rejected':
            return self._flow.fail_rejected(session)
        if event.kind in RESUMABLE_FAILURES and session.resumable:
            stalled = session.attempt.stalled_resumes + 1
            if progressed:
                stalled = 0
            if stalled <= MAX_STALLED_RESUMES:
                session.attempt = session.attempt._replace(
                    stalled_resumes=stalled
                )
                return [
                    *requestlog.resumed(session, event.kind, self.state.now_ms),
                    *self._flow.grants.dispatch(session, resume=True),
                ]
        return self._flow.retry(session, event.kind)

    @components.handles(events.Tick)
    def on_tick(self, event: events.Tick) -> components.Actions:
        """Handle deadlines, retries and grant renewals that are due."""
        produced = self._flow.claim_requests.resend_reports()
        for session in self._flow.due():
            produced.extend(self._flow.on_wakeup(session))
        if self.state.now_ms >= self._renew_at_ms:
            timing = self.state.settings.timing
            self._renew_at_ms = self.state.now_ms + timing.grant_renew_ms
            produced.extend(self._flow.grants.renew())
        return produced
