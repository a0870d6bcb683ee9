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

    def confirm(self, target_id: str, now_ms: int) -> int:
        """Count the suspicions of a target that crashed; return how many."""
        recent = [
            suspicion
            for suspicion in self._suspicions_by_target.pop(target_id, [])
            if suspicion.at_ms > now_ms - CONFIRM_MS
        ]
        fingerprints = {suspicion.fingerprint for suspicion in recent}
        for fingerprint in fingerprints:
            self._crashes_by_fingerprint[fingerprint] += 1
            self._blamed_ms_by_fingerprint[fingerprint] = now_ms
        return len(recent)

    def clear_target(self, target_id: str, placed_ms: int) -> None:
        """Drop suspicions up to the placement of a request that was served."""
        listed = self._suspicions_by_target.get(target_id)
        if listed:
            self._suspicions_by_target[target_id] = [
                suspicion for suspicion in listed if suspicion.at_ms > placed_ms
            ]

    def clear(self, fingerprint: int) -> None:
        """Drop the crashes of a request that was served."""
        self._crashes_by_fingerprint.pop(fingerprint, None)
        self._blamed_ms_by_fingerprint.pop(fingerprint, None)

    def update_peer(self, name: str, crashes: Mapping[int, int]) -> None:
        """Replace the crash counts of a peer."""
        self._counts_by_peer[name] = crashes

    def own_counts(self, now_ms: int) -> Iterable[tuple[int, int]]:
        """Return the fingerprints and crash counts of this host."""
        blamed = tuple(self._blamed_ms_by_fingerprint.items())
        for fingerprint, at_ms in blamed:
            if at_ms < now_ms - BLAME_MS:
                self.clear(fingerprint)
        return self._crashes_by_fingerprint.items()

    def is_refused(self, fingerprint: int) -> bool:
        """Tell whether the request has crashed too many targets."""
        reported = sum(
            crashes.get(fingerprint, 0)
            for crashes in self._counts_by_peer.values()
        )
        own = self._crashes_by_fingerprint.get(fingerprint, 0)
        return own + reported >= REFUSE_AFTER
