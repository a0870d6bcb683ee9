"""Configurations that the store accepts, with odd fields in any place."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import errors
from bergamotstream.forwarding import fleetrecords, fleetview, routing
from bergamotstream.platform import configurationformat, store
from tests import oddkit, test_oddentries
from tests import platformkit as kit

BODY = json.loads(kit.configuration_document(version=8))
# Odd versions: the whole document is refused.
UNUSABLE = {'infinite_version', 'version_as_list', 'version_too_large'}
ODD = {
    kind: changes
    for kind, changes in test_oddentries.ODD_CONFIGURATIONS.items()
    if kind not in UNUSABLE
}


def document_of(**changes):
    return json.dumps(BODY | changes).encode()


def view_with_older():
    view = fleetview.FleetView()
    apply(view, kit.configuration_document(version=7), 10)
    return view


def apply(view, document, revision):
    item = store.Item('op/config', revision, document)
    return view.apply_changes(store.Page((item,), revision), 0)


def in_force(**changes):
    """Return the configuration in force after a document with changes."""
    view = view_with_older()
    apply(view, document_of(**changes), 11)
    assert view.configuration.version == changes.get('version', 8)
    return view.configuration


def allowed(**changes):
    """Return the same of a document that has no fault."""
    view = view_with_older()
    found = apply(view, document_of(**changes), 11)
    assert [change.outcome for change in found] == ['in_force']
    return view.configuration


def one_route(**changes):
    return {'routes': [kit.route('lookup', '/lookup/', 'idempotent') | changes]}


def only_route(**changes):
    configuration = in_force(**one_route(**changes))
    return next(iter(configuration.routes_by_match.values()))


def allowed_route(**changes):
    configuration = allowed(**one_route(**changes))
    return next(iter(configuration.routes_by_match.values()))


def without(fields, *names):
    return {name: fields[name] for name in fields if name not in names}


OPTIONAL_OF_ROUTE = (
    'goal_ms',
    'priority',
    'traffic_split',
    'attempts',
    'public',
    'sticky',
    'resumable',
    'gap_target_ms',
)


@pytest.mark.parametrize('field', OPTIONAL_OF_ROUTE)
def test_optional_field_of_a_route_is_missing_or_null(field):
    """Guards against a route that costs the configuration by a null."""
    whole = kit.route('lookup', '/lookup/', 'idempotent')
    configuration = allowed(routes=[without(whole, field)])
    route = next(iter(configuration.routes_by_match.values()))
    assert allowed_route(**{field: None}) == route


@pytest.mark.parametrize('found', [None, {}])
def test_limits_are_null_or_empty(found):
    """Guards against a configuration that is refused without limits."""
    assert allowed(limits=found).limits.max_header_bytes == 16_384


@pytest.mark.parametrize('field', ['max_header_bytes', 'max_body_bytes'])
def test_limit_is_null(field):
    """Guards against a limit whose null costs the configuration."""
    limits = allowed(limits=BODY['limits'] | {field: None}).limits
    assert limits.max_header_bytes == 16_384


@pytest.mark.parametrize(
    'field', ['health_path', 'max_conns', 'cold_per_s', 'engine']
)
def test_optional_field_of_a_service_is_missing_or_null(field):
    """Guards against a service that costs the configuration by a null."""
    service = BODY['services'][1]
    missing = allowed(services=[without(service, field)])
    null = allowed(services=[service | {field: None}])
    assert missing.services_by_name == null.services_by_name


@pytest.mark.parametrize('field', ['stride', 'usual'])
def test_optional_field_of_an_engine_is_missing_or_null(field):
    """Guards against an engine that costs the configuration by a null."""
    service = BODY['services'][1]
    engines = [without(kit.ENGINE, field), kit.ENGINE | {field: None}]
    found = [
        allowed(services=[service | {'engine': engine}]).services_by_name
        for engine in engines
    ]
    assert found[0] == found[1]
    assert found[0]['model'].engine is not None


def as_fractions(part):
    """Return a document with each whole number written as a fraction."""
    if isinstance(part, dict):
        return {name: as_fractions(inner) for name, inner in part.items()}
    if isinstance(part, list):
        return [as_fractions(inner) for inner in part]
    if isinstance(part, int) and not isinstance(part, bool):
        return float(part)
    return part


def test_whole_numbers_are_written_as_fractions():
    """Guards against a writer whose numbers all have a decimal point."""
    assert allowed(**as_fractions(BODY)) == allowed()


@pytest.mark.parametrize('field', ['timeout_ms', 'goal_ms', 'gap_target_ms'])
@pytest.mark.parametrize('found', [0.4, 250.5, 1_000.25])
def test_time_is_a_fraction(field, found):
    """Guards against a time in milliseconds that is not whole."""
    route = allowed_route(**{field: found})
    times = {
        'timeout_ms': route.timeout_ms,
        'goal_ms': route.goal_ms,
        'gap_target_ms': route.pause_goal_ms,
    }
    assert found <= times[field] < found + 1


def test_weights_are_fractions_or_nothing():
    """Guards against weights that are parts of one."""
    split = [
        {'service': 'plain', 'weight': 0.25},
        {'service': 'model', 'weight': 0.75},
        {'service': 'none', 'weight': 0},
    ]
    shares = allowed_route(traffic_split=split).shares
    assert shares == (('plain', 0.25), ('model', 0.75))


@pytest.mark.parametrize('kind', ['batch', 'STREAMING', 'x' * 5_000])
def test_unknown_kind_runs_once(kind):
    """Guards against a kind of a later version of the pages."""
    route = allowed_route(kind=kind, resumable=True)
    assert not route.streaming
    assert route.retry_policy is fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN


def test_long_lists_and_empty_lists():
    """Guards against a bound on routes and keys that no page names."""
    routes = [
        kit.route(f'r{number}', f'/r{number}/', 'idempotent')
        for number in range(5_000)
    ]
    keys = [f'k{number}' for number in range(20_000)]
    found = allowed(routes=routes, tenants=[{'name': 'many', 'api_keys': keys}])
    assert len(found.routes_by_match) == len(routes)
    assert len(found.workspaces_by_key) == len(keys)
    empty = allowed(routes=[], services=[], tenants=[])
    assert not empty.routes_by_match
    assert not empty.requires_key
    unkeyed = allowed(tenants=[{'name': 'a', 'api_keys': []}])
    assert unkeyed.requires_key


def test_names_that_repeat_and_services_that_are_not_listed():
    """Guards against a configuration refused for entries that overlap."""
    twice = [
        kit.route('a', '/a/', 'idempotent', service='none'),
        kit.route('b', '/a/', 'idempotent'),
    ]
    tenants = [{'name': name, 'api_keys': ['k', 'k']} for name in ('a', 'b')]
    found = allowed(routes=twice, tenants=tenants)
    assert len(found.routes_by_match) == 1
    assert found.workspaces_by_key['k'].name == 'b'
    assert allowed_route(service='none').shares[0].service == 'none'


HEADER_TEXT = strategies.text(
    strategies.characters(min_codepoint=0x21, max_codepoint=0x7E),
    min_size=1,
    max_size=40,
).flatmap(lambda part: strategies.sampled_from([part, part * 50, part * 200]))


@hypothesis.given(HEADER_TEXT, HEADER_TEXT, HEADER_TEXT, HEADER_TEXT)
def test_names_are_any_text_of_a_header_or_path(host, path, name, key):
    """Guards against bounds on names that no page names."""
    routes = [
        kit.route(name, f'/{path}/', 'idempotent', host=host, service=name)
    ]
    found = allowed(
        routes=routes,
        services=[{'name': name}],
        tenants=[{'name': name, 'api_keys': [key]}],
    )
    route = routing.find_route(found, host.lower(), f'/{path}/1')
    assert route.name == name
    assert route.shares[0].service == name
    workspace = routing.find_workspace(found, route, [key])
    assert workspace.name == name


@pytest.mark.parametrize('key', ['k\tk', 'k k', 'ké', 'k\u00a0'])
def test_key_is_any_text_of_a_header(key):
    """Guards against a key that is refused for characters in it."""
    found = allowed(tenants=[{'name': 'a', 'api_keys': [key]}])
    assert found.workspaces_by_key[key].name == 'a'


EXTRA = strategies.dictionaries(
    strategies.text(max_size=8).map(lambda name: f'x-{name}'),
    oddkit.JSON,
    max_size=2,
)


@hypothesis.given(EXTRA)
def test_unknown_fields_of_any_shape_in_any_place(extra):
    """Guards against a field of a later version of the pages."""
    assert allowed(**with_extra(BODY, extra)) == allowed()


def with_extra(part, extra):
    if isinstance(part, dict):
        return {
            name: with_extra(inner, extra) for name, inner in part.items()
        } | extra
    if isinstance(part, list):
        return [with_extra(inner, extra) for inner in part]
    return part


def test_unknown_field_that_nests_deep():
    """Guards against a bound on levels that no page names."""
    deep = json.loads('[' * 100 + ']' * 100)
    assert allowed(notes=deep) == allowed()


NUMBERS = (
    strategies.integers()
    | strategies.integers(-10, 1 << 70)
    | strategies.floats()
)
NUMBERS_OF_ROUTE = (
    'timeout_ms',
    'goal_ms',
    'gap_target_ms',
    'attempts',
    'priority',
)


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(NUMBERS_OF_ROUTE), NUMBERS)
)
def test_numbers_of_a_route_in_and_beyond_their_ranges(numbers):
    """Guards against a number of one route that freezes all routes."""
    check_route(only_route(**numbers))


def check_route(route):
    """Check that the numbers of a route fit into all uses."""
    assert 0 <= route.timeout_ms <= configurationformat.MAX_DURATION_MS
    assert 0 <= route.goal_ms <= configurationformat.MAX_DURATION_MS
    assert 0 <= route.pause_goal_ms <= configurationformat.MAX_DURATION_MS
    assert 1 <= route.max_targets <= configurationformat.MAX_COUNT
    assert abs(route.priority) <= configurationformat.MAX_COUNT
    whole = (route.timeout_ms, route.goal_ms, route.max_targets)
    assert all(isinstance(found, int) for found in whole)
    for share in route.shares:
        assert 0 < share.weight <= configurationformat.MAX_COUNT


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(tuple(without(kit.ENGINE, 'usual'))), NUMBERS
    ),
    NUMBERS,
)
def test_numbers_of_an_engine_in_and_beyond_their_ranges(numbers, cold):
    """Guards against a number of one service that freezes all routes."""
    service = {
        'name': 'model',
        'cold_per_s': cold,
        'engine': kit.ENGINE | numbers,
    }
    check_service(in_force(services=[service]).services_by_name['model'])


def check_service(service):
    """Check that the numbers of a service fit into all uses."""
    assert 0 <= service.cold_requests_per_s <= configurationformat.MAX_RATE
    engine = service.engine
    if engine is not None:
        assert 1 <= engine.slots <= configurationformat.MAX_SLOTS
        assert engine.steps_in_pass >= 1
        assert engine.prefill_tokens_per_ms > 0
        assert 0 <= engine.memory_tokens <= configurationformat.MAX_TOKENS
        assert 0 <= engine.step_ms <= configurationformat.MAX_RATE


@pytest.mark.parametrize('kind', ODD)
def test_odd_field_does_not_cost_the_configuration(kind):
    """Guards against a host that stays at the old configuration for good.

    The store has recorded the revision, so the host never asks again.
    """
    found = in_force(**ODD[kind])
    for route in found.routes_by_match.values():
        check_route(route)
    for service in found.services_by_name.values():
        check_service(service)


@pytest.mark.parametrize('kind', [None, '', 5, ['streaming']])
def test_kind_that_is_no_text_runs_once(kind):
    """Guards against a second run of a request that allows one."""
    route = only_route(kind=kind, resumable=True)
    assert not route.streaming
    assert route.retry_policy is fleetrecords.RetryPolicy.ONLY_IF_NOT_RUN


@pytest.mark.parametrize('flag', ['false', 'yes', [1], {'a': 1}, 2, 0.5])
def test_public_that_is_no_flag_asks_for_a_key(flag):
    """Guards against access without a key by a field of another type."""
    assert not only_route(public=flag).public


PARTS = [path for path in oddkit.paths_of(BODY) if len(path) > 1]


@hypothesis.given(strategies.sampled_from(PARTS), oddkit.JSON)
def test_any_part_of_any_type_does_not_cost_the_configuration(path, part):
    """Guards against a configuration dropped for one part of any type."""
    found = in_force(**oddkit.replaced(BODY, path, part))
    for route in found.routes_by_match.values():
        check_route(route)
    for service in found.services_by_name.values():
        check_service(service)


@pytest.mark.parametrize(
    'document',
    [
        b'',
        b'\xff',
        b'[]',
        b'5',
        b'{"routes": [], "services": []}',
        document_of(version=None),
        document_of(version=-1),
        document_of(version=1.5),
        document_of(version='8'),
        document_of(routes=None),
        document_of(services={}),
    ],
)
def test_document_without_its_essential_parts_is_refused(document):
    """Guards against a host that serves nothing after a broken document."""
    view = view_with_older()
    changes = apply(view, document, 11)
    assert [change.outcome for change in changes] == ['refused']
    assert view.configuration.version == 7


@pytest.mark.parametrize('document', [b'{"version": 8}', document_of(routes=5)])
def test_version_written_again_after_a_refusal_is_applied(document):
    """Guards against a version that stays refused once it can be read."""
    view = view_with_older()
    apply(view, document, 11)
    changes = apply(view, document_of(), 12)
    assert changes[0].outcome == 'in_force'
    assert view.in_force.version == 8


def refused_fields(changes):
    """Return the keys of the fields that were reported as refused."""
    return [
        change.detail.partition(':')[0]
        for change in changes
        if (change.subject, change.outcome)
        == ('configuration', 'field_refused')
    ]


def test_refused_field_is_reported_once():
    """Guards against odd fields that no log names, or that fill it."""
    view = view_with_older()
    odd = one_route(timeout_ms='1s') | {'services': [{'name': 5}]}
    found = [
        refused_fields(apply(view, document_of(**changes), 3 + version))
        for version, changes in enumerate(
            (
                odd | {'version': 8},
                odd | {'version': 9},
                {'version': 10},
                odd | {'version': 11},
            ),
            start=8,
        )
    ]
    keys = ['routes[0].timeout_ms', 'services[0].name']
    assert found == [keys, [], [], keys]


def test_many_refused_fields_are_counted():
    """Guards against a document that fills the log."""
    view = view_with_older()
    routes = [
        kit.route('a', f'/{number}/', 'idempotent', timeout_ms='x' * 9_000)
        for number in range(500)
    ]
    changes = apply(view, document_of(routes=routes), 11)
    assert len(changes) == 22
    assert changes[-1].detail == '480 more'
    assert all(len(change.detail) < 500 for change in changes)


@pytest.mark.parametrize(
    ('odd', 'path', 'headers'),
    [
        ({'service': 5}, '/lookup/deep/1', {}),
        ({'service': None, 'traffic_split': [7]}, '/lookup/deep/1', {}),
        ({'host': 5}, '/none/1', {}),
        ({'prefix': None}, '/none/1', {}),
        ({}, '/lookup/1', {'Api_Key': 'of-odd'}),
    ],
)
async def test_request_of_an_entry_that_is_left_out_is_told_to_retry(
    odd, path, headers
):
    """Guards against 404 or 401 for what the operators have configured, and
    against a run by the service of a shorter prefix."""
    routes = [
        kit.route('lookup', '/lookup/', 'idempotent'),
        kit.route('odd', '/lookup/deep/', 'idempotent') | odd,
    ]
    tenants = [*BODY['tenants'], {'name': 5, 'api_keys': ['of-odd']}]
    document = document_of(routes=routes, tenants=tenants)

    async with (
        kit.running_system(document=document) as system,
        kit.raw_target(oddkit.answer_plain) as target,
    ):
        await system.add_target('t1', target)
        status, answer, body = await system.call(path, **headers)
        assert status == 503
        assert b'configuration_outdated' in body
        assert float(answer['Retry-After']) > 0
        assert not target.received
        status, _, _ = await system.call('/lookup/1')
        assert status == 200


def test_request_without_a_key_is_refused_beside_a_key_that_is_left_out():
    """Guards against a retry delay where no key was given."""
    found = in_force(tenants=[{'name': 'a', 'api_keys': [5]}])
    assert found.requires_key
    route = routing.find_route(found, kit.HOST_NAME, '/lookup/1')
    with pytest.raises(errors.UnknownKey):
        routing.find_workspace(found, route, [])
    with pytest.raises(errors.ConfigurationOutdated):
        routing.find_workspace(found, route, ['5'])


ODD_SERVICE = one_route(service=5)


def test_version_written_again_without_its_odd_fields_is_applied():
    """Guards against fields that stay refused until the next version."""
    view = view_with_older()
    apply(view, document_of(**ODD_SERVICE), 11)
    changes = apply(view, document_of(), 12)
    assert [change.outcome for change in changes] == ['in_force']
    assert view.in_force.position.revision == 12
    assert len(view.configuration.routes_by_match) == len(BODY['routes'])


@pytest.mark.parametrize(
    ('first', 'second'), [({}, ODD_SERVICE), (ODD_SERVICE, ODD_SERVICE)]
)
def test_version_written_again_with_odd_fields_is_not_applied(first, second):
    """Guards against a sound configuration replaced by one with gaps."""
    view = view_with_older()
    apply(view, document_of(**first), 11)
    known = view.configuration
    changes = apply(view, document_of(**second), 12)
    assert [change.outcome for change in changes] == ['older']
    assert view.configuration is known
