"""Failures of targets, hosts and messages that a partition's owner handles."""

import random

import pytest

from bench import simulation
from bergamotstream import coldstart, errors, events, messages, records
from standins import enginemodel

MINUTE_MS = 60_000
TARGET_TTFT_MS = 380


def arrival(number, tokens=2_000, at_ms=1_000, **changes):
    """Return a request; ``changes`` go to the request or the arrival."""
    request = records.RequestSpec(
        request_id=f'r{number}',
        workspace=changes.pop('workspace', 'w1'),
        service=simulation.SERVICE,
        prompt_tokens=tokens,
        max_output_tokens=changes.pop('output', 50),
        fingerprint=changes.pop('fingerprint', number),
        body_digest=number,
    )
    output = changes.pop('produced', request.max_output_tokens)
    host = f'h{number % 3 + 1}'
    settled = {'remaining_ms': MINUTE_MS, 'host': host, **changes}
    return simulation.Arrival(at_ms, request, output, **settled)


def burst(world, numbers, **changes):
    """Submit several requests and return their calls."""
    return [world.submit(arrival(number, **changes)) for number in numbers]


def test_cold_targets_get_exactly_their_cap():
    """Guards against hosts together overloading a target in cold start."""
    world = simulation.Simulation(2, warm=False)
    calls = burst(world, range(60))
    excess = []

    def watch():
        for target in world.owner.targets_by_name.values():
            if target.running > target.cold_start.cap:
                excess.append((world.now_ms, target.name))

    world.on_handled = watch
    world.run_until(MINUTE_MS)
    assert not excess
    assert [engine.starts for engine in world.engines.values()] == [1, 1]
    assert all(call.done_ms for call in calls)


def test_target_that_turns_cold_without_warning_is_not_overloaded():
    """Guards against overloading a cold target whose report comes late."""
    world = simulation.Simulation(1)
    world.at(2_000, world.engines['t00'].turn_cold)
    calls = burst(world, range(30), at_ms=3_000)
    world.run_until(MINUTE_MS)
    assert world.engines['t00'].starts == 1
    assert all(call.done_ms for call in calls)


def test_slow_first_tokens_reveal_a_cold_target():
    """Guards against trusting a target that does not report its cold start."""
    world = simulation.Simulation(1)
    engine = world.engines['t00']
    report = engine.report
    engine.report = lambda now_ms: report(now_ms)._replace(cold=False)
    world.at(1_900, engine.turn_cold)
    for number in range(2):
        world.submit(arrival(number, at_ms=2_000 + 3_000 * number))
    world.run_until(7_500)
    cold_start = world.owner.targets_by_name['t00'].cold_start
    assert engine.starts == 1
    assert cold_start.cold
    assert cold_start.cap == 1


@pytest.mark.parametrize('lost_cancels', [0, 1, 3])
def test_expired_grants_free_their_memory(lost_cancels):
    """Guards against engine memory that is never freed if cancels are lost."""
    world = simulation.Simulation(2)
    left = lost_cancels

    def drops(subject):
        nonlocal left
        if type(subject).__name__ == 'CancelAttempt' and left:
            left -= 1
            return True
        return isinstance(subject, messages.GrantRenew)

    world.drops = drops
    burst(
        world,
        range(6),
        tokens=30_000,
        output=4_000,
        remaining_ms=10 * MINUTE_MS,
    )
    world.run_until(3_900)
    assert any(engine.memory_used for engine in world.engines.values())
    world.run_until(8_000)
    assert not any(engine.memory_used for engine in world.engines.values())
    for target in world.owner.targets_by_name.values():
        assert target.occupancy.memory_used == 0


def test_orphans_are_cancelled_and_fresh_attempts_are_not():
    """Guards against leaked memory, and against cancels by a late report."""
    world = simulation.Simulation(1)
    engine = world.engines['t00']
    engine.submit(enginemodel.Submission('stray', 50_000, 9_000, 500), 0)
    calls = burst(world, range(10), at_ms=200, output=200)
    world.run_until(1_000)
    target = world.owner.targets_by_name['t00']
    assert 'stray' not in engine.sequences_by_attempt
    world.run_until(MINUTE_MS)
    assert target.occupancy.memory_used == 0
    assert all(call.done_ms and not call.codes for call in calls)


