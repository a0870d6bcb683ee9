"""A store that returns from a copy and has lost what it had acknowledged."""

import asyncio
import random

import pytest

from bergamotstream import clock
from bergamotstream.forwarding import (
    connections,
    eventlog,
    fleetrecords,
    fleetview,
    itemfetch,
    peerfetch,
    peerformat,
    peerupdates,
    pendingitems,
    storeitems,
    storetasks,
)
from bergamotstream.platform import protocol, store
from tests import platformkit as kit

CONFIG = 'op/config'
ZONE_OUT = 'op/evacuate/rosario'
HELD_MS = fleetview.LAPSE_HOLD_MS
# What the platform allows all hosts together, in a second.
READS_PER_S = 2_000


def config(version, revision):
    return store.Item(
        CONFIG, revision, kit.configuration_document(version=version)
    )


def target(number, revision, **changes):
    document = kit.target_document(f'10.0.0.{number}:80', **changes)
    return store.Item(f'servers/t{number}', revision, document)


def listing(*items, revision, era):
    return store.Page(items, revision, era=era)


def view_of(*items, revision, era=1):
    view = fleetview.FleetView()
    view.replace_all(listing(*items, revision=revision, era=era), 0)
    return view


def delete(view, key, revision):
    page = listing(store.Item(key, revision, None), revision=revision, era=1)
    view.apply_changes(page, 0)


def pass_news(source, destination, now_ms=0):
    """Bring a view up to date as a host does."""
    update = peerupdates.news_since(
        source, destination.items.position(), now_ms
    )
    update = peerupdates.decode(peerupdates.encode(update))
    news = storeitems.News(update.page, update.references)
    if update.complete:
        return destination.replace_by_news(news, now_ms)
    return destination.apply_news(news, now_ms)


async def drill(system, copied, *, is_written_again=True):
    """Play a store that is away and returns from a copy."""
    system.store.go_away()
    await asyncio.sleep(0.4)
    await system.store.come_back(copied)
    if is_written_again:
        await system.store.write_again()


def versions(system):
    return [
        daemon._core.view.configuration.version for daemon in system.daemons
    ]


@pytest.mark.parametrize('drills', [1, 2])
@pytest.mark.parametrize('writes', [3, 12])
async def test_changes_after_the_return_are_applied_by_all_hosts(
    drills, writes
):
    """Guards against hosts that drop all of a store with lower revisions."""
    async with kit.running_system(hosts=3) as system:
        copied = system.store.take_copy()
        for version in range(2, 2 + writes):
            await system.store.put(
                CONFIG, kit.configuration_document(version=version)
            )
        await system.until(lambda: versions(system) == [writes + 1] * 3)
        for number in range(drills):
            await drill(
                system, copied if number == 0 else system.store.take_copy()
            )
            await asyncio.sleep(0.3)
        calls = system.store.calls
        await asyncio.sleep(1.5)
        assert system.store.calls - calls < READS_PER_S / 10
        await system.store.put(CONFIG, kit.configuration_document(version=100))
        await system.until(lambda: versions(system) == [100] * 3, limit_s=2.0)
        assert all(
            daemon._core.view.items.era == 1 + drills
            for daemon in system.daemons
        )


async def test_hosts_are_registered_again_in_the_new_history():
    """Guards against hosts that renew a lease which another one got since."""
    async with kit.running_system(hosts=0) as system:
        copied = system.store.take_copy()
        for number in range(3):
            await system.start_host(f'host-{number}')
        await system.until(lambda: _registered(system) == 3)
        # The copy knew none of the leases, so it has assigned their numbers
        # again before the hosts ask.
        for _ in range(3):
            copied.grant_lease(600, clock.Clock().now_ms())
        await drill(system, copied)
        await system.until(lambda: _registered(system) == 3, limit_s=8.0)
        await asyncio.sleep(storetasks.LEASE_TTL_MS / 1_000 + 1)
        assert _registered(system) == 3


