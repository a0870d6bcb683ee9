"""
Crash counts
~~~~~~~~~~~~

Counts the runs of targets that crashed under a fingerprint. A run is the time
from a target's start to its end. A target that gives no answer is suspected;
the suspicion counts as a crash once the target turns out to be gone or
restarted. The counts of peers are added, also those of processes that have
ended.
"""

import bisect
import itertools
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sized,
)
from typing import Final, NamedTuple

import xxhash

from bergamotstream.forwarding import fingerprints, fleetrecords, fleetview

# Time for which suspicions and the counts of a process that has ended are kept.
MEMORY_MS: Final = 60_000
# A target that is still listed after this time did not crash: the entry of a
# crashed one is removed after three missed heartbeats. Time in which the store
# does not answer is not counted.
CONFIRM_MS: Final = 8_000
# Without an answer of the store for this long, entries may be out of date; a
# quiet store answers a watch every 2.5 s.
STALE_MS: Final = 4_000
# Maximum crashes of each kind in a message to peers.
MAX_SHARED: Final = 64
# Maximum runs of one fingerprint among them: more than lead to blame, as they
# also explain the crashes of other requests.
MAX_SHARED_RUNS: Final = 16
# Maximum fingerprints with crashes, and suspicions of one target; callers may
# invent any number of parts.
MAX_COUNTED: Final = 1_024
MAX_SUSPICIONS: Final = 512
# Answers that a crashed target sent before it ended are read within this time
# of its reset.
LATE_ANSWER_MS: Final = 100


class Limits(NamedTuple):
    """When fingerprints of one kind are blamed."""

    # Crashed targets, and the same with targets that broke the connection and
    # may have crashed.
    confirmed: int
    suspected: int
    # The same, after which a broken request is not sent to another target.
    retried: int
    # Time for which crashes are counted, and for which an answer clears a part
    # or is weighed against the crashes of a request.
    counted_ms: int
    served_ms: int


# The operators count three crashes under a request, and five under a part.
REQUEST_LIMITS: Final = Limits(
    confirmed=2,
    suspected=3,
    retried=3,
    counted_ms=60_000,
    served_ms=60_000,
)
PART_LIMITS: Final = Limits(
    confirmed=4,
    suspected=4,
    retried=2,
    counted_ms=600_000,
    served_ms=10_000,
)


class Crash(NamedTuple):
    """A run of a target that crashed under a fingerprint."""

    fingerprint: int
    # Hash of the target's id and start, the same on all hosts.
    run: int


class _Suspicion(NamedTuple):
    crash: Crash
    at_ms: int
    # False if the target was only silent, as busy ones may be, or if the link
    # may have broken.
    broken: bool
    # Whether the target may turn out to have broken it.
    is_unproved: bool = False


class Crashes(NamedTuple):
    """Targets that crashed, or may have crashed, under one fingerprint."""

    confirmed: int
    # Targets that broke the connection.
    possible: int

    def exceed(self, limits: Limits) -> bool:
        """Tell whether the fingerprint should be refused."""
        return (
            self.confirmed >= limits.confirmed
            or self.confirmed + self.possible >= limits.suspected
        )


class _Runs(NamedTuple):
    """Runs of targets under one fingerprint."""

    confirmed: set[int]
    # Runs that broke the connection and may have crashed.
    possible: set[int]

    def count_without(self, excluded: Collection[int]) -> Crashes:
        """Return the number of runs that are not excluded."""
        confirmed = self.confirmed.difference(excluded)
        possible = self.possible.difference(excluded, self.confirmed)
        return Crashes(len(confirmed), len(possible))


class Confirmation(NamedTuple):
    """A suspicion whose target has crashed."""

    fingerprint: int
    age_ms: int
    # False if the suspicion was too old to be counted as a crash.
    counted: bool


class PeerProcess(NamedTuple):
    """One process of a peer."""

    name: str
    incarnation: int


class SeenCrashes(NamedTuple):
    """The crashes that one process has seen."""

    crashes: frozenset[Crash] = frozenset()
    # Targets that broke the connection and may have crashed.
    broken: frozenset[Crash] = frozenset()

    def fingerprints(self) -> frozenset[int]:
        """Return the fingerprints of all crashes."""
        return frozenset(crash.fingerprint for crash in itertools.chain(*self))


