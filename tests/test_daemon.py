"""The daemon as a process: settings faults, SIGTERM, the demonstration."""

import asyncio
import signal
import socket
import subprocess
import sys

import aiohttp
import pytest

from bergamotstream import errors, logs, metrics, settingscheck
from bergamotstream.exporters import prometheus
from demo import __main__ as demonstration
from demo import caller, fleet, operators, processes, report, workload
from standins import answers
from tests import fakecorekit

VALID = """
host = "h1"
availability_zone = "rosario"
cell = "cell-1"
caller_address = "127.0.0.1:7000"
peer_address = "127.0.0.1:7001"
[platform]
kv = "http://127.0.0.1:2379"
host_list = "http://127.0.0.1:2380"
"""


def test_all_settings_faults_are_named_at_once(tmp_path):
    """Guards against a daemon that reports only one fault per start."""
    path = tmp_path / 'host.toml'
    path.write_text(VALID)
    assert settingscheck.load_checked(str(path)).host == 'h1'
    path.write_text(
        'policy = "none-such"\ncolour = 1\nseed = "x"\n'
        + VALID.replace('127.0.0.1:7001', '127.0.0.1:99999').replace(
            'host = "h1"\n', ''
        )
        + 'kv_client = "abacus"\n[timing]\ntick_ms = "soon"\n'
    )
    result = subprocess.run(
        [
            *(sys.executable, '-m', 'bergamotstream.daemon'),
            *('--config', str(path), '--check'),
        ],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert result.returncode == 2
    for field in (
        'policy',
        'colour',
        'seed',
        'host',
        'peer_address',
        'platform.kv_client',
        'timing.tick_ms',
    ):
        assert f'{path}: {field}: ' in result.stderr, field


@pytest.mark.parametrize('text', ['host = ', ''])
def test_unreadable_settings_are_typed(tmp_path, text):
    """Guards against a traceback for a broken or missing file."""
    path = tmp_path / 'host.toml'
    if text:
        path.write_text(text)
    with pytest.raises(errors.InvalidSettings, match=r'host\.toml'):
        settingscheck.load_checked(str(path))


def test_log_lines_quote_values_and_leave_out_prompts():
    """Guards against prompt text in logs and lines that cannot be split."""
    fields = {'prompt': 'secret', 'detail': 'a "b"\nc', 'count': 3}
    line = logs.format_line('request', fields)
    assert line == r'event=request detail="a \"b\"\nc" count=3'


def test_prometheus_lines():
    """Guards against metrics that a scraper rejects."""
    meters = metrics.Metrics()
    meters.count('refusals', 'a"b', 2)
    meters.observe('ttft', 'short', 100)
    lines = prometheus.PrometheusExporter().render(meters.snapshot())
    assert 'bergamotstream_refusals_total{label="a\\"b"} 2\n' in lines
    assert (
        'bergamotstream_ttft_ms{label="short",quantile="0.95"} 100\n' in lines
    )
    assert 'bergamotstream_ttft_ms_count{label="short"} 1\n' in lines


async def test_sigterm_lets_an_open_request_finish(tmp_path):
    """Guards against a planned stop that interrupts a request.

    An order to the engine runs first, which covers the protocols of the
    key-value service, the weight store and the engine.
    """
    planned = fleet.plan_fleet()
    planned = planned._replace(
        hosts=planned.hosts[:1],
        engines=planned.engines[:1],
        plains=planned.plains[:1],
    )
    children = processes.Processes(tmp_path)
    host = planned.hosts[0]
    body = fakecorekit.request_body(
        workspace='clinica', max_output_tokens=400, deadline_ms=20_000
    )
    try:
        async with asyncio.timeout(60), aiohttp.ClientSession() as http:
            await fleet.start_platform(planned, children, http)
            await fleet.start_hosts(planned, children, tmp_path, http)
            await operators.create_bundle(http, planned)
            await operators.wait_until_ready(http, planned)
            ordered = await operators.command(
                http,
                host.caller_address,
                'target.order',
                target=planned.engines[0].name,
                order={'kind': 'load', 'model': 'm2'},
            )
            assert ordered['state']['model'] == 'm2'
            url = f'http://{host.caller_address}/v1/requests'
            async with http.post(url, json=body) as response:
                assert response.status == 200, await response.text()
                stopping = asyncio.create_task(children.stop([host.name]))
                received = await fakecorekit.read_events(response)
            assert received[-1].event == 'done', received[-1]
            number = answers.fingerprint_of('asistente', body['prompt'])
            assert fakecorekit.join_chunks(received) == answers.answer_text(
                number, 400
            )
            assert await stopping == {host.name: 0}
    finally:
        await children.stop_all()


def test_demonstration_stops_its_processes_on_ctrl_c(tmp_path):
    """Guards against processes that outlive the demonstration."""
    child = subprocess.Popen(
        [sys.executable, '-m', 'demo', '--logs', str(tmp_path)],
        stdout=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    assert 'hosts are ready' in child.stdout.readline()
    child.send_signal(signal.SIGINT)
    child.communicate(timeout=30)
    assert child.returncode != 0
    files = list(tmp_path.glob('*.toml'))
    assert len(files) == 3
    for path in files:
        address = settingscheck.load_checked(str(path)).caller_address
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address.split(':'), timeout=1).close()


async def test_demonstration_says_which_limit_it_exceeded(
    tmp_path, monkeypatch, capsys
):
    """Guards against a slow start that is reported as a slow run."""
    monkeypatch.setattr(demonstration, 'START_LIMIT_S', 0)
    assert not await demonstration.supervise(
        1, 300, tmp_path, with_faults=False
    )
    assert 'not ready within 0 s' in capsys.readouterr().out


def test_demonstration_notices_wrong_answers():
    """Guards against a check that accepts a wrong or partial answer."""
    request = workload.plan_load(1)[0]
    collected = caller.Collected()
    collected.done = True
    collected.text = 'x'
    assert caller.judge(request, collected)[0] == 'wrong'
    collected.done = False
    assert caller.judge(request, collected)[0] == 'failed'
    outcome = caller.Outcome(request, 'wrong')
    assert report.length_label(outcome) == 'short'


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('[timing]\ntick_ms = 0', 'timing.tick_ms: Input should be greater'),
        ('[limits]\nretry_percent = 101', 'limits.retry_percent: Input should'),
        ('[timing]\ntakeover_ms = 1010', 'timing.takeover_ms: must be more'),
    ],
)
def test_settings_out_of_range_are_refused(tmp_path, text, fault):
    """Guards against two owners of a partition and against a busy loop."""
    path = tmp_path / 'host.toml'
    path.write_text(f'{VALID}{text}\n')
    with pytest.raises(errors.InvalidSettings, match=fault):
        settingscheck.load_checked(str(path))
