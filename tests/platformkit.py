"""Builds settings, documents and a small system on loopback for tests."""

import asyncio
import base64
import contextlib
import json
import random
import socket
import struct
from typing import NamedTuple

import aiohttp

from bergamotstream import clock
from bergamotstream.forwarding import (
    exchangerecords,
    fleetrecords,
    hostdaemon,
    hostsettings,
    scheduler,
)
from bergamotstream.platform import callerformat, documents, store
from demo import processes
from standins import platformstore, serving

HOST_NAME = 'api.example'
KEY = 'key-1'
STAMP = 'Bergamotstream-Server-Stamp'
NOT_RUN = 'Bergamotstream-Not-Executed'
ATTEMPT = 'Bergamotstream-Attempt-Id'
# Heads that targets of tests read; more than hosts take.
MAX_HEAD_BYTES = 4_194_304
ENGINE = {
    'slots': 8,
    'kv_tokens': 450_000,
    'stride': 46,
    'step_ms': 0.925,
    'per_seq_ms': 0.00966,
    'context_per_k': 0.00254,
    'read_per_s': 256_000.0,
    'pairs_per_m': 0.0917,
    'chunk': 2048,
    'usual': {'prompt': 13_000, 'answer': 1_540},
}


def free_port():
    """Return a port that no other process is given."""
    return int(address().rpartition(':')[2])


def address():
    """Return a free loopback address."""
    return processes.free_addresses(1)[0]


def make_settings(store_address='127.0.0.1:1', name='host-1', **bounds):
    """Return settings of one host."""
    defaults = {
        'stop_grace_ms': 8_000,
        'retry_ratio': 0.2,
        'retry_window_ms': 10_000,
        'retry_slack': 100,
    }
    port = free_port()
    return hostsettings.HostSettings(
        name=name,
        ip='127.0.0.1',
        zone='rosario',
        caller_address=address(),
        readiness_address=address(),
        directory_address=address(),
        peer_ports=(port, port),
        store=hostsettings.StoreSettings(store_address),
        bounds=hostsettings.Bounds(**(defaults | bounds)),
    )


def make_daemon(settings):
    """Return a host that opens its own sockets."""
    return hostdaemon.HostDaemon(settings, {})


def route(name, prefix, kind, **changes):
    """Return a route in the operators' format."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 1_000,
        'goal_ms': 300,
        'priority': 1,
        'service': 'plain',
        'attempts': 2,
        'public': False,
    } | changes


def configuration_document(version=1, **changes):
    """Return ``op/config`` with a route of each kind."""
    body = {
        'version': version,
        'routes': [
            route('lookup', '/lookup/', 'idempotent'),
            route('order', '/order/', 'non_idempotent', attempts=1),
            route(
                'chat',
                '/chat/',
                'streaming',
                service='model',
                resumable=True,
                gap_target_ms=200,
                timeout_ms=2_000,
            ),
        ],
        'services': [
            {'name': 'plain', 'health_path': '/h', 'max_conns': 50},
            {
                'name': 'model',
                'health_path': '/h',
                'max_conns': 50,
                'cold_per_s': 36.0,
                'engine': ENGINE,
            },
        ],
        'limits': {'max_header_bytes': 16_384, 'max_body_bytes': 10_000},
        'tenants': [{'name': 'small', 'api_keys': [KEY], 'priority': 0}],
    }
    return json.dumps(body | changes).encode()


def base64_text(document):
    """Return a document as the store sends it."""
    return base64.b64encode(document).decode()


def target_document(target_address, **changes):
    """Return the entry of a target."""
    body = {
        'service': 'plain',
        'address': target_address,
        'zone': 'rosario',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1_000,
    }
    return json.dumps(body | changes).encode()


def make_scheduler(targets=4, service='model', seed=1, name='host-1'):
    """Return a scheduler that knows a configuration and some targets."""
    core = scheduler.Scheduler(make_settings(name=name), random.Random(seed))
    items = [store.Item('op/config', 1, configuration_document())]
    for number in range(targets):
        document = target_document(
            f'10.0.0.{number + 1}:80', service=service, slots=8
        )
        items.append(store.Item(f'servers/t{number}', 2 + number, document))
    core.view.replace_all(store.Page(tuple(items), 100), 0)
    return core


def make_request(path='/chat/1', prompt=5_000, answer=1_600, **headers):
    """Return a caller's request."""
    request_headers = {
        'Host': HOST_NAME,
        'Api-Key': KEY,
        ATTEMPT: 'a1',
        'Bergamotstream-Token-Counts': f'{prompt},{answer}',
        'Bergamotstream-Deadline-Ms': '10000',
    }
    pairs = aiohttp.multipart.CIMultiDict(request_headers)
    for header, text in headers.items():
        pairs[header.replace('_', '-')] = text
    return callerformat.parse_request(
        'POST', path, aiohttp.multipart.CIMultiDictProxy(pairs)
    )


