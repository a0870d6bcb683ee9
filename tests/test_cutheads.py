"""Answers that break off in their head, at each byte of it."""

import asyncio
import os
import pathlib
import subprocess
import sys

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import (
    connections,
    dispatch,
    fleetrecords,
    heldbytes,
    peerrelay,
    relayformat,
)
from tests import platformkit as kit

HELD = heldbytes.HeldAnswers(1_000_000)
NO_EXTENSIONS = 'AIOHTTP_NO_EXTENSIONS'
BODY = b'id: 1\ndata: token-1\n\n'
TYPE = b'Content-Type: text/event-stream\r\n'
HEAD = f'HTTP/1.1 200 OK\r\n{kit.ATTEMPT}: a1\r\n{kit.STAMP}: s.1\r\n'.encode()
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
CHUNKED = b'%x\r\n%s\r\n' % (len(BODY), BODY)
# Answers with the number of bytes that are not yet a whole answer.
ANSWERS = {
    'length': HEAD + TYPE + b'Content-Length: %d\r\n\r\n' % len(BODY) + BODY,
    'length_first': HEAD.replace(
        b'OK\r\n', b'OK\r\nContent-Length: %d\r\n' % len(BODY)
    )
    + TYPE
    + b'\r\n'
    + BODY,
    'chunked': HEAD
    + TYPE
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + CHUNKED
    + b'0\r\n\r\n',
    'trailers': HEAD
    + TYPE
    + b'Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n'
    + CHUNKED
    + b'0\r\nX-Sum: 5\r\n\r\n',
    'interim': INTERIM
    + HEAD
    + TYPE
    + b'Content-Length: %d\r\n\r\n' % len(BODY)
    + BODY,
}
# Nothing marks the end of these but the connection, so only the head is cut.
ANSWERS_BY_CLOSE = {
    'close': HEAD + TYPE + b'\r\n',
    'bare_line_feeds': (HEAD + TYPE + b'\r\n').replace(b'\r\n', b'\n'),
}
CUTS = [
    (name, answer, cut)
    for name, answer in (ANSWERS | ANSWERS_BY_CLOSE).items()
    for cut in range(len(answer))
]


class CutTarget:
    """Answers the first requests of a connection whole, then cuts one."""

    def __init__(self):
        self.answer = b''
        self.cut = 0
        self.whole_before = 0
        self.ending = 'fin'
        self.requests = 0

    async def respond(self, request, writer):
        self.requests += 1
        if self.whole_before:
            self.whole_before -= 1
            writer.write(kit.answer(request))
            return
        writer.write(self.answer[: self.cut])
        await writer.drain()
        if self.ending == 'reset':
            # What was sent is received before the reset.
            await asyncio.sleep(0.002)
            kit.reset(writer)
        elif self.ending == 'half_closed':
            writer.write_eof()
        else:
            writer.close()


def target_request(path, address):
    """Return a try of a request at an address."""
    service = 'model' if path == '/chat/1' else 'plain'
    core = kit.make_scheduler(targets=1, service=service)
    job = kit.make_job(core, path=path)
    assignment = core.place(job, (), 0)
    entry = assignment.target._replace(address=address)
    return dispatch.TargetRequest(
        job, b'', assignment._replace(target=entry), 5_000, ''
    )


async def receive_whole(dispatcher, outgoing):
    """Return the answer to a request if it is taken for a whole one."""
    try:
        answer = await dispatcher.send(outgoing)
        return await dispatch.read_buffered(answer, HELD)
    except dispatch.TargetBroken:
        return None


def sessions():
    """Return the sessions that a host has open."""
    return (
        connections.open_session(reuse=True),
        connections.open_session(reuse=False),
    )


@pytest.mark.parametrize('ending', ['fin', 'reset', 'half_closed'])
@pytest.mark.parametrize('path', ['/lookup/1', '/order/1', '/chat/1'])
async def test_answer_that_breaks_off_is_no_success(path, ending):
    """Guards against an empty or short body that looks whole."""
    target = CutTarget()
    target.ending = ending
    taken = []
    pooled, unpooled = sessions()
    async with kit.raw_target(target.respond) as raw, pooled, unpooled:
        outgoing = target_request(path, raw.address)
        sender = dispatch.Dispatcher(pooled, unpooled, lambda *_: None)
        for name, answer, cut in CUTS:
            target.answer, target.cut = answer, cut
            if await receive_whole(sender, outgoing) is not None:
                taken.append((name, cut))
    assert target.requests == len(CUTS)
    assert taken == []


@pytest.mark.parametrize('ending', ['fin', 'reset', 'half_closed'])
async def test_second_answer_of_a_connection_that_breaks_off(ending):
    """Guards against a head of which the answer before it is a part."""
    target = CutTarget()
    target.ending = ending
    taken = []
    pooled, unpooled = sessions()
    async with kit.raw_target(target.respond) as raw, pooled, unpooled:
        outgoing = target_request('/lookup/1', raw.address)
        sender = dispatch.Dispatcher(pooled, unpooled, lambda *_: None)
        for name, answer, cut in CUTS[::3]:
            target.answer, target.cut = answer, cut
            target.whole_before = 1
            first = await receive_whole(sender, outgoing)
            assert first.body == b'done'
            if await receive_whole(sender, outgoing) is not None:
                taken.append((name, cut))
        assert raw.connections == len(CUTS[::3])
    assert taken == []


@pytest.mark.parametrize('ending', ['fin', 'reset', 'half_closed'])
async def test_answer_of_a_peer_that_breaks_off_is_no_success(ending):
    """Guards against a relayed answer that looks whole, or a false word of
    the peer that the request has not run."""
    refusal = (
        b'HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\n'
        b'Content-Length: 45\r\n\r\n'
        b'{"code": "no_target", "run_state": "not_run"}'
    )
    cuts = CUTS + [('refusal', refusal, cut) for cut in range(len(refusal))]
    target = CutTarget()
    target.ending = ending
    taken = []
    pooled, unpooled = sessions()
    async with kit.raw_target(target.respond) as raw, pooled, unpooled:
        entry = fleetrecords.HostEntry('h', 'z', raw.address, raw.address, 1)
        relay = peerrelay.PeerRelay(pooled, 'h0')
        head = relayformat.head_of(
            kit.make_request(),
            'h0',
            900,
            tries_sent=0,
            reached_target_ids=(),
            is_counted=True,
        )
        for name, answer, cut in cuts:
            target.answer, target.cut = answer, cut
            try:
                await dispatch.read_buffered(
                    await relay.send(entry, head, b''), HELD
                )
            except dispatch.TargetBroken:
                continue
            except (peerrelay.PeerRefused, errors.ServiceError) as fault:
                taken.append((name, cut, repr(fault)))
                continue
            taken.append((name, cut))
    assert target.requests == len(cuts)
    assert taken == []


@pytest.mark.skipif(
    NO_EXTENSIONS in os.environ, reason='this is the run without extensions'
)
def test_parser_in_python_takes_no_answer_that_breaks_off():
    """Guards against a machine on which the parser in C is missing."""
    environment = os.environ | {NO_EXTENSIONS: '1'}
    played = subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', '--tb=line', __file__],
        cwd=pathlib.Path(__file__).parent.parent,
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert played.returncode == 0, played.stdout
