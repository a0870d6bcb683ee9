"""
Placement
~~~~~~~~~

Chooses the target of a request, and for a long prompt the helpers that
prefill parts of it.

Engines prefill parts of split prompts before whole prompts, the newest part
first, so each new part delays the pending prefills of its target. That delay
is part of the cost of a placement.

A short answer is late when a single gap between its events exceeds its goal,
and a long prompt that one target prefills alone causes such a gap for all
answers that the target decodes. Short requests are therefore packed on few
targets, which keeps other targets free of answers at risk, and a long prompt
is split over targets where its parts make no answer late. No target is
dedicated to one kind of prompt, so the division follows the load.
"""

import operator
from collections.abc import Sequence
from typing import Final, NamedTuple

from bergamotstream.forwarding import (
    commitments,
    enginetiming,
    fleetrecords,
)

# Share of an answer's value that is lost when it is late; the users' sheets of
# both sites give a late answer a quarter of its value.
LATE_LOSS: Final = 0.75
# Further share that is lost when the caller times out: the value of a late
# answer, and as much again for the wasted prefill.
CALLER_TIMEOUT_LOSS: Final = 0.5
# Forecasts are compared with this share of a goal, since passes vary in length
# and the network adds its delay.
GOAL_MARGIN: Final = 0.75
PAUSE_MARGIN: Final = 0.85
# Round trip to a target in another availability zone, with a new connection.
NETWORK_RTT_MS: Final = 15.0
# On average half of a pass remains when a request arrives.
REMAINING_PASS: Final = 0.5
# Preferences among targets where nothing becomes late, as shares of the value.
PACKING_GAIN: Final = 0.06
OTHER_ZONE_COST: Final = 0.005
PART_COST: Final = 0.004
FIRST_TOKEN_COST: Final = 0.065
# Hosts that place requests at the same moment may choose the same target, and
# a request without a slot waits until an answer ends. The expected loss, as a
# share of the value, by the number of slots that stay free after this request.
SLOT_COLLISION_LOSSES: Final = (0.12, 0.04)
FREE_SLOTS: Final = len(SLOT_COLLISION_LOSSES)
# Candidates whose costs differ by less than this share of the value are chosen
# at random, so that hosts spread their requests.
TIE_COST: Final = 0.012
# The prefill of a smaller part takes less than 24 ms, which is shorter than a
# pass of a helper.
MIN_PART_TOKENS: Final = 6_144
# Share of a target's memory that placements may use.
MEMORY_SHARE: Final = 0.93
# No request is refused for its cost to others while a smaller share of the
# slots is occupied and the targets have less pending prefill on average.
BUSY_SHARE: Final = 0.5
BUSY_PREFILL_MS: Final = 100.0
# A longer part makes the first token of an urgent request late.
LONG_PART_MS: Final = 120.0
# Total prefill from which the occupancy of targets has a cost; the parts of
# shorter prompts are done before the next prompts arrive.
LONG_PREFILL_MS: Final = 1_000.0
# Value of a millisecond of prefill when engines are scarce. A prompt of 210,000
# tokens, the mean of the users' long prompts, yields 0.005 per millisecond.
PREFILL_VALUE_PER_MS: Final = 0.003
# Engines are scarce when their mean pending prefill is this long.
SCARCE_PREFILL_MS: Final = 1_000.0
# The number of urgent streams varies, so room is kept for this multiple of the
# present number.
STREAM_MARGIN: Final = 1.3
# When memory is short, the request of another caller is preempted and needs a
# second prefill.
PREEMPTION_COST: Final = 0.5
PART_COUNTS: Final = (1, 2, 3, 4, 6, 8, 12, 16)


class Generation(NamedTuple):
    """Size, latency goals and value of one generation request."""

    prompt_tokens: int
    answer_tokens: int
    goal_ms: int
    pause_goal_ms: int
    # Time until the caller's deadline or the route's timeout.
    remaining_ms: int
    value: float


class Candidate(NamedTuple):
    """A usable target with its load and its estimated health."""

    entry: fleetrecords.TargetEntry
    load: commitments.TargetLoad
    # 1 for a target as fast as its profile, 2 for one half as fast.
    slowness: float
    # Probability that a request fails on the target.
    failure_rate: float
    same_zone: bool
    # Whether it may read parts of prompts; a target with a limit may not.
    may_help: bool
    # Random number from 0 to 1 that breaks ties between equal candidates.
    tie_breaker: float


