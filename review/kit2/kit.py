"""
Kit of the cases 6 to 10
~~~~~~~~~~~~~~~~~~~~~~~~

Starts hosts as separate processes with the command of the deploy file, in
front of the project's stand-in of the platform's store and small workers.
Everything listens on loopback addresses.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import platformstore, serving

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_NAME = 'api.example'
KEY = 'key-1'
ATTEMPT = 'bergamotstream-attempt-id'
CONTACT_S = 3.0
MEMORY_MB = 300
# The short delay after which the platform starts an ended process again.
RESTART_S = 0.5
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "rosario"
region = "ar-litoral"
internal_ports = [{peer}, {peer}]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]
[zones]
rosario = "ar-litoral"
[listen]
front = "{front}"
readiness = "{readiness}"
directory = "{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
cold_overage = 1.5
cold_slack = 5
evac_ms = 5000
recovery_s = 12
event_delay_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
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

_reserved = []


def free_port(ip='127.0.0.1'):
    """Return a port that stays bound here without listening."""
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((ip, 0))
    _reserved.append(opened)
    return opened.getsockname()[1]


def now():
    """Return the steady time in seconds."""
    return time.monotonic()


class Record:
    """Writes ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._start = now()

    def write(self, *words):
        """Write a line with the time since the start."""
        text = ' '.join(map(str, words))
        self._file.write(f'{now() - self._start:8.3f} {text}\n')
        self._file.flush()

    def at(self, moment):
        """Return the time of a moment since the start."""
        return f'{moment - self._start:.3f}'


class Host:
    """One host of the system, started as the deploy file says."""

    def __init__(self, folder, name, store_address, ip='127.0.0.1'):
        self.name = name
        self.front, self.readiness, self.directory = (
            f'{ip}:{free_port(ip)}' for _ in range(3)
        )
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                peer=free_port(ip),
                front=self.front,
                readiness=self.readiness,
                directory=self.directory,
                store=store_address,
            )
        )
        self.log = folder / f'{name}.log'
        self.process = None
        self.started = 0.0

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'BERGAMOTSTREAM_BOOT': str(self.settings),
            'BERGAMOTSTREAM_LISTEN': ','.join(
                (self.front, self.directory, self.readiness)
            ),
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'bergamotstream.forwarding'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.started = now()

    def resident_mb(self):
        """Return the memory that the process holds, in MB."""
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            lines = status.read_text().splitlines()
        except OSError:
            return 0.0
        for line in lines:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """End the process at once and wait for its end."""
        self.process.kill()
        self.process.wait()

    async def is_ready(self):
        """Tell whether the readiness check is answered with 200."""
        try:
            status, _, _ = await get(self.readiness, '/ready', timeout_s=1)
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    async def until_ready(self, limit_s=20.0):
        """Wait until the host is ready."""
        end = now() + limit_s
        while not await self.is_ready():
            if now() > end or self.process.poll() is not None:
                raise RuntimeError(f'{self.name} is not ready')
            await asyncio.sleep(0.05)


class Platform:
    """Ends hosts that exceed their memory, and starts ended ones again."""

    def __init__(self, hosts, record):
        self.ends = {host.name: 0 for host in hosts}
        self.highest_mb = {host.name: 0.0 for host in hosts}
        self._hosts = hosts
        self._record = record
        self._tasks = []

    def begin(self):
        """Watch the hosts."""
        self._tasks = [
            asyncio.ensure_future(self._watch(host)) for host in self._hosts
        ]

    def end(self):
        """Watch no more."""
        for task in self._tasks:
            task.cancel()

    async def _watch(self, host):
        while True:
            await asyncio.sleep(0.02)
            held = host.resident_mb()
            self.highest_mb[host.name] = max(
                self.highest_mb[host.name], held
            )
            if held > MEMORY_MB:
                self._record.write(
                    host.name, f'holds {held:.0f} MB and is killed'
                )
                host.kill()
            if host.process.poll() is None:
                continue
            self.ends[host.name] += 1
            self._record.write(host.name, 'has ended, end', self.ends[host.name])
            await asyncio.sleep(RESTART_S)
            host.start()


class Request:
    """A request as a worker received it."""

    def __init__(self, line, headers, body):
        self.line = line
        self.method, self.target, _ = line.split(' ', 2)
        self.headers = headers
        self.body = body
        self.attempt = headers.get(ATTEMPT, '')
        self.at = now()


class Worker:
    """A worker; ``serve`` is called with requests it does not reject."""

    def __init__(self, name, serve, service='plain', ip='127.0.0.1'):
        self.name = name
        self.service = service
        self.address = f'{ip}:{free_port(ip)}'
        self.requests = []
        self._serve = serve
        self._server = None
        self._writers = set()

    def entry(self, **changes):
        """Return the worker's entry in the store."""
        body = {
            'service': self.service,
            'address': self.address,
            'zone': 'rosario',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': 1_000,
        }
        return json.dumps(body | changes).encode()

    async def start(self):
        """Listen."""
        ip, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._handle, ip, int(port), limit=1 << 20
        )

    def crash(self):
        """Close the port and all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _handle(self, reader, writer):
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                request = await read_request(reader)
                expected = request.headers.get(
                    'bergamotstream-expect-instance', self.name
                )
                if expected != self.name:
                    writer.write(
                        response(
                            request,
                            b'',
                            status='421 Misdirected Request',
                            extra='Bergamotstream-Not-Executed: 1\r\n',
                            stamp=False,
                        )
                    )
                    continue
                await self._serve(self, request, reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader):
    """Read a request with a length."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *lines = head.strip().split('\r\n')
    headers = {
        name.lower(): text
        for name, text in (field.split(': ', 1) for field in lines)
    }
    length = int(headers.get('content-length', 0))
    return Request(line, headers, await reader.readexactly(length))


