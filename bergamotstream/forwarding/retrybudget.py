"""
Retry budget
~~~~~~~~~~~~

Limits how often requests are sent to a second target. The operators state a
budget for all hosts together: a ratio of the requests plus a fixed number in
a sliding window. Each host uses the ratio of its own requests and an equal
part of the fixed number.
"""

import collections
from typing import Final

from bergamotstream.forwarding import hostsettings

# Part of the budget that is used; the rest covers hosts that are not known
# yet and requests at the border of a window.
SAFE_SHARE: Final = 0.7
# Hosts that share the fixed number while the others are not known.
LEAST_HOSTS: Final = 6


class RetryBudget:
    """Budget of one host, kept for each service."""

    def __init__(self, bounds: hostsettings.Bounds) -> None:
        """Start with nothing sent."""
        self._bounds = bounds
        self._most_hosts = LEAST_HOSTS
        self._requests_by_service: dict[str, collections.deque[int]] = {}
        self._retries_by_service: dict[str, collections.deque[int]] = {}

    def note_hosts(self, count: int) -> None:
        """Divide by the most hosts seen; hosts out of sight still retry."""
        self._most_hosts = max(self._most_hosts, count)

    def note_request(self, service: str, now_ms: int) -> None:
        """Count a request of a caller."""
        self._window(self._requests_by_service, service, now_ms).append(now_ms)

    def take(self, service: str, now_ms: int) -> bool:
        """Take one retry out of the budget; False if it is used up."""
        requests = self._window(self._requests_by_service, service, now_ms)
        retries = self._window(self._retries_by_service, service, now_ms)
        allowed = SAFE_SHARE * (
            len(requests) * self._bounds.retry_ratio
            + self._bounds.retry_slack / self._most_hosts
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_ms)
        return True

    def _window(
        self,
        times_by_service: dict[str, collections.deque[int]],
        service: str,
        now_ms: int,
    ) -> collections.deque[int]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now_ms - self._bounds.retry_window_ms:
            times.popleft()
        return times