def make_job(core, now_ms=0, **request) -> exchangerecords.Job:
    """Return an admitted job."""
    return core.admit(make_request(**request), now_ms)


def engine_profile() -> fleetrecords.EngineProfile:
    """Return the profile of the engines."""
    decoded = documents.decode_configuration(configuration_document())
    return decoded.services_by_name['model'].engine


class Received(NamedTuple):
    """A request as a target received it."""

    request_line: str
    headers: dict[str, str]
    body: bytes


class RawTarget:
    """Target whose answers the test writes as raw bytes.

    ``respond`` is called with each request and the stream writer.
    """

    def __init__(self, respond):
        self.received: list[Received] = []
        self.connections = 0
        self.closed_by_host = 0
        self._respond = respond
        self._server = None
        self._writers = []
        self._requested = []
        self.address = ''

    def open_requests(self):
        """Return at how many callers' requests the host has not left."""
        return sum(
            not (reader.at_eof() or writer.is_closing())
            for reader, writer in self._requested
        )

    async def start(self):
        # The address stays reserved after the target has stopped, so that no
        # server of another test answers there.
        (self.address,) = processes.free_addresses(1)
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=MAX_HEAD_BYTES
        )

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        # Closed also if the test ends first, while its event loop runs.
        with contextlib.closing(writer):
            await self._serve_requests(reader, writer)
            self.closed_by_host += 1

    async def _serve_requests(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                request = await _read_request(reader)
                self.received.append(request)
                if ATTEMPT in request.headers:
                    self._requested.append((reader, writer))
                responding = asyncio.ensure_future(
                    self._respond(request, writer)
                )
                await responding


async def _read_request(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    request_line, *lines = head.strip().split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines)
    length = int(headers.get('Content-Length', 0))
    return Received(request_line, headers, await reader.readexactly(length))


def answer(request, body=b'done', status='200 OK', extra=''):
    """Return the bytes of a complete answer with a stamp."""
    attempt_id = request.headers.get(ATTEMPT, '')
    return (
        f'HTTP/1.1 {status}\r\n{ATTEMPT}: {attempt_id}\r\n'
        f'{STAMP}: s.1\r\nContent-Length: {len(body)}\r\n{extra}\r\n'
    ).encode() + body


def stream_head(request, extra='Transfer-Encoding: chunked\r\n'):
    """Return the head of a streamed answer."""
    attempt_id = request.headers.get(ATTEMPT, '')
    return (
        f'HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt_id}\r\n{STAMP}: s.1\r\n'
        f'Content-Type: text/event-stream\r\n{extra}\r\n'
    ).encode()


def chunk(data):
    """Return one chunk of a streamed answer."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def reset(writer):
    """Close a connection with a TCP reset instead of an orderly shutdown."""
    opened = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def event(number):
    """Return one event."""
    return f'id: {number}\ndata: token-{number}\n\n'.encode()


class System:
    """A store, hosts in this process and a caller."""

    def __init__(self, stop_grace_ms=1_700):
        self.stop_grace_ms = stop_grace_ms
        self.store = platformstore.PlatformStore(
            serving.parse_address(address())
        )
        self.settings = []
        self.daemons = []
        self.daemon_tasks = []

    async def start(self, hosts=1, document=None):
        """Start the store with a configuration, then the hosts."""
        await self.store.start()
        await self.store.put('op/config', document or configuration_document())
        async with asyncio.TaskGroup() as starting:
            for number in range(hosts):
                starting.create_task(self.start_host(f'host-{number}'))

    async def start_host(self, name):
        """Start a host and wait until it serves."""
        store_address = '{0}:{1}'.format(*self.store._listener._address)
        settings = make_settings(
            store_address, name, stop_grace_ms=self.stop_grace_ms
        )
        self.settings.append(settings)
        daemon = make_daemon(settings)
        self.daemons.append(daemon)
        running = asyncio.ensure_future(daemon.run())
        self.daemon_tasks.append(running)
        waiting = asyncio.ensure_future(self.until_ready(settings))
        await asyncio.wait(
            (running, waiting), return_when=asyncio.FIRST_COMPLETED
        )
        if running.done():
            # Raises what ended the host.
            await running
        await waiting

    async def until_ready(self, settings):
        """Wait until a host serves."""
        for _ in range(100):
            if (
                await self.get_status(settings.readiness_address, '/ready')
                == 200
            ):
                return
            await asyncio.sleep(0.05)
        raise AssertionError('host is not ready')

    async def add_target(self, name, target, **changes):
        """Register a target and wait until all hosts know it."""
        await self.store.put(
            f'servers/{name}', target_document(target.address, **changes)
        )
        await self.until(
            lambda: all(
                name in daemon._core.view.targets_by_id
                for daemon in self.daemons
            )
        )

    async def until(self, condition, limit_s=4.0):
        """Wait until ``condition`` holds."""
        end_ms = clock.Clock().now_ms() + limit_s * 1_000
        while not condition():
            assert clock.Clock().now_ms() < end_ms, 'condition does not hold'
            await asyncio.sleep(0.02)

    async def get_status(self, host_address, path):
        """Return the status of a GET, 0 without a connection."""
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(
                    f'http://{host_address}{path}'
                ) as response:
                    return response.status
        except aiohttp.ClientError:
            return 0

    async def call(self, path, body=b'', host=0, method='POST', **headers):
        """Send a request as a caller; return status, headers and body."""
        request_headers = {
            'Host': HOST_NAME,
            'Api-Key': KEY,
            ATTEMPT: 'a1',
            'Bergamotstream-Deadline-Ms': '5000',
            'Bergamotstream-Token-Counts': '1000,500',
        }
        request_headers |= {
            key.replace('_', '-'): text for key, text in headers.items()
        }
        url = f'http://{self.settings[host].caller_address}{path}'
        async with aiohttp.ClientSession() as session:
            async with session.request(
                method, url, data=body or None, headers=request_headers
            ) as response:
                return response.status, response.headers, await response.read()

    async def call_raw(
        self,
        path,
        host=0,
        framing='Content-Length: 0',
        body=b'',
        read_after_s=0.0,
    ):
        """Send a request as a socket; return the bytes of its answer.

        They are what the host has sent: no library has read them, and what
        comes before a reset is returned as well.
        """
        reader, writer = await asyncio.open_connection(
            *self.settings[host].caller_address.split(':'), limit=1_024
        )
        writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            f'Api-Key: {KEY}\r\n{ATTEMPT}: a1\r\n'
            'Bergamotstream-Deadline-Ms: 5000\r\nConnection: close\r\n'
            f'{framing}\r\n\r\n'.encode()
            + body
        )
        received = bytearray()
        with contextlib.suppress(ConnectionError):
            await asyncio.sleep(read_after_s)
            async with asyncio.timeout(10):
                while block := await reader.read(65_536):
                    received += block
        writer.close()
        return bytes(received)

    async def stop(self):
        """Stop the hosts and the store."""
        for task in self.daemon_tasks:
            task.cancel()
        await asyncio.gather(*self.daemon_tasks, return_exceptions=True)
        await self.store.stop()


@contextlib.asynccontextmanager
async def running_system(hosts=1, document=None, stop_grace_ms=1_700):
    """Yield a started system."""
    system = System(stop_grace_ms)
    await system.start(hosts, document)
    try:
        yield system
    finally:
        await system.stop()


@contextlib.asynccontextmanager
async def raw_target(respond):
    """Yield a started target."""
    target = RawTarget(respond)
    await target.start()
    try:
        yield target
    finally:
        await target.stop()