def response(request, body, status='200 OK', extra='', stamp=True):
    """Return a whole answer."""
    stamped = 'Bergamotstream-Server-Stamp: s.1\r\n' if stamp else ''
    return (
        f'HTTP/1.1 {status}\r\nBergamotstream-Attempt-Id: {request.attempt}\r\n'
        f'{stamped}Content-Length: {len(body)}\r\n{extra}\r\n'
    ).encode() + body


def stream_head(request):
    """Return the head of a stream in chunks."""
    return (
        f'HTTP/1.1 200 OK\r\nBergamotstream-Attempt-Id: {request.attempt}\r\n'
        'Bergamotstream-Server-Stamp: s.1\r\n'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()


def event(number):
    """Return one event as a chunk."""
    data = f'id: {number}\ndata: token-{number}\n\n'.encode()
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


LAST_CHUNK = b'0\r\n\r\n'


def route(name, kind, service='plain', **changes):
    """Return a route in the operators' format."""
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 10_000,
        'goal_ms': 400,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'public': False,
    } | changes


def configuration(version=1, **changes):
    """Return ``op/config``."""
    body = {
        'version': version,
        'routes': [
            route('lookup', 'idempotent'),
            route('order', 'non_idempotent', attempts=1),
            route(
                'chat',
                'streaming',
                'model',
                resumable=True,
                gap_target_ms=200,
                goal_ms=1_000,
            ),
        ],
        'services': [
            {'name': 'plain', 'health_path': '/h', 'max_conns': 96},
            {
                'name': 'model',
                'health_path': '/h',
                'max_conns': 424,
                'cold_per_s': 36.0,
                'engine': ENGINE,
            },
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 5_000,
            'idle_timeout_ms': 30_000,
        },
        'tenants': [{'name': 'small', 'api_keys': [KEY], 'priority': 0}],
    }
    return json.dumps(body | changes).encode()


class System:
    """A store, hosts and workers; ends all of them."""

    def __init__(self, hosts=1):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store_address = f'127.0.0.1:{free_port()}'
        self.store = platformstore.PlatformStore(
            serving.parse_address(self.store_address)
        )
        self.hosts = [self.make_host(f'host-{n}') for n in range(hosts)]
        self.workers = []

    def make_host(self, name):
        """Return a host that has not started."""
        return Host(self.folder, name, self.store_address)

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *fault):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.signal(signal.SIGCONT)
                host.kill()
        for worker in self.workers:
            worker.crash()
        await self.store.stop()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start(self, document=None):
        """Write the configuration and start the hosts."""
        await self.store.put('op/config', document or configuration())
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.until_ready()

    async def add_worker(self, name, serve, slots=8, **options):
        """Start a worker and register it."""
        worker = Worker(name, serve, **options)
        await worker.start()
        await self.store.put(f'servers/{name}', worker.entry(slots=slots))
        self.workers.append(worker)
        return worker


class Channel:
    """A channel of a client to a host."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, limit=1 << 20):
        """Connect."""
        ip, _, port = address.rpartition(':')
        async with asyncio.timeout(1.0):
            return cls(
                *await asyncio.open_connection(ip, int(port), limit=limit)
            )

    def send(
        self, path, attempt, method='POST', body=b'', deadline_ms=10_000, extra=''
    ):
        """Send a request."""
        self.writer.write(
            (
                f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
                f'Bergamotstream-Attempt-Id: {attempt}\r\n'
                f'Bergamotstream-Deadline-Ms: {deadline_ms}\r\n'
                f'Api-Key: {KEY}\r\n{extra}'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )

    async def read_head(self):
        """Return the status and the headers of an answer."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        line, *lines = head.strip().split('\r\n')
        headers = {
            name.lower(): text
            for name, text in (field.split(': ', 1) for field in lines)
        }
        return int(line.split(' ', 2)[1]), headers

    async def read_answer(self):
        """Return the status, headers and body of a whole answer.

        Raises ``EOFError`` or ``OSError`` for one that is not whole.
        """
        status, headers = await self.read_head()
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            return status, headers, await self._read_chunks()
        length = int(headers.get('content-length', 0))
        return status, headers, await self.reader.readexactly(length)

    async def _read_chunks(self):
        body = b''
        while True:
            size = int(await self.reader.readuntil(b'\r\n'), 16)
            piece = await self.reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]

    def close(self):
        """Close the channel."""
        self.writer.close()


async def get(address, path, timeout_s=2.0):
    """Return the answer to a GET on a new channel."""
    async with asyncio.timeout(timeout_s):
        channel = await Channel.open(address)
        try:
            channel.writer.write(
                f'GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'.encode()
            )
            return await channel.read_answer()
        finally:
            channel.close()


async def call(host, path, attempt, timeout_s=12.0, **options):
    """Return the answer to a request on a new channel; 0 if it has none."""
    try:
        async with asyncio.timeout(timeout_s):
            channel = await Channel.open(host.front)
            try:
                channel.send(path, attempt, **options)
                return await channel.read_answer()
            finally:
                channel.close()
    except (OSError, EOFError, TimeoutError) as fault:
        return 0, {'fault': repr(fault)}, b''


def run(case, folder, limit_s=110.0):
    """Run a case, which returns an exit code, and exit."""
    record = Record(folder)

    async def limited():
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        code = asyncio.run(limited())
    except Exception as fault:
        record.write('the case could not run:', repr(fault))
        code = NOT_RUN
    record.write('exit', code)
    sys.exit(code)
