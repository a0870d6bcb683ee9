"""Targets that send bytes without end, beside sound ones at one host."""

import asyncio
import re

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream.forwarding import answerlimits, relayedevents
from tests import endlesskit
from tests import platformkit as kit

PLAIN = 'Content-Type: text/plain\r\n'
# Goal of the orders, as their route has it.
GOAL_MS = 300
# Streams and answers that hold nothing of an answer, and the limit they reach.
FLOODS = {
    'line_ends': (endlesskit.chunked(b'\n' * 65_536), 'empty_bytes'),
    'crlf': (endlesskit.chunked(b'\r\n' * 32_768), 'empty_bytes'),
    'comments': (endlesskit.chunked(b':\n\n' * 21_845), 'empty_blocks'),
    'long_comments': (
        endlesskit.chunked((b':' + b'x' * 998 + b'\n\n') * 65),
        'empty_bytes',
    ),
    'fields': (endlesskit.chunked(b'x\n\n' * 21_845), 'empty_blocks'),
    'no_line_ends': (endlesskit.chunked(b'x' * 65_536), 'event_bytes'),
    'chunks_of_a_byte': (endlesskit.chunked(b'x'), 'framing_bytes'),
    'no_framing': (endlesskit.unframed(b'\n'), 'empty_bytes'),
    'extension': (
        endlesskit.Flood(
            endlesskit.CHUNKED + endlesskit.STREAM, b'1;' + b'x' * 65_536
        ),
        'framing_bytes',
    ),
}
# The same for answers that are passed on as a whole.
PLAIN_FLOODS = {
    'body': (
        endlesskit.chunked(b'x' * 65_536, media=PLAIN),
        'buffered_bytes',
    ),
    'no_framing': (
        endlesskit.unframed(b'x' * 65_536, media=PLAIN),
        'buffered_bytes',
    ),
    'chunks_of_a_byte': (
        endlesskit.chunked(b'x', media=PLAIN),
        'framing_bytes',
    ),
    'comments': (FLOODS['comments'][0], 'buffered_bytes'),
    'blank_head': (endlesskit.Flood('', b'\r\n' * 32_768), 'head_bytes'),
    'interim_heads': (
        endlesskit.Flood('', b'HTTP/1.1 103 Hints\r\n\r\n' * 3_000),
        'head_bytes',
    ),
}


async def check_orders(beside):
    """Send orders while a flood arrives; each is served within its goal."""
    times_ms = await endlesskit.order_times(beside)
    assert max(times_ms) <= GOAL_MS


async def check_flood(folder, flood, limit, path, faulty):
    """Play a request that a flood answers, and orders beside it."""
    async with endlesskit.host_beside(folder, flood, faulty=faulty) as beside:
        flooded = asyncio.ensure_future(beside.flooded(0, path))
        await check_orders(beside)
        # The route allows 4 s more.
        assert flooded.done()
        (target,) = beside.flood
        assert target.sent_bytes < 2 * answerlimits.MAX_BUFFERED_BYTES
        exceeded = re.findall(
            r'event=answer_limit_exceeded .*limit=(\w+)',
            beside.host.log.read_text(),
        )
        assert set(exceeded) == {limit}


@pytest.mark.parametrize('kind', FLOODS)
async def test_stream_that_is_no_answer_delays_no_other_request(tmp_path, kind):
    """Guards against a host that a worker's bytes keep from all other work."""
    flood, limit = FLOODS[kind]
    await check_flood(tmp_path, flood, limit, '/chat/1', 'model')


@pytest.mark.parametrize('kind', PLAIN_FLOODS)
async def test_answer_that_never_ends_delays_no_other_request(tmp_path, kind):
    """Guards against the same in answers that are passed on as a whole."""
    flood, limit = PLAIN_FLOODS[kind]
    await check_flood(tmp_path, flood, limit, '/odd/1', 'odd')


