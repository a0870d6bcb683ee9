"""At-most-once claims under owner changes, lost answers and pauses."""

import collections
import itertools
import unittest.mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotstream import claimformat, claimindex, claims, events, messages
from tests import kvcluster

PARTITION = 'claims:0'
CELL = 'c1'
HOSTS = ('h1', 'h2')


class Claimant:
    """Sends claims as the host 'caller' and finds the replies."""

    def __init__(self, hosts=HOSTS, seed=1):
        self.cluster = kvcluster.Cluster(hosts, [claims.Claims], seed)
        self.numbers = itertools.count()
        for host in hosts:
            self.cluster.state(host).live_peers = {'caller', *hosts}

    def acquire(self, host):
        self.cluster.handle(host, events.PartitionAcquired(PARTITION))

    def lose(self, host):
        self.cluster.handle(host, events.PartitionLost(PARTITION))

    def send(self, host, message):
        received = events.MessageReceived('caller', message)
        self.cluster.call_later(3, self.cluster.handle, host, received)

    def claim(self, host, key='k', digest=7, age_ms=0, claim_id=None):
        claim_id = claim_id or f'c{next(self.numbers)}'
        self.send(
            host,
            messages.ClaimRequest(
                PARTITION, claim_id, 'ana', key, age_ms, digest
            ),
        )
        return claim_id

    def report(self, host, claim_id, state, answer=b'', key='k'):
        self.send(
            host,
            messages.OutcomeReport(
                PARTITION, claim_id, 'ana', key, state, answer
            ),
        )

    def replies(self, claim_id):
        return [
            action.message
            for _, action in self.cluster.sent
            if isinstance(action.message, messages.ClaimReply)
            and action.message.claim_id == claim_id
        ]

    def outcome(self, host, wait_ms=200, **fields):
        claim_id = self.claim(host, **fields)
        self.cluster.run(wait_ms)
        return self.replies(claim_id)[-1].outcome


@pytest.fixture
def claimant():
    """One owner that serves."""
    started = Claimant()
    started.acquire('h1')
    started.cluster.run(100)
    return started


def test_repeated_requests_get_the_recorded_state(claimant):
    """Guards against a second run of the same key."""
    first = claimant.claim('h1')
    claimant.claim('h1', claim_id=first)
    claimant.cluster.run(200)
    assert {reply.outcome for reply in claimant.replies(first)} == {'claimed'}
    assert claimant.outcome('h1') == 'in_progress'
    assert claimant.outcome('h1', digest=8) == 'conflict'
    claimant.report('h1', first, 'ran', b'done')
    claimant.cluster.run(200)
    again = claimant.claim('h1')
    claimant.cluster.run(200)
    assert claimant.replies(again)[0].recorded == b'done'
    assert any(
        isinstance(action.message, messages.OutcomeAck)
        for _, action in claimant.cluster.sent
    )


def test_key_without_a_kept_entry_is_expired(claimant):
    """Guards against a key whose entry may have been dropped."""
    assert claimant.outcome('h1', age_ms=480_001) == 'expired'
    assert claimant.outcome('h1', age_ms=-30_001) == 'expired'


def test_abandoned_key_may_be_claimed_again(claimant):
    """Guards against a key that stays claimed although nothing ran."""
    first = claimant.claim('h1')
    claimant.report('h1', first, 'abandoned')
    claimant.cluster.run(200)
    assert claimant.outcome('h1') == 'claimed'
    claimant.report('h1', 'late', 'abandoned', key='other')
    claimant.cluster.run(10)
    late = claimant.outcome('h1', key='other', claim_id='late')
    assert late == 'unavailable'


def test_large_answer_is_not_recorded(claimant):
    """Guards against a truncated or empty answer returned as recorded."""
    first = claimant.claim('h1')
    claimant.cluster.run(100)
    claimant.report('h1', first, 'ran', bytes(4_097))
    claimant.cluster.run(200)
    assert claimant.outcome('h1') == 'may_have_run'


