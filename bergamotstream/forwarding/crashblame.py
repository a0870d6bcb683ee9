"""
Crash blame
~~~~~~~~~~~

Refuses requests, and parts of prompts, that crash the targets which run them. A
fingerprint with too many crashes is blamed: all hosts refuse the requests that
have it. Blame outlives the hosts that counted: each host sends all blamed
fingerprints to its peers, and the store has a record of each.

Many requests may have one fingerprint, as callers send identical ones and
requests share parts. A crashed target counts once for all of them. An answer
to one clears a part; answers to identical requests are weighed against the
crashes. A crash takes all requests of its target with it, so crashes that a
blamed fingerprint explains do not count against others, and now and then one
request with a blamed part is sent to find out whether it still crashes.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from bergamotstream.forwarding import (
    answeredparts,
    crashcounts,
    fingerprints,
    fleetrecords,
    fleetview,
    servedcounts,
)

# Time for which a fingerprint is refused after it was last received.
BLAME_MS: Final = 60_000
# Maximum blamed and disputed fingerprints in a message to peers.
MAX_SHARED: Final = 64
# Time from the blame of a part to its first trial; each next one comes after
# four times as long.
FIRST_TRIAL_MS: Final = 30_000
TRIAL_BACKOFF: Final = 4
# Time for which peers are told that a fingerprint they blame or suspect was
# served.
DISPUTE_MS: Final = 5_000
# Time after a part is blamed by a peer in which hosts that had an answer lately
# wait for the next one before they refuse it too.
DOUBT_MS: Final = 1_000


class Blamed(NamedTuple):
    """A refused fingerprint, and the time since it was last received."""

    fingerprint: int
    age_ms: int
    # The crashes that led to the blame, 0 if they are not known.
    crashes: int = 0
    # The time since the blame began; 0 if it is not known.
    since_age_ms: int = 0


class Report(NamedTuple):
    """What the process of a host tells its peers."""

    seen: crashcounts.SeenCrashes = crashcounts.SeenCrashes()
    blamed: tuple[Blamed, ...] = ()
    # Fingerprints that a peer blames or suspects and that were served here.
    served: tuple[servedcounts.Served, ...] = ()


class Change(NamedTuple):
    """A fingerprint that is refused from now on, or no longer."""

    fingerprint: int
    # ``counted`` and ``learned`` begin a blame; ``served``, ``explained`` and
    # ``not_received`` end one.
    reason: str


class _Blame(NamedTuple):
    since_ms: int
    received_ms: int
    crashes: int
    # When this host last sent a request to find out whether it still crashes.
    tried_ms: int = fleetview.NEVER_MS


class CrashBlame:
    """Decides by the counted crashes which fingerprints are refused."""

    def __init__(self) -> None:
        """Start without blame."""
        self.counts = crashcounts.CrashCounts()
        self._blame_by_fingerprint: dict[int, _Blame] = {}
        self._served = servedcounts.ServedCounts()
        self._answered = answeredparts.AnsweredParts()
        self._disputed_ms_by_fingerprint: dict[int, int] = {}
        self._changes: list[Change] = []

    def take_changes(self) -> list[Change]:
        """Return the changes since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def suspect(
        self,
        target: fleetrecords.TargetEntry,
        suspects: Iterable[int],
        now_ms: int,
        *,
        broken: bool,
        unproved_placed_ms: int | None = None,
    ) -> None:
        """Record the fingerprints of a request whose target gave no answer.

        ``broken`` tells whether the target ended the connection. If the link
        may have broken instead, ``unproved_placed_ms`` tells when the request
        was placed, and ``settle`` tells later what was the case.
        """
        suspects = tuple(suspects)
        is_unproved = unproved_placed_ms is not None
        placed_ms = unproved_placed_ms or fleetview.NEVER_MS
        if broken:
            for part in filter(fingerprints.is_part, suspects):
                self._answered.record_broken(part, placed_ms, now_ms)
        crashes = self.counts.suspect(
            target, suspects, now_ms, broken=broken, is_unproved=is_unproved
        )
        self._judge({crash.fingerprint for crash in crashes}, now_ms)

    def settle(self, target_id: str, now_ms: int, *, broken: bool) -> None:
        """Settle whether a target broke its connections, or the link did."""
        settled = self.counts.settle(target_id, broken=broken)
        if broken:
            self._judge(settled, now_ms)

    def confirm(
        self, target_id: str, now_ms: int
    ) -> list[crashcounts.Confirmation]:
        """Count the suspicions of a target that crashed; return them."""
        confirmations = self.counts.confirm(target_id, now_ms)
        counted = {
            entry.fingerprint for entry in confirmations if entry.counted
        }
        self._judge(counted, now_ms)
        return confirmations

    def record_served(self, answered: Iterable[int], now_ms: int) -> None:
        """Record the fingerprints of a request that was answered.

        A part is not blamed for the crashes before. A request stays blamed
        unless its successes outweigh its crashes.
        """
        for fingerprint in answered:
            self._answered.record_answer(fingerprint, now_ms)
            blame = self._blame_by_fingerprint.get(fingerprint)
            crashes = blame.crashes if blame else 0
            is_known = self.counts.is_known(fingerprint)
            if is_known:
                counted = self.counts.crashes_of(fingerprint, now_ms)
                crashes = max(crashes, sum(counted))
            self._served.record(fingerprint, now_ms, crashes)
            self._lift_blame(fingerprint, now_ms)
            if blame or is_known:
                self._disputed_ms_by_fingerprint[fingerprint] = now_ms

    def apply_report(
        self, process: crashcounts.PeerProcess, report: Report, now_ms: int
    ) -> list[int]:
        """Apply the report of a peer's process; return what is newly blamed."""
        self._served.hear(process, report.served, now_ms)
        for served in report.served:
            self._answered.record_answer(
                served.fingerprint, now_ms - served.age_ms
            )
            self._lift_blame(served.fingerprint, now_ms)
        known = set(self._blame_by_fingerprint)
        added = self.counts.hear(process, report.seen, now_ms)
        crashed = {crash.fingerprint for crash in added}
        for part in filter(fingerprints.is_part, crashed):
            self._answered.record_known(part, now_ms)
        self._judge(crashed, now_ms)
        self.blame(report.blamed, now_ms)
        return list(self._blame_by_fingerprint.keys() - known)

    def blame(self, listed: Iterable[Blamed], now_ms: int) -> bool:
        """Blame what a peer or a record does; tell if any is new."""
        current = [entry for entry in listed if entry.age_ms < BLAME_MS]
        unknown = [
            entry
            for entry in current
            if entry.fingerprint not in self._blame_by_fingerprint
        ]
        rejected = self._rejected(unknown, now_ms) if unknown else set()
        for entry in current:
            if entry.fingerprint not in rejected:
                self._blame_one(entry, now_ms)
        return len(unknown) > len(rejected)

    def report(self, now_ms: int) -> Report:
        """Return what peers should know; old entries are dropped."""
        self._drop_expired(now_ms)
        return Report(
            self.counts.seen(now_ms),
            tuple(self.blamed(now_ms)[:MAX_SHARED]),
            tuple(
                self._served.own(fingerprint, now_ms)
                for fingerprint in self.disputed
            ),
        )

    @property
    def disputed(self) -> tuple[int, ...]:
        """Return what a peer blames or suspects and was served here."""
        return tuple(self._disputed_ms_by_fingerprint)[-MAX_SHARED:]

    def blamed(self, now_ms: int) -> list[Blamed]:
        """Return what is blamed, beginning with the latest received."""
        listed = [
            Blamed(
                fingerprint,
                now_ms - blame.received_ms,
                blame.crashes,
                now_ms - blame.since_ms,
            )
            for fingerprint, blame in self._blame_by_fingerprint.items()
        ]
        return sorted(
            (entry for entry in listed if entry.age_ms < BLAME_MS),
            key=lambda entry: entry.age_ms,
        )

    def may_retry(self, suspects: Iterable[int], now_ms: int) -> bool:
        """Tell whether a request that broke may go to another target.

        It may not if it or one of its parts is suspected; the next target would
        probably crash as well. Breaks that may be due to the links count here.
        """
        wanted = {
            suspect
            for suspect in suspects
            if not self._is_cleared_part(suspect, now_ms)
        }
        evidence = self._evidence(wanted, now_ms, with_unproved=True)
        return all(
            sum(evidence.unexplained(suspect))
            < crashcounts.limits_of(suspect).retried
            for suspect in wanted
        )

    def is_refused(self, fingerprint: int, now_ms: int) -> bool:
        """Tell whether a fingerprint that was received now is blamed."""
        blame = self._blame_by_fingerprint.get(fingerprint)
        if blame is None or blame.received_ms <= now_ms - BLAME_MS:
            return False
        self._blame_by_fingerprint[fingerprint] = blame._replace(
            received_ms=now_ms
        )
        return True

    def start_trial(self, fingerprint: int, now_ms: int) -> bool:
        """Tell whether one request with a blamed part may be sent now."""
        blame = self._blame_by_fingerprint.get(fingerprint)
        if blame is None or not fingerprints.is_part(fingerprint):
            return False
        due_ms = _last_trial_due_ms(blame.since_ms, now_ms)
        if due_ms is None or blame.tried_ms >= due_ms:
            return False
        self._blame_by_fingerprint[fingerprint] = blame._replace(
            tried_ms=now_ms
        )
        return True

    def _judge(self, suspects: Iterable[int], now_ms: int) -> None:
        """Blame those with too many crashes; lift what is explained now."""
        wanted = [
            fingerprint
            for fingerprint in suspects
            if not self._is_cleared_part(fingerprint, now_ms)
        ]
        if not wanted:
            return
        evidence = self._evidence(wanted, now_ms)
        wanted.sort(key=evidence.rank_of, reverse=True)
        for fingerprint in wanted:
            is_known = fingerprint in self._blame_by_fingerprint
            crashes = evidence.unexplained(fingerprint)
            if not is_known and self._is_excessive(
                fingerprint, crashes, now_ms
            ):
                self._blame_by_fingerprint[fingerprint] = _Blame(
                    now_ms, now_ms, sum(crashes)
                )
                self._changes.append(Change(fingerprint, 'counted'))
                evidence.explain_by(fingerprint)
        for blamed in tuple(self._blame_by_fingerprint):
            if _is_explained(blamed, evidence):
                self._end_blame(blamed, 'explained')

    def _is_excessive(
        self, fingerprint: int, crashes: crashcounts.Crashes, now_ms: int
    ) -> bool:
        """Tell whether a fingerprint has too many crashes."""
        if self._is_cleared_by_successes(fingerprint, sum(crashes), now_ms):
            return False
        return crashes.exceed(crashcounts.limits_of(fingerprint))

    def _is_cleared_by_successes(
        self, fingerprint: int, crashes: int, now_ms: int
    ) -> bool:
        if fingerprints.is_part(fingerprint):
            return self._is_cleared_part(fingerprint, now_ms)
        return self._served.is_served(
            fingerprint, now_ms
        ) and self._served.outweigh(fingerprint, crashes)

    def _evidence(
        self,
        wanted: Iterable[int],
        now_ms: int,
        *,
        with_unproved: bool = False,
    ) -> crashcounts.Evidence:
        """Return the crashes under fingerprints, explained by the blamed."""
        compared = {*wanted, *self._blame_by_fingerprint}
        evidence = self.counts.evidence(
            compared,
            now_ms,
            self._served.successes,
            with_unproved=with_unproved,
        )
        for blamed in self._blame_by_fingerprint:
            evidence.explain_by(blamed)
        return evidence

    def _rejected(self, listed: Iterable[Blamed], now_ms: int) -> set[int]:
        """Return which of these fingerprints are not blamed here."""
        evidence = self._evidence(
            [entry.fingerprint for entry in listed], now_ms
        )
        rejected = set()
        for entry in listed:
            fingerprint = entry.fingerprint
            crashes = max(sum(evidence.unexplained(fingerprint)), entry.crashes)
            if self._is_cleared_by_successes(
                fingerprint, crashes, now_ms
            ) and not self._is_blamed_since_answer(entry, now_ms):
                self._disputed_ms_by_fingerprint[fingerprint] = now_ms
                rejected.add(fingerprint)
            elif _is_explained(fingerprint, evidence):
                rejected.add(fingerprint)
        return rejected

    def _lift_blame(self, fingerprint: int, now_ms: int) -> None:
        """End the blame of a served fingerprint unless crashes outweigh it."""
        blame = self._blame_by_fingerprint.get(fingerprint)
        if fingerprints.is_part(fingerprint):
            answered_ms = self._served.answered_ms(fingerprint)
            self.counts.forget(fingerprint, answered_ms)
            if blame and answered_ms >= blame.since_ms:
                self._end_blame(fingerprint, 'served')
            return
        if blame is None:
            return
        evidence = self._evidence((fingerprint,), now_ms)
        crashes = max(sum(evidence.unexplained(fingerprint)), blame.crashes)
        if self._is_cleared_by_successes(fingerprint, crashes, now_ms):
            self._end_blame(fingerprint, 'served')

    def _end_blame(self, fingerprint: int, reason: str) -> None:
        """Stop refusing a fingerprint if it is refused."""
        if self._blame_by_fingerprint.pop(fingerprint, None) is not None:
            self._changes.append(Change(fingerprint, reason))

    def _blame_one(self, entry: Blamed, now_ms: int) -> None:
        received_ms = now_ms - entry.age_ms
        blame = self._blame_by_fingerprint.get(entry.fingerprint)
        if blame is None:
            since_ms = now_ms - entry.since_age_ms
            blame = _Blame(since_ms, received_ms, entry.crashes)
            self._changes.append(Change(entry.fingerprint, 'learned'))
        self._blame_by_fingerprint[entry.fingerprint] = blame._replace(
            received_ms=max(blame.received_ms, received_ms),
            crashes=max(blame.crashes, entry.crashes),
        )

    def _is_blamed_since_answer(self, entry: Blamed, now_ms: int) -> bool:
        """Tell whether a part that a peer blames has had no answer since."""
        return (
            fingerprints.is_part(entry.fingerprint)
            and entry.since_age_ms > DOUBT_MS
            and self._served.answered_ms(entry.fingerprint)
            < now_ms - entry.since_age_ms
        )

    def _is_cleared_part(self, fingerprint: int, now_ms: int) -> bool:
        return (
            fingerprints.is_part(fingerprint)
            and self._served.is_served(fingerprint, now_ms)
            and self._served.answered_ms(fingerprint)
            > self._answered.contradicted_ms(fingerprint)
        )

    def _drop_expired(self, now_ms: int) -> None:
        self.counts.drop_expired(now_ms)
        self._served.drop_expired(now_ms)
        self._answered.drop_expired(now_ms)
        crashcounts.drop_before(
            self._disputed_ms_by_fingerprint, now_ms - DISPUTE_MS
        )
        for fingerprint, blame in tuple(self._blame_by_fingerprint.items()):
            if blame.received_ms <= now_ms - BLAME_MS:
                self._end_blame(fingerprint, 'not_received')


def _is_explained(fingerprint: int, evidence: crashcounts.Evidence) -> bool:
    """Tell whether a fingerprint is blamed for crashes of another one."""
    limits = crashcounts.limits_of(fingerprint)
    return evidence.counted(fingerprint).exceed(
        limits
    ) and not evidence.unexplained(fingerprint).exceed(limits)


def _last_trial_due_ms(since_ms: int, now_ms: int) -> int | None:
    """Return when the last trial of a blame was due, ``None`` before it."""
    due_ms = None
    delay_ms = FIRST_TRIAL_MS
    while since_ms + delay_ms <= now_ms:
        due_ms = since_ms + delay_ms
        delay_ms *= TRIAL_BACKOFF
    return due_ms
