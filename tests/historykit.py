"""Plays hosts, their peers and a store that returns from copies, in virtual time.

The tasks of the hosts that read the store and their peers are the product's;
only what their sessions would carry is replaced.
"""

import asyncio
import random
import selectors
import types

import aiohttp

from bergamotstream import clock, metrics
from bergamotstream.forwarding import (
    configurationfetch,
    eventlog,
    fleetrecords,
    fleetview,
    hostsettings,
    itemfetch,
    largeitems,
    peerfetch,
    peerformat,
    peerupdates,
    storetasks,
)
from bergamotstream.platform import store
from standins import platformstore

MS_PER_S = 1_000
# As in the product, a peer that is silent for this long is dropped.
PEER_TIMEOUT_S = 2.5
# Parts of a document that arrive apart, so that a transfer can break off.
PART_BYTES = 4_096
NOT_FOUND = types.SimpleNamespace(status=404, headers={}, body=b'')


class SkippingSelector(selectors.SelectSelector):
    """Selector that advances the time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout=None):
        assert timeout is not None, 'nothing left to wait for'
        self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in which waiting takes no time."""

    def __init__(self):
        super().__init__(SkippingSelector())

    def time(self):
        return self._selector.now_s


class LoopClock(clock.Clock):
    """The time of the running loop."""

    def now_ms(self):
        return int(asyncio.get_running_loop().time() * MS_PER_S)

    def wall_ms(self):
        return self.now_ms()


def run(main):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class QuietLog:
    """Log that keeps the names of the last events."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((LoopClock().now_ms(), event, fields))


class World:
    """A store and hosts that may be cut from each other."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = platformstore.PlatformStore(('127.0.0.1', 1))
        self.hosts = {}
        # Names of hosts that do not reach the store.
        self.without_store = set()
        # Names of hosts that no other host reaches, nor they others.
        self.without_peers = set()
        # Part of the store's answers that name no era.
        self.unnamed_eras = 0.0
        # Part of the pieces of a document at which its transfer breaks off.
        self.broken_transfers = 0.0
        self.call_times_s = []
        self._break = asyncio.Event()

    def break_calls(self):
        """Abort the calls to the store that are open."""
        self._break.set()
        self._break = asyncio.Event()

    def versions(self):
        """Return the version that each host has in force."""
        return [host.version for host in self.hosts.values()]

    def end_faults(self):
        """Let all hosts reach the store and each other."""
        self.without_store.clear()
        self.without_peers.clear()
        self.broken_transfers = self.unnamed_eras = 0

    def start_host(self, watches=True):
        """Start a host that knows nothing."""
        host = Host(self, f'host{len(self.hosts)}', watches)
        self.hosts[host.name] = host
        host.start()
        return host

    def reaches(self, one, other):
        """Tell whether two hosts reach each other."""
        return one == other or not {one, other} & self.without_peers

    async def call_store(self, name, path, query):
        """Return status, body and era of an answer of the store."""
        self.call_times_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        self._check_store(name)
        request = types.SimpleNamespace(
            query={key: str(value) for key, value in query.items()}
        )
        handler = {
            '/kv-range': self.store._range,
            '/kv-watch': self.store._watch,
        }[path]
        answering = asyncio.ensure_future(handler(request))
        breaking = asyncio.ensure_future(self._break.wait())
        try:
            await asyncio.wait(
                (answering, breaking), return_when=asyncio.FIRST_COMPLETED
            )
            self._check_store(name)
            if not answering.done():
                raise store.StoreUnavailable('connection aborted')
            response = answering.result()
        finally:
            answering.cancel()
            breaking.cancel()
        is_named = self.rng.random() >= self.unnamed_eras
        return response.status, response.body, self.store.era * is_named

    def longest_burst(self):
        """Return the most calls to the store within a second."""
        most, first = 0, 0
        for last, at_s in enumerate(self.call_times_s):
            while self.call_times_s[first] <= at_s - 1:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _check_store(self, name):
        if self.store.fault or name in self.without_store:
            raise store.StoreUnavailable('no connection')


class Client(store.StoreClient):
    """Client whose calls a world answers."""

    def __init__(self, world, name):
        super().__init__(hostsettings.StoreSettings('127.0.0.1:1'), None)
        self._world, self._name = world, name

    async def _call(
        self,
        method,
        path,
        body=None,
        *,
        query=None,
        timeout_s=1.0,
        expected=(200,),
    ):
        status, text, era = await self._world.call_store(
            self._name, path, query
        )
        decoded = store._read_answer(status, text or b'', expected)
        self._era = max(self._era, era)
        return store._Answer(status, decoded, era or self._era)


