"""Requests through hosts, the store stand-in and scripted targets."""

import asyncio
import socket

import aiohttp
import aiohttp.web
import pytest

from bergamotstream import clock
from bergamotstream.forwarding import (
    connections,
    crashblame,
    listensockets,
    retrybudget,
)
from bergamotstream.platform import documents, store
from tests import platformkit as kit


async def answer_plain(request, writer):
    writer.write(kit.answer(request))
    await writer.drain()


async def test_request_is_forwarded_unchanged():
    """Guards against changed paths, bodies and identity headers."""
    async with (
        kit.running_system() as system,
        kit.raw_target(answer_plain) as target,
    ):
        await system.add_target('t1', target)
        path = '/lookup/a%2Fb/../c?x=1&y=%20'
        url = 'http://{0}'.format(system.settings[0].caller_address)
        reader, writer = await asyncio.open_connection(
            *url.removeprefix('http://').split(':')
        )
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
            f'Api-Key: {kit.KEY}\r\n{kit.ATTEMPT}: a7\r\n'
            'Bergamotstream-Tenant: other\r\nX-Own: 1\r\n'
            'Connection: X-Own, Bergamotstream-Model\r\n'
            'Bergamotstream-Model: m\r\n'
            'Bergamotstream-Deadline-Ms: 900\r\n'
            'Content-Length: 4\r\n\r\nbody'.encode()
        )
        head = await reader.readuntil(b'\r\n\r\n')
        assert b' 200 ' in head.splitlines()[0]
        got = target.received[0]
        assert got.request_line == f'POST {path} HTTP/1.1'
        assert got.body == b'body'
        assert got.headers['Bergamotstream-Tenant'] == 'small'
        assert got.headers['Bergamotstream-Model'] == 'm'
        assert got.headers['Bergamotstream-Expect-Instance'] == 't1'
        assert 0 < int(got.headers['Bergamotstream-Deadline-Ms']) <= 900
        assert 'Api-Key' not in got.headers
        assert 'X-Own' not in got.headers
        writer.close()


async def test_unknown_routes_and_keys_are_refused():
    """Guards against serving what the configuration does not allow."""
    async with kit.running_system() as system:
        assert (await system.call('/none/1'))[0] == 404
        assert (await system.call('/lookup/1', Api_Key='wrong'))[0] == 401
        assert (await system.call('/lookup/1', body=b'x' * 20_000))[0] == 413


async def test_no_target_is_refused_at_once_with_retry_after():
    """Guards against queueing a request that no target can serve."""
    async with kit.running_system() as system:
        started = asyncio.get_running_loop().time()
        status, headers, _ = await system.call('/lookup/1')
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert asyncio.get_running_loop().time() - started < 0.5


async def test_order_that_may_have_run_is_not_sent_again():
    """Guards against an order that runs twice or is reported as not run."""

    async def reset(request, writer):
        writer.transport.abort()

    async with (
        kit.running_system() as system,
        kit.raw_target(reset) as broken,
        kit.raw_target(reset) as other,
    ):
        await system.add_target('t1', broken)
        await system.add_target('t2', other)
        status, _, _ = await system.call('/order/1')
        assert status == 502
        assert len(broken.received) + len(other.received) == 1


async def test_shed_order_is_reported_as_not_run():
    """Guards against a refusal without a retry delay."""

    async def shed(request, writer):
        writer.write(
            kit.answer(request, b'', '503 Busy', f'{kit.NOT_RUN}: 1\r\n')
        )

    async with (
        kit.running_system() as system,
        kit.raw_target(shed) as target,
    ):
        await system.add_target('t1', target)
        status, headers, _ = await system.call('/order/1')
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert kit.STAMP not in headers


async def test_headers_over_the_limit_are_refused():
    """Guards against forwarding headers that targets would reject."""
    async with (
        kit.running_system() as system,
        kit.raw_target(answer_plain) as target,
    ):
        await system.add_target('t1', target)
        status, _, _ = await system.call('/lookup/1', X_Long='x' * 17_000)
        assert status == 431
        assert (await system.call('/lookup/1', X_Long='x' * 9_000))[0] == 200
        assert len(target.received) == 1


