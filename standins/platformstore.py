"""
Platform store
~~~~~~~~~~~~~~

Speaks the published calls of the platform's metadata store over the store of
the other stand-ins. ``fault`` names how it misbehaves. It may also return from
a copy of an earlier state, after which the operators and the targets write
what they had written again.
"""

import asyncio
import base64
import contextlib
import copy
from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal

from aiohttp import web

from bergamotstream import clock, records
from standins import kvstore, serving

Fault = Literal['', 'busy', 'reset', 'silent', 'lost', 'away']

MS_PER_S: Final = 1_000
EXPIRY_S: Final = 0.05
PAGE_ITEMS: Final = 500
BUSY: Final = 503
HISTORY_GONE: Final = 410
ERA: Final = 'Store-Era'

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformStore:
    """The store on one address."""

    def __init__(self, address: serving.Address) -> None:
        """Start empty at ``address``."""
        self.kv = kvstore.KvStore()
        self.fault: Fault = ''
        self.history_gone = False
        self.calls = 0
        # 0: no answer names one.
        self.era = 1
        self._outside_documents: dict[str, bytes] = {}
        self._open: set[asyncio.Transport] = set()
        self._clock = clock.Clock()
        self._changed = asyncio.Condition()
        app = web.Application(middlewares=[self._count_and_fail])
        app.add_routes(
            [
                web.get('/kv-range', self._range),
                web.get('/kv-watch', self._watch),
                web.post('/kv-txn', self._change),
                web.post('/kv-lease', self._open_lease),
                web.post('/kv-keep/{lease}', self._keep),
                web.delete('/kv-lease-end/{lease}', self._end),
            ]
        )
        self._listener = serving.Listener(app, address)
        self._expiring: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and let leases end."""
        await self._listener.start()
        self._expiring = asyncio.ensure_future(self._expire())

    async def stop(self) -> None:
        """Stop listening."""
        if self._expiring is not None:
            self._expiring.cancel()
        await self._listener.close()

    async def put(self, key: str, document: bytes) -> None:
        """Write a key as the operators or a target do."""
        self._outside_documents[key] = document
        self.kv.put(key, document)
        await self._wake()

    async def delete(self, *keys: str) -> None:
        """Delete keys."""
        for key in keys:
            self._outside_documents.pop(key, None)
        self.kv.delete(list(keys))
        await self._wake()

    def take_copy(self) -> kvstore.KvStore:
        """Return a copy of the present state."""
        return copy.deepcopy(self.kv)

    def go_away(self) -> None:
        """Answer nobody, and abort all connections."""
        self.fault = 'away'
        for transport in tuple(self._open):
            transport.abort()

    async def come_back(self, copied: kvstore.KvStore) -> None:
        """Serve from a copy, in which nothing is written again yet."""
        self.kv = copied
        self.era += 1
        self.fault = ''
        await self._wake()

    async def write_again(self) -> None:
        """Write what the operators and the targets had written since."""
        gone = [
            key
            for key in self.kv.items_by_key
            if key.startswith(('op/', 'servers/'))
            and key not in self._outside_documents
        ]
        self.kv.delete(gone)
        for key, document in self._outside_documents.items():
            known = self.kv.get(key)
            if known is None or known.value != document:
                self.kv.put(key, document)
        await self._wake()

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_S)
            self.kv.expire_leases(self._clock.now_ms())
            await self._wake()

    @web.middleware
    async def _count_and_fail(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self.calls += 1
        if self.fault == 'busy':
            return web.Response(status=BUSY)
        if self.fault == 'silent':
            await asyncio.Event().wait()
        if self.fault == 'lost':
            await handler(request)
        if self.fault and request.transport is not None:
            request.transport.abort()
        response = await self._handle(request, handler)
        if self.era:
            response.headers[ERA] = str(self.era)
        return response

    async def _handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Handle a call, which ends early if the store goes away."""
        with contextlib.ExitStack() as stack:
            if request.transport is not None:
                self._open.add(request.transport)
                stack.callback(self._open.discard, request.transport)
            return await handler(request)

    async def _range(self, request: web.Request) -> web.Response:
        after = request.query.get('after', '')
        found = [
            item
            for key, item in sorted(self.kv.items_by_key.items())
            if key.startswith(request.query['prefix']) and key > after
        ]
        return web.json_response(
            {
                'items': [_item(item) for item in found[:PAGE_ITEMS]],
                'has_more': len(found) > PAGE_ITEMS,
                'store_revision': self.kv.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if self.history_gone:
            return web.Response(status=HISTORY_GONE)
        after = int(request.query['after'])
        if after > self.kv.revision:
            return web.Response(status=HISTORY_GONE)
        wait_s = int(request.query['wait_ms']) / MS_PER_S
        prefix = request.query['prefix']
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._events(prefix, after)
                )
        except TimeoutError:
            return self._events_answer([])
        return self._events_answer(self._events(prefix, after))

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            _event(change)
            for change in self.kv.history
            if change.item.revision > after
            and change.item.key.startswith(prefix)
        ]

    def _events_answer(self, found: list[dict[str, Any]]) -> web.Response:
        return web.json_response(
            {
                'events': found,
                'store_revision': self.kv.revision,
            }
        )

    async def _change(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        for row in body['expected']:
            if self.kv.revision_of(row['key']) != row['rev']:
                return web.json_response({'items': []}, status=412)
        for entry in body['writes']:
            self.kv.put(
                entry['key'],
                base64.b64decode(entry['value']),
                int(entry.get('lease', 0)),
            )
        self.kv.delete(list(body['deletes']))
        await self._wake()
        return web.json_response({'rev': self.kv.revision})

    async def _open_lease(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        ttl_s = max(int(body['ttl_ms']) // MS_PER_S, 1)
        lease = self.kv.grant_lease(ttl_s, self._clock.now_ms())
        return web.json_response({'lease': lease, 'ttl_ms': ttl_s * MS_PER_S})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        ttl_s = self.kv.keep_lease(lease, self._clock.now_ms())
        if not ttl_s:
            return web.Response(status=404)
        return web.json_response({'ttl_ms': ttl_s * MS_PER_S})

    async def _end(self, request: web.Request) -> web.Response:
        self.kv.revoke_lease(int(request.match_info['lease']))
        await self._wake()
        return web.Response()


def _item(item: records.KvItem) -> dict[str, Any]:
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'rev': item.revision,
    }


def _event(change: kvstore.Change) -> dict[str, Any]:
    if change.deleted:
        return {
            'key': change.item.key,
            'rev': change.item.revision,
            'tombstone': True,
        }
    return _item(change.item)
