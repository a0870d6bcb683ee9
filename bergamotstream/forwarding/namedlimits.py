"""
Named limits
~~~~~~~~~~~~

Request rates that targets in need name in their answers. A limit holds for all
hosts together. Hosts tell each other the limits that they were told and when
they sent requests to the limited targets, and count the sum.

Messages may be late or lost, so two bounds hold without them: only some hosts
send to a limited target, and each of them only a share of its limit.
"""

import math
from collections.abc import Collection, Iterable, Iterator
from typing import Final, NamedTuple

from bergamotstream.forwarding import (
    fleetrecords,
    fleetview,
    rendezvous,
    sharedlimits,
)

# Time over which requests are counted; the operators' bound uses the same.
WINDOW_MS: Final = 4_000
MS_PER_S: Final = 1_000
# A smaller limit is used as this one: without a request no answer could tell
# that the limit has ended.
MIN_PER_S: Final = 0.1
MAX_PER_S: Final = 100_000.0
# Limit of a target that names one which cannot be read and had named no other.
UNREADABLE_PER_S: Final = 1.0
# Hosts that send to a limited target: this number and two for each request a
# second. In a window each may send one request more than its share, and the
# operators allow five and half of the limit in excess.
MIN_SENDERS: Final = 4
SENDERS_PER_RATE: Final = 2
# Time for which peers are told that a limit has ended.
ENDED_MS: Final = 10_000
# Time for which a run is remembered after its entry has gone.
UNLISTED_MS: Final = 60_000
# Maximum limits in a message to peers, and send times of one target.
MAX_SHARED: Final = 64
MAX_SENT: Final = 256


class Statement(NamedTuple):
    """What a run of a target has said last."""

    # ``None`` if it has named no limit.
    per_s: float | None
    at_ms: int


class LimitReport(NamedTuple):
    """What one host tells its peers of one run of a target."""

    run: fleetrecords.TargetRun
    # ``None`` unless the target has told this host itself.
    statement: Statement | None
    sent_ms: tuple[int, ...]


class Change(NamedTuple):
    """A limit that is new, differs from the one before or has ended."""

    run: fleetrecords.TargetRun
    per_s: float | None
    previous_per_s: float | None
    # Age of the answer that says so.
    age_ms: int


