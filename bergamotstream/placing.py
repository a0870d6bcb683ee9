"""
Placing
~~~~~~~

Finds room for one request on the targets of a partition.
"""

from typing import NamedTuple

from bergamotstream import (
    assignments,
    demand,
    grants,
    groups,
    isolation,
    occupancy,
    policies,
    prediction,
    records,
    targetstate,
)


class Kept(NamedTuple):
    """Targets that are kept clear for a waiting group of targets."""

    waiting: grants.Waiting
    names: frozenset[str]
    memory_tokens: int


class Placer:
    """Room on a partition's targets, found by the selected policy."""

    def __init__(
        self,
        service: records.ServiceConfig,
        targets_by_name: dict[str, targetstate.TargetState],
        policy: policies.Policy,
    ) -> None:
        """Place on ``targets_by_name``, which its owner changes."""
        self.service = service
        self.targets_by_name = targets_by_name
        self.long_limit = 1
        self.running_by_workspace: dict[str, int] = {}
        self._policy = policy
        # The best speeds among the targets, refreshed now and then.
        self.best = prediction.Speeds(service)
        self._slots = 0
        self._kept: Kept | None = None
        self.isolation = isolation.Isolation(targets_by_name)

    def usable(self, now_ms: int) -> list[targetstate.TargetState]:
        """Return the targets that may be given new work at all."""
        return [
            target
            for target in self.targets_by_name.values()
            if target.usable(now_ms)
        ]

    def any_usable(self, now_ms: int) -> bool:
        """Tell whether any target may be given new work."""
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
            self.best.prefill_tokens_per_s = max(
                entry.prefill_tokens_per_s for entry in speeds
            )
            self.best.decode_ms_per_token = min(
                entry.decode_ms_per_token for entry in speeds
            )
            self.best.call_ms = min(entry.call_ms for entry in speeds)

    def segments(self, waiting: grants.Waiting) -> tuple[groups.Segment, ...]:
        """Return the parts of the prompt; () if it can never fit."""
        request = waiting.request
        if self.service.kind == 'plain':
            return (groups.Segment(request.prompt_tokens, 0),)
        memory = self.service.memory_tokens
        if waiting.length_class != 'short':
            memory = int(memory * (1 - occupancy.SHORT_SHARE))
        segments = groups.split_prompt(request, memory)
        if len(segments) > 1 and len(segments) > self._staying():
            return ()
        return segments

    def _staying(self) -> int:
        return sum(
            not target.leaving for target in self.targets_by_name.values()
        )

    def update_long_limit(
        self, others_tokens_per_s: float, waiting_long: float, now_ms: int
    ) -> None:
        """Follow the demand of other prompts and the waiting long ones."""
        usable = self.usable(now_ms)
        speed = sum(entry.speeds.prefill_tokens_per_s for entry in usable)
        if speed:
            others = others_tokens_per_s * len(usable) / speed
            self.long_limit = demand.long_limit(
                len(usable), others, waiting_long
            )

    def place(
        self, waiting: grants.Waiting, now_ms: int
    ) -> assignments.Placement | None:
        """Return targets with room for the request, or None for now."""
        segments = self.segments(waiting)
        if not segments:
            return None
        if waiting.suspect:
            return self.isolation.place(waiting, segments, now_ms)
        if waiting.length_class == 'long' and self.service.kind == 'model':
            return self._place_long(waiting, segments, now_ms)
        need = assignments.need_of(waiting, segments[0])
        chosen = self._policy.choose(
            self._candidates(waiting, need, now_ms), need, now_ms
        )
        return (
            None
            if chosen is None
            else assignments.placement_of([chosen], [need])
        )

    def grant_started(self, grant: grants.Grant) -> None:
        """Count a grant of its workspace."""
        self._count_running(grant.request.workspace, 1)
        if grant.suspect:
            self.isolation.started(grant)

    def grant_ended(self, grant: grants.Grant) -> None:
        """Stop counting a grant and let others use a suspect's target."""
        self._count_running(grant.request.workspace, -1)
        if grant.suspect:
            self.isolation.ended(grant)

    def _count_running(self, workspace: str, change: int) -> None:
        count = self.running_by_workspace.get(workspace, 0) + change
        if count:
            self.running_by_workspace[workspace] = count
        else:
            self.running_by_workspace.pop(workspace, None)

    def _candidates(
        self, waiting: grants.Waiting, need: occupancy.Need, now_ms: int
    ) -> list[targetstate.TargetState]:
        found = []
        if self.over_share(waiting.request.workspace):
            need = need._replace(over_share=True)
        for target in self.usable(now_ms):
            if target.reserved_for or target.name in waiting.excluded:
                continue
            if target.fits(need):
                target.drain(now_ms)
                found.append(target)
        kept = self._kept
        if kept is None or not self._kept_for_other(waiting):
            return found
        others = [
            entry
            for entry in found
            if entry.name not in kept.names
            or entry.occupancy.fits_beside(need, kept.memory_tokens)
        ]
        if need.length_class == 'short':
            return others or found
        return others

    def over_share(self, workspace: str) -> bool:
        """Tell whether others must be able to get the last slots.

        Without this a flood that arrives first fills all slots, and fair
        queueing alone cannot serve another workspace until one is free.
        """
        running = self.running_by_workspace.get(workspace, 0)
        if running <= 1:
            return False
        return running * (len(self.running_by_workspace) + 1) > self._slots

    def _place_long(
        self,
        waiting: grants.Waiting,
        segments: tuple[groups.Segment, ...],
        now_ms: int,
    ) -> assignments.Placement | None:
        needs = [assignments.need_of(waiting, segment) for segment in segments]
        largest = max(needs, key=lambda need: need.memory_tokens)
        candidates = self._candidates(waiting, largest, now_ms)
        if not self._policy.separates_lengths and len(needs) == 1:
            chosen = self._policy.choose(candidates, needs[0], now_ms)
            return (
                None
                if chosen is None
                else assignments.placement_of([chosen], needs)
            )
        free = [target for target in candidates if not target.has_long_prefill]
        if self._warm_count(now_ms) >= len(needs):
            free = [target for target in free if not target.cold_start.slow]
        limit = max(self.long_limit, len(needs))
        group: tuple[targetstate.TargetState, ...] = ()
        if self._busy_with_long() + len(needs) <= limit:
            group = groups.choose_group(free, len(needs))
        if group:
            return assignments.placement_of(group, needs)
        if len(needs) > 1 and not self._kept_for_other(waiting):
            names = groups.choose_kept_clear(self.usable(now_ms), len(needs))
            self._kept = Kept(waiting, names, largest.memory_tokens)
        return None

    def _kept_for_other(self, waiting: grants.Waiting) -> bool:
        """Tell whether another group waits for the targets kept clear."""
        kept = self._kept
        if kept is None or not kept.waiting.queued:
            return False
        return kept.waiting is not waiting

    def _warm_count(self, now_ms: int) -> int:
        return sum(not target.cold_start.slow for target in self.usable(now_ms))

    def _busy_with_long(self) -> int:
        return sum(
            target.has_long_prefill for target in self.targets_by_name.values()
        )
