"""Statuses that promise "not run", for requests that have run."""

import contextlib

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import peerrelay
from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_refusals as refusalcases
from tests import test_relays as relaycases

PROMISES = ('408 Late', '421 Other', '429 Busy', '503 Full')
PATHS = ('/order/1', '/lookup/1', '/chat/1')
STATED = f'{kit.NOT_RUN}: 1\r\n'
INSTANCE = 'Bergamotstream-Instance-Id: {0}\r\n'


def answering(status, extra=''):
    """Return how a target answers that has run each request."""

    async def respond(request, writer):
        named = extra.format(
            request.headers.get('Bergamotstream-Expect-Instance', '')
        )
        writer.write(kit.answer(request, b'later', status, named))

    return respond


@contextlib.asynccontextmanager
async def running_targets(respond):
    """Yield a system and two targets of each service."""
    async with contextlib.AsyncExitStack() as stack:
        system = await stack.enter_async_context(kit.running_system())
        targets = []
        for service in ('plain', 'model') * 2:
            target = await stack.enter_async_context(kit.raw_target(respond))
            await system.add_target(f't{len(targets)}', target, service=service)
            targets.append(target)
        yield system, targets


def count_received(targets, path):
    """Return how often targets got requests of a path."""
    return sum(
        path in request.request_line
        for target in targets
        for request in target.received
    )


def check_no_promise(answered):
    """Check that an answer leaves open whether its request has run."""
    status, headers, _ = answered
    assert status == 502
    assert kit.STAMP not in headers
    assert 'Retry-After' not in headers


@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('extra', ['', INSTANCE], ids=['bare', 'named'])
async def test_unstated_refusal_promises_nothing(path, status, extra):
    """Guards against "not run" for a request that its target has run."""
    async with running_targets(answering(status, extra)) as (system, targets):
        check_no_promise(await system.call(path))
        if path == '/order/1':
            assert count_received(targets, path) == 1


@pytest.mark.parametrize('status', PROMISES)
async def test_unstated_refusal_of_a_peer_promises_nothing(status):
    """Guards against "not run" that passes from a peer to a caller."""
    async with cutcases.running_system() as (system, cut):
        await relaycases.lose_links(system, cut, ['host-0'])
        for target in cut.targets:
            target._respond = answering(status)
        for path in PATHS:
            check_no_promise(await system.call(path))
        assert count_received(cut.targets, '/order/1') == 1


@pytest.mark.parametrize('status', PROMISES)
async def test_status_of_a_peer_of_an_older_build_promises_nothing(
    monkeypatch, status
):
    """Guards against "not run" that an older build passes on unchanged."""
    async with (
        cutcases.running_system() as (system, cut),
        kit.raw_target(answering(status)) as older,
    ):
        await relaycases.lose_links(system, cut, ['host-0'])

        async def send(relay, peer, head, body):
            return await relay._session.post(f'http://{older.address}/')

        monkeypatch.setattr(peerrelay.PeerRelay, 'send', send)
        for path in PATHS:
            check_no_promise(await system.call(path))
        assert older.received


@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', ['/lookup/1', '/chat/1'])
@pytest.mark.parametrize('later', [False, True], ids=['earlier', 'later'])
async def test_refusal_beside_an_unstated_one_promises_nothing(
    path, status, later
):
    """Guards against "not run" by one try for a request that another ran."""
    received = []

    async def respond(request, writer):
        received.append(request)
        is_stated = (len(received) == 1) == later
        extra = STATED if is_stated else ''
        writer.write(kit.answer(request, b'', status, extra))

    async with running_targets(respond) as (system, _):
        check_no_promise(await system.call(path))
    assert len(received) == 2


@pytest.mark.parametrize(
    'kind', [errors.BodyTimeout, errors.LimitReached, errors.NoTarget]
)
@pytest.mark.parametrize('path', ['/lookup/1', '/chat/1'])
async def test_own_refusal_after_a_broken_try_promises_nothing(
    monkeypatch, path, kind
):
    """Guards against a refusal of this host, or of a peer, after a run."""

    async def respond(request, writer):
        def refuse(*_):
            raise kind('', retry_after_ms=400)

        monkeypatch.setattr(system.daemons[0]._core, 'place', refuse)
        writer.transport.abort()

    async with running_targets(respond) as (system, targets):
        check_no_promise(await system.call(path))
        assert count_received(targets, path) == 1


@pytest.mark.parametrize('status', PROMISES)
@pytest.mark.parametrize('path', PATHS)
async def test_stated_refusal_stays_one(monkeypatch, path, status):
    """Guards against a refusal that a caller may not repeat at once."""
    async with running_targets(answering(status, STATED)) as (system, _):
        lines = refusalcases.Lines(monkeypatch, system)
        answered, headers, _ = await system.call(path)
    assert answered == 503
    assert float(headers['Retry-After']) > 0
    assert {line['stated'] for line in lines.of('target_refused')} == {
        'not_executed'
    }
    assert not lines.of('target_broken')


@pytest.mark.parametrize('path', PATHS)
async def test_refusal_by_another_instance_stays_one(monkeypatch, path):
    """Guards against an order that is lost as its address has a new owner."""
    respond = answering('421 Other', INSTANCE.format('other'))
    async with running_targets(respond) as (system, targets):
        lines = refusalcases.Lines(monkeypatch, system)
        answered, headers, _ = await system.call(path)
        assert count_received(targets, path) == 2
    assert answered == 503
    assert float(headers['Retry-After']) > 0
    assert {line['stated'] for line in lines.of('target_refused')} == {
        'other_instance'
    }


async def test_unstated_refusal_is_logged(monkeypatch):
    """Guards against a log in which both kinds of refusal look alike."""
    async with running_targets(answering('429 Busy')) as (system, _):
        lines = refusalcases.Lines(monkeypatch, system)
        await system.call('/order/1')
        text = await refusalcases.metrics_of(system)
    assert not lines.of('target_refused')
    (line,) = lines.of('target_broken')
    assert line['id'] == 'a1'
    assert str(line['fault']) == 'status 429, not stated as not run'
    (ended,) = lines.of('ended')
    assert ended['outcome'] == 'target_failed'
    assert 'unstated_refusals_total{label="429"} 1' in text
