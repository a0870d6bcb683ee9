"""Tests of membership and ownership over several cores in one process."""

import cellfake
import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import components, events, records

HOSTS = 5
TAKEOVER_LIMIT_MS = 3_000
NAMES = strategies.sampled_from([f'h{index}' for index in range(HOSTS + 1)])
FAULTS = strategies.sampled_from(
    [
        'freeze',
        'thaw',
        'cut',
        'heal',
        'lose',
        'restart',
        'kill',
        'unlist',
        'kv',
        'kv-lossy',
        'zone-out',
        'stop',
    ]
)
STEPS = strategies.lists(
    strategies.tuples(FAULTS, NAMES, NAMES, strategies.integers(1, 60)),
    max_size=14,
)


def start_cell(count=HOSTS, seed=1):
    cell = cellfake.CellFake(count, seed)
    cell.run_until(cell.all_owned, 6_000)
    cell.run(1_000)
    return cell


def inject_fault(cell, fault, one, other):
    if fault == 'restart' or one not in cell.cores_by_host:
        cell.start(one)
    elif fault == 'freeze':
        cell.paused.add(one)
    elif fault == 'thaw':
        cell.resume(one)
    elif fault == 'cut':
        cell.cut_links.add(frozenset((one, other)))
    elif fault == 'heal':
        cell.cut_links.clear()
        cell.loss_rate = 0.0
    elif fault == 'lose':
        cell.loss_rate = 0.4
    elif fault == 'kill':
        cell.kill(one)
    elif fault == 'unlist':
        cell.listed.pop(one, None)
        cell.list_hosts()
    elif fault == 'kv':
        cell.kv_status = 'ok' if cell.kv_status != 'ok' else 'unavailable'
    elif fault == 'kv-lossy':
        cell.kv_lossy = not cell.kv_lossy
    elif fault == 'zone-out':
        zone = cell.listed[one].availability_zone if one in cell.listed else ''
        cell.set_bundle(frozenset([zone]), cell.running_hosts())
    elif fault == 'stop':
        cell.deliver(one, events.StopRequested())


