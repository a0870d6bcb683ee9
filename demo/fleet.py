"""
Fleet
~~~~~

The hosts, targets and platform services of the demonstration: their
addresses, options and settings files.
"""

import asyncio
import pathlib
from collections.abc import Mapping
from typing import NamedTuple

import aiohttp

from bergamotstream import records
from demo import processes

ZONES = ('rosario', 'santa-fe', 'parana')
MODEL_SERVICE = 'asistente'
PLAIN_SERVICE = 'pagos'
ENGINES_PER_ZONE = 2
# Two engines of a zone hold a prompt of 1,000,000 tokens beside the fifth of
# their memory that is reserved for short requests.
ENGINE_MEMORY_TOKENS = 700_000
PREFILL_TOKENS_PER_S = 200_000
STEP_MS = 5.0
WARM_AFTER = 2
COLD_FACTOR = 2.0
HOST_LIST_LAG_MS = 500
# Callers of the demonstration keep an address for a shorter time, so that its
# hosts stop sooner.
ADDRESS_KEEP_MS = 1_000

SETTINGS_TEXT = """\
host = "{host.name}"
availability_zone = "{host.availability_zone}"
cell = "{host.cell}"
caller_address = "{host.caller_address}"
peer_address = "{host.peer_address}"

[platform]
kv = "http://{kv}"
host_list = "http://{host_list}"
weight_store = "{weight_store}"

[timing]
address_keep_ms = {keep_ms}
"""


Command = tuple[str, Mapping[str, object]]


class Fleet(NamedTuple):
    """Addresses of everything that runs."""

    kv: str
    host_list: str
    weight_store: str
    hosts: tuple[records.HostInfo, ...]
    engines: tuple[records.TargetInfo, ...]
    plains: tuple[records.TargetInfo, ...]


def plan_fleet() -> Fleet:
    """Choose names and free addresses."""
    engine_count = ENGINES_PER_ZONE * len(ZONES)
    # Two addresses for a host, one for a plain target, three services.
    spare = processes.free_addresses(3 * len(ZONES) + engine_count + 3)
    hosts = tuple(
        records.HostInfo(f'host-{zone}', zone, spare.pop(), spare.pop())
        for zone in ZONES
    )
    engines = tuple(
        records.TargetInfo(
            f'engine-{zone}-{number}', MODEL_SERVICE, zone, spare.pop()
        )
        for zone in ZONES
        for number in range(ENGINES_PER_ZONE)
    )
    plains = tuple(
        records.TargetInfo(f'plain-{zone}', PLAIN_SERVICE, zone, spare.pop())
        for zone in ZONES
    )
    return Fleet(spare.pop(), spare.pop(), spare.pop(), hosts, engines, plains)


async def start_platform(
    fleet: Fleet, children: processes.Processes, http: aiohttp.ClientSession
) -> None:
    """Start platform services and targets and fill the host list."""
    commands: dict[str, Command] = {
        'kv': ('standins.kv', {'address': fleet.kv}),
        'hostlist': (
            'standins.hostlist',
            {'address': fleet.host_list, 'lag-ms': HOST_LIST_LAG_MS},
        ),
        'weights': ('standins.weightstore', {'address': fleet.weight_store}),
        **{plain.name: _plain_command(plain) for plain in fleet.plains},
        **{
            engine.name: _engine_command(engine, fleet)
            for engine in fleet.engines
        },
    }
    await asyncio.gather(
        *(
            children.start(name, module, options)
            for name, (module, options) in commands.items()
        )
    )
    await wait_until_listening(http, fleet.kv, '/stats')
    await wait_until_listening(http, fleet.host_list, '/hosts')
    listed = {
        'hosts': [host._asdict() for host in fleet.hosts],
        'targets': [
            target._asdict() for target in (*fleet.engines, *fleet.plains)
        ],
    }
    url = f'http://{fleet.host_list}/hosts'
    async with http.post(url, json=listed) as response:
        response.raise_for_status()


async def start_hosts(
    fleet: Fleet,
    children: processes.Processes,
    folder: pathlib.Path,
    http: aiohttp.ClientSession,
) -> None:
    """Write settings files, start the entry hosts and wait for them."""
    paths = {host.name: folder / f'{host.name}.toml' for host in fleet.hosts}
    for host in fleet.hosts:
        paths[host.name].write_text(_settings_text(host, fleet))
    await asyncio.gather(
        *(
            children.start(name, 'bergamotstream.daemon', {'config': path})
            for name, path in paths.items()
        )
    )
    await asyncio.gather(
        *(
            wait_until_listening(http, listed.caller_address, '/healthz')
            for listed in fleet.hosts
        )
    )


async def wait_until_listening(
    http: aiohttp.ClientSession, address: str, path: str
) -> None:
    """Return once a service answers; the caller sets the time limit."""
    while True:
        try:
            async with http.get(f'http://{address}{path}') as response:
                await response.read()
        except aiohttp.ClientError:
            await asyncio.sleep(0.05)
        else:
            return


def _plain_command(plain: records.TargetInfo) -> Command:
    options = {'address': plain.address, 'name': plain.name}
    return 'standins.plain', options


def _engine_command(engine: records.TargetInfo, fleet: Fleet) -> Command:
    options = {
        'address': engine.address,
        'name': engine.name,
        'memory-tokens': ENGINE_MEMORY_TOKENS,
        'prefill-tokens-per-s': PREFILL_TOKENS_PER_S,
        'step-ms': STEP_MS,
        'warm-after': WARM_AFTER,
        'cold-factor': COLD_FACTOR,
        'weight-store': f'http://{fleet.weight_store}',
    }
    return 'standins.engine', options


def _settings_text(host: records.HostInfo, fleet: Fleet) -> str:
    return SETTINGS_TEXT.format(
        host=host,
        kv=fleet.kv,
        host_list=fleet.host_list,
        weight_store=f'http://{fleet.weight_store}',
        keep_ms=ADDRESS_KEEP_MS,
    )
