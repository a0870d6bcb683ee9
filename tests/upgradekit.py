"""
Upgrade kit
~~~~~~~~~~~

Replaces hosts of a named commit by hosts of the checkout one by one, and back,
under load, and checks what callers and targets observe:

    python -m tests.upgradekit --commit fd8a66b --seed 1
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from typing import NamedTuple

import aiohttp
import defopt

from standins import platformstore, serving
from tests import hostprocesskit, test_namedlimits
from tests import platformkit as kit

ROOT = hostprocesskit.ROOT
HOSTS = 4
TARGETS = 4
FRAGILE_TARGETS = 8
LIMITED_TARGETS = 3
NAMED_LIMIT = 2.0
LIMITED_PERIOD_S = 0.08
CALLERS = 8
MAX_ATTEMPTS = 8
# No answer within this time counts as held by its host.
HELD_S = 10.0
PAUSE_S = 0.02
EVENTS = 20
EVENT_GAP_S = 0.03
# Requests that a sound target refuses without running them.
REFUSED_SHARE = 0.03
TIMEOUT_MS = 3_000
# Callers ask the directory again after this time; every other one keeps its
# connection to a host until the process is gone.
RESOLVE_S = 2.0
# A process ends within its grace period.
STOP_LIMIT_S = 12.0
READY_LIMIT_S = 20.0
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
CRASHES = 3
MAX_LATER_SENDS = 3
CRASH_PERIOD_S = 1.0
RESTART_S = 1.5
CUT_S = 2.5
# The body of requests that show which configuration is in force.
CONFIGURATION_BODY = b'configuration'
HEAL_S = 2.0
# Time in which a request that a host has sent reaches a target of this process.
ARRIVAL_S = 0.5
# In place of the status of an answer that does not end.
HELD = -1
PATHS = {
    'lookup': '/lookup/',
    'order': '/order/',
    'stream': '/chat/',
    'limited': '/limited/',
}
# Kinds that may run once for each attempt of a caller.
ONCE = ('order', 'stream')
WHOLE_STREAM = b''.join(kit.event(number + 1) for number in range(EVENTS))


def has_commit(commit):
    """Tell whether the history holds a commit."""
    found = subprocess.run(
        ['git', 'cat-file', '-e', f'{commit}^{{commit}}'],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    return found.returncode == 0


@contextlib.contextmanager
def work_tree(commit, folder):
    """Yield a work tree of a commit, which is removed afterwards."""
    tree = pathlib.Path(folder) / f'tree-{commit}'
    git = ('git', '-C', str(ROOT), 'worktree')
    subprocess.run(
        [*git, 'add', '--quiet', '--detach', str(tree), commit], check=True
    )
    try:
        yield tree
    finally:
        subprocess.run([*git, 'remove', '--force', str(tree)], check=True)


def check_import(root):
    """Raise ``AssertionError`` unless hosts at ``root`` run its own code."""
    found = subprocess.run(
        [
            sys.executable,
            '-c',
            'from bergamotstream import forwarding; print(forwarding.__file__)',
        ],
        cwd=root,
        env={'PYTHONPATH': str(root)},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    assert pathlib.Path(found.stdout).is_relative_to(root), found.stdout


def configuration(version, *, changed):
    """Return the configuration before or after the change midway."""
    plain = {'timeout_ms': TIMEOUT_MS, 'goal_ms': 500}
    routes = [
        kit.route('lookup', '/lookup/', 'idempotent', **plain),
        kit.route('order', '/order/', 'non_idempotent', **plain, attempts=1),
        kit.route(
            'chat',
            '/chat/',
            'streaming',
            **plain,
            service='model',
            resumable=True,
            gap_target_ms=500,
        ),
        kit.route(
            'limited', '/limited/', 'idempotent', **plain, service='limited'
        ),
        kit.route('crash', '/crash/', 'idempotent', **plain, service='fragile'),
    ]
    edge = 'added' if changed else 'dropped'
    routes.append(kit.route(edge, f'/{edge}/', 'idempotent', **plain))
    defaults = json.loads(kit.configuration_document())
    services = list(defaults['services'])
    for name in ('limited', 'fragile'):
        services.append({'name': name, 'health_path': '/h', 'max_conns': 50})
    return kit.configuration_document(version, routes=routes, services=services)


class Arrival(NamedTuple):
    """A request that reached a target."""

    at_s: float
    target: str
    attempt_id: str
    body: bytes


class Targets:
    """All targets, and what reached them."""

    def __init__(self, store, rng):
        self.arrivals = []
        self.refused = 0
        self.cut_ip = ''
        self._store = store
        self._rng = rng
        self._targets = {}
        self._busy = set()
        self._born = 1_000
        self._restarting = set()

    async def start(self):
        """Start and register the targets."""
        groups = (
            ('plain', TARGETS),
            ('model', TARGETS),
            ('limited', LIMITED_TARGETS),
            ('fragile', FRAGILE_TARGETS),
        )
        for service, count in groups:
            for number in range(count):
                await self._start_one(service, f'{service}-{number}')

    async def stop(self):
        """Stop the targets."""
        for task in self._restarting:
            task.cancel()
        for target in self._targets.values():
            await target.stop()

    def ports(self):
        """Return the ports of all targets."""
        return [
            target.address.rpartition(':')[2]
            for target in self._targets.values()
        ]

    def close_idle(self):
        """Close the connections of the cut host that serve no request."""
        for target in self._targets.values():
            for writer in target._writers:
                if writer not in self._busy:
                    self._close_if_cut(writer)

    def of_attempt(self, attempt_id):
        """Return what a caller's attempt brought to targets."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.attempt_id == attempt_id
        ]

    def _close_if_cut(self, writer):
        peer = writer.get_extra_info('peername')
        if self.cut_ip and peer and peer[0] == self.cut_ip:
            writer.close()

    async def _start_one(self, service, name):
        async def respond(request, writer):
            self._busy.add(writer)
            try:
                await self._respond(service, name, request, writer)
            finally:
                self._busy.discard(writer)
            self._close_if_cut(writer)

        target = kit.RawTarget(respond)
        await target.start()
        self._targets[name] = target
        self._born += 1_000
        document = kit.target_document(
            target.address, service=service, slots=16, born=self._born
        )
        await self._store.put(f'servers/{name}', document)

    async def _respond(self, service, name, request, writer):
        may_refuse = (
            service in {'plain', 'model'} and request.body != CONFIGURATION_BODY
        )
        if may_refuse and self._rng.random() < REFUSED_SHARE:
            self.refused += 1
            writer.write(
                kit.answer(
                    request,
                    status='503 Service Unavailable',
                    extra=f'{kit.NOT_RUN}: 1\r\n',
                )
            )
            return
        if kit.ATTEMPT in request.headers:
            self.arrivals.append(
                Arrival(
                    _now_s(), name, request.headers[kit.ATTEMPT], request.body
                )
            )
        path = request.request_line.split()[1]
        if request.body == b'crash':
            self._crash(service, name)
        elif path.startswith('/chat/'):
            await _respond_stream(request, writer)
        else:
            await asyncio.sleep(0.05)
            is_limited = name == 'limited-0'
            limit = f'Server-Limit: {NAMED_LIMIT}\r\n' if is_limited else ''
            writer.write(kit.answer(request, request.body, extra=limit))
            await writer.drain()

    def _crash(self, service, name):
        target = self._targets.pop(name)
        target._server.close()
        for writer in target._writers:
            writer.transport.abort()
        task = asyncio.ensure_future(self._restart(service, name))
        self._restarting.add(task)
        task.add_done_callback(self._restarting.discard)

    async def _restart(self, service, name):
        await self._store.delete(f'servers/{name}')
        await asyncio.sleep(RESTART_S)
        await self._start_one(service, name)


