"""
Operators' command line
~~~~~~~~~~~~~~~~~~~~~~~

``bergamotctl`` runs one command at the admin endpoint of a host. A change is
drafted, signed by another person and rolled out; taking an availability zone
out of service and returning it needs one person. Every command exits with
status 1 and a message that names code and remedy if it was not carried out.
"""

import asyncio
import json as jsonlib
import pathlib
import sys
from collections.abc import Sequence
from typing import Any, Literal

import defopt

from bergamotstream import adminclient

DEFAULT_ADDRESS = '127.0.0.1:8080'
# Stands for the version that is in force when the command runs.
PRESENT_VERSION = -1


def workspace_set(
    name: str,
    *,
    author: str,
    priority: int,
    weight: float,
    max_concurrent: int,
    tokens_per_s: int,
    base_version: int = PRESENT_VERSION,
    address: str = DEFAULT_ADDRESS,
) -> None:
    """Draft a workspace with its priority and limits.

    :param name: Workspace.
    :param author: Who makes the change.
    :param priority: Priority; lower runs first.
    :param weight: Share among workspaces of one priority.
    :param max_concurrent: Limit of requests at a time.
    :param tokens_per_s: Limit of tokens per second.
    :param base_version: Version that the change starts from.
    :param address: Address of any live host.
    """
    fields = {
        'priority': priority,
        'weight': weight,
        'max_concurrent': max_concurrent,
        'tokens_per_s': tokens_per_s,
    }
    change = {'path': f'workspaces/{name}', 'value': fields}
    _draft([change], author, base_version, address)


def service_set(
    name: str,
    kind: Literal['model', 'plain'],
    *fields: str,
    author: str,
    base_version: int = PRESENT_VERSION,
    address: str = DEFAULT_ADDRESS,
) -> None:
    """Draft a service.

    :param name: Service.
    :param kind: Kind of its targets.
    :param fields: Further fields as name=value, for example slots=16.
    :param author: Who makes the change.
    :param base_version: Version that the change starts from.
    :param address: Address of any live host.
    """
    entry = {'kind': kind, **_parse_fields(fields)}
    change = {'path': f'services/{name}', 'value': entry}
    _draft([change], author, base_version, address)


def draft(
    file: pathlib.Path,
    *,
    author: str,
    base_version: int = PRESENT_VERSION,
    address: str = DEFAULT_ADDRESS,
) -> None:
    """Draft changes from a JSON file.

    :param file: List of objects with path and value.
    :param author: Who makes the change.
    :param base_version: Version that the change starts from.
    :param address: Address of any live host.
    """
    try:
        changes = jsonlib.loads(file.read_text(encoding='utf-8'))
    except (OSError, ValueError) as fault:
        raise adminclient.CommandFailed(
            f'{file}: {fault}; give a JSON file with a list of changes'
        ) from fault
    _draft(changes, author, base_version, address)


def sign(draft_id: str, *, signer: str, address: str = DEFAULT_ADDRESS) -> None:
    """Sign off a draft of another person.

    :param draft_id: Draft, as printed when it was made.
    :param signer: Who signs.
    :param address: Address of any live host.
    """
    arguments = {'draft': draft_id, 'signer': signer}
    _print(_run(address, 'config.sign', arguments))


def roll(
    draft_id: str, *, operator: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Put a signed draft in force.

    :param draft_id: Draft, as printed when it was made.
    :param operator: Who rolls it out.
    :param address: Address of any live host.
    """
    arguments = {'draft': draft_id, 'operator': operator}
    _print(_run(address, 'config.roll', arguments))


def zone_out(
    zone: str, *, operator: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Take an availability zone out of service at once.

    :param zone: Availability zone.
    :param operator: Who takes it out.
    :param address: Address of any live host.
    """
    arguments = {'zone': zone, 'operator': operator}
    _print(_run(address, 'zone.out', arguments))


def zone_in(
    zone: str, *, operator: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Return an availability zone to service at once.

    :param zone: Availability zone.
    :param operator: Who returns it.
    :param address: Address of any live host.
    """
    arguments = {'zone': zone, 'operator': operator}
    _print(_run(address, 'zone.in', arguments))


def show_config(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the configuration in force at a host.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(_run(address, 'config.show'), json)


def hosts(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the hosts that a host knows.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(_run(address, 'hosts.show'), json)


def targets(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the targets that a host knows.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(_run(address, 'targets.show'), json)


def audit(
    *, limit: int = 64, json: bool = False, address: str = DEFAULT_ADDRESS
) -> None:
    """Show the audit trail.

    :param limit: Number of entries, at most 1024.
    :param json: Print JSON.
    :param address: Address of any live host.
    """
    _print(_run(address, 'audit.show', {'limit': limit}), json)


def order(
    target: str,
    kind: Literal['load', 'adapter', 'version', 'role'],
    *fields: str,
    address: str = DEFAULT_ADDRESS,
) -> None:
    """Send an order to a target.

    :param target: Target.
    :param kind: Kind of the order.
    :param fields: What it asks as name=value, for example model='"m2"'.
    :param address: Address of the owner of the target's partition.
    """
    wanted = {'kind': kind, **_parse_fields(fields)}
    arguments = {'target': target, 'order': wanted}
    _print(_run(address, 'target.order', arguments))


def drain(*, address: str = DEFAULT_ADDRESS) -> None:
    """Stop a host gracefully; it finishes its requests first.

    :param address: Address of the host to stop.
    """
    _print(_run(address, 'host.drain'))


COMMANDS = (
    workspace_set,
    service_set,
    draft,
    sign,
    roll,
    zone_out,
    zone_in,
    show_config,
    hosts,
    targets,
    audit,
    order,
    drain,
)


def _parse_fields(fields: Sequence[str]) -> dict[str, Any]:
    parsed = {}
    for field in fields:
        name, _, text = field.partition('=')
        try:
            parsed[name] = jsonlib.loads(text)
        except ValueError as fault:
            raise adminclient.CommandFailed(
                f'{field}: {fault}; write name=value with a JSON value'
            ) from fault
    return parsed


def _draft(changes: Any, author: str, base_version: int, address: str) -> None:
    if base_version == PRESENT_VERSION:
        base_version = _present_version(address)
    arguments = {
        'author': author,
        'base_version': base_version,
        'changes': changes,
    }
    _print(_run(address, 'config.draft', arguments))


def _present_version(address: str) -> int:
    return _run(address, 'audit.show', {'limit': 1})['version']


def _run(
    address: str, command: str, arguments: dict[str, Any] | None = None
) -> adminclient.Body:
    return asyncio.run(
        adminclient.send_command(address, command, arguments or {})
    )


def _print(body: adminclient.Body, as_json: bool = False) -> None:
    show = adminclient.as_json if as_json else adminclient.as_text
    print(show(body))


def main(argv: list[str] | None = None) -> None:
    """Run one command."""
    try:
        defopt.run(COMMANDS, argv=argv)
    except adminclient.CommandFailed as fault:
        sys.exit(f'error: {fault}')


if __name__ == '__main__':
    main()
