"""A part of prompts that crashes targets, in requests that are never alike."""

import asyncio
import contextlib

import aiohttp
import pytest

from bergamotstream.forwarding import (
    crashblame,
    crashcounts,
    fingerprints,
    fleetrecords,
    outcomes,
)
from bergamotstream.platform import documents
from tests import crashkit
from tests import platformkit as kit

SEEDS = (1, 2)
LOADS_BY_NAME = {
    'each_second': {},
    'often': {'crashing_interval_ms': 200},
    'order': {'path': '/order/666'},
    'rarely': {'crashing_interval_ms': 4_000},
}
# Sound requests that may be refused while the evidence is young.
MAX_REFUSED_SHARE = 0.02


@pytest.mark.parametrize('load', LOADS_BY_NAME)
@pytest.mark.parametrize('scenario', crashkit.SCENARIOS_BY_NAME)
async def test_part_that_crashes_targets_is_refused(scenario, load):
    """Guards against a part that keeps crashing targets in new requests.

    Sound requests share their workspace and the other parts of their prompts
    with those that crash, and run beside them.
    """
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed,
            by_part=True,
            ordinary_ms=crashkit.ORDINARY_MS,
            **LOADS_BY_NAME[load],
        )
        await crashkit.SCENARIOS_BY_NAME[scenario](fleet)
        assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS
        assert fleet.refused_ordinary <= fleet.ordinary * MAX_REFUSED_SHARE


@pytest.mark.parametrize('seed', range(1, 4))
async def test_bound_of_parts_holds_under_random_faults(seed):
    """Guards against faults in series that together forget a part."""
    later = await crashkit.play_random_faults(seed, by_part=True)
    assert len(later) <= crashkit.MAX_LATER_SENDS


# A part that is served for a while before it begins to crash its targets.
SERVED_LOADS_BY_NAME = {
    'often': {'crashing_interval_ms': 200},
    'each_second': {'crashing_interval_ms': 1_000},
    'slow': {'crashing_interval_ms': 500, 'ordinary_ms': 1_000},
}


@pytest.mark.parametrize('load', SERVED_LOADS_BY_NAME)
@pytest.mark.parametrize('scenario', ['calm', 'cut_off_hosts', 'long_run'])
async def test_part_that_was_served_before_is_refused(scenario, load):
    """Guards against an answer that excuses the crashes after it."""
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed,
            by_part=True,
            targets=14,
            served_for_ms=4_000,
            **{
                'ordinary_ms': crashkit.ORDINARY_MS,
                **SERVED_LOADS_BY_NAME[load],
            },
        )
        await crashkit.SCENARIOS_BY_NAME[scenario](fleet)
        assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS
        assert fleet.refused_ordinary <= fleet.ordinary * MAX_REFUSED_SHARE


@pytest.mark.parametrize('ended', [4, 12])
async def test_targets_that_end_together_blame_no_part_that_is_served(ended):
    """Guards against refusing a common part when a zone loses its targets.

    Each request that runs has the common part, so it crashes with all of them.
    """
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed,
            by_part=True,
            ordinary_ms=crashkit.ORDINARY_MS,
            crashing_interval_ms=600_000,
        )
        for _ in range(3):
            await fleet.run(5_000)
            for number in range(ended):
                fleet.end_target(number)
        await fleet.run(10_000)
        assert fleet.refused_ordinary <= fleet.ordinary * MAX_REFUSED_SHARE


@pytest.mark.parametrize('served_for_ms', [0, 4_000])
async def test_prompts_that_only_headers_describe_are_told_apart(served_for_ms):
    """Guards against refusing a sound prompt as the one that crashes.

    All requests have one path and no body, as those whose prompts a target
    knows by the ids of their parts.
    """
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed,
            by_part=True,
            targets=14,
            described_only=True,
            crashing_interval_ms=200,
            ordinary_ms=crashkit.ORDINARY_MS,
            served_for_ms=served_for_ms,
        )
        await crashkit.calm(fleet)
        assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS
        assert fleet.refused_ordinary <= fleet.ordinary * MAX_REFUSED_SHARE


class CrashingTargets:
    """Targets that end under one part, and answer other requests."""

    def __init__(self):
        self.crashed_s = []

    async def respond(self, request, writer):
        if crashkit.CRASHING_PART in request.headers[crashkit.PROMPT_PREFIX]:
            self.crashed_s.append(asyncio.get_running_loop().time())
            writer.write(kit.stream_head(request) + kit.chunk(b'id: 1\nda'))
            await writer.drain()
            kit.reset(writer)
            return
        stream = kit.chunk(kit.event(1)) + b'0\r\n\r\n'
        writer.write(kit.stream_head(request) + stream)


