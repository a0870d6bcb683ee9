"""
Clock
~~~~~

Monotonic time in whole milliseconds. The core never reads a clock; it
receives the time with each event.
"""

import time

NANOSECONDS_PER_US = 1_000
NANOSECONDS_PER_MS = 1_000_000


class Clock:
    """Monotonic clock that also advances while the process is paused."""

    def now_ms(self) -> int:
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS

    def now_us(self) -> int:
        """Return the monotonic time in microseconds."""
        return time.monotonic_ns() // NANOSECONDS_PER_US

    def processor_ms(self) -> int:
        """Return the processor time of this thread in milliseconds."""
        return time.thread_time_ns() // NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for the audit trail."""
        return time.time_ns() // NANOSECONDS_PER_MS


class ManualClock(Clock):
    """Clock for tests and measurements that is advanced explicitly."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start at ``start_ms`` milliseconds."""
        self._current_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self._current_ms

    def wall_ms(self) -> int:
        """Return the same time as :meth:`now_ms`."""
        return self._current_ms

    def advance(self, duration_ms: int) -> None:
        """Advance by ``duration_ms`` milliseconds."""
        self._current_ms += duration_ms
