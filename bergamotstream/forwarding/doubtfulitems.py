"""
Doubtful items
~~~~~~~~~~~~~~

Items of a store that has returned from a copy which contradict what was known
before. The copy may be older than that, so they take effect only if their
writers have not corrected them after some time.
"""

from collections.abc import Collection
from typing import NamedTuple

from bergamotstream.forwarding import storeitems
from bergamotstream.platform import protocol, store


class Known(NamedTuple):
    """What a host knew before the store returned."""

    items: storeitems.StoreItems
    zones_out: Collection[str]
    target_ids: Collection[str]


class DoubtfulItems:
    """Items by key that have been recorded, but have no effect yet."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._by_key: dict[str, store.Item] = {}
        self._until_ms = 0

    def hold(self, page: store.Page, known: Known, until_ms: int) -> set[str]:
        """Hold what a copy brings back that has left since; return the keys."""
        self._by_key = {
            item.key: item
            for item in page.items
            if self._is_gone_target(item, known) or _is_zone_out(item, known)
        }
        self._until_ms = until_ms
        return set(self._by_key)

    def is_held(self, item: store.Item) -> bool:
        """Tell whether an item is held; another one of its key releases it."""
        held = self._by_key.get(item.key)
        if held is not None and held != item:
            self._by_key.pop(item.key)
        return held == item

    def take_due(self, now_ms: int) -> list[store.Item]:
        """Return the items that nobody has corrected, once the time is up."""
        if now_ms < self._until_ms:
            return []
        due = list(self._by_key.values())
        self._by_key.clear()
        return due

    def _is_gone_target(self, item: store.Item, known: Known) -> bool:
        """Tell whether an item lists a target that had left.

        One whose entry has lapsed may still be in use.
        """
        target_id = item.key.removeprefix(protocol.TARGETS_PREFIX)
        return (
            target_id != item.key
            and target_id not in known.target_ids
            and item.document is not None
            and (known.items.is_deleted(item.key) or item.key in self._by_key)
        )


def _is_zone_out(item: store.Item, known: Known) -> bool:
    """Tell whether an item returns a zone that is out of service."""
    zone = item.key.removeprefix(protocol.ZONES_OUT_PREFIX)
    return (
        zone != item.key and zone in known.zones_out and item.document is None
    )
