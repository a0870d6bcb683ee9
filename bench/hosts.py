"""
Hosts
~~~~~

The shell around one core: ticks, messages, streams, watches and polls in
virtual time. A host can be killed, frozen and thawed.
"""

import functools
from collections.abc import Callable
from typing import Any

from bergamotstream import actions, events, relay
from bench import shapes, targets
from standins import enginemodel

KEEP_ALIVE_MS = 250
PREFIX_GAP = 0.02

Action = Any


def token_text(spec: Any, index: int) -> str:
    """Return the token that the answer to ``spec`` has at ``index``."""
    return f'{spec.idempotency_key or spec.request_id}/{index}'


class Dispatched:
    """An attempt that the shell runs on its targets."""

    def __init__(self, action: actions.Dispatch, spec: Any) -> None:
        """Start with no stream open."""
        self.action = action
        self.spec = spec
        self.offset = action.offset
        self.last_byte_ms = 0
        self.first_seen = False
        self.closed = False
        self.exports_left = len(action.targets) - 1
        self.streams_by_target: dict[str, targets.Stream] = {}


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
        self.changed_ms = self.time.now_ms
        self.stop_asked_ms: int | None = None
        self._queued: list[Callable[[], None]] = []
        self._attempts_by_id: dict[str, Dispatched] = {}
        self._watched: set[str] = set()
        self._cached_by_target: dict[str, tuple[int, ...]] = {}
        self._sequences_by_target: dict[str, int] = {}
        self.assemblers_by_request: dict[str, relay.StreamAssembler] = {}
        self.calls_by_request: dict[str, Any] = {}
        timing = world.timing
        self._every(timing.tick_ms, self._tick)
        self._every(timing.host_list_ms, self._read_host_list)
        self._every(timing.load_poll_ms, self._poll_targets)
        self._every(KEEP_ALIVE_MS, self._check_streams)
        self.time.call_after(0, self._read_host_list)

    # Life of the process.

    @property
    def responsive(self) -> bool:
        """Tell whether the process runs and is not paused."""
        return self.alive and not self.frozen

    def kill(self) -> None:
        """End the process and break its connections."""
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
            self._run(callback)

    def receive(self, event: events.Event) -> None:
        """Hand an event to the core and carry out its actions."""
        self._run(lambda: self._handle(event))

    # Streams from targets.

    def started(self, stream: targets.Stream) -> None:
        """A target accepted an attempt."""
        self._run(lambda: self._started(stream))

    def stream(
        self, stream: targets.Stream, start: int, end: int, ended: bool
    ) -> None:
        """Tokens ``start`` to ``end`` arrived."""
        self._run(lambda: self._tokens(stream, start, end, ended))

    def exported(self, stream: targets.Stream) -> None:
        """A member of a group has exported its part of the prompt."""
        self._run(lambda: self._exported(stream))

    def fail(self, stream: targets.Stream, kind: Any) -> None:
        """A stream ended early."""
        self._run(lambda: self._failed(stream, kind))

    # Callers.

    def accept_call(self, call: Any, event: Any) -> None:
        """Take a caller's request or resumption."""
        request_id = call.spec.request_id
        self.calls_by_request[request_id] = call
        offset = getattr(event, 'offset', 0)
        self.assemblers_by_request[request_id] = relay.StreamAssembler(
            request_id, offset
        )
        self.receive(event)

    def close_call(self, request_id: str) -> None:
        """A caller closed its connection."""
        self.receive(events.CallerGone(request_id))
        self._run(lambda: self._forget(request_id))

    def to_caller(self, method: Callable[..., Any], *arguments: Any) -> None:
        """Send something to a caller."""
        self.world.links.send(self.name, shapes.CALLERS, method, *arguments)

    # Internals.

    def _run(self, callback: Callable[[], None]) -> None:
        if self.frozen:
            self._queued.append(callback)
        elif self.alive:
            callback()

    def _every(self, period_ms: int, callback: Callable[[], None]) -> None:
        self.time.call_after(period_ms, self._repeat, period_ms, callback)

    def _repeat(self, period_ms: int, callback: Callable[[], None]) -> None:
        if not self.alive:
            return
        if not self.frozen:
            callback()
        self._every(period_ms, callback)

    def _tick(self) -> None:
        self._handle(events.Tick())

    def _handle(self, event: events.Event) -> None:
        for action in self.core.handle(event, self.time.now_ms):
            self._run(functools.partial(self._act, action))

    def _act(self, action: Action) -> None:
        self.world.triggers.fire('before', self, action)
        if self.frozen or not self.alive:
            self._run(functools.partial(self._carry_out, action))
            return
        self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        name = type(action).__name__.lower()
        method = getattr(self, f'_do_{name}', None)
        if name.startswith('kv'):
            self.world.storage.start(self, action)
        elif method is not None:
            method(action)
        self.world.triggers.fire('after', self, action)

    def _do_sendmessage(self, action: actions.SendMessage) -> None:
        peer = self.world.hosts_by_name.get(action.host)
        if peer is None:
            return
        event = events.MessageReceived(self.name, action.message)
        self.world.links.send(
            self.name, peer.name, peer.receive, event, lossy=True
        )

    def _do_dispatch(self, action: actions.Dispatch) -> None:
        self.world.requests_by_attempt[action.attempt_id] = action.request_id
        call = self.calls_by_request.get(action.request_id)
        if call is None:
            self._run(
                lambda: self._handle(
                    events.AttemptFailed(action.attempt_id, 'refused', 0)
                )
            )
            return
        attempt = Dispatched(action, call.spec)
        attempt.last_byte_ms = self.time.now_ms
        self._attempts_by_id[action.attempt_id] = attempt
        assembler = self.assemblers_by_request[action.request_id]
        assembler.switch(action.attempt_id)
        for granted in action.targets[1:]:
            self._open(attempt, granted, hold=True)
        if not attempt.exports_left:
            self._open(attempt, action.targets[0], hold=False)

    def _open(self, attempt: Dispatched, granted: Any, *, hold: bool) -> None:
        action = attempt.action
        target = self.world.targets_by_name[granted.name]
        stream = targets.Stream(self, action.attempt_id, action.offset)
        attempt.streams_by_target[granted.name] = stream
        submission = enginemodel.Submission(
            attempt_id=action.attempt_id,
            prompt_tokens=granted.tokens or attempt.spec.prompt_tokens,
            output_tokens=0 if hold else attempt.spec.max_output_tokens,
            priority=action.engine_priority,
            prefix_hashes=() if hold else attempt.spec.prefix_hashes,
            offset=0 if hold else action.offset,
            hold=hold,
        )
        self.world.links.send(
            self.name,
            granted.name,
            functools.partial(target.open, resume=action.resume),
            stream,
            submission,
        )

    def _do_cancelattempt(self, action: actions.CancelAttempt) -> None:
        target = self.world.targets_by_name.get(action.target)
        if target is None:
            return
        attempt = self._attempts_by_id.get(action.attempt_id)
        if attempt is not None:
            attempt.streams_by_target.pop(action.target, None)
            attempt.closed = not attempt.streams_by_target
        self.world.links.send(
            self.name, action.target, target.cancel, action.attempt_id
        )

    def _do_finishrequest(self, action: actions.FinishRequest) -> None:
        self._end(action.request_id, 'finished', action)

    def _do_refuserequest(self, action: actions.RefuseRequest) -> None:
        self._end(action.request_id, 'refused', action)

    def _do_restartanswer(self, action: actions.RestartAnswer) -> None:
        call = self.calls_by_request.get(action.request_id)
        if call is not None:
            self.assemblers_by_request[action.request_id].restart()
            self.to_caller(call.restarted, self)

    def _do_answeraddress(self, action: actions.AnswerAddress) -> None:
        self.world.address_answered(self, action)

    def _do_answeradmin(self, action: actions.AnswerAdmin) -> None:
        self.world.operators.answered(self, action)

    def _do_watchtarget(self, action: actions.WatchTarget) -> None:
        self._watched.add(action.target.name)

    def _do_unwatchtarget(self, action: actions.UnwatchTarget) -> None:
        self._watched.discard(action.target)
        self._cached_by_target.pop(action.target, None)

    def _do_sendorder(self, action: actions.SendOrder) -> None:
        answer = events.OrderAnswered(action.order_id, 'done', {})
        self.time.call_after(KEEP_ALIVE_MS, self.receive, answer)

    def _do_stopprocess(self, action: actions.StopProcess) -> None:
        self.world.checks.process_stopped(self)
        self.kill()

    def _end(self, request_id: str, outcome: str, action: Any) -> None:
        call = self.calls_by_request.get(request_id)
        self._forget(request_id)
        if call is not None:
            self.to_caller(call.ended, self, outcome, action)

    def _forget(self, request_id: str) -> None:
        self.calls_by_request.pop(request_id, None)
        self.assemblers_by_request.pop(request_id, None)

    def _started(self, stream: targets.Stream) -> None:
        attempt = self._current(stream)
        if attempt is not None:
            attempt.last_byte_ms = self.time.now_ms
            self._handle(events.AttemptStarted(stream.attempt_id))

    def _exported(self, stream: targets.Stream) -> None:
        attempt = self._current(stream)
        if attempt is None:
            return
        attempt.exports_left -= 1
        if attempt.exports_left == 0:
            self._open(attempt, attempt.action.targets[0], hold=False)

    def _tokens(
        self, stream: targets.Stream, start: int, end: int, ended: bool
    ) -> None:
        attempt = self._current(stream)
        if attempt is None:
            return
        attempt.last_byte_ms = self.time.now_ms
        attempt.offset = end
        self._relay(attempt, start, end)
        if not attempt.first_seen:
            attempt.first_seen = True
            self._handle(events.FirstToken(stream.attempt_id))
        if ended:
            self._attempts_by_id.pop(stream.attempt_id, None)
            self._finished(attempt, end)

    def _finished(self, attempt: Dispatched, end: int) -> None:
        answer = b''
        if attempt.spec.service == shapes.PLAIN_SERVICE:
            answer = token_text(attempt.spec, 0).encode()
        attempt_id = attempt.action.attempt_id
        self._handle(events.AttemptFinished(attempt_id, end, answer))

    def _failed(self, stream: targets.Stream, kind: Any) -> None:
        attempt = self._current(stream)
        if attempt is None:
            return
        if kind != 'silent' or self.world.version.relays_in_order:
            self._attempts_by_id.pop(stream.attempt_id)
        self._handle(
            events.AttemptFailed(stream.attempt_id, kind, attempt.offset)
        )

    def _current(self, stream: targets.Stream) -> Dispatched | None:
        attempt = self._attempts_by_id.get(stream.attempt_id)
        if attempt is None or attempt.closed:
            return None
        streams = attempt.streams_by_target.values()
        return attempt if stream in streams else None

    def _relay(self, attempt: Dispatched, start: int, end: int) -> None:
        request_id = attempt.action.request_id
        call = self.calls_by_request.get(request_id)
        if call is None:
            return
        tokens = tuple(
            token_text(attempt.spec, index) for index in range(start, end)
        )
        if self.world.version.relays_in_order:
            chunk = relay.Chunk(
                request_id, attempt.action.attempt_id, start, tokens
            )
            tokens = self.assemblers_by_request[request_id].accept(chunk)
        if tokens:
            self.to_caller(call.received, self, tokens)

    def _check_streams(self) -> None:
        for attempt in tuple(self._attempts_by_id.values()):
            if attempt.closed:
                continue
            silent = [
                stream
                for target, stream in attempt.streams_by_target.items()
                if stream.muted or self.world.links.is_cut(target, self.name)
            ]
            if silent:
                self._check_silence(attempt, silent[0])
            else:
                attempt.last_byte_ms = self.time.now_ms

    def _check_silence(
        self, attempt: Dispatched, stream: targets.Stream
    ) -> None:
        age_ms = self.time.now_ms - attempt.last_byte_ms
        if age_ms > self.world.timing.silent_ms:
            attempt.last_byte_ms = self.time.now_ms
            self._failed(stream, 'silent')

    def _poll_targets(self) -> None:
        for name in sorted(self._watched):
            target = self.world.targets_by_name[name]
            if target.down:
                continue
            self._receive_from(name, events.LoadReported(target.report()))
            if isinstance(target, targets.EngineTarget):
                self._poll_prefixes(target)

    def _poll_prefixes(self, target: targets.EngineTarget) -> None:
        before = self._cached_by_target.get(target.name, ())
        cached = target.engine.cached_hashes()
        if cached == before:
            return
        self._cached_by_target[target.name] = cached
        sequence = self._sequences_by_target.get(target.name, 0) + 1
        self._sequences_by_target[target.name] = sequence
        if self.world.chance.random() < PREFIX_GAP:
            return
        report = events.PrefixesReported(
            target.name,
            sequence,
            added=tuple(set(cached) - set(before)),
            removed=tuple(set(before) - set(cached)),
        )
        self._receive_from(target.name, report)

    def _receive_from(self, place: str, event: events.Event) -> None:
        self.world.links.send(place, self.name, self.receive, event)

    def _read_host_list(self) -> None:
        self.receive(self.world.host_list.read())
