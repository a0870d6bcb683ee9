"""
Claim log
~~~~~~~~~

Format of the segments of a claims partition and the index of its entries.

A segment is JSON with the writer's nonce, its kind and its entries. Entries
are applied in the order of segments and replace earlier ones of the same key:

- ``batch``: claims and outcomes of one group commit.
- ``seal``: the first segment of a new owner. It takes the sequence that the
  owner before would use next.
- ``fold``: the present entries of earlier small segments, which are deleted
  afterwards.

Retention. An entry is dropped 10 min after its claim. Its age is kept in folds
and counts on from there at a new owner, so it is never overestimated. When
there are 64 small segments (under half of the limit), they are folded into
one of at most 64 KB. A segment whose entries are all dropped is deleted, but
never the last one, which gives the next sequence. Seals are kept for 10 min, and
the last 64 always: a deposed owner that resumes late must find its next
sequence taken. A partition therefore has at most 64 small segments, 64 seals or
those of 10 min, and one key for each 32 KB of entries.
"""

import base64
import json
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Literal, NamedTuple

from bergamotstream import bundleformat, records

Key = tuple[str, str]
Kind = Literal['batch', 'seal', 'fold']

FOLD_SEGMENTS = 64
KEPT_SEALS = 64
SEQUENCE_DIGITS = 16
# Room for the fields of a segment beside its entries.
HEADER_BYTES = 512
# Answers beyond this in one partition are not kept; a repeated request then
# gets 'may_have_run'. This bounds memory and the time of reading back.
MAX_ANSWER_BYTES = 8_000_000


class Entry(NamedTuple):
    """What is known of one idempotency key.

    ``state`` is ``claimed``, ``ran`` or ``abandoned``. ``answer`` is None if
    it is not kept. ``born_ms`` is the time of the claim on this host's clock.
    """

    workspace: str
    key: str
    claim_id: str
    host: str
    body_digest: int
    state: str
    born_ms: int
    answer: bytes | None = None


class Segment(NamedTuple):
    """One value of the log."""

    kind: Kind
    nonce: str
    entries: tuple[Entry, ...] = ()


class SegmentInfo(NamedTuple):
    """What the index keeps of a segment."""

    kind: Kind
    size: int
    keys: tuple[Key, ...]
    newest_ms: int


class Fold(NamedTuple):
    """Entries to write again and the segments that they replace."""

    entries: tuple[Entry, ...]
    sources: tuple[int, ...]


def key_of(entry: Entry) -> Key:
    """Return what identifies an entry."""
    return entry.workspace, entry.key


def segment_prefix(partition: str) -> str:
    """Return the prefix of the segments of a partition."""
    return f'claims/{partition}/'


def segment_key(partition: str, sequence: int) -> str:
    """Return the key of a segment; keys sort by sequence."""
    return f'{segment_prefix(partition)}{sequence:0{SEQUENCE_DIGITS}}'


def sequence_of(key: str) -> int:
    """Return the sequence of a segment's key."""
    return int(key.rpartition('/')[2])


def entry_size(entry: Entry) -> int:
    """Return the encoded size of an entry in bytes."""
    return len(bundleformat.canonical(_to_fields(entry, 0))) + 1


