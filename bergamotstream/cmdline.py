"""
Operators' command line
~~~~~~~~~~~~~~~~~~~~~~~

``bergamotctl`` sends one command to the admin endpoint of a host. A change is
drafted, signed by another person and rolled out; taking an availability zone
out of service or returning it needs one person only. A command that fails
exits with status 1 and a message with the error code and a remedy.
"""

import pathlib
import sys
from typing import Literal

import defopt

from bergamotstream import (
    adminclient,
    checkcommand,
    draftclient,
    explanations,
)

DEFAULT_ADDRESS = '127.0.0.1:8080'
EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2
EXIT_BROKEN_PIPE = 141
CURRENT_VERSION = draftclient.CURRENT_VERSION


def workspace_set(
    name: str,
    *,
    author: str,
    priority: int | None = None,
    weight: float | None = None,
    max_concurrent: int | None = None,
    tokens_per_s: int | None = None,
    base_version: int = CURRENT_VERSION,
    address: str = DEFAULT_ADDRESS,
) -> None:
    """Draft a new workspace, or a change of the given fields of one.

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
    changes = draftclient.workspace_changes(name, fields, address)
    _print(draftclient.draft_changes(changes, author, base_version, address))


def service_set(
    name: str,
    kind: Literal['model', 'plain'],
    *fields: str,
    author: str,
    base_version: int = CURRENT_VERSION,
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
    entry = {'kind': kind, **draftclient.parse_fields(fields)}
    changes = [{'path': f'services/{name}', 'value': entry}]
    _print(draftclient.draft_changes(changes, author, base_version, address))


def target_out(
    name: str, *, author: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Draft that a target leaves: it gets no new work.

    :param name: Target.
    :param author: Who makes the change.
    :param address: Address of any live host.
    """
    changes = [{'path': f'targets/{name}', 'value': 'leaving'}]
    _print(draftclient.draft_changes(changes, author, CURRENT_VERSION, address))


