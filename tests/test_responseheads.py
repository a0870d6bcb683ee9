"""Answers of targets whose heads break HTTP and pass the library's parser."""

import asyncio
import collections
import json

import aiohttp
import pytest
from aiohttp import http_parser

from tests import platformkit as kit

PATHS = ('/lookup/1', '/order/1', '/chat/1')
PROMISES = (b'408', b'421', b'429', b'503')
BODY = b'id: 1\ndata: token-1\n\n'
# How the body of an answer ends, with the lines that say so.
FRAMINGS = {
    'length': (f'Content-Length: {len(BODY)}', BODY),
    'chunks': ('Transfer-Encoding: chunked', kit.chunk(BODY) + b'0\r\n\r\n'),
    'close': ('', BODY),
}


@pytest.fixture(
    autouse=True, params=['HttpResponseParserC', 'HttpResponseParserPy']
)
def parser(request, monkeypatch):
    """Use one of the library's two parsers; wheels lack neither."""
    chosen = getattr(http_parser, request.param)
    monkeypatch.setattr(aiohttp.client_proto, 'HttpResponseParser', chosen)


def answer(request, status_line='HTTP/1.1 200 OK', field='', framing='length'):
    """Return an answer with one more field line."""
    framing_field, body = FRAMINGS[framing]
    lines = (
        status_line,
        field,
        f'{kit.ATTEMPT}: {request.headers[kit.ATTEMPT]}',
        f'{kit.STAMP}: s.1',
        'Content-Type: text/event-stream',
        framing_field,
    )
    return (
        '\r\n'.join(filter(None, lines)).encode('latin1') + b'\r\n\r\n' + body
    )


async def call(system, path, host=0):
    """Return the bytes that a caller gets, as no library has read them."""
    reader, writer = await asyncio.open_connection(
        *system.settings[host].caller_address.split(':')
    )
    writer.write(
        f'POST {path} HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\nApi-Key: {kit.KEY}\r\n'
        f'{kit.ATTEMPT}: a1\r\nBergamotstream-Deadline-Ms: 5000\r\n'
        'Content-Length: 0\r\nConnection: close\r\n\r\n'.encode()
    )
    async with asyncio.timeout(10):
        received = await reader.read()
    writer.close()
    return received


async def check_refused(path, hosts=1, **broken):
    """Send a request whose first try gets a broken answer.

    Only a request that may run again is tried elsewhere, and the caller of
    another one is not told that it has not run.
    """
    received = []

    async def respond(request, writer):
        received.append(request)
        variant = broken if len(received) == 1 else {}
        writer.write(answer(request, **variant))
        await writer.drain()
        writer.close()

    async with (
        kit.running_system(hosts) as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        service = 'model' if path == '/chat/1' else 'plain'
        await system.add_target('t1', one, service=service)
        await system.add_target('t2', two, service=service)
        got = await call(system, path)
    head, _, body = got.partition(b'\r\n\r\n')
    if path == '/order/1':
        assert len(received) == 1
        assert head.startswith(b'HTTP/1.1 502 ')
        assert kit.STAMP.encode() not in head
        assert json.loads(body)['run_state'] == 'may_have_run'
    else:
        assert len(received) == 2
        assert head.startswith(b'HTTP/1.1 200 ')
        assert BODY in body
        assert b'X-' not in head


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('status', ['000', '001', '099', '101', '600', '999'])
async def test_status_outside_the_range_is_no_answer(path, status):
    """Guards against a status that no caller can read as one."""
    await check_refused(path, status_line=f'HTTP/1.1 {status} Trouble')
