"""
Directory
~~~~~~~~~

Lists the hosts that callers should use: evenly, or where the settings say so by
the room that they have.
"""

import random
from collections.abc import Collection, Iterable
from typing import Final

from bergamotstream.forwarding import (
    fleetrecords,
    hostrooms,
    peerformat,
)

# Callers ask again after this time, some of them after three times as long. A
# stopping host accepts all requests for 2.7 s, so that few arrive later.
ADDRESS_TTL_MS: Final = 1_000
# Share of the hosts that must have their links for the others to be left out:
# fewer could not take the connections of all callers.
MIN_LINKED_SHARE: Final = 0.5
# Hosts of other cells are listed as well while the own cell has fewer.
MIN_CELL_HOSTS: Final = 4
MAX_ADDRESSES: Final = hostrooms.MAX_ADDRESSES


def list_addresses(
    own: fleetrecords.HostEntry,
    own_ready: bool,
    own_lost: bool,
    registered: Collection[fleetrecords.HostEntry],
    peers: Iterable[peerformat.HostState],
    rng: random.Random,
    asked: hostrooms.Asked | None = None,
) -> list[str]:
    """Return the addresses of the hosts that serve callers.

    Peers are listed while their messages arrive. A host that receives none may
    be partitioned from peers that callers can reach, so it lists the hosts
    that are registered in the store. Hosts that have lost their links to
    targets are left out while most hosts have theirs. Those that are left are
    weighed for what is ``asked``, or are all alike without it.
    """
    live_peers = list(peers)
    is_linked_by_address = {
        state.entry.caller_address: not state.link_report.lost_services
        for state in live_peers
        if state.ready
    }
    if not live_peers:
        is_linked_by_address = {
            entry.caller_address: True
            for entry in registered
            if entry.name != own.name
        }
    if own_ready or not is_linked_by_address:
        is_linked_by_address[own.caller_address] = not own_lost
    available = [
        address
        for address, is_linked in is_linked_by_address.items()
        if is_linked
    ]
    if len(available) < len(is_linked_by_address) * MIN_LINKED_SHARE:
        available = list(is_linked_by_address)
    # In a larger system each answer is another sample, so that all hosts get
    # requests.
    listed = sorted(set(available))
    if asked is None:
        return rng.sample(listed, min(len(listed), MAX_ADDRESSES))
    rooms_by_address = {
        state.entry.caller_address: state.host_room for state in live_peers
    }
    rooms_by_address[own.caller_address] = asked.own_room
    heard = (state.entry for state in live_peers)
    zones_by_address = {
        entry.caller_address: entry.zone for entry in (*registered, *heard, own)
    }
    weights = hostrooms.weights(
        {
            address: hostrooms.ZonedRoom(
                zones_by_address[address],
                rooms_by_address.get(address, hostrooms.UNKNOWN),
            )
            for address in listed
        },
        asked.zone,
    )
    return hostrooms.draw(weights, rng)
