"""Explanations of requests from the log of a host."""

import pytest

from bergamotstream import cmdline, explanations

LOG = """
  1.0 h1 event=placed id=a1 target=t1 forecast_ms=90 revision=7
  1.2 h1 event=target_broken id=a1 target=t1 fault="reset by 'peer'" last_event=3
  1.3 h1 event=ended id=a1 outcome=cut_deadline_passed detail="" revision=7
event=ended id=a2 outcome=served first_ms=80 goal_ms=300 pause_ms=260 pause_goal_ms=200
event=ended id=a3 outcome=no_target detail="listed=3 zone_out=1" revision=7
event=refused id=a4 reason=unknown_key detail="1 keys" revision=7
event=ended id=a5 outcome=status_500
event=ended id=a6 outcome=served first_ms=400 goal_ms=300
""".strip()


@pytest.mark.parametrize(
    ('request_id', 'meaning'),
    [
        ('a1', 'cut off: no answer by the deadline'),
        ('a2', 'a gap between events exceeded its goal'),
        ('a3', 'no target could accept it'),
        ('a4', 'not in the configuration'),
        ('a5', 'status 500'),
        ('a6', 'first token was late'),
    ],
)
def test_outcome_of_a_request_is_explained(request_id, meaning):
    """Guards against a failed request that the log does not explain."""
    explanation = explanations.explain(LOG.splitlines(), request_id)
    assert meaning in explanation.meaning
    assert all(line.fields['id'] == request_id for line in explanation.lines)


def test_command_reads_files(tmp_path, capsys):
    """Guards against a command that fails without a message."""
    log = tmp_path / 'host.log'
    log.write_text(LOG)
    cmdline.main(['explain', 'a1', str(log)])
    assert 'target_broken' in capsys.readouterr().out
    with pytest.raises(SystemExit, match='no line has this id'):
        cmdline.main(['explain', 'zz', str(log)])
    with pytest.raises(SystemExit, match='can be read'):
        cmdline.main(['explain', 'a1', str(tmp_path / 'none')])


def test_reasons_without_a_target_are_named():
    """Guards against counts whose meaning only a page tells."""
    line = (
        'event=ended id=n1 outcome=no_target detail="service=plain listed=6'
        ' leaving=2 zone_out=1 unreachable=0 by_peers=0 limited=3 asked=2'
        ' tried=0"'
    )
    meaning = explanations.explain([line], 'n1').meaning
    assert 'of 6 targets, 2 leave, 1 in a zone that is out' in meaning
    assert '3 at a limit, 2 of them asked for time' in meaning
    assert 'tried' not in meaning


@pytest.mark.parametrize('order', [1, -1])
def test_end_of_a_relayed_request_is_that_of_its_first_host(order):
    """Guards against an explanation by the log of the other host."""
    first = [
        'event=relayed id=r1 peer=h2',
        'event=relay_failed id=r1 peer=h2',
        'event=ended id=r1 outcome=target_failed peers=h2',
    ]
    second = [
        'event=relay_received id=r1 peer=h1',
        'event=ended id=r1 outcome=caller_gone peers=""',
    ]
    logs = [first, second][::order]
    explanation = explanations.explain([*logs[0], *logs[1]], 'r1')
    assert 'could not be repeated' in explanation.meaning
    assert len(explanation.lines) == 5
