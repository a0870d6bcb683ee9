"""
Quarantine
~~~~~~~~~~

Blame of requests that were running when a target crashed. A request with blame
is a suspect and runs in isolation next, so that others are not blamed again.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

QUARANTINE_MS = 600_000
# A crash while a suspect runs alone has no other explanation, so the suspect
# gets double blame and is quarantined after two crashes.
ISOLATED_CRASH_BLAME = 2.0
# Targets that crash together indicate a fault of their zone, not of a request.
COMMON_CAUSE_WINDOW_MS = 2_000
COMMON_CAUSE_MIN_TARGETS = 3


class Crash(NamedTuple):
    """Attempts that were running when a target crashed."""

    target: str
    at_ms: int
    blame_shares: tuple[tuple[int, float], ...]


class Quarantine:
    """Blame by request fingerprint."""

    def __init__(
        self, quarantine_after: float, blame: dict[int, float]
    ) -> None:
        """Keep the scores in ``blame``, which heartbeats distribute."""
        self._quarantine_after = quarantine_after
        self._blame = blame
        self._blamed_ms: dict[int, int] = {}
        self._cleared_ms: dict[int, int] = {}
        self._crashes: list[Crash] = []

    def score(self, fingerprint: int, shared: Mapping[int, float]) -> float:
        """Return the blame known here or distributed by other owners."""
        own = self._blame.get(fingerprint, float(0))
        if fingerprint in self._cleared_ms:
            return own
        return max(own, shared.get(fingerprint, float(0)))

    def is_quarantined(
        self, fingerprint: int, shared: Mapping[int, float]
    ) -> bool:
        """Return whether the request must be rejected."""
        return self.score(fingerprint, shared) >= self._quarantine_after

    def blame_crash(
        self,
        target: str,
        fingerprints: Iterable[int],
        shared: Mapping[int, float],
        now_ms: int,
    ) -> None:
        """Blame each request that ran on a target that crashed.

        A crash that shares its cause with others blames no request.
        """
        running = tuple(fingerprints)
        blame_shares = tuple(
            (fingerprint, self._blame_share(fingerprint, len(running), shared))
            for fingerprint in running
        )
        for fingerprint, share in blame_shares:
            score = self.score(fingerprint, shared)
            self._blame[fingerprint] = score + share
            self._blamed_ms[fingerprint] = now_ms
            self._cleared_ms.pop(fingerprint, None)
        self._crashes.append(Crash(target, now_ms, blame_shares))
        self._retract_common_cause_blame(now_ms)

    def clear(self, fingerprint: int, now_ms: int) -> None:
        """Clear the blame of a suspect that has finished."""
        self._blame.pop(fingerprint, None)
        self._blamed_ms.pop(fingerprint, None)
        self._cleared_ms[fingerprint] = now_ms

    def expire_old(self, now_ms: int) -> None:
        """Drop blame and clearances after the quarantine time."""
        limit = now_ms - QUARANTINE_MS
        for fingerprint, blamed_ms in list(self._blamed_ms.items()):
            if blamed_ms < limit:
                self._blamed_ms.pop(fingerprint)
                self._blame.pop(fingerprint, None)
        for fingerprint, cleared_ms in list(self._cleared_ms.items()):
            if cleared_ms < limit:
                self._cleared_ms.pop(fingerprint)

    def _blame_share(
        self, fingerprint: int, count: int, shared: Mapping[int, float]
    ) -> float:
        suspect = self.score(fingerprint, shared) > 0
        if count == 1 and suspect:
            return ISOLATED_CRASH_BLAME
        return 1 / count

    def _retract_common_cause_blame(self, now_ms: int) -> None:
        self._crashes = [
            crash
            for crash in self._crashes
            if crash.at_ms > now_ms - COMMON_CAUSE_WINDOW_MS
        ]
        targets = {crash.target for crash in self._crashes}
        if len(targets) < COMMON_CAUSE_MIN_TARGETS:
            return
        targets_by_fingerprint: dict[int, set[str]] = {}
        for recent in self._crashes:
            for fingerprint, _ in recent.blame_shares:
                targets_by_fingerprint.setdefault(fingerprint, set()).add(
                    recent.target
                )
        self._crashes = [
            self._retract_blame(crash, targets_by_fingerprint)
            for crash in self._crashes
        ]

    def _retract_blame(
        self, crash: Crash, targets_by_fingerprint: Mapping[int, set[str]]
    ) -> Crash:
        remaining_shares = []
        for fingerprint, share in crash.blame_shares:
            if len(targets_by_fingerprint[fingerprint]) > 1:
                remaining_shares.append((fingerprint, share))
                continue
            remaining_blame = self._blame.get(fingerprint, float(0)) - share
            if remaining_blame > 0:
                self._blame[fingerprint] = remaining_blame
            else:
                self._blame.pop(fingerprint, None)
        return crash._replace(blame_shares=tuple(remaining_shares))
