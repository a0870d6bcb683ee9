"""Memory of a host beside several targets that send without end."""

import asyncio
import re

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream.forwarding import answerlimits, heldbytes, hostsettings
from bergamotstream.platform import bootsettings
from tests import endlesskit, oddkit

REQUESTS = 60
TARGETS = 4
RATE = 4_000_000
PLAIN = 'Content-Type: text/plain\r\n'
FIELD = b'X-A: ' + b'x' * 20_000 + b'\r\n'
FLOODS = {
    'chunked': endlesskit.chunked(b'x' * 65_536, media=PLAIN),
    'length': endlesskit.Flood(
        f'{PLAIN}Content-Length: 100000000\r\n', b'x' * 65_536
    ),
    'unframed': endlesskit.unframed(b'x' * 65_536, media=PLAIN),
    'head': endlesskit.Flood('', b'HTTP/1.1 200 OK\r\n' + FIELD),
    'interim': endlesskit.Flood(
        '', b'HTTP/1.1 103 Hints\r\n' + FIELD + b'\r\n'
    ),
    'extension': endlesskit.Flood(
        endlesskit.CHUNKED + PLAIN, b'1;' + b'x' * 65_536
    ),
    'trailers': endlesskit.Flood(
        f'{endlesskit.CHUNKED}{PLAIN}\r\n0\r\nX-C: c', FIELD
    ),
    'events': endlesskit.chunked(b'x' * 65_536),
    'long_events': endlesskit.chunked(b'id: 1\ndata: ' + b'x' * 900_000),
}
# Those that reach the bound for all answers before one of their own.
BOUNDED = ('chunked', 'length', 'unframed', 'events', 'long_events')


@pytest.mark.parametrize('kind', FLOODS)
async def test_targets_that_never_end_do_not_use_up_the_memory(tmp_path, kind):
    """Guards against a host that ends with the requests of other callers."""
    is_stream = kind.endswith('events')
    async with endlesskit.host_beside(
        tmp_path,
        FLOODS[kind],
        faulty='model' if is_stream else 'odd',
        targets=TARGETS,
        rate=RATE,
    ) as beside:
        path = '/chat/1' if is_stream else '/odd/1'
        flooded = [
            asyncio.ensure_future(beside.flooded(number, path))
            for number in range(REQUESTS)
        ]
        # Each of them is served.
        await endlesskit.order_times(beside, 3.0)
        for call in flooded:
            call.cancel()
        assert beside.resident_mb() < hostsettings.DEFAULT_MEMORY_MB
        exceeded = re.findall(r'limit=(\w+)', beside.host.log.read_text())
        assert ('held_bytes' in exceeded) == (kind in BOUNDED)


class Answer:
    """One answer that is held."""

    def __init__(self, held):
        self.ended = []
        self.holding = held.open(self.ended.append)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 60))
    )
)
def test_all_answers_together_stay_below_the_bound(sizes):
    """Guards against a sum that no longer is that of the answers."""
    held = heldbytes.HeldBytes(100)
    answers = [Answer(held) for _ in range(6)]
    for number, size in sizes:
        before = [answer.holding.size for answer in answers if not answer.ended]
        answers[number].holding.resize(size)
        open_answers = [answer for answer in answers if not answer.ended]
        assert held.total <= held.allowed
        assert held.total == sum(answer.holding.size for answer in open_answers)
        # Only what is as large as any other has ended.
        assert len(before) - len(open_answers) <= 1
    assert all(len(answer.ended) <= 1 for answer in answers)
    for answer in answers:
        with answer.holding:
            """Drops the bytes at the end."""
    assert held.total == 0


def test_largest_answer_ends_first():
    """Guards against a short sound answer that ends for a long one."""
    held = heldbytes.HeldBytes(100)
    large, small = Answer(held), Answer(held)
    large.holding.extend(b'x' * 90)
    small.holding.extend(b'x' * 11)
    (exceeded,) = large.ended
    assert (exceeded.limit, exceeded.received, exceeded.allowed) == (
        'held_bytes',
        101,
        100,
    )
    assert isinstance(exceeded, answerlimits.LimitExceeded)
    assert not small.ended
    # What still arrives of it is dropped.
    large.holding.extend(b'x' * 90)
    assert (held.total, len(large.holding.buffer)) == (11, 0)


@pytest.mark.parametrize('memory_mb', [160, 300, 552.5])
def test_bound_follows_the_memory_of_the_host(memory_mb):
    """Guards against a bound that leaves nothing for the rest."""
    loaded = bootsettings.decode(
        oddkit.SETTINGS | {'limits': {'memory_mb': memory_mb}}
    )
    assert not _memory_faults(loaded)
    assert loaded.host.memory_mb == memory_mb
    assert 0 < loaded.host.held_bytes * 4 < memory_mb * 1_000_000


@pytest.mark.parametrize('memory_mb', ['300', -1, True, float('nan'), []])
def test_senseless_memory_gets_its_default(memory_mb):
    """Guards against one odd figure that stops all hosts, or is believed."""
    loaded = bootsettings.decode(
        oddkit.SETTINGS | {'limits': {'memory_mb': memory_mb}}
    )
    assert _memory_faults(loaded)
    assert loaded.host.memory_mb == hostsettings.DEFAULT_MEMORY_MB
    assert bootsettings.decode(oddkit.SETTINGS).host == loaded.host


def test_settings_without_memory_are_sound():
    """Guards against a reload that is refused for a figure that is missing."""
    for tables in ({}, {'limits': {}}, {'limits': {'cores': 2}}):
        loaded = bootsettings.decode(oddkit.SETTINGS | tables)
        assert not _memory_faults(loaded)
        assert loaded.host.memory_mb == hostsettings.DEFAULT_MEMORY_MB


def _memory_faults(loaded):
    return [
        fault for fault in loaded.faults if fault.field == 'limits.memory_mb'
    ]
