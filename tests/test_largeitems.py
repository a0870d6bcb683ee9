"""Large items that hosts know to have changed before they have them."""

import asyncio
import contextlib
import json
import random
import types
import zlib

import aiohttp
import hypothesis
import pytest
from aiohttp import web
from hypothesis import strategies

from bergamotstream import clock, metrics
from bergamotstream.forwarding import (
    connections,
    eventlog,
    fleetrecords,
    fleetview,
    itemfetch,
    largeitems,
    peerfetch,
    peerformat,
    peerupdates,
    pendingitems,
    storeitems,
    storetasks,
)
from bergamotstream.platform import store
from tests import oddkit
from tests import platformkit as kit

CONFIG = 'op/config'


def config_item(version, revision, routes=400):
    """Return a configuration, by default one that is large."""
    listed = [
        kit.route(f'route-{number}', f'/lookup/{number}/', 'idempotent')
        for number in range(routes)
    ]
    return store.Item(
        CONFIG, revision, kit.configuration_document(version, routes=listed)
    )


def target_item(revision, **changes):
    """Return the entry of a target."""
    return store.Item(
        'servers/t1', revision, kit.target_document('10.0.0.1:80', **changes)
    )


def view_of(*items, revision):
    """Return a view that has read a listing."""
    view = fleetview.FleetView()
    view.replace_all(store.Page(items, revision), 0)
    return view


def pass_news(source, destination):
    """Bring a view up to date as a host does; return what is pending."""
    sent = peerupdates.encode(
        peerupdates.news_since(source, destination.items.position(), 0)
    )
    update = peerupdates.decode(peerupdates.inflate(peerupdates.deflate(sent)))
    news = storeitems.News(update.page, update.references)
    if update.complete:
        destination.replace_by_news(news, 0)
    else:
        destination.apply_news(news, 0)
    return destination.items.pending.references()


def test_small_news_pass_a_large_item():
    """Guards against a target that seems ready until a document arrives."""
    source = view_of(config_item(1, 5, 2), target_item(6), revision=6)
    behind = view_of(config_item(1, 5, 2), target_item(6), revision=6)
    source.apply_changes(
        store.Page((config_item(2, 7), target_item(8, state='draining')), 8), 0
    )
    pending = pass_news(source, behind)
    assert behind.targets_by_id['t1'].leaving
    assert behind.configuration.version == 1
    assert pending == [
        pendingitems.reference_to(CONFIG, 7, config_item(2, 7).document)
    ]
    assert behind.revision == 8
    assert behind.items.complete_revision() == 6


def test_pending_item_is_named_to_others():
    """Guards against a change that ends at a host which lacks its document."""
    source = view_of(config_item(1, 5, 2), revision=6)
    source.apply_changes(store.Page((config_item(2, 7),), 8), 0)
    middle, last = fleetview.FleetView(), fleetview.FleetView()
    assert pass_news(source, middle) == pass_news(middle, last)
    assert last.items.pending.references()[0].revision == 7
    assert last.configuration is None
    assert last.items.complete_revision() == 6


@pytest.mark.parametrize(
    'found',
    [
        config_item(2, 7),
        config_item(3, 9),
        store.Item(CONFIG, 9, None),
        target_item(10),
    ],
)
def test_changes_of_the_store_complete_a_view(found):
    """Guards against an item that stays pending after the store's answer."""
    source = view_of(config_item(1, 5, 2), revision=6)
    source.apply_changes(store.Page((config_item(2, 7),), 8), 0)
    behind = view_of(config_item(1, 5, 2), revision=6)
    pass_news(source, behind)
    behind.apply_changes(store.Page((found,), 10), 0)
    assert not behind.items.pending.references()
    assert behind.items.complete_revision() == behind.revision == 10


def test_listing_from_before_the_news_completes_a_view():
    """Guards against a host that starts and discards what it read, as the
    news of a peer arrived first."""
    source = view_of(config_item(2, 7), revision=9)
    starting = fleetview.FleetView()
    pass_news(source, starting)
    changes = starting.replace_all(store.Page((config_item(2, 7),), 8), 0)
    assert [change.outcome for change in changes] == ['in_force']
    assert not starting.items.pending.references()
    assert starting.revision == 9


def test_item_is_not_long_overdue_while_versions_of_it_arrive():
    """Guards against refusals by a host that is behind by one change only,
    while changes come in quick succession."""
    pending = pendingitems.PendingItems()
    pending.add(pendingitems.Reference(CONFIG, 7, 20_000), 1_000)
    pending.add(pendingitems.Reference(CONFIG, 8, 20_000), 1_800)
    assert pending.since_ms(CONFIG) == 1_000
    pending.resolve(CONFIG, 7)
    assert pending.since_ms(CONFIG) == 1_800
    pending.resolve(CONFIG, 8)
    assert pending.since_ms(CONFIG) is None


