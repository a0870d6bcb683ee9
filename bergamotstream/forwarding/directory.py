"""
Directory
~~~~~~~~~

Lists the hosts that callers should use.
"""

import random
from collections.abc import Iterable
from typing import Final

from bergamotstream.forwarding import fleetrecords, peerformat

# Callers ask again after this time, some of them after three times as long. A
# stopping host accepts all requests for 2.7 s, so that few arrive later.
ADDRESS_TTL_S: Final = 1
# Most addresses of one answer that callers use.
MAX_ADDRESSES: Final = 64


def list_addresses(
    own: fleetrecords.HostEntry,
    own_ready: bool,
    registered: Iterable[fleetrecords.HostEntry],
    peers: Iterable[peerformat.HostState],
    rng: random.Random,
) -> list[str]:
    """Return the addresses of the hosts that serve callers.

    Peers are listed while their messages arrive. A host that receives none may
    be partitioned from peers that callers can reach, so it lists the hosts
    that are registered in the store.
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
    # In a larger system each answer is another sample, so that all hosts get
    # requests.
    listed = sorted(set(available))
    return rng.sample(listed, min(len(listed), MAX_ADDRESSES))
