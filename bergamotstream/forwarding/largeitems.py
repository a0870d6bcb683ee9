"""
Large items
~~~~~~~~~~~

Sends the document of one large item to a peer, deflated and from the byte that
the peer names, so that a transfer that broke off goes on anywhere. A few peers
are served at a time: each of them then serves others, which spreads a document
faster than one link that is shared by all.
"""

import asyncio
import contextlib
import socket
import zlib
from typing import Final, NamedTuple

import multidict
from aiohttp import web

from bergamotstream import outsidedata
from bergamotstream.forwarding import eventlog, fleetview, pendingitems
from bergamotstream.platform import store

# Announced by ``newsRevision`` in the state of a host.
ITEM_PATH: Final = '/item'
REVISION: Final = 'Item-Revision'
LENGTH: Final = 'Item-Length'
OFFSET: Final = 'Item-Offset'
DIGEST: Final = 'Item-Digest'
# Two transfers fill the slowest links; further ones only delay them.
MAX_TRANSFERS: Final = 2
# A peer that waits for longer asks another holder, of which there are more by
# then.
MAX_WAIT_S: Final = 0.25
PIECE_BYTES: Final = 16_384
# Keeps documents from filling the buffers of the kernel before what is sent
# beside them; more than a fast link holds.
SEND_BUFFER_BYTES: Final = 131_072
NOT_FOUND: Final = 404
BUSY: Final = 503


class ItemQuery(NamedTuple):
    """What a peer asks for."""

    key: str
    # The lowest revision that serves the peer.
    revision: int
    # Where to go on, if the document still is the one with ``digest``.
    offset: int
    digest: str
    # History that the revision belongs to; 0 from older builds.
    era: int


class Document(NamedTuple):
    """A document as it is sent."""

    item: store.Item
    offset: int
    digest: str
    length: int
    deflated: bytes


class ItemServer:
    """Sends large items to peers."""

    def __init__(
        self, view: fleetview.FleetView, log: eventlog.EventLog
    ) -> None:
        """Send the items of ``view``."""
        self._view = view
        self._log = log
        self._turns = asyncio.Semaphore(MAX_TRANSFERS)
        # The document that was sent last, as most peers ask for the same one.
        self._latest: Document | None = None

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a peer; 503 if too many peers are served already."""
        try:
            asked = read_asked(request.query)
        except outsidedata.Malformed as fault:
            return web.Response(status=400, text=str(fault))
        item = self._view.items.by_key.get(asked.key)
        is_known = asked.era in {0, self._view.items.era}
        if item is None or not is_known or not _serves(item, asked):
            return web.Response(status=NOT_FOUND)
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._turns.acquire()
        except TimeoutError:
            self._log.write('item_refused', key=asked.key, peer=request.remote)
            return web.Response(status=BUSY)
        with contextlib.ExitStack() as stack:
            stack.callback(self._turns.release)
            return await self._send(request, self._document_of(item, asked))

    async def _send(
        self, request: web.BaseRequest, document: Document
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                REVISION: str(document.item.revision),
                LENGTH: str(document.length),
                OFFSET: str(document.offset),
                DIGEST: document.digest,
            }
        )
        response.content_length = len(document.deflated)
        await response.prepare(request)
        _limit_buffer(request)
        for start in range(0, len(document.deflated), PIECE_BYTES):
            piece = document.deflated[start : start + PIECE_BYTES]
            await response.write(piece)  # noqa: WPS476 - in order
        await response.write_eof()
        return response

    def _document_of(self, item: store.Item, asked: ItemQuery) -> Document:
        latest = self._latest
        if latest is None or latest.item != item:
            latest = _make_document(item)
            self._latest = latest
        if not asked.offset or asked.digest != latest.digest:
            return latest
        offset = min(asked.offset, latest.length)
        rest = (item.document or b'')[offset:]
        return latest._replace(offset=offset, deflated=zlib.compress(rest))


def read_asked(query: multidict.MultiMapping[str]) -> ItemQuery:
    """Return what a query asks for; raises ``Malformed``."""
    return ItemQuery(
        outsidedata.text(query.get('key')),
        outsidedata.decimal(query.get('revision', '')),
        outsidedata.decimal(query.get('offset', '0')),
        query.get('digest', ''),
        outsidedata.decimal(query.get('era', '0')),
    )


def _serves(item: store.Item, asked: ItemQuery) -> bool:
    return item.document is not None and item.revision >= asked.revision


def _make_document(item: store.Item) -> Document:
    document = item.document or b''
    digest = pendingitems.digest_of(document)
    return Document(item, 0, digest, len(document), zlib.compress(document))


def _limit_buffer(request: web.BaseRequest) -> None:
    """Bound what the kernel takes over of an answer."""
    if request.transport is None:
        return
    opened = request.transport.get_extra_info('socket')
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
