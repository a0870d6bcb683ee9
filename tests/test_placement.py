"""Placement, admission and retry decisions of the scheduler."""

import random

import pytest

from bergamotstream import errors
from bergamotstream.forwarding import commitments, placement, scheduler
from tests import platformkit as kit

PROFILE = kit.engine_profile()


def make_candidate(number, **load):
    """Return an idle target, or one with the given load."""
    entry = kit.documents.decode_target_entry(
        f't{number}', kit.target_document(f'10.0.0.{number + 1}:80')
    )
    return placement.Candidate(
        entry, commitments.IDLE._replace(**load), 1, 0, True, True, 0.5
    )


def busy(number, streams, **load):
    """Return a target that decodes short answers with a gap goal."""
    given = {
        'requests': streams,
        'decoding_requests': streams,
        'context_tokens': streams * 6_000,
        'memory_tokens': streams * 6_000,
        'answers': (commitments.ActiveAnswer(200, 2_000, 1.3),) * streams,
    }
    return make_candidate(number, **(given | load))


def make_generation(
    prompt=5_000, answer=1_600, goal=300, pause=200, left=10_000
):
    value = (prompt + 10 * answer) / 16_000
    return placement.Generation(prompt, answer, goal, pause, left, value)


LONG = make_generation(prompt=210_000, goal=3_000, pause=800)


def targets_of(placed):
    return [part.entry.target_id for part in placed.parts]


def test_short_streams_are_packed():
    """Guards against spreading short answers over all targets, which leaves
    none for long prompts."""
    fleet = [busy(0, 4), make_candidate(1), make_candidate(2)]
    placed = placement.choose_placement(PROFILE, make_generation(), fleet)
    assert targets_of(placed) == ['t0']


def test_packing_leaves_the_last_slots():
    """Guards against a ninth request on eight slots when hosts choose the
    same target at once."""
    fleet = [busy(0, 6), make_candidate(1)]
    placed = placement.choose_placement(PROFILE, make_generation(), fleet)
    assert targets_of(placed) == ['t1']


def test_long_prompt_goes_where_no_answer_is_at_risk():
    """Guards against a long prefill that makes short answers late."""
    fleet = [busy(number, 3) for number in range(8)]
    fleet += [make_candidate(number) for number in range(8, 16)]
    placed = placement.choose_placement(PROFILE, LONG, fleet)
    assert not set(targets_of(placed)) & {f't{n}' for n in range(8)}
    assert placed.first_token_ms < 3_000


def test_long_prompt_is_split_when_one_target_would_be_late():
    """Guards against a late first token while targets are idle."""
    prompt = make_generation(prompt=400_000, goal=3_000, pause=800)
    fleet = [make_candidate(number) for number in range(16)]
    placed = placement.choose_placement(PROFILE, prompt, fleet)
    assert len(placed.parts) >= 4
    assert placed.first_token_ms < 3_000


def test_medium_prompt_beside_short_streams_makes_no_pause():
    """Guards against a part that stretches a pass beyond the gap goal."""
    fleet = [busy(number, 3) for number in range(16)]
    medium = make_generation(prompt=45_000, goal=1_500, pause=500)
    placed = placement.choose_placement(PROFILE, medium, fleet)
    decode_pass_ms = 50
    for part in placed.parts:
        assert decode_pass_ms + part.prefill_ms < 200


def test_prompt_beyond_one_memory_is_held_by_several():
    """Guards against refusing prompts up to a million tokens."""
    prompt = make_generation(
        prompt=1_000_000, answer=800, goal=3_000, left=15_000
    )
    fleet = [make_candidate(number) for number in range(16)]
    placed = placement.choose_placement(PROFILE, prompt, fleet)
    held = [part.held_tokens for part in placed.parts]
    assert sum(held) == 1_000_800
    assert max(held) <= 450_000
    assert [tokens for tokens in held if tokens] == held[:3]


def test_prompt_beyond_all_memory_is_not_placed():
    """Guards against sending a prompt that the targets cannot hold."""
    prompt = make_generation(prompt=1_000_000, left=60_000)
    fleet = [make_candidate(number) for number in range(2)]
    assert placement.choose_placement(PROFILE, prompt, fleet) is None


def test_failing_and_slow_targets_are_avoided():
    """Guards against using a failing target whose health check succeeds."""
    good = make_candidate(2)
    failing = make_candidate(0)._replace(failure_rate=0.4)
    slow = make_candidate(1)._replace(slowness=8)
    placed = placement.choose_placement(
        PROFILE, make_generation(), [failing, slow, good]
    )
    assert targets_of(placed) == ['t2']
    assert placement.choose_least_loaded([failing, slow, good]) is good


def test_burst_of_short_requests_keeps_all_first_tokens():
    """Replays 44 short requests a second over six hosts' shared view."""
    core = kit.make_scheduler(targets=16)
    rng = random.Random(3)
    live = []
    late = 0
    for now_ms in range(0, 6_000, 23):
        for ended in [entry for entry in live if entry[0] <= now_ms]:
            core.release(ended[1])
            live.remove(ended)
        job = kit.make_job(core, now_ms, prompt=rng.randint(600, 12_000))
        assignment = core.place(job, (), now_ms)
        core.start_decoding(assignment)
        live.append((now_ms + rng.randint(900, 3_000), assignment))
        late += assignment.forecast_ms > 300
    assert not late
    loads = core.table.loads(6_000).values()
    assert max(load.requests for load in loads) <= PROFILE.slots


