"""Requests at the accepting host."""

import corekit

from bergamotstream import actions, events, messages, records

TARGET = records.GrantedTarget('asistente-rosario', '127.0.0.1:9', 1_000)


def send_request(host, **changes):
    """Send a request; return its charge and grant requests."""
    request = corekit.make_request(**changes)
    produced = host.send(events.RequestReceived(request, 10_000))
    charge_requests = corekit.messages_of(produced, messages.ChargeRequest)
    grant_requests = corekit.messages_of(produced, messages.GrantRequest)
    return charge_requests, grant_requests


def send_grant(host, grant_request, attempt_id='a1', after_ms=5):
    """Answer a grant request with a grant."""
    reply = messages.GrantReply(
        grant_request.partition,
        grant_request.request.request_id,
        granted=True,
        attempt_id=attempt_id,
        targets=(TARGET,),
        asked_ms=grant_request.sent_ms,
    )
    return host.receive(reply, after_ms)


def send_charge_reply(host, charge_request, **changes):
    """Answer a charge request; it is granted unless ``changes`` differ."""
    reply = messages.ChargeReply(
        charge_request.partition, charge_request.request_id, granted=True
    )
    return host.receive(reply._replace(**changes))


def run_request(host, **changes):
    """Start a request and return the actions of its dispatch."""
    charge_requests, grant_requests = send_request(host, **changes)
    send_charge_reply(host, charge_requests[0])
    return send_grant(host, grant_requests[0])


def run_until_claim(host, **changes):
    """Start a request that may run only once and return its claim."""
    produced = run_request(
        host, service='mostrador', idempotency_key='1-k', **changes
    )
    return corekit.messages_of(produced, messages.ClaimRequest)[0]


def refusals(produced):
    """Return the refusals among actions."""
    return corekit.actions_of(produced, actions.RefuseRequest)


def test_dispatch_needs_grant_and_charge():
    """Guards against a request that runs although its limit is reached."""
    host = corekit.Host()
    charge_requests, grant_requests = send_request(host)
    assert not corekit.actions_of(
        send_grant(host, grant_requests[0]), actions.Dispatch
    )
    produced = send_charge_reply(
        host,
        charge_requests[0],
        granted=False,
        code='limit_reached',
        retry_after_ms=9,
    )
    assert refusals(produced)[0].run_state == 'not_run'
    assert refusals(produced)[0].retry_after_ms == 9
    released = corekit.messages_of(produced, messages.GrantRelease)
    assert released[0].outcome == 'unused'


def test_old_grant_is_not_used():
    """Guards against a paused host that uses a grant after its lease."""
    host = corekit.Host()
    charge_requests, grant_requests = send_request(host)
    send_charge_reply(host, charge_requests[0])
    produced = send_grant(host, grant_requests[0], after_ms=3_000)
    assert not corekit.actions_of(produced, actions.Dispatch)
    released = corekit.messages_of(produced, messages.GrantRelease)
    assert released[0].attempt_id == 'a1'


def test_grant_that_expired_while_held_is_returned():
    """Guards against a host that freezes between its grant and dispatch."""
    host = corekit.Host()
    charge_requests, grant_requests = send_request(host)
    send_grant(host, grant_requests[0])
    host.now_ms += 3_000
    produced = send_charge_reply(host, charge_requests[0])
    assert not corekit.actions_of(produced, actions.Dispatch)
    released = corekit.messages_of(produced, messages.GrantRelease)
    assert released[0].outcome == 'unused'


def test_grant_of_the_previous_owner_is_not_used():
    """Guards against a grant that is unknown to the new owner."""
    host = corekit.Host()
    charge_requests, grant_requests = send_request(host)
    send_charge_reply(host, charge_requests[0])
    query = messages.HoldingsQuery(grant_requests[0].partition)
    produced = host.receive(query, sender='h3')
    assert corekit.messages_of(produced, messages.GrantRequest)
    produced = send_grant(host, grant_requests[0])
    assert not corekit.actions_of(produced, actions.Dispatch)
    assert corekit.messages_of(produced, messages.GrantRelease)


