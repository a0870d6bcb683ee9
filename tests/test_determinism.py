"""The same events at the same times give the same actions."""

import hashlib
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
DRIVER = """
import hashlib
from bench.scenario import files
from bergamotstream import core

digest = hashlib.sha256()
handle = core.HostCore.handle

def recorded(self, event, now_ms):
    produced = handle(self, event, now_ms)
    digest.update(repr((now_ms, event, produced)).encode())
    return produced

core.HostCore.handle = recorded
path = next(
    path for path in files.scenario_paths() if path.stem == 'frozen_host'
)
files.run(path)
print(digest.hexdigest())
"""


def run_with(seed):
    """Return the digest of all actions under a seed of Python's hashes."""
    return subprocess.run(
        [sys.executable, '-c', DRIVER],
        cwd=ROOT,
        env={**os.environ, 'PYTHONHASHSEED': seed, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        check=True,
        text=True,
    ).stdout


def test_actions_do_not_depend_on_the_order_of_sets():
    """Guards against decisions that differ with the order of a set."""
    digest = run_with('0')
    assert len(digest.strip()) == hashlib.sha256().digest_size * 2
    assert run_with('2') == digest
