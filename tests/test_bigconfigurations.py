"""Large configurations on their way to hosts, over links of a limited rate."""

import asyncio
import contextlib
import json
import random
import string

import pytest

from bergamotstream.forwarding import (
    connections,
    hostdaemon,
    listensockets,
    pendingitems,
    storewatchers,
)
from bergamotstream.platform import store
from tests import platformkit as kit

# The slowest links of the users' hosts, 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000
PIECE_BYTES = 16_384
HOSTS = 8
WATCHERS = 2
# The users' bounds for a configuration on large sites, and for a target that
# leaves on small ones.
IN_FORCE_S = 3.0
LEAVING_S = 2.0


class SlowLink:
    """Forwards connections to one host; what it sends shares a slow link."""

    def __init__(self, address):
        self.sent_bytes = 0
        # Where the host listens in place of its own address.
        self.listener = listensockets.open_listener('127.0.0.1:0')
        self._address = address
        self._free_s = 0.0
        self._server = None

    async def start(self):
        ip, _, port = self._address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    async def _serve(self, reader, writer):
        ip, port = self.listener.getsockname()
        with contextlib.closing(writer), contextlib.suppress(OSError):
            received, sender = await asyncio.open_connection(ip, port)
            with contextlib.closing(sender):
                asking = asyncio.ensure_future(self._copy(reader, sender))
                await self._copy(received, writer, slow=True)
                asking.cancel()

    async def _copy(self, reader, writer, *, slow=False):
        while piece := await reader.read(PIECE_BYTES):
            if slow:
                await self._wait_for_turn(len(piece))
            writer.write(piece)
            await writer.drain()

    async def _wait_for_turn(self, length):
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(self._free_s, now_s) + length / LINK_BYTES_PER_S
        self.sent_bytes += length
        await asyncio.sleep(self._free_s - now_s)


@pytest.fixture
def links(monkeypatch):
    """Return the links of the hosts, most of which do not watch the store."""
    links = []

    def make_daemon(settings):
        link = SlowLink(settings.peer_address)
        links.append(link)
        return hostdaemon.HostDaemon(
            settings, {settings.peer_address: link.listener}
        )

    monkeypatch.setattr(kit, 'make_daemon', make_daemon)
    monkeypatch.setattr(storewatchers, 'STORE_WATCHERS', WATCHERS)
    monkeypatch.setattr(storewatchers, 'SMALL_FLEET', WATCHERS)
    return links


def many_routes(version):
    """Return a configuration of 2,800 routes, which deflates well."""
    routes = [
        kit.route(f'route-{number}', f'/lookup/{number}/', 'idempotent')
        for number in range(2_800)
    ]
    return kit.configuration_document(version, routes=routes)


def many_keys(version):
    """Return a configuration of random keys, which deflates badly."""
    rng = random.Random(1)
    letters = string.ascii_letters + string.digits
    keys = [''.join(rng.choices(letters, k=600)) for _ in range(900)]
    tenants = [{'name': 'small', 'api_keys': [kit.KEY, *keys]}]
    return kit.configuration_document(version, tenants=tenants)


async def open_links(system, links):
    """Open the links and wait until only some hosts watch the store."""
    for link in links:
        await link.start()
    await system.until(
        lambda: all(
            len(daemon._peers.live_peers()) == HOSTS - 1
            for daemon in system.daemons
        )
    )
    # A host leaves the watch that it has open at its end.
    await asyncio.sleep(3.0)
    watching = [daemon._may_watch_store() for daemon in system.daemons]
    assert sum(watching) == WATCHERS


def versions_of(system):
    """Return the version in force on each host."""
    return [
        daemon._core.view.configuration.version for daemon in system.daemons
    ]


@pytest.mark.parametrize('make_document', [many_routes, many_keys])
async def test_big_configuration_is_in_force_on_all_hosts(links, make_document):
    """Guards against transfers that are given up, whatever they have brought,
    and begun again, so that a large configuration never arrives."""
    document = make_document(version=2)
    async with kit.running_system(HOSTS) as system:
        await open_links(system, links)
        await system.store.put('op/config', document)
        await system.until(lambda: set(versions_of(system)) == {2}, IN_FORCE_S)
    sent = sum(link.sent_bytes for link in links)
    assert sent < 1.5 * HOSTS * len(document)


