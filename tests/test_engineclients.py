"""Engine clients and stand-ins: how a failed attempt is classified."""

import asyncio
import contextlib
import json

import aiohttp
import pytest

from bergamotstream import (
    actions,
    attempttasks,
    clock,
    engines,
    events,
    records,
    streamassembler,
)
from standins import (
    answers,
    enginemodel,
    hostlist,
    liveengine,
    orderbook,
    plain,
    serving,
)
from tests import fakecorekit

TOKENS = 40
NEVER_SILENT_MS = 60_000


class ListSink:
    """Records the tokens of an attempt."""

    def __init__(self, offset=0):
        self.offset = offset
        self.tokens = []

    async def deliver(self, attempt_id, offset, tokens):
        assert offset == self.offset
        self.offset += len(tokens)
        self.tokens.extend(tokens)


def make_attempt(address, sink, *, resume=False, key='', prompt='hi', held=()):
    """Return an attempt at one target, after held segments."""
    request = records.RequestSpec(
        'r1', 'acme', 'asistente', 1_000, TOKENS, 7, 0, idempotency_key=key
    )
    targets = [records.GrantedTarget('t0', held_at, 512) for held_at in held]
    tokens = 1_000 - 512 * len(held)
    targets.append(records.GrantedTarget('t1', address, tokens))
    dispatch = actions.Dispatch(
        'a1', 'r1', tuple(targets), 0, 900, sink.offset, resume
    )
    prefix = answers.answer_text(7, sink.offset)
    return engines.Attempt(dispatch, request, prompt, prefix, sink)


async def run_attempt(
    address, kind='model', sink=None, silent_ms=500, **options
):
    """Run an attempt to its end and return its events.

    ``silent_ms`` must exceed any pause of the test's own process where an
    attempt that counts as silent would be sent again.
    """
    config = fakecorekit.make_settings()
    timing = config.timing._replace(silent_ms=silent_ms)
    config = config._replace(timing=timing)
    seen = []
    async with attempttasks.new_client_session(config) as session:
        client = engines.get_engine_by_kind(kind)(session, config, seen.append)
        sink = ListSink() if sink is None else sink
        await client.run(make_attempt(address, sink, **options))
    return seen


