"""
Host rooms
~~~~~~~~~~

Decides how often the directory names each host, for fleets of unlike hosts, and
for callers that load some hosts or one availability zone more than the rest.

Callers pick one address of an answer at random, so an answer is a sample in
which a host appears with a probability in proportion to its room: its capacity
less its load.
"""

import itertools
import math
import random
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bergamotstream.forwarding import hostsettings

# Most addresses of one answer that callers use.
MAX_ADDRESSES: Final = 64
# Fewer addresses would leave a caller without a choice when hosts fail.
MIN_ADDRESSES: Final = 4
# Bandwidth that a core can use. The smallest hosts of the operators have half a
# core and 10 Mbit/s.
MBPS_PER_CORE: Final = 20
# Open requests of a core at which a host counts as full. Most of them wait for
# a target.
FULL_REQUESTS_PER_CORE: Final = 200
# Event loop delay at which a host counts as full: each event of a response
# waits that long, in a host that forwards some dozens of events a second.
FULL_DELAY_MS: Final = 50
# Part of the difference to the smoothed load that each measurement applies.
SMOOTHING: Final = 0.3
# Load is told in steps, and changes only when it is clearly in another step, so
# that weights do not alternate with each message. A band of half a step gives
# five times as many changes.
LOAD_STEPS: Final = 10
DEAD_BAND: Final = 0.08
# Least weight of a host in relation to the greatest. A ready host must get a
# new connection within the operators' contact bound. A full one of six hosts
# gets none of seven callers' 210 in 3 s in 7% of cases with 0.15, in 0.6% with
# 0.25.
MIN_WEIGHT_SHARE: Final = 0.25
# Weight of other zones while the caller's zone has room for its callers, and
# the free share of the zone from which on they gain weight. They have all of it
# at half load, long before cached answers could fill the zone.
FAR_SHARE: Final = 0.25
AMPLE_FREE_SHARE: Final = 0.8
SCARCE_FREE_SHARE: Final = 0.5


class Room(NamedTuple):
    """What a host can do and how much of it is in use."""

    # In cores; 0 if unknown, as of older builds.
    capacity: float = 0
    # From 0, idle, to 1, full.
    load: float = 0

    @property
    def free(self) -> float:
        """Return the spare capacity, in cores."""
        return self.capacity * (1 - self.load)


UNKNOWN: Final = Room()


class ZonedRoom(NamedTuple):
    """The room of a host and where the host is."""

    zone: str
    room: Room


class Asked(NamedTuple):
    """What a weighted answer depends on besides the peers."""

    # Empty if the caller names none.
    zone: str
    own_room: Room


def capacity_of(config: hostsettings.HostSettings) -> float:
    """Return the capacity of a host in cores, by its scarcer resource."""
    return min(
        config.cpu_share * config.cores, config.link_mbps / MBPS_PER_CORE
    )


class OwnLoad:
    """Load of this host, smoothed and in steps."""

    def __init__(self, config: hostsettings.HostSettings) -> None:
        """Begin without load."""
        self.room = Room(capacity_of(config))
        self._smoothed: float = 0

    def update(self, open_requests: int, delay_ms: int) -> Room:
        """Return the room after a measurement.

        ``delay_ms`` is how much later than due the event loop ran a timer.
        """
        full_requests = FULL_REQUESTS_PER_CORE * self.room.capacity
        measured = min(
            max(open_requests / full_requests, delay_ms / FULL_DELAY_MS), 1
        )
        self._smoothed += (measured - self._smoothed) * SMOOTHING
        if abs(self._smoothed - self.room.load) >= DEAD_BAND:
            steps = round(self._smoothed * LOAD_STEPS)
            self.room = self.room._replace(load=steps / LOAD_STEPS)
        return self.room


def weights(
    hosts_by_address: Mapping[str, ZonedRoom], caller_zone: str
) -> dict[str, float]:
    """Return the positive weight of each host by its address."""
    known_by_address = _with_averages(hosts_by_address)
    shares_by_zone = {caller_zone: 1.0}
    far_share = _far_share(
        host.room
        for host in known_by_address.values()
        if host.zone == caller_zone
    )
    by_address = {
        address: host.room.free * shares_by_zone.get(host.zone, far_share)
        for address, host in known_by_address.items()
    }
    highest = max(by_address.values(), default=0)
    if highest <= 0:
        # All hosts are full, so none is better than another.
        return dict.fromkeys(by_address, 1.0)
    lowest = highest * MIN_WEIGHT_SHARE
    return {
        address: max(weight, lowest) for address, weight in by_address.items()
    }


def _with_averages(
    hosts_by_address: Mapping[str, ZonedRoom],
) -> dict[str, ZonedRoom]:
    """Return the hosts, those of unknown room with the average one."""
    known = [
        host.room
        for host in hosts_by_address.values()
        if host.room.capacity > 0
    ]
    average = Room(1)
    if known:
        capacity = sum(room.capacity for room in known)
        free = sum(room.free for room in known)
        average = Room(capacity / len(known), 1 - free / capacity)
    return {
        address: host if host.room.capacity > 0 else host._replace(room=average)
        for address, host in hosts_by_address.items()
    }


def _far_share(near: Iterable[Room]) -> float:
    """Return the weight of hosts outside the zone with the rooms ``near``."""
    rooms = list(near)
    if not rooms:
        return 1
    free_share = sum(room.free for room in rooms) / sum(
        room.capacity for room in rooms
    )
    ampleness = (free_share - SCARCE_FREE_SHARE) / (
        AMPLE_FREE_SHARE - SCARCE_FREE_SHARE
    )
    return 1 - (1 - FAR_SHARE) * min(max(ampleness, 0), 1)


def draw(
    weights_by_address: Mapping[str, float], rng: random.Random
) -> list[str]:
    """Return a sample of addresses without repetition, in random order.

    An address appears with a probability in proportion to its weight, and the
    greatest weight surely, as far as the limits of an answer allow. Equal
    weights give all addresses, or an even sample of the most that fit.
    """
    # Sorted, as the order of a mapping must not affect the sample.
    addresses = sorted(weights_by_address)
    rng.shuffle(addresses)
    chances_by_address = _chances(weights_by_address)
    # Systematic sampling: the chances are laid end to end, and marks at
    # distance one from a random start select addresses. It keeps each chance
    # exactly, which successive weighted draws do not.
    ends = itertools.accumulate(
        (chances_by_address[address] for address in addresses),
        initial=rng.random(),
    )
    drawn = [
        address
        for address, (start, end) in zip(
            addresses, itertools.pairwise(ends), strict=True
        )
        if math.floor(end) > math.floor(start)
    ]
    return drawn[:MAX_ADDRESSES]


def _chances(weights_by_address: Mapping[str, float]) -> dict[str, float]:
    """Return the probability with which each address is in an answer."""
    highest = max(weights_by_address.values(), default=1)
    shares = {
        address: weight / highest
        for address, weight in weights_by_address.items()
    }
    chances: dict[str, float] = {}
    left = sum(shares.values())
    fewest = min(MIN_ADDRESSES, len(shares))
    for address in sorted(shares, key=shares.__getitem__, reverse=True):
        # Scale of the chances that are below one, so that the answer has
        # neither too few addresses nor too many.
        scale = max((fewest - len(chances)) / left, 1)
        scale = min((MAX_ADDRESSES - len(chances)) / left, scale)
        if scale * shares[address] < 1:
            return {
                name: chances.get(name, scale * share)
                for name, share in shares.items()
            }
        chances[address] = 1
        left -= shares[address]
    return chances
