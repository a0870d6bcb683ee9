"""
Groups
~~~~~~

Placement of long prompts. A prompt that exceeds one target's memory gets a
group of targets; memory is reserved on all of them or on none, in one step of
the one owner, so two groups cannot wait for each other.
"""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from bergamotstream import prediction, records, targetstate

# Other requests leave within about this time once no new ones are granted.
SOON_MS = 5_000


class Segment(NamedTuple):
    """Part of a prompt on one target of a group."""

    prompt_tokens: int
    memory_tokens: int


def split_prompt(
    request: records.RequestSpec, target_memory: int, target_count: int
) -> tuple[Segment, ...]:
    """Split a prompt over as few targets as possible.

    Each target has room for the output as well, because the last target of
    the group produces it. Returns () if ``target_count`` are too few.
    """
    room = target_memory - request.max_output_tokens
    if room <= 0:
        return ()
    count = max(-(-request.prompt_tokens // room), 1)
    if count > target_count:
        return ()
    share = -(-request.prompt_tokens // count)
    rest = request.prompt_tokens - share * (count - 1)
    last = Segment(rest, rest + request.max_output_tokens)
    return (*itertools.repeat(Segment(share, share), count - 1), last)


def segments_of(
    targets: Sequence[records.GrantedTarget], request: records.RequestSpec
) -> tuple[Segment, ...]:
    """Return the segments of a grant that another owner has given."""
    *others, last = (entry.tokens for entry in targets)
    return (
        *(Segment(tokens, tokens) for tokens in others),
        Segment(last, last + request.max_output_tokens),
    )


def choose_group(
    candidates: Sequence[targetstate.TargetState], count: int
) -> tuple[targetstate.TargetState, ...]:
    """Return the ``count`` best candidates, or () if there are too few.

    The order depends only on the targets' state and name, so the same
    state always gives the same group.
    """
    if len(candidates) < count:
        return ()
    return tuple(sorted(candidates, key=_expected_load)[:count])


def choose_kept_clear(
    targets: Sequence[targetstate.TargetState], count: int
) -> frozenset[str]:
    """Return names of the targets to be kept clear for a waiting group.

    Without this, smaller requests would take freed memory for ever. Nothing
    is kept clear while other long prompts would delay the group anyway.
    """
    soon = [target for target in targets if _long_ms(target) <= SOON_MS]
    if len(soon) < count:
        return frozenset()
    ordered = sorted(soon, key=_time_until_clear)
    return frozenset(target.name for target in ordered[:count])


def _expected_load(target: targetstate.TargetState) -> tuple[float, int, str]:
    ahead = target.prefills.tokens_ahead(prediction.NO_PRIORITY)
    return ahead, target.running, target.name


def _long_ms(target: targetstate.TargetState) -> float:
    long_tokens, _ = target.prefills.tokens_by_length()
    return target.speeds.prefill_ms(long_tokens)


def _time_until_clear(
    target: targetstate.TargetState,
) -> tuple[bool, int, float, str]:
    ahead = target.prefills.tokens_ahead(prediction.NO_PRIORITY)
    cold = target.cold_start.cold
    return cold, target.occupancy.memory_used, ahead, target.name
