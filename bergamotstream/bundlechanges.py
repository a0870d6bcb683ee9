"""
Changes of the configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies operators' changes to a document of :mod:`bundleformat`.

Each change is ``{"path": ..., "value": ...}``. A path is a section (its value
replaces the section), ``section/name`` or ``section/name/field``. A null value
removes what the path names.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from bergamotstream import bundleformat, errors

MAX_PATH_PARTS = 3


def apply_changes(
    document: bundleformat.Document, changes: Any
) -> bundleformat.Document:
    """Return a changed copy; raises ``InvalidBundle`` with every fault."""
    if not isinstance(changes, list) or not changes:
        raise errors.InvalidBundle('changes: must be a list with an entry')
    changed = {name: dict(entries) for name, entries in document.items()}
    faults: list[str] = []
    for number, change in enumerate(changes):
        if isinstance(change, dict) and set(change) == {'path', 'value'}:
            path = str(change['path'])
            faults.extend(_apply_change(changed, path, change['value']))
        else:
            faults.append(f'changes[{number}]: needs exactly path and value')
    # Faults of the changed document are reported together with those of paths.
    try:
        bundleformat.build_bundle(1, changed)
    except errors.InvalidBundle as invalid:
        faults.append(invalid.detail)
    if faults:
        raise errors.InvalidBundle('\n'.join(faults))
    return changed


def changed_paths(changes: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return the paths of changes in their order."""
    return [str(change['path']) for change in changes]


def _apply_change(
    document: bundleformat.Document, path: str, value: Any
) -> Iterator[str]:
    parts = path.split('/')
    fault = _path_fault(document, parts, value)
    if fault:
        yield f'{path}: {fault}'
        return
    section = parts[0]
    if len(parts) == 1:
        document[section] = _section_entries(section, value)
        return
    entries = document[section]
    if len(parts) == MAX_PATH_PARTS:
        # The entry is shared with the document before the change.
        entries[parts[1]] = dict(entries[parts[1]])
        entries = entries[parts[1]]
    entries.pop(parts[-1], None)
    if value is not None:
        entries[parts[-1]] = value


def _path_fault(
    document: bundleformat.Document, parts: list[str], value: Any
) -> str:
    section, *names = parts
    if section not in bundleformat.SECTIONS or len(parts) > MAX_PATH_PARTS:
        return 'unknown path'
    entries: Any = document[section]
    for name in names[:-1]:
        entries = entries.get(name) if isinstance(entries, dict) else None
    if not isinstance(entries, dict):
        return 'there is no such entry to change'
    if value is None and names and names[-1] not in entries:
        return 'there is no such entry to remove'
    return ''


def _section_entries(section: str, value: Any) -> Any:
    status = bundleformat.STATUS_BY_SECTION.get(section)
    if status and isinstance(value, list):
        if all(isinstance(name, str) for name in value):
            return dict.fromkeys(value, status)
    return {} if value is None else value
