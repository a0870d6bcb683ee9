"""Targets in need that name the request rate which they take from all hosts."""

import asyncio

import multidict
import pytest

from bergamotstream import errors
from bergamotstream.forwarding import namedlimits
from bergamotstream.platform import documents
from tests import crashkit
from tests import platformkit as kit

# The operators' bound: from CONTACT_S after a target named its limit, it gets in
# WINDOW_S at most this multiple of what the limit allows and a fixed number.
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_SLACK = 5
# Hosts count from this time after they were told the limit.
TOLD_MS = 500
LOAD_PER_S = 25
LOAD_S = 10.0


class LimitedTarget:
    """Names its limit in all answers, and notes when requests arrive."""

    def __init__(self, limit):
        self.arrived_s = []
        self._limit = limit

    async def respond(self, request, writer):
        self.arrived_s.append(asyncio.get_running_loop().time())
        limit = f'Server-Limit: {self._limit}\r\n' if self._limit else ''
        path = request.request_line.split()[1]
        if path.startswith('/chat/'):
            extra = f'{limit}Transfer-Encoding: chunked\r\n'
            events = kit.chunk(kit.event(1)) + b'0\r\n\r\n'
            writer.write(kit.stream_head(request, extra) + events)
        else:
            await asyncio.sleep(0.05)
            writer.write(kit.answer(request, extra=limit))


def most_in_window(arrived_s, from_s):
    """Return the most requests in a window that begins at or after a time."""
    counted = [at_s for at_s in arrived_s if at_s >= from_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in counted)
            for start_s in counted
        ),
        default=0,
    )


async def call_steadily(system, path):
    """Call all hosts in turn; return the statuses."""
    async with asyncio.TaskGroup() as group:
        calls = []
        for number in range(int(LOAD_PER_S * LOAD_S)):
            host = number % len(system.daemons)
            call = system.call(f'{path}{number}', host=host)
            calls.append(group.create_task(call))
            await asyncio.sleep(1 / LOAD_PER_S)
    return [call.result()[0] for call in calls]


@pytest.mark.parametrize('limit', ['1', '1.1'])
@pytest.mark.parametrize('path', ['/lookup/', '/chat/'])
async def test_named_limit_of_a_target_holds_for_all_hosts(path, limit):
    """Guards against hosts that send more than a target in need takes."""
    limited = LimitedTarget(limit)
    others = (LimitedTarget(''), LimitedTarget(''))
    async with (
        kit.running_system(hosts=4) as system,
        kit.raw_target(limited.respond) as first,
        kit.raw_target(others[0].respond) as second,
        kit.raw_target(others[1].respond) as third,
    ):
        service = 'model' if path == '/chat/' else 'plain'
        for number, target in enumerate((first, second, third)):
            await system.add_target(f't{number}', target, service=service)
        statuses = await call_steadily(system, path)
    most = most_in_window(limited.arrived_s, limited.arrived_s[0] + CONTACT_S)
    assert most <= ALLOWED_RATIO * float(limit) * WINDOW_S + ALLOWED_SLACK
    assert most >= WINDOW_S * float(limit) / 2
    assert statuses.count(200) >= len(statuses) * 0.98


SERVICE_MS = 90
STEP_MS = 10
LIMIT_PERIOD_MS = 9_000
# Delay of the messages between hosts, and for a cut host none arrives.
EXCHANGE_MS = 150


