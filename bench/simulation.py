"""
Simulation
~~~~~~~~~~

One target partition in virtual time: the owner's core with the target
partitions component, emulated engines and the accepting hosts' part of the
protocol. Messages take a fixed time. Used by measurements and failure tests.
"""

import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from bergamotstream import (
    actions,
    core,
    events,
    messages,
    partitions,
    records,
    settings,
    targetpartitions,
)
from standins import enginemodel

HOSTS = ('h1', 'h2', 'h3')
NETWORK_MS = 3
CALLER_MS = 3
TICK_MS = 25
POLL_MS = 250
RENEW_MS = 1_000
SERVICE = 'asistente'
ZONE = 'rosario'
PARTITION = f'targets:{SERVICE}:{ZONE}:0'
NS_PER_US = 1_000
WORKSPACES = 10
MAX_CONCURRENT = 1_000
MAX_TOKENS_PER_S = 10_000_000


class Arrival(NamedTuple):
    """A request of a caller; ``output_tokens`` is what it will produce."""

    at_ms: int
    request: records.RequestSpec
    output_tokens: int
    remaining_ms: int
    priority: int = 0
    host: str = 'h1'


class Call:
    """A request at its accepting host."""

    def __init__(self, arrival: Arrival) -> None:
        """Start without a grant."""
        self.arrival = arrival
        self.reply: messages.GrantReply | None = None
        self.missing_segments = 0
        self.dispatched_ms = 0
        self.ttft_ms: int | None = None
        self.done_ms: int | None = None
        self.codes: list[str] = []
        self.retry_after_ms: int | None = None
        self.lost = 0
        self.repeats = 0


