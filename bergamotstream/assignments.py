"""
Assignments
~~~~~~~~~~~

What the targets of an attempt are given, and the time to first token that is
predicted from it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bergamotstream import grants, groups, occupancy, targetstate


class Assignment(NamedTuple):
    """A target with what the request needs from it."""

    target: targetstate.TargetState
    need: occupancy.Need


class Placement(NamedTuple):
    """Targets of one attempt; the first produces the output."""

    assignments: tuple[Assignment, ...]
    predicted_ttft_ms: float


def need_of(waiting: grants.Waiting, segment: groups.Segment) -> occupancy.Need:
    """Return what a request needs from the target of a segment."""
    return occupancy.Need(
        length_class=waiting.length_class,
        priority=waiting.engine_priority,
        prompt_tokens=segment.prompt_tokens,
        memory_tokens=segment.memory_tokens,
        prefix_hashes=waiting.request.prefix_hashes,
    )


def placement_of(
    targets: Sequence[targetstate.TargetState],
    needs: Sequence[occupancy.Need],
) -> Placement:
    """Return the assignments and the predicted time to first token.

    The first target of a group begins its part of the prompt when the others
    have exported theirs.
    """
    first, *others = needs
    exported = [need._replace(exported=True) for need in others]
    delay_ms = max(
        (
            target.predicted_ttft_ms(need)
            for target, need in zip(targets[1:], exported, strict=True)
        ),
        default=0,
    )
    delayed = first._replace(delay_ms=int(delay_ms))
    assignments = tuple(
        Assignment(target, need)
        for target, need in zip(targets, (delayed, *exported), strict=True)
    )
    own_ms = targets[0].predicted_ttft_ms(first)
    return Placement(assignments, delay_ms + own_ms)
