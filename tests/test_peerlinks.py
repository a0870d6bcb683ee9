"""Tests of the TCP links between hosts."""

import asyncio
import contextlib
import re

import pytest

from bergamotstream import (
    framing,
    messages,
    outbox,
    peerlinks,
    records,
    settings,
    wire,
)

TIMING = settings.Timing(heartbeat_ms=30, link_silent_ms=120)
NOTICE = messages.RecordNotice(1, ('a', 'b'))
REQUEST = messages.BundleRequest(1)


def config(name, port):
    address = f'127.0.0.1:{port}'
    platform = settings.Platform('', '')
    return settings.Settings(
        name, 'zone-a', 'cell-1', address, address, platform, timing=TIMING
    )


def host_info(name, port):
    address = f'127.0.0.1:{port}'
    return records.HostInfo(name, 'zone-a', address, address)


@contextlib.asynccontextmanager
async def open_links(name, port):
    queue = asyncio.Queue()
    links = peerlinks.PeerLinks(config(name, port), queue)
    await links.start()
    try:
        yield links, queue
    finally:
        await links.close()


async def receive(queue):
    return await asyncio.wait_for(queue.get(), 5)


async def test_messages_arrive_in_order(unused_tcp_port_factory):
    """Guards against loss or reordering on a working link, also of messages
    larger than the read buffer, and when the peer starts late."""
    port_a, port_b = unused_tcp_port_factory(), unused_tcp_port_factory()
    async with open_links('a', port_a) as (links, _):
        links.send(host_info('b', port_b), NOTICE)
        await asyncio.sleep(0.05)
        async with open_links('b', port_b) as (_, queue):
            for version in range(100):
                links.send(
                    host_info('b', port_b), messages.BundleRequest(version)
                )
            assert await receive(queue) == ('a', NOTICE)
            for version in range(100):
                assert (await receive(queue)).message.version == version
            large = messages.BundleReply(1, bytes(range(256)) * 900)
            links.send(host_info('b', port_b), large)
            assert (await receive(queue)).message == large


async def test_silent_link_is_replaced(unused_tcp_port_factory):
    """Guards against a link that stays on a connection that has gone silent
    while new connections work."""
    port_b, port_proxy = unused_tcp_port_factory(), unused_tcp_port_factory()
    connections = []

    async def relay(reader, writer):
        connections.append(writer)
        upstream = await asyncio.open_connection('127.0.0.1', port_b)
        is_first = len(connections) == 1

        async def pump(source, sink):
            while chunk := await source.read(65_536):
                if not (is_first and silent.is_set()):
                    sink.write(chunk)

        with contextlib.suppress(OSError):
            await asyncio.gather(
                pump(reader, upstream[1]), pump(upstream[0], writer)
            )
        upstream[1].close()
        writer.close()

    silent = asyncio.Event()
    proxy = await asyncio.start_server(relay, '127.0.0.1', port_proxy)
    async with open_links('b', port_b) as (_, queue):
        async with open_links('a', unused_tcp_port_factory()) as (links, _):
            links.send(host_info('b', port_proxy), NOTICE)
            assert (await receive(queue)).message == NOTICE
            silent.set()
            await asyncio.sleep(4 * TIMING.link_silent_ms / 1_000)
            links.send(host_info('b', port_proxy), REQUEST)
            assert (await receive(queue)).message == REQUEST
            assert len(connections) >= 2
    proxy.close()


@pytest.mark.parametrize(
    ('version', 'cell', 'refusal'),
    [
        (9, 'cell-1', 'protocol_mismatch: .*version 9'),
        (wire.PROTOCOL_VERSION, 'cell-2', 'invalid_message: .*cell-2'),
    ],
)
async def test_foreign_peer_is_refused(
    unused_tcp_port_factory, monkeypatch, version, cell, refusal
):
    """Guards against a version mismatch in a cell without an error message,
    and against messages for the previous host at an address."""
    port = unused_tcp_port_factory()
    monkeypatch.setattr(wire, 'PROTOCOL_VERSION', version)
    frame = framing.frame(wire.encode('a', cell, NOTICE, 1_000))
    monkeypatch.undo()
    async with open_links('b', port) as (_, queue):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(frame)
        answer = await asyncio.wait_for(reader.read(), 5)
        assert re.search(refusal, answer.decode(errors='replace'))
        assert queue.empty()
        writer.close()


@pytest.mark.parametrize('sent', [b'', b'\0', b'GET / HTTP/1.1\r\n\r\n'])
async def test_garbage_and_half_open_connections_are_closed(
    unused_tcp_port_factory, sent
):
    """Guards against connections that hold memory without sending."""
    port = unused_tcp_port_factory()
    async with open_links('b', port) as (links, queue):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(sent)
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(reader.read(), 2)
        await asyncio.sleep(0.05)
        assert not links._receivers
        assert queue.empty()
        writer.close()


def test_full_outbox_drops_oldest_heartbeat_first():
    """Guards against unbounded memory for a peer that does not read."""
    queue = outbox.Outbox()
    queue.put(b'ask', False)
    queue.put(b'old', True)
    for _ in range(outbox.MAX_FRAMES - 2):
        queue.put(b'new', True)
    queue.put(b'last', False)
    frames = [entry.frame for entry in queue._entries]
    assert frames[:2] == [b'ask', b'new']
    assert (len(frames), frames[-1]) == (outbox.MAX_FRAMES, b'last')
    for _ in range(30):
        queue.put(bytes(outbox.MAX_BYTES // 8), False)
    assert queue._size_bytes <= outbox.MAX_BYTES
