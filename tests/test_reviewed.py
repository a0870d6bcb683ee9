"""Faults that the review of the incident CONFIG, DENIED has found."""

import asyncio
import contextlib
import time

import corekit
import pytest
import test_sessions as sessioncases

from bergamotstream import (
    chargerequests,
    events,
    messages,
    metrics,
    records,
)
from bergamotstream.forwarding import (
    configurationfetch,
    crashblame,
    pacedreads,
    reach,
    relayformat,
    rendezvous,
)
from bergamotstream.platform import store
from tests import platformkit as kit
from tests import test_callerheads as headcases
from tests import test_cutlinks as cutcases
from tests import test_refusals as refusalcases
from tests import test_relayeddecisions as decisioncases
from tests import test_relaylimits as limitcases
from tests import test_relays as relaycases


@pytest.mark.parametrize('length', [0, 12_000], ids=['short', 'long'])
async def test_log_of_unreadable_bytes_shows_no_key(
    monkeypatch, caplog, length
):
    """Guards against a key, or a long line, in the log of unreadable bytes."""
    line = f'Api-Key: sesame-4711{"x" * length}\x01'
    async with kit.running_system() as system:
        lines = refusalcases.Lines(monkeypatch, system)
        system.daemons[0]._outcomes.refusals._log = system.daemons[0]._log
        async with headcases.connected(system) as (reader, writer):
            writer.write(
                f'GET /lookup/1 HTTP/1.1\r\nHost: a\r\n{line}\r\n\r\n'.encode()
            )
            await asyncio.wait_for(reader.read(), 5)
    refused = lines.of('caller_refused')
    assert [entry['reason'] for entry in refused] == ['unreadable']
    assert len(refused[0]['detail']) < 1_000
    assert 'sesame' not in refused[0]['detail']
    # The HTTP library's own line goes to the same output.
    assert 'sesame' not in caplog.text


@pytest.mark.parametrize('is_cut', [False, True], ids=['direct', 'relayed'])
async def test_authority_of_absolute_form_decides_everywhere(is_cut):
    """Guards against a peer that routes by Host what this host did not."""
    headers = headcases.HEADERS.replace(kit.HOST_NAME, 'other.example')
    target = f'http://{kit.HOST_NAME}/lookup/1'
    async with cutcases.running_system() as (system, cut):
        if is_cut:
            await relaycases.lose_links(system, cut, ['host-0'])
            for entry in cut.targets:
                entry.received.clear()
        async with headcases.connected(system) as (reader, writer):
            status = await headcases.exchange(reader, writer, target, headers)
        hosts = [
            request.headers.get('Host')
            for entry in cut.targets
            for request in entry.received
            if kit.ATTEMPT in request.headers
        ]
    assert status == 200
    assert hosts == [kit.HOST_NAME]