@contextlib.asynccontextmanager
async def scripted_server(reply, then=None):
    """Accept connections, send ``reply`` and close or hang."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(reply)
        await writer.drain()
        if then is not None:
            await then.wait()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        yield '127.0.0.1:{0}'.format(server.sockets[0].getsockname()[1])


def kinds_of(seen):
    """Return the kinds of failures among events."""
    return fakecorekit.failure_kinds(seen)


HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
TOKEN = b'event: chunk\ndata: {"offset": 0, "text": "x "}\n\n'
CHUNK = b'%x\r\n%s\r\n' % (len(TOKEN), TOKEN)
REFUSAL = b'event: error\ndata: {"code": "busy", "not_run": true}\n\n'
REFUSAL_CHUNK = b'%x\r\n%s\r\n' % (len(REFUSAL), REFUSAL)


async def test_unreachable_target_is_refused_and_resume_finds_it_dead():
    """Guards against 'not run' for an attempt that ran before it failed."""
    nowhere = fakecorekit.free_address()
    assert kinds_of(await run_attempt(nowhere)) == ['refused']
    assert kinds_of(await run_attempt(nowhere, 'plain')) == ['refused']
    resumed = await run_attempt(nowhere, resume=True)
    assert kinds_of(resumed) == ['target_died']


@pytest.mark.parametrize(
    'reply, kind',
    [
        (b'', 'lost'),
        (HEAD, 'lost'),
        (HEAD + CHUNK, 'lost'),
        (HEAD + CHUNK + b'0\r\n\r\n', 'lost'),
        (HEAD + REFUSAL_CHUNK + b'0\r\n\r\n', 'refused'),
        (HEAD + CHUNK + REFUSAL_CHUNK + b'0\r\n\r\n', 'lost'),
        (HEAD + b'7\r\ndata: [\r\n0\r\n\r\n', 'lost'),
        (b'HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}', 'rejected'),
        (
            b'HTTP/1.1 503 X\r\nContent-Length: 17\r\n\r\n{"not_run": true}',
            'refused',
        ),
    ],
)
async def test_broken_and_refused_attempts_are_told_apart(reply, kind):
    """Guards against a lost attempt reported as not run."""
    async with scripted_server(reply) as address:
        seen = await run_attempt(address)
    assert kinds_of(seen) == [kind]
    delivered = int(CHUNK in reply)
    assert seen[-1].offset == delivered


@pytest.mark.parametrize('kind', ['model', 'plain'])
@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 000 X\r\nContent-Length: 17',
        b'HTTP/1.1 099 X\r\nContent-Length: 17',
        b'HTTP/1.1 503 X\r\nContent-Length : 17',
        b'HTTP/1.1 503 X\r\nTransfer-Encoding: identity',
    ],
)
async def test_invalid_head_says_nothing_of_an_attempt(head, kind):
    """Guards against an attempt that is sent again and may have run."""
    reply = head + b'\r\n\r\n{"not_run": true}'
    async with scripted_server(reply) as address:
        seen = await run_attempt(address, kind)
    assert kinds_of(seen) == ['lost']


@pytest.mark.parametrize('status', [b'000', b'099'])
async def test_invalid_head_reports_no_load(status):
    """Guards against a report whose status is below those of errors."""
    report = json.dumps(
        records.LoadReport('t1', 's1', (), 0, 0)._asdict()
    ).encode()
    config = fakecorekit.make_settings()
    async with (
        scripted_server(
            b'HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s'
            % (status, len(report), report)
        ) as address,
        attempttasks.new_client_session(config) as session,
    ):
        client = engines.get_engine_by_kind('model')(session, config, print)
        target = records.TargetInfo('t1', 'asistente', 'a', address)
        with pytest.raises(aiohttp.ClientError):
            await client.read_load(target)


class AssemblingSink:
    """Counts tokens as an open answer does, in order and each once."""

    def __init__(self, offset=0):
        self._assembler = streamassembler.StreamAssembler('r1', offset)
        self._assembler.switch_attempt('a1')

    @property
    def offset(self):
        return self._assembler.offset

    async def deliver(self, attempt_id, offset, tokens):
        chunk = streamassembler.Chunk('r1', attempt_id, offset, tokens)
        self._assembler.accept(chunk)


def token_stream(offsets, output_tokens):
    """Return a complete answer of an engine with tokens at ``offsets``."""
    body = b''.join(
        b'event: chunk\ndata: {"offset": %d, "text": "x "}\n\n' % offset
        for offset in offsets
    )
    body += b'event: done\ndata: {"output_tokens": %d}\n\n' % output_tokens
    return HEAD + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


@pytest.mark.parametrize('resume', [False, True])
@pytest.mark.parametrize(
    ('offsets', 'output_tokens', 'delivered'),
    [
        ((), 3, 1),
        ((2,), 3, 1),
        ((1, 3), 4, 2),
        ((1,), 3, 2),
        ((1, 2), 2, 3),
        (range(2, 400), 400, 1),
    ],
)
async def test_answer_that_misses_tokens_is_not_finished(
    offsets, output_tokens, delivered, resume
):
    """Guards against an answer that is complete but for some tokens."""
    async with scripted_server(token_stream(offsets, output_tokens)) as address:
        seen = await run_attempt(
            address, sink=AssemblingSink(offset=1), resume=resume
        )
    assert kinds_of(seen) == ['lost']
    assert seen[-1].offset == delivered


@pytest.mark.parametrize('offsets', [(1, 2), (0, 1, 2), (2, 1), (1, 1, 2)])
async def test_answer_with_all_tokens_is_finished(offsets):
    """Guards against a failure of tokens that come twice or early."""
    async with scripted_server(token_stream(offsets, 3)) as address:
        seen = await run_attempt(
            address, sink=AssemblingSink(offset=1), resume=True
        )
    assert seen[-1] == events.AttemptFinished('a1', 3)


@pytest.mark.parametrize('reply', [b'', HEAD, HEAD + CHUNK])
async def test_silence_is_noticed_before_and_after_the_first_token(reply):
    """Guards against an attempt that waits without timeout."""
    hang = asyncio.Event()
    async with scripted_server(reply, hang) as address:
        seen = await asyncio.wait_for(run_attempt(address), 5)
        hang.set()
    assert kinds_of(seen) == ['silent']


async def test_engine_answers_whole_and_refuses_when_full():
    """Guards against a refusal that does not say that nothing ran."""
    model = fakecorekit.FAST_ENGINE._replace(memory_tokens=1_000 + TOKENS)
    async with fakecorekit.running_engine(model) as (app, address):
        sink = ListSink()
        seen = await run_attempt(address, sink=sink)
        assert ''.join(sink.tokens) == answers.answer_text(7, TOKENS)
        assert [type(event) for event in seen] == [
            events.AttemptStarted,
            events.FirstToken,
            events.AttemptFinished,
        ]
        app.live.model.settings = model._replace(memory_tokens=10)
        app.live.progress_by_attempt.clear()
        assert kinds_of(await run_attempt(address)) == ['refused']


async def test_engine_continues_after_a_prefix_and_resumes():
    """Guards against repeated or missing tokens after a resume."""
    async with fakecorekit.running_engine() as (_, address):
        for resume in (False, True):
            sink = ListSink(offset=15)
            seen = await run_attempt(address, sink=sink, resume=resume)
            assert not kinds_of(seen)
            whole = answers.answer_text(7, 15) + ''.join(sink.tokens)
            assert whole == answers.answer_text(7, TOKENS)


async def test_poison_crashes_the_engine_and_kills_its_attempts():
    """Guards against a missed engine crash and one reported by mistake."""
    async with fakecorekit.running_engine() as (app, address):
        seen = await run_attempt(
            address, prompt='poison', silent_ms=NEVER_SILENT_MS
        )
        assert kinds_of(seen) == ['target_died']
        assert app.live.model.starts == 2
        await asyncio.sleep(0.4)
        resumed = await run_attempt(
            address, resume=True, silent_ms=NEVER_SILENT_MS
        )
        assert kinds_of(resumed) == ['lost']
        served = await run_attempt(address, silent_ms=NEVER_SILENT_MS)
        assert not kinds_of(served)


async def test_poison_crashes_an_engine_once_after_a_pause():
    """Guards against a restart for each step of the crashed run."""
    time = clock.ManualClock()
    model = enginemodel.EngineModel(fakecorekit.FAST_ENGINE, 't1', 0)
    crashes = []
    live = liveengine.LiveEngine(model, time, lambda: crashes.append(1))
    submission = enginemodel.Submission('a1', 1_000, TOKENS)
    live.submit(submission, {'prompt': liveengine.POISON_MARKER})
    time.advance(700)
    live.advance()
    assert model.starts == 2
    assert len(crashes) == 1


async def test_attempt_that_already_runs_is_attached_to():
    """Guards against a final error after the death of the first host.

    The owner gives the same grant to the host where the caller repeats its
    request, so the engine gets the same attempt a second time.
    """
    slow = fakecorekit.FAST_ENGINE._replace(step_ms=5)
    async with fakecorekit.running_engine(slow) as (held_app, held):
        async with fakecorekit.running_engine(slow) as (_, address):
            sinks = [ListSink(), ListSink()]
            seen = await asyncio.gather(
                *(
                    run_attempt(
                        address,
                        sink=sink,
                        held=[held],
                        silent_ms=NEVER_SILENT_MS,
                    )
                    for sink in sinks
                )
            )
        for sink, events_seen in zip(sinks, seen, strict=True):
            assert not kinds_of(events_seen)
            assert ''.join(sink.tokens) == answers.answer_text(7, TOKENS)
        assert held_app.live.model.memory_used == 0


async def test_attempt_that_its_owner_cancelled_is_lost():
    """Guards against a final error for a request that may continue.

    The owner of a group cancels it on all engines when one has died. The
    accepting host took that for an engine error and failed the request.
    """
    slow = fakecorekit.FAST_ENGINE._replace(step_ms=50)
    async with fakecorekit.running_engine(slow) as (app, address):
        running = asyncio.create_task(run_attempt(address))
        await asyncio.sleep(0.2)
        assert app.live.cancel('a1')
        assert kinds_of(await running) == ['lost']


async def test_group_holds_segments_and_frees_them():
    """Guards against memory that stays reserved after a group has ended."""
    async with fakecorekit.running_engine() as (first, held):
        async with fakecorekit.running_engine() as (_, address):
            holding = asyncio.create_task(run_attempt(address, held=[held]))
            largest = 0
            while not holding.done():
                await asyncio.sleep(0.001)
                largest = max(largest, first.live.model.memory_used)
            assert not kinds_of(holding.result())
        assert largest == 512
        assert not first.live.model.memory_used


async def test_plain_calls_are_counted_by_key():
    """Guards against a stand-in that hides a repeated execution."""
    app = plain.PlainApp('p1', call_ms=5)
    address = fakecorekit.free_address()
    listener = serving.Listener(
        app.application(), serving.parse_address(address)
    )
    await listener.start()
    for _ in range(2):
        sink = ListSink()
        seen = await run_attempt(address, 'plain', sink, key='1-k')
        assert seen[-1].answer.decode() == answers.plain_answer('hi')
    assert app.executions_by_key == {'1-k': 2}
    await listener.close()


def test_orders_with_an_old_fence_are_rejected_or_obeyed():
    """Guards against a previous holder that changes a fenced target."""
    for checks, status in ((True, 'old_fence'), (False, 'done')):
        book = orderbook.OrderBook(checks)
        order = {'kind': 'role', 'role': 'prefill'}
        assert book.apply(5, order).status == 'done'
        assert book.apply(4, {**order, 'role': 'decode'}).status == status
        unknown = {'kind': 'role', 'colour': 1}
        assert book.apply(6, unknown).status == 'unknown_order'
        state = book.apply(5, {'kind': 'state'}).state
        assert state['role'] == ('prefill' if checks else 'decode')


def test_host_list_shows_changes_late():
    """Guards against tests that pass only with a host list without lag."""
    time = clock.ManualClock(1_000)
    app = hostlist.HostListApp(500, time)
    app.change({'hosts': [{'name': 'h1'}]})
    assert not app.visible()['hosts']
    time.advance(500)
    assert app.visible()['hosts'] == [{'name': 'h1'}]


async def test_orders_reach_the_engine_in_its_own_terms():
    """Guards against a client whose orders the engine does not know."""
    config = fakecorekit.make_settings()
    async with fakecorekit.running_engine() as (_app, address):
        async with attempttasks.new_client_session(config) as session:
            client_type = engines.get_engine_by_kind('model')
            client = client_type(session, config, [].append)
            order = {'kind': 'load', 'model': 'm2'}
            answer = await client.send_order(address, 1, order)
            assert (answer['status'], answer['state']['model']) == (
                'done',
                'm2',
            )
            shown = await client.send_order(address, 1, {'kind': 'state'})
            assert shown['state'] == answer['state']
