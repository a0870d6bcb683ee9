"""
Pending items
~~~~~~~~~~~~~

Large items of the store that a host knows to have changed, but whose documents
it has not received yet.
"""

from typing import NamedTuple

import xxhash


class Reference(NamedTuple):
    """A large item without its document."""

    key: str
    revision: int
    # Length of the document in bytes.
    length: int
    # Of the document; empty from hosts of older builds.
    digest: str = ''


class Pending(NamedTuple):
    """A reference, and for how long the item has been lacking."""

    reference: Reference
    # When the reference became known.
    known_ms: int
    # When the first reference became known that the host lacks.
    since_ms: int


class PendingItems:
    """References to the items that a host lacks."""

    def __init__(self) -> None:
        """Lack nothing."""
        self._by_key: dict[str, Pending] = {}

    def references(self) -> list[Reference]:
        """Return what is lacking."""
        return [lacking.reference for lacking in self._by_key.values()]

    def is_pending(self, key: str) -> bool:
        """Tell whether an item is lacking."""
        return key in self._by_key

    def add(self, reference: Reference, now_ms: int) -> bool:
        """Record an item that is lacking; return whether it is news."""
        known = self._by_key.get(reference.key)
        since_ms = now_ms
        if known is not None:
            if known.reference.revision >= reference.revision:
                return False
            since_ms = known.since_ms
        self._by_key[reference.key] = Pending(reference, now_ms, since_ms)
        return True

    def resolve(self, key: str, revision: int) -> None:
        """Record that a key is known at a revision."""
        known = self._by_key.get(key)
        if known is None:
            return
        if known.reference.revision <= revision:
            self._by_key.pop(key)
        else:
            self._by_key[key] = known._replace(since_ms=known.known_ms)

    def resolve_until(self, revision: int) -> None:
        """Record that all keys are known as they were at a revision."""
        for key in tuple(self._by_key):
            self.resolve(key, revision)

    def since_ms(self, key: str) -> int | None:
        """Return since when a key is lacking, ``None`` if it is not."""
        known = self._by_key.get(key)
        return None if known is None else known.since_ms

    def complete_revision(self, known_revision: int) -> int:
        """Return the last revision up to which nothing is lacking."""
        earliest = min(
            (reference.revision for reference in self.references()),
            default=known_revision + 1,
        )
        return min(earliest - 1, known_revision)


def reference_to(key: str, revision: int, document: bytes) -> Reference:
    """Return a reference to a document."""
    return Reference(key, revision, len(document), digest_of(document))


def digest_of(document: bytes) -> str:
    """Return what tells documents apart."""
    return xxhash.xxh3_64_hexdigest(document)
