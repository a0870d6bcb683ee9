"""
Directory
~~~~~~~~~

Tells callers which hosts to use.
"""

import random
from collections.abc import Iterable
from typing import Final

from bergamotstream.forwarding import fleetrecords, peerformat

# Callers ask again after this time, some of them after three times as long. A
# host that stops takes all requests for 2.7 s, so that few come after that.
ADDRESS_TTL_S: Final = 1
# Callers use at most so many addresses of an answer.
MAX_ADDRESSES: Final = 64


def list_addresses(
    own: fleetrecords.HostEntry,
    own_ready: bool,
    registered: Iterable[fleetrecords.HostEntry],
    peers: Iterable[peerformat.HostState],
    rng: random.Random,
) -> list[str]:
    """Return the addresses of the hosts that serve callers.

    A host is named while its messages arrive. A host that hears none of its
    peers may be cut off from them while callers reach them, so it names those
    that the store lists.
    """
    live_peers = list(peers)
    available = [
        state.entry.caller_address for state in live_peers if state.ready
    ]
    if not live_peers:
        available = [
            entry.caller_address
            for entry in registered
            if entry.name != own.name
        ]
    if own_ready or not available:
        available.append(own.caller_address)
    # In a larger system each answer names other ones, so that all have work.
    listed = sorted(set(available))
    return rng.sample(listed, min(len(listed), MAX_ADDRESSES))
