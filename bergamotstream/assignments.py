"""
Assignments
~~~~~~~~~~~

The targets of an attempt, what the request requires of each, and the time to
first token that is predicted from it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bergamotstream import grants, occupancy, targetgroups, targetstate


class Assignment(NamedTuple):
    """A target with what the request requires of it."""

    target: targetstate.TargetState
    requirement: occupancy.Requirement


class Placement(NamedTuple):
    """Targets of one attempt; the last produces the output."""

    assignments: tuple[Assignment, ...]
    predicted_ttft_ms: float


def requirement_of(
    waiting: grants.WaitingRequest, prompt_part: targetgroups.PromptPart
) -> occupancy.Requirement:
    """Return what a request requires of the target of a prompt part."""
    return occupancy.Requirement(
        length_class=waiting.length_class,
        priority=waiting.engine_priority,
        prompt_tokens=prompt_part.prompt_tokens,
        memory_tokens=prompt_part.memory_tokens,
        prefix_hashes=waiting.request.prefix_hashes,
    )


def placement_of(
    targets: Sequence[targetstate.TargetState],
    requirements: Sequence[occupancy.Requirement],
) -> Placement:
    """Return the assignments and the predicted time to first token.

    Each target of a group begins its part of the prompt when the one before
    it has exported its own.
    """
    last = len(targets) - 1
    delay_ms = float(0)
    chosen = []
    for index, target in enumerate(targets):
        requirement = requirements[index]._replace(
            delay_ms=int(delay_ms), exported=index < last
        )
        chosen.append(Assignment(target, requirement))
        delay_ms += target.predicted_ttft_ms(requirements[index])
    return Placement(tuple(chosen), delay_ms)
