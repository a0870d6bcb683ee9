"""Requests whose connections end before an answer, and how often they go out."""

import asyncio

import aiohttp
import pytest

from bergamotstream.forwarding import connections, crashcounts
from bergamotstream.platform import store
from tests import platformkit as kit

# Methods that HTTP calls idempotent, which clients may send again by themselves.
METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')
CRASHING_PATH = '/lookup/666'
EXCHANGE_S = 0.5


class CountedTarget:
    """Answers all requests but those of one path, at which it closes."""

    def __init__(self, closed_path):
        self.closed_path = closed_path
        self.target = None

    async def respond(self, request, writer):
        path = request.request_line.split()[1]
        if path == self.closed_path:
            writer.close()
        else:
            writer.write(kit.answer(request))

    def received(self):
        """Return how often the request arrived at which it closes."""
        return sum(
            request.request_line.split()[1] == self.closed_path
            for request in self.target.received
        )


@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('path', ['/lookup/2', '/order/2', '/chat/2'])
async def test_broken_connection_is_one_send(method, path):
    """Guards against an HTTP client that repeats a request by itself.

    A lookup may go to two targets; one that must run once, to one target.
    """
    counted = CountedTarget(path)
    async with (
        kit.running_system() as system,
        kit.raw_target(counted.respond) as target,
    ):
        counted.target = target
        service = 'model' if path.startswith('/chat') else 'plain'
        await system.add_target('t1', target, service=service)
        if service == 'plain':
            await system.call('/lookup/1', method='GET')
        await system.call(path, method=method)
        assert counted.received() == 1


async def test_lookup_that_ends_its_targets_is_refused():
    """Guards against crashes that look like targets which were down.

    In incident BUDGET each attempt ended three targets: the client sent its
    request again on a new connection, which the ended target refused.
    """
    crashed = []

    async def respond(request, writer):
        if request.request_line.split()[1] != CRASHING_PATH:
            writer.write(kit.answer(request))
            return
        port = writer.get_extra_info('sockname')[1]
        crashed.append(port)
        await targets_by_port[port].stop()
        writer.close()

    targets_by_port = {}
    async with kit.running_system(hosts=2) as system:
        for number in range(6):
            target = kit.RawTarget(respond)
            await target.start()
            port = int(target.address.rpartition(':')[2])
            targets_by_port[port] = target
            await system.add_target(f't{number}', target)
        # Leaves each host with kept connections.
        for turn in range(24):
            await system.call('/lookup/1', method='GET', host=turn % 2)
        for turn in range(4):
            answered = await system.call(
                CRASHING_PATH, method='GET', host=turn % 2
            )
            # Hosts tell each other of a crash within this time.
            await asyncio.sleep(EXCHANGE_S)
        assert answered[0] == 503
        assert len(crashed) <= crashcounts.REQUEST_LIMITS.suspected


@pytest.mark.parametrize('end', ['close', 'reset'])
async def test_call_to_the_store_is_sent_once(end):
    """Guards against calls to the store that no counter knows of."""
    received = []

    async def respond(reader, writer):
        received.append(await reader.readuntil(b'\r\n\r\n'))
        if end == 'reset':
            kit.reset(writer)
        writer.close()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, connections.open_session(reuse=True) as session:
        client = store.StoreClient(kit.make_settings(address).store, session)
        with pytest.raises(store.StoreUnavailable):
            await client.read_all('')
        assert len(received) == 1


@pytest.mark.parametrize('reuse', [True, False])
async def test_refused_connection_is_still_told_apart(reuse):
    """Guards against a target that is down and counts as one that broke."""
    address = kit.address()
    async with connections.open_session(reuse=reuse) as session:
        with pytest.raises(aiohttp.ClientConnectorError):
            await session.get(f'http://{address}/')
