"""
Files
~~~~~

Scenario files and the expected outcome beside each.
"""

import pathlib

from bench.scenario import language, outcome, player, versions

FOLDER = pathlib.Path(__file__).parents[2] / 'tests' / 'scenarios'


def scenario_paths() -> list[pathlib.Path]:
    """Return all scenario files in alphabetical order."""
    return sorted(FOLDER.glob('*.scenario'))


def expected_path(path: pathlib.Path) -> pathlib.Path:
    """Return the file of the expected outcome of a scenario."""
    return path.with_suffix('.expected')


def run(path: pathlib.Path) -> tuple[str, list[str]]:
    """Play a scenario; return its outcome and unmet expectations."""
    scenario = language.parse(path.read_text())
    lines = []
    unmet = []
    for version in versions.all_versions():
        world = player.play(scenario, version)
        lines.extend(outcome.describe(world))
        unmet.extend(outcome.unmet(world, scenario.expectations))
    return '\n'.join((*lines, '')), unmet
