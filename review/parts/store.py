"""The platform's store, as PROTOCOL.md and the news pages describe it."""

import asyncio
import base64
import copy
import itertools
import time

from aiohttp import web

PAGE_ITEMS = 500
READS_PER_S = 2_000
WRITES_PER_S = 400


class State:
    """What a copy of the store holds."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}


class Store:
    """A store on one loopback address."""

    def __init__(self, record):
        self.state = State()
        self.era = 1
        self.away = False
        self.calls = 0
        self.address = ''
        self._record = record
        # What the operator and the workers have written, as it stands now.
        self._outside = {}
        self._changed = asyncio.Condition()
        self._lease_ids = itertools.count(7_001)
        self._open = set()
        # Calls of the system in this second, by whether they write.
        self._second = 0
        self._counts = {True: 0, False: 0}
        self.calls_refused = 0
        self._runner = None
        self._task = None

    async def start(self):
        app = web.Application(middlewares=[self._guard], client_max_size=1 << 24)
        app.add_routes(
            [
                web.get('/kv-key', self._key),
                web.get('/kv-range', self._range),
                web.get('/kv-watch', self._watch),
                web.post('/kv-txn', self._txn),
                web.post('/kv-lease', self._lease),
                web.post('/kv-keep/{lease}', self._keep),
                web.delete('/kv-lease-end/{lease}', self._end),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._task = asyncio.ensure_future(self._expire())

    async def stop(self):
        self._task.cancel()
        await self._runner.cleanup()

    # The operator and the workers.

    async def write(self, key, document):
        """Write a key as the operator or a worker; return its revision."""
        self._outside[key] = document
        return await self._apply({key: (document, 0)}, ())

    async def remove(self, key):
        """Delete a key as the operator or a worker."""
        self._outside.pop(key, None)
        return await self._apply({}, (key,))

    # The drill.

    def take_copy(self):
        """Return a copy of all that the store holds now."""
        return copy.deepcopy(self.state)

    def go_away(self):
        """Cut all channels and serve nobody."""
        self.away = True
        for transport in tuple(self._open):
            transport.abort()

    async def come_back(self, state):
        """Serve from a copy; the operator and workers write theirs again."""
        self.state = state
        self.era += 1
        self.away = False
        for key in [key for key in state.items if key.startswith(('op/', 'servers/'))]:
            if key not in self._outside:
                await self._apply({}, (key,))
        for key, document in self._outside.items():
            known = self.state.items.get(key)
            if known is None or known['document'] != document:
                await self._apply({key: (document, 0)}, ())

    # Calls.

    @web.middleware
    async def _guard(self, request, handler):
        self.calls += 1
        transport = request.transport
        if self.away:
            transport.abort()
            return web.Response(status=503)
        if self._is_too_many(request):
            self.calls_refused += 1
            response = web.Response(status=429)
            response.headers['Store-Era'] = str(self.era)
            return response
        self._open.add(transport)
        try:
            response = await handler(request)
        finally:
            self._open.discard(transport)
        response.headers['Store-Era'] = str(self.era)
        return response

    def _is_too_many(self, request):
        """Tell whether a call is beyond what the nodes may make in a second."""
        if int(time.monotonic()) != self._second:
            self._second = int(time.monotonic())
            self._counts = {True: 0, False: 0}
        # A renewal counts as a read.
        is_write = request.method != 'GET' and 'kv-keep' not in request.path
        self._counts[is_write] += 1
        return self._counts[is_write] > (WRITES_PER_S if is_write else READS_PER_S)

    async def _key(self, request):
        item = self.state.items.get(request.query['key'])
        if item is None:
            return web.json_response({'store_revision': self.state.revision}, status=404)
        return web.json_response(
            _shown(item) | {'store_revision': self.state.revision}
        )

    async def _range(self, request):
        prefix, after = request.query['prefix'], request.query.get('after', '')
        found = [
            item
            for key, item in sorted(self.state.items.items())
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'items': [_shown(item) for item in found[:PAGE_ITEMS]],
                'has_more': len(found) > PAGE_ITEMS,
                'store_revision': self.state.revision,
            }
        )

    async def _watch(self, request):
        prefix, after = request.query['prefix'], int(request.query['after'])
        state = self.state
        if after > state.revision:
            # A revision that the store does not have.
            return web.Response(status=410)

        def found():
            return [
                event
                for event in state.history
                if event['rev'] > after and event['key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(request.query['wait_ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(found)
        except TimeoutError:
            pass
        return web.json_response(
            {'events': [_shown(event) for event in found()],
             'store_revision': state.revision}
        )

    async def _txn(self, request):
        body = await request.json()
        for row in body['expected']:
            known = self.state.items.get(row['key'])
            if (known['rev'] if known else 0) != row['rev']:
                rows = [self.state.items.get(entry['key']) for entry in body['expected']]
                return web.json_response(
                    {'items': [_shown(row) for row in rows if row]}, status=412
                )
        writes = {}
        for entry in body['writes']:
            lease = int(entry.get('lease') or 0)
            if lease and lease not in self.state.leases:
                return web.Response(status=404)
            if entry['key'].startswith(('op/', 'servers/')):
                return web.Response(status=403)
            writes[entry['key']] = (base64.b64decode(entry['value']), lease)
        revision = await self._apply(writes, body['deletes'])
        return web.json_response({'rev': revision})

    async def _lease(self, request):
        ttl_ms = (await request.json())['ttl_ms']
        lease = next(self._lease_ids)
        self.state.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _keep(self, request):
        lease = int(request.match_info['lease'])
        known = self.state.leases.get(lease)
        if known is None:
            return web.Response(status=404)
        self.state.leases[lease] = (known[0], time.monotonic() + known[0] / 1000)
        return web.json_response({'ttl_ms': known[0]})

    async def _end(self, request):
        lease = int(request.match_info['lease'])
        if self.state.leases.pop(lease, None) is None:
            return web.Response(status=404)
        await self._drop_keys_of(lease)
        return web.Response()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (_, end_s) in tuple(self.state.leases.items()):
                if end_s < now_s and not self.away:
                    self.state.leases.pop(lease)
                    await self._drop_keys_of(lease)

    async def _drop_keys_of(self, lease):
        keys = [
            key for key, item in self.state.items.items() if item['lease'] == lease
        ]
        if keys:
            await self._apply({}, keys)

    async def _apply(self, writes, deletes):
        state = self.state
        state.revision += 1
        for key, (document, lease) in writes.items():
            known = state.items.get(key)
            item = {
                'key': key,
                'document': document,
                'rev': state.revision,
                'created': known['created'] if known else state.revision,
                'lease': lease,
            }
            state.items[key] = item
            state.history.append(item)
            self._record('store', written=key, rev=state.revision, era=self.era)
        for key in deletes:
            if state.items.pop(key, None) is not None:
                state.history.append(
                    {'key': key, 'rev': state.revision, 'tombstone': True}
                )
                self._record('store', deleted=key, rev=state.revision, era=self.era)
        async with self._changed:
            self._changed.notify_all()
        return state.revision


def _shown(item):
    if item.get('tombstone'):
        return dict(item)
    return {
        'key': item['key'],
        'value': base64.b64encode(item['document']).decode(),
        'rev': item['rev'],
        'created': item['created'],
        'lease': item['lease'],
    }
