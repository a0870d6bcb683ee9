"""
Platform store
~~~~~~~~~~~~~~

Speaks the published calls of the platform's metadata store over the store of
the other stand-ins. ``fault`` names how it misbehaves.
"""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any, Final, Literal

from aiohttp import web

from bergamotstream import clock, records
from standins import kvstore, serving

Fault = Literal['', 'busy', 'reset', 'silent', 'lost']

MS_PER_S: Final = 1_000
EXPIRY_S: Final = 0.05
PAGE_ITEMS: Final = 500
BUSY: Final = 503

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformStore:
    """The store on one address."""

    def __init__(self, address: serving.Address) -> None:
        """Start empty at ``address``."""
        self.kv = kvstore.KvStore()
        self.fault: Fault = ''
        self.history_gone = False
        self.calls = 0
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
        self.kv.put(key, document)
        await self._wake()

    async def delete(self, *keys: str) -> None:
        """Delete keys."""
        self.kv.delete(list(keys))
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
            return web.Response(status=410)
        after = int(request.query['after'])
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
