"""Requests that a host passes to peers which know another configuration."""

import collections
import contextlib
import json

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import (
    fleetrecords,
    links,
    peerformat,
    relayedadmission,
)
from bergamotstream.platform import store
from tests import platformkit as kit
from tests import test_cutlinks as cutcases
from tests import test_relays as relaycases

PATHS = ('/lookup/1', '/order/1', '/chat/1')
REQUESTS = 10
TENANTS = [
    {'name': 'small', 'api_keys': [kit.KEY], 'priority': 0},
    {'name': 'large', 'api_keys': ['key-2'], 'priority': 1},
]


def changed_document(version, **changes_by_route):
    """Return a configuration in which some routes are changed."""
    body = json.loads(kit.configuration_document())
    routes = [
        entry | changes_by_route.get(entry['name'], {})
        for entry in body['routes']
    ]
    services = [*body['services'], {'name': 'other', 'health_path': '/h'}]
    return kit.configuration_document(
        version, routes=routes, services=services, tenants=TENANTS
    )


def move_keys(version):
    """Return a configuration in which both keys have changed hands."""
    body = json.loads(changed_document(version))
    keys = [entry['api_keys'] for entry in TENANTS]
    tenants = [
        entry | {'api_keys': moved}
        for entry, moved in zip(TENANTS, reversed(keys), strict=True)
    ]
    return json.dumps(body | {'tenants': tenants}).encode()


MOVED = {'service': 'other'}
MOVED_ROUTES = {'lookup': MOVED, 'order': MOVED, 'chat': MOVED}


async def put_configuration(system, document):
    """Write a configuration and wait until all hosts have it in force."""
    await system.store.put('op/config', document)
    version = json.loads(document)['version']
    await system.until(
        lambda: all(
            daemon._core.view.configuration.version == version
            for daemon in system.daemons
        )
    )


@contextlib.asynccontextmanager
async def lagging_system(document, lagging):
    """Yield a system in which some hosts do not have the last configuration.

    Host 0 has no links. Targets of each service tell which one they serve.
    """
    async with contextlib.AsyncExitStack() as stack:
        system, cut = await stack.enter_async_context(cutcases.running_system())
        await put_configuration(system, changed_document(2))
        for number in range(2):
            target = await stack.enter_async_context(
                kit.raw_target(cutcases.respond)
            )
            cut.add_target(target)
            await system.add_target(f'o{number}', target, service='other')
        older = [daemon._core.view.configuration for daemon in system.daemons]
        await relaycases.lose_links(system, cut, ['host-0'])
        await put_configuration(system, document)
        for number in lagging:
            system.daemons[number]._core.view.configuration = older[number]
        for target in cut.targets:
            target.received.clear()
        yield system, cut


def runs_by_service(system, cut):
    """Return the requests of callers that each service has received."""
    service_by_address = {
        entry.address: entry.service
        for entry in system.daemons[0]._core.view.targets_by_id.values()
    }
    runs = collections.Counter()
    for target in cut.targets:
        runs[service_by_address[target.address]] += sum(
            kit.ATTEMPT in request.headers for request in target.received
        )
    return +runs


async def statuses(system, path, requests=REQUESTS, **headers):
    """Send requests to the host without links, one after the other."""
    return [
        (await system.call(path, f'{number}'.encode(), **headers))[0]
        for number in range(requests)
    ]


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('behind', [(1,), (1, 2)], ids=['one', 'both'])
async def test_moved_route_does_not_run_at_its_former_service(path, behind):
    """Guards against a peer that routes a request by an older configuration."""
    document = changed_document(3, **MOVED_ROUTES)
    async with lagging_system(document, behind) as (system, cut):
        answered = await statuses(system, path)
        # A peer that is not behind serves; without one callers come back.
        expected = 200 if len(behind) == 1 else 503
        assert answered == [expected] * REQUESTS
        assert set(runs_by_service(system, cut)) <= {'other'}


@pytest.mark.parametrize('path', PATHS)
async def test_host_that_is_behind_shows_no_newer_route(path):
    """Guards against a host whose requests change between two versions."""
    document = changed_document(3, **MOVED_ROUTES)
    async with lagging_system(document, (0, 1)) as (system, cut):
        assert await statuses(system, path) == [200] * REQUESTS
        assert 'other' not in runs_by_service(system, cut)