async def test_host_without_the_store_follows_its_peers():
    """Guards against a host that stays in the history it has read itself."""
    async with kit.running_system(hosts=3) as system:
        copied = system.store.take_copy()
        for version in range(2, 8):
            await system.store.put(
                CONFIG, kit.configuration_document(version=version)
            )
        await system.until(lambda: versions(system) == [7] * 3)
        cut = system.daemons[0]
        cut._registration._client._origin = 'http://127.0.0.1:1'
        await drill(system, copied)
        await system.until(lambda: cut._core.view.items.era == 2)
        await system.store.put(CONFIG, kit.configuration_document(version=9))
        await system.until(lambda: versions(system) == [9] * 3, limit_s=2.0)


def _registered(system):
    return sum(
        key.startswith(protocol.HOSTS_PREFIX)
        for key in system.store.kv.items_by_key
    )


async def test_lease_of_an_earlier_history_is_not_revoked():
    """Guards against a stopping host that removes another one's entry."""
    async with kit.running_system(hosts=0) as system:
        address = '{0}:{1}'.format(*system.store._listener._address)
        copied = system.store.take_copy()
        async with connections.open_session(reuse=True) as session:
            client = store.StoreClient(
                kit.make_settings(address).store, session
            )
            old = await client.open_lease(5_000)
            await drill(system, copied)
            new = await client.open_lease(5_000)
            assert old.number == new.number
            await client.put_all({'nodes/h9': b'{}'}, new)
            for call in (
                client.renew_lease(old),
                client.put_all({'nodes/h8': b'{}'}, old),
            ):
                with pytest.raises(store.LeaseGone):
                    await call
            await client.revoke_lease(old)
            await client.renew_lease(new)
            assert 'nodes/h9' in system.store.kv.items_by_key


def test_new_history_replaces_what_is_known():
    """Guards against revisions that are compared across histories."""
    view = view_of(config(7, 90), target(1, 91), target(2, 115), revision=115)
    view.replace_all(
        listing(config(7, 90), target(1, 91), revision=95, era=2), 1_000
    )
    assert view.items.position() == (2, 95)
    # Written again within two seconds, or gone.
    assert set(view.targets_by_id) == {'t1', 't2'}
    changed = listing(config(8, 96), target(3, 97), revision=97, era=2)
    view.apply_changes(changed, 1_500)
    assert view.configuration.version == 8
    view.drop_lapsed(1_000 + HELD_MS)
    assert set(view.targets_by_id) == {'t1', 't3'}


def test_unchanged_items_are_no_changes():
    """Guards against targets that seem to change each time."""
    items = (config(7, 90), target(1, 91))
    view = view_of(*items, revision=115)
    changes = view.replace_all(listing(*items, revision=95, era=2), 0)
    assert [change.subject for change in changes] == ['store']


def test_configuration_of_the_copy_is_not_applied():
    """Guards against keys and routes that come back with the copy."""
    view = view_of(config(9, 110), revision=115)
    view.replace_all(listing(config(7, 90), revision=95, era=2), 0)
    assert view.configuration.version == 9
    view.apply_changes(listing(config(9, 96), revision=96, era=2), 0)
    view.apply_changes(listing(config(10, 97), revision=97, era=2), 0)
    assert view.configuration.version == 10


def test_target_that_left_after_the_copy_is_not_used_at_once():
    """Guards against requests to a target that the copy still lists."""
    view = view_of(target(1, 91), target(2, 92), revision=100)
    delete(view, 'servers/t1', 110)
    back = listing(target(1, 91), target(2, 92), revision=95, era=2)
    view.replace_all(back, 0)
    assert set(view.targets_by_id) == {'t2'}
    deletion = store.Item('servers/t1', 96, None)
    view.apply_changes(listing(deletion, revision=96, era=2), 100)
    view.drop_lapsed(HELD_MS)
    assert set(view.targets_by_id) == {'t2'}


@pytest.mark.parametrize('returns', [1, 2])
def test_target_that_nobody_removes_again_is_used(returns):
    """Guards against a target that stays unused as it had lapsed once."""
    view = view_of(target(1, 91), revision=100)
    delete(view, 'servers/t1', 110)
    for number in range(returns):
        back = listing(target(1, 91), revision=95, era=2 + number)
        view.replace_all(back, number)
        assert not view.targets_by_id
    view.drop_lapsed(HELD_MS + returns)
    assert set(view.targets_by_id) == {'t1'}