def test_new_owner_reads_back_and_deposed_owner_stops(claimant):
    """Guards against two owners that both confirm a key."""
    first = claimant.claim('h1')
    claimant.cluster.run(100)
    claimant.acquire('h2')
    claimant.cluster.run(100)
    assert claimant.outcome('h2') == 'in_progress'
    # h1 does not know yet that it was deposed.
    assert claimant.outcome('h1', key='other') == 'unavailable'
    assert claimant.outcome('h2', key='other') == 'claimed'
    claimant.cluster.state('h2').live_peers = set()
    assert claimant.outcome('h2') == 'may_have_run'
    assert claimant.replies(first)[0].outcome == 'claimed'


def test_lost_answer_is_claimed_once(claimant):
    """Guards against a lost answer that blocks or repeats a claim."""
    claimant.cluster.kv.lose_answers = True
    first = claimant.claim('h1')
    claimant.cluster.run(100)
    refused = claimant.outcome('h1', key='other')
    assert refused == 'unavailable'
    claimant.cluster.kv.lose_answers = False
    claimant.cluster.run(500)
    assert [reply.outcome for reply in claimant.replies(first)] == ['claimed']


def test_deposed_owner_with_a_lost_answer_reports_may_have_run(claimant):
    """Guards against a false 'not run' (design 2.1, item 6)."""
    claimant.cluster.kv.lose_answers = True
    first = claimant.claim('h1')
    claimant.cluster.run(100)
    claimant.lose('h1')
    claimant.cluster.run(500)
    outcomes = [reply.outcome for reply in claimant.replies(first)]
    assert outcomes == ['may_have_run']


def test_outage_is_answered_at_once_and_ends(claimant):
    """Guards against requests that wait for a service that is down."""
    claimant.cluster.kv.down = True
    assert claimant.outcome('h1', wait_ms=50) == 'unavailable'
    writes = claimant.cluster.kv.store.counts['writes']
    held = claimant.claim('h1')
    claimant.cluster.run(10)
    assert claimant.replies(held)[0].retry_after_ms > 0
    assert claimant.cluster.kv.store.counts['writes'] == writes
    claimant.cluster.kv.down = False
    claimant.cluster.run(1_000)
    assert claimant.outcome('h1') == 'claimed'


def test_owner_that_was_paused_for_long_reads_back_first(claimant):
    """Guards against a create of a sequence whose seal was deleted."""
    claimant.acquire('h2')
    claimant.cluster.run(100)
    assert claimant.outcome('h2') == 'claimed'
    prefix = claimformat.segment_prefix(CELL, PARTITION)
    store = claimant.cluster.kv.store
    seals = store.between(f'{prefix}0', f'{prefix}{2:016}' + '\0')
    store.delete([item.key for item in seals])
    claimant.cluster.now_ms += 301_000
    assert claimant.outcome('h1', wait_ms=2_000) != 'claimed'


def test_log_is_bounded_and_keeps_its_entries(claimant):
    """Guards against unbounded keys, and folds that lose an entry."""
    cluster = claimant.cluster
    for number in range(400):
        claimant.claim('h1', key=f'k{number}')
        cluster.run(50)
    cluster.run(claimindex.DELETE_AFTER_MS + 2_000)
    prefix = claimformat.segment_prefix(CELL, PARTITION)
    items = cluster.kv.store.between(prefix, f'{prefix}~')
    assert len(items) <= claimindex.FOLD_SEGMENTS + 3
    assert max(len(item.value) for item in items) <= 65_536
    claimant.acquire('h2')
    cluster.run(100)
    again = [claimant.claim('h2', key=f'k{number}') for number in range(400)]
    cluster.run(200)
    assert {claimant.replies(each)[0].outcome for each in again} == {
        'in_progress'
    }
    cluster.run(700_000, tick_ms=1_000)
    assert len(cluster.kv.store.between(prefix, f'{prefix}~')) <= 3
    assert claimant.outcome('h2', key='k3') == 'claimed'


@pytest.mark.parametrize('late_ms', [4_000, 20_000])
def test_late_seal_does_not_hide_claims(claimant, monkeypatch, late_ms):
    """Guards against a seal on a sequence that was written and folded."""
    monkeypatch.setattr(claimindex, 'FOLD_SEGMENTS', 3)
    cluster = claimant.cluster
    claimant.acquire('h2')
    cluster.run(4)
    cluster.kv_delay_ms = lambda: late_ms
    cluster.run(1)
    cluster.kv_delay_ms = lambda: 2
    for number in range(150):
        claimant.claim('h1', key=f'k{number}')
        cluster.run(100)
    cluster.run(10_000)
    assert claimant.outcome('h2', key='k0') == 'in_progress'


