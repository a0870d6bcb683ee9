"""Replays recorded loads through hosts and engines in virtual time."""

import pathlib

import pytest

from bench import placementload, placements, placementworld

LOADS = pathlib.Path(__file__).parent.parent / 'bench' / 'loads'
# The users' target for the mean value of a day on parana-mazas, as a share.
MIN_WORTH = 0.65


def play(name, policy='shared', seeds=(1, 2, 3)):
    """Replay a recorded load and return the result."""
    load = placementload.read(LOADS / f'{name}.csv')
    played = [
        placements.POLICIES[policy](
            placementworld.Fleet(
                placements.SERVICE, targets=16, hosts=6, seed=seed
            )
        ).play(load)
        for seed in seeds
    ]
    return placements.result_row(name, policy, played)


@pytest.mark.parametrize('name', ['long-prompts-1', 'long-prompts-2'])
def test_long_prompts_do_not_delay_each_other(name):
    """Guards against parts that delay pending prefills of helpers.

    The loads are two days on parana-mazas with 2.7 times the usual number of
    long prompts and without faults. When forecasts queued a new part behind
    older ones, the worst windows reached 0.53 and 0.52 of their full value.
    """
    result = play(name)
    assert result.worth >= MIN_WORTH
    assert result.worst_windows >= MIN_WORTH


def test_hosts_that_share_placements_serve_more():
    """Guards against placements that ignore the work of other hosts."""
    alone = play('long-prompts-1', 'alone', seeds=(1,))
    shared = play('long-prompts-1', seeds=(1,))
    assert shared.worth > alone.worth + 0.1


def test_load_is_extracted_from_a_log():
    """Guards against a recording that omits requests or their sizes."""
    line = (
        '   4.5000 host-1 event=ended wall_ms=1 id=a route=r outcome=served '
        'detail="" revision=1 took_ms=1500 first_ms=90 forecast_ms=80 '
        'pause_ms=50 goal_ms=300 pause_goal_ms=200 prompt_tokens=4000 sent=1 '
        'last_event=19\n'
    )
    plain = line.replace('prompt_tokens=4000', 'prompt_tokens=0')
    rows = placementload.from_log([line, plain, 'built in 3 s\n'], 2, 20)
    assert rows == [placementload.HEADER, '1000,300,4000,920']


def test_result_is_plotted(tmp_path):
    """Guards against a plot that fails after a long replay."""
    drawing = tmp_path / 'out.svg'
    placements.main(
        LOADS / 'parana-mazas-scale-1.csv',
        policies=('shared', 'one_placer'),
        seeds=(1,),
        change=('placement.TIE_COST=0.012',),
        plot=drawing,
    )
    assert '<svg' in drawing.read_text()