def test_target_that_is_written_again_is_used_at_once():
    """Guards against holding back a target that restarts after the return."""
    view = view_of(target(1, 91), revision=100)
    delete(view, 'servers/t1', 110)
    view.replace_all(listing(target(1, 91), revision=95, era=2), 0)
    again = target(1, 96, born=5_000)
    view.apply_changes(listing(again, revision=96, era=2), 100)
    assert view.targets_by_id['t1'].started_ms == 5_000


def test_leaving_target_leaves_in_the_new_history_too():
    """Guards against new requests to a target that the copy calls ready."""
    view = view_of(target(1, 91), revision=100)
    leaving = target(1, 110, state='draining')
    view.apply_changes(listing(leaving, revision=110, era=1), 0)
    view.replace_all(listing(target(1, 91), revision=95, era=2), 0)
    assert view.targets_by_id['t1'].leaving
    view.drop_lapsed(HELD_MS)
    assert view.targets_by_id['t1'].leaving


@pytest.mark.parametrize('is_written_again', [True, False])
def test_zone_out_of_service_stays_out(is_written_again):
    """Guards against requests to a zone that the copy knows in service."""
    view = view_of(target(1, 91), revision=100)
    out = store.Item(ZONE_OUT, 110, b'{}')
    view.apply_changes(listing(out, revision=110, era=1), 0)
    view.replace_all(listing(target(1, 91), revision=95, era=2), 0)
    assert view.zones_out == {'rosario'}
    if is_written_again:
        again = listing(out._replace(revision=96), revision=96, era=2)
        view.apply_changes(again, 100)
    view.drop_lapsed(HELD_MS)
    assert bool(view.zones_out) == is_written_again


def test_news_cross_no_history():
    """Guards against news of a peer that has seen another history."""
    ahead = view_of(config(7, 90), target(1, 115), revision=115)
    returned = view_of(config(7, 90), target(2, 92), revision=95, era=2)
    # The one that is left behind has nothing for the other one.
    assert not pass_news(ahead, returned)
    assert set(returned.targets_by_id) == {'t2'}
    pass_news(returned, ahead, 1_000)
    assert ahead.items.position() == (2, 95)
    ahead.drop_lapsed(1_000 + HELD_MS)
    assert set(ahead.targets_by_id) == {'t2'}
    returned.apply_changes(listing(config(8, 96), revision=96, era=2), 0)
    pass_news(returned, ahead, 5_000)
    assert ahead.configuration.version == 8


def test_position_of_a_peer_decides_by_the_era_first():
    """Guards against hosts that fetch from peers of an earlier history."""
    state = peer_state(era=2, revision=95)
    decoded = peerformat.decode(peerformat.encode(state, 5), 5)
    assert decoded.complete_position() == (2, 95)
    fetch = make_fetch(view_of(config(7, 90), revision=115))
    assert fetch._is_ahead(decoded)
    fetch = make_fetch(view_of(config(7, 90), revision=95, era=2))
    assert not fetch._is_ahead(peer_state(era=1, revision=115))
    assert fetch._is_ahead(peer_state(era=2, revision=96))


def test_older_builds_are_followed_only_without_the_store():
    """Guards against news of a peer that cannot tell the histories apart."""
    view = view_of(config(7, 90), revision=95, era=2)
    fetch = make_fetch(view)
    older = peer_state(era=0, revision=115)
    view.store_answered_ms = clock.Clock().now_ms()
    assert not fetch._is_ahead(older)
    view.store_answered_ms = fleetview.NEVER_MS
    assert fetch._is_ahead(older)


def test_older_build_gets_all_items_after_a_return():
    """Guards against changes that an older build takes for its history's."""
    view = view_of(config(7, 90), revision=95, era=2)
    assert _read_position(view) == (2, 3)
    view.replace_all(listing(config(7, 90), revision=90, era=3), 0)
    known = _read_position(view)
    assert peerupdates.update_since(view, known, 0).complete


