"""Stand-ins and host processes for the cases of this review.

Standard library only. Everything is on 127.0.0.1 and on the real clock; the
hosts are the project's own program, started as the deploy file says.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ('python3', '-S', '-m', 'bergamotstream.forwarding')
HOST_NAME = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
ATTEMPT = 'Bergamotstream-Attempt-Id'
STAMP = 'Bergamotstream-Server-Stamp'
NOT_RUN = 'Bergamotstream-Not-Executed'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, UNUSABLE = 0, 1, 2
_reserved = []


def address():
    """Return a loopback address that no other process gets meanwhile."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(('127.0.0.1', 0))
    _reserved.append(held)
    return f'127.0.0.1:{held.getsockname()[1]}'


def split(text):
    ip, _, port = text.rpartition(':')
    return ip, int(port)


class Record:
    """What was sent, answered and run, in ``record.txt``."""

    def __init__(self, folder):
        self.started_s = time.monotonic()
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')

    def write(self, *words):
        at_s = time.monotonic() - self.started_s
        self._file.write(f'{at_s:9.3f} {" ".join(map(str, words))}\n')
        self._file.flush()


# HTTP/1.1 messages.


class Head:
    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=''):
        for known, text in self.headers:
            if known.lower() == name.lower():
                return text
        return default


async def read_head(reader):
    """Return the next head, ``None`` at the end of the connection."""
    try:
        block = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *lines = block.decode('latin-1')[:-4].split('\r\n')
    headers = [tuple(map(str.strip, entry.split(':', 1))) for entry in lines]
    return Head(line, headers)


async def read_body(reader, head):
    """Return the body of a message that states its length or has chunks."""
    if head.get('Transfer-Encoding').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(head.get('Content-Length') or 0))


def answer(head, status='200 OK', body=b'done', stamped=True, extra=()):
    """Return the bytes of a worker's answer of stated length."""
    lines = [
        f'HTTP/1.1 {status}',
        f'{ATTEMPT}: {head.get(ATTEMPT)}',
        f'Content-Length: {len(body)}',
        *extra,
    ]
    if stamped:
        lines.append(f'{STAMP}: 3e1b.07.5a2.600.0.c9f2a4d1')
    return '\r\n'.join((*lines, '', '')).encode() + body


