"""
Operators' commands on the configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Flows for draft, sign-off by another person, roll-out, zones and the audit
trail. Drafts are stored in the key-value service because hosts store nothing
durably.
"""

import json
from collections.abc import Callable, Generator, Mapping
from typing import Any

from bergamotstream import (
    actions,
    audit,
    bundlechanges,
    bundleformat,
    bundlestore,
    errors,
    kvflows,
    records,
)

Arguments = Mapping[str, Any]
Body = dict[str, Any]
CommandFlow = Generator[kvflows.Step, kvflows.Answers, Body]
Adopt = Callable[[audit.Head, bundleformat.Document], None]

DRAFT_KEY = 'config/drafts/'
MAX_DRAFT_BYTES = 262_144
MAX_PERSON_LENGTH = 64
ZONE_ATTEMPTS = 5
ZONE_VALUES: Mapping[str, str | None] = {'zone.out': 'out', 'zone.in': None}
DEFAULT_AUDIT_LIMIT = 64
MAX_AUDIT_LIMIT = 1_024


class ConfigCommands:
    """Runs commands; calls ``adopt`` with each version it puts in force."""

    def __init__(
        self,
        store: bundlestore.BundleStore,
        new_id: Callable[[], str],
        version: Callable[[], int],
        adopt: Adopt,
    ) -> None:
        """``version`` returns the highest version that this host has seen."""
        self._store = store
        self._version = version
        self._new_id = new_id
        self._adopt = adopt
        self._flows_by_command: dict[str, Callable[..., CommandFlow]] = {
            'config.draft': self._create_draft,
            'config.drafts': self._list_drafts,
            'config.sign': self._sign_draft,
            'config.roll': self._roll_out,
            'audit.show': self._show_audit,
        }

    def flow(self, command: str, arguments: Arguments) -> CommandFlow:
        """Return the flow of a command; raises ``UnknownCommand``."""
        if command in ZONE_VALUES:
            return self._change_zone(command, arguments)
        if command not in self._flows_by_command:
            raise errors.UnknownCommand(command)
        return self._flows_by_command[command](arguments)

    def _load(
        self,
    ) -> Generator[kvflows.Step, kvflows.Answers, bundlestore.StoredConfig]:
        """Read the configuration in force; raises ``KvUnavailable``.

        A key-value service that was restored from a backup may hold an older
        version. Hosts would ignore a change based on it.
        """
        newest_version = self._version()
        stored = yield from self._store.load()
        if stored.head.version < newest_version:
            raise errors.KvUnavailable(
                f'it has version {stored.head.version} but'
                f' {newest_version} is in force'
            )
        return stored

    def _create_draft(self, arguments: Arguments) -> CommandFlow:
        draft: Body = {
            'id': self._new_id(),
            'author': _person_argument(arguments, 'author'),
            'base_version': _number_argument(arguments, 'base_version'),
            'changes': arguments.get('changes'),
            'wall_ms': _number_argument(arguments, 'wall_ms'),
            'signed_by': '',
        }
        stored = yield from self._load()
        if stored.head.version != draft['base_version']:
            raise bundlestore.conflict_error(stored.head, draft['base_version'])
        bundlechanges.apply_changes(stored.document, draft['changes'])
        content = bundleformat.canonical_json(draft)
        if len(content) > MAX_DRAFT_BYTES:
            raise errors.InvalidRequest(
                f'changes: over {MAX_DRAFT_BYTES} bytes, split the draft'
            )
        yield from kvflows.write_item(f'{DRAFT_KEY}{draft["id"]}', content, 0)
        return {
            'draft': draft['id'],
            'base_version': draft['base_version'],
            'paths': bundlechanges.changed_paths(draft['changes']),
        }

    def _list_drafts(self, _arguments: Arguments) -> CommandFlow:
        """List the drafts, so that a signer can review them."""
        items = yield from kvflows.read_items(DRAFT_KEY, prefix=True)
        return {'drafts': [json.loads(item.value) for item in items]}

    def _sign_draft(self, arguments: Arguments) -> CommandFlow:
        signer = _person_argument(arguments, 'signer')
        item = yield from _read_draft(arguments)
        draft = json.loads(item.value)
        if signer == draft['author']:
            raise errors.SignOffMissing(f'{signer} is the author of the draft')
        if draft['signed_by'] not in {'', signer}:
            raise errors.VersionConflict(
                f'the draft was signed by {draft["signed_by"]}'
            )
        draft['signed_by'] = signer
        answered = yield from kvflows.write_item(
            item.key, bundleformat.canonical_json(draft), item.revision
        )
        if answered.status != 'ok':
            raise errors.VersionConflict(
                'another person signed at the same time'
            )
        return {'draft': draft['id'], 'signed_by': signer}

    def _roll_out(self, arguments: Arguments) -> CommandFlow:
        _person_argument(arguments, 'operator')
        wall_ms = _number_argument(arguments, 'wall_ms')
        stored = yield from self._load()
        # The operator repeats a roll-out whose answer was lost.
        own_entry = audit.find_by_nonce(
            stored.head, str(arguments.get('draft'))
        )
        if own_entry is not None:
            return _entry_body(own_entry)
        item = yield from _read_draft(arguments)
        draft = json.loads(item.value)
        if not draft['signed_by']:
            raise errors.SignOffMissing(f'draft {draft["id"]}')
        if stored.head.version != draft['base_version']:
            raise bundlestore.conflict_error(stored.head, draft['base_version'])
        entry = _new_entry(
            'config.roll', draft['author'], wall_ms, draft['id']
        )._replace(signed_by=draft['signed_by'])
        changed = yield from self._put_in_force(stored, draft['changes'], entry)
        self._store.outbox.append(actions.KvDelete('config/delete', item.key))
        return changed

    def _change_zone(self, command: str, arguments: Arguments) -> CommandFlow:
        """Take a zone out of service or return it; needs one signature."""
        operator = _person_argument(arguments, 'operator')
        wall_ms = _number_argument(arguments, 'wall_ms')
        path = f'zones/{_text_argument(arguments, "zone")}'
        change = {'path': path, 'value': ZONE_VALUES[command]}
        for attempt in range(1, ZONE_ATTEMPTS + 1):
            stored = yield from self._load()
            entry = _new_entry(command, operator, wall_ms, self._new_id())
            entry = entry._replace(signed_by=operator, urgent=True)
            try:
                changed = yield from self._put_in_force(stored, [change], entry)
            except errors.VersionConflict:
                # Retry: a zone change does not depend on the changes that it
                # conflicts with.
                if attempt == ZONE_ATTEMPTS:
                    raise
                continue
            return changed
        return {}

    def _put_in_force(
        self, stored: bundlestore.StoredConfig, changes: Any, entry: audit.Entry
    ) -> CommandFlow:
        document = bundlechanges.apply_changes(stored.document, changes)
        entry = entry._replace(changes=audit.bounded_changes(changes))
        head = yield from self._store.put_in_force(stored, document, entry)
        own_entry = audit.find_by_nonce(head, entry.nonce) or entry
        if own_entry.version == head.version:
            self._adopt(head, document)
        return _entry_body(own_entry)

    def _show_audit(self, arguments: Arguments) -> CommandFlow:
        limit = _number_argument(
            {'limit': DEFAULT_AUDIT_LIMIT, **arguments}, 'limit'
        )
        limit = min(limit, MAX_AUDIT_LIMIT)
        items = yield from kvflows.read_items(audit.HEAD_KEY)
        head = bundlestore.read_head(items)
        entries, page = head.entries, head.page
        while page and len(entries) < limit:
            items = yield from kvflows.read_items(f'{audit.PAGE_PREFIX}{page}')
            if not items:
                raise errors.KvUnavailable(f'audit page {page} is missing')
            older = audit.decode_page(items[0].value)
            entries = (*older.entries, *entries)
            page = older.previous
        return {
            'version': head.version,
            'entries': [entry._asdict() for entry in entries],
            'chain_holds': audit.is_chain_intact(entries),
            'older': bool(page),
        }


