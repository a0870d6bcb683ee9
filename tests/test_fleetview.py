"""The view of the fleet after valid and invalid items."""

import asyncio
import json

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream import clock, errors
from bergamotstream.forwarding import (
    eventlog,
    fleetview,
    peerformat,
    peerupdates,
    storetasks,
)
from bergamotstream.platform import documents, store
from tests import platformkit as kit


def target(number, revision, **changes):
    document = kit.target_document(f'10.0.0.{number}:80', **changes)
    return store.Item(f'servers/t{number}', revision, document)


def apply(view, *items, now_ms=0, revision=0):
    newest = revision or max(item.revision for item in items)
    return view.apply_changes(store.Page(items, newest), now_ms)


def configuration(version, revision):
    document = kit.configuration_document(version=version)
    return store.Item('op/config', revision, document)


def test_configuration_never_goes_back():
    """Guards against an older version from a stale listing or peer."""
    view = fleetview.FleetView()
    apply(view, configuration(7, 10))
    apply(view, configuration(5, 9))
    apply(view, configuration(5, 12))
    assert view.configuration.version == 7


def test_unreadable_configuration_keeps_the_known_one():
    """Guards against losing all routes after an invalid document."""
    view = fleetview.FleetView()
    apply(view, configuration(7, 10))
    apply(view, store.Item('op/config', 11, b'{"version": 8}'))
    assert view.configuration.version == 7


def test_late_write_does_not_revive_a_deleted_target():
    """Guards against an older write that arrives after a deletion."""
    view = fleetview.FleetView()
    apply(view, target(1, 5))
    apply(view, store.Item('servers/t1', 8, None))
    apply(view, target(1, 6), revision=9)
    assert not view.targets_by_id


def test_entries_that_expired_in_an_outage_are_kept_for_a_while():
    """Guards against an empty fleet after the store recovers."""
    view = fleetview.FleetView()
    apply(view, target(1, 5), target(2, 6))
    view.hold_after_reconnect(1_000)
    apply(
        view,
        store.Item('servers/t1', 8, None),
        store.Item('servers/t2', 8, None),
        now_ms=1_000,
    )
    assert set(view.targets_by_id) == {'t1', 't2'}
    apply(view, target(2, 9), now_ms=2_000)
    view.drop_lapsed(3_300)
    assert set(view.targets_by_id) == {'t2'}


def test_deletion_in_steady_state_applies_at_once():
    """Guards against requests to a target that left without draining."""
    view = fleetview.FleetView()
    apply(view, target(1, 5))
    changes = apply(view, store.Item('servers/t1', 8, None), now_ms=10)
    assert not view.targets_by_id
    assert changes[0].outcome == 'gone'


def test_complete_listing_deletes_missing_keys():
    """Guards against stale targets whose deletions were compacted away."""
    view = fleetview.FleetView()
    apply(view, target(1, 5), target(2, 6))
    view.replace_all(store.Page((target(2, 6),), 9), 0)
    assert set(view.targets_by_id) == {'t2'}
    view.replace_all(store.Page((target(1, 5),), 7), 0)
    assert set(view.targets_by_id) == {'t2'}


def test_restart_under_the_same_id_is_noticed():
    """Guards against using state from before a target's restart."""
    view = fleetview.FleetView()
    apply(view, target(1, 5))
    changes = apply(view, target(1, 6, born=2_000))
    assert changes[0].outcome == 'restarted'


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 5},
        {'state': 'warming'},
        {'slots': True},
        {'slots': 0},
        {'address': '10.0.0.1'},
        {'address': '10.0.0.999:80'},
        {'address': 'host:80'},
        {'cold_left_ms': -1},
        {'born': 1.5},
        {'zone': ''},
    ],
)
def test_forged_entry_names_no_target(changes):
    """Guards against malformed entries of other writers."""
    view = fleetview.FleetView()
    apply(view, target(1, 5))
    apply(view, target(1, 6, **changes))
    assert not view.targets_by_id


@hypothesis.given(strategies.binary(max_size=80))
def test_any_bytes_are_refused_as_entries(document):
    """Guards against a crash on arbitrary bytes of another writer."""
    for decode in (documents.decode_target_entry, documents.decode_host_entry):
        with pytest.raises(documents.Undecodable):
            decode('t1', document)
    with pytest.raises(documents.Undecodable):
        documents.decode_configuration(document)
    with pytest.raises(errors.InvalidMessage):
        peerformat.decode(document + b'\xff\xff', 0)
    with pytest.raises(ValueError):
        peerupdates.decode(b'x' + document)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=12),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(
            ['service', 'address', 'zone', 'slots', 'state', 'born']
        ),
        JSON,
    )
)
def test_any_fields_are_decoded_or_refused(fields):
    """Guards against a crash on fields of unexpected types."""
    body = json.loads(kit.target_document('10.0.0.1:80')) | fields
    try:
        entry = documents.decode_target_entry('t1', json.dumps(body).encode())
    except documents.Undecodable:
        return
    assert isinstance(entry.slots, int)
    assert entry.service


def test_items_go_to_a_peer_unchanged():
    """Guards against changes that are lost between a host and its peer."""
    view = fleetview.FleetView()
    view.replace_all(store.Page((target(1, 5), configuration(7, 6)), 9), 0)
    apply(view, target(2, 10), store.Item('servers/t1', 11, None))
    for revision in (0, 9, 10, 11):
        update = peerupdates.update_since(view, store.Position(0, revision), 0)
        assert peerupdates.decode(peerupdates.encode(update)) == update
        assert update.complete == (revision < 9)
    known = fleetview.FleetView()
    known.replace_all(store.Page((target(1, 5),), 9), 0)
    apply(
        known,
        *peerupdates.update_since(view, store.Position(0, 9), 0).page.items,
        revision=11,
    )
    assert set(known.targets_by_id) == {'t2'}


