"""Streams that go on at a target which does not go on where they broke off."""

import asyncio
import contextvars

import aiohttp
import pytest

from bergamotstream.forwarding import eventlog, reach
from tests import platformkit as kit

FIRST_EVENTS = kit.event(1) + kit.event(2)
# What the caller of the present test has received.
_received = contextvars.ContextVar('received', default=b'')
NOT_FOUND_PAGE = b'<html>\n\n<p>id: 3</p>\n\n</html>\n\n'


def named_event(event_id):
    """Return one event with any id, or without one."""
    head = f'id: {event_id}\n' if event_id != '' else ''
    return f'{head}data: token-{event_id}\n\n'.encode()


def events(*event_ids):
    """Return events with these ids, one after the other."""
    return b''.join(map(named_event, event_ids))


async def break_off(request, writer, body):
    """Send events as a stream that has not ended, and reset it.

    A reset drops what has not been read, so the caller gets the events first.
    """
    writer.write(kit.stream_head(request) + kit.chunk(body))
    await writer.drain()
    received = _received.get()
    for _ in range(200):
        if len(received) >= len(body):
            break
        await asyncio.sleep(0.01)
    kit.reset(writer)


def break_and_answer(answer_resumed, first=FIRST_EVENTS):
    """Return a target that breaks off and then answers to a resume."""

    async def respond(request, writer):
        if 'Last-Event-Id' in request.headers:
            writer.write(answer_resumed(request))
            await writer.drain()
        else:
            await break_off(request, writer, first)

    return respond


def stream(*bodies):
    """Return what answers with a complete stream of ``bodies``."""

    def answer_resumed(request):
        chunks = b''.join(map(kit.chunk, filter(None, bodies)))
        return kit.stream_head(request) + chunks + b'0\r\n\r\n'

    return answer_resumed


def plain(**answer):
    """Return what answers with a whole body that is no stream."""

    def answer_resumed(request):
        return kit.answer(request, **answer)

    return answer_resumed


async def call(respond, **headers):
    """Call a system of two such targets; return the body, and its targets.

    The body is what was received so far if the stream was cut.
    """
    received = bytearray()
    _received.set(received)
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        await system.add_target('t1', one, service='model')
        await system.add_target('t2', two, service='model')
        complete = True
        try:
            await read_into(received, system, **headers)
        except aiohttp.ClientPayloadError:
            complete = False
        # A slow machine gives the host time for link probes, without an id.
        sent = sum(
            kit.ATTEMPT in request.headers
            for request in one.received + two.received
        )
        return bytes(received), complete, sent


async def read_into(received, system, **headers):
    """Add what a caller receives to ``received`` as it arrives."""
    request_headers = {
        'Host': kit.HOST_NAME,
        'Api-Key': kit.KEY,
        kit.ATTEMPT: 'a1',
        'Bergamotstream-Deadline-Ms': '5000',
        'Bergamotstream-Token-Counts': '1000,500',
    }
    request_headers |= {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    url = f'http://{system.settings[0].caller_address}/chat/1'
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=request_headers) as response,
    ):
        assert response.status == 200
        async for part in response.content.iter_any():
            received += part


@pytest.mark.parametrize(
    'answer_resumed',
    [
        stream(),
        stream(b': ping\n\n'),
        stream(b': ping\n\n', b'\n', b': ping\n'),
        stream(b'event: end\n\n'),
        plain(body=b'', extra='Content-Type: text/event-stream\r\n'),
        lambda request: kit.stream_head(request, 'Connection: close\r\n'),
        lambda request: kit.answer(request, b'', '204 No Content').replace(
            b'Content-Length: 0\r\n', b''
        ),
    ],
    ids=['chunked', 'comment', 'comments', 'field', 'length', 'close', '204'],
)
async def test_end_without_an_event_does_not_complete_a_stream(answer_resumed):
    """Guards against a stream that ends as complete before its last event."""
    respond = break_and_answer(answer_resumed)

    async def respond_and_close(request, writer):
        await respond(request, writer)
        writer.close()

    body, complete, sent = await call(respond_and_close)
    assert not complete
    assert body.startswith(FIRST_EVENTS)
    assert b'token-' not in body.removeprefix(FIRST_EVENTS)
    assert sent == 2


