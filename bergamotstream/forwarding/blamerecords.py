"""
Blame records
~~~~~~~~~~~~~

Keeps a record in the store of each request that is refused because it crashes
targets, so that hosts that start after all others have ended refuse it too.
"""

import asyncio
import random
from typing import Final

from bergamotstream import clock
from bergamotstream.forwarding import crashblame, eventlog, fleetview
from bergamotstream.platform import documents, store

CHECK_INTERVAL_S: Final = 0.25
# Records are not renewed: hosts write one again if the request still comes
# when it has expired.
RECORD_TTL_MS: Final = 2 * crashblame.BLAME_MS
# Wait of the hosts that have not seen a crash themselves, so that those which
# have write the record and the others read it.
WRITE_DELAY_MS: Final = (1_000, 3_000)
# Wait after a write before the record counts as missing again.
RETRY_MS: Final = 1_000
# The store accepts this many writes in one call.
MAX_WRITES: Final = 32


class BlameRecords:
    """Task that writes the records that the store lacks."""

    def __init__(
        self,
        client: store.StoreClient,
        view: fleetview.FleetView,
        blame: crashblame.CrashBlame,
        log: eventlog.EventLog,
        time_source: clock.Clock,
    ) -> None:
        """Compare ``blame`` with the items of ``view``."""
        self._client = client
        self._view = view
        self._blame = blame
        self._log = log
        self._clock = time_source
        self._rng = random.Random()
        self._write_at_ms_by_fingerprint: dict[int, int] = {}

    async def run(self) -> None:
        """Write missing records until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.write_missing()

    async def write_missing(self) -> None:
        """Write the records that have been missing for too long."""
        now_ms = self._clock.now_ms()
        missing = [
            entry.fingerprint
            for entry in self._blame.blamed(now_ms)[: crashblame.MAX_SHARED]
            if documents.blamed_key(entry.fingerprint)
            not in self._view.items.by_key
        ]
        self._write_at_ms_by_fingerprint = {
            fingerprint: self._write_at_ms(fingerprint, now_ms)
            for fingerprint in missing
        }
        due = [
            fingerprint
            for fingerprint, at_ms in self._write_at_ms_by_fingerprint.items()
            if at_ms <= now_ms
        ]
        if due:
            await self._write(due[:MAX_WRITES])

    def _write_at_ms(self, fingerprint: int, now_ms: int) -> int:
        known_ms = self._write_at_ms_by_fingerprint.get(fingerprint)
        if known_ms is not None:
            return known_ms
        if any(self._blame.counts.own_crashes_of(fingerprint, now_ms)):
            return now_ms
        return now_ms + self._rng.randint(*WRITE_DELAY_MS)

    async def _write(self, fingerprints: list[int]) -> None:
        keys = [documents.blamed_key(entry) for entry in fingerprints]
        try:
            lease = await self._client.open_lease(RECORD_TTL_MS)
            await self._client.put_all(dict.fromkeys(keys, b'{}'), lease)
        except (store.StoreUnavailable, store.LeaseGone) as fault:
            self._log.write(
                'blame_unrecorded', keys=','.join(keys), fault=repr(fault)
            )
        else:
            self._log.write(
                'blame_recorded', keys=','.join(keys), lease=lease.number
            )
        # A written record reaches the view later; a failed write is repeated.
        retry_at_ms = self._clock.now_ms() + RETRY_MS
        self._write_at_ms_by_fingerprint |= dict.fromkeys(
            fingerprints, retry_at_ms
        )
