"""
Test configuration
~~~~~~~~~~~~~~~~~~

Skips the tests that KNOWN-RED.txt lists and prints them, and keeps the garbage
of the session out of the time of single tests.
"""

import gc
import pathlib

import hypothesis

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_FIELD = 'test: '

# How fast examples are drawn depends on the load of the machine alone.
hypothesis.settings.register_profile(
    'any_load', suppress_health_check=[hypothesis.HealthCheck.too_slow]
)
hypothesis.settings.load_profile('any_load')


def known_red_tests():
    """Return the node ids that KNOWN-RED.txt lists, one per ``test:`` line."""
    if not KNOWN_RED.exists():
        return []
    return [
        line.removeprefix(TEST_FIELD).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(TEST_FIELD)
    ]


def pytest_collection_modifyitems(config, items):
    """Deselect exactly the listed tests."""
    known_red = set(known_red_tests())
    listed = [item for item in items if item.nodeid in known_red]
    if listed:
        config.hook.pytest_deselected(items=listed)
        items[:] = [item for item in items if item.nodeid not in known_red]


def pytest_runtest_setup(item):
    """Collect what earlier tests have left, and leave the rest alone.

    Full collections of all that a session holds stopped the process, and with
    it the hosts in it, for up to 0.4 s in the middle of a test.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter):
    """Print the tests that were deselected."""
    for nodeid in known_red_tests():
        terminalreporter.write_line(f'KNOWN RED, not run: {nodeid}')
