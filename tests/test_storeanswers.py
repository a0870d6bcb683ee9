"""Answers of the store that were broken off."""

import asyncio

import pytest

from bergamotstream.forwarding import connections
from bergamotstream.platform import store
from tests import platformkit as kit

WHOLE = b'{"store_revision": 7, "items": [{"key": "a", "rev": 7, "value": ""}]}'
BROKEN_OFF = {
    'no_body': b'',
    'inside_the_document': WHOLE[:-9],
    'no_fields': b'{}',
    'no_items': b'{"store_revision": 7}',
    'item_without_a_value': WHOLE.replace(b', "value": ""', b''),
    'no_object': b'[]',
}


@pytest.mark.parametrize('kind', BROKEN_OFF)
async def test_broken_answer_of_the_store_does_not_end_the_host(kind):
    """Guards against a process that ends when the store breaks off."""

    async def respond(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + BROKEN_OFF[kind])
        writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, connections.open_session(reuse=True) as session:
        client = store.StoreClient(kit.make_settings(address).store, session)
        calls = (
            client.read_all(''),
            client.watch('', 1, 10),
            client.open_lease(1_000),
        )
        for call in calls:
            with pytest.raises(store.StoreUnavailable):
                await call