class _Received(NamedTuple):
    heard: SeenCrashes
    fingerprints: frozenset[int]
    at_ms: int


class Rank(NamedTuple):
    """Order in which fingerprints explain the runs of others."""

    runs: int
    # Those that are served more often are less likely to be the cause.
    negated_successes: int
    is_request: bool


class Evidence:
    """The runs under some fingerprints, and those that others explain.

    Requests that run beside a crashing one crash with it. The crashing one has
    more runs than each of them, since it is in all of its crashes. If a request
    has as many as one of its parts, the request is repeated.
    """

    def __init__(
        self,
        runs_by_fingerprint: Mapping[int, _Runs],
        successes_of: Callable[[int], int],
    ) -> None:
        """Start without an explanation."""
        self._runs_by_fingerprint = runs_by_fingerprint
        self._successes_of = successes_of
        # Runs that are accounted for, by ascending rank.
        self._explaining: list[tuple[Rank, frozenset[int]]] = []

    def explain_by(self, fingerprint: int) -> None:
        """Let a fingerprint account for all runs under it."""
        runs = self._runs_by_fingerprint[fingerprint]
        together = frozenset(runs.confirmed | runs.possible)
        rank = self.rank_of(fingerprint)
        bisect.insort(self._explaining, (rank, together), key=_first)

    def counted(self, fingerprint: int) -> Crashes:
        """Return all crashes under a fingerprint."""
        return self._runs_by_fingerprint[fingerprint].count_without(())

    def unexplained(self, fingerprint: int) -> Crashes:
        """Return the crashes that no other fingerprint accounts for."""
        runs = self._runs_by_fingerprint[fingerprint]
        start = bisect.bisect_right(
            self._explaining, self.rank_of(fingerprint), key=_first
        )
        others = [together for _, together in self._explaining[start:]]
        return runs.count_without(frozenset().union(*others))

    def rank_of(self, fingerprint: int) -> Rank:
        """Return the rank of a fingerprint; higher ones explain lower ones."""
        return Rank(
            sum(self.counted(fingerprint)),
            negated_successes=-self._successes_of(fingerprint),
            is_request=not fingerprints.is_part(fingerprint),
        )


def _no_successes(_fingerprint: int) -> int:
    return 0


