"""
Crash blame
~~~~~~~~~~~

Finds requests that crash the targets which run them. A request whose target
gives no answer is suspected; the suspicion counts as a crash once the target
turns out to be gone or restarted. Crashes that other hosts have counted are
added, and a request with too many of them is blamed: all hosts refuse it.

Blame outlives the hosts that counted. Each host keeps the counts of peers that
have ended and sends all blamed requests, and the store has a record of each.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

# Crashes after which a request is refused; the operators count three.
REFUSE_AFTER: Final = 2
# Time for which a request is refused after it was last received, and for which
# crashes are counted.
BLAME_MS: Final = 60_000
# A target that is still listed and serves requests after this time did not
# crash: the entry of a crashed one is removed after three missed heartbeats.
CONFIRM_MS: Final = 6_000
# Maximum blamed requests in a message to peers; the latest ones are sent.
MAX_SHARED: Final = 64


class _Suspicion(NamedTuple):
    fingerprint: int
    at_ms: int


class Crashes(NamedTuple):
    """Crashes under one request, by the host that counted them."""

    own: int
    reported: int


class Verdict(NamedTuple):
    """What became of a suspicion once its target had crashed."""

    fingerprint: int
    age_ms: int
    # False if the suspicion was too old to be counted as a crash.
    counted: bool


class Blamed(NamedTuple):
    """A request that is refused, and the time since it was last received."""

    fingerprint: int
    age_ms: int


class PeerProcess(NamedTuple):
    """One process of a peer."""

    name: str
    incarnation: int


class _Reported(NamedTuple):
    crashes: Mapping[int, int]
    at_ms: int


class CrashBlame:
    """Counts crashes by the fingerprint of the request that ran."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self._suspicions_by_target: dict[str, list[_Suspicion]] = {}
        self._crashes_by_fingerprint: collections.Counter[int] = (
            collections.Counter()
        )
        self._counted_ms_by_fingerprint: dict[int, int] = {}
        self._reported_by_process: dict[PeerProcess, _Reported] = {}
        self._received_ms_by_blamed: dict[int, int] = {}

    def suspect(self, target_id: str, fingerprint: int, now_ms: int) -> None:
        """Record a request whose target broke the connection."""
        listed = self._suspicions_by_target.setdefault(target_id, [])
        listed.append(_Suspicion(fingerprint, now_ms))

    def confirm(self, target_id: str, now_ms: int) -> list[Verdict]:
        """Count the suspicions of a target that crashed; return them."""
        verdicts = [
            Verdict(
                suspicion.fingerprint,
                now_ms - suspicion.at_ms,
                counted=suspicion.at_ms > now_ms - CONFIRM_MS,
            )
            for suspicion in self._suspicions_by_target.pop(target_id, [])
        ]
        counted = {
            verdict.fingerprint for verdict in verdicts if verdict.counted
        }
        for fingerprint in counted:
            self._crashes_by_fingerprint[fingerprint] += 1
            self._counted_ms_by_fingerprint[fingerprint] = now_ms
        self._blame_counted(counted, now_ms)
        return verdicts

    def clear_target(self, target_id: str, placed_ms: int) -> list[int]:
        """Drop suspicions up to the placement of a request that was served.

        Returns the fingerprints of the dropped suspicions.
        """
        listed = self._suspicions_by_target.get(target_id)
        if not listed:
            return []
        self._suspicions_by_target[target_id] = [
            suspicion for suspicion in listed if suspicion.at_ms > placed_ms
        ]
        return [
            suspicion.fingerprint
            for suspicion in listed
            if suspicion.at_ms <= placed_ms
        ]

    def clear(self, fingerprint: int) -> None:
        """Drop the crashes of a request that was served."""
        self._crashes_by_fingerprint.pop(fingerprint, None)
        self._counted_ms_by_fingerprint.pop(fingerprint, None)
        self._received_ms_by_blamed.pop(fingerprint, None)

    def update_peer(
        self, process: PeerProcess, crashes: Mapping[int, int], now_ms: int
    ) -> bool:
        """Replace the counts of a peer's process; return if they changed.

        The counts of its earlier processes are kept for ``BLAME_MS``.
        """
        known = self._reported_by_process.get(process)
        if not crashes and known is None:
            return False
        self._reported_by_process[process] = _Reported(crashes, now_ms)
        self._drop_old_reports(now_ms)
        self._blame_counted(crashes, now_ms)
        return known is None or known.crashes != crashes

    def blame(self, listed: Iterable[Blamed], now_ms: int) -> list[int]:
        """Blame requests as a peer or a record does; return the new ones."""
        added = []
        for fingerprint, age_ms in listed:
            known_ms = self._received_ms_by_blamed.get(fingerprint)
            received_ms = now_ms - age_ms
            if known_ms is None and age_ms < BLAME_MS:
                added.append(fingerprint)
                known_ms = received_ms
            if known_ms is not None:
                latest_ms = max(known_ms, received_ms)
                self._received_ms_by_blamed[fingerprint] = latest_ms
        return added

    def own_counts(self, now_ms: int) -> Iterable[tuple[int, int]]:
        """Return the fingerprints and crash counts of this host."""
        counted = tuple(self._counted_ms_by_fingerprint.items())
        for fingerprint, at_ms in counted:
            if at_ms < now_ms - BLAME_MS:
                self._crashes_by_fingerprint.pop(fingerprint, None)
                self._counted_ms_by_fingerprint.pop(fingerprint)
        return self._crashes_by_fingerprint.items()

    def blamed(self, now_ms: int) -> list[Blamed]:
        """Return the blamed requests, beginning with the latest."""
        listed = [
            Blamed(fingerprint, now_ms - received_ms)
            for fingerprint, received_ms in self._received_ms_by_blamed.items()
        ]
        for expired in listed:
            if expired.age_ms >= BLAME_MS:
                self._received_ms_by_blamed.pop(expired.fingerprint)
        return sorted(
            (entry for entry in listed if entry.age_ms < BLAME_MS),
            key=lambda entry: entry.age_ms,
        )

    def has_counted(self, fingerprint: int) -> bool:
        """Tell whether this host has counted a crash under the request."""
        return fingerprint in self._crashes_by_fingerprint

    def crashes_of(self, fingerprint: int) -> Crashes:
        """Return the crashes under a request that the hosts have counted."""
        reported = sum(
            process.crashes.get(fingerprint, 0)
            for process in self._reported_by_process.values()
        )
        own = self._crashes_by_fingerprint.get(fingerprint, 0)
        return Crashes(own, reported)

    def is_refused(self, fingerprint: int, now_ms: int) -> bool:
        """Tell whether a request that was received now is blamed."""
        received_ms = self._received_ms_by_blamed.get(fingerprint)
        if received_ms is None or received_ms <= now_ms - BLAME_MS:
            return False
        self._received_ms_by_blamed[fingerprint] = now_ms
        return True

    def _blame_counted(self, fingerprints: Iterable[int], now_ms: int) -> None:
        for fingerprint in fingerprints:
            if sum(self.crashes_of(fingerprint)) >= REFUSE_AFTER:
                self._received_ms_by_blamed.setdefault(fingerprint, now_ms)

    def _drop_old_reports(self, now_ms: int) -> None:
        old = [
            process
            for process, reported in self._reported_by_process.items()
            if reported.at_ms < now_ms - BLAME_MS
        ]
        for process in old:
            self._reported_by_process.pop(process)
