"""
Budget of the weight store
~~~~~~~~~~~~~~~~~~~~~~~~~~

The weight store is rate-limited, so targets load weights a few at a time. The
record ``weights/budget`` in the key-value service has one slot for each
concurrent load. A holder renews its slot while its load runs. Hosts share no
clock: a slot is free again when a waiting host has seen it unchanged for
``SLOT_VALID_MS`` on its own clock.
"""

import contextlib
import json
from collections.abc import Callable, Generator, Iterator

from bergamotstream import bundleformat, errors, kvflows

KEY = 'weights/budget'
# One load uses the whole rate of the store; more would only share it.
MAX_CONCURRENT_LOADS = 1
RENEW_MS = 5_000
SLOT_VALID_MS = 20_000
RETRY_INTERVAL_MS = 1_000

Slots = dict[str, int]
BudgetFlow = Generator[kvflows.Step, kvflows.Answers, None]


class LoadBudget:
    """Slots of the weight store as this host observes them."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """Use ``clock`` for the age of slots."""
        self._clock = clock
        self._first_seen_ms_by_slot: dict[tuple[str, int], int] = {}
        self.held: set[str] = set()

    def acquire(self, nonce: str) -> BudgetFlow:
        """Wait for a slot; ``nonce`` names it. Raises ``KvUnavailable``."""
        while nonce not in self.held:
            slots, revision = yield from self._read()
            unexpired = self._unexpired(slots)
            acquired = len(unexpired) < MAX_CONCURRENT_LOADS
            if acquired:
                acquired = yield from _write({**unexpired, nonce: 0}, revision)
            if acquired:
                self.held.add(nonce)
            else:
                yield kvflows.Pause(RETRY_INTERVAL_MS)

    @contextlib.contextmanager
    def holding(self, nonce: str) -> Iterator[None]:
        """Release the slot at the end of the block."""
        try:
            yield
        finally:
            self.held.discard(nonce)

    def renew(self, nonce: str) -> kvflows.Flow:
        """Renew a slot while it is held, then release it."""
        while nonce in self.held:
            yield kvflows.Pause(RENEW_MS)
            if nonce in self.held:
                yield from self._try_change(nonce, release=False)
        yield from self._try_change(nonce, release=True)
        return []

    def _try_change(self, nonce: str, *, release: bool) -> BudgetFlow:
        """Renew or release a slot; after a failure it expires by age."""
        try:
            yield from self._change(nonce, release=release)
        except errors.KvUnavailable:
            return

    def _change(self, nonce: str, *, release: bool) -> BudgetFlow:
        slots, revision = yield from self._read()
        renewals = slots.pop(nonce, None)
        if renewals is None:
            return
        if not release:
            slots[nonce] = renewals + 1
        yield from _write(slots, revision)

    def _read(
        self,
    ) -> Generator[kvflows.Step, kvflows.Answers, tuple[Slots, int]]:
        items = yield from kvflows.read_items(KEY)
        if not items:
            return {}, 0
        return json.loads(items[0].value), items[0].revision

    def _unexpired(self, slots: Slots) -> Slots:
        now_ms = self._clock()
        first_seen_ms = dict.fromkeys(slots.items(), now_ms)
        first_seen_ms |= {
            slot: seen_ms
            for slot, seen_ms in self._first_seen_ms_by_slot.items()
            if slot in first_seen_ms
        }
        self._first_seen_ms_by_slot = first_seen_ms
        return {
            nonce: renewals
            for (nonce, renewals), seen_ms in first_seen_ms.items()
            if now_ms - seen_ms <= SLOT_VALID_MS
        }


def _write(
    slots: Slots, revision: int
) -> Generator[kvflows.Step, kvflows.Answers, bool]:
    content = bundleformat.canonical_json(slots)
    answered = yield from kvflows.write_item(KEY, content, revision)
    return answered.status == 'ok'