class CrashCounts:
    """The crashes that this host and its peers have seen."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self._suspicions_by_target: dict[str, list[_Suspicion]] = {}
        # For each fingerprint the crashed runs, with the time of the count.
        self._runs_by_fingerprint: dict[int, dict[int, int]] = {}
        self._received_by_process: dict[PeerProcess, _Received] = {}
        # Until when the entries of targets were out of date.
        self._stale_until_ms = fleetview.NEVER_MS

    def record_store_answer(self, answered_ms: int, now_ms: int) -> None:
        """Record when the store last answered this host or a peer."""
        if now_ms - answered_ms > STALE_MS:
            self._stale_until_ms = now_ms

    def suspect(
        self,
        target: fleetrecords.TargetEntry,
        suspects: Iterable[int],
        now_ms: int,
        *,
        broken: bool,
        is_unproved: bool = False,
    ) -> list[Crash]:
        """Record the fingerprints of a request whose target gave no answer.

        ``broken`` tells whether the target ended the connection, or may have
        done so if it ``is_unproved``. Returns the crashes that are suspected.
        """
        run = _run_of(target)
        crashes = [Crash(fingerprint, run) for fingerprint in suspects]
        listed = self._suspicions_by_target.setdefault(target.target_id, [])
        listed.extend(
            _Suspicion(crash, now_ms, broken and not is_unproved, is_unproved)
            for crash in crashes
        )
        self._suspicions_by_target[target.target_id] = listed[-MAX_SUSPICIONS:]
        return crashes

    def settle(self, target_id: str, *, broken: bool) -> set[int]:
        """Settle whether a target broke its connections, or the link did.

        Returns the fingerprints of the requests on them.
        """
        listed = self._suspicions_by_target.get(target_id)
        if not listed:
            return set()
        self._suspicions_by_target[target_id] = [
            _settle(suspicion, broken=broken) for suspicion in listed
        ]
        return {
            suspicion.crash.fingerprint
            for suspicion in listed
            if suspicion.is_unproved
        }

    def confirm(self, target_id: str, now_ms: int) -> list[Confirmation]:
        """Count the suspicions of a target that crashed; return them."""
        suspicions = self._suspicions_by_target.pop(target_id, [])
        recent = {
            suspicion.crash
            for suspicion in suspicions
            if self._is_open(suspicion, now_ms)
        }
        for crash in recent:
            runs = self._runs_by_fingerprint.setdefault(crash.fingerprint, {})
            runs[crash.run] = now_ms
        self._drop_excess_counts()
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

    def forget(self, fingerprint: int, until_ms: int) -> None:
        """Drop the crashes under a fingerprint counted by ``until_ms``."""
        runs = self._runs_by_fingerprint.get(fingerprint)
        if runs is None:
            return
        drop_before(runs, until_ms)
        if not runs:
            self._runs_by_fingerprint.pop(fingerprint)

    def is_known(self, fingerprint: int) -> bool:
        """Tell whether a crash under a fingerprint was counted or heard of."""
        return fingerprint in self._runs_by_fingerprint or any(
            fingerprint in received.fingerprints
            for received in self._received_by_process.values()
        )

    def hear(
        self, process: PeerProcess, heard: SeenCrashes, now_ms: int
    ) -> frozenset[Crash]:
        """Replace what a peer's process has seen; return what is new."""
        received = self._received_by_process.get(process)
        known = received.heard if received else SeenCrashes()
        if any((*heard, *known)):
            self._received_by_process[process] = _Received(
                heard, heard.fingerprints(), now_ms
            )
            self._drop_old_reports(now_ms)
        return (heard.crashes | heard.broken) - known.crashes - known.broken

    def seen(self, now_ms: int) -> SeenCrashes:
        """Return the crashes seen here that peers should know."""
        return SeenCrashes(
            frozenset(_most_crashed(self._runs_by_fingerprint)),
            frozenset(_most_crashed(_runs_of(self._open_broken(now_ms)))),
        )

    def own_crashes_of(self, fingerprint: int, now_ms: int) -> Crashes:
        """Return the crashes under a fingerprint that this host has seen."""
        runs = self._own_runs((fingerprint,), now_ms)
        return runs[fingerprint].count_without(())

    def crashes_of(self, fingerprint: int, now_ms: int) -> Crashes:
        """Return how many targets have crashed under a fingerprint."""
        return self.evidence((fingerprint,), now_ms).counted(fingerprint)

    def evidence(
        self,
        wanted: Iterable[int],
        now_ms: int,
        successes_of: Callable[[int], int] = _no_successes,
        *,
        with_unproved: bool = False,
    ) -> Evidence:
        """Return the runs under fingerprints seen here and by peers."""
        runs_by_fingerprint = self._own_runs(wanted, now_ms)
        if with_unproved:
            for crash in self._open_unproved(now_ms):
                _add_run(runs_by_fingerprint, crash, confirmed=False)
        for received in self._received_by_process.values():
            for crash in received.heard.crashes:
                _add_run(runs_by_fingerprint, crash, confirmed=True)
            for broken in received.heard.broken:
                _add_run(runs_by_fingerprint, broken, confirmed=False)
        return Evidence(runs_by_fingerprint, successes_of)

    def drop_expired(self, now_ms: int) -> None:
        """Drop the crashes and suspicions that no longer count."""
        for fingerprint, runs in tuple(self._runs_by_fingerprint.items()):
            drop_before(runs, now_ms - limits_of(fingerprint).counted_ms)
            if not runs:
                self._runs_by_fingerprint.pop(fingerprint)
        for target_id, listed in tuple(self._suspicions_by_target.items()):
            if all(entry.at_ms <= now_ms - MEMORY_MS for entry in listed):
                self._suspicions_by_target.pop(target_id)

    def _own_runs(self, wanted: Iterable[int], now_ms: int) -> dict[int, _Runs]:
        runs_by_fingerprint = {
            fingerprint: _Runs(
                set(self._runs_by_fingerprint.get(fingerprint, ())), set()
            )
            for fingerprint in wanted
        }
        for crash in self._open_broken(now_ms):
            _add_run(runs_by_fingerprint, crash, confirmed=False)
        return runs_by_fingerprint

    def _open_broken(self, now_ms: int) -> Iterator[Crash]:
        for suspicions in self._suspicions_by_target.values():
            for suspicion in suspicions:
                if suspicion.broken and self._is_open(suspicion, now_ms):
                    yield suspicion.crash

    def _open_unproved(self, now_ms: int) -> Iterator[Crash]:
        for suspicions in self._suspicions_by_target.values():
            for suspicion in suspicions:
                if suspicion.is_unproved and self._is_open(suspicion, now_ms):
                    yield suspicion.crash

    def _is_open(self, suspicion: _Suspicion, now_ms: int) -> bool:
        """Tell whether the entry of a crashed target may still be listed."""
        counts_from_ms = max(suspicion.at_ms, self._stale_until_ms)
        return counts_from_ms > now_ms - CONFIRM_MS

    def _drop_excess_counts(self) -> None:
        """Drop the half with the fewest crashes, the oldest first."""
        if len(self._runs_by_fingerprint) <= MAX_COUNTED:
            return
        kept = sorted(
            reversed(self._runs_by_fingerprint.items()),
            key=_number_of_runs,
            reverse=True,
        )[: MAX_COUNTED // 2]
        self._runs_by_fingerprint = dict(reversed(kept))

    def _drop_old_reports(self, now_ms: int) -> None:
        old = [
            process
            for process, received in self._received_by_process.items()
            if received.at_ms < now_ms - MEMORY_MS
        ]
        for process in old:
            self._received_by_process.pop(process)


def limits_of(fingerprint: int) -> Limits:
    """Return the limits of a fingerprint's kind."""
    return PART_LIMITS if fingerprints.is_part(fingerprint) else REQUEST_LIMITS


def drop_before(times_by_key: dict[int, int], limit_ms: int) -> None:
    """Drop the entries whose time is not after ``limit_ms``."""
    for key, at_ms in tuple(times_by_key.items()):
        if at_ms <= limit_ms:
            times_by_key.pop(key)


def _run_of(target: fleetrecords.TargetEntry) -> int:
    name = f'{target.target_id} {target.started_ms}'
    return xxhash.xxh3_64_intdigest(name.encode())


def _settle(suspicion: _Suspicion, *, broken: bool) -> _Suspicion:
    if not suspicion.is_unproved:
        return suspicion
    return suspicion._replace(broken=broken, is_unproved=False)


def _first(entry: tuple[Rank, frozenset[int]]) -> Rank:
    return entry[0]


def _add_run(
    runs_by_fingerprint: Mapping[int, _Runs], crash: Crash, *, confirmed: bool
) -> None:
    """Add a run that crashed under one of the given fingerprints."""
    runs = runs_by_fingerprint.get(crash.fingerprint)
    if runs is not None:
        (runs.confirmed if confirmed else runs.possible).add(crash.run)


def _runs_of(crashes: Iterable[Crash]) -> dict[int, list[int]]:
    runs_by_fingerprint: dict[int, list[int]] = {}
    for crash in crashes:
        runs_by_fingerprint.setdefault(crash.fingerprint, []).append(crash.run)
    return runs_by_fingerprint


def _number_of_runs(entry: tuple[int, Sized]) -> int:
    return len(entry[1])


def _most_crashed(
    runs_by_fingerprint: Mapping[int, Collection[int]],
) -> list[Crash]:
    """Return the crashes that peers should know first.

    Those with one crash only, as invented parts have, come last.
    """
    latest_first = reversed(tuple(runs_by_fingerprint.items()))
    by_runs = sorted(latest_first, key=_number_of_runs, reverse=True)
    listed = (
        Crash(fingerprint, run)
        for fingerprint, runs in by_runs
        for run in tuple(runs)[-MAX_SHARED_RUNS:]
    )
    return list(itertools.islice(listed, MAX_SHARED))
