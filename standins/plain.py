"""
Plain service
~~~~~~~~~~~~~

Plain service with one repeatable call (``/v1/lookup``) and one that must not
be repeated (``/v1/transfer``). It counts executions by key.
"""

import asyncio
import collections

import defopt
from aiohttp import web

from standins import answers, serving

MS_PER_S = 1_000
MAX_BODY_BYTES = 16_000_000


class PlainApp:
    """Routes of one plain service instance."""

    def __init__(self, name: str, call_ms: int = 20, slots: int = 64) -> None:
        """Take ``call_ms`` for each call, at most ``slots`` at once."""
        self._name = name
        self._call_ms = call_ms
        self._slots = slots
        self._running: set[str] = set()
        self._silent = False
        self.executions_by_key: collections.Counter[str] = collections.Counter()

    def application(self) -> web.Application:
        """Return the routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post('/v1/lookup', self._call),
                web.post('/v1/transfer', self._call),
                web.post('/faults', self._faults),
                web.get('/v1/load', self._load),
                web.get('/stats', self._stats),
            ]
        )
        return app

    async def _call(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        if len(self._running) >= self._slots:
            return web.json_response(
                {'code': 'busy', 'not_run': True}, status=503
            )
        attempt_id = str(body.get('attempt_id', ''))
        key = str(body.get('key', '')) or attempt_id
        self.executions_by_key[key] += 1
        self._running.add(attempt_id)
        await self._work()
        self._running.discard(attempt_id)
        text = answers.plain_answer(str(body.get('payload', '')))
        return web.json_response({'text': text})

    async def _work(self) -> None:
        await asyncio.sleep(self._call_ms / MS_PER_S)
        while self._silent:
            await asyncio.sleep(self._call_ms / MS_PER_S)

    async def _faults(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        self._silent = body.get('kind') == 'silent'
        return web.json_response({'silent': self._silent})

    async def _load(self, request: web.Request) -> web.Response:
        report = {
            'target': self._name,
            'start_id': f'{self._name}/1',
            'running': sorted(self._running),
            'memory_tokens_used': 0,
            'age_ms': 0,
        }
        return web.json_response(report)

    async def _stats(self, request: web.Request) -> web.Response:
        return web.json_response({'executions': dict(self.executions_by_key)})


def main(*, address: str, name: str, call_ms: int = 20) -> None:
    """Run a plain service stand-in.

    :param address: IP:PORT to listen at
    :param name: name of the target
    :param call_ms: duration of a call in ms
    """
    app = PlainApp(name, call_ms).application()
    asyncio.run(serving.serve_forever(app, address))


if __name__ == '__main__':
    defopt.run(main)