def test_folds_end_with_large_answers(claimant, monkeypatch):
    """Guards against folds without progress, which would never end."""
    monkeypatch.setattr(claimindex, 'FOLD_SEGMENTS', 8)
    cluster = claimant.cluster
    claim_by_key = {}
    for batch in range(20):
        for number in range(40):
            key = f'k{batch}.{number}'
            claim_by_key[key] = claimant.claim('h1', key=key)
        cluster.run(60)
    for key, claim_id in claim_by_key.items():
        claimant.report('h1', claim_id, 'ran', bytes(4_096), key=key)
    cluster.run(20_000)
    for number in range(20):
        claimant.claim('h1', key=f'later{number}')
        cluster.run(60)
    cluster.run(20_000)
    assert cluster.kv.store.counts['writes'] < len(claim_by_key)
    claimant.acquire('h2')
    cluster.run(1_000)
    assert claimant.outcome('h2', key='k3.5') == 'recorded'


def test_corrupt_segment_stops_the_partition(claimant):
    """Guards against an owner that serves without all entries."""
    key = claimformat.segment_key(CELL, PARTITION, 1)
    claimant.cluster.kv.store.put(key, b'{"entries": 3}')
    claimant.acquire('h2')
    claimant.cluster.run(500)
    assert claimant.outcome('h2') == 'unavailable'


FAULTS = ('none', 'none', 'down', 'lose', 'move', 'both', 'lost', 'pause')
EPOCH_MS = 200_000


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 100_000),
    faults=st.lists(st.sampled_from(FAULTS), min_size=10, max_size=40),
)
def test_no_key_is_claimed_twice(seed, faults):
    """Guards against two runs of one key (design 2.1, item 7)."""
    with unittest.mock.patch.object(claimindex, 'FOLD_SEGMENTS', 3):
        check_random_faults(seed, faults)


def check_random_faults(seed, faults):
    claimant = Claimant(seed=seed)
    cluster = claimant.cluster
    rng = cluster.rng
    cluster.kv_delay_ms = lambda: rng.choice((1, 3, 30, 300, 1_500))
    claimant.acquire('h1')
    key_by_claim = {}
    for fault in faults:
        cluster.kv.down = fault == 'down'
        cluster.kv.lose_answers = fault == 'lose'
        first, second = rng.sample(HOSTS, 2)
        if fault in {'move', 'both'}:
            claimant.acquire(first)
        if fault in {'move', 'lost'}:
            claimant.lose(second)
        if fault == 'pause':
            cluster.now_ms += rng.choice((2_000, 301_000))
        for _ in range(4):
            # Keys are up to 600 s old, so some exceed the age limit.
            epoch = cluster.now_ms // EPOCH_MS - rng.choice((0, 0, 1, 2))
            age_ms = cluster.now_ms - epoch * EPOCH_MS
            key = f'{rng.choice("abcdef")}{epoch}'
            host = rng.choice(HOSTS)
            claim_id = claimant.claim(host, key=key, age_ms=age_ms)
            key_by_claim[claim_id] = key
        cluster.run(rng.choice((20, 100, 1_000)))
    cluster.run(5_000)
    claims_by_key = collections.defaultdict(set)
    refused = set()
    for claim_id, key in key_by_claim.items():
        outcomes = {each.outcome for each in claimant.replies(claim_id)}
        if 'claimed' in outcomes:
            claims_by_key[key].add(claim_id)
        if 'unavailable' in outcomes:
            refused.add(claim_id)
    assert all(len(claimed) == 1 for claimed in claims_by_key.values())
    prefix = claimformat.segment_prefix(CELL, PARTITION)
    written = {
        entry.claim_id
        for item in cluster.kv.store.between(prefix, f'{prefix}~')
        for entry in claimformat.decode_segment(item.value, 0).entries
    }
    assert not refused & written