async def test_lookup_goes_to_a_second_target():
    """Guards against a failed lookup that another target could answer."""

    async def fail(request, writer):
        writer.write(kit.answer(request, b'no', '500 Error'))

    async with (
        kit.running_system() as system,
        kit.raw_target(fail) as failing,
    ):
        await system.add_target('t1', failing)
        status, headers, body = await system.call('/lookup/1')
        assert (status, body) == (500, b'no')
        assert headers[kit.STAMP] == 's.1'
        async with kit.raw_target(answer_plain) as good:
            await system.add_target('t2', good)
            for _ in range(6):
                assert (await system.call('/lookup/1'))[0] == 200


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/chat/1'])
async def test_silent_target_is_answered_for_at_the_timeout(path):
    """Guards against a request kept past its route's timeout."""

    async def hang(request, writer):
        await asyncio.sleep(30)

    async with (
        kit.running_system() as system,
        kit.raw_target(hang) as target,
    ):
        service = 'model' if 'chat' in path else 'plain'
        await system.add_target('t1', target, service=service)
        started = asyncio.get_running_loop().time()
        status, _, _ = await system.call(path)
        elapsed_s = asyncio.get_running_loop().time() - started
        assert status == 504
        limit = 2.0 if 'chat' in path else 1.0
        assert limit - 0.2 < elapsed_s < limit + 0.25


@pytest.mark.parametrize('started_events', [0, 2])
async def test_stream_of_a_silent_target_resumes_at_another(started_events):
    """Guards against callers that time out on a target that hangs.

    Seven streams in the run scale-1 of aviso-nevado stopped without a reset,
    and their callers disconnected after two seconds.
    """

    async def hang(request, writer):
        writer.write(stream_start(request, started_events))
        await asyncio.sleep(30)

    async def resume(request, writer):
        first = int(request.headers.get('Last-Event-Id') or 0) + 1
        writer.write(kit.stream_head(request))
        for number in range(first, 5):
            writer.write(kit.chunk(kit.event(number)))
        writer.write(b'0\r\n\r\n')

    async with (
        kit.running_system() as system,
        kit.raw_target(hang) as silent,
        kit.raw_target(resume) as other,
    ):
        calling = await call_first_of(system, silent, other)
        started = asyncio.get_running_loop().time()
        status, _, body = await calling
        elapsed_s = asyncio.get_running_loop().time() - started
        assert status == 200
        assert body == b''.join(kit.event(number) for number in range(1, 5))
        assert elapsed_s < 1.6


async def test_silent_stream_is_resumed_with_the_last_retry(monkeypatch):
    """Guards against a stream that is cut because its retry counts twice.

    Mix 461044981126 of parana-mazas: streams of silent targets were cut off
    beside a change of the configuration.
    """
    tries = []

    def acquire_once(budget, service, now_ms):
        tries.append(service)
        return len(tries) == 1

    async def hang(request, writer):
        writer.write(stream_start(request, 2))
        await asyncio.sleep(30)

    async def resume(request, writer):
        stream = kit.chunk(kit.event(3)) + b'0\r\n\r\n'
        writer.write(kit.stream_head(request) + stream)

    monkeypatch.setattr(retrybudget.RetryBudget, 'try_acquire', acquire_once)
    async with (
        kit.running_system() as system,
        kit.raw_target(hang) as silent,
        kit.raw_target(resume) as other,
    ):
        calling = await call_first_of(system, silent, other)
        status, _, body = await calling
        assert status == 200
        assert body == b''.join(kit.event(number) for number in range(1, 4))
        suspicions = system.daemons[0]._core.blame.counts.seen(0)
        assert not suspicions.broken


async def call_first_of(system, first, second):
    """Start a call that reaches ``first``, then add ``second``; return it."""
    await system.add_target('t1', first, service='model')
    calling = asyncio.ensure_future(system.call('/chat/1'))
    await system.until(lambda: first.received)
    await system.add_target('t2', second, service='model')
    return calling


def stream_start(request, events):
    """Return the first bytes of a stream; none without an event."""
    if not events:
        return b''
    listed = (kit.chunk(kit.event(number + 1)) for number in range(events))
    return kit.stream_head(request) + b''.join(listed)


