"""Tests of membership and ownership over several cores in one process."""

import cellfake
import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import (
    actions,
    components,
    events,
    messages,
    peertable,
    records,
)

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


def started(count=HOSTS, seed=1):
    cell = cellfake.CellFake(count, seed)
    cell.run_until(cell.all_owned, 6_000)
    cell.run(1_000)
    return cell


def apply(cell, fault, one, other):
    if fault == 'restart' or one not in cell.cores:
        cell.start(one)
    elif fault == 'freeze':
        cell.frozen.add(one)
    elif fault == 'thaw':
        cell.thaw(one)
    elif fault == 'cut':
        cell.cuts.add(frozenset((one, other)))
    elif fault == 'heal':
        cell.cuts.clear()
        cell.loss = 0.0
    elif fault == 'lose':
        cell.loss = 0.4
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
        bundle = records.Bundle(1, {}, {}, frozenset([zone]))
        for name in cell.active():
            cell.cores[name].state.bundle = bundle
    elif fault == 'stop':
        cell.give(one, events.StopRequested())


@hypothesis.settings(
    max_examples=40,
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
        apply(cell, fault, one, other)
        cell.run(length * cellfake.STEP_MS * 2)
    cell.cuts.clear()
    cell.loss, cell.kv_status, cell.kv_lossy = 0.0, 'ok', False
    for name in list(cell.cores):
        if name in cell.dead:
            cell.start(name)
        cell.thaw(name)
    cell.run_until(cell.all_owned, 30_000)


def test_supports_are_sent_only_until_confirmed():
    """Guards against heartbeats that repeat all supports to every peer.

    They made an idle host send 50 KB/s, five times its budget.
    """
    cell = started()
    core = cell.cores['h0']
    sent = core.handle(events.Tick(), clock_of(cell, 'h0') + 250)
    heartbeats = [action.message for action in sent]
    assert len(heartbeats) == HOSTS - 1
    assert all(beat.supports_omitted for beat in heartbeats)
    assert not any(beat.supports for beat in heartbeats)


@pytest.mark.parametrize('loss', [0, 0.4])
def test_restarted_host_learns_omitted_supports(loss):
    """Guards against a restarted host that never learns the owners."""
    cell = started()
    cell.loss = loss
    cell.start('h1')
    owned = cell.owners()
    cell.run(TAKEOVER_LIMIT_MS)
    known = cell.cores['h1'].state.owners_by_partition
    assert {name for name, _ in owned} <= known.keys()


def test_omitted_supports_of_unknown_number_count_as_none():
    """Guards against a right that rests on supports of an earlier start."""
    table = peertable.PeerTable('h0', 'i0')
    table.advance_to(1_000, 500)
    beat = messages.Heartbeat(
        cell='cell-1',
        incarnation='first',
        epoch=1,
        sent_ms=1,
        echoes=(),
        supports=(messages.Support('claims:0', 'h0'),),
        released=(),
        leaving=False,
        config_version=1,
        loads=(),
        blames=(),
        votes_number=2,
    )
    table.accept('h1', beat)
    later = beat._replace(sent_ms=2, supports=(), supports_omitted=True)
    table.accept('h1', later)
    assert table.views_by_host['h1'].supports == {'claims:0': 'h0'}
    for unknown in (
        later._replace(sent_ms=3, votes_number=3),
        later._replace(sent_ms=4, incarnation='second'),
    ):
        table.accept('h1', unknown)
        assert not table.views_by_host['h1'].supports
        assert table.echoes()[0].votes_number == 0


def clock_of(cell, name):
    """Return the present time of a host's own clock."""
    offset, drift = cell.times[name]
    return offset + int(cell.clock.now_ms() * drift)