class NamedLimits(sharedlimits.SharedLimit):
    """The limits that targets have named to this host and to its peers."""

    def __init__(self, name: str) -> None:
        """Start without limits on the host ``name``."""
        super().__init__()
        self._name = name
        self._own_by_run: dict[fleetrecords.TargetRun, Statement] = {}
        self._latest_by_run: dict[fleetrecords.TargetRun, Statement] = {}
        self._sent_by_run: dict[fleetrecords.TargetRun, list[int]] = {}
        self._heard_sent_by_run: dict[
            fleetrecords.TargetRun, dict[str, tuple[int, ...]]
        ] = {}

    def record_sent(
        self, target: fleetrecords.TargetEntry, now_ms: int
    ) -> None:
        """Count a request, also to a target that has named no limit yet."""
        run = fleetrecords.run_of(target)
        limit_ms = now_ms - _window_ms(MIN_PER_S)
        recent = [at_ms for at_ms in self._own_sent(run) if at_ms > limit_ms]
        self._sent_by_run[run] = [*recent, now_ms][-MAX_SENT:]

    def record_answer(
        self,
        target: fleetrecords.TargetEntry,
        per_s: float | None,
        placed_ms: int,
        now_ms: int,
    ) -> Change | None:
        """Apply an answer; return what it changes.

        An answer without a limit ends one only if its request was placed
        after the limit was named: answers overtake each other.
        """
        run = fleetrecords.run_of(target)
        known = self._latest_by_run.get(run)
        if per_s is None and (known is None or placed_ms < known.at_ms):
            return None
        said = Statement(per_s, now_ms)
        self._own_by_run[run] = said
        return self._apply(run, said, now_ms)

    def hear(
        self, peer: str, limits: tuple[LimitReport, ...], now_ms: int
    ) -> list[Change]:
        """Replace what a peer has told; return what it changes."""
        changes = []
        for run, statement, sent_ms in limits:
            sent_by_peer = self._heard_sent_by_run.setdefault(run, {})
            sent_by_peer[peer] = sent_ms
            if statement is not None:
                changes.append(self._apply(run, statement, now_ms))
        return [change for change in changes if change is not None]

    def drop_unlisted(
        self, listed: Iterable[fleetrecords.TargetEntry], now_ms: int
    ) -> None:
        """Drop the runs that are no longer listed and long unused.

        An entry may lapse while its target runs, and come back.
        """
        kept = set(map(fleetrecords.run_of, listed))
        for run in tuple(self._sent_by_run.keys() | self._latest_by_run.keys()):
            if run not in kept and self._used_ms(run) <= now_ms - UNLISTED_MS:
                self._own_by_run.pop(run, None)
                self._latest_by_run.pop(run, None)
                self._sent_by_run.pop(run, None)
                self._heard_sent_by_run.pop(run, None)

    def limit_of(self, target: fleetrecords.TargetEntry) -> float | None:
        """Return the limit in requests a second, ``None`` without one."""
        latest = self._latest_by_run.get(fleetrecords.run_of(target))
        return latest.per_s if latest else None

    def wait_ms(
        self,
        target: fleetrecords.TargetEntry,
        peers: Iterable[str],
        now_ms: int,
    ) -> int | None:
        """Return the time until one more request fits, 0 if it does now.

        ``None`` if other hosts send to this target.
        """
        per_s = self.limit_of(target)
        if per_s is None:
            return 0
        per_s = max(per_s, MIN_PER_S)
        senders = MIN_SENDERS + int(SENDERS_PER_RATE * per_s)
        if not self._is_sender(target.target_id, list(peers), senders):
            return None
        window_ms = _window_ms(per_s)
        allowed = max(int(per_s * window_ms / MS_PER_S), 1)
        own_allowed = math.ceil(allowed / min(senders, self._max_hosts))
        run = fleetrecords.run_of(target)
        own_ms = self._own_sent(run)
        all_ms = sorted([*own_ms, *self._heard_sent(run)])
        return max(
            _wait_ms(all_ms, allowed, window_ms, now_ms),
            _wait_ms(all_ms, math.ceil(per_s), MS_PER_S, now_ms),
            _wait_ms(own_ms, own_allowed, window_ms, now_ms),
        )

    def report(self, now_ms: int) -> tuple[LimitReport, ...]:
        """Return what peers should know."""
        reports = (
            LimitReport(
                run, self._own_by_run.get(run), tuple(self._own_sent(run))
            )
            for run, latest in self._latest_by_run.items()
            if latest.per_s is not None or latest.at_ms > now_ms - ENDED_MS
        )
        told = [report for report in reports if any(report[1:])]
        return tuple(told[-MAX_SHARED:])

    def limits(self) -> dict[str, float]:
        """Return the named limits by target id."""
        return {
            run.target_id: latest.per_s
            for run, latest in self._latest_by_run.items()
            if latest.per_s is not None
        }

    def _apply(
        self, run: fleetrecords.TargetRun, said: Statement, now_ms: int
    ) -> Change | None:
        """Apply a statement if it is the latest one of its run."""
        known = self._latest_by_run.get(
            run, Statement(None, fleetview.NEVER_MS)
        )
        if said.at_ms <= known.at_ms:
            return None
        self._latest_by_run[run] = said
        if said.per_s == known.per_s:
            return None
        return Change(run, said.per_s, known.per_s, now_ms - said.at_ms)

    def _used_ms(self, run: fleetrecords.TargetRun) -> int:
        """Return when a run was last sent a request or told a limit."""
        latest = self._latest_by_run.get(run)
        said_ms = latest.at_ms if latest else fleetview.NEVER_MS
        return max(said_ms, *self._own_sent(run)[-1:], fleetview.NEVER_MS)

    def _is_sender(
        self, target_id: str, peers: Collection[str], senders: int
    ) -> bool:
        """Tell whether this host is one of those that may send."""
        if len(peers) < senders:
            return True
        names = (self._name, *peers)
        return self._name in rendezvous.choose(names, target_id, senders)

    def _own_sent(self, run: fleetrecords.TargetRun) -> list[int]:
        return self._sent_by_run.get(run, [])

    def _heard_sent(self, run: fleetrecords.TargetRun) -> Iterator[int]:
        for sent_ms in self._heard_sent_by_run.get(run, {}).values():
            yield from sent_ms


def parse(
    texts: Iterable[str], known_per_s: float | None
) -> tuple[float | None, bool]:
    """Return the limit that the fields of an answer name, and if all are valid.

    The smallest one counts. Fields that cannot be read leave the known limit
    as it is and never mean that there is none.
    """
    listed = list(texts)
    if not listed:
        return None, True
    readable = [parse_number(text) for text in listed]
    valid = [per_s for per_s in readable if per_s is not None]
    all_valid = len(valid) == len(listed) == 1
    if valid:
        return min(*valid, MAX_PER_S), all_valid
    if known_per_s is not None:
        return known_per_s, False
    return UNREADABLE_PER_S, False


def parse_number(text: str) -> float | None:
    """Return a decimal number that is not negative, ``None`` for other text."""
    whole, _, fraction = text.strip().partition('.')
    digits = f'{whole}{fraction}'
    if not (digits.isascii() and digits.isdecimal()):
        return None
    return float(text)


def _window_ms(per_s: float) -> int:
    """Return the window of a limit, in which at least one request fits."""
    return max(WINDOW_MS, math.ceil(MS_PER_S / per_s))


def _wait_ms(
    sent_ms: list[int], allowed: int, window_ms: int, now_ms: int
) -> int:
    """Return the time until fewer than ``allowed`` are in the window."""
    if len(sent_ms) < allowed:
        return 0
    return max(sent_ms[-allowed] + window_ms - now_ms, 0)