def target_in(
    name: str, *, author: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Draft that a leaving target returns.

    :param name: Target.
    :param author: Who makes the change.
    :param address: Address of any live host.
    """
    changes = [{'path': f'targets/{name}', 'value': None}]
    _print(draftclient.draft_changes(changes, author, CURRENT_VERSION, address))


def draft(
    file: pathlib.Path,
    *,
    author: str,
    base_version: int = CURRENT_VERSION,
    address: str = DEFAULT_ADDRESS,
) -> None:
    """Draft changes from a JSON file.

    :param file: List of objects with path and value.
    :param author: Who makes the change.
    :param base_version: Version that the change starts from.
    :param address: Address of any live host.
    """
    changes = draftclient.read_changes(file)
    _print(draftclient.draft_changes(changes, author, base_version, address))


def drafts(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the drafts that are not in force yet, with their changes.

    :param json: Print JSON.
    :param address: Address of any live host.
    """
    _print(draftclient.run_command(address, 'config.drafts'), json)


def sign(draft_id: str, *, signer: str, address: str = DEFAULT_ADDRESS) -> None:
    """Sign off a draft of another person.

    :param draft_id: Draft, as printed when it was made.
    :param signer: Who signs.
    :param address: Address of any live host.
    """
    arguments = {'draft': draft_id, 'signer': signer}
    _print(draftclient.run_command(address, 'config.sign', arguments))


def roll(
    draft_id: str, *, operator: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Put a signed draft in force.

    :param draft_id: Draft, as printed when it was made.
    :param operator: Who rolls it out.
    :param address: Address of any live host.
    """
    arguments = {'draft': draft_id, 'operator': operator}
    _print(draftclient.run_command(address, 'config.roll', arguments))


def zone_out(
    zone: str, *, operator: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Take an availability zone out of service at once.

    :param zone: Availability zone.
    :param operator: Who takes it out.
    :param address: Address of any live host.
    """
    arguments = {'zone': zone, 'operator': operator}
    _print(draftclient.run_command(address, 'zone.out', arguments))


def zone_in(
    zone: str, *, operator: str, address: str = DEFAULT_ADDRESS
) -> None:
    """Return an availability zone to service at once.

    :param zone: Availability zone.
    :param operator: Who returns it.
    :param address: Address of any live host.
    """
    arguments = {'zone': zone, 'operator': operator}
    _print(draftclient.run_command(address, 'zone.in', arguments))


def show_config(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the configuration in force at a host.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(draftclient.run_command(address, 'config.show'), json)


def hosts(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the hosts that a host knows.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(draftclient.run_command(address, 'hosts.show'), json)


def targets(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the targets that a host knows.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(draftclient.run_command(address, 'targets.show'), json)


def partitions(*, json: bool = False, address: str = DEFAULT_ADDRESS) -> None:
    """Show the owners of partitions that a host believes in.

    :param json: Print JSON.
    :param address: Address of the host.
    """
    _print(draftclient.run_command(address, 'partitions.show'), json)


def audit(
    *, limit: int = 64, json: bool = False, address: str = DEFAULT_ADDRESS
) -> None:
    """Show the audit trail.

    :param limit: Number of entries, at most 1024.
    :param json: Print JSON.
    :param address: Address of any live host.
    """
    _print(
        draftclient.run_command(address, 'audit.show', {'limit': limit}), json
    )


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
    order_fields = {'kind': kind, **draftclient.parse_fields(fields)}
    arguments = {'target': target, 'order': order_fields}
    _print(draftclient.run_command(address, 'target.order', arguments))


def drain(*, address: str = DEFAULT_ADDRESS) -> None:
    """Stop a host gracefully; it finishes its requests first.

    :param address: Address of the host to stop.
    """
    _print(draftclient.run_command(address, 'host.drain'))


def explain(request_id: str, *logs: str, as_json: bool = False) -> None:
    """Say what became of a request, from the logs of hosts.

    :param request_id: Id of the caller's attempt.
    :param logs: Log files.
    :param as_json: Print JSON instead of text.
    """
    lines: list[str] = []
    for log in logs:
        try:
            lines.extend(pathlib.Path(log).read_text().splitlines())
        except (OSError, UnicodeDecodeError) as fault:
            raise adminclient.CommandFailed(
                f'{log}: {fault}; name a log file that can be read'
            ) from fault
    explanation = explanations.explain(lines, request_id)
    if not explanation.lines:
        raise adminclient.CommandFailed(explanation.meaning)
    body = {
        'meaning': explanation.meaning,
        'lines': [
            {'event': line.event, **line.fields} for line in explanation.lines
        ],
    }
    _print(body, as_json)


def check(
    file: pathlib.Path,
    *,
    in_force: pathlib.Path | None = None,
    as_json: bool = False,
) -> None:
    """Check a configuration of the users' platform before it is sent.

    Exits with status 1 if there are findings, and with 2 if a file cannot be
    read as a configuration.

    :param file: Configuration to check.
    :param in_force: Configuration to compare it with.
    :param as_json: Print JSON instead of text.
    """
    try:
        checked = checkcommand.check_file(file, in_force)
    except checkcommand.Unreadable as fault:
        print(f'error: {fault}', file=sys.stderr)
        sys.exit(EXIT_UNREADABLE)
    print(
        adminclient.as_json(checked)
        if as_json
        else checkcommand.as_text(checked)
    )
    if checked['findings']:
        sys.exit(EXIT_FINDINGS)


COMMANDS = (
    explain,
    check,
    workspace_set,
    service_set,
    target_out,
    target_in,
    draft,
    drafts,
    sign,
    roll,
    zone_out,
    zone_in,
    show_config,
    hosts,
    targets,
    partitions,
    audit,
    order,
    drain,
)


def _print(body: adminclient.Body, as_json: bool = False) -> None:
    format_body = adminclient.as_json if as_json else adminclient.as_text
    print(format_body(body))


def main(argv: list[str] | None = None) -> None:
    """Run one command."""
    try:
        defopt.run(COMMANDS, argv=argv)
    except adminclient.CommandFailed as fault:
        sys.exit(f'error: {fault}')
    except BrokenPipeError:
        # The reader of the output, for example head, has exited.
        sys.stderr.close()
        sys.exit(EXIT_BROKEN_PIPE)


if __name__ == '__main__':
    main()
