"""
Target health
~~~~~~~~~~~~~

Estimates from the outcomes of requests how often a target fails and how much
slower than its profile it is. Estimates decay, so that a target gets requests
again without a health probe.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

# Weight of one outcome in the moving averages.
FAILURE_WEIGHT: Final = 0.4
SLOWNESS_WEIGHT: Final = 0.3
MAX_SLOWNESS: Final = 10.0
# An estimate without new outcomes decays by half in this time.
HALF_LIFE_MS: Final = 4_000
# Backoff after a target could not be reached; doubles with each further time
# in a row.
MIN_BACKOFF_MS: Final = 500
MAX_BACKOFF_MS: Final = 6_000
# About five passes of an engine, long enough for some answers to end.
FULL_BACKOFF_MS: Final = 300
# Smaller estimates are not sent to peers.
MIN_SHARED_FAILURE_RATE: Final = 0.15
MIN_SHARED_SLOWNESS: Final = 1.3


class HealthEstimate(NamedTuple):
    """Estimated failure rate and slowness of a target."""

    target_id: str
    failure_rate: float
    slowness: float
    # Remaining backoff after a refused connection: nothing listens there.
    refusing_ms: int = 0


class _Observed(NamedTuple):
    failure_rate: float = float(0)
    slowness: float = float(1)
    at_ms: int = 0
    consecutive_unreachable: int = 0
    unreachable_until_ms: int = 0
    # No host should try the target before this time.
    refusing_until_ms: int = 0


class TargetHealth:
    """Health estimates of this host and its peers for all targets."""

    def __init__(self) -> None:
        """Start without estimates: every target is taken to be healthy."""
        self._observed_by_id: dict[str, _Observed] = {}
        self._peer_estimates_by_id: dict[str, tuple[int, HealthEstimate]] = {}
        self._peer_backoff_until_by_id: dict[str, int] = {}

    def record_success(self, target_id: str, now_ms: int) -> None:
        """Update the estimate after a request that succeeded."""
        known = self._decayed(target_id, now_ms)
        self._observed_by_id[target_id] = known._replace(
            failure_rate=known.failure_rate * (1 - FAILURE_WEIGHT),
            consecutive_unreachable=0,
            unreachable_until_ms=0,
            refusing_until_ms=0,
        )
        self._peer_backoff_until_by_id.pop(target_id, None)

    def record_failure(self, target_id: str, now_ms: int) -> None:
        """Update the estimate after a request that failed at the target."""
        known = self._decayed(target_id, now_ms)
        failure_rate = known.failure_rate + FAILURE_WEIGHT * (
            1 - known.failure_rate
        )
        self._observed_by_id[target_id] = known._replace(
            failure_rate=failure_rate
        )

    def record_unreachable(self, target_id: str, now_ms: int) -> int:
        """Exclude a target for a backoff; return when it ends."""
        known = self._decayed(target_id, now_ms)
        backoff_ms = min(
            MIN_BACKOFF_MS << min(known.consecutive_unreachable, 8),
            MAX_BACKOFF_MS,
        )
        until_ms = now_ms + backoff_ms
        self._observed_by_id[target_id] = known._replace(
            consecutive_unreachable=known.consecutive_unreachable + 1,
            unreachable_until_ms=until_ms,
            refusing_until_ms=0,
        )
        return until_ms

    def confirm_refusing(self, target_id: str, now_ms: int) -> None:
        """Let peers exclude a target too, at which nothing listens.

        They do so for the shortest backoff and then find out by themselves, as
        this host may have lost its links to some targets only.
        """
        known = self._decayed(target_id, now_ms)
        self._observed_by_id[target_id] = known._replace(
            refusing_until_ms=now_ms + MIN_BACKOFF_MS
        )

    def forget_own(self, target_id: str) -> None:
        """Drop what this host itself has seen of a target."""
        self._observed_by_id.pop(target_id, None)

    def record_full(self, target_id: str, now_ms: int) -> None:
        """Exclude a target that had no room until its load is known."""
        known = self._decayed(target_id, now_ms)
        until_ms = max(known.unreachable_until_ms, now_ms + FULL_BACKOFF_MS)
        self._observed_by_id[target_id] = known._replace(
            unreachable_until_ms=until_ms
        )

    def record_speed(
        self,
        target_id: str,
        measured_ms: float,
        forecast_ms: float,
        now_ms: int,
    ) -> None:
        """Update the slowness from a measured and a forecast time."""
        known = self._decayed(target_id, now_ms)
        sample = min(max(measured_ms / max(forecast_ms, 1), 1), MAX_SLOWNESS)
        slowness = known.slowness + SLOWNESS_WEIGHT * (sample - known.slowness)
        self._observed_by_id[target_id] = known._replace(slowness=slowness)

    def forget(self, target_id: str) -> None:
        """Drop the estimates of a target that left or restarted."""
        self._observed_by_id.pop(target_id, None)
        self._peer_estimates_by_id.pop(target_id, None)
        self._peer_backoff_until_by_id.pop(target_id, None)

    def update_peer(
        self, estimates: Iterable[HealthEstimate], now_ms: int
    ) -> None:
        """Store the estimates of a peer; they decay like those of this host."""
        for estimate in estimates:
            self._peer_estimates_by_id[estimate.target_id] = (now_ms, estimate)
            if estimate.refusing_ms:
                backoff_ms = min(estimate.refusing_ms, MAX_BACKOFF_MS)
                self._peer_backoff_until_by_id[estimate.target_id] = (
                    now_ms + backoff_ms
                )

    def is_reachable(self, target_id: str, now_ms: int) -> bool:
        """Tell whether the target may be tried."""
        return not self.is_refusing_peers(
            target_id, now_ms
        ) and self.is_reachable_here(target_id, now_ms)

    def is_refusing_peers(self, target_id: str, now_ms: int) -> bool:
        """Tell whether a peer has reported that a target refuses."""
        return self._peer_backoff_until_by_id.get(target_id, now_ms) > now_ms

    def is_failing_at_peers(self, target_id: str, now_ms: int) -> bool:
        """Tell whether a peer has reported that a target fails."""
        at_ms, reported = self._peer_estimates_by_id.get(
            target_id, (now_ms, HealthEstimate(target_id, 0, 1))
        )
        failure_rate = reported.failure_rate * _decay_factor(now_ms - at_ms)
        return failure_rate >= MIN_SHARED_FAILURE_RATE or (
            self.is_refusing_peers(target_id, now_ms)
        )

    def is_reachable_here(self, target_id: str, now_ms: int) -> bool:
        """Tell whether no backoff of this host itself excludes a target."""
        known = self._observed_by_id.get(target_id)
        return known is None or known.unreachable_until_ms <= now_ms

    def estimate_of(self, target_id: str, now_ms: int) -> HealthEstimate:
        """Return the worse of the estimates of this host and its peers."""
        own = self._decayed(target_id, now_ms)
        failure_rate, slowness = own.failure_rate, own.slowness
        at_ms, reported = self._peer_estimates_by_id.get(
            target_id, (now_ms, HealthEstimate(target_id, 0, 1))
        )
        decay = _decay_factor(now_ms - at_ms)
        return HealthEstimate(
            target_id,
            max(failure_rate, reported.failure_rate * decay),
            max(slowness, 1 + (reported.slowness - 1) * decay),
        )

    def own_estimates(
        self, now_ms: int, unproved: Collection[str] = ()
    ) -> list[HealthEstimate]:
        """Return the estimates of this host that peers should get.

        Those of ``unproved`` targets may come from the links of this host.
        """
        estimates = []
        for target_id in self._observed_by_id.keys() - set(unproved):
            known = self._decayed(target_id, now_ms)
            refusing_ms = max(known.refusing_until_ms - now_ms, 0)
            if refusing_ms or _is_worth_sharing(known):
                estimates.append(
                    HealthEstimate(
                        target_id,
                        known.failure_rate,
                        known.slowness,
                        refusing_ms,
                    )
                )
        return estimates

    def _decayed(self, target_id: str, now_ms: int) -> _Observed:
        known = self._observed_by_id.get(target_id, _Observed(at_ms=now_ms))
        decay = _decay_factor(now_ms - known.at_ms)
        return known._replace(
            failure_rate=known.failure_rate * decay,
            slowness=1 + (known.slowness - 1) * decay,
            at_ms=now_ms,
        )


def _decay_factor(age_ms: int) -> float:
    return math.pow(0.5, max(age_ms, 0) / HALF_LIFE_MS)


def _is_worth_sharing(known: _Observed) -> bool:
    return (
        known.failure_rate >= MIN_SHARED_FAILURE_RATE
        or known.slowness >= MIN_SHARED_SLOWNESS
    )
