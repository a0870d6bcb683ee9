"""Odd answers of the store and of peers that are asked for news."""

import asyncio
import json

import aiohttp
import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream.forwarding import (
    connections,
    fleetview,
    peerupdates,
)
from bergamotstream.platform import store
from tests import oddkit
from tests import platformkit as kit


async def serve_once_each(bodies):
    """Return a server that answers each request with the next body."""
    waiting = list(bodies)

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        body = waiting.pop(0)
        writer.write(
            b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: '
            + str(len(body)).encode()
            + b'\r\n\r\n'
            + body
        )
        writer.close()

    return await asyncio.start_server(respond, '127.0.0.1', 0)


async def read_listing(*bodies):
    server = await serve_once_each(bodies)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, connections.open_session(reuse=True) as session:
        client = store.StoreClient(kit.make_settings(address).store, session)
        return await client.read_all('')


def listing(items, **changes):
    return json.dumps(
        {'items': items, 'store_revision': 9, 'has_more': False} | changes
    ).encode()


FINE = {'key': 'servers/t1', 'rev': 7, 'value': ''}
ODD_ITEMS = {
    'number': 5,
    'null': None,
    'list': [],
    'no_key': {'rev': 7, 'value': ''},
    'key_as_list': FINE | {'key': []},
    'key_with_half_a_character': FINE | {'key': 'servers/\ud800'},
    'revision_as_text': FINE | {'key': 'a', 'rev': 'x'},
    'revision_infinite': FINE | {'key': 'a', 'rev': float('inf')},
    'revision_too_large': FINE | {'key': 'a', 'rev': 1 << 70},
    'revision_negative': FINE | {'key': 'a', 'rev': -1},
    'value_as_number': FINE | {'key': 'a', 'value': 5},
    'value_of_other_characters': FINE | {'key': 'a', 'value': 'é'},
    'value_cut': FINE | {'key': 'a', 'value': 'abc'},
    'no_value': {'key': 'a', 'rev': 7},
}


@pytest.mark.parametrize('kind', ODD_ITEMS)
async def test_odd_item_of_the_store_costs_no_other_item(kind):
    """Guards against a listing that one item makes unreadable."""
    page = await read_listing(listing([ODD_ITEMS[kind], FINE]))
    assert [item for item in page.items if item.key == 'servers/t1']
    view = fleetview.FleetView()
    changes = view.replace_all(page, 0)
    assert 'servers/t1' in view.items.by_key
    again = view.replace_all(page, 0)
    named = [change for change in changes if change.subject[:5] == 'item:']
    assert len(named) == len(page.unreadable)
    assert not again


def test_unreadable_item_of_a_known_key_is_no_deletion():
    """Guards against dropping a target whose item was damaged on the way."""
    view = oddkit.view_with_target()
    page = store.Page((), 9, (store.UnreadableItem('servers/t1', 'rev'),))
    view.replace_all(page, 0)
    assert 't1' in view.targets_by_id


ODD_ANSWERS = {
    'deep': b'[' * oddkit.DEEP,
    'deep_field': b'{"store_revision": 1, "items": ' + b'[' * oddkit.DEEP,
    'infinite_revision': b'{"store_revision": 1e999, "items": []}',
    'huge_revision': b'{"store_revision": 99999999999999999999, "items": []}',
    'long_revision': b'{"store_revision": %s, "items": []}'
    % (b'9' * oddkit.LONG),
    'items_as_number': b'{"store_revision": 1, "items": 5}',
    'items_as_object': b'{"store_revision": 1, "items": {"a": 1}}',
    'no_text': b'\xff\xfe',
    'repeats_a_page': listing([FINE], has_more=True),
}


@pytest.mark.parametrize('kind', ODD_ANSWERS)
async def test_odd_answer_of_the_store_counts_as_none(kind):
    """Guards against an answer that ends the task which reads the store."""
    with pytest.raises(store.StoreUnavailable):
        await read_listing(*[ODD_ANSWERS[kind]] * 3)


