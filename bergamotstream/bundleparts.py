"""
Parts of a bundle
~~~~~~~~~~~~~~~~~

A section is stored in one or more parts at ``config/parts/<xxh128>`` of at
most 256 KB each. Entries are assigned to parts by the hash of their name, so
that a change of one entry rewrites one part.

A part contains the nonce of the change that wrote it. A part that has been
replaced is therefore never referenced again and can be deleted at once, even
if a later change restores the same content.
"""

import json
from collections.abc import Mapping
from typing import Any

import xxhash

from bergamotstream import bundleformat, errors, partitions

PART_PREFIX = 'config/parts/'
MAX_PART_BYTES = 262_144
# Parts are filled to half, so that growth rarely splits a whole section.
TARGET_PART_BYTES = MAX_PART_BYTES // 2

Entries = dict[str, Any]


class PartSet:
    """The entries of the parts in force by part hash."""

    def __init__(self) -> None:
        """Start without parts."""
        self.entries_by_hash: dict[str, Entries] = {}

    def add(self, part_hash: str, content: bytes) -> None:
        """Add a part that was read; raises ``ValueError`` if corrupt."""
        if xxhash.xxh128_hexdigest(content) != part_hash:
            raise ValueError(f'{part_hash}: the content has another hash')
        self.entries_by_hash[part_hash] = json.loads(content)['entries']

    def missing(self, hashes: set[str]) -> list[str]:
        """Return the hashes whose content has not been read."""
        return sorted(hashes - self.entries_by_hash.keys())

    def retain(self, hashes: set[str]) -> None:
        """Drop all other parts."""
        for part_hash in self.entries_by_hash.keys() - hashes:
            self.entries_by_hash.pop(part_hash)

    def document(
        self, parts_by_section: Mapping[str, list[str]]
    ) -> bundleformat.Document:
        """Join parts into a document; raises ``KeyError`` if one is missing."""
        document = bundleformat.empty_document()
        for section, hashes in parts_by_section.items():
            for part_hash in hashes:
                document[section].update(self.entries_by_hash[part_hash])
        return document

    def split(
        self,
        document: bundleformat.Document,
        parts_by_section: Mapping[str, list[str]],
        nonce: str,
    ) -> tuple[dict[str, list[str]], dict[str, bytes]]:
        """Return the parts of a changed document and those to write.

        Unchanged parts keep their hash.
        """
        hashes_by_section: dict[str, list[str]] = {}
        content_by_hash: dict[str, bytes] = {}
        for section, entries in document.items():
            previous_hashes = parts_by_section.get(section, [])
            hashes_by_section[section] = []
            for number, bucket in enumerate(
                _buckets(entries, len(previous_hashes))
            ):
                part_hash = self._unchanged_part(
                    bucket, previous_hashes, number
                )
                if not part_hash:
                    content = _encode_part(nonce, section, number, bucket)
                    part_hash = xxhash.xxh128_hexdigest(content)
                    content_by_hash[part_hash] = content
                hashes_by_section[section].append(part_hash)
        return hashes_by_section, content_by_hash

    def _unchanged_part(
        self, bucket: Entries, previous_hashes: list[str], number: int
    ) -> str:
        if number < len(previous_hashes):
            if self.entries_by_hash.get(previous_hashes[number]) == bucket:
                return previous_hashes[number]
        return ''


def all_hashes(parts_by_section: Mapping[str, list[str]]) -> set[str]:
    """Return the hashes of all sections."""
    return {
        part_hash
        for hashes in parts_by_section.values()
        for part_hash in hashes
    }


def _buckets(entries: Entries, count: int) -> list[Entries]:
    """Split entries into ``count`` buckets, or more if one is too large."""
    count = max(count, 1)
    while True:
        buckets: list[Entries] = [{} for _ in range(count)]
        for name, entry in entries.items():
            buckets[partitions.hash_text(name) % count][name] = entry
        largest = max(
            len(bundleformat.canonical_json(each)) for each in buckets
        )
        if largest <= TARGET_PART_BYTES:
            return buckets
        if count > len(entries):
            raise errors.InvalidBundle('an entry is larger than a part')
        count *= 2


def _encode_part(
    nonce: str, section: str, number: int, entries: Entries
) -> bytes:
    return bundleformat.canonical_json(
        {
            'nonce': nonce,
            'section': section,
            'number': number,
            'entries': entries,
        }
    )
