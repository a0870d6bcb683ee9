"""
Engine timing
~~~~~~~~~~~~~

Prefill and decode times of a model engine, computed from its profile. An
engine works in passes: while it decodes requests, a pass takes a fixed number
of token steps, and prompts are prefilled in chunks between these steps. Parts
of split prompts go first, the newest one before older ones; whole prompts
follow in the order of their arrival.
"""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from bergamotstream.forwarding import fleetrecords

TOKENS_IN_THOUSAND: Final = 1_000
PAIRS_IN_MILLION: Final = 1_000_000
# A prompt of n tokens has about n * n / 2 pairs of a token and an earlier one.
PAIRS_PER_SQUARE: Final = 0.5


class Prefill(NamedTuple):
    """Prefill work of one engine."""

    placed_ms: int
    prefill_ms: float
    # One part of a split prompt.
    is_part: bool


def remaining_prefill_ms(
    prefills: Sequence[Prefill], now_ms: int
) -> list[float]:
    """Return the time that each prefill still needs at ``now_ms``."""
    remaining_ms = [prefill.prefill_ms for prefill in prefills]
    by_age = sorted(
        range(len(prefills)), key=lambda index: prefills[index].placed_ms
    )
    ends_ms = [prefills[index].placed_ms for index in by_age[1:]] + [now_ms]
    started: list[int] = []
    for newest, end_ms in zip(by_age, ends_ms, strict=False):
        started.append(newest)
        available_ms = max(float(end_ms - prefills[newest].placed_ms), 0)
        for index in prefill_order(prefills, started):
            done_ms = min(remaining_ms[index], available_ms)
            remaining_ms[index] -= done_ms
            available_ms -= done_ms
    return remaining_ms


def prefill_order(
    prefills: Sequence[Prefill], chosen: Iterable[int]
) -> list[int]:
    """Return positions in ``prefills`` in the order of execution."""
    return sorted(chosen, key=lambda index: _prefill_key(prefills[index]))


def _prefill_key(prefill: Prefill) -> tuple[bool, int]:
    age = -prefill.placed_ms if prefill.is_part else prefill.placed_ms
    return (not prefill.is_part, age)


def prefill_ms(profile: fleetrecords.EngineProfile, tokens: int) -> float:
    """Return the prefill time of a prompt on one engine."""
    pairs = tokens * tokens * PAIRS_PER_SQUARE / PAIRS_IN_MILLION
    return (
        tokens / profile.prefill_tokens_per_ms
        + pairs * profile.prefill_ms_per_million_pairs
    )


def decode_pass_ms(
    profile: fleetrecords.EngineProfile,
    decoding_requests: int,
    context_tokens: int,
) -> float:
    """Return the duration of a pass without prefill."""
    if not decoding_requests:
        return 0
    step = (
        profile.step_ms
        + decoding_requests * profile.step_ms_per_request
        + context_tokens
        / TOKENS_IN_THOUSAND
        * profile.step_ms_per_thousand_context
    )
    return step * profile.steps_in_pass


def decode_ms(
    profile: fleetrecords.EngineProfile,
    answer_tokens: int,
    decoding_requests: int,
    context_tokens: int,
) -> float:
    """Return the time from the first token to the last one."""
    passes = answer_tokens / profile.steps_in_pass
    return passes * decode_pass_ms(
        profile, max(decoding_requests, 1), context_tokens
    )
