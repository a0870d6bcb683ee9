"""
Explanations
~~~~~~~~~~~~

Finds the lines of one request in a log and explains its outcome.
"""

import shlex
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

# Outcomes that hosts on the users' platform log, with their meanings.
_MEANINGS_BY_OUTCOME: Final[Mapping[str, str]] = {
    'served': 'the whole answer was forwarded',
    'caller_gone': 'the caller closed its connection or timed out',
    'deadline_passed': 'no answer by the deadline or the route timeout',
    'no_target': 'no target could accept it; detail counts the reasons',
    'overloaded': 'no capacity within the time allowed; it has not run',
    'configuration_unknown': 'the host had not read a configuration yet',
    'configuration_outdated': 'other hosts had a newer configuration, which'
    ' the host had not received yet',
    'host_leaving': 'the host was stopping and could not finish it in time',
    'unknown_key': 'the key was not in the configuration of that revision',
    'unknown_route': 'no route had this host name and path',
    'headers_too_large': "its headers exceeded the operators' limit",
    'body_too_large': "its body exceeded the operators' limit",
    'request_blamed': 'it has crashed targets before',
    'target_failed': 'its target failed and it could not be repeated',
}
# Counts in the detail of a request without a target, with their meanings.
_TARGETS_BY_COUNT: Final[Mapping[str, str]] = {
    'leaving': 'leave',
    'zone_out': 'in a zone that is out',
    'unreachable': 'left out after failures',
    'limited': 'at a limit',
    'asked': 'of them asked for time',
    'tried': 'already tried',
}
_CUT_PREFIX: Final = 'cut_'
_STATUS_PREFIX: Final = 'status_'


class LogLine(NamedTuple):
    """One structured line."""

    event: str
    fields: Mapping[str, str]


class Explanation(NamedTuple):
    """The lines of one request and their meaning."""

    lines: tuple[LogLine, ...]
    meaning: str


def explain(lines: Iterable[str], request_id: str) -> Explanation:
    """Return the lines of a request, in the order of the log."""
    request_lines = [
        parsed
        for line in lines
        if request_id in line
        and (parsed := parse(line)).fields.get('id') == request_id
    ]
    return Explanation(tuple(request_lines), _meaning(request_lines))


def parse(line: str) -> LogLine:
    """Return the fields of a line; text before ``event=`` is ignored."""
    start = line.find('event=')
    if start < 0:
        return LogLine('', {})
    try:
        words = shlex.split(line[start:])
    except ValueError:
        words = line[start:].split()
    pairs = [word.partition('=') for word in words]
    fields = {name: text for name, separator, text in pairs if separator}
    return LogLine(fields.pop('event', ''), fields)


def _meaning(request_lines: list[LogLine]) -> str:
    if not request_lines:
        return 'no line has this id: ask for the logs of the other hosts'
    last = _final_line(request_lines)
    outcome = last.fields.get('outcome') or last.fields.get('reason', '')
    if outcome.startswith(_CUT_PREFIX):
        cause = outcome.removeprefix(_CUT_PREFIX)
        return f'the answer was cut off: {_outcome_meaning(cause)}'
    if outcome == 'served':
        return _served_meaning(last.fields)
    if outcome == 'no_target':
        return _no_target_meaning(last.fields.get('detail', ''))
    return _outcome_meaning(outcome)


def _final_line(request_lines: list[LogLine]) -> LogLine:
    """Return the line with the answer that the caller got.

    A request that a peer served has an end in the logs of both hosts; the first
    host's names the peers.
    """
    relayed = [line for line in request_lines if line.fields.get('peers')]
    return (relayed or request_lines)[-1]


def _outcome_meaning(outcome: str) -> str:
    if outcome.startswith(_STATUS_PREFIX):
        status = outcome.removeprefix(_STATUS_PREFIX)
        return f'the answer of the target with status {status} was forwarded'
    return _MEANINGS_BY_OUTCOME.get(
        outcome, 'no outcome yet, the request is open'
    )


def _no_target_meaning(detail: str) -> str:
    meaning = _MEANINGS_BY_OUTCOME['no_target']
    counts = dict(word.split('=', 1) for word in detail.split() if '=' in word)
    reasons = [
        f'{counts[name]} {text}'
        for name, text in _TARGETS_BY_COUNT.items()
        if counts.get(name, '0') != '0'
    ]
    if not reasons:
        return meaning
    listed = ', '.join((f'of {counts.get("listed", "?")} targets', *reasons))
    return f'{meaning}: {listed}'


def _served_meaning(fields: Mapping[str, str]) -> str:
    meaning = _MEANINGS_BY_OUTCOME['served']
    if _exceeds(fields, 'first_ms', 'goal_ms'):
        return f'{meaning}, but its first token was late'
    if _exceeds(fields, 'pause_ms', 'pause_goal_ms'):
        return f'{meaning}, but a gap between events exceeded its goal'
    return f'{meaning} in time'


def _exceeds(
    fields: Mapping[str, str], measured_field: str, goal_field: str
) -> bool:
    goal_ms = int(fields.get(goal_field, 0))
    return bool(goal_ms) and int(fields.get(measured_field, 0)) > goal_ms
