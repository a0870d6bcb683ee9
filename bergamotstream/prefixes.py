"""
Prefixes
~~~~~~~~

Digest of the prompt prefixes that a target has cached, built from its cache
events and from the attempts that ran there.
"""

import collections

# Bounds the memory for each target; engines cache fewer blocks than this.
MAX_HASHES = 1_024


class PrefixDigest:
    """Hashes of the blocks that a target probably has cached."""

    def __init__(self) -> None:
        """Start empty."""
        self._hashes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._sequence = 0

    def matching_blocks(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are cached."""
        for count, block_hash in enumerate(hashes):
            if block_hash not in self._hashes:
                return count
        return len(hashes)

    def add(self, hashes: tuple[int, ...]) -> None:
        """Add the blocks of a prompt that the target has processed."""
        for block_hash in hashes[:MAX_HASHES]:
            self._hashes[block_hash] = None
            self._hashes.move_to_end(block_hash)
        while len(self._hashes) > MAX_HASHES:
            self._hashes.popitem(last=False)

    def apply_events(
        self, sequence: int, added: tuple[int, ...], removed: tuple[int, ...]
    ) -> None:
        """Apply cache events; a gap in the sequence clears the digest."""
        if sequence <= self._sequence:
            return
        if self._sequence and sequence != self._sequence + 1:
            self.clear()
        self._sequence = sequence
        for block_hash in removed:
            self._hashes.pop(block_hash, None)
        self.add(added)

    def clear(self) -> None:
        """Discard all hashes, for instance after a restart."""
        self._hashes.clear()
        self._sequence = 0