@pytest.mark.parametrize('line', ['X-Own: 1', f'X-Own: {"x" * 70_000}'])
async def test_trailers_without_end_are_ended(line):
    """Guards against a caller that fills memory with trailers of a body."""
    encoded = f'{line}\r\n'.encode()
    encoded *= max(70_000 // len(encoded), 1)
    limit = 40_000_000 if len(line) > 100 else 4_000_000
    sent = 0
    async with kit.running_system() as system:
        async with headcases.connected(system) as (_, writer):
            writer.write(
                f'POST /lookup/1 HTTP/1.1\r\n{headcases.HEADERS}'
                'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n'.encode()
            )
            started = time.monotonic()
            with contextlib.suppress(ConnectionError):
                while sent < limit and time.monotonic() < started + 8:
                    writer.write(encoded)
                    sent += len(encoded)
                    await writer.drain()
                    await asyncio.sleep(0)
            assert sent < limit and time.monotonic() < started + 8


def scheduler_after_return():
    """Return a host that keeps version 7 after a store came back older."""
    core = kit.make_scheduler()
    core.view.items.era = 1
    document = kit.configuration_document(7)
    core.view.apply_changes(
        store.Page((store.Item('op/config', 200, document),), 200, era=1), 0
    )
    core.view.items.era = 2
    return core


def test_peer_of_an_older_build_in_a_later_era_is_not_current():
    """Guards against a peer that decides again by the store's copy.

    Positions of a later era are greater, whatever version they stand for.
    """
    core = scheduler_after_return()
    assert core.view.in_force.version == 7
    peer = decisioncases.state_of('h1', 50, store_era=2)
    assert core.reach.choose_relay('model', [peer], ()) is None


@pytest.mark.parametrize('other', [1, 9], ids=['older', 'newer'])
def test_peer_of_the_same_version_comes_first(other):
    """Guards against tries at peers whose version is told to be another one.

    A request has two of them.
    """
    core = scheduler_after_return()
    peers = [
        decisioncases.state_of(
            f'h{number}',
            50,
            store_era=2,
            checks_decisions=True,
            configuration_version=7 if number == 5 else other,
        )
        for number in range(10)
    ]
    chosen = [
        core.reach.choose_relay('model', peers, ()).entry.name
        for _ in range(20)
    ]
    assert set(chosen) == {'h5'}


async def test_version_of_one_peer_does_not_make_others_refuse():
    """Guards against a 503 by a host that has what most peers have.

    One peer has told a version that nobody else can take, and the others are
    ahead by the check-in of a target.
    """
    async with kit.running_system(4) as system:
        daemon = system.daemons[0]
        core, peers = daemon._core, daemon._peers
        await system.until(lambda: len(peers.live_peers()) == 3)
        now_ms = daemon._clock.now_ms()
        own = core.view.items.complete_position()
        version = core.view.in_force.version
        versions = [version + 1, version, version]
        core.view.lag.compare(version, versions, now_ms - 60_000)
        for number, name in enumerate(sorted(peers.peers_by_name)):
            peers.peers_by_name[name] = peers.peers_by_name[name]._replace(
                store_era=own.era,
                store_revision=own.revision + 1,
                configuration_version=version + (not number),
            )
        core.check_outdated(now_ms, peers.are_mostly_ahead)


@pytest.mark.parametrize('path', decisioncases.PATHS)
async def test_host_that_is_behind_serves_no_request_of_an_older_build(
    monkeypatch, path
):
    """Guards against former services for requests without a decision."""
    head_of = relayformat.head_of
    monkeypatch.setattr(
        relayformat,
        'head_of',
        lambda *given, **progress: head_of(*given, **progress)._replace(
            decision=None
        ),
    )
    monkeypatch.setattr(
        reach.Reach, '_agreeing', lambda self, peers: (list(peers),)
    )
    document = decisioncases.changed_document(3, **decisioncases.MOVED_ROUTES)
    async with decisioncases.lagging_system(document, (1, 2)) as (system, cut):
        for daemon in system.daemons[1:]:
            monkeypatch.setattr(daemon._peers, 'is_ahead', lambda _: True)
        await decisioncases.statuses(system, path)
        runs = decisioncases.runs_by_service(system, cut)
        assert set(runs) <= {'other'}


@pytest.mark.parametrize('is_cut', [False, True], ids=['direct', 'relayed'])
async def test_trial_of_a_blamed_part_reaches_a_target(is_cut):
    """Guards against a peer that refuses the trial which its sender chose."""
    async with cutcases.running_system() as (system, cut):
        if is_cut:
            await relaycases.lose_links(system, cut, ['host-0'])
        seen, trials = [], []
        admit = system.daemons[0]._core.start_trial

        def record(job, now_ms):
            seen.extend(job.parts)
            tried = admit(job, now_ms)
            trials.append(tried.trial_part)
            return tried

        core = system.daemons[0]._core
        core.start_trial = record
        # Parts whose trial is due at host 0, found by their numbers.
        for number in range(64):
            name = f'a{number:x}'
            parts = {'Bergamotstream_Prompt_Prefix': f'{name}:500,bb:500'}
            seen.clear()
            status, _, _ = await system.call('/chat/1', b'', 0, **parts)
            assert status == 200
            (part,) = seen
            names = {
                'host-0',
                *core.table.peer_names(),
                *core.view.hosts_by_name,
            }
            if rendezvous.choose(names, str(part), 1) == ['host-0']:
                break
        for daemon in system.daemons:
            now_ms = daemon._clock.now_ms()
            daemon._core.blame._blame_by_fingerprint[part] = crashblame._Blame(
                now_ms - 31_000, now_ms, 5
            )
        trials.clear()
        status, _, text = await system.call('/chat/1', b'', 0, **parts)
        assert trials == [part]
        assert status == 200


async def test_fetch_asks_another_peer_after_a_fault(monkeypatch):
    """Guards against a host that asks one peer for ever that does not answer.

    Its datagrams come, its connections fail.
    """
    async with kit.running_system(3) as system:
        daemon = system.daemons[0]
        peers = daemon._peers
        await system.until(lambda: len(peers.live_peers()) == 2)
        fetch = configurationfetch.ConfigurationFetch(
            None,
            peers,
            daemon._core.view,
            daemon._log,
            daemon._clock,
            metrics.Metrics(),
        )
        asked = []

        async def receive(peer):
            asked.append(peer.entry.name)
            raise TimeoutError

        monkeypatch.setattr(fetch, '_receive', receive)
        position = daemon._core.view.items.complete_position()
        heard = [
            peer._replace(
                configuration_version=9,
                store_era=position.era,
                store_revision=position.revision,
            )
            for peer in peers.heard_hosts()
        ]
        monkeypatch.setattr(peers, 'heard_hosts', lambda: heard)
        for _ in range(20):
            await fetch._fetch(fetch._choose_peer(), None)
        assert len(set(asked)) == 2


@pytest.mark.parametrize('path', ['/lookup/1', '/order/1'])
async def test_relayed_head_may_be_as_long_as_a_callers(path):
    """Guards against a bound of peers that is narrower than that of callers.

    The encoded head of a relayed request is longer than the caller's.
    """
    line = f'X-Long: {"x1y" * 580_000}\r\n'
    async with cutcases.running_system() as (system, cut):
        await limitcases.set_limits(system, max_header_bytes=1_900_000)
        await relaycases.lose_links(system, cut, ['host-0'])
        async with headcases.connected(system) as (reader, writer):
            status = await headcases.exchange(
                reader, writer, path, headcases.HEADERS + line
            )
        assert status == 200


async def test_pipelined_heads_are_counted_one_by_one():
    """Guards against sound requests whose heads are added up."""
    line = f'X-Long: {"x" * 9_000}\r\n'
    request = f'GET /lookup/1 HTTP/1.1\r\n{headcases.HEADERS}{line}\r\n'
    count = pacedreads.MAX_HEAD_BYTES * 2 // len(request)
    async with cutcases.running_system() as (system, _):
        async with headcases.connected(system) as (reader, writer):
            writer.write(request.encode() * count)
            for _ in range(count):
                head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 20)
                assert b' 200 ' in head.splitlines()[0]
                for entry in head.lower().split(b'\r\n'):
                    if entry.startswith(b'content-length:'):
                        await reader.readexactly(int(entry.split(b':')[1]))