def test_denied_request_tries_another_partition():
    """Guards against a refusal while another partition can still grant."""
    host = corekit.Host()
    _charge_requests, grant_requests = send_request(host)
    denial = messages.GrantReply(
        grant_requests[0].partition, 'r1', granted=False, code='overloaded'
    )
    produced = host.receive(denial)
    second = corekit.messages_of(produced, messages.GrantRequest)[0]
    assert second.partition != grant_requests[0].partition
    produced = host.receive(denial._replace(partition=second.partition))
    assert refusals(produced)[0].code == 'overloaded'


def test_owner_change_repeats_the_grant_request():
    """Guards against waiting for the reply of a dead owner."""
    host = corekit.Host()
    _charge_requests, grant_requests = send_request(host)
    host.core.state.owners_by_partition[grant_requests[0].partition] = 'h3'
    produced = host.send(events.Tick(), 200)
    hosts = [
        action.host
        for action in corekit.actions_of(produced, actions.SendMessage)
        if isinstance(action.message, messages.GrantRequest)
    ]
    assert hosts


def test_deadline_ends_the_request_and_cancels_the_attempt():
    """Guards against an unanswered request and a leaked attempt."""
    host = corekit.Host()
    run_request(host)
    host.send(events.AttemptStarted('a1'))
    produced = host.send(events.Tick(), 10_000)
    assert refusals(produced)[0].code == 'deadline_passed'
    assert refusals(produced)[0].run_state == 'may_have_run'
    assert corekit.actions_of(produced, actions.CancelAttempt)


def test_dispatched_request_without_any_answer_may_have_run():
    """Guards against "not run" for a call that has not been answered.

    A plain target sends nothing before its answer, so a deadline in between
    was reported as "not run".
    """
    host = corekit.Host()
    run_request(host)
    produced = host.send(events.Tick(), 10_000)
    assert refusals(produced)[0].run_state == 'may_have_run'
    other = corekit.Host()
    run_request(other)
    other.send(events.AttemptFailed('a1', 'refused', 0))
    produced = other.send(events.Tick(), 10_000)
    assert refusals(produced)[0].run_state == 'not_run'


def test_lost_stream_is_resumed_and_dead_target_replaced():
    """Guards against a caller that gets only a part of its answer."""
    host = corekit.Host()
    run_request(host)
    produced = host.send(events.AttemptFailed('a1', 'silent', 10))
    resumed = corekit.actions_of(produced, actions.Dispatch)[0]
    assert (resumed.resume, resumed.offset) == (True, 10)
    produced = host.send(events.AttemptFailed('a1', 'target_died', 12))
    grant_request = corekit.messages_of(produced, messages.GrantRequest)[0]
    assert TARGET.name in grant_request.excluded_targets
    again = corekit.actions_of(
        send_grant(host, grant_request, attempt_id='a2'), actions.Dispatch
    )[0]
    assert (again.resume, again.offset) == (False, 12)


def test_retry_budget_bounds_retries():
    """Guards against a retry storm while targets fail."""
    host = corekit.Host()
    run_request(host)
    attempts = 0
    for number in range(20):
        attempt_id = f'a{number + 1}'
        produced = host.send(events.AttemptFailed(attempt_id, 'refused', 0))
        if refusals(produced):
            break
        attempts += 1
        grant_request = corekit.messages_of(produced, messages.GrantRequest)[0]
        send_grant(host, grant_request, attempt_id=f'a{number + 2}')
    assert attempts == 10
    assert refusals(produced)[0].code == 'retries_exhausted'
    assert refusals(produced)[0].run_state == 'not_run'


