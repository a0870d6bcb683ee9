"""
Isolation
~~~~~~~~~

Runs suspects of a crash on targets of their own, so that no innocent request
is blamed with them.
"""

from bergamotstream import assignments, grants, groups, targetstate

# Part of the targets that suspects of a crash may have to themselves.
SUSPECT_SHARE = 0.25


class Isolation:
    """Targets that are reserved for suspects."""

    def __init__(
        self, targets_by_name: dict[str, targetstate.TargetState]
    ) -> None:
        """Reserve some of ``targets_by_name``, which its owner changes."""
        self._targets_by_name = targets_by_name
        # A blamed prompt is tried on one target at a time.
        self._running: set[int] = set()

    def started(self, grant: grants.Grant) -> None:
        """Note that a suspect runs."""
        self._running.add(grant.request.fingerprint)

    def ended(self, grant: grants.Grant) -> None:
        """Let others use the targets of a suspect."""
        self._running.discard(grant.request.fingerprint)
        self.release(grant.request.request_id)

    def release(self, request_id: str) -> None:
        """Give up the targets that are reserved for a request."""
        for target in self._targets_by_name.values():
            if target.reserved_for == request_id:
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
        mine, others = [], 0
        for target in self._usable(now_ms):
            if target.reserved_for == request_id:
                mine.append(target)
            elif target.reserved_for:
                others += 1
        limit = max(int(len(self._targets_by_name) * SUSPECT_SHARE), 1)
        if not mine and others and others + len(segments) > limit:
            return None
        if len(mine) < len(segments):
            mine = self._reserve(waiting, len(segments), now_ms)
        if len(mine) < len(segments) or any(entry.running for entry in mine):
            return None
        needs = [assignments.need_of(waiting, segment) for segment in segments]
        for target in mine:
            target.drain(now_ms)
        return assignments.placement_of(mine[: len(needs)], needs)

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