@pytest.mark.parametrize('path', PATHS)
async def test_moved_key_does_not_run_for_its_former_workspace(path):
    """Guards against a peer that names the workspace by older keys."""
    async with lagging_system(move_keys(3), (1, 2)) as (system, cut):
        answered = await statuses(system, path)
        assert answered == [503] * REQUESTS
        assert not runs_by_service(system, cut)


async def test_route_that_must_run_once_is_not_repeated_by_a_peer():
    """Guards against a peer that repeats a request by an older rule."""
    document = changed_document(3, lookup={'kind': 'non_idempotent'})

    async def break_off(request, writer):
        kit.reset(writer)

    async with lagging_system(document, (1, 2)) as (system, cut):
        for target in cut.targets:
            target._respond = break_off
        await statuses(system, '/lookup/1', 1)
        assert sum(runs_by_service(system, cut).values()) <= 1


@pytest.mark.parametrize('path', PATHS)
async def test_split_route_keeps_the_chosen_service_at_a_peer(path):
    """Guards against a peer that draws the service of a request again."""
    split = [
        {'service': 'plain', 'weight': 1},
        {'service': 'other', 'weight': 1},
    ]
    changed = {'traffic_split': split}
    document = changed_document(3, lookup=changed, order=changed, chat=changed)
    async with lagging_system(document, ()) as (system, cut):
        chosen = collections.Counter()
        core = system.daemons[0]._core
        admit = core.admit

        def record(request, now_ms):
            job = admit(request, now_ms)
            chosen[job.service.name] += 1
            return job

        core.admit = record
        assert await statuses(system, path) == [200] * REQUESTS
        assert runs_by_service(system, cut) == chosen


async def test_change_beside_a_route_does_not_stop_relays():
    """Guards against refusals for changes that do not concern a request."""
    document = changed_document(3, order={'goal_ms': 100, 'timeout_ms': 900})
    async with lagging_system(document, (1, 2)) as (system, cut):
        for path in PATHS:
            assert await statuses(system, path) == [200] * REQUESTS


def state_of(name, revision, **changes):
    """Return the state of a peer that serves requests."""
    entry = fleetrecords.HostEntry(name, 'rosario', '1.1.1.1:1', '1.1.1.1:2', 1)
    fields = {
        'entry': entry,
        'sequence': 1,
        'ready': True,
        'store_revision': revision,
        'own_commitments': (),
        'health_estimates': (),
        'store_answered_ms': 0,
        'link_report': links.Report(),
        'accepts_requests': True,
    }
    return peerformat.HostState(**(fields | changes))


@pytest.mark.parametrize('era', [0, 1])
@pytest.mark.parametrize('checks', [False, True])
@pytest.mark.parametrize(
    ('behind', 'expected'), [(0, True), (1, False)], ids=['current', 'behind']
)
def test_peer_of_an_older_build_serves_only_if_it_is_current(
    era, checks, behind, expected
):
    """Guards against a peer that cannot tell that its decision differs."""
    core = kit.make_scheduler()
    core.view.items.era = 1
    document = kit.configuration_document(2)
    core.view.apply_changes(
        store.Page((store.Item('op/config', 200, document),), 200, era=1), 0
    )
    peer = state_of('h1', 200 - behind, store_era=era, checks_decisions=checks)
    decoded = peerformat.decode(peerformat.encode(peer, 0), 0)
    chosen = core.reach.choose_relay('model', [decoded], ())
    assert (chosen is not None) is (expected or checks)


def test_peer_that_has_the_configuration_comes_first():
    """Guards against tries at peers that refuse while others would serve."""
    core = kit.make_scheduler()
    document = kit.configuration_document(2)
    core.view.apply_changes(
        store.Page((store.Item('op/config', 200, document),), 200), 0
    )
    peers = [
        state_of(f'h{number}', 199 + (number == 5), checks_decisions=True)
        for number in range(10)
    ]
    for _ in range(20):
        chosen = core.reach.choose_relay('model', peers, ())
        assert chosen.entry.name == 'h5'
    assert core.reach.choose_relay('model', peers, ('h5',)) is not None


def test_peer_that_knows_no_route_does_not_answer_as_if_it_were_wrong():
    """Guards against 404 and 401 at callers of hosts of earlier builds."""
    core = kit.make_scheduler()
    for request in (
        kit.make_request(path='/none/1'),
        kit.make_request(Api_Key='no'),
    ):
        with pytest.raises(errors.ConfigurationOutdated) as refused:
            relayedadmission.admit(
                core, request, None, 0, is_sender_ahead=False
            )
        assert refused.value.status == 503
