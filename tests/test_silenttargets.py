"""Sound targets that fall silent and go on, while another one cannot help."""

import asyncio
import contextlib
import operator
import socket

import aiohttp
import pytest

from bergamotstream import clock, errors
from bergamotstream.forwarding import (
    connections,
    eventlog,
    exchangerecords,
    hostsettings,
    reservations,
    scheduler,
)
from bergamotstream.platform import documents
from tests import platformkit as kit

TIMEOUT_MS = 4_000
# Silence of sound targets that the operators have reported.
MAX_SILENCE_MS = 2_500
EVENTS = 4
WHOLE_STREAM = b''.join(kit.event(number + 1) for number in range(EVENTS))
WHOLE_ANSWER = b'a whole answer'
# A target that nobody works for any longer must notice within this time.
END_OF_LOSER_S = 0.5


def document():
    """Return a configuration whose requests outlast the silence."""
    limits = {'timeout_ms': TIMEOUT_MS}
    return kit.configuration_document(
        routes=[
            kit.route('lookup', '/lookup/', 'idempotent', **limits),
            kit.route('order', '/order/', 'non_idempotent', **limits),
            kit.route(
                'chat',
                '/chat/',
                'streaming',
                service='model',
                resumable=True,
                gap_target_ms=200,
                **limits,
            ),
        ]
    )


async def refuse(request, writer):
    extra = f'{kit.NOT_RUN}: 1\r\n'
    writer.write(kit.answer(request, b'', '503 Service Unavailable', extra))


async def reset(request, writer):
    kit.reset(writer)


async def answer_with_error(request, writer):
    writer.write(kit.answer(request, b'no', '500 Internal Server Error'))


async def break_off(request, writer):
    """Begin an answer and close the connection inside it."""
    writer.write(kit.stream_head(request, 'Content-Length: 500\r\n') + b'id: ')
    await writer.drain()
    writer.close()


async def stay_silent(request, writer):
    await asyncio.sleep(30)


OTHERS = {
    'refuses': refuse,
    'resets': reset,
    'error': answer_with_error,
    'breaks_off': break_off,
}


def fall_silent(started_events, silent_s):
    """Return a target that sends some events, is silent and goes on."""

    async def respond(request, writer):
        events = [kit.chunk(kit.event(number + 1)) for number in range(EVENTS)]
        head = kit.stream_head(request)
        if started_events:
            writer.write(head + b''.join(events[:started_events]))
            await writer.drain()
            head = b''
        await asyncio.sleep(silent_s)
        writer.write(head + b''.join(events[started_events:]) + b'0\r\n\r\n')

    return respond


def answer_late(sent_bytes, silent_s):
    """Return a target that is silent after some bytes of its answer."""

    async def respond(request, writer):
        whole = kit.answer(request, WHOLE_ANSWER)
        writer.write(whole[:sent_bytes])
        await writer.drain()
        await asyncio.sleep(silent_s)
        writer.write(whole[sent_bytes:])

    return respond


@contextlib.asynccontextmanager
async def calling(path, first, second):
    """Yield a system and a call that ``first`` has got before ``second``.

    ``second`` is a target that is gone if it is ``None``.
    """
    service = 'model' if path.startswith('/chat') else 'plain'
    async with (
        kit.running_system(document=document()) as system,
        kit.raw_target(first) as one,
        kit.raw_target(second or stay_silent) as two,
    ):
        if second is None:
            await two.stop()
        await system.add_target('t1', one, service=service)
        call = asyncio.ensure_future(system.call(path))
        await system.until(lambda: one.received)
        await system.add_target('t2', two, service=service)
        try:
            yield system, call, one, two
        finally:
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)


def sends(target):
    """Return how often a target got the request; probes do not count."""
    return sum(kit.ATTEMPT in request.headers for request in target.received)


@pytest.mark.parametrize('silent_s', [1.3, 2.5])
@pytest.mark.parametrize('started_events', [0, 2])
@pytest.mark.parametrize('other', [*OTHERS, 'gone'])
async def test_stream_of_a_silent_target_outlasts_a_failing_other(
    other, started_events, silent_s
):
    """Guards against giving a target up before another one takes over."""
    first = fall_silent(started_events, silent_s)
    async with calling('/chat/1', first, OTHERS.get(other)) as played:
        _, call, one, _ = played
        status, _, body = await call
        assert (status, body) == (200, WHOLE_STREAM)
        assert sends(one) == 1


