"""Operators' configuration: trail, races, lost answers and propagation."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotstream import (
    audit,
    bundlechanges,
    bundleformat,
    bundleparts,
    bundles,
    errors,
    messages,
    records,
)
from tests import kvcluster

ANA = {'priority': 1, 'weight': 1.5, 'max_concurrent': 4, 'tokens_per_s': 9}
FIRST_CHANGES = [
    {'path': 'workspaces/ana', 'value': ANA},
    {'path': 'services/asistente', 'value': {'kind': 'model'}},
]


def start_cluster(names=('h1', 'h2', 'h3'), seed=1):
    return kvcluster.Cluster(names, [bundles.Bundles], seed)


def draft_and_sign(cluster, host, changes, base):
    draft = cluster.run_command(
        host, 'config.draft', author='eva', base_version=base, changes=changes
    ).body['draft']
    signed = cluster.run_command(host, 'config.sign', draft=draft, signer='leo')
    assert signed.code == ''
    return draft


def roll_first(cluster):
    draft = draft_and_sign(cluster, 'h1', FIRST_CHANGES, 0)
    answer = cluster.run_command(
        'h1', 'config.roll', draft=draft, operator='eva'
    )
    assert (answer.code, answer.body['version']) == ('', 1)
    return draft


def weight_change(value):
    return [{'path': 'workspaces/ana/weight', 'value': value}]


def version(cluster, host):
    bundle = cluster.state(host).bundle
    return bundle.version if bundle else 0


def stored_head(cluster):
    return audit.decode_head(cluster.kv.store.get(audit.HEAD_KEY).value)


def test_draft_needs_another_person():
    """Guards against a change that its author alone puts in force."""
    cluster = start_cluster()
    draft = cluster.run_command(
        'h1',
        'config.draft',
        author='eva',
        base_version=0,
        changes=FIRST_CHANGES,
    ).body['draft']
    for command, code in (
        ('config.roll', 'sign_off_missing'),
        ('config.sign', 'sign_off_missing'),
    ):
        answer = cluster.run_command(
            'h2', command, draft=draft, operator='eva', signer='eva'
        )
        assert answer.code == code
    assert cluster.kv.store.get(audit.HEAD_KEY) is None


def test_version_is_in_force_on_all_hosts_within_3_s():
    """Guards against hosts that miss a version (design 2.1, item 10)."""
    cluster = start_cluster(('h1', 'h2', 'h3', 'h4'))
    kvcluster.share_versions(cluster)
    draft = draft_and_sign(cluster, 'h4', FIRST_CHANGES, 0)
    cluster.submit_command('h4', 'config.roll', draft=draft, operator='eva')
    for _ in range(12):
        cluster.run(250)
        kvcluster.share_versions(cluster)
    assert [version(cluster, host) for host in cluster.cores_by_host] == [1] * 4
    assert cluster.state('h3').bundle == cluster.state('h4').bundle
    head = stored_head(cluster)
    assert (head.entries[0].author, head.entries[0].signed_by) == ('eva', 'leo')


def test_zone_cut_off_from_kv_still_learns_a_version():
    """Guards against both readers in the zone that loses KV (item 10)."""
    cluster = start_cluster(('h1', 'h2', 'h3', 'h4'))
    kvcluster.share_versions(cluster)
    members = tuple(cluster.cores_by_host)
    for host in members:
        shared = cluster.state(host)
        for name in members:
            zone = 'parana' if name in {'h1', 'h2'} else 'rosario'
            shared.hosts_by_name[name] = records.HostInfo(name, zone, '', '')
    cluster.hosts_without_kv |= {'h1', 'h2'}
    draft = draft_and_sign(cluster, 'h4', FIRST_CHANGES, 0)
    cluster.submit_command('h4', 'config.roll', draft=draft, operator='eva')
    cluster.run(100)
    # The host that rolled it out crashes before it notifies a peer.
    cluster.cores_by_host.pop('h4')
    for _ in range(12):
        cluster.run(250)
        kvcluster.share_versions(cluster)
    assert [version(cluster, host) for host in ('h1', 'h2', 'h3')] == [1] * 3


def test_one_of_two_racing_operators_wins():
    """Guards against one change overwriting another."""
    cluster = start_cluster()
    roll_first(cluster)
    drafts = [
        draft_and_sign(cluster, host, weight_change(value), 1)
        for host, value in (('h1', 2), ('h2', 3))
    ]
    queries = [
        cluster.submit_command(host, 'config.roll', draft=draft, operator='eva')
        for host, draft in zip(('h1', 'h2'), drafts, strict=True)
    ]
    cluster.run(3_000)
    answers = [cluster.answers_by_query[query] for query in queries]
    assert sorted(answer.code for answer in answers) == ['', 'version_conflict']
    rejected = next(answer for answer in answers if answer.code)
    assert [entry['version'] for entry in rejected.body['changed']] == [2]
    assert rejected.body['changed'][0]['changes'][0]['path'].startswith(
        'workspac'
    )
    parts = cluster.kv.store.between(bundleparts.PART_PREFIX, 'config/parts0')
    head = stored_head(cluster)
    kept = {f'{bundleparts.PART_PREFIX}{part}' for part in all_parts(head)}
    assert {entry.key for entry in parts} == kept


def all_parts(head):
    return bundleparts.all_hashes(head.parts_by_section)


def test_zones_taken_out_at_once_are_both_out():
    """Guards against an urgent change that fails because of another."""
    cluster = start_cluster()
    roll_first(cluster)
    queries = [
        cluster.submit_command(host, 'zone.out', zone=zone, operator='eva')
        for host, zone in (('h1', 'rosario'), ('h2', 'salta'), ('h3', 'jujuy'))
    ]
    cluster.run(3_000)
    assert all(not cluster.answers_by_query[each].code for each in queries)
    bundle = cluster.state('h1').bundle
    assert bundle.zones_out == {'rosario', 'salta', 'jujuy'}
    entries = stored_head(cluster).entries[1:]
    assert [entry.version for entry in entries] == [2, 3, 4]
    assert all(entry.urgent for entry in entries)
    back = cluster.run_command('h2', 'zone.in', zone='salta', operator='eva')
    assert back.body['version'] == 5
    assert cluster.state('h3').bundle.zones_out == {'rosario', 'jujuy'}


def test_lost_answer_is_recognised():
    """Guards against reporting a change in force as failed, or twice."""
    cluster = start_cluster()
    draft = draft_and_sign(cluster, 'h1', FIRST_CHANGES, 0)
    cluster.kv.lose_answers = True
    cluster.kv.lose_prefix = audit.HEAD_KEY
    query = cluster.submit_command(
        'h1', 'config.roll', draft=draft, operator='eva'
    )
    cluster.run(500)
    assert cluster.kv.store.get(audit.HEAD_KEY)
    assert query not in cluster.answers_by_query
    cluster.kv.lose_answers = False
    cluster.run(1_500)
    assert cluster.answers_by_query[query].body['version'] == 1
    again = cluster.run_command(
        'h2', 'config.roll', draft=draft, operator='eva'
    )
    assert (again.code, again.body['version']) == ('', 1)


def test_outage_is_reported_as_not_run_only_when_certain():
    """Guards against a false 'not run' (design 2.1, item 6)."""
    cluster = start_cluster()
    draft = draft_and_sign(cluster, 'h1', FIRST_CHANGES, 0)
    cluster.kv.down = True
    refused = cluster.run_command(
        'h1', 'config.roll', draft=draft, operator='eva'
    )
    assert refused.code == 'kv_unavailable'
    assert refused.body['run_state'] == 'not_run'
    assert refused.body['retry_after_ms'] > 0
    cluster.kv.down = False
    cluster.kv.lose_answers = True
    uncertain = cluster.run_command(
        'h1', 'zone.out', zone='rosario', operator='eva'
    )
    assert uncertain.code == 'kv_unavailable'
    head = cluster.kv.store.get(audit.HEAD_KEY)
    assert uncertain.body['run_state'] == (
        'may_have_run' if head else 'not_run'
    )


def lose_first_head_answer(cluster):
    """Roll a draft at h1 so that the head is written and its answer lost."""
    draft = draft_and_sign(cluster, 'h1', FIRST_CHANGES, 0)
    cluster.kv.lose_answers = True
    cluster.kv.lose_prefix = audit.HEAD_KEY
    query = cluster.submit_command(
        'h1', 'config.roll', draft=draft, operator='eva'
    )
    cluster.run(50)
    assert cluster.kv.store.get(audit.HEAD_KEY)
    cluster.kv.lose_answers = False
    return query


def test_lost_answer_is_recognised_below_later_versions():
    """Guards against a conflict reported for a change that is in force."""
    cluster = start_cluster()
    query = lose_first_head_answer(cluster)
    later = cluster.run_command(
        'h2', 'zone.out', 50, zone='rosario', operator='leo'
    )
    assert later.body['version'] == 2
    assert query not in cluster.answers_by_query
    cluster.run(1_000)
    assert cluster.answers_by_query[query].body['version'] == 1
    assert cluster.state('h1').bundle.workspaces_by_name['ana'].weight == 1.5


def test_lost_answer_before_an_outage_may_have_run():
    """Guards against a false 'not run' (design 2.1, item 6)."""
    cluster = start_cluster()
    query = lose_first_head_answer(cluster)
    cluster.kv.down = True
    cluster.run(5_000)
    answer = cluster.answers_by_query[query]
    assert answer.body['run_state'] == 'may_have_run'


def test_starting_host_learns_the_bundle_from_a_peer():
    """Guards against a host that needs the key-value service to start."""
    cluster = start_cluster()
    cluster.hosts_without_kv = {'h3'}
    roll_first(cluster)
    assert version(cluster, 'h3') == 0
    cluster.kv.down = True
    kvcluster.share_versions(cluster)
    cluster.run(1_000)
    assert version(cluster, 'h3') == 1


def test_fetched_bundle_is_passed_on_as_received():
    """Guards against encoding a large bundle again at each host."""
    cluster = start_cluster()
    cluster.hosts_without_kv = {'h3'}
    roll_first(cluster)
    content = bundleformat.encode_bundle(cluster.state('h1').bundle)
    component = cluster.cores_by_host['h3'].components_by_name['bundles']
    component.on_bundle_reply(messages.BundleReply(1, content + b' '), 'h1')
    reply = component.on_bundle_request(messages.BundleRequest(0), 'h2')[0]
    assert reply.message.content == content + b' '


def test_unchanged_head_keeps_the_bundle_in_force(monkeypatch):
    """Guards against building all workspaces when a watch times out."""
    cluster = start_cluster()
    roll_first(cluster)
    cluster.run(500)
    kept = cluster.state('h1').bundle
    monkeypatch.delattr(bundleformat, 'build_bundle')
    cluster.run(35_000)
    assert cluster.state('h1').bundle is kept


def test_a_version_never_reverts():
    """Guards against a lower version from a peer or a restored service."""
    cluster = start_cluster()
    roll_first(cluster)
    cluster.run(500)
    old = cluster.state('h1').bundle
    earlier = dict(cluster.kv.store.items_by_key)
    cluster.run_command('h1', 'zone.out', zone='rosario', operator='eva')
    reply = messages.BundleReply(1, bundleformat.encode_bundle(old))
    component = cluster.cores_by_host['h1'].components_by_name['bundles']
    assert component.on_bundle_reply(reply, 'h2') == []
    for item in earlier.values():
        cluster.kv.store.put(item.key, item.value)
    cluster.run(3_000)
    assert version(cluster, 'h1') == 2
    refused = cluster.run_command(
        'h1', 'zone.out', zone='salta', operator='eva'
    )
    assert 'has version 1 but 2 is in force' in refused.body['detail']


def test_bundle_is_dropped_after_the_age_limit_and_returns():
    """Guards against limits that are older than an hour."""
    cluster = start_cluster(('h1',))
    roll_first(cluster)
    cluster.kv.down = True
    cluster.run(3_600_000 - 10_000, tick_ms=5_000)
    assert version(cluster, 'h1') == 1
    cluster.run(20_000, tick_ms=5_000)
    assert version(cluster, 'h1') == 0
    cluster.kv.down = False
    cluster.run(5_000)
    assert version(cluster, 'h1') == 1


def test_trail_is_paged_and_chained():
    """Guards against a head that grows without bound or loses entries."""
    cluster = start_cluster(('h1',))
    roll_first(cluster)
    for number in range(audit.HEAD_ENTRIES + audit.PAGE_ENTRIES):
        command = 'zone.in' if number % 2 else 'zone.out'
        cluster.run_command('h1', command, 100, zone='rosario', operator='eva')
    head = stored_head(cluster)
    assert len(head.entries) < audit.HEAD_ENTRIES + audit.PAGE_ENTRIES
    shown = cluster.run_command('h1', 'audit.show', limit=1_000).body
    assert [entry['version'] for entry in shown['entries']] == list(
        range(1, head.version + 1)
    )
    assert shown['chain_holds'] and not shown['older']
    assert head.entries[-1].parts_digest == audit.parts_digest(
        head.parts_by_section
    )
    forged = head.entries[3]._replace(author='nobody')
    assert not audit.is_chain_intact((*head.entries[:3], forged))


def test_bad_bundle_names_all_faults():
    """Guards against operators correcting one fault at a time."""
    cluster = start_cluster()
    answer = cluster.run_command(
        'h1',
        'config.draft',
        author='eva',
        base_version=0,
        changes=[
            {'path': 'workspaces/ana', 'value': {**ANA, 'weight': -1}},
            {'path': 'workspaces/b b', 'value': ANA},
            {'path': 'workspaces/leo', 'value': {**ANA, 'priority': True}},
            {'path': 'services/s', 'value': {'kind': 'odd', 'slots': 0}},
            {'path': 'services/t', 'value': {'kind': 'plain', 'extra': 1}},
            {'path': 'zones/rosario', 'value': 'gone'},
            {'path': 'targets', 'value': [1]},
            {'path': 'other/x', 'value': 1},
        ],
    )
    assert answer.code == 'invalid_bundle'
    for path in (
        'workspaces/ana/weight: must be at least 0',
        'workspaces/b b: must be 1 to 63',
        'workspaces/leo/priority: ',
        'services/s/kind: ',
        'services/s/slots: must be at least 1',
        'services/t/extra: ',
        'zones/rosario: must be "out"',
        'targets: must be an object',
        'other/x: unknown path',
    ):
        assert path in answer.body['detail']


def test_large_bundle_fits_messages_and_parts():
    """Guards against values and messages over the platform's limits."""
    changes = [
        {'path': f'workspaces/customer-{number}', 'value': ANA}
        for number in range(13_000)
    ]
    document = bundlechanges.apply_changes(
        bundleformat.empty_document(), changes
    )
    bundle = bundleformat.build_bundle(1, document)
    content = bundleformat.encode_bundle(bundle)
    assert len(content) < 262_144
    assert bundleformat.decode_bundle(content) == bundle
    parts = bundleparts.PartSet()
    hashes, contents = parts.split(document, {}, 'n1')
    assert max(map(len, contents.values())) <= bundleparts.MAX_PART_BYTES
    for part, body in contents.items():
        parts.add(part, body)
    assert parts.document(hashes) == document
    document['workspaces']['customer-7'] = {**ANA, 'priority': 3}
    changed = bundleformat.build_bundle(2, document, bundle)
    assert changed == bundleformat.build_bundle(2, document)
    assert changed.workspaces_by_name['customer-7'].priority == 3
    assert len(parts.split(document, hashes, 'n2')[1]) == 1


