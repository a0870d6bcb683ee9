"""
Target placement
~~~~~~~~~~~~~~~~

Chooses targets of a partition with room for one request.
"""

from typing import NamedTuple

from bergamotstream import (
    assignments,
    demand,
    grants,
    isolation,
    latencymodel,
    occupancy,
    policies,
    records,
    targetgroups,
    targetstate,
)


class GroupReservation(NamedTuple):
    """Targets that are reserved for a prompt that needs several."""

    waiting: grants.WaitingRequest
    target_names: frozenset[str]
    memory_tokens: int


class Placer:
    """Places requests on a partition's targets by the selected policy."""

    def __init__(
        self,
        service: records.ServiceConfig,
        targets_by_name: dict[str, targetstate.TargetState],
        policy: policies.Policy,
    ) -> None:
        """Place on ``targets_by_name``, which the owner updates."""
        self.service = service
        self.targets_by_name = targets_by_name
        self.long_target_limit = 1
        self.running_by_workspace: dict[str, int] = {}
        self._policy = policy
        # The best speeds among the targets, refreshed periodically.
        self.best_speeds = latencymodel.Speeds(service)
        self._slots = 0
        self._group_reservation: GroupReservation | None = None
        self.isolation = isolation.Isolation(targets_by_name)

    def usable(self, now_ms: int) -> list[targetstate.TargetState]:
        """Return the targets that may be given new work at all."""
        return [
            target
            for target in self.targets_by_name.values()
            if target.usable(now_ms)
        ]

    def any_usable(self, now_ms: int) -> bool:
        """Return whether any target may be given new work."""
        return any(
            target.usable(now_ms) for target in self.targets_by_name.values()
        )

    def refresh(self) -> None:
        """Refresh the best speeds and the sum of the caps."""
        self._slots = sum(
            target.cold_start.cap for target in self.targets_by_name.values()
        )
        speeds = [entry.speeds for entry in self.targets_by_name.values()]
        if speeds:
            self.best_speeds.prefill_tokens_per_s = max(
                entry.prefill_tokens_per_s for entry in speeds
            )
            self.best_speeds.decode_ms_per_token = min(
                entry.decode_ms_per_token for entry in speeds
            )
            self.best_speeds.call_ms = min(entry.call_ms for entry in speeds)

    def prompt_parts(
        self, waiting: grants.WaitingRequest
    ) -> tuple[targetgroups.PromptPart, ...]:
        """Return the prompt parts, or () if the prompt can never fit."""
        request = waiting.request
        if self.service.kind == 'plain':
            return (targetgroups.PromptPart(request.prompt_tokens, 0),)
        memory = self.service.memory_tokens
        if waiting.length_class != 'short':
            memory = int(memory * (1 - occupancy.SHORT_SHARE))
        prompt_parts = targetgroups.split_prompt(request, memory)
        if (
            len(prompt_parts) > 1
            and len(prompt_parts) > self._count_not_leaving()
        ):
            return ()
        return prompt_parts

    def _count_not_leaving(self) -> int:
        return sum(
            not target.leaving for target in self.targets_by_name.values()
        )

    def update_long_target_limit(
        self, others_tokens_per_s: float, waiting_long: float, now_ms: int
    ) -> None:
        """Adapt the limit to other prompts' demand and waiting long ones."""
        usable = self.usable(now_ms)
        speed = sum(entry.speeds.prefill_tokens_per_s for entry in usable)
        if speed:
            other_targets = others_tokens_per_s * len(usable) / speed
            self.long_target_limit = demand.long_target_limit(
                len(usable), other_targets, waiting_long
            )

    def place(
        self, waiting: grants.WaitingRequest, now_ms: int
    ) -> assignments.Placement | None:
        """Return targets with room for the request, None if it must wait."""
        prompt_parts = self.prompt_parts(waiting)
        if not prompt_parts:
            return None
        if waiting.suspect:
            return self.isolation.place(waiting, prompt_parts, now_ms)
        if waiting.length_class == 'long' and self.service.kind == 'model':
            return self._place_long(waiting, prompt_parts, now_ms)
        requirement = assignments.requirement_of(waiting, prompt_parts[0])
        chosen = self._policy.choose(
            self._candidates(waiting, requirement, now_ms), requirement, now_ms
        )
        return (
            None
            if chosen is None
            else assignments.placement_of([chosen], [requirement])
        )

    def grant_started(self, grant: grants.Grant) -> None:
        """Count a grant for its workspace."""
        self._count_running(grant.request.workspace, 1)
        if grant.suspect:
            self.isolation.grant_started(grant)

    def grant_ended(self, grant: grants.Grant) -> None:
        """Stop counting a grant and release a suspect's targets."""
        self._count_running(grant.request.workspace, -1)
        if grant.suspect:
            self.isolation.grant_ended(grant)

    def _count_running(self, workspace: str, change: int) -> None:
        count = self.running_by_workspace.get(workspace, 0) + change
        if count:
            self.running_by_workspace[workspace] = count
        else:
            self.running_by_workspace.pop(workspace, None)

    def _candidates(
        self,
        waiting: grants.WaitingRequest,
        requirement: occupancy.Requirement,
        now_ms: int,
    ) -> list[targetstate.TargetState]:
        fitting = []
        if self.over_share(waiting.request.workspace):
            requirement = requirement._replace(over_share=True)
        for target in self.usable(now_ms):
            if target.reserved_for or target.name in waiting.excluded:
                continue
            if target.fits(requirement):
                target.drain(now_ms)
                fitting.append(target)
        reservation = self._group_reservation
        if reservation is None or not self._reserved_for_other_group(waiting):
            return fitting
        other_targets = [
            entry
            for entry in fitting
            if entry.name not in reservation.target_names
            or entry.occupancy.leaves_memory(
                requirement, reservation.memory_tokens
            )
        ]
        if requirement.length_class == 'short':
            return other_targets or fitting
        return other_targets

    def over_share(self, workspace: str) -> bool:
        """Return whether a workspace must leave the last slots to others.

        Otherwise a burst that arrives first fills all slots, and fair queueing
        alone cannot serve another workspace until one is free.
        """
        running = self.running_by_workspace.get(workspace, 0)
        if running <= 1:
            return False
        return running * (len(self.running_by_workspace) + 1) > self._slots

    def _place_long(
        self,
        waiting: grants.WaitingRequest,
        prompt_parts: tuple[targetgroups.PromptPart, ...],
        now_ms: int,
    ) -> assignments.Placement | None:
        requirements = [
            assignments.requirement_of(waiting, prompt_part)
            for prompt_part in prompt_parts
        ]
        largest = max(
            requirements, key=lambda requirement: requirement.memory_tokens
        )
        candidates = self._candidates(waiting, largest, now_ms)
        if not self._policy.separates_lengths and len(requirements) == 1:
            chosen = self._policy.choose(candidates, requirements[0], now_ms)
            return (
                None
                if chosen is None
                else assignments.placement_of([chosen], requirements)
            )
        free = [target for target in candidates if not target.has_long_prefill]
        if self._count_warm(now_ms) >= len(requirements):
            free = [
                target for target in free if not target.cold_start.known_cold
            ]
        limit = max(self.long_target_limit, len(requirements))
        group: tuple[targetstate.TargetState, ...] = ()
        if self._count_long_prefills() + len(requirements) <= limit:
            group = targetgroups.choose_group(free, len(requirements))
        if group:
            return assignments.placement_of(group, requirements)
        if len(requirements) > 1 and not self._reserved_for_other_group(
            waiting
        ):
            target_names = targetgroups.choose_reserved(
                self.usable(now_ms), len(requirements)
            )
            self._group_reservation = GroupReservation(
                waiting, target_names, largest.memory_tokens
            )
        return None

    def _reserved_for_other_group(self, waiting: grants.WaitingRequest) -> bool:
        """Return whether targets are reserved for another request."""
        reservation = self._group_reservation
        if reservation is None or not reservation.waiting.queued:
            return False
        return reservation.waiting is not waiting

    def _count_warm(self, now_ms: int) -> int:
        return sum(
            not target.cold_start.known_cold for target in self.usable(now_ms)
        )

    def _count_long_prefills(self) -> int:
        return sum(
            target.has_long_prefill for target in self.targets_by_name.values()
        )
