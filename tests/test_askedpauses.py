"""Targets that ask a host for time before its next request."""

import asyncio
import random

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import askedpauses, fleetrecords, links
from tests import platformkit as kit
from tests import test_leavingtargets as leavingcases

# The operators' bound counts from this time after the refusal.
KNOWN_S = 0.5
ODD_TEXTS = (
    'nan',
    'inf',
    '-1',
    'Wed, 21 Oct 2026 07:28:00 GMT',
    '1, 2',
    '9' * 5_000,
    '1e3',
    '',
    '٣',
)


class AskingTarget:
    """Refuses with a time that it asks for, until that is over.

    Each host counts by itself, told apart by the ids of its callers.
    """

    def __init__(self, asked_s, text=None):
        self.asks = False
        self.served = 0
        self.end_s_by_host = {}
        self.early = []
        self.returned_s = []
        self._asked_s = asked_s
        self._text = text

    async def respond(self, request, writer):
        host = request.headers[kit.ATTEMPT].partition('-')[0]
        now_s = asyncio.get_running_loop().time()
        if self.asks:
            end_s = self.end_s_by_host.setdefault(host, now_s + self._asked_s)
            if end_s - self._asked_s + KNOWN_S < now_s < end_s:
                self.early.append(host)
            if now_s < end_s:
                writer.write(self._refuse(request, end_s - now_s))
                return
            self.returned_s.append(now_s - end_s)
        self.served += 1
        await asyncio.sleep(0.02)
        if request.request_line.startswith('POST /chat/'):
            writer.write(
                kit.stream_head(request)
                + kit.chunk(kit.event(1))
                + b'0\r\n\r\n'
            )
        else:
            writer.write(kit.answer(request))

    def _refuse(self, request, left_s):
        return kit.answer(
            request,
            b'',
            '503 Service Unavailable',
            f'{kit.NOT_RUN}: 1\r\nRetry-After: {self._text or left_s}\r\n',
        )


@pytest.mark.parametrize(('asked_s', 'hosts'), [(2, 1), (2.5, 3), (10, 1)])
@pytest.mark.parametrize('path', leavingcases.PATHS)
async def test_target_that_asks_for_time_gets_no_request_before(
    path, asked_s, hosts
):
    """Guards against requests to a target that has asked for time."""
    asking, sound = AskingTarget(asked_s), AskingTarget(0)
    async with (
        kit.running_system(hosts=hosts) as system,
        kit.raw_target(asking.respond) as first,
        kit.raw_target(sound.respond) as second,
    ):
        service = leavingcases.service_of(path)
        await system.add_target('t-asking', first, service=service)
        await system.add_target('t-sound', second, service=service)
        asking.asks = True
        statuses = await leavingcases.call_steadily(system, path, 4)
    assert len(asking.end_s_by_host) == hosts
    assert len(asking.early) == 0, asking.early
    refused = hosts if path == '/order/' else 0
    assert sum(status != 200 for status in statuses) <= refused, statuses
    # It is used again.
    assert bool(asking.served) == (asked_s < 4)


async def test_service_whose_targets_all_ask_for_time_is_refused_at_once():
    """Guards against callers that wait, or are told to come too early."""
    targets = AskingTarget(2.5), AskingTarget(2)
    async with (
        kit.running_system() as system,
        kit.raw_target(targets[0].respond) as first,
        kit.raw_target(targets[1].respond) as second,
    ):
        await system.add_target('t0', first)
        await system.add_target('t1', second)
        for target in targets:
            target.asks = True
        told_s = []
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(8):
            sent_s = loop.time()
            status, headers, _ = await system.call(f'/lookup/{number}')
            assert status == 503
            assert loop.time() - sent_s < 0.3
            told_s.append(sent_s - began_s + float(headers['Retry-After']))
        received = len(first.received) + len(second.received)
    assert received == 2
    assert all(2 <= at_s < 5 for at_s in told_s), told_s
    assert len({round(at_s, 1) for at_s in told_s}) > 2, told_s


