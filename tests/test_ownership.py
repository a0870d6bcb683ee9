"""Tests of membership and ownership over several cores in one process."""

import cellfake
import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import actions, components, events, records

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
