"""
State
~~~~~

State shared by the components of one core: the time of the current event, the
bundle, the host list and the owners of partitions. Each attribute is written
by the one component named here and read by the others.
"""

import random
from collections.abc import Mapping
from typing import NamedTuple

from bergamotstream import peertable, records, settings


class Votes(NamedTuple):
    """Supported owner of each partition, and the partitions released."""

    supports: Mapping[str, str]
    released: frozenset[str]


class HostState:
    """Shared view of one host's core."""

    def __init__(self, config: settings.Settings, incarnation: str) -> None:
        """``incarnation`` differs for each start of the same host name."""
        self.settings = config
        self.host = config.host
        self.incarnation = incarnation
        self.rng = random.Random(f'{config.seed}/{config.host}')
        # Written by the core and, for heartbeats, by membership.
        self.now_ms = 0
        self.peers = peertable.PeerTable(config.host, incarnation)
        # Written by bundles.
        self.bundle: records.Bundle | None = None
        # When the version in force came into force at this host.
        self.bundle_since_ms = 0
        # Written by membership.
        self.hosts_by_name: dict[str, records.HostInfo] = {}
        self.targets_by_name: dict[str, records.TargetInfo] = {}
        self.cell_record: records.CellRecord | None = None
        # 0 until KV or a majority confirmed the record after the start.
        self.reported_epoch = 0
        self.live_peers: set[str] = set()
        self.leaving_hosts: set[str] = set()
        self.config_version_by_host: dict[str, int] = {}
        self.loads_by_partition: dict[str, records.PartitionLoad] = {}
        self.blame_by_fingerprint: dict[int, float] = {}
        # Written by ownership.
        self.owners_by_partition: dict[str, str] = {}
        self.owned_partitions: set[str] = set()
        self.votes = Votes({}, frozenset())
        # Written by targetpartitions.
        self.own_loads_by_partition: dict[str, records.PartitionLoad] = {}
        self.own_blame_by_fingerprint: dict[int, float] = {}
        # Written by sessions.
        self.leaving = False
        self.open_requests = 0
        self._next_number = 0

    def advance_to(self, now_ms: int) -> None:
        """Set the time of the current event, in milliseconds."""
        self.now_ms = now_ms
        self.peers.advance_to(now_ms, 2 * self.settings.timing.heartbeat_ms)

    def new_id(self) -> str:
        """Return an identifier that no other host or start uses."""
        self._next_number += 1
        return f'{self.host}.{self.incarnation}.{self._next_number}'

    def owns(self, partition: str) -> bool:
        """Return whether this host owns the partition now."""
        return partition in self.owned_partitions

    def owner_of(self, partition: str) -> str:
        """Return the last known owner's name, or '' when there is none."""
        return self.owners_by_partition.get(partition, '')
