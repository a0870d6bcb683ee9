"""
Cold start
~~~~~~~~~~

Cap of concurrent requests on a target that is warming up, and detection of a
target that has turned cold.
"""

from bergamotstream import records

# The slowest step of a cold engine takes about four times as long as a warm
# one. Network time does not grow with it, so a limit of 4 would miss it.
SLOW_TTFT_FACTOR = 3.0
CONSECUTIVE_SLOW_TTFTS = 2
# Shorter predictions are dominated by scheduling jitter of the host.
MIN_PREDICTION_MS = 40.0
MAX_REPORT_AGE_MS = 60_000


class ColdStart:
    """Cold-start state of one target; unknown counts as cold."""

    def __init__(self, service: records.ServiceConfig, now_ms: int) -> None:
        """Start cold until the first report says otherwise."""
        self.cold = True
        self._service = service
        self._finished_since_cold = 0
        self._consecutive_slow_ttfts = 0
        # Reports of any expected age replace the initial assumption.
        self._state_since_ms = now_ms - MAX_REPORT_AGE_MS
        self._trust_reports = True
        self._reported = False

    @property
    def known_cold(self) -> bool:
        """Return whether the target is known to be cold."""
        return self.cold and (self._reported or not self._trust_reports)

    @property
    def cap(self) -> int:
        """Return how many attempts may run at once."""
        if self.cold:
            allowed = self._service.cold_limit + self._finished_since_cold
            return min(allowed, self._service.slots)
        return self._service.slots

    def turn_cold(self, now_ms: int, *, trust_reports: bool) -> None:
        """Apply the cold limit.

        With ``trust_reports`` a report that the target is warm ends it.
        """
        self.cold = True
        self._finished_since_cold = 0
        self._consecutive_slow_ttfts = 0
        self._state_since_ms = now_ms
        self._trust_reports = trust_reports

    def count_finished(self, granted_ms: int, now_ms: int) -> None:
        """Raise the cap by one for a finished attempt.

        An attempt that was granted before the target turned cold may have
        finished before it did, so it does not count.
        """
        if not self.cold or granted_ms < self._state_since_ms:
            return
        self._finished_since_cold += 1
        if self._finished_since_cold >= self._service.warm_after:
            self._turn_warm(now_ms)

    def observe_ttft(
        self, ttft_ms: float, predicted_ms: float, now_ms: int
    ) -> bool:
        """Compare a TTFT with its prediction; return True if turned cold."""
        limit = SLOW_TTFT_FACTOR * max(predicted_ms, MIN_PREDICTION_MS)
        if self.cold or ttft_ms <= limit:
            self._consecutive_slow_ttfts = 0
            return False
        self._consecutive_slow_ttfts += 1
        if self._consecutive_slow_ttfts < CONSECUTIVE_SLOW_TTFTS:
            return False
        self.turn_cold(now_ms, trust_reports=False)
        return True

    def observe_report(self, cold: bool, sampled_ms: int, now_ms: int) -> bool:
        """Apply a load report; return True if the target turned cold.

        A report that is older than the current state is ignored. A target that
        was detected as cold by its TTFT turns warm only after enough finished
        attempts, unless it has since reported that it is cold.
        """
        if sampled_ms < self._state_since_ms:
            return False
        self._reported = True
        if cold:
            return self._observe_cold_report(now_ms)
        if self.cold and self._trust_reports:
            self._turn_warm(now_ms)
        return False

    def _observe_cold_report(self, now_ms: int) -> bool:
        if self.cold:
            self._trust_reports = True
            return False
        self.turn_cold(now_ms, trust_reports=True)
        return True

    def _turn_warm(self, now_ms: int) -> None:
        self.cold = False
        self._state_since_ms = now_ms