@pytest.mark.parametrize('framing', ['length', 'chunks'])
async def test_long_body_with_upgrade_is_not_ended_as_a_head(framing):
    """Guards against a body that counts as a head after ``Upgrade``."""
    body = b'x' * (3 * pacedreads.MAX_HEAD_BYTES)
    headers = headcases.HEADERS + 'Connection: upgrade\r\nUpgrade: own\r\n'
    if framing == 'length':
        headers += f'Content-Length: {len(body)}\r\n\r\n'
        sent = headers.encode() + body
    else:
        headers += 'Transfer-Encoding: chunked\r\n\r\n'
        sent = b''.join(
            (
                headers.encode(),
                f'{len(body):x}\r\n'.encode(),
                body,
                b'\r\n0\r\n\r\n',
            )
        )
    async with cutcases.running_system() as (system, _):
        await limitcases.set_limits(system, max_body_bytes=len(body))
        async with headcases.connected(system) as (reader, writer):
            writer.write(b'POST /lookup/1 HTTP/1.1\r\n' + sent)
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 10)
        assert b' 200 ' in head.splitlines()[0]


def added_workspace_asked():
    """Return a host with a workspace that the account's owner lacks.

    The third value is the charge that it has asked for.
    """
    accepting, owner = corekit.Host(), corekit.Host()
    workspaces = {
        name: records.WorkspaceConfig(name, 0, 1.0, 4, 100_000)
        for name in ('small', 'added')
    }
    newer = corekit.make_bundle(version=2, workspaces_by_name=workspaces)
    accepting.core.state.bundle = newer
    accepting.send(events.BundleChanged(2))
    asked, _ = sessioncases.send_request(accepting, workspace='added')
    owner.core.state.owned_partitions.add(asked[0].partition)
    owner.send(events.PartitionAcquired(asked[0].partition))
    return accepting, owner, asked[0]


