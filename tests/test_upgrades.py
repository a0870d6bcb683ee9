"""Hosts of an older build beside those of the checkout."""

import json
import re
import subprocess
import tomllib

import capnp
import pytest

import bergamotstream
from bergamotstream.forwarding import (
    fingerprints,
    fleetrecords,
    peerformat,
    relayformat,
)
from bergamotstream.platform import documents
from tests import hostprocesskit, upgradekit
from tests import platformkit as kit

LAST_LANDING = 'b0e14ee'
# Computed with the code of the last landing.
REQUEST_FINGERPRINT = 0x1E24507876D81F20
PART_FINGERPRINTS = (0xB9F1A8A52989FF85, 0x4D17038774B83791)
SCHEMA = 'bergamotstream/forwarding/peers.capnp'
ENTRY = fleetrecords.HostEntry('h1', 'z', '127.0.0.1:1', '127.0.0.1:2', 7)


@pytest.mark.timeout(120)
def test_replacing_an_older_build_loses_no_request(tmp_path):
    """Guards against requests lost, orders run twice or streams cut while
    hosts of the last landing are replaced by those of the checkout."""
    if not upgradekit.has_commit(LAST_LANDING):
        reason = f'{LAST_LANDING} is not in the history (shallow clone)'
        print(f'not played: {reason}')
        pytest.skip(reason)
    plan = upgradekit.Plan(
        hosts=2, both_directions=False, cuts=False, crashes=False
    )
    figures, violations = upgradekit.play(LAST_LANDING, tmp_path, 1, plan)
    assert not violations
    assert figures['replaced by new'] == plan.hosts
    for kind in ('lookup', 'order', 'stream', 'limited'):
        assert figures[f'{kind} served'] == figures[f'{kind} sent'] > 0
    assert figures['configuration checks'] > 0


