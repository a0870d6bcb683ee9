"""Answers of targets whose heads are invalid and pass the library's parsers."""

import asyncio
import contextlib
import json

import aiohttp
import pytest
from aiohttp import http_parser

from bergamotstream import logs, metrics
from bergamotstream.forwarding import answerlimits
from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_relays as relaycases

PATHS = ('/lookup/1', '/order/1', '/chat/1')
BODY = b'id: 1\ndata: token-1\n\n'
# How the body of an answer ends, with the lines that say so.
FRAMINGS = {
    'length': (f'Content-Length: {len(BODY)}', BODY),
    'chunks': ('Transfer-Encoding: chunked', kit.chunk(BODY) + b'0\r\n\r\n'),
    'close': ('', BODY),
}


# The parser in C is missing where the library has no wheel.
PARSERS = [
    name
    for name in ('HttpResponseParserC', 'HttpResponseParserPy')
    if hasattr(http_parser, name)
]


@pytest.fixture(autouse=True, params=PARSERS)
def parser(request, monkeypatch):
    """Use one of the library's parsers."""
    chosen = getattr(http_parser, request.param)
    monkeypatch.setattr(aiohttp.client_proto, 'HttpResponseParser', chosen)


def answer(
    request,
    status_line='HTTP/1.1 200 OK',
    field='',
    framing='length',
    interim=b'',
):
    """Return an answer with one more field line, behind ``interim``."""
    framing_field, body = FRAMINGS[framing]
    lines = (
        status_line,
        field,
        f'{kit.ATTEMPT}: {request.headers[kit.ATTEMPT]}',
        f'{kit.STAMP}: s.1',
        'Content-Type: text/event-stream',
        framing_field,
    )
    head = '\r\n'.join(filter(None, lines)).encode('latin1')
    return interim + head + b'\r\n\r\n' + body


@contextlib.asynccontextmanager
async def broken_once(path):
    """Yield a check of a request whose first answer is broken, and the host.

    It checks that only a request that may run again is tried elsewhere, and
    that the caller of another one is not told that it has not run.
    """
    received = []
    variants = []

    async def respond(request, writer):
        if kit.ATTEMPT not in request.headers:
            # A probe of the target's health.
            writer.write(kit.answer(request))
            return
        received.append(request)
        writer.write(answer(request, **(variants.pop() if variants else {})))
        await writer.drain()
        writer.close()

    async def check(**broken):
        received.clear()
        variants.append(broken)
        got = await system.call_raw(path)
        head, _, body = got.partition(b'\r\n\r\n')
        if path == '/order/1':
            assert len(received) == 1, broken
            assert head.startswith(b'HTTP/1.1 502 '), (broken, head)
            assert kit.STAMP.encode() not in head
            assert json.loads(body)['run_state'] == 'may_have_run'
        else:
            assert len(received) == 2, broken
            assert head.startswith(b'HTTP/1.1 200 '), (broken, head)
            assert BODY in body
            assert b'X-Unknown' not in head

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        service = 'model' if path == '/chat/1' else 'plain'
        await system.add_target('t1', one, service=service)
        await system.add_target('t2', two, service=service)
        yield check, system.daemons[0]


async def check_each_refused(variants):
    """Check answers to requests that may run once, which show each."""
    faults = []
    async with broken_once('/order/1') as (check, _):
        for variant in variants:
            try:
                await check(**variant)
            except AssertionError as fault:
                faults.append(str(fault).splitlines()[0])
    assert not faults, (len(faults), len(variants), faults)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('status', ['000', '001', '099', '101', '600', '999'])
async def test_status_outside_the_range_is_no_answer(path, status):
    """Guards against a status that no caller can read as one."""
    async with broken_once(path) as (check, _):
        await check(status_line=f'HTTP/1.1 {status} Trouble')


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    'broken',
    [
        {'status_line': 'HTTP/1.1 000 Trouble'},
        {'status_line': 'HTTP/1.1 200 ' + 'K' * answerlimits.MAX_HEAD_BYTES},
    ],
)
async def test_invalid_head_behind_an_interim_one_is_no_fault_of_the_host(
    path, broken
):
    """Guards against a fault that is lost before the request reads it."""
    async with broken_once(path) as (check, _):
        await check(interim=b'HTTP/1.1 103 Early Hints\r\n\r\n', **broken)