def test_targets_that_lapsed_are_kept_as_long_as_the_peer_keeps_them():
    """Guards against dropping expired targets on a host that does not watch."""
    view = fleetview.FleetView()
    apply(view, target(1, 5))
    view.hold_after_reconnect(1_000)
    apply(view, store.Item('servers/t1', 8, None), now_ms=1_000)
    update = peerupdates.update_since(view, store.Position(0, 5), 1_500)
    assert update.hold_ms == fleetview.LAPSE_HOLD_MS - 500
    other = fleetview.FleetView()
    apply(other, target(1, 5))
    other.hold_lapsed(update.hold_ms, 70_000)
    apply(other, *update.page.items, now_ms=70_000)
    assert 't1' in other.targets_by_id


def test_address_belongs_to_the_target_that_started_last():
    """Guards against requests to a crashed target whose address is reused.

    In trouble-1 on parana-mazas, a target restarted under another ID while the
    old entry stayed for three heartbeats, and requests failed with status 421.
    """
    view = fleetview.FleetView()
    apply(view, target(1, 5))
    crashed = store.Item(
        'servers/t9', 6, kit.target_document('10.0.0.1:80', born=2_000)
    )
    changes = apply(view, crashed)
    assert [change.outcome for change in changes] == ['gone', 'ready']
    assert set(view.targets_by_id) == {'t9'}
    late = apply(view, target(1, 8))
    assert [change.outcome for change in late] == ['superseded']
    assert set(view.targets_by_id) == {'t9'}


class CountedTargets(dict):
    """Targets that count how often somebody looks at all of them."""

    def __init__(self):
        super().__init__()
        self.looks = 0

    def __iter__(self):
        self.looks += 1
        return super().__iter__()

    def values(self):
        self.looks += 1
        return super().values()


def test_entry_of_a_target_is_applied_without_a_look_at_all():
    """Guards against a listing that costs the square of its targets.

    With 12,000 of them a host that started stood still for seconds.
    """
    view = fleetview.FleetView()
    view._targets.by_id = view.targets_by_id = CountedTargets()
    for revision in range(1, 50):
        apply(view, target(revision % 20 + 1, revision))
    assert len(view.targets_by_id) == 20
    assert not view.targets_by_id.looks


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.integers(0, 3),
            strategies.integers(1, 3),
            strategies.sampled_from(('written', 'written', 'odd', 'deleted')),
        )
    )
)
def test_address_always_belongs_to_one_target(steps):
    """Guards against two targets at one address, or a free one that is taken."""
    view = fleetview.FleetView()
    expected = {}
    for revision, (number, port, born, kind) in enumerate(steps, 1):
        document, target_id = None, f't{number}'
        known = expected.pop(target_id, None)
        if kind == 'written':
            sharing = [
                key for key, value in expected.items() if value[0] == port
            ]
            if any(expected[key][1] > born for key in sharing):
                if known is not None:
                    expected[target_id] = known
            else:
                for key in sharing:
                    expected.pop(key)
                expected[target_id] = (port, born)
            document = kit.target_document(f'10.0.0.1:{port + 1}', born=born)
        elif kind == 'odd':
            document = b'{}'
        apply(view, store.Item(f'servers/{target_id}', revision, document))
        assert {
            (entry.target_id, entry.address)
            for entry in view.targets_by_id.values()
        } == {
            (key, f'10.0.0.1:{value[0] + 1}') for key, value in expected.items()
        }


class PolledStore:
    """Answers watches as the store does: after their wait, or a change."""

    def __init__(self, removed_after_s, failures=1):
        self._start_s = asyncio.get_running_loop().time()
        self._removed_after_s = removed_after_s
        self._failures = failures
        self.waits_ms = []

    async def read_all(self, prefix):
        return store.Page((target(1, 5),), 5)

    async def watch(self, prefix, revision, wait_ms):
        self.waits_ms.append(wait_ms)
        if self._failures:
            self._failures -= 1
            raise store.StoreUnavailable('reset')
        age_s = asyncio.get_running_loop().time() - self._start_s
        until_change_s = max(self._removed_after_s - age_s, 0)
        await asyncio.sleep(min(until_change_s, wait_ms / 1_000))
        if until_change_s > wait_ms / 1_000 or revision >= 6:
            return store.Page((), revision)
        return store.Page((store.Item('servers/t1', 6, None),), 6)


async def outcomes_of_watch(client, seconds):
    """Watch a store for some time; return the outcomes of its changes."""
    changes = []
    watch = storetasks.StoreWatch(
        client,
        fleetview.FleetView(),
        eventlog.EventLog(clock.Clock()),
        clock.Clock(),
        changes.extend,
        lambda: True,
        lambda: True,
    )
    watching = asyncio.ensure_future(watch.run())
    await asyncio.sleep(seconds)
    watching.cancel()
    return [change.outcome for change in changes]


async def test_reset_watch_is_no_outage_of_the_store():
    """Guards against requests to a target whose entry is removed while a
    watch waits that replaces a broken one: the wait was taken for an outage,
    after which targets without entries are kept for 2.2 s."""
    client = PolledStore(removed_after_s=1.5)
    assert await outcomes_of_watch(client, 1.8) == ['ready', 'gone']
    # Only the first watch after a failure is short.
    assert client.waits_ms[2] > client.waits_ms[1]


async def test_targets_are_kept_after_an_outage_of_the_store():
    """Guards against dropping targets whose entries lapsed in an outage."""
    client = PolledStore(removed_after_s=1.0, failures=5)
    assert await outcomes_of_watch(client, 3.0) == ['ready', 'lapsed']
