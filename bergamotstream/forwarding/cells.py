"""
Cells
~~~~~

Divides a large fleet into cells: hosts that share all they know of a part of
the targets. A host places requests on the targets of its own cell only, so
neither its messages nor its decisions grow with the fleet.

A small fleet is one cell. In a larger one the hosts of an availability zone
form one or more cells, by a hash of their names, and each target belongs to
the cell of one of its zone's hosts, so larger cells have more targets. Hosts
may believe in different cells for a while: each sends its state to those that
it takes for members and to those that take it for one.
"""

from collections.abc import Mapping
from typing import Final, NamedTuple

import xxhash

from bergamotstream import outsidedata
from bergamotstream.forwarding import fleetrecords, fleetview, rendezvous

# Hosts up to which a fleet is one cell, and below which it is one again.
MAX_WHOLE_FLEET: Final = 36
MIN_SPLIT_FLEET: Final = 28
# A zone's cells double when they have this many hosts each, and halve when they
# have this few, so that hosts that come and go move nothing.
GROWN_CELL: Final = 33
SHRUNK_CELL: Final = 11
# Time for which a host counts after its registration has gone. The store may
# have let it expire while it was away, and the host writes it again.
GONE_HOLD_MS: Final = 5_000
WHOLE_FLEET: Final = 'all'
# Targets whose cell is remembered, more than any fleet lists at a time.
MAX_CACHED_TARGETS: Final = 16_384


class CellChange(NamedTuple):
    """A change of the own cell, for the log."""

    cell: str
    cells: int
    hosts: int
    fleet_hosts: int


class Cells:
    """The division of the fleet as one host sees it; times in milliseconds."""

    def __init__(self, name: str, zone: str, view: fleetview.FleetView) -> None:
        """Start as the only host of the cell of the whole fleet."""
        self.own = WHOLE_FLEET
        self.members: frozenset[str] = frozenset((name,))
        self._name = name
        self._zone = zone
        self._view = view
        self._zones_by_host = {name: zone}
        self._gone_ms_by_host: dict[str, int] = {}
        self._is_split = False
        # Cells of each zone, a power of two.
        self._parts_by_zone: dict[str, int] = {}
        self._cells_by_host = {name: WHOLE_FLEET}
        self._hosts_by_zone: dict[str, list[str]] = {zone: [name]}
        self._cell_by_target: dict[tuple[str, str], str] = {}

    @property
    def count(self) -> int:
        """Return the number of cells that have hosts."""
        return len(set(self._cells_by_host.values()))

    @property
    def fleet_hosts(self) -> int:
        """Return the number of hosts that count."""
        return len(self._zones_by_host)

    def update(self, now_ms: int) -> CellChange | None:
        """Follow the registered hosts; return a change of the own cell."""
        if not self._update_hosts(now_ms):
            return None
        before = self.own, self.members, self.count
        self._divide()
        if before == (self.own, self.members, self.count):
            return None
        return CellChange(
            self.own, self.count, len(self.members), self.fleet_hosts
        )

    def includes_own(self, cell: str) -> bool:
        """Tell whether a host of ``cell`` takes this one for a member.

        Older builds name no cell and take all hosts for members.
        """
        if cell in {'', WHOLE_FLEET, self.own}:
            return True
        zone, _, place = cell.rpartition('/')
        try:
            parts, index = map(outsidedata.decimal, place.split('.'))
        except ValueError:
            return False
        if zone != self._zone or index >= parts:
            return False
        return _hash(self._name) % parts == index

    def cell_of_host(self, name: str, zone: str) -> str:
        """Return the cell of a host."""
        if not self._is_split:
            return WHOLE_FLEET
        parts = self._parts_by_zone.get(zone, 1)
        return f'{zone}/{parts}.{_hash(name) % parts}'

    def owns(self, target: fleetrecords.TargetEntry) -> bool:
        """Tell whether a target belongs to the own cell."""
        if not self._is_split:
            return True
        if target.zone != self._zone and target.zone in self._hosts_by_zone:
            return False
        return self.cell_of_target(target) == self.own

    def serves(self, target: fleetrecords.TargetEntry) -> bool:
        """Tell whether this host may send requests to a target.

        All hosts share the few targets of a plain service, whose load is
        short and told by their refusals.
        """
        if self.owns(target):
            return True
        configuration = self._view.configuration
        if configuration is None:
            return False
        service = configuration.services_by_name.get(target.service)
        return service is not None and service.engine is None

    def cell_of_target(self, target: fleetrecords.TargetEntry) -> str:
        """Return the cell that a target belongs to."""
        key = target.target_id, target.zone
        known = self._cell_by_target.get(key)
        if known is None:
            known = self._choose_cell(target)
            if len(self._cell_by_target) >= MAX_CACHED_TARGETS:
                self._cell_by_target.clear()
            self._cell_by_target[key] = known
        return known

    def _choose_cell(self, target: fleetrecords.TargetEntry) -> str:
        hosts = self._hosts_by_zone.get(target.zone) or self._cells_by_host
        return self._cells_by_host[
            rendezvous.choose(hosts, target.target_id, 1)[0]
        ]

    def _update_hosts(self, now_ms: int) -> bool:
        """Take over the registered hosts; tell whether any differ."""
        zones = {
            name: entry.zone for name, entry in self._view.hosts_by_name.items()
        }
        zones[self._name] = self._zone
        self._gone_ms_by_host = {
            name: self._gone_ms_by_host.get(name, now_ms)
            for name in self._zones_by_host.keys() - zones.keys()
        }
        zones |= {
            name: self._zones_by_host[name]
            for name, gone_ms in self._gone_ms_by_host.items()
            if now_ms - gone_ms < GONE_HOLD_MS
        }
        if zones == self._zones_by_host:
            return False
        self._zones_by_host = zones
        return True

    def _divide(self) -> None:
        """Form the cells of the hosts that count."""
        limit = MIN_SPLIT_FLEET if self._is_split else MAX_WHOLE_FLEET + 1
        self._is_split = self.fleet_hosts >= limit
        self._cell_by_target.clear()
        self._hosts_by_zone = _names_by_zone(self._zones_by_host)
        self._parts_by_zone = {
            zone: _parts(len(hosts), self._parts_by_zone.get(zone, 1))
            for zone, hosts in self._hosts_by_zone.items()
        }
        self._cells_by_host = {
            name: self.cell_of_host(name, zone)
            for name, zone in self._zones_by_host.items()
        }
        self.own = self._cells_by_host[self._name]
        self.members = frozenset(
            name
            for name, cell in self._cells_by_host.items()
            if cell == self.own
        )


def _names_by_zone(zones_by_host: Mapping[str, str]) -> dict[str, list[str]]:
    names_by_zone: dict[str, list[str]] = {}
    for name, zone in zones_by_host.items():
        names_by_zone.setdefault(zone, []).append(name)
    return names_by_zone


def _parts(hosts: int, before: int) -> int:
    """Return the cells of a zone, as many as before near the border."""
    parts = before
    while hosts >= parts * GROWN_CELL:
        parts *= 2
    while parts > 1 and hosts < parts * SHRUNK_CELL:
        parts //= 2
    return parts


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
