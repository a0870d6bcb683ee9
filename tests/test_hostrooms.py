"""How often the directory names each host, without a network."""

import collections
import random

import pytest

from bergamotstream.forwarding import (
    directory,
    fleetrecords,
    hostrooms,
    hostsettings,
    peerformat,
)
from bergamotstream.platform import bootsettings
from tests import oddkit

ANSWERS = 4_000


def make_state(name, room=hostrooms.UNKNOWN, zone='z'):
    entry = fleetrecords.HostEntry(name, zone, f'{name}:1', '1.1.1.1:2', 1)
    return peerformat.HostState(entry, 1, True, 0, (), (), 0, host_room=room)


def shares(states, zone='', answers=ANSWERS):
    """Return the expected share of connections of each host."""
    own, *peers = states
    asked = hostrooms.Asked(zone, own.host_room)
    rng = random.Random(3)
    found = collections.Counter()
    for _ in range(answers):
        answer = directory.list_addresses(
            own.entry, True, False, [], peers, rng, asked
        )
        assert min(len(states), 4) <= len(answer) == len(set(answer)) <= 64
        for address in answer:
            found[address.removesuffix(':1')] += 1 / len(answer) / answers
    return found


@pytest.mark.parametrize('count', [1, 3, 6, 64, 83])
def test_equal_hosts_are_drawn_evenly(count):
    """Guards against a preference without a difference in room."""
    room = hostrooms.Room(1.3, 0.4)
    states = [make_state(f'h{number}', room) for number in range(count)]
    found = shares(states)
    assert len(found) == count
    assert max(found.values()) < min(found.values()) * 1.25
    asked = hostrooms.Asked('', room)
    answer = directory.list_addresses(
        states[0].entry, True, False, [], states[1:], random.Random(1), asked
    )
    assert len(answer) == min(count, hostrooms.MAX_ADDRESSES)


def test_shares_follow_spare_capacity():
    """Guards against small or loaded hosts that get as much as the others."""
    rooms = [hostrooms.Room(2), hostrooms.Room(1), hostrooms.Room(2, 0.5)]
    found = shares([make_state(f'h{n}', rooms[n % 3]) for n in range(12)])
    expected = [1 / 8, 1 / 16, 1 / 16]
    for number in range(12):
        share = found[f'h{number}']
        assert share == pytest.approx(expected[number % 3], rel=0.1)


@pytest.mark.parametrize('count', [2, 6, 83])
def test_full_hosts_stay_listed(count):
    """Guards against a ready host that gets no new connection."""
    states = [make_state(f'h{n}', hostrooms.Room(2)) for n in range(count)]
    states[1] = make_state('h1', hostrooms.Room(0.5, 1))
    found = shares(states)
    assert found['h1'] * count > hostrooms.MIN_WEIGHT_SHARE * 0.8
    if count > hostrooms.MIN_ADDRESSES:
        assert found['h1'] < found['h0'] / 2
    full = [make_state(f'h{n}', hostrooms.Room(2, 1)) for n in range(count)]
    assert len(shares(full)) == count
    assert len(shares([states[0], *full[1:]])) == count


def test_hosts_of_older_builds_count_as_average():
    """Guards against old hosts that get no callers, or those of all others."""
    small, large = hostrooms.Room(1, 0.5), hostrooms.Room(2)
    states = [make_state(f'h{n}', small) for n in range(4)]
    states += [make_state(f'h{n}', large) for n in range(4, 8)]
    states += [make_state(f'h{n}') for n in range(8, 12)]
    found = shares(states)
    assert found['h0'] < found['h8'] < found['h4']
    assert found['h8'] == pytest.approx(1 / 12, rel=0.1)
    assert min(shares([make_state(f'h{n}') for n in range(3)]).values()) > 0.3


