"""Orders of changes and returns of the store, drawn from seeds.

In each order the operators change the configuration while the store returns
from copies, hosts start, and hosts are cut from the store or from each other.
"""

import asyncio
import contextlib
import json
import random

import pytest

from bergamotstream.forwarding import (
    fleetview,
    peerupdates,
    pendingitems,
    storeitems,
)
from bergamotstream.platform import store
from tests import historykit
from tests import platformkit as kit

CONFIG = 'op/config'
# A little below and well above the length from which documents are pending.
SMALL_BYTES = 200
LARGE_BYTES = 40_000
# After the last event.
SETTLE_S = 3.0
# By then all hosts have noticed a return, also one whose first answers have
# named no era.
LATE_MS = 2_600
MAX_CALLS_PER_S = 200
SEEDS = range(75)
# Orders with whole hosts, which are played side by side.
WHOLE_HOST_SEEDS = range(3)
WATCH_S = 0.01


class Operators:
    """Write configurations, and write them again after a return."""

    def __init__(self, platform, rng):
        self.newest = 0
        self._platform = platform
        self._rng = rng
        self._written = {}

    def next_document(self, length):
        """Return the next version, with a filling of ``length`` digits."""
        self.newest += self._rng.choice((1, 1, 2, 7, 40))
        # Random digits, which deflating leaves long.
        filling = f'{self._rng.getrandbits(4 * length):x}'
        document = kit.configuration_document(
            version=self.newest, filling=filling
        )
        self._written[self.newest] = document
        return document

    async def change(self):
        """Write the next version, small or large."""
        length = self._rng.choice((SMALL_BYTES, LARGE_BYTES))
        await self._platform.put(CONFIG, self.next_document(length))

    async def write_again(self, since):
        """Write what was written since a copy, in one of several ways."""
        lost = sorted(version for version in self._written if version > since)
        way = self._rng.choice(('newest', 'all', 'older first'))
        if way == 'newest':
            lost = lost[-1:]
        elif way == 'older first':
            older = [
                version
                for version in self._written
                if since <= version < self.newest
            ]
            lost = [*self._rng.sample(older, min(1, len(older))), self.newest]
        for version in lost:
            await self._platform.put(CONFIG, self._written[version])
            await asyncio.sleep(self._rng.choice((0, 0, 0.02, 0.3)))
        await self._platform.write_again()


