"""Scenarios, played against the naive version and the real core."""

import pytest
from bench.scenario import files


@pytest.mark.parametrize('path', files.scenario_paths(), ids=lambda p: p.stem)
def test_scenario(path):
    """Guards against a broken invariant and an unnoticed change of outcome."""
    text, unmet = files.run(path)
    assert not unmet, text
    assert text == files.expected_path(path).read_text()