@pytest.mark.parametrize('make_document', [many_routes, many_keys])
async def test_leaving_target_is_known_while_a_big_configuration_spreads(
    links, make_document
):
    """Guards against news of a target that waits behind a large document."""
    async with (
        kit.running_system(HOSTS) as system,
        kit.raw_target(None) as target,
    ):
        await open_links(system, links)
        # Hosts that do not watch the store learn of it over the links.
        await system.add_target('t1', target)
        await system.store.put('op/config', make_document(version=2))
        await asyncio.sleep(0.1)
        await system.store.put(
            'servers/t1', kit.target_document(target.address, state='draining')
        )
        await system.until(
            lambda: all(
                daemon._core.view.targets_by_id['t1'].leaving
                for daemon in system.daemons
            ),
            LEAVING_S,
        )


async def serve_slowly(answers, seconds, stop_after=None):
    """Serve answers in turn, each for some seconds; return server and calls.

    With ``stop_after`` the sender falls silent after this share of a body.
    """
    calls = []

    async def serve(reader, writer):
        while head := await _read_head(reader):
            body = answers[min(len(calls), len(answers) - 1)]
            calls.append(head.split()[1].decode())
            writer.write(
                f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            )
            parts = 20
            step = len(body) // parts + 1
            for part in range(parts):
                if stop_after is not None and part >= stop_after * parts:
                    await reader.read()
                    return
                writer.write(body[part * step : (part + 1) * step])
                await asyncio.sleep(seconds / parts)

    async def serve_connection(reader, writer):
        with contextlib.closing(writer):
            await serve(reader, writer)

    server = await asyncio.start_server(serve_connection, '127.0.0.1', 0)
    return server, calls


async def _read_head(reader):
    try:
        return await reader.readuntil(b'\r\n\r\n')
    except (OSError, asyncio.IncompleteReadError):
        return b''


def listing(document):
    """Return the store's listing of one key."""
    return json.dumps(
        {
            'items': [
                {
                    'key': 'op/config',
                    'rev': 3,
                    'value': kit.base64_text(document),
                }
            ],
            'has_more': False,
            'store_revision': 3,
        }
    ).encode()


@pytest.mark.parametrize('seconds', [0.5, 1.6, 2.6])
async def test_listing_that_arrives_slowly_is_read_once(seconds):
    """Guards against a host that never reads the store over a slow link."""
    server, calls = await serve_slowly([listing(many_routes(2))], seconds)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, connections.open_session(reuse=True) as session:
        client = store.StoreClient(kit.make_settings(address).store, session)
        page = await client.read_all('')
    assert page.items[0].document == many_routes(2)
    assert len(calls) == 1


async def test_store_that_falls_silent_in_an_answer_is_given_up():
    """Guards against a read that waits for a store which is gone."""
    server, _ = await serve_slowly([listing(many_routes(2))], 0.2, 0.5)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, connections.open_session(reuse=True) as session:
        client = store.StoreClient(kit.make_settings(address).store, session)
        with pytest.raises(store.StoreUnavailable):
            async with asyncio.timeout(2.0):
                await client.read_all('')


@pytest.mark.parametrize(
    ('peers_have_it', 'pending_ms', 'expected'),
    [(2, 1_600, 503), (1, 1_600, 200), (0, 1_600, 200), (2, 1_000, 200)],
)
async def test_host_without_the_configuration_of_its_peers_refuses(
    peers_have_it, pending_ms, expected
):
    """Guards against requests that a host handles by a configuration which
    it knows to be replaced, while others could serve them."""

    async def respond(request, writer):
        writer.write(kit.answer(request))

    async with (
        kit.running_system(3) as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target)
        behind = system.daemons[0]
        # Hosts learn of each other after they have become ready.
        await system.until(
            lambda: sum(peer.ready for peer in behind._peers.live_peers()) == 2
        )
        now_ms = behind._clock.now_ms()
        view = behind._core.view
        revision = view.revision + 10
        reference = pendingitems.Reference('op/config', revision, 100)
        view.items.pending.add(reference, now_ms - pending_ms)
        peers = [
            known._replace(
                store_revision=revision if number < peers_have_it else 0
            )
            for number, known in enumerate(behind._peers.live_peers())
        ]
        behind._peers.live_peers = lambda: peers
        status, headers, body = await system.call('/lookup/1')
        assert status == expected
        if expected == 503:
            assert json.loads(body)['code'] == 'configuration_outdated'
            assert float(headers['Retry-After']) > 0
            assert not target.received
