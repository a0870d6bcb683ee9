"""
Operators' commands on the configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Flows for draft, sign-off by another person, roll-out, zones and the audit
trail. Drafts are kept in the key-value service because hosts keep nothing.
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
ZONE_TRIES = 5
ZONE_VALUES: Mapping[str, str | None] = {'zone.out': 'out', 'zone.in': None}
DEFAULT_AUDIT_LIMIT = 64
MAX_AUDIT_LIMIT = 1_024


class ConfigCommands:
    """Runs commands; ``adopt`` is told each version put in force here."""

    def __init__(
        self,
        store: bundlestore.BundleStore,
        new_id: Callable[[], str],
        version: Callable[[], int],
        adopt: Adopt,
    ) -> None:
        """Use a store and sources of identifiers and the known version."""
        self._store = store
        self._version = version
        self._new_id = new_id
        self._adopt = adopt
        self._flows_by_command: dict[str, Callable[..., CommandFlow]] = {
            'config.draft': self._draft,
            'config.drafts': self._drafts,
            'config.sign': self._sign,
            'config.roll': self._roll,
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
        """Read what is in force; raises ``KvUnavailable``.

        A change of an older version, for example of a service that was
        restored from a copy, would be ignored by all hosts.
        """
        known = self._version()
        stored = yield from self._store.load()
        if stored.head.version < known:
            raise errors.KvUnavailable(
                f'it has version {stored.head.version} but {known} is in force'
            )
        return stored

    def _draft(self, arguments: Arguments) -> CommandFlow:
        draft: Body = {
            'id': self._new_id(),
            'author': _person(arguments, 'author'),
            'base_version': _number(arguments, 'base_version'),
            'changes': arguments.get('changes'),
            'wall_ms': _number(arguments, 'wall_ms'),
            'signed_by': '',
        }
        stored = yield from self._load()
        if stored.head.version != draft['base_version']:
            raise bundlestore.conflict_error(stored.head, draft['base_version'])
        bundlechanges.apply_changes(stored.document, draft['changes'])
        content = bundleformat.canonical_json(draft)
        if len(content) > MAX_DRAFT_BYTES:
            raise errors.InvalidRequest(
                f'changes: over {MAX_DRAFT_BYTES} bytes, use several drafts'
            )
        yield from kvflows.write_item(f'{DRAFT_KEY}{draft["id"]}', content, 0)
        return {
            'draft': draft['id'],
            'base_version': draft['base_version'],
            'paths': bundlechanges.changed_paths(draft['changes']),
        }

    def _drafts(self, _arguments: Arguments) -> CommandFlow:
        """List drafts, so that a signer reads what is to be signed."""
        items = yield from kvflows.read_items(DRAFT_KEY, prefix=True)
        return {'drafts': [json.loads(item.value) for item in items]}

    def _sign(self, arguments: Arguments) -> CommandFlow:
        signer = _person(arguments, 'signer')
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
            raise errors.VersionConflict('another person signed at this moment')
        return {'draft': draft['id'], 'signed_by': signer}

    def _roll(self, arguments: Arguments) -> CommandFlow:
        _person(arguments, 'operator')
        wall_ms = _number(arguments, 'wall_ms')
        stored = yield from self._load()
        # A roll-out whose answer was lost is repeated by the operator.
        done = audit.find_by_nonce(stored.head, str(arguments.get('draft')))
        if done is not None:
            return _in_force(done)
        item = yield from _read_draft(arguments)
        draft = json.loads(item.value)
        if not draft['signed_by']:
            raise errors.SignOffMissing(f'draft {draft["id"]}')
        if stored.head.version != draft['base_version']:
            raise bundlestore.conflict_error(stored.head, draft['base_version'])
        entry = _entry(
            'config.roll', draft['author'], wall_ms, draft['id']
        )._replace(signed_by=draft['signed_by'])
        changed = yield from self._put_in_force(stored, draft['changes'], entry)
        self._store.outbox.append(actions.KvDelete('config/delete', item.key))
        return changed

    def _change_zone(self, command: str, arguments: Arguments) -> CommandFlow:
        """Take a zone out or return it with one person's sign-off."""
        operator = _person(arguments, 'operator')
        wall_ms = _number(arguments, 'wall_ms')
        path = f'zones/{_text(arguments, "zone")}'
        change = {'path': path, 'value': ZONE_VALUES[command]}
        for attempt in range(1, ZONE_TRIES + 1):
            stored = yield from self._load()
            entry = _entry(command, operator, wall_ms, self._new_id())
            entry = entry._replace(signed_by=operator, urgent=True)
            try:
                changed = yield from self._put_in_force(stored, [change], entry)
            except errors.VersionConflict:
                # A change of one zone does not depend on other changes.
                if attempt == ZONE_TRIES:
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
        done = audit.find_by_nonce(head, entry.nonce) or entry
        if done.version == head.version:
            self._adopt(head, document)
        return _in_force(done)

    def _show_audit(self, arguments: Arguments) -> CommandFlow:
        limit = _number({'limit': DEFAULT_AUDIT_LIMIT, **arguments}, 'limit')
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
    draft_id = _text(arguments, 'draft')
    items = yield from kvflows.read_items(f'{DRAFT_KEY}{draft_id}')
    if not items:
        raise errors.InvalidRequest(f'draft: there is no draft {draft_id}')
    return items[0]


def _entry(command: str, author: str, wall_ms: int, nonce: str) -> audit.Entry:
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


def _in_force(entry: audit.Entry) -> Body:
    return {
        'version': entry.version,
        'from_version': entry.from_version,
        'chain': entry.chain,
    }


def _text(arguments: Arguments, name: str) -> str:
    value = arguments.get(name)
    if not isinstance(value, str) or not value:
        raise errors.InvalidRequest(f'{name}: must be a text')
    return value


def _person(arguments: Arguments, name: str) -> str:
    value = _text(arguments, name).strip()
    if not 0 < len(value) <= MAX_PERSON_LENGTH:
        raise errors.InvalidRequest(
            f'{name}: must be 1 to {MAX_PERSON_LENGTH} characters'
        )
    return value


def _number(arguments: Arguments, name: str) -> int:
    value = arguments.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise errors.InvalidRequest(f'{name}: must be a number from 0')
    return value
