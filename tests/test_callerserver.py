"""Caller server: typed errors for bad input, whole answers, bounded memory."""

import asyncio
import json
import socket
import time

import pytest

from bergamotstream import (
    actions,
    delivery,
    errors,
    events,
    openanswers,
    requestbody,
)
from bergamotstream import settings as settings_module
from standins import answers as expected_answers
from standins import enginemodel
from tests import fakecorekit

BAD_BODIES = [
    (b'{"workspace": ', 'invalid_request', 400),
    (b'[]', 'invalid_request', 400),
    ({'deadline_ms': None}, 'invalid_request', 400),
    ({'deadline_ms': '8000'}, 'invalid_request', 400),
    ({'deadline_ms': 700_000}, 'invalid_request', 400),
    ({'deadline_ms': -5}, 'deadline_passed', 504),
    ({'deadline_ms': 0}, 'deadline_passed', 504),
    ({'workspace': 7}, 'invalid_request', 400),
    ({'workspace': ''}, 'invalid_request', 400),
    ({'prompt': ''}, 'invalid_request', 400),
    ({'max_output_tokens': 0}, 'invalid_request', 400),
    ({'max_output_tokens': True}, 'invalid_request', 400),
    ({'colour': 'red'}, 'invalid_request', 400),
    ({'prompt_tokens': 1_000_001}, 'prompt_too_long', 413),
    ({'prompt_tokens': 2}, 'invalid_request', 400),
    ({'prompt': 'a' * 4_000_004}, 'prompt_too_long', 413),
    ({'prompt': 'a' * 8_000_001}, 'body_too_large', 413),
    ({'idempotency_key': 'no-time'}, 'invalid_request', 400),
    ({'idempotency_key': '9' * 14 + '-k'}, 'invalid_request', 400),
]


async def test_bad_input_gives_typed_errors():
    """Guards against a caller's error that gets no code or remedy."""
    async with fakecorekit.running_host() as (core, http, _):
        for change, code, status in BAD_BODIES:
            body = change
            if isinstance(change, dict):
                body = json.dumps(fakecorekit.request_body(**change)).encode()
            async with http.post('/v1/requests', data=body) as response:
                answer = await response.json()
                assert (answer['code'], response.status) == (code, status)
            assert answer['run_state'] == 'not_run'
            assert answer['remedy'] and answer['message']
        assert not core.count(events.RequestReceived)


@pytest.mark.parametrize(
    'path, body',
    [
        ('/admin', b'{'),
        ('/admin', b'{"command": 5}'),
        ('/admin', b'{"command": "hosts", "arguments": []}'),
        ('/v1/requests/r1/resume?offset=-1', b'{}'),
        ('/v1/requests/r1/resume', b'{}'),
        ('/nowhere', b'{}'),
    ],
)
async def test_bad_admin_and_resume_give_typed_errors(path, body):
    """Guards against an untyped error outside of requests."""
    async with fakecorekit.running_host() as (_, http, _process):
        async with http.post(path, data=body) as response:
            assert (await response.json())['code'] == 'invalid_request'


@pytest.mark.parametrize('run_state', ['not_run', 'may_have_run', 'ran'])
@pytest.mark.parametrize('code', errors.all_error_codes())
def test_every_error_has_its_status_and_fields(code, run_state):
    """Guards against a code whose HTTP answer lacks a field.

    A status that promises "not run" is sent with that run state only.
    """
    kind = errors.get_error_by_code(code)
    error = kind('x', run_state=run_state, retry_after_ms=1_001)
    response = delivery.error_response(error, 'r1')
    body = json.loads(response.body)
    is_untrue = run_state != 'not_run' and kind.status in {408, 421, 429, 503}
    assert response.status == (502 if is_untrue else kind.status)
    assert response.headers['Retry-After'] == '2'
    assert body['code'] == code and body['run_state'] == run_state
    assert kind.remedy in body['message'] and body['request_id'] == 'r1'