async def test_odd_lease_counts_as_no_answer():
    """Guards against a registration that ends by a lease it cannot use."""
    for body in (b'{"lease": 1e999}', b'{"lease": null}', b'{"lease": -1}'):
        server = await serve_once_each([body])
        address = '{0}:{1}'.format(*server.sockets[0].getsockname())
        async with server, connections.open_session(reuse=True) as session:
            client = store.StoreClient(
                kit.make_settings(address).store, session
            )
            with pytest.raises(store.StoreUnavailable):
                await client.open_lease(1_000)


def update_body(**changes):
    return json.dumps(
        {'revision': 9, 'items': [], 'complete': False, 'hold_ms': 0} | changes
    ).encode()


ODD_UPDATES = {
    'deep': b'[' * oddkit.DEEP,
    'no_object': b'[]',
    'infinite_revision': update_body(revision=float('inf')),
    'huge_revision': update_body(revision=1 << 70),
    'negative_revision': update_body(revision=-1),
    'infinite_hold': update_body(hold_ms=float('inf')),
    'hold_as_text': update_body(hold_ms='x'),
    'items_as_number': update_body(items=5),
    'list_as_key': update_body(large=[[[], 1, 2]]),
    'digests_as_list': update_body(digests=[]),
    'digest_as_number': update_body(large=[['a', 1, 2]], digests={'a': 5}),
}


@pytest.mark.parametrize('kind', ODD_UPDATES)
def test_odd_update_of_a_peer_is_refused(kind):
    """Guards against an update that ends the task which asks peers."""
    with pytest.raises(ValueError):
        peerupdates.decode(ODD_UPDATES[kind])


@pytest.mark.parametrize(
    'odd',
    [
        5,
        None,
        ['a'],
        ['a', 'x', ''],
        ['a', 1 << 70, ''],
        [5, 1, ''],
        ['a', 1.5, ''],
        ['\ud800', 1, ''],
        ['a', 1, 5],
        ['a', 1, 'é'],
    ],
)
def test_odd_item_of_a_peer_costs_no_other_item(odd):
    """Guards against news of a peer that one item makes unreadable."""
    fine = ['servers/t1', 7, '']
    update = peerupdates.decode(update_body(items=[odd, fine]))
    view = fleetview.FleetView()
    view.apply_changes(update.page, 0)
    view.apply_changes(update.page, 0)
    assert 'servers/t1' in view.items.by_key


def test_peer_keeps_lapsed_targets_no_longer_than_a_host_does():
    """Guards against targets that one answer keeps for ever."""
    update = peerupdates.decode(update_body(hold_ms=1 << 40))
    assert update.hold_ms <= fleetview.LAPSE_HOLD_MS


@pytest.mark.parametrize(
    'after', ['x', '9' * oddkit.LONG, '1e9', '-1', '', '99999999999999999999']
)
async def test_odd_revision_in_a_query_of_a_peer_is_refused(after):
    """Guards against a fault of the program for what a peer asks."""
    async with kit.running_system() as system:
        url = f'http://{system.settings[0].peer_address}/items'
        async with aiohttp.ClientSession() as session:
            async with session.get(url, params={'after': after}) as response:
                assert response.status == 400


UPDATE = {
    'revision': 9,
    'items': [['servers/t1', 7, ''], ['servers/t2', 8, None]],
    'complete': True,
    'hold_ms': 10,
    'large': [['op/config', 9, 20_000]],
    'digests': {'op/config': '74dc20c61f1351f5'},
}


@hypothesis.given(
    strategies.sampled_from(tuple(oddkit.paths_of(UPDATE))), oddkit.JSON
)
def test_any_part_of_an_update_is_applied_or_refused(path, part):
    """Guards against an unexpected fault on any type in any place."""
    body = json.dumps(oddkit.replaced(UPDATE, path, part)).encode()
    try:
        update = peerupdates.decode(body)
    except ValueError:
        return
    view = fleetview.FleetView()
    for _ in range(2):
        view.replace_all(update.page, 0)
    assert view.revision < 1 << 63