async def test_disconnected_caller_is_not_a_target_failure(monkeypatch):
    """Guards against a retry for a caller that has disconnected.

    Soak, seed 2: a host that had been suspended for a second wrote to closed
    connections, counted target failures and sent the requests again.
    """

    async def disconnected(response, encoded):
        raise aiohttp.ClientConnectionResetError('Cannot write')

    async def stream(request, writer):
        writer.write(stream_start(request, 3) + b'0\r\n\r\n')

    monkeypatch.setattr(aiohttp.web.StreamResponse, 'write', disconnected)
    async with (
        kit.running_system() as system,
        kit.raw_target(stream) as first,
        kit.raw_target(stream) as second,
    ):
        await system.add_target('t1', first, service='model')
        await system.add_target('t2', second, service='model')
        with pytest.raises(aiohttp.ClientError):
            await system.call('/chat/1')
        assert len(first.received) + len(second.received) == 1


async def test_target_connection_closes_when_the_caller_disconnects():
    """Guards against work for a caller that has disconnected."""
    started = asyncio.Event()

    async def hang(request, writer):
        started.set()
        await asyncio.sleep(0.6)
        writer.write(b'x')
        await writer.drain()

    async with (
        kit.running_system() as system,
        kit.raw_target(hang) as target,
    ):
        await system.add_target('t1', target)
        call = asyncio.ensure_future(system.call('/lookup/1'))
        await started.wait()
        call.cancel()
        await system.until(lambda: target.closed_by_host == 1, 2)
        await asyncio.sleep(0.1)
        assert len(target.received) == 1


async def test_extra_answer_reaches_no_other_request():
    """Guards against an answer that belongs to another request."""

    async def answer_twice(request, writer):
        writer.write(kit.answer(request, request.headers[kit.ATTEMPT].encode()))
        writer.write(kit.answer(request, b'extra'))

    async with (
        kit.running_system() as system,
        kit.raw_target(answer_twice) as target,
    ):
        await system.add_target('t1', target)
        for number in range(5):
            status, _, body = await system.call(
                '/lookup/1', Bergamotstream_Attempt_Id=f'a{number}'
            )
            assert status in {200, 502}
            assert status == 502 or body == f'a{number}'.encode()


@pytest.mark.parametrize('fault', ['short', 'reset', 'no_stamp'])
async def test_incomplete_answer_is_never_a_success(fault):
    """Guards against a body that lacks bytes, or one without a stamp."""

    async def respond(request, writer):
        whole = kit.answer(request, b'0123456789')
        if fault == 'short':
            writer.write(whole[:-3])
        if fault == 'reset':
            head = kit.stream_head(request, 'Connection: close\r\n')
            writer.write(head + b'0123')
            await writer.drain()
            await asyncio.sleep(0.05)
            kit.reset(writer)
            return
        if fault == 'no_stamp':
            writer.write(whole.replace(kit.STAMP.encode(), b'X-None'))
        await writer.drain()
        writer.close()

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target)
        status, headers, _ = await system.call('/lookup/1')
        assert status == 502
        assert kit.STAMP not in headers


async def test_answer_without_a_length_is_complete_when_it_ends_cleanly():
    """Guards against refusing a correct answer of an older target."""

    async def respond(request, writer):
        head = kit.stream_head(request, '')
        writer.write(head.replace(b'text/event-stream', b'text/plain'))
        writer.write(b'0123')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target)
        status, _, body = await system.call('/lookup/1')
        assert (status, body) == (200, b'0123')


async def test_stream_resumes_at_another_target():
    """Guards against an event that is lost, duplicated or merged."""

    async def serve(request, writer):
        first = int(request.headers.get('Last-Event-Id', 0)) + 1
        writer.write(kit.stream_head(request))
        for number in range(first, 7):
            if first == 1 and number == 4:
                # Disconnects in the middle of an event.
                writer.write(kit.chunk(kit.event(number)[:9]))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return
            writer.write(kit.chunk(kit.event(number)))
        writer.write(b'0\r\n\r\n')

    async with (
        kit.running_system() as system,
        kit.raw_target(serve) as one,
        kit.raw_target(serve) as two,
    ):
        await system.add_target('t1', one, service='model')
        await system.add_target('t2', two, service='model')
        status, _, body = await system.call('/chat/1')
        assert status == 200
        assert body == b''.join(kit.event(number) for number in range(1, 7))
        assert len(one.received) + len(two.received) == 2


async def test_stream_that_cannot_resume_looks_incomplete():
    """Guards against a stream that ends as complete before its last event."""

    async def serve(request, writer):
        writer.write(kit.stream_head(request) + kit.chunk(kit.event(1)))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async with (
        kit.running_system() as system,
        kit.raw_target(serve) as target,
    ):
        await system.add_target('t1', target, service='model')
        with pytest.raises(aiohttp.ClientPayloadError):
            await system.call('/chat/1')


