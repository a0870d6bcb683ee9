"""Streams whose targets end them inside an event."""

import asyncio

import aiohttp
import pytest

from bergamotstream.forwarding import relayedevents
from tests import platformkit as kit

# A connection that ends with this delay does not end with its last bytes.
END_DELAY_S = 0.05
FIRST_EVENTS = kit.event(1) + kit.event(2)
LAST_EVENT = 'id: 3\ndata: café\n\n'.encode()
# How much of the last event is sent.
CUTS = {
    'inside_a_field': LAST_EVENT[:9],
    'inside_a_character': LAST_EVENT[:-3],
    'before_the_blank_line': LAST_EVENT[:-1],
}


def framed(request, body, framing):
    """Return an answer whose framing says that ``body`` is complete."""
    if framing == 'chunked':
        return kit.stream_head(request) + kit.chunk(body) + b'0\r\n\r\n'
    extra = f'Content-Length: {len(body)}\r\n' if framing == 'length' else ''
    return kit.stream_head(request, extra) + body


def respond_with(first_body, framing):
    """Return a target that ends at ``first_body`` and completes on resume."""

    async def respond(request, writer):
        body = first_body
        if request.headers.get('Last-Event-Id') == '2':
            body = LAST_EVENT
        writer.write(framed(request, body, framing))
        await writer.drain()
        if framing == 'close':
            await asyncio.sleep(END_DELAY_S)
            writer.close()

    return respond


@pytest.mark.parametrize('framing', ['close', 'chunked', 'length'])
@pytest.mark.parametrize('cut', CUTS)
async def test_stream_that_ends_inside_an_event_is_resumed(framing, cut):
    """Guards against a partial event in an answer that looks complete."""
    respond = respond_with(FIRST_EVENTS + CUTS[cut], framing)
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        await system.add_target('t1', one, service='model')
        await system.add_target('t2', two, service='model')
        status, _, body = await system.call('/chat/1')
        assert (status, body) == (200, FIRST_EVENTS + LAST_EVENT)
        assert len(one.received) == len(two.received) == 1


@pytest.mark.parametrize('framing', ['close', 'chunked', 'length'])
@pytest.mark.parametrize('cut', CUTS)
async def test_stream_that_cannot_be_resumed_is_aborted(framing, cut):
    """Guards against a broken stream that ends as complete."""
    respond = respond_with(FIRST_EVENTS + CUTS[cut], framing)
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as only,
    ):
        await system.add_target('t1', only, service='model')
        with pytest.raises(aiohttp.ClientPayloadError):
            await system.call('/chat/1')


async def test_closed_stream_without_an_event_is_not_served():
    """Guards against an empty success when a target ends at once."""
    respond = respond_with(b'', 'close')
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as only,
    ):
        await system.add_target('t1', only, service='model')
        status, headers, _ = await system.call('/chat/1')
        assert status == 502
        assert kit.STAMP not in headers


@pytest.mark.parametrize('framing', ['close', 'chunked', 'length'])
@pytest.mark.parametrize(
    'ending',
    [
        b'',
        b'\n',
        b': the last line is a comment\n',
        b'id: 4\r\ndata: x\r\n\r\n',
        b'id: 4\rdata: x\r\r',
        b'id: 4\ndata: x\n\r\n',
    ],
)
async def test_complete_stream_is_passed_on_unchanged(framing, ending):
    """Guards against rejecting a stream that ends between two events."""
    whole = FIRST_EVENTS + LAST_EVENT + ending
    respond = respond_with(whole, framing)
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as only,
    ):
        await system.add_target('t1', only, service='model')
        status, _, body = await system.call('/chat/1')
        assert (status, body) == (200, whole)


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize('path', ['/lookup/1', '/chat/1'])
async def test_answer_that_arrives_with_its_end(path, reset):
    """Guards against an end that is not seen because it comes at once."""
    whole = FIRST_EVENTS + LAST_EVENT

    async def respond(request, writer):
        writer.write(framed(request, whole, 'close'))
        if reset:
            kit.reset(writer)
        else:
            writer.close()

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as only,
    ):
        service = 'plain' if path == '/lookup/1' else 'model'
        await system.add_target('t1', only, service=service)
        for _ in range(20):
            try:
                status, _, body = await system.call(path)
            except aiohttp.ClientPayloadError:
                status, body = 0, b''
            assert (status == 200) is not reset
            assert status != 200 or body == whole


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
@pytest.mark.parametrize('size', [1, 2, 3, 1_000])
def test_events_are_split_at_any_chunk_border(line_end, size):
    """Guards against events that depend on how the bytes arrive."""
    stream = (FIRST_EVENTS + LAST_EVENT).replace(b'\n', line_end)
    splitter = relayedevents.EventSplitter()
    events = []
    for start in range(0, len(stream), size):
        events += splitter.feed(stream[start : start + size])
    assert b''.join(event.encoded for event in events) == stream
    assert [event.event_id for event in events] == ['1', '2', '3']


@pytest.mark.parametrize('cut', CUTS)
async def test_buffered_event_stream_is_checked_too(cut):
    """Guards against a partial event on a route that does not stream."""
    respond = respond_with(FIRST_EVENTS + CUTS[cut], 'close')
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as only,
    ):
        await system.add_target('t1', only)
        status, headers, _ = await system.call('/lookup/1')
        assert status == 502
        assert kit.STAMP not in headers
