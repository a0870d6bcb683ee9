"""
Outbox
~~~~~~

Bounded queue of the frames to be sent to one peer.
"""

import asyncio
import collections
import time
from typing import NamedTuple

MAX_FRAMES = 1_024
MAX_BYTES = 1_048_576
# Messages carry remaining durations, which become wrong while a frame is
# queued. Senders repeat important messages, so old frames are dropped.
MAX_AGE_S = 1.0


class _Entry(NamedTuple):
    frame: bytes
    is_heartbeat: bool
    queued_s: float


class Outbox:
    """Frames for one peer, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self.last_put_s = time.monotonic()
        self._entries: collections.deque[_Entry] = collections.deque()
        self._size_bytes = 0
        self._filled = asyncio.Event()

    def put(self, frame: bytes, is_heartbeat: bool) -> None:
        """Add a frame; when full, drop heartbeats first, oldest first."""
        self.last_put_s = time.monotonic()
        self._entries.append(_Entry(frame, is_heartbeat, self.last_put_s))
        self._size_bytes += len(frame)
        while self._is_over_limit():
            self._drop_entry()
        self._filled.set()

    async def get(self) -> bytes:
        """Remove and return the oldest frame younger than ``MAX_AGE_S``."""
        while True:
            while self._entries:
                entry = self._entries.popleft()
                self._size_bytes -= len(entry.frame)
                if time.monotonic() - entry.queued_s < MAX_AGE_S:
                    return entry.frame
            self._filled.clear()
            await self._filled.wait()

    def _is_over_limit(self) -> bool:
        is_too_large = self._size_bytes > MAX_BYTES
        return is_too_large or len(self._entries) > MAX_FRAMES

    def _drop_entry(self) -> None:
        dropped = next(
            (entry for entry in self._entries if entry.is_heartbeat),
            self._entries[0],
        )
        self._entries.remove(dropped)
        self._size_bytes -= len(dropped.frame)
