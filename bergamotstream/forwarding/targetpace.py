"""
Target pace
~~~~~~~~~~~

Limits the requests in flight at a target that has started, has come back or
answers late, so that a whole share of the load at once does not bring it down
again. The limit follows how the target answers; a sound target soon has none.

The limit is compared with the commitments of all hosts of the cell, so that
hosts share it without messages of their own. Callers pass the time, and write
the returned changes to the log.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from bergamotstream.forwarding import (
    cells,
    commitments,
    exchangerecords,
    fleetrecords,
    fleetview,
    placement,
)

# One request in flight: a target that answers is never idle.
MIN_LIMIT: Final = 1.0
# Answers in time after which a target without trouble has no limit, however
# many slots it has.
FULL_ANSWERS: Final = 24
# Factor of the limit after trouble, at most once a round trip.
CUT_FACTOR: Final = 0.5
# An answer is late after this multiple of its expected time and the slack. The
# forecast lacks work that other hosts place at the same time.
LATE_FACTOR: Final = 3.0
LATE_SLACK_MS: Final = 50
# Late or failed answers in a row that limit a target without a limit: single
# ones come from long prompts beside them, or from the request.
TROUBLE_STREAK: Final = 3
# A run that started less than this ago is new also to a host that has just
# started itself: about the time to read the store and hear the peers.
YOUNG_MS: Final = 5_000
# Weight of one answer in the usual time of a route.
USUAL_WEIGHT: Final = 0.05
# A first request needs time for a second try: two goals, or half of the
# route's timeout if that is shorter.
TRIAL_GOALS: Final = 2
TRIAL_TIMEOUT_SHARE: Final = 0.5
# Part of its goal for which a request waits for paces that grow: half of the
# time after which one without a place is refused.
PACED_WAIT_GOALS: Final = 0.35
# Runs that are remembered.
MAX_RUNS: Final = 8_192
UNREACHABLE: Final = 'unreachable'


class Timing(NamedTuple):
    """How long a target took to answer one request."""

    route: str
    placed_ms: int
    waited_ms: float
    # By the engine's profile; 0 for a plain service, which has none.
    expected_ms: float


class Change(NamedTuple):
    """A pace that is new, differs from the one before or has ended."""

    target: fleetrecords.TargetEntry
    # Requests in flight; ``None`` without a limit.
    limit: int | None
    previous: int | None
    reason: str
    # Answers in time since the last cut.
    answers: int


class _Pace(NamedTuple):
    run: fleetrecords.TargetRun
    limit: float
    # Trouble of requests that were placed up to then is accounted for.
    cut_ms: int
    # Above this limit growth is additive; 0 while nothing has been cut.
    threshold: float = float(0)
    answers: int = 0
    reason: str = ''


class TargetPace:
    """The paces of the targets of one host's cell; times in milliseconds."""

    def __init__(
        self,
        table: commitments.CommitmentTable,
        cell_map: cells.Cells,
        *,
        enabled: bool,
    ) -> None:
        """Start without limits; a disabled one never sets any."""
        self.enabled = enabled
        self._table = table
        self._cells = cell_map
        self._paces_by_id: dict[str, _Pace] = {}
        self._streaks_by_run: dict[fleetrecords.TargetRun, int] = {}
        # Runs that have been listed; the oldest come first. The value tells
        # whether the last entry said that the target is cold.
        self._cold_by_run: dict[fleetrecords.TargetRun, bool] = {}
        self._usual_ms_by_route: dict[str, float] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._decoding_by_peer: dict[str, frozenset[tuple[str, int]]] = {}

    def record_listed(
        self,
        target: fleetrecords.TargetEntry,
        age_ms: int,
        now_ms: int,
        *,
        is_running: bool,
    ) -> Change | None:
        """Limit a run that is new, ``age_ms`` after its start, or cold.

        ``is_running`` tells whether this host had the listing before. A run
        whose entry lapsed and came back is not new: it has kept its state.
        """
        run = fleetrecords.run_of(target)
        was_cold = self._cold_by_run.pop(run, None)
        self._cold_by_run[run] = bool(target.cold_ms)
        if len(self._cold_by_run) > MAX_RUNS:
            self._cold_by_run.pop(next(iter(self._cold_by_run)))
        if was_cold is None and (is_running or 0 <= age_ms < YOUNG_MS):
            return self._restart(target, now_ms, 'new')
        if target.cold_ms and not was_cold:
            return self._restart(target, now_ms, 'cold')
        return None

    def update_zones(
        self, view: fleetview.FleetView, now_ms: int
    ) -> Iterator[Change]:
        """Limit the targets of zones that are back in service."""
        back = self._zones_out - view.zones_out
        self._zones_out = frozenset(view.zones_out)
        for target in view.targets_by_id.values():
            if target.zone in back:
                change = self._restart(target, now_ms, 'zone_back')
                if change is not None:
                    yield change

    def forget(self, target_id: str) -> None:
        """Drop the pace of a target that left."""
        self._paces_by_id.pop(target_id, None)
        for run in tuple(self._streaks_by_run):
            if run.target_id == target_id:
                self._streaks_by_run.pop(run)

    def record_answer(
        self, target: fleetrecords.TargetEntry, timing: Timing, now_ms: int
    ) -> Change | None:
        """Apply the time of an answer."""
        if not self.enabled:
            return None
        if self._is_late(timing):
            return self.record_trouble(target, timing.placed_ms, now_ms, 'late')
        self._streaks_by_run.pop(fleetrecords.run_of(target), None)
        return self._grow(target, timing.placed_ms, now_ms)

    def record_trouble(
        self,
        target: fleetrecords.TargetEntry,
        placed_ms: int,
        now_ms: int,
        reason: str,
    ) -> Change | None:
        """Apply an answer that was late or failed."""
        if self._pace_of(target) is None:
            run = fleetrecords.run_of(target)
            streak = self._streaks_by_run.get(run, 0) + 1
            self._streaks_by_run[run] = streak
            if streak < TROUBLE_STREAK:
                return None
            self._streaks_by_run.pop(run)
        return self.record_refused(target, placed_ms, now_ms, reason)

    def record_refused(
        self,
        target: fleetrecords.TargetEntry,
        placed_ms: int,
        now_ms: int,
        reason: str = 'refused',
    ) -> Change | None:
        """Cut the limit of a target, once for requests that ran together."""
        pace = self._pace_of(target)
        if pace is None:
            load = self._table.loads(now_ms).get(
                target.target_id, commitments.IDLE
            )
            in_flight = max(load.requests + load.helpers, MIN_LIMIT)
            limit = min(in_flight, target.slots)
        elif placed_ms <= pace.cut_ms:
            return None
        else:
            limit = pace.limit
        limit = max(limit * CUT_FACTOR, MIN_LIMIT)
        cut = _Pace(fleetrecords.run_of(target), limit, now_ms, limit)
        return self._replace(target, cut, reason)

    def record_unreachable(
        self, target: fleetrecords.TargetEntry, placed_ms: int, now_ms: int
    ) -> Change | None:
        """Start over with a target that has accepted no connection."""
        pace = self._pace_of(target)
        if pace is not None and placed_ms <= pace.cut_ms:
            return None
        return self._restart(target, now_ms, UNREACHABLE)

    def forgive(self, target: fleetrecords.TargetEntry) -> Change | None:
        """Drop a limit that came from the links of this host."""
        pace = self._pace_of(target)
        if pace is None or pace.reason != UNREACHABLE:
            return None
        return self._replace(target, None, 'links')

    def hear(
        self,
        peer: str,
        placed: Iterable[commitments.Commitment],
        targets_by_id: Mapping[str, fleetrecords.TargetEntry],
        now_ms: int,
    ) -> Iterator[Change]:
        """Count the first tokens in time that a peer's commitments show.

        Without them each of many hosts would need all answers for itself.
        """
        if not self._paces_by_id:
            self._decoding_by_peer.clear()
            return
        known = self._decoding_by_peer.get(peer, frozenset())
        decoding = {
            (entry.target_id, entry.request_hash): entry
            for entry in placed
            if entry.decodes and entry.decoding and entry.context_tokens
        }
        self._decoding_by_peer[peer] = frozenset(decoding)
        for key in decoding.keys() - known:
            entry = decoding[key]
            target = targets_by_id.get(entry.target_id)
            in_time = now_ms - entry.placed_ms <= entry.goal_ms
            if target is not None and in_time:
                change = self._grow(target, entry.placed_ms, now_ms)
                if change is not None:
                    yield change

    def choose_open(
        self,
        candidates: list[placement.Candidate],
        job: exchangerecords.Job,
        now_ms: int,
    ) -> list[placement.Candidate]:
        """Return the targets whose pace allows one more request.

        The first request to a target that has proved nothing yet should have
        time for a second try; others are sent only if they find no place. If
        they are all full, a request that has waited for a part of its goal may
        go to targets at their pace that have a free slot and are not cold by
        their entry: a pace delays requests, but is no reason to refuse one.
        """
        if not self._paces_by_id:
            return candidates
        share = self._heard_share()
        allowed = [
            candidate
            for candidate in candidates
            if self._has_room(candidate, share)
        ]
        if _has_waited(job, now_ms) and not any(map(_has_free_slot, allowed)):
            allowed += [
                candidate
                for candidate in candidates
                if candidate not in allowed and _is_open(candidate)
            ]
        if _has_second_try(job, now_ms):
            return allowed
        proved = [
            candidate
            for candidate in allowed
            if not self._is_trial(candidate.entry)
        ]
        return proved or allowed

    def limits(self) -> dict[str, int]:
        """Return the limits in force by target id."""
        return {
            target_id: int(pace.limit)
            for target_id, pace in self._paces_by_id.items()
        }

    def limit_of(self, target: fleetrecords.TargetEntry) -> int | None:
        """Return the limit of the requests in flight, ``None`` without one."""
        pace = self._pace_of(target)
        return None if pace is None else int(pace.limit)

    def _pace_of(self, target: fleetrecords.TargetEntry) -> _Pace | None:
        pace = self._paces_by_id.get(target.target_id)
        if pace is None or pace.run != fleetrecords.run_of(target):
            return None
        return pace

    def _has_room(self, candidate: placement.Candidate, share: float) -> bool:
        pace = self._pace_of(candidate.entry)
        if pace is None:
            return True
        load = candidate.load
        allowed = max(int(pace.limit * share), MIN_LIMIT)
        return load.requests + load.helpers < allowed

    def _heard_share(self) -> float:
        """Return the share of the cell's hosts whose load is known here.

        A host that hears no peer, as it has just started or is cut off, uses
        its part of the limit only.
        """
        heard = len(list(self._table.peer_names())) + 1
        return min(heard / max(len(self._cells.members), 1), 1)

    def _is_trial(self, target: fleetrecords.TargetEntry) -> bool:
        pace = self._pace_of(target)
        return pace is not None and pace.limit <= MIN_LIMIT and not pace.answers

    def _is_late(self, timing: Timing) -> bool:
        """Tell whether an answer is late, and learn the usual time.

        Late answers count up to their bound: if all targets become slower
        together, the usual time follows and no target is limited for it.
        """
        if timing.expected_ms:
            return timing.waited_ms > _late_ms(timing.expected_ms)
        usual_ms = self._usual_ms_by_route.get(timing.route, timing.waited_ms)
        late_ms = _late_ms(usual_ms)
        learned_ms = min(timing.waited_ms, late_ms)
        self._usual_ms_by_route[timing.route] = usual_ms + USUAL_WEIGHT * (
            learned_ms - usual_ms
        )
        return timing.waited_ms > late_ms

    def _restart(
        self, target: fleetrecords.TargetEntry, now_ms: int, reason: str
    ) -> Change | None:
        run = fleetrecords.run_of(target)
        pace = _Pace(run, MIN_LIMIT, now_ms, reason=reason)
        return self._replace(target, pace, reason)

    def _grow(
        self, target: fleetrecords.TargetEntry, placed_ms: int, now_ms: int
    ) -> Change | None:
        pace = self._pace_of(target)
        if pace is None or placed_ms < pace.cut_ms:
            return None
        step = max(target.slots / FULL_ANSWERS, 1)
        answers = pace.answers + 1
        # A cut counts for as many answers as a target needs from its start.
        if pace.threshold and answers < FULL_ANSWERS:
            if pace.limit >= pace.threshold:
                step /= pace.limit
        grown = pace._replace(limit=pace.limit + step, answers=answers)
        if grown.limit >= target.slots:
            return self._replace(target, None, 'full', answers)
        return self._replace(target, grown, 'in_time')

    def _replace(
        self,
        target: fleetrecords.TargetEntry,
        pace: _Pace | None,
        reason: str,
        answers: int = 0,
    ) -> Change | None:
        """Set or end a pace; return the change if others can see it."""
        if not self.enabled:
            return None
        previous = self.limit_of(target)
        if pace is None:
            self._paces_by_id.pop(target.target_id, None)
        else:
            self._paces_by_id[target.target_id] = pace
            answers = pace.answers
        limit = self.limit_of(target)
        if limit == previous:
            return None
        return Change(target, limit, previous, reason, answers)


def _late_ms(usual_ms: float) -> float:
    return usual_ms * LATE_FACTOR + LATE_SLACK_MS


def _is_open(candidate: placement.Candidate) -> bool:
    """Tell whether a target is not cold and has a free slot."""
    return not candidate.entry.cold_ms and _has_free_slot(candidate)


def _has_free_slot(candidate: placement.Candidate) -> bool:
    load = candidate.load
    return load.requests + load.helpers < candidate.entry.slots


def _has_waited(job: exchangerecords.Job, now_ms: int) -> bool:
    """Tell whether a job has waited for paces for as long as it should."""
    time_ms = min(job.route.goal_ms, job.end_ms - job.arrived_ms)
    return now_ms - job.arrived_ms >= time_ms * PACED_WAIT_GOALS


def _has_second_try(job: exchangerecords.Job, now_ms: int) -> bool:
    """Tell whether a job may be sent again, with time to be answered."""
    route = job.route
    needed_ms = min(
        route.goal_ms * TRIAL_GOALS, route.timeout_ms * TRIAL_TIMEOUT_SHARE
    )
    return route.max_targets > 1 and job.end_ms - now_ms >= needed_ms
