"""
Cell rooms
~~~~~~~~~~

What the targets of the own cell have free, which hosts of other cells are told.
"""

from collections.abc import Mapping

from bergamotstream.forwarding import (
    commitments,
    fleetrecords,
    peerformat,
    scheduler,
)


def rooms(
    core: scheduler.Scheduler, now_ms: int
) -> tuple[peerformat.ServiceRoom, ...]:
    """Return what the targets of the cell have free, by service."""
    loads = core.table.loads(now_ms)
    by_service: dict[str, list[fleetrecords.TargetEntry]] = {}
    for entry in core.view.targets_by_id.values():
        if (
            core.view.is_usable(entry, entry.service)
            and core.cells.owns(entry)
            and core.health.is_reachable(entry.target_id, now_ms)
        ):
            by_service.setdefault(entry.service, []).append(entry)
    return tuple(
        _room(service, entries, loads)
        for service, entries in by_service.items()
    )


def _room(
    service: str,
    entries: list[fleetrecords.TargetEntry],
    loads: Mapping[str, commitments.TargetLoad],
) -> peerformat.ServiceRoom:
    known = [loads.get(entry.target_id, commitments.IDLE) for entry in entries]
    return peerformat.ServiceRoom(
        service,
        len(entries),
        sum(
            max(entry.slots - load.requests, 0)
            for entry, load in zip(entries, known, strict=True)
        ),
        sum(load.prefill_ms for load in known) / len(known),
    )
