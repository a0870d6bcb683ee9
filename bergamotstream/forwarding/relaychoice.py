"""
Relay choice
~~~~~~~~~~~~

Chooses the peer that serves a request which this host cannot serve over its own
links, or for which its cell has no room.
"""

import random
from collections.abc import Collection, Iterable
from typing import Final

from bergamotstream.forwarding import peerformat

# Peers among which the less loaded one is taken, so that not all hosts choose
# the same one by the same old news.
COMPARED_PEERS: Final = 2
# Open work that a peer of another availability zone must have less, as bytes
# between zones have a price.
OTHER_ZONE_LOAD: Final = 4
# A cell has room for a request if the prefill that is pending on its targets
# takes this share of the request's goal at most, or this time.
ROOM_GOALS: Final = 0.25
ROOM_MS: Final = 60.0


def choose(
    peers: Iterable[peerformat.HostState],
    service: str,
    zone: str,
    excluded: Collection[str],
    rng: random.Random,
) -> peerformat.HostState | None:
    """Return a peer that reaches the targets of a service, if any."""
    able = [
        peer
        for peer in peers
        if _is_able(peer, service, excluded)
        and (not peer.is_summary or peer.room_of(service) is not None)
    ]
    compared = rng.sample(able, min(len(able), COMPARED_PEERS))
    return min(compared, key=lambda peer: _load(peer, zone), default=None)


def choose_with_room(
    contacts: Iterable[peerformat.HostState],
    service: str,
    goal_ms: int,
    excluded: Collection[str],
    rng: random.Random,
) -> peerformat.HostState | None:
    """Return a host of another cell that can serve a request in time."""
    roomy = [
        (room.pending_ms, rng.random(), contact)
        for contact in contacts
        if _is_able(contact, service, excluded)
        and (room := contact.room_of(service)) is not None
        and _has_room(room, goal_ms)
    ]
    compared = rng.sample(roomy, min(len(roomy), COMPARED_PEERS))
    return min(compared)[-1] if compared else None


def _is_able(
    peer: peerformat.HostState, service: str, excluded: Collection[str]
) -> bool:
    """Tell whether a peer takes requests to a service."""
    return (
        peer.ready
        and peer.accepts_requests
        and service not in peer.link_report.lost_services
        and peer.entry.name not in excluded
    )


def _has_room(room: peerformat.ServiceRoom, goal_ms: int) -> bool:
    """Tell whether a slot of each target is free and little is pending."""
    limit_ms = max(goal_ms * ROOM_GOALS, ROOM_MS)
    return room.free_slots >= room.targets and room.pending_ms <= limit_ms


def _load(peer: peerformat.HostState, zone: str) -> int:
    other_zone = peer.entry.zone != zone
    return len(peer.own_commitments) + OTHER_ZONE_LOAD * other_zone
