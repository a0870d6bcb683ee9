"""
Store watchers
~~~~~~~~~~~~~~

Decides which hosts watch the store. The platform charges for each open watch,
so only a few hosts watch, and the others get the changes from them.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

from bergamotstream.forwarding import peerformat

# With this many watchers, a store that refuses a third of the hosts serves at
# least one of them with a probability of 0.9998. In a small system all hosts
# watch.
STORE_WATCHERS: Final = 8
# A watch is answered at least every 2.5 s, and peers receive the time of that
# answer 0.8 s later.
FRESH_ANSWER_MS: Final = 4_000


def should_watch(
    name: str, peers: Iterable[peerformat.HostState], now_ms: int
) -> bool:
    """Tell whether a host should watch the store.

    Hosts have a fixed order. A host watches unless enough hosts before it
    have had an answer from the store recently, so a host that is partitioned
    from its peers always watches.
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
