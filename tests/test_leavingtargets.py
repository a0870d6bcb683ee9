"""Targets that say in their answers that they leave, over real sockets."""

import asyncio

import pytest

from bergamotstream.forwarding import fleetrecords, fleetview, links
from bergamotstream.platform import store
from tests import platformkit as kit
from tests import test_cutlinks as cutcases

# Time from an answer that says it until no request of that host may arrive.
LATE_S = 0.3
LOAD_PER_S = 20
LOAD_S = 3.0
LEAVES_AT_S = 0.8
LEAVING = 'Server-Leaving: 1\r\n'
PATHS = ('/lookup/', '/order/', '/chat/')


class LeavingTarget:
    """Says that it leaves from some moment on; notes who sends to it.

    Callers' ids begin with the number of the host that they use.
    """

    def __init__(self, text=LEAVING, *, refuses=False):
        self.leaves = False
        self.text = text
        self.refuses = refuses
        self.told_s_by_host = {}
        self.late = []
        self.served = 0

    async def respond(self, request, writer):
        path = request.request_line.split()[1]
        now_s = asyncio.get_running_loop().time()
        host = request.headers.get(kit.ATTEMPT, 'probe').partition('-')[0]
        if now_s > self.told_s_by_host.get(host, now_s) + LATE_S:
            self.late.append((host, now_s - self.told_s_by_host[host]))
        if self.leaves:
            self.told_s_by_host.setdefault(host, now_s)
        extra = self.text if self.leaves else ''
        await asyncio.sleep(0.02)
        writer.write(self._answer(request, path, extra))

    def _answer(self, request, path, extra):
        if self.leaves and self.refuses:
            return kit.answer(
                request,
                b'',
                '503 Service Unavailable',
                f'{kit.NOT_RUN}: 1\r\n{extra}',
            )
        self.served += 1
        if path.startswith('/chat/'):
            return (
                kit.stream_head(
                    request, f'Transfer-Encoding: chunked\r\n{extra}'
                )
                + kit.chunk(kit.event(1))
                + b'0\r\n\r\n'
            )
        return kit.answer(request, extra=extra)


def service_of(path):
    """Return the service that a path leads to."""
    return 'model' if path == '/chat/' else 'plain'


async def call_steadily(system, path, duration_s=LOAD_S):
    """Call all hosts in turn; return the statuses."""
    async with asyncio.TaskGroup() as group:
        calls = []
        for number in range(int(LOAD_PER_S * duration_s)):
            host = number % len(system.daemons)
            call = system.call(
                f'{path}{number}',
                f'{number}'.encode(),
                host,
                **{kit.ATTEMPT: f'{host}-{number}'},
            )
            calls.append(group.create_task(call))
            await asyncio.sleep(1 / LOAD_PER_S)
    return [call.result()[0] for call in calls]


@pytest.mark.parametrize(('hosts', 'fault'), [(1, ''), (3, 'reset')])
@pytest.mark.parametrize('refuses', [False, True])
@pytest.mark.parametrize('path', PATHS)
async def test_target_that_says_that_it_leaves_gets_no_request(
    path, refuses, hosts, fault
):
    """Guards against requests to a target whose answers say that it leaves."""
    leaving, sound = LeavingTarget(refuses=refuses), LeavingTarget()
    async with (
        kit.running_system(hosts=hosts) as system,
        kit.raw_target(leaving.respond) as first,
        kit.raw_target(sound.respond) as second,
    ):
        service = service_of(path)
        await system.add_target('t-leaving', first, service=service)
        await system.add_target('t-sound', second, service=service)
        calls = asyncio.ensure_future(call_steadily(system, path))
        await asyncio.sleep(LEAVES_AT_S)
        system.store.fault = fault
        leaving.leaves = True
        statuses = await calls
    assert leaving.told_s_by_host
    assert len(leaving.late) == 0, leaving.late
    # An order that is refused is not sent again: its route has one attempt.
    refused = hosts if refuses and path == '/order/' else 0
    assert sum(status != 200 for status in statuses) <= refused, statuses


@pytest.mark.parametrize('told', ['0', '', 'no', '11'])
async def test_other_text_of_the_header_ends_nothing(told):
    """Guards against a sound target that is left out for an odd value."""
    odd = LeavingTarget(f'Server-Leaving: {told}\r\n')
    odd.leaves = True
    async with (
        kit.running_system() as system,
        kit.raw_target(odd.respond) as target,
    ):
        await system.add_target('t-odd', target)
        statuses = await call_steadily(system, '/lookup/', 0.5)
    assert set(statuses) == {200}


async def test_next_run_at_the_same_address_gets_requests():
    """Guards against a target that is left out after its restart."""
    leaving = LeavingTarget()
    leaving.leaves = True
    async with (
        kit.running_system() as system,
        kit.raw_target(leaving.respond) as target,
    ):
        await system.add_target('t0', target)
        assert (await system.call('/lookup/1'))[0] == 200
        status, headers, _ = await system.call('/lookup/2')
        assert status == 503
        assert float(headers['Retry-After']) > 0
        # The store says again that this run is ready.
        await system.store.put(
            'servers/t0', kit.target_document(target.address, cold_left_ms=1)
        )
        await asyncio.sleep(0.3)
        assert (await system.call('/lookup/3'))[0] == 503
        leaving.leaves = False
        await system.store.put(
            'servers/t0', kit.target_document(target.address, born=2_000)
        )
        await asyncio.sleep(0.3)
        assert (await system.call('/lookup/4'))[0] == 200


