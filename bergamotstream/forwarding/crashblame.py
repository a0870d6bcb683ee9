"""
Crash blame
~~~~~~~~~~~

Finds requests that crash the targets which run them. A broken connection
raises a suspicion, which counts as a crash once the target turns out to be
gone or restarted. Each host adds the counts of its peers to its own.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

# Crashes after which a request is refused; the operators count three.
REFUSE_AFTER: Final = 2
# Time for which counts are kept, and the retry delay of a refused request.
BLAME_MS: Final = 60_000
# A target that is still listed and serves requests after this time did not
# crash: the entry of a crashed one is removed after three missed heartbeats.
CONFIRM_MS: Final = 6_000


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


class CrashBlame:
    """Counts crashes by the fingerprint of the request that ran."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self._suspicions_by_target: dict[str, list[_Suspicion]] = {}
        self._crashes_by_fingerprint: collections.Counter[int] = (
            collections.Counter()
        )
        self._blamed_ms_by_fingerprint: dict[int, int] = {}
        self._counts_by_peer: dict[str, Mapping[int, int]] = {}

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
            self._blamed_ms_by_fingerprint[fingerprint] = now_ms
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
        self._blamed_ms_by_fingerprint.pop(fingerprint, None)

    def update_peer(self, name: str, crashes: Mapping[int, int]) -> bool:
        """Replace the crash counts of a peer; return whether they changed."""
        known = self._counts_by_peer.get(name, {})
        self._counts_by_peer[name] = crashes
        return known != crashes

    def own_counts(self, now_ms: int) -> Iterable[tuple[int, int]]:
        """Return the fingerprints and crash counts of this host."""
        blamed = tuple(self._blamed_ms_by_fingerprint.items())
        for fingerprint, at_ms in blamed:
            if at_ms < now_ms - BLAME_MS:
                self.clear(fingerprint)
        return self._crashes_by_fingerprint.items()

    def crashes_of(self, fingerprint: int) -> Crashes:
        """Return the crashes under a request that the hosts have counted."""
        reported = sum(
            crashes.get(fingerprint, 0)
            for crashes in self._counts_by_peer.values()
        )
        own = self._crashes_by_fingerprint.get(fingerprint, 0)
        return Crashes(own, reported)

    def is_refused(self, fingerprint: int) -> bool:
        """Tell whether the request has crashed too many targets."""
        return sum(self.crashes_of(fingerprint)) >= REFUSE_AFTER
