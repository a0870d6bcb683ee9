"""
Store items
~~~~~~~~~~~

The items of the store that one host knows, with what it needs to bring a peer
up to date. Large items may be pending: known to have changed, but without
their documents so far.
"""

from typing import Final, NamedTuple

from bergamotstream.forwarding import pendingitems
from bergamotstream.platform import store

# Deletions that are kept so that older items arriving later are ignored.
MAX_TOMBSTONES: Final = 4_096
# Documents above this length are sent apart from the news of other items.
LARGE_BYTES: Final = 16_384


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
        # Up to here all changes are known, of pending items that they exist.
        self.revision = 0
        # The first revision from which all deletions are known.
        self.complete_since = 0
        self._tombstones_by_key: dict[str, int] = {}

    def complete_revision(self) -> int:
        """Return up to which revision all documents are known."""
        return self.pending.complete_revision(self.revision)

    def record(self, item: store.Item) -> bool:
        """Record an item; return whether it is news."""
        self.pending.resolve(item.key, item.revision)
        if self._is_known(item.key, item.revision):
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
        return store.Page(tuple(self.by_key.values()), self.complete_revision())

    def changes_since(self, revision: int) -> store.Page | None:
        """Return the changes since a revision, ``None`` if incomplete."""
        if revision < self.complete_since:
            return None
        written = [
            item for item in self.by_key.values() if item.revision > revision
        ]
        deleted = [
            store.Item(key, deleted_at, None)
            for key, deleted_at in self._tombstones_by_key.items()
            if deleted_at > revision
        ]
        return store.Page((*written, *deleted), self.complete_revision())

    def news_of(self, page: store.Page, after: int) -> News:
        """Return a page of these items as news for a peer at a revision."""
        large = [
            pendingitems.Reference(
                item.key, item.revision, len(item.document or b'')
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
        return News(store.Page(small, self.revision), (*large, *lacking))

    def with_deletions(self, news: News) -> store.Page:
        """Return a complete listing with the keys that it lacks as deleted."""
        page = news.page
        present = {item.key for item in page.items}
        present.update(item.key for item in page.unreadable)
        present.update(reference.key for reference in news.references)
        gone = [
            store.Item(key, page.revision, None)
            for key in self.by_key
            if key not in present
        ]
        return page._replace(items=(*gone, *page.items))

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
