"""
Store tasks
~~~~~~~~~~~

Two tasks that use the store: one watches its changes, one keeps this host
registered under a lease.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final

from bergamotstream import clock
from bergamotstream.forwarding import (
    eventlog,
    fleetrecords,
    fleetview,
    storeitems,
)
from bergamotstream.platform import documents, protocol, store

# Maximum wait of a watch; a dead connection is detected after this time. In
# steady state a configuration must be in force within 2 s of its
# acknowledgement.
WATCH_TIMEOUT_MS: Final = 2_500
# Wait of the first watch after a failure, which tells when the store answers
# again; a longer wait would count as part of the outage.
RECONNECT_WAIT_MS: Final = 50
# Interval at which a host that does not watch checks whether it should.
WATCH_CHECK_S: Final = 0.2
FIRST_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 0.8
# The same for hosts that others ask the store for; every call has its price,
# also while the store is away.
MAX_LATER_RETRY_DELAY_S: Final = 3.2
# Changes within this time after an answer come with the next one. Targets that
# start or leave do so in groups.
COLLECT_S: Final = 0.15
# A host cannot serve until it has read the store once.
MAX_INITIAL_RETRY_DELAY_S: Final = 0.2
# Failures that last this long are an outage, during which entries may lapse.
OUTAGE_MS: Final = 1_000
# Peers tell by their silence that a host has ended, so its entry, which forms the
# cells, may outlast it. Two renewals may be lost.
LEASE_TTL_MS: Final = 12_000
LEASE_RENEW_S: Final = 4.0
# Interval of the tries while the store does not answer.
LEASE_RETRY_S: Final = 2.0
MS_PER_S: Final = 1_000

ChangeListener = Callable[[list[fleetview.Change]], None]


class StoreWatch:
    """Applies all changes of the store to the view."""

    def __init__(
        self,
        client: store.StoreClient,
        view: fleetview.FleetView,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        report: ChangeListener,
        may_watch: Callable[[], bool],
        is_first: Callable[[], bool],
    ) -> None:
        """Call ``report`` with changes; pause while not ``may_watch``.

        ``is_first`` tells whether this host asks often while nobody gets an
        answer.
        """
        self._may_watch = may_watch
        self._is_first = is_first
        self._client = client
        self._view = view
        self._log = log
        self._clock = time_source
        self._report = report
        self._failing_since_ms: int | None = None
        self._complete = False
        # Whether the last answer was a watch's and held changes.
        self._has_changed = False
        self._retry_delay_s = FIRST_RETRY_DELAY_S

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            if self._complete and not self._may_watch():
                await asyncio.sleep(WATCH_CHECK_S)
            elif not await self._read_or_watch():
                await asyncio.sleep(self._retry_delay_s)
                self._retry_delay_s = min(
                    self._retry_delay_s * 2, self._max_retry_delay_s()
                )
            elif self._has_changed:
                await asyncio.sleep(COLLECT_S)

    async def _read_or_watch(self) -> bool:
        """Read all items once, then wait for one batch of changes.

        Return false if that has failed.
        """
        self._has_changed = False
        try:
            if self._complete:
                await self._watch()
            else:
                await self._read_all()
        except store.HistoryGone as gone:
            self._complete = False
            self._log.write(
                'store_history_gone',
                fault=gone,
                **self._view.items.complete_position()._asdict(),
            )
            return False
        except store.StoreUnavailable as fault:
            self._handle_failure(fault)
            return False
        return True

    async def _read_all(self) -> None:
        """Apply a complete listing.

        One from before what was known when it was asked for shows that the
        store has lost changes, even if it names no new era.
        """
        known = self._view.items.position()
        page = await self._client.read_all('')
        self._handle_success()
        is_older = page.era == known.era and page.revision < known.revision
        now_ms = self._clock.now_ms()
        if is_older and self._view.items.era == known.era:
            listing = storeitems.News(page)
            self._report(self._view.start_history(listing, now_ms))
        else:
            self._report(self._view.replace_all(page, now_ms))
        self._complete = True

    async def _watch(self) -> None:
        """Wait for one batch of changes; raises ``HistoryGone``."""
        known = self._view.items.complete_position()
        is_failing = self._failing_since_ms is not None
        page = await self._client.watch(
            '',
            known.revision,
            RECONNECT_WAIT_MS if is_failing else WATCH_TIMEOUT_MS,
        )
        self._handle_success()
        if page.era != known.era:
            raise store.HistoryGone(f'era {known.era} has ended')
        self._has_changed = bool(page.items)
        # Not after a listing: a store may refuse each watch that follows one.
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._report(self._view.apply_changes(page, self._clock.now_ms()))

    def _max_retry_delay_s(self) -> float:
        if not self._complete:
            return MAX_INITIAL_RETRY_DELAY_S
        return (
            MAX_RETRY_DELAY_S if self._is_first() else MAX_LATER_RETRY_DELAY_S
        )

    def _handle_failure(self, fault: store.StoreUnavailable) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now_ms()
            self._log.write(
                'store_lost', fault=fault, revision=self._view.revision
            )

    def _handle_success(self) -> None:
        self._view.store_answered_ms = self._clock.now_ms()
        if self._failing_since_ms is None:
            return
        outage_ms = self._clock.now_ms() - self._failing_since_ms
        self._failing_since_ms = None
        if outage_ms >= OUTAGE_MS:
            self._view.hold_after_reconnect(self._clock.now_ms())
        self._log.write('store_back', away_ms=outage_ms)


class Registration:
    """Keeps this host registered in the store."""

    def __init__(
        self,
        client: store.StoreClient,
        entry: fleetrecords.HostEntry,
        log: eventlog.EventLog,
    ) -> None:
        """Register ``entry`` once the task runs."""
        self._client = client
        self._entry = entry
        self._log = log
        self._lease: store.Lease | None = None
        self._is_withdrawn = False
        self._is_gone = asyncio.Event()

    def report_gone(self) -> None:
        """Register again at once, as the store lists this host no more."""
        if self._lease and not self._is_withdrawn:
            self._is_gone.set()

    async def run(self) -> None:
        """Register and renew until cancelled, or idle once withdrawn."""
        while True:
            pause_s = LEASE_RENEW_S
            try:
                await self._renew()
            except store.LeaseGone as gone:
                self._log.write('registration_lost', fault=gone)
                if self._lease is None:
                    pause_s = FIRST_RETRY_DELAY_S
                else:
                    self._lease = None
                    continue
            except store.StoreUnavailable as fault:
                self._log.write('registration_unsure', fault=fault)
                pause_s = LEASE_RETRY_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._is_gone.wait()
            self._is_gone.clear()

    async def withdraw(self) -> None:
        """Remove the registration; without the store the lease expires."""
        self._is_withdrawn = True
        if not self._lease:
            return
        try:
            await self._client.revoke_lease(self._lease)
        except store.StoreUnavailable as fault:
            self._log.write('withdrawal_unsure', fault=fault)

    async def _renew(self) -> None:
        if self._is_withdrawn:
            return
        if self._lease:
            await self._client.renew_lease(self._lease)
            return
        lease = await self._client.open_lease(LEASE_TTL_MS)
        key = protocol.HOSTS_PREFIX + self._entry.name
        await self._client.put_all(
            {key: documents.encode_host_entry(self._entry)}, lease
        )
        self._lease = lease
        self._log.write('registered', **lease._asdict())
        if self._is_withdrawn:
            await self.withdraw()
