"""
Readers
~~~~~~~

Decides which hosts watch the store. Each waiting watch is a call that the
platform prices, so a few hosts watch and the others learn from them.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from bergamotstream.forwarding import peerformat

# Enough that a store which turns away a third of the hosts serves one of
# them with a probability of 0.9998, and that a small system needs no rule.
STORE_WATCHERS: Final = 8
# A watch is answered every 2.5 s at least, and heard of 0.8 s later.
FRESH_ANSWER_MS: Final = 4_000


def should_watch(
    name: str, peers: Iterable[peerformat.HostState], now_ms: int
) -> bool:
    """Tell whether a host should watch the store.

    Hosts have a fixed order. A host watches unless enough hosts before it
    have had an answer of the store lately, so one that is cut off from its
    peers always watches.
    """
    rank = _rank(name)
    watchers_before = sum(
        now_ms - peer.store_answered_ms < FRESH_ANSWER_MS
        and _rank(peer.entry.name) < rank
        for peer in peers
    )
    return watchers_before < STORE_WATCHERS


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
