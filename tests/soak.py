"""
Fault soak
~~~~~~~~~~

Runs hosts as processes against the stand-ins, behind loopback proxies, and
injects faults by seed: signals, broken and silent connections, a faulty store,
draining targets. It checks the service guarantees by what callers and targets
observe:

    python -m tests.soak --first 1 --seeds 50 --jobs 4
"""

import asyncio
import collections
import contextlib
import itertools
import json
import math
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from typing import NamedTuple

import aiohttp
import defopt

from tests import hostprocesskit
from tests import platformkit as kit

HOSTS = 3
PLAIN_TARGETS = 3
MODEL_TARGETS = 3
FAULTS = 10
FAULT_PERIOD_S = 9.0
# The users' bound for recovery is 12 s, after which a quarter of the requests
# must be served. The stand-ins have no load, so all must be.
RECOVERY_S = 12.0
GRACE_S = 8.0
CALLERS = 12
# A draining target gets no requests after drain_ms. The check is suspended for
# contact_ms after a fault of a host or of the store.
DRAIN_S = 2.0
CONTACT_S = 3.0
EVENT_GAP_S = 0.03
# Streams that end with their connection, and streams of any framing that end in
# good order inside an event.
UNFRAMED_SHARE = 0.2
CUT_SHARE = 0.05
# Runs of plain targets that are answered as if they were none.
UNTRUE_SHARE = 0.03
MISDIRECTED = '421 Other'
UNTRUE_STATUSES = ('408 Late', MISDIRECTED, '429 Busy', '503 Full')
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
FRAMING = {True: 'Transfer-Encoding: chunked\r\n', False: ''}
# Each target names a limit for a part of the faults' time. The operators' bound
# holds from CONTACT_S after the first time, and while no fault excuses a host.
LIMITS = ('1', '1.1', '4')
LIMIT_S = 4.5
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
# For a part of the faults' time the answers of one target of each service say
# that it leaves, and another one refuses and asks each host for a pause.
LEAVING_TARGETS = ('t0', 't3')
ASKING_TARGETS = ('t1', 't4')
STATEMENT_S = 6.0
ASKED_S = 1.5
ASKED_SLACK_S = 0.5
MAX_IN_PAUSE = 2
# Methods that HTTP calls idempotent, which a client might send again, and POST.
METHODS = ('GET', 'PUT', 'POST')
# How the links of a host to all targets fail: open ones are reset, or silent, or
# live on, while new ones are reset or hang.
LINK_FAULTS = ('reset', 'hang', 'kept')
LINK_HANG_S = 1.0
LINK_CUTS = 2
# Changes of the configuration, the last of which is 550 KB.
CONFIGURATIONS = 3
GROWTH = 900
# Of a route that the last change has added.
GROWN_PATH = f'/grown/{CONFIGURATIONS}/1'


class Attempt(NamedTuple):
    """The outcome of one request as its caller observed it."""

    attempt_id: str
    path: str
    status: int
    body: bytes
    stamped: bool
    whole: bool


def _reset_all(writers):
    """Reset connections; some may have been closed by their other end."""
    for writer in writers:
        if not writer.is_closing():
            kit.reset(writer)


