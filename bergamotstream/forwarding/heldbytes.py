"""
Held bytes
~~~~~~~~~~

Bounds what a host holds for many peers together: of answers, bodies that are
passed on as a whole and events that are not complete yet; of callers, heads,
bodies and answers that they do not read. Each of these has a bound of its own,
but many faulty targets or callers may reach it at a time.
"""

import types
from collections.abc import Callable
from typing import Final, TypeAlias

from bergamotstream.forwarding import answerlimits, answerroom

# Part of the bytes for answers that state their length and wait for room. The
# rest is for answers whose length is not known.
ROOM_SHARE: Final = 0.5

# Ends a holding: nothing more is read for it, and what is held is dropped.
AnswerEnder: TypeAlias = Callable[[answerlimits.LimitExceeded], None]


class HeldBytes:
    """The bytes of all holdings; above the bound the largest one ends.

    Sound answers and requests are short, so they go on beside those that never
    end. Holdings that wait for their peer end before any other.
    """

    def __init__(self, allowed: int) -> None:
        """Hold at most ``allowed`` bytes."""
        self.allowed = allowed
        self.total = 0
        self._holdings: dict[Holding, None] = {}

    def open(self, end: AnswerEnder) -> 'Holding':
        """Return a new holding, which ``end`` ends."""
        return Holding(self, end)

    def add(self, holding: 'Holding', added: int) -> None:
        """Count bytes of a holding, and end others until all are allowed."""
        self._holdings[holding] = None
        self.total += added
        while self.total > self.allowed:
            largest = max(self._holdings, key=_rank)
            exceeded = answerlimits.LimitExceeded(
                'held_bytes', self.total, self.allowed
            )
            self.remove(largest)
            largest.end(exceeded)

    def remove(self, holding: 'Holding') -> None:
        """Forget a holding whose bytes are dropped."""
        if holding in self._holdings:
            self._holdings.pop(holding)
            self.total -= holding.size


class HeldAnswers(HeldBytes):
    """The bytes of answers, with room that they wait for in turn."""

    def __init__(self, allowed: int) -> None:
        """Hold at most ``allowed`` bytes."""
        super().__init__(allowed)
        self.room = answerroom.AnswerRoom(int(allowed * ROOM_SHARE))


class Holding:
    """The bytes that are held for one answer or one connection."""

    def __init__(self, held: HeldBytes, end: AnswerEnder) -> None:
        """Hold nothing."""
        self.size = 0
        # Whether the bytes stay until a peer sends or reads more.
        self.is_waiting = False
        # Emptied at the end: the traceback of a fault keeps it for longer.
        self.buffer = bytearray()
        self._held = held
        self._end = end
        self._is_ended = False

    def __enter__(self) -> 'Holding':
        """Hold bytes until the end of a block."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        fault: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Drop the bytes."""
        self._held.remove(self)
        self.buffer.clear()

    def extend(self, received: bytes) -> None:
        """Add bytes to the buffer, unless the answer has ended."""
        if not self._is_ended:
            self.buffer += received
            self.resize(len(self.buffer))

    def resize(self, size: int) -> None:
        """Hold this many bytes from now on, unless the answer has ended."""
        if not self._is_ended and size != self.size:
            added = size - self.size
            self.size = size
            self._held.add(self, added)

    def end(self, exceeded: answerlimits.LimitExceeded) -> None:
        """End the answer."""
        self._is_ended = True
        self.buffer.clear()
        self._end(exceeded)


def _rank(holding: Holding) -> tuple[bool, int]:
    return holding.is_waiting, holding.size