def test_request_that_cannot_make_its_deadline_is_refused_at_once():
    """Guards against holding a request until its deadline."""
    core = kit.make_scheduler(targets=1)
    job = kit.make_job(core, prompt=400_000, path='/chat/1')
    with pytest.raises(errors.Overloaded) as refused:
        core.place(job, (), 0)
    assert refused.value.retry_after_ms > 0
    assert not core.table.loads(0)


def test_waiting_for_a_placement_ends_before_the_goal():
    """Guards against queueing a request that is late already."""
    core = kit.make_scheduler()
    job = kit.make_job(core, 1_000)
    assert core.may_wait(job, 1_100)
    assert not core.may_wait(job, 1_000 + job.route.goal_ms)


def test_prompt_that_costs_others_more_than_its_value_is_refused():
    """Replays a prompt of a million tokens among a burst of short streams."""
    core = kit.make_scheduler(targets=12)
    for _ in range(60):
        short = core.place(kit.make_job(core), (), 0)
        core.start_decoding(short)
    giant = kit.make_job(core, prompt=1_000_000)
    giant = giant._replace(end_ms=15_000)
    with pytest.raises(errors.Overloaded):
        core.place(giant, (), 0)
    idle = kit.make_scheduler(targets=16)
    job = kit.make_job(idle, prompt=1_000_000)
    goal = job.route._replace(goal_ms=3_000, pause_goal_ms=800)
    generation = job.generation._replace(goal_ms=3_000, pause_goal_ms=800)
    job = job._replace(end_ms=15_000, route=goal, generation=generation)
    assert idle.place(job, (), 0).reservations


def test_late_prompt_is_served_rather_than_refused():
    """Guards against refusing a giant prompt while targets are free.

    In trouble-3 on aviso-nevado, a prompt of a million tokens was refused
    twice by a forecast for three targets, although all targets together could
    have served it.
    """
    core = kit.make_scheduler(targets=14)
    for _ in range(6):
        core.start_decoding(core.place(kit.make_job(core), (), 0))
    giant = kit.make_job(core, prompt=1_000_040, answer=800)
    route = giant.route._replace(goal_ms=3_000, pause_goal_ms=800)
    generation = giant.generation._replace(goal_ms=3_000, pause_goal_ms=800)
    giant = giant._replace(end_ms=15_000, route=route, generation=generation)
    assert core.place(giant, (), 0).forecast_ms < 12_000


def test_answer_that_cannot_end_in_time_is_refused_at_once():
    """Guards against an answer that starts and is cut at the deadline.

    In scale-2 on aviso-nevado, a request with 560 ms until its deadline was
    placed with a forecast of 533 ms to the first token.
    """
    core = kit.make_scheduler()
    job = kit.make_job(core, answer=1_600)
    with pytest.raises(errors.Overloaded, match='finish_ms'):
        core.place(job._replace(end_ms=560), (), 0)
    core.place(job._replace(end_ms=2_000), (), 0)


def test_stopping_host_refuses_what_it_may_not_end():
    """Guards against an answer that is cut when the grace period ends.

    In mix 159338078608 on parana-mazas, a request arrived 3.6 s after SIGTERM;
    by its length hint it was expected to end in time, but it took 4.4 s.
    """
    core = kit.make_scheduler()
    job = kit.make_job(core, answer=87 * 46, Bergamotstream_Length_Hint='800')
    core.check_shutdown(job, None, 3_600, has_other_host=lambda: True)
    core.check_shutdown(
        job,
        scheduler.GracefulShutdown(0, 20_000, 20_500),
        3_600,
        has_other_host=lambda: True,
    )
    core.check_shutdown(
        job,
        scheduler.GracefulShutdown(0, 6_800, 7_300),
        2_400,
        has_other_host=lambda: False,
    )
    with pytest.raises(errors.HostLeaving):
        core.check_shutdown(
            job,
            scheduler.GracefulShutdown(0, 6_800, 7_300),
            3_600,
            has_other_host=lambda: False,
        )


def test_retry_delays_are_random():
    """Guards against refused requests that are all retried at once."""
    core = kit.make_scheduler()
    assert len({core.retry_after_ms() for _ in range(50)}) > 20


def test_stream_that_broke_late_is_placed_again():
    """Guards against cutting a stream that another target could resume.

    In scale-1 on aviso-nevado, streams that broke more than 2 s after the
    arrival of their request were refused with left_ms=-1266 and cut.
    """
    core = kit.make_scheduler()
    job = kit.make_job(core, 0)
    job = job._replace(end_ms=10_000)
    assert core.place(job, ('t0',), 4_000).target.target_id != 't0'


def test_answers_whose_callers_time_out_cost_more():
    """Guards against a part that stalls late answers until callers time out."""
    late = commitments.ActiveAnswer(0, 2_000, 1.3)
    spoiled = busy(0, 4, answers=(late,) * 4)
    giant = make_generation(prompt=440_000, goal=3_000, pause=800, left=60_000)
    alone = placement.choose_placement(PROFILE, giant, [spoiled])
    assert (
        alone.loss_to_others >= 4 * late.value * placement.CALLER_TIMEOUT_LOSS
    )


def test_target_with_a_limit_reads_no_parts_of_prompts():
    """Guards against work that the limit of a target does not count."""
    candidates = [make_candidate(number) for number in range(4)]
    limited = candidates[0]._replace(may_help=False)
    chosen = placement.choose_placement(
        PROFILE, make_generation(210_000), [limited, *candidates[1:]]
    )
    helpers = [part.entry.target_id for part in chosen.parts[1:]]
    assert helpers
    assert limited.entry.target_id not in helpers