class LimitedFleet:
    """Hosts before three targets, of which some name limits for a time."""

    def __init__(self, hosts, limits, seed, per_s=25):
        self.fleet = crashkit.Fleet(hosts=hosts, targets=3, seed=seed)
        self.arrived_by_target = {f't{number}': [] for number in range(3)}
        self.served = 0
        self.refused = []
        self.cut_names = set()
        self._told_ms_by_host = {}
        self._named_ms_by_target = {}
        self._limits_by_target = dict(zip(('t0', 't1', 't2'), limits))
        self._per_s = per_s
        self._open = []
        self._calls = 0
        for host in self.fleet.hosts_by_name.values():
            self._know_hosts(host)

    def run(self, duration_ms, *, limited=True):
        """Advance the time under a steady load."""
        end_ms = self.fleet.clock.now_ms() + duration_ms
        while self.fleet.clock.now_ms() < end_ms:
            self.fleet.clock.advance(STEP_MS)
            self._step(self.fleet.clock.now_ms(), limited=limited)

    def restart(self, name):
        """Replace the process of a host."""
        self.fleet.start_host(name)
        self._know_hosts(self.fleet.hosts_by_name[name])
        self._told_ms_by_host.pop(name, None)

    def excess(self):
        """Return the requests in the worst windows beyond the bound."""
        return {
            target_id: most - self._allowed(target_id)
            for target_id, named_ms in self._named_ms_by_target.items()
            if (most := self._most(target_id, named_ms))
            > self._allowed(target_id)
        }

    def _allowed(self, target_id):
        limit = float(self._limits_by_target[target_id])
        return ALLOWED_RATIO * limit * WINDOW_S + ALLOWED_SLACK

    def _most(self, target_id, named_ms):
        arrived_s = [
            at_ms / 1_000 for at_ms in self.arrived_by_target[target_id]
        ]
        return most_in_window(arrived_s, named_ms / 1_000 + CONTACT_S)

    def _know_hosts(self, host):
        host.core.limits.update_host_count(len(self.fleet.hosts_by_name))

    def _step(self, now_ms, *, limited):
        hosts = list(self.fleet.hosts_by_name.values())
        if not now_ms % EXCHANGE_MS:
            for host in hosts:
                host.is_cut = host.name in self.cut_names
                host.exchange(hosts)
        for entry in [entry for entry in self._open if entry[0] <= now_ms]:
            self._open.remove(entry)
            self._answer(*entry[1:], now_ms, limited=limited)
        if self.fleet.rng.random() < self._per_s * STEP_MS / 1_000:
            self._call(self.fleet.rng.choice(hosts), now_ms)

    def _call(self, host, now_ms):
        self._calls += 1
        name = f'a{self._calls}'
        try:
            state, assignment = host.start_request(f'/lookup/{name}', b'', name)
        except errors.NoTarget as refused:
            self.refused.append(refused)
            return
        told_ms = self._told_ms_by_host.get(host.name)
        if told_ms is not None and told_ms <= now_ms - TOLD_MS:
            target_id = assignment.target.target_id
            self.arrived_by_target[target_id].append(now_ms)
        self._open.append((now_ms + SERVICE_MS, host, state, assignment))

    def _answer(self, host, state, assignment, now_ms, *, limited):
        target_id = assignment.target.target_id
        host.core.release(assignment)
        headers = multidict.CIMultiDict()
        limit = self._limits_by_target.get(target_id)
        if limited and limit is not None:
            headers['Server-Limit'] = limit
            self._named_ms_by_target.setdefault(target_id, now_ms)
            self._told_ms_by_host.setdefault(host.name, now_ms)
        host.outcomes.record_head(
            assignment, 200, multidict.CIMultiDictProxy(headers)
        )
        self.served += 1


@pytest.mark.parametrize('limits', [('1',), ('1.1',), ('0',), ('3', '0.5')])
@pytest.mark.parametrize('hosts', [1, 4, 7, 24])
def test_limit_holds_with_any_number_of_hosts(hosts, limits):
    """Guards against a floor of one request for each host."""
    for seed in (1, 2, 3):
        fleet = LimitedFleet(hosts, limits, seed)
        fleet.run(LIMIT_PERIOD_MS)
        assert not fleet.excess()
        assert not fleet.refused


@pytest.mark.parametrize('hosts', [4, 7, 24])
def test_limit_holds_while_hosts_start_and_are_cut_off(hosts):
    """Guards against hosts that each take a cut-off host's share."""
    for seed in (1, 2, 3):
        fleet = LimitedFleet(hosts, ('1', '2'), seed)
        fleet.run(2_000)
        for name in tuple(fleet.fleet.hosts_by_name)[:4]:
            fleet.cut_names = {name}
            fleet.run(1_500)
            fleet.cut_names = set()
            fleet.restart(name)
            fleet.run(1_500)
        assert not fleet.excess()


def test_limit_holds_without_any_message_between_hosts():
    """Guards against a bound that needs the network between hosts."""
    fleet = LimitedFleet(7, ('1',), 1)
    fleet.run(500)
    fleet.cut_names = set(fleet.fleet.hosts_by_name)
    fleet.run(LIMIT_PERIOD_MS)
    assert not fleet.excess()


def test_service_whose_targets_all_have_limits_uses_and_keeps_them():
    """Guards against refusals without a time to return, and idle targets."""
    fleet = LimitedFleet(7, ('1', '1', '1'), 1)
    fleet.run(1_000)
    fleet.refused.clear()
    fleet.served = 0
    fleet.run(8_000)
    assert not fleet.excess()
    assert fleet.served >= 12
    assert fleet.refused
    for refused in fleet.refused:
        assert 'limited=3' in refused.detail
        assert 0 < refused.retry_after_ms < 8_000


