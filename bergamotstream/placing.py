"""
Placing
~~~~~~~

Finds room for one request on the targets of a partition.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from bergamotstream import grants, groups, policies, records, targetstate

# Part of the targets that suspects of a crash may have to themselves.
SUSPECT_SHARE = 0.25


class Assignment(NamedTuple):
    """A target with what the request needs from it."""

    target: targetstate.TargetState
    need: targetstate.Need


class Placement(NamedTuple):
    """Targets of one attempt; the first produces the output."""

    assignments: tuple[Assignment, ...]
    predicted_ttft_ms: float


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
        self._kept_clear: frozenset[str] = frozenset()

    def usable(self, now_ms: int) -> list[targetstate.TargetState]:
        """Return the targets that may be given new work at all."""
        return [
            target
            for target in self.targets_by_name.values()
            if target.usable(now_ms)
        ]

    def segments(self, waiting: grants.Waiting) -> tuple[groups.Segment, ...]:
        """Return the parts of the prompt; () if it can never fit."""
        request = waiting.request
        if self.service.kind == 'plain':
            return (groups.Segment(request.prompt_tokens, 0),)
        memory = self.service.memory_tokens
        if waiting.length_class != 'short':
            memory = int(memory * (1 - targetstate.SHORT_SHARE))
        staying = sum(
            not target.leaving for target in self.targets_by_name.values()
        )
        return groups.split_prompt(request, memory, staying)

    def update_long_limit(self, long_share: float, now_ms: int) -> None:
        """Follow the share of long prompts in the work at hand."""
        usable = len(self.usable(now_ms))
        wanted = math.ceil(long_share * usable)
        self.long_limit = max(min(wanted, usable - 1), 1)

    def place(self, waiting: grants.Waiting, now_ms: int) -> Placement | None:
        """Return targets with room for the request, or None for now."""
        segments = self.segments(waiting)
        if not segments:
            return None
        if waiting.suspect:
            return self._place_alone(waiting, segments, now_ms)
        if waiting.length_class == 'long' and self.service.kind == 'model':
            return self._place_long(waiting, segments, now_ms)
        need = _need(waiting, segments[0])
        chosen = self._policy.choose(
            self._candidates(waiting, need, now_ms), need, now_ms
        )
        return None if chosen is None else _placement([chosen], [need])

    def stop_keeping_clear(self) -> None:
        """Give up targets that were kept clear for a waiting group."""
        self._kept_clear = frozenset()

    def count_running(self, workspace: str, change: int) -> None:
        """Follow the number of grants of a workspace."""
        count = self.running_by_workspace.get(workspace, 0) + change
        if count:
            self.running_by_workspace[workspace] = count
        else:
            self.running_by_workspace.pop(workspace, None)

    def release_reservations(self, request_id: str) -> None:
        """Let others use the targets that a suspect had to itself."""
        for target in self.targets_by_name.values():
            if target.reserved_for == request_id:
                target.reserved_for = ''

    def _candidates(
        self, waiting: grants.Waiting, need: targetstate.Need, now_ms: int
    ) -> list[targetstate.TargetState]:
        found = []
        usable = self.usable(now_ms)
        if self._over_share(waiting.request.workspace, usable):
            need = need._replace(over_share=True)
        for target in usable:
            if target.reserved_for or target.name in waiting.excluded:
                continue
            if target.fits(need):
                target.drain(now_ms)
                found.append(target)
        if need.length_class == 'long' or not self._kept_clear:
            return found
        others = [
            entry for entry in found if entry.name not in self._kept_clear
        ]
        if need.length_class == 'short':
            return others or found
        return others

    def _over_share(
        self, workspace: str, usable: list[targetstate.TargetState]
    ) -> bool:
        """Tell whether others must be able to get the last slots.

        Without this a flood that arrives first fills all slots, and fair
        queueing alone cannot serve another workspace until one is free.
        """
        running = self.running_by_workspace.get(workspace, 0)
        slots = sum(target.cold_start.cap for target in usable)
        return running * (len(self.running_by_workspace) + 1) > slots

    def _place_long(
        self,
        waiting: grants.Waiting,
        segments: tuple[groups.Segment, ...],
        now_ms: int,
    ) -> Placement | None:
        needs = [_need(waiting, segment) for segment in segments]
        candidates = self._candidates(waiting, needs[0], now_ms)
        if not self._policy.separates_lengths and len(needs) == 1:
            chosen = self._policy.choose(candidates, needs[0], now_ms)
            return None if chosen is None else _placement([chosen], needs)
        free = [target for target in candidates if not target.has_long_prefill]
        if self._warm_count(now_ms) >= len(needs):
            free = [target for target in free if not target.cold_start.cold]
        limit = max(self.long_limit, len(needs))
        group: tuple[targetstate.TargetState, ...] = ()
        if self._busy_with_long() + len(needs) <= limit:
            group = groups.choose_group(free, len(needs))
        if group:
            self._kept_clear = frozenset()
            return _placement(group, needs)
        if len(needs) > 1:
            self._kept_clear = groups.choose_reserved(
                self.usable(now_ms), len(needs)
            )
        return None

    def _warm_count(self, now_ms: int) -> int:
        return sum(not target.cold_start.cold for target in self.usable(now_ms))

    def _busy_with_long(self) -> int:
        return sum(
            target.has_long_prefill for target in self.targets_by_name.values()
        )

    def _place_alone(
        self,
        waiting: grants.Waiting,
        segments: tuple[groups.Segment, ...],
        now_ms: int,
    ) -> Placement | None:
        """Place a suspect on targets that run nothing else."""
        request_id = waiting.request.request_id
        mine, others = [], 0
        for target in self.usable(now_ms):
            if target.reserved_for == request_id:
                mine.append(target)
            elif target.reserved_for:
                others += 1
        limit = max(int(len(self.targets_by_name) * SUSPECT_SHARE), 1)
        if not mine and others and others + len(segments) > limit:
            return None
        if len(mine) < len(segments):
            mine = self._reserve(waiting, len(segments), now_ms)
        if len(mine) < len(segments) or any(entry.running for entry in mine):
            return None
        needs = [_need(waiting, segment) for segment in segments]
        for target in mine:
            target.drain(now_ms)
        return _placement(mine[: len(needs)], needs)

    def _reserve(
        self, waiting: grants.Waiting, count: int, now_ms: int
    ) -> list[targetstate.TargetState]:
        request_id = waiting.request.request_id
        free = [
            target
            for target in self.usable(now_ms)
            if target.reserved_for in {'', request_id}
            and target.name not in waiting.excluded
        ]
        chosen = sorted(free, key=_soonest_alone)[:count]
        for target in chosen:
            target.reserved_for = request_id
        return chosen


def _soonest_alone(
    target: targetstate.TargetState,
) -> tuple[bool, int, str]:
    return not target.reserved_for, target.running, target.name


def _need(waiting: grants.Waiting, segment: groups.Segment) -> targetstate.Need:
    return targetstate.Need(
        length_class=waiting.length_class,
        priority=waiting.engine_priority,
        prompt_tokens=segment.prompt_tokens,
        memory_tokens=segment.memory_tokens,
        prefix_hashes=waiting.request.prefix_hashes,
    )


def _placement(
    targets: Iterable[targetstate.TargetState],
    needs: Iterable[targetstate.Need],
) -> Placement:
    assignments = tuple(
        Assignment(target, need)
        for target, need in zip(targets, needs, strict=True)
    )
    predicted = max(
        entry.target.predicted_ttft_ms(entry.need) for entry in assignments
    )
    return Placement(assignments, predicted)