class Simulation:
    """Virtual time, engines and hosts around one owner."""

    def __init__(
        self,
        target_count: int,
        policy: str = 'predictive',
        engine: enginemodel.EngineSettings | None = None,
        bundle: records.Bundle | None = None,
        warm: bool = True,
    ) -> None:
        """Start engines and an owner that has taken over."""
        self.now_ms = 0
        self.calls: dict[str, Call] = {}
        self.calls_by_attempt: dict[str, Call] = {}
        # Time that the owner spent on messages, and on ticks and reports.
        self.request_ns = 0
        self.target_ns = 0
        self.drops: Callable[[Any], bool] = lambda _: False
        self.on_handled: Callable[[], None] = lambda: None
        self._order = itertools.count()
        self._pending: list[tuple[int, int, Callable[[], None]]] = []
        self._wakes: dict[str, int] = {}
        model = engine or enginemodel.EngineSettings()
        self.engines = {
            f't{number:02}': enginemodel.EngineModel(model, f't{number:02}', 0)
            for number in range(target_count)
        }
        for entry in self.engines.values():
            if warm:
                entry.warm_up()
            entry.advance(0)
        self.core = _owner_core(policy)
        self.granting: Any = self.core.components_by_name['targetpartitions']
        self.set_bundle(bundle or default_bundle())
        self.list_targets(())
        self.handle(events.PartitionAcquired(PARTITION))
        for host in ('h0', *HOSTS):
            self.handle(
                events.MessageReceived(
                    host, messages.HoldingsReply(PARTITION, (), ())
                )
            )
        self._repeat(TICK_MS, lambda: self.handle(events.Tick()))
        self._repeat(POLL_MS, self._poll)
        self._repeat(RENEW_MS, self._renew)

    @property
    def owner(self) -> Any:
        """Return the partition's owner inside the component."""
        return self.granting.owners_by_partition[PARTITION]

    def set_bundle(self, bundle: records.Bundle) -> None:
        """Put a bundle in force."""
        self.core.state.bundle = bundle
        self.handle(events.BundleChanged(bundle.version))

    def list_targets(self, leaving: tuple[str, ...]) -> None:
        """Publish the host list."""
        self.core.state.targets_by_name = {
            name: records.TargetInfo(
                name, SERVICE, ZONE, f'127.0.0.1:{name}', name in leaving
            )
            for name in self.engines
        }
        listed = tuple(self.core.state.targets_by_name.values())
        self.handle(events.HostListRead((), listed))

    def at(self, when_ms: int, callback: Callable[[], None]) -> None:
        """Call back at a virtual time."""
        heapq.heappush(self._pending, (when_ms, next(self._order), callback))

    def run_until(self, end_ms: int) -> None:
        """Advance the virtual time to ``end_ms``."""
        while self._pending and self._pending[0][0] <= end_ms:
            when_ms, _, callback = heapq.heappop(self._pending)
            self.now_ms = when_ms
            callback()
        self.now_ms = end_ms

    def submit(self, arrival: Arrival) -> Call:
        """Schedule a request; returns the call for inspection."""
        call = Call(arrival)
        self.calls[arrival.request.request_id] = call
        self.at(arrival.at_ms + CALLER_MS, lambda: self._ask(call))
        return call

    def tell(self, host: str, message: Any) -> None:
        """Send a message from a host to the owner."""
        if self.drops(message):
            return
        received = events.MessageReceived(host, message)
        self.at(self.now_ms + NETWORK_MS, lambda: self.handle(received))

    def handle(self, event: events.Event) -> None:
        """Give the owner an event and carry out its actions."""
        begin = time.perf_counter_ns()
        produced = self.core.handle(event, self.now_ms)
        spent_ns = time.perf_counter_ns() - begin
        if isinstance(event, events.MessageReceived):
            self.request_ns += spent_ns
        else:
            self.target_ns += spent_ns
        for action in produced:
            if not self.drops(action):
                self._carry_out(action)
        self.on_handled()

    def crash(self, name: str) -> None:
        """Crash an engine and let it start again at once."""
        engine = self.engines[name]
        self._notices(engine, engine.advance(self.now_ms))
        self._notices(engine, engine.restart(self.now_ms))

    def _carry_out(self, action: Any) -> None:
        later_ms = self.now_ms + NETWORK_MS
        if isinstance(action, actions.CancelAttempt):
            name, attempt_id = action
            self.at(later_ms, lambda: self._cancel(name, attempt_id))
        elif isinstance(action, actions.SendMessage):
            if isinstance(action.message, messages.GrantReply):
                reply = action.message
                self.at(later_ms, lambda: self._replied(reply))

    def _ask(self, call: Call) -> None:
        left_ms = call.arrival.at_ms + call.arrival.remaining_ms - self.now_ms
        message = messages.GrantRequest(
            PARTITION, call.arrival.request, left_ms, call.arrival.priority
        )
        self.tell(call.arrival.host, message)

    def _replied(self, reply: messages.GrantReply) -> None:
        call = self.calls[reply.request_id]
        if not reply.granted:
            call.codes.append(reply.code)
            call.retry_after_ms = reply.retry_after_ms
            return
        if call.reply == reply:
            call.repeats += 1
            return
        call.reply = reply
        call.dispatched_ms = self.now_ms
        call.missing_segments = len(reply.targets) - 1
        self.calls_by_attempt[reply.attempt_id] = call
        self._dispatch_next(call)

    def _dispatch_next(self, call: Call) -> None:
        """Send the next segment; the last target produces the output."""
        reply = call.reply
        assert reply is not None
        hold = call.missing_segments > 0
        entry = reply.targets[-1 - call.missing_segments]
        submission = enginemodel.Submission(
            attempt_id=reply.attempt_id,
            prompt_tokens=entry.tokens,
            output_tokens=0 if hold else call.arrival.output_tokens,
            priority=reply.engine_priority,
            prefix_hashes=call.arrival.request.prefix_hashes,
            hold=hold,
        )
        engine = self.engines[entry.name]
        self.at(
            self.now_ms + NETWORK_MS,
            lambda: self._arrive(engine, submission),
        )

    def _arrive(
        self,
        engine: enginemodel.EngineModel,
        submission: enginemodel.Submission,
    ) -> None:
        self._notices(engine, engine.advance(self.now_ms))
        verdict = engine.submit(submission, self.now_ms)
        if verdict != 'accepted':
            call = self.calls_by_attempt[submission.attempt_id]
            call.codes.append(verdict)
            self._release(call, 'not_run', NETWORK_MS)
        self._wake(engine)

    def _wake(self, engine: enginemodel.EngineModel) -> None:
        step_ms = engine.next_step_ms()
        if step_ms is None:
            self._wakes.pop(engine.name, None)
            return
        step_ms = max(step_ms, self.now_ms)
        if self._wakes.get(engine.name) != step_ms:
            self._wakes[engine.name] = step_ms
            self.at(step_ms, lambda: self._step(engine, step_ms))

    def _step(self, engine: enginemodel.EngineModel, step_ms: int) -> None:
        if self._wakes.get(engine.name) == step_ms:
            self._wakes.pop(engine.name)
            self._notices(engine, engine.advance(self.now_ms))

    def _notices(
        self,
        engine: enginemodel.EngineModel,
        notices: list[enginemodel.Notice],
    ) -> None:
        for notice in notices:
            self._notice(notice)
        self._wake(engine)

    def _notice(self, notice: enginemodel.Notice) -> None:
        call = self.calls_by_attempt.get(notice.attempt_id)
        if call is None or call.reply is None:
            return
        seen_ms = notice.at_ms + NETWORK_MS
        if notice.kind == 'exported':
            call.missing_segments -= 1
            self._dispatch_next(call)
        elif notice.kind == 'crashed':
            call.lost += 1
            self._release(call, 'target_lost', NETWORK_MS)
        elif call.ttft_ms is None:
            call.ttft_ms = seen_ms + CALLER_MS - call.arrival.at_ms
            self._progress(call, seen_ms - call.dispatched_ms)
        if notice.kind == 'finished':
            call.done_ms = seen_ms
            self._release(call, 'finished', NETWORK_MS)

    def _progress(self, call: Call, ttft_ms: int) -> None:
        if call.reply is not None:
            message = messages.GrantProgress(
                PARTITION, call.reply.attempt_id, ttft_ms
            )
            host = call.arrival.host
            self.at(self.now_ms + NETWORK_MS, lambda: self.tell(host, message))

    def _release(self, call: Call, outcome: str, delay_ms: int) -> None:
        reply = call.reply
        if reply is None:
            return
        message = messages.GrantRelease(
            PARTITION,
            reply.attempt_id,
            outcome,
            call.arrival.output_tokens,
            self.now_ms + delay_ms - call.dispatched_ms,
        )
        call.reply = None
        host = call.arrival.host
        self.at(self.now_ms + delay_ms, lambda: self.tell(host, message))

    def _cancel(self, name: str, attempt_id: str) -> None:
        engine = self.engines[name]
        self._notices(engine, engine.advance(self.now_ms))
        engine.cancel(attempt_id)
        self._wake(engine)

    def _poll(self) -> None:
        for engine in self.engines.values():
            self._notices(engine, engine.advance(self.now_ms))
            self.handle(events.LoadReported(engine.report(self.now_ms)))

    def _renew(self) -> None:
        held: dict[str, list[str]] = {}
        for call in self.calls.values():
            if call.reply is not None:
                held.setdefault(call.arrival.host, []).append(
                    call.reply.attempt_id
                )
        for host, attempts in held.items():
            self.tell(host, messages.GrantRenew(PARTITION, tuple(attempts)))

    def _repeat(self, every_ms: int, callback: Callable[[], None]) -> None:
        def again() -> None:  # noqa: WPS430
            callback()
            self.at(self.now_ms + every_ms, again)

        self.at(self.now_ms + every_ms, again)


def default_bundle(**changes: Any) -> records.Bundle:
    """Return a bundle with ten workspaces and one model service."""
    workspaces = {}
    for number in range(WORKSPACES):
        name = f'w{number}'
        workspaces[name] = records.WorkspaceConfig(
            name, 0, 1, MAX_CONCURRENT, MAX_TOKENS_PER_S
        )
    service = records.ServiceConfig(SERVICE, 'model')
    bundle = records.Bundle(1, workspaces, {SERVICE: service})
    return bundle._replace(**changes)


def _owner_core(policy: str) -> core.HostCore:
    config = settings.Settings(
        host='h0',
        availability_zone=ZONE,
        cell='cell-1',
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        platform=settings.Platform('http://127.0.0.1:3', '127.0.0.1:4'),
        policy=policy,
    )
    owner = core.HostCore(config, 'i1', [targetpartitions.TargetPartitions])
    owner.state.live_peers = set(HOSTS)
    owner.state.owned_partitions.add(PARTITION)
    assert partitions.zone_of(PARTITION) == ZONE
    return owner
