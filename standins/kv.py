"""
Key-value service
~~~~~~~~~~~~~~~~~

Stand-in for the platform's key-value service: the part of the etcd v3 JSON
gateway that the product uses, with faults on demand.

Run it with ``python -m standins.kv --address 127.0.0.1:2379``.
"""

import asyncio
import base64
import contextlib
import functools
import json
from collections.abc import Awaitable, Callable
from typing import Any

import defopt
from aiohttp import web

from bergamotstream import clock, records
from standins import kvstore

Body = dict[str, Any]
MAX_BODY_BYTES = 2_000_000
LEASE_CHECK_S = 0.1
CLIENT_CHECK_S = 1.0
GRPC_INVALID_ARGUMENT = 3
GRPC_UNAVAILABLE = 14
MS_PER_S = 1_000
FAULT_KINDS = {'down': bool, 'slow_ms': int, 'lose_answers': bool}


class KvService:
    """Serves one store over HTTP."""

    def __init__(self) -> None:
        """Start with an empty store and no faults."""
        self.store = kvstore.KvStore()
        self.clock = clock.Clock()
        self.faults: Body = {'down': False, 'slow_ms': 0, 'lose_answers': False}
        self._changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post('/v3/kv/range', self._call('reads', self._range))
        app.router.add_post('/v3/kv/put', self._call('writes', self._put))
        app.router.add_post('/v3/kv/txn', self._call('writes', self._txn))
        app.router.add_post(
            '/v3/kv/deleterange', self._call('writes', self._delete)
        )
        for verb, handler in (
            ('grant', self._grant),
            ('keepalive', self._keep),
            ('revoke', self._revoke),
        ):
            app.router.add_post(
                f'/v3/lease/{verb}', self._call('writes', handler)
            )
        app.router.add_post('/v3/watch', self._watch)
        app.router.add_post('/faults', self._set_faults)
        app.router.add_get('/stats', self._stats)
        app.cleanup_ctx.append(self._lease_task)
        return app

    def _call(
        self, count: str, handler: Callable[[Body], Body]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        return functools.partial(self._serve, count, handler)

    async def _serve(
        self, count: str, handler: Callable[[Body], Body], request: web.Request
    ) -> web.StreamResponse:
        body = await request.json()
        self.store.counts[count] += 1
        await asyncio.sleep(self.faults['slow_ms'] / MS_PER_S)
        if self.faults['down']:
            return _error(503, GRPC_UNAVAILABLE, 'etcdserver: no leader')
        before = self.store.revision
        try:
            answer = handler(body)
        except kvstore.TooLarge:
            text = 'etcdserver: request is too large'
            return _error(400, GRPC_INVALID_ARGUMENT, text)
        await self._notify(before)
        if self.faults['lose_answers'] and request.transport:
            request.transport.close()
        return web.json_response(answer)

    async def _notify(self, before: int) -> None:
        if self.store.revision != before:
            async with self._changed:
                self._changed.notify_all()

    def _range(self, body: Body) -> Body:
        key = _text(body['key'])
        end = _text(body['range_end']) if body.get('range_end') else f'{key}\0'
        found = self.store.between(key, end)
        kept = found[: int(body.get('limit', 0)) or None]
        return self._answer(
            kvs=[_kv(item) for item in kept], count=str(len(found))
        )

    def _put(self, body: Body) -> Body:
        self.store.put(
            _text(body['key']),
            base64.b64decode(body.get('value', '')),
            int(body.get('lease', 0)),
        )
        return self._answer()

    def _delete(self, body: Body) -> Body:
        key = _text(body['key'])
        end = _text(body['range_end']) if body.get('range_end') else f'{key}\0'
        keys = [item.key for item in self.store.between(key, end)]
        return self._answer(deleted=str(self.store.delete(keys)))

    def _txn(self, body: Body) -> Body:
        succeeded = all(
            self.store.revision_of(_text(compare['key']))
            == int(compare.get('mod_revision', 0))
            for compare in body.get('compare', ())
        )
        branch = 'success' if succeeded else 'failure'
        responses = [self._operation(entry) for entry in body.get(branch, ())]
        # The gateway leaves out fields with their default value.
        flags = {'succeeded': True} if succeeded else {}
        return self._answer(responses=responses, **flags)

    def _operation(self, entry: Body) -> Body:
        handlers_by_name = {
            'put': self._put,
            'range': self._range,
            'delete_range': self._delete,
        }
        field, body = next(iter(entry.items()))
        name = field.removeprefix('request_')
        return {f'response_{name}': handlers_by_name[name](body)}

    def _grant(self, body: Body) -> Body:
        ttl_s = int(body['TTL'])
        lease_id = self.store.grant_lease(ttl_s, self.clock.now_ms())
        return self._answer(ID=str(lease_id), TTL=str(ttl_s))

    def _keep(self, body: Body) -> Body:
        lease_id = int(body['ID'])
        ttl_s = self.store.keep_lease(lease_id, self.clock.now_ms())
        return {'result': self._answer(ID=str(lease_id), TTL=str(ttl_s))}

    def _revoke(self, body: Body) -> Body:
        self.store.revoke_lease(int(body['ID']))
        return self._answer()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        create = (await request.json())['create_request']
        self.store.counts['watches'] += 1
        if self.faults['down']:
            return _error(503, GRPC_UNAVAILABLE, 'etcdserver: no leader')
        key = _text(create['key'])
        start = int(create.get('start_revision', 0)) or self.store.revision + 1
        response = web.StreamResponse()
        await response.prepare(request)
        await self._send(response, created=True)
        if start <= self.store.compacted_revision:
            compacted = str(self.store.compacted_revision + 1)
            await self._send(
                response, canceled=True, compact_revision=compacted
            )
            return response
        while not self.faults['down'] and request.transport is not None:
            start = await self._follow(response, key, start)
        return response

    async def _follow(
        self, response: web.StreamResponse, key: str, start: int
    ) -> int:
        """Send changes from ``start`` on; return where to go on."""
        changes = self.store.changes_since(start, key)
        if not changes:
            await self._wait_for_change()
            return start
        await asyncio.sleep(self.faults['slow_ms'] / MS_PER_S)
        sent = [_event(change) for change in changes]
        # A client that has left is noticed by the caller.
        with contextlib.suppress(ConnectionError):
            await self._send(response, events=sent)
        return changes[-1].item.revision + 1

    async def _wait_for_change(self) -> None:
        """Wait for any change; return early to notice clients that left."""
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLIENT_CHECK_S):
                    await self._changed.wait()

    async def _send(self, response: web.StreamResponse, **fields: Any) -> None:
        line = json.dumps({'result': self._answer(**fields)})
        await response.write(f'{line}\n'.encode())

    def _answer(self, **fields: Any) -> Body:
        return {'header': {'revision': str(self.store.revision)}, **fields}

    async def _set_faults(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        for name, value in wanted.items():
            if name not in FAULT_KINDS:
                return web.json_response({'unknown_fault': name}, status=400)
            self.faults[name] = FAULT_KINDS[name](value)
        async with self._changed:
            self._changed.notify_all()
        return web.json_response(self.faults)

    async def _stats(self, _request: web.Request) -> web.Response:
        names = ('reads', 'writes', 'watches', 'bytes_written')
        return web.json_response(
            {name: self.store.counts[name] for name in names}
        )

    async def _lease_task(self, _app: web.Application) -> Any:
        task = asyncio.create_task(self._expire_leases())
        yield
        task.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            before = self.store.revision
            self.store.expire_leases(self.clock.now_ms())
            await self._notify(before)


def _text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


def _kv(item: records.KvItem) -> Body:
    return {
        'key': base64.b64encode(item.key.encode()).decode(),
        'value': base64.b64encode(item.value).decode(),
        'mod_revision': str(item.revision),
    }


def _event(change: kvstore.Change) -> Body:
    kind = {'type': 'DELETE'} if change.deleted else {}
    return {**kind, 'kv': _kv(change.item)}


def _error(status: int, code: int, text: str) -> web.Response:
    return web.json_response(
        {'error': text, 'message': text, 'code': code}, status=status
    )


def serve(*, address: str = '127.0.0.1:2379') -> None:
    """Serve the stand-in until interrupted.

    :param address: IP address and port to listen on.
    """
    host, _, port = address.rpartition(':')
    web.run_app(
        KvService().application(), host=host, port=int(port), print=None
    )


def main() -> None:
    """Run the command line."""
    defopt.run(serve)


if __name__ == '__main__':
    main()
