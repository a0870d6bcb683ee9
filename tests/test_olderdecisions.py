"""Places where the older of two hosts decides, found by a review."""

import asyncio
import contextlib
import random
import types

import corekit
import pytest
import test_historyorders as orders
import test_sessions as sessioncases

from bergamotstream import actions, events, messages, records
from bergamotstream.forwarding import (
    fleetrecords,
    fleetview,
    peerexchange,
    peerformat,
    pendingitems,
    storeitems,
)
from bergamotstream.platform import store
from tests import historykit


def test_owner_with_an_older_limit_refuses_no_request():
    """Guards against 429 by a limit that the accepting host knows is raised."""
    accepting, owner = corekit.Host(), corekit.Host()
    for host, version, limit in ((accepting, 2, 4), (owner, 1, 1)):
        added = records.WorkspaceConfig('added', 0, 1.0, limit, 100_000)
        host.core.state.bundle = corekit.make_bundle(
            version=version, workspaces_by_name={'added': added}
        )
        host.send(events.BundleChanged(version))
    for request_id in ('r1', 'r2'):
        (asked,), _ = sessioncases.send_request(
            accepting, workspace='added', request_id=request_id
        )
        owner.core.state.owned_partitions.add(asked.partition)
        owner.send(events.PartitionAcquired(asked.partition))
        (reply,) = corekit.messages_of(
            owner.receive(asked, 2_000), messages.ChargeReply
        )
        assert not sessioncases.refusals(accepting.receive(reply))


def test_grant_of_a_target_that_is_to_leave_is_not_used():
    """Guards against work for a target that the partition's owner uses still."""
    host = corekit.Host()
    host.core.state.bundle = corekit.make_bundle(
        version=2, targets_leaving=frozenset(('asistente-rosario',))
    )
    host.send(events.BundleChanged(2))
    charges, grants = sessioncases.send_request(host)
    sessioncases.send_charge_reply(host, charges[0])
    assert grants
    produced = sessioncases.send_grant(host, grants[0])
    assert not corekit.actions_of(produced, actions.Dispatch)


def test_older_build_without_an_era_can_be_ahead():
    """Guards against serving a request of a sender that knows more.

    Builds that name no era are compared as if they were behind all others.
    """
    view = fleetview.FleetView()
    view.items.era, view.items.revision = 1, 10
    entry = fleetrecords.HostEntry('old', 'z', 'old:1', 'old:2', 1)
    state = peerformat.HostState(
        entry, 1, True, 50, (), (), 0, news_revision=50, store_era=0
    )
    peers = object.__new__(peerexchange.PeerExchange)
    peers._core = types.SimpleNamespace(view=view)
    peers.peers_by_name = {'old': state}
    peers._contacts_by_name = {}
    peers._clock = historykit.LoopClock()
    peers.live_contacts = list
    assert peers.is_ahead('old')


def test_listing_ends_the_wait_for_a_deleted_document():
    """Guards against a host that lacks a deleted document for ever."""
    view = fleetview.FleetView()
    lacking = pendingitems.Reference('op/other', 94, orders.LARGE_BYTES)
    view.apply_news(storeitems.News(store.Page((), 95), (lacking,)), 0)
    view.replace_by_news(storeitems.News(store.Page((), 100)), 1_000)
    assert not view.items.pending.references()
    assert view.items.complete_revision() == 100


class HostOfALostHistory:
    """A host that has neither documents nor news for others."""

    name = 'mute'

    def hear(self, state, at_s):
        """Ignore what a peer tells."""

    async def stop(self):
        """Nothing runs."""

    def answer(self, url):
        """Answer that nothing is there."""
        return historykit.NOT_FOUND


@pytest.mark.parametrize('is_older_build', [False, True])
def test_holder_that_sends_nothing_holds_up_no_other_version(is_older_build):
    """Guards against a host that waits for one peer, beside others.

    The peer cannot be reached, or is of a build that names no era.
    """
    historykit.run(start_beside_a_mute_holder(is_older_build))


async def start_beside_a_mute_holder(is_older_build):
    world = historykit.World(seed=1)
    operators = orders.Operators(world.store, random.Random(1))
    await operators.change()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(orders.stop_all, world)
        known = world.start_host()
        await orders.until(lambda: known.version)
        world.store.fault = 'away'
        world.break_calls()
        revision = known.view.revision + 10
        lost = pendingitems.Reference(
            orders.CONFIG, revision, orders.LARGE_BYTES
        )
        started = world.start_host(watches=False)
        started.view.items.era = known.view.items.era
        started.view.apply_news(
            storeitems.News(store.Page((), revision), (lost,)), 0
        )
        await orders.until(started.heard_hosts)
        template = started.heard_hosts()[0]
        mute = template._replace(
            entry=template.entry._replace(name='mute', peer_address='mute:2'),
            store_revision=revision,
            news_revision=revision,
            configuration_version=known.version + 1,
        )
        world.without_peers.add('mute')
        if is_older_build:
            mute = mute._replace(store_era=0, configuration_version=0)
            world.without_peers.clear()
            world.hosts['mute'] = HostOfALostHistory()
        for _ in range(100):
            started.hear(mute, asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
        assert started.version == known.version
