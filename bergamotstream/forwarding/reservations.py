"""
Reservations
~~~~~~~~~~~~

Memory on further targets for a prompt that one target cannot hold. It is
reserved for a short time and renewed while the request runs, so that memory
of a host that dies is free again within the operators' bound.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

import aiohttp

from bergamotstream.forwarding import eventlog, exchangerecords
from bergamotstream.platform import targetmemory

# Shorter than the time after which unused memory counts as leaked (4 s).
HOLD_MS: Final = 3_000
RENEW_S: Final = 1.0


class MemoryRefused(ConnectionError):
    """A target did not reserve memory; the request was not sent."""


class Reservations:
    """Reserves memory and gives it back."""

    def __init__(
        self, session: aiohttp.ClientSession, log: eventlog.EventLog
    ) -> None:
        """Send orders over ``session``."""
        self._session = session
        self._log = log
        self._releasing: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def held(
        self, reserved: tuple[exchangerecords.Reservation, ...]
    ) -> AsyncIterator[None]:
        """Hold memory while the context is entered; ``MemoryRefused``."""
        if not reserved:
            yield
            return
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._release_all, reserved)
            if not await self._reserve_all(reserved):
                raise MemoryRefused
            renewing = asyncio.ensure_future(self._renew(reserved))
            stack.callback(renewing.cancel)
            yield

    async def _reserve_all(
        self, reserved: tuple[exchangerecords.Reservation, ...]
    ) -> bool:
        outcomes = await asyncio.gather(
            *(self._reserve(entry) for entry in reserved)
        )
        return all(outcomes)

    async def _reserve(self, entry: exchangerecords.Reservation) -> bool:
        try:
            return await targetmemory.reserve(
                self._session,
                entry.target,
                entry.ticket,
                entry.tokens,
                HOLD_MS,
            )
        except targetmemory.OrderUnanswered as fault:
            self._log.write(
                'order_unanswered',
                target=entry.target.target_id,
                ticket=entry.ticket,
                fault=fault,
            )
            return False

    async def _renew(
        self, reserved: tuple[exchangerecords.Reservation, ...]
    ) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            await self._reserve_all(reserved)

    def _release_all(
        self, reserved: tuple[exchangerecords.Reservation, ...]
    ) -> None:
        """Release in tasks of their own: the request's task may be ending."""
        for entry in reserved:
            task = asyncio.ensure_future(self._release(entry))
            self._releasing.add(task)
            task.add_done_callback(self._releasing.discard)

    async def _release(self, entry: exchangerecords.Reservation) -> None:
        try:
            await targetmemory.release(
                self._session, entry.target, entry.ticket
            )
        except targetmemory.OrderUnanswered as fault:
            self._log.write(
                'release_unsure',
                target=entry.target.target_id,
                ticket=entry.ticket,
                ends_in_ms=HOLD_MS,
                fault=fault,
            )
