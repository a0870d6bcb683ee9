"""Answers that a target writes besides the one that a request waits for."""

import asyncio
import contextlib
import socket
import threading
import time

import aiohttp
import pytest

from bergamotstream.forwarding import connections
from bergamotstream.platform import documents, targetmemory
from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_relays as relaycases

PAUSE_S = 0.05
ROUNDS = 4
# Refusals of requests, as targets write them.
REFUSALS = ('503 Busy', '429 Slow', '421 Other', '400 Bad')
# Path and method of a request of each kind.
KINDS = {
    'lookup': ('/lookup/', 'POST'),
    'get': ('/lookup/', 'GET'),
    'order': ('/order/', 'POST'),
    'stream': ('/chat/', 'POST'),
}
REPEATABLE = ('lookup', 'get', 'stream')
OTHER_ID = 'earlier'


def refusal(status='503 Busy', attempt_id=OTHER_ID):
    """Return a refusal; without ``attempt_id`` it names no request."""
    echo = f'{kit.ATTEMPT}: {attempt_id}\r\n' if attempt_id else ''
    return (
        f'HTTP/1.1 {status}\r\n{echo}{kit.NOT_RUN}: 1\r\n'
        f'Content-Length: 4\r\n\r\nfull'
    ).encode()


def success(attempt_id=OTHER_ID, body=b'other'):
    """Return a success that belongs to ``attempt_id``."""
    return (
        f'HTTP/1.1 200 OK\r\n{kit.ATTEMPT}: {attempt_id}\r\n'
        f'{kit.STAMP}: s.0\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def own_answer(request):
    """Return the complete answer to a request of any kind."""
    body = request.headers.get(kit.ATTEMPT, '').encode()
    if request.request_line.split()[1].startswith('/chat/'):
        event = b'id: 1\ndata: ' + body + b'\n\n'
        return kit.stream_head(request) + kit.chunk(event) + b'0\r\n\r\n'
    return kit.answer(request, body)


def runs_by_id(*targets):
    """Return how often the targets got each request."""
    counts = {}
    for target in targets:
        for request in target.received:
            # Probes have no id.
            attempt_id = request.headers.get(kit.ATTEMPT, '')
            counts[attempt_id] = counts.get(attempt_id, 0) + 1
    counts.pop('', None)
    return counts


@contextlib.asynccontextmanager
async def two_targets(kind, respond, document=None):
    """Yield a system and two targets that both answer by ``respond``."""
    service = 'model' if kind == 'stream' else 'plain'
    async with (
        kit.running_system(document=document) as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        await system.add_target('t1', one, service=service)
        await system.add_target('t2', two, service=service)
        yield system, (one, two)


async def call(system, kind, attempt_id, body=b''):
    """Send a request of a kind; return its status and body."""
    path, method = KINDS[kind]
    status, _, received = await system.call(
        f'{path}{attempt_id}',
        body,
        method=method,
        Bergamotstream_Attempt_Id=attempt_id,
    )
    return status, received


async def check_all_served_once(kind, respond, pause_s=0.0):
    """Send requests in turn: each is served, by one run, with its answer."""
    async with two_targets(kind, respond) as (system, targets):
        ids = [f'a{number}' for number in range(ROUNDS)]
        answers = {}
        for attempt_id in ids:
            answers[attempt_id] = await call(system, kind, attempt_id)
            await asyncio.sleep(pause_s)
        statuses = {name: found[0] for name, found in answers.items()}
        assert statuses == dict.fromkeys(ids, 200)
        assert all(name.encode() in answers[name][1] for name in ids)
        assert runs_by_id(*targets) == dict.fromkeys(ids, 1)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('attempt_id', [OTHER_ID, ''])
@pytest.mark.parametrize('status', REFUSALS)
async def test_refusal_on_an_idle_connection_is_no_answer(
    kind, attempt_id, status
):
    """Guards against a refusal that comes before the request it ends."""

    async def respond(request, writer):
        writer.write(own_answer(request))
        await asyncio.sleep(PAUSE_S / 2)
        writer.write(refusal(status, attempt_id))

    await check_all_served_once(kind, respond, PAUSE_S)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('extra', [success(), b'\0nonsense\r\n', b'\r\n'])
async def test_bytes_on_an_idle_connection_are_no_answer(kind, extra):
    """Guards against a success or nonsense that comes before the request."""

    async def respond(request, writer):
        writer.write(own_answer(request))
        await asyncio.sleep(PAUSE_S / 2)
        writer.write(extra)

    await check_all_served_once(kind, respond, PAUSE_S)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('attempt_id', [OTHER_ID, ''])
async def test_refusal_behind_an_answer_is_no_answer(kind, attempt_id):
    """Guards against an extra answer in one segment with the own one."""

    async def respond(request, writer):
        writer.write(own_answer(request) + refusal(attempt_id=attempt_id))

    await check_all_served_once(kind, respond)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('attempt_id', [OTHER_ID, ''])
@pytest.mark.parametrize('cut', [1, 30, -6, -2])
async def test_split_refusal_on_an_idle_connection_is_no_answer(
    kind, attempt_id, cut
):
    """Guards against the second half of an extra answer."""
    extra = refusal(attempt_id=attempt_id)

    async def respond(request, writer):
        writer.write(own_answer(request) + extra[:cut])
        await asyncio.sleep(PAUSE_S / 2)
        writer.write(extra[cut:])

    await check_all_served_once(kind, respond, PAUSE_S)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('status', REFUSALS)
@pytest.mark.parametrize('pause_s', [0, PAUSE_S])
async def test_refusal_of_another_request_is_skipped(kind, status, pause_s):
    """Guards against a request that runs and whose answer is not read."""

    async def respond(request, writer):
        writer.write(refusal(status))
        await asyncio.sleep(pause_s)
        writer.write(own_answer(request))

    await check_all_served_once(kind, respond)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('size', [0, 5, 40_000])
async def test_success_of_another_request_is_skipped(kind, size):
    """Guards against a late answer that costs the next request a run."""

    async def respond(request, writer):
        writer.write(success(body=b'x' * size) + own_answer(request))

    await check_all_served_once(kind, respond)


@pytest.mark.parametrize('kind', KINDS)
async def test_skipped_answer_is_logged(kind, caplog):
    """Guards against extra answers that nobody can count."""

    async def respond(request, writer):
        writer.write(refusal() + own_answer(request))

    caplog.set_level('INFO')
    async with two_targets(kind, respond) as (system, _):
        assert (await call(system, kind, 'a1'))[0] == 200
    logged = [line for line in caplog.messages if 'answer_skipped' in line]
    assert len(logged) == 1
    for part in ('id=a1', f'foreign_id={OTHER_ID}', 'status=503'):
        assert part in logged[0]


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('status', REFUSALS)
async def test_refusal_without_an_id_promises_nothing(kind, status):
    """Guards against "not run" for a request that has run.

    A refusal that names no request may be an earlier one.
    """

    async def respond(request, writer):
        writer.write(refusal(status, attempt_id=''))
        await asyncio.sleep(PAUSE_S)
        writer.write(own_answer(request))

    async with two_targets(kind, respond) as (system, targets):
        for number in range(ROUNDS):
            attempt_id = f'a{number}'
            status_code, _ = await call(system, kind, attempt_id)
            assert status_code == 502
            runs = runs_by_id(*targets)[attempt_id]
            assert runs == 1 if kind == 'order' else runs <= 2


@pytest.mark.parametrize('kind', KINDS)
async def test_success_without_an_id_is_no_answer(kind):
    """Guards against an earlier answer that a caller takes for its own."""

    async def respond(request, writer):
        echo = f'{kit.ATTEMPT}: {request.headers.get(kit.ATTEMPT, "")}\r\n'.encode()
        writer.write(own_answer(request).replace(echo, b''))

    async with two_targets(kind, respond) as (system, targets):
        for number in range(ROUNDS):
            status, _ = await call(system, kind, f'a{number}')
            assert status == 502
            if kind == 'order':
                assert runs_by_id(*targets)[f'a{number}'] == 1


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('echo', ['{0}\r\n{1}: {0}', '{0}, {0}', '{0} x'])
async def test_refusal_with_an_unclear_id_promises_nothing(kind, echo):
    """Guards against a refusal that is joined from two answers."""

    async def respond(request, writer):
        own_id = request.headers.get(kit.ATTEMPT, '')
        writer.write(refusal(attempt_id=echo.format(own_id, kit.ATTEMPT)))

    async with two_targets(kind, respond) as (system, targets):
        for number in range(ROUNDS):
            attempt_id = f'a{number}'
            reading = call(system, kind, attempt_id)
            status, _ = await asyncio.wait_for(reading, 4)
            assert status in {502, 504}
            if kind == 'order':
                assert runs_by_id(*targets)[attempt_id] == 1


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('status', REFUSALS)
async def test_refusal_with_the_own_id_is_believed(kind, status):
    """Guards against a request that is lost though a target is free."""
    refused = []

    async def respond(request, writer):
        attempt_id = request.headers.get(kit.ATTEMPT, '')
        if attempt_id in refused:
            writer.write(own_answer(request))
        else:
            refused.append(attempt_id)
            writer.write(refusal(status, attempt_id))

    document = kit.configuration_document(
        routes=[
            kit.route('lookup', '/lookup/', 'idempotent'),
            kit.route('order', '/order/', 'non_idempotent'),
            kit.route(
                'chat', '/chat/', 'streaming', service='model', resumable=True
            ),
        ]
    )
    service = 'model' if kind == 'stream' else 'plain'
    async with (
        kit.running_system(document=document) as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        await system.add_target('t1', one, service=service)
        await system.add_target('t2', two, service=service)
        assert (await call(system, kind, 'a1'))[0] == 200
        assert [len(one.received), len(two.received)] == [1, 1]


@pytest.mark.parametrize('kind', REPEATABLE)
@pytest.mark.parametrize('status', [*REFUSALS, '500 Fault'])
async def test_connection_of_a_failed_try_is_not_used_again(kind, status):
    """Guards against a refusal of an earlier try of the same request.

    A target may also leave the rest of a rejected request unread.
    """

    async def respond(request, writer):
        attempt_id = request.headers.get(kit.ATTEMPT, '')
        text = refusal(status, attempt_id)
        if status.startswith('500'):
            text = text.replace(kit.NOT_RUN.encode(), b'X-None')
        writer.write(text)

    service = 'model' if kind == 'stream' else 'plain'
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target, service=service)
        for number in range(40):
            await call(system, kind, f'a{number}')
            await asyncio.sleep(PAUSE_S)
            if len(target.received) >= 2:
                break
        assert len(target.received) >= 2
        assert target.connections == len(target.received)


async def test_connection_of_a_broken_stream_is_not_used_again():
    """Guards against tries of one request that share a connection."""

    async def respond(request, writer):
        body = kit.event(1) + b'id: 2\nda'
        writer.write(kit.stream_head(request) + kit.chunk(body) + b'0\r\n\r\n')

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target, service='model')
        for number in range(3):
            with contextlib.suppress(aiohttp.ClientError):
                await call(system, 'stream', f'a{number}')
        assert len(target.received) >= 2
        assert target.connections == len(target.received)


@pytest.mark.parametrize('kind', REPEATABLE)
async def test_served_requests_share_a_connection(kind):
    """Guards against a connection for each request, which has its price."""

    async def respond(request, writer):
        writer.write(own_answer(request))

    async with two_targets(kind, respond) as (system, targets):
        for number in range(ROUNDS):
            assert (await call(system, kind, f'a{number}'))[0] == 200
        assert sum(target.connections for target in targets) <= 2


@pytest.mark.parametrize('kind', KINDS)
async def test_endless_extra_answers_end_the_try(kind):
    """Guards against a target that keeps a request with other answers."""
    sent = []

    async def respond(request, writer):
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(refusal())
                sent.append(1)
                await writer.drain()
                await asyncio.sleep(0)

    async with two_targets(kind, respond) as (system, targets):
        started = asyncio.get_running_loop().time()
        status, _ = await call(system, kind, 'a1')
        took_s = asyncio.get_running_loop().time() - started
        assert status == 502
        assert took_s < 0.5
        if kind == 'order':
            assert runs_by_id(*targets) == {'a1': 1}


@pytest.mark.parametrize('head', ['HTTP/1.1 102 Wait\r\n\r\n', 'own'])
async def test_endless_interim_heads_end_the_try(head):
    """Guards against heads that announce an answer without end.

    The route's time is longer than the 1.0 s that a machine with four busy
    processes a core takes for the bytes up to the limit.
    """
    sent = []
    order = kit.route(
        'order', '/order/', 'non_idempotent', attempts=1, timeout_ms=5_000
    )
    document = kit.configuration_document(routes=[order])

    async def respond(request, writer):
        text = head
        if head == 'own':
            own_id = request.headers.get(kit.ATTEMPT, '')
            text = f'HTTP/1.1 103 Hints\r\n{kit.ATTEMPT}: {own_id}\r\n\r\n'
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(text.encode() * 4_000)
                sent.append(len(text) * 4_000)
                await writer.drain()
                await asyncio.sleep(0)

    async with two_targets('order', respond, document) as (system, _):
        status, _ = await call(system, 'order', 'a1')
        assert status == 502
        assert sum(sent) < 20_000_000


@pytest.mark.parametrize('kind', KINDS)
async def test_interim_head_is_not_the_answer(kind):
    """Guards against a connection that is closed before its answer."""

    async def respond(request, writer):
        for status in ('100 Continue', '103 Hints'):
            writer.write(f'HTTP/1.1 {status}\r\n\r\n'.encode())
            await asyncio.sleep(PAUSE_S)
        writer.write(own_answer(request))

    await check_all_served_once(kind, respond)


@pytest.mark.parametrize('attempt_id', ['', OTHER_ID, 'a1'])
@pytest.mark.parametrize('reuse', [True, False])
async def test_bytes_before_a_request_are_no_answer(
    attempt_id, reuse, monkeypatch
):
    """Guards against a refusal that a new connection begins with.

    Nothing was sent, so another target may get the request.
    """
    received = []
    connect = aiohttp.TCPConnector.connect

    async def connect_slowly(*arguments, **options):
        connection = await connect(*arguments, **options)
        await asyncio.sleep(PAUSE_S)
        return connection

    async def respond(reader, writer):
        writer.write(refusal(attempt_id=attempt_id))
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            received.append(await reader.readuntil(b'\r\n\r\n'))
        writer.close()

    monkeypatch.setattr(aiohttp.TCPConnector, 'connect', connect_slowly)
    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, connections.open_session(reuse=reuse) as session:
        with pytest.raises(aiohttp.ClientConnectorError):
            await session.post(
                f'http://{address}/', headers={kit.ATTEMPT: 'a1'}
            )
        assert not received


@pytest.mark.parametrize('extra', ['refusal', 'end'])
async def test_unread_bytes_on_an_idle_connection_are_no_answer(extra):
    """Guards against bytes that a busy host has not read.

    The event loop stands still from the extra answer to the next request.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    address = '{0}:{1}'.format(*listener.getsockname())
    answered, written = threading.Event(), threading.Event()
    connections_made = []

    def serve():
        for number in range(2):
            opened, _ = listener.accept()
            connections_made.append(opened)
            opened.recv(65_536)
            opened.sendall(success(f'a{number}', b'own'))
            answered.wait(5)
            answered.clear()
            if extra == 'end':
                opened.shutdown(socket.SHUT_WR)
            else:
                opened.sendall(refusal(attempt_id=''))
            written.set()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    async with connections.open_session(reuse=True) as session:
        for number in range(2):
            async with session.get(
                f'http://{address}/', headers={kit.ATTEMPT: f'a{number}'}
            ) as response:
                assert await response.read() == b'own'
            written.clear()
            answered.set()
            assert written.wait(5)
            time.sleep(PAUSE_S)
    thread.join(5)
    assert len(connections_made) == 2
    for opened in (*connections_made, listener):
        opened.close()


@pytest.mark.parametrize('kind', KINDS)
async def test_long_answer_of_another_request_ends_the_try(kind):
    """Guards against a host that buffers an answer that nobody reads."""
    size = 2 * connections.MAX_SKIPPED_BYTES

    async def respond(request, writer):
        writer.write(success(body=b'x' * size) + own_answer(request))

    async with two_targets(kind, respond) as (system, targets):
        assert (await call(system, kind, 'a1'))[0] == 502
        if kind == 'order':
            assert runs_by_id(*targets) == {'a1': 1}


@pytest.mark.parametrize('named', [True, False])
async def test_refusal_of_a_request_that_is_being_sent(named):
    """Guards against a wrong promise while a long body is under way.

    A target that has read the head may refuse at once; only the id tells that
    it has read this head.
    """

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        heads.append(head)
        own_id = 'a1' if named else ''
        writer.write(refusal(attempt_id=own_id))
        with contextlib.suppress(ConnectionError):
            await asyncio.sleep(PAUSE_S)
        writer.close()

    heads = []
    limits = {'max_header_bytes': 16_384, 'max_body_bytes': 20_000_000}
    document = kit.configuration_document(limits=limits)
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    target = kit.RawTarget(None)
    target.address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    async with server, kit.running_system(document=document) as system:
        await system.add_target('t1', target)
        status, _ = await call(system, 'order', 'a1', b'x' * 15_000_000)
        assert status == (503 if named else 502)
        assert len(heads) == 1


@pytest.mark.parametrize('kind', ['lookup', 'order', 'stream'])
async def test_connection_of_an_unread_request_is_not_used_again(kind):
    """Guards against a request where the rest of a body is due.

    A target may answer before it has read a body, and read on later.
    """
    heads = []

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        heads.append(head)
        fields = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:-2]
        )
        writer.write(own_answer(kit.Received(head.decode(), fields, b'')))
        await asyncio.sleep(2 * PAUSE_S)
        with contextlib.suppress(ConnectionError):
            rest = await reader.read(20_000_000)
            while rest:
                assert not rest.strip(b'x'), rest.strip(b'x')[:80]
                rest = await reader.read(20_000_000)
        writer.close()

    limits = {'max_header_bytes': 16_384, 'max_body_bytes': 20_000_000}
    document = kit.configuration_document(limits=limits)
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    target = kit.RawTarget(None)
    target.address = '{0}:{1}'.format(*server.sockets[0].getsockname())
    service = 'model' if kind == 'stream' else 'plain'
    async with server, kit.running_system(document=document) as system:
        await system.add_target('t1', target, service=service)
        for number in range(ROUNDS):
            attempt_id = f'a{number}'
            body = b'x' * 15_000_000
            found = await call(system, kind, attempt_id, body)
            assert found[0] == 200
            assert attempt_id.encode() in found[1]
        assert len(heads) == ROUNDS


@pytest.mark.parametrize('attempt_id', [OTHER_ID, ''])
async def test_relayed_order_is_not_told_an_earlier_refusal(attempt_id):
    """Guards against a wrong promise that passes from a peer to a caller."""
    async with cutcases.running_system() as (system, cut):
        await relaycases.lose_links(system, cut, ['host-0'])
        for target in cut.targets:
            answer = target._respond

            async def respond(request, writer, answer=answer):
                writer.write(refusal(attempt_id=attempt_id))
                await asyncio.sleep(PAUSE_S)
                await answer(request, writer)

            target._respond = respond
        for number in range(ROUNDS):
            status, _ = await call(system, 'order', f'r{number}', b'relayed')
            assert status == (200 if attempt_id else 502)
    received = [
        request.headers.get(kit.ATTEMPT, '')
        for target in cut.targets
        for request in target.received
        if request.body == b'relayed'
    ]
    assert sorted(received) == [f'r{number}' for number in range(ROUNDS)]


MEMORY_EXTRAS = {
    'idle': (b'', refusal()),
    'idle_success': (b'', success()),
    'crossing_success': (success(), b''),
}


@pytest.mark.parametrize('extra', MEMORY_EXTRAS)
async def test_memory_order_is_not_answered_for_another_request(extra):
    """Guards against memory that counts as reserved and is not.

    The target has no memory to reserve.
    """
    before, after = MEMORY_EXTRAS[extra]
    body = b'{"free":0}'
    full = f'HTTP/1.1 409 Full\r\nContent-Length: {len(body)}\r\n\r\n'.encode()

    async def respond(request, writer):
        if request.request_line.startswith('GET'):
            writer.write(own_answer(request))
        else:
            writer.write(before + full + body)
        await asyncio.sleep(PAUSE_S / 2)
        writer.write(after)

    async with (
        kit.raw_target(respond) as target,
        connections.open_session(reuse=True) as session,
    ):
        entry = documents.decode_target_entry(
            't1', kit.target_document(target.address)
        )
        for number in range(ROUNDS):
            async with session.get(
                f'http://{target.address}/',
                headers={kit.ATTEMPT: f'a{number}'},
            ) as answer:
                assert await answer.read() == f'a{number}'.encode()
            await asyncio.sleep(PAUSE_S)
            if before:
                with pytest.raises(targetmemory.OrderUnanswered):
                    await targetmemory.reserve(session, entry, 't', 10, 100)
            else:
                assert not await targetmemory.reserve(
                    session, entry, 't', 10, 100
                )
            await asyncio.sleep(PAUSE_S)