@pytest.mark.parametrize('text', ODD_TEXTS)
async def test_odd_time_ends_nothing(text, caplog):
    """Guards against a target that is left out for a time that is none."""
    caplog.set_level('INFO')
    odd = AskingTarget(0.2, text.encode().decode('latin-1') or ' ')
    async with (
        kit.running_system() as system,
        kit.raw_target(odd.respond) as target,
    ):
        await system.add_target('t0', target)
        odd.asks = True
        await system.call('/lookup/1')
        await asyncio.sleep(0.4)
        statuses = [(await system.call('/lookup/2'))[0] for _ in range(3)]
    assert statuses == [200, 200, 200]
    logged = [line for line in caplog.messages if 'pause_unreadable' in line]
    assert len(logged) == 1


@pytest.mark.parametrize('text', ODD_TEXTS)
def test_text_that_is_no_number_of_seconds_is_ignored(text):
    """Guards against forms that a number parser takes, and a date."""
    assert askedpauses.parse([text]) is None


def test_two_times_are_ignored():
    """Guards against one of two fields that is taken for both."""
    assert askedpauses.parse(['1', '2']) is None


def make_pauses():
    """Return pauses and an entry of a target."""
    core = kit.make_scheduler()
    return askedpauses.AskedPauses(random.Random(1)), core.view.targets_by_id[
        't0'
    ]


def test_later_answer_lengthens_or_shortens_a_pause():
    """Guards against a pause that only grows, or never does."""
    pauses, target = make_pauses()
    run = fleetrecords.run_of(target)
    assert askedpauses.parse(['2.5']) == 2_500
    pauses.record_asked(run, 2_500, 0)
    assert 2_500 <= pauses.wait_ms(target, 0) <= 2_750
    pauses.record_asked(run, 10_000, 1_000)
    assert 10_000 <= pauses.wait_ms(target, 1_000) <= 11_000
    pauses.record_asked(run, 300, 2_000)
    assert 300 <= pauses.wait_ms(target, 2_000) <= 400
    pauses.record_asked(run, 0, 2_100)
    assert pauses.wait_ms(target, 2_100) == 0


def test_pause_that_cannot_be_meant_is_bounded():
    """Guards against a target that is left out for days."""
    pauses, target = make_pauses()
    asked_ms = askedpauses.parse(['9' * 20])
    pauses.record_asked(fleetrecords.run_of(target), asked_ms, 0)
    assert pauses.wait_ms(target, 0) <= askedpauses.MAX_PAUSE_MS + 1_000


def test_pause_ends_with_the_run_of_its_target():
    """Guards against a new run that is left out for the last one."""
    pauses, target = make_pauses()
    pauses.record_asked(fleetrecords.run_of(target), 2_000, 0)
    assert pauses.wait_ms(target._replace(started_ms=5), 0) == 0


def test_requests_do_not_return_at_once_after_a_pause():
    """Guards against all hosts and waiting requests arriving together."""
    ends = set()
    for seed in range(20):
        pauses = askedpauses.AskedPauses(random.Random(seed))
        target = make_pauses()[1]
        run = fleetrecords.run_of(target)
        ends.add(pauses.record_asked(run, 2_000, 0).until_ms)
        sent_ms = []
        for now_ms in range(0, 2_700, 10):
            if not pauses.wait_ms(target, now_ms):
                pauses.record_sent(target, now_ms)
                sent_ms.append(now_ms)
        assert sent_ms[0] >= 2_000
        assert len(sent_ms) <= 8
    assert len(ends) > 10


def test_target_that_asks_for_time_is_neither_probed_nor_reached_by_peers():
    """Guards against a health check or a peer's try that takes its time."""
    core = kit.make_scheduler(targets=2)
    target = core.view.targets_by_id['t0']
    core.health.record_full('t0', 0)
    core.reach.record_failure(target, 0, links.Symptoms())
    assert core.reach.has_unreachable_target('model', 1)
    core.pauses.record_asked(fleetrecords.run_of(target), 5_000, 0)
    assert not core.reach.has_unreachable_target('model', 1)
    probed = core.reach.take_due_probes(1_000)
    assert [entry.target_id for entry in probed] == ['t1']


def test_log_tells_that_targets_have_asked_for_time():
    """Guards against a refusal whose reason nobody can find."""
    core = kit.make_scheduler(targets=3)
    for target in core.view.targets_by_id.values():
        core.pauses.record_asked(fleetrecords.run_of(target), 5_000, 0)
    with pytest.raises(errors.NoTarget) as refused:
        core.place(kit.make_job(core), (), 10)
    assert 'asked=3' in refused.value.detail
    assert 4_990 < refused.value.retry_after_ms < 8_000
