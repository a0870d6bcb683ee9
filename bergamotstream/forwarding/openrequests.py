"""
Open requests
~~~~~~~~~~~~~

The requests that a host serves, each with the limit of its time. A planned stop
shortens the limits, so that each request gets an answer that tells whether it
may have run, before its connection is closed.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

from bergamotstream import clock, errors
from bergamotstream.forwarding import requeststate, scheduler

MS_PER_S: Final = 1_000


class OpenRequests:
    """Requests by their limits, and the stop that may end them."""

    def __init__(self, time_source: clock.Clock) -> None:
        """Serve until a stop begins."""
        self.stop: scheduler.GracefulShutdown | None = None
        self._clock = time_source
        self._limits_by_request: dict[
            requeststate.RequestState, asyncio.Timeout
        ] = {}

    def begin_stop(self, shutdown: scheduler.GracefulShutdown) -> None:
        """Let all requests end before the connections are closed."""
        self.stop = shutdown
        now_s = asyncio.get_running_loop().time()
        for state, limit in self._limits_by_request.items():
            self._shorten(state)
            # One that has passed cannot be moved; its request is ending.
            if not limit.expired():
                limit.reschedule(now_s + self._remaining_s(state))

    @contextlib.asynccontextmanager
    async def limit(
        self, state: requeststate.RequestState
    ) -> AsyncIterator[None]:
        """Bound the time of a request; raises ``TimeoutError`` at its end."""
        self._shorten(state)
        async with asyncio.timeout(self._remaining_s(state)) as limit:
            with contextlib.ExitStack() as stack:
                self._limits_by_request[state] = limit
                stack.callback(self._limits_by_request.pop, state)
                yield

    def timeout_error(
        self, state: requeststate.RequestState
    ) -> errors.ServiceError:
        """Return the error of a request whose time is over.

        A request that a stop has ended before any target got it can be sent
        again.
        """
        if self._ends_by_stop(state) and not state.may_have_run:
            return errors.HostLeaving(
                'open at the end', retry_after_ms=scheduler.LEAVING_RETRY_MS
            )
        return errors.DeadlinePassed()

    def _ends_by_stop(self, state: requeststate.RequestState) -> bool:
        return self.stop is not None and state.job.end_ms >= self.stop.answer_ms

    def _shorten(self, state: requeststate.RequestState) -> None:
        if self.stop is not None:
            end_ms = min(state.job.end_ms, self.stop.answer_ms)
            state.job = state.job._replace(end_ms=end_ms)

    def _remaining_s(self, state: requeststate.RequestState) -> float:
        return max(state.job.end_ms - self._clock.now_ms(), 0) / MS_PER_S
