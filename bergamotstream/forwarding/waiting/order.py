"""
Order
~~~~~

The order in which the requests of one service wait for places. It answers
bursts in which newcomers would overtake requests that have waited, and
workspaces whose many requests would stand before the few of another one.

Requests of one rank, that is of one urgency and size, wait for each other. A
short prompt does not wait for a long one that finds no place.
"""

import bisect
from collections.abc import Iterator
from typing import Final, NamedTuple

# Requests that wait on one host for one service; their bodies are in memory.
MAX_WAITING: Final = 512


class Key(NamedTuple):
    """The place of a request in the order; the smallest goes first."""

    # Whether its workspace uses more than its share.
    is_above_share: bool
    # Urgency and size; 0 goes first.
    rank: int
    end_ms: int
    arrival: int


class WaitQueue:
    """The waiting requests of one service on one host."""

    def __init__(self) -> None:
        """Start empty."""
        self._keys_by_rank: dict[int, list[Key]] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._keys_by_rank.values()))

    def add(self, rank: int, end_ms: int, *, is_above_share: bool) -> Key:
        """Add a request and return its place."""
        self._arrivals += 1
        key = Key(is_above_share, rank, end_ms, self._arrivals)
        bisect.insort(self._keys_by_rank.setdefault(rank, []), key)
        return key

    def remove(self, key: Key) -> None:
        """Remove a request that has a place or has left."""
        keys = self._keys_by_rank.get(key.rank, [])
        if key in keys:
            keys.remove(key)
        if not keys:
            self._keys_by_rank.pop(key.rank, None)

    def has_before(
        self, rank: int, end_ms: int, *, is_above_share: bool
    ) -> bool:
        """Tell whether a request waits that goes before a new one."""
        own = Key(is_above_share, rank, end_ms, self._arrivals + 1)
        return any(key < own for key in self._keys_by_rank.get(rank, [])[:1])

    def count_before(self, key: Key) -> int:
        """Return how many requests of its rank go before one."""
        return bisect.bisect_left(self._keys_by_rank.get(key.rank, []), key)

    def firsts(self) -> Iterator[Key]:
        """Yield the first request of each rank, in order."""
        yield from sorted(keys[0] for keys in self._keys_by_rank.values())
