"""
Retry decisions
~~~~~~~~~~~~~~~

Decides by the fault of a try whether a request goes to another target, and
which error its caller gets if it does not.
"""

import functools
from typing import Final

from bergamotstream import clock, errors
from bergamotstream.forwarding import (
    dispatch,
    fleetrecords,
    outcomes,
    relayattempts,
    requeststate,
    scheduler,
)

# Maximum tries that reach no target: half of the targets may fail at once,
# with their zone.
MAX_UNSENT_TRIES: Final = 8


class RetryDecisions:
    """Decisions on the retries of one host."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        recorder: outcomes.OutcomeRecorder,
        time_source: clock.Clock,
        relays: relayattempts.RelayAttempts,
    ) -> None:
        """Decide by the state of ``core`` and the peers that may serve."""
        self._core = core
        self._relays = relays
        self._outcomes = recorder
        self._clock = time_source

    @functools.singledispatchmethod
    def may_retry(
        self, fault: Exception, state: requeststate.RequestState
    ) -> bool:
        """Decide on a retry after a try that sent nothing."""
        state.tries_unsent += 1
        return state.tries_unsent <= MAX_UNSENT_TRIES

    @may_retry.register
    def _may_retry_refused(
        self, fault: dispatch.TargetRefused, state: requeststate.RequestState
    ) -> bool:
        if fault.misdirected:
            # The intended target is gone, so the try does not count as sent.
            state.tries_unsent += 1
        return state.tries_unsent <= MAX_UNSENT_TRIES and self._has_retry_left(
            state
        )

    @may_retry.register
    def _may_retry_broken(
        self, fault: dispatch.TargetBroken, state: requeststate.RequestState
    ) -> bool:
        retry_policy = state.job.route.retry_policy
        if retry_policy is fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN:
            return False
        if not self._core.blame.may_retry(
            state.job.fingerprints, self._clock.now_ms()
        ):
            self._outcomes.record_suspected_part(state)
            return False
        return self._has_retry_left(state)

    def may_try_beside(self, state: requeststate.RequestState) -> bool:
        """Decide on a further try while those that run are silent."""
        retry_policy = state.job.route.retry_policy
        now_ms = self._clock.now_ms()
        return (
            retry_policy is not fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN
            and state.is_silent
            and self._core.blame.may_retry(state.job.fingerprints, now_ms)
            and self._has_destination(state, now_ms)
            and self._has_retry_left(state)
        )

    def _has_destination(
        self, state: requeststate.RequestState, now_ms: int
    ) -> bool:
        """Tell whether a target or a peer may get one more try."""
        return self._core.has_target(
            state.job, state.tried_target_ids, now_ms
        ) or self._relays.has_peer(state)

    def _has_retry_left(self, state: requeststate.RequestState) -> bool:
        return self._core.may_retry(
            state.job, state.tries_sent, self._clock.now_ms()
        )

    def final_error(
        self, state: requeststate.RequestState
    ) -> errors.ServiceError:
        if state.may_have_run:
            return errors.TargetFailed(run_state='may_have_run')
        delay_ms = self._core.refused_retry_ms(state.job, self._clock.now_ms())
        if state.relayed_by and state.tries_unsent > MAX_UNSENT_TRIES:
            # The targets of this cell are down; another cell may serve it.
            return errors.NoTarget(
                f'unreached={state.tries_unsent}', retry_after_ms=delay_ms
            )
        return errors.Overloaded(retry_after_ms=delay_ms)
