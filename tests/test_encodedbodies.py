"""Bodies of callers that say that they are encoded."""

import asyncio
import gzip
import zlib

import pytest

from tests import platformkit as kit
from tests import test_callerheads as headcases
from tests import test_cutlinks as cutcases
from tests import test_relays as relaycases

TEXT = b'a body of a caller ' * 40
BODIES = {
    'gzip': ('gzip', gzip.compress(TEXT)),
    'deflate': ('deflate', zlib.compress(TEXT)),
    'br': ('br', b'\x0b\x02\x80abc\x03'),
    'zstd': ('zstd', b'(\xb5/\xfd \x03\x19\x00\x00abc'),
    'unknown': ('x-own', TEXT),
    'twice': ('gzip, gzip', gzip.compress(gzip.compress(TEXT))),
    'no_gzip': ('gzip', TEXT),
    'cut_gzip': ('gzip', gzip.compress(TEXT)[:-9]),
}


def encode_request(path, encoding, body, is_chunked):
    """Return a request as it is sent."""
    framing = f'Content-Length: {len(body)}\r\n'
    sent = body
    if is_chunked:
        framing = 'Transfer-Encoding: chunked\r\n'
        sent = kit.chunk(body[:5]) + kit.chunk(body[5:]) + b'0\r\n\r\n'
    head = (
        f'POST {path} HTTP/1.1\r\n{headcases.HEADERS}{framing}'
        f'Content-Encoding: {encoding}\r\n\r\n'
    )
    return head.encode() + sent


async def send(system, request):
    """Return the status of a request that is sent to the first host."""
    async with headcases.connected(system) as (reader, writer):
        writer.write(request)
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 10)
        return int(head.split()[1])


def arrived(targets):
    """Return encodings and bodies that targets got from callers."""
    return [
        (request.headers.get('Content-Encoding'), request.body)
        for target in targets
        for request in target.received
        if kit.ATTEMPT in request.headers
    ]


@pytest.mark.parametrize('is_chunked', [False, True], ids=['whole', 'chunks'])
@pytest.mark.parametrize('is_cut', [False, True], ids=['direct', 'relayed'])
async def test_encoded_body_is_forwarded_unchanged(is_cut, is_chunked):
    """Guards against a body that is decoded under the same header."""
    async with cutcases.running_system() as (system, cut):
        if is_cut:
            await relaycases.lose_links(system, cut, ['host-0'])
        for kind, (encoding, body) in BODIES.items():
            for target in cut.targets:
                target.received.clear()
            request = encode_request('/order/1', encoding, body, is_chunked)
            assert (await send(system, request), kind) == (200, kind)
            assert arrived(cut.targets) == [(encoding, body)], kind


async def test_encoded_body_of_a_later_try_is_unchanged():
    """Guards against a second try with a body that was decoded."""
    encoding, body = BODIES['gzip']

    async def reset(request, writer):
        kit.reset(writer)

    async def serve(request, writer):
        writer.write(kit.answer(request))

    async with (
        kit.running_system() as system,
        kit.raw_target(reset) as first,
        kit.raw_target(serve) as second,
    ):
        await system.add_target('t1', first)
        await system.add_target('t2', second)
        request = encode_request('/lookup/1', encoding, body, is_chunked=False)
        for _ in range(20):
            assert await send(system, request) == 200
            if arrived([first]):
                break
    assert arrived([first])
    assert set(arrived([first, second])) == {(encoding, body)}


async def test_limit_counts_the_bytes_on_the_connection():
    """Guards against a small body that is refused for its decoded length."""
    limits = {'max_header_bytes': 16_384, 'max_body_bytes': 5_000}
    encoding, body = 'gzip', gzip.compress(b'x' * 100_000)

    async def serve(request, writer):
        writer.write(kit.answer(request))

    async with (
        kit.running_system(
            document=kit.configuration_document(limits=limits)
        ) as system,
        kit.raw_target(serve) as target,
    ):
        await system.add_target('t1', target)
        request = encode_request('/order/1', encoding, body, is_chunked=False)
        assert await send(system, request) == 200
        assert arrived([target]) == [(encoding, body)]
        long = encode_request('/order/1', encoding, b'x' * 6_000, False)
        assert await send(system, long) == 413
