"""
Fault soak
~~~~~~~~~~

Runs real hosts as processes against the stand-ins, behind loopback proxies,
and injects faults by seed: signals, broken and silent connections, a store
that misbehaves, targets that leave. It checks the promises from what callers
and targets see:

    python -m tests.soak --first 1 --seeds 50 --jobs 4
"""

import asyncio
import collections
import contextlib
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
FAULTY_S = 9.0
# The users' bound for recovery is 12 s; after it a quarter must be served. The
# stand-ins have no load, so that all must be.
RECOVERY_S = 12.0
GRACE_S = 8.0
CALLERS = 12
# Time after which a leaving target gets nothing, and while a host or the store
# that was disturbed is not held to it: drain_ms and contact_ms.
DRAIN_S = 2.0
CONTACT_S = 3.0
EVENT_PAUSE_S = 0.03


class Attempt(NamedTuple):
    """What a caller has seen of one request."""

    attempt_id: str
    path: str
    status: int
    body: bytes
    stamped: bool
    whole: bool


class Proxy:
    """Passes bytes between hosts and one address, with faults."""

    def __init__(self, address):
        self.address = ''
        self.mode = ''
        self._target = address
        self._open = set()
        self._muted = set()
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

    def reset(self):
        """Reset all open connections."""
        for writer in self._open:
            kit.reset(writer)

    def mute(self):
        """Pass nothing more on the connections that are open now."""
        self._muted |= self._open

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        ip, _, port = self._target.rpartition(':')
        with contextlib.ExitStack() as stack:
            stack.callback(writer.close)
            # The server reports a cancelled task as a fault.
            stack.enter_context(
                contextlib.suppress(OSError, asyncio.CancelledError)
            )
            if self.mode == 'reset':
                kit.reset(writer)
                return
            inner_reader, inner_writer = await asyncio.open_connection(ip, port)
            stack.callback(inner_writer.close)
            self._open.add(writer)
            stack.callback(self._open.discard, writer)
            await asyncio.wait(
                (
                    asyncio.ensure_future(
                        self._pass(reader, inner_writer, writer, '')
                    ),
                    asyncio.ensure_future(
                        self._pass(inner_reader, writer, writer, 'answers')
                    ),
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _pass(self, reader, writer, connection, direction):
        with contextlib.suppress(OSError):
            while passed := await reader.read(65_536):
                if self.mode == 'delay':
                    await asyncio.sleep(0.2)
                while connection in self._muted or (
                    direction and self.mode == 'one_way'
                ):
                    await asyncio.sleep(0.05)
                writer.write(passed)
                await writer.drain()


class Target:
    """Answers with the id of the attempt; streams as many events as asked."""

    def __init__(self, soak, name, service):
        self.name = name
        self.service = service
        self.proxy = None
        self.left_at_s = None
        self._soak = soak
        self._raw = kit.RawTarget(self._behave)

    async def start(self):
        await self._raw.start()
        self.proxy = Proxy(self._raw.address)
        await self.proxy.start()

    async def stop(self):
        await self.proxy.stop()
        await self._raw.stop()

    async def _behave(self, request, writer):
        now_s = asyncio.get_running_loop().time()
        attempt_id = request.headers.get(kit.ATTEMPT, '')
        expected = request.headers.get('Bergamotstream-Expect-Instance')
        if expected != self.name:
            writer.write(kit.answer(request, b'', '421 Other'))
            return
        self._soak.check_drain(self, attempt_id, now_s)
        self._soak.runs_by_attempt[attempt_id] += 1
        path = request.head.split()[1]
        if not path.startswith('/chat/'):
            await asyncio.sleep(self._soak.chance.uniform(0.005, 0.06))
            writer.write(kit.answer(request, attempt_id.encode()))
            return
        writer.write(kit.stream_head(request))
        first = int(request.headers.get('Last-Event-Id') or 0) + 1
        for number in range(first, int(path.rpartition('/')[2]) + 1):
            writer.write(kit.chunk(kit.event(number)))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b'0\r\n\r\n')


class Soak:
    """One seeded run."""

    def __init__(self, seed, folder):
        self.chance = random.Random(seed)
        self.runs_by_attempt = collections.Counter()
        self.violations = []
        self.attempts = []
        self._folder = pathlib.Path(folder)
        self._system = kit.System()
        self._hosts = []
        self._targets = []
        self._store_proxies = []
        self._disturbed_s = 0
        self._numbers = 0

    async def run(self):
        """Return the violated promises."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._stop)
            await self._start()
            async with aiohttp.ClientSession() as session:
                calling = [
                    asyncio.ensure_future(self._call_on(session))
                    for _ in range(CALLERS)
                ]
                await self._inject()
                for call in calling:
                    call.cancel()
                await asyncio.gather(*calling, return_exceptions=True)
                await self._check_recovery(session)
            await self._check_ends()
        self._check_attempts()
        return self.violations

    def check_drain(self, target, attempt_id, now_s):
        """Note a request that reaches a target after it has left."""
        if target.left_at_s is None:
            return
        disturbed_s = max(self._disturbed_s + CONTACT_S, target.left_at_s)
        if now_s > disturbed_s + DRAIN_S + 0.5:
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
                self._folder, f'h{number}', proxy.address
            )
            self._hosts.append(host)
            host.start()
        for number in range(PLAIN_TARGETS + MODEL_TARGETS):
            service = 'plain' if number < PLAIN_TARGETS else 'model'
            target = Target(self, f't{number}', service)
            await target.start()
            self._targets.append(target)
            await self._list(target, 'ready')
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

    async def _list(self, target, state):
        document = kit.target_document(
            target.proxy.address, service=target.service, state=state
        )
        await self._system.store.put(f'servers/{target.name}', document)

    async def _inject(self):
        """Begin faults at random times; they overlap."""
        async with asyncio.TaskGroup() as group:
            for _ in range(FAULTS):
                kind = self.chance.choice(list(FAULT_KINDS))
                begin_s = self.chance.uniform(0, FAULTY_S)
                lasts_s = self.chance.uniform(0.2, 2.5)
                group.create_task(self._fault(kind, begin_s, lasts_s))

    async def _fault(self, kind, begin_s, lasts_s):
        await asyncio.sleep(begin_s)
        self._disturb()
        await FAULT_KINDS[kind](self, lasts_s)
        self._disturb()

    def _disturb(self):
        self._disturbed_s = asyncio.get_running_loop().time()

    async def _kill(self, lasts_s):
        await self._end_host(signal.SIGKILL, lasts_s)

    async def _terminate(self, lasts_s):
        await self._end_host(signal.SIGTERM, lasts_s)

    async def _end_host(self, number, lasts_s):
        host = self.chance.choice(self._hosts)
        if not host.is_running():
            return
        process = host.process
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        try:
            code = await asyncio.to_thread(process.wait, GRACE_S)
        except subprocess.TimeoutExpired:
            self.violations.append(f'{host.name} does not end')
            process.kill()
            code = await asyncio.to_thread(process.wait)
        # A process that is only starting has no handler yet.
        if -code not in {0, signal.SIGKILL, signal.SIGTERM}:
            self.violations.append(f'{host.name} ends with {code}')
        await asyncio.sleep(lasts_s / 4)
        if not host.is_running():
            host.start()

    async def _pause(self, lasts_s):
        host = self.chance.choice(self._hosts)
        if host.is_running():
            process = host.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(lasts_s)
            process.send_signal(signal.SIGCONT)

    async def _reload(self, lasts_s):
        host = self.chance.choice(self._hosts)
        if host.is_running() and (await host.resolved_addresses()):
            host.signal(signal.SIGHUP)

    async def _disturb_store(self, lasts_s):
        store = self._system.store
        store.fault = self.chance.choice(('busy', 'reset', 'silent', 'lost'))
        await asyncio.sleep(lasts_s)
        store.fault = ''

    async def _forget_history(self, lasts_s):
        self._system.store.history_gone = True
        await asyncio.sleep(lasts_s)
        self._system.store.history_gone = False

    async def _disturb_path(self, lasts_s):
        proxy = self._any_proxy()
        proxy.mode = self.chance.choice(('delay', 'reset', 'one_way'))
        await asyncio.sleep(lasts_s)
        proxy.mode = ''

    async def _reset_connections(self, lasts_s):
        self._any_proxy().reset()

    async def _mute_connections(self, lasts_s):
        self._any_proxy().mute()

    def _any_proxy(self):
        targets = [target.proxy for target in self._targets]
        return self.chance.choice(targets + self._store_proxies)

    async def _drain(self, lasts_s):
        target = self.chance.choice(self._targets)
        if target.left_at_s is not None:
            return
        await self._list(target, 'draining')
        target.left_at_s = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_S + lasts_s)
        target.left_at_s = None
        await self._list(target, 'ready')

    async def _call_on(self, session):
        while True:
            await self._call(session, self.chance.choice(self._hosts))
            await asyncio.sleep(self.chance.uniform(0, 0.1))

    async def _call(self, session, host):
        self._numbers += 1
        attempt_id = f'a{self._numbers}'
        kind = self.chance.choice(('/lookup/1', '/order/1', '/chat/'))
        path = kind + str(self.chance.randint(2, 20)) * kind.endswith('t/')
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
            async with session.post(
                f'http://{host.caller}{path}', headers=headers
            ) as got:
                status, stamped = got.status, kit.STAMP in got.headers
                async for part in got.content.iter_any():
                    body += part
                whole = True
        self.attempts.append(
            Attempt(attempt_id, path, status, bytes(body), stamped, whole)
        )
        return status == 200 and whole

    async def _check_recovery(self, session):
        """Require that everything is served again in time."""
        for host in self._hosts:
            if not host.is_running():
                host.start()
        await asyncio.sleep(1)

        async def served():
            calls = [
                self._call(session, host)
                for host in self._hosts
                for _ in '1234'
            ]
            return all(await asyncio.gather(*calls))

        try:
            await hostprocesskit.wait_until(served, RECOVERY_S)
        except TimeoutError:
            self.violations.append('not all requests are served again')

    async def _check_ends(self):
        for host in self._hosts:
            host.signal(signal.SIGTERM)
        await asyncio.gather(*(self._check_end(host) for host in self._hosts))
        for host in self._hosts:
            log = host.log.read_text()
            if 'Traceback' in log or 'task_failed' in log:
                self.violations.append(f'{host.name} logs a fault')

    async def _check_end(self, host):
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
            for promise in _broken_promises(
                attempt, self.runs_by_attempt[attempt.attempt_id]
            ):
                self.violations.append(f'{promise}: {attempt}')


FAULT_KINDS = {
    'kill': Soak._kill,
    'terminate': Soak._terminate,
    'pause': Soak._pause,
    'reload': Soak._reload,
    'store': Soak._disturb_store,
    'history': Soak._forget_history,
    'path': Soak._disturb_path,
    'reset': Soak._reset_connections,
    'mute': Soak._mute_connections,
    'drain': Soak._drain,
}


def _broken_promises(attempt, runs):
    """Yield what an answer breaks, given how often its request ran."""
    once = attempt.path.startswith('/order/')
    if once and runs > 1:
        yield 'runs twice'
    if once and runs and attempt.status in {408, 421, 429, 503}:
        yield 'said not to have run'
    if attempt.status in {401, 403, 404}:
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
    """Return the violated promises of one seed."""
    return asyncio.run(Soak(seed, folder).run())


def main(*, first: int = 1, seeds: int = 5, jobs: int = 1) -> None:
    """Run seeds; exit with 1 if a promise is broken.

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