def _read_position(view):
    return peerupdates.read_position({'after': '3'}, view.items)


def peer_state(era, revision):
    entry = fleetrecords.HostEntry('p', 'z', '10.0.0.9:1', '10.0.0.9:2', 1)
    return peerformat.HostState(
        entry,
        1,
        True,
        revision,
        (),
        (),
        0,
        news_revision=revision,
        store_era=era,
    )


def make_fetch(view):
    fetch = peerfetch.PeerFetch.__new__(peerfetch.PeerFetch)
    fetch._view, fetch._clock = view, clock.Clock()
    return fetch


def test_large_item_of_an_earlier_history_is_not_applied():
    """Guards against a document that arrives after the store's return."""
    view = view_of(config(7, 90), revision=115)
    view.replace_all(listing(config(7, 90), revision=95, era=2), 0)
    late = store.Page((config(9, 110),), 0, era=1)
    assert not view.apply_news(storeitems.News(late), 0)
    assert view.items.by_key[CONFIG].revision == 90


def test_holders_of_large_items_share_the_history():
    """Guards against documents from a peer that was left behind."""
    view = view_of(config(7, 90), revision=95, era=2)
    fetch = itemfetch.ItemFetch.__new__(itemfetch.ItemFetch)
    fetch._view, fetch._rng = view, random.Random(1)
    reference = pendingitems.Reference(CONFIG, 96, 20_000)
    behind, holder = peer_state(1, 115), peer_state(2, 96)
    fetch._peers = FakePeers([behind])
    assert fetch._choose_holder(reference) is None
    fetch._peers = FakePeers([behind, holder])
    assert fetch._choose_holder(reference) == holder


class FakePeers:
    """The peers that a host hears."""

    def __init__(self, states):
        self._states = states

    def heard_hosts(self):
        return self._states


class ScriptedStore:
    """A store whose answers the test lists; the last one repeats."""

    def __init__(self, listings, watches):
        self.reads = 0
        self.watches = 0
        self._listings = listings
        self._watches = watches

    async def read_all(self, prefix):
        answer = self._listings[min(self.reads, len(self._listings) - 1)]
        self.reads += 1
        return answer

    async def watch(self, prefix, revision, wait_ms):
        await asyncio.sleep(0)
        answer = self._watches[min(self.watches, len(self._watches) - 1)]
        self.watches += 1
        if answer is None:
            raise store.HistoryGone
        if not answer.items:
            await asyncio.sleep(wait_ms / 1_000)
        return answer


async def watch_for(client, seconds):
    view = fleetview.FleetView()
    running = storetasks.StoreWatch(
        client,
        view,
        eventlog.EventLog(clock.Clock()),
        clock.Clock(),
        lambda _: None,
        lambda: True,
        lambda: True,
    ).run()
    task = asyncio.ensure_future(running)
    await asyncio.sleep(seconds)
    assert not task.done()
    task.cancel()
    return view


async def test_watch_that_is_answered_in_a_later_history_is_followed_by_a_read():
    """Guards against changes that a watch of the new history leaves out."""
    client = ScriptedStore(
        [
            listing(config(7, 90), revision=95, era=1),
            listing(config(8, 96), revision=120, era=2),
        ],
        [
            listing(target(1, 121), revision=121, era=2),
            listing(revision=121, era=2),
        ],
    )
    view = await watch_for(client, 0.5)
    assert view.configuration.version == 8
    assert view.items.era == 2


@pytest.mark.parametrize('era', [0, 1, 2])
async def test_lost_history_without_a_new_era_is_noticed(era):
    """Guards against a store whose answers name no era, or always the same."""
    client = ScriptedStore(
        [
            listing(config(7, 90), revision=95, era=era),
            listing(config(8, 60), revision=61, era=era),
        ],
        [
            None,
            listing(config(9, 62), revision=62, era=era),
            listing(revision=62, era=era),
        ],
    )
    view = await watch_for(client, 0.6)
    assert view.configuration.version == 9
    assert view.items.position() == (era, 62)


