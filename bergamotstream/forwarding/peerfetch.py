"""
Peer fetch
~~~~~~~~~~

Fetches items of the store from a peer that has newer ones, so that a host that
cannot read the store still receives changes.
"""

import asyncio
import base64
import json
import random
from typing import Any, Final, NamedTuple

import aiohttp

from bergamotstream import clock, metrics, outsidedata
from bergamotstream.forwarding import (
    eventlog,
    fleetview,
    peerexchange,
    peerformat,
    scheduler,
    storetasks,
)
from bergamotstream.platform import store

# A peer that is ahead for this long has a path to the store that this host
# lacks. A configuration must be in force 2 s after its acknowledgement.
FETCH_LAG_MS: Final = 250
CHECK_INTERVAL_S: Final = 0.1
FETCH_TIMEOUT_S: Final = 1.0
ITEMS_PATH: Final = '/items'
# An item of an update: key, revision and document.
ITEM_FIELDS: Final = 3


class ItemUpdate(NamedTuple):
    """Items for a host that is behind."""

    page: store.Page
    # True if all items are included; absent keys have been deleted.
    complete: bool
    # For how long targets whose entries lapsed are kept.
    hold_ms: int


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
        self._core = core
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
                await self._fetch(peer, report)

    def _peer_ahead(self) -> peerformat.HostState | None:
        """Return a peer that has been ahead for some time."""
        known = self._core.view.revision
        ahead = [
            peer
            for peer in self._peers.live_peers()
            if peer.store_revision > known
        ]
        if not ahead:
            self._behind_since_ms = None
            return None
        # A random one, so that hosts do not all query the same peer.
        newest = self._rng.choice(ahead)
        now_ms = self._clock.now_ms()
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        behind_ms = now_ms - self._behind_since_ms
        # A host without any items cannot serve, so it fetches at once.
        if known and behind_ms < FETCH_LAG_MS:
            return None
        return newest

    async def _fetch(
        self, peer: peerformat.HostState, report: storetasks.ChangeListener
    ) -> None:
        known_revision = self._core.view.revision
        address = peer.entry.peer_address
        url = f'http://{address}{ITEMS_PATH}?after={known_revision}'
        limit = aiohttp.ClientTimeout(
            total=FETCH_TIMEOUT_S, sock_connect=store.CONNECT_TIMEOUT_S
        )
        received = bytearray()
        started_ms = self._clock.now_ms()
        try:
            async with self._session.get(url, timeout=limit) as response:
                async for part in response.content.iter_any():
                    received.extend(part)
                update = decode(bytes(received))
        except (aiohttp.ClientError, TimeoutError, ValueError) as fault:
            self._meters.count('peer_fetches', 'failed')
            self._log.write(
                'peer_fetch_failed',
                peer=peer.entry.name,
                fault=repr(fault),
                before=known_revision,
                peer_revision=peer.store_revision,
                received_bytes=len(received),
                waited_ms=self._clock.now_ms() - started_ms,
            )
            return
        arrived_ms = self._clock.now_ms()
        report(self._apply(update))
        self._meters.count('peer_fetches', 'fetched')
        self._log.write(
            'peer_fetched',
            peer=peer.entry.name,
            before=known_revision,
            revision=update.page.revision,
            complete=update.complete,
            items=len(update.page.items),
            received_bytes=len(received),
            waited_ms=arrived_ms - started_ms,
            applied_ms=self._clock.now_ms() - arrived_ms,
        )

    def _apply(self, update: ItemUpdate) -> list[fleetview.Change]:
        view, now_ms = self._core.view, self._clock.now_ms()
        if update.hold_ms:
            view.hold_lapsed(update.hold_ms, now_ms)
        if update.complete:
            return view.replace_all(update.page, now_ms)
        return view.apply_changes(update.page, now_ms)


def update_since(
    view: fleetview.FleetView, revision: int, now_ms: int
) -> ItemUpdate:
    """Return the items that a peer at ``revision`` lacks."""
    hold_ms = view.lapse_hold_ms(now_ms)
    changes = view.changes_since(revision)
    if changes is None:
        return ItemUpdate(view.snapshot(), complete=True, hold_ms=hold_ms)
    return ItemUpdate(changes, complete=False, hold_ms=hold_ms)


def encode(update: ItemUpdate) -> bytes:
    """Return the JSON document of an update."""
    listed = [
        (entry.key, entry.revision, _encode_document(entry.document))
        for entry in update.page.items
    ]
    body = {
        'revision': update.page.revision,
        'items': listed,
        'complete': update.complete,
        'hold_ms': update.hold_ms,
    }
    return json.dumps(body).encode()


def read_revision(text: str) -> int:
    """Return a revision from a query; raises ``Malformed``."""
    if not (text.isascii() and text.isdecimal()):
        raise outsidedata.Malformed(f'revision {outsidedata.shown(text)}')
    return outsidedata.whole(outsidedata.decode_json(text))


def decode(body: bytes) -> ItemUpdate:
    """Return the update; raises :class:`ValueError` if malformed."""
    decoded = outsidedata.mapping(outsidedata.decode_json(body))
    try:
        page = store.page_of(
            outsidedata.listed(decoded['items']),
            outsidedata.whole(decoded['revision']),
            _read_item,
        )
        hold_ms = outsidedata.whole(decoded['hold_ms'])
        return ItemUpdate(
            page,
            bool(decoded['complete']),
            min(hold_ms, fleetview.LAPSE_HOLD_MS),
        )
    except KeyError as fault:
        raise outsidedata.Malformed(repr(fault)) from fault


def _read_item(entry: Any) -> store.Item:
    """Return an item; raises ``Malformed``."""
    fields = outsidedata.listed(entry)
    if len(fields) != ITEM_FIELDS:
        raise outsidedata.Malformed(f'{len(fields)} fields')
    key, revision, encoded = fields
    return store.Item(
        outsidedata.text(key),
        outsidedata.whole(revision),
        None if encoded is None else store.read_value(encoded),
    )


def _encode_document(document: bytes | None) -> str | None:
    return None if document is None else base64.b64encode(document).decode()