def _read_draft(
    arguments: Arguments,
) -> Generator[kvflows.Step, kvflows.Answers, records.KvItem]:
    draft_id = _text_argument(arguments, 'draft')
    items = yield from kvflows.read_items(f'{DRAFT_KEY}{draft_id}')
    if not items:
        raise errors.InvalidRequest(f'draft: there is no draft {draft_id}')
    return items[0]


def _new_entry(
    command: str, author: str, wall_ms: int, nonce: str
) -> audit.Entry:
    return audit.Entry(
        version=0,
        from_version=0,
        command=command,
        author=author,
        signed_by='',
        urgent=False,
        wall_ms=wall_ms,
        nonce=nonce,
        changes=None,
        parts_digest='',
    )


def _entry_body(entry: audit.Entry) -> Body:
    return {
        'version': entry.version,
        'from_version': entry.from_version,
        'chain': entry.chain,
    }


def _text_argument(arguments: Arguments, name: str) -> str:
    value = arguments.get(name)
    if not isinstance(value, str) or not value:
        raise errors.InvalidRequest(f'{name}: must be a text')
    return value


def _person_argument(arguments: Arguments, name: str) -> str:
    value = _text_argument(arguments, name).strip()
    if not 0 < len(value) <= MAX_PERSON_LENGTH:
        raise errors.InvalidRequest(
            f'{name}: must be 1 to {MAX_PERSON_LENGTH} characters'
        )
    return value


def _number_argument(arguments: Arguments, name: str) -> int:
    value = arguments.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.InvalidRequest(f'{name}: must be a number from 0')
    return value
