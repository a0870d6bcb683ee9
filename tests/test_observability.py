"""Tests of the log lines and metrics for operators."""

import corekit

from bergamotstream import (
    actions,
    celllog,
    events,
    gauges,
    logs,
    messages,
    metrics,
    records,
    state,
)
from bergamotstream.exporters import prometheus
from tests import test_sessions


def lines_of(produced):
    """Return the log lines among actions."""
    return [
        logs.format_line(action.event, action.fields)
        for action in corekit.actions_of(produced, actions.LogEvent)
    ]


def names_of(produced):
    """Return the names of the log events among actions."""
    found = corekit.actions_of(produced, actions.LogEvent)
    return [action.event for action in found]


def test_each_step_of_a_request_leaves_a_line_with_its_id():
    """Guards against a request that cannot be followed in the logs."""
    host = corekit.Host()
    request = corekit.make_request()
    produced = host.send(events.RequestReceived(request, 10_000))
    grant_request = corekit.messages_of(produced, messages.GrantRequest)[0]
    charge_request = corekit.messages_of(produced, messages.ChargeRequest)[0]
    produced += test_sessions.send_charge_reply(host, charge_request)
    produced += test_sessions.send_grant(host, grant_request)
    produced += host.send(events.AttemptFailed('a1', 'silent', 10))
    failed = host.send(events.AttemptFailed('a1', 'target_died', 12))
    retry_request = corekit.messages_of(failed, messages.GrantRequest)[0]
    produced += failed + test_sessions.send_grant(
        host, retry_request, attempt_id='a2'
    )
    produced += host.send(events.AttemptFinished('a2', 20))
    produced += host.send(events.RequestReceived(request, 0))
    expected_steps = ['received', 'resumed', 'retried', 'finished', 'refused']
    assert names_of(produced) == [f'request_{step}' for step in expected_steps]
    for line in lines_of(produced):
        assert ' request=r1 ' in line
    assert 'code=deadline_passed run_state=not_run' in lines_of(produced)[-1]
    assert ' target=asistente-rosario ' in lines_of(produced)[3]
    counted = corekit.actions_of(produced, actions.Count)
    assert actions.Count('retries', 'target_died') in counted
    assert actions.Count('refusals', 'deadline_passed') in counted


def test_changes_of_the_cell_leave_lines():
    """Guards against takeovers, drains and quarantine that are not logged."""
    shared = state.HostState(corekit.make_settings(), 'i1')
    component = celllog.CellLog(shared)
    shared.bundle = corekit.make_bundle()
    assert component.tick(events.Tick()) == []
    acquired = component.acquired(events.PartitionAcquired('claims:0'))
    lost = component.lost(events.PartitionLost('claims:0'))
    assert names_of(acquired + lost) == ['partition_acquired', 'partition_lost']
    shared.bundle = corekit.make_bundle(zones_out=frozenset(['rosario']))
    shared.live_peers = {'h2'}
    shared.leaving_hosts = {'h3'}
    shared.own_blame_by_fingerprint = {7: 0.5, 8: 2.0}
    produced = component.tick(events.Tick())
    assert lines_of(produced) == [
        'event=host_live name=h2',
        'event=host_leaving name=h3',
        'event=zone_out name=rosario',
        'event=fingerprint_blamed fingerprint=7 score=0.5',
        'event=fingerprint_quarantined fingerprint=8 score=2.0',
    ]
    shared.bundle = None
    shared.live_peers = set()
    shared.own_blame_by_fingerprint = {8: 2.0}
    assert names_of(component.tick(events.Tick())) == [
        'host_silent',
        'fingerprint_cleared',
    ]


def test_metrics_show_present_values():
    """Guards against metrics that do not show an outdated configuration."""
    shared = state.HostState(corekit.make_settings(), 'i1')
    shared.bundle = corekit.make_bundle(version=4)
    shared.bundle_since_ms = 1_000
    shared.now_ms = 1_500
    shared.open_requests = 3
    shared.cell_record = records.CellRecord(2, ('h1', 'h2', 'h3'))
    shared.live_peers = {'h2'}
    shared.owned_partitions = {'claims:0', 'accounts:1', 'accounts:2'}
    meters = metrics.Metrics()
    meters.read_gauges = lambda: gauges.read_gauges(shared)
    text = prometheus.PrometheusExporter().render(meters.snapshot())
    for line in (
        '# TYPE bergamotstream_config_version gauge',
        'bergamotstream_config_version 4',
        'bergamotstream_config_age_ms 500',
        'bergamotstream_open_requests 3',
        'bergamotstream_live_members 2',
        'bergamotstream_members 3',
        'bergamotstream_owned_partitions{label="accounts"} 2',
        'bergamotstream_owned_partitions{label="targets"} 0',
    ):
        assert line in text.splitlines(), line
