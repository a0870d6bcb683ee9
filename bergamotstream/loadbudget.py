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
LOADS_AT_A_TIME = 1
RENEW_MS = 5_000
SLOT_VALID_MS = 20_000
ASK_AGAIN_MS = 1_000

Slots = dict[str, int]
BudgetFlow = Generator[kvflows.Step, kvflows.Answers, None]


class LoadBudget:
    """Slots of the weight store as this host sees them."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """Use ``clock`` for the age of slots."""
        self._clock = clock
        self._seen_ms_by_slot: dict[tuple[str, int], int] = {}
        self.held: set[str] = set()

    def take(self, nonce: str) -> BudgetFlow:
        """Wait for a slot; ``nonce`` names it. Raises ``KvUnavailable``."""
        while nonce not in self.held:
            slots, revision = yield from self._read()
            live = self._live(slots)
            taken = len(live) < LOADS_AT_A_TIME
            if taken:
                taken = yield from _write({**live, nonce: 0}, revision)
            if taken:
                self.held.add(nonce)
            else:
                yield kvflows.Pause(ASK_AGAIN_MS)

    @contextlib.contextmanager
    def holding(self, nonce: str) -> Iterator[None]:
        """Give a slot back at the end."""
        try:
            yield
        finally:
            self.held.discard(nonce)

    def renew(self, nonce: str) -> kvflows.Flow:
        """Keep a slot while it is held, then give it back."""
        while nonce in self.held:
            yield kvflows.Pause(RENEW_MS)
            if nonce in self.held:
                yield from self._try_change(nonce, drop=False)
        yield from self._try_change(nonce, drop=True)
        return []

    def _try_change(self, nonce: str, *, drop: bool) -> BudgetFlow:
        """Renew or drop a slot; after a failure it ends by its age."""
        try:
            yield from self._change(nonce, drop=drop)
        except errors.KvUnavailable:
            return

    def _change(self, nonce: str, *, drop: bool) -> BudgetFlow:
        slots, revision = yield from self._read()
        renewals = slots.pop(nonce, None)
        if renewals is None:
            return
        if not drop:
            slots[nonce] = renewals + 1
        yield from _write(slots, revision)

    def _read(
        self,
    ) -> Generator[kvflows.Step, kvflows.Answers, tuple[Slots, int]]:
        items = yield from kvflows.read_items(KEY)
        if not items:
            return {}, 0
        return json.loads(items[0].value), items[0].revision

    def _live(self, slots: Slots) -> Slots:
        now_ms = self._clock()
        first_seen_ms = dict.fromkeys(slots.items(), now_ms)
        first_seen_ms |= {
            slot: seen_ms
            for slot, seen_ms in self._seen_ms_by_slot.items()
            if slot in first_seen_ms
        }
        self._seen_ms_by_slot = first_seen_ms
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