# Names that frame a message, names of the platform, and an unknown one.
FIELDS = {
    'Content-Length': str(len(BODY)),
    'Transfer-Encoding': 'chunked',
    'Connection': 'close',
    'Proxy-Connection': 'close',
    'Keep-Alive': 'timeout=2',
    'Upgrade': 'h2c',
    'Content-Type': 'text/plain',
    'Retry-After': '9',
    'Server-Limit': '1',
    'Server-Leaving': '1',
    kit.NOT_RUN: '1',
    kit.STAMP: 's.2',
    'X-Unknown': '1',
}
# Where an invalid byte stands in a name.
MALFORMED_NAMES = {
    'behind': lambda name, byte: name + byte,
    'inside': lambda name, byte: name[:3] + byte + name[3:],
    'before': lambda name, byte: byte + name,
}
INVALID_BYTES = (' ', '\t', '\0', '\x0b', '\x7f')


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('position', MALFORMED_NAMES)
async def test_name_with_whitespace_or_a_control_byte_is_no_answer(
    position, framing
):
    """Guards against a line that the library drops, obeys or passes on."""
    fields = [
        f'{MALFORMED_NAMES[position](name, byte)}: {text}'
        for name, text in FIELDS.items()
        for byte in INVALID_BYTES
    ]
    await check_each_refused(
        [{'field': field, 'framing': framing} for field in fields]
    )


# Heads whose framing the library reads in another way than the protocol.
ODD_FRAMINGS = (
    'Transfer-Encoding: identity',
    'Transfer-Encoding: gzip, chunked',
    'Transfer-Encoding: chunked, gzip',
    'Transfer-Encoding: chunked, chunked',
    'Transfer-Encoding: ',
    'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
    f'Content-Length: {len(BODY)}\r\nContent-Length: {len(BODY)}',
    f'Content-Length: {len(BODY)}\r\nContent-Length: 1',
)


async def test_framing_that_no_recipient_can_rely_on_is_no_answer():
    """Guards against an end of a body that is taken for a complete one."""
    broken = [{'field': field, 'framing': 'close'} for field in ODD_FRAMINGS]
    broken.append(
        {'status_line': 'HTTP/1.0 200 OK', 'framing': 'chunks'},
    )
    await check_each_refused(broken)


async def test_status_line_of_another_protocol_is_no_answer():
    """Guards against protocols that the library takes for HTTP."""
    lines = (
        'HTTP/2.0 200 OK',
        'HTTP/0.9 200 OK',
        'ICE/1.1 200 OK',
        'RTSP/1.0 200 OK',
        'HTTP/1.1 200 O\0K',
    )
    await check_each_refused([{'status_line': line} for line in lines])


async def test_value_with_a_control_byte_is_no_answer():
    """Guards against a line that callers refuse to read."""
    await check_each_refused(
        [{'field': f'X-Unknown: a{byte}b'} for byte in '\0\x01\x0b\x7f']
    )


async def test_invalid_head_teaches_nothing_and_is_recorded(monkeypatch):
    """Guards against statements that are read from nonsense, or unseen."""
    lines = []
    monkeypatch.setattr(
        logs, 'write', lambda event, fields: lines.append((event, fields))
    )
    async with broken_once('/order/1') as (check, daemon):
        await check(status_line='HTTP/1.1 000 X', field='Server-Limit: 1')
        assert not daemon._core.limits.limits()
        counters = daemon._meters.snapshot().counters
    assert counters[metrics.Series('invalid_answers', 'status')] == 1
    (line,) = [fields for event, fields in lines if event == 'answer_invalid']
    assert line['target'] in {'t1', 't2'}
    assert line['rule'] == 'status'
    assert line['shown'].startswith(r'HTTP/1.1 000 X\r\n')


@pytest.mark.parametrize('path', ['/lookup/9', '/order/9', '/chat/9'])
@pytest.mark.parametrize(
    'broken', [{'status_line': 'HTTP/1.1 000 X'}, {'field': 'Upgrade : h2c'}]
)
async def test_peer_passes_no_invalid_head_on(monkeypatch, path, broken):
    """Guards against a host without links that trusts what its peer reads."""
    received = []
    respond = cutcases.respond

    async def respond_once(request, writer):
        if path not in request.request_line:
            await respond(request, writer)
            return
        received.append(request)
        variant = broken if len(received) == 1 else {}
        writer.write(answer(request, **variant))

    monkeypatch.setattr(cutcases, 'respond', respond_once)
    async with cutcases.running_system() as (system, links):
        await relaycases.lose_links(system, links, ['host-0'])
        got = await system.call_raw(path)
    if path == '/order/9':
        assert len(received) == 1
        assert got.startswith(b'HTTP/1.1 502 ')
    else:
        assert len(received) == 2
        assert got.startswith(b'HTTP/1.1 200 ')
        assert BODY in got
