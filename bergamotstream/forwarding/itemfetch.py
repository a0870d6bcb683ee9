"""
Item fetch
~~~~~~~~~~

Fetches the documents of large items that this host knows to have changed. What
has arrived is kept when a transfer breaks off, and another peer sends the rest.
"""

import asyncio
import random
import zlib
from collections.abc import Iterable
from typing import Final, NamedTuple

import aiohttp
import yarl

from bergamotstream import clock, metrics, outsidedata
from bergamotstream.forwarding import (
    bodyreads,
    eventlog,
    fleetview,
    largeitems,
    peerexchange,
    peerfetch,
    peerformat,
    peerupdates,
    pendingitems,
    storeitems,
    storetasks,
)
from bergamotstream.platform import store

OK: Final = 200


class ItemRefused(ConnectionError):
    """A peer does not send the item now."""


FETCH_FAULTS: Final = (ItemRefused, *peerfetch.FETCH_FAULTS)


class Head(NamedTuple):
    """What a peer says of the document that follows."""

    revision: int
    length: int
    offset: int
    digest: str


class Partial(NamedTuple):
    """The part of a document that has arrived."""

    head: Head
    received: bytearray

    def is_whole(self) -> bool:
        """Tell whether all of the document is there."""
        return len(self.received) == self.head.length


class ItemFetch:
    """Task that fetches the documents of pending items."""

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
        self._partials_by_key: dict[str, Partial] = {}

    async def run(self, report: storetasks.ChangeListener) -> None:
        """Fetch pending items one after the other, until cancelled."""
        while True:
            await asyncio.sleep(peerfetch.CHECK_INTERVAL_S)
            for reference in self._view.items.pending.references():
                await self._fetch_once(  # noqa: WPS476 - in turn
                    reference, report
                )
            self._drop_needless()

    async def _fetch_once(
        self,
        reference: pendingitems.Reference,
        report: storetasks.ChangeListener,
    ) -> None:
        """Fetch from one peer that has the document, if there is one."""
        peer = self._choose_holder(reference)
        if peer is not None:
            await self._fetch(peer, reference, report)

    def _choose_holder(
        self, reference: pendingitems.Reference
    ) -> peerformat.HostState | None:
        """Return a random peer that has the document, if there is one."""
        holders = holders_of(
            reference, self._view.items.era, self._peers.heard_hosts()
        )
        return self._rng.choice(holders) if holders else None

    async def _fetch(
        self,
        peer: peerformat.HostState,
        reference: pendingitems.Reference,
        report: storetasks.ChangeListener,
    ) -> None:
        started_ms = self._clock.now_ms()
        era = self._view.items.era
        key = reference.key
        try:
            partial = await self._receive(peer, reference)
        except FETCH_FAULTS as fault:
            if isinstance(fault, outsidedata.Malformed):
                self._partials_by_key.pop(key, None)
            kept = self._partials_by_key.get(key)
            self._meters.count('item_fetches', 'failed')
            self._log.write(
                'item_fetch_failed',
                key=key,
                peer=peer.entry.name,
                fault=repr(fault),
                revision=reference.revision,
                kept_bytes=len(kept.received) if kept else 0,
                length=reference.length,
                waited_ms=self._clock.now_ms() - started_ms,
            )
            return
        self._partials_by_key.pop(key)
        arrived_ms = self._clock.now_ms()
        arrived = store.Item(
            key, partial.head.revision, bytes(partial.received)
        )
        report(
            self._view.apply_news(
                storeitems.News(store.Page((arrived,), 0, era=era)), arrived_ms
            )
        )
        self._meters.count('item_fetches', 'fetched')
        self._log.write(
            'item_fetched',
            key=key,
            peer=peer.entry.name,
            revision=arrived.revision,
            length=partial.head.length,
            waited_ms=arrived_ms - started_ms,
            applied_ms=self._clock.now_ms() - arrived_ms,
        )

    async def _receive(
        self, peer: peerformat.HostState, reference: pendingitems.Reference
    ) -> Partial:
        """Return the whole document.

        Raises one of ``FETCH_FAULTS``; what has arrived is kept unless it is
        malformed.
        """
        connecting = aiohttp.ClientTimeout(sock_connect=store.CONNECT_TIMEOUT_S)
        async with (
            asyncio.timeout(peerfetch.HEAD_TIMEOUT_S) as limit,
            self._session.get(
                self._url(peer, reference), timeout=connecting
            ) as response,
        ):
            if response.status != OK:
                raise ItemRefused(f'status {response.status}')
            partial = self._partial_for(
                reference.key, _read_head(response, reference)
            )
            inflater = zlib.decompressobj()
            async for part in bodyreads.parts_of(response, limit):
                _extend(partial, inflater, part)
        return _check(partial)

    def _url(
        self, peer: peerformat.HostState, reference: pendingitems.Reference
    ) -> yarl.URL:
        kept = self._partials_by_key.get(reference.key)
        return yarl.URL(
            f'http://{peer.entry.peer_address}{largeitems.ITEM_PATH}'
        ).with_query(
            key=reference.key,
            revision=reference.revision,
            offset=len(kept.received) if kept else 0,
            digest=kept.head.digest if kept else '',
            era=self._view.items.era,
        )

    def _partial_for(self, key: str, head: Head) -> Partial:
        """Return what the coming bytes extend; raises ``Malformed``."""
        kept = self._partials_by_key.get(key)
        if kept is None or not head.offset:
            kept = Partial(head, bytearray())
            self._partials_by_key[key] = kept
        if (head.digest, head.offset) != (
            kept.head.digest,
            len(kept.received),
        ):
            raise outsidedata.Malformed('part of another document')
        # The rest may come from a later history, in which the same document has
        # another revision.
        kept = kept._replace(head=head)
        self._partials_by_key[key] = kept
        return kept

    def _drop_needless(self) -> None:
        """Drop parts of documents that are no longer pending."""
        for key in tuple(self._partials_by_key):
            if not self._view.items.pending.is_pending(key):
                self._partials_by_key.pop(key)