@pytest.mark.parametrize(
    'resumed',
    [
        events(1, 2, 3),
        events(2, 3),
        b': ping\n\n' + events(1, 2, 3),
        b'bergamotstream-weight-versions: 2\n' + events(2, 3),
        b'data: token-1\nid: 1\n\n' + events(2, 3),
    ],
    ids=['from_the_start', 'from_the_last', 'comment', 'version', 'id_last'],
)
async def test_repeated_event_is_not_passed_on(resumed):
    """Guards against a stream that holds an event twice."""
    body, complete, _ = await call(break_and_answer(stream(resumed)))
    assert body.removesuffix(b': ping\n\n') == FIRST_EVENTS
    assert not complete


@pytest.mark.parametrize('first_id', [4, 5, 1_000])
async def test_event_after_a_gap_is_not_passed_on(first_id):
    """Guards against a stream that misses an event."""
    resumed = events(first_id, first_id + 1)
    body, complete, _ = await call(break_and_answer(stream(resumed)))
    assert (body, complete) == (FIRST_EVENTS, False)


async def test_gap_after_a_single_event_is_not_passed_on():
    """Guards against a gap that only two events could have told."""
    respond = break_and_answer(stream(events(3, 4)), first=events(1))
    body, complete, _ = await call(respond)
    assert (body, complete) == (events(1), False)


@pytest.mark.parametrize(
    'resumed', [events('', 3), events('', ''), events('c', 'd')]
)
async def test_event_of_unknown_place_is_not_passed_on(resumed):
    """Guards against a stream that goes on with events of another run."""
    body, complete, _ = await call(break_and_answer(stream(resumed)))
    assert (body, complete) == (FIRST_EVENTS, False)


@pytest.mark.parametrize('first', [events('', ''), events(1, '')])
async def test_stream_without_a_last_id_is_not_resumed(first):
    """Guards against events without ids that come twice."""

    async def respond(request, writer):
        if respond.answered:
            writer.write(stream(first + events('', 2))(request))
        else:
            respond.answered = True
            await break_off(request, writer, first)

    respond.answered = False
    body, complete, _ = await call(respond)
    assert (body, complete) == (first, False)


async def test_repeat_is_told_where_ids_are_no_numbers():
    """Guards against an event that comes twice in a stream of named events."""
    respond = break_and_answer(
        stream(events('x1', 'x2', 'x3')), first=events('x1', 'x2')
    )
    body, complete, _ = await call(respond)
    assert (body, complete) == (events('x1', 'x2'), False)


@pytest.mark.parametrize('shape', ['blank_lines', 'one_line', 'json'])
@pytest.mark.parametrize('content_type', ['text/html', 'application/json', ''])
async def test_body_of_another_type_is_not_passed_on(shape, content_type):
    """Guards against a page in the middle of a stream."""
    page = {
        'blank_lines': NOT_FOUND_PAGE,
        'one_line': b'<html></html>',
        'json': b'{"id": 3}\n\n',
    }[shape]
    extra = f'Content-Type: {content_type}\r\n' if content_type else ''
    respond = break_and_answer(plain(body=page, extra=extra))
    body, complete, _ = await call(respond)
    assert (body, complete) == (FIRST_EVENTS, False)


@pytest.mark.parametrize('status', ['201 Created', '206 Partial Content'])
async def test_stream_with_another_status_is_not_passed_on(status):
    """Guards against a success of another meaning in a stream."""
    respond = break_and_answer(
        plain(
            body=events(3),
            status=status,
            extra='Content-Type: text/event-stream\r\n',
        )
    )
    body, complete, _ = await call(respond)
    assert (body, complete) == (FIRST_EVENTS, False)


@pytest.mark.parametrize(
    'status',
    ['500 Failed', '404 Not Found', '302 Found', '400 Bad', '503 Full'],
)
async def test_failure_is_not_passed_on_in_a_stream(status):
    """Guards against the text of an error in a stream."""
    respond = break_and_answer(
        plain(
            body=events(3),
            status=status,
            extra='Content-Type: text/event-stream\r\n',
        )
    )
    body, complete, _ = await call(respond)
    assert (body, complete) == (FIRST_EVENTS, False)