def test_limit_ends_on_all_hosts_with_an_answer_that_names_none():
    """Guards against limits that outlast the need of their targets."""
    fleet = LimitedFleet(4, ('1',), 1)
    fleet.run(LIMIT_PERIOD_MS)
    assert all(
        host.core.limits.limits() == {'t0': 1}
        for host in fleet.fleet.hosts_by_name.values()
    )
    fleet.run(5_000, limited=False)
    assert not any(
        host.core.limits.limits() for host in fleet.fleet.hosts_by_name.values()
    )


def test_host_that_starts_learns_the_limits_of_its_peers():
    """Guards against a first request of each new host."""
    fleet = LimitedFleet(4, ('1',), 1)
    fleet.run(3_000)
    fleet.restart('h0')
    fleet.run(2 * EXCHANGE_MS)
    started = fleet.fleet.hosts_by_name['h0']
    assert started.core.limits.limits() == {'t0': 1}
    events = [
        fields
        for event, fields in started.log.events
        if event == 'limit_changed'
    ]
    assert events[0]['source'] != 'target'


def entry(started_ms=1_000):
    """Return the entry of a target that started at a time."""
    return documents.decode_target_entry(
        't1', kit.target_document('10.0.0.1:80', born=started_ms)
    )


def test_older_answer_does_not_end_a_limit():
    """Guards against answers that overtake each other."""
    limits = namedlimits.NamedLimits('h1')
    assert limits.record_answer(entry(), 2.0, 0, 100).per_s == 2
    assert limits.record_answer(entry(), None, 50, 200) is None
    assert limits.limit_of(entry()) == 2
    assert limits.record_answer(entry(), None, 150, 250).per_s is None
    assert limits.limit_of(entry()) is None


def test_report_of_a_peer_does_not_revive_a_limit():
    """Guards against an ended limit that hosts tell each other again."""
    first, second = namedlimits.NamedLimits('h1'), namedlimits.NamedLimits('h2')
    first.record_answer(entry(), 2.0, 0, 100)
    second.hear('h1', first.report(110), 110)
    second.record_answer(entry(), None, 150, 200)
    assert not second.hear('h1', first.report(300), 300)
    assert second.limit_of(entry()) is None
    first.hear('h2', second.report(310), 310)
    assert first.limit_of(entry()) is None


def test_next_run_of_a_target_starts_without_a_limit():
    """Guards against a limit that outlives the process which named it."""
    limits = namedlimits.NamedLimits('h1')
    limits.record_answer(entry(), 1.0, 0, 100)
    assert limits.limit_of(entry(2_000)) is None
    limits.drop_unlisted([entry(2_000)], namedlimits.UNLISTED_MS + 100)
    assert not limits.limits()


def test_entry_that_lapses_and_comes_back_keeps_its_limit():
    """Guards against limits and counts that end with an outage of the store."""
    limits = namedlimits.NamedLimits('h1')
    limits.record_answer(entry(), 1.0, 0, 100)
    limits.record_sent(entry(), 200)
    limits.drop_unlisted([], 8_000)
    assert limits.limit_of(entry()) == 1
    assert limits.wait_ms(entry(), (), 1_000) > 0


@pytest.mark.parametrize(
    ('texts', 'known', 'expected'),
    [
        ((), 1.0, (None, True)),
        (('1.1',), None, (1.1, True)),
        ((' 2 ',), None, (2.0, True)),
        (('0',), None, (0.0, True)),
        (('9' * 400,), None, (namedlimits.MAX_PER_S, True)),
        (('3', '2'), None, (2.0, False)),
        (('x', '2'), None, (2.0, False)),
        (('-1',), 4.0, (4.0, False)),
        (('nan',), None, (namedlimits.UNREADABLE_PER_S, False)),
        (('1e9',), None, (namedlimits.UNREADABLE_PER_S, False)),
        (('',), 4.0, (4.0, False)),
        (('.',), None, (namedlimits.UNREADABLE_PER_S, False)),
        (('\u0663',), None, (namedlimits.UNREADABLE_PER_S, False)),
    ],
)
def test_limit_that_cannot_be_read_is_never_no_limit(texts, known, expected):
    """Guards against fields that lift a limit by accident."""
    assert namedlimits.parse(texts, known) == expected
