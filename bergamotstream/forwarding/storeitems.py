"""
Store items
~~~~~~~~~~~

The items of the store that one host knows, with what it needs to bring a peer
up to date. Large items may be pending: known to have changed, but without
their documents so far.
"""

from collections.abc import Collection
from typing import Final, NamedTuple

from bergamotstream.forwarding import pendingitems
from bergamotstream.platform import store

# Deletions that are kept so that older items arriving later are ignored.
MAX_TOMBSTONES: Final = 4_096
# Documents above this length are sent apart from the news of other items.
LARGE_BYTES: Final = 16_384
# Revision of an item that is known from an earlier history only.
UNDATED: Final = 0


class News(NamedTuple):
    """Changes in which large items are only named."""

    page: store.Page
    references: tuple[pendingitems.Reference, ...] = ()


class StoreItems:
    """Items by key; an older revision never replaces a newer one."""

    def __init__(self) -> None:
        """Know nothing."""
        self.by_key: dict[str, store.Item] = {}
        self.pending = pendingitems.PendingItems()
        # The history of the store that all revisions belong to.
        self.era = 0
        # Up to here all changes are known, of pending items that they exist.
        self.revision = 0
        # The first revision from which all deletions are known.
        self.complete_since = 0
        # Whether another history is known to have come before.
        self._has_restarted = False
        self._tombstones_by_key: dict[str, int] = {}

    def complete_revision(self) -> int:
        """Return up to which revision all documents are known."""
        return self.pending.complete_revision(self.revision)

    def position(self) -> store.Position:
        """Return up to where all changes are known."""
        return store.Position(self.era, self.revision)

    def complete_position(self) -> store.Position:
        """Return up to where all documents are known."""
        return store.Position(self.era, self.complete_revision())

    def assumed_era(self) -> int:
        """Return the era of a revision that an older build has sent.

        After another history it may belong to either, so it is unknown.
        """
        return 0 if self._has_restarted else self.era

    def is_other_history(self, page: store.Page) -> bool:
        """Tell whether a page names another history than that of the items."""
        return page.era not in {0, self.era}

    def is_deleted(self, key: str) -> bool:
        """Tell whether a key is known to have been deleted."""
        return key in self._tombstones_by_key

    def start_history(self, era: int, news: Collection[str]) -> None:
        """Forget all revisions, so that each item of ``era`` replaces ours.

        Items of the keys in ``news`` count as news even if they are unchanged.
        """
        self._has_restarted = self._has_restarted or self.revision > 0
        self.era = era
        self.revision = 0
        self.complete_since = 0
        self.pending = pendingitems.PendingItems()
        self._tombstones_by_key.clear()
        self.by_key = {
            key: item._replace(revision=UNDATED)
            for key, item in self.by_key.items()
            if key not in news
        }

    def record(self, item: store.Item) -> bool:
        """Record an item; return whether it is news."""
        self.pending.resolve(item.key, item.revision)
        if self._is_known(item.key, item.revision):
            return False
        if self._is_confirmed(item):
            self.by_key[item.key] = item
            return False
        if item.document is None:
            self.by_key.pop(item.key, None)
            self._add_tombstone(item)
        else:
            self.by_key[item.key] = item
            self._tombstones_by_key.pop(item.key, None)
        return True

    def record_reference(
        self, reference: pendingitems.Reference, now_ms: int
    ) -> bool:
        """Record a large item without its document; return whether it is news."""
        if self._is_known(reference.key, reference.revision):
            return False
        return self.pending.add(reference, now_ms)

    def snapshot(self) -> store.Page:
        """Return all items as far as they are complete."""
        return store.Page(
            tuple(self.by_key.values()), self.complete_revision(), era=self.era
        )

    def changes_since(self, known: store.Position) -> store.Page | None:
        """Return the changes since a position, ``None`` if incomplete."""
        revision = known.revision
        if known.era != self.era or revision < self.complete_since:
            return None
        written = [
            item for item in self.by_key.values() if item.revision > revision
        ]
        deleted = [
            store.Item(key, deleted_at, None)
            for key, deleted_at in self._tombstones_by_key.items()
            if deleted_at > revision
        ]
        return store.Page(
            (*written, *deleted), self.complete_revision(), era=self.era
        )

    def news_of(self, page: store.Page, after: int) -> News:
        """Return a page of these items as news for a peer at a revision."""
        large = [
            pendingitems.reference_to(
                item.key, item.revision, item.document or b''
            )
            for item in page.items
            if _is_large(item) and not self.pending.is_pending(item.key)
        ]
        lacking = [
            reference
            for reference in self.pending.references()
            if reference.revision > after
        ]
        small = tuple(item for item in page.items if not _is_large(item))
        return News(
            store.Page(small, self.revision, era=self.era), (*large, *lacking)
        )

    def with_deletions(self, news: News) -> store.Page:
        """Return a complete listing with the keys that it lacks as deleted."""
        page = news.page
        present = {item.key for item in page.items}
        present.update(item.key for item in page.unreadable)
        present.update(reference.key for reference in news.references)
        gone = [
            store.Item(key, page.revision, None)
            for key in self._known_keys()
            if key not in present
        ]
        return page._replace(items=(*gone, *page.items))

    def _known_keys(self) -> set[str]:
        """Return the keys of items that are known or pending."""
        pending = self.pending.references()
        return {*self.by_key, *(reference.key for reference in pending)}

    def with_known_documents(self, news: News) -> News:
        """Return news with the items whose documents are known already.

        A document has another revision once the store has returned from a
        copy, or its writer has written it again.
        """
        known = tuple(
            self.by_key[reference.key]._replace(revision=reference.revision)
            for reference in news.references
            if self._is_document_known(reference)
        )
        items = (*news.page.items, *known)
        return news._replace(page=news.page._replace(items=items))

    def _is_document_known(self, reference: pendingitems.Reference) -> bool:
        known = self.by_key.get(reference.key)
        if known is None or not reference.digest:
            return False
        document = known.document or b''
        return reference == pendingitems.reference_to(
            reference.key, reference.revision, document
        )

    def _is_confirmed(self, item: store.Item) -> bool:
        """Tell whether an item is the one known from an earlier history."""
        known = self.by_key.get(item.key)
        return (
            known is not None
            and known.revision == UNDATED
            and known.document == item.document
        )

    def _is_known(self, key: str, revision: int) -> bool:
        known = self.by_key.get(key)
        if known is not None:
            return known.revision >= revision
        return self._tombstones_by_key.get(key, 0) >= revision

    def _add_tombstone(self, item: store.Item) -> None:
        self._tombstones_by_key[item.key] = item.revision
        if len(self._tombstones_by_key) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones_by_key))
            dropped = self._tombstones_by_key.pop(oldest)
            self.complete_since = max(self.complete_since, dropped)


def _is_large(item: store.Item) -> bool:
    return item.document is not None and len(item.document) > LARGE_BYTES