def test_claim_comes_before_the_only_dispatch():
    """Guards against a dispatch without a claim and a second dispatch."""
    host = corekit.Host()
    claim_request = run_until_claim(host)
    reply = messages.ClaimReply('claims:0', claim_request.claim_id, 'claimed')
    produced = host.receive(reply, 10)
    assert len(corekit.actions_of(produced, actions.Dispatch)) == 1
    assert not corekit.actions_of(host.receive(reply), actions.Dispatch)
    host.send(events.AttemptStarted('a1'))
    produced = host.send(events.AttemptFailed('a1', 'lost', 0))
    assert refusals(produced)[0].code == 'outcome_unknown'
    assert refusals(produced)[0].run_state == 'may_have_run'
    assert not corekit.messages_of(produced, messages.OutcomeReport)


def test_dispatched_claim_is_not_reported_as_not_run():
    """Guards against a false "not run" from a host that was paused."""
    host = corekit.Host()
    claim_request = run_until_claim(host)
    host.receive(
        messages.ClaimReply('claims:0', claim_request.claim_id, 'claimed')
    )
    partition = 'targets:mostrador:rosario:0'
    produced = host.receive(messages.GrantExpired(partition, 'a1'), 4_000)
    assert refusals(produced)[0].code == 'outcome_unknown'
    assert refusals(produced)[0].run_state == 'may_have_run'


def test_claim_waits_for_an_owner_within_its_window():
    """Guards against refusing requests during a change of claims owner."""
    host = corekit.Host()
    host.core.state.owners_by_partition.pop('claims:0')
    produced = run_request(host, service='mostrador', idempotency_key='1-k')
    assert not refusals(produced)
    host.core.state.owners_by_partition['claims:0'] = corekit.OWNER
    produced = host.send(events.Tick(), 200)
    assert corekit.messages_of(produced, messages.ClaimRequest)
    host.core.state.owners_by_partition.pop('claims:0')
    ended = [
        refusal
        for _ in range(10)
        for refusal in refusals(host.send(events.Tick(), 100))
    ]
    assert [(each.code, each.run_state) for each in ended] == [
        ('claims_unavailable', 'not_run')
    ]


def test_late_claim_is_abandoned():
    """Guards against a dispatch by a host that froze after its claim."""
    host = corekit.Host()
    claim_request = run_until_claim(host)
    reply = messages.ClaimReply('claims:0', claim_request.claim_id, 'claimed')
    produced = host.receive(reply, 1_001)
    assert not corekit.actions_of(produced, actions.Dispatch)
    assert refusals(produced)[0].run_state == 'not_run'
    report = corekit.messages_of(produced, messages.OutcomeReport)[0]
    assert report.state == 'abandoned'


def test_outcome_is_reported_until_it_is_acknowledged():
    """Guards against an outcome that is lost with a message."""
    host = corekit.Host()
    claim_request = run_until_claim(host)
    reply = messages.ClaimReply('claims:0', claim_request.claim_id, 'claimed')
    host.receive(reply)
    produced = host.send(events.AttemptFinished('a1', 0, b'done'))
    assert corekit.actions_of(produced, actions.FinishRequest)
    again = host.send(events.Tick(), 600)
    report = corekit.messages_of(again, messages.OutcomeReport)[0]
    assert (report.state, report.answer) == ('ran', b'done')
    host.receive(messages.OutcomeAck('claims:0', claim_request.claim_id))
    later = host.send(events.Tick(), 600)
    assert not corekit.messages_of(later, messages.OutcomeReport)


def test_unreachable_owner_allows_a_share_of_the_limit():
    """Guards against refusing all requests while an account has no owner."""
    host = corekit.Host()
    _charge_requests, grant_requests = send_request(host)
    send_grant(host, grant_requests[0])
    dispatches = []
    for _ in range(10):
        produced = host.send(events.Tick(), 100)
        dispatches.extend(corekit.actions_of(produced, actions.Dispatch))
    assert len(dispatches) == 1


