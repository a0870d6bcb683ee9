"""
Request times
~~~~~~~~~~~~~

Times that follow from a request, its route and its service: when its caller
disconnects, how long its answer takes and whether its first token is late.
"""

from typing import Final

from bergamotstream.forwarding import (
    enginetiming,
    exchangerecords,
    fleetrecords,
)

# Factor by which prefill between token steps lengthens a full target's passes.
PREFILL_ALLOWANCE: Final = 1.5
# Callers disconnect after a gap as long as the longest of these. Source: the
# platform's protocol for requests.
MIN_CALLER_TIMEOUT_MS: Final = 2_000
CALLER_TIMEOUT_GOALS: Final = 4
CALLER_TIMEOUT_PAUSES: Final = 8
# Share of the hinted length that is assumed for short answers: the hint is
# right at the median only.
HINT_TOLERANCE: Final = 0.5


def caller_timeout_ms(route: fleetrecords.Route) -> int:
    """Return the gap in a stream after which callers disconnect."""
    return max(
        MIN_CALLER_TIMEOUT_MS,
        route.goal_ms * CALLER_TIMEOUT_GOALS,
        route.pause_goal_ms * CALLER_TIMEOUT_PAUSES,
    )


def caller_timeout_end_ms(job: exchangerecords.Job) -> int:
    """Return when the caller times out without a first token."""
    return min(job.end_ms, job.arrived_ms + caller_timeout_ms(job.route))


def is_forecast_late(
    job: exchangerecords.Job, assignment: exchangerecords.Assignment
) -> bool:
    """Tell whether the first token is expected after the request's goal."""
    if job.generation is None:
        return False
    waited_ms = assignment.placed_ms - job.arrived_ms
    return waited_ms + assignment.forecast_ms > job.route.goal_ms


def usual_pause_ms(service: fleetrecords.Service) -> float:
    """Return the longest usual gap between events of a full target."""
    engine = service.engine
    if engine is None:
        return 0
    context_tokens = engine.slots * (
        engine.usual_prompt_tokens + engine.usual_answer_tokens
    )
    pass_ms = enginetiming.decode_pass_ms(engine, engine.slots, context_tokens)
    return pass_ms * PREFILL_ALLOWANCE


def shortest_decode_ms(job: exchangerecords.Job) -> float:
    """Return the shortest expected decode time of the answer."""
    if job.generation is None or job.service.engine is None:
        return 0
    tokens = int(job.generation.answer_tokens * HINT_TOLERANCE)
    return enginetiming.decode_ms(
        job.service.engine, tokens, 1, job.generation.prompt_tokens
    )


def longest_answer_ms(job: exchangerecords.Job) -> float:
    """Return the time of the longest permitted answer on a full target."""
    if job.generation is None or job.service.engine is None:
        return job.route.timeout_ms
    events = job.request.max_answer_tokens / job.service.engine.steps_in_pass
    return job.route.goal_ms + events * usual_pause_ms(job.service)