async def test_refusal_before_the_stream_has_its_http_status():
    """Guards against status 200 for a request that was not run."""
    async with fakecorekit.running_host() as (core, http, _):
        body = fakecorekit.request_body(request_id='r1')
        async with http.post('/v1/requests', json=body) as response:
            answer = await response.json()
        assert (response.status, answer['run_state']) == (503, 'not_run')
        assert response.headers['Retry-After'] == '2'
        assert fakecorekit.failure_kinds(core.seen) == ['refused']


async def test_refusal_after_a_run_has_no_status_of_not_run():
    """Guards against 503 for a request whose target may have run it."""
    async with fakecorekit.running_host() as (core, http, _):

        def refuse(event):
            return [
                actions.RefuseRequest(
                    event.request.request_id,
                    'retries_exhausted',
                    'may_have_run',
                    1_500,
                )
            ]

        core.RequestReceived = refuse
        for stream in (True, False):
            body = fakecorekit.request_body(stream=stream)
            async with http.post('/v1/requests', json=body) as response:
                answer = await response.json()
            assert response.status == 502
            assert answer['code'] == 'retries_exhausted'
            assert answer['run_state'] == 'may_have_run'


@pytest.mark.parametrize(
    ('offset', 'change', 'code', 'status'),
    [
        (0, {}, 'overloaded', 502),
        (0, {'deadline_ms': 0}, 'deadline_passed', 504),
        ('x', {}, 'invalid_request', 400),
    ],
)
async def test_refused_resume_may_have_run(offset, change, code, status):
    """Guards against "not run" for a request that ran at another host."""
    limits = settings_module.Limits(open_requests=0)
    async with fakecorekit.running_host(limits=limits) as (_, http, _process):
        body = fakecorekit.request_body(**change)
        path = f'/v1/requests/r1/resume?offset={offset}'
        async with http.post(path, json=body) as response:
            answer = await response.json()
    assert (response.status, answer['code']) == (status, code)
    assert answer['run_state'] == 'may_have_run'


@pytest.mark.parametrize(
    ('run_state', 'status'), [('not_run', 503), ('may_have_run', 502)]
)
async def test_status_of_a_command_follows_its_run_state(run_state, status):
    """Guards against 503 for a change that may be in force."""
    async with fakecorekit.running_host() as (core, http, _):

        def fail(event):
            return [
                actions.AnswerAdmin(
                    event.query_id, 'kv_unavailable', {'run_state': run_state}
                )
            ]

        core.AdminAsked = fail
        async with http.post('/admin', json={'command': 'x'}) as response:
            answer = await response.json()
    assert (response.status, answer['code']) == (status, 'kv_unavailable')


async def test_admin_gets_author_and_wall_time():
    """Guards against an audit entry without time or author."""
    async with fakecorekit.running_host() as (_, http, _process):
        body = {'command': 'x', 'arguments': {'author': 'ana'}}
        async with http.post('/admin', json=body) as response:
            answer = await response.json()
        assert answer['body']['author'] == 'ana'
        assert abs(answer['body']['wall_ms'] - time.time() * 1_000) < 5_000


async def test_answers_are_whole_as_stream_and_as_object():
    """Guards against lost tokens and tokens of another request."""
    async with fakecorekit.running_engine() as (_, address):
        async with fakecorekit.running_host(address) as (_, http, process):
            body = fakecorekit.request_body()
            expected = expected_answers.answer_text(
                expected_answers.fingerprint_of('asistente', body['prompt']), 20
            )
            async with http.post('/v1/requests', json=body) as response:
                received = await fakecorekit.read_events(response)
            assert fakecorekit.join_chunks(received) == expected
            assert received[-1].event == 'done'
            body['stream'] = False
            async with http.post('/v1/requests', json=body) as response:
                assert (await response.json())['text'] == expected
            async with http.get('/metrics') as response:
                assert 'core_events_total' in await response.text()
            async with http.get('/metrics?format=json') as response:
                assert (await response.json())['counters']