async def call_with_part(system, number, part):
    """Send a request with a part to any host; return its status."""
    prompt = f'{crashkit.COMMON_PART}:40,{part}:40,{number:x}:90'
    headers = {kit.ATTEMPT: f'a{number}', crashkit.PROMPT_PREFIX: prompt}
    host = number % len(system.daemons)
    try:
        status, _, _ = await system.call(
            '/chat/1', f'body {number}'.encode(), host, **headers
        )
    except aiohttp.ClientError:
        return 0
    return status


async def test_part_is_refused_over_real_connections():
    """Guards against parts that are lost between a caller and the counts."""
    targets = CrashingTargets()
    async with contextlib.AsyncExitStack() as stack:
        system = await stack.enter_async_context(kit.running_system(hosts=3))
        for number in range(8):
            target = await stack.enter_async_context(
                kit.raw_target(targets.respond)
            )
            await system.add_target(f't{number}', target, service='model')
        statuses = []
        for number in range(60):
            crashing, sound = await asyncio.gather(
                call_with_part(system, 2 * number, crashkit.CRASHING_PART),
                call_with_part(system, 2 * number + 1, f'{number % 5:x}'),
            )
            statuses.append(sound)
            await asyncio.sleep(0.05)
    assert crashing == 503
    assert len(targets.crashed_s) <= crashkit.CRASHES_UNDER_PART + 1
    assert statuses.count(200) >= len(statuses) * 0.95


CRASHING, BESIDE, REPEATED = 101, 103, 104


def crash(blame, now_ms, *suspects):
    """Let a target crash under a request with these fingerprints."""
    entry = documents.decode_target_entry(
        f't{now_ms}', kit.target_document('10.0.0.1:80')
    )
    blame.suspect(entry, suspects, now_ms, broken=True)
    return blame.confirm(entry.target_id, now_ms)


def test_sound_part_beside_a_crashing_one_is_not_refused():
    """Guards against blaming all parts that end with their targets."""
    blame = crashblame.CrashBlame()
    for number in range(1, 5):
        crash(blame, number, CRASHING, BESIDE)
    crash(blame, 5, CRASHING)
    assert blame.is_refused(CRASHING, 6)
    assert not blame.is_refused(BESIDE, 6)
    crash(blame, 7, CRASHING, BESIDE)
    assert not blame.is_refused(BESIDE, 8)
    changes = [
        (change.fingerprint, change.reason) for change in blame.take_changes()
    ]
    assert changes == [
        (CRASHING, 'counted'),
        (BESIDE, 'counted'),
        (BESIDE, 'explained'),
    ]


def test_part_of_a_request_that_comes_again_is_not_refused():
    """Guards against refusing other requests for one that is repeated."""
    blame = crashblame.CrashBlame()
    for number in range(1, 7):
        crash(blame, number, REPEATED, BESIDE)
    assert blame.is_refused(REPEATED, 7)
    assert not blame.is_refused(BESIDE, 7)


def test_answer_at_another_host_clears_the_counts_of_a_part():
    """Guards against bystanders that add up between answers elsewhere."""
    first, second = crashblame.CrashBlame(), crashblame.CrashBlame()
    process = crashcounts.PeerProcess('h', 1)
    for crash_ms in range(0, 360_000, 60_000):
        crash(first, crash_ms, BESIDE)
        second.apply_report(process, first.report(crash_ms), crash_ms)
        served_ms = crash_ms + 30_000
        second.record_served((BESIDE,), served_ms)
        first.apply_report(process, second.report(served_ms), served_ms)
        assert not first.counts.crashes_of(BESIDE, served_ms).confirmed
    assert not first.is_refused(BESIDE, served_ms)


