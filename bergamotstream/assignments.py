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
    """Targets of one attempt; the last produces the output."""

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

    Each target of a group begins its part of the prompt when the one before
    it has exported its own.
    """
    last = len(targets) - 1
    delay_ms = float(0)
    chosen = []
    for index, target in enumerate(targets):
        need = needs[index]._replace(
            delay_ms=int(delay_ms), exported=index < last
        )
        chosen.append(Assignment(target, need))
        delay_ms += target.predicted_ttft_ms(needs[index])
    return Placement(tuple(chosen), delay_ms)