class Order:
    """The events of one order; ``world`` is where they happen."""

    def __init__(self, world, seed, max_events=6):
        self._world = world
        self._max_events = max_events
        self._rng = random.Random(f'events {seed}')
        self.operators = Operators(world.store, self._rng)
        self.end_ms = 0
        # What hosts without faults have in force while the store still lacks
        # what the copy did not hold.
        self.versions_before_writing = set()
        self._target_writes = 0
        self._copies = []

    async def play(self):
        """Let all events happen, then end all faults."""
        world, rng = self._world, self._rng
        world.broken_transfers = rng.choice((0, 0, 0.05, 0.2, 0.6))
        world.unnamed_eras = rng.choice((0, 0, 0, 0.3))
        await self.operators.change()
        world.start_host()
        for _ in range(rng.randint(1, 4)):
            world.start_host(watches=rng.random() < 0.5)
        async with contextlib.AsyncExitStack() as stack:
            noise = asyncio.ensure_future(self._write_targets())
            stack.callback(noise.cancel)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            for _ in range(rng.randint(2, self._max_events)):
                event = rng.choice(
                    (
                        self._change,
                        self._drill,
                        self._change_before_drill,
                        self._disturb,
                    )
                )
                await event()
                await asyncio.sleep(rng.choice((0, 0.05, 0.3, 1.0)))
            if rng.random() < 0.4:
                world.end_faults()
                await self._drill(SETTLE_S)
            else:
                await self._drill()
            if rng.random() < 0.5:
                await self.operators.change()
        world.end_faults()
        self.end_ms = historykit.LoopClock().now_ms()

    async def _change(self):
        for _ in range(self._rng.randint(1, 3)):
            self._keep_copy()
            await self.operators.change()
            await asyncio.sleep(self._rng.choice((0, 0.05, 0.4)))

    async def _disturb(self):
        """Cut a host from the store or its peers, or end all cuts."""
        name = self._rng.choice(sorted(self._world.hosts))
        self._rng.choice(
            (
                lambda: self._world.without_store.add(name),
                lambda: self._world.without_peers.add(name),
                self._world.without_store.clear,
                self._world.without_peers.clear,
            )
        )()
        self._world.break_calls()

    async def _drill(self, delay_s=0):
        """Let the store return from a copy, once or twice in series.

        The operators write again ``delay_s`` later.
        """
        platform, rng = self._world.store, self._rng
        since = self.operators.newest
        for _ in range(rng.choice((1, 1, 2))):
            copied, version = self._keep_copy()
            if rng.random() < 0.9:
                copied, version = rng.choice(self._copies[-4:])
            since = min(since, version)
            platform.fault = 'away'
            self._world.break_calls()
            await asyncio.sleep(rng.choice((0.1, 0.4, 1.5)))
            if len(self._world.hosts) < 7 and rng.random() < 0.3:
                self._world.start_host(watches=rng.random() < 0.5)
            await platform.come_back(copied)
            # Of the copies only those are left that this history holds.
            kept = [copy for copy in self._copies if copy[1] <= version]
            self._copies = [*kept[-3:], (platform.take_copy(), version)]
            await asyncio.sleep(rng.choice((0, 0.02, 0.2, 0.6, 1.5)))
        await asyncio.sleep(delay_s)
        if delay_s:
            self.versions_before_writing = set(self._world.versions())
        await self.operators.write_again(since)

    async def _change_before_drill(self):
        """Let the store lose a change that the hosts have heard of."""
        self._keep_copy()
        for _ in range(self._rng.randint(0, 8)):
            await self._write_target()
        self._world.broken_transfers = self._rng.choice((0, 0.2, 0.6))
        await self._world.store.put(
            CONFIG, self.operators.next_document(LARGE_BYTES)
        )
        await asyncio.sleep(self._rng.uniform(0.02, 0.6))
        await self._drill()

    def _keep_copy(self):
        taken = (self._world.store.take_copy(), self.operators.newest)
        self._copies.append(taken)
        return taken

    async def _write_targets(self):
        """Write what targets do, so that revisions rise by themselves."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            if not self._world.store.fault:
                await self._write_target()

    async def _write_target(self):
        self._target_writes += 1
        await self._world.store.put(
            'servers/t1', target_document(self._target_writes)
        )


async def play(seed):
    """Play one order and check what the hosts have in force."""
    world = historykit.World(seed)
    order = Order(world, seed)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(stop_all, world)
        await order.play()
        await asyncio.sleep(SETTLE_S)
        assert len(order.versions_before_writing) <= 1
        newest = order.operators.newest
        hosts = world.hosts.values()
        assert [host.version for host in hosts] == [newest] * len(hosts)
        for host in hosts:
            assert host.versions == sorted(host.versions)
            assert not host.unknown_revisions
            # Not about to refuse requests, either; the document of a return
            # that was noticed late may still be on its way.
            for since_ms in (
                host.view.outdated_since_ms(),
                host.view.lag.since_ms(host.version),
            ):
                assert since_ms is None or since_ms > order.end_ms + LATE_MS
        assert world.longest_burst() < MAX_CALLS_PER_S
    return world


async def stop_all(world):
    """Stop all hosts."""
    for host in world.hosts.values():
        await host.stop()


@pytest.mark.parametrize('seed', SEEDS)
def test_all_hosts_end_with_the_newest_configuration(seed):
    """Guards against hosts that a return of the store leaves behind."""
    historykit.run(play(seed))


class WholeHosts:
    """The world of an order with whole hosts in this process.

    All reach each other, and all answers of the store name the era.
    """

    def __init__(self, system):
        self.store = system.store
        self.hosts = {}
        self.without_store = set()
        self.without_peers = set()
        self.broken_transfers = 0.0
        self.unnamed_eras = 0.0
        self.starting = []
        self.versions_by_name = {}
        self.calls = []
        self._system = system

    def start_host(self, watches=True):
        """Start a host; so few hosts watch all."""
        name = f'host-{len(self.hosts)}'
        self.hosts[name] = name
        starting = asyncio.ensure_future(self._system.start_host(name))
        self.starting.append(starting)

    def break_calls(self):
        """Abort the calls to a store that is away, and cut some hosts off."""
        if self.store.fault:
            self.store.go_away()
        self._connect()

    def end_faults(self):
        """Let all hosts reach the store."""
        self.without_store.clear()
        self._connect()

    def versions(self):
        """Return the version that each host has in force."""
        return [
            daemon._core.view.in_force.version
            for daemon in self._system.daemons
        ]

    async def watch(self):
        """Record what is in force and the calls of the store."""
        while True:
            self.calls.append(self.store.calls)
            for daemon in self._system.daemons:
                version = daemon._core.view.in_force.version
                seen = self.versions_by_name.setdefault(
                    daemon._entry.name, [version]
                )
                if seen[-1] != version:
                    seen.append(version)
            await asyncio.sleep(WATCH_S)

    def _connect(self):
        for daemon in self._system.daemons:
            if daemon._registration is None:
                continue
            address = daemon._config.store.address
            if daemon._entry.name in self.without_store:
                address = '127.0.0.1:1'
            daemon._registration._client._origin = f'http://{address}'


async def play_with_whole_hosts(seed):
    """Play one order and check what the hosts have in force."""
    async with kit.running_system(hosts=0) as system:
        world = WholeHosts(system)
        order = Order(world, seed, max_events=2)
        order.operators.newest = 1
        watching = asyncio.ensure_future(world.watch())
        await order.play()
        await asyncio.gather(*world.starting)
        await asyncio.sleep(SETTLE_S)
        watching.cancel()
        assert len(order.versions_before_writing) <= 1, seed
        newest = order.operators.newest
        seen = world.versions_by_name
        assert len(seen) == len(world.hosts), seed
        for versions in seen.values():
            assert versions == sorted(versions), (seed, seen)
            assert versions[-1] == newest, (seed, seen)
        steps = int(1 / WATCH_S)
        bursts = zip(world.calls, world.calls[steps:], strict=False)
        assert max(last - first for first, last in bursts) < MAX_CALLS_PER_S


async def test_whole_hosts_end_with_the_newest_configuration():
    """Guards against what only whole hosts do, or only real time shows."""
    async with asyncio.TaskGroup() as playing:
        for seed in WHOLE_HOST_SEEDS:
            playing.create_task(play_with_whole_hosts(seed))


def test_resumed_document_has_the_revision_of_its_own_history():
    """Guards against a revision of the lost history in the new one.

    Changes up to that revision would be taken for older ones.
    """
    historykit.run(resume_and_check_revision())


async def resume_and_check_revision():
    async with resumed_after_return() as (world, behind):
        assert behind.version == world.hosts['host0'].version
        revision = behind.view.items.by_key[CONFIG].revision
        assert revision <= world.store.kv.revision


def test_resumed_document_holds_up_no_host_that_starts():
    """Guards against hosts that wait for a revision which nobody has."""
    historykit.run(resume_and_tell_others())


async def resume_and_tell_others():
    async with resumed_after_return() as (world, behind):
        # Only the host in question can tell it the news.
        world.without_peers.add('host0')
        world.without_store.add('host2')
        started = world.start_host()
        await asyncio.sleep(SETTLE_S)
        assert started.version == behind.version
        assert started.view.outdated_since_ms() is None
        assert started.view.lag.since_ms(started.version) is None


@contextlib.asynccontextmanager
async def resumed_after_return():
    """Yield a world and the host that got a document from two histories.

    A transfer breaks off, the store returns from a copy, and the operators
    write the same document again. The rest of it comes from the new history.
    """
    world = historykit.World(seed=1)
    operators = Operators(world.store, random.Random(1))
    await operators.change()
    world.start_host()
    behind = world.start_host(watches=False)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(stop_all, world)
        await asyncio.sleep(1.0)
        copied = world.store.take_copy()
        for number in range(30):
            await world.store.put('servers/t1', target_document(number))
        document = operators.next_document(LARGE_BYTES)
        await world.store.put(CONFIG, document)
        world.broken_transfers = 0.5
        await until(lambda: received_bytes(behind))
        world.broken_transfers = 1.0
        await world.store.come_back(copied)
        world.break_calls()
        await world.store.put(CONFIG, document)
        await until(lambda: behind.view.items.era == 2)
        world.broken_transfers = 0
        await until(lambda: behind.version == operators.newest)
        yield world, behind


def test_document_that_nobody_has_holds_up_no_other_version():
    """Guards against a host that waits for a document of hosts that are gone.

    Without the store it stayed without any configuration.
    """
    historykit.run(start_with_a_lost_reference())


async def start_with_a_lost_reference():
    world = historykit.World(seed=1)
    operators = Operators(world.store, random.Random(1))
    await operators.change()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(stop_all, world)
        known = world.start_host()
        await until(lambda: known.version)
        world.store.fault = 'away'
        world.break_calls()
        revision = known.view.revision + 10
        lost = pendingitems.Reference(CONFIG, revision, LARGE_BYTES)
        started = world.start_host(watches=False)
        started.view.items.era = known.view.items.era
        started.view.apply_news(
            storeitems.News(store.Page((), revision), (lost,)), 0
        )
        await asyncio.sleep(SETTLE_S)
        assert started.version == known.version


def test_unchanged_document_is_not_waited_for_after_a_return():
    """Guards against a host that refuses although it has the newest version.

    Until a peer has sent the document again, all its requests are at risk.
    """
    document = kit.configuration_document(version=7, filling='x' * LARGE_BYTES)
    known = store.Page((store.Item(CONFIG, 110, document),), 115, era=1)
    back = store.Page((store.Item(CONFIG, 90, document),), 95, era=2)
    view = fleetview.FleetView()
    view.replace_all(known, 0)
    peer = fleetview.FleetView()
    peer.replace_all(back, 0)
    update = peerupdates.news_since(peer, view.items.position(), 0)
    view.replace_by_news(storeitems.News(update.page, update.references), 1_000)
    assert view.in_force.version == peer.in_force.version
    assert view.outdated_since_ms() is None


def test_changed_document_of_the_same_length_is_waited_for():
    """Guards against a change that is taken for the document before it."""
    before, after = (
        kit.configuration_document(version=version, filling='x' * LARGE_BYTES)
        for version in (7, 8)
    )
    assert len(before) == len(after)
    view = fleetview.FleetView()
    view.replace_all(store.Page((store.Item(CONFIG, 90, before),), 95), 0)
    peer = fleetview.FleetView()
    peer.replace_all(store.Page((store.Item(CONFIG, 97, after),), 97), 0)
    update = peerupdates.news_since(peer, view.items.position(), 0)
    view.apply_news(storeitems.News(update.page, update.references), 1_000)
    assert view.outdated_since_ms() == 1_000


def test_older_builds_read_the_names_of_large_items():
    """Guards against a further field, for which they refuse all news."""
    document = kit.configuration_document(filling='x' * LARGE_BYTES)
    peer = fleetview.FleetView()
    peer.replace_all(store.Page((store.Item(CONFIG, 97, document),), 97), 0)
    update = peerupdates.news_since(peer, store.Position(0, 0), 0)
    encoded = peerupdates.encode(update)
    assert json.loads(encoded)['large'] == [[CONFIG, 97, len(document)]]
    assert peerupdates.decode(encoded) == update


def target_document(number):
    """Return an entry that differs with ``number``."""
    return kit.target_document('10.0.0.1:80', cold_left_ms=number)


def received_bytes(host):
    """Return how much a host has of a configuration that is pending."""
    partial = host.documents._partials_by_key.get(CONFIG)
    return len(partial.received) if partial else 0


async def until(condition, limit_s=4.0):
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)