async def test_watch_asks_for_what_is_pending():
    """Guards against a document whose only holder is gone."""
    source = view_of(config_item(1, 5, 2), revision=6)
    source.apply_changes(store.Page((config_item(2, 7),), 8), 0)
    view = view_of(config_item(1, 5, 2), revision=6)
    asked = []

    class Client:
        async def read_all(self, prefix):
            return store.Page((config_item(1, 5, 2),), 6)

        async def watch(self, prefix, revision, wait_ms):
            asked.append(revision)
            if len(asked) == 1:
                pass_news(source, view)
                return store.Page((), 6)
            if len(asked) == 2:
                return store.Page((config_item(2, 7),), 8)
            raise asyncio.CancelledError

    watch = storetasks.StoreWatch(
        Client(),
        view,
        eventlog.EventLog(clock.Clock()),
        clock.Clock(),
        lambda _: None,
        lambda: True,
        lambda: True,
    )
    with contextlib.suppress(asyncio.CancelledError):
        await watch.run()
    assert asked == [6, 6, 8]
    assert view.configuration.version == 2


@hypothesis.given(
    strategies.sampled_from(
        tuple(oddkit.paths_of({'large': [['op/config', 7, 20_000]]}))
    ),
    oddkit.JSON,
)
def test_any_reference_is_applied_or_refused(path, part):
    """Guards against an unexpected fault on any type in any place."""
    body = {
        'revision': 9,
        'items': [],
        'complete': True,
        'hold_ms': 0,
        'large': [['op/config', 7, 20_000]],
    }
    odd = json.dumps(oddkit.replaced(body, path, part)).encode()
    try:
        update = peerupdates.decode(odd)
    except ValueError:
        return
    view = fleetview.FleetView()
    view.replace_by_news(storeitems.News(update.page, update.references), 0)
    assert view.items.complete_revision() <= view.revision < 1 << 63


@pytest.mark.parametrize(
    'body', [b'', b'x', zlib.compress(b'{}')[:-3], zlib.compress(b'[]')]
)
def test_odd_news_are_refused(body):
    """Guards against news that end the task which asks peers."""
    with pytest.raises(ValueError):
        peerupdates.decode(peerupdates.inflate(body))


class Sender:
    """A peer that has an item and may send it badly."""

    def __init__(self, item, spoil=None):
        view = view_of(item, revision=item.revision)
        self.asked = []
        self.sent_bytes = 0
        self.items = largeitems.ItemServer(
            view, eventlog.EventLog(clock.Clock())
        )
        self._spoil = spoil
        self._item = item

    async def answer(self, request):
        self.asked.append(largeitems.read_asked(request.query))
        if self._spoil is not None:
            return await self._spoil(request, self._item)
        return await self.items.answer(request)

    @contextlib.asynccontextmanager
    async def running(self):
        """Serve; yield the state that the peer sends."""
        runner = web.ServerRunner(web.Server(self.answer))
        await runner.setup()
        address = kit.address()
        ip, _, port = address.rpartition(':')
        await web.TCPSite(runner, ip, int(port)).start()
        entry = fleetrecords.HostEntry('h', 'z', address, address, 1)
        revision = self._item.revision
        try:
            yield peerformat.HostState(
                entry, 1, True, revision, (), (), 0, news_revision=revision
            )
        finally:
            await runner.cleanup()


