"""
Running tries
~~~~~~~~~~~~~

The tries of one request that run at the same time. A target that falls silent
may go on, so its try runs beside the next one until one of them has brought
something for the caller; that one goes on alone.
"""

import asyncio
from collections.abc import Coroutine, Iterator
from types import TracebackType
from typing import Any, Generic, Self, TypeAlias, TypeVar

from aiohttp import web

TryTask: TypeAlias = asyncio.Task[web.StreamResponse]
Entry = TypeVar('Entry')


class RunningTries(Generic[Entry]):
    """Tasks that serve the same request, by the try that each one makes."""

    def __init__(self) -> None:
        """Start with none."""
        self._tasks_by_try: dict[Entry, TryTask] = {}
        self._ended: asyncio.Queue[TryTask] = asyncio.Queue()

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the tries that run."""
        return iter(tuple(self._tasks_by_try))

    def __len__(self) -> int:
        """Return how many tries run."""
        return len(self._tasks_by_try)

    async def __aenter__(self) -> Self:
        """Enter a context at whose end all tries end."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the tries that still run and wait for them."""
        tasks = tuple(self._tasks_by_try.values())
        self._tasks_by_try.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(
        self, started: Entry, serving: Coroutine[Any, Any, web.StreamResponse]
    ) -> None:
        """Run a try."""
        task = asyncio.ensure_future(serving)
        self._tasks_by_try[started] = task
        task.add_done_callback(self._handle_end)

    def cancel_others(self, winner: Entry) -> list[Entry]:
        """Cancel all tries but one; return them."""
        others = [entry for entry in self if entry is not winner]
        for entry in others:
            self._tasks_by_try.pop(entry).cancel()
        return others

    async def wait_for_end(self) -> tuple[Entry, TryTask]:
        """Return the next try that has ended and was not cancelled."""
        while True:
            ended = await self._ended.get()
            for entry, task in tuple(self._tasks_by_try.items()):
                if task is ended:
                    self._tasks_by_try.pop(entry)
                    return entry, ended

    def _handle_end(self, task: TryTask) -> None:
        if not task.cancelled():
            # Marks the error of a try that nothing waits for as handled.
            task.exception()
        self._ended.put_nowait(task)
