"""Odd entries, configurations and records of other writers."""

import asyncio
import json

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import errors
from bergamotstream.forwarding import fleetrecords, fleetview
from bergamotstream.platform import bootsettings, documents
from tests import oddkit
from tests import platformkit as kit

ODD_BLAMED = ('f' * 17, 'f' * 180, '-5', '0x12', '1_0', ' 1', '', 'g' * 16)


@pytest.mark.parametrize('rest', ODD_BLAMED)
def test_odd_record_of_a_blamed_request_blames_none(rest):
    """Guards against fingerprints that a message cannot hold."""
    with pytest.raises(documents.Undecodable):
        documents.decode_blamed_key(rest)


async def test_odd_record_of_a_blamed_request_ends_no_host():
    """Guards against one record that ends all hosts."""
    async with kit.running_system(2) as system:
        for rest in ODD_BLAMED:
            await system.store.put(f'bergamotstream/blamed/{rest}', b'{}')
        await asyncio.sleep(1.2)
        assert oddkit.is_alive(system)


CHECKED = json.loads(kit.target_document(oddkit.SOUND))
ODD_DOCUMENTS = {
    'deep_arrays': b'[' * oddkit.DEEP + b']' * oddkit.DEEP,
    'deep_unclosed': b'[' * oddkit.DEEP,
    'deep_objects': b'{"a":' * oddkit.DEEP + b'1' + b'}' * oddkit.DEEP,
    'deep_in_field': kit.target_document(oddkit.SOUND)[:-1]
    + b', "zone": '
    + b'[' * oddkit.DEEP
    + b']' * oddkit.DEEP
    + b'}',
    'deep_beside_fields': kit.target_document(oddkit.SOUND)[:-1]
    + b', "other": '
    + b'[' * 900
    + b']' * 900
    + b'}',
    'long_number': b'{"born": ' + b'9' * oddkit.LONG + b'}',
    'long_port': kit.target_document('10.0.0.1:' + '8' * oddkit.LONG),
    'long_octet': kit.target_document('1' * oddkit.LONG + '.0.0.1:80'),
    'no_text': b'\xff\xfe\x00',
    'empty': b'',
}


@pytest.mark.parametrize('kind', ODD_DOCUMENTS)
@pytest.mark.parametrize('prefix', ['servers/', 'bergamotstream/hosts/', 'op/'])
async def test_odd_entry_does_not_stop_the_following_of_the_list(kind, prefix):
    """Guards against one entry that costs the rest of the list.

    A host that follows the list never learned of targets after the entry, and
    one that started then was never ready.
    """
    key = f'{prefix}odd' if prefix != 'op/' else 'op/config'
    async with (
        kit.running_system() as system,
        kit.raw_target(oddkit.answer_plain) as target,
    ):
        await system.store.put(key, ODD_DOCUMENTS[kind])
        await system.add_target('t1', target)
        if key != 'op/config':
            await system.start_host('host-late')
            await system.until(
                lambda: all(
                    't1' in daemon._core.view.targets_by_id
                    for daemon in system.daemons
                )
            )
        assert oddkit.is_alive(system)
        status, _, _ = await system.call('/lookup/1')
        assert status == 200


@pytest.mark.parametrize(
    'changes',
    [
        {'slots': 1 << 32},
        {'cold_left_ms': 1 << 40},
        {'born': 1 << 64},
        {'born': 10**300},
        {'service': 'plain\ud800'},
        {'service': 'x' * 100_000},
        {'zone': 'rosario\nevent=readiness'},
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:8٠'},
        {'address': '010.0.0.1:80'},
        {'address': '10.0.0.1:' + '8' * oddkit.LONG},
    ],
)
def test_field_out_of_range_names_no_target(changes):
    """Guards against fields that fail later, as in a message to peers."""
    view = fleetview.FleetView()
    oddkit.put(view, 't1', 5, **changes)
    assert not view.targets_by_id


@pytest.mark.parametrize('name', ['', 'a\r\nb', 'a b', 'a\ud800', 'x' * 300])
def test_key_that_no_header_can_hold_names_no_target(name):
    """Guards against ids that cannot be sent to a target."""
    view = fleetview.FleetView()
    oddkit.put(view, name, 5)
    assert not view.targets_by_id


