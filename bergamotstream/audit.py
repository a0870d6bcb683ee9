"""
Audit trail
~~~~~~~~~~~

The head of the configuration with its audit entries. Each entry names who
changed what, when and with whose sign-off, and carries the digest of the parts
it put in force. Entries form a hash chain (SHA-256), so that a changed or
missing entry is detected.

The head holds the last 64 entries at least. When it holds 96, the oldest 32
move to the page ``config/audit/<first version>``; each page names the page
before it.
"""

import hashlib
import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from bergamotstream import bundleformat

HEAD_KEY = 'config/head'
PAGE_PREFIX = 'config/audit/'
HEAD_ENTRIES = 64
PAGE_ENTRIES = 32
# Changes longer than this are stored as their paths and digest, so that a head
# with 96 entries stays far below the 1 MB limit of a value.
MAX_CHANGES_BYTES = 2_048
MAX_PATHS = 20


class Entry(NamedTuple):
    """One audited change.

    ``nonce`` is the draft's identifier. ``urgent`` marks a change that one
    person signed because a zone had to be taken out or returned at once.
    """

    version: int
    from_version: int
    command: str
    author: str
    signed_by: str
    urgent: bool
    wall_ms: int
    nonce: str
    changes: Any
    parts_digest: str
    chain: str = ''


class Head(NamedTuple):
    """The version in force; ``page`` is the newest page, 0 if none."""

    version: int
    parts_by_section: dict[str, list[str]]
    entries: tuple[Entry, ...]
    page: int = 0


class Page(NamedTuple):
    """Older entries; ``previous`` is the page before, 0 if none."""

    first: int
    entries: tuple[Entry, ...]
    previous: int


def empty_head() -> Head:
    """Return the head before the first version."""
    return Head(0, {section: [] for section in bundleformat.SECTIONS}, ())


def chain_hash(entry: Entry, previous: str) -> str:
    """Return the chain hash of an entry that follows ``previous``."""
    content = bundleformat.canonical_json(entry._replace(chain='')._asdict())
    return hashlib.sha256(previous.encode() + content).hexdigest()


def parts_digest(parts_by_section: dict[str, list[str]]) -> str:
    """Return the digest of the parts of a version."""
    content = bundleformat.canonical_json(parts_by_section)
    return hashlib.sha256(content).hexdigest()


def next_head(
    head: Head, parts_by_section: dict[str, list[str]], entry: Entry
) -> tuple[Head, Page | None]:
    """Return the head with one more entry and the page to write before it."""
    previous = head.entries[-1].chain if head.entries else ''
    entry = entry._replace(
        version=head.version + 1,
        from_version=head.version,
        parts_digest=parts_digest(parts_by_section),
    )
    entry = entry._replace(chain=chain_hash(entry, previous))
    new_head = Head(
        entry.version, parts_by_section, (*head.entries, entry), head.page
    )
    if len(new_head.entries) < HEAD_ENTRIES + PAGE_ENTRIES:
        return new_head, None
    moved = new_head.entries[:PAGE_ENTRIES]
    page = Page(moved[0].version, moved, head.page)
    rest = new_head.entries[PAGE_ENTRIES:]
    return new_head._replace(entries=rest, page=page.first), page


def find_by_nonce(head: Head, nonce: str) -> Entry | None:
    """Return the entry of a change if the head contains it."""
    for entry in head.entries:
        if entry.nonce == nonce:
            return entry
    return None


def is_chain_intact(entries: Sequence[Entry]) -> bool:
    """Return whether each entry's hash follows from the one before it."""
    pairs = zip(entries, entries[1:], strict=False)
    return all(
        after.chain == chain_hash(after, before.chain)
        for before, after in pairs
    )


def bounded_changes(changes: Any) -> Any:
    """Return changes, as paths and digest if they are too long."""
    content = bundleformat.canonical_json(changes)
    if len(content) <= MAX_CHANGES_BYTES:
        return changes
    return {
        'count': len(changes),
        'paths': [str(change['path']) for change in changes[:MAX_PATHS]],
        'digest': hashlib.sha256(content).hexdigest(),
    }


def encode_head(head: Head) -> bytes:
    """Return the head as JSON."""
    entries = [entry._asdict() for entry in head.entries]
    return bundleformat.canonical_json({**head._asdict(), 'entries': entries})


def decode_head(content: bytes) -> Head:
    """Read a head; raises ``ValueError``, ``KeyError`` or ``TypeError``."""
    fields = json.loads(content)
    fields['entries'] = tuple(Entry(**entry) for entry in fields['entries'])
    return Head(**fields)


def encode_page(page: Page) -> bytes:
    """Return a page as JSON."""
    entries = [entry._asdict() for entry in page.entries]
    return bundleformat.canonical_json({**page._asdict(), 'entries': entries})


def decode_page(content: bytes) -> Page:
    """Read a page; raises as :func:`decode_head` does."""
    fields = json.loads(content)
    fields['entries'] = tuple(Entry(**entry) for entry in fields['entries'])
    return Page(**fields)
