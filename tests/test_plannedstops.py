"""Requests that a planned stop of their host would cut."""

import asyncio
import json

import aiohttp
import pytest

from bergamotstream import clock
from bergamotstream.forwarding import openrequests, requeststate, scheduler
from tests import platformkit as kit

GRACE_MS = 5_000
# Longer than the grace period, as is what the slow target takes.
SLOW_S = 7.0
ROUTE_TIMEOUT_MS = 6_000
# A refusal comes at once.
REFUSAL_S = 0.5
PATHS = ('/lookup/', '/order/', '/chat/')


def document(timeout_ms=ROUTE_TIMEOUT_MS):
    """Return a configuration whose routes allow a long time."""
    body = json.loads(kit.configuration_document())
    routes = [route | {'timeout_ms': timeout_ms} for route in body['routes']]
    return kit.configuration_document(routes=routes)


def service_of(path):
    """Return the service that a path leads to."""
    return 'model' if path == '/chat/' else 'plain'


async def respond_slowly(request, writer):
    """Answer after the end of the grace period."""
    await asyncio.sleep(SLOW_S)
    writer.write(kit.answer(request))


async def call_until_the_end(system, path, attempt_id):
    """Return status and body, or ``None`` for a connection that just ends."""
    try:
        status, _, body = await system.call(
            f'{path}{attempt_id}',
            **{
                kit.ATTEMPT: attempt_id,
                'Bergamotstream-Deadline-Ms': '20000',
                # Up to 700 events, which take 40 s beside others.
                'Bergamotstream-Token-Counts': '1000,32000',
            },
        )
    except aiohttp.ClientError:
        return None
    return status, json.loads(body)


@pytest.mark.parametrize('sent_after_s', [-0.5, 0.0, 0.8, 2.6, 3.0])
@pytest.mark.parametrize('path', PATHS)
async def test_request_that_outlasts_a_stop_gets_a_true_answer(
    path, sent_after_s
):
    """Guards against requests whose connection ends without an answer at the
    end of the grace period, orders among them."""
    async with (
        kit.running_system(1, document(), GRACE_MS) as system,
        kit.raw_target(respond_slowly) as target,
    ):
        await system.add_target('t1', target, service=service_of(path))
        early = []
        if sent_after_s < 0:
            early.append(
                asyncio.ensure_future(call_until_the_end(system, path, 'a1'))
            )
            await asyncio.sleep(-sent_after_s)
        system.daemons[0].request_stop()
        if not early:
            await asyncio.sleep(sent_after_s)
            early.append(
                asyncio.ensure_future(call_until_the_end(system, path, 'a1'))
            )
        answer = await early[0]
        has_arrived = any(
            request.headers.get(kit.ATTEMPT) == 'a1'
            for request in target.received
        )
    assert answer is not None
    status, body = answer
    if has_arrived:
        assert (status, body['run_state']) == (504, 'may_have_run')
    else:
        assert (status, body['run_state']) == (503, 'not_run')


async def test_stop_that_begins_as_the_time_of_a_request_ends():
    """Guards against a host that fails at a stop, as a limit which has just
    passed cannot be moved."""
    opened = openrequests.OpenRequests(clock.Clock())
    core = kit.make_scheduler()
    now_ms = clock.Clock().now_ms()
    job = kit.make_job(core, now_ms)._replace(end_ms=now_ms + 100)
    state = requeststate.RequestState(job, b'', None)

    async def serve():
        async with opened.limit(state):
            await asyncio.sleep(5)

    serving = asyncio.ensure_future(serve())
    await asyncio.sleep(0.01)
    loop = asyncio.get_running_loop()
    stopped = loop.create_future()

    def begin_stop():
        try:
            opened.begin_stop(
                scheduler.GracefulShutdown(now_ms, now_ms + 90, now_ms + 95)
            )
        except RuntimeError as fault:
            stopped.set_exception(fault)
        else:
            stopped.set_result(None)

    (limit,) = opened._limits_by_request.values()
    # In the same turn of the event loop, after the limit has passed.
    loop.call_at(limit.when() + 1e-9, begin_stop)
    await stopped
    with pytest.raises(TimeoutError):
        await serving


@pytest.mark.parametrize('path', PATHS)
async def test_request_that_does_not_fit_before_a_stop_is_refused_at_once(path):
    """Guards against requests that a stopping host passes on and cuts, while
    another host can serve them to their end."""
    async with (
        kit.running_system(2, document(), GRACE_MS) as system,
        kit.raw_target(respond_slowly) as target,
    ):
        await system.add_target('t1', target, service=service_of(path))
        await system.until(
            lambda: all(
                peer.ready
                for daemon in system.daemons
                for peer in daemon._peers.live_peers()
            )
        )
        system.daemons[0].request_stop()
        await asyncio.sleep(0.2)
        async with asyncio.timeout(REFUSAL_S):
            status, headers, body = await system.call(
                f'{path}1',
                **{
                    'Bergamotstream-Deadline-Ms': '20000',
                    'Bergamotstream-Token-Counts': '1000,32000',
                },
            )
        received = [request.headers for request in target.received]
    assert status == 503
    assert json.loads(body)['code'] == 'host_leaving'
    assert float(headers['Retry-After']) > 0
    assert not any(kit.ATTEMPT in headers for headers in received)


@pytest.mark.parametrize('path', PATHS)
async def test_request_that_fits_before_a_stop_is_served(path):
    """Guards against refusals of requests that end in time."""

    async def respond(request, writer):
        await asyncio.sleep(0.3)
        writer.write(
            kit.stream_head(request) + kit.chunk(kit.event(1)) + b'0\r\n\r\n'
            if path == '/chat/'
            else kit.answer(request)
        )

    async with (
        kit.running_system(2, document(1_500), GRACE_MS) as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target, service=service_of(path))
        system.daemons[0].request_stop()
        for number in range(3):
            await asyncio.sleep(0.4)
            status, headers, _ = await system.call(f'{path}{number}')
            assert status == 200
            assert headers['Connection'] == 'close'
