"""
Crash blame
~~~~~~~~~~~

Finds requests that crash the targets which run them. A request whose target
gives no answer is suspected; the suspicion counts as a crash once the target
turns out to be gone or restarted. Crashes that other hosts have counted are
added, and a request with too many of them is blamed: all hosts refuse it.

Blame outlives the hosts that counted. Each host keeps the counts of peers that
have ended and sends all blamed requests, and the store has a record of each.

Callers may send identical requests, which have one fingerprint. A crashed
target counts once for all of them, and a success of one clears the others.
"""

import collections
import itertools
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

import xxhash

from bergamotstream.forwarding import fleetrecords, fleetview

# Crashes after which a request is refused; the operators count three.
REFUSE_AFTER: Final = 2
# The same, with targets that broke the connection and may have crashed.
REFUSE_AFTER_BROKEN: Final = 3
# Time for which a request is refused after it was last received, and for which
# crashes are counted.
BLAME_MS: Final = 60_000
# A target that is still listed after this time did not crash: the entry of a
# crashed one is removed after three missed heartbeats. Time in which the store
# does not answer is not counted.
CONFIRM_MS: Final = 8_000
# Without an answer of the store for this long, entries may be out of date; a
# quiet store answers a watch every 2.5 s.
STALE_MS: Final = 4_000
# Maximum entries of each kind in a message to peers; the latest ones are sent.
MAX_SHARED: Final = 64
# Maximum requests whose success is remembered.
MAX_SERVED: Final = 8_192
# Time for which peers are told that a request they blame was served.
DISPUTE_MS: Final = 5_000
# Answers that a crashed target sent before it ended are read within this time
# of its reset.
LATE_ANSWER_MS: Final = 100


class Crash(NamedTuple):
    """A run of a target that crashed under a request."""

    fingerprint: int
    # Hash of the target's id and start, the same on all hosts.
    run: int


class _Suspicion(NamedTuple):
    crash: Crash
    at_ms: int
    # False if the target was only silent, as busy ones may be.
    broken: bool


class Crashes(NamedTuple):
    """Targets that have crashed, or may have crashed, under one request."""

    confirmed: int
    # Targets that broke the connection.
    possible: int

    @property
    def are_too_many(self) -> bool:
        """Tell whether the request should be refused."""
        return (
            self.confirmed >= REFUSE_AFTER
            or self.confirmed + self.possible >= REFUSE_AFTER_BROKEN
        )


class Confirmation(NamedTuple):
    """A suspicion whose target has crashed."""

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


class Report(NamedTuple):
    """What the process of a host tells its peers."""

    crashes: frozenset[Crash] = frozenset()
    # Targets that broke the connection and may have crashed.
    broken: frozenset[Crash] = frozenset()
    blamed: tuple[Blamed, ...] = ()
    # Fingerprints that a peer blames and that were served here.
    served: tuple[int, ...] = ()


class _Heard(NamedTuple):
    crashes: frozenset[Crash]
    broken: frozenset[Crash]
    at_ms: int


