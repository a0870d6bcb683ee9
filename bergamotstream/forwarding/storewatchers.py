"""
Store watchers
~~~~~~~~~~~~~~

Decides which hosts watch the store. The platform charges for each open watch,
so only a few hosts watch, and the others get the changes from them.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final

import xxhash

from bergamotstream.forwarding import peerformat

# Up to this size all hosts of a fleet watch: their calls are few, and the loss of
# most of them at once delays no news.
SMALL_FLEET: Final = 8
# Watchers of a larger fleet, at least one in each cell. A store that refuses a
# third of the hosts serves one of five with a probability of 0.996; a host that
# is refused is replaced by another one.
STORE_WATCHERS: Final = 5
# A watch is answered at least every 2.5 s, and peers receive the time of that
# answer 0.8 s later.
FRESH_ANSWER_MS: Final = 4_000


def should_watch(
    name: str,
    peers: Collection[peerformat.HostState],
    now_ms: int,
    cells: int = 1,
) -> bool:
    """Tell whether a host should watch the store, one of its cell's watchers.

    Hosts have a fixed order. A host watches unless enough hosts before it
    have had an answer from the store recently, so a host that is partitioned
    from its peers always watches.
    """
    fresh = [
        peer
        for peer in peers
        if now_ms - peer.store_answered_ms < FRESH_ANSWER_MS
    ]
    return len(peers) < SMALL_FLEET or is_first(name, fresh, cells)


def is_first(
    name: str, peers: Iterable[peerformat.HostState], cells: int = 1
) -> bool:
    """Tell whether a host is one of the first among its peers.

    While the store answers nobody, only these ask it often.
    """
    rank = _rank(name)
    before = sum(_rank(peer.entry.name) < rank for peer in peers)
    return before < math.ceil(STORE_WATCHERS / cells)


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