class Proxy:
    """Forwards bytes between hosts and one address, with faults."""

    def __init__(self, address):
        self.address = ''
        self.mode = ''
        self._target = address
        self._open = set()
        self._muted = set()
        self._link_faults_by_source = {}
        # When answers were last lost or delayed, infinite while they are.
        self.disturbed_s = -math.inf
        # Of the connections to the target, by their port there.
        self.sources_by_port = {}
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut_link(self, source_ip, mode):
        """Let the link of a host fail in one of ``LINK_FAULTS``."""
        self._link_faults_by_source[source_ip] = mode
        opened = {
            writer
            for writer in self._open
            if writer.get_extra_info('peername')[0] == source_ip
        }
        if mode == 'hang':
            self._muted |= opened
        elif mode == 'reset':
            _reset_all(opened)

    def heal_link(self, source_ip):
        """End the fault; what was silent stays so, as lost packets do."""
        self._link_faults_by_source.pop(source_ip, None)

    def reset(self):
        """Reset all open connections."""
        _reset_all(self._open)

    def mute(self):
        """Forward nothing more on the connections that are open now."""
        self._muted |= self._open

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        ip, _, port = self._target.rpartition(':')
        with contextlib.ExitStack() as stack:
            stack.callback(writer.close)
            # The server logs a cancelled task as an error.
            stack.enter_context(
                contextlib.suppress(OSError, asyncio.CancelledError)
            )
            source_ip = writer.get_extra_info('peername')[0]
            link_fault = self._link_faults_by_source.get(source_ip, '')
            if link_fault == 'hang':
                await asyncio.sleep(LINK_HANG_S)
            if link_fault or self.mode == 'reset':
                kit.reset(writer)
                return
            inner_reader, inner_writer = await asyncio.open_connection(ip, port)
            stack.callback(inner_writer.close)
            inner_port = inner_writer.get_extra_info('sockname')[1]
            self.sources_by_port[inner_port] = source_ip
            self._open.add(writer)
            stack.callback(self._open.discard, writer)
            await asyncio.wait(
                (
                    asyncio.ensure_future(
                        self._forward(reader, inner_writer, writer, '')
                    ),
                    asyncio.ensure_future(
                        self._forward(inner_reader, writer, writer, 'answers')
                    ),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _forward(self, reader, writer, connection, direction):
        with contextlib.suppress(OSError):
            while received := await reader.read(65_536):
                if self.mode == 'delay':
                    await asyncio.sleep(0.2)
                while connection in self._muted or (
                    direction and self.mode == 'one_way'
                ):
                    await asyncio.sleep(0.05)
                writer.write(received)
                await writer.drain()


class Target:
    """Answers with the attempt id; streams the requested number of events."""

    def __init__(self, soak, name, service):
        self.name = name
        self.service = service
        self.proxy = None
        self.drained_at_s = None
        self.started_ms = 1_000
        self._soak = soak
        # Drawn for each target, so that other draws of a seed stay the same.
        chance = random.Random(f'{soak.seed} {name}')
        self._limit = chance.choice(LIMITS)
        self._limited_from_s = chance.uniform(0, FAULT_PERIOD_S - LIMIT_S)
        self._named_at_s = None
        self._arrived_s = []
        chance = random.Random(f'statements {soak.seed} {name}')
        self.states_from_s = chance.uniform(0, FAULT_PERIOD_S - STATEMENT_S)
        # When each host was told that this target leaves, or wants a pause.
        self._told_s_by_source = {}
        self._in_pause_by_source = collections.Counter()
        self._raw = kit.RawTarget(self._respond)

    async def start(self):
        await self._raw.start()
        self.proxy = Proxy(self._raw.address)
        await self.proxy.start()

    async def stop(self):
        await self.proxy.stop()
        await self._raw.stop()

    async def _respond(self, request, writer):
        now_s = asyncio.get_running_loop().time()
        attempt_id = request.headers.get(kit.ATTEMPT, '')
        expected = request.headers.get('Bergamotstream-Expect-Instance')
        if expected != self.name:
            instance = f'Bergamotstream-Instance-Id: {self.name}\r\n'
            writer.write(kit.answer(request, b'', MISDIRECTED, instance))
            return
        self._soak.check_drain(self, attempt_id, now_s)
        self._soak.runs_by_attempt[attempt_id] += 1
        limit = self._name_limit(attempt_id, now_s)
        if self._is_stating(now_s):
            port = writer.get_extra_info('peername')[1]
            source_ip = self.proxy.sources_by_port[port]
            if self.name in LEAVING_TARGETS:
                self._check_leaving(source_ip, attempt_id, now_s)
                limit += 'Server-Leaving: 1\r\n'
            elif self._ask_for_pause(source_ip, attempt_id, now_s):
                self._soak.runs_by_attempt[attempt_id] -= 1
                refusal = f'{kit.NOT_RUN}: 1\r\nRetry-After: {ASKED_S}\r\n'
                writer.write(kit.answer(request, b'', '503 Busy', refusal))
                return
        path = request.request_line.split()[1]
        if not path.startswith('/chat/'):
            await asyncio.sleep(self._soak.rng.uniform(0.005, 0.06))
            status = self._draw_status(attempt_id, limit)
            body = attempt_id.encode()
            writer.write(kit.answer(request, body, status, limit))
            return
        first = int(request.headers.get('Last-Event-Id') or 0) + 1
        last = int(path.rpartition('/')[2])
        # Drawn for each run, so that other draws of a seed stay the same.
        chance = random.Random(f'{attempt_id} {self.name}')
        framed = chance.random() >= UNFRAMED_SHARE
        cut_at = chance.randint(first, last) if first <= last else 0
        if chance.random() >= CUT_SHARE:
            cut_at = 0
        writer.write(kit.stream_head(request, limit + FRAMING[framed]))
        for number in range(first, last + 1):
            event = kit.event(number)
            if number == cut_at:
                event = event[: chance.randrange(1, len(event))]
            writer.write(kit.chunk(event) if framed else event)
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            if number == cut_at:
                break
        if framed:
            writer.write(b'0\r\n\r\n')
        else:
            writer.close()

    def _draw_status(self, attempt_id, statements):
        """Return how a run is answered; it may be told not to have run.

        Probes have no id. Hosts take no statements from a 421, which may come
        from another target.
        """
        chance = random.Random(f'status {attempt_id} {self.name}')
        if not attempt_id or chance.random() >= UNTRUE_SHARE:
            return '200 OK'
        status = chance.choice(UNTRUE_STATUSES)
        if statements and status == MISDIRECTED:
            return UNTRUE_STATUSES[-1]
        return status

    def _is_stating(self, now_s):
        if self.name not in LEAVING_TARGETS + ASKING_TARGETS:
            return False
        age_s = now_s - self._soak.faults_from_s - self.states_from_s
        return self._soak.faults_from_s > 0 and 0 <= age_s < STATEMENT_S

    def _excused_until_s(self, source_ip):
        """Return until when a host may have missed what it was told."""
        disturbed_s = self._soak.disturbed_s_by_source[source_ip]
        return max(self.proxy.disturbed_s, disturbed_s)

    def _check_leaving(self, source_ip, attempt_id, now_s):
        """Check that a host sends nothing long after it was told."""
        told_s = self._told_s_by_source.setdefault(source_ip, now_s)
        if told_s <= self._excused_until_s(source_ip):
            self._told_s_by_source[source_ip] = now_s
        elif now_s > told_s + DRAIN_S:
            self._soak.violations.append(
                f'{attempt_id} reaches {self.name}, which leaves'
            )

    def _ask_for_pause(self, source_ip, attempt_id, now_s):
        """Tell whether to refuse and ask for a pause; check that it is kept."""
        told_s = self._told_s_by_source.get(source_ip)
        is_over = told_s is None or now_s >= told_s + ASKED_S
        if is_over or told_s <= self._excused_until_s(source_ip):
            self._told_s_by_source[source_ip] = now_s
            self._in_pause_by_source[source_ip] = 0
            return True
        if now_s > told_s + ASKED_SLACK_S:
            self._in_pause_by_source[source_ip] += 1
        if self._in_pause_by_source[source_ip] > MAX_IN_PAUSE:
            self._soak.violations.append(
                f'{attempt_id} reaches {self.name} in the pause it asked for'
            )
        return False

    def _name_limit(self, attempt_id, now_s):
        """Return the header of a limit that is in force, and check it."""
        age_s = now_s - self._soak.faults_from_s - self._limited_from_s
        if not 0 <= age_s < LIMIT_S:
            return ''
        if self._named_at_s is None:
            self._named_at_s = now_s
        self._arrived_s.append(now_s)
        excused_until_s = self._soak.last_fault_at_s + CONTACT_S
        counted_from_s = max(
            self._named_at_s + CONTACT_S,
            excused_until_s,
            now_s - LIMIT_WINDOW_S,
        )
        most = LIMIT_RATIO * float(self._limit) * LIMIT_WINDOW_S + LIMIT_SLACK
        if sum(at_s >= counted_from_s for at_s in self._arrived_s) > most:
            self._soak.violations.append(
                f'{attempt_id} is beyond the limit of {self.name}'
            )
        return f'Server-Limit: {self._limit}\r\n'


class Soak:
    """One seeded run."""

    def __init__(self, seed, folder):
        self.seed = seed
        self.rng = random.Random(seed)
        # Of its own, so that seeds keep the faults that they have found.
        self._link_rng = random.Random(-seed)
        self.faults_from_s = 0
        self.last_fault_at_s = 0
        # When a host was last stopped, killed, paused or cut off.
        self.disturbed_s_by_source = collections.defaultdict(float)
        self.runs_by_attempt = collections.Counter()
        self.violations = []
        self.attempts = []
        self._folder = pathlib.Path(folder)
        self._system = kit.System()
        self._hosts = []
        self._targets = []
        self._store_proxies = []
        self._call_count = 0

    async def run(self):
        """Return the violated guarantees."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._stop)
            await self._start()
            async with aiohttp.ClientSession() as session:
                calling = [
                    asyncio.ensure_future(self._call_repeatedly(session))
                    for _ in range(CALLERS)
                ]
                await self._inject()
                for call in calling:
                    call.cancel()
                await asyncio.gather(*calling, return_exceptions=True)
                await self._check_recovery(session)
            await self._check_shutdown()
        self._check_attempts()
        return self.violations

    def check_drain(self, target, attempt_id, now_s):
        """Record a request that reaches a target after its drain."""
        if target.drained_at_s is None:
            return
        check_from_s = max(
            self.last_fault_at_s + CONTACT_S, target.drained_at_s
        )
        if now_s > check_from_s + DRAIN_S + 0.5:
            self.violations.append(f'{attempt_id} reaches {target.name}')

    async def _start(self):
        store = self._system.store
        await store.start()
        await store.put('op/config', kit.configuration_document())
        address = '{0}:{1}'.format(*store._listener._address)
        for number in range(HOSTS):
            proxy = Proxy(address)
            await proxy.start()
            self._store_proxies.append(proxy)
            host = hostprocesskit.HostProcess(
                self._folder,
                f'h{number}',
                proxy.address,
                source_ip=f'127.0.1.{number + 1}',
            )
            self._hosts.append(host)
            host.start()
        for number in range(PLAIN_TARGETS + MODEL_TARGETS):
            service = 'plain' if number < PLAIN_TARGETS else 'model'
            target = Target(self, f't{number}', service)
            await target.start()
            self._targets.append(target)
            await self._register(target, 'ready')
        for host in self._hosts:
            await hostprocesskit.wait_until(host.resolved_addresses, 20)

    async def _stop(self):
        for host in self._hosts:
            if host.is_running():
                host.signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for stopped in (*self._targets, *self._store_proxies):
            await stopped.stop()
        await self._system.store.stop()

    async def _register(self, target, state):
        document = kit.target_document(
            target.proxy.address,
            service=target.service,
            state=state,
            born=target.started_ms,
        )
        await self._system.store.put(f'servers/{target.name}', document)

    async def _inject(self):
        """Start faults at random times, so that they overlap."""
        self.faults_from_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for _ in range(LINK_CUTS):
                group.create_task(self._cut_links())
            group.create_task(self._grow_configuration())
            for target in self._targets:
                if target.name in LEAVING_TARGETS:
                    group.create_task(self._start_again(target))
            for _ in range(FAULTS):
                kind = self.rng.choice(list(FAULT_KINDS))
                start_s = self.rng.uniform(0, FAULT_PERIOD_S)
                duration_s = self.rng.uniform(0.2, 2.5)
                group.create_task(self._inject_one(kind, start_s, duration_s))

    async def _inject_one(self, kind, start_s, duration_s):
        await asyncio.sleep(start_s)
        self._record_fault_time()
        await FAULT_KINDS[kind](self, duration_s)
        self._record_fault_time()

    def _record_fault_time(self):
        self.last_fault_at_s = asyncio.get_running_loop().time()

    def _record_disturbed(self, host):
        now_s = asyncio.get_running_loop().time()
        self.disturbed_s_by_source[host.source_ip] = now_s

    async def _kill(self, duration_s):
        await self._stop_host(signal.SIGKILL, duration_s)

    async def _terminate(self, duration_s):
        await self._stop_host(signal.SIGTERM, duration_s)

    async def _stop_host(self, number, duration_s):
        host = self.rng.choice(self._hosts)
        if not host.is_running():
            return
        self._record_disturbed(host)
        process = host.process
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        try:
            code = await asyncio.to_thread(process.wait, GRACE_S)
        except subprocess.TimeoutExpired:
            self.violations.append(f'{host.name} does not end')
            process.kill()
            code = await asyncio.to_thread(process.wait)
        # A process that is still starting has no handler yet.
        if -code not in {0, signal.SIGKILL, signal.SIGTERM}:
            self.violations.append(f'{host.name} ends with {code}')
        await asyncio.sleep(duration_s / 4)
        self._record_disturbed(host)
        if not host.is_running():
            host.start()

    async def _pause(self, duration_s):
        host = self.rng.choice(self._hosts)
        if host.is_running():
            process = host.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.send_signal(signal.SIGCONT)
            self._record_disturbed(host)

    async def _reload(self, duration_s):
        host = self.rng.choice(self._hosts)
        if host.is_running() and (await host.resolved_addresses()):
            host.signal(signal.SIGHUP)

    async def _fail_store(self, duration_s):
        store = self._system.store
        store.fault = self.rng.choice(('busy', 'reset', 'silent', 'lost'))
        await asyncio.sleep(duration_s)
        store.fault = ''

    async def _forget_history(self, duration_s):
        self._system.store.history_gone = True
        await asyncio.sleep(duration_s)
        self._system.store.history_gone = False

    async def _fail_path(self, duration_s):
        proxy = self._random_proxy()
        with self._disturbing(proxy):
            proxy.mode = self.rng.choice(('delay', 'reset', 'one_way'))
            await asyncio.sleep(duration_s)
            proxy.mode = ''

    async def _reset_connections(self, duration_s):
        proxy = self._random_proxy()
        with self._disturbing(proxy):
            proxy.reset()

    async def _mute_connections(self, duration_s):
        proxy = self._random_proxy()
        with self._disturbing(proxy):
            proxy.mute()

    async def _grow_configuration(self):
        """Add routes at random times."""
        # Of its own, so that seeds keep the faults that they have found.
        chance = random.Random(f'configuration {self.seed}')
        routes = json.loads(kit.configuration_document())['routes']
        for version in range(2, 2 + CONFIGURATIONS):
            await asyncio.sleep(
                chance.uniform(0, FAULT_PERIOD_S / CONFIGURATIONS)
            )
            change = version - 1
            added = (f'{change}', *(f'{change}-{n}' for n in range(GROWTH)))
            routes += [
                kit.route(name, f'/grown/{name}/', 'idempotent')
                for name in added
            ]
            await self._system.store.put(
                'op/config', kit.configuration_document(version, routes=routes)
            )

    async def _start_again(self, target):
        """Let the next run of a target be ready that has said it leaves."""
        await asyncio.sleep(target.states_from_s + STATEMENT_S)
        target.started_ms += 1_000
        is_draining = target.drained_at_s is not None
        await self._register(target, 'draining' if is_draining else 'ready')

    async def _cut_links(self):
        """Cut one host, or all but one, off from all targets for a time."""
        start_s = self._link_rng.uniform(0, FAULT_PERIOD_S)
        duration_s = self._link_rng.uniform(1, 5)
        count = self._link_rng.choice((1, HOSTS - 1))
        mode = self._link_rng.choice(LINK_FAULTS)
        sources = [host.source_ip for host in self._hosts]
        cut = self._link_rng.sample(sources, count)
        await asyncio.sleep(start_s)
        self._record_fault_time()
        proxies = [target.proxy for target in self._targets]
        self.disturbed_s_by_source |= dict.fromkeys(cut, math.inf)
        for proxy, source_ip in itertools.product(proxies, cut):
            proxy.cut_link(source_ip, mode)
        await asyncio.sleep(duration_s)
        for proxy, source_ip in itertools.product(proxies, cut):
            proxy.heal_link(source_ip)
        self._record_fault_time()
        self.disturbed_s_by_source |= dict.fromkeys(cut, self.last_fault_at_s)

    @contextlib.contextmanager
    def _disturbing(self, proxy):
        """Excuse hosts that miss what a target tells them."""
        proxy.disturbed_s = math.inf
        yield
        proxy.disturbed_s = asyncio.get_running_loop().time()

    def _random_proxy(self):
        targets = [target.proxy for target in self._targets]
        return self.rng.choice(targets + self._store_proxies)

    async def _drain(self, duration_s):
        target = self.rng.choice(self._targets)
        if target.drained_at_s is not None:
            return
        await self._register(target, 'draining')
        target.drained_at_s = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_S + duration_s)
        target.drained_at_s = None
        await self._register(target, 'ready')

    async def _call_repeatedly(self, session):
        while True:
            await self._call(session, self.rng.choice(self._hosts))
            await asyncio.sleep(self.rng.uniform(0, 0.1))

    async def _call(self, session, host, path=''):
        self._call_count += 1
        attempt_id = f'a{self._call_count}'
        kind = self.rng.choice(('/lookup/1', '/order/1', '/chat/'))
        drawn = kind + str(self.rng.randint(2, 20)) * kind.endswith('t/')
        path = path or drawn
        headers = {
            'Host': kit.HOST_NAME,
            'Api-Key': kit.KEY,
            kit.ATTEMPT: attempt_id,
            'Bergamotstream-Deadline-Ms': '5000',
            'Bergamotstream-Token-Counts': '1000,500',
        }
        status, stamped, whole = 0, False, False
        body = bytearray()
        with contextlib.suppress(aiohttp.ClientError, OSError):
            # Drawn for each call, so that other draws of a seed stay the same.
            method = random.Random(attempt_id).choice(METHODS)
            async with session.request(
                method, f'http://{host.caller}{path}', headers=headers
            ) as response:
                status, stamped = response.status, kit.STAMP in response.headers
                async for chunk in response.content.iter_any():
                    body += chunk
                whole = True
        self.attempts.append(
            Attempt(attempt_id, path, status, bytes(body), stamped, whole)
        )
        return status == 200 and whole

    async def _check_recovery(self, session):
        """Require that all requests are served again in time."""
        for host in self._hosts:
            if not host.is_running():
                host.start()
        await asyncio.sleep(1)

        async def served():
            calls = [
                self._call(session, host, path)
                for host in self._hosts
                for path in ('', '', '', '', GROWN_PATH)
            ]
            return all(await asyncio.gather(*calls))

        try:
            await hostprocesskit.wait_until(served, RECOVERY_S)
        except TimeoutError:
            self.violations.append('not all requests are served again')

    async def _check_shutdown(self):
        for host in self._hosts:
            host.signal(signal.SIGTERM)
        await asyncio.gather(*(self._check_exit(host) for host in self._hosts))
        for host in self._hosts:
            log = host.log.read_text()
            if 'Traceback' in log or 'task_failed' in log:
                self.violations.append(f'{host.name} logs a fault')

    async def _check_exit(self, host):
        try:
            code = await asyncio.to_thread(host.process.wait, GRACE_S)
        except subprocess.TimeoutExpired:
            host.signal(signal.SIGABRT)
            self.violations.append(f'{host.name} does not end')
            await asyncio.to_thread(host.process.wait, 1)
            return
        if code:
            self.violations.append(f'{host.name} ends with {code}')

    def _check_attempts(self):
        for attempt in self.attempts:
            for violation in _violations(
                attempt, self.runs_by_attempt[attempt.attempt_id]
            ):
                self.violations.append(f'{violation}: {attempt}')


FAULT_KINDS = {
    'kill': Soak._kill,
    'terminate': Soak._terminate,
    'pause': Soak._pause,
    'reload': Soak._reload,
    'store': Soak._fail_store,
    'history': Soak._forget_history,
    'path': Soak._fail_path,
    'reset': Soak._reset_connections,
    'mute': Soak._mute_connections,
    'drain': Soak._drain,
}


def _violations(attempt, runs):
    """Yield what an answer violates, given how often its request ran."""
    once = attempt.path.startswith('/order/')
    if once and runs > 1:
        yield 'runs twice'
    if runs and attempt.status in NOT_RUN_STATUSES:
        yield 'said not to have run'
    # A route that was added last is unknown until the change is in force.
    if attempt.status in {401, 403, 404} and attempt.path != GROWN_PATH:
        yield 'denied'
    if attempt.status != 200:
        return
    if not attempt.stamped:
        yield 'success without a stamp'
    if not attempt.path.startswith('/chat/'):
        if attempt.whole and attempt.body != attempt.attempt_id.encode():
            yield 'answer of another request'
        return
    events = int(attempt.path.rpartition('/')[2])
    expected = b''.join(kit.event(number + 1) for number in range(events))
    if attempt.whole and attempt.body != expected:
        yield 'stream is not whole'
    if not expected.startswith(attempt.body):
        yield 'events out of order'


def run_seed(seed, folder):
    """Return the violated guarantees of one seed."""
    return asyncio.run(Soak(seed, folder).run())


def main(*, first: int = 1, seeds: int = 5, jobs: int = 1) -> None:
    """Run seeds; exit with 1 if a guarantee is violated.

    :param first: First seed.
    :param seeds: Number of seeds.
    :param jobs: Number of seeds that run at the same time.
    """
    if seeds == 1:
        folder = tempfile.mkdtemp(prefix=f'soak-{first}-')
        violations = run_seed(first, folder)
        print(f'seed {first}: {violations or "kept"} (logs in {folder})')
        sys.exit(bool(violations))
    waiting = list(range(first, first + seeds))
    running = []
    broken = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            command = [sys.executable, '-m', 'tests.soak']
            command += ['--first', str(waiting.pop(0)), '--seeds', '1']
            running.append(subprocess.Popen(command))
        broken += running.pop(0).wait() != 0
    print(f'{seeds} seeds, {broken} broken')
    sys.exit(bool(broken))


if __name__ == '__main__':
    defopt.run(main)
