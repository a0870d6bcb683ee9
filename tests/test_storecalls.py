"""How often hosts call the platform's store, each call of which has a price."""

import asyncio
import contextlib

from bergamotstream import clock
from bergamotstream.forwarding import (
    eventlog,
    fleetrecords,
    fleetview,
    storetasks,
)
from bergamotstream.platform import store

ENTRY = fleetrecords.HostEntry('h1', 'z', '10.0.0.1:1', '10.0.0.1:2', 1)


class CountedStore:
    """A store whose items change often, or that is away."""

    def __init__(self, change_s=0.01):
        self.watches = 0
        self.renewals = 0
        self.leases = 0
        self.away = False
        self._change_s = change_s

    async def read_all(self, prefix):
        return store.Page((), 1)

    async def watch(self, prefix, revision, wait_ms):
        self.watches += 1
        if self.away:
            raise store.StoreUnavailable('away')
        await asyncio.sleep(self._change_s)
        changed = store.Item('servers/t1', revision + 1, None)
        return store.Page((changed,), revision + 1)

    async def open_lease(self, ttl_ms):
        self.leases += 1
        return store.Lease(self.leases, 0)

    async def put_all(self, documents, lease):
        if self.away:
            raise store.StoreUnavailable('away')

    async def renew_lease(self, lease):
        self.renewals += 1
        if self.away:
            raise store.StoreUnavailable('away')

    async def revoke_lease(self, lease):
        return


async def run_for(coroutine, seconds):
    """Run a task for some time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await coroutine


def make_watch(client, is_first=True):
    """Return the watch of a host."""
    return storetasks.StoreWatch(
        client,
        fleetview.FleetView(),
        eventlog.EventLog(clock.Clock()),
        clock.Clock(),
        lambda _: None,
        lambda: True,
        lambda: is_first,
    )


async def test_changes_in_a_group_come_with_few_calls():
    """Guards against a call for each target of a service that restarts."""
    client = CountedStore()
    await run_for(make_watch(client).run(), 1.0)
    assert 3 <= client.watches <= 1 / storetasks.COLLECT_S + 2


async def test_most_hosts_ask_a_store_that_is_away_seldom():
    """Guards against all hosts of a large fleet asking at the same rate."""
    first, later = CountedStore(), CountedStore()
    tasks = [
        run_for(make_watch(client, is_first=is_first).run(), 6.0)
        for client, is_first in ((first, True), (later, False))
    ]
    first.away = later.away = True
    await asyncio.gather(*tasks)
    assert later.watches < first.watches
    assert later.watches <= 7


async def test_host_that_the_store_has_lost_registers_at_once():
    """Guards against a host that nobody finds until its next renewal."""
    client = CountedStore()
    registration = storetasks.Registration(
        client, ENTRY, eventlog.EventLog(clock.Clock())
    )

    async def lose():
        await asyncio.sleep(0.1)
        client.renew_lease = gone_once
        registration.report_gone()
        await asyncio.sleep(0.2)

    async def gone_once(lease):
        if lease.number == 1:
            raise store.LeaseGone

    running = asyncio.ensure_future(registration.run())
    await lose()
    assert client.leases == 2
    await registration.withdraw()
    registration.report_gone()
    await asyncio.sleep(0.1)
    running.cancel()
    assert client.leases == 2