async def _respond_stream(request, writer):
    writer.write(kit.stream_head(request))
    first = int(request.headers.get('Last-Event-Id', 0)) + 1
    for number in range(first, EVENTS + 1):
        writer.write(kit.chunk(kit.event(number)))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


def _now_s():
    return asyncio.get_running_loop().time()


class Answer(NamedTuple):
    """What a caller got; status 0 for a connection that ended without."""

    status: int
    body: bytes
    is_whole: bool
    retry_after_s: float = 0


class Callers:
    """Sound requests of callers, retried as callers do, and their ends."""

    def __init__(self, hosts, targets, rng):
        self.figures = collections.Counter()
        self.violations = []
        self.is_cutting = False
        self._hosts = hosts
        self._targets = targets
        self._rng = rng
        self._serial = 0
        self._attempts_by_order = {}

    async def run(self, number, ended):
        """Send requests on one connection at a time until ``ended``."""
        address, resolved_s = await self.resolve(), _now_s()
        is_sticky = bool(number % 2)
        while not ended.is_set():
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1)
            ) as session:
                is_kept = True
                while is_kept and not ended.is_set():
                    kind = self._rng.choice(('lookup', 'order', 'stream'))
                    is_kept = await self.request(kind, address, session)
                    await asyncio.sleep(PAUSE_S)
                    if not is_sticky and _now_s() > resolved_s + RESOLVE_S:
                        is_kept = False
            address, resolved_s = await self.resolve(), _now_s()

    async def run_limited(self, ended):
        """Send requests to the service with a named limit at a fixed rate."""
        async with (
            aiohttp.ClientSession() as shared,
            asyncio.TaskGroup() as calls,
        ):
            while not ended.is_set():
                address = await self.resolve()
                calls.create_task(self.request('limited', address, shared))
                await asyncio.sleep(LIMITED_PERIOD_S)

    async def resolve(self):
        """Return a host's address that a directory names."""
        for _ in range(100):
            host = self._rng.choice(self._hosts)
            if host.is_running():
                named = await host.resolved_addresses()
                if named:
                    return self._rng.choice(named)
            await asyncio.sleep(0.05)
        raise AssertionError('no directory answers')

    async def request(self, kind, address, session):
        """Send one request until it is served; True if the first try was."""
        self._serial += 1
        body = f'{kind} {self._serial}'.encode()
        self.figures[f'{kind} sent'] += 1
        attempts = []
        if kind == 'order':
            self._attempts_by_order[body] = attempts
        for number in range(MAX_ATTEMPTS):
            attempt_id = f'{self._serial}.{number}'
            attempts.append(attempt_id)
            answer = await _call(
                session, address, PATHS[kind], attempt_id, body
            )
            if await self._is_final(kind, attempt_id, body, answer):
                return not number
            await asyncio.sleep(min(answer.retry_after_s, 1) or 0.1)
            address = await self.resolve()
        self.violations.append(f'{body}: not served in {MAX_ATTEMPTS} attempts')
        return False

    async def _is_final(self, kind, attempt_id, body, answer):
        """Record how an attempt ended; False if the caller tries again."""
        label = f'{attempt_id} {kind}'
        if answer.status == 200:
            expected = WHOLE_STREAM if kind == 'stream' else body
            if answer.body == expected and answer.is_whole:
                self.figures[f'{kind} served'] += 1
            else:
                self.violations.append(
                    f'{label}: cut, {len(answer.body)} bytes'
                )
            return True
        if answer.status == 503:
            self.figures['refused and tried again'] += 1
            await asyncio.sleep(ARRIVAL_S)
            if kind in ONCE and self._targets.of_attempt(attempt_id):
                self.violations.append(f'{label}: refused though it has run')
            return False
        await asyncio.sleep(ARRIVAL_S)
        has_run = bool(self._targets.of_attempt(attempt_id))
        if answer.status == 0 and not has_run:
            self.figures['closed unsent and tried again'] += 1
            return False
        if answer.status == 502 and self.is_cutting and not has_run:
            self.figures['unclear in a cut, not run, tried again'] += 1
            return False
        self.violations.append(
            f'{label}: status {answer.status}, ran {has_run}'
        )
        return True

    def check_orders(self):
        """Check that each order ran once."""
        runs = collections.Counter(
            arrival.body for arrival in self._targets.arrivals
        )
        for body in self._attempts_by_order:
            if runs[body] != 1:
                self.violations.append(f'{body}: ran {runs[body]} times')


