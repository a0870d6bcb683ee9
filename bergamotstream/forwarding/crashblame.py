"""
Crash blame
~~~~~~~~~~~

Finds requests that crash each target which runs them. A broken connection is
a suspicion; it counts once the target is found to be gone or started again.
Hosts add up what each of them has counted.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

# Crashes after which a request is refused; the operators count three.
REFUSE_AFTER: Final = 2
# A refused request is not tried again for this long.
BLAME_MS: Final = 60_000
# A target that is still listed and serves after this time did not crash. Its
# entry is removed after three heartbeats of silence.
CONFIRM_MS: Final = 6_000


class _Suspicion(NamedTuple):
    fingerprint: int
    at_ms: int


class CrashBlame:
    """Crashes by the fingerprint of the request that ran."""

    def __init__(self) -> None:
        """Start without blame."""
        self._suspicions_by_target: dict[str, list[_Suspicion]] = {}
        self._crashes_by_fingerprint: collections.Counter[int] = (
            collections.Counter()
        )
        self._blamed_ms_by_fingerprint: dict[int, int] = {}
        self._counts_by_peer: dict[str, Mapping[int, int]] = {}

    def suspect(self, target_id: str, fingerprint: int, now_ms: int) -> None:
        """Note a request whose target broke off the connection."""
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
        """Drop suspicions before a request that the target has served."""
        listed = self._suspicions_by_target.get(target_id)
        if listed:
            self._suspicions_by_target[target_id] = [
                suspicion for suspicion in listed if suspicion.at_ms > placed_ms
            ]

    def clear(self, fingerprint: int) -> None:
        """Drop the blame of a request that was served."""
        self._crashes_by_fingerprint.pop(fingerprint, None)
        self._blamed_ms_by_fingerprint.pop(fingerprint, None)

    def update_peer(self, name: str, crashes: Mapping[int, int]) -> None:
        """Replace what a peer has counted."""
        self._counts_by_peer[name] = crashes

    def own_counts(self, now_ms: int) -> Iterable[tuple[int, int]]:
        """Return fingerprints and crashes that this host has counted."""
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
