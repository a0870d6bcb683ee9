"""
Relay
~~~~~

Assembles the answer of one request from the chunks of its attempts. Chunks of
an attempt that is no longer current are discarded, repeated tokens are
dropped and early chunks wait until the gap before them is filled.
"""

from typing import NamedTuple

MAX_EARLY_CHUNKS = 256


class Chunk(NamedTuple):
    """Consecutive tokens of an attempt; ``offset`` is the first one's index."""

    request_id: str
    attempt_id: str
    offset: int
    tokens: tuple[str, ...]


class StreamAssembler:
    """Puts one request's tokens in order."""

    def __init__(self, request_id: str, offset: int = 0) -> None:
        """Start after ``offset`` tokens that the caller already has."""
        self.request_id = request_id
        self.offset = offset
        self.attempt_id = ''
        self._early_by_offset: dict[int, Chunk] = {}

    def switch_attempt(self, attempt_id: str) -> None:
        """Accept chunks of this attempt only from now on."""
        if attempt_id != self.attempt_id:
            self._early_by_offset.clear()
        self.attempt_id = attempt_id

    def restart(self, offset: int = 0) -> None:
        """Continue from another offset, as the caller asked."""
        self.offset = offset
        self._early_by_offset.clear()

    def accept(self, chunk: Chunk) -> tuple[str, ...]:
        """Return the tokens that can now be sent to the caller."""
        if not self._is_current(chunk):
            return ()
        if chunk.offset > self.offset:
            self._buffer_early(chunk)
            return ()
        ready = list(self._consume(chunk))
        while self._early_by_offset:
            first_offset = min(self._early_by_offset)
            if first_offset > self.offset:
                break
            ready.extend(self._consume(self._early_by_offset.pop(first_offset)))
        return tuple(ready)

    def _is_current(self, chunk: Chunk) -> bool:
        return (
            chunk.request_id == self.request_id
            and chunk.attempt_id == self.attempt_id
        )

    def _buffer_early(self, chunk: Chunk) -> None:
        if len(self._early_by_offset) < MAX_EARLY_CHUNKS:
            self._early_by_offset[chunk.offset] = chunk

    def _consume(self, chunk: Chunk) -> tuple[str, ...]:
        new_tokens = chunk.tokens[self.offset - chunk.offset :]
        self.offset += len(new_tokens)
        return new_tokens
