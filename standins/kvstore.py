"""
Key-value store
~~~~~~~~~~~~~~~

The platform's key-value service without input or output: revisions, leases, a
bounded history for watches and counts of what was asked. The HTTP stand-in and
tests in virtual time use the same store.
"""

import collections
from typing import NamedTuple

from bergamotstream import actions, events, records

MAX_VALUE_BYTES = 1_000_000
HISTORY_LENGTH = 4_096
MS_PER_S = 1_000


class TooLarge(Exception):
    """A value exceeds the limit of the service."""


class Change(NamedTuple):
    """One entry of the history; ``deleted`` items have an empty value."""

    item: records.KvItem
    deleted: bool


class Lease(NamedTuple):
    """A lease and when it ends, in milliseconds."""

    ttl_s: int
    end_ms: int


class KvStore:
    """Keys with revisions, as etcd keeps them."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self.revision = 1
        self.items_by_key: dict[str, records.KvItem] = {}
        self.history: collections.deque[Change] = collections.deque(
            maxlen=HISTORY_LENGTH
        )
        self.compacted_revision = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self._leases_by_id: dict[int, Lease] = {}
        self._lease_by_key: dict[str, int] = {}
        self._last_lease = 0

    def get(self, key: str) -> records.KvItem | None:
        """Return the present item of a key."""
        return self.items_by_key.get(key)

    def revision_of(self, key: str) -> int:
        """Return the modification revision of a key, 0 if absent."""
        item = self.items_by_key.get(key)
        return item.revision if item else 0

    def between(self, start: str, end: str) -> list[records.KvItem]:
        """Return the items with ``start <= key < end`` in key order."""
        return [
            self.items_by_key[key]
            for key in sorted(self.items_by_key)
            if start <= key < end
        ]

    def put(self, key: str, value: bytes, lease_id: int = 0) -> records.KvItem:
        """Set a key; raises :class:`TooLarge` over the value limit."""
        if len(value) > MAX_VALUE_BYTES:
            raise TooLarge(key)
        self.revision += 1
        item = records.KvItem(key, value, self.revision)
        self.items_by_key[key] = item
        self._lease_by_key.pop(key, None)
        if lease_id:
            self._lease_by_key[key] = lease_id
        self._remember(Change(item, deleted=False))
        self.counts['bytes_written'] += len(value)
        return item

    def delete(self, keys: list[str]) -> int:
        """Delete keys in one revision; return how many existed."""
        present = [key for key in keys if key in self.items_by_key]
        if present:
            self.revision += 1
        for key in present:
            self.items_by_key.pop(key)
            self._lease_by_key.pop(key, None)
            item = records.KvItem(key, b'', self.revision)
            self._remember(Change(item, deleted=True))
        return len(present)

    def changes_since(self, revision: int, key: str) -> list[Change]:
        """Return the kept changes of a key from ``revision`` on."""
        return [
            change
            for change in self.history
            if change.item.key == key and change.item.revision >= revision
        ]

    def grant_lease(self, ttl_s: int, now_ms: int) -> int:
        """Create a lease of ``ttl_s`` seconds and return its number."""
        self._last_lease += 1
        end_ms = now_ms + ttl_s * MS_PER_S
        self._leases_by_id[self._last_lease] = Lease(ttl_s, end_ms)
        return self._last_lease

    def keep_lease(self, lease_id: int, now_ms: int) -> int:
        """Renew a lease and return its seconds, 0 if it has ended."""
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return 0
        end_ms = now_ms + lease.ttl_s * MS_PER_S
        self._leases_by_id[lease_id] = lease._replace(end_ms=end_ms)
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self._leases_by_id.pop(lease_id, None)
        attached = [
            key
            for key, owner in self._lease_by_key.items()
            if owner == lease_id
        ]
        self.delete(attached)

    def expire_leases(self, now_ms: int) -> None:
        """End the leases that were not renewed in time."""
        for lease_id, lease in list(self._leases_by_id.items()):
            if lease.end_ms <= now_ms:
                self.revoke_lease(lease_id)

    def _remember(self, change: Change) -> None:
        if len(self.history) == HISTORY_LENGTH:
            self.compacted_revision = self.history[0].item.revision
        self.history.append(change)


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys with an ASCII prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class VirtualKv:
    """Performs the core's key-value actions on a store without I/O.

    ``down`` refuses everything. ``lose_answers`` performs writes and answers
    ``unknown``, for keys with ``lose_prefix``. Pending
    watches are answered by :meth:`due_watches`.
    """

    def __init__(self, store: KvStore | None = None) -> None:
        """Use a given store or an empty one."""
        self.store = store or KvStore()
        self.down = False
        self.lose_answers = False
        self.lose_prefix = ''
        self.watches_by_operation: dict[str, actions.KvWatch] = {}

    def perform(self, action: actions.Action) -> events.KvAnswered | None:
        """Perform one action; None while a watch is pending."""
        if isinstance(action, actions.KvWatch):
            return self._watch(action)
        if isinstance(action, actions.KvRead):
            return self._read_page(action)
        if isinstance(action, actions.KvWrite | actions.KvDelete):
            return self._change(action)
        raise TypeError(action)

    def due_watches(self) -> list[events.KvAnswered]:
        """Answer the watches whose key has changed."""
        due = [
            watch.operation_id
            for watch in self.watches_by_operation.values()
            if self.store.revision_of(watch.key) > watch.after_revision
        ]
        return [self.end_watch(operation_id) for operation_id in due]

    def end_watch(self, operation_id: str) -> events.KvAnswered:
        """Answer a pending watch with the present item."""
        watch = self.watches_by_operation.pop(operation_id)
        return self._read(operation_id, watch.key)

    def _watch(self, watch: actions.KvWatch) -> events.KvAnswered | None:
        self.store.counts['watches'] += 1
        changed = self.store.revision_of(watch.key) > watch.after_revision
        if changed or self.down:
            return self._read(watch.operation_id, watch.key)
        self.watches_by_operation[watch.operation_id] = watch
        return None

    def _read_page(self, action: actions.KvRead) -> events.KvAnswered:
        if not action.prefix:
            return self._read(action.operation_id, action.key)
        first = f'{action.after_key}\0' if action.after_key else action.key
        return self._between(
            action.operation_id, first, prefix_end(action.key), action.limit
        )

    def _read(self, operation_id: str, key: str) -> events.KvAnswered:
        return self._between(operation_id, key, f'{key}\0')

    def _between(
        self, operation_id: str, start: str, end: str, limit: int = 0
    ) -> events.KvAnswered:
        if self.down:
            return events.KvAnswered(operation_id, 'unavailable')
        self.store.counts['reads'] += 1
        found = self.store.between(start, end)[: limit or None]
        return events.KvAnswered(operation_id, 'ok', tuple(found))

    def _change(
        self, action: actions.KvWrite | actions.KvDelete
    ) -> events.KvAnswered:
        if self.down:
            return events.KvAnswered(action.operation_id, 'unavailable')
        self.store.counts['writes'] += 1
        answered = self._apply(action)
        if self.lose_answers and action.key.startswith(self.lose_prefix):
            return events.KvAnswered(action.operation_id, 'unknown')
        return answered

    def _apply(
        self, action: actions.KvWrite | actions.KvDelete
    ) -> events.KvAnswered:
        operation_id = action.operation_id
        if isinstance(action, actions.KvDelete):
            end = action.end_key or f'{action.key}\0'
            doomed = self.store.between(action.key, end)
            self.store.delete([item.key for item in doomed])
            return events.KvAnswered(operation_id, 'ok')
        present = self.store.get(action.key)
        if self.store.revision_of(action.key) != action.expected_revision:
            found = (present,) if present else ()
            return events.KvAnswered(operation_id, 'conflict', found)
        try:
            item = self.store.put(action.key, action.value)
        except TooLarge:
            return events.KvAnswered(operation_id, 'unavailable')
        return events.KvAnswered(operation_id, 'ok', (item,))
