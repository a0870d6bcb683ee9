"""
Place waits
~~~~~~~~~~~

Waits for a place on the targets of the own cell while all are full, and passes
a request on to another cell that has room for it.
"""

import asyncio
import contextlib
from typing import Final

from bergamotstream import clock, errors
from bergamotstream.forwarding import (
    exchangerecords,
    relayattempts,
    requeststate,
    scheduler,
)

MS_PER_S: Final = 1_000
# Delay before a waiting request is placed again: about a pass of an engine, or
# this part of the request's goal if that is longer.
MIN_PLACEMENT_RETRY_S: Final = 0.05
PLACEMENT_RETRY_GOAL_RATIO: Final = 0.05


class PlaceWaits:
    """The requests of one host that wait for a place."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        relays: relayattempts.RelayAttempts,
        time_source: clock.Clock,
    ) -> None:
        """Place by the decisions of ``core``."""
        self._core = core
        self._relays = relays
        self._clock = time_source

    async def place(
        self, state: requeststate.RequestState
    ) -> exchangerecords.Assignment:
        """Place a try; wait for capacity if the scheduler allows it.

        Raises ``CellFull`` if another cell has room for the request, and what
        ``Scheduler.place`` does.
        """
        job = state.job
        while True:
            now_ms = self._clock.now_ms()
            # Peers may have blamed the request since it was admitted.
            self._core.check_blame(job, now_ms)
            try:
                return self._place_here(state, now_ms)
            except errors.Overloaded:
                self._check_overflow(state)
                if not self._core.may_wait(job, now_ms):
                    raise
            goal_s = job.route.goal_ms / MS_PER_S
            await asyncio.sleep(
                max(MIN_PLACEMENT_RETRY_S, goal_s * PLACEMENT_RETRY_GOAL_RATIO)
            )

    def _place_here(
        self, state: requeststate.RequestState, now_ms: int
    ) -> exchangerecords.Assignment:
        """Place a try in the own cell unless another one is in time.

        Raises ``CellFull`` if the answer would be late here only.
        """
        assignment = self._core.place(state.job, state.tried_target_ids, now_ms)
        if scheduler.is_forecast_late(state.job, assignment):
            with contextlib.ExitStack() as stack:
                stack.callback(self._core.release, assignment)
                self._check_overflow(state)
                stack.pop_all()
        return assignment

    def _check_overflow(self, state: requeststate.RequestState) -> None:
        """Raise ``CellFull`` if another cell has room for a request."""
        peer = self._relays.choose_overflow(state)
        if peer is not None:
            raise relayattempts.CellFull(peer)
