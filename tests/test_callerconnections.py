"""Connections of callers at the bounds for all of them, without a host."""

import asyncio
import contextlib
import socket

from aiohttp import web

from bergamotstream import errors
from bergamotstream.forwarding import callerlimits, heldbytes, pacedreads

MAX_HEAD_BYTES = 65_536
ANSWER = b'received'


class Recorder:
    """Keeps what a server records."""

    def __init__(self):
        self.limits = []

    def record_limit(self, limit, allowed):
        """Keep the name of a limit."""
        self.limits.append(limit)

    def record_unreadable(self, status, fault, caller):
        """Expect a line for each connection."""


class Served:
    """A server on loopback."""

    def __init__(self, handler, *, connections, held_bytes):
        self.recorder = Recorder()
        self.held = heldbytes.HeldBytes(held_bytes)
        self.server = pacedreads.PacedServer(
            handler,
            self.recorder,
            callerlimits.ServerLimits(
                lambda: MAX_HEAD_BYTES,
                self.held,
                callerlimits.ConnectionTable(connections),
                callerlimits.ParseBudget(),
            ),
            handler_cancellation=True,
            access_log=None,
            max_line_size=pacedreads.MAX_HEAD_BYTES,
            max_field_size=pacedreads.MAX_HEAD_BYTES,
            max_headers=pacedreads.MAX_HEAD_LINES,
        )
        self.address = None

    @contextlib.asynccontextmanager
    async def connected(self):
        """Yield the streams of a new connection."""
        reader, writer = await asyncio.open_connection(*self.address)
        with contextlib.closing(writer):
            yield reader, writer


@contextlib.asynccontextmanager
async def serving(handler, connections=100, held_bytes=20_000_000):
    """Yield a server whose requests ``handler`` answers."""
    served = Served(handler, connections=connections, held_bytes=held_bytes)
    runner = web.ServerRunner(served.server, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    served.address = runner.addresses[0]
    try:
        yield served
    finally:
        await runner.cleanup()


def post(body, *lines):
    """Return the bytes of a request."""
    head = [
        'POST / HTTP/1.1',
        'Host: a',
        *lines,
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join((*head, '\r\n')).encode() + body


async def echo_length(request):
    """Answer with the length of the body."""
    body = await request.read()
    return web.Response(body=ANSWER + b'%d.' % len(body))


async def test_closed_connections_whose_answers_are_unread_are_ended():
    """Guards against descriptors and memory beyond the limit of connections.

    A connection that is closed with unsent bytes stays open until its caller
    has read them.
    """

    async def answer(_):
        return web.Response(body=b'x' * 3_000_000)

    connections = 4
    loop = asyncio.get_running_loop()
    async with serving(answer, connections, 1_000_000_000) as served:
        with contextlib.ExitStack() as stack:
            for _ in range(5 * connections):
                caller = stack.enter_context(socket.socket())
                caller.setblocking(False)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                await loop.sock_connect(caller, served.address)
                await loop.sock_sendall(caller, post(b''))
                await asyncio.sleep(0.02)
            assert len(served.server.connections) <= connections
            assert served.held.total < 4 * connections * 1_000_000


async def test_lines_of_a_body_do_not_count_as_those_of_a_head():
    """Guards against short requests that are cut for the text in them."""
    body = b'\n' * 12_000
    count = 8
    is_complete = asyncio.Event()

    async def wait(request):
        response = await echo_length(request)
        await is_complete.wait()
        return response

    async with serving(wait) as served:
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(served.connected())
                for _ in range(count)
            ]
            for _, writer in callers:
                writer.write(post(body))
            await asyncio.sleep(0.1)
            assert served.held.total < count * 65_536
            is_complete.set()
            for reader, _ in callers:
                await reader.readuntil(ANSWER + b'12000.')
        assert not served.recorder.limits


def test_pauses_end_soon_after_a_crowd_has_left():
    """Guards against connections that are not read for hours afterwards.

    A crowd may open connections faster than their pauses pass.
    """
    parsing = callerlimits.ParseBudget()
    turn_ms = 10
    for now_ms in range(0, 600_000, turn_ms):
        pause_ms = parsing.delay_ms(turn_ms, now_ms)
        assert pause_ms <= callerlimits.MAX_PARSE_PAUSE_MS
    now_ms += callerlimits.MAX_PARSE_PAUSE_MS
    assert not parsing.delay_ms(turn_ms, now_ms + turn_ms * 4)


async def test_long_head_after_a_body_is_answered():
    """Guards against a reset, which tells the caller nothing, instead of 431.

    The body of the request before it was taken for one that never ends.
    """
    body = b'x' * 100_000
    async with serving(echo_length) as served:
        async with served.connected() as (reader, writer):
            writer.write(post(body))
            await reader.readuntil(ANSWER + b'100000.')
            writer.write(post(b'', f'A: {"x" * MAX_HEAD_BYTES * 2}'))
            assert (await reader.readline()).startswith(b'HTTP/1.1 431 ')


async def test_long_head_after_a_body_does_not_cut_the_request():
    """Guards against a request that is cut by the one behind it."""
    body = b'x' * 100_000
    is_complete = asyncio.Event()

    async def wait(request):
        response = await echo_length(request)
        await is_complete.wait()
        return response

    async with serving(wait) as served:
        async with served.connected() as (reader, writer):
            writer.write(post(body))
            await asyncio.sleep(0.1)
            writer.write(post(b'', f'A: {"x" * MAX_HEAD_BYTES * 2}'))
            await asyncio.sleep(0.1)
            is_complete.set()
            await reader.readuntil(ANSWER + b'100000.')


async def test_caller_that_sends_a_body_gets_its_refusal():
    """Guards against a reset instead of 503 for a body above the bound.

    Without the status a caller must not send its request again.
    """
    size = 2_000_000

    async def refuse(request):
        try:
            async for _ in request.content.iter_any():
                await asyncio.sleep(0)
        except errors.Overloaded as error:
            return web.Response(status=error.status)
        return web.Response()

    async with serving(refuse, held_bytes=size // 2) as served:
        async with served.connected() as (reader, writer):
            head, _, body = post(b'x' * size).rpartition(b'\r\n')
            writer.write(head + b'\r\n')
            for start in range(0, size, size // 40):
                writer.write(body[start : start + size // 40])
                await writer.drain()
                await asyncio.sleep(0.01)
            answer = await reader.read()
            assert answer.startswith(b'HTTP/1.1 503 ')
            assert b'Connection: close\r\n' in answer
        assert not served.held.total
