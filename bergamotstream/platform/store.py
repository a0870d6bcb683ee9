"""
Store
~~~~~

Client of the platform's metadata store. Each call has a timeout, after which
it is unknown whether a change was made.
"""

import asyncio
import base64
import contextlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

import aiohttp
import yarl

from bergamotstream import outsidedata
from bergamotstream.forwarding import bodyreads, hostsettings

# The store answers in 4 ms; a call whose answer does not begin by then is lost.
CALL_TIMEOUT_S: Final = 1.0
# The kernel retransmits a lost SYN only after a second, while a network path
# that was interrupted may have recovered by then.
CONNECT_TIMEOUT_S: Final = 0.3
# How much longer than its wait a watch may take to begin its answer.
WATCH_MARGIN_S: Final = 0.7
MS_PER_S: Final = 1_000
OK: Final = 200
NOT_FOUND: Final = 404
HISTORY_GONE: Final = 410
# Rises by one when the store returns from a copy of an earlier state.
ERA_HEADER: Final = 'Store-Era'


class StoreUnavailable(ConnectionError):
    """No answer, or one that reports that the store did nothing."""


class HistoryGone(LookupError):
    """The store has discarded the changes since a revision; read all."""


class LeaseGone(LookupError):
    """The lease has expired and its keys are deleted."""


class Item(NamedTuple):
    """A key at one revision; ``document`` is ``None`` after its deletion."""

    key: str
    revision: int
    document: bytes | None


class UnreadableItem(NamedTuple):
    """An item that is left out; ``key`` is empty if it cannot be read."""

    key: str
    reason: str


class Position(NamedTuple):
    """A revision within one history of the store; later ones compare greater.

    A store that returns from a copy starts a new history, in which it assigns
    revisions of the previous one again.
    """

    # 0 if the source of the revision names none.
    era: int
    revision: int


class Page(NamedTuple):
    """Items and the revision of the store at which they were read."""

    items: tuple[Item, ...]
    # ``store_revision`` on the wire: of the whole store, not of an item.
    revision: int
    unreadable: tuple[UnreadableItem, ...] = ()
    # History that the revisions belong to; see :class:`Position`.
    era: int = 0


class Lease(NamedTuple):
    """A lease; another history assigns its number again."""

    number: int
    era: int


class _Answer(NamedTuple):
    """An answer of the store; the era is 0 until one has been named."""

    status: int
    body: Mapping[str, Any]
    era: int


class StoreClient:
    """Calls to the store over a session that the caller closes."""

    def __init__(
        self,
        config: hostsettings.StoreSettings,
        session: aiohttp.ClientSession,
    ) -> None:
        """Use ``session`` for all calls."""
        self._origin = f'http://{config.address}'
        self._session = session
        # The latest one that an answer has named, which also stands for those
        # that name none.
        self._era = 0

    async def read_all(self, prefix: str) -> Page:
        """Read all items below ``prefix``, page by page.

        The pages are not a snapshot, so the revision of the first one is
        returned: a watch from there repeats changes but misses none.
        """
        pages: list[Page] = []
        after, has_more = '', True
        while has_more:
            page, has_more = await self._read_page(prefix, after)
            pages.append(page)
            after = page.items[-1].key if has_more else after
        if len({page.era for page in pages}) > 1:
            raise StoreUnavailable('the store has returned from a copy')
        return Page(
            tuple(entry for page in pages for entry in page.items),
            pages[0].revision,
            tuple(entry for page in pages for entry in page.unreadable),
            pages[0].era,
        )

    async def _read_page(self, prefix: str, after: str) -> tuple[Page, bool]:
        """Read one page and whether more follow; raises ``StoreUnavailable``."""
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        answer = await self._call('GET', '/kv-range', query=query)
        with _decoding():
            page = _page(answer, 'items')
        if page.unreadable and not page.items:
            raise StoreUnavailable(f'no readable item: {page.unreadable[0]}')
        if page.items and page.items[-1].key == after:
            raise StoreUnavailable('a page leads to no further one')
        return page, bool(answer.body.get('has_more') and page.items)

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> Page:
        """Wait for changes after ``revision``; raises ``HistoryGone``."""
        answer = await self._call(
            'GET',
            '/kv-watch',
            query={'prefix': prefix, 'after': revision, 'wait_ms': wait_ms},
            timeout_s=wait_ms / MS_PER_S + WATCH_MARGIN_S,
            expected=(OK, HISTORY_GONE),
        )
        if answer.status == HISTORY_GONE:
            raise HistoryGone(f'revision {revision}, era {answer.era}')
        with _decoding():
            return _page(answer, 'events')

    async def open_lease(self, ttl_ms: int) -> Lease:
        """Return a new lease of ``ttl_ms`` milliseconds."""
        answer = await self._call('POST', '/kv-lease', {'ttl_ms': ttl_ms})
        with _decoding():
            return Lease(outsidedata.whole(answer.body['lease']), answer.era)

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raises ``LeaseGone``."""
        answer = await self._call(
            'POST', f'/kv-keep/{lease.number}', expected=(OK, NOT_FOUND)
        )
        _check_lease(answer, lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys; an expired one is no error.

        A lease of an earlier history is left alone: its number may belong to
        another host by now.
        """
        if self._era == lease.era:
            await self._call(
                'DELETE',
                f'/kv-lease-end/{lease.number}',
                expected=(OK, NOT_FOUND),
            )

    async def put_all(
        self, documents_by_key: Mapping[str, bytes], lease: Lease
    ) -> None:
        """Write keys unconditionally under a lease; raises ``LeaseGone``."""
        writes = [
            {
                'key': key,
                'value': base64.b64encode(document).decode(),
                'lease': lease.number,
            }
            for key, document in documents_by_key.items()
        ]
        answer = await self._call(
            'POST',
            '/kv-txn',
            {'expected': [], 'writes': writes, 'deletes': []},
            expected=(OK, NOT_FOUND),
        )
        _check_lease(answer, lease)

    async def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        query: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        expected: Sequence[int] = (OK,),
    ) -> _Answer:
        """Make a call; raises ``StoreUnavailable`` for other answers."""
        url = yarl.URL(self._origin + path).with_query(query)
        connecting = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with (
                asyncio.timeout(timeout_s) as limit,
                self._session.request(
                    method, url, json=body, timeout=connecting
                ) as response,
            ):
                text = await bodyreads.read(response, limit)
                era = _read_era(response.headers.get(ERA_HEADER))
                status = response.status
                decoded = _read_answer(status, text, expected)
        except (aiohttp.ClientError, TimeoutError, OSError) as fault:
            raise StoreUnavailable(repr(fault)) from fault
        self._era = max(self._era, era)
        return _Answer(status, decoded, era or self._era)


