"""
Drain
~~~~~

How fast waiting requests get places, and from it when a refused caller should
come back. It answers overload that lasts: with a constant delay callers come
back before there is room, all at once, and are refused again.
"""

import random
from typing import Final

from bergamotstream.forwarding import slidingwindows

WINDOW_MS: Final = 2_000
# The rate says little before requests have waited for this long, or with fewer
# places. While nothing waits it tells how much comes, not what targets take.
MIN_BUSY_MS: Final = 500
MIN_PLACED: Final = 4
# Bounds of the delay; a longer one than callers have time for is no use.
MIN_DELAY_MS: Final = 400
MAX_DELAY_MS: Final = 4_000
# Callers come back over this part of the drain's time after its end.
SPREAD: Final = 0.5


class Drain:
    """The places that waiting requests have got on one host, by service."""

    def __init__(self, rng: random.Random) -> None:
        """Spread delays by ``rng``."""
        self._rng = rng
        self._placed = slidingwindows.SlidingWindows(WINDOW_MS)
        self._busy_since_ms_by_service: dict[str, int] = {}

    def begin(self, service: str, now_ms: int) -> None:
        """Record that a request waits, before which none may have waited."""
        self._busy_since_ms_by_service.setdefault(service, now_ms)

    def end(self, service: str) -> None:
        """Record that nothing waits any more."""
        self._busy_since_ms_by_service.pop(service, None)
        self._placed.forget(service)

    def record_placed(self, service: str, now_ms: int) -> None:
        """Count a request that has waited and got a place."""
        self._placed.add(service, now_ms)

    def wait_ms(self, service: str, ahead: int, now_ms: int) -> float | None:
        """Return the expected wait behind ``ahead`` requests.

        ``None`` if too few have got places to tell.
        """
        since_ms = self._busy_since_ms_by_service.get(service, now_ms)
        busy_ms = min(now_ms - since_ms, WINDOW_MS)
        placed = self._placed.count(service, now_ms)
        if busy_ms < MIN_BUSY_MS or placed < MIN_PLACED:
            return None
        return ahead * busy_ms / placed

    def retry_after_ms(
        self, service: str, waiting: int, now_ms: int
    ) -> int | None:
        """Return when a refused caller should come back, if it is known."""
        wait_ms = self.wait_ms(service, waiting, now_ms)
        if wait_ms is None:
            return None
        earliest_ms = min(max(wait_ms, MIN_DELAY_MS), MAX_DELAY_MS)
        return round(earliest_ms * self._rng.uniform(1, 1 + SPREAD))
