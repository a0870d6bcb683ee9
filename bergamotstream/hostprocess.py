"""
Host process
~~~~~~~~~~~~

The tasks around one core. One task owns the core and reads a queue of events;
all others only put events into the queue.
"""

import asyncio
import contextlib

import aiohttp
from absl import logging

from bergamotstream import (
    actionrunner,
    actions,
    attempttasks,
    callerserver,
    checkedconnections,
    clock,
    core,
    engines,
    events,
    gauges,
    hostlists,
    keyvalues,
    linkinterface,
    logs,
    metrics,
    settings,
)


class HostProcess:
    """One host: a core, its sockets and its tasks."""

    def __init__(
        self,
        config: settings.Settings,
        host_core: core.HostCore,
        kv: keyvalues.KeyValueClient,
        incoming: asyncio.Queue[events.Event],
        links: linkinterface.Links,
    ) -> None:
        """``links`` put received messages into ``incoming``."""
        self.meters = metrics.Metrics()
        self.meters.read_gauges = lambda: gauges.read_gauges(host_core.state)
        self._config = config
        self._core = host_core
        self._kv = kv
        self._incoming = incoming
        self._links = links
        self._time = clock.Clock()
        self._tick_queued = False
        self._tasks: list[asyncio.Task[None]] = []
        self._server = callerserver.CallerServer(
            config, incoming, self.meters, self._time
        )

    def request_stop(self) -> None:
        """Start a graceful shutdown."""
        logs.write('stop_requested', {'host': self._config.host})
        self._incoming.put_nowait(events.StopRequested())

    async def run(self) -> None:
        """Serve until the core has stopped, then close all resources."""
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                attempttasks.new_client_session(
                    self._config, self._record_invalid
                )
            )
            stack.push_async_callback(self._kv.close)
            action_runner = self._build_action_runner(session)
            stack.callback(action_runner.close)
            await self._links.start()
            stack.push_async_callback(self._links.close)
            await self._server.start()
            stack.push_async_callback(self._server.close)
            stack.callback(self._cancel_tasks)
            self._start_tasks(session)
            logs.write('host_started', {'host': self._config.host})
            await self._run_core(action_runner)
        logs.write('host_stopped', {'host': self._config.host})

    def _record_invalid(
        self, invalid: checkedconnections.InvalidResponse
    ) -> None:
        self.meters.count('invalid_answers', invalid.rule)
        checkedconnections.log_invalid(invalid)

    def _build_action_runner(
        self, session: aiohttp.ClientSession
    ) -> actionrunner.ActionRunner:
        return actionrunner.ActionRunner(
            actionrunner.RunnerContext(
                config=self._config,
                shared=self._core.state,
                emit=self._incoming.put_nowait,
                session=session,
                links=self._links,
                kv=self._kv,
                server=self._server,
                meters=self.meters,
            )
        )

    def _start_tasks(self, session: aiohttp.ClientSession) -> None:
        emit = self._incoming.put_nowait
        reader = hostlists.read_repeatedly(self._config, session, emit)
        self._tasks.append(asyncio.create_task(reader))
        self._tasks.append(asyncio.create_task(self._tick()))

    def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _tick(self) -> None:
        """Put a tick into the queue unless one is still queued."""
        while True:
            if not self._tick_queued:
                self._tick_queued = True
                self._incoming.put_nowait(events.Tick())
            await asyncio.sleep(self._config.timing.tick_ms / engines.MS_PER_S)

    async def _run_core(self, action_runner: actionrunner.ActionRunner) -> None:
        while not action_runner.stopped:
            event = await self._incoming.get()
            if isinstance(event, events.Tick):
                self._tick_queued = False
            self._handle(event, action_runner)

    def _handle(
        self, event: events.Event, action_runner: actionrunner.ActionRunner
    ) -> None:
        started_us = self._time.now_us()
        kind = type(event).__name__
        try:
            produced = self._core.handle(event, self._time.now_ms())
        except Exception:
            # An event that fails must not end the requests of all callers.
            self.meters.count('core_faults', kind)
            logging.exception(
                '%s', logs.format_line('core_fault', {'kind': kind})
            )
            return
        self.meters.count('core_events', kind)
        elapsed_us = self._time.now_us() - started_us
        self.meters.count('core_us', kind, elapsed_us)
        for action in produced:
            self._perform(action, action_runner)

    def _perform(
        self, action: actions.Action, action_runner: actionrunner.ActionRunner
    ) -> None:
        kind = type(action).__name__
        try:
            action_runner.perform(action)
        except Exception:
            self.meters.count('action_faults', kind)
            logging.exception(
                '%s', logs.format_line('action_fault', {'kind': kind})
            )