@pytest.mark.parametrize('sent_bytes', [0, -4])
@pytest.mark.parametrize('other', [*OTHERS, 'gone', 'silent'])
async def test_answer_of_a_silent_target_outlasts_a_failing_other(
    other, sent_bytes
):
    """Guards against giving a target up before another one takes over."""
    silent_s = TIMEOUT_MS / 1_000 * 2 / 3
    first = answer_late(sent_bytes, silent_s)
    second = stay_silent if other == 'silent' else OTHERS.get(other)
    async with calling('/lookup/1', first, second) as played:
        _, call, one, _ = played
        status, _, body = await call
        assert (status, body) == (200, WHOLE_ANSWER)
        assert sends(one) == 1


@pytest.mark.parametrize('silent_s', [1.3, 2.5])
async def test_order_of_a_silent_target_waits_for_it(silent_s):
    """Guards against an order that is given up or runs twice."""
    first = answer_late(0, silent_s)
    async with calling('/order/1', first, refuse) as played:
        _, call, one, two = played
        status, _, body = await call
        assert (status, body) == (200, WHOLE_ANSWER)
        assert (sends(one), sends(two)) == (1, 0)


async def goes_on(request, writer):
    """Go on after the last event that the caller has got."""
    first = int(request.headers.get('Last-Event-Id') or 0)
    writer.write(kit.stream_head(request))
    for number in range(first, EVENTS):
        writer.write(kit.chunk(kit.event(number + 1)))
    writer.write(b'0\r\n\r\n')


@pytest.mark.parametrize('started_events', [0, 2])
async def test_silent_target_is_left_once_another_takes_over(started_events):
    """Guards against a target that works on for nobody."""
    first = fall_silent(started_events, 30)
    async with calling('/chat/1', first, goes_on) as played:
        system, call, one, _ = played
        status, _, body = await call
        assert (status, body) == (200, WHOLE_STREAM)
        await _until_left(system, one)


@pytest.mark.parametrize('started_events', [0, 2])
async def test_second_target_is_left_once_the_first_goes_on(started_events):
    """Guards against a second run that goes on for nobody, and mixed runs."""
    first = fall_silent(started_events, 1.5)
    async with calling('/chat/1', first, stay_silent) as played:
        system, call, _, two = played
        status, _, body = await call
        assert (status, body) == (200, WHOLE_STREAM)
        assert sends(two) == 1
        await _until_left(system, two)


@pytest.mark.parametrize('started_events', [0, 2])
async def test_second_target_with_comments_only_takes_nothing_over(
    started_events,
):
    """Guards against a target that wins with a comment and sends no event."""

    async def comment(request, writer):
        writer.write(kit.stream_head(request) + kit.chunk(b': alive\n\n'))
        await asyncio.sleep(30)

    first = fall_silent(started_events, 1.5)
    async with calling('/chat/1', first, comment) as played:
        status, _, body = await played[1]
        assert (status, body) == (200, WHOLE_STREAM)


async def end_at_once(request, writer):
    writer.write(kit.stream_head(request) + b'0\r\n\r\n')


@pytest.mark.parametrize('started_events', [0, 2])
async def test_answer_without_an_event_ends_no_silent_stream(started_events):
    """Guards against an empty stream that counts as a whole success."""
    first = fall_silent(started_events, 1.5)
    async with calling('/chat/1', first, end_at_once) as played:
        status, _, body = await played[1]
        assert (status, body) == (200, WHOLE_STREAM)


async def test_target_that_gets_room_late_is_tried_beside_a_silent_one():
    """Guards against callers that time out before the next look for a target."""
    first = fall_silent(2, 30)
    async with (
        kit.running_system(document=document()) as system,
        kit.raw_target(first) as one,
        kit.raw_target(goes_on) as two,
    ):
        await system.add_target('t1', one, service='model')
        call = asyncio.ensure_future(system.call('/chat/1'))
        await system.until(lambda: one.received)
        started_s = asyncio.get_running_loop().time()
        await asyncio.sleep(1.3)
        await system.add_target('t2', two, service='model')
        status, _, body = await call
        assert (status, body) == (200, WHOLE_STREAM)
        # Callers wait for two seconds between events.
        assert asyncio.get_running_loop().time() - started_s < 2


