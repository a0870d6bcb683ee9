"""
Host list reader
~~~~~~~~~~~~~~~~

Reads the platform's list of hosts and targets at a fixed interval. After a
failed read the core continues with the list read before.
"""

import asyncio
from typing import NamedTuple

import aiohttp
import pydantic

from bergamotstream import engines, events, logs, records, settings

READ_TIMEOUT = aiohttp.ClientTimeout(total=2)


class HostList(NamedTuple):
    """Response of the platform's host list."""

    hosts: tuple[records.HostInfo, ...]
    targets: tuple[records.TargetInfo, ...]


_host_list_adapter = pydantic.TypeAdapter(HostList)


async def read_repeatedly(
    config: settings.Settings,
    session: aiohttp.ClientSession,
    emit: engines.Emit,
) -> None:
    """Read the list every ``host_list_ms`` until cancelled."""
    while True:
        try:
            host_list = await _read(session, config.platform.host_list)
        except (aiohttp.ClientError, OSError, ValueError) as fault:
            logs.write('host_list_unreadable', {'fault': fault})
        else:
            emit(events.HostListRead(host_list.hosts, host_list.targets))
        await asyncio.sleep(config.timing.host_list_ms / engines.MS_PER_S)


async def _read(session: aiohttp.ClientSession, url: str) -> HostList:
    async with session.get(f'{url}/hosts', timeout=READ_TIMEOUT) as response:
        response.raise_for_status()
        return _host_list_adapter.validate_json(await response.read())