async def test_unreachable_target_is_skipped():
    """Guards against an order that fails although nothing was sent."""
    async with (
        kit.running_system() as system,
        kit.raw_target(answer_plain) as good,
        kit.raw_target(answer_plain) as gone,
    ):
        await system.add_target('t1', gone)
        await system.add_target('t2', good)
        await gone.stop()
        for number in range(4):
            assert (await system.call(f'/order/{number}'))[0] == 200


async def test_host_that_the_store_refuses_learns_from_its_peer():
    """Guards against a stale configuration on a host without the store."""
    async with kit.running_system(hosts=2) as system:
        first, second = (daemon._core.view for daemon in system.daemons)
        await system.until(
            lambda: all(daemon._peers.live_peers() for daemon in system.daemons)
        )

        async def refuse(*_):
            raise kit.store.StoreUnavailable('refused')

        watches = [
            task
            for task in system.daemons[1]._tasks
            if 'StoreWatch' in repr(task.get_coro())
        ]
        watches[0].cancel()
        await system.store.put(
            'op/config', kit.configuration_document(version=9, routes=[])
        )
        await system.until(lambda: first.configuration.version == 9)
        await system.until(lambda: second.configuration.version == 9, 1.5)


async def test_host_that_starts_alone_reads_the_blame_records():
    """Guards against blame that ends with the last host that knew of it."""
    async with kit.running_system() as system:
        blamed = crashblame.Blamed(42, 0)
        system.daemons[0]._core.blame.blame([blamed], clock.Clock().now_ms())
        key = documents.blamed_key(42)
        await system.until(lambda: key in system.store.kv.items_by_key)
        first_task = system.daemon_tasks[0]
        first_task.cancel()
        await asyncio.wait([first_task])
        await system.start_host('host-1')
        now_ms = clock.Clock().now_ms()
        assert system.daemons[1]._core.blame.is_refused(42, now_ms)


async def test_stop_withdraws_from_the_directory_and_drains_requests():
    """Guards against a graceful shutdown that aborts a request."""

    async def slow(request, writer):
        await asyncio.sleep(0.3)
        writer.write(kit.answer(request))

    async with (
        kit.running_system(hosts=2) as system,
        kit.raw_target(slow) as target,
    ):
        await system.add_target('t1', target)
        call = asyncio.ensure_future(system.call('/lookup/1'))
        await system.until(lambda: target.received)
        system.daemons[0].request_stop()
        status, headers, _ = await call
        assert status == 200
        assert headers.get('Connection', '').lower() == 'close'
        stopping = system.settings[0]
        assert await system.get_status(
            stopping.readiness_address, '/ready'
        ) in {0, 503}
        await system.until(
            lambda: (
                stopping.name not in system.daemons[1]._core.view.hosts_by_name
            )
        )


async def test_stopping_host_does_not_register_again():
    """Guards against a host that is listed again after its withdrawal, as it
    takes the lease that it has revoked for a lost one."""

    async def slow(request, writer):
        await asyncio.sleep(2.2)
        writer.write(kit.answer(request))

    document = kit.configuration_document(
        routes=[kit.route('lookup', '/lookup/', 'idempotent', timeout_ms=4_000)]
    )
    async with (
        kit.running_system(1, document, 5_000) as system,
        kit.raw_target(slow) as target,
    ):
        await system.add_target('t1', target)
        call = asyncio.ensure_future(system.call('/lookup/1'))
        await system.until(lambda: target.received)
        system.daemons[0].request_stop()
        key = f'bergamotstream/hosts/{system.settings[0].name}'
        await system.until(lambda: key not in system.store.kv.items_by_key)
        while not call.done():
            assert key not in system.store.kv.items_by_key
            await asyncio.sleep(0.02)
        assert (await call)[0] == 200


async def test_stopping_host_ends_without_open_requests():
    """Guards against hosts that are all stopping at the same time.

    In mix 159338078608 of parana-mazas six hosts got SIGTERM one second apart
    and each ran to the end of its grace period of 8 s.
    """
    system = kit.System()
    await system.store.start()
    await system.store.put('op/config', kit.configuration_document())
    settings = kit.make_settings(
        '{0}:{1}'.format(*system.store._listener._address)
    )
    daemon = kit.make_daemon(settings)
    run = asyncio.ensure_future(daemon.run())
    await system.until_ready(settings)
    daemon.request_stop()
    async with asyncio.timeout(4.5):
        await run
    await system.stop()


