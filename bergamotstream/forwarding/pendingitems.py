"""
Pending items
~~~~~~~~~~~~~

Large items of the store that a host knows to have changed, but whose documents
it has not received yet.
"""

from collections.abc import Iterable
from typing import NamedTuple


class Reference(NamedTuple):
    """A large item without its document."""

    key: str
    revision: int
    # Length of the document in bytes.
    length: int


class PendingItems:
    """References to the items that a host lacks."""

    def __init__(self) -> None:
        """Lack nothing."""
        self.by_key: dict[str, Reference] = {}
        self._since_ms_by_key: dict[str, int] = {}

    def add(self, reference: Reference, now_ms: int) -> bool:
        """Record an item that is lacking; return whether it is news."""
        known = self.by_key.get(reference.key)
        if known is not None and known.revision >= reference.revision:
            return False
        self.by_key[reference.key] = reference
        self._since_ms_by_key.setdefault(reference.key, now_ms)
        return True

    def resolve(self, key: str, revision: int) -> None:
        """Record that a key is known at a revision."""
        known = self.by_key.get(key)
        if known is not None and known.revision <= revision:
            self.by_key.pop(key)
            self._since_ms_by_key.pop(key)

    def resolve_until(self, revision: int) -> None:
        """Record that all keys are known as they were at a revision."""
        for key in tuple(self.by_key):
            self.resolve(key, revision)

    def since_ms(self, key: str) -> int | None:
        """Return since when a key is lacking, ``None`` if it is not."""
        return self._since_ms_by_key.get(key)

    def complete_revision(self, known_revision: int) -> int:
        """Return the last revision up to which nothing is lacking."""
        lacking: Iterable[Reference] = self.by_key.values()
        earliest = min(
            (reference.revision for reference in lacking),
            default=known_revision + 1,
        )
        return min(earliest - 1, known_revision)
