"""
Shares
~~~~~~

Shares of workspaces in the places of a service. They answer a workspace that
sends more than its targets can serve, beside others that send little: without
shares it occupies all places and the queues of the targets.

The shares are max-min fair: each workspace may use as much as the level at
which all places are in use, and one that needs less leaves the rest to others.
What a request costs is one place of a plain target, or the tokens that it holds
in an engine's memory. Costs are counted over all hosts of the cell by their
commitments, so hosts need no agreement: a workspace above its share may fill the
places of a target, and one below it may also use a few in the target's queue.
"""

import collections
import math
from collections.abc import Iterable, Sequence
from typing import Final

from bergamotstream.forwarding import (
    commitments,
    exchangerecords,
    fleetrecords,
    fleetview,
    placement,
)

# Requests that a plain target may have in its own queue, so that it starts one
# as soon as another ends; a message there takes some ms.
QUEUED: Final = 1
# Further ones of workspaces below their shares: this part of the slots, and the
# least of them.
RESERVE_RATIO: Final = 0.5
MIN_RESERVE: Final = 2
# Shares need at least two workspaces.
MIN_WORKSPACES: Final = 2


class Shares:
    """Decides which workspaces may use scarce places."""

    def __init__(
        self,
        view: fleetview.FleetView,
        table: commitments.CommitmentTable,
        *,
        is_enabled: bool,
    ) -> None:
        """Count the commitments in ``table``."""
        self._view = view
        self._table = table
        self._is_enabled = is_enabled
        self._waiting = 0
        # Costs of waiting requests, by service and workspace.
        self._waiting_by_service: dict[str, collections.Counter[int]] = {}
        # The configuration for which the number of workspaces was counted.
        self._counted: fleetrecords.Configuration | None = None
        self._workspaces = 0

    def is_active(self) -> bool:
        """Tell whether workspaces compete for places."""
        configuration = self._view.configuration
        if not self._is_enabled or configuration is None:
            return False
        if configuration is not self._counted:
            known = configuration.workspaces_by_key.values()
            self._workspaces = len({workspace.name for workspace in known})
            self._counted = configuration
        return self._workspaces >= MIN_WORKSPACES

    def add_waiting(self, job: exchangerecords.Job) -> None:
        """Count a request that waits on this host."""
        waiting = self._waiting_by_service.setdefault(
            job.service.name, collections.Counter()
        )
        waiting[job.workspace_hash] += job.cost
        self._waiting += 1

    def count_waiting(self) -> int:
        """Return how many requests wait on this host."""
        return self._waiting

    def remove_waiting(self, job: exchangerecords.Job) -> None:
        """Forget a request that waits no longer."""
        waiting = self._waiting_by_service[job.service.name]
        waiting[job.workspace_hash] -= job.cost
        self._waiting -= 1
        # Drops workspaces without waiting requests.
        self._waiting_by_service[job.service.name] = +waiting

    def is_above(self, job: exchangerecords.Job) -> bool:
        """Tell whether a job's workspace would use more than its share.

        Not while all that is wanted has room.
        """
        slots_by_id = {
            entry.target_id: entry.slots
            for entry in self._view.targets_by_id.values()
            if self._view.is_usable(entry, job.service.name)
        }
        engine = job.service.engine
        room = sum(slots_by_id.values())
        if engine is not None:
            room = engine.memory_tokens * len(slots_by_id)
        used = self._table.used_by_workspace(slots_by_id)
        wanted = collections.Counter(used)
        wanted.update(self._waiting_by_service.get(job.service.name, {}))
        wanted[job.workspace_hash] += job.cost
        level = fair_level(room, wanted.values())
        return used.get(job.workspace_hash, 0) + job.cost > level

    def with_room(
        self,
        job: exchangerecords.Job,
        candidates: Sequence[placement.Candidate],
    ) -> Sequence[placement.Candidate]:
        """Return the plain targets on which a job may use a place."""
        if not self.is_active():
            return candidates
        free = [entry for entry in candidates if _free_places(entry) > 0]
        if free or self.is_above(job):
            return free
        return [
            entry
            for entry in candidates
            if _free_places(entry) + _reserve(entry) > 0
        ]


def fair_level(room: float, wanted: Iterable[float]) -> float:
    """Return the largest share, ``inf`` if all that is wanted has room."""
    remaining = room
    ordered = sorted(wanted)
    for served, demand in enumerate(ordered):
        share = remaining / (len(ordered) - served)
        if demand > share:
            return share
        remaining -= demand
    return math.inf


def _free_places(candidate: placement.Candidate) -> int:
    return candidate.entry.slots + QUEUED - candidate.load.requests


def _reserve(candidate: placement.Candidate) -> int:
    return max(round(candidate.entry.slots * RESERVE_RATIO), MIN_RESERVE)