async def test_silent_stream_is_resumed_whole_and_in_order():
    """Guards against lost or repeated tokens when a connection goes silent."""
    timing = settings_module.Timing(silent_ms=500)
    slow = fakecorekit.FAST_ENGINE._replace(step_ms=20)
    async with fakecorekit.running_engine(slow) as (engine, address):
        async with fakecorekit.running_host(address, timing=timing) as (
            core,
            http,
            _,
        ):
            body = fakecorekit.request_body(max_output_tokens=60)
            reply = await http.post('/v1/requests', json=body)
            await asyncio.sleep(0.3)
            engine.streams.mute_open()
            received = await fakecorekit.read_events(reply)
    fingerprint = expected_answers.fingerprint_of('asistente', body['prompt'])
    expected = expected_answers.answer_text(fingerprint, 60)
    assert fakecorekit.join_chunks(received) == expected
    assert fakecorekit.failure_kinds(core.seen) == ['silent']


async def test_caller_resumes_by_id_after_its_offset():
    """Guards against an answer lost with the caller's connection."""
    slow = fakecorekit.FAST_ENGINE._replace(step_ms=20)
    async with fakecorekit.running_engine(slow) as (_, address):
        async with fakecorekit.running_host(address) as (core, http, _process):
            body = fakecorekit.request_body(
                request_id='r1', max_output_tokens=60
            )
            reply = await http.post('/v1/requests', json=body)
            await asyncio.sleep(0.3)
            reply.close()
            path = '/v1/requests/r1/resume?offset=3'
            async with http.post(path, json=body) as response:
                received = await fakecorekit.read_events(response)
            assert core.count(events.CallerGone) <= 1
    fingerprint = expected_answers.fingerprint_of('asistente', body['prompt'])
    expected = expected_answers.answer_text(fingerprint, 60)
    assert (
        fakecorekit.join_chunks(received) == expected[3 * len(expected) // 60 :]
    )
    assert received[0].body['offset'] == 3


async def test_slow_caller_is_bounded_and_then_dropped(monkeypatch):
    """Guards against memory that grows with a caller that does not read."""
    monkeypatch.setattr(delivery, 'STALL_TIMEOUT_S', 1)
    limits = settings_module.Limits(stream_buffer_bytes=20_000)
    model = enginemodel.EngineSettings(
        prefill_tokens_per_s=10**8, step_ms=0.01, cold_factor=1
    )
    async with fakecorekit.running_engine(model) as (_, address):
        async with fakecorekit.running_host(address, limits=limits) as (
            core,
            http,
            process,
        ):
            server = process._server
            body = fakecorekit.request_body(
                request_id='r1', max_output_tokens=30_000, deadline_ms=60_000
            )
            encoded = json.dumps(body).encode()
            port = server._config.caller_address.rpartition(':')[2]
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            client.connect(('127.0.0.1', int(port)))
            _, writer = await asyncio.open_connection(sock=client, limit=1)
            writer.write(
                b'POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: '
                + str(len(encoded)).encode()
                + b'\r\n\r\n'
                + encoded
            )
            largest = 0
            for _ in range(400):
                await asyncio.sleep(0.02)
                answer = server.open_answers.by_request.get('r1')
                largest = max(largest, answer.unread_bytes if answer else 0)
                if core.count(events.CallerGone):
                    break
            writer.close()
            assert core.count(events.CallerGone) == 1
            assert 0 < largest <= 20_000 + openanswers.TOKEN_OVERHEAD_BYTES + 16


def test_key_age_counts_from_the_key():
    """Guards against a key that outlives its retention by clock skew."""
    assert requestbody.key_age_ms('1000-k', 481_000) == 480_000
    assert requestbody.key_age_ms('5000-k', 1_000) == 0
    with pytest.raises(errors.InvalidRequest):
        requestbody.key_age_ms('200000-k', 1_000)


def test_equal_texts_share_the_blocks_of_the_shorter_prompt():
    """Guards against a cache digest that never matches."""
    body = json.dumps(fakecorekit.request_body(prompt_tokens=2_048)).encode()
    long = json.dumps(fakecorekit.request_body(prompt_tokens=9_000)).encode()
    short_hashes = requestbody.parse_request(body, 0).request.prefix_hashes
    long_hashes = requestbody.parse_request(long, 0).request.prefix_hashes
    assert len(short_hashes) == 4 and len(long_hashes) == 17
    assert long_hashes[:4] == short_hashes
