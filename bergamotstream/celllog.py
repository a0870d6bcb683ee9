"""
Cell log
~~~~~~~~

Log events and counters for changes in the cell: owners of partitions, live
and leaving hosts, availability zones out of service and blamed requests.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bergamotstream import actions, components, events, state


class CellSnapshot(NamedTuple):
    """State of the cell at the last logged change."""

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    zones_out: frozenset[str] = frozenset()
    targets_leaving: frozenset[str] = frozenset()
    blame: Mapping[int, float] = {}


# Log events for a name that enters or leaves each set of names.
EVENTS_BY_FIELD = {
    'live': ('host_live', 'host_silent'),
    'leaving': ('host_leaving', 'host_returned'),
    'zones_out': ('zone_out', 'zone_in'),
    'targets_leaving': ('target_leaving', 'target_returned'),
}


class CellLog(components.Component):
    """Logs one event per change; must be the last component in the list."""

    name = 'journal'

    def __init__(self, shared: state.HostState) -> None:
        """Start with an empty snapshot."""
        super().__init__(shared)
        self._logged = CellSnapshot()

    @components.handles(events.PartitionAcquired)
    def acquired(self, event: events.PartitionAcquired) -> components.Actions:
        """Log that this host became the owner of a partition."""
        return self._log_partition('partition_acquired', event.partition)

    @components.handles(events.PartitionLost)
    def lost(self, event: events.PartitionLost) -> components.Actions:
        """Log that this host is no longer the owner of a partition."""
        return self._log_partition('partition_lost', event.partition)

    @components.handles(events.Tick)
    def tick(self, event: events.Tick) -> components.Actions:
        """Log the differences from the last logged snapshot."""
        current = self._take_snapshot()
        if current == self._logged:
            return []
        produced: components.Actions = []
        for field, (entered, left) in EVENTS_BY_FIELD.items():
            now, before = getattr(current, field), getattr(self._logged, field)
            produced.extend(_name_events(entered, now - before))
            produced.extend(_name_events(left, before - now))
        produced.extend(self._blame_events(current.blame))
        self._logged = current
        return produced

    def _take_snapshot(self) -> CellSnapshot:
        bundle = self.state.bundle
        # Without a bundle the last values stay in force: no zone or target has
        # returned to service.
        zones_out, targets_leaving = (
            (bundle.zones_out, bundle.targets_leaving)
            if bundle
            else (self._logged.zones_out, self._logged.targets_leaving)
        )
        return CellSnapshot(
            frozenset(self.state.live_peers) - {self.state.host},
            frozenset(self.state.leaving_hosts),
            zones_out,
            targets_leaving,
            dict(self.state.own_blame_by_fingerprint),
        )

    def _log_partition(self, event: str, partition: str) -> components.Actions:
        fields = {'partition': partition, 'host': self.state.host}
        return [
            actions.LogEvent(event, fields),
            actions.Count(event, partition.split(':')[0]),
        ]

    def _blame_events(self, blame: Mapping[int, float]) -> components.Actions:
        limit = self.state.settings.limits.quarantine_after
        produced: components.Actions = []
        for fingerprint, score in blame.items():
            if score == self._logged.blame.get(fingerprint):
                continue
            is_quarantined = score >= limit
            event = (
                'fingerprint_quarantined'
                if is_quarantined
                else 'fingerprint_blamed'
            )
            produced.append(_blame_event(event, fingerprint, score))
            produced.append(actions.Count(event))
        for cleared in self._logged.blame.keys() - blame.keys():
            produced.append(_blame_event('fingerprint_cleared', cleared, 0))
        return produced


def _name_events(event: str, names: frozenset[str]) -> components.Actions:
    return [actions.LogEvent(event, {'name': name}) for name in sorted(names)]


def _blame_event(
    event: str, fingerprint: int, score: float
) -> actions.LogEvent:
    fields: dict[str, Any] = {'fingerprint': fingerprint, 'score': score}
    return actions.LogEvent(event, fields)
