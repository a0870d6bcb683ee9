"""Hosts, workers and consumers of a small deployment on loopback."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

from parts import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ATTEMPT = 'Bergamotstream-Attempt-Id'
STAMP = 'Bergamotstream-Server-Stamp'
DOMAIN = 'ficu95.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "{zone}"
region = "ar-litoral"
internal_ports = [{peer},{peer}]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
rosario = "ar-litoral"
santa-fe = "ar-litoral"
parana = "ar-litoral"
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
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
cold_overage = 1.5
cold_slack = 5
evac_ms = 5000
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
    'slots': 8, 'kv_tokens': 450_000, 'stride': 46, 'step_ms': 0.925,
    'per_seq_ms': 0.00966, 'context_per_k': 0.00254, 'read_per_s': 256_000.0,
    'pairs_per_m': 0.0917, 'chunk': 2048, 'usual': {'prompt': 13_252, 'answer': 1_540},
}
ZONES = ('rosario', 'santa-fe', 'parana')


def free_address():
    with socket.socket() as opened:
        opened.bind(('127.0.0.1', 0))
        return '127.0.0.1:%d' % opened.getsockname()[1]


def route(name, prefix, kind, service, **changes):
    return {
        'name': name, 'host': DOMAIN, 'prefix': prefix, 'kind': kind,
        'timeout_ms': 1_500, 'goal_ms': 400, 'priority': 1, 'service': service,
        'attempts': 2, 'public': False,
    } | changes


def service(name, **changes):
    return {
        'name': name, 'health_path': '/health', 'max_conns': 424,
        'protocol': 'h1', 'tls': False, 'cold_start_s': 0.0, 'cold_per_s': 0.0,
    } | changes


def config(version, routes, services, keys):
    """Return ``op/config``; ``keys`` lists the keys of each tenant."""
    return json.dumps(
        {
            'version': version, 'routes': routes, 'services': services,
            'limits': {
                'max_header_bytes': 16_384, 'max_body_bytes': 4_194_304,
                'header_timeout_ms': 3_000, 'idle_timeout_ms': 15_000,
            },
            'tenants': [
                {'name': tenant, 'api_keys': listed, 'priority': 1}
                for tenant, listed in keys.items()
            ],
        }
    ).encode()


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._start_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w')

    def __call__(self, what, **fields):
        at_s = time.monotonic() - self._start_s
        listed = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{at_s:8.3f} {what} {listed}\n')
        self._file.flush()

    def say(self, text):
        print(text, flush=True)
        self('verdict', text=text)


class Worker:
    """A worker of a service; ``serve`` writes its answers."""

    def __init__(self, system, name, service_name, zone='rosario', slots=8,
                 serve=None, work_s=0.05):
        self.system, self.name, self.service = system, name, service_name
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.serve = serve or plain_answer
        self.runs = []
        self.received = {}
        self.address = ''
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        await self.register()

    async def register(self, **changes):
        entry = {
            'service': self.service, 'address': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': self.slots, 'state': self.state,
            'cold_left_ms': 0, 'seq': 0, 'born': self.born,
        } | changes
        await self.system.store.write(f'servers/{self.name}', json.dumps(entry).encode())

    def close(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.system.is_cut(writer):
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _one(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.strip().split('\r\n')
        headers = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines)
        }
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        attempt = headers.get(ATTEMPT.lower(), '')
        if headers.get('bergamotstream-expect-instance', self.name) != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\n{ATTEMPT}: {attempt}\r\n'
                f'Bergamotstream-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        if not attempt:
            ok = self.state == 'ready'
            writer.write(
                f'HTTP/1.1 {200 if ok else 503} Health\r\nBergamotstream-Instance-Id: {self.name}\r\n'
                f'Bergamotstream-Instance-Load: 0,0,{self.slots}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        self.runs.append(attempt)
        self.received[attempt] = (first, headers, body)
        self.system.record(
            'run', worker=self.name, service=self.service, id=attempt, request=first,
            tenant=headers.get('bergamotstream-tenant', ''),
        )
        return await self.serve(self, attempt, headers, reader, writer)


def reset(writer):
    """End a channel with a reset."""
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


async def plain_answer(worker, attempt, headers, reader, writer):
    await asyncio.sleep(worker.work_s)
    body = b'x' * 800
    writer.write(
        f'HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{STAMP}: s.{worker.name}.{attempt}\r\n'
        f'Bergamotstream-Instance-Load: 1,0,{worker.slots}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
    )
    await writer.drain()
    worker.system.record('worker_answered', worker=worker.name, id=attempt)
    return True


def stream_head(worker, attempt):
    return (
        f'HTTP/1.1 200 OK\r\n{ATTEMPT}: {attempt}\r\n{STAMP}: s.{worker.name}.{attempt}\r\n'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(data):
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


async def stream_answer(worker, attempt, headers, reader, writer):
    writer.write(stream_head(worker, attempt))
    first = int(headers.get('last-event-id') or 0) + 1
    for number in range(first, 21):
        await asyncio.sleep(0.06)
        writer.write(chunk(f'id: {number}\ndata: t{number}\n\n'.encode()))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    worker.system.record('worker_answered', worker=worker.name, id=attempt)
    return True


class Host:
    """One host, started with the command of the deploy file."""

    def __init__(self, system, number):
        self.system = system
        self.name = f'front-{number}'
        self.front, self.readiness, self.directory = (free_address() for _ in range(3))
        self.settings = system.folder / f'{self.name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=self.name, zone=ZONES[number % 3], front=self.front,
                readiness=self.readiness, directory=self.directory,
                peer=free_address().rpartition(':')[2], store=system.store.address,
            )
        )
        self.log = system.folder / f'{self.name}.log'
        self.process = None

    def start(self):
        run = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['entry']['run']
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'BERGAMOTSTREAM_BOOT': str(self.settings),
            'BERGAMOTSTREAM_LISTEN': f'{self.front},{self.directory},{self.readiness}',
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                run.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.system.record('host', started=self.name, pid=self.process.pid)

    def signal(self, number):
        self.system.record('host', signal=number, name=self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        answer = await exchange(self.readiness, b'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 1.0)
        return answer.status == 200


def _inode_of(local_port, remote_port):
    """Return the socket of a host's end of a loopback channel."""
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(fields[part].rpartition(':')[2], 16) for part in (1, 2)]
        if ports == [local_port, remote_port]:
            return fields[9]
    return ''