def encode_segment(segment: Segment, now_ms: int) -> bytes:
    """Return a segment as JSON with the ages of its entries."""
    return bundleformat.canonical(
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


def runs_of(
    sequences: Iterable[int], present: Iterable[int]
) -> Iterator[tuple[int, int]]:
    """Yield first and last of runs without other present sequences."""
    wanted = set(sequences)
    run: list[int] = []
    for sequence in sorted(wanted | set(present)):
        if sequence in wanted:
            run.append(sequence)
        elif run:
            yield run[0], run[-1]
            run = []
    if run:
        yield run[0], run[-1]


class ClaimIndex:
    """Entries and segments of one partition."""

    def __init__(self, segment_bytes: int, retention_ms: int) -> None:
        """Start empty; sizes are in bytes."""
        self.entries_by_key: dict[Key, Entry] = {}
        self.segments_by_sequence: dict[int, SegmentInfo] = {}
        self.next_sequence = 1
        self._small: dict[int, None] = {}
        self.answer_bytes = 0
        self._segment_bytes = segment_bytes
        self._retention_ms = retention_ms

    def read_back(self, items: Sequence[records.KvItem], now_ms: int) -> None:
        """Build the index from all segments, in key order."""
        for item in items:
            segment = decode_segment(item.value, now_ms)
            self.add(sequence_of(item.key), segment, len(item.value), now_ms)

    def add(
        self, sequence: int, segment: Segment, size: int, now_ms: int
    ) -> None:
        """Apply a segment that is certainly in the log."""
        keys = tuple(key_of(entry) for entry in segment.entries)
        births = [entry.born_ms for entry in segment.entries] or [now_ms]
        for key, entry in zip(keys, segment.entries, strict=True):
            self._set(key, entry)
        self.segments_by_sequence[sequence] = SegmentInfo(
            segment.kind, size, keys, max(births)
        )
        if segment.kind != 'seal' and size < self._segment_bytes // 2:
            self._small[sequence] = None
        self.next_sequence = sequence + 1

    def expire(self, now_ms: int) -> list[int]:
        """Drop old entries; return and forget the segments to delete."""
        dropped_ms = now_ms - self._retention_ms
        # Entries are nearly in the order of their claims, so the scan ends
        # at the first young one; a misplaced one is dropped a little later.
        for key, entry in list(self._oldest(dropped_ms)):
            self.entries_by_key.pop(key)
            self.answer_bytes -= len(entry.answer or b'')
        old = [
            sequence
            for sequence, info in self.segments_by_sequence.items()
            if info.newest_ms <= dropped_ms and info.kind != 'seal'
        ]
        old.extend(self._old_seals(dropped_ms))
        last = self.next_sequence - 1
        return self.forget(sequence for sequence in old if sequence != last)

    def plan_fold(self) -> Fold | None:
        """Return the next fold, or None while there are few segments."""
        if len(self._small) < FOLD_SEGMENTS:
            return None
        room = self._segment_bytes - HEADER_BYTES
        folded: dict[Key, Entry] = {}
        sources: list[int] = []
        for sequence in self._small:
            added = self._live_entries(sequence, folded)
            room -= sum(map(entry_size, added.values()))
            if room < 0:
                break
            folded.update(added)
            sources.append(sequence)
        return Fold(tuple(folded.values()), tuple(sources))

    def forget(self, sequences: Iterable[int]) -> list[int]:
        """Forget segments and return them."""
        forgotten = list(sequences)
        for sequence in forgotten:
            self.segments_by_sequence.pop(sequence)
            self._small.pop(sequence, None)
        return forgotten

    def _set(self, key: Key, entry: Entry) -> None:
        before = self.entries_by_key.get(key)
        if before is not None:
            self.answer_bytes -= len(before.answer or b'')
            if before.claim_id != entry.claim_id:
                # A new claim of an abandoned key is as young as its claim.
                self.entries_by_key.pop(key)
        self.entries_by_key[key] = entry
        self.answer_bytes += len(entry.answer or b'')

    def _oldest(self, dropped_ms: int) -> Iterator[tuple[Key, Entry]]:
        for key, entry in self.entries_by_key.items():
            if entry.born_ms > dropped_ms:
                return
            yield key, entry

    def _old_seals(self, dropped_ms: int) -> list[int]:
        seals = [
            sequence
            for sequence, info in self.segments_by_sequence.items()
            if info.kind == 'seal'
        ]
        return [
            sequence
            for sequence in seals[:-KEPT_SEALS]
            if self.segments_by_sequence[sequence].newest_ms <= dropped_ms
        ]

    def _live_entries(
        self, sequence: int, folded: dict[Key, Entry]
    ) -> dict[Key, Entry]:
        return {
            key: self.entries_by_key[key]
            for key in self.segments_by_sequence[sequence].keys
            if key in self.entries_by_key and key not in folded
        }


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
    *same, age_ms, answer = fields
    kept = None if answer is None else base64.b64decode(answer)
    same.extend((now_ms - age_ms, kept))
    return Entry._make(same)