@pytest.mark.parametrize(
    'event', [b'data:\n\n', b'id: 1\ndata: x\n\n', b'data: x\n\n:\n\n' * 4]
)
async def test_events_without_end_delay_no_other_request(tmp_path, event):
    """Guards against a turn that lasts as long as there are events."""
    flood = endlesskit.chunked(event * (65_536 // len(event)))
    async with endlesskit.host_beside(tmp_path, flood) as beside:
        flooded = asyncio.ensure_future(beside.flooded(0))
        await check_orders(beside)
        flooded.cancel()


async def test_long_event_stream_that_is_buffered_delays_no_other_request(
    tmp_path,
):
    """Guards against a check of the whole body in one go."""
    events = b'data:\n\n' * (answerlimits.MAX_BUFFERED_BYTES // 7)
    flood = endlesskit.Flood(
        f'{endlesskit.STREAM}Content-Length: {len(events)}\r\n', events
    )
    async with endlesskit.host_beside(tmp_path, flood, faulty='odd') as beside:
        flooded = asyncio.ensure_future(beside.flooded(0, '/odd/1'))
        await check_orders(beside)
        assert await flooded == 200


async def test_long_body_of_a_caller_delays_no_other_request(tmp_path):
    """Guards against chunks of one byte that are parsed in one go."""
    flood = endlesskit.chunked(b'x')
    async with endlesskit.host_beside(tmp_path, flood) as beside:
        host, port = beside.host.caller.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'POST /order/1 HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
            f'{kit.ATTEMPT}: b1\r\nApi-Key: {kit.KEY}\r\n'
            f'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        body = kit.chunk(b'x') * 1_000_000
        writer.write(body)
        await check_orders(beside)
        writer.close()


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b'\n', b'\r', b'\r\n', b'data: x', b'id: 1', b':', b'x']
        )
    ),
    strategies.lists(strategies.integers(0, 60)),
)
def test_any_division_gives_the_same_events(pieces, cuts):
    """Guards against events that depend on how their bytes arrive."""
    stream = b''.join(pieces) + b'\n\n'
    whole = relayedevents.EventSplitter()
    once = list(whole.feed(stream))
    divided = relayedevents.EventSplitter()
    ends = sorted({cut for cut in cuts if cut < len(stream)} | {len(stream)})
    events = []
    start = 0
    for end in ends:
        events.extend(divided.feed(stream[start:end]))
        start = end
    passed = b''.join(event.encoded for event in events) + divided.rest
    assert passed == stream
    assert _placed(events) == _placed(once)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from([b'\n', b'\r', b'\r\n', b'x', b':', b':x'])
    )
)
def test_end_of_a_whole_stream_is_judged_like_that_of_its_parts(pieces):
    """Guards against a cut answer that passes as a whole one."""
    body = b''.join(pieces)
    splitter = relayedevents.EventSplitter()
    list(splitter.feed(body))
    assert _ends_inside(body) == _ends_inside(splitter.rest)


def _ends_inside(body):
    try:
        relayedevents.check_end(body)
    except ValueError:
        return True
    return False


def _placed(events):
    """Return the events that have a place, without blank lines around them."""
    return [
        (event.encoded.strip(b'\r\n'), event.event_id)
        for event in events
        if relayedevents.has_place(event)
    ]


def test_keep_alive_comments_never_exceed_a_limit():
    """Guards against ending a sound stream that is slow."""
    splitter = relayedevents.EventSplitter()
    comment = b': keep-alive\n\n' * 1_000
    for number in range(20):
        event = f'id: {number}\ndata: x\n\n'.encode()
        assert len(list(splitter.feed(comment + event))) == 1_001


def test_long_event_is_searched_once():
    """Guards against a search that begins again with each byte."""
    splitter = relayedevents.EventSplitter()
    searched = []

    class Pattern:
        def finditer(self, unsplit, start):
            searched.append(len(unsplit) - start)
            return ()

    pattern = relayedevents._END_OF_EVENT
    relayedevents._END_OF_EVENT = Pattern()
    try:
        for _ in range(1_000):
            list(splitter.feed(b'x'))
    finally:
        relayedevents._END_OF_EVENT = pattern
    assert max(searched) <= 4
