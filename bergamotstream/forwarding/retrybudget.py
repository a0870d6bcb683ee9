"""
Retry budget
~~~~~~~~~~~~

Limits how often requests are retried on a second target. The operators set
one budget for all hosts together: a ratio of the requests plus a fixed number
in a sliding window. Each host uses the ratio of its own requests and an equal
share of the fixed number. Its previous process may have used that share just
before it ended, so in its first window a process only uses the reserve.
"""

from typing import Final

from bergamotstream.forwarding import (
    hostsettings,
    sharedlimits,
    slidingwindows,
)

# Share of the budget that is used; the reserve covers hosts that are not known
# yet, requests at the edge of a window and one restart within it.
SAFE_SHARE: Final = 0.7


class RetryBudget(sharedlimits.SharedLimit):
    """Retry budget of one host, by service."""

    def __init__(self, bounds: hostsettings.Bounds) -> None:
        """Start with empty windows, as a process that runs for long."""
        super().__init__()
        self._bounds = bounds
        self._started_ms: int | None = None
        window_ms = bounds.retry_window_ms
        self._requests_by_service = slidingwindows.SlidingWindows(window_ms)
        self._retries_by_service = slidingwindows.SlidingWindows(window_ms)

    def start(self, now_ms: int) -> None:
        """Record the start of the process."""
        self._started_ms = now_ms

    def apply_bounds(self, bounds: hostsettings.Bounds) -> None:
        """Use other limits; the window stays that of the start."""
        self._bounds = bounds._replace(
            retry_window_ms=self._bounds.retry_window_ms
        )

    def record_request(self, service: str, now_ms: int) -> None:
        """Count a request of a caller."""
        self._requests_by_service.add(service, now_ms)

    def try_acquire(self, service: str, now_ms: int) -> bool:
        """Use one retry of the budget; return False if it is exhausted."""
        requests = self._requests_by_service.count(service, now_ms)
        retries = self._retries_by_service.count(service, now_ms)
        allowed = SAFE_SHARE * requests * self._bounds.retry_ratio
        allowed += self._slack_share(now_ms) * self._host_share(
            self._bounds.retry_slack
        )
        if retries + 1 > allowed:
            return False
        self._retries_by_service.add(service, now_ms)
        return True

    def give_back(self, service: str) -> None:
        """Return the last retry that was acquired and not sent."""
        self._retries_by_service.remove_last(service)

    def _slack_share(self, now_ms: int) -> float:
        """Return the share of this host's fixed number that it may use."""
        if self._started_ms is None:
            return SAFE_SHARE
        is_first_window = (
            now_ms - self._started_ms < self._bounds.retry_window_ms
        )
        return 1 - SAFE_SHARE if is_first_window else SAFE_SHARE
