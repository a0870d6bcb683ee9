"""
Isolation
~~~~~~~~~

Runs suspects of a crash on targets of their own, so that no innocent request
is blamed with them. Suspects with little blame share such a target: a crash
of a busy target makes so many suspects that running each alone would take
longer than their deadlines.
"""

from bergamotstream import (
    assignments,
    grants,
    groups,
    occupancy,
    targetstate,
)

# Part of the targets that suspects of a crash may have to themselves.
SUSPECT_SHARE = 0.25
# A second crash among this many suspects lifts each above the limit below, so
# a poison request runs alone after at most two crashes.
SHARED_SUSPECTS = 8
SHARED_BLAME = 0.12
# Part of the targets that suspects may share while more of them wait than fit
# on one target.
SHARED_SHARE = 0.5
SHARED = 'suspects with little blame'


class Isolation:
    """Targets that are reserved for suspects."""

    def __init__(
        self, targets_by_name: dict[str, targetstate.TargetState]
    ) -> None:
        """Reserve some of ``targets_by_name``, which its owner changes."""
        self._targets_by_name = targets_by_name
        # A blamed prompt is tried on one target at a time.
        self._running: set[int] = set()
        self._sharing: set[str] = set()
        self._shared_target_by_request: dict[str, str] = {}

    def started(self, grant: grants.Grant) -> None:
        """Note that a suspect runs."""
        self._running.add(grant.request.fingerprint)
        name = grant.targets[0].name
        target = self._targets_by_name.get(name)
        if target is not None and target.reserved_for == SHARED:
            request_id = grant.request.request_id
            self._shared_target_by_request[request_id] = name

    def ended(self, grant: grants.Grant) -> None:
        """Let others use the targets of a suspect."""
        self._running.discard(grant.request.fingerprint)
        self.release(grant.request.request_id)

    def release(self, request_id: str) -> None:
        """Give up the targets that are reserved for a request."""
        self._sharing.discard(request_id)
        self._shared_target_by_request.pop(request_id, None)
        unused = {request_id} if self._sharing else {request_id, SHARED}
        for target in self._targets_by_name.values():
            if target.reserved_for in unused:
                target.reserved_for = ''

    def place(
        self,
        waiting: grants.Waiting,
        segments: tuple[groups.Segment, ...],
        now_ms: int,
    ) -> assignments.Placement | None:
        """Place a suspect on targets that run nothing else."""
        request_id = waiting.request.request_id
        if waiting.request.fingerprint in self._running:
            return None
        if len(segments) == 1 and waiting.blame <= SHARED_BLAME:
            need = assignments.need_of(waiting, segments[0])
            return self._place_shared(waiting, need, now_ms)
        mine, others = [], 0
        for target in self._usable(now_ms):
            if target.reserved_for == request_id:
                mine.append(target)
            elif target.reserved_for:
                others += 1
        if not mine and others and others + len(segments) > self._limit():
            return None
        if len(mine) < len(segments):
            mine = self._reserve(waiting, len(segments), now_ms)
        if len(mine) < len(segments) or any(entry.running for entry in mine):
            return None
        needs = [assignments.need_of(waiting, segment) for segment in segments]
        for target in mine:
            target.drain(now_ms)
        return assignments.placement_of(mine[: len(needs)], needs)

    def _limit(self) -> int:
        return max(int(len(self._targets_by_name) * SUSPECT_SHARE), 1)

    def _place_shared(
        self, waiting: grants.Waiting, need: occupancy.Need, now_ms: int
    ) -> assignments.Placement | None:
        """Place a suspect with others that have little blame."""
        self._sharing.add(waiting.request.request_id)
        for target in self._shared_targets(waiting, now_ms):
            suspects = self._count_sharing(target.name)
            if suspects < SHARED_SUSPECTS and target.running == suspects:
                if target.fits(need):
                    target.drain(now_ms)
                    return assignments.placement_of([target], [need])
        return None

    def _shared_targets(
        self, waiting: grants.Waiting, now_ms: int
    ) -> list[targetstate.TargetState]:
        usable = [
            target
            for target in self._usable(now_ms)
            if target.name not in waiting.excluded
        ]
        shared = [entry for entry in usable if entry.reserved_for == SHARED]
        free = [entry for entry in usable if not entry.reserved_for]
        if free and self._needs_target(len(shared), len(usable) - len(free)):
            chosen = min(free, key=_soonest_alone)
            chosen.reserved_for = SHARED
            shared.append(chosen)
        return shared

    def _needs_target(self, shared: int, reserved: int) -> bool:
        """Tell whether one more target should be reserved for sharing."""
        if not shared:
            return reserved < self._limit()
        if len(self._sharing) <= shared * SHARED_SUSPECTS:
            return False
        return reserved + 1 <= len(self._targets_by_name) * SHARED_SHARE

    def _count_sharing(self, name: str) -> int:
        return list(self._shared_target_by_request.values()).count(name)

    def _reserve(
        self, waiting: grants.Waiting, count: int, now_ms: int
    ) -> list[targetstate.TargetState]:
        request_id = waiting.request.request_id
        free = [
            target
            for target in self._usable(now_ms)
            if target.reserved_for in {'', request_id}
            and target.name not in waiting.excluded
        ]
        chosen = sorted(free, key=_soonest_alone)[:count]
        for target in chosen:
            target.reserved_for = request_id
        return chosen

    def _usable(self, now_ms: int) -> list[targetstate.TargetState]:
        return [
            target
            for target in self._targets_by_name.values()
            if target.usable(now_ms)
        ]


def _soonest_alone(
    target: targetstate.TargetState,
) -> tuple[bool, int, str]:
    return not target.reserved_for, target.running, target.name
