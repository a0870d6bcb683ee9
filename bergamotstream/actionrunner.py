"""
Action runner
~~~~~~~~~~~~~

Performs the actions of the core: each kind of action has one method. No method
blocks; an operation that takes time runs as a task and reports by an event.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

import aiohttp

from bergamotstream import (
    actions,
    attempttasks,
    callerserver,
    engines,
    events,
    keyvalues,
    linkinterface,
    logs,
    metrics,
    openanswers,
    records,
    settings,
    state,
    targetpolling,
)

Method = TypeVar('Method', bound=Callable[..., None])

_method_names_by_kind: dict[type, str] = {}


class RunnerContext(NamedTuple):
    """Settings, state and connections that actions use."""

    config: settings.Settings
    shared: state.HostState
    emit: engines.Emit
    session: aiohttp.ClientSession
    links: linkinterface.Links
    kv: keyvalues.KeyValueClient
    server: callerserver.CallerServer
    meters: metrics.Metrics


def performs(*kinds: type) -> Callable[[Method], Method]:
    """Register a method for kinds of actions."""

    def decorator(method: Method) -> Method:
        for kind in kinds:
            _method_names_by_kind[kind] = method.__name__
        return method

    return decorator


class ActionRunner:
    """Performs actions."""

    def __init__(self, context: RunnerContext) -> None:
        """Use the connections in ``context``."""
        self.stopped = False
        self._context = context
        self._answers: openanswers.OpenAnswers = context.server.open_answers
        self._attempts = attempttasks.AttemptTasks()
        self._target_poller = targetpolling.TargetPoller(
            context.config, context.emit
        )
        self._clients_by_kind: dict[str, engines.EngineClient] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def perform(self, action: actions.Action) -> None:
        """Perform one action."""
        method_name = _method_names_by_kind[type(action)]
        getattr(self, method_name)(action)

    def close(self) -> None:
        """Drop all attempts, watches and calls."""
        self._attempts.close()
        self._target_poller.close()
        for task in self._tasks:
            task.cancel()

    @performs(actions.SendMessage)
    def send_message(self, action: actions.SendMessage) -> None:
        """Send a message to a peer whose address is known."""
        host = self._context.shared.hosts_by_name.get(action.host)
        if host is not None:
            self._context.links.send(host, action.message)

    @performs(actions.Dispatch)
    def dispatch(self, action: actions.Dispatch) -> None:
        """Start an attempt unless its answer is closed."""
        answer = self._answers.by_request.get(action.request_id)
        if answer is None:
            failed = events.AttemptFailed(
                action.attempt_id, 'refused', action.offset
            )
            self._context.emit(failed)
            return
        client = self._client(answer.request.service)
        self._attempts.start(client, action, answer)

    @performs(actions.CancelAttempt)
    def cancel_attempt(self, action: actions.CancelAttempt) -> None:
        """Drop the stream and cancel the attempt at the target."""
        self._attempts.drop(action.attempt_id)
        target = self._context.shared.targets_by_name.get(action.target)
        if target is None:
            return
        client = self._client(target.service)
        self._start_task(client.cancel(target.address, action.attempt_id))

    @performs(actions.DropStream)
    def drop_stream(self, action: actions.DropStream) -> None:
        """Drop the stream and leave the attempt running at the target."""
        self._attempts.drop(action.attempt_id)

    @performs(actions.FinishRequest)
    def finish_request(self, action: actions.FinishRequest) -> None:
        """End an answer successfully."""
        self._answers.end(action.request_id, recorded=action.answer)

    @performs(actions.RefuseRequest)
    def refuse_request(self, action: actions.RefuseRequest) -> None:
        """End an answer with an error."""
        error = openanswers.refusal_error(action)
        self._answers.end(action.request_id, error=error)

    @performs(actions.RestartAnswer)
    def restart_answer(self, action: actions.RestartAnswer) -> None:
        """Make the caller discard the tokens that it has received."""
        answer = self._answers.by_request.get(action.request_id)
        if answer is not None:
            answer.restart()

    @performs(actions.AnswerAddress, actions.AnswerAdmin)
    def answer_query(
        self, action: actions.AnswerAddress | actions.AnswerAdmin
    ) -> None:
        """Answer an address query or an operator's command."""
        self._context.server.queries.answer(action)

    @performs(actions.WatchTarget)
    def watch_target(self, action: actions.WatchTarget) -> None:
        """Start to poll a target."""
        client = self._client(action.target.service)
        self._target_poller.watch(action.target, client)

    @performs(actions.UnwatchTarget)
    def unwatch_target(self, action: actions.UnwatchTarget) -> None:
        """Stop polling a target."""
        self._target_poller.unwatch(action.target)

    @performs(actions.SendOrder)
    def send_order(self, action: actions.SendOrder) -> None:
        """Send an order to a target."""
        self._start_task(self._run_order(action))

    @performs(
        actions.KvRead, actions.KvWrite, actions.KvDelete, actions.KvWatch
    )
    def perform_kv(self, action: keyvalues.KvAction) -> None:
        """Perform a key-value operation."""
        self._start_task(self._run_kv(action))

    @performs(actions.LogEvent)
    def log_event(self, action: actions.LogEvent) -> None:
        """Write a log line."""
        logs.write(action.event, action.fields)

    @performs(actions.Count)
    def count(self, action: actions.Count) -> None:
        """Add to a counter."""
        self._context.meters.count(action.metric, action.label, action.amount)

    @performs(actions.Observe)
    def observe(self, action: actions.Observe) -> None:
        """Record a duration."""
        self._context.meters.observe(
            action.metric, action.label, action.duration_ms
        )

    @performs(actions.StopProcess)
    def stop_process(self, action: actions.StopProcess) -> None:
        """Let the process exit."""
        self.stopped = True

    async def _run_order(self, action: actions.SendOrder) -> None:
        target = self._context.shared.targets_by_name.get(action.target)
        client = self._client(target.service if target else '')
        try:
            answer = await client.send_order(
                action.address, action.fence, action.order
            )
        except (aiohttp.ClientError, OSError, ValueError):
            # Without the answer it is unknown whether the order was executed.
            answer = {'status': 'unknown', 'state': {}}
        self._context.emit(
            events.OrderAnswered(
                action.order_id, answer['status'], answer['state']
            )
        )

    async def _run_kv(self, action: keyvalues.KvAction) -> None:
        self._context.emit(await self._context.kv.perform(action))

    def _client(self, service: str) -> engines.EngineClient:
        """Return the client for the kind of a service; model by default."""
        bundle = self._context.shared.bundle
        kind: records.ServiceKind = 'model'
        if bundle is not None and service in bundle.services_by_name:
            kind = bundle.services_by_name[service].kind
        if kind not in self._clients_by_kind:
            client_type = engines.get_engine_by_kind(kind)
            self._clients_by_kind[kind] = client_type(
                self._context.session, self._context.config, self._context.emit
            )
        return self._clients_by_kind[kind]

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