class PromptPart(NamedTuple):
    """The share of a prompt that one target prefills."""

    entry: fleetrecords.TargetEntry
    prefill_ms: float
    # Memory that the request occupies on the target.
    held_tokens: int


class Placement(NamedTuple):
    """Where a request runs; the first part's target decodes the answer."""

    parts: tuple[PromptPart, ...]
    first_token_ms: float
    # Expected loss of value, including preferences among equal placements.
    cost: float
    # Value that the request is expected to yield, and value that other
    # requests are expected to lose.
    expected_value: float
    loss_to_others: float


class _Option(NamedTuple):
    """One candidate for one part."""

    # Total expected loss, by which candidates are compared.
    cost: float
    # The loss without late first tokens of this request and of others.
    own_cost: float
    # Loss of the streams that the target decodes.
    decode_loss: float
    # Loss of the requests with pending prefills, by the request's hash.
    delay_by_request: dict[int, float]
    first_token_ms: float
    candidate: Candidate


def choose_least_loaded(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the least loaded target of a service without engines."""
    return min(candidates, key=_least_loaded_key, default=None)


def _least_loaded_key(candidate: Candidate) -> tuple[float, bool, float]:
    busy = candidate.load.requests / candidate.entry.slots
    expected = (busy + 1) * candidate.slowness
    return (
        expected + candidate.failure_rate * 2,
        not candidate.same_zone,
        candidate.tie_breaker,
    )


def is_busy(candidates: Sequence[Candidate]) -> bool:
    """Tell whether many slots are occupied or much prefill is pending."""
    slots = sum(candidate.entry.slots for candidate in candidates)
    requests = sum(candidate.load.requests for candidate in candidates)
    enough_prefill_ms = BUSY_PREFILL_MS * len(candidates)
    return (
        requests >= slots * BUSY_SHARE
        or _pending_prefill_ms(candidates) >= enough_prefill_ms
    )


def _pending_prefill_ms(candidates: Sequence[Candidate]) -> float:
    return sum(candidate.load.prefill_ms for candidate in candidates)


def choose_placement(
    profile: fleetrecords.EngineProfile,
    generation: Generation,
    candidates: Sequence[Candidate],
) -> Placement | None:
    """Return the placement with the smallest expected loss of value.

    ``None`` if no placement reaches the first token in the remaining time.
    """
    placements = []
    for count in PART_COUNTS:
        if count > 1 and generation.prompt_tokens < count * MIN_PART_TOKENS:
            break
        proposal = _place(profile, generation, candidates, count)
        if (
            proposal is not None
            and proposal.first_token_ms < generation.remaining_ms
        ):
            placements.append(proposal)
    return min(placements, key=operator.attrgetter('cost'), default=None)


def _place(
    profile: fleetrecords.EngineProfile,
    generation: Generation,
    candidates: Sequence[Candidate],
    count: int,
) -> Placement | None:
    if len(candidates) < count:
        return None
    if count == 1 and generation.prompt_tokens > profile.memory_tokens:
        return None
    part_ms = enginetiming.prefill_ms(profile, generation.prompt_tokens) / count
    is_part = count > 1
    decode_option = min(
        (
            _option(
                profile,
                generation,
                candidate,
                part_ms,
                decodes=True,
                is_part=is_part,
            )
            for candidate in candidates
        ),
        key=operator.attrgetter('cost'),
    )
    helpers = sorted(
        (
            _option(
                profile,
                generation,
                candidate,
                part_ms,
                decodes=False,
                is_part=True,
            )
            for candidate in candidates
            if candidate is not decode_option.candidate
            and candidate.may_help
            and candidate.load.helpers < profile.slots
        ),
        key=operator.attrgetter('cost'),
    )[: count - 1]
    if len(helpers) < count - 1:
        return None
    held_by_id = _held_tokens(profile, generation, (decode_option, *helpers))
    if held_by_id is None:
        return None
    # Helpers that hold memory come first.
    helpers.sort(
        key=lambda option: -held_by_id[option.candidate.entry.target_id]
    )
    options = (decode_option, *helpers)
    first_token_ms = max(option.first_token_ms for option in options)
    decode_loss = sum(option.decode_loss for option in options)
    others_loss = _delay_loss(options)
    if part_ms * count > LONG_PREFILL_MS:
        others_loss += _occupancy_loss(candidates, part_ms * count)
    if part_ms > LONG_PART_MS:
        others_loss += _future_loss(profile, candidates, options, part_ms)
    return Placement(
        tuple(
            PromptPart(
                option.candidate.entry,
                part_ms,
                held_by_id[option.candidate.entry.target_id],
            )
            for option in options
        ),
        first_token_ms,
        sum(option.own_cost for option in options)
        + others_loss
        + _lateness_cost(generation, first_token_ms)
        + generation.value * PART_COST * count,
        generation.value
        * (
            1
            - LATE_LOSS * _late_probability(first_token_ms, generation.goal_ms)
        ),
        decode_loss + others_loss,
    )


def _delay_loss(options: Sequence[_Option]) -> float:
    """Return the loss of the requests whose prefill the parts delay.

    A request that several of the targets prefill counts as late only once.
    """
    delay_by_request: dict[int, float] = {}
    for option in options:
        for request, loss in option.delay_by_request.items():
            known = delay_by_request.get(request, 0)
            delay_by_request[request] = max(known, loss)
    return sum(delay_by_request.values())


def _occupancy_loss(
    candidates: Sequence[Candidate], prefill_ms: float
) -> float:
    """Return what later prompts lose while engines prefill this one.

    In a burst of long prompts, one of a million tokens occupies 50 s of engine
    time. Ten usual long prompts fit into that time and are worth more together.
    """
    scarcity = (
        _pending_prefill_ms(candidates) / len(candidates) / SCARCE_PREFILL_MS
    )
    return prefill_ms * PREFILL_VALUE_PER_MS * min(scarcity, 1)


def _future_loss(
    profile: fleetrecords.EngineProfile,
    candidates: Sequence[Candidate],
    chosen: Sequence[_Option],
    part_ms: float,
) -> float:
    """Return the value of later answers that find no target in time.

    Urgent requests are assumed to arrive at the present rate during the
    prefill of the parts. They can use the targets that are free of long
    prefills; if these have too few slots for the present number of streams,
    some of the arriving requests are late.
    """
    urgent_values = [
        answer.value
        for candidate in candidates
        for answer in candidate.load.answers
        if 0 < answer.pause_goal_ms < part_ms
    ]
    if not urgent_values:
        return 0
    chosen_ids = {option.candidate.entry.target_id for option in chosen}
    open_slots = sum(
        profile.slots - FREE_SLOTS
        for candidate in candidates
        if candidate.entry.target_id not in chosen_ids
        and candidate.load.prefill_ms < LONG_PART_MS
    )
    shortfall = max(1 - open_slots / (len(urgent_values) * STREAM_MARGIN), 0)
    stream_ms = enginetiming.decode_ms(
        profile,
        profile.usual_answer_tokens,
        profile.slots,
        profile.slots * profile.usual_prompt_tokens,
    )
    return LATE_LOSS * shortfall * sum(urgent_values) * part_ms / stream_ms


def _held_tokens(
    profile: fleetrecords.EngineProfile,
    generation: Generation,
    options: Sequence[_Option],
) -> dict[str, int] | None:
    """Return the tokens that each target holds; ``None`` if they do not fit.

    The decoding target holds as many as fit, the helpers hold the rest.
    """
    remaining_tokens = generation.prompt_tokens + generation.answer_tokens
    held_by_id = {}
    for option in options:
        capacity = int(profile.memory_tokens * MEMORY_SHARE)
        free = max(capacity - option.candidate.load.memory_tokens, 0)
        held_by_id[option.candidate.entry.target_id] = min(
            free, remaining_tokens
        )
        remaining_tokens -= held_by_id[option.candidate.entry.target_id]
    if remaining_tokens > 0 and len(options) > 1:
        return None
    held_by_id[options[0].candidate.entry.target_id] += remaining_tokens
    return held_by_id


def _option(
    profile: fleetrecords.EngineProfile,
    generation: Generation,
    candidate: Candidate,
    part_ms: float,
    *,
    decodes: bool,
    is_part: bool,
) -> _Option:
    load = candidate.load
    part_ms *= candidate.slowness
    pass_ms = candidate.slowness * enginetiming.decode_pass_ms(
        profile, load.decoding_requests, load.context_tokens
    )
    # The engine prefills a new part before the pending ones, but later parts
    # are expected to delay this one by as much.
    queue_ms = load.prefill_ms * candidate.slowness
    first_token_ms = (
        NETWORK_RTT_MS + pass_ms * REMAINING_PASS + queue_ms + part_ms + pass_ms
    )
    decode_loss = _gap_loss(load, pass_ms + queue_ms, part_ms)
    own_cost = decode_loss + generation.value * (
        candidate.failure_rate + TIE_COST * candidate.tie_breaker
    )
    if not candidate.same_zone:
        own_cost += generation.value * OTHER_ZONE_COST
    if decodes:
        first_token_ms += _slot_wait_ms(profile, load, pass_ms)
        own_cost += _decode_cost(profile, generation, load)
    delay_by_request = _prefill_delay_losses(load, part_ms) if is_part else {}
    return _Option(
        own_cost
        + sum(delay_by_request.values())
        + _lateness_cost(generation, first_token_ms),
        own_cost,
        decode_loss,
        delay_by_request,
        first_token_ms,
        candidate,
    )


def _prefill_delay_losses(
    load: commitments.TargetLoad, part_ms: float
) -> dict[int, float]:
    """Return what each request with a pending prefill loses by a new part.

    In bursts of long prompts, parts on shared helpers delay each other until
    all of the prompts are late.
    """
    loss_by_request = {}
    for prefill in load.pending_prefills:
        done_ms = prefill.age_ms + prefill.finish_ms
        before = _expected_loss(prefill, done_ms)
        after = _expected_loss(prefill, done_ms + part_ms)
        loss_by_request[prefill.request_hash] = prefill.value * (after - before)
    return loss_by_request


def _expected_loss(
    prefill: commitments.PendingPrefill, done_ms: float
) -> float:
    """Return the lost share of the value if a prefill ends at ``done_ms``."""
    late = _late_probability(done_ms, prefill.goal_ms)
    timed_out = _late_probability(done_ms, prefill.caller_timeout_ms)
    return LATE_LOSS * late + CALLER_TIMEOUT_LOSS * timed_out


def _gap_loss(
    load: commitments.TargetLoad, before_ms: float, part_ms: float
) -> float:
    """Return the value that answers lose by a gap ``part_ms`` longer."""
    after_ms = before_ms + part_ms
    loss = float(0)
    for answer in load.answers:
        if before_ms <= answer.pause_goal_ms * PAUSE_MARGIN < after_ms:
            loss += LATE_LOSS * answer.value
        if before_ms <= answer.caller_timeout_ms * PAUSE_MARGIN < after_ms:
            loss += CALLER_TIMEOUT_LOSS * answer.value
    return loss


def _slot_wait_ms(
    profile: fleetrecords.EngineProfile,
    load: commitments.TargetLoad,
    pass_ms: float,
) -> float:
    """Return the expected wait for a slot; 0 if one is free."""
    ahead = load.requests - profile.slots + 1
    if ahead <= 0:
        return 0
    passes = profile.usual_answer_tokens / profile.steps_in_pass
    return ahead * passes * pass_ms / profile.slots


def _decode_cost(
    profile: fleetrecords.EngineProfile,
    generation: Generation,
    load: commitments.TargetLoad,
) -> float:
    cost = float(0)
    tokens = generation.prompt_tokens + generation.answer_tokens
    if load.memory_tokens + tokens > profile.memory_tokens * MEMORY_SHARE:
        cost += generation.value * PREEMPTION_COST
    packed = min(load.requests, profile.slots - FREE_SLOTS) / profile.slots
    free_slots = max(profile.slots - load.requests - 1, 0)
    risk = SLOT_COLLISION_LOSSES[free_slots] if free_slots < FREE_SLOTS else 0
    return cost + generation.value * (risk - PACKING_GAIN * packed)


def _lateness_cost(generation: Generation, first_token_ms: float) -> float:
    """Return the expected loss for a first token after ``first_token_ms``."""
    preference = FIRST_TOKEN_COST * first_token_ms / generation.goal_ms
    return generation.value * (
        LATE_LOSS * _late_probability(first_token_ms, generation.goal_ms)
        + preference
    )


def _late_probability(first_token_ms: float, goal_ms: int) -> float:
    """Return the probability that the first token is late."""
    if goal_ms <= 0:
        return 1
    ratio = first_token_ms / (goal_ms * GOAL_MARGIN)
    return min(max((ratio - 1) / (1 / GOAL_MARGIN - GOAL_MARGIN), 0), 1)
