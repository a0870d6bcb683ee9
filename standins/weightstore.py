"""
Weight store
~~~~~~~~~~~~

Stand-in for the platform's rate-limited weight store: ``GET /weights/<name>``
streams bytes at a common rate and rejects more than a few loads at a time with
status 429 and ``Retry-After``. ``GET /stats`` counts loads and rejections.

Run it with ``python -m standins.weightstore --address 127.0.0.1:9000``.
"""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

import defopt
from aiohttp import web

BLOCK_BYTES = 65_536
DEFAULT_SIZE_BYTES = 1_000_000
DEFAULT_RATE_BYTES_PER_S = 10_000_000
RETRY_AFTER_S = '1'


class WeightStore:
    """Serves weights of any name, all of the same size."""

    def __init__(
        self, size_bytes: int, rate_bytes_per_s: int, loads_at_a_time: int
    ) -> None:
        """The rate is shared by all loads."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._size_bytes = size_bytes
        self._rate_bytes_per_s = rate_bytes_per_s
        self._loads_at_a_time = loads_at_a_time
        self._running = 0

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application()
        app.router.add_get('/weights/{name}', self._weights)
        app.router.add_get('/stats', self._stats)
        return app

    async def _weights(self, request: web.Request) -> web.StreamResponse:
        if self._running >= self._loads_at_a_time:
            self.counts['rejected'] += 1
            return web.Response(
                status=429, headers={'Retry-After': RETRY_AFTER_S}
            )
        with self._counted():
            return await self._stream(request)

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        self._running += 1
        self.counts['loads'] += 1
        try:
            yield
        finally:
            self._running -= 1

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = self._size_bytes
        await response.prepare(request)
        left = self._size_bytes
        while left:
            size = min(BLOCK_BYTES, left)
            await self._send_block(response, size)
            left -= size
        return response

    async def _send_block(
        self, response: web.StreamResponse, size: int
    ) -> None:
        await asyncio.sleep(size * self._running / self._rate_bytes_per_s)
        await response.write(bytes(size))

    async def _stats(self, _request: web.Request) -> web.Response:
        names = ('loads', 'rejected')
        return web.json_response({name: self.counts[name] for name in names})


def serve(
    *,
    address: str = '127.0.0.1:9000',
    size_bytes: int = DEFAULT_SIZE_BYTES,
    rate_bytes_per_s: int = DEFAULT_RATE_BYTES_PER_S,
    loads_at_a_time: int = 1,
) -> None:
    """Serve the stand-in until interrupted.

    :param address: IP address and port to listen on.
    :param size_bytes: Size of every weight file.
    :param rate_bytes_per_s: Rate that all loads share.
    :param loads_at_a_time: Further loads are rejected.
    """
    host, _, port = address.rpartition(':')
    store = WeightStore(size_bytes, rate_bytes_per_s, loads_at_a_time)
    web.run_app(store.application(), host=host, port=int(port), print=None)


if __name__ == '__main__':
    defopt.run(serve)
