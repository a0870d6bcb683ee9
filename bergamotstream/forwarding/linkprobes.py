"""
Link probes
~~~~~~~~~~~

Asks targets for their health while it is in doubt whether they failed or the
links of this host, so that no caller's request has to find out.
"""

import asyncio
from typing import Final

import aiohttp

from bergamotstream import clock
from bergamotstream.forwarding import (
    dispatch,
    fleetrecords,
    outcomes,
    scheduler,
)
from bergamotstream.platform import protocol

CHECK_INTERVAL_S: Final = 0.05
CONNECT_TIMEOUT_S: Final = 0.5
# A busy target may let a probe wait for a place.
ANSWER_TIMEOUT_S: Final = 1.0


class LinkProbes:
    """Task that probes targets of doubtful services."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        core: scheduler.Scheduler,
        recorder: outcomes.OutcomeRecorder,
        time_source: clock.Clock,
    ) -> None:
        """Probe over ``session``, which opens a connection each time."""
        self._session = session
        self._core = core
        self._outcomes = recorder
        self._clock = time_source
        self._open: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for target in self._core.reach.take_due_probes(
                self._clock.now_ms()
            ):
                task = asyncio.ensure_future(self._probe(target))
                self._open.add(task)
                task.add_done_callback(self._open.discard)

    def _record_statements(
        self, target: fleetrecords.TargetEntry, answer: dispatch.Answer
    ) -> None:
        """Record what a target says in an answer that is proved to be its."""
        named = answer.headers.getall(protocol.INSTANCE_ID, ())
        if named == [target.target_id] or dispatch.is_of_target(answer):
            self._outcomes.statements.record(
                fleetrecords.run_of(target),
                answer.status,
                answer.headers,
                'probe',
            )

    async def _probe(self, target: fleetrecords.TargetEntry) -> None:
        sent_ms = self._clock.now_ms()
        answered: bool | None = True
        try:
            async with self._session.get(
                f'http://{target.address}{self._core.reach.probe_path(target)}',
                headers={protocol.EXPECT_INSTANCE: target.target_id},
                timeout=aiohttp.ClientTimeout(
                    total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as answer:
                fault = ''
                self._record_statements(target, answer)
        except aiohttp.ClientError as failed:
            answered, fault = False, repr(failed)
        except TimeoutError as silent:
            # The connection was opened, so the link works.
            answered, fault = None, repr(silent)
        self._outcomes.record_probe(
            target, sent_ms, answered=answered, fault=fault
        )
