"""
Fencing numbers
~~~~~~~~~~~~~~~

The right to send orders to the targets of one partition. The record
``fence/<cell>/<partition>`` in the key-value service holds a number that each
new holder increments by compare-and-swap. A holder sends only within
``order_window_ms`` after it began its last confirmed renewal.
"""

import contextlib
import json
from collections.abc import Callable, Generator, Iterator

from bergamotstream import bundleformat, errors, kvflows, settings

KEY_PREFIX = 'fence/'
# Bound on the difference of two hosts' clock rates.
DRIFT_PERCENT = 1
PERCENT = 100
# The right is renewed when less than this remains of the window.
MIN_WINDOW_MS = 500
RENEW_TRIES = 3

FenceFlow = Generator[kvflows.Step, kvflows.Answers, None]


class FenceHolder:
    """The right to send orders in one partition, as this host holds it."""

    def __init__(
        self,
        partition: str,
        config: settings.Settings,
        clock: Callable[[], int],
        nonce: str,
    ) -> None:
        """Start without the right; ``nonce`` differs for each holder."""
        self.partition = partition
        self._key = f'{KEY_PREFIX}{config.cell}/{partition}'
        self.number = 0
        self.lost = False
        self.busy = False
        # From then on no earlier holder can send.
        self.exclusive_from_ms = 0
        self._window_ms = config.timing.order_window_ms
        self._clock = clock
        self._nonce = nonce
        self._window_end_ms = 0
        self._revision = 0
        self._renewals = 0

    def may_send(self) -> bool:
        """Return whether an order may be sent now."""
        return not self.lost and self._clock() < self._window_end_ms

    def ensure_window(self) -> FenceFlow:
        """Acquire or renew the right so that a usable window remains.

        Raises ``NoOwner`` if another host acquired it, or ``KvUnavailable``.
        """
        try:
            yield from self._ensure()
        except errors.KvUnavailable as fault:
            # No order was sent, whether or not the record changed. If it may
            # have changed, its revision is unknown and the right is acquired
            # again.
            self.lost = fault.run_state == 'may_have_run'
            raise errors.KvUnavailable(
                fault.detail, retry_after_ms=fault.retry_after_ms
            ) from fault
        if not self.may_send():
            raise errors.NoOwner(f'{self.partition} has moved')

    @contextlib.contextmanager
    def lock(self) -> Iterator[None]:
        """Make other orders of the partition wait."""
        self.busy = True
        try:
            yield
        finally:
            self.busy = False

    def _ensure(self) -> FenceFlow:
        if not self.number:
            yield from self._read()
        for _ in range(RENEW_TRIES):
            if self._window_end_ms - self._clock() >= MIN_WINDOW_MS:
                return
            yield from self._write()
        if not self.may_send():
            raise errors.KvUnavailable(
                'the key-value service is too slow for the order window',
                retry_after_ms=kvflows.RETRY_AFTER_MS,
            )

    def _read(self) -> FenceFlow:
        items = yield from kvflows.read_items(self._key)
        if items:
            self._revision = items[0].revision
            self.number = json.loads(items[0].value)['number']
        self.number += 1

    def _write(self) -> FenceFlow:
        began_ms = self._clock()
        self._renewals += 1
        content = bundleformat.canonical_json(
            {
                'number': self.number,
                'nonce': self._nonce,
                'renewals': self._renewals,
            }
        )
        answered = yield from kvflows.write_item(
            self._key, content, self._revision
        )
        if answered.status != 'ok':
            self.lost = True
            raise errors.NoOwner(f'{self.partition} has another holder')
        self._revision = answered.items[0].revision
        if not self.exclusive_from_ms:
            waited_ms = self._window_ms * (PERCENT + DRIFT_PERCENT) // PERCENT
            self.exclusive_from_ms = self._clock() + waited_ms
        self._window_end_ms = began_ms + self._window_ms
