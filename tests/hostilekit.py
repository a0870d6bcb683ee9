"""Callers that keep to no limit, and a host process with lowered limits."""

import asyncio
import contextlib
import os
import pathlib
import re
import socket
from typing import NamedTuple

from tests import hostprocesskit
from tests import platformkit as kit

MEMORY_MB = 140
MAX_FDS = 600
# Descriptors of a process that are not for sockets, as the platform has it.
FILE_FDS = 200
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
LIMITS = f"""
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
"""
# How long a crowd sends, or waits for what it gets, before the checks.
CROWD_S = 6.0
ORDER_TIMEOUT_S = 60.0
HEAD = (
    f'POST /order/1 HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
    f'Api-Key: {kit.KEY}\r\n{kit.ATTEMPT}: hostile\r\n'
).encode()


class Shape(NamedTuple):
    """What one connection of a crowd sends, after which it stays open."""

    start: bytes
    block: bytes = b''
    # Times that the block is sent; without end if negative.
    blocks: int = 1
    pause_s: float = 0.0
    # Whether the connection reads what it gets.
    reads: bool = True


class Beside:
    """A host process with lowered limits beside a sound target."""

    def __init__(self, system, host):
        self.system = system
        self.host = host
        self.most_sockets = 0
        peer_ports = re.search(
            r'internal_ports = \[(\d+)', host.settings.read_text()
        )
        self.addresses = {
            'caller': host.caller,
            'directory': host.directory,
            'peer': f'127.0.0.1:{peer_ports.group(1)}',
        }

    def resident_mb(self):
        """Return the peak of the host's resident memory."""
        status = pathlib.Path(f'/proc/{self.host.process.pid}/status')
        found = re.search(r'VmHWM:\s+(\d+) kB', status.read_text())
        return int(found.group(1)) / 1024

    def count_sockets(self):
        """Return how many sockets the host has open."""
        folder = f'/proc/{self.host.process.pid}/fd'
        count = 0
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                count += os.readlink(f'{folder}/{name}').startswith('socket')
        return count

    async def watch_sockets(self):
        """Keep the largest number of sockets."""
        while True:
            self.most_sockets = max(self.most_sockets, self.count_sockets())
            await asyncio.sleep(0.02)

    async def order(self, body=b'', **headers):
        """Send one ordinary request; return its status."""
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            status, *_ = await self.system.call(
                '/order/2',
                body=body,
                Bergamotstream_Attempt_Id='ordinary',
                Bergamotstream_Deadline_Ms='30000',
                **headers,
            )
        return status


@contextlib.asynccontextmanager
async def host_beside(folder, respond):
    """Yield a host with lowered limits; ``respond`` answers for its target."""
    system = kit.System()
    await system.store.start()
    await system.store.put(
        'op/config',
        kit.configuration_document(
            limits={
                'max_header_bytes': MAX_HEADER_BYTES,
                'max_body_bytes': MAX_BODY_BYTES,
            },
            routes=[
                kit.route(
                    'order',
                    '/order/',
                    'idempotent',
                    timeout_ms=30_000,
                    goal_ms=15_000,
                )
            ],
        ),
    )
    store_address = '{0}:{1}'.format(*system.store._listener._address)
    host = hostprocesskit.HostProcess(folder, 'h1', store_address)
    host.settings.write_text(host.settings.read_text() + LIMITS)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(system.store.stop)
        sound = await stack.enter_async_context(kit.raw_target(respond))
        await system.store.put(
            'servers/sound', kit.target_document(sound.address, slots=40)
        )
        host.start()
        stack.callback(host.process.wait)
        stack.callback(host.process.kill)
        settings = kit.make_settings()._replace(
            readiness_address=host.readiness, caller_address=host.caller
        )
        await system.until_ready(settings)
        system.settings = [settings]
        yield Beside(system, host)


async def press(address, shape):
    """Send a shape on one connection and keep it open until cancelled."""
    host, _, port = address.rpartition(':')
    with contextlib.suppress(OSError):
        opened = socket.socket()
        opened.setblocking(False)
        if not shape.reads:
            # What is not read then stays in the host, not in the kernel.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=opened)
        with contextlib.closing(writer):
            receive = reader.read if shape.reads else asyncio.Event().wait
            reading = asyncio.ensure_future(receive())
            try:
                await send(writer, shape)
                await asyncio.Event().wait()
            finally:
                reading.cancel()
                writer.transport.abort()


async def send(writer, shape):
    """Send a shape."""
    writer.write(shape.start)
    sent = 0
    while sent != shape.blocks:
        writer.write(shape.block)
        await writer.drain()
        await asyncio.sleep(shape.pause_s)
        sent += 1
    await writer.drain()


@contextlib.asynccontextmanager
async def crowd(beside, server, shape, count):
    """Press a server by ``count`` connections, which then stay open."""
    async with mixed_crowd(beside, [(server, shape)] * count):
        yield


@contextlib.asynccontextmanager
async def mixed_crowd(beside, presses):
    """Press servers by one connection for each pair of server and shape."""
    tasks = [asyncio.ensure_future(beside.watch_sockets())]
    for server, shape in presses:
        tasks.append(
            asyncio.ensure_future(press(beside.addresses[server], shape))
        )
    await asyncio.sleep(CROWD_S)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def check_crowd(beside, presses):
    """Press a host and check that it lives within its limits and serves."""
    async with mixed_crowd(beside, presses):
        assert beside.host.is_running()
        assert await beside.order() == 200
        assert beside.resident_mb() < MEMORY_MB
    assert beside.most_sockets < MAX_FDS - FILE_FDS
    assert beside.host.is_running()
