"""The etcd client against the HTTP stand-in, with each of its faults."""

import asyncio

import aiohttp
import pytest
from aiohttp import test_utils

from bergamotstream import actions, keyvalues
from bergamotstream.keyvalues import etcd
from standins import kv, kvstore

TIMEOUT_MS = 300


@pytest.fixture
def stand_in():
    """Return the stand-in that ``service`` serves."""
    return kv.KvService()


@pytest.fixture
async def service(stand_in):
    """Serve the stand-in on a free port."""
    server = test_utils.TestServer(stand_in.application())
    await server.start_server()
    yield str(server.make_url('/'))
    await server.close()


@pytest.fixture
async def client(service):
    """Connect a client to the stand-in."""
    connected = keyvalues.get_client_by_name('etcd')(service, TIMEOUT_MS)
    yield connected
    await connected.close()


async def set_faults(url, **faults):
    async with aiohttp.ClientSession() as session:
        await session.post(f'{url}faults', json=faults)


async def test_write_compares_the_revision(client):
    """Guards against one of two racing writers overwriting the other."""
    first = await client.perform(actions.KvWrite('1', 'a/1', b'x', 0))
    again = await client.perform(actions.KvWrite('2', 'a/1', b'y', 0))
    assert (first.status, again.status) == ('ok', 'conflict')
    assert again.items == first.items
    revision = first.items[0].revision
    changed = await client.perform(actions.KvWrite('3', 'a/1', b'y', revision))
    assert changed.status == 'ok'
    await client.perform(actions.KvWrite('4', 'a/2', b'', 0))
    read = await client.perform(actions.KvRead('5', 'a/', prefix=True))
    assert [(entry.key, entry.value) for entry in read.items] == [
        ('a/1', b'y'),
        ('a/2', b''),
    ]
    page = await client.perform(actions.KvRead('5', 'a/', prefix=True, limit=1))
    rest = await client.perform(
        actions.KvRead('5', 'a/', prefix=True, after_key='a/1', limit=9)
    )
    assert page.items + rest.items == read.items
    await client.perform(actions.KvWrite('6', 'a/3', b'', 0))
    await client.perform(actions.KvDelete('7', 'a/1'))
    await client.perform(actions.KvDelete('8', 'a/1', 'a/3'))
    left = await client.perform(actions.KvRead('9', 'a/', prefix=True))
    assert [entry.key for entry in left.items] == ['a/3']


async def test_lost_answer_is_unknown_and_took_effect(client, service):
    """Guards against reporting a lost answer as not run."""
    await set_faults(service, lose_answers=True)
    lost = await client.perform(actions.KvWrite('1', 'k', b'x', 0))
    await set_faults(service, lose_answers=False)
    read = await client.perform(actions.KvRead('2', 'k'))
    assert (lost.status, read.items[0].value) == ('unknown', b'x')


async def test_slow_service_makes_writes_unknown(client, service):
    """Guards against a call without timeout and a false 'not run'."""
    await set_faults(service, slow_ms=3 * TIMEOUT_MS)
    written = await client.perform(actions.KvWrite('1', 'k', b'x', 0))
    read = await client.perform(actions.KvRead('2', 'k'))
    assert (written.status, read.status) == ('unknown', 'unavailable')


async def test_service_that_is_down_is_unavailable(client, service):
    """Guards against treating a refusal as possibly written."""
    await set_faults(service, down=True)
    for action in (
        actions.KvWrite('1', 'k', b'x', 0),
        actions.KvWatch('2', 'k', 0),
        actions.KvDelete('3', 'k'),
    ):
        assert (await client.perform(action)).status == 'unavailable'


async def test_refused_connection_is_unavailable():
    """Guards against treating a refused connection as possibly written."""
    lost = etcd.EtcdClient('http://127.0.0.1:1', TIMEOUT_MS)
    answered = await lost.perform(actions.KvWrite('1', 'k', b'x', 0))
    await lost.close()
    assert answered.status == 'unavailable'


async def test_invalid_head_is_no_proof_of_a_write_that_did_not_run():
    """Guards against a change that is made twice."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        text = b'etcdserver: no leader'
        writer.write(
            b'HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s'
            % (len(text), text)
        )
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        client = etcd.EtcdClient(f'http://127.0.0.1:{port}', TIMEOUT_MS)
        answer = await client.perform(actions.KvWrite('1', 'a/1', b'x', 0))
        await client.close()
    assert answer.status == 'unknown'


async def test_value_over_the_limit_is_not_written(client):
    """Guards against values that the platform's service refuses."""
    large = bytes(kvstore.MAX_VALUE_BYTES + 1)
    answered = await client.perform(actions.KvWrite('1', 'k', large, 0))
    assert answered.status == 'unavailable'


async def test_watch_returns_on_the_next_change(client):
    """Guards against missing a change made before or during the watch."""
    first = await client.perform(actions.KvWrite('1', 'k', b'x', 0))
    seen = await client.perform(actions.KvWatch('2', 'k', 0))
    assert seen.items == first.items
    revision = first.items[0].revision
    watch = asyncio.create_task(
        client.perform(actions.KvWatch('3', 'k', revision))
    )
    await client.perform(actions.KvWrite('4', 'other', b'', 0))
    await client.perform(actions.KvWrite('5', 'k', b'y', revision))
    assert (await watch).items[0].value == b'y'


async def test_watch_survives_compaction(client, stand_in):
    """Guards against a watch that fails once its revision is compacted."""
    stand_in.store.put('k', b'x')
    for _ in range(kvstore.HISTORY_LENGTH + 1):
        stand_in.store.put('other', b'')
    seen = await client.perform(actions.KvWatch('1', 'k', 0))
    assert [entry.value for entry in seen.items] == [b'x']


async def test_watch_ends_in_time(client, monkeypatch):
    """Guards against a watch without changes that never ends."""
    monkeypatch.setattr(etcd, 'WATCH_TIMEOUT_MS', 100)
    absent = await client.perform(actions.KvWatch('2', 'absent', 0))
    assert (absent.status, absent.items) == ('ok', ())


def test_leases_delete_their_keys():
    """Guards against keys that outlive the lease of their writer."""
    store = kvstore.KvStore()
    lease = store.grant_lease(2, now_ms=0)
    store.put('k', b'x', lease)
    store.keep_lease(lease, now_ms=1_500)
    store.expire_leases(now_ms=3_000)
    assert store.get('k')
    store.expire_leases(now_ms=3_500)
    assert store.get('k') is None
