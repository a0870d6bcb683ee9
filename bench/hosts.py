"""
Hosts
~~~~~

The shell around one core: ticks, messages, actions and callers in virtual
time. A host can be killed, frozen and thawed.
"""

import functools
from collections.abc import Callable
from typing import Any

from bergamotstream import actions, events, streamassembler
from bench import attempts, polling, shapes

ORDER_MS = 250
# Rates of the clocks of two hosts differ by at most 1%.
CLOCK_RATES = (0.995, 1.005)
CLOCK_ORIGINS_MS = (0, 100_000_000)

Action = Any


class Host:
    """One start of a host process."""

    def __init__(self, world: Any, info: Any, core: Any) -> None:
        """Run ``core`` in ``world`` until killed."""
        self.world = world
        self.time = world.time
        self.info = info
        self.name: str = info.name
        self.core = core
        self.alive = True
        self.frozen = False
        # Ended by a fault, not by a planned stop.
        self.crashed = False
        self.changed_ms = self.time.now_ms
        self.stop_asked_ms: int | None = None
        self.stopped = False
        self.assemblers_by_request: dict[
            str, streamassembler.StreamAssembler
        ] = {}
        self.calls_by_request: dict[str, Any] = {}
        self._queued: list[Callable[[], None]] = []
        self._clock_rate = world.chance.uniform(*CLOCK_RATES)
        self._clock_origin_ms = world.chance.randint(*CLOCK_ORIGINS_MS)
        self._attempts = attempts.Attempts(self)
        self._polls = polling.Polls(self)
        timing = world.timing
        self._every(timing.tick_ms, self._tick)
        self._every(timing.host_list_ms, self._read_host_list)
        self._every(timing.load_poll_ms, self._polls.poll)
        self._every(attempts.KEEP_ALIVE_MS, self._attempts.check_silence)
        self.time.call_after(0, self._read_host_list)

    @property
    def responsive(self) -> bool:
        """Tell whether the process runs and is not paused."""
        return self.alive and not self.frozen

    def clock_ms(self) -> int:
        """Return this host's monotonic time."""
        elapsed_ms = int(self.time.now_ms * self._clock_rate)
        return self._clock_origin_ms + elapsed_ms

    def kill(self) -> None:
        """End the process and break its connections."""
        self.crashed = self.alive and not self.stopped
        self.alive = False
        self.changed_ms = self.time.now_ms
        for call in tuple(self.calls_by_request.values()):
            self.to_caller(call.host_lost, self)

    def freeze(self) -> None:
        """Pause the process; what arrives is queued."""
        self.frozen = True
        self.changed_ms = self.time.now_ms

    def thaw(self) -> None:
        """Continue and handle what has arrived meanwhile."""
        self.frozen = False
        self.changed_ms = self.time.now_ms
        queued = self._queued
        self._queued = []
        for callback in queued:
            self.run(callback)

    def run(self, callback: Callable[..., None], *arguments: Any) -> None:
        """Do something in the process: now, or once it is thawed."""
        if self.frozen:
            self._queued.append(functools.partial(callback, *arguments))
        elif self.alive:
            callback(*arguments)

    def receive(self, event: events.Event) -> None:
        """Hand an event to the core and carry out its actions."""
        self.run(self.handle, event)

    def stream(self, method: str, *arguments: Any) -> None:
        """Take progress of a stream from a target."""
        self.run(getattr(self._attempts, method), *arguments)

    def accept_call(self, call: Any, event: Any) -> None:
        """Take a caller's request or resumption."""
        request_id = call.spec.request_id
        self.calls_by_request[request_id] = call
        offset = getattr(event, 'offset', 0)
        assembler = self.assemblers_by_request.setdefault(
            request_id, streamassembler.StreamAssembler(request_id)
        )
        assembler.restart(offset)
        self.receive(event)

    def close_call(self, request_id: str) -> None:
        """Tell the core that a caller closed its connection.

        The answer stays open until the core ends it.
        """
        self.receive(events.CallerGone(request_id))

    def to_caller(self, method: Callable[..., Any], *arguments: Any) -> None:
        """Send something to a caller."""
        self.world.links.send(self.name, shapes.CALLERS, method, *arguments)

    def handle(self, event: events.Event) -> None:
        """Let the core decide and carry out its actions."""
        for action in self.core.handle(event, self.clock_ms()):
            self.run(self._act, action)

    def _every(self, period_ms: int, callback: Callable[[], None]) -> None:
        self.time.call_after(period_ms, self._repeat, period_ms, callback)

    def _repeat(self, period_ms: int, callback: Callable[[], None]) -> None:
        if not self.alive:
            return
        if not self.frozen:
            callback()
        self._every(period_ms, callback)

    def _tick(self) -> None:
        self.handle(events.Tick())

    def _read_host_list(self) -> None:
        self.receive(self.world.host_list.read())

    def _act(self, action: Action) -> None:
        self.world.triggers.fire('before', self, action)
        self.run(self._carry_out, action)

    def _carry_out(self, action: Action) -> None:
        name = type(action).__name__.lower()
        if name.startswith('kv'):
            self.world.storage.start(self, action)
        for part in (self, self._attempts, self._polls):
            method = getattr(part, f'do_{name}', None)
            if method is not None:
                method(action)
        self.world.triggers.fire('after', self, action)

    def do_sendmessage(self, action: actions.SendMessage) -> None:
        """Send a message to a peer, if there is one of this name."""
        peer = self.world.hosts_by_name.get(action.host)
        if peer is not None:
            event = events.MessageReceived(self.name, action.message)
            self.world.links.send(
                self.name, peer.name, peer.receive, event, lossy=True
            )

    def do_finishrequest(self, action: actions.FinishRequest) -> None:
        """End an answer."""
        self._end(action.request_id, 'finished', action)

    def do_refuserequest(self, action: actions.RefuseRequest) -> None:
        """End a request with an error."""
        self._end(action.request_id, 'refused', action)

    def do_restartanswer(self, action: actions.RestartAnswer) -> None:
        """Let the caller discard what it has."""
        call = self.calls_by_request.get(action.request_id)
        if call is not None:
            self.assemblers_by_request[action.request_id].restart()
            self.to_caller(call.restarted, self)

    def do_answeraddress(self, action: actions.AnswerAddress) -> None:
        """Answer an address query."""
        self.world.address_answered(self, action)

    def do_answeradmin(self, action: actions.AnswerAdmin) -> None:
        """Answer an operator."""
        self.to_caller(self.world.operators.answered, action)

    def do_sendorder(self, action: actions.SendOrder) -> None:
        """Let the target carry out an order."""
        answer = events.OrderAnswered(action.order_id, 'done', {})
        self.time.call_after(ORDER_MS, self.receive, answer)

    def do_stopprocess(self, action: actions.StopProcess) -> None:
        """End the process after a planned stop."""
        self.world.checks.process_stopped(self)
        self.stopped = True
        self.world.kill_host(self.name)

    def _end(self, request_id: str, outcome: str, action: Any) -> None:
        call = self.calls_by_request.get(request_id)
        self._forget(request_id)
        if call is not None:
            self.to_caller(call.ended, self, outcome, action)

    def _forget(self, request_id: str) -> None:
        self.calls_by_request.pop(request_id, None)
        self.assemblers_by_request.pop(request_id, None)
