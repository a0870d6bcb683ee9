"""Engine timing compared with the stand-in that simulates engine passes."""

import pytest

from bergamotstream.forwarding import enginetiming
from standins import enginepasses
from tests import platformkit as kit

PROFILE = kit.engine_profile()


def work(attempt_id, prompt, parts=1, answer=460, priority=3):
    return enginepasses.Work(attempt_id, prompt, answer, parts, True, priority)


def run(engine, until_ms, now_ms=0):
    """Run passes; return when each notice first came, by attempt and kind."""
    seen = {}
    while now_ms < until_ms:
        duration_ms = engine.begin_pass(round(now_ms))
        if not duration_ms:
            break
        now_ms += duration_ms
        for notice in engine.end_pass():
            seen.setdefault((notice.attempt_id, notice.kind), now_ms)
            if notice.kind == 'part_read':
                engine.start_writing(notice.attempt_id)
    return seen


def test_newest_part_is_prefilled_first():
    """Guards against forecasts that queue new parts behind older ones.

    In trouble-1 on parana-mazas, request c376316fe96cdc60 waited 8.3 s longer
    than forecast for a helper that prefilled parts of later prompts first.
    """
    older = enginetiming.Prefill(0, 1_000, is_part=True)
    newer = enginetiming.Prefill(400, 700, is_part=True)
    whole = enginetiming.Prefill(0, 300, is_part=False)
    reads = [whole, older, newer]
    assert enginetiming.prefill_order(reads, range(3)) == [2, 1, 0]
    assert enginetiming.remaining_prefill_ms(reads, 900) == [300, 600, 200]
    assert enginetiming.remaining_prefill_ms(reads, 1_300) == [300, 400, 0]
    assert enginetiming.remaining_prefill_ms(reads, 9_000) == [0, 0, 0]
    assert enginetiming.remaining_prefill_ms([], 10) == []


def test_stand_in_prefills_in_the_order_of_the_forecast():
    """Guards against a stand-in whose order differs from the forecast."""
    engine = enginepasses.EnginePasses(PROFILE)
    engine.submit(work('whole', 60_000), 0)
    engine.submit(work('older', 120_000, parts=2), 0)
    now_ms = engine.begin_pass(0)
    engine.end_pass()
    engine.submit(work('newer', 120_000, parts=2), round(now_ms))
    seen = run(engine, 5_000, now_ms)
    order = sorted(
        (at_ms, attempt)
        for (attempt, kind), at_ms in seen.items()
        if kind == 'part_read'
    )
    assert [attempt for _, attempt in order] == ['newer', 'older', 'whole']


@pytest.mark.parametrize('prompt', [2_000, 40_000, 200_000])
def test_first_event_comes_when_forecast(prompt):
    """Guards against a time-to-first-token forecast that is off by more than
    a pass."""
    engine = enginepasses.EnginePasses(PROFILE)
    engine.submit(work('a', prompt), 0)
    seen = run(engine, 10_000)
    pass_ms = enginetiming.decode_pass_ms(PROFILE, 1, prompt)
    forecast_ms = enginetiming.prefill_ms(PROFILE, prompt) + pass_ms
    assert abs(seen['a', 'event'] - forecast_ms) <= pass_ms


def test_memory_keeps_requests_waiting():
    """Guards against a stand-in that admits more than an engine's memory."""
    engine = enginepasses.EnginePasses(PROFILE)
    engine.submit(work('first', 300_000), 0)
    engine.submit(work('second', 300_000), 0)
    engine.begin_pass(0)
    assert list(engine.running_by_attempt) == ['first']
