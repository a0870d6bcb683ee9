"""Random fault sequences over the same checks as the scenarios."""

import hypothesis
from bench.scenario import language, outcome, player, versions
from hypothesis import strategies

HOSTS = ('h1', 'h2', 'h3', 'h4')
TARGETS = ('t1', 't2', 't3', 'p1')
ZONES = ('rosario', 'merced')
MOMENTS = ('before', 'after')
ACTIONS = ('Dispatch', 'ClaimRequest', 'GrantReply', 'KvWrite', 'CancelAttempt')
MAX_FAULTS = 5
MAX_TRIGGERS = 2
EXAMPLES = 4
LOADS = """
load 8/s short from small for 8s
load 0.3/s medium from big for 8s
load 3/s orders from small for 8s
at 1s send huge 450000 tokens from big output 100 deadline 60s
at 2s send long 60000 tokens from big output 100 deadline 30s
"""


def _faults():
    host = strategies.sampled_from(HOSTS)
    target = strategies.sampled_from(TARGETS)
    zone = strategies.sampled_from(ZONES)
    seconds = strategies.integers(min_value=1, max_value=6)
    return strategies.one_of(
        strategies.builds('kill {}'.format, host),
        strategies.builds('restart {}'.format, host),
        strategies.builds('replace {}'.format, host),
        strategies.builds('stop {}'.format, host),
        strategies.builds('freeze {} for {}s'.format, host, seconds),
        strategies.builds('cut {} from {}'.format, host, target),
        strategies.builds('cut {} from kv'.format, host),
        strategies.builds('cut {} from {}'.format, host, zone),
        strategies.builds('silence {} from {}'.format, host, host),
        strategies.builds('crash {} for {}s'.format, target, seconds),
        strategies.builds('silent {}'.format, target),
        strategies.builds('leaving {}'.format, target),
        strategies.builds('zone out {}'.format, zone),
        strategies.builds('zone in {}'.format, zone),
        strategies.sampled_from(
            (
                'kv down',
                'kv slow 800ms',
                'kv lose-answers',
                'kv up',
                'loss 5%',
                'heal',
                'cold t4',
                'poison from small times 3',
            )
        ),
    )


def _triggers():
    host = strategies.sampled_from(HOSTS)
    moment = strategies.sampled_from(MOMENTS)
    action = strategies.sampled_from(ACTIONS)
    return strategies.one_of(
        strategies.builds(
            '{0} {1} at {2} freeze {2} for 3s'.format, moment, action, host
        ),
        strategies.builds(
            '{0} {1} at {2} kill {2}'.format, moment, action, host
        ),
    )


@strategies.composite
def scenario_texts(draw):
    """Draw a scenario that ends with all lasting faults healed."""
    shape = draw(strategies.sampled_from(('three-ms', 'five-ms')))
    seed = draw(strategies.integers(min_value=1, max_value=10_000))
    at_ms = strategies.integers(min_value=0, max_value=8_000)
    faults = draw(
        strategies.lists(
            strategies.tuples(at_ms, _faults()),
            min_size=1,
            max_size=MAX_FAULTS,
        )
    )
    lines = [f'deployment {shape}', f'seed {seed}', LOADS]
    lines += [f'at {at}ms {fault}' for at, fault in faults]
    triggers = strategies.lists(_triggers(), max_size=MAX_TRIGGERS)
    lines += draw(triggers)
    lines += ['at 9s heal', 'at 9s kv up', 'end 10s', '']
    return '\n'.join(lines)


@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(scenario_texts())
def test_random_faults(text):
    """Guards against combinations of faults that no scenario lists."""
    world = player.play(language.parse(text), versions.all_versions()[-1])
    assert not world.checks.violations, f'{text}{outcome.describe(world)}'


def test_same_seed_gives_same_outcome():
    """Guards against a hidden source of randomness in the fakes."""
    text = f'seed 5\n{LOADS}\nat 3s kill h1\nat 4s crash t1\nloss 5%\n'
    runs = [
        outcome.describe(
            player.play(language.parse(text), versions.all_versions()[-1])
        )
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
