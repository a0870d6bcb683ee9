"""
Client of the admin endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends operators' commands to a host over HTTP and formats its answers as text.
"""

import datetime
import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import aiohttp

from bergamotstream import checkedconnections, errors

Body = dict[str, Any]
# A command waits for several calls to a key-value service that may be slow.
TIMEOUT_S = 30
MS_PER_S = 1_000


class CommandFailed(Exception):
    """A command failed; the message has the error code and a remedy."""


async def send_command(
    address: str, command: str, arguments: Mapping[str, Any]
) -> Body:
    """Run a command at a host and return the body of its answer.

    Raises :class:`CommandFailed`.
    """
    content = {'command': command, 'arguments': arguments}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(
            connector=checkedconnections.CheckedConnector(), timeout=timeout
        ) as session:
            answer = await _post(session, f'http://{address}/admin', content)
    except TimeoutError as fault:
        raise CommandFailed(
            f'no answer from {address} in {TIMEOUT_S} s, the command may have'
            + ' run; check the audit trail before repeating it'
        ) from fault
    except (aiohttp.ClientError, ValueError) as fault:
        raise CommandFailed(
            f'{address}: {fault}; give the address of a live host'
        ) from fault
    if answer.get('code'):
        raise CommandFailed(_error_text(answer))
    return answer.get('body', {})


async def _post(
    session: aiohttp.ClientSession, url: str, content: Body
) -> Body:
    async with session.post(url, json=content) as response:
        answer = json.loads(await response.text())
    if not isinstance(answer, dict):
        raise ValueError('the answer is not an object')
    return answer


def _error_text(answer: Body) -> str:
    code = answer['code']
    body = answer.get('body') or {}
    remedy = body.get('remedy') or errors.get_error_by_code(code).remedy
    lines = [f'{code}: {body.get("detail") or code}', f'remedy: {remedy}']
    if body.get('run_state') == 'may_have_run':
        lines.append('state: the change may be in force, see the audit trail')
    retry_after_ms = answer.get('retry_after_ms') or body.get('retry_after_ms')
    if retry_after_ms:
        lines.append(f'retry after: {retry_after_ms} ms')
    for entry in body.get('changed', ()):
        lines.append(f'changed: {_entry_line(entry)}')
    return '\n'.join(lines)


def as_json(body: Body) -> str:
    """Return a body as indented JSON."""
    return json.dumps(body, indent=2, sort_keys=True)


def as_text(body: Body) -> str:
    """Return a body as lines; lists of objects have one line each."""
    return '\n'.join(_lines(body))


def _lines(body: Body) -> Iterator[str]:
    for name, value in body.items():
        format_entry = FORMATTERS_BY_FIELD.get(name)
        if format_entry is None:
            yield from _field_lines(name, value)
        else:
            yield from map(format_entry, value)


def _field_lines(name: str, value: Any) -> Iterator[str]:
    if isinstance(value, list):
        yield from (f'{name}: {_format_value(each)}' for each in value)
    elif isinstance(value, dict):
        for key, entry in sorted(value.items()):
            yield f'{name}/{key}: {_format_value(entry)}'
    else:
        yield f'{name}: {value}'


def _format_value(value: Any) -> str:
    if isinstance(value, dict):
        return ' '.join(f'{name}={each}' for name, each in value.items())
    return str(value)


def _entry_line(entry: Body) -> str:
    signed = f'signed by {entry["signed_by"]}'
    if entry['urgent']:
        signed = 'urgent, one signature'
    changes = entry['changes']
    paths_or_changes = (
        changes['paths']
        if isinstance(changes, dict)
        else [_format_change(change) for change in changes]
    )
    return (
        f'version {entry["version"]} at {_format_time(entry["wall_ms"])}:'
        + f' {entry["command"]} by {entry["author"]} ({signed}):'
        + f' {", ".join(paths_or_changes)}'
    )


def _format_change(change: Body) -> str:
    value = json.dumps(change['value'], sort_keys=True)
    return f'{change["path"]}={value}'


def _format_time(wall_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, tz=datetime.UTC)
    return time.isoformat(timespec='milliseconds')


def _draft_line(draft: Body) -> str:
    signed = draft['signed_by']
    state = f'signed by {signed}' if signed else 'not signed'
    return (
        f'draft {draft["id"]} at {_format_time(draft["wall_ms"])}:'
        + f' by {draft["author"]} ({state})'
        + f' for version {draft["base_version"]}:'
        + f' {", ".join(map(_format_change, draft["changes"]))}'
    )


FORMATTERS_BY_FIELD: Mapping[str, Callable[[Body], str]] = {
    'entries': _entry_line,
    'drafts': _draft_line,
}