async def test_host_without_a_configuration_rejects_with_retry_after():
    """Guards against 401, 403 or 404 from a host without a configuration."""
    system = kit.System()
    await system.store.start()
    settings = kit.make_settings(
        '{0}:{1}'.format(*system.store._listener._address)
    )
    daemon = kit.make_daemon(settings)
    run = asyncio.ensure_future(daemon.run())
    system.settings.append(settings)
    await asyncio.sleep(0.2)
    status, headers, _ = await system.call('/lookup/1')
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert await system.get_status(settings.readiness_address, '/ready') == 503
    run.cancel()
    await system.stop()


async def test_lost_syn_does_not_delay_a_call_to_the_store():
    """Guards against waiting for the kernel to retransmit a lost SYN.

    In scale-1 of aviso-nevado two hosts that started during a network
    partition had no configuration until 1 s after its end.
    """
    with socket.socket() as full:
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        port = full.getsockname()[1]
        waiting = [socket.socket() for _ in range(3)]
        for opened in waiting:
            # A full backlog drops SYN packets, as a partition does.
            opened.setblocking(False)
            opened.connect_ex(('127.0.0.1', port))
        async with connections.open_session(reuse=True) as session:
            client = store.StoreClient(
                kit.make_settings(f'127.0.0.1:{port}').store, session
            )
            async with asyncio.timeout(store.CALL_TIMEOUT_S / 2):
                with pytest.raises(store.StoreUnavailable):
                    await client.read_all('')
        for opened in waiting:
            opened.close()


def test_caller_may_connect_before_the_host_serves():
    """Guards against refused connections while the libraries are imported."""
    address = kit.address()
    ip, _, port = address.rpartition(':')
    with listensockets.open_listener(address):
        with socket.create_connection((ip, int(port)), timeout=1) as opened:
            assert opened.getpeername() == (ip, int(port))


ENDLESS_HEADS = {
    'status_line': (b'HTTP/1.1 200 ', b'O' * 65_536),
    'header_line': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x' * 65_536),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-Many: 1\r\n' * 6_000),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2_000),
    'blank_lines': (b'', b'\r\n' * 32_768),
    'other_bytes': (b'\x16\x03\x01', b'\x00' * 65_536),
}
# A host may buffer one answer of 8 MB; the rest is in socket buffers.
MAX_ENDLESS_BYTES = 32_000_000


class EndlessTarget:
    """Sends bytes until the connection is closed."""

    def __init__(self):
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def send(self, writer, first, repeated):
        writer.write(first)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
                self.sent_bytes += len(repeated)
        except ConnectionError:
            self.closed.set()


@pytest.mark.parametrize('path', ['/lookup/1', '/chat/1'])
@pytest.mark.parametrize('kind', [*ENDLESS_HEADS, 'body', 'chunks'])
async def test_endless_answer_is_closed_and_another_target_tried(kind, path):
    """Guards against a host that buffers bytes without end."""
    endless = EndlessTarget()

    async def respond(request, writer):
        if kind in ENDLESS_HEADS:
            await endless.send(writer, *ENDLESS_HEADS[kind])
        elif kind == 'body':
            head = kit.stream_head(request, extra='')
            await endless.send(writer, head, b'x' * 65_536)
        else:
            head = kit.stream_head(request)
            await endless.send(writer, head, kit.chunk(b'x' * 65_536))

    async def whole(request, writer):
        if path == '/lookup/1':
            writer.write(kit.answer(request))
        else:
            writer.write(
                kit.stream_head(request)
                + kit.chunk(kit.event(1))
                + b'0\r\n\r\n'
            )

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as broken,
        kit.raw_target(whole) as sound,
    ):
        service = 'plain' if path == '/lookup/1' else 'model'
        await system.add_target('t1', broken, service=service)
        for _ in range(5):
            if not broken.received:
                await system.call(path)
        await asyncio.wait_for(endless.closed.wait(), 3)
        assert endless.sent_bytes < MAX_ENDLESS_BYTES
        await system.add_target('t2', sound, service=service)
        async with asyncio.timeout(5):
            while (await system.call(path))[0] != 200:
                await asyncio.sleep(0.1)
