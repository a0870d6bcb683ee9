"""
Wake-ups
~~~~~~~~

A heap of timers, so that a tick only processes the requests that have a timer
due.
"""

import heapq
from collections.abc import Iterator


class WakeupQueue:
    """Keys ordered by the time in milliseconds at which they are due."""

    def __init__(self) -> None:
        """Start without entries."""
        self._heap: list[tuple[int, str]] = []

    def add(self, due_ms: int, key: str) -> None:
        """Schedule ``key`` for ``due_ms``; it may have several entries."""
        heapq.heappush(self._heap, (due_ms, key))

    def pop_due(self, now_ms: int) -> Iterator[str]:
        """Remove and yield the keys that are due."""
        while self._heap and self._heap[0][0] <= now_ms:
            yield heapq.heappop(self._heap)[1]
