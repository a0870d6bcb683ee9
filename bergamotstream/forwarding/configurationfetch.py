"""
Configuration fetch
~~~~~~~~~~~~~~~~~~~

Takes over the configuration that a peer has in force, where the items of the
store do not bring it: a store that has returned from a copy may have lost it,
while the hosts that knew it go on with it. Versions are the operators' order,
which no return of the store changes.
"""

import asyncio
import operator
import random
from collections.abc import Iterable
from typing import Final

import aiohttp
import yarl

from bergamotstream import clock, metrics
from bergamotstream.forwarding import (
    bodyreads,
    eventlog,
    fleetview,
    itemfetch,
    peerexchange,
    peerfetch,
    peerformat,
    peerupdates,
    storetasks,
)
from bergamotstream.platform import protocol, store

# Announced by ``configurationVersion`` in the state of a host.
CONFIGURATION_PATH: Final = '/configuration'
# Pause after a fetch that has not helped: the peer's document may be one that
# this build cannot read.
RETRY_S: Final = 1.0
# Time for which another task is expected to bring the newest configuration: a
# holder that dies is dropped after 2.5 s.
EXPECTED_MS: Final = 3_000


class ConfigurationFetch:
    """Task that keeps a host from an older configuration than its peers'."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        peers: peerexchange.PeerExchange,
        view: fleetview.FleetView,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Fetch over ``session``."""
        self._session = session
        self._peers = peers
        self._view = view
        self._log = log
        self._clock = time_source
        self._meters = meters
        self._rng = random.Random()
        # Names of peers whose last fetch has failed.
        self._failed: set[str] = set()
        # Since when another task has been expected to bring the newest.
        self._expected_since_ms: int | None = None

    async def run(self, report: storetasks.ChangeListener) -> None:
        """Fetch whenever only a peer can tell the newest, until cancelled."""
        while True:
            await asyncio.sleep(peerfetch.CHECK_INTERVAL_S)
            peer = self._choose_peer()
            if peer is not None:
                self._failed.add(peer.entry.name)
                await self._fetch(peer, report)
                version = self._view.in_force.version
                if version < peer.configuration_version:
                    await asyncio.sleep(RETRY_S)

    def _choose_peer(self) -> peerformat.HostState | None:
        """Return a peer with the newest version, if news do not bring it."""
        own = self._view.in_force.version
        versions = [
            peer.configuration_version
            for peer in self._peers.live_peers()
            if peer.ready
        ]
        self._view.lag.compare(own, versions, self._clock.now_ms())
        heard = self._peers.heard_hosts()
        ahead = [peer for peer in heard if peer.configuration_version > own]
        if not ahead:
            self._failed.clear()
            self._expected_since_ms = None
            return None
        if self._is_expected(ahead, heard):
            return None
        self._failed.intersection_update(peer.entry.name for peer in ahead)
        if len(self._failed) == len(ahead):
            self._failed.clear()
        untried = [
            peer for peer in ahead if peer.entry.name not in self._failed
        ]
        newest = max(peer.configuration_version for peer in untried)
        # A random one, as connections to one of them may fail.
        return self._rng.choice(
            [peer for peer in untried if peer.configuration_version == newest]
        )

    def _is_expected(
        self,
        ahead: list[peerformat.HostState],
        heard: Iterable[peerformat.HostState],
    ) -> bool:
        """Tell whether the newest is to come as news or as an item.

        Only for a while: the host that has it may be out of reach, or may not
        have it after all.
        """
        newest = max(ahead, key=operator.attrgetter('configuration_version'))
        if not self._is_coming(newest, heard):
            return False
        now_ms = self._clock.now_ms()
        if self._expected_since_ms is None:
            self._expected_since_ms = now_ms
        return now_ms < self._expected_since_ms + EXPECTED_MS

    def _is_coming(
        self,
        newest: peerformat.HostState,
        heard: Iterable[peerformat.HostState],
    ) -> bool:
        """Tell whether news or an item bring the newest configuration."""
        items = self._view.items
        if newest.complete_position() > items.complete_position():
            return True
        return any(
            itemfetch.holders_of(reference, items.era, heard)
            for reference in items.pending.references()
            if reference.key == protocol.CONFIG_KEY
        )

    async def _fetch(
        self, peer: peerformat.HostState, report: storetasks.ChangeListener
    ) -> None:
        started_ms = self._clock.now_ms()
        try:
            document = await self._receive(peer)
        except peerfetch.FETCH_FAULTS as fault:
            self._meters.count('configuration_fetches', 'failed')
            self._log.write(
                'configuration_fetch_failed',
                peer=peer.entry.name,
                fault=repr(fault),
                waited_ms=self._clock.now_ms() - started_ms,
            )
            return
        self._meters.count('configuration_fetches', 'fetched')
        self._log.write(
            'configuration_fetched',
            peer=peer.entry.name,
            length=len(document),
            before=self._view.in_force.version,
            peer_version=peer.configuration_version,
            **self._view.items.position()._asdict(),
        )
        adopted = store.Item(protocol.CONFIG_KEY, self._view.revision, document)
        now_ms = self._clock.now_ms()
        report(list(self._view.apply_configuration(adopted, '', now_ms)))

    async def _receive(self, peer: peerformat.HostState) -> bytes:
        """Return the document; raises one of ``FETCH_FAULTS``."""
        url = yarl.URL(f'http://{peer.entry.peer_address}{CONFIGURATION_PATH}')
        connecting = aiohttp.ClientTimeout(sock_connect=store.CONNECT_TIMEOUT_S)
        async with (
            asyncio.timeout(peerfetch.HEAD_TIMEOUT_S) as limit,
            self._session.get(url, timeout=connecting) as response,
        ):
            if response.status != store.OK:
                raise aiohttp.ClientPayloadError(f'status {response.status}')
            return peerupdates.inflate(await bodyreads.read(response, limit))
