"""A part of prompts that crashes targets, in requests that are never alike."""

import pytest

from tests import crashkit

SEEDS = (1, 2)
LOADS_BY_NAME = {
    'each_second': {},
    'often': {'crashing_interval_ms': 200},
    'order': {'path': '/order/666'},
    'rarely': {'crashing_interval_ms': 4_000},
}
# Sound requests that may be refused while the evidence is young.
MAX_REFUSED_SHARE = 0.02


@pytest.mark.parametrize('load', LOADS_BY_NAME)
@pytest.mark.parametrize('scenario', crashkit.SCENARIOS_BY_NAME)
async def test_part_that_crashes_targets_is_refused(scenario, load):
    """Guards against a part that keeps crashing targets in new requests.

    Sound requests share their workspace and the other parts of their prompts
    with those that crash, and run beside them.
    """
    for seed in SEEDS:
        fleet = crashkit.Fleet(
            seed=seed, by_part=True, ordinary_ms=300, **LOADS_BY_NAME[load]
        )
        await crashkit.SCENARIOS_BY_NAME[scenario](fleet)
        assert len(fleet.later_sends()) <= crashkit.MAX_LATER_SENDS
        assert fleet.refused_ordinary <= fleet.ordinary * MAX_REFUSED_SHARE
