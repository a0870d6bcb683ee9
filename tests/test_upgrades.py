"""Hosts of an older build beside those of the checkout."""

import subprocess

import pytest

from tests import upgradekit

LAST_LANDING = 'fd8a66b'


@pytest.mark.timeout(120)
def test_replacing_an_older_build_loses_no_request(tmp_path):
    """Guards against requests lost, orders run twice or streams cut while
    hosts of the last landing are replaced by those of the checkout."""
    if not upgradekit.has_commit(LAST_LANDING):
        reason = f'{LAST_LANDING} is not in the history (shallow clone)'
        print(f'not played: {reason}')
        pytest.skip(reason)
    plan = upgradekit.Plan(
        hosts=2, both_directions=False, cuts=False, crashes=False
    )
    figures, violations = upgradekit.play(LAST_LANDING, tmp_path, 1, plan)
    assert not violations
    assert figures['replaced by new'] == plan.hosts
    for kind in ('lookup', 'order', 'stream', 'limited'):
        assert figures[f'{kind} served'] == figures[f'{kind} sent'] > 0
    assert figures['configuration checks'] > 0


def test_work_tree_of_an_older_build_is_removed(tmp_path):
    """Guards against work trees that stay registered in the repository."""
    if not upgradekit.has_commit(LAST_LANDING):
        pytest.skip(f'{LAST_LANDING} is not in the history (shallow clone)')
    with upgradekit.work_tree(LAST_LANDING, tmp_path) as tree:
        upgradekit.check_import(tree)
    listed = subprocess.run(
        ['git', 'worktree', 'list'],
        cwd=upgradekit.ROOT,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    assert str(tree) not in listed.stdout
