"""
Answer room
~~~~~~~~~~~

Lets answers that state their length be received one after the other when they
do not fit into memory side by side. It answers crowds of callers whose answers
are large: without an order, each answer is ended shortly before it is complete
to make room for the others, and none of them is ever passed on.
"""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator
from typing import Final

# Answers up to this length never wait.
SHORT_BYTES: Final = 65_536
# Targets cut off an answer that stays unread for some seconds. After this long
# it is received without a reservation, so that the bound of held bytes decides.
MAX_WAIT_S: Final = 2.0


class AnswerRoom:
    """Grants bytes to answers in the order in which they ask."""

    def __init__(self, allowed: int) -> None:
        """Grant at most ``allowed`` bytes at a time."""
        self._allowed = allowed
        self._free_bytes = allowed
        self._queue: collections.deque[tuple[int, asyncio.Future[None]]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Return how many answers wait."""
        return sum(not place.done() for _, place in self._queue)

    @contextlib.asynccontextmanager
    async def reserved(self, size: int) -> AsyncIterator[None]:
        """Wait for room for ``size`` bytes, and free it at the end."""
        if size <= SHORT_BYTES:
            yield
            return
        granted = await self._enter(min(size, self._allowed))
        try:
            yield
        finally:
            self._release(granted)

    async def _enter(self, size: int) -> int:
        """Return ``size``, or 0 after a wait in vain."""
        place = asyncio.get_running_loop().create_future()
        self._queue.append((size, place))
        self._grant()
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await place
        except TimeoutError:
            self._grant()
        except asyncio.CancelledError:
            self._release(size if _is_granted(place) else 0)
            raise
        return size if _is_granted(place) else 0

    def _release(self, size: int) -> None:
        self._free_bytes += size
        self._grant()

    def _grant(self) -> None:
        """Grant what fits, but nothing ahead of the answer that waits first."""
        while self._queue:
            size, place = self._queue[0]
            if not place.done():
                if size > self._free_bytes:
                    return
                self._free_bytes -= size
                place.set_result(None)
            self._queue.popleft()


def _is_granted(place: 'asyncio.Future[None]') -> bool:
    return place.done() and not place.cancelled()
