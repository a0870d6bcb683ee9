"""
Cold limits
~~~~~~~~~~~

Limits the request rate of a cold target, that is one that has just started.
The limit holds for all hosts together, so each host uses an equal share. If
that is less than a request a second, only some of the hosts send one.
"""

from collections.abc import Iterable
from typing import Final

from bergamotstream.forwarding import (
    fleetrecords,
    rendezvous,
    sharedlimits,
    slidingwindows,
)

WINDOW_MS: Final = 1_000
# Delay of an entry behind its target's state: about one heartbeat; source: the
# platform's service discovery.
ENTRY_LAG_MS: Final = 1_200


class ColdLimits(sharedlimits.SharedLimit):
    """Cold targets and the requests that this host has sent to them."""

    def __init__(self) -> None:
        """Start without cold targets."""
        super().__init__()
        self._cold_until_ms_by_id: dict[str, int] = {}
        self._sent_by_id = slidingwindows.SlidingWindows(WINDOW_MS)

    def update_target(
        self, entry: fleetrecords.TargetEntry, now_ms: int
    ) -> None:
        """Update until when a target is cold from its entry."""
        if entry.cold_ms:
            until_ms = now_ms + entry.cold_ms + ENTRY_LAG_MS
            self._cold_until_ms_by_id[entry.target_id] = until_ms
        else:
            self._cold_until_ms_by_id.pop(entry.target_id, None)

    def forget(self, target_id: str) -> None:
        """Drop a target that left."""
        self._cold_until_ms_by_id.pop(target_id, None)
        self._sent_by_id.forget(target_id)

    def is_cold(self, target_id: str, now_ms: int) -> bool:
        """Tell whether the target counts as cold."""
        return self._cold_until_ms_by_id.get(target_id, 0) > now_ms

    def is_limited(
        self, target_id: str, service: fleetrecords.Service, now_ms: int
    ) -> bool:
        """Tell whether the rate of a target is limited now."""
        return bool(service.cold_requests_per_s) and self.is_cold(
            target_id, now_ms
        )

    def may_send(
        self, target_id: str, service: fleetrecords.Service, now_ms: int
    ) -> bool:
        """Tell whether one more request fits into this host's share."""
        if not self.is_limited(target_id, service, now_ms):
            return True
        allowed = max(self._host_share(service.cold_requests_per_s), 1)
        return self._sent_by_id.count(target_id, now_ms) + 1 <= allowed

    def record_sent(self, target_id: str, now_ms: int) -> None:
        """Count a request, also to a target that is not cold yet."""
        self._sent_by_id.add(target_id, now_ms)


def senders(
    target: fleetrecords.TargetEntry,
    service: fleetrecords.Service,
    hosts: Iterable[str],
) -> list[str]:
    """Return the hosts that may send a request a second to a cold target."""
    count = max(int(service.cold_requests_per_s), 1)
    return rendezvous.choose(hosts, target.target_id, count)
