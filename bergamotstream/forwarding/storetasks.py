"""
Store tasks
~~~~~~~~~~~

Two tasks over the store: one follows its changes, one keeps this host
registered under a lease.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from bergamotstream import clock
from bergamotstream.forwarding import eventlog, fleetrecords, fleetview
from bergamotstream.platform import documents, protocol, store

# A silent connection is found after this time, while a configuration must be
# in force within 2 s of its acknowledgement in steady state.
WATCH_WAIT_MS: Final = 2_500
# How often a host that does not watch looks whether it should.
LOOK_AGAIN_S: Final = 0.2
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 0.8
# Until a host has read the store once it can serve nobody.
LONGEST_FIRST_PAUSE_S: Final = 0.2
# Failures that last this long are an outage, during which entries may lapse.
OUTAGE_MS: Final = 1_000
LEASE_MS: Final = 3_000
KEEP_S: Final = 1.0
MS_PER_S: Final = 1_000

Report = Callable[[list[fleetview.Change]], None]


class StoreWatch:
    """Feeds the view with everything that changes in the store."""

    def __init__(
        self,
        client: store.StoreClient,
        view: fleetview.FleetView,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        report: Report,
        may_read: Callable[[], bool],
    ) -> None:
        """Call ``report`` with changes; pause while not ``may_read``."""
        self._may_read = may_read
        self._client = client
        self._view = view
        self._log = log
        self._clock = time_source
        self._report = report
        self._failing_since_ms: int | None = None
        self._complete = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            if self._complete and not self._may_read():
                await asyncio.sleep(LOOK_AGAIN_S)
                continue
            try:
                await self._follow()
            except store.HistoryGone:
                self._complete = False
                self._log.write(
                    'store_history_gone', revision=self._view.revision
                )
            except store.StoreUnavailable as fault:
                self._note_failure(fault)
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, self._longest_pause_s())
                continue
            pause_s = FIRST_PAUSE_S

    async def _follow(self) -> None:
        """Read all once, then one batch of changes."""
        if not self._complete:
            page = await self._client.read_all('')
            self._note_success()
            self._report(self._view.replace_all(page, self._clock.now_ms()))
            self._complete = True
            return
        page = await self._client.watch('', self._view.revision, WATCH_WAIT_MS)
        self._note_success()
        self._report(self._view.apply_changes(page, self._clock.now_ms()))

    def _longest_pause_s(self) -> float:
        return LONGEST_PAUSE_S if self._complete else LONGEST_FIRST_PAUSE_S

    def _note_failure(self, fault: store.StoreUnavailable) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now_ms()
            self._log.write(
                'store_lost', fault=fault, revision=self._view.revision
            )

    def _note_success(self) -> None:
        self._view.store_answered_ms = self._clock.now_ms()
        if self._failing_since_ms is None:
            return
        away_ms = self._clock.now_ms() - self._failing_since_ms
        self._failing_since_ms = None
        if away_ms >= OUTAGE_MS:
            self._view.note_store_return(self._clock.now_ms())
        self._log.write('store_back', away_ms=away_ms)


class Registration:
    """Keeps this host listed among the hosts of the system."""

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
        self._lease = 0

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            try:
                await self._renew()
            except store.LeaseGone:
                self._log.write('registration_lost', lease=self._lease)
                self._lease = 0
                continue
            except store.StoreUnavailable as fault:
                self._log.write('registration_unsure', fault=fault)
            await asyncio.sleep(KEEP_S)

    async def withdraw(self) -> None:
        """Remove the registration; its lease ends it if the store is away."""
        if not self._lease:
            return
        try:
            await self._client.end_lease(self._lease)
        except store.StoreUnavailable as fault:
            self._log.write('withdrawal_unsure', fault=fault)

    async def _renew(self) -> None:
        if self._lease:
            await self._client.keep_lease(self._lease)
            return
        lease = await self._client.open_lease(LEASE_MS)
        await self._client.write(
            protocol.HOSTS_PREFIX + self._entry.name,
            documents.encode_host_entry(self._entry),
            lease,
        )
        self._lease = lease
        self._log.write('registered', lease=lease)