async def test_answer_that_names_another_request_ends_nothing():
    """Guards against an extra answer that takes a sound target out."""

    async def respond(request, writer):
        extra = '' if 'lookup/2' in request.request_line else LEAVING
        named = kit.answer(request, extra=extra)
        writer.write(named.replace(b'a1', b'a0') if extra else named)

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t0', target)
        await system.call('/lookup/1', **{'Bergamotstream-Deadline-Ms': '300'})
        status, _, _ = await system.call('/lookup/2')
    assert status == 200


@pytest.mark.parametrize('status', ['200 OK', '503 Service Unavailable'])
async def test_probed_target_that_leaves_gets_no_request(status):
    """Guards against leaving that only the answers to health checks tell."""

    async def respond(request, writer):
        if request.request_line.startswith('GET /h '):
            writer.write(kit.answer(request, b'', status, LEAVING))
        else:
            writer.write(kit.answer(request))

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t0', target)
        daemon = system.daemons[0]
        core = daemon._core
        core.reach.record_failure(
            core.view.targets_by_id['t0'],
            daemon._clock.now_ms(),
            links.Symptoms(),
        )
        await system.until(lambda: core.view.targets_by_id['t0'].leaving)
        before = len(target.received)
        assert (await system.call('/lookup/1'))[0] == 503
        assert len(target.received) == before


@pytest.mark.parametrize('path', ['/lookup/1', '/chat/1'])
async def test_host_that_passes_on_an_answer_of_a_peer_learns_of_it(
    path, monkeypatch
):
    """Guards against a request to a target whose leaving came by a peer."""
    right = cutcases.respond
    texts = ['']

    async def respond(request, writer):
        sent = []
        await right(request, _Recording(sent))
        writer.write(
            b''.join(sent).replace(
                b'\r\n\r\n', f'\r\n{texts[-1]}\r\n'.encode(), 1
            )
        )

    monkeypatch.setattr(cutcases, 'respond', respond)
    async with cutcases.running_system() as (system, cut):
        await _lose_links(system, cut)
        texts.append(LEAVING)
        headers = (await system.call(path, b'1', 0))[1]
        texts.append('')
        assert headers['Server-Leaving'] == '1'
        assert 'Relayed-Target' not in headers
        await system.until(lambda: _leaving_at(system, 0), 1)
        first, *others = (_leaving_at(system, host) for host in range(3))
    # The host that served it knows it too, and nobody has told the third.
    assert first in others
    assert not all(others)


class _Recording:
    """Keeps what a target writes."""

    def __init__(self, sent):
        self.write = sent.append

    async def drain(self):
        """Send nothing."""


def _leaving_at(system, host):
    view = system.daemons[host]._core.view
    return {
        target_id
        for target_id, entry in view.targets_by_id.items()
        if entry.leaving
    }


async def _lose_links(system, cut):
    cut.cut(['host-0'], 'refused')
    for turn in range(6):
        for path in ('/lookup/1', '/chat/1'):
            await system.call(path, f'{turn}'.encode(), 0)
    await system.until(
        lambda: len(system.daemons[0]._core.links.lost_services()) == 2
    )


def test_entry_of_the_same_run_does_not_take_leaving_back():
    """Guards against an entry, or its copy, that still says ready."""
    view = fleetview.FleetView()

    def write(revision, **changes):
        document = kit.target_document('10.0.0.1:80', **changes)
        item = store.Item('servers/t1', revision, document)
        view.apply_changes(store.Page((item,), revision), 0)

    write(1)
    told = view.targets_by_id['t1']
    assert view.record_leaving(fleetrecords.run_of(told))
    assert not view.record_leaving(fleetrecords.run_of(told))
    assert view.targets_by_id['t1'].leaving
    write(2, cold_left_ms=100)
    assert view.targets_by_id['t1'].leaving
    view.apply_changes(store.Page((store.Item('servers/t1', 3, None),), 3), 0)
    write(4)
    assert not view.is_usable(view.targets_by_id['t1'], 'plain')
    write(5, born=2_000)
    assert view.is_usable(view.targets_by_id['t1'], 'plain')


def test_late_answer_of_an_earlier_run_does_not_end_the_next_one():
    """Guards against a new run that is left out for what the last one said."""
    view = fleetview.FleetView()

    def write(revision, born):
        document = kit.target_document('10.0.0.1:80', born=born)
        item = store.Item('servers/t1', revision, document)
        view.apply_changes(store.Page((item,), revision), 0)

    write(1, 1_000)
    told = view.targets_by_id['t1']
    write(2, 2_000)
    view.record_leaving(fleetrecords.run_of(told))
    assert view.is_usable(view.targets_by_id['t1'], 'plain')
