"""
Places
~~~~~~

Waits for a place on the targets of the own cell while all are full, and passes
a request on to another cell that has room for it. Requests wait in the order
of their queue (``order``) and try again when work has ended, here or at a peer.
"""

import asyncio
import contextlib
import random
from collections.abc import Iterator
from typing import Final

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    exchangerecords,
    relayattempts,
    requeststate,
    requesttimes,
    scheduler,
)
from bergamotstream.forwarding.waiting import drain, order

MS_PER_S: Final = 1_000
# Delay before a waiting request is placed again if nothing has ended meanwhile:
# about a pass of an engine, or this part of the request's goal if that is
# longer.
MIN_PLACEMENT_RETRY_S: Final = 0.05
PLACEMENT_RETRY_GOAL_RATIO: Final = 0.05
# Least time between tries of one request of an engine: a placement compares all
# targets, and a cell ends work every few ms.
MIN_ENGINE_TRY_MS: Final = 20
# Part of its time that a request of a plain service waits if its workspace is
# below its share: a late answer is still of use, and the rest is for the target.
PLAIN_WAIT_RATIO: Final = 0.5


class Waiting:
    """One request that waits."""

    def __init__(
        self, state: requeststate.RequestState, key: order.Key
    ) -> None:
        """Wait at the place ``key`` of the queue."""
        self.state = state
        self.key = key
        self.freed = asyncio.Event()
        self.tried_ms = 0


