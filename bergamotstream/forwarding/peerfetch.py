"""
Peer fetch
~~~~~~~~~~

Fetches news of the store from a peer that has newer ones, so that a host that
cannot read the store still receives changes.
"""

import asyncio
import random
from typing import Final, NamedTuple

import aiohttp
import yarl

from bergamotstream import clock, metrics
from bergamotstream.forwarding import (
    bodyreads,
    eventlog,
    fleetview,
    peerexchange,
    peerformat,
    peerupdates,
    scheduler,
    storeitems,
    storetasks,
    storewatchers,
)
from bergamotstream.platform import store

# A peer that is ahead for this long has a path to the store that this host
# lacks. A configuration must be in force 2 s after its acknowledgement.
FETCH_LAG_MS: Final = 250
CHECK_INTERVAL_S: Final = 0.1
# From the request to the head of the answer.
HEAD_TIMEOUT_S: Final = 1.0
FETCH_FAULTS: Final = (aiohttp.ClientError, TimeoutError, ValueError)


class Query(NamedTuple):
    """What a peer is asked for."""

    peer: peerformat.HostState
    path: str
    # The changes after this position are asked for.
    after: store.Position


class PeerFetch:
    """Task that keeps the view of a host from falling behind its peers."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        peers: peerexchange.PeerExchange,
        core: scheduler.Scheduler,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Fetch over ``session``."""
        self._session = session
        self._peers = peers
        self._view = core.view
        self._log = log
        self._clock = time_source
        self._meters = meters
        self._rng = random.Random()
        self._behind_since_ms: int | None = None

    async def run(self, report: storetasks.ChangeListener) -> None:
        """Fetch whenever a peer stays ahead, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            peer = self._peer_ahead()
            if peer is not None:
                await self._fetch(self._query_to(peer), report)

    def _peer_ahead(self) -> peerformat.HostState | None:
        """Return a peer that has been ahead for some time."""
        ahead = [
            peer for peer in self._peers.heard_hosts() if self._is_ahead(peer)
        ]
        if not ahead:
            self._behind_since_ms = None
            return None
        # Only the news of newer builds pass large items by.
        with_news = [peer for peer in ahead if peer.news_revision]
        # A random one, so that hosts do not all query the same peer.
        chosen = self._rng.choice(with_news or ahead)
        now_ms = self._clock.now_ms()
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        behind_ms = now_ms - self._behind_since_ms
        # A host without any items cannot serve, so it fetches at once.
        if self._view.revision and behind_ms < FETCH_LAG_MS:
            return None
        return chosen

    def _is_ahead(self, peer: peerformat.HostState) -> bool:
        items = self._view.items
        era = peer.store_era or self._era_of_older_builds()
        if peer.news_revision:
            known = store.Position(era, peer.news_revision)
            return known > items.position()
        known = store.Position(era, peer.store_revision)
        return known > items.complete_position()

    def _era_of_older_builds(self) -> int:
        """Return the era of the revisions of peers that name none.

        These may be left behind in an earlier history, so they are followed
        only while this host does not reach the store itself.
        """
        silent_ms = self._clock.now_ms() - self._view.store_answered_ms
        if silent_ms < storewatchers.FRESH_ANSWER_MS:
            return 0
        return self._view.items.era

    def _query_to(self, peer: peerformat.HostState) -> Query:
        """Return what to ask for; older builds send no news."""
        items = self._view.items
        if peer.news_revision:
            return Query(peer, peerupdates.NEWS_PATH, items.position())
        return Query(peer, peerupdates.ITEMS_PATH, items.complete_position())

    async def _fetch(
        self, query: Query, report: storetasks.ChangeListener
    ) -> None:
        started_ms = self._clock.now_ms()
        received = bytearray()
        try:
            update = await self._receive(query, received)
        except FETCH_FAULTS as fault:
            self._meters.count('peer_fetches', 'failed')
            self._log.write(
                'peer_fetch_failed',
                peer=query.peer.entry.name,
                path=query.path,
                fault=repr(fault),
                era=query.after.era,
                before=query.after.revision,
                peer_era=query.peer.store_era,
                peer_revision=query.peer.store_revision,
                received_bytes=len(received),
                waited_ms=self._clock.now_ms() - started_ms,
            )
            return
        arrived_ms = self._clock.now_ms()
        report(self._apply(query, update))
        self._meters.count('peer_fetches', 'fetched')
        self._log.write(
            'peer_fetched',
            peer=query.peer.entry.name,
            path=query.path,
            before=query.after.revision,
            era=update.page.era,
            revision=update.page.revision,
            complete=update.complete,
            items=len(update.page.items),
            pending=len(update.references),
            received_bytes=len(received),
            waited_ms=arrived_ms - started_ms,
            applied_ms=self._clock.now_ms() - arrived_ms,
        )

    async def _receive(
        self, query: Query, received: bytearray
    ) -> peerupdates.ItemUpdate:
        """Return the update; raises one of ``FETCH_FAULTS``."""
        address = query.peer.entry.peer_address
        url = yarl.URL(f'http://{address}{query.path}').with_query(
            after=query.after.revision, era=query.after.era
        )
        connecting = aiohttp.ClientTimeout(sock_connect=store.CONNECT_TIMEOUT_S)
        async with (
            asyncio.timeout(HEAD_TIMEOUT_S) as limit,
            self._session.get(url, timeout=connecting) as response,
        ):
            async for part in bodyreads.parts_of(response, limit):
                received.extend(part)
        body = bytes(received)
        if query.path == peerupdates.NEWS_PATH:
            body = peerupdates.inflate(body)
        return peerupdates.decode(body)

    def _apply(
        self, query: Query, update: peerupdates.ItemUpdate
    ) -> list[fleetview.Change]:
        view, now_ms = self._view, self._clock.now_ms()
        if update.hold_ms:
            view.hold_lapsed(update.hold_ms, now_ms)
        if query.path == peerupdates.ITEMS_PATH:
            if update.complete:
                return view.replace_all(update.page, now_ms)
            return view.apply_changes(update.page, now_ms)
        news = storeitems.News(update.page, update.references)
        if update.complete:
            return view.replace_by_news(news, now_ms)
        return view.apply_news(news, now_ms)