@pytest.mark.parametrize('content', [b'', b'{}', b'x', b'\x78\x9c', b'[1]'])
def test_corrupt_bundle_from_a_peer_is_rejected(content):
    """Guards against a corrupt message of a peer stopping a host."""
    with pytest.raises(errors.InvalidBundle):
        bundleformat.decode_bundle(content)


@settings(max_examples=30, deadline=None)
@given(seed=st.integers(0, 10_000))
def test_nothing_is_in_force_outside_the_trail(seed):
    """Guards against unaudited or reverted versions under random faults."""
    cluster = start_cluster(seed=seed)
    rng = cluster.rng
    cluster.kv_delay_ms = lambda: rng.choice((1, 5, 40, 400))
    roll_first(cluster)
    seen_version_by_host = {host: 1 for host in cluster.cores_by_host}
    for _ in range(25):
        cluster.kv.down = rng.random() < 0.2
        cluster.kv.lose_answers = rng.random() < 0.3
        zone, host = rng.choice('abc'), rng.choice(('h1', 'h2', 'h3'))
        command = rng.choice(('zone.out', 'zone.in'))
        cluster.submit_command(host, command, zone=zone, operator='eva')
        cluster.run(rng.choice((10, 300, 1_500)))
        kvcluster.share_versions(cluster)
        head = stored_head(cluster)
        versions = {entry.version: entry for entry in head.entries}
        assert list(versions) == list(range(1, head.version + 1))
        assert audit.is_chain_intact(head.entries)
        for name in seen_version_by_host:
            assert (
                seen_version_by_host[name]
                <= version(cluster, name)
                <= head.version
            )
            seen_version_by_host[name] = version(cluster, name)
    cluster.kv.down = cluster.kv.lose_answers = False
    for _ in range(10):
        cluster.run(1_000)
        kvcluster.share_versions(cluster)
    codes = [answer.code for answer in cluster.answers_by_query.values()]
    in_force = len(stored_head(cluster).entries)
    assert in_force <= len(codes)
    assert {version(cluster, name) for name in seen_version_by_host} == {
        in_force
    }
