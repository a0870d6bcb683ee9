"""
Engine model
~~~~~~~~~~~~

Times of a model engine as its profile states them. An engine works in passes:
with requests that are being written a pass takes a fixed number of token
steps, and prompts are read in pieces between these steps.
"""

from typing import Final

from bergamotstream.forwarding import fleetrecords

TOKENS_IN_THOUSAND: Final = 1_000
PAIRS_IN_MILLION: Final = 1_000_000
# A prompt of n tokens has about n * n / 2 pairs of a token and an earlier one.
PAIRS_PER_SQUARE: Final = 0.5


def read_ms(profile: fleetrecords.EngineProfile, tokens: int) -> float:
    """Return the milliseconds that one engine needs to read a prompt."""
    pairs = tokens * tokens * PAIRS_PER_SQUARE / PAIRS_IN_MILLION
    return (
        tokens / profile.read_tokens_per_ms
        + pairs * profile.read_ms_per_million_pairs
    )


def write_pass_ms(
    profile: fleetrecords.EngineProfile, writers: int, context_tokens: int
) -> float:
    """Return the milliseconds of a pass in which nothing is read."""
    if not writers:
        return 0
    step = (
        profile.step_ms
        + writers * profile.step_ms_per_writer
        + context_tokens
        / TOKENS_IN_THOUSAND
        * profile.step_ms_per_thousand_context
    )
    return step * profile.steps_in_pass


def write_ms(
    profile: fleetrecords.EngineProfile,
    answer_tokens: int,
    writers: int,
    context_tokens: int,
) -> float:
    """Return the milliseconds from the first token to the last one."""
    passes = answer_tokens / profile.steps_in_pass
    return passes * write_pass_ms(profile, max(writers, 1), context_tokens)
