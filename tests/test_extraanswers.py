"""Answers that a target writes besides the one that a request waits for."""

import asyncio
import contextlib

import pytest

from tests import platformkit as kit

PAUSE_S = 0.05
ROUNDS = 4
# Path and method of a request of each kind.
KINDS = {
    'lookup': ('/lookup/', 'POST'),
    'get': ('/lookup/', 'GET'),
    'order': ('/order/', 'POST'),
    'stream': ('/chat/', 'POST'),
}


def own_answer(request):
    """Return the complete answer to a request of any kind."""
    body = request.headers.get(kit.ATTEMPT, '').encode()
    if request.request_line.split()[1].startswith('/chat/'):
        event = b'id: 1\ndata: ' + body + b'\n\n'
        return kit.stream_head(request) + kit.chunk(event) + b'0\r\n\r\n'
    return kit.answer(request, body)


def runs_by_id(*targets):
    """Return how often the targets got each request."""
    counts = {}
    for target in targets:
        for request in target.received:
            # Probes have no id.
            attempt_id = request.headers.get(kit.ATTEMPT, '')
            counts[attempt_id] = counts.get(attempt_id, 0) + 1
    counts.pop('', None)
    return counts


@contextlib.asynccontextmanager
async def two_targets(kind, respond):
    """Yield a system and two targets that both answer by ``respond``."""
    service = 'model' if kind == 'stream' else 'plain'
    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as one,
        kit.raw_target(respond) as two,
    ):
        await system.add_target('t1', one, service=service)
        await system.add_target('t2', two, service=service)
        yield system, (one, two)


async def call(system, kind, attempt_id, body=b''):
    """Send a request of a kind; return its status and body."""
    path, method = KINDS[kind]
    status, _, received = await system.call(
        f'{path}{attempt_id}',
        body,
        method=method,
        Bergamotstream_Attempt_Id=attempt_id,
    )
    return status, received


async def check_all_served_once(kind, respond, pause_s=0.0):
    """Send requests in turn: each is served, by one run, with its answer."""
    async with two_targets(kind, respond) as (system, targets):
        ids = [f'a{number}' for number in range(ROUNDS)]
        answers = {}
        for attempt_id in ids:
            answers[attempt_id] = await call(system, kind, attempt_id)
            await asyncio.sleep(pause_s)
        statuses = {name: found[0] for name, found in answers.items()}
        assert statuses == dict.fromkeys(ids, 200)
        assert all(name.encode() in answers[name][1] for name in ids)
        assert runs_by_id(*targets) == dict.fromkeys(ids, 1)


@pytest.mark.parametrize('head', ['HTTP/1.1 102 Wait\r\n\r\n', 'own'])
async def test_endless_interim_heads_end_the_try(head):
    """Guards against heads that announce an answer without end."""
    sent = []

    async def respond(request, writer):
        text = head
        if head == 'own':
            own_id = request.headers.get(kit.ATTEMPT, '')
            text = f'HTTP/1.1 103 Hints\r\n{kit.ATTEMPT}: {own_id}\r\n\r\n'
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(text.encode() * 4_000)
                sent.append(len(text) * 4_000)
                await writer.drain()
                await asyncio.sleep(0)

    async with two_targets('order', respond) as (system, _):
        status, _ = await call(system, 'order', 'a1')
        assert status == 502
        assert sum(sent) < 20_000_000


@pytest.mark.parametrize('kind', KINDS)
async def test_interim_head_is_not_the_answer(kind):
    """Guards against a connection that is closed before its answer."""

    async def respond(request, writer):
        for status in ('100 Continue', '103 Hints'):
            writer.write(f'HTTP/1.1 {status}\r\n\r\n'.encode())
            await asyncio.sleep(PAUSE_S)
        writer.write(own_answer(request))

    await check_all_served_once(kind, respond)
