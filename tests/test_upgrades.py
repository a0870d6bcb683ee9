"""Hosts of an older build beside those of the checkout."""

import re
import subprocess
import tomllib

import pytest

import bergamotstream
from tests import hostprocesskit, upgradekit
from tests import platformkit as kit

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


async def test_log_tells_the_build_of_a_host(tmp_path):
    """Guards against hosts of which operators cannot tell the build."""
    host = hostprocesskit.HostProcess(tmp_path, 'h0', kit.address())

    async def has_started():
        return 'event=started ' in host.log.read_text()

    host.start()
    try:
        await hostprocesskit.wait_until(has_started, 10)
    finally:
        host.process.kill()
        host.process.wait()
    version = bergamotstream.__version__
    assert re.search(
        f'event=started .* build={re.escape(version)}$',
        host.log.read_text(),
        re.MULTILINE,
    )


def test_build_is_the_version_of_the_package():
    """Guards against a build in the log that no package has."""
    project = tomllib.loads((upgradekit.ROOT / 'pyproject.toml').read_text())
    assert bergamotstream.__version__ == project['project']['version']
