"""
Format of the claim log
~~~~~~~~~~~~~~~~~~~~~~~

A segment is JSON with the writer's nonce, its kind and its entries. Entries
are applied in the order of segments and replace earlier ones of the same key:

- ``batch``: claims and outcomes of one group commit.
- ``seal``: the first segment of a new owner. It occupies the sequence that the
  previous owner would use next, so the next write of that owner conflicts.
- ``fold``: a compaction. It contains the current entries of earlier small
  segments, which are deleted afterwards.
"""

import base64
import json
from collections.abc import Sequence
from typing import Any, Literal, NamedTuple

from bergamotstream import bundleformat

Key = tuple[str, str]
Kind = Literal['batch', 'seal', 'fold']

SEQUENCE_DIGITS = 16
# Space for the fields of a segment other than its entries.
HEADER_BYTES = 512
# An age of 10 min has six digits; the size of an entry allows for them.
LONGEST_AGE_MS = 999_999


class Entry(NamedTuple):
    """State of one idempotency key.

    ``state`` is ``claimed``, ``ran`` or ``abandoned``. ``answer`` is None if
    it is not recorded. ``born_ms`` is the time of the claim on this host's
    clock. ``home`` is the sequence of the segment that holds this state.
    """

    workspace: str
    key: str
    claim_id: str
    host: str
    body_digest: int
    state: str
    born_ms: int
    answer: bytes | None = None
    home: int = 0


class Segment(NamedTuple):
    """One segment of the log, stored as one value."""

    kind: Kind
    nonce: str
    entries: tuple[Entry, ...] = ()


def key_of(entry: Entry) -> Key:
    """Return the workspace and idempotency key of an entry."""
    return entry.workspace, entry.key


def segment_prefix(cell: str, partition: str) -> str:
    """Return the prefix of the segments of a cell's partition."""
    return f'claims/{cell}/{partition}/'


def segment_key(cell: str, partition: str, sequence: int) -> str:
    """Return the key of a segment; keys sort by sequence."""
    return f'{segment_prefix(cell, partition)}{sequence:0{SEQUENCE_DIGITS}}'


def sequence_of(key: str) -> int:
    """Return the sequence of a segment's key."""
    return int(key.rpartition('/')[2])


def entry_size(entry: Entry) -> int:
    """Return the encoded size of an entry in bytes."""
    return (
        len(bundleformat.canonical_json(_to_fields(entry, LONGEST_AGE_MS))) + 1
    )


def encode_segment(segment: Segment, now_ms: int) -> bytes:
    """Return a segment as JSON with the ages of its entries."""
    return bundleformat.canonical_json(
        {
            'kind': segment.kind,
            'nonce': segment.nonce,
            'entries': [
                _to_fields(entry, now_ms - entry.born_ms)
                for entry in segment.entries
            ],
        }
    )


def decode_segment(content: bytes, now_ms: int) -> Segment:
    """Read a segment; raises ``ValueError``, ``KeyError`` or ``TypeError``."""
    fields = json.loads(content)
    entries = tuple(_from_fields(now_ms, each) for each in fields['entries'])
    return Segment(fields['kind'], fields['nonce'], entries)


def _to_fields(entry: Entry, age_ms: int) -> list[str | int | None]:
    answer = entry.answer
    return [
        entry.workspace,
        entry.key,
        entry.claim_id,
        entry.host,
        entry.body_digest,
        entry.state,
        age_ms,
        None if answer is None else base64.b64encode(answer).decode(),
    ]


def _from_fields(now_ms: int, fields: Sequence[Any]) -> Entry:
    *unchanged, age_ms, answer = fields
    decoded = None if answer is None else base64.b64decode(answer)
    born_ms = now_ms - age_ms
    return Entry._make((*unchanged, born_ms, decoded, 0))