def _sockets_of(pid):
    found = set()
    for entry in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            found.add(os.readlink(entry).removeprefix('socket:[').removesuffix(']'))
    return found


class Answer:
    """What a consumer got; status 0 if the channel ended without an answer."""

    def __init__(self, status=0, headers=None, body=b'', fault='', took_s=0.0, complete=False):
        self.status, self.headers, self.body = status, headers or {}, body
        self.fault, self.took_s, self.complete = fault, took_s, complete


async def exchange(address, request, wait_s):
    """Send a request on a new channel and read the whole answer."""
    started_s = time.monotonic()
    host, _, port = address.rpartition(':')
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(request)
            await _read_answer(reader, answer)
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError,
            asyncio.LimitOverrunError) as fault:
        answer.fault = type(fault).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.took_s = time.monotonic() - started_s
    return answer


async def drain(address, request, wait_s):
    """Send a request and read what comes, without a look at it."""
    host, _, port = address.rpartition(':')
    received, fault = 0, ''
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            writer.write(request)
            while data := await reader.read(1 << 20):
                received += len(data)
    except (TimeoutError, OSError) as broken:
        fault = type(broken).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return received, fault


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.strip().split('\r\n')
    answer.status = int(first.split(' ')[1])
    answer.headers = {
        name.lower(): text for name, _, text in (line.partition(': ') for line in lines)
    }
    if 'content-length' in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers['content-length']))
    elif 'chunked' in answer.headers.get('transfer-encoding', ''):
        while size := int((await reader.readuntil(b'\r\n')).split(b';')[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
    answer.complete = True


class System:
    """A store, hosts, workers and consumers."""

    def __init__(self, folder, hosts):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(folder)
        self.store = store.Store(self.record)
        self.host_count = hosts
        self.hosts = []
        self.workers = []
        # Hosts whose channels to workers are reset.
        self.cut_hosts = []
        self._attempts = 0

    async def start(self, configuration, workers):
        await self.store.start()
        await self.store.write('op/config', configuration)
        for worker in workers:
            self.workers.append(worker)
            await worker.start()
        self.hosts = [Host(self, number) for number in range(self.host_count)]
        for host in self.hosts:
            host.start()
        await self.until_ready(15)

    async def until_ready(self, wait_s):
        async with asyncio.timeout(wait_s):
            while not all([await host.is_ready() for host in self.hosts]):
                await asyncio.sleep(0.1)
        # The hosts have heard each other.
        await asyncio.sleep(1.5)

    def is_cut(self, writer):
        """Tell whether a channel to a worker comes from a host that is cut."""
        if not self.cut_hosts:
            return False
        ends = [
            writer.get_extra_info(name)[1] for name in ('peername', 'sockname')
        ]
        inode = _inode_of(*ends)
        return any(inode in _sockets_of(host.process.pid) for host in self.cut_hosts)

    async def cut(self, host):
        """Partition a host from all workers: its channels are reset."""
        self.cut_hosts.append(host)
        self.record('cut', host=host.name)
        for worker in self.workers:
            for writer in tuple(worker._writers):
                if self.is_cut(writer):
                    reset(writer)

    async def resolve(self, host):
        answer = await exchange(
            host.directory,
            f'GET /resolve?name={DOMAIN}&region=ar-litoral&zone=rosario HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'.encode(),
            1.0,
        )
        return json.loads(answer.body)['addresses'] if answer.status == 200 else []

    def request(self, address, path, key, deadline_ms, method='POST', extra='', body=b''):
        """Return the id and the bytes of a new consumer attempt."""
        self._attempts += 1
        attempt = f'{self._attempts:016x}'
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {DOMAIN}\r\n{ATTEMPT}: {attempt}\r\n'
            f'Bergamotstream-Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\n{extra}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        self.record('sent', id=attempt, to=address, path=path, key=key, bytes=len(body))
        return attempt, head + body

    async def send(self, address, path, key, deadline_ms, wait_s=None, **parts):
        """Send one consumer attempt; return its id and the answer."""
        attempt, request = self.request(address, path, key, deadline_ms, **parts)
        answer = await exchange(address, request, wait_s or deadline_ms / 1000)
        self.record(
            'answered', id=attempt, status=answer.status, complete=answer.complete,
            fault=answer.fault, took_ms=round(answer.took_s * 1000),
        )
        return attempt, answer

    async def stop(self):
        for host in self.hosts:
            host.end()
        for worker in self.workers:
            worker.close()
        await self.store.stop()


def main(folder, hosts, case, limit_s=110):
    """Run a case; exit with 1 if the rule broke, 0 if it held, else 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        system = System(folder, hosts)
        try:
            async with asyncio.timeout(limit_s):
                return await case(system, trouble)
        except Exception as fault:
            system.record.say(f'the case could not run: {fault!r}')
            return NOT_RUN
        finally:
            await system.stop()
            if os.environ.get('KEEP_LOGS'):
                print(system.folder)
            else:
                import shutil

                shutil.rmtree(system.folder, ignore_errors=True)

    sys.exit(asyncio.run(play()))
