"""
Drafting
~~~~~~~~

What ``bergamotctl`` prepares before it drafts a change: the version in force,
the fields of a workspace that stay as they are, fields from name=value.
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
    """Draft changes of a version, by default of the one in force."""
    if base_version == CURRENT_VERSION:
        shown = run_command(address, 'audit.show', {'limit': 1})
        base_version = shown['version']
    arguments = {
        'author': author,
        'base_version': base_version,
        'changes': changes,
    }
    return run_command(address, 'config.draft', arguments)


def workspace_changes(
    name: str, given: Mapping[str, Any], address: str
) -> list[dict[str, Any]]:
    """Return a change for each given field of a workspace that exists.

    Naming only these fields keeps a change of the others by another operator
    visible as a conflict. A new workspace needs every field.
    """
    changed = {
        field: given[field]
        for field in WORKSPACE_FIELDS
        if given[field] is not None
    }
    if len(changed) == len(WORKSPACE_FIELDS):
        return [{'path': f'workspaces/{name}', 'value': changed}]
    if name not in _known_workspaces(address):
        missing = ', '.join(
            f'--{field.replace("_", "-")}'
            for field in WORKSPACE_FIELDS
            if field not in changed
        )
        raise adminclient.CommandFailed(
            f'there is no workspace {name}; create it with {missing}'
        )
    if not changed:
        raise adminclient.CommandFailed(
            'nothing to change; give at least one of --priority, --weight,'
            + ' --max-concurrent and --tokens-per-s'
        )
    return [
        {'path': f'workspaces/{name}/{field}', 'value': value}
        for field, value in changed.items()
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
    """Read fields from texts of the form name=value with a JSON value."""
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


def _known_workspaces(address: str) -> Mapping[str, Any]:
    try:
        shown = run_command(address, 'config.show')
    except adminclient.CommandFailed as fault:
        # Before the first version there is no configuration to show.
        if 'configuration_unknown' in str(fault):
            return {}
        raise
    return dict(shown['workspaces'])
