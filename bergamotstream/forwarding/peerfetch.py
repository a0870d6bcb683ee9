"""
Peer fetch
~~~~~~~~~~

Fetches the items of the store from a peer that has newer ones. So a host that
the store does not serve still learns of changes.
"""

import asyncio
import base64
import json
import operator
from typing import Final

import aiohttp

from bergamotstream import clock
from bergamotstream.forwarding import (
    eventlog,
    peerexchange,
    peerformat,
    scheduler,
    storetasks,
)
from bergamotstream.platform import store

# A peer whose view is newer for this long has a way that this host lacks. A
# configuration must be in force 2 s after its acknowledgement.
BEHIND_MS: Final = 250
CHECK_S: Final = 0.1
FETCH_TIMEOUT_S: Final = 1.0
ITEMS_PATH: Final = '/items'


class PeerFetch:
    """Task that keeps the view of a host from falling behind its peers."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        peers: peerexchange.PeerExchange,
        core: scheduler.Scheduler,
        log: eventlog.EventLog,
        time_source: clock.Clock,
    ) -> None:
        """Fetch over ``session``."""
        self._session = session
        self._peers = peers
        self._core = core
        self._log = log
        self._clock = time_source
        self._behind_since_ms: int | None = None

    async def run(self, report: storetasks.Report) -> None:
        """Fetch whenever a peer stays ahead, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            peer = self._peer_ahead()
            if peer is not None:
                await self._fetch(peer, report)

    def _peer_ahead(self) -> peerformat.HostState | None:
        """Return a peer that has been ahead for some time."""
        newest = max(
            self._peers.live_peers(),
            key=operator.attrgetter('store_revision'),
            default=None,
        )
        known = self._core.view.revision
        if newest is None or newest.store_revision <= known:
            self._behind_since_ms = None
            return None
        now_ms = self._clock.now_ms()
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if now_ms - self._behind_since_ms < BEHIND_MS:
            return None
        return newest

    async def _fetch(
        self, peer: peerformat.HostState, report: storetasks.Report
    ) -> None:
        url = f'http://{peer.entry.peer_address}{ITEMS_PATH}'
        limit = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=limit) as response:
                page = decode_page(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as fault:
            self._log.write(
                'peer_fetch_failed', peer=peer.entry.name, fault=repr(fault)
            )
            return
        before = self._core.view.revision
        report(self._core.view.replace_all(page, self._clock.now_ms()))
        self._log.write(
            'peer_fetched',
            peer=peer.entry.name,
            before=before,
            revision=page.revision,
        )


def encode_page(page: store.Page) -> bytes:
    """Return the document by which a host gives its items to a peer."""
    listed = [
        (
            entry.key,
            entry.revision,
            base64.b64encode(entry.document or b'').decode(),
        )
        for entry in page.items
    ]
    body = {'revision': page.revision, 'items': listed}
    return json.dumps(body).encode()


def decode_page(body: bytes) -> store.Page:
    """Return the items; raises :class:`ValueError` for another body."""
    decoded = json.loads(body)
    try:
        listed = tuple(
            store.Item(key, revision, base64.b64decode(document))
            for key, revision, document in decoded['items']
        )
        return store.Page(listed, int(decoded['revision']))
    except (KeyError, TypeError) as fault:
        raise ValueError(repr(fault)) from fault
