"""
Virtual time
~~~~~~~~~~~~

Event loop whose clock moves from one scheduled call to the next.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class VirtualTime:
    """Runs calls in order of time, then of scheduling."""

    def __init__(self) -> None:
        """Start at 0 ms with nothing scheduled."""
        self.now_ms = 0
        self._order = itertools.count()
        self._calls: list[
            tuple[int, int, Callable[..., Any], tuple[Any, ...]]
        ] = []

    def call_at(
        self, at_ms: int, callback: Callable[..., Any], *arguments: Any
    ) -> None:
        """Call ``callback`` at ``at_ms``, or now if that has passed."""
        due_ms = max(at_ms, self.now_ms)
        entry = (due_ms, next(self._order), callback, arguments)
        heapq.heappush(self._calls, entry)

    def call_after(
        self, delay_ms: int, callback: Callable[..., Any], *arguments: Any
    ) -> None:
        """Call ``callback`` after ``delay_ms`` milliseconds."""
        self.call_at(self.now_ms + delay_ms, callback, *arguments)

    def run_until(self, end_ms: int) -> None:
        """Run every call that is due by ``end_ms``."""
        while self._calls and self._calls[0][0] <= end_ms:
            due_ms, _, callback, arguments = heapq.heappop(self._calls)
            self.now_ms = due_ms
            callback(*arguments)
        self.now_ms = end_ms
