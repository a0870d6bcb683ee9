"""
Shapes
~~~~~~

The two deployments of section 2.5 of docs/design.md, "Today".
"""

from typing import NamedTuple

from bergamotstream import records, settings

CELL = 'cell-1'
MODEL_SERVICE = 'model'
PLAIN_SERVICE = 'plain'
KV = 'kv'
CALLERS = 'callers'
ZONES = ('rosario', 'merced', 'victoria')
MODEL_TARGETS = 16
PLAIN_TARGETS = 3
SMALL_WORKSPACES = 7
LARGE_WORKSPACES = 3


class Shape(NamedTuple):
    """Numbers of a deployment; delays are one way."""

    name: str
    hosts: int
    zone_ms: int
    caller_ms: int


SHAPES_BY_NAME = {
    'three-ms': Shape('three-ms', hosts=6, zone_ms=3, caller_ms=3),
    'five-ms': Shape('five-ms', hosts=7, zone_ms=5, caller_ms=1),
}


def hosts(shape: Shape) -> tuple[records.HostInfo, ...]:
    """Return the hosts h1, h2, ... spread over the zones."""
    return tuple(
        records.HostInfo(
            name=f'h{number + 1}',
            availability_zone=ZONES[number % len(ZONES)],
            caller_address=f'h{number + 1}:callers',
            peer_address=f'h{number + 1}:peers',
            cell=CELL,
        )
        for number in range(shape.hosts)
    )


def targets() -> tuple[records.TargetInfo, ...]:
    """Return engines t1..t16 and plain instances p1..p3 over the zones."""
    counts = (
        ('t', MODEL_SERVICE, MODEL_TARGETS),
        ('p', PLAIN_SERVICE, PLAIN_TARGETS),
    )
    return tuple(
        records.TargetInfo(
            name=f'{letter}{number + 1}',
            service=service,
            availability_zone=ZONES[number % len(ZONES)],
            address=f'{letter}{number + 1}',
        )
        for letter, service, count in counts
        for number in range(count)
    )


def bundle() -> records.Bundle:
    """Return the first configuration: services and ten workspaces."""
    workspaces = [
        records.WorkspaceConfig(name, 0, 1.0, 64, 100_000)
        for name in workspace_names('small')
    ]
    workspaces += [
        records.WorkspaceConfig(name, 1, 1.0, 64, 4_000_000)
        for name in workspace_names('big')
    ]
    services = (
        records.ServiceConfig(MODEL_SERVICE, 'model'),
        records.ServiceConfig(PLAIN_SERVICE, 'plain'),
    )
    return records.Bundle(
        version=1,
        workspaces_by_name={entry.name: entry for entry in workspaces},
        services_by_name={entry.name: entry for entry in services},
    )


def workspace_names(kind: str) -> tuple[str, ...]:
    """Return the workspaces of a kind, ``small`` or ``big``."""
    count = LARGE_WORKSPACES if kind == 'big' else SMALL_WORKSPACES
    return (kind, *(f'{kind}-{number}' for number in range(2, count + 1)))


def host_settings(
    shape: Shape, host: records.HostInfo, seed: int, policy: str
) -> settings.Settings:
    """Return the settings of a host's daemon."""
    return settings.Settings(
        host=host.name,
        availability_zone=host.availability_zone,
        cell=CELL,
        caller_address=host.caller_address,
        peer_address=host.peer_address,
        platform=settings.Platform(kv=KV, host_list='hosts'),
        policy=policy,
        seed=seed,
    )