def holders_of(
    reference: pendingitems.Reference,
    era: int,
    peers: Iterable[peerformat.HostState],
) -> list[peerformat.HostState]:
    """Return the peers that have the document of a reference of an era.

    Older builds name no era, so they count like those of the same one.
    """
    return [
        peer
        for peer in peers
        if peer.news_revision
        and peer.store_era in {0, era}
        and peer.store_revision >= reference.revision
    ]


def _read_head(
    response: aiohttp.ClientResponse, reference: pendingitems.Reference
) -> Head:
    """Return what an answer holds; raises ``Malformed``."""
    headers = response.headers
    head = Head(
        outsidedata.decimal(headers.get(largeitems.REVISION, '')),
        outsidedata.decimal(headers.get(largeitems.LENGTH, '')),
        outsidedata.decimal(headers.get(largeitems.OFFSET, '')),
        outsidedata.text(headers.get(largeitems.DIGEST)),
    )
    if head.revision < reference.revision:
        raise outsidedata.Malformed('older than the item that is pending')
    if head.length > peerupdates.MAX_ITEM_BYTES:
        raise outsidedata.Malformed('longer than any item')
    return head


def _check(partial: Partial) -> Partial:
    """Return a document that is whole; raises ``Malformed``."""
    if not partial.is_whole():
        raise outsidedata.Malformed('document is cut')
    if pendingitems.digest_of(bytes(partial.received)) != partial.head.digest:
        raise outsidedata.Malformed('document is not the one announced')
    return partial


def _extend(
    partial: Partial, inflater: 'zlib._Decompress', part: bytes
) -> None:
    """Add a deflated part; raises ``Malformed`` for too many bytes."""
    missing = partial.head.length - len(partial.received)
    try:
        partial.received.extend(inflater.decompress(part, missing + 1))
    except zlib.error as fault:
        raise outsidedata.Malformed(repr(fault)) from fault
    if len(partial.received) > partial.head.length:
        raise outsidedata.Malformed('longer than announced')
