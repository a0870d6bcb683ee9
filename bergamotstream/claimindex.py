"""
Index of the claim log
~~~~~~~~~~~~~~~~~~~~~~

Index of the segments and entries of one claims partition; their format is in
:mod:`claimformat`.

Retention. An entry is dropped 10 min after its claim. Folds store its age, and
a new owner counts on from the stored age, so it is never overestimated. When
there are 64 small segments (under a third of the limit), two or more of them
are folded into one of at most 64 KB. A segment whose entries are all dropped is
deleted, except the last one, which determines the next sequence.

No segment is deleted within 10 s of its creation. A new owner's seal is valid
only if it is confirmed within 5 s of the read before it; otherwise the previous
owner could have written, folded and deleted the sealed sequence in between.
Seals are kept for 10 min, and the last 64 always, so that the next write of a
deposed owner that resumes late conflicts with a seal.

A partition therefore has at most 64 small segments, one key for each 21 KB of
entries, the segments of 10 s and the seals of 10 min or the last 64.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from bergamotstream import claimformat, records

FOLD_SEGMENTS = 64
MIN_KEPT_SEALS = 64
# Answers beyond this total of a partition are not recorded; a repeated request
# then gets 'may_have_run'. This bounds memory and the time to read the log.
MAX_ANSWER_BYTES = 8_000_000
# Small segments are at most a third of the limit, so that two always fit.
SMALL_DIVISOR = 3
DELETE_AFTER_MS = 10_000
SEAL_CONFIRM_LIMIT_MS = 5_000


class SegmentInfo(NamedTuple):
    """Index entry of a segment."""

    kind: claimformat.Kind
    size: int
    keys: tuple[claimformat.Key, ...]
    newest_ms: int
    added_ms: int


class Fold(NamedTuple):
    """Entries to write again and the segments that they replace."""

    entries: tuple[claimformat.Entry, ...]
    sources: tuple[int, ...]


def contiguous_runs(
    sequences: Iterable[int], present: Iterable[int]
) -> Iterator[tuple[int, int]]:
    """Yield first and last sequence of runs without other present ones."""
    selected = set(sequences)
    run: list[int] = []
    for sequence in sorted(selected | set(present)):
        if sequence in selected:
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
        self.entries_by_key: dict[claimformat.Key, claimformat.Entry] = {}
        self.segments_by_sequence: dict[int, SegmentInfo] = {}
        self.next_sequence = 1
        self._small_segments: dict[int, None] = {}
        self._added_ms_by_obsolete: dict[int, int] = {}
        self.answer_bytes = 0
        self._segment_bytes = segment_bytes
        self._retention_ms = retention_ms

    def read_back(self, items: Sequence[records.KvItem], now_ms: int) -> None:
        """Build the index from all segments, in key order."""
        for item in items:
            segment = claimformat.decode_segment(item.value, now_ms)
            self.add(
                claimformat.sequence_of(item.key),
                segment,
                len(item.value),
                now_ms,
            )

    def add(
        self,
        sequence: int,
        segment: claimformat.Segment,
        size: int,
        now_ms: int,
    ) -> None:
        """Apply a segment that is certainly in the log."""
        keys = tuple(claimformat.key_of(entry) for entry in segment.entries)
        claim_times_ms = [entry.born_ms for entry in segment.entries] or [
            now_ms
        ]
        for key, entry in zip(keys, segment.entries, strict=True):
            self._set(key, entry._replace(home=sequence))
        self.segments_by_sequence[sequence] = SegmentInfo(
            segment.kind, size, keys, max(claim_times_ms), now_ms
        )
        small = size < self._segment_bytes // SMALL_DIVISOR
        if small and segment.kind != 'seal':
            self._small_segments[sequence] = None
        self.next_sequence = sequence + 1

    def expire(self, now_ms: int) -> None:
        """Drop old entries and the segments that hold no others."""
        cutoff_ms = now_ms - self._retention_ms
        # Entries are nearly in the order of their claims, so the scan ends
        # at the first young one; a misplaced one is dropped a little later.
        for key, entry in list(self._entries_until(cutoff_ms)):
            self.entries_by_key.pop(key)
            self.answer_bytes -= len(entry.answer or b'')
        old = [
            sequence
            for sequence, info in self.segments_by_sequence.items()
            if info.newest_ms <= cutoff_ms and info.kind != 'seal'
        ]
        old.extend(self._old_seals(cutoff_ms))
        last = self.next_sequence - 1
        self.mark_obsolete(sequence for sequence in old if sequence != last)

    def pop_due_deletions(self, now_ms: int) -> list[tuple[int, int]]:
        """Return the runs of segments to delete now, as first and last."""
        due = [
            sequence
            for sequence, added_ms in self._added_ms_by_obsolete.items()
            if now_ms - added_ms >= DELETE_AFTER_MS
        ]
        for sequence in due:
            self._added_ms_by_obsolete.pop(sequence)
        present = (*self.segments_by_sequence, *self._added_ms_by_obsolete)
        return list(contiguous_runs(due, present))

    def plan_fold(self) -> Fold | None:
        """Return the next fold, or None while there are few segments."""
        if len(self._small_segments) < FOLD_SEGMENTS:
            return None
        free_bytes = self._segment_bytes - claimformat.HEADER_BYTES
        folded: list[claimformat.Entry] = []
        sources: list[int] = []
        for sequence in self._small_segments:
            live_entries = self._live_entries(sequence)
            free_bytes -= sum(map(claimformat.entry_size, live_entries))
            if free_bytes < 0:
                break
            folded.extend(live_entries)
            sources.append(sequence)
        return Fold(tuple(folded), tuple(sources))

    def mark_obsolete(self, sequences: Iterable[int]) -> None:
        """Drop segments from the index and queue them for deletion."""
        for sequence in list(sequences):
            # A segment can expire while it is folded.
            info = self.segments_by_sequence.pop(sequence, None)
            if info is not None:
                self._added_ms_by_obsolete[sequence] = info.added_ms
            self._small_segments.pop(sequence, None)

    def _set(self, key: claimformat.Key, entry: claimformat.Entry) -> None:
        previous = self.entries_by_key.get(key)
        if previous is not None:
            self.answer_bytes -= len(previous.answer or b'')
            if previous.claim_id != entry.claim_id:
                # Entries are in the order of claims: the new one goes last.
                self.entries_by_key.pop(key)
        self.entries_by_key[key] = entry
        self.answer_bytes += len(entry.answer or b'')

    def _entries_until(
        self, cutoff_ms: int
    ) -> Iterator[tuple[claimformat.Key, claimformat.Entry]]:
        for key, entry in self.entries_by_key.items():
            if entry.born_ms > cutoff_ms:
                return
            yield key, entry

    def _old_seals(self, cutoff_ms: int) -> list[int]:
        seals = [
            sequence
            for sequence, info in self.segments_by_sequence.items()
            if info.kind == 'seal'
        ]
        return [
            sequence
            for sequence in seals[:-MIN_KEPT_SEALS]
            if self.segments_by_sequence[sequence].newest_ms <= cutoff_ms
        ]

    def _live_entries(self, sequence: int) -> list[claimformat.Entry]:
        """Return the entries whose current state only this segment holds."""
        known = (
            self.entries_by_key.get(key)
            for key in self.segments_by_sequence[sequence].keys
        )
        return [entry for entry in known if entry and entry.home == sequence]