async def test_target_that_names_a_limit_after_a_huge_start_ends_no_host():
    """Guards against a message to peers that cannot hold a field."""

    async def respond(request, writer):
        writer.write(kit.answer(request, extra='Server-Limit: 5\r\n'))
        await writer.drain()

    async with (
        kit.running_system() as system,
        kit.raw_target(respond) as target,
    ):
        await system.store.put(
            'servers/odd',
            kit.target_document(target.address, born=1 << 65),
        )
        await asyncio.sleep(0.3)
        await system.call('/lookup/1')
        await asyncio.sleep(1)
        assert oddkit.is_alive(system)


def changed_route(**changes):
    plain = kit.route('lookup', '/lookup/', 'idempotent')
    return {'routes': [plain | changes]}


def changed_engine(**changes):
    return {
        'services': [
            {'name': 'model', 'engine': kit.ENGINE | changes},
        ]
    }


ODD_CONFIGURATIONS = {
    'infinite_version': {'version': float('inf')},
    'version_as_list': {'version': []},
    'version_too_large': {'version': 1 << 64},
    'limits_as_list': {'limits': [1]},
    'limit_infinite': {'limits': {'max_body_bytes': float('inf')}},
    'limit_negative': {'limits': {'max_body_bytes': -1}},
    'route_as_text': {'routes': ['a']},
    'host_as_number': changed_route(host=5),
    'host_as_list': changed_route(host=['a']),
    'prefix_as_number': changed_route(prefix=5),
    'name_as_list': changed_route(name=['a']),
    'name_unprintable': changed_route(name='a\ud800'),
    'timeout_infinite': changed_route(timeout_ms=float('inf')),
    'timeout_nan': changed_route(timeout_ms=float('nan')),
    'timeout_too_large': changed_route(timeout_ms=1 << 40),
    'timeout_negative': changed_route(timeout_ms=-5),
    'goal_too_large': changed_route(goal_ms=1 << 40),
    'priority_too_large': changed_route(priority=1 << 70),
    'weight_infinite': changed_route(
        traffic_split=[{'service': 'plain', 'weight': float('inf')}]
    ),
    'split_without_weight': changed_route(
        traffic_split=[{'service': 'plain', 'weight': 0}], service=None
    ),
    'service_as_list': changed_route(service=['a']),
    'cold_nan': {'services': [{'name': 'a', 'cold_per_s': float('nan')}]},
    'engine_as_text': {'services': [{'name': 'a', 'engine': 'x'}]},
    'reads_nothing': changed_engine(read_per_s=0),
    'reads_nan': changed_engine(read_per_s=float('nan')),
    'step_infinite': changed_engine(step_ms=float('inf')),
    'step_negative': changed_engine(step_ms=-1),
    'no_slots': changed_engine(slots=0),
    'memory_too_large': changed_engine(kv_tokens=1 << 40),
    'usual_as_list': changed_engine(usual=[5]),
    'tenants_as_number': {'tenants': 5},
    'tenant_as_text': {'tenants': ['a']},
    'keys_as_number': {'tenants': [{'name': 'a', 'api_keys': 5}]},
    'key_as_list': {'tenants': [{'name': 'a', 'api_keys': [['b']]}]},
    'tenant_name_as_list': {'tenants': [{'name': ['b'], 'api_keys': ['c']}]},
}


@pytest.mark.parametrize('kind', ODD_CONFIGURATIONS)
def test_odd_configuration_is_refused(kind):
    """Guards against a configuration that ends the host or fails later."""
    body = json.loads(kit.configuration_document(version=8))
    document = json.dumps(body | ODD_CONFIGURATIONS[kind]).encode()
    with pytest.raises(documents.Undecodable):
        documents.decode_configuration(document)


CONFIGURATION = json.loads(kit.configuration_document())


@hypothesis.given(
    strategies.sampled_from(tuple(oddkit.paths_of(CONFIGURATION))), oddkit.JSON
)
def test_any_part_of_a_configuration_is_decoded_or_refused(path, part):
    """Guards against an unexpected fault on any type in any place."""
    document = json.dumps(oddkit.replaced(CONFIGURATION, path, part)).encode()
    try:
        decoded = documents.decode_configuration(document)
    except documents.Undecodable as fault:
        assert len(str(fault)) < 500
        return
    assert decoded.version >= 0
    for service in decoded.services_by_name.values():
        if service.engine is not None:
            assert service.engine.prefill_tokens_per_ms > 0


