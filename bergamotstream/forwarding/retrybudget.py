"""
Retry budget
~~~~~~~~~~~~

Limits how often requests are sent to a second target. The operators state a
budget for all hosts together: a ratio of the requests plus a fixed number in
a sliding window. Each host uses the ratio of its own requests and an equal
part of the fixed number.
"""

from typing import Final

from bergamotstream.forwarding import (
    hostsettings,
    sharedlimits,
    slidingwindows,
)

# Part of the budget that is used; the rest covers hosts that are not known
# yet and requests at the border of a window.
SAFE_SHARE: Final = 0.7


class RetryBudget(sharedlimits.SharedLimit):
    """Budget of one host, kept for each service."""

    def __init__(self, bounds: hostsettings.Bounds) -> None:
        """Start with nothing sent."""
        super().__init__()
        self._bounds = bounds
        window_ms = bounds.retry_window_ms
        self._requests_by_service = slidingwindows.SlidingWindows(window_ms)
        self._retries_by_service = slidingwindows.SlidingWindows(window_ms)

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request of a caller."""
        self._requests_by_service.add(service, now_ms)

    def try_acquire(self, service: str, now_ms: int) -> bool:
        """Take one retry out of the budget; False if it is used up."""
        requests = self._requests_by_service.count(service, now_ms)
        retries = self._retries_by_service.count(service, now_ms)
        allowed = SAFE_SHARE * (
            requests * self._bounds.retry_ratio
            + self._host_share(self._bounds.retry_slack)
        )
        if retries + 1 > allowed:
            return False
        self._retries_by_service.add(service, now_ms)
        return True