def test_own_zone_comes_first_until_it_is_loaded():
    """Guards against a hot zone whose hosts fill while others have room."""
    near_shares = []
    for load in (0, 0.1, 0.3, 0.5, 0.8, 1):
        near = hostrooms.Room(1, load)
        states = [make_state(f'n{n}', near, 'near') for n in range(3)]
        states += [
            make_state(f'f{n}', hostrooms.Room(1), 'far') for n in range(9)
        ]
        found = shares(states, 'near', answers=1_000)
        near_shares.append(sum(found[f'n{n}'] for n in range(3)))
        assert shares(states, 'none', 1_000) == shares(states, '', 1_000)
    assert near_shares == sorted(near_shares, reverse=True)
    assert near_shares[0] > 0.5
    # Spread in proportion to room at half load, a quarter of the hosts.
    assert near_shares[3] < 0.25
    assert 0.02 < near_shares[5] < 0.1


def test_callers_of_a_hot_zone_do_not_alternate():
    """Guards against swings between zones as answers follow the load.

    Callers keep answers for three seconds; a zone of 3 of 12 hosts has all
    callers, whose requests are a third of what all hosts can do.
    """
    names = [f'h{number}' for number in range(12)]
    loads = {
        name: hostrooms.OwnLoad(make_settings(cpu_share=1, link_mbps=20))
        for name in names
    }
    callers = 800
    history = []
    rng = random.Random(7)
    answers = [[name] for name in names[:3]] * callers
    for step in range(300):
        hosts = {
            name: hostrooms.ZonedRoom(str(number // 3), loads[name].room)
            for number, name in enumerate(names)
        }
        weights = hostrooms.weights(hosts, '0')
        for caller in range(step % 15, callers, 15):
            answers[caller] = hostrooms.draw(weights, rng)
        opened = collections.Counter(
            rng.choice(answers[caller]) for caller in range(callers)
        )
        for name in names:
            loads[name].update(opened[name], 0)
        history.append(max(load.room.load for load in loads.values()))
    assert max(history[100:]) <= 0.6
    assert max(history[100:]) - min(history[100:]) <= 0.3


def test_load_has_hysteresis():
    """Guards against weights that change with each measurement."""
    load = hostrooms.OwnLoad(make_settings(cpu_share=1, link_mbps=20))
    told = [load.update(104 + step % 2 * 12, 0).load for step in range(200)]
    assert len(set(told[20:])) == 1
    for open_requests, delay_ms, expected in (
        (5_000, 0, 1),
        (0, 0, 0),
        (0, 10_000, 1),
    ):
        told = [load.update(open_requests, delay_ms).load for _ in range(30)]
        assert told[0] != expected == told[-1]


def make_settings(**limits):
    tables = oddkit.SETTINGS | {'limits': limits}
    return bootsettings.decode(tables).host


@pytest.mark.parametrize(
    ('limits', 'capacity', 'faults'),
    [
        ({}, 0.5, 0),
        ({'cpu_share': 0.72, 'cores': 3, 'link_mbps': 200}, 2.16, 0),
        ({'cpu_share': 0.72, 'cores': 3, 'link_mbps': 10}, 0.5, 0),
        ({'cpu_share': 50, 'cores': 0, 'link_mbps': 'x'}, 0.5, 3),
    ],
)
def test_capacity_is_that_of_the_scarcer_resource(limits, capacity, faults):
    """Guards against callers sent to a host with cores but a slow link."""
    loaded = bootsettings.decode(oddkit.SETTINGS | {'limits': limits}, '')
    assert hostrooms.capacity_of(loaded.host) == pytest.approx(capacity)
    named = [fault for fault in loaded.faults if 'limits.' in fault.field]
    assert len(named) == faults
    assert loaded.host.cpu_share >= hostsettings.DEFAULT_CPU_SHARE


def test_room_travels_to_peers_in_few_bytes():
    """Guards against a lost field, and against messages over their bound."""
    entry = fleetrecords.HostEntry('h', 'z', '1.1.1.1:1', '1.1.1.1:2', 7)
    state = peerformat.HostState(entry, 1, True, 9, (), (), 0)
    told = state._replace(host_room=hostrooms.Room(2.16, 0.3))
    plain, encoded = (peerformat.encode(one, 9) for one in (state, told))
    assert peerformat.decode(encoded, 9).host_room == told.host_room
    assert peerformat.decode(plain, 9).host_room == hostrooms.UNKNOWN
    assert len(encoded) < len(plain) * 1.1
