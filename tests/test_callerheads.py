"""Heads of callers' requests that the operators' limits allow."""

import asyncio
import contextlib

import pytest

from bergamotstream.forwarding import pacedreads
from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_relaylimits as limitcases
from tests import test_relays as relaycases

MANY = {f'X_{number}': f'{number}' for number in range(1_000)}
HEADERS = (
    f'Host: {kit.HOST_NAME}\r\nApi-Key: {kit.KEY}\r\n{kit.ATTEMPT}: a1\r\n'
)


@contextlib.asynccontextmanager
async def connected(system):
    """Yield the streams of a new connection of a caller."""
    ip, _, port = system.settings[0].caller_address.partition(':')
    reader, writer = await asyncio.open_connection(ip, port)
    with contextlib.closing(writer):
        yield reader, writer


async def exchange(reader, writer, target, headers=HEADERS):
    """Return the status of a request on an open connection."""
    writer.write(f'GET {target} HTTP/1.1\r\n{headers}\r\n'.encode())
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            await reader.readexactly(int(line.split(b':')[1]))
    return int(head.split()[1])


@pytest.mark.parametrize('path', limitcases.PATHS)
async def test_head_of_many_lines_is_served(path):
    """Guards against a limit of the HTTP library for the number of lines."""
    async with cutcases.running_system() as (system, cut):
        await limitcases.set_limits(system, max_header_bytes=32_768)
        served = [200] * limitcases.REQUESTS
        assert await limitcases.statuses(system, path, **MANY) == served
        await relaycases.lose_links(system, cut, ['host-0'])
        assert await limitcases.statuses(system, path, **MANY) == served


async def test_limit_that_rises_holds_for_open_connections():
    """Guards against a limit that was fixed when a connection was opened."""
    long_line = f'X-Long: {"x" * 50_000}\r\n'
    async with cutcases.running_system() as (system, _):
        async with connected(system) as (reader, writer):
            assert await exchange(reader, writer, '/lookup/1') == 200
            await limitcases.set_limits(system, max_header_bytes=60_000)
            status = await exchange(
                reader, writer, '/lookup/1', HEADERS + long_line
            )
            assert status == 200


@pytest.mark.parametrize(
    ('target', 'received'),
    [
        ('http://api.example/lookup/1', '/lookup/1'),
        (
            'HTTP://Api.Example:8227/lookup/a%20b?x=%2F&y',
            '/lookup/a%20b?x=%2F&y',
        ),
        ('http://api.example/lookup/1?u=http://b.example/', None),
    ],
)
async def test_target_in_absolute_form_is_served(target, received):
    """Guards against 404 for a form that each server must accept."""
    async with cutcases.running_system() as (system, cut):
        async with connected(system) as (reader, writer):
            assert await exchange(reader, writer, target) == 200
        lines = [
            request.request_line
            for entry in cut.targets
            for request in entry.received
            if kit.ATTEMPT in request.headers
        ]
        received = received or '/lookup/1?u=http://b.example/'
        assert lines == [f'GET {received} HTTP/1.1']


@pytest.mark.parametrize('line', ['X-Own: 1', f'X-Own: {"x" * 70_000}', 'odd'])
async def test_head_without_end_is_ended(line):
    """Guards against a caller that fills a host's memory with one head."""
    encoded = f'{line}\r\n'.encode()
    encoded *= max(70_000 // len(encoded), 1)
    sent = 0
    async with kit.running_system() as system:
        async with connected(system) as (_, writer):
            writer.write(f'GET /lookup/1 HTTP/1.1\r\n{HEADERS}'.encode())
            with contextlib.suppress(ConnectionError):
                while sent < 8 * pacedreads.MAX_HEAD_BYTES:
                    writer.write(encoded)
                    sent += len(encoded)
                    await writer.drain()
                    await asyncio.sleep(0)
            assert sent < 8 * pacedreads.MAX_HEAD_BYTES
        # The host lives and serves others.
        assert (await system.call('/none/1'))[0] == 404


async def test_body_that_follows_a_head_does_not_count_as_one():
    """Guards against long bodies that are ended as heads."""
    body = b'x' * (3 * pacedreads.MAX_HEAD_BYTES)
    async with cutcases.running_system() as (system, _):
        await limitcases.set_limits(system, max_body_bytes=len(body))
        for _ in range(2):
            status, _, _ = await system.call('/lookup/1', body)
            assert status == 200


ANSWER_HEADS = {
    'lines': ''.join(f'X-{number}: {number}\r\n' for number in range(1_000)),
    'long': f'X-Long: {"x" * 50_000}\r\n',
}


@pytest.mark.parametrize('kind', ANSWER_HEADS)
async def test_long_head_of_an_answer_reaches_the_caller(kind):
    """Guards against whole answers that are replaced by 502 for their heads."""

    async def respond(request, writer):
        writer.write(kit.answer(request, extra=ANSWER_HEADS[kind]))

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target)
        ip, _, port = system.settings[0].caller_address.partition(':')
        reader, writer = await asyncio.open_connection(
            ip, port, limit=pacedreads.MAX_HEAD_BYTES
        )
        with contextlib.closing(writer):
            assert await exchange(reader, writer, '/lookup/1') == 200
