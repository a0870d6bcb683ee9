"""
Target groups
~~~~~~~~~~~~~

Placement of long prompts. A prompt that exceeds one target's memory gets a
group of targets; memory is reserved on all of them or on none, in one step of
the one owner, so two groups cannot wait for each other.
"""

import itertools
from collections.abc import Sequence
from typing import NamedTuple

from bergamotstream import latencymodel, records, targetstate

# Other requests finish within about this time once no new ones are granted.
MAX_CLEARING_MS = 5_000


class PromptPart(NamedTuple):
    """A part of a split prompt, on one target of a group."""

    prompt_tokens: int
    memory_tokens: int


def split_prompt(
    request: records.RequestSpec, target_memory: int
) -> tuple[PromptPart, ...]:
    """Split a prompt over as few targets as possible.

    Each target has room for the output as well, because the last target of
    the group produces it. Returns () if the output alone is too long.
    """
    room = target_memory - request.max_output_tokens
    if room <= 0:
        return ()
    count = max(-(-request.prompt_tokens // room), 1)
    share = -(-request.prompt_tokens // count)
    rest = request.prompt_tokens - share * (count - 1)
    last = PromptPart(rest, rest + request.max_output_tokens)
    return (*itertools.repeat(PromptPart(share, share), count - 1), last)


def prompt_parts_of(
    targets: Sequence[records.GrantedTarget], request: records.RequestSpec
) -> tuple[PromptPart, ...]:
    """Return the prompt parts of a grant that another owner issued."""
    *others, last = (entry.tokens for entry in targets)
    return (
        *(PromptPart(tokens, tokens) for tokens in others),
        PromptPart(last, last + request.max_output_tokens),
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


def choose_reserved(
    targets: Sequence[targetstate.TargetState], count: int
) -> frozenset[str]:
    """Return the names of targets to reserve for a waiting group.

    Without this, smaller requests would always use the freed memory first. No
    target is reserved while other long prompts would delay the group anyway.
    """
    clearing_soon = [
        target
        for target in targets
        if _long_prefill_ms(target) <= MAX_CLEARING_MS
    ]
    if len(clearing_soon) < count:
        return frozenset()
    ordered = sorted(clearing_soon, key=_clearing_order)
    return frozenset(target.name for target in ordered[:count])


def _expected_load(target: targetstate.TargetState) -> tuple[int, int, str]:
    backlog = target.prefills.backlog_before(
        latencymodel.LOWEST_PRIORITY
    ).tokens
    return (
        int(backlog // latencymodel.CHUNK_TOKENS),
        target.running,
        target.name,
    )


def _long_prefill_ms(target: targetstate.TargetState) -> float:
    long_tokens, _ = target.prefills.tokens_by_length()
    return target.speeds.prefill_ms(long_tokens)


def _clearing_order(
    target: targetstate.TargetState,
) -> tuple[bool, int, float, str]:
    backlog = target.prefills.backlog_before(
        latencymodel.LOWEST_PRIORITY
    ).tokens
    cold = target.cold_start.cold
    return cold, target.occupancy.memory_used, backlog, target.name