@pytest.mark.parametrize(
    'watch', [None, listing(target(1, 96), revision=96, era=1)]
)
async def test_watches_that_never_succeed_are_repeated_with_pauses(watch):
    """Guards against hosts that use up the calls of the store."""
    client = ScriptedStore(
        [listing(config(7, 90), revision=95, era=2)], [watch]
    )
    await watch_for(client, 2.0)
    assert client.reads + client.watches <= 24


async def test_listing_across_a_return_is_read_again():
    """Guards against pages of two histories in one listing."""
    async with kit.running_system(hosts=0) as system:
        for number in range(600):
            system.store.kv.put(f'blamed/{number}', b'{}')
        address = '{0}:{1}'.format(*system.store._listener._address)
        async with connections.open_session(reuse=True) as session:
            client = store.StoreClient(
                kit.make_settings(address).store, session
            )
            read_page = client._read_page

            async def return_after(prefix, after):
                page = await read_page(prefix, after)
                system.store.era += not after
                return page

            client._read_page = return_after
            with pytest.raises(store.StoreUnavailable):
                await client.read_all('')
            client._read_page = read_page
            page = await client.read_all('')
            assert page.era == 2


def test_target_that_lapsed_in_the_outage_before_the_return_stays():
    """Guards against a sound target that is taken for one that has left."""
    view = view_of(target(1, 91), revision=100)
    view.hold_after_reconnect(0)
    delete(view, 'servers/t1', 110)
    view.replace_all(listing(target(1, 91), revision=95, era=2), 1_000)
    for now_ms in range(1_000, 1_000 + 2 * HELD_MS, 100):
        view.drop_lapsed(now_ms)
        assert set(view.targets_by_id) == {'t1'}


@pytest.mark.parametrize('drills', [1, 2])
async def test_host_that_starts_from_a_copy_has_the_newest_configuration(
    drills,
):
    """Guards against a restart after a return that brings back old routes."""
    async with kit.running_system(hosts=3) as system:
        copied = system.store.take_copy()
        await system.store.put(CONFIG, kit.configuration_document(version=7))
        await system.until(lambda: versions(system) == [7] * 3)
        for _ in range(drills):
            await drill(system, copied, is_written_again=False)
            await system.until(
                lambda: all(
                    daemon._core.view.items.era == system.store.era
                    for daemon in system.daemons
                )
            )
            copied = system.store.take_copy()
        await system.start_host('host-3')
        await system.until(lambda: versions(system) == [7] * 4, limit_s=1.0)
        # Peers go on with it, and the operators' next version is applied.
        await system.store.put(CONFIG, kit.configuration_document(version=8))
        await system.until(lambda: versions(system) == [8] * 4, limit_s=2.0)


async def test_host_that_does_not_get_a_newer_configuration_refuses(
    monkeypatch,
):
    """Guards against a host that goes on by what most peers have replaced."""
    async with kit.running_system(hosts=3) as system:
        view = system.daemons[0]._core.view
        monkeypatch.setattr(view, '_appliers', view._appliers[1:])
        monkeypatch.setattr(view, 'apply_configuration', lambda *_: iter(()))
        await system.store.put(CONFIG, kit.configuration_document(version=7))
        await system.until(lambda: versions(system)[1:] == [7, 7])
        await asyncio.sleep(system.settings[0].bounds.max_outdated_ms / 1_000)
        await system.until(lambda: view.lag.since_ms(1) is not None)
        await asyncio.sleep(1.6)
        status, _, body = await system.call('/none/1')
        assert status == 503
        assert b'configuration_outdated' in body


async def test_version_that_no_document_has_is_not_asked_for_all_the_time():
    """Guards against fetches without a pause from a peer that tells wrong."""
    async with kit.running_system(hosts=2) as system:
        first, second = system.daemons
        served = []
        answer = second._answer_configuration

        def count():
            served.append(1)
            return answer()

        second._answer_configuration = count
        view = second._core.view
        view.in_force = view.in_force._replace(version=99)
        await system.until(lambda: served)
        await asyncio.sleep(2)
        assert len(served) <= 3
        assert first._core.view.configuration.version == 1
