"""
Host list
~~~~~~~~~

The platform's list of live and leaving hosts and targets, shown with a lag.
"""

import asyncio
import collections
from typing import Any

import defopt
from aiohttp import web

from bergamotstream import clock
from standins import serving

LISTS = ('hosts', 'targets')


class HostListApp:
    """Keeps the list; readers see it ``lag_ms`` late."""

    def __init__(self, lag_ms: int, time: clock.Clock | None = None) -> None:
        """Start with an empty list."""
        self._lag_ms = lag_ms
        self._time = time or clock.Clock()
        self._current: dict[str, dict[str, Any]] = {kind: {} for kind in LISTS}
        self._versions: collections.deque[tuple[int, dict[str, Any]]] = (
            collections.deque([(self._time.now_ms() - lag_ms, self.snapshot())])
        )

    def application(self) -> web.Application:
        """Return the routes."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/hosts', self._read),
                web.post('/hosts', self._change),
            ]
        )
        return app

    def snapshot(self) -> dict[str, list[Any]]:
        """Return the list as it is now."""
        return {
            kind: list(entries.values())
            for kind, entries in self._current.items()
        }

    def change(self, body: dict[str, Any]) -> None:
        """Add or replace entries by name; ``remove`` names go away."""
        for kind in LISTS:
            entries = self._current[kind]
            for entry in body.get(kind, ()):
                entries[entry['name']] = entry
            for name in body.get('remove', ()):
                entries.pop(name, None)
        self._versions.append((self._time.now_ms(), self.snapshot()))

    def visible(self) -> dict[str, Any]:
        """Return the newest list that is at least the lag old."""
        limit_ms = self._time.now_ms() - self._lag_ms
        while len(self._versions) > 1 and self._versions[1][0] <= limit_ms:
            self._versions.popleft()
        return self._versions[0][1]

    async def _read(self, request: web.Request) -> web.Response:
        return web.json_response(self.visible())

    async def _change(self, request: web.Request) -> web.Response:
        self.change(await serving.read_json(request))
        return web.json_response(self.snapshot())


def main(*, address: str, lag_ms: int = 500) -> None:
    """Run the host list stand-in.

    :param address: IP:PORT to listen at
    :param lag_ms: time in ms after which a change is visible
    """
    app = HostListApp(lag_ms).application()
    asyncio.run(serving.serve_forever(app, address))


if __name__ == '__main__':
    defopt.run(main)
