"""
Isolation
~~~~~~~~~

Runs suspects of a crash on targets reserved for them, so that no other request
is blamed with them. Suspects with little blame share such a target: a crash
of a busy target makes so many suspects that running each alone would take
longer than their deadlines.
"""

from bergamotstream import (
    assignments,
    grants,
    occupancy,
    targetgroups,
    targetstate,
)

# Share of the targets that may be reserved for suspects of a crash.
MAX_ISOLATED_SHARE = 0.25
# A second crash among this many suspects raises each above the limit below, so
# a request that crashes targets runs alone after at most two crashes.
MAX_SUSPECTS_PER_TARGET = 8
MAX_SHARED_BLAME = 0.12
# Share of the targets that suspects may use together while more of them wait
# than fit on one target.
MAX_SHARED_TARGETS_SHARE = 0.5
SHARED_BY_SUSPECTS = 'suspects with little blame'


class Isolation:
    """Targets that are reserved for suspects."""

    def __init__(
        self, targets_by_name: dict[str, targetstate.TargetState]
    ) -> None:
        """Reserve some of ``targets_by_name``, which the owner updates."""
        self._targets_by_name = targets_by_name
        # A suspect prompt runs on one target at a time.
        self._running_fingerprints: set[int] = set()
        self._sharing_requests: set[str] = set()
        self._shared_target_by_request: dict[str, str] = {}

    def grant_started(self, grant: grants.Grant) -> None:
        """Record that a suspect runs."""
        self._running_fingerprints.add(grant.request.fingerprint)
        name = grant.targets[0].name
        target = self._targets_by_name.get(name)
        if target is not None and target.reserved_for == SHARED_BY_SUSPECTS:
            request_id = grant.request.request_id
            self._shared_target_by_request[request_id] = name

    def grant_ended(self, grant: grants.Grant) -> None:
        """Release the targets of a suspect that has ended."""
        self._running_fingerprints.discard(grant.request.fingerprint)
        self.release(grant.request.request_id)

    def release(self, request_id: str) -> None:
        """Release the targets that are reserved for a request."""
        self._sharing_requests.discard(request_id)
        self._shared_target_by_request.pop(request_id, None)
        unused = (
            {request_id}
            if self._sharing_requests
            else {request_id, SHARED_BY_SUSPECTS}
        )
        for target in self._targets_by_name.values():
            if target.reserved_for in unused:
                target.reserved_for = ''

    def place(
        self,
        waiting: grants.WaitingRequest,
        prompt_parts: tuple[targetgroups.PromptPart, ...],
        now_ms: int,
    ) -> assignments.Placement | None:
        """Place a suspect on targets that run nothing else."""
        request_id = waiting.request.request_id
        if waiting.request.fingerprint in self._running_fingerprints:
            return None
        if len(prompt_parts) == 1 and waiting.blame <= MAX_SHARED_BLAME:
            requirement = assignments.requirement_of(waiting, prompt_parts[0])
            return self._place_shared(waiting, requirement, now_ms)
        own_targets, other_targets = [], 0
        for target in self._usable(now_ms):
            if target.reserved_for == request_id:
                own_targets.append(target)
            elif target.reserved_for:
                other_targets += 1
        if (
            not own_targets
            and other_targets
            and other_targets + len(prompt_parts) > self._max_isolated()
        ):
            return None
        if len(own_targets) < len(prompt_parts):
            own_targets = self._reserve(waiting, len(prompt_parts), now_ms)
        if len(own_targets) < len(prompt_parts) or any(
            entry.running for entry in own_targets
        ):
            return None
        requirements = [
            assignments.requirement_of(waiting, prompt_part)
            for prompt_part in prompt_parts
        ]
        for target in own_targets:
            target.drain(now_ms)
        return assignments.placement_of(
            own_targets[: len(requirements)], requirements
        )

    def _max_isolated(self) -> int:
        return max(int(len(self._targets_by_name) * MAX_ISOLATED_SHARE), 1)

    def _place_shared(
        self,
        waiting: grants.WaitingRequest,
        requirement: occupancy.Requirement,
        now_ms: int,
    ) -> assignments.Placement | None:
        """Place a suspect with others that have little blame."""
        self._sharing_requests.add(waiting.request.request_id)
        for target in self._shared_targets(waiting, now_ms):
            suspects = self._count_suspects_on(target.name)
            if (
                suspects < MAX_SUSPECTS_PER_TARGET
                and target.running == suspects
            ):
                if target.fits(requirement):
                    target.drain(now_ms)
                    return assignments.placement_of([target], [requirement])
        return None

    def _shared_targets(
        self, waiting: grants.WaitingRequest, now_ms: int
    ) -> list[targetstate.TargetState]:
        usable = [
            target
            for target in self._usable(now_ms)
            if target.name not in waiting.excluded
        ]
        shared = [
            entry
            for entry in usable
            if entry.reserved_for == SHARED_BY_SUSPECTS
        ]
        free = [entry for entry in usable if not entry.reserved_for]
        if free and self._needs_another_target(
            len(shared), len(usable) - len(free)
        ):
            chosen = min(free, key=_isolation_order)
            chosen.reserved_for = SHARED_BY_SUSPECTS
            shared.append(chosen)
        return shared

    def _needs_another_target(self, shared: int, reserved: int) -> bool:
        """Return whether one more target should be reserved for sharing."""
        if not shared:
            return reserved < self._max_isolated()
        if len(self._sharing_requests) <= shared * MAX_SUSPECTS_PER_TARGET:
            return False
        return (
            reserved + 1
            <= len(self._targets_by_name) * MAX_SHARED_TARGETS_SHARE
        )

    def _count_suspects_on(self, name: str) -> int:
        return list(self._shared_target_by_request.values()).count(name)

    def _reserve(
        self, waiting: grants.WaitingRequest, count: int, now_ms: int
    ) -> list[targetstate.TargetState]:
        request_id = waiting.request.request_id
        free = [
            target
            for target in self._usable(now_ms)
            if target.reserved_for in {'', request_id}
            and target.name not in waiting.excluded
        ]
        chosen = sorted(free, key=_isolation_order)[:count]
        for target in chosen:
            target.reserved_for = request_id
        return chosen

    def _usable(self, now_ms: int) -> list[targetstate.TargetState]:
        return [
            target
            for target in self._targets_by_name.values()
            if target.usable(now_ms)
        ]


def _isolation_order(
    target: targetstate.TargetState,
) -> tuple[bool, int, str]:
    return not target.reserved_for, target.running, target.name