class CrashBlame:
    """Counts crashes by the fingerprint of the request that ran."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self._suspicions_by_target: dict[str, list[_Suspicion]] = {}
        self._counted_ms_by_crash: dict[Crash, int] = {}
        self._heard_by_process: dict[PeerProcess, _Heard] = {}
        self._received_ms_by_blamed: dict[int, int] = {}
        self._served_ms_by_fingerprint: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._disputed_ms_by_fingerprint: dict[int, int] = {}
        # Until when the entries of targets were out of date.
        self._stale_until_ms = fleetview.NEVER_MS

    def record_store_answer(self, answered_ms: int, now_ms: int) -> None:
        """Record when the store last answered this host or a peer."""
        if now_ms - answered_ms > STALE_MS:
            self._stale_until_ms = now_ms

    def suspect(
        self,
        target: fleetrecords.TargetEntry,
        fingerprint: int,
        now_ms: int,
        *,
        broken: bool,
    ) -> None:
        """Record a request whose target gave no answer.

        ``broken`` tells whether the target ended the connection.
        """
        listed = self._suspicions_by_target.setdefault(target.target_id, [])
        crash = Crash(fingerprint, _run_of(target))
        listed.append(_Suspicion(crash, now_ms, broken))
        self._blame_counted((crash,), now_ms)

    def confirm(self, target_id: str, now_ms: int) -> list[Confirmation]:
        """Count the suspicions of a target that crashed; return them."""
        suspicions = self._suspicions_by_target.pop(target_id, [])
        recent = {
            suspicion.crash
            for suspicion in suspicions
            if self._is_open(suspicion, now_ms)
        }
        self._counted_ms_by_crash |= dict.fromkeys(recent, now_ms)
        self._blame_counted(recent, now_ms)
        return [
            Confirmation(
                suspicion.crash.fingerprint,
                now_ms - suspicion.at_ms,
                counted=suspicion.crash in recent,
            )
            for suspicion in suspicions
        ]

    def clear_target(
        self, target_id: str, placed_ms: int, now_ms: int
    ) -> list[int]:
        """Drop the suspicions since a request that is served now was placed.

        The target has not restarted in that time. A later success under the
        same id may come from its next run. Returns the fingerprints of the
        dropped suspicions.
        """
        listed = self._suspicions_by_target.get(target_id)
        if not listed:
            return []
        cleared = [
            suspicion
            for suspicion in listed
            if placed_ms < suspicion.at_ms <= now_ms - LATE_ANSWER_MS
        ]
        self._suspicions_by_target[target_id] = [
            suspicion for suspicion in listed if suspicion not in cleared
        ]
        return [suspicion.crash.fingerprint for suspicion in cleared]

    def record_served(self, fingerprint: int, now_ms: int) -> None:
        """Lift the blame of a request; it is not blamed for ``BLAME_MS``."""
        if self._lift_blame(fingerprint, now_ms):
            self._disputed_ms_by_fingerprint[fingerprint] = now_ms

    def apply_report(
        self, process: PeerProcess, report: Report, now_ms: int
    ) -> list[int]:
        """Apply the report of a peer's process; return new blamed requests.

        The crashes of its earlier processes are kept for ``BLAME_MS``.
        """
        for served in report.served:
            self._lift_blame(served, now_ms)
        known = set(self._received_ms_by_blamed)
        self._apply_crashes(
            process, _Heard(report.crashes, report.broken, now_ms)
        )
        self.blame(report.blamed, now_ms)
        return list(self._received_ms_by_blamed.keys() - known)

    def blame(self, listed: Iterable[Blamed], now_ms: int) -> bool:
        """Blame requests as a peer or a record does; tell if any is new."""
        added = False
        for entry in listed:
            if self._is_served(entry.fingerprint, now_ms):
                self._disputed_ms_by_fingerprint[entry.fingerprint] = now_ms
            elif entry.age_ms < BLAME_MS:
                added |= self._blame_one(
                    entry.fingerprint, now_ms - entry.age_ms
                )
        return added

    def report(self, now_ms: int) -> Report:
        """Return what peers should know; old entries are dropped."""
        self._drop_expired(now_ms)
        return Report(
            frozenset(tuple(self._counted_ms_by_crash)[-MAX_SHARED:]),
            frozenset(tuple(self._open_broken(now_ms))[-MAX_SHARED:]),
            tuple(self.blamed(now_ms)[:MAX_SHARED]),
            tuple(self._disputed_ms_by_fingerprint)[-MAX_SHARED:],
        )

    def blamed(self, now_ms: int) -> list[Blamed]:
        """Return the blamed requests, beginning with the latest."""
        listed = [
            Blamed(fingerprint, now_ms - received_ms)
            for fingerprint, received_ms in self._received_ms_by_blamed.items()
        ]
        return sorted(
            (entry for entry in listed if entry.age_ms < BLAME_MS),
            key=lambda entry: entry.age_ms,
        )

    def own_crashes_of(self, fingerprint: int, now_ms: int) -> Crashes:
        """Return the crashes under a request that this host has seen."""
        confirmed = _runs_under(fingerprint, self._counted_ms_by_crash)
        broken = _runs_under(fingerprint, self._open_broken(now_ms))
        return Crashes(len(confirmed), len(broken - confirmed))

    def crashes_of(self, fingerprint: int, now_ms: int) -> Crashes:
        """Return how many targets have crashed under a request."""
        heard = self._heard_by_process.values()
        counted = _runs_under(
            fingerprint,
            self._counted_ms_by_crash,
            *(process.crashes for process in heard),
        )
        broken = _runs_under(
            fingerprint,
            self._open_broken(now_ms),
            *(process.broken for process in heard),
        )
        return Crashes(len(counted), len(broken - counted))

    def is_refused(self, fingerprint: int, now_ms: int) -> bool:
        """Tell whether a request that was received now is blamed."""
        received_ms = self._received_ms_by_blamed.get(fingerprint)
        if received_ms is None or received_ms <= now_ms - BLAME_MS:
            return False
        self._received_ms_by_blamed[fingerprint] = now_ms
        return True

    def _blame_counted(self, crashes: Iterable[Crash], now_ms: int) -> None:
        for crash in crashes:
            fingerprint = crash.fingerprint
            if self._is_served(fingerprint, now_ms):
                continue
            if self.crashes_of(fingerprint, now_ms).are_too_many:
                self._received_ms_by_blamed.setdefault(fingerprint, now_ms)

    def _apply_crashes(self, process: PeerProcess, heard: _Heard) -> None:
        nothing = _Heard(frozenset(), frozenset(), 0)
        known = self._heard_by_process.get(process, nothing)
        if any((heard.crashes, heard.broken, known.crashes, known.broken)):
            self._heard_by_process[process] = heard
            self._drop_old_reports(heard.at_ms)
        added = heard.crashes | heard.broken
        added -= known.crashes | known.broken
        self._blame_counted(added, heard.at_ms)

    def _lift_blame(self, fingerprint: int, now_ms: int) -> bool:
        """Remember a success; return whether the request was blamed."""
        self._served_ms_by_fingerprint[fingerprint] = now_ms
        self._served_ms_by_fingerprint.move_to_end(fingerprint)
        if len(self._served_ms_by_fingerprint) > MAX_SERVED:
            self._served_ms_by_fingerprint.popitem(last=False)
        return self._received_ms_by_blamed.pop(fingerprint, None) is not None

    def _blame_one(self, fingerprint: int, received_ms: int) -> bool:
        known_ms = self._received_ms_by_blamed.get(fingerprint)
        self._received_ms_by_blamed[fingerprint] = max(
            known_ms or received_ms, received_ms
        )
        return known_ms is None

    def _open_broken(self, now_ms: int) -> Iterator[Crash]:
        for suspicions in self._suspicions_by_target.values():
            for suspicion in suspicions:
                if suspicion.broken and self._is_open(suspicion, now_ms):
                    yield suspicion.crash

    def _is_open(self, suspicion: _Suspicion, now_ms: int) -> bool:
        """Tell whether the entry of a crashed target may still be listed."""
        counts_from_ms = max(suspicion.at_ms, self._stale_until_ms)
        return counts_from_ms > now_ms - CONFIRM_MS

    def _is_served(self, fingerprint: int, now_ms: int) -> bool:
        served_ms = self._served_ms_by_fingerprint.get(fingerprint)
        return served_ms is not None and served_ms > now_ms - BLAME_MS

    def _drop_expired(self, now_ms: int) -> None:
        _drop_before(self._counted_ms_by_crash, now_ms - BLAME_MS)
        _drop_before(self._received_ms_by_blamed, now_ms - BLAME_MS)
        self._drop_old_suspicions(now_ms)
        _drop_before(self._disputed_ms_by_fingerprint, now_ms - DISPUTE_MS)

    def _drop_old_suspicions(self, now_ms: int) -> None:
        for target_id, listed in tuple(self._suspicions_by_target.items()):
            if all(entry.at_ms <= now_ms - BLAME_MS for entry in listed):
                self._suspicions_by_target.pop(target_id)

    def _drop_old_reports(self, now_ms: int) -> None:
        old = [
            process
            for process, heard in self._heard_by_process.items()
            if heard.at_ms < now_ms - BLAME_MS
        ]
        for process in old:
            self._heard_by_process.pop(process)


def _run_of(target: fleetrecords.TargetEntry) -> int:
    name = f'{target.target_id} {target.started_ms}'
    return xxhash.xxh3_64_intdigest(name.encode())


def _runs_under(
    fingerprint: int, *crash_sets: Iterable[Crash]
) -> frozenset[int]:
    return frozenset(
        crash.run
        for crash in itertools.chain(*crash_sets)
        if crash.fingerprint == fingerprint
    )


def _drop_before(times_by_key: dict[Any, int], limit_ms: int) -> None:
    for key, at_ms in tuple(times_by_key.items()):
        if at_ms <= limit_ms:
            times_by_key.pop(key)
