"""A host whose callers keep to no limit: it lives, and serves the others."""

import pytest

from tests import hostilekit
from tests import platformkit as kit
from tests.hostilekit import HEAD, MAX_BODY_BYTES, MAX_HEADER_BYTES, Shape

CROWD = 60
LENGTH = b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
LEGAL_LINES = (MAX_HEADER_BYTES - len(HEAD) - 64) // 5
# What is sent to the port of callers.
SHAPES = {
    'short_lines': Shape(HEAD, b'a:b\r\n' * 60_000),
    'named_lines': Shape(
        HEAD, b''.join(b'n%d: v\r\n' % number for number in range(50_000))
    ),
    'legal_short_lines': Shape(
        HEAD + b'a:b\r\n' * LEGAL_LINES + b'Content-Length: 9\r\n\r\n12345678'
    ),
    'odd_lines': Shape(HEAD, b'\xff:\t\xfe\r\n' * 60_000),
    'folded_lines': Shape(HEAD, b'a: b\r\n c\r\n' * 30_000),
    'long_line': Shape(HEAD + b'a: ', b'x' * 2_000_000),
    'endless_head': Shape(HEAD, b'a: ' + b'x' * 8_000 + b'\r\n', -1),
    'empty_lines': Shape(b'', b'\r\n' * 8_000, -1),
    'empty_lines_between': Shape(
        HEAD + b'Content-Length: 0\r\n\r\n', b'\r\n' * 8_000, -1
    ),
    'trailers': Shape(
        HEAD + CHUNKED + kit.chunk(b'x') + b'0\r\n', b'a: b\r\n' * 8_000, -1
    ),
    'body_short_of_its_end': Shape(HEAD + LENGTH + b'x' * (MAX_BODY_BYTES - 1)),
    'body_in_pieces': Shape(HEAD + LENGTH, b'x' * 65_536, 63, 0.02),
    'chunks_short_of_their_end': Shape(
        HEAD + CHUNKED, kit.chunk(b'x' * 65_536), 63
    ),
    'chunks_of_a_byte': Shape(HEAD + CHUNKED, b'1\r\nx\r\n' * 10_000, 30),
    'pipelined': Shape(
        b'', (HEAD + b'Content-Length: 0\r\n\r\n') * 200, -1, 0.0, False
    ),
    'slow_heads': Shape(HEAD + b'a: ', b'x', -1, 1.0),
}
OTHER_SERVERS = ('directory', 'peer')
OTHER_SHAPES = ('named_lines', 'endless_head', 'body_short_of_its_end')
SILENT = 500


async def check(folder, server, shape, count):
    """Press a host and check that it lives within its limits and serves."""

    async def respond(request, writer):
        writer.write(kit.answer(request))

    async with hostilekit.host_beside(folder, respond) as beside:
        await hostilekit.check_crowd(beside, [(server, shape)] * count)


@pytest.mark.parametrize('kind', SHAPES)
async def test_callers_do_not_use_up_the_memory(tmp_path, kind):
    """Guards against a host that ends, or hangs, by what callers send."""
    await check(tmp_path, 'caller', SHAPES[kind], CROWD)


@pytest.mark.parametrize('server', OTHER_SERVERS)
@pytest.mark.parametrize('kind', OTHER_SHAPES)
async def test_other_ports_do_not_use_up_the_memory(tmp_path, server, kind):
    """Guards against the same at the directory and at the port of peers."""
    await check(tmp_path, server, SHAPES[kind], CROWD)


@pytest.mark.parametrize('server', ['caller', *OTHER_SERVERS])
async def test_silent_connections_leave_descriptors(tmp_path, server):
    """Guards against a host without descriptors for its targets."""
    await check(tmp_path, server, Shape(b'', b''), SILENT)


async def test_unread_answers_do_not_use_up_the_memory(tmp_path):
    """Guards against a host that holds what its callers do not read."""

    async def respond(request, writer):
        writer.write(kit.answer(request, body=b'x' * 7_000_000))

    async with hostilekit.host_beside(tmp_path, respond) as beside:
        shape = Shape(
            b'', HEAD + b'Content-Length: 0\r\n\r\n', 1, 0.0, reads=False
        )
        async with hostilekit.crowd(beside, 'caller', shape, CROWD):
            assert await beside.order() == 200
            assert beside.resident_mb() < hostilekit.MEMORY_MB
        assert beside.host.is_running()


@pytest.mark.parametrize('kind', ['head', 'body', 'chunks'])
async def test_largest_legal_request_is_served(tmp_path, kind):
    """Guards against limits that a caller inside the operators' limits meets."""
    received = []

    async def respond(request, writer):
        received.append(request)
        writer.write(kit.answer(request))

    async with hostilekit.host_beside(tmp_path, respond) as beside:
        if kind == 'head':
            headers = {
                f'a{number}': 'b' for number in range(MAX_HEADER_BYTES // 16)
            }
            assert await beside.order(**headers) == 200
        elif kind == 'body':
            assert await beside.order(b'x' * MAX_BODY_BYTES) == 200
        else:
            assert await beside.order(chunks(MAX_BODY_BYTES)) == 200
    assert received


async def chunks(total):
    """Yield a body piece by piece."""
    for _ in range(total // 65_536):
        yield b'x' * 65_536
