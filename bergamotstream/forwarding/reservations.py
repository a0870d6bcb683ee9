"""
Reservations
~~~~~~~~~~~~

Memory on further targets for a prompt that one target cannot hold. A
reservation is a short lease that is renewed while the request runs, so that
the memory is free again within the operators' bound after its host crashes.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import aiohttp

from bergamotstream.forwarding import eventlog, exchangerecords, hostsettings
from bergamotstream.platform import targetmemory

RENEW_INTERVAL_S: Final = 1.0
# Pause after an order without an answer. The lease must outlast a target that is
# silent for some seconds, or the request is cut off that uses the memory.
UNANSWERED_PAUSE_S: Final = 0.1


class MemoryRefused(ConnectionError):
    """A target did not reserve memory; the request was not sent."""


class Reservations:
    """Reserves and releases memory on targets."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        log: eventlog.EventLog,
        bounds: hostsettings.Bounds,
    ) -> None:
        """Send orders over ``session``."""
        self._session = session
        self._lease_ms = bounds.memory_lease_ms
        self._log = log
        self._release_tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def held(
        self, reservations: tuple[exchangerecords.Reservation, ...]
    ) -> AsyncIterator[None]:
        """Hold memory inside the context; raises ``MemoryRefused``."""
        if not reservations:
            yield
            return
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._release_all, reservations)
            if not all(await self._reserve_all(reservations)):
                raise MemoryRefused
            for reservation in reservations:
                renewing = asyncio.ensure_future(self._renew(reservation))
                stack.callback(renewing.cancel)
            yield

    async def _reserve_all(
        self, reservations: tuple[exchangerecords.Reservation, ...]
    ) -> list[bool | None]:
        return await asyncio.gather(
            *(self._reserve(reservation) for reservation in reservations)
        )

    async def _reserve(
        self, reservation: exchangerecords.Reservation
    ) -> bool | None:
        """Tell whether a target holds the memory; ``None`` if it is silent."""
        try:
            return await targetmemory.reserve(
                self._session,
                reservation.target,
                reservation.ticket,
                reservation.tokens,
                self._lease_ms,
            )
        except targetmemory.OrderUnanswered as fault:
            self._log.write(
                'order_unanswered',
                target=reservation.target.target_id,
                ticket=reservation.ticket,
                fault=fault,
            )
            return None

    async def _renew(self, reservation: exchangerecords.Reservation) -> None:
        pause_s = RENEW_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            is_held = await self._reserve(reservation)
            pause_s = RENEW_INTERVAL_S
            if is_held is None:
                pause_s = UNANSWERED_PAUSE_S

    def _release_all(
        self, reservations: tuple[exchangerecords.Reservation, ...]
    ) -> None:
        """Release in separate tasks, as the request's task may be ending."""
        for reservation in reservations:
            task = asyncio.ensure_future(self._release(reservation))
            self._release_tasks.add(task)
            task.add_done_callback(self._release_tasks.discard)

    async def _release(self, reservation: exchangerecords.Reservation) -> None:
        try:
            await targetmemory.release(
                self._session, reservation.target, reservation.ticket
            )
        except targetmemory.OrderUnanswered as fault:
            self._log.write(
                'release_unsure',
                target=reservation.target.target_id,
                ticket=reservation.ticket,
                ends_in_ms=self._lease_ms,
                fault=fault,
            )