def test_memory_counts_until_a_recent_report():
    """Guards against reusing memory that a late report shows as free."""
    world = simulation.Simulation(1)
    call = world.submit(
        arrival(1, 30_000, output=4_000, remaining_ms=10 * MINUTE_MS)
    )
    world.run_until(3_000)
    attempt_id = call.reply.attempt_id
    target = world.owner.targets_by_name['t00']
    world.drops = lambda subject: 'Cancel' in type(subject).__name__
    release = messages.GrantRelease(
        simulation.PARTITION, attempt_id, 'cancelled'
    )
    world.handle(events.MessageReceived(call.arrival.host, release))
    empty = records.LoadReport('t00', 't00/1', (), 0, 500)
    world.handle(events.LoadReported(empty))
    assert target.occupancy.memory_used == 34_000
    world.handle(events.LoadReported(empty._replace(age_ms=0)))
    assert target.occupancy.memory_used == 0


@pytest.mark.parametrize('every_ms', [300, 1_000])
def test_two_groups_of_most_targets_do_not_deadlock(every_ms):
    """Guards against groups that each hold a part and wait for the rest.

    Medium prompts every 300 ms overload the targets together with the groups,
    so that some cannot meet their deadline and must be denied.
    """
    world = simulation.Simulation(4)
    calls = burst(world, (1, 2), tokens=900_000, remaining_ms=10 * MINUTE_MS)
    small = [
        world.submit(arrival(number, 20_000, at_ms=number * every_ms))
        for number in range(10, 10 + 90_000 // every_ms)
    ]
    world.run_until(10 * MINUTE_MS)
    assert all(call.done_ms for call in calls)
    late = [call for call in small if not call.done_ms]
    assert all(call.codes == ['deadline_unreachable'] for call in late)
    assert every_ms == 300 or not late
    assert not any(engine.memory_used for engine in world.engines.values())


def test_a_burst_does_not_delay_a_small_workspace():
    """Guards against one workspace filling the queue of short requests."""
    world = simulation.Simulation(4)
    burst(world, range(1_000), workspace='w0', at_ms=500)
    calls = [
        world.submit(arrival(number, at_ms=number))
        for number in range(2_000, 12_000, 500)
    ]
    world.run_until(MINUTE_MS)
    ttfts = sorted(call.ttft_ms for call in calls)
    assert ttfts[int(len(ttfts) * 0.95) - 1] <= TARGET_TTFT_MS


def test_crashing_request_is_quarantined_and_a_suspect_is_cleared():
    """Guards against a retried request that crashes target after target."""
    world = simulation.Simulation(3)
    crashes = []

    def watch():
        for call in world.calls.values():
            poison = call.arrival.request.fingerprint == 666
            if poison and call.reply and call.reply.attempt_id not in crashes:
                crashes.append(call.reply.attempt_id)
                name = call.reply.targets[0].name
                world.at(world.now_ms + 60, lambda: world.crash(name))
        for grant in world.owner.grant_table.grants_by_attempt.values():
            target = world.owner.targets_by_name[grant.targets[0].name]
            assert not grant.suspect or target.running == 1

    world.on_handled = watch
    burst(world, range(9), output=400, at_ms=900)
    poison = [
        world.submit(arrival(100 + index, fingerprint=666, at_ms=at_ms))
        for index, at_ms in enumerate(range(1_000, 30_000, 2_000))
    ]
    world.run_until(1_500)
    suspects = set(world.core.state.own_blame_by_fingerprint) - {666}
    assert suspects
    for number, fingerprint in enumerate(sorted(suspects)):
        world.submit(
            arrival(200 + number, fingerprint=fingerprint, at_ms=1_600)
        )
    world.run_until(MINUTE_MS)
    assert len(crashes) == 2
    assert poison[-1].codes == ['request_quarantined']
    assert poison[-1].retry_after_ms == 0
    assert set(world.core.state.own_blame_by_fingerprint) == {666}


def test_many_suspects_of_one_crash_still_make_their_deadlines():
    """Guards against suspects that miss deadlines while each runs alone."""
    world = simulation.Simulation(4)
    calls = burst(world, range(100), output=300, at_ms=900)

    def crash():
        engines = world.engines.values()
        engine = max(engines, key=lambda each: len(each.sequences_by_attempt))
        world.crash(engine.name)

    world.at(3_900, crash)
    world.run_until(4_000)
    lost = [call for call in calls if call.lost]
    assert len(lost) >= 16
    again = [
        world.submit(
            arrival(
                100 + number,
                fingerprint=call.arrival.request.fingerprint,
                output=60,
                at_ms=4_000,
                remaining_ms=10_000,
            )
        )
        for number, call in enumerate(lost)
    ]
    world.run_until(MINUTE_MS)
    assert all(call.done_ms for call in again)


@pytest.mark.parametrize('how', ['host_list', 'bundle', 'report'])
def test_leaving_target_gets_no_new_work(how):
    """Guards against new work for a target that is being drained."""
    world = simulation.Simulation(2)
    if how == 'host_list':
        world.list_targets(('t00',))
    elif how == 'bundle':
        world.set_bundle(
            simulation.default_bundle(targets_leaving=frozenset(('t00',)))
        )
    else:
        world.engines['t00'].leaving = True
        world.run_until(900)
    calls = burst(world, range(20))
    world.run_until(MINUTE_MS)
    assert all(call.done_ms for call in calls)
    assert world.engines['t00'].report(world.now_ms).running == ()
    assert world.engines['t00'].finished_since_cold == 8


def test_zone_taken_out_gets_no_new_work():
    """Guards against waiting for targets of a zone taken out by operators."""
    world = simulation.Simulation(2)
    waiting = burst(world, range(200))
    world.run_until(1_010)
    zones = frozenset((simulation.ZONE,))
    world.set_bundle(simulation.default_bundle(zones_out=zones))
    late = burst(world, range(300, 310), at_ms=1_100)
    world.run_until(MINUTE_MS)
    assert all(call.codes == ['no_target'] for call in late)
    assert all(call.done_ms or call.codes for call in waiting)


def test_unreachable_deadline_is_denied_at_once():
    """Guards against queueing a request that cannot meet its deadline."""
    world = simulation.Simulation(1)
    early = world.submit(arrival(1, tokens=100_000, remaining_ms=3_000))
    burst(world, range(10, 200), tokens=4_000, at_ms=1_100)
    late = world.submit(arrival(2, at_ms=1_200, remaining_ms=4_000))
    world.run_until(1_300)
    assert early.codes == ['deadline_unreachable']
    assert late.codes == ['deadline_unreachable']


def test_queued_requests_end_by_their_deadline():
    """Guards against unanswered requests when queued work takes too long."""
    world = simulation.Simulation(1)
    calls = burst(world, range(20), tokens=3_000, remaining_ms=6_000)
    world.run_until(1_100)
    queued = [call for call in calls if call.reply is None]
    assert len(queued) > 10
    world.engines['t00'].advance = lambda now_ms: []
    world.engines['t00'].next_step_ms = lambda: None
    world.run_until(7_000)
    assert all(call.codes or call.reply for call in queued)


def test_repeated_request_gets_the_same_grant():
    """Guards against two attempts of a request whose grant reply is lost."""
    world = simulation.Simulation(2)
    call = world.submit(arrival(1, output=400))
    world.run_until(1_100)
    first = call.reply
    world.tell(
        call.arrival.host,
        messages.GrantRequest(
            simulation.PARTITION, call.arrival.request, MINUTE_MS, 0
        ),
    )
    world.run_until(1_200)
    assert call.reply == first
    assert call.repeats == 1
    assert len(world.owner.grant_table.grants_by_attempt) == 1


def test_new_owner_adopts_before_it_grants():
    """Guards against a new owner that grants memory which is in use."""
    world = simulation.Simulation(1)
    engine = world.engines['t00']
    held = world.submit(
        arrival(1, 200_000, output=5_000, remaining_ms=10 * MINUTE_MS)
    )
    world.run_until(2_000)
    grant = world.owner.grant_table.grants_by_attempt[held.reply.attempt_id]
    engine.submit(enginemodel.Submission('unclaimed', 90_000, 100, 900), 2_000)
    holding = records.Holding(
        grant.attempt_id, grant.request, grant.targets, 50_000, False
    )
    world.handle(events.PartitionLost(simulation.PARTITION))
    world.handle(events.PartitionAcquired(simulation.PARTITION))
    fresh = world.submit(
        arrival(2, 110_000, at_ms=2_001, remaining_ms=10 * MINUTE_MS)
    )
    world.run_until(2_100)
    assert fresh.reply is None
    for host in ('h0', *simulation.HOSTS):
        owned = (holding,) if host == grant.holder else ()
        reply = messages.HoldingsReply(simulation.PARTITION, owned, ())
        world.handle(events.MessageReceived(host, reply))
    target = world.owner.targets_by_name['t00']
    assert target.occupancy.memory_reserved >= 205_000
    world.run_until(10 * MINUTE_MS)
    assert held.done_ms
    assert fresh.done_ms
    assert engine.memory_used == 0


def test_not_the_owner_denies():
    """Guards against grants by a host that lost the partition."""
    world = simulation.Simulation(1)
    waiting = burst(world, range(300))
    world.run_until(1_010)
    world.handle(events.PartitionLost(simulation.PARTITION))
    late = world.submit(arrival(900, at_ms=1_020))
    world.run_until(1_100)
    assert late.codes == ['no_owner']
    assert all(call.reply or call.codes == ['no_owner'] for call in waiting)


def test_a_crashed_target_warms_up_again():
    """Guards against a target that stays cold because warm ones suffice."""
    world = simulation.Simulation(4)
    world.at(2_000, lambda: world.crash('t01'))
    for number in range(300):
        world.submit(arrival(number, at_ms=1_000 + number * 200))
    world.run_until(MINUTE_MS + 5_000)
    assert not world.owner.targets_by_name['t01'].cold_start.cold
    assert not world.engines['t01'].cold
    assert world.engines['t01'].starts == 2


def test_crash_under_a_group_leaves_the_other_targets_warm():
    """Guards against blaming every target of a group for one crash."""
    world = simulation.Simulation(4)
    call = world.submit(arrival(1, 900_000, remaining_ms=10 * MINUTE_MS))
    # The second target prefills its part after the first one's 15 s.
    world.at(20_000, lambda: world.crash('t01'))
    world.run_until(22_000)
    targets = world.owner.targets_by_name
    assert call.lost == 1
    assert [entry.cold_start.cold for entry in targets.values()] == [
        name == 't01' for name in targets
    ]
    assert not any(engine.memory_used for engine in world.engines.values())


def test_resuming_host_takes_the_grant_over():
    """Guards against ending a resumed stream with its first host's lease."""
    world = simulation.Simulation(1)
    call = world.submit(arrival(1, output=900))
    world.run_until(1_500)
    attempt_id = call.reply.attempt_id
    world.drops = lambda subject: isinstance(subject, messages.GrantRenew)
    for at_ms in range(2_000, 20_000, 1_000):
        renewal = messages.GrantRenew(simulation.PARTITION, (attempt_id,))
        received = events.MessageReceived('h3', renewal)
        world.at(at_ms, lambda: world.handle(received))
    find = messages.FindRequest(simulation.PARTITION, 'r1')
    world.handle(events.MessageReceived('h3', find))
    world.run_until(30_000)
    assert call.done_ms


def test_failing_targets_are_avoided_for_longer_each_time():
    """Guards against sending every request to a target that refuses them."""
    world = simulation.Simulation(2)
    world.engines['t00'].submit = lambda submission, now_ms: 'busy'
    for number in range(100):
        world.submit(arrival(number, at_ms=1_000 + number * 100))
    world.run_until(MINUTE_MS)
    refused = [call for call in world.calls.values() if call.codes]
    assert len(refused) <= 8
    assert all(call.done_ms or call.codes for call in world.calls.values())


def test_plain_service_spreads_calls_over_its_slots():
    """Guards against treating a plain service like an engine."""
    service = records.ServiceConfig(
        simulation.SERVICE, 'plain', slots=4, cold_limit=1, warm_after=1
    )
    bundle = simulation.default_bundle(
        services_by_name={simulation.SERVICE: service}
    )
    world = simulation.Simulation(3, bundle=bundle)
    calls = burst(world, range(14), tokens=0, output=30)
    # The last slot of a target is reserved for workspaces below their share.
    calls += burst(world, range(20, 23), tokens=0, workspace='w2')
    world.run_until(1_010)
    used = [entry.running for entry in world.owner.targets_by_name.values()]
    assert used == [4, 4, 4]
    assert all(call.reply for call in calls[-3:])
    world.run_until(MINUTE_MS)
    assert all(call.done_ms for call in calls)


def test_host_without_a_route_does_not_keep_a_target_cold():
    """Guards against one host's network fault that leaves a target unused."""
    world = simulation.Simulation(1)
    call = world.submit(arrival(1))
    world.run_until(1_100)
    release = messages.GrantRelease(
        simulation.PARTITION, call.reply.attempt_id, 'target_lost'
    )
    world.handle(events.MessageReceived(call.arrival.host, release))
    cold_start = world.owner.targets_by_name['t00'].cold_start
    assert cold_start.cap == 1
    world.run_until(3_000)
    assert not cold_start.cold


def test_changed_service_keeps_the_queue():
    """Guards against losing waiting requests when a service is resized."""
    world = simulation.Simulation(1)
    calls = burst(world, range(12))
    world.run_until(1_010)
    service = records.ServiceConfig(simulation.SERVICE, 'model', slots=16)
    services = {simulation.SERVICE: service}
    world.set_bundle(
        simulation.default_bundle(services_by_name=services, version=2)
    )
    assert not any(call.codes for call in calls)
    world.run_until(MINUTE_MS)
    assert all(call.done_ms for call in calls)
    assert world.owner.targets_by_name['t00'].cold_start.cap == 16


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_combined_faults_leak_no_memory(seed):
    """Guards against leaked memory after crashes with lost messages."""
    source = random.Random(seed)
    world = simulation.Simulation(6)
    fragile = ('GrantRelease', 'GrantRenew', 'GrantProgress', 'CancelAttempt')

    def drops(subject):
        fits = type(subject).__name__ in fragile
        return fits and source.random() < 0.1 and world.now_ms < MINUTE_MS

    world.drops = drops
    for number in range(400):
        tokens = source.choice((1_000, 3_000, 20_000, 90_000, 700_000))
        at_ms = source.randrange(1_000, MINUTE_MS)
        world.submit(arrival(number, tokens, at_ms, output=300))
    for _ in range(8):
        name = source.choice(sorted(world.engines))
        when_ms = source.randrange(5_000, MINUTE_MS)
        world.at(when_ms, lambda name=name: world.crash(name))
        world.at(when_ms + 3_000, world.engines[name].turn_cold)
    world.run_until(4 * MINUTE_MS)
    assert not any(engine.memory_used for engine in world.engines.values())
    for target in world.owner.targets_by_name.values():
        assert target.occupancy.memory_used == 0
        assert target.running == 0
        assert len(target.prefills) == 0
        assert not target.reserved_for
    assert not world.owner.grant_table.grants_by_attempt
    assert not world.owner.admission.waiting_by_request


def test_only_attempts_of_the_cold_time_raise_the_cap():
    """Guards against counting an attempt granted before a restart."""
    service = records.ServiceConfig(simulation.SERVICE, 'model')
    state = coldstart.ColdStart(service, 0)
    state.observe_report(cold=False, sampled_ms=0, now_ms=0)
    state.turn_cold(1_000, trust_reports=True)
    state.count_finished(granted_ms=900, now_ms=1_100)
    assert state.cap == 1
    state.count_finished(granted_ms=1_000, now_ms=1_200)
    assert state.cap == 2


def test_unknown_policy_is_refused_at_the_start():
    """Guards against a misspelt policy that is found at the first request."""
    with pytest.raises(errors.InvalidSettings, match='least-loaded'):
        simulation.Simulation(1, policy='fastest')
