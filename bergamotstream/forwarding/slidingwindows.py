"""
Sliding windows
~~~~~~~~~~~~~~~

Counts events by name in a sliding time window.
"""

import collections


class SlidingWindows:
    """Times of events by name; those older than the window are dropped."""

    def __init__(self, window_ms: int) -> None:
        """Start without events."""
        self._window_ms = window_ms
        self._times_by_name: dict[str, collections.deque[int]] = {}

    def add(self, name: str, now_ms: int) -> None:
        """Count an event at ``now_ms``."""
        self._window(name, now_ms).append(now_ms)

    def count(self, name: str, now_ms: int) -> int:
        """Return how many events the window before ``now_ms`` holds."""
        return len(self._window(name, now_ms))

    def remove_last(self, name: str) -> None:
        """Drop the newest event of a name, if the window holds any."""
        times = self._times_by_name.get(name)
        if times:
            times.pop()

    def forget(self, name: str) -> None:
        """Drop the events of a name."""
        self._times_by_name.pop(name, None)

    def _window(self, name: str, now_ms: int) -> collections.deque[int]:
        times = self._times_by_name.setdefault(name, collections.deque())
        while times and times[0] <= now_ms - self._window_ms:
            times.popleft()
        return times
