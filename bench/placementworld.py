"""
Placement world
~~~~~~~~~~~~~~~

Hosts, engines and callers in virtual time. The hosts decide with the product's
scheduler; engines run the passes of the stand-in.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from bench import placementload, virtualtime
from bergamotstream import errors
from bergamotstream.forwarding import (
    commitments,
    exchangerecords,
    fleetrecords,
    hostsettings,
    requesttimes,
    scheduler,
)
from standins import enginepasses

# One way between hosts, and between a host and an engine with its connection.
PEER_DELAY_MS: Final = 5
SEND_DELAY_MS: Final = 8
EVENT_DELAY_MS: Final = 4
PLACE_AGAIN_MS: Final = 50
MS_PER_S: Final = 1_000
# Callers come back once after a refusal.
MAX_ATTEMPTS: Final = 2
HINT_SPREAD: Final = 0.5


class Outcome(NamedTuple):
    """How a request ended; ``first_ms`` and ``pause_ms`` for served ones."""

    arrival: placementload.Arrival
    served: bool
    first_ms: int
    pause_ms: int
    forecast_ms: float

    @property
    def in_time(self) -> bool:
        """Tell whether the answer has its full value."""
        kind = self.arrival.kind
        return (
            self.served
            and self.first_ms <= kind.goal_ms
            and self.pause_ms <= kind.pause_goal_ms
        )

    @property
    def earned(self) -> float:
        """Return what the answer is worth."""
        kind = self.arrival.kind
        if not self.served:
            return 0
        worth = kind.worth if self.in_time else kind.late_worth
        return worth * self.arrival.size

    @property
    def owed(self) -> float:
        """Return what an answer in time is worth."""
        return self.arrival.kind.worth * self.arrival.size


class Fleet(NamedTuple):
    """What a world consists of."""

    service: fleetrecords.Service
    targets: int
    hosts: int
    seed: int


class Open:
    """One request that has not ended."""

    def __init__(self, number: int, arrival: placementload.Arrival) -> None:
        """Start before the first attempt."""
        self.number = number
        self.arrival = arrival
        self.attempts = 0
        self.host = 0
        self.job: exchangerecords.Job | None = None
        self.assignment: exchangerecords.Assignment | None = None
        self.parts_left = 0
        self.first_ms = -1
        self.last_ms = 0
        self.pause_ms = 0
        self.forecast_ms = float(0)

    @property
    def attempt_id(self) -> str:
        """Return the id of the present attempt."""
        return f'{self.number}.{self.attempts}'


class World:
    """Plays one load.

    ``place_delay_ms`` is added to each placement; without
    ``shares_placements`` a host knows only its own.
    """

    def __init__(self, fleet: Fleet, place_delay_ms: int = 0) -> None:
        """Build idle hosts and engines."""
        self.time = virtualtime.VirtualTime()
        self.outcomes: list[Outcome] = []
        self.shares_placements = True
        self.cores = [
            scheduler.Scheduler(
                _settings(f'host-{number}'),
                random.Random(f'{fleet.seed}/{number}'),
            )
            for number in range(fleet.hosts)
        ]
        self._fleet = fleet
        self._place_delay_ms = place_delay_ms
        self._chance = random.Random(fleet.seed)
        self._engines_by_id = {
            f't{number}': enginepasses.EnginePasses(_profile(fleet.service))
            for number in range(fleet.targets)
        }
        self._in_pass: set[str] = set()
        self._open_by_attempt: dict[str, Open] = {}
        self._sequence = 0
        for core in self.cores:
            for target_id in self._engines_by_id:
                core.view.targets_by_id[target_id] = _entry(target_id, fleet)

    def play(self, load: list[placementload.Arrival]) -> list[Outcome]:
        """Return the outcomes of all requests."""
        for number, arrival in enumerate(load):
            opened = Open(number, arrival)
            self.time.call_at(arrival.at_ms, self._attempt, opened)
        longest_ms = max(one.kind.deadline_ms for one in load)
        self.time.run_until(load[-1].at_ms + longest_ms)
        return self.outcomes

    def _attempt(self, opened: Open) -> None:
        opened.attempts += 1
        opened.host = self._chance.randrange(len(self.cores))
        opened.job = self._job(opened)
        self.time.call_after(self._place_delay_ms, self._place, opened)

    def _job(self, opened: Open) -> exchangerecords.Job:
        arrival = opened.arrival
        hint = arrival.answer_tokens * self._chance.lognormvariate(
            0, HINT_SPREAD
        )
        end_ms = arrival.at_ms + arrival.kind.deadline_ms
        return scheduler.make_job(
            exchangerecords.CallerRequest(
                attempt_id=opened.attempt_id,
                method='POST',
                target='/',
                host_name='',
                keys=(),
                deadline_ms=end_ms - self.time.now_ms,
                prompt_tokens=arrival.prompt_tokens,
                prompt_parts=(),
                max_answer_tokens=arrival.answer_tokens * 2,
                length_hint=round(hint),
                last_event_id='',
                headers=(),
            ),
            _route(arrival.kind),
            self._fleet.service,
            None,
            self.time.now_ms,
        )

    def _place(self, opened: Open) -> None:
        core = self.cores[opened.host]
        now_ms = self.time.now_ms
        if opened.job is None:
            return
        try:
            assignment = core.place(opened.job, (), now_ms)
        except errors.ServiceError as error:
            if core.may_wait(opened.job, now_ms):
                self.time.call_after(PLACE_AGAIN_MS, self._place, opened)
            else:
                self._refuse(opened, error.retry_after_ms)
            return
        opened.assignment = assignment
        opened.forecast_ms = assignment.forecast_ms
        self._open_by_attempt[opened.attempt_id] = opened
        self._share(opened.host)
        patience_ms = requesttimes.caller_timeout_ms(
            _route(opened.arrival.kind)
        )
        self.time.call_after(
            patience_ms, self._give_up, opened, opened.attempt_id
        )
        self.time.call_after(SEND_DELAY_MS, self._submit, opened, assignment)

    def _refuse(self, opened: Open, retry_after_ms: int) -> None:
        left_ms = (
            opened.arrival.at_ms
            + opened.arrival.kind.deadline_ms
            - self.time.now_ms
        )
        if opened.attempts >= MAX_ATTEMPTS or left_ms <= 0:
            self._end(opened, served=False)
            return
        wait_ms = min(retry_after_ms, left_ms // 3)
        self.time.call_after(wait_ms, self._attempt, opened)

    def _submit(
        self, opened: Open, assignment: exchangerecords.Assignment
    ) -> None:
        if opened.attempt_id not in self._open_by_attempt:
            return
        targets = (assignment.target, *assignment.helpers)
        opened.parts_left = len(targets)
        for position, target in enumerate(targets):
            work = enginepasses.Work(
                attempt_id=opened.attempt_id,
                prompt_tokens=opened.arrival.prompt_tokens,
                answer_tokens=opened.arrival.answer_tokens,
                parts=len(targets),
                writes=position == 0,
                priority=opened.job.priority if opened.job else 0,
            )
            engine = self._engines_by_id[target.target_id]
            engine.submit(work, self.time.now_ms)
            self._wake(target.target_id)

    def _wake(self, target_id: str) -> None:
        if target_id in self._in_pass:
            return
        engine = self._engines_by_id[target_id]
        duration_ms = engine.begin_pass(self.time.now_ms)
        if engine.running_by_attempt and duration_ms:
            self._in_pass.add(target_id)
            self.time.call_after(
                max(round(duration_ms), 1), self._end_pass, target_id
            )

    def _end_pass(self, target_id: str) -> None:
        self._in_pass.discard(target_id)
        for notice in self._engines_by_id[target_id].end_pass():
            opened = self._open_by_attempt.get(notice.attempt_id)
            if opened is not None:
                self._reactions[notice.kind](self, opened)
        self._wake(target_id)

    def _note_part(self, opened: Open) -> None:
        opened.parts_left -= 1
        if not opened.parts_left and opened.assignment is not None:
            target_id = opened.assignment.target.target_id
            self._engines_by_id[target_id].start_writing(opened.attempt_id)
            self._wake(target_id)

    def _note_event(self, opened: Open) -> None:
        now_ms = self.time.now_ms + EVENT_DELAY_MS
        core = self.cores[opened.host]
        if opened.first_ms < 0:
            opened.first_ms = now_ms - opened.arrival.at_ms
            if opened.assignment is not None:
                core.start_decoding(opened.assignment)
            self._share(opened.host)
        else:
            pause_ms = now_ms - opened.last_ms
            opened.pause_ms = max(opened.pause_ms, pause_ms)
            if pause_ms > opened.arrival.kind.pause_goal_ms:
                self._forget_pause_goal(opened)
            if pause_ms > requesttimes.caller_timeout_ms(
                _route(opened.arrival.kind)
            ):
                self._end(opened, served=False)
        opened.last_ms = now_ms

    def _forget_pause_goal(self, opened: Open) -> None:
        if opened.assignment is not None:
            first = opened.assignment.commitment_ids[0]
            self.cores[opened.host].table.update(first, pause_goal_ms=0)

    def _note_finished(self, opened: Open) -> None:
        self._end(opened, served=True)

    def _give_up(self, opened: Open, attempt_id: str) -> None:
        """End a request whose first event has not come in time."""
        if attempt_id in self._open_by_attempt and opened.first_ms < 0:
            self._end(opened, served=False)

    def _end(self, opened: Open, *, served: bool) -> None:
        self._open_by_attempt.pop(opened.attempt_id, None)
        if opened.assignment is not None:
            self.cores[opened.host].release(opened.assignment)
            self._share(opened.host)
        for engine in self._engines_by_id.values():
            engine.cancel(opened.attempt_id)
        self.outcomes.append(
            Outcome(
                opened.arrival,
                served,
                opened.first_ms,
                opened.pause_ms,
                opened.forecast_ms,
            )
        )

    def _share(self, host: int) -> None:
        """Tell the other hosts what a host has placed."""
        if not self.shares_placements:
            return
        self._sequence += 1
        state = commitments.PeerState(
            1,
            self._sequence,
            self.time.now_ms + PEER_DELAY_MS,
            tuple(self.cores[host].table.own()),
        )
        self.time.call_after(PEER_DELAY_MS, self._hear, host, state)

    def _hear(self, sender: int, state: commitments.PeerState) -> None:
        for number, core in enumerate(self.cores):
            if number != sender:
                core.table.update_peer(f'host-{sender}', state)

    _reactions: Final[dict[str, Callable[['World', Open], None]]] = {
        'part_read': _note_part,
        'event': _note_event,
        'finished': _note_finished,
    }


def _profile(service: fleetrecords.Service) -> fleetrecords.EngineProfile:
    if service.engine is None:
        raise ValueError(f'{service.name} has no engines')
    return service.engine


def _entry(target_id: str, fleet: Fleet) -> fleetrecords.TargetEntry:
    return fleetrecords.TargetEntry(
        target_id=target_id,
        service=fleet.service.name,
        address=f'{target_id}:80',
        zone='z1',
        slots=_profile(fleet.service).slots,
        leaving=False,
        cold_ms=0,
        started_ms=0,
    )


def _route(kind: placementload.Kind) -> fleetrecords.Route:
    return fleetrecords.Route(
        name=f'goal-{kind.goal_ms}',
        match=fleetrecords.RouteMatch('', '/'),
        streaming=True,
        retry_policy=fleetrecords.RetryPolicy.RESUME,
        timeout_ms=kind.deadline_ms,
        goal_ms=kind.goal_ms,
        priority=1,
        shares=(),
        max_targets=2,
        public=True,
        pause_goal_ms=kind.pause_goal_ms,
    )


def _settings(name: str) -> hostsettings.HostSettings:
    return hostsettings.HostSettings(
        name=name,
        ip='',
        zone='z1',
        caller_address='',
        readiness_address='',
        directory_address='',
        peer_ports=(0, 0),
        store=hostsettings.StoreSettings(''),
        bounds=hostsettings.Bounds(
            stop_grace_ms=8_000,
            retry_ratio=0.2,
            retry_window_ms=10_000,
            retry_slack=100,
        ),
    )
