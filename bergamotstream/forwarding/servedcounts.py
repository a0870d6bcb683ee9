"""
Served counts
~~~~~~~~~~~~~

Counts the successes of requests that are suspected of crashing targets, here
and at peers. Some identical requests may be served while others crash their
targets, so a success is weighed against the crashes and does not erase them.
"""

import collections
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from bergamotstream.forwarding import crashcounts, fleetview

# Maximum fingerprints whose success is remembered.
MAX_SERVED: Final = 16_384
# A request that is also served is refused after this many crashes instead of
# those of its limits: one incident may end three targets at once.
MIN_CRASHES: Final = 4
# With more successes, other causes have ended the targets. Each crash halves
# the successes before it, so this is half as many between two crashes.
CLEARING_SUCCESSES: Final = 32


class Served(NamedTuple):
    """Successes of a fingerprint at one process, since it was suspected."""

    fingerprint: int
    successes: int
    # Time since the last one.
    age_ms: int = 0


class _Successes(NamedTuple):
    at_ms: int
    successes: int
    # The crashes that were known at the last success.
    crashes: int = 0


class ServedCounts:
    """Successes of this host and of its peers by fingerprint."""

    def __init__(self) -> None:
        """Start without a success."""
        self._own_by_fingerprint: collections.OrderedDict[int, _Successes] = (
            collections.OrderedDict()
        )
        self._heard_by_fingerprint: dict[
            int, dict[crashcounts.PeerProcess, _Successes]
        ] = {}

    def record(self, fingerprint: int, now_ms: int, crashes: int) -> None:
        """Record a success of a fingerprint with a number of known crashes.

        Nothing is counted while there are none.
        """
        known = self._own_by_fingerprint.get(fingerprint, _Successes(now_ms, 0))
        successes = 0
        if crashes:
            successes = 1 + (known.successes >> max(crashes - known.crashes, 0))
        self._own_by_fingerprint[fingerprint] = _Successes(
            now_ms, successes, crashes
        )
        self._own_by_fingerprint.move_to_end(fingerprint)
        if len(self._own_by_fingerprint) > MAX_SERVED:
            self._own_by_fingerprint.popitem(last=False)

    def hear(
        self,
        process: crashcounts.PeerProcess,
        served: Iterable[Served],
        now_ms: int,
    ) -> None:
        """Replace the successes of some fingerprints at a peer's process."""
        for entry in served:
            by_process = self._heard_by_fingerprint.setdefault(
                entry.fingerprint, {}
            )
            by_process[process] = _Successes(
                now_ms - entry.age_ms, entry.successes
            )

    def own(self, fingerprint: int, now_ms: int) -> Served:
        """Return the successes here since the fingerprint was suspected."""
        known = self._own_by_fingerprint.get(
            fingerprint, _Successes(fleetview.NEVER_MS, 0)
        )
        age_ms = min(now_ms - known.at_ms, crashcounts.MEMORY_MS)
        return Served(fingerprint, known.successes, age_ms)

    def answered_ms(self, fingerprint: int) -> int:
        """Return the time of the last success here or at a peer."""
        answered = (known.at_ms for known in self._all_known(fingerprint))
        return max(answered, default=fleetview.NEVER_MS)

    def successes(self, fingerprint: int) -> int:
        """Return the successes here and at peers."""
        return sum(known.successes for known in self._all_known(fingerprint))

    def is_served(self, fingerprint: int, now_ms: int) -> bool:
        """Tell whether a fingerprint was served lately, here or at a peer."""
        served_ms = crashcounts.limits_of(fingerprint).served_ms
        return any(
            known.at_ms > now_ms - served_ms
            for known in self._all_known(fingerprint)
        )

    def outweigh(self, fingerprint: int, crashes: int) -> bool:
        """Tell whether the successes of a served fingerprint clear it."""
        if crashes < MIN_CRASHES:
            return True
        return self.successes(fingerprint) >= CLEARING_SUCCESSES

    def drop_expired(self, now_ms: int) -> None:
        """Drop what peers said that no longer counts."""
        for fingerprint in tuple(self._heard_by_fingerprint):
            served_ms = crashcounts.limits_of(fingerprint).served_ms
            recent = {
                process: known
                for process, known in self._heard_by_fingerprint[
                    fingerprint
                ].items()
                if known.at_ms > now_ms - served_ms
            }
            self._heard_by_fingerprint[fingerprint] = recent
            if not recent:
                self._heard_by_fingerprint.pop(fingerprint)

    def _all_known(self, fingerprint: int) -> Iterator[_Successes]:
        own = self._own_by_fingerprint.get(fingerprint)
        if own:
            yield own
        yield from self._heard_by_fingerprint.get(fingerprint, {}).values()
