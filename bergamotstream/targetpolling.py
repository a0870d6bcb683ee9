"""
Target polling
~~~~~~~~~~~~~~

Polls the load report and the cache events of each watched target in a task of
its own. A failed poll emits no event; the owner of the target sees it by the
age of the last report.
"""

import asyncio

import aiohttp

from bergamotstream import engines, events, records, settings

READ_FAULTS = (aiohttp.ClientError, OSError, ValueError, KeyError)


class TargetPoller:
    """Polls the targets that this host watches."""

    def __init__(self, config: settings.Settings, emit: engines.Emit) -> None:
        """Poll every ``load_poll_ms`` and report to ``emit``."""
        self._interval_s = config.timing.load_poll_ms / engines.MS_PER_S
        self._emit = emit
        self._tasks_by_target: dict[str, asyncio.Task[None]] = {}

    def watch(
        self, target: records.TargetInfo, client: engines.EngineClient
    ) -> None:
        """Poll a target until it is unwatched."""
        self.unwatch(target.name)
        self._tasks_by_target[target.name] = asyncio.create_task(
            self._poll(target, client)
        )

    def unwatch(self, name: str) -> None:
        """Stop polling a target."""
        task = self._tasks_by_target.pop(name, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Stop polling all targets."""
        for name in tuple(self._tasks_by_target):
            self.unwatch(name)

    async def _poll(
        self, target: records.TargetInfo, client: engines.EngineClient
    ) -> None:
        sequence = 0
        while True:
            try:
                sequence = await self._read(target, client, sequence)
            except READ_FAULTS:
                # Sequence numbers start again when the target restarts.
                sequence = 0
            await asyncio.sleep(self._interval_s)

    async def _read(
        self,
        target: records.TargetInfo,
        client: engines.EngineClient,
        sequence: int,
    ) -> int:
        report = await client.read_load(target)
        self._emit(events.LoadReported(report))
        for change in await client.read_cache_events(target, sequence):
            self._emit(change)
            sequence = change.sequence
        return sequence
