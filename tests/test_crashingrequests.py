"""A request that crashes each target that runs it, under further faults."""

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import crashblame, dispatch, fingerprints
from bergamotstream.platform import store
from tests import crashkit
from tests import platformkit as kit

SEEDS = (1, 2, 3)
LOADS_BY_NAME = {
    'lookup': {},
    'often': {'crashing_interval_ms': 500},
    'order': {'path': '/order/666'},
    'same_id': {'same_id': True, 'ordinary_interval_ms': 1_500},
}


async def assert_within_bound(scenario, loads=tuple(LOADS_BY_NAME)):
    """Require the operators' bound in each load with each seed."""
    broken = {}
    fleets = []
    for load in loads:
        for seed in SEEDS:
            fleet = crashkit.Fleet(seed=seed, **LOADS_BY_NAME[load])
            fleets.append(fleet)
            await scenario(fleet)
            later = fleet.later_sends()
            if len(later) > crashkit.MAX_LATER_SENDS:
                broken[load, seed] = later
    assert not broken
    return fleets


async def test_request_that_crashes_targets_is_refused():
    """Guards against a request that keeps crashing targets."""
    fleets = await assert_within_bound(crashkit.calm)
    assert {fleet.codes[-1] for fleet in fleets} == {'request_blamed'}


async def test_crashes_during_an_outage_of_the_store_count():
    """Guards against suspicions that expire while nothing confirms them."""
    await assert_within_bound(crashkit.outage_of_the_store)


async def test_blame_outlives_hosts_replaced_in_turn():
    """Guards against crash counts that end with their process."""
    await assert_within_bound(crashkit.hosts_replaced_in_turn)


async def test_blame_outlives_kills_of_all_hosts():
    """Guards against crash counts that no process has after a kill of all."""
    await assert_within_bound(crashkit.kills_of_all_hosts)


async def test_blame_reaches_hosts_that_were_cut_off():
    """Guards against a host that returns without the counts of its peers."""
    await assert_within_bound(crashkit.cut_off_hosts)


async def test_blame_lasts_while_the_request_keeps_coming():
    """Guards against a request that crashes targets again each minute."""
    await assert_within_bound(crashkit.long_run, ('lookup', 'order'))


async def test_silent_crashes_count():
    """Guards against crashes whose callers disconnect before a reset."""
    await assert_within_bound(crashkit.silent_crashes, ('lookup', 'order'))


@pytest.mark.parametrize(
    ('fault', 'confirms'),
    [
        (crashkit.refused_connection(), True),
        (dispatch.TargetRefused(421, ''), True),
        (crashkit.connection_timeout(), False),
        (dispatch.TargetRefused(503, ''), False),
    ],
    ids=['refused', 'misdirected', 'timeout', 'full'],
)
async def test_crash_is_counted_without_the_store(fault, confirms):
    """Guards against crashes that only a removed entry confirms."""
    fleet = crashkit.Fleet(hosts=1)
    host = fleet.hosts_by_name['h0']
    state, assignment = host.start_request('/lookup/1', b'crash')
    broken = dispatch.TargetBroken('reset')
    host.outcomes.record_fault(broken, state, assignment)
    host.outcomes.record_fault(fault, state, assignment)
    host.hear_target('t11')
    assert host.has_confirmed(state.job) == confirms


async def test_refused_connection_of_a_peer_confirms_a_crash():
    """Guards against suspicions and proofs that stay on different hosts."""
    fleet = crashkit.Fleet(hosts=2)
    hosts = tuple(fleet.hosts_by_name.values())
    state, assignment = hosts[0].start_request('/lookup/1', b'crash')
    broken = dispatch.TargetBroken('reset')
    hosts[0].outcomes.record_fault(broken, state, assignment)
    hosts[1].outcomes.record_fault(
        crashkit.refused_connection(), state, assignment
    )
    hosts[1].hear_target('t11')
    hosts[1].exchange(hosts)
    assert hosts[0].has_confirmed(state.job)


async def test_error_answer_is_no_crash():
    """Guards against blaming a request whose target answered with status 500.

    A target that answers runs, though it may crash within seconds.
    """
    fleet = crashkit.Fleet(hosts=1)
    host = fleet.hosts_by_name['h0']
    state, assignment = host.start_request('/lookup/1', b'x')
    failed = dispatch.TargetErrorAnswer('status 500')
    host.outcomes.record_fault(failed, state, assignment)
    host.outcomes.record_crash(assignment.target.target_id, 'gone')
    assert not host.has_confirmed(state.job)


async def test_request_blamed_while_it_waits_is_not_sent():
    """Guards against a check of the blame at admission only."""
    fleet = crashkit.Fleet(hosts=1)
    host = fleet.hosts_by_name['h0']
    state, _ = host.start_request('/lookup/1', b'crash')
    blamed = crashblame.Blamed(state.job.fingerprint, 0)
    host.core.blame.blame([blamed], fleet.clock.now_ms())
    with pytest.raises(errors.RequestBlamed):
        await host.ingress._serve_with_retries(state.request)
    assert not fleet.sent