def test_work_tree_of_an_older_build_is_removed(tmp_path):
    """Guards against work trees that stay registered in the repository."""
    if not upgradekit.has_commit(LAST_LANDING):
        pytest.skip(f'{LAST_LANDING} is not in the history (shallow clone)')
    with upgradekit.work_tree(LAST_LANDING, tmp_path) as tree:
        upgradekit.check_import(tree)
    listed = subprocess.run(
        ['git', 'worktree', 'list'],
        cwd=upgradekit.ROOT,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    assert str(tree) not in listed.stdout


async def test_log_tells_the_build_of_a_host(tmp_path):
    """Guards against hosts of which operators cannot tell the build."""
    host = hostprocesskit.HostProcess(tmp_path, 'h0', kit.address())

    async def has_started():
        return 'event=started ' in host.log.read_text()

    host.start()
    try:
        await hostprocesskit.wait_until(has_started, 10)
    finally:
        host.process.kill()
        host.process.wait()
    version = bergamotstream.__version__
    assert re.search(
        f'event=started .* build={re.escape(version)}$',
        host.log.read_text(),
        re.MULTILINE,
    )


def test_build_is_the_version_of_the_package():
    """Guards against a build in the log that no package has."""
    project = tomllib.loads((upgradekit.ROOT / 'pyproject.toml').read_text())
    assert bergamotstream.__version__ == project['project']['version']


def fields_of(schema):
    """Return name and type of each field by its struct and number."""
    fields = {}
    struct = ''
    for line in schema.splitlines():
        if line.startswith('struct '):
            struct = line.split()[1]
        elif found := re.fullmatch(r'  (\w+) @(\d+) :(.*);', line):
            name, number, kind = found.groups()
            assert (struct, int(number)) not in fields
            fields[struct, int(number)] = (name, kind)
    return fields


def test_fields_of_messages_keep_their_numbers():
    """Guards against a field that hosts of the last landing read as another."""
    if not upgradekit.has_commit(LAST_LANDING):
        pytest.skip(f'{LAST_LANDING} is not in the history (shallow clone)')
    before = subprocess.run(
        ['git', 'show', f'{LAST_LANDING}:{SCHEMA}'],
        cwd=upgradekit.ROOT,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    kept = fields_of(before.stdout)
    now = fields_of((upgradekit.ROOT / SCHEMA).read_text())
    assert len(kept) > 50
    assert {number: now.get(number) for number in kept} == kept


@pytest.fixture(scope='module')
def newer_schema(tmp_path_factory):
    """Return a schema with one more field in each struct.

    One process can load a schema of one id only once.
    """
    text = (upgradekit.ROOT / SCHEMA).read_text()
    fields = fields_of(text)
    for struct in {name for name, _ in fields}:
        number = 1 + max(at for name, at in fields if name == struct)
        text = re.sub(
            rf'(struct {struct} {{\n(?:.*\n)*?)}}',
            rf'\1  another @{number} :Text;\n}}',
            text,
            count=1,
        )
    text = text.replace('@0xd1a5b7c3e9f04812', '@0xd1a5b7c3e9f04813')
    path = tmp_path_factory.mktemp('schema') / 'newer.capnp'
    path.write_text(text)
    return capnp.load(str(path))


def test_state_with_unknown_fields_is_read(newer_schema):
    """Guards against hosts that refuse the state of a newer build."""
    message = newer_schema.HostState.new_message(
        name='h1',
        zone='z',
        callerAddress='127.0.0.1:1',
        peerAddress='127.0.0.1:2',
        sequence=5,
        acceptsRequests=True,
        lostServices=['plain'],
        notes=[{'targetId': 't1', 'refusingMs': 9, 'another': 'x'}],
        another='x' * 500,
    )
    state = peerformat.decode(message.to_bytes_packed(), 0)
    assert (state.entry.name, state.sequence) == ('h1', 5)
    assert state.accepts_requests
    assert state.link_report.lost_services == ('plain',)
    assert state.health_estimates[0].refusing_ms == 9


def test_relayed_request_with_unknown_fields_is_read(newer_schema, monkeypatch):
    """Guards against hosts that refuse the relayed requests of a newer build."""
    head = relayformat.head_of(
        kit.make_request(),
        'h1',
        900,
        tries_sent=1,
        reached_target_ids=('t1',),
        is_counted=True,
    )
    monkeypatch.setattr(peerformat, 'SCHEMA', newer_schema)
    text = relayformat.encode(head)
    monkeypatch.undo()
    assert relayformat.decode(text) == head


def test_state_without_later_fields_is_read():
    """Guards against hosts that misread what an older build leaves out."""
    message = peerformat.SCHEMA.HostState.new_message(
        name='h1',
        zone='z',
        callerAddress='127.0.0.1:1',
        peerAddress='127.0.0.1:2',
        sequence=1,
        ready=True,
    )
    state = peerformat.decode(message.to_bytes_packed(), 0)
    assert state.ready
    assert not state.accepts_requests
    assert not state.limits
    assert not state.link_report.lost_services


def test_fingerprints_are_those_of_the_last_landing():
    """Guards against two builds that count the crashes of a request apart."""
    job = kit.make_job(
        kit.make_scheduler(), Bergamotstream_Prompt_Prefix='a1:40,b2:40,c3:200'
    )
    assert fingerprints.of_request(job, b'crash') == REQUEST_FINGERPRINT
    assert fingerprints.of_parts(job) == PART_FINGERPRINTS


def test_records_in_the_store_are_those_of_the_last_landing():
    """Guards against records that hosts of another build do not find."""
    assert documents.blamed_key(10) == (
        'bergamotstream/blamed/000000000000000a'
    )
    assert json.loads(documents.encode_host_entry(ENTRY)) == {
        'zone': 'z',
        'caller_address': '127.0.0.1:1',
        'peer_address': '127.0.0.1:2',
        'incarnation': 7,
    }
    document = json.dumps(
        {
            'zone': 'z',
            'caller_address': '127.0.0.1:1',
            'peer_address': '127.0.0.1:2',
            'incarnation': 7,
            'another': 'x',
        }
    )
    assert documents.decode_host_entry('h1', document.encode()) == ENTRY
