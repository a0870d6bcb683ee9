"""
Format of the configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~

A document maps each section to its entries by name; it is plain JSON. This
module builds a :class:`records.Bundle` from it and reports all faults at once.

Sections: ``workspaces``, ``services``, ``zones`` (``"out"`` for each zone taken
out of service) and ``targets`` (``"leaving"`` for each leaving target).
"""

import json
import re
import zlib
from collections.abc import Iterator, Mapping
from typing import Any

import pydantic

from bergamotstream import errors, outsidedata, records

Document = dict[str, dict[str, Any]]

SECTIONS = ('workspaces', 'services', 'zones', 'targets')
STATUS_BY_SECTION = {'zones': 'out', 'targets': 'leaving'}
NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
MAX_CONTENT_BYTES = 16_000_000
# Larger bundles are compressed: to fit a peer message of 256 KB, and because
# each change sends the whole bundle to each host of the cell.
COMPRESSION_THRESHOLD_BYTES = 2_000
JSON_START = ord('{')
# Larger numbers would not fit the integers of the wire format.
MAX_NUMBER = 1_000_000_000_000
# Minimum of each number; weights and speeds must exceed it.
MIN_BY_FIELD: Mapping[str, int] = {
    'priority': 0,
    'weight': 0,
    'max_concurrent': 0,
    'tokens_per_s': 0,
    'memory_tokens': 1,
    'slots': 1,
    'partitions_per_zone': 1,
    'cold_limit': 1,
    'warm_after': 0,
    'prefill_tokens_per_s': 1,
    'decode_ms_per_token': 0,
    'call_ms': 0,
}
POSITIVE_FIELDS = frozenset(('weight', 'decode_ms_per_token'))
ADAPTERS_BY_SECTION: Mapping[str, Any] = {
    'workspaces': pydantic.TypeAdapter(records.WorkspaceConfig),
    'services': pydantic.TypeAdapter(records.ServiceConfig),
}


def canonical_json(content: Any) -> bytes:
    """Return JSON bytes that depend only on the content."""
    return json.dumps(
        content, sort_keys=True, separators=(',', ':'), allow_nan=False
    ).encode()


def empty_document() -> Document:
    """Return the document of version 0."""
    return {section: {} for section in SECTIONS}


def build_bundle(
    version: int,
    document: Mapping[str, Any],
    previous: records.Bundle | None = None,
) -> records.Bundle:
    """Check a document; raises ``InvalidBundle`` that names every fault.

    Entries that are the same in ``previous`` are not checked again, which
    matters with thousands of workspaces.
    """
    known = _known_entries(previous)
    faults = [
        f'{section}: unknown section'
        for section in document
        if section not in SECTIONS
    ]
    built = {
        section: _build_section(
            section, document.get(section, {}), known.get(section, {}), faults
        )
        for section in SECTIONS
    }
    if faults:
        raise errors.InvalidBundle('\n'.join(faults))
    return records.Bundle(
        version=version,
        workspaces_by_name=built['workspaces'],
        services_by_name=built['services'],
        zones_out=frozenset(built['zones']),
        targets_leaving=frozenset(built['targets']),
    )


def document_of(bundle: records.Bundle) -> Document:
    """Return the document of a bundle."""
    return {
        'workspaces': _entry_fields(bundle.workspaces_by_name),
        'services': _entry_fields(bundle.services_by_name),
        'zones': dict.fromkeys(bundle.zones_out, STATUS_BY_SECTION['zones']),
        'targets': dict.fromkeys(
            bundle.targets_leaving, STATUS_BY_SECTION['targets']
        ),
    }


def encode_bundle(bundle: records.Bundle) -> bytes:
    """Return the bytes that a peer message carries, compressed if large."""
    content = canonical_json(
        {'version': bundle.version, 'document': document_of(bundle)}
    )
    if len(content) > COMPRESSION_THRESHOLD_BYTES:
        return zlib.compress(content)
    return content


