"""
Silence
~~~~~~~

Waits for what a target or a peer sends. One that is silent for long may go on
or may be lost, so its try goes on, and another one is started beside it.
"""

import functools
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias, TypeVar

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    dispatch,
    eventlog,
    exchangerecords,
    outcomes,
    requeststate,
    retrydecisions,
    scheduler,
)

MS_PER_S: Final = 1_000
# Interval at which a further try is considered again, as targets get room.
CHECK_INTERVAL_S: Final = 0.25

Received = TypeVar('Received')
# Starts one more try of a request.
TryStarter: TypeAlias = Callable[[requeststate.RequestState], None]


class SilenceMonitor:
    """Watches the targets of the tries of one host."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        recorder: outcomes.OutcomeRecorder,
        retries: retrydecisions.RetryDecisions,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
        start_try: TryStarter,
    ) -> None:
        """Start further tries by ``start_try``."""
        self._log = log
        self._meters = meters
        self._core = core
        self._outcomes = recorder
        self._retries = retries
        self._clock = time_source
        self._start_try = start_try

    async def receive(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        receiving: Coroutine[Any, Any, Received],
    ) -> Received:
        """Return what a target sends, however long it is silent."""
        started_ms = self._clock.now_ms()
        limit_ms = self._core.silence_limit_ms(served.job, started_ms)
        received = await dispatch.receive(
            receiving,
            None if limit_ms is None else limit_ms / MS_PER_S,
            CHECK_INTERVAL_S,
            functools.partial(
                self._handle_silent_target, served, assignment, started_ms
            ),
        )
        self._handle_resumed(served, started_ms)
        return received

    def _handle_silent_target(
        self,
        served: requeststate.Try,
        assignment: exchangerecords.Assignment,
        since_ms: int,
    ) -> None:
        if self.handle_silence(served, self._clock.now_ms() - since_ms):
            self._outcomes.record_silent_target(served, assignment)

    def handle_silence(self, served: requeststate.Try, silent_ms: int) -> bool:
        """Start a try beside a silent one if that is allowed; tell if so."""
        is_news = not served.is_silent
        served.is_silent = True
        served.outcome = requeststate.SILENT
        another = self._retries.may_try_beside(served.request)
        if is_news or another:
            self._record_silence(served, silent_ms, another=another)
        if another:
            self._start_try(served.request)
        return another

    def record_refusal(
        self, state: requeststate.RequestState, error: errors.ServiceError
    ) -> None:
        """Record that no further try is made beside the one that runs."""
        self._log.write(
            'further_try_refused',
            id=state.job.request.attempt_id,
            reason=error.code,
            detail=error.detail,
            running=len(state.running),
        )

    def _record_silence(
        self, served: requeststate.Try, silent_ms: int, *, another: bool
    ) -> None:
        self._meters.count('silent_targets', served.job.service.name)
        self._log.write(
            'target_silent',
            id=served.job.request.attempt_id,
            target=served.destination,
            silent_ms=silent_ms,
            events=served.events,
            last_event=served.request.last_event_id,
            another=another,
            revision=self._core.view.revision,
        )

    def _handle_resumed(self, served: requeststate.Try, since_ms: int) -> None:
        """Record that a target goes on after it had been silent."""
        if not served.is_silent:
            return
        served.is_silent = False
        served.outcome = requeststate.OPEN
        self._core.links.withdraw(served.job.service.name, served.destination)
        self._log.write(
            'target_resumed',
            id=served.job.request.attempt_id,
            target=served.destination,
            silent_ms=self._clock.now_ms() - since_ms,
        )