async def _call(session, address, path, attempt_id, body):
    headers = {
        'Host': kit.HOST_NAME,
        'Api-Key': kit.KEY,
        kit.ATTEMPT: attempt_id,
        'Bergamotstream-Deadline-Ms': str(TIMEOUT_MS),
        'Bergamotstream-Token-Counts': '1000,500',
    }
    received = bytearray()
    status, retry_after_s = 0, 0.0
    try:
        async with session.post(
            f'http://{address}{path}{attempt_id}',
            data=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=HELD_S),
        ) as response:
            status = response.status
            retry_after_s = float(response.headers.get('Retry-After', 0))
            async for chunk in response.content.iter_any():
                received += chunk
    except TimeoutError:
        return Answer(HELD, bytes(received), False)
    except (aiohttp.ClientError, ConnectionError):
        return Answer(status, bytes(received), False)
    return Answer(status, bytes(received), True, retry_after_s)


class Plan(NamedTuple):
    """What a play does."""

    hosts: int = HOSTS
    both_directions: bool = True
    # Whether hosts of the other build serve requests of cut ones.
    cuts_old: bool = True
    cuts: bool = True
    crashes: bool = True


class Play:
    """One play of old and new builds side by side."""

    def __init__(self, old_root, folder, seed, plan):
        self._folder = pathlib.Path(folder)
        self._rng = random.Random(seed)
        self._plan = plan
        self._roots = {'old': old_root, 'new': ROOT}
        self._hosts = []
        self._builds = {}
        self._stopping = set()
        self._changed_s = None
        self._store = platformstore.PlatformStore(
            serving.parse_address(kit.address())
        )
        self._targets = Targets(self._store, self._rng)
        self._ended = asyncio.Event()
        self._callers = None

    async def run(self):
        """Play; return the figures and the violations."""
        for root in self._roots.values():
            check_import(root)
        await self._store.start()
        await self._store.put('op/config', configuration(1, changed=False))
        store_address = '{0}:{1}'.format(*self._store._listener._address)
        self._hosts += [
            hostprocesskit.HostProcess(
                self._folder, f'h{n}', store_address, f'127.0.1.{n + 1}'
            )
            for n in range(self._plan.hosts)
        ]
        self._callers = Callers(self._hosts, self._targets, self._rng)
        try:
            await self._targets.start()
            async with asyncio.TaskGroup() as starting:
                for host in self._hosts:
                    starting.create_task(self._start_host(host, 'old'))
            await self._run_under_load()
        finally:
            self._end_processes()
            await self._targets.stop()
            await self._store.stop()
        self._check()
        return self._callers.figures, self._callers.violations

    async def _run_under_load(self):
        async with asyncio.TaskGroup() as load:
            for number in range(CALLERS):
                load.create_task(self._callers.run(number, self._ended))
            load.create_task(self._callers.run_limited(self._ended))
            load.create_task(self._check_configuration())
            if self._plan.crashes:
                load.create_task(self._send_crashing())
            try:
                await asyncio.sleep(1)
                await self._replace_all('new')
                if self._plan.both_directions:
                    await self._replace_all('old')
                await asyncio.sleep(1)
            finally:
                self._ended.set()

    async def _replace_all(self, build):
        order = self._rng.sample(self._hosts, len(self._hosts))
        for number, host in enumerate(order, 1):
            await self._replace(host, build)
            if number != len(order) // 2:
                continue
            if self._changed_s is None:
                await self._store.put(
                    'op/config', configuration(2, changed=True)
                )
                self._changed_s = _now_s()
            if self._plan.cuts:
                await self._cut_one('new')
                if self._plan.cuts_old:
                    await self._cut_one('old')

    async def _replace(self, host, build):
        self._stopping.add(host.name)
        started_s = _now_s()
        host.signal(signal.SIGTERM)
        while host.is_running():
            await asyncio.sleep(0.05)
            if _now_s() > started_s + STOP_LIMIT_S:
                self._callers.violations.append(f'{host.name} does not end')
                host.process.kill()
                host.process.wait()
        if host.process.returncode:
            self._callers.violations.append(
                f'{host.name} ended with {host.process.returncode}'
            )
        await self._start_host(host, build)
        self._stopping.discard(host.name)
        self._callers.figures[f'replaced by {build}'] += 1

    async def _start_host(self, host, build):
        host.start(self._roots[build])
        self._builds[host.name] = build
        async with asyncio.timeout(READY_LIMIT_S):
            while not await _is_ready(host):
                await asyncio.sleep(0.05)

    async def _cut_one(self, build):
        """Cut the links of a host and send it requests that peers serve."""
        cut = next(
            host for host in self._hosts if self._builds[host.name] == build
        )
        log_size = cut.log.stat().st_size
        self._callers.is_cutting = True
        cut.cut_file.write_text(' '.join(self._targets.ports()))
        self._targets.cut_ip = cut.source_ip
        self._targets.close_idle()
        end_s = _now_s() + CUT_S
        async with (
            aiohttp.ClientSession() as shared,
            asyncio.TaskGroup() as calls,
        ):
            while _now_s() < end_s:
                for kind in ('lookup', 'order', 'stream'):
                    calls.create_task(
                        self._callers.request(kind, cut.caller, shared)
                    )
                await asyncio.sleep(0.1)
        cut.cut_file.unlink()
        self._targets.cut_ip = ''
        await asyncio.sleep(HEAL_S)
        self._callers.is_cutting = False
        self._count_relays(build, cut.log.read_bytes()[log_size:].decode())

    def _count_relays(self, build, text):
        for line in text.splitlines():
            if 'event=relayed ' in line:
                peer = line.partition(' peer=')[2].split()[0]
                self._callers.figures[
                    f'relays {build} to {self._builds[peer]}'
                ] += 1
            elif 'event=relay_failed ' in line:
                self._callers.figures[f'relays failed at {build}'] += 1

    async def _check_configuration(self):
        while not self._ended.is_set():
            await asyncio.sleep(0.5)
            due = self._changed_s is not None and (
                _now_s() > self._changed_s + CONFIG_APPLY_S
            )
            for host in self._hosts if due else ():
                if host.name not in self._stopping:
                    await self._check_configuration_at(host)

    async def _check_configuration_at(self, host):
        async with aiohttp.ClientSession() as session:
            added = await _call(
                session, host.caller, '/added/', 'c', CONFIGURATION_BODY
            )
            dropped = await _call(
                session, host.caller, '/dropped/', 'c', CONFIGURATION_BODY
            )
        self._callers.figures['configuration checks'] += 1
        allowed = ({200}, {404})
        if host.name in self._stopping:
            allowed = ({200, 503, 0}, {404, 503, 0})
        if added.status not in allowed[0] or dropped.status not in allowed[1]:
            self._callers.violations.append(
                f'{host.name} {self._builds[host.name]} configuration:'
                f' added {added.status}, dropped {dropped.status}'
            )

    async def _send_crashing(self):
        async with aiohttp.ClientSession() as session:
            while not self._ended.is_set():
                address = await self._callers.resolve()
                answer = await _call(
                    session, address, '/crash/', 'crash', b'crash'
                )
                self._callers.figures[f'crashing: {answer.status}'] += 1
                await asyncio.sleep(CRASH_PERIOD_S)

    def _check(self):
        self._callers.figures['refused by targets'] = self._targets.refused
        self._callers.check_orders()
        arrivals = self._targets.arrivals
        crashed_s = [one.at_s for one in arrivals if one.body == b'crash']
        late = [
            at_s
            for at_s in crashed_s[CRASHES:]
            if at_s > crashed_s[CRASHES - 1] + CONTACT_S
        ]
        self._callers.figures['targets crashed'] = len(crashed_s)
        self._callers.figures['targets crashed late'] = len(late)
        if len(late) > MAX_LATER_SENDS:
            self._callers.violations.append(f'{len(late)} late crashes')
        limited_s = [one.at_s for one in arrivals if one.target == 'limited-0']
        most = test_namedlimits.most_in_window(
            limited_s, limited_s[0] + CONTACT_S
        )
        allowed = (
            test_namedlimits.ALLOWED_RATIO
            * NAMED_LIMIT
            * test_namedlimits.WINDOW_S
            + test_namedlimits.ALLOWED_SLACK
        )
        self._callers.figures['most in a window of the named limit'] = most
        if most > allowed:
            self._callers.violations.append(
                f'named limit: {most} in a window, allowed {allowed}'
            )

    def _end_processes(self):
        for host in self._hosts:
            if host.is_running():
                host.process.kill()
                host.process.wait()


