"""The check of a configuration before it is sent."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import checkcommand, cmdline
from bergamotstream.forwarding import configurationcheck
from bergamotstream.platform import documents
from tests import platformkit as kit

LOOKUP = kit.route('lookup', '/lookup/', 'idempotent')
PLAIN = {'name': 'plain', 'health_path': '/h'}
ENGINE = {'name': 'model', 'engine': kit.ENGINE}
# Changes of the document, and the codes of what is found then.
CASES = {
    'as_it_is': ({}, []),
    'unknown_service': (
        {'routes': [LOOKUP, LOOKUP | {'prefix': '/b/', 'service': 'gone'}]},
        ['unknown_service', 'unused_service'],
    ),
    'prefix': (
        {
            'services': [PLAIN],
            'routes': [LOOKUP, LOOKUP | {'prefix': 'lookup'}],
        },
        ['unmatched_prefix'],
    ),
    'same_match': (
        {
            'services': [PLAIN],
            'routes': [LOOKUP, LOOKUP | {'host': kit.HOST_NAME.upper()}],
        },
        ['unmatched_entry'],
    ),
    'goal': (
        {'services': [PLAIN], 'routes': [LOOKUP | {'goal_ms': 1_001}]},
        ['goal_over_timeout'],
    ),
    'pause_goal': (
        {'services': [PLAIN], 'routes': [LOOKUP | {'gap_target_ms': 200}]},
        ['unused_pause_goal'],
    ),
    'engine': (
        {
            'services': [
                ENGINE
                | {'engine': kit.ENGINE | {'usual': {'prompt': 10_000_000}}}
            ],
            'routes': [
                kit.route('chat', '/chat/', 'streaming', service='model')
            ],
        },
        ['unreachable_goal', 'engine_too_small'],
    ),
    'no_service': (
        {'services': [], 'routes': [LOOKUP | {'service': 7}]},
        ['refused_field', 'no_service'],
    ),
    'shared_key': (
        {
            'tenants': [
                {'name': 'a', 'api_keys': [kit.KEY]},
                {'name': 'b', 'api_keys': [kit.KEY]},
                {'name': 'c', 'api_keys': []},
            ]
        },
        ['unmatched_entry', 'unmatched_entry'],
    ),
    'long_key': (
        {'tenants': [{'name': 'a', 'api_keys': ['k' * 17_000]}]},
        ['key_over_header_limit'],
    ),
    'field': (
        {'services': [PLAIN], 'routes': [LOOKUP | {'timeout_ms': 'long'}]},
        ['refused_field'],
    ),
}


@pytest.fixture
def write(tmp_path):
    """Write a configuration to a file and return its path."""

    def write_document(name='new', **changes):
        path = tmp_path / name
        path.write_bytes(kit.configuration_document(**changes))
        return path

    return write_document


@pytest.mark.parametrize('case', CASES)
def test_entries_that_operators_hardly_mean_are_found(write, case):
    """Guards against a version whose entries match nothing or contradict."""
    changes, codes = CASES[case]
    checked = checkcommand.check_file(write(**changes))
    found = [finding['code'] for finding in checked['findings']]
    assert sorted(found) == sorted(codes)
    assert all(finding['remedy'] for finding in checked['findings'])


def test_versions_are_compared_without_keys(write):
    """Guards against a change that nobody meant, and against keys in print."""
    before = write('before', version=4)
    after = write(
        version=4,
        routes=[LOOKUP | {'timeout_ms': 900}],
        tenants=[{'name': 'small', 'api_keys': ['secret'], 'priority': 0}],
    )
    checked = checkcommand.check_file(after, before)
    text = checkcommand.as_text(checked)
    assert 'version_not_newer' in text
    assert f'route {kit.HOST_NAME}/lookup/: timeout_ms: 1000 -> 900' in text
    assert f'route {kit.HOST_NAME}/chat/: entry: removed -> ' in text
    assert 'small: keys of priority 0: 1 -> 1, 1 new, 1 gone' in text
    assert kit.KEY not in text and 'secret' not in text


@pytest.mark.parametrize(
    'tenants',
    [
        ['secret-key'],
        {'name': 'secret-key'},
        [{'name': 'a', 'api_keys': 'secret-key'}],
        [{'name': 'a', 'api_keys': {'secret-key': 1}}],
    ],
)
def test_refused_keys_are_not_printed(write, tenants):
    """Guards against keys in print where a field has the wrong type."""
    checked = checkcommand.check_file(write(tenants=tenants))
    assert 'refused_field' in checkcommand.as_text(checked)
    assert 'secret' not in json.dumps(checked)


def test_version_without_its_refused_fields_is_taken(write):
    """Guards against a finding for the repair that hosts allow."""
    odd = write('odd', version=4, routes=[LOOKUP | {'timeout_ms': 'x'}])
    mended = write('mended', version=4, routes=[LOOKUP])
    for path, is_taken in ((mended, True), (odd, False)):
        checked = checkcommand.check_file(path, odd)
        codes = [finding['code'] for finding in checked['findings']]
        assert ('version_not_newer' not in codes) == is_taken


def test_change_of_who_needs_a_key_is_a_difference(write):
    """Guards against a version that turns callers without a key away."""
    checked = checkcommand.check_file(
        write(tenants=[{'name': 'a', 'api_keys': []}]),
        write('before', tenants=[]),
    )
    fields = [change['field'] for change in checked['differences']]
    assert fields == ['requires_key']


@pytest.mark.parametrize(
    ('document', 'status'),
    [
        (kit.configuration_document(), None),
        (kit.configuration_document(routes=[LOOKUP]), 1),
        (b'{"version": 1}', 2),
        (b'{', 2),
    ],
)
def test_exit_status_tells_the_outcome(tmp_path, capsys, document, status):
    """Guards against a script that sends a configuration with findings."""
    path = tmp_path / 'new'
    path.write_bytes(document)
    exit_status = None
    try:
        cmdline.main(['check', str(path), '--as-json'])
    except SystemExit as ended:
        exit_status = ended.code
    assert exit_status == status
    if status != 2:
        assert 'findings' in json.loads(capsys.readouterr().out)


ODD = strategies.one_of(
    strategies.none(),
    strategies.integers(-5, 5),
    strategies.text(max_size=4),
    strategies.lists(strategies.integers(0, 3), max_size=2),
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(
            ['version', 'routes', 'services', 'tenants', 'limits']
        ),
        ODD,
    ),
    strategies.dictionaries(
        strategies.sampled_from([*LOOKUP, 'traffic_split', 'gap_target_ms']),
        ODD,
    ),
)
def test_check_and_hosts_agree(tmp_path_factory, body, route):
    """Guards against a check that passes what a host refuses."""
    document = json.loads(kit.configuration_document())
    document['routes'].append(LOOKUP | {'prefix': '/odd/'} | route)
    document |= body
    path = tmp_path_factory.getbasetemp() / 'odd'
    path.write_text(json.dumps(document))
    try:
        documents.decode_configuration(path.read_bytes())
    except documents.Undecodable:
        is_accepted = False
    else:
        is_accepted = True
    try:
        checked = checkcommand.check_file(path)
    except checkcommand.Unreadable:
        assert not is_accepted
        return
    codes = [finding['code'] for finding in checked['findings']]
    assert is_accepted != ('refused_field' in codes)


def test_unchanged_configuration_has_no_differences():
    """Guards against noise that hides a difference."""
    configuration = documents.decode_configuration(kit.configuration_document())
    assert not configurationcheck.compare(configuration, configuration)
