"""
Store
~~~~~

Client of the platform's metadata store. Each call has a timeout, after which
it is unknown whether a change was made.
"""

import base64
import contextlib
import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

import aiohttp
import yarl

from bergamotstream.forwarding import hostsettings

# The store answers in 4 ms; a call that takes this long is lost.
CALL_TIMEOUT_S: Final = 1.0
# The kernel retransmits a lost SYN only after a second, while a network path
# that was interrupted may have recovered by then.
CONNECT_TIMEOUT_S: Final = 0.3
# How much longer than its wait a watch may take to answer.
WATCH_MARGIN_S: Final = 0.7
MS_PER_S: Final = 1_000
OK: Final = 200
NOT_FOUND: Final = 404
HISTORY_GONE: Final = 410


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


class Page(NamedTuple):
    """Items and the revision of the store at which they were read."""

    items: tuple[Item, ...]
    # ``store_revision`` on the wire: of the whole store, not of an item.
    revision: int


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

    async def read_all(self, prefix: str) -> Page:
        """Read all items below ``prefix``, page by page.

        The pages are not a snapshot, so the revision of the first one is
        returned: a watch from there repeats changes but misses none.
        """
        items: list[Item] = []
        after, revision = '', 0
        while True:
            query = (
                {'prefix': prefix, 'after': after}
                if after
                else {'prefix': prefix}
            )
            _, body = await self._call('GET', '/kv-range', query=query)
            with _decoding():
                items.extend(_item(entry) for entry in body['items'])
                revision = revision or int(body['store_revision'])
            if not body.get('has_more') or not body['items']:
                return Page(tuple(items), revision)
            after = items[-1].key

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> Page:
        """Wait for changes after ``revision``; raises ``HistoryGone``."""
        status, body = await self._call(
            'GET',
            '/kv-watch',
            query={'prefix': prefix, 'after': revision, 'wait_ms': wait_ms},
            timeout_s=wait_ms / MS_PER_S + WATCH_MARGIN_S,
            expected=(OK, HISTORY_GONE),
        )
        if status == HISTORY_GONE:
            raise HistoryGone
        with _decoding():
            events = tuple(_item(entry) for entry in body['events'])
            return Page(events, int(body['store_revision']))

    async def open_lease(self, ttl_ms: int) -> int:
        """Return the id of a new lease of ``ttl_ms`` milliseconds."""
        _, body = await self._call('POST', '/kv-lease', {'ttl_ms': ttl_ms})
        with _decoding():
            return int(body['lease'])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseGone``."""
        status, _ = await self._call(
            'POST', f'/kv-keep/{lease}', expected=(OK, NOT_FOUND)
        )
        if status == NOT_FOUND:
            raise LeaseGone

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys; an expired one is no error."""
        await self._call(
            'DELETE', f'/kv-lease-end/{lease}', expected=(OK, NOT_FOUND)
        )

    async def put_all(
        self, documents_by_key: Mapping[str, bytes], lease: int
    ) -> None:
        """Write keys unconditionally under a lease; raises ``LeaseGone``."""
        writes = [
            {
                'key': key,
                'value': base64.b64encode(document).decode(),
                'lease': lease,
            }
            for key, document in documents_by_key.items()
        ]
        status, _ = await self._call(
            'POST',
            '/kv-txn',
            {'expected': [], 'writes': writes, 'deletes': []},
            expected=(OK, NOT_FOUND),
        )
        if status == NOT_FOUND:
            raise LeaseGone

    async def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
        *,
        query: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        expected: Sequence[int] = (OK,),
    ) -> tuple[int, Mapping[str, Any]]:
        """Make a call; raises ``StoreUnavailable`` for other answers."""
        url = yarl.URL(self._origin + path).with_query(query)
        limit = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method, url, json=body, timeout=limit
            ) as response:
                return await _read_answer(response, expected)
        except (aiohttp.ClientError, TimeoutError, OSError) as fault:
            raise StoreUnavailable(repr(fault)) from fault


async def _read_answer(
    response: aiohttp.ClientResponse, expected: Sequence[int]
) -> tuple[int, Mapping[str, Any]]:
    text = await response.read()
    if response.status not in expected:
        raise StoreUnavailable(f'status {response.status}')
    try:
        decoded = json.loads(text) if text else {}
    except ValueError as fault:
        raise StoreUnavailable('answer is not JSON') from fault
    return response.status, decoded if isinstance(decoded, dict) else {}


@contextlib.contextmanager
def _decoding() -> Iterator[None]:
    """Raise ``StoreUnavailable`` if a field is missing or malformed."""
    try:
        yield
    except (KeyError, TypeError, ValueError) as fault:
        raise StoreUnavailable(f'malformed answer: {fault!r}') from fault


def _item(entry: Mapping[str, Any]) -> Item:
    if entry.get('tombstone'):
        return Item(str(entry['key']), int(entry['rev']), None)
    return Item(
        str(entry['key']),
        int(entry['rev']),
        base64.b64decode(entry['value']),
    )