def _read_era(header: str | None) -> int:
    """Return the era that an answer names, 0 for none that can be read."""
    try:
        return outsidedata.decimal(header)
    except outsidedata.Malformed:
        return 0


def _check_lease(answer: _Answer, lease: Lease) -> None:
    """Raise ``LeaseGone`` if a lease does not exist in the store's history."""
    if answer.status == NOT_FOUND:
        raise LeaseGone(f'lease {lease.number}')
    if answer.era != lease.era:
        raise LeaseGone(f'lease {lease.number}, era {lease.era}')


def _read_answer(
    status: int, text: bytes, expected: Sequence[int]
) -> Mapping[str, Any]:
    if status not in expected:
        raise StoreUnavailable(f'status {status}')
    try:
        decoded = outsidedata.decode_json(text) if text else {}
    except outsidedata.Malformed as fault:
        raise StoreUnavailable(f'malformed answer: {fault}') from fault
    return decoded if isinstance(decoded, dict) else {}


@contextlib.contextmanager
def _decoding() -> Iterator[None]:
    """Raise ``StoreUnavailable`` if a field is missing or malformed."""
    try:
        yield
    except (KeyError, outsidedata.Malformed) as fault:
        raise StoreUnavailable(f'malformed answer: {fault!r}') from fault


def _page(answer: _Answer, field: str) -> Page:
    """Return the items of an answer; raises ``Malformed``."""
    page = page_of(
        outsidedata.listed(answer.body[field]),
        outsidedata.whole(answer.body['store_revision']),
        _item,
    )
    return page._replace(era=answer.era)


def page_of(
    entries: Sequence[Any], revision: int, read_item: Callable[[Any], Item]
) -> Page:
    """Return the items that ``read_item`` can read, and what it cannot.

    It raises ``Malformed`` or ``KeyError`` for an entry that is left out.
    """
    items: list[Item] = []
    unreadable: list[UnreadableItem] = []
    for entry in entries:
        try:
            items.append(read_item(entry))
        except (KeyError, outsidedata.Malformed) as fault:
            unreadable.append(
                UnreadableItem(
                    _readable_key(entry),
                    f'{fault} in {outsidedata.shown(entry)}',
                )
            )
    return Page(tuple(items), revision, tuple(unreadable))


def _readable_key(entry: Any) -> str:
    """Return the key of an object or list, empty if it has none."""
    try:
        key = entry['key'] if isinstance(entry, dict) else entry[0]
        return outsidedata.text(key)
    except (LookupError, TypeError, outsidedata.Malformed):
        return ''


def read_value(encoded: Any) -> bytes:
    """Return the bytes of standard base64 text; raises ``Malformed``."""
    if not isinstance(encoded, str):
        raise outsidedata.Malformed(f'value {outsidedata.shown(encoded)}')
    try:
        return base64.b64decode(encoded)
    except ValueError as fault:
        raise outsidedata.Malformed(f'value: {fault}') from fault


def _item(entry: Any) -> Item:
    fields = outsidedata.mapping(entry)
    key = outsidedata.text(fields['key'])
    revision = outsidedata.whole(fields['rev'])
    if fields.get('tombstone'):
        return Item(key, revision, None)
    return Item(key, revision, read_value(fields['value']))
