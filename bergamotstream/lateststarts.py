"""
Latest starts
~~~~~~~~~~~~~

Order in which waiting requests become unable to meet their deadline.
"""

import heapq

from bergamotstream import grants

# Entries of requests that are no longer queued, which may stay in the heap.
MAX_STALE_ENTRIES = 256


class LatestStarts:
    """Waiting requests by the last moment at which they may be granted."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: list[tuple[float, int, grants.WaitingRequest]] = []
        self._arrivals = 0

    def add(self, waiting: grants.WaitingRequest, waiting_count: int) -> None:
        """Add a request; ``waiting_count`` requests wait in all."""
        if len(self._entries) > 2 * waiting_count + MAX_STALE_ENTRIES:
            self._entries = [
                entry for entry in self._entries if entry[2].queued
            ]
            heapq.heapify(self._entries)
        self._arrivals += 1
        entry = (waiting.latest_start_ms, self._arrivals, waiting)
        heapq.heappush(self._entries, entry)

    def pop_late(self, now_ms: int) -> list[grants.WaitingRequest]:
        """Remove and return the requests that are too late."""
        late = []
        while self._entries and self._entries[0][0] <= now_ms:
            _, _, waiting = heapq.heappop(self._entries)
            if waiting.queued:
                late.append(waiting)
        return late
