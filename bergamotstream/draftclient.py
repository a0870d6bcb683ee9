"""
Draft client
~~~~~~~~~~~~

Builds the drafts that ``bergamotctl`` sends: looks up the base version, limits
a change of a workspace to the given fields, and parses JSON files and
name=value arguments.
"""

import asyncio
import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any

from bergamotstream import adminclient

# Stands for the version that is in force when the command runs.
CURRENT_VERSION = -1
WORKSPACE_FIELDS = ('priority', 'weight', 'max_concurrent', 'tokens_per_s')


def run_command(
    address: str, command: str, arguments: dict[str, Any] | None = None
) -> adminclient.Body:
    """Run a command at a host; raises :class:`adminclient.CommandFailed`."""
    return asyncio.run(
        adminclient.send_command(address, command, arguments or {})
    )


def draft_changes(
    changes: Any, author: str, base_version: int, address: str
) -> adminclient.Body:
    """Draft changes to a version, by default to the one in force."""
    if base_version == CURRENT_VERSION:
        body = run_command(address, 'audit.show', {'limit': 1})
        base_version = body['version']
    arguments = {
        'author': author,
        'base_version': base_version,
        'changes': changes,
    }
    return run_command(address, 'config.draft', arguments)


def workspace_changes(
    name: str, fields: Mapping[str, Any], address: str
) -> list[dict[str, Any]]:
    """Return a change for each given field of an existing workspace.

    The other fields are left out, so that a change of them by another
    operator is still detected as a conflict. A new workspace needs all
    fields.
    """
    given_fields = {
        field: fields[field]
        for field in WORKSPACE_FIELDS
        if fields[field] is not None
    }
    if len(given_fields) == len(WORKSPACE_FIELDS):
        return [{'path': f'workspaces/{name}', 'value': given_fields}]
    if name not in _read_workspaces(address):
        missing = ', '.join(
            f'--{field.replace("_", "-")}'
            for field in WORKSPACE_FIELDS
            if field not in given_fields
        )
        raise adminclient.CommandFailed(
            f'there is no workspace {name}; create it with {missing}'
        )
    if not given_fields:
        raise adminclient.CommandFailed(
            'nothing to change; give at least one of --priority, --weight,'
            + ' --max-concurrent and --tokens-per-s'
        )
    return [
        {'path': f'workspaces/{name}/{field}', 'value': value}
        for field, value in given_fields.items()
    ]


def read_changes(file: pathlib.Path) -> Any:
    """Read changes from a JSON file."""
    try:
        return json.loads(file.read_text(encoding='utf-8'))
    except (OSError, ValueError) as fault:
        raise adminclient.CommandFailed(
            f'{file}: {fault}; give a JSON file with a list of changes'
        ) from fault


def parse_fields(fields: Sequence[str]) -> dict[str, Any]:
    """Parse arguments of the form name=value with a JSON value."""
    parsed = {}
    for field in fields:
        name, _, text = field.partition('=')
        try:
            parsed[name] = json.loads(text)
        except ValueError as fault:
            raise adminclient.CommandFailed(
                f'{field}: {fault}; write name=value with a JSON value'
            ) from fault
    return parsed


def _read_workspaces(address: str) -> Mapping[str, Any]:
    try:
        body = run_command(address, 'config.show')
    except adminclient.CommandFailed as fault:
        # Before the first version there is no configuration to show.
        if 'configuration_unknown' in str(fault):
            return {}
        raise
    return dict(body['workspaces'])
