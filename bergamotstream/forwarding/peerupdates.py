"""
Peer updates
~~~~~~~~~~~~

What a host sends to a peer that is behind: news, in which large items are only
named, or for peers of older builds all items with their documents.
"""

import base64
import json
import zlib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from bergamotstream import outsidedata
from bergamotstream.forwarding import fleetview, pendingitems, storeitems
from bergamotstream.platform import store

ITEMS_PATH: Final = '/items'
# Announced by ``newsRevision`` in the state of a host.
NEWS_PATH: Final = '/news'
# An item of an update: key, revision and document. A reference: key, revision
# and length.
ENTRY_FIELDS: Final = 3
# Longest item that is fetched; the store holds values of 1 MB.
MAX_ITEM_BYTES: Final = 16_777_216
# Longest update after inflating.
MAX_UPDATE_BYTES: Final = 67_108_864


class ItemUpdate(NamedTuple):
    """Items for a host that is behind."""

    page: store.Page
    # True if all items are included; absent keys have been deleted.
    complete: bool
    # For how long targets whose entries lapsed are kept.
    hold_ms: int
    # Large items that changed and are not in the page.
    references: tuple[pendingitems.Reference, ...] = ()


def update_since(
    view: fleetview.FleetView, known: store.Position, now_ms: int
) -> ItemUpdate:
    """Return the items that a peer at ``known`` lacks."""
    hold_ms = view.lapse_hold_ms(now_ms)
    changes = view.items.changes_since(known)
    if changes is None:
        return ItemUpdate(view.items.snapshot(), complete=True, hold_ms=hold_ms)
    return ItemUpdate(changes, complete=False, hold_ms=hold_ms)


def news_since(
    view: fleetview.FleetView, known: store.Position, now_ms: int
) -> ItemUpdate:
    """Return the news that a peer at ``known`` lacks."""
    hold_ms = view.lapse_hold_ms(now_ms)
    changes = view.items.changes_since(known)
    after = 0 if changes is None else known.revision
    news = view.items.news_of(changes or view.items.snapshot(), after)
    return ItemUpdate(news.page, changes is None, hold_ms, news.references)


def read_position(
    query: Mapping[str, str], items: storeitems.StoreItems
) -> store.Position:
    """Return the position that a peer asks from; raises ``Malformed``.

    Peers of older builds name no era.
    """
    era = query.get('era')
    return store.Position(
        items.assumed_era() if era is None else outsidedata.decimal(era),
        outsidedata.decimal(query.get('after', '0')),
    )


def deflate(body: bytes) -> bytes:
    """Return the body of an answer with news."""
    return zlib.compress(body)


def inflate(body: bytes) -> bytes:
    """Return what was deflated; raises ``Malformed``."""
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(body, MAX_UPDATE_BYTES)
    except zlib.error as fault:
        raise outsidedata.Malformed(repr(fault)) from fault
    if not inflater.eof:
        raise outsidedata.Malformed('deflated body is cut or too long')
    return inflated


def encode(update: ItemUpdate) -> bytes:
    """Return the JSON document of an update."""
    listed = [
        (entry.key, entry.revision, _encode_document(entry.document))
        for entry in update.page.items
    ]
    body = {
        'era': update.page.era,
        'revision': update.page.revision,
        'items': listed,
        'complete': update.complete,
        'hold_ms': update.hold_ms,
        'large': [
            (reference.key, reference.revision, reference.length)
            for reference in update.references
        ],
        # Apart from the references, whose fields older builds count.
        'digests': {
            reference.key: reference.digest
            for reference in update.references
            if reference.digest
        },
    }
    return json.dumps(body).encode()


def decode(body: bytes) -> ItemUpdate:
    """Return the update; raises :class:`ValueError` if malformed."""
    decoded = outsidedata.mapping(outsidedata.decode_json(body))
    digests = outsidedata.mapping(decoded.get('digests', {}))
    try:
        page = store.page_of(
            outsidedata.listed(decoded['items']),
            outsidedata.whole(decoded['revision']),
            _read_item,
        )._replace(era=outsidedata.whole(decoded.get('era', 0)))
        references = [
            _read_reference(entry, digests)
            for entry in outsidedata.listed(decoded.get('large', []))
        ]
        hold_ms = outsidedata.whole(decoded['hold_ms'])
        return ItemUpdate(
            page,
            bool(decoded['complete']),
            min(hold_ms, fleetview.LAPSE_HOLD_MS),
            tuple(references),
        )
    except KeyError as fault:
        raise outsidedata.Malformed(repr(fault)) from fault


def _read_item(entry: Any) -> store.Item:
    """Return an item; raises ``Malformed``."""
    key, revision, encoded = _fields_of(entry)
    return store.Item(
        outsidedata.text(key),
        outsidedata.whole(revision),
        None if encoded is None else store.read_value(encoded),
    )


def _read_reference(
    entry: Any, digests: Mapping[str, Any]
) -> pendingitems.Reference:
    """Return a reference; raises ``Malformed``."""
    named, revision, length = _fields_of(entry)
    key = outsidedata.text(named)
    return pendingitems.Reference(
        key,
        outsidedata.whole(revision),
        outsidedata.whole(length, 0, MAX_ITEM_BYTES),
        outsidedata.text(digests[key]) if key in digests else '',
    )


def _fields_of(entry: Any) -> list[Any]:
    fields = outsidedata.listed(entry)
    if len(fields) != ENTRY_FIELDS:
        raise outsidedata.Malformed(f'{len(fields)} fields')
    return fields


def _encode_document(document: bytes | None) -> str | None:
    return None if document is None else base64.b64encode(document).decode()