def test_answer_from_before_the_crashes_does_not_lift_the_blame():
    """Guards against hosts that repeat an old answer to those that blame."""
    first, second = crashblame.CrashBlame(), crashblame.CrashBlame()
    process = crashcounts.PeerProcess('h', 1)
    second.record_served((CRASHING,), 0)
    for crash_ms in range(1_000, 5_000, 1_000):
        crash(first, crash_ms, CRASHING)
        second.apply_report(process, first.report(crash_ms), crash_ms)
        first.apply_report(process, second.report(crash_ms), crash_ms)
    assert first.is_refused(CRASHING, crash_ms)
    later_ms = crash_ms + crashblame.DOUBT_MS + 1
    second.apply_report(process, first.report(later_ms), later_ms)
    assert second.is_refused(CRASHING, later_ms)
    second.record_served((CRASHING,), later_ms)
    first.apply_report(process, second.report(later_ms), later_ms)
    assert not first.is_refused(CRASHING, later_ms)


def test_broken_request_with_a_suspected_part_is_not_sent_again():
    """Guards against requests that crash all the targets they may reach."""
    blame = crashblame.CrashBlame()
    crash(blame, 1, CRASHING)
    assert blame.may_retry((CRASHING,), 1)
    crash(blame, 2, CRASHING)
    assert not blame.may_retry((CRASHING,), 2)
    blame.record_served((CRASHING,), 2)
    assert blame.may_retry((CRASHING,), 2)


async def test_blamed_part_that_is_mended_is_served_again():
    """Guards against a part that is refused for as long as it comes."""
    fleet = crashkit.Fleet(by_part=True, crashing_interval_ms=500)
    await fleet.run(5_000)
    hosts = tuple(fleet.hosts_by_name.values())
    job = hosts[0].make_job(crashkit.CRASHING_PART)
    refusing = [host for host in hosts if host.refuses(job)]
    assert len(refusing) == len(hosts)
    assert not any(host.start_trial(job) for host in hosts)
    fleet.clock.advance(crashblame.FIRST_TRIAL_MS)
    trying = [host for host in hosts if host.start_trial(job)]
    assert len(trying) == 1
    assert not any(host.start_trial(job) for host in hosts)
    now_ms = fleet.clock.now_ms()
    events = {event for host in hosts for event, _ in host.log.events}
    assert 'retry_refused' in events
    trying[0].core.blame.record_served(job.fingerprints, now_ms)
    trying[0].exchange(hosts)
    assert not any(host.refuses(job) for host in hosts)


def test_invented_parts_displace_no_crashes():
    """Guards against callers that hide a part behind any number of others."""
    blame = crashblame.CrashBlame()
    counts = blame.counts
    crash(blame, 1, CRASHING)
    crash(blame, 2, CRASHING)
    for number in range(10, 210):
        first = 2 * number * fingerprints.MAX_PARTS + 1
        crash(
            blame, number, *range(first, first + 2 * fingerprints.MAX_PARTS, 2)
        )
    seen = counts.seen(210).crashes
    assert len(seen) == crashcounts.MAX_SHARED
    assert sum(crash.fingerprint == CRASHING for crash in seen) == 2
    assert counts.crashes_of(CRASHING, 210).confirmed == 2


def parts_of(prompt, **changes):
    """Return the fingerprints of a prompt's parts."""
    core = kit.make_scheduler()
    job = kit.make_job(core, Bergamotstream_Prompt_Prefix=prompt)
    return fingerprints.of_parts(job._replace(**changes))


def test_part_is_recognised_within_its_workspace_and_service_only():
    """Guards against refusing the parts of another workspace."""
    first, second = parts_of('a1:40, B2:7,own:9')
    assert parts_of('b2:8,A1:4,other:1') == (second, first)
    assert all(map(fingerprints.is_part, (first, second)))
    assert not parts_of('a1:40')
    other = fleetrecords.Workspace('other', 0)
    assert first not in parts_of('a1:40,own:9', workspace=other)
    job = kit.make_job(kit.make_scheduler())
    plain = job.service._replace(name='plain')
    assert first not in parts_of('a1:40,own:9', service=plain)
    assert len(parts_of(','.join(map(str, range(99))))) == (
        fingerprints.MAX_PARTS
    )


def test_some_events_of_an_answer_clear_its_parts():
    """Guards against blaming a part that was written with for a while."""
    fleet = crashkit.Fleet(hosts=1)
    host = fleet.hosts_by_name['h0']
    state, assignment = host.start_request('/lookup/1', b'x', 'a1', 'p:1,own:1')
    assert state.suspects() == state.job.fingerprints
    state.events = outcomes.WRITTEN_EVENTS
    host.outcomes.record_gap(state, assignment, 10)
    assert state.suspects() == (state.job.fingerprint,)
    assert state.request.add_try().suspects() == state.job.fingerprints
