"""
Model engine
~~~~~~~~~~~~

HTTP model engine in real time: streams with resume, cancellation, held
segments of a group, lagging reports, orders and injected faults.
"""

import asyncio
from typing import Any

import defopt
from aiohttp import client, web

from bergamotstream import clock
from standins import enginemodel, enginestreams, liveengine, orderbook, serving

DEFAULTS = enginemodel.EngineSettings()
MAX_BODY_BYTES = 16_000_000
HTTP_OK = 200


class EngineApp:
    """Routes of one engine."""

    def __init__(
        self,
        name: str,
        address: str,
        settings: enginemodel.EngineSettings = DEFAULTS,
        *,
        checks_fencing: bool = True,
        restart_ms: int = 300,
        weight_store: str = '',
    ) -> None:
        """Serve at ``address``; a crash takes ``restart_ms`` to recover."""
        time = clock.Clock()
        model = enginemodel.EngineModel(settings, name, time.now_ms())
        self.live = liveengine.LiveEngine(model, time, self._begin_restart)
        self.orders = orderbook.OrderBook(checks_fencing)
        self.streams = enginestreams.Streams(self.live)
        self._restart_ms = restart_ms
        self._weight_store = weight_store
        self._listener = serving.Listener(
            self._application(), serving.parse_address(address)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and run the engine."""
        await self._listener.start()
        self._tasks.add(asyncio.create_task(self.live.run()))

    async def close(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await self._listener.close()

    def _application(self) -> web.Application:
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post('/v1/generate', self.streams.generate),
                web.post('/v1/hold', self.streams.hold),
                web.post('/v1/cancel', self._cancel),
                web.get('/v1/load', self._load),
                web.get('/v1/events', self._events),
                web.post('/v1/orders', self._orders),
                web.post('/faults', self._faults),
            ]
        )
        return app

    def _begin_restart(self) -> None:
        task = asyncio.create_task(self._listener.restart(self._restart_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        found = self.live.cancel(str(body.get('attempt_id', '')))
        return web.json_response({'cancelled': found})

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response(self.live.report()._asdict())

    async def _events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        changes = self.live.changes_after(after)
        return web.json_response(
            {'events': [change._asdict() for change in changes]}
        )

    async def _orders(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        fence = int(body.get('fence', 0))
        order = body.get('order', {})
        status = self.orders.check(fence, order)
        if status == 'done' and order['kind'] in orderbook.LOADING_KINDS:
            status = await self._load_weights(order)
        if status != 'done':
            return web.json_response(self.orders.answer(status)._asdict())
        # A newer holder may have sent an order while the weights were loaded.
        answer = self.orders.apply(fence, order)
        return web.json_response(answer._asdict())

    async def _load_weights(self, order: dict[str, Any]) -> str:
        if not self._weight_store:
            return 'done'
        url = f'{self._weight_store}/weights/{order["kind"]}'
        async with client.ClientSession() as session:
            async with session.get(url) as response:
                if response.status != HTTP_OK:
                    return 'weights_unavailable'
                await response.read()
        return 'done'

    async def _faults(self, request: web.Request) -> web.Response:
        body = await serving.read_json(request)
        kind = body.get('kind', '')
        injections = {
            'crash': self.live.crash,
            'cold': self.live.model.turn_cold,
            'warm': self.live.model.warm_up,
            'silent': self.streams.mute_open,
            'leaving': self._leave,
        }
        if kind not in injections:
            raise web.HTTPBadRequest(text=f'unknown fault {kind!r}')
        # The caller gets its answer before a crash breaks its connection.
        asyncio.get_running_loop().call_later(0.01, injections[kind])
        return web.json_response({'kind': kind})

    def _leave(self) -> None:
        self.live.model.leaving = True


async def _serve(app: EngineApp) -> None:
    await app.start()
    await asyncio.Event().wait()


def main(  # noqa: WPS211 each argument is a command-line option
    *,
    address: str,
    name: str,
    memory_tokens: int = DEFAULTS.memory_tokens,
    slots: int = DEFAULTS.slots,
    prefill_tokens_per_s: int = DEFAULTS.prefill_tokens_per_s,
    step_ms: float = DEFAULTS.step_ms,
    chunk_tokens: int = DEFAULTS.chunk_tokens,
    cold_factor: float = DEFAULTS.cold_factor,
    warm_after: int = DEFAULTS.warm_after,
    report_lag_ms: int = DEFAULTS.report_lag_ms,
    ignore_fencing: bool = False,
    restart_ms: int = 300,
    weight_store: str = '',
) -> None:
    """Run a model engine stand-in.

    :param address: IP:PORT to listen at
    :param name: name of the target
    :param memory_tokens: KV-cache memory in tokens
    :param slots: most concurrent attempts
    :param prefill_tokens_per_s: prefill speed
    :param step_ms: duration of a decode step
    :param chunk_tokens: prefill tokens in one step
    :param cold_factor: slowdown while cold
    :param warm_after: finished requests after which it is warm
    :param report_lag_ms: lag of load reports and cache events
    :param ignore_fencing: obey orders whatever their fencing number
    :param weight_store: URL from which orders load weights
    :param restart_ms: time during which a crashed engine refuses connections
    """
    settings = DEFAULTS._replace(
        memory_tokens=memory_tokens,
        slots=slots,
        prefill_tokens_per_s=prefill_tokens_per_s,
        step_ms=step_ms,
        chunk_tokens=chunk_tokens,
        cold_factor=cold_factor,
        warm_after=warm_after,
        report_lag_ms=report_lag_ms,
    )
    checks = not ignore_fencing
    app = EngineApp(
        name,
        address,
        settings,
        checks_fencing=checks,
        restart_ms=restart_ms,
        weight_store=weight_store,
    )
    asyncio.run(_serve(app))


if __name__ == '__main__':
    defopt.run(main)