class Host:
    """A host as far as its configuration goes."""

    def __init__(self, world, name, watches):
        self.name = name
        self.watches = watches
        self.view = fleetview.FleetView()
        self.log = QuietLog()
        # Every version that was in force, in order.
        self.versions = []
        # Items with revisions that the store has not reached in its era.
        self.unknown_revisions = []
        # Task that fetches large documents, once the host has started.
        self.documents = None
        self._world = world
        self._heard = {}
        self._rng = random.Random(world.rng.random())
        self._item_server = largeitems.ItemServer(
            self.view, eventlog.EventLog(LoopClock())
        )
        self._entry = fleetrecords.HostEntry(
            name, 'z', f'{name}:1', f'{name}:2', 1
        )
        self._tasks = []

    @property
    def version(self):
        """The version in force, 0 for none."""
        return self.view.in_force.version

    def start(self):
        """Run the tasks of the product."""
        session, time = Session(self._world, self.name), LoopClock()
        meters = metrics.Metrics()
        watch = storetasks.StoreWatch(
            Client(self._world, self.name),
            self.view,
            self.log,
            time,
            self._report,
            lambda: self.watches,
            lambda: True,
        )
        news = peerfetch.PeerFetch(
            session,
            self,
            types.SimpleNamespace(view=self.view),
            self.log,
            time,
            meters,
        )
        shared = (session, self, self.view, self.log, time, meters)
        self.documents = itemfetch.ItemFetch(*shared)
        news._rng = self.documents._rng = self._rng
        newest = configurationfetch.ConfigurationFetch(*shared)
        running = (
            watch.run(),
            news.run(self._report),
            self.documents.run(self._report),
            newest.run(self._report),
            self._tell(),
        )
        self._tasks = [asyncio.ensure_future(task) for task in running]

    async def stop(self):
        """End the tasks; raises what has ended one before."""
        ended = [task for task in self._tasks if task.done()]
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for task in ended:
            task.result()

    def hear(self, state, at_s):
        """Record what a peer tells."""
        self._heard[state.entry.name] = (state, at_s)

    def heard_hosts(self):
        """Return the peers that were heard lately."""
        from_s = asyncio.get_running_loop().time() - PEER_TIMEOUT_S
        return [state for state, at_s in self._heard.values() if at_s >= from_s]

    def live_peers(self):
        """Return the peers of the cell, which are all hosts here."""
        return self.heard_hosts()

    def answer(self, url):
        """Answer a peer as a host does."""
        if url.path == peerupdates.NEWS_PATH:
            known = peerupdates.read_position(url.query, self.view.items)
            news = peerupdates.news_since(
                self.view, known, LoopClock().now_ms()
            )
            body = peerupdates.deflate(peerupdates.encode(news))
            return types.SimpleNamespace(status=200, headers={}, body=body)
        if url.path == configurationfetch.CONFIGURATION_PATH:
            body = peerupdates.deflate(self.view.in_force.document)
            return types.SimpleNamespace(status=200, headers={}, body=body)
        assert url.path == largeitems.ITEM_PATH
        asked = largeitems.read_asked(url.query)
        item = self.view.items.by_key.get(asked.key)
        is_known = asked.era in {0, self.view.items.era}
        if item is None or not is_known or not largeitems._serves(item, asked):
            return NOT_FOUND
        document = self._item_server._document_of(item, asked)
        headers = {
            largeitems.REVISION: str(document.item.revision),
            largeitems.LENGTH: str(document.length),
            largeitems.OFFSET: str(document.offset),
            largeitems.DIGEST: document.digest,
        }
        return types.SimpleNamespace(
            status=200, headers=headers, body=document.deflated
        )

    def _report(self, changes):
        if not self.versions or self.versions[-1] != self.version:
            self.versions.append(self.version)
        if self.view.items.era == self._world.store.era:
            self.unknown_revisions.extend(
                item.key
                for item in self.view.items.by_key.values()
                if item.revision > self._world.store.kv.revision
            )

    async def _tell(self):
        while True:
            await asyncio.sleep(self._rng.uniform(0.05, 0.2))
            now_s = asyncio.get_running_loop().time()
            state = self._state()
            for peer in self._world.hosts.values():
                if peer is not self and self._world.reaches(
                    self.name, peer.name
                ):
                    peer.hear(state, now_s)

    def _state(self):
        return peerformat.HostState(
            self._entry,
            1,
            True,
            self.view.items.complete_revision(),
            (),
            (),
            self.view.store_answered_ms,
            news_revision=self.view.revision,
            store_era=self.view.items.era,
            configuration_version=self.version,
        )


class Session:
    """Session of a host to its peers."""

    def __init__(self, world, name):
        self._world, self._name = world, name

    def get(self, url, timeout):
        return Transfer(self._world, self._name, url)


class Transfer:
    """An answer of a peer, which may break off."""

    def __init__(self, world, name, url):
        self._world, self._name, self._url = world, name, url
        self.content = self

    async def __aenter__(self):
        await asyncio.sleep(self._world.rng.uniform(0.001, 0.02))
        self._check()
        self._answer = self._world.hosts[self._url.host].answer(self._url)
        self.status = self._answer.status
        self.headers = self._answer.headers
        return self

    async def __aexit__(self, *_):
        """Nothing is open."""

    async def iter_any(self):
        body = self._answer.body
        for start in range(0, len(body), PART_BYTES):
            await asyncio.sleep(self._world.rng.uniform(0.001, 0.05))
            self._check()
            if self._breaks_off():
                raise aiohttp.ClientPayloadError('connection aborted')
            yield body[start : start + PART_BYTES]

    def _breaks_off(self):
        return (
            self._url.path == largeitems.ITEM_PATH
            and self._world.rng.random() < self._world.broken_transfers
        )

    def _check(self):
        if not self._world.reaches(self._name, self._url.host):
            raise aiohttp.ClientPayloadError('no connection')