class PlaceWaits:
    """The requests of one host that wait for a place."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        relays: relayattempts.RelayAttempts,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Place by the decisions of ``core``."""
        self._core = core
        self._relays = relays
        self._clock = time_source
        self._meters = meters
        self._drain = drain.Drain(random.Random())
        self._queues_by_service: dict[str, order.WaitQueue] = {}
        self._waiting_by_service: dict[str, dict[order.Key, Waiting]] = {}
        core.table.handle_freed = self._wake

    async def place(
        self, state: requeststate.RequestState
    ) -> exchangerecords.Assignment:
        """Place a try; wait for capacity if the scheduler allows it.

        Raises ``CellFull`` if another cell has room for the request, and what
        ``Scheduler.place`` does.
        """
        if not self._core.shares.is_active():
            return await self._place_by_polling(state)
        now_ms = self._clock.now_ms()
        if not self._has_before(state.job):
            with contextlib.suppress(errors.Overloaded):
                return self._place_here(state, now_ms)
        self._check_overflow(state)
        with self._enqueued(state) as waiting:
            return await self._place_in_turn(waiting)

    async def _place_by_polling(
        self, state: requeststate.RequestState
    ) -> exchangerecords.Assignment:
        """Place a try of a service whose requests have no order."""
        while True:
            now_ms = self._clock.now_ms()
            try:
                return self._place_here(state, now_ms)
            except errors.Overloaded:
                self._check_overflow(state)
                if not self._core.may_wait(state.job, now_ms):
                    raise
            await asyncio.sleep(_retry_s(state.job))

    async def _place_in_turn(
        self, waiting: Waiting
    ) -> exchangerecords.Assignment:
        """Place a try when it is the turn of its request."""
        state = waiting.state
        while True:
            now_ms = self._clock.now_ms()
            self._check_wait(waiting, now_ms)
            waiting.freed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_retry_s(state.job)):
                    await waiting.freed.wait()
            now_ms = self._clock.now_ms()
            waiting.tried_ms = now_ms
            try:
                assignment = self._place_here(state, now_ms)
            except errors.Overloaded:
                self._check_overflow(state)
                continue
            self._drain.record_placed(state.job.service.name, now_ms)
            self._meters.count('place_waits', 'placed')
            return assignment

    def _place_here(
        self, state: requeststate.RequestState, now_ms: int
    ) -> exchangerecords.Assignment:
        """Place a try in the own cell unless another one is in time.

        Raises ``CellFull`` if the answer would be late here only.
        """
        job = state.job
        # Peers may have blamed the request since it was admitted.
        self._core.check_blame(job, now_ms)
        assignment = self._core.place(job, state.tried_target_ids, now_ms)
        if requesttimes.is_forecast_late(job, assignment):
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

    def _has_before(self, job: exchangerecords.Job) -> bool:
        """Tell whether a request waits that goes before a new one."""
        queue = self._queues_by_service.get(job.service.name)
        if not queue:
            return False
        return queue.has_before(
            job.priority,
            job.end_ms,
            is_above_share=self._core.shares.is_above(job),
        )

    @contextlib.contextmanager
    def _enqueued(self, state: requeststate.RequestState) -> Iterator[Waiting]:
        """Let a request wait in the queue of its service."""
        job = state.job
        service = job.service.name
        queue = self._queues_by_service.setdefault(service, order.WaitQueue())
        listed = self._waiting_by_service.setdefault(service, {})
        is_above = self._core.shares.is_above(job)
        key = queue.add(job.priority, job.end_ms, is_above_share=is_above)
        listed[key] = Waiting(state, key)
        self._drain.begin(service, self._clock.now_ms())
        self._core.shares.add_waiting(job)
        with contextlib.ExitStack() as stack:
            stack.callback(self._handle_left, service)
            stack.callback(self._core.shares.remove_waiting, job)
            stack.callback(listed.pop, key)
            stack.callback(queue.remove, key)
            yield listed[key]

    def _check_wait(self, waiting: Waiting, now_ms: int) -> None:
        """Raise ``Overloaded`` for a request that gets no place in time."""
        job = waiting.state.job
        service = job.service.name
        queue = self._queues_by_service[service]
        limit_ms = self._wait_end_ms(waiting) - now_ms
        ahead = queue.count_before(waiting.key)
        expected_ms = self._drain.wait_ms(service, ahead, now_ms) or 0
        if limit_ms > expected_ms and len(queue) <= order.MAX_WAITING:
            return
        self._meters.count('place_waits', 'refused')
        delay_ms = self._drain.retry_after_ms(service, len(queue), now_ms)
        raise errors.Overloaded(
            f'waiting={len(queue)} ahead={ahead} left_ms={limit_ms:.0f}'
            f' expected_ms={expected_ms:.0f}'
            f' above_share={waiting.key.is_above_share}',
            retry_after_ms=delay_ms or self._core.retry_after_ms(),
        )

    def _wait_end_ms(self, waiting: Waiting) -> float:
        """Return until when a request may wait."""
        job = waiting.state.job
        goal_ms = job.route.goal_ms * scheduler.MAX_WAIT_GOALS
        if job.generation is None and not waiting.key.is_above_share:
            time_ms = job.end_ms - job.arrived_ms
            goal_ms = max(goal_ms, time_ms * PLAIN_WAIT_RATIO)
        return job.arrived_ms + goal_ms

    def _wake(self) -> None:
        """Let the first requests of all services try again."""
        for service in self._waiting_by_service:
            self._wake_service(service)

    def _handle_left(self, service: str) -> None:
        """Let the next requests of a service try, if any wait."""
        if self._waiting_by_service[service]:
            self._wake_service(service)
        else:
            self._drain.end(service)

    def _wake_service(self, service: str) -> None:
        """Let the first request of each rank try again."""
        listed = self._waiting_by_service[service]
        if not listed:
            return
        now_ms = self._clock.now_ms()
        for key in self._queues_by_service[service].firsts():
            waiting = listed[key]
            is_engine = waiting.state.job.generation is not None
            pause_ms = MIN_ENGINE_TRY_MS if is_engine else 0
            if now_ms - waiting.tried_ms >= pause_ms:
                waiting.freed.set()


def _retry_s(job: exchangerecords.Job) -> float:
    """Return the time after which a request tries again in any case."""
    goal_s = job.route.goal_ms / MS_PER_S
    return max(MIN_PLACEMENT_RETRY_S, goal_s * PLACEMENT_RETRY_GOAL_RATIO)