async def cut_midway(request, item):
    """Send two thirds of a document, then reset the connection."""
    deflated = zlib.compress(item.document)
    response = web.StreamResponse(headers=head_of(item))
    response.content_length = len(deflated)
    await response.prepare(request)
    await response.write(deflated[: len(deflated) * 2 // 3])
    await asyncio.sleep(0.1)
    request.transport.abort()
    return response


def head_of(item, **changes):
    """Return the head of an item's transfer."""
    return {
        largeitems.REVISION: str(item.revision),
        largeitems.LENGTH: str(len(item.document)),
        largeitems.OFFSET: '0',
        largeitems.DIGEST: pendingitems.digest_of(item.document),
    } | changes


def spoiled(**changes):
    """Return a peer's answer with another head, or another body."""
    body = changes.pop('body', None)
    status = changes.pop('status', 200)

    async def answer(request, item):
        content = zlib.compress(item.document) if body is None else body
        names = {name: getattr(largeitems, name.upper()) for name in changes}
        heads = {names[name]: text for name, text in changes.items()}
        return web.Response(
            status=status, headers=head_of(item, **heads), body=content
        )

    return answer


def random_item(length=300_000, revision=7):
    """Return an item that deflates badly."""
    return store.Item(CONFIG, revision, random.Random(1).randbytes(length))


async def fetch_until(states, item, condition, seconds=4.0):
    """Fetch an item from peers in turn; return the view."""
    view = fleetview.FleetView()
    reference = pendingitems.Reference(
        item.key, item.revision, len(item.document)
    )
    view.apply_news(
        storeitems.News(store.Page((), item.revision), (reference,)), 0
    )
    turn = iter(states)
    peers = types.SimpleNamespace(heard_hosts=lambda: [next(turn, states[-1])])
    async with connections.open_session(reuse=True) as session:
        fetching = asyncio.ensure_future(
            itemfetch.ItemFetch(
                session,
                peers,
                view,
                eventlog.EventLog(clock.Clock()),
                clock.Clock(),
                metrics.Metrics(),
            ).run(lambda _: None)
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not (condition(view) or fetching.done()):
                    await asyncio.sleep(0.02)
        assert not fetching.done()
        fetching.cancel()
    return view


def has_item(view):
    return CONFIG in view.items.by_key


async def test_transfer_that_breaks_off_goes_on_at_another_peer():
    """Guards against a document that is sent again from its beginning."""
    item = random_item()
    first, second = Sender(item, cut_midway), Sender(item)
    async with first.running() as one, second.running() as two:
        view = await fetch_until([one, two], item, has_item)
    assert view.items.by_key[CONFIG] == item
    assert second.asked[0].offset > len(item.document) / 2


async def test_newer_document_replaces_the_part_of_an_older_one():
    """Guards against a document of two halves that belong to two versions."""
    older, newer = random_item(), random_item(200_000, 9)
    first, second = Sender(older, cut_midway), Sender(newer)
    async with first.running() as one, second.running() as two:
        view = await fetch_until([one, two], older, has_item)
    assert view.items.by_key[CONFIG] == newer


@pytest.mark.parametrize(
    'odd',
    [
        spoiled(revision='6'),
        spoiled(revision='x'),
        spoiled(length='299999'),
        spoiled(length='99999999999'),
        spoiled(offset='5'),
        spoiled(digest='0' * 16),
        spoiled(body=b''),
        spoiled(body=b'no zlib'),
        spoiled(body=zlib.compress(b'x')),
        spoiled(body=zlib.compress(b'x' * 50_000_000)),
        spoiled(status=404),
        spoiled(status=503),
    ],
)
async def test_odd_document_of_a_peer_costs_only_time(odd):
    """Guards against a document that is believed or ends the fetch, while
    another peer has the right one."""
    item = random_item()
    first, second = Sender(item, odd), Sender(item)
    async with first.running() as one, second.running() as two:
        view = await fetch_until([one, two], item, has_item)
    assert first.asked
    assert view.items.by_key[CONFIG] == item


async def test_peer_with_too_many_transfers_refuses_at_once():
    """Guards against a link that all hosts which are behind share."""
    item = random_item(30_000_000)
    sender = Sender(item)
    async with sender.running() as state, aiohttp.ClientSession() as session:
        url = f'http://{state.entry.peer_address}{largeitems.ITEM_PATH}'
        query = {'key': CONFIG, 'revision': '7'}
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(largeitems.MAX_TRANSFERS):
                # Its body is not read, so its transfer does not end.
                await stack.enter_async_context(session.get(url, params=query))
            async with asyncio.timeout(1.0):
                async with session.get(url, params=query) as refused:
                    assert refused.status == 503
        async with session.get(url, params=query) as served:
            assert served.status == 200


@pytest.mark.parametrize(
    'query',
    [
        {},
        {'key': CONFIG},
        {'key': CONFIG, 'revision': 'x'},
        {'key': CONFIG, 'revision': '9' * oddkit.LONG},
        {'key': CONFIG, 'revision': '7', 'offset': '-1'},
        {'key': '', 'revision': '7'},
    ],
)
async def test_odd_question_for_an_item_is_refused(query):
    """Guards against a fault of the program for what a peer asks."""
    async with kit.running_system() as system:
        url = f'http://{system.settings[0].peer_address}/item'
        async with aiohttp.ClientSession() as session:
            async with session.get(url, params=query) as response:
                assert response.status == 400


@pytest.mark.parametrize(
    ('news_revision', 'path', 'after'), [(0, '/items', 6), (8, '/news', 8)]
)
def test_peer_of_an_older_build_is_asked_for_whole_items(
    news_revision, path, after
):
    """Guards against a question that an older build answers with 404."""
    view = view_of(config_item(1, 5, 2), revision=6)
    source = view_of(config_item(1, 5, 2), revision=6)
    source.apply_changes(store.Page((config_item(2, 7),), 8), 0)
    pass_news(source, view)
    core = types.SimpleNamespace(view=view)
    fetch = peerfetch.PeerFetch(
        None, None, core, None, clock.Clock(), metrics.Metrics()
    )
    entry = fleetrecords.HostEntry('h', 'z', '127.0.0.1:1', '127.0.0.1:2', 1)
    state = peerformat.HostState(
        entry, 1, True, 8, (), (), 0, news_revision=news_revision
    )
    query = fetch._query_to(state)
    assert (query.path, query.after) == (path, (0, after))
    assert fetch._is_ahead(state) == (not news_revision)