async def test_further_try_without_a_place_keeps_the_retry_budget(monkeypatch):
    """Guards against retries that are counted and never sent."""
    first = fall_silent(2, 2.5)
    place = scheduler.Scheduler.place

    def refuse_further(core, job, excluded, now_ms):
        if excluded:
            raise errors.Overloaded('full', retry_after_ms=1)
        return place(core, job, excluded, now_ms)

    monkeypatch.setattr(scheduler.Scheduler, 'place', refuse_further)
    async with calling('/chat/1', first, goes_on) as played:
        system, call, _, two = played
        assert (await call)[2] == WHOLE_STREAM
        assert not sends(two)
        retries = system.daemons[0]._core.budget._retries_by_service
        assert not retries.count('model', clock.Clock().now_ms())


async def test_both_targets_are_left_with_their_caller():
    """Guards against runs that go on after their caller has left."""
    async with calling('/chat/1', stay_silent, stay_silent) as played:
        system, call, one, two = played
        await system.until(lambda: two.received)
        call.cancel()
        await _until_left(system, one)
        await _until_left(system, two)


async def _until_left(system, target):
    await system.until(lambda: not target.open_requests(), END_OF_LOSER_S)


async def test_second_try_draws_on_the_retry_budget_once():
    """Guards against second tries that no limit counts."""
    first = fall_silent(2, 30)
    async with calling('/chat/1', first, goes_on) as played:
        system, call, _, _ = played
        assert (await call)[0] == 200
        retries = system.daemons[0]._core.budget._retries_by_service
        assert retries.count('model', clock.Clock().now_ms()) == 1


async def test_answers_slower_than_usual_limits_are_served():
    """Guards against giving up targets that answer as fast as they ever do.

    A target that takes three quarters of the route's time lost half of its
    requests to a second try.
    """
    first = answer_late(0, 0.75)
    routes = [kit.route('lookup', '/lookup/', 'idempotent')]
    async with (
        kit.running_system(
            document=kit.configuration_document(routes=routes)
        ) as system,
        kit.raw_target(first) as one,
        kit.raw_target(first) as two,
    ):
        await system.add_target('t1', one)
        await system.add_target('t2', two)
        answers = await asyncio.gather(
            *(system.call(f'/lookup/{number}') for number in range(20))
        )
        assert [status for status, _, _ in answers] == [200] * 20


async def test_stream_is_cut_when_every_target_has_failed():
    """Guards against a broken stream that looks complete."""

    async def break_midway(request, writer):
        writer.write(kit.stream_head(request) + kit.chunk(kit.event(1)))
        await writer.drain()
        await asyncio.sleep(1.4)
        kit.reset(writer)

    async with calling('/chat/1', break_midway, refuse) as played:
        _, call, _, _ = played
        with pytest.raises(aiohttp.ClientPayloadError):
            await call


async def test_connection_outlasts_the_silence_of_a_sound_target():
    """Guards against TCP timers that end a connection without news.

    Requests to targets that acknowledged nothing for 2.5 s failed after 1.5 s.
    """
    first = fall_silent(1, 30)
    pooled = connections.open_session(reuse=True)
    unpooled = connections.open_session(reuse=False)
    async with pooled, unpooled, kit.raw_target(first) as target:
        for session in (pooled, unpooled):
            async with session.get(f'http://{target.address}/') as response:
                opened = response.connection.transport.get_extra_info('socket')
                timeout_ms = opened.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                )
                assert timeout_ms >= 2 * MAX_SILENCE_MS


@pytest.mark.parametrize('silent_s', [1.3, 2.5])
async def test_memory_is_held_while_its_target_is_silent(silent_s):
    """Guards against a lease that ends as renewals have no answer.

    A request is cut off when the memory that it uses expires.
    """
    now_s = asyncio.get_running_loop().time
    # Begins just after a renewal was answered.
    begin_s = now_s() + 1.1
    renewed_s = []

    async def grant(request, writer):
        if begin_s <= now_s() <= begin_s + silent_s:
            await asyncio.sleep(30)
        renewed_s.append(now_s())
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')

    log = eventlog.EventLog(clock.Clock())
    async with (
        connections.open_session(reuse=True) as session,
        kit.raw_target(grant) as target,
    ):
        document = kit.target_document(target.address)
        entry = documents.decode_target_entry('t1', document)
        reservation = exchangerecords.Reservation(entry, 'a1-1', 1_000)
        memory = reservations.Reservations(session, log, hostsettings.Bounds())
        async with memory.held((reservation,)):
            await asyncio.sleep(1.1 + silent_s + 2)
    gaps_s = map(operator.sub, renewed_s[1:], renewed_s)
    assert max(gaps_s) < hostsettings.Bounds().memory_lease_ms / 1_000