def decode_bundle(
    content: bytes, previous: records.Bundle | None = None
) -> records.Bundle:
    """Read what a peer sent; raises ``InvalidBundle``."""
    try:
        fields = outsidedata.decode_json(_decompress(content))
    except (ValueError, zlib.error) as fault:
        raise errors.InvalidBundle(f'content: {fault}') from fault
    if not isinstance(fields, dict) or not _is_version(fields.get('version')):
        raise errors.InvalidBundle('version: must be a positive integer')
    if not isinstance(fields.get('document'), dict):
        raise errors.InvalidBundle('document: must be an object')
    return build_bundle(fields['version'], fields['document'], previous)


def _known_entries(
    previous: records.Bundle | None,
) -> dict[str, Mapping[str, Any]]:
    if previous is None:
        return {}
    return {
        'workspaces': previous.workspaces_by_name,
        'services': previous.services_by_name,
    }


def _build_section(
    section: str, entries: Any, known: Mapping[str, Any], faults: list[str]
) -> dict[str, Any]:
    if not isinstance(entries, dict):
        faults.append(f'{section}: must be an object')
        return {}
    built = {}
    for name, entry in entries.items():
        path = f'{section}/{name}'
        if _is_unchanged(known.get(name), entry):
            built[name] = known[name]
        elif NAME_PATTERN.fullmatch(name) is None:
            faults.append(f'{path}: must be 1 to 63 of A-Z a-z 0-9 . _ -')
        elif section in STATUS_BY_SECTION:
            faults.extend(_status_faults(section, path, entry))
            built[name] = entry
        else:
            built[name] = _build_entry(section, name, entry, faults)
    return built


def _is_unchanged(known: Any, entry: Any) -> bool:
    if known is None or not isinstance(entry, dict):
        return False
    return known._asdict() == {'name': known.name, **entry}


def _status_faults(section: str, path: str, entry: Any) -> Iterator[str]:
    status = STATUS_BY_SECTION[section]
    if entry != status:
        yield f'{path}: must be "{status}" or null'


def _build_entry(section: str, name: str, entry: Any, faults: list[str]) -> Any:
    path = f'{section}/{name}'
    if not isinstance(entry, dict):
        faults.append(f'{path}: must be an object')
        return None
    if entry.get('name', name) != name:
        faults.append(f'{path}/name: must be {name}')
    faults.extend(_range_faults(path, entry))
    try:
        return ADAPTERS_BY_SECTION[section].validate_json(
            json.dumps({**entry, 'name': name}), strict=True
        )
    except pydantic.ValidationError as invalid:
        faults.extend(_describe(path, invalid))
    return None


def _describe(path: str, invalid: pydantic.ValidationError) -> Iterator[str]:
    for entry in invalid.errors():
        field = '/'.join(str(part) for part in entry['loc'])
        yield f'{path}/{field}: {entry["msg"]}'


def _range_faults(path: str, fields: Mapping[str, Any]) -> Iterator[str]:
    for field, minimum in MIN_BY_FIELD.items():
        number = fields.get(field)
        if isinstance(number, int | float):
            limit = _violated_limit(field, number, minimum)
            if limit:
                yield f'{path}/{field}: must be {limit}'


def _violated_limit(field: str, number: float, minimum: int) -> str:
    if number < minimum:
        return f'at least {minimum}'
    if field in POSITIVE_FIELDS and number <= 0:
        return 'above 0'
    # A NaN compares as false, so it also ends here.
    return '' if number <= MAX_NUMBER else f'at most {MAX_NUMBER}'


def _entry_fields(entries_by_name: Mapping[str, Any]) -> dict[str, Any]:
    fields_by_name = {}
    for name, entry in entries_by_name.items():
        fields_by_name[name] = entry._asdict()
        fields_by_name[name].pop('name')
    return fields_by_name


def _decompress(content: bytes) -> bytes:
    if not content or content[0] == JSON_START:
        return content
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(content, MAX_CONTENT_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f'over {MAX_CONTENT_BYTES} bytes')
    return decompressed


def _is_version(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0