async def test_entry_that_lapses_with_the_store_is_no_crash():
    """Guards against blame for targets that write their entries again."""
    fleet = crashkit.Fleet(hosts=1)
    host = fleet.hosts_by_name['h0']
    state, assignment = host.start_request('/lookup/1', b'x')
    broken = dispatch.TargetBroken('reset')
    host.outcomes.record_fault(broken, state, assignment)
    fleet.store.away = True
    await fleet.run(2_000)
    key = f'servers/{assignment.target.target_id}'
    document = fleet.store.items_by_key[key].document
    fleet.store.put(key, None)
    fleet.store.away = False
    host.read_store()
    fleet.store.put(key, document)
    host.read_store()
    assert not host.has_confirmed(state.job)


@pytest.mark.parametrize(
    ('fault', 'waited_ms', 'suspected'),
    [
        (dispatch.TargetBroken('reset'), 0, True),
        (dispatch.TargetRefused(503, '10.0.0.9:80'), 1_500, True),
        # The helper had ended before the request was sent.
        (dispatch.TargetRefused(503, '10.0.0.9:80'), 10, False),
    ],
    ids=['broken', 'stalled', 'at_once'],
)
async def test_crash_of_a_helper_counts(fault, waited_ms, suspected):
    """Guards against crashes under the parts of a prompt that helpers read."""
    fleet = crashkit.Fleet(hosts=1)
    host = fleet.hosts_by_name['h0']
    helper = host.core.view.targets_by_id['t8']
    state, assignment = host.start_request('/lookup/1', b'crash')
    state.is_unanswered = True
    assignment = assignment._replace(helpers=(helper,))
    fleet.clock.advance(waited_ms)
    host.outcomes.record_fault(fault, state, assignment)
    host.outcomes.record_crash('t8', 'gone')
    assert host.has_confirmed(state.job) == suspected


@pytest.mark.parametrize('seed', range(1, 7))
async def test_bound_holds_under_random_faults(seed):
    """Guards against faults in series that together forget a crash."""
    assert len(await crashkit.play_random_faults(seed)) <= (
        crashkit.MAX_LATER_SENDS
    )


def test_request_is_recognised_with_another_key_of_its_workspace():
    """Guards against crash counts that start anew when keys are replaced."""
    core = kit.make_scheduler()
    workspaces = [
        {'name': 'small', 'api_keys': [kit.KEY, 'key-2']},
        {'name': 'other', 'api_keys': ['key-3']},
    ]
    document = kit.configuration_document(2, tenants=workspaces)
    page = store.Page((store.Item('op/config', 200, document),), 200)
    core.view.apply_changes(page, 0)
    first, second, other = (
        fingerprints.of_request(kit.make_job(core, Api_Key=key), b'crash')
        for key in (kit.KEY, 'key-2', 'key-3')
    )
    assert first == second
    assert first != other


# Successes of requests that are like the crashing one.
TWINS_BY_NAME = {
    'none': {},
    'before': {'served_for_ms': 3_000},
    'beside': {'twin_interval_ms': 500},
    'before_and_beside': {'served_for_ms': 3_000, 'twin_interval_ms': 500},
    'often': {'twin_interval_ms': 200},
}


@pytest.mark.parametrize('restart_ms', [1_000, 3_000])
@pytest.mark.parametrize('twins', TWINS_BY_NAME)
@pytest.mark.parametrize('scenario', ['calm', 'cut_off_hosts'])
async def test_request_that_is_also_served_is_refused(
    scenario, twins, restart_ms
):
    """Guards against a success that erases the crashes of a request.

    A service of three targets loses them all to one request in two tries.
    """
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed,
            targets=3,
            restart_ms=restart_ms,
            **TWINS_BY_NAME[twins],
        )
        await crashkit.SCENARIOS_BY_NAME[scenario](fleet)
        assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS


async def test_request_that_is_also_served_stays_refused():
    """Guards against blame that ends with the crashes that led to it."""
    fleet = crashkit.Fleet(targets=3, restart_ms=1_000, twin_interval_ms=500)
    await crashkit.long_run(fleet)
    assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS
    assert fleet.codes[-1] == 'request_blamed'


@pytest.mark.parametrize('ordinary_ms', [100, 300])
@pytest.mark.parametrize('targets', [3, 12])
async def test_popular_sound_request_beside_crashes_is_served(
    targets, ordinary_ms
):
    """Guards against refusing a common request for the crashes of another."""
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed,
            targets=targets,
            popular=True,
            ordinary_ms=ordinary_ms,
            twin_interval_ms=500,
        )
        await fleet.run(30_000)
        assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS
        assert fleet.refused_ordinary <= fleet.ordinary * 0.02


async def test_targets_that_end_for_another_cause_blame_no_popular_request():
    """Guards against refusing a common request when targets end in turn."""
    fleet = crashkit.Fleet(
        popular=True, ordinary_ms=100, crashing_interval_ms=600_000
    )
    for number in range(10):
        await fleet.run(2_000)
        fleet.end_target(number % 12)
    await fleet.run(5_000)
    assert not fleet.refused_ordinary
