"""Pauses of connections of targets whose bytes are costly to parse."""

import asyncio

from bergamotstream.forwarding import callerlimits, connections
from tests import platformkit as kit

CHUNK = b'6\r\nxxxxxx\r\n'
CHUNKS = 50_000


async def test_bytes_that_are_costly_to_parse_are_read_with_pauses(
    monkeypatch,
):
    """Guards against a target whose short chunks hold up all others."""
    monkeypatch.setattr(callerlimits, 'PARSE_BURST_MS', 0)
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
    assert ended and not any(ended)