@pytest.mark.parametrize(
    ('header', 'text'),
    [(f'{kit.ATTEMPT}: a1', f'{kit.ATTEMPT}: a2'), (kit.STAMP, 'No-Stamp')],
)
async def test_answer_of_another_request_is_not_passed_on(header, text):
    """Guards against events of another request in a stream."""

    def answer_resumed(request):
        whole = stream(events(3))(request)
        return whole.replace(header.encode(), text.encode())

    body, complete, _ = await call(break_and_answer(answer_resumed))
    assert (body, complete) == (FIRST_EVENTS, False)


@pytest.mark.parametrize(
    ('first', 'resumed'),
    [
        (events(1, 2), events(3, 4)),
        (events(1, 2), b': ping\n\n' + events(3)),
        (events(1, 2), b'bergamotstream-weight-versions: 2\n' + events(3)),
        (events(1), events(2, 3)),
        (events(0), events(1, 2)),
        (events(10, 20), events(30, 40)),
        (events(46, 92), events(100)),
        (events(3, 5, 9), events(30)),
        (events('x1', 'x2'), events('x3')),
        (events('b', 'a'), events(1, 'c')),
    ],
)
async def test_stream_that_goes_on_is_completed(first, resumed):
    """Guards against cutting a stream that goes on where it broke off."""
    respond = break_and_answer(stream(resumed), first=first)
    body, complete, sent = await call(respond)
    assert (body, complete, sent) == (first + resumed, True, 2)


async def test_all_tokens_were_passed_on_before_the_break():
    """Guards against cutting a stream that has reached its maximum."""
    body, complete, _ = await call(
        break_and_answer(stream()), Bergamotstream_Token_Counts='1000,2'
    )
    assert (body, complete) == (FIRST_EVENTS, True)


@pytest.mark.parametrize('whole', [events(13), events(1, 2), events(20), b''])
async def test_first_answer_to_a_resuming_caller_is_unchanged(whole):
    """Guards against judging a target by what a caller claims to have."""

    async def respond(request, writer):
        assert request.headers['Last-Event-Id'] == '12'
        writer.write(stream(whole)(request))

    body, complete, sent = await call(respond, Last_Event_Id='12')
    assert (body, complete, sent) == (whole, True, 1)


async def test_stream_of_a_resuming_caller_goes_on_after_its_last_event():
    """Guards against a start at the id that the caller has sent."""

    async def respond(request, writer):
        if request.headers['Last-Event-Id'] == '12':
            await break_off(request, writer, events(13, 14))
        else:
            assert request.headers['Last-Event-Id'] == '14'
            writer.write(stream(events(13, 14, 15))(request))

    body, complete, _ = await call(respond, Last_Event_Id='12')
    assert (body, complete) == (events(13, 14), False)


def record_lines(monkeypatch):
    """Return the list that the log lines of all hosts are added to."""
    lines = []
    monkeypatch.setattr(
        eventlog.EventLog,
        'write',
        lambda log, name, **fields: lines.append((name, fields)),
    )
    return lines


@pytest.mark.parametrize(
    ('resumed', 'fault'),
    [
        (events(4), "event '4' skips events after '2'"),
        (events(1), "event '1' repeats events after '2'"),
        (events('c'), "event 'c' is no number after '2'"),
        (events(''), "event '' has no id after '2'"),
        (b'', "ended without an event after '2'"),
    ],
)
async def test_wrong_start_is_logged_with_both_ids(monkeypatch, resumed, fault):
    """Guards against a cut stream whose log does not tell why."""
    lines = record_lines(monkeypatch)
    await call(break_and_answer(stream(resumed)))
    broken = [fields for name, fields in lines if name == 'target_broken'][-1]
    assert str(broken['fault']) == fault
    assert broken['id'] == 'a1'
    assert broken['target'] in {'t1', 't2'}
    assert broken['last_event'] == '2'


async def test_wrong_start_is_no_fault_of_the_link(monkeypatch):
    """Guards against a lost link where the target has answered."""
    failures = []
    record_failure = reach.Reach.record_failure

    def record(*arguments, **options):
        failures.append(arguments)
        return record_failure(*arguments, **options)

    monkeypatch.setattr(reach.Reach, 'record_failure', record)
    await call(break_and_answer(stream(events(1, 2, 3))))
    assert len(failures) == 1