def reset(writer):
    """Close a connection with a reset."""
    opened = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Server:
    """A TCP server on one address that ends with the case."""

    def __init__(self):
        self.address = address()
        self._server = None
        self._tasks = set()

    async def start(self):
        ip, port = split(self.address)
        self._server = await asyncio.start_server(
            self._accept, ip, port, limit=1 << 24, backlog=1024
        )

    async def stop(self):
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store as PROTOCOL.md describes it."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.lease_of = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._expiring = None

    async def start(self):
        await super().start()
        self._expiring = asyncio.ensure_future(self._expire())

    async def stop(self):
        self._expiring.cancel()
        await super().stop()

    def put(self, key, document, lease=0):
        self.revision += 1
        value = base64.b64encode(document).decode()
        item = {
            'key': key,
            'value': value,
            'rev': self.revision,
            'created': self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self.lease_of[key] = lease
        self._tell(item)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.items.pop(key)
            self._tell({'key': key, 'rev': self.revision, 'tombstone': True})

    def _tell(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        known = self.leases.pop(lease, None)
        for key, owner in tuple(self.lease_of.items()):
            if owner == lease and key in self.items:
                self.delete(key)
        return known is not None

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for lease, (_, end_s) in tuple(self.leases.items()):
                if end_s <= now_s:
                    self._end_lease(lease)

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            status, found = await self._answer(head, body)
            text = json.dumps(found).encode()
            writer.write(
                f'HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(text)}\r\n\r\n'.encode()
                + text
            )
            await writer.drain()

    async def _answer(self, head, body):
        method, target, _ = head.line.split(' ')
        path, _, query = target.partition('?')
        asked = dict(urllib.parse.parse_qsl(query))
        if path == '/kv-range':
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(asked.get('prefix', ''))
                and key > asked.get('after', '')
            ]
            return 200, {
                'items': found[:500],
                'has_more': len(found) > 500,
                'store_revision': self.revision,
            }
        if path == '/kv-watch':
            return await self._watch(asked)
        if path == '/kv-txn':
            return self._change(json.loads(body))
        if path == '/kv-lease':
            self._last_lease += 1
            ttl_s = json.loads(body)['ttl_ms'] / 1000
            self.leases[self._last_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'lease': self._last_lease, 'ttl_ms': ttl_s * 1000}
        if path.startswith('/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'ttl_ms': ttl_s * 1000}
        if path.startswith('/kv-lease-end/'):
            known = self._end_lease(int(path.rpartition('/')[2]))
            return (200 if known else 404), {}
        return 404, {}

    async def _watch(self, asked):
        after, prefix = int(asked['after']), asked.get('prefix', '')
        end_s = time.monotonic() + int(asked['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        return 200, {'events': events, 'store_revision': self.revision}

    def _change(self, body):
        for row in body['expected']:
            known = self.items.get(row['key'], {'rev': 0})
            if known['rev'] != row['rev']:
                return 412, {'items': [known]}
        for entry in body['writes']:
            lease = int(entry.get('lease', 0))
            if lease and lease not in self.leases:
                return 404, {}
            self.put(entry['key'], base64.b64decode(entry['value']), lease)
        for key in body['deletes']:
            self.delete(key)
        return 200, {'rev': self.revision}


class Worker(Server):
    """A worker; ``respond(head, body, writer, reader)`` answers a request."""

    def __init__(self, name, respond, service='portal', born=None):
        super().__init__()
        self.name = name
        self.service = service
        self.respond = respond
        self.seq = 0
        self.born = born or int(time.time() * 1000) - 60_000

    def entry(self, **changes):
        self.seq += 1
        found = {
            'service': self.service,
            'address': self.address,
            'zone': 'rosario',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': self.seq,
            'born': self.born,
        }
        return json.dumps(found | changes).encode()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            body = await read_body(reader, head)
            if head.line.startswith('GET /health '):
                writer.write(
                    answer(
                        head,
                        body=b'',
                        extra=(f'Bergamotstream-Instance-Id: {self.name}',),
                    )
                )
                continue
            expected = head.get('Bergamotstream-Expect-Instance')
            if expected not in ('', self.name):
                extra = (f'{NOT_RUN}: 1', f'At-Server: {self.address}')
                writer.write(answer(head, '421 Misdirected', extra=extra))
                continue
            if await self.respond(head, body, writer, reader) == 'close':
                return


def route(name, prefix, kind, service='portal', **changes):
    found = {
        'name': name,
        'host': HOST_NAME,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 10_000,
        'goal_ms': 300,
        'priority': 1,
        'service': service,
        'attempts': 1 if kind == 'non_idempotent' else 2,
        'public': False,
    }
    return found | changes


def configuration(routes, version=3, **changes):
    """Return ``op/config``."""
    found = {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'portal', 'health_path': '/health', 'max_conns': 49}
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 10_000,
            'idle_timeout_ms': 30_000,
        },
        'tenants': [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}],
    }
    return json.dumps(found | changes).encode()


SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "127.0.0.1"
zone = "rosario"
region = "ar-litoral"
internal_ports = [{peer_port}, {peer_port}]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "spans"]
[zones]
rosario = "ar-litoral"
[listen]
front = "{front}"
readiness = "{readiness}"
directory = "{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = {grace_s}
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


