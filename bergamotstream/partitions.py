"""
Partitions
~~~~~~~~~~

Names of the units of ownership. A name depends only on the target, workspace
or key that it stands for, so hosts with different views agree on it.
"""

import functools
from collections.abc import Iterable

import xxhash

from bergamotstream import records


@functools.lru_cache(maxsize=65_536)
def hash_text(text: str) -> int:
    """Return the 64-bit xxHash of a text (source: XXH64)."""
    return xxhash.xxh64_intdigest(text.encode())


def targets_partition(
    target: records.TargetInfo, service: records.ServiceConfig
) -> str:
    """Return the partition that a target belongs to."""
    index = hash_text(target.name) % service.partitions_per_zone
    return f'targets:{target.service}:{target.availability_zone}:{index}'


def accounts_partition(workspace: str, count: int) -> str:
    """Return the partition that holds a workspace's limits."""
    return f'accounts:{hash_text(workspace) % count}'


def claims_partition(workspace: str, key: str, count: int) -> str:
    """Return the partition that holds an idempotency key."""
    return f'claims:{hash_text(f"{workspace}/{key}") % count}'


def all_partitions(
    bundle: records.Bundle | None,
    targets: Iterable[records.TargetInfo],
    account_count: int,
    claim_count: int,
) -> frozenset[str]:
    """Return the partitions of a cell with these services and targets."""
    names = {f'accounts:{index}' for index in range(account_count)}
    names.update(f'claims:{index}' for index in range(claim_count))
    services_by_name = bundle.services_by_name if bundle else {}
    zones = {(known.service, known.availability_zone) for known in targets}
    for service_name, zone in zones:
        service = services_by_name.get(service_name)
        count = service.partitions_per_zone if service else 0
        for index in range(count):
            names.add(f'targets:{service_name}:{zone}:{index}')
    return frozenset(names)


def zone_of(partition: str) -> str:
    """Return the availability zone of a targets partition, or ''."""
    parts = partition.split(':')
    return parts[2] if parts[0] == 'targets' else ''


def service_of(partition: str) -> str:
    """Return the service of a targets partition, or ''."""
    parts = partition.split(':')
    return parts[1] if parts[0] == 'targets' else ''


def rendezvous_order(partition: str, members: Iterable[str]) -> tuple[str, ...]:
    """Return members by rendezvous weight, highest first.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase
    hit rates", 1998.
    """
    return tuple(
        sorted(
            members,
            key=lambda member: hash_text(f'{partition}|{member}'),
            reverse=True,
        )
    )
