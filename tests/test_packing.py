"""Requests that many hosts place at the same moment, in virtual time."""

import collections
import random

import pytest

from bergamotstream.forwarding import (
    commitments,
    hostsettings,
    packing,
    placement,
)
from tests import platformkit as kit

HOSTS = 20
TARGETS = 17
# Half of the slots are needed, as after the return of all hosts.
REQUESTS = 68
BURST_MS = 300
STEADY_MS = 3_000
SEEDS = range(5)
SPREADING = hostsettings.Features(burst_spreading=True)
NEWS_MS = 60


def make_host(number, spread):
    features = hostsettings.Features(burst_spreading=spread)
    core = kit.make_scheduler(TARGETS, seed=number, name=f'host-{number}')
    core._config = core._config._replace(features=features)
    return core


def play(spread, seed, duration_ms):
    """Return the requests of each target, ``REQUESTS`` arriving at random."""
    draw = random.Random(seed)
    hosts = [make_host(number, spread) for number in range(HOSTS)]
    count_by_target = collections.Counter()
    arrivals = sorted(draw.randrange(duration_ms) for _ in range(REQUESTS))
    news = []
    for now_ms in arrivals:
        core = draw.choice(hosts)
        while news and news[0][0] <= now_ms:
            _, sender, state = news.pop(0)
            for host in hosts:
                if host is not sender:
                    host.table.update_peer(str(id(sender)), state)
        placed = core.place(kit.make_job(core, now_ms), (), now_ms)
        count_by_target[placed.target.target_id] += 1
        own = tuple(core.table.own())
        state = commitments.PeerState(1, len(own), now_ms, own)
        news.append((now_ms + NEWS_MS, core, state))
    return count_by_target


def test_burst_fills_targets_no_further_than_a_steady_load():
    """Guards against hosts that all choose the target which others fill."""
    steady = [max(play(False, seed, STEADY_MS).values()) for seed in SEEDS]
    burst = [max(play(True, seed, BURST_MS).values()) for seed in SEEDS]
    assert max(burst) <= max(steady)


def test_steady_load_is_packed_as_before():
    """Guards against long prompts that find no target without streams."""
    spread = [len(play(True, seed, STEADY_MS)) for seed in SEEDS]
    packed = [len(play(False, seed, STEADY_MS)) for seed in SEEDS]
    assert spread == packed


def test_few_placements_are_fully_packed():
    """Guards against a share above one, or a division by nothing."""
    entry = kit.make_scheduler(1).view.targets_by_id['t0']
    for recent, share in ((0, 1), (packing.PACKED_PLACEMENTS, 1), (80, 0.01)):
        load = commitments.IDLE._replace(recent_requests=recent)
        candidate = placement.Candidate(entry, load, 1, 0, True, True, 0.5)
        assert packing.share([candidate], SPREADING) == pytest.approx(share)
        assert packing.share([candidate], hostsettings.Features()) == 1