@hypothesis.settings(
    max_examples=40,
    phases=[hypothesis.Phase.generate],
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(STEPS, strategies.integers(1, 1_000))
def test_no_partition_has_two_owners(steps, seed):
    """Guards against two owners after any sequence of faults, and against
    a cell that owns nothing after all faults have ended."""
    cell = cellfake.CellFake(HOSTS, seed)
    cell.run(2_500)
    for fault, one, other, length in steps:
        inject_fault(cell, fault, one, other)
        cell.run(length * cellfake.STEP_MS * 2)
    cell.cut_links.clear()
    cell.loss_rate, cell.kv_status, cell.kv_lossy = 0.0, 'ok', False
    for name in list(cell.cores_by_host):
        cell.listed.setdefault(name, cell.host_info(name))
        if name in cell.killed:
            cell.start(name)
        cell.resume(name)
    cell.list_hosts()
    cell.run_until(cell.all_owned, 30_000)


def test_takeover_within_limit_while_kv_is_down():
    """Guards against a takeover that needs the key-value service."""
    cell = start_cell()
    cell.kv_status = 'unavailable'
    cell.kill(cell.owner_of('claims:0'))
    waited_ms = cell.run_until(cell.all_owned, TAKEOVER_LIMIT_MS)
    assert waited_ms > 1_000


def test_paused_host_owns_nothing_on_resume():
    """Guards against another component acting on expired ownership in the
    first event after a pause."""
    cell = start_cell()
    name = cell.owner_of('claims:0')
    cell.paused.add(name)
    cell.run(1_200)
    seen = []

    class Observer(components.Component):
        @components.handles(events.CallerGone, events.PartitionLost)
        def on_event(self, event):
            seen.append((event, self.state.owns('claims:0')))
            return []

    host = cell.cores_by_host[name]
    for kind, handler in Observer(host.state).handlers():
        host._handlers_by_kind[kind].insert(0, handler)
    cell.paused.discard(name)
    cell.deliver(name, events.CallerGone('r'))
    assert (events.PartitionLost('claims:0'), False) in seen
    assert seen[-1] == (events.CallerGone('r'), False)
    cell.resume(name)
    cell.run(3_000)


def test_planned_release_moves_at_once():
    """Guards against a planned stop that waits for the takeover time, and
    against two owners when the release is withdrawn."""
    cell = start_cell()
    name = cell.owner_of('claims:0')
    cell.deliver(name, events.StopRequested())
    cell.run_until(lambda: cell.owner_of('claims:0') != name, 50)
    cell.run_until(cell.all_owned, 300)
    assert name not in dict(map(reversed, cell.owners()))


@pytest.mark.parametrize('seed', range(15))
def test_release_taken_back(seed):
    """Guards against an owner that relies on supports given before its
    release when a zone is taken out and put back."""
    cell = start_cell(HOSTS, seed)
    name = cell.owner_of('claims:0')
    zone = cell.listed[name].availability_zone
    cell.set_bundle(frozenset([zone]), [name])
    cell.run(25)
    cell.set_bundle(frozenset(), [name])
    cell.run(3_000)
    assert cell.all_owned()


@pytest.mark.parametrize('seed', range(8))
def test_restarted_members_abstain(seed):
    """Guards against members that lose their votes in a restart and elect
    another owner while the first is disconnected but still valid."""
    cell = start_cell(3, seed)
    name = cell.owner_of('claims:0')
    others = [other for other in cell.cores_by_host if other != name]
    for other in others:
        cell.cut_links.add(frozenset((name, other)))
    for other in others:
        cell.start(other)
    cell.run(4_000)
    assert cell.owner_of('claims:0') in others


def test_removed_host_that_is_not_silent():
    """Guards against supporters that elect another owner while a removed
    host still relies on what they reported under the previous epoch."""
    cell = start_cell()
    name = cell.owner_of('claims:0')
    others = [other for other in cell.cores_by_host if other != name]
    cell.cut_links.add(frozenset((name, others[0])))
    cell.listed.pop(name)
    cell.list_hosts()
    epoch = cell.record(name).epoch
    cell.run_until(lambda: cell.record(others[0]).epoch > epoch, 20_000)
    cell.cut_links.update(frozenset((name, other)) for other in others)
    cell.run(4_000)
    assert cell.all_owned()


def test_record_changes_race():
    """Guards against changes that overwrite each other, and against a
    second change before a majority has long reported the first."""
    cell = start_cell(3)
    cell.kv_lossy = True
    writes_ms, epochs = [], [cell.record('h0').epoch]
    for name in ('h3', 'h4', 'h5'):
        cell.start(name)
    while len(cell.stored_record().members) < 6:
        cell.run(cellfake.STEP_MS)
        if cell.stored_record().epoch != epochs[-1]:
            epochs.append(cell.stored_record().epoch)
            writes_ms.append(cell.clock.now_ms())
        assert cell.clock.now_ms() < 1_060_000
    assert epochs == list(range(1, 5))
    assert all(b - a >= 1_490 for a, b in zip(writes_ms, writes_ms[1:]))
    cell.run(1_500)
    assert {cell.record(name).epoch for name in cell.cores_by_host} == {4}


@pytest.mark.parametrize('survivors', [2, 0])
def test_cell_recovers_when_most_members_are_gone(survivors):
    """Guards against a record whose majority can never report again."""
    cell = start_cell(5)
    for index in range(survivors, 5):
        cell.kill(f'h{index}')
        cell.listed.pop(f'h{index}')
    for index in range(5, 8):
        cell.start(f'h{index}')
    cell.run_until(cell.all_owned, 40_000)
    cell.run(20_000)
    expected = [f'h{index}' for index in (*range(survivors), 5, 6, 7)]
    assert sorted(cell.stored_record().members) == expected


def test_silent_but_listed_majority_is_not_removed():
    """Guards against a minority that removes a disconnected majority."""
    cell = start_cell(5)
    others = ('h0', 'h1', 'h2')
    for name in others:
        cell.cut_links.update(frozenset((name, end)) for end in ('h3', 'h4'))
    cell.run(30_000)
    assert len(cell.stored_record().members) == 5
    assert not cell.cores_by_host['h3'].state.owned_partitions


def test_targets_of_another_cell_are_ignored():
    """Guards against two cells that grant work on one target."""
    cell = start_cell(1)
    own_target = records.TargetInfo('t1', 'asistente', 'z', '127.0.0.1:1')
    foreign_target = own_target._replace(name='t2', cell='cell-2')
    hosts = tuple(cell.listed.values())
    cell.deliver('h0', events.HostListRead(hosts, (own_target, foreign_target)))
    assert list(cell.cores_by_host['h0'].state.targets_by_name) == ['t1']


def test_kv_is_not_busy_while_it_is_down():
    """Guards against retries without a delay during an outage."""
    cell = cellfake.CellFake(1)
    cell.kv_status = 'unavailable'
    cell.run(60_000)
    assert cell.kv_calls < 20
    cell.kv_status = 'ok'
    cell.run_until(cell.all_owned, 20_000)


def test_restarted_host_learns_record_from_peers():
    """Guards against a restart during an outage that leaves the host
    without the record, or with an old one from a single stale peer."""
    cell = start_cell(3)
    cell.kv_status = 'unavailable'
    cell.start('h1')
    cell.run(3_000)
    assert (
        cell.cores_by_host['h1'].state.reported_epoch == cell.record('h0').epoch
    )
    cell.start('h3')
    cell.run(3_000)
    assert cell.record('h3') == cell.record('h0')
    assert 'h3' not in dict(map(reversed, cell.owners()))


def test_blame_copies_follow_their_owner():
    """Guards against blame that is kept after its withdrawal, or that is
    lost when the owner that recorded it restarts."""
    cell = start_cell(3)
    copies = cell.cores_by_host['h1'].state.blame_by_fingerprint
    cell.cores_by_host['h0'].state.own_blame_by_fingerprint.update(
        {7: 1.0, 8: 0.5}
    )
    cell.run(500)
    assert copies == {7: 1.0, 8: 0.5}
    del cell.cores_by_host['h0'].state.own_blame_by_fingerprint[7]
    cell.run(500)
    assert copies == {8: 0.5}
    cell.start('h0')
    cell.run(1_000)
    assert copies == {8: 0.5}
