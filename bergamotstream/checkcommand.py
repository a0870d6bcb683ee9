"""
Check command
~~~~~~~~~~~~~

Reads configurations of the users' platform from files, by the reader that the
hosts use, and formats what the checks find for operators and for programs.
"""

import pathlib
from collections.abc import Iterator
from typing import Final

from bergamotstream import adminclient
from bergamotstream.forwarding import configurationcheck
from bergamotstream.platform import configurationformat, documents

REFUSED_REMEDY: Final = 'correct the field; hosts use a default, or no entry'
UNMATCHED_REMEDY: Final = 'remove the entry, or change what it shares'
# Refused fields whose content may be an API key.
KEYS_FIELD: Final = 'tenants'
HIDDEN_REASON: Final = 'cannot be used'
VERSION_REMEDY: Final = 'raise the version; hosts ignore one that is not newer'


class Unreadable(Exception):
    """A file that no host would take as a configuration."""


def check_file(
    path: pathlib.Path, in_force: pathlib.Path | None = None
) -> adminclient.Body:
    """Return ``version``, ``findings`` and, with ``in_force``, ``differences``.

    Raises :class:`Unreadable`.
    """
    found = _read(path)
    findings = list(_findings(found))
    version = found.configuration.version
    checked: adminclient.Body = {'version': version}
    if in_force is not None:
        known = _read(in_force)
        checked['differences'] = [
            difference._asdict()
            for difference in configurationcheck.compare(
                known.configuration, found.configuration
            )
        ]
        # Hosts apply a version again that no longer has refused fields.
        is_mended = bool(known.faults.count and not found.faults.count)
        findings.extend(
            _check_version(
                known.configuration.version, version + int(is_mended)
            )
        )
    checked['findings'] = [finding._asdict() for finding in findings]
    return checked


def as_text(checked: adminclient.Body) -> str:
    """Return one line for each finding and each difference."""
    lines = [f'version: {checked["version"]}']
    for finding in checked['findings']:
        lines.append('{place}: {code}: {detail}; {remedy}'.format_map(finding))
    for difference in checked.get('differences', ()):
        lines.append(
            '{entry}: {field}: {before} -> {after}'.format_map(difference)
        )
    lines.append(f'findings: {len(checked["findings"])}')
    return '\n'.join(lines)


def _read(path: pathlib.Path) -> configurationformat.ReadConfiguration:
    try:
        return documents.read_configuration(path.read_bytes())
    except (OSError, documents.Undecodable) as fault:
        raise Unreadable(f'{path}: {fault}') from fault


def _findings(
    found: configurationformat.ReadConfiguration,
) -> Iterator[configurationcheck.Finding]:
    for fault in found.faults.first:
        may_show = not fault.key.startswith(KEYS_FIELD)
        yield configurationcheck.Finding(
            'refused_field',
            fault.key,
            fault.reason if may_show else HIDDEN_REASON,
            REFUSED_REMEDY,
        )
    more = found.faults.count - len(found.faults.first)
    if more:
        yield configurationcheck.Finding(
            'refused_field', 'others', f'{more} more fields', REFUSED_REMEDY
        )
    for fault in found.unmatched:
        yield configurationcheck.Finding(
            'unmatched_entry', fault.key, fault.reason, UNMATCHED_REMEDY
        )
    yield from configurationcheck.check(found.configuration)


def _check_version(
    known: int, version: int
) -> Iterator[configurationcheck.Finding]:
    if version <= known:
        yield configurationcheck.Finding(
            'version_not_newer', 'version', f'in_force={known}', VERSION_REMEDY
        )