class HostProcess:
    """One host, started with the command of the deploy file."""

    def __init__(self, folder, name, store_address, memory_mb=300, grace_s=8):
        self.name = name
        self.front, self.readiness, self.directory, peer = (
            address() for _ in range(4)
        )
        self.settings = pathlib.Path(folder) / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                front=self.front,
                readiness=self.readiness,
                directory=self.directory,
                peer_port=split(peer)[1],
                store=store_address,
                memory_mb=memory_mb,
                grace_s=grace_s,
            )
        )
        self.log = pathlib.Path(folder) / f'{name}.log'
        self.process = None

    def start(self):
        python = shutil.which(COMMAND[0]) or sys.executable
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'BERGAMOTSTREAM_BOOT': str(self.settings),
            'BERGAMOTSTREAM_LISTEN': ','.join(
                (self.front, self.directory, self.readiness)
            ),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                (python, *COMMAND[1:]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_running():
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Return its memory in MB of 1,048,576 bytes, 0 if it has ended."""
        with contextlib.suppress(OSError, AttributeError):
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0

    async def is_ready(self):
        status, _, _ = await call(self.readiness, 'GET', '/ready', timeout_s=1)
        return status == 200

    async def until_ready(self, limit_s=20):
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s or not self.is_running():
                raise Unusable(f'{self.name} is not ready')
            await asyncio.sleep(0.05)


class Unusable(Exception):
    """The case could not run."""


def request_bytes(
    attempt, method, path, body=b'', deadline_ms=10_000, extra=()
):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'Api-Key: {KEY}',
        f'{ATTEMPT}: {attempt}',
        f'Bergamotstream-Deadline-Ms: {deadline_ms}',
        *extra,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def call(where, method, path, attempt='', timeout_s=12.0, **options):
    """Send a request; return status, head and body, or 0 and the fault."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(where))
            writer.write(request_bytes(attempt, method, path, **options))
            head = await read_head(reader)
            if head is None:
                return 0, None, b'channel ended without an answer'
            body = await read_body(reader, head)
            return int(head.line.split(' ')[1]), head, body
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
        return 0, None, repr(fault).encode()
    finally:
        if writer is not None:
            writer.close()


class Platform:
    """Ends a host whose memory is over its limit, and starts ended ones.

    DEPLOY.md: "A process that exceeds `memory_mb` is killed", and "a process
    that exits or is killed is restarted after a short delay".
    """

    RESTART_S = 0.5
    CHECK_S = 0.01

    def __init__(self, record, hosts, memory_mb=300):
        self.ends = {host.name: 0 for host in hosts}
        self.most_mb = {host.name: 0 for host in hosts}
        self._record = record
        self._hosts = hosts
        self._memory_mb = memory_mb

    async def watch(self):
        await asyncio.gather(*map(self._watch_one, self._hosts))

    def faulty(self):
        """Tell whether the rule Fault is broken.

        On a tenth of the machines in use (two at least) processes have ended
        by themselves three times.
        """
        often = [name for name, ends in self.ends.items() if ends >= 3]
        return len(often) >= max(len(self._hosts) / 10, 2)

    async def _watch_one(self, host):
        while True:
            await asyncio.sleep(self.CHECK_S)
            memory_mb = host.memory_mb()
            self.most_mb[host.name] = max(self.most_mb[host.name], memory_mb)
            if host.is_running() and memory_mb > self._memory_mb:
                self._record.write(
                    f'{host.name} holds {memory_mb:.0f} MB,'
                    f' over its {self._memory_mb} MB, and is killed'
                )
                host.kill()
            if not host.is_running():
                self.ends[host.name] += 1
                self._record.write(
                    f'{host.name} has ended ({host.process.returncode}),'
                    f' {self.ends[host.name]} times'
                )
                await asyncio.sleep(self.RESTART_S)
                host.start()


class System:
    """A store, workers and hosts; all end with the context."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix='review-3-')
        self.store = Store()
        self.workers = []
        self.hosts = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.kill()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_worker(self, worker, **changes):
        await worker.start()
        self.workers.append(worker)
        self.store.put(f'servers/{worker.name}', worker.entry(**changes))

    async def add_hosts(self, count, **options):
        added = [
            HostProcess(
                self.folder,
                f'front-rosario-{len(self.hosts) + number + 1}',
                self.store.address,
                **options,
            )
            for number in range(count)
        ]
        for host in added:
            host.start()
        self.hosts += added
        for host in added:
            await host.until_ready()
        await asyncio.sleep(1.5)


def run(case, limit_s=110):
    """Run a case, a coroutine that returns whether the rule held; exit."""

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await case()

    try:
        held = asyncio.run(bounded())
    except (Unusable, TimeoutError, OSError) as fault:
        print(f'could not run: {fault!r}')
        sys.exit(UNUSABLE)
    print('the rule held' if held else 'the rule was broken')
    sys.exit(HELD if held else BROKEN)
