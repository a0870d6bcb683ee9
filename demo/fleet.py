"""
Fleet
~~~~~

The hosts, targets and platform services of the demonstration: their
addresses, options and settings files.
"""

import importlib.util
import pathlib
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
HOST_LIST_LAG_MS = 500
# Callers of the demonstration keep an address for a shorter time, so that its
# hosts stop sooner.
ADDRESS_KEEP_MS = 1_000

WEIGHT_STORE_MODULE = 'standins.weights'

SETTINGS_TEXT = """\
host = "{host.name}"
availability_zone = "{host.availability_zone}"
cell = "{host.cell}"
caller_address = "{host.caller_address}"
peer_address = "{host.peer_address}"
peers = {peers}

[platform]
kv = "http://{kv}"
host_list = "http://{host_list}"
weight_store = "{weight_store}"

[timing]
address_keep_ms = {keep_ms}
"""


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
    await children.start('kv', 'standins.kv', '--address', fleet.kv)
    await children.start(
        'hostlist',
        'standins.hostlist',
        *('--address', fleet.host_list, '--lag-ms', str(HOST_LIST_LAG_MS)),
    )
    if importlib.util.find_spec(WEIGHT_STORE_MODULE) is not None:
        await children.start(
            'weights', WEIGHT_STORE_MODULE, '--address', fleet.weight_store
        )
    for engine in fleet.engines:
        await children.start(
            engine.name, 'standins.engine', *_engine_options(engine)
        )
    for plain in fleet.plains:
        await children.start(
            plain.name,
            'standins.plain',
            *('--address', plain.address, '--name', plain.name),
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
    fleet: Fleet, children: processes.Processes, folder: pathlib.Path
) -> None:
    """Write settings files and start the entry hosts."""
    peers = [host.peer_address for host in fleet.hosts]
    for host in fleet.hosts:
        path = folder / f'{host.name}.toml'
        path.write_text(
            SETTINGS_TEXT.format(
                host=host,
                peers=[peer for peer in peers if peer != host.peer_address],
                kv=fleet.kv,
                host_list=fleet.host_list,
                weight_store=f'http://{fleet.weight_store}',
                keep_ms=ADDRESS_KEEP_MS,
            )
        )
        await children.start(
            host.name, 'bergamotstream.daemon', '--config', str(path)
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
            await processes.asyncio.sleep(0.05)
        else:
            return


def _engine_options(engine: records.TargetInfo) -> tuple[str, ...]:
    options = {
        'address': engine.address,
        'name': engine.name,
        'memory-tokens': ENGINE_MEMORY_TOKENS,
        'prefill-tokens-per-s': PREFILL_TOKENS_PER_S,
        'step-ms': STEP_MS,
        'warm-after': WARM_AFTER,
    }
    return tuple(
        text
        for name, option in options.items()
        for text in (f'--{name}', str(option))
    )
