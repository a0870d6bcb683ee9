"""Pauses of connections of targets whose bytes are costly to parse."""

import asyncio

from bergamotstream import clock
from bergamotstream.forwarding import callerlimits, connections, pacedreads
from tests import platformkit as kit

CHUNK = b'6\r\nxxxxxx\r\n'
CHUNKS = 50_000
LONG_TURNS = 6


class TurnClock(clock.Clock):
    """Real time, and a processor time of which the first turns take much."""

    def __init__(self):
        self._readings = 0

    def processor_ms(self):
        """Return the processor time; read at both ends of a turn."""
        self._readings += 1
        long_turns = min(self._readings // 2, LONG_TURNS)
        return long_turns * pacedreads.LONG_TURN_MS


async def test_bytes_that_are_costly_to_parse_are_read_with_pauses(
    monkeypatch,
):
    """Guards against a target whose short chunks hold up all others."""
    monkeypatch.setattr(callerlimits, 'PARSE_BURST_MS', 0)
    monkeypatch.setattr(pacedreads, '_CLOCK', TurnClock())
    ended = []
    end_throttling = connections.TargetHandler._end_throttling

    def record_end(handler):
        # A paused connection is not used for another request.
        ended.append(handler.expect_answer(''))
        end_throttling(handler)

    monkeypatch.setattr(
        connections.TargetHandler, '_end_throttling', record_end
    )

    async def respond(request, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(CHUNK * CHUNKS + b'0\r\n\r\n')

    async with (
        asyncio.timeout(60),
        kit.raw_target(respond) as target,
        connections.open_session(reuse=True) as session,
        session.get(f'http://{target.address}/') as answer,
    ):
        assert len(await answer.read()) == 6 * CHUNKS
    # One pause for each long turn, and none for the others.
    assert ended == [False] * LONG_TURNS
