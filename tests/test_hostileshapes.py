"""Crowds of mixed hostile shapes, drawn from a seed.

``HOSTILE_SEEDS=100-129 pytest tests/test_hostileshapes.py`` runs other seeds
than those of the CI.
"""

import os
import random

import pytest

from tests import hostilekit
from tests import platformkit as kit
from tests.hostilekit import HEAD, MAX_BODY_BYTES, MAX_HEADER_BYTES, Shape

SEEDS_VARIABLE = 'HOSTILE_SEEDS'
# All of them fail on 7a439dc.
CI_SEEDS = '6-8'
CROWD = 40
KINDS_OF_CROWD = 2
SERVERS = ('caller', 'directory', 'peer')
# Most connections press the port of callers, which reads bodies.
SERVER_WEIGHTS = (6, 1, 1)
# Bounds the memory of the test; blocks are repeated beyond it.
MAX_START_BYTES = 2_500_000
MAX_BLOCK_BYTES = 262_144
LINES = (
    lambda number: b'a:b\r\n',
    lambda number: b'n%d: v\r\n' % number,
    lambda number: b'n%d: %s\r\n' % (number, b'v' * (number % 300)),
    lambda number: b'\xff:\t\xfe\r\n',
    lambda number: b'a: b\r\n c\r\n',
    lambda number: b'a:b\n',
    lambda number: b': \r\n',
    lambda number: b'no colon\r\n',
)


def seeds():
    """Return the seeds of the environment, or those of the CI."""
    first, _, last = os.environ.get(SEEDS_VARIABLE, CI_SEEDS).partition('-')
    return range(int(first), int(last or first) + 1)


def draw_size(draw, longest):
    """Return a size up to ``longest``: the largest, or of any magnitude."""
    return draw.choice([longest, round(longest ** draw.random())])


def draw_lines(draw):
    """Return header lines: none, few, as many as are legal, or very many."""
    line = draw.choice(LINES)
    longest = draw.choice([0, 3, MAX_HEADER_BYTES // 8, 80_000])
    return b''.join(line(number) for number in range(longest))


def draw_blocks(draw, block):
    """Return a block, how often it is sent, and the pause after each."""
    if not block:
        return {}
    return {
        'block': block,
        'blocks': draw.choice([1, draw_size(draw, 2_000), -1]),
        'pause_s': draw.choice([0.0, 0.0, 0.001, 0.05, 1.0]),
    }


def draw_cut(draw, sent):
    """Return what is sent until the connection stops."""
    whole = sent[:MAX_START_BYTES]
    places = [len(whole), len(whole) - 1, draw.randint(0, len(whole))]
    return whole[: max(draw.choice(places), 0)]


def draw_head(draw):
    """Draw a head that stops somewhere, or goes on without an end."""
    block = draw.choice(
        [
            b'',
            b'x' * draw_size(draw, MAX_BLOCK_BYTES),
            b'a: b\r\n' * draw_size(draw, 10_000),
            b'\r\n',
        ]
    )
    start = draw_cut(draw, HEAD + draw_lines(draw))
    return Shape(start, **draw_blocks(draw, block))


def draw_body(draw):
    """Draw a body with a length that stops short of it, at it or beyond."""
    length = draw.choice(
        [
            MAX_BODY_BYTES,
            MAX_BODY_BYTES + 1,
            draw_size(draw, MAX_BODY_BYTES),
            draw_size(draw, 10**18),
        ]
    )
    head = HEAD + draw_lines(draw) + b'Content-Length: %d\r\n\r\n' % length
    size = draw_size(draw, MAX_BLOCK_BYTES)
    sent = max(min(length, MAX_BODY_BYTES) + draw.randint(-2, 2), 0)
    stop = draw.choice([sent, draw.randint(0, sent)])
    pause_s = draw.choice([0.0, 0.0, 0.02])
    rest = b'x' * (stop % size)
    return Shape(head + rest, b'x' * size, stop // size, pause_s)


def draw_chunks(draw):
    """Draw a body in chunks, with extensions, trailers or odd framing."""
    head = HEAD + draw_lines(draw) + b'Transfer-Encoding: chunked\r\n\r\n'
    size = draw.choice([1, draw_size(draw, 65_536)])
    chunk = draw.choice(
        [
            kit.chunk(b'x' * size),
            b'%x;%s\r\n%s\r\n' % (size, b'e' * (size % 4_000), b'x' * size),
            b'%032x\r\n%s\r\n' % (size, b'x' * size),
            b'%x\r\n%s' % (size + 1, b'x' * size),
        ]
    )
    start = head + draw.choice([b'', chunk])
    count = draw_size(draw, max(MAX_BLOCK_BYTES // len(chunk), 1))
    block = draw.choice(
        [
            chunk * count,
            chunk * count,
            b'0\r\n' + b't: r\r\n' * count,
            draw_cut(draw, chunk * count),
        ]
    )
    return Shape(start, **draw_blocks(draw, block))


def draw_pipeline(draw):
    """Draw requests one after the other, read or not."""
    request = HEAD + b'Content-Length: 0\r\n\r\n'
    between = b'\r\n' * draw.choice([0, 1, draw_size(draw, 8_000)])
    block = (request + between) * draw_size(draw, 200)
    return Shape(b'', **draw_blocks(draw, block[:MAX_START_BYTES]))


def draw_noise(draw):
    """Draw bytes that are no request, or nothing."""
    noise = draw.choice(
        [
            b'',
            b'\r\n' * draw_size(draw, 10_000),
            b'\x00' * draw_size(draw, MAX_BLOCK_BYTES),
            draw.randbytes(draw_size(draw, MAX_BLOCK_BYTES)),
        ]
    )
    return Shape(b'', **draw_blocks(draw, noise))


KINDS = (
    draw_head, draw_head, draw_body, draw_body, draw_chunks, draw_pipeline,
    draw_noise,
)  # fmt: skip


def draw_presses(draw):
    """Return servers and the shapes of the connections to them.

    A crowd has few kinds of shapes, and often few shapes, as a mean over all of
    them stays below the bounds.
    """
    kinds = draw.choices(KINDS, k=KINDS_OF_CROWD)
    count = draw.choice([KINDS_OF_CROWD, CROWD])
    shapes = [draw.choice(kinds)(draw) for _ in range(count)]
    presses = []
    for server in draw.choices(SERVERS, SERVER_WEIGHTS, k=CROWD):
        reads = draw.random() < 0.7
        presses.append((server, draw.choice(shapes)._replace(reads=reads)))
    return presses


@pytest.mark.parametrize('seed', seeds())
async def test_mixed_crowd_does_not_use_up_the_memory(tmp_path, seed):
    """Guards against a host that mixed shapes end, fill or make hang."""
    draw = random.Random(seed)
    presses = draw_presses(draw)
    size = draw.choice([0, 1_000, 2_000_000])

    async def respond(request, writer):
        writer.write(kit.answer(request, body=b'x' * size))

    async with hostilekit.host_beside(tmp_path, respond) as beside:
        await hostilekit.check_crowd(beside, presses)
