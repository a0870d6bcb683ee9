"""Answers to uploads that a target cuts while it is still being sent one."""

import asyncio
import contextlib
import socket

import pytest

from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_relays as relaycases

LIMITS = {'max_header_bytes': 16_384, 'max_body_bytes': 20_000_000}
UPLOAD = bytes(4_000_000)
PART = kit.event(1) * 200
# More than the host holds for a caller that does not read.
LONG_PART = kit.event(1) * 100_000
CALLS = 4
# Small enough that most of an upload is still to be written.
RECEIVE_BUFFER_BYTES = 16_384


async def reset_at_once(writer):
    kit.reset(writer)


async def reset_later(writer):
    await asyncio.sleep(0.05)
    kit.reset(writer)


async def close_unread(writer):
    writer.close()


async def half_close_then_reset(writer):
    writer.write_eof()
    await asyncio.sleep(0.05)
    kit.reset(writer)


async def reset_while_unread(writer):
    writer.write(LONG_PART)
    await asyncio.sleep(0.3)
    kit.reset(writer)


CUTS = (
    reset_at_once,
    reset_later,
    close_unread,
    half_close_then_reset,
    reset_while_unread,
)


@contextlib.asynccontextmanager
async def early_target(cut, coding=''):
    """Yield a target that answers uploads unread, without a length."""

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            request = await read_head(reader)
            writer.write(kit.stream_head(request, coding) + PART)
            await writer.drain()
            await cut(writer)

    listener = socket.create_server(('127.0.0.1', 0))
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    server = await asyncio.start_server(serve, sock=listener, limit=1_024)
    target = kit.RawTarget(None)
    target.address = '127.0.0.1:{0}'.format(listener.getsockname()[1])
    async with server:
        yield target


async def upload(system, path, *, is_chunked=False):
    """Upload as a caller that reads late; return the bytes of the answer."""
    framing, body = f'Content-Length: {len(UPLOAD)}', UPLOAD
    if is_chunked:
        framing = 'Transfer-Encoding: chunked'
        body = kit.chunk(UPLOAD) + b'0\r\n\r\n'
    return await system.call_raw(
        path, framing=framing, body=body, read_after_s=0.1
    )


def is_complete_of_target(received):
    """Tell whether a caller takes an answer for a target's complete one."""
    head = received.partition(b'\r\n\r\n')[0]
    return kit.STAMP.encode() in head and is_complete(received)


def is_complete(received):
    """Tell whether a caller takes an answer for a complete one."""
    head, end, body = received.partition(b'\r\n\r\n')
    fields = head.lower()
    if not end:
        return False
    if b'transfer-encoding: chunked' in fields:
        return body.endswith(b'0\r\n\r\n')
    if b'content-length: ' in fields:
        length = fields.partition(b'content-length: ')[2].split(b'\r\n')[0]
        return len(body) == int(length)
    return True


@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('cut', CUTS)
@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/chat/1'])
async def test_part_of_an_answer_to_an_upload_is_not_complete(
    path, cut, is_chunked
):
    """Guards against a reset that looks like the end of an answer."""
    document = kit.configuration_document(limits=LIMITS)
    async with (
        kit.running_system(document=document) as system,
        early_target(cut) as target,
    ):
        service = 'model' if path == '/chat/1' else 'plain'
        await system.add_target('t1', target, service=service)
        answers = await asyncio.gather(
            *(upload(system, path, is_chunked=is_chunked) for _ in range(CALLS))
        )
    assert not list(filter(is_complete_of_target, answers))


@pytest.mark.parametrize('coding', ['identity', 'gzip', 'chunked, gzip'])
@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/chat/1'])
async def test_part_with_another_coding_is_not_complete(path, coding):
    """Guards against a field that hides how the end is recognised."""
    document = kit.configuration_document(limits=LIMITS)
    async with (
        kit.running_system(document=document) as system,
        early_target(reset_later, f'Transfer-Encoding: {coding}\r\n') as target,
    ):
        service = 'model' if path == '/chat/1' else 'plain'
        await system.add_target('t1', target, service=service)
        received = await upload(system, path)
    assert not is_complete_of_target(received)


@pytest.mark.parametrize('path', ['/lookup/9', '/order/9', '/chat/9'])
async def test_part_that_a_peer_passes_on_is_not_complete(monkeypatch, path):
    """Guards against a reset that a host between hides from the caller."""
    cut = []
    respond = cutcases.respond

    async def respond_early(request, writer):
        if path not in request.request_line:
            await respond(request, writer)
            return
        cut.append(request.request_line)
        writer.write(kit.stream_head(request, '') + PART)
        await writer.drain()
        kit.reset(writer)

    monkeypatch.setattr(cutcases, 'respond', respond_early)
    async with cutcases.running_system() as (system, links):
        await system.store.put(
            'op/config', kit.configuration_document(2, limits=LIMITS)
        )
        await relaycases.lose_links(system, links, ['host-0'])
        monkeypatch.setattr(kit, '_read_request', read_head)
        received = await upload(system, path)
    assert cut
    assert not is_complete_of_target(received)


async def read_head(reader):
    """Return a request of a target that leaves its body unread."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    request_line, *lines = head.strip().split('\r\n')
    return kit.Received(
        request_line, dict(line.split(': ', 1) for line in lines), b''
    )
