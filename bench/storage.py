"""
Storage
~~~~~~~

Key-value service of the fakes: compare-and-swap, reads, watches, and the
faults of section 2.4 of docs/design.md.
"""

from typing import Any

from bergamotstream import actions, events, records
from bench import network, shapes, virtualtime

TIMEOUT_MS = 1_000
WATCH_LIMIT_MS = 30_000

Items = tuple[records.KvItem, ...]


class Operation:
    """An operation under way; exactly one answer reaches the host."""

    def __init__(self, host: Any, action: Any) -> None:
        """Keep the host that waits and the action that it asked for."""
        self.host = host
        self.action = action
        self.answered = False

    def answer(self, status: events.KvStatus, found: Items = ()) -> None:
        """Hand the answer to the host unless it already has one."""
        if self.answered:
            return
        self.answered = True
        self.host.receive(
            events.KvAnswered(self.action.operation_id, status, found)
        )

    def expire(self) -> None:
        """Answer that nothing came back in time."""
        read = isinstance(self.action, (actions.KvRead, actions.KvWatch))
        self.answer('unavailable' if read else 'unknown')


# Before the start of every run.
NEVER_MS = -60_000


class Storage:
    """Holds items and answers the operations of hosts.

    ``mode`` is ``up``, ``down`` or ``lose-answers``; an operation takes
    effect ``slow_ms`` after it has arrived.
    """

    def __init__(
        self, time: virtualtime.VirtualTime, links: network.Network
    ) -> None:
        """Start empty and up."""
        self.time = time
        self.links = links
        self.mode = 'up'
        self.slow_ms = 0
        self.changed_ms = NEVER_MS
        self.operations = 0
        self.items_by_key: dict[str, records.KvItem] = {}
        self._revision = 0
        self._watches: list[Operation] = []

    def set_mode(self, mode: str, slow_ms: int = 0) -> None:
        """Change the fault; a service that goes down drops its watches."""
        self.mode = mode
        self.slow_ms = slow_ms
        self.changed_ms = self.time.now_ms
        if mode == 'down':
            for watch in self._watches:
                watch.answer('unavailable')
            self._watches = []

    def start(self, host: Any, action: Any) -> None:
        """Send an operation of a host."""
        self.operations += 1
        operation = Operation(host, action)
        self.links.send(host.name, shapes.KV, self._receive, operation)
        limit_ms = TIMEOUT_MS
        if isinstance(action, actions.KvWatch):
            limit_ms = WATCH_LIMIT_MS
        self.time.call_after(limit_ms, operation.expire)

    def put(self, key: str, content: bytes) -> None:
        """Set a key without conditions."""
        self._revision += 1
        self.items_by_key[key] = records.KvItem(key, content, self._revision)
        due = [watch for watch in self._watches if self._is_due(watch.action)]
        for watch in due:
            self._watches.remove(watch)
            self._reply(watch, 'ok', (self.items_by_key[key],))

    def _receive(self, operation: Operation) -> None:
        if self.mode == 'down':
            self._reply(operation, 'unavailable')
        else:
            self.time.call_after(self.slow_ms, self._apply, operation)

    def _apply(self, operation: Operation) -> None:
        action = operation.action
        status: events.KvStatus = 'ok'
        if self.mode == 'down':
            return
        if isinstance(action, actions.KvWatch):
            if not self._is_due(action):
                self._watches.append(operation)
                return
            found = self._item(action.key)
        elif isinstance(action, actions.KvRead):
            found = self._read(action)
        else:
            status, found = self._change(action)
        if self.mode != 'lose-answers':
            self._reply(operation, status, found)

    def _is_due(self, watch: actions.KvWatch) -> bool:
        present = self.items_by_key.get(watch.key)
        return present is not None and present.revision > watch.after_revision

    def _item(self, key: str) -> Items:
        present = self.items_by_key.get(key)
        return (present,) if present else ()

    def _read(self, action: actions.KvRead) -> Items:
        if not action.prefix:
            return self._item(action.key)
        found = tuple(
            self.items_by_key[name]
            for name in sorted(self.items_by_key)
            if name.startswith(action.key) and name > action.after_key
        )
        return found[: action.limit] if action.limit else found

    def _change(self, action: Any) -> tuple[events.KvStatus, Items]:
        if isinstance(action, actions.KvDelete):
            self.items_by_key.pop(action.key, None)
            return 'ok', ()
        present = self.items_by_key.get(action.key)
        revision = present.revision if present else 0
        if revision != action.expected_revision:
            return 'conflict', (present,) if present else ()
        self.put(action.key, action.value)
        return 'ok', (self.items_by_key[action.key],)

    def _reply(
        self,
        operation: Operation,
        status: events.KvStatus,
        found: Items = (),
    ) -> None:
        self.links.send(
            shapes.KV, operation.host.name, operation.answer, status, found
        )
