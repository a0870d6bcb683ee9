"""
Partition choice
~~~~~~~~~~~~~~~~

Picks the partition whose owner is asked for a grant: the one with the lowest
expected wait from the owners' heartbeats, plus what this host has sent there
since, less the prefill that a cached prefix saves.
"""

import collections
import math

from bergamotstream import partitions, records, state

CROSS_ZONE_PENALTY_MS = 10
MS_PER_S = 1_000
MAX_REMEMBERED_PREFIXES = 8_192


class PartitionChoice:
    """Chooses partitions for the requests of one host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without known prefixes."""
        self._state = shared
        self._sent_tokens_by_partition: dict[str, int] = {}
        self._load_by_partition: dict[str, records.PartitionLoad] = {}
        self._targets_by_partition: dict[str, int] = {}
        self._partitions_by_service: dict[str, list[str]] = {}
        self._partition_by_prefix: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def rebuild(self) -> None:
        """Recompute the partitions after a host list or bundle changed."""
        self._targets_by_partition.clear()
        self._partitions_by_service.clear()
        bundle = self._state.bundle
        if bundle is None:
            return
        for target in self._state.targets_by_name.values():
            service = bundle.services_by_name.get(target.service)
            if service is not None and self._usable(target, bundle):
                self._count_target(
                    partitions.targets_partition(target, service), service
                )

    def partitions_of(self, service: str) -> list[str]:
        """Return the partitions of a service that have usable targets."""
        return self._partitions_by_service.get(service, [])

    def choose(
        self,
        request: records.RequestSpec,
        service: records.ServiceConfig,
        denied: collections.abc.Container[str],
    ) -> str:
        """Return the best partition with a known owner, or ''."""
        best = ''
        best_score = math.inf
        for partition in self.partitions_of(service.name):
            if partition in denied or not self._state.owner_of(partition):
                continue
            score = self._score(partition, request, service)
            if score < best_score:
                best = partition
                best_score = score
        return best

    def record_sent(self, partition: str, request: records.RequestSpec) -> None:
        """Add a sent request to the partition's load and prefixes."""
        self._sent_tokens_by_partition[partition] = (
            self._sent_tokens_by_partition.get(partition, 0)
            + request.prompt_tokens
        )
        for block_hash in request.prefix_hashes[-1:]:
            self._partition_by_prefix[block_hash] = partition
            self._partition_by_prefix.move_to_end(block_hash)
        while len(self._partition_by_prefix) > MAX_REMEMBERED_PREFIXES:
            self._partition_by_prefix.popitem(last=False)

    def _usable(
        self, target: records.TargetInfo, bundle: records.Bundle
    ) -> bool:
        return not (
            target.leaving
            or target.name in bundle.targets_leaving
            or target.availability_zone in bundle.zones_out
        )

    def _count_target(
        self, partition: str, service: records.ServiceConfig
    ) -> None:
        if partition not in self._targets_by_partition:
            known = self._partitions_by_service.setdefault(service.name, [])
            known.append(partition)
        self._targets_by_partition[partition] = (
            self._targets_by_partition.get(partition, 0) + 1
        )

    def _score(
        self,
        partition: str,
        request: records.RequestSpec,
        service: records.ServiceConfig,
    ) -> float:
        score = float(self._reported_wait_ms(partition, request))
        targets = self._targets_by_partition.get(partition, 1)
        sent = self._sent_tokens_by_partition.get(partition, 0)
        speed = service.prefill_tokens_per_s * targets / MS_PER_S
        score += sent / speed
        score -= self._saved_tokens(partition, request) * targets / speed
        if partitions.zone_of(partition) != self._own_zone():
            score += CROSS_ZONE_PENALTY_MS
        return score

    def _reported_wait_ms(
        self, partition: str, request: records.RequestSpec
    ) -> int:
        load = self._state.loads_by_partition.get(partition)
        if self._state.owns(partition):
            load = self._state.own_loads_by_partition.get(partition)
        if load is None:
            return 0
        if load is not self._load_by_partition.get(partition):
            self._load_by_partition[partition] = load
            self._sent_tokens_by_partition[partition] = 0
        return {
            'short': load.short_wait_ms,
            'medium': load.medium_wait_ms,
            'long': load.long_wait_ms,
        }[records.length_class(request.prompt_tokens)]

    def _saved_tokens(
        self, partition: str, request: records.RequestSpec
    ) -> int:
        blocks = len(request.prefix_hashes)
        for block_hash in reversed(request.prefix_hashes):
            if self._partition_by_prefix.get(block_hash) == partition:
                return blocks * records.BLOCK_TOKENS
            blocks -= 1
        return 0

    def _own_zone(self) -> str:
        return self._state.settings.availability_zone
