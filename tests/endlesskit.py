"""Targets that send bytes without end, and a host process beside them."""

import asyncio
import contextlib
import pathlib
import re
import socket
import threading
import time
from typing import NamedTuple

from bergamotstream import clock
from tests import hostprocesskit
from tests import platformkit as kit

# Less than a tenth of a host's link.
BYTES_PER_S = 10_000_000
BLOCK_BYTES = 65_536
ATTEMPT_ID = re.compile(rf'{kit.ATTEMPT}: (\S+)'.encode(), re.IGNORECASE)
STREAM = 'Content-Type: text/event-stream\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'


class Flood(NamedTuple):
    """What a target sends to each request, without end."""

    # Header lines of an answer that precedes the bytes; no head if empty.
    head: str
    block: bytes


def chunked(piece, *, media=STREAM):
    """Return a flood of chunks that hold ``piece`` each."""
    encoded = kit.chunk(piece)
    return Flood(CHUNKED + media, encoded * (BLOCK_BYTES // len(encoded) + 1))


def unframed(piece, *, media=STREAM):
    """Return a flood without chunks, which the connection's end would end."""
    return Flood(media, piece * (BLOCK_BYTES // len(piece) + 1))


class FloodTarget:
    """Answers each request by a flood, from threads, until it is closed."""

    def __init__(self, flood, rate=BYTES_PER_S):
        self.sent_bytes = 0
        self.requests = 0
        self._flood = flood
        self._rate = rate
        self._is_closed = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.address = '127.0.0.1:{0}'.format(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """End all floods."""
        self._is_closed.set()
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                opened, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(opened,), daemon=True
                ).start()

    def _serve(self, opened):
        with opened, contextlib.suppress(OSError):
            request = b''
            while b'\r\n\r\n' not in request:
                received = opened.recv(BLOCK_BYTES)
                if not received:
                    return
                request += received
            found = ATTEMPT_ID.search(request)
            if found is None:
                # A probe of its health.
                return
            self.requests += 1
            opened.sendall(self._head(found.group(1).decode()))
            self._send_flood(opened)

    def _head(self, attempt_id):
        if not self._flood.head:
            return b''
        return (
            f'HTTP/1.1 200 OK\r\n{kit.ATTEMPT}: {attempt_id}\r\n'
            f'{kit.STAMP}: s.1\r\n{self._flood.head}\r\n'
        ).encode()

    def _send_flood(self, opened):
        block = self._flood.block
        while not self._is_closed.is_set():
            opened.sendall(block)
            self.sent_bytes += len(block)
            time.sleep(len(block) / self._rate)


class HostBeside:
    """One host process with a faulty target and a sound one."""

    def __init__(self, system, host, flood):
        self.system = system
        self.host = host
        self.flood = flood

    async def order(self, number):
        """Send an order to the sound target; return how long it took."""
        started_ms = clock.Clock().now_ms()
        status, *_ = await self.system.call(
            f'/order/{number}', Bergamotstream_Attempt_Id=f'o{number}'
        )
        assert status == 200
        return clock.Clock().now_ms() - started_ms

    async def flooded(self, number, path='/chat/1'):
        """Send a request to the faulty target until it ends."""
        try:
            return (
                await self.system.call(
                    path, Bergamotstream_Attempt_Id=f'f{number}'
                )
            )[0]
        except Exception as fault:
            return fault

    def resident_mb(self, kind='VmHWM'):
        """Return the resident memory of the host, its peak by default."""
        status = pathlib.Path(f'/proc/{self.host.process.pid}/status')
        found = re.search(rf'{kind}:\s+(\d+) kB', status.read_text())
        return int(found.group(1)) / 1024


@contextlib.asynccontextmanager
async def host_beside(
    folder, flood, *, faulty='model', targets=1, rate=BYTES_PER_S
):
    """Yield a host process, a sound target and faulty ones."""

    async def respond(request, writer):
        writer.write(kit.answer(request))

    system = kit.System()
    await system.store.start()
    document = kit.configuration_document(
        services=[
            {'name': 'plain', 'health_path': '/h', 'max_conns': 50},
            {
                'name': 'model',
                'health_path': '/h',
                'max_conns': 50,
                'engine': kit.ENGINE,
            },
            {'name': 'odd', 'health_path': '/h', 'max_conns': 50},
        ],
        routes=[
            kit.route('order', '/order/', 'non_idempotent', attempts=1),
            kit.route(
                'chat',
                '/chat/',
                'streaming',
                service='model',
                resumable=True,
                gap_target_ms=200,
                timeout_ms=4_000,
            ),
            kit.route(
                'odd', '/odd/', 'idempotent', service='odd', timeout_ms=4_000
            ),
        ],
    )
    await system.store.put('op/config', document)
    store_address = '{0}:{1}'.format(*system.store._listener._address)
    host = hostprocesskit.HostProcess(folder, 'h1', store_address)
    floods = [FloodTarget(flood, rate) for _ in range(targets)]
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(system.store.stop)
        sound = await stack.enter_async_context(kit.raw_target(respond))
        await system.store.put(
            'servers/sound', kit.target_document(sound.address)
        )
        for number, target in enumerate(floods):
            stack.callback(target.close)
            await system.store.put(
                f'servers/odd{number}',
                kit.target_document(target.address, service=faulty, slots=40),
            )
        host.start()
        stack.callback(host.process.wait)
        stack.callback(host.process.kill)
        await system.until_ready(
            kit.make_settings()._replace(readiness_address=host.readiness)
        )
        system.settings = [
            kit.make_settings()._replace(caller_address=host.caller)
        ]
        yield HostBeside(system, host, floods)


async def order_times(beside, seconds=2.0, pause_s=0.1):
    """Send orders one after the other; return how long they took, in ms."""
    end_ms = clock.Clock().now_ms() + seconds * 1_000
    times_ms = []
    while clock.Clock().now_ms() < end_ms:
        times_ms.append(await beside.order(len(times_ms)))
        await asyncio.sleep(pause_s)
    return times_ms