async def _is_ready(host):
    if not host.is_running():
        raise AssertionError(f'{host.name} ended: {host.log.read_text()}')
    try:
        async with aiohttp.ClientSession() as session:
            async with session.get(f'http://{host.readiness}/ready') as answer:
                return answer.status == 200
    except aiohttp.ClientError:
        return False


def play(commit, folder, seed, plan):
    """Return figures and violations of one play with a commit."""

    async def run(tree):
        return await Play(tree, folder, seed, plan).run()

    with work_tree(commit, folder) as tree:
        return asyncio.run(run(tree))


def main(
    *,
    commit: str,
    seed: int = 1,
    old_cuts: bool = True,
) -> None:
    """Play one seed in both directions; exit with 1 if something is violated.

    :param commit: Older build, played beside the checkout.
    :param seed: Decides orders of replacement and requests.
    :param old_cuts: Also cut hosts of the older build, if that relays.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit('stopped'))
    folder = tempfile.mkdtemp(prefix=f'upgrade-{commit}-{seed}-')
    plan = Plan(cuts_old=old_cuts)
    figures, violations = play(commit, folder, seed, plan)
    for name, count in sorted(figures.items()):
        print(f'{name}: {count}')
    for violation in violations:
        print(f'VIOLATED: {violation}')
    print(f'{commit} seed {seed}: {len(violations)} violations ({folder})')
    sys.exit(bool(violations))


if __name__ == '__main__':
    defopt.run(main)