@hypothesis.given(strategies.sampled_from(tuple(CHECKED)), oddkit.JSON)
def test_any_field_of_an_entry_is_decoded_or_refused(field, part):
    """Guards against an unexpected fault on any type in any field."""
    document = json.dumps(CHECKED | {field: part}).encode()
    try:
        entry = documents.decode_target_entry('t1', document)
    except documents.Undecodable as fault:
        assert len(str(fault)) < 500
        return
    assert 0 <= entry.started_ms < 1 << 64
    assert 0 < entry.slots < 1 << 16


HOST_FIELDS = ('zone', 'caller_address', 'peer_address', 'incarnation')


@hypothesis.given(strategies.sampled_from(HOST_FIELDS), oddkit.JSON)
def test_any_field_of_a_registration_is_decoded_or_refused(field, part):
    """Guards against an unexpected fault on any type in any field."""
    entry = fleetrecords.HostEntry('a', 'b', oddkit.SOUND, oddkit.SOUND, 1)
    body = json.loads(documents.encode_host_entry(entry))
    document = json.dumps(body | {field: part}).encode()
    try:
        decoded = documents.decode_host_entry('a', document)
    except documents.Undecodable:
        return
    assert 0 <= decoded.incarnation < 1 << 63


def test_start_in_the_future_takes_no_address():
    """Guards against an entry that ends a sound target's use for good."""
    view = oddkit.view_with_target()
    changes = oddkit.put(view, 'odd', 6, born=1 << 52)
    assert set(view.targets_by_id) == {'t1'}
    assert [change.outcome for change in changes] == ['superseded']
    oddkit.put(view, 't1', 7, seq=2)
    assert set(view.targets_by_id) == {'t1'}


def test_sound_target_takes_its_address_back():
    """Guards against an odd entry that was there first."""
    view = fleetview.FleetView()
    oddkit.put(view, 'odd', 5, born=1 << 52)
    oddkit.put(view, 't1', 6)
    assert set(view.targets_by_id) == {'t1'}


def test_start_in_the_future_is_no_restart():
    """Guards against requests that are blamed for a crash nobody had."""
    view = oddkit.view_with_target()
    outcomes = [
        change.outcome
        for revision, born in ((6, 1 << 52), (7, 1_000))
        for change in oddkit.put(view, 't1', revision, born=born)
    ]
    assert 'restarted' not in outcomes
    assert view.targets_by_id['t1'].started_ms == 1_000


def test_same_fault_of_an_entry_is_logged_once():
    """Guards against a log that one writer fills with each heartbeat."""
    view = fleetview.FleetView()
    logged = [
        change
        for revision in range(5, 25)
        for change in oddkit.put(view, 't1', revision, slots=0, seq=revision)
    ]
    assert len(logged) == 1
    assert logged[0].subject == 'target:t1'
    assert 'slots' in logged[0].detail
    assert oddkit.put(view, 't1', 30)[0].outcome == 'ready'
    assert oddkit.put(view, 't1', 31, slots=0)[0].outcome == 'unreadable'


SETTINGS = oddkit.SETTINGS | {
    'bounds': {
        'grace_s': 8,
        'budget_ratio': 0.2,
        'budget_window_s': 10,
        'budget_slack': 5,
    },
}


@pytest.mark.parametrize('port', [[], None, '4', 'x', 0, 99_999, True, 1.5])
def test_odd_port_of_the_settings_is_named(port):
    """Guards against a process that ends without saying which field is odd."""
    assert bootsettings.decode(SETTINGS).host.peer_ports == (4, 5)
    with pytest.raises(errors.InvalidSettings, match='internal_ports'):
        bootsettings.decode(SETTINGS | {'internal_ports': [4, port]})


def test_settings_that_nest_too_deep_are_refused(tmp_path):
    """Guards against a process that ends without naming its settings file."""
    path = tmp_path / 'settings.toml'
    path.write_text('a = ' + '[' * 5_000 + ']' * 5_000)
    with pytest.raises(errors.InvalidSettings):
        bootsettings.load(str(path))