def test_resume_at_another_host_attaches_to_the_running_attempt():
    """Guards against a second run after the accepting host died."""
    host = corekit.Host()
    request = corekit.make_request()
    produced = host.send(events.ResumeReceived(request, 10_000, 40))
    find_requests = corekit.messages_of(produced, messages.FindRequest)
    assert len(find_requests) == 2
    host.receive(
        messages.FindReply(find_requests[0].partition, 'r1', found=False)
    )
    produced = host.receive(
        messages.FindReply(
            find_requests[1].partition, 'r1', True, 'a9', (TARGET,), 5_000
        )
    )
    resumed = corekit.actions_of(produced, actions.Dispatch)[0]
    assert (resumed.attempt_id, resumed.offset) == ('a9', 40)


def test_resume_of_an_unknown_request_restarts_the_answer():
    """Guards against an answer assembled from two different runs."""
    host = corekit.Host()
    request = corekit.make_request()
    host.send(events.ResumeReceived(request, 10_000, 40))
    produced = host.send(events.Tick(), 400)
    assert corekit.actions_of(produced, actions.RestartAnswer)
    assert corekit.messages_of(produced, messages.GrantRequest)


def test_resumed_claim_is_not_reported_as_not_run():
    """Guards against "not run" for a request that ran at a failed host."""
    host = corekit.Host()
    request = corekit.make_request(service='mostrador', idempotency_key='1-k')
    produced = host.send(events.ResumeReceived(request, 10_000, 0))
    grant_request = corekit.messages_of(produced, messages.GrantRequest)[0]
    send_charge_reply(
        host, corekit.messages_of(produced, messages.ChargeRequest)[0]
    )
    claim_request = corekit.messages_of(
        send_grant(host, grant_request), messages.ClaimRequest
    )[0]
    reply = messages.ClaimReply(
        'claims:0', claim_request.claim_id, 'unavailable'
    )
    produced = host.receive(reply)
    assert refusals(produced)[0].run_state == 'may_have_run'


def test_request_that_moved_ends_at_the_paused_host():
    """Guards against a paused host that reclaims a request that moved."""
    host = corekit.Host()
    run_request(host)
    moved = messages.GrantExpired(corekit.PARTITION, 'a1', moved=True)
    produced = host.receive(moved, 5_000)
    assert refusals(produced)[0].code == 'in_progress'
    assert refusals(produced)[0].run_state == 'may_have_run'
    assert not corekit.messages_of(produced, messages.GrantRequest)


def test_repeated_request_attaches_to_its_running_attempt():
    """Guards against waiting for the lease of a failed host to expire."""
    host = corekit.Host()
    _charge_requests, grant_requests = send_request(host)
    denial = messages.GrantReply(
        grant_requests[0].partition, 'r1', granted=False, code='in_progress'
    )
    produced = host.receive(denial)
    assert corekit.messages_of(produced, messages.FindRequest)
    reply = messages.FindReply(
        grant_requests[0].partition, 'r1', True, 'a9', (TARGET,), 5_000
    )
    resumed = corekit.actions_of(host.receive(reply), actions.Dispatch)[0]
    assert (resumed.attempt_id, resumed.offset) == ('a9', 0)


def test_moved_grant_is_not_cancelled():
    """Guards against cancelling an attempt that moved to another host."""
    host = corekit.Host()
    run_request(host)
    host.send(events.CallerGone('r1'))
    produced = host.receive(messages.GrantExpired(corekit.PARTITION, 'a1'))
    assert corekit.actions_of(produced, actions.DropStream)
    assert not corekit.actions_of(produced, actions.CancelAttempt)


def test_graceful_shutdown_waits_for_open_requests():
    """Guards against a shutdown that cuts off a request."""
    host = corekit.Host()
    run_request(host)
    host.send(events.StopRequested())
    produced = host.send(events.Tick(), 6_000)
    assert not corekit.actions_of(produced, actions.StopProcess)
    host.send(events.AttemptFinished('a1', 100))
    produced = host.send(events.Tick(), 25)
    assert corekit.actions_of(produced, actions.StopProcess)
    answer = host.send(events.AddressAsked('q', 'small'))[0]
    assert [entry.name for entry in answer.hosts] == [corekit.OWNER]