def charge_replies(owner, asked):
    """Return what an owner answers, once it answers."""
    return corekit.messages_of(
        owner.receive(asked, 2_000), messages.ChargeReply
    )


def test_owner_with_an_older_bundle_refuses_no_request_as_wrong():
    """Guards against 404 for a workspace that the caller's host knows.

    The owner of its account has not read the bundle that added it yet.
    """
    accepting, owner, asked = added_workspace_asked()
    replies = charge_replies(owner, asked)
    refused = [
        refusal
        for reply in replies
        for refusal in sessioncases.refusals(accepting.receive(reply))
    ]
    assert replies
    assert not [entry for entry in refused if '404' in str(entry)]
    assert not [entry for entry in refused if entry.code == 'unknown_workspace']


def test_owner_with_an_older_bundle_is_asked_again():
    """Guards against a charge that its owner never counts."""
    accepting, owner, asked = added_workspace_asked()
    (refusal,) = charge_replies(owner, asked)
    accepting.receive(refusal)
    repeated = corekit.messages_of(
        accepting.send(events.Tick(), 300), messages.ChargeRequest
    )
    assert repeated == [asked]
    owner.core.state.bundle = accepting.core.state.bundle
    (granted,) = charge_replies(owner, repeated[0])
    assert granted.granted
    assert not sessioncases.refusals(accepting.receive(granted))
    later = accepting.send(events.Tick(), 300)
    assert not corekit.messages_of(later, messages.ChargeRequest)


def test_request_runs_while_its_owner_has_an_older_bundle():
    """Guards against requests that wait for the owner's bundle.

    They run within the local share, as without an owner.
    """
    accepting, owner, asked = added_workspace_asked()
    for reply in charge_replies(owner, asked):
        assert not sessioncases.refusals(accepting.receive(reply))
    accepting.send(events.Tick(), chargerequests.OWNER_TIMEOUT_MS)
    later = accepting.send(events.Tick(), 300)
    assert not corekit.messages_of(later, messages.ChargeRequest)


def test_owner_with_a_newer_bundle_is_believed():
    """Guards against requests of a workspace that has been withdrawn.

    The accepting host has an older bundle than the account's owner.
    """
    accepting, owner, asked = added_workspace_asked()
    without = corekit.make_bundle(
        version=3,
        workspaces_by_name={
            'small': records.WorkspaceConfig('small', 0, 1.0, 4, 100_000)
        },
    )
    owner.core.state.bundle = without
    (reply,) = charge_replies(owner, asked)
    assert [
        refusal.code
        for refusal in sessioncases.refusals(accepting.receive(reply))
    ] == ['unknown_workspace']


async def test_host_that_knows_more_is_told_by_its_position():
    """Guards against requests of older builds that are taken for newer ones."""
    async with kit.running_system(2) as system:
        daemon = system.daemons[0]
        peers = daemon._peers
        await system.until(lambda: peers.live_peers())
        (state,) = peers.live_peers()
        await system.until(
            lambda: (
                peers.peers_by_name[state.entry.name].complete_position()
                == daemon._core.view.items.complete_position()
            )
        )
        state = peers.peers_by_name[state.entry.name]
        assert not peers.is_ahead(state.entry.name)
        peers.peers_by_name[state.entry.name] = state._replace(
            store_revision=state.store_revision + 1
        )
        assert peers.is_ahead(state.entry.name)
        assert not peers.is_ahead('unknown')
