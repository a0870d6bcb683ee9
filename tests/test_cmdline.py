"""The operators' command line against one core behind an admin endpoint."""

import asyncio
import json

import pytest
from aiohttp import test_utils, web

from bergamotstream import bundles, cmdline, events, inventorycommands, records
from tests import kvcluster


@pytest.fixture
def cluster():
    """One host that knows itself and a target."""
    started = kvcluster.Cluster(
        ['h1'], [bundles.Bundles, inventorycommands.InventoryCommands]
    )
    host = records.HostInfo('h1', 'rosario', '127.0.0.1:1', '127.0.0.1:2')
    target = records.TargetInfo('t1', 'asistente', 'rosario', '127.0.0.1:3')
    started.state('h1').hosts_by_name['h1'] = host
    started.state('h1').targets_by_name['t1'] = target
    return started


@pytest.fixture
async def ctl(cluster, capsys):
    """Run bergamotctl and return what it printed."""

    async def admin(request):
        asked = await request.json()
        answer = cluster.run_command(
            'h1', asked['command'], **asked['arguments']
        )
        fields = {'code': answer.code, 'body': answer.body}
        return web.json_response({**fields, 'retry_after_ms': 0})

    app = web.Application()
    app.router.add_post('/admin', admin)
    server = test_utils.TestServer(app)
    await server.start_server()

    async def run(*argv):
        address = f'--address=127.0.0.1:{server.port}'
        await asyncio.to_thread(cmdline.main, [*argv, address])
        return capsys.readouterr().out

    yield run
    await server.close()


def draft_id(printed):
    return printed.splitlines()[0].removeprefix('draft: ')


async def test_change_from_draft_to_trail(ctl, tmp_path):
    """Guards against commands whose arguments the hosts do not accept."""
    limits = ['-p', '1', '-w', '2', '-m', '4', '-t', '900']
    drafted = await ctl('workspace-set', 'ana', '--author=eva', *limits)
    await ctl('sign', draft_id(drafted), '--signer=leo')
    assert 'version: 1' in await ctl(
        'roll', draft_id(drafted), '--operator=eva'
    )
    drafted = await ctl(
        'service-set', 'asistente', 'model', 'slots=16', '--author=eva'
    )
    assert 'base_version: 1' in drafted
    file = tmp_path / 'changes.json'
    file.write_text('[{"path": "targets/t1", "value": "leaving"}]')
    assert 'targets/t1' in await ctl('draft', str(file), '--author=eva')
    await ctl('zone-out', 'rosario', '--operator=eva')
    shown = json.loads(await ctl('show-config', '--json'))
    assert shown['workspaces']['ana']['tokens_per_s'] == 900
    assert 'zone_out=True' in await ctl('targets')
    trail = await ctl('audit')
    assert 'config.roll by eva (signed by leo): workspaces/ana={' in trail
    assert 'zone.out by eva (urgent, one signature)' in trail
    await ctl('zone-in', 'rosario', '--operator=eva')
    assert 'config_version=3' in await ctl('hosts')


async def test_a_signer_sees_the_draft_of_one_limit(ctl):
    """Guards against a sign-off of changes that no command shows."""
    limits = ['-p', '1', '-w', '2', '-m', '4', '-t', '900']
    with pytest.raises(SystemExit, match='create it with --priority, --weight'):
        await ctl('workspace-set', 'ana', '--author=eva', '-m', '4')
    drafted = await ctl('workspace-set', 'ana', '--author=eva', *limits)
    await ctl('sign', draft_id(drafted), '--signer=leo')
    await ctl('roll', draft_id(drafted), '--operator=eva')
    await ctl('workspace-set', 'ana', '--author=eva', '-m', '8')
    await ctl('target-out', 't1', '--author=eva')
    shown = await ctl('drafts')
    assert (
        '(not signed) for version 1: workspaces/ana/max_concurrent=8' in shown
    )
    assert 'targets/t1="leaving"' in shown
    with pytest.raises(SystemExit, match='nothing to change'):
        await ctl('workspace-set', 'ana', '--author=eva')
    with pytest.raises(SystemExit, match='no such entry to remove'):
        await ctl('target-in', 't2', '--author=eva')
    assert 'owned' in json.loads(await ctl('partitions', '--json'))


async def test_errors_name_code_and_remedy(ctl, cluster):
    """Guards against a failed command that looks like a success."""
    with pytest.raises(SystemExit, match='invalid_bundle: zones/x y: must'):
        await ctl('zone-out', 'x y', '--operator=eva')
    with pytest.raises(SystemExit, match='invalid_request: draft: there is no'):
        await ctl('sign', 'none', '--signer=leo')
    cluster.kv.down = True
    with pytest.raises(SystemExit, match=r'(?s)kv_unavailable.*retry after: 1'):
        await ctl('zone-out', 'rosario', '--operator=eva')


async def test_drain_stops_the_addressed_host(ctl, cluster, monkeypatch):
    """Guards against a drain that is acknowledged but not started."""
    handled = []
    dispatch = cluster.cores_by_host['h1']._dispatch
    monkeypatch.setattr(
        cluster.cores_by_host['h1'],
        '_dispatch',
        lambda event: handled.append(event) or dispatch(event),
    )
    assert 'state: leaving' in await ctl('drain')
    assert events.StopRequested() in handled


def test_unreachable_host_is_an_error():
    """Guards against an exit status of 0 without a host."""
    with pytest.raises(SystemExit, match='give the address of a live host'):
        cmdline.main(['hosts', '--address=127.0.0.1:1'])
