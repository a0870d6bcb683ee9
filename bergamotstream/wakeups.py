"""
Wake-ups
~~~~~~~~

A heap of times at which something must be looked at again, so that a tick
costs nothing for requests that have nothing due.
"""

import heapq
from collections.abc import Iterator


class WakeupQueue:
    """Keys with the time, in milliseconds, at which each is due."""

    def __init__(self) -> None:
        """Start without entries."""
        self._heap: list[tuple[int, str]] = []

    def add(self, due_ms: int, key: str) -> None:
        """Make ``key`` due at ``due_ms``; a key may be due several times."""
        heapq.heappush(self._heap, (due_ms, key))

    def pop_due(self, now_ms: int) -> Iterator[str]:
        """Remove and yield the keys that are due."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[1]
