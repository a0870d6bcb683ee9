"""Several requests on one connection of a caller, some of them at once."""

import asyncio
import contextlib

import pytest

from tests import platformkit as kit

# Time by which the answers of a connection must be there.
ANSWERED_S = 5.0
# A longer body than the configuration allows.
LONG_BODY = 20_000


def request_bytes(attempt_id, path='/lookup/1', body=b'x', key=kit.KEY):
    """Return a request as a caller writes it."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
        f'Api-Key: {key}\r\n{kit.ATTEMPT}: {attempt_id}\r\n'
        f'Bergamotstream-Deadline-Ms: 4000\r\n'
        f'Bergamotstream-Token-Counts: 1000,500\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def own_answer(request):
    """Return an answer whose body names its request."""
    body = request.headers[kit.ATTEMPT].encode()
    if request.request_line.split()[1].startswith('/chat/'):
        event = b'id: 1\ndata: ' + body + b'\n\n'
        return kit.stream_head(request) + kit.chunk(event) + b'0\r\n\r\n'
    return kit.answer(request, body)


@contextlib.asynccontextmanager
async def connection(delays_s):
    """Yield a target and a caller's connection to the host before it.

    The target answers each request after its time in ``delays_s``.
    """

    async def respond(request, writer):
        await asyncio.sleep(delays_s.get(request.headers[kit.ATTEMPT], 0))
        writer.write(own_answer(request))

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
        kit.raw_target(respond) as model,
    ):
        await system.add_target('t1', target)
        await system.add_target('t2', model, service='model')
        address = system.settings[0].caller_address
        reader, writer = await asyncio.open_connection(*address.split(':'))
        with contextlib.closing(writer):
            yield (target, model), reader, writer


async def read_answer(reader):
    """Return status, attempt id and body of the next answer."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in head[1:] if line)
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    else:
        body = await reader.readuntil(b'\r\n0\r\n\r\n')
    return int(head[0].split()[1]), headers.get(kit.ATTEMPT.lower()), body


async def read_answers(reader, count):
    """Return some answers, or fewer if the host closes the connection."""
    answers = []
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        async with asyncio.timeout(ANSWERED_S):
            while len(answers) < count:
                answers.append(await read_answer(reader))
    return answers


@pytest.mark.parametrize('slow', ['a0', 'a1', 'a2'])
@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/chat/1'])
async def test_requests_at_once_get_their_own_answers(path, slow):
    """Guards against a caller that gets the answer to its next request."""
    ids = ['a0', 'a1', 'a2']
    async with connection({slow: 0.3}) as (_, reader, writer):
        writer.write(b''.join(request_bytes(name, path) for name in ids))
        async with asyncio.timeout(ANSWERED_S):
            answers = [await read_answer(reader) for _ in ids]
    assert [answer[:2] for answer in answers] == [(200, name) for name in ids]
    for name, answer in zip(ids, answers, strict=True):
        assert name.encode() in answer[2]


async def test_stream_and_lookup_at_once_are_not_mixed():
    """Guards against an answer in the middle of a stream before it."""
    async with connection({'a0': 0.3}) as (_, reader, writer):
        writer.write(request_bytes('a0', '/chat/1') + request_bytes('a1'))
        async with asyncio.timeout(ANSWERED_S):
            stream = await read_answer(reader)
            lookup = await read_answer(reader)
    assert stream[1] == 'a0' and b'a0' in stream[2] and b'a1' not in stream[2]
    assert lookup == (200, 'a1', b'a1')


@pytest.mark.parametrize(
    ('refused', 'status'),
    [
        ({'key': 'unknown'}, 401),
        ({'path': '/nowhere/1'}, 404),
        ({'body': b'x' * LONG_BODY}, 413),
    ],
)
async def test_body_of_a_refused_request_is_no_request(refused, status):
    """Guards against a request that is smuggled in a body nobody reads."""
    smuggled = request_bytes('smuggled', '/order/1')
    fields = {'body': smuggled} | refused
    if 'body' in refused:
        fields['body'] = refused['body'] + smuggled
    async with connection({}) as ((target, model), reader, writer):
        writer.write(request_bytes('a0', **fields) + request_bytes('a1'))
        answers = await read_answers(reader, 2)
    assert answers[0][0] == status
    received = [*target.received, *model.received]
    runs = [entry.headers.get(kit.ATTEMPT) for entry in received]
    assert 'smuggled' not in runs
    # What follows is answered as itself, or not read.
    assert all(answer == (200, 'a1', b'a1') for answer in answers[1:])
    assert runs.count('a1') == len(answers) - 1


async def test_request_behind_one_whose_caller_left_is_not_answered_twice():
    """Guards against an answer that a later caller of the target gets."""
    async with connection({'a0': 0.3}) as ((target, _), reader, writer):
        writer.write(request_bytes('a0'))
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.05)
        later, late_writer = await asyncio.open_connection(
            *writer.get_extra_info('peername', ('', 0))[:2]
        )
        with contextlib.closing(late_writer):
            late_writer.write(request_bytes('a1'))
            async with asyncio.timeout(ANSWERED_S):
                assert await read_answer(later) == (200, 'a1', b'a1')
        assert len(target.received) == 2
