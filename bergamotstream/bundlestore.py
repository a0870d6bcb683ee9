"""
Configuration in the key-value service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Flows that read the head with its parts and that put a changed document in
force: parts first, then the head by compare-and-swap with the audit entry
inside, so that nothing is in force that is not in the trail.
"""

from collections.abc import Generator
from typing import NamedTuple

from bergamotstream import (
    actions,
    audit,
    bundleformat,
    bundleparts,
    components,
    errors,
    kvflows,
    records,
)

READ_ATTEMPTS = 5
READ_RETRY_MS = 100


class StoredConfig(NamedTuple):
    """A head that was read, its revision and its document."""

    head: audit.Head
    revision: int
    document: bundleformat.Document


class BundleStore:
    """Reads and writes the configuration; caches the parts in force.

    ``outbox`` collects deletions whose answers are ignored.
    """

    def __init__(self) -> None:
        """Start without parts."""
        self._parts = bundleparts.PartSet()
        self.outbox: components.Actions = []

    def load(self) -> Generator[kvflows.Step, kvflows.Answers, StoredConfig]:
        """Read the head and its parts; raises ``KvUnavailable``.

        A part can be missing because a newer version has replaced it since
        the head was read; the head is then read again.
        """
        for _ in range(READ_ATTEMPTS):
            items = yield from kvflows.read_items(audit.HEAD_KEY)
            stored = yield from self.load_parts(items)
            if stored is not None:
                return stored
            yield kvflows.Pause(READ_RETRY_MS)
        raise errors.KvUnavailable(
            'parts of the head are missing', retry_after_ms=READ_RETRY_MS
        )

    def load_parts(
        self, items: tuple[records.KvItem, ...]
    ) -> Generator[kvflows.Step, kvflows.Answers, StoredConfig | None]:
        """Read the parts of a head; None if one has been replaced."""
        head = read_head(items)
        hashes = bundleparts.all_hashes(head.parts_by_section)
        missing = self._parts.missing(hashes)
        if missing:
            answers = yield [
                actions.KvRead('', f'{bundleparts.PART_PREFIX}{part_hash}')
                for part_hash in missing
            ]
            for part_hash, answered in zip(missing, answers, strict=True):
                if not answered.items:
                    return None
                self._add(part_hash, answered.items[0].value)
        document = self._parts.document(head.parts_by_section)
        return StoredConfig(head, items[0].revision if items else 0, document)

    def _add(self, part_hash: str, content: bytes) -> None:
        try:
            self._parts.add(part_hash, content)
        except (ValueError, KeyError) as fault:
            raise errors.KvUnavailable(f'corrupt part: {fault}') from fault

    def retain_parts(self, head: audit.Head) -> None:
        """Drop the cached parts that ``head`` does not refer to."""
        self._parts.retain(bundleparts.all_hashes(head.parts_by_section))

    def put_in_force(
        self,
        stored: StoredConfig,
        document: bundleformat.Document,
        entry: audit.Entry,
    ) -> Generator[kvflows.Step, kvflows.Answers, audit.Head]:
        """Write a document as the next version and return its head.

        Raises ``VersionConflict`` if another change came first and
        ``KvUnavailable`` with the run state.
        """
        parts_by_section, contents_by_hash = self._parts.split(
            document, stored.head.parts_by_section, entry.nonce
        )
        head, page = audit.next_head(stored.head, parts_by_section, entry)
        content_by_key = {
            f'{bundleparts.PART_PREFIX}{part_hash}': content
            for part_hash, content in contents_by_hash.items()
        }
        if page is not None:
            content_by_key[f'{audit.PAGE_PREFIX}{page.first}'] = (
                audit.encode_page(page)
            )
        yield from _create_all(content_by_key)
        answered = yield from kvflows.write_item(
            audit.HEAD_KEY, audit.encode_head(head), stored.revision
        )
        current = head
        if answered.status != 'ok':
            current = read_head(answered.items)
        if audit.find_by_nonce(current, entry.nonce):
            previous_hashes = bundleparts.all_hashes(
                stored.head.parts_by_section
            )
            self._delete_unused(previous_hashes, current)
            return current
        if not _covers_changes_since(current, stored.head.version):
            raise errors.KvUnavailable(
                'the outcome is in an older page, see audit.show',
                run_state='may_have_run',
            )
        self._delete_unused(set(contents_by_hash), current)
        raise conflict_error(current, stored.head.version)

    def _delete_unused(self, hashes: set[str], head: audit.Head) -> None:
        """Delete parts that neither ``head`` nor a later one refers to."""
        used = bundleparts.all_hashes(head.parts_by_section)
        self.outbox.extend(
            actions.KvDelete(
                'config/delete', f'{bundleparts.PART_PREFIX}{part_hash}'
            )
            for part_hash in sorted(hashes - used)
        )


def _covers_changes_since(head: audit.Head, version: int) -> bool:
    """Return whether the head's entries include all after ``version``."""
    return head.entries[0].version <= version + 1 if head.entries else True


def read_head(items: tuple[records.KvItem, ...]) -> audit.Head:
    """Return the head of a read; raises ``KvUnavailable`` if corrupt."""
    if not items:
        return audit.empty_head()
    try:
        return audit.decode_head(items[0].value)
    except (ValueError, KeyError, TypeError) as fault:
        raise errors.KvUnavailable(f'{audit.HEAD_KEY}: {fault}') from fault


def conflict_error(current: audit.Head, base: int) -> errors.ServiceError:
    """Return the error that lists the changes since version ``base``."""
    later_entries = [entry for entry in current.entries if entry.version > base]
    summary = '; '.join(
        f'version {entry.version} by {entry.author}: {entry.command}'
        for entry in later_entries
    )
    return errors.VersionConflict(
        f'version {current.version} is in force, not {base}: {summary}',
        changed=[entry._asdict() for entry in later_entries],
    )


def _create_all(
    content_by_key: dict[str, bytes],
) -> Generator[kvflows.Step, kvflows.Answers, None]:
    """Create keys whose content depends only on the key.

    Raises ``KvUnavailable`` as 'not run': without the head they have no
    effect.
    """
    if not content_by_key:
        return
    answers = yield [
        actions.KvWrite('', key, content, 0)
        for key, content in content_by_key.items()
    ]
    for key, answered in zip(content_by_key, answers, strict=True):
        if answered.status == 'ok':
            continue
        try:
            yield from _create(key, content_by_key[key])
        except errors.KvUnavailable as fault:
            raise errors.KvUnavailable(
                fault.detail, retry_after_ms=fault.retry_after_ms
            ) from fault


def _create(
    key: str, content: bytes
) -> Generator[kvflows.Step, kvflows.Answers, None]:
    answered = yield from kvflows.write_item(key, content, 0)
    if answered.status != 'ok':
        raise errors.VersionConflict(f'{key} was written by another change')
