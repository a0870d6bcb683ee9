"""
Cell record
~~~~~~~~~~~

Reads and updates the agreed members of the cell (``cells/<cell>/record`` in
KV, as JSON). Each change reads the record and then writes it by
compare-and-swap, so a lost answer needs no special handling: the next read
shows whether the write took effect. At most one KV operation is in flight.
"""

import json

import pydantic

from bergamotstream import (
    actions,
    components,
    events,
    messages,
    records,
    state,
)

OPERATION_PREFIX = 'membership/'
FIRST_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 8_000
# An answer that takes longer than this many KV timeouts counts as lost.
LOST_ANSWER_TIMEOUTS = 3

_record_adapter = pydantic.TypeAdapter(records.CellRecord)


def majority(record: records.CellRecord) -> int:
    """Return how many members make a majority."""
    return len(record.members) // 2 + 1


class RecordUpdater:
    """Updates ``state.cell_record`` and ``state.reported_epoch``."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without a record."""
        self.state = shared
        self.listed_hosts: frozenset[str] = frozenset()
        self._key = f'cells/{shared.settings.cell}/record'
        self._operation_id = ''
        self._operation_started_ms = 0
        self._proposal: records.CellRecord | None = None
        self._retry_delay_ms = FIRST_RETRY_DELAY_MS
        self._next_operation_ms = 0
        self._settled_since_ms: int | None = None

    def review(self) -> components.Actions:
        """Start a KV operation if one is due."""
        self._confirm_by_peers()
        self._refresh_settled()
        now_ms = self.state.now_ms
        if self._operation_id:
            limit_ms = self.state.settings.timing.kv_timeout_ms
            if (
                now_ms - self._operation_started_ms
                < limit_ms * LOST_ANSWER_TIMEOUTS
            ):
                return []
            self._schedule_retry()
        if now_ms < self._next_operation_ms or not self._is_operation_due():
            return []
        return [actions.KvRead(self._begin_operation(), self._key)]

    def adopt(self, record: records.CellRecord) -> components.Actions:
        """Adopt a record if it is newer than the known one; notify peers."""
        known = self.state.cell_record
        if known and record.epoch <= known.epoch:
            return []
        self.state.cell_record = record
        self._settled_since_ms = None
        if self.state.reported_epoch:
            self.state.reported_epoch = record.epoch
        return [
            actions.LogEvent('cell_record', record._asdict()),
            *self.broadcast(),
        ]

    def broadcast(self) -> components.Actions:
        """Return notices of the record to all other hosts of the cell."""
        return [
            actions.SendMessage(host, notice)
            for notice in self.record_notices()
            for host in self.state.hosts_by_name
            if host != self.state.host
        ]

    def record_notices(self) -> tuple[messages.RecordNotice, ...]:
        """Return the notice of the known record, if there is one."""
        record = self.state.cell_record
        return (messages.RecordNotice(*record),) if record else ()

    def handle_answer(self, answer: events.KvAnswered) -> components.Actions:
        """Handle the answer to the operation in flight."""
        if answer.operation_id != self._operation_id:
            return []
        proposal = self._proposal
        if answer.status != 'ok':
            self._schedule_retry()
            return []
        self._end_operation()
        if proposal:
            return self._confirm(proposal)
        if not answer.items:
            return self._create()
        return self._handle_stored_record(answer.items[0])

    def _handle_stored_record(
        self, stored: records.KvItem
    ) -> components.Actions:
        try:
            record = _record_adapter.validate_json(stored.value)
        except ValueError as fault:
            self._schedule_retry()
            fields = {'key': self._key, 'fault': str(fault).splitlines()[0]}
            return [actions.LogEvent('cell_record_invalid', fields)]
        known = self.state.cell_record
        if known and record.epoch < known.epoch:
            # KV was restored from an older copy.
            return self._write(known, stored.revision)
        produced = self._confirm(record)
        members = self._changed_members(record)
        if members:
            changed = records.CellRecord(record.epoch + 1, members)
            produced.extend(self._write(changed, stored.revision))
        return produced

    def _create(self) -> components.Actions:
        """Create the record with all hosts seen within the first second."""
        if self.state.cell_record:
            return self._write(self.state.cell_record, 0)
        discovery_ms = self.state.settings.timing.owner_valid_ms
        due_ms = self.state.peers.started_ms + discovery_ms
        if self.state.now_ms < due_ms:
            self._next_operation_ms = due_ms
            return []
        names = sorted({self.state.host, *self.state.live_peers})
        members = tuple(names[: self.state.settings.limits.cell_hosts])
        return self._write(records.CellRecord(1, members), 0)

    def _write(
        self, proposal: records.CellRecord, revision: int
    ) -> components.Actions:
        value = json.dumps(proposal._asdict()).encode()
        operation_id = self._begin_operation(proposal)
        return [actions.KvWrite(operation_id, self._key, value, revision)]

    def _confirm(self, record: records.CellRecord) -> components.Actions:
        produced = self.adopt(record)
        if self.state.cell_record:
            self.state.reported_epoch = self.state.cell_record.epoch
        return produced

    def _confirm_by_peers(self) -> None:
        """Confirm a record from a peer when a majority reports its epoch.

        A restarted host does not know its epoch. A single peer that missed
        changes could make it report an old one; a majority cannot.
        """
        record = self.state.cell_record
        if record is None or self.state.reported_epoch:
            return
        if self._count_reports(record) >= majority(record):
            self.state.reported_epoch = record.epoch

    def _count_reports(self, record: records.CellRecord) -> int:
        views = self.state.peers.views_by_host
        live = self.state.live_peers.intersection(record.members)
        epochs = [views[member].heartbeat.epoch for member in live]
        if self.state.host in record.members:
            epochs.append(self.state.reported_epoch)
        return epochs.count(record.epoch)

    def _refresh_settled(self) -> None:
        record = self.state.cell_record
        if record is None or not self._is_confirmed(record):
            self._settled_since_ms = None
        elif self._settled_since_ms is None:
            self._settled_since_ms = self.state.now_ms

    def _is_confirmed(self, record: records.CellRecord) -> bool:
        """Return whether no other majority can report an earlier epoch.

        Without a majority that is so only when each member that does not
        report is gone permanently according to the platform's host list.
        """
        reports = self._count_reports(record)
        if reports >= majority(record):
            return True
        return reports + len(self._removable_members(record)) == len(
            record.members
        )

    def _is_settled(self, record: records.CellRecord) -> bool:
        """Return whether no host can still own under the previous epoch.

        The record must have been confirmed for longer than an owner may rely
        on what the same hosts reported before.
        """
        since_ms = self._settled_since_ms
        if since_ms is None or record != self.state.cell_record:
            return False
        settle_ms = self.state.settings.timing.takeover_ms
        return self.state.now_ms - since_ms >= settle_ms

    def _is_operation_due(self) -> bool:
        record = self.state.cell_record
        if record is None or not self.state.reported_epoch:
            return True
        return bool(self._changed_members(record))

    def _changed_members(self, record: records.CellRecord) -> tuple[str, ...]:
        """Return the members after the next change; empty if none is due."""
        if not self._is_settled(record):
            return ()
        members = record.members
        if self._count_reports(record) < majority(record):
            # Most members are gone permanently, so no majority can form until
            # all of them have been removed.
            removable = self._removable_members(record)
            members = tuple(name for name in members if name not in removable)
            return self._with_this_host(members)
        if self.state.host not in members:
            joined = self._with_this_host(members)
            return () if joined == members else joined
        first_removable = self._removable_members(record)[:1]
        if not first_removable:
            return ()
        return tuple(name for name in members if name not in first_removable)

    def _with_this_host(self, members: tuple[str, ...]) -> tuple[str, ...]:
        host = self.state.host
        is_full = len(members) >= self.state.settings.limits.cell_hosts
        if host in members or is_full or host in self.state.leaving_hosts:
            return members
        return (*members, host)

    def _removable_members(self, record: records.CellRecord) -> tuple[str, ...]:
        """Return the members that are not listed and have long been silent."""
        if not self.listed_hosts:
            return ()
        live_hosts = {self.state.host, *self.state.live_peers}
        # Hosts later in the order wait longer, so usually one writes.
        position = sorted(live_hosts).index(self.state.host)
        timing = self.state.settings.timing
        wait_ms = timing.member_removal_ms + position * timing.takeover_ms
        return tuple(
            member
            for member in record.members
            if member not in self.listed_hosts
            and self.state.peers.silence_ms(member) >= wait_ms
        )

    def _begin_operation(
        self, proposal: records.CellRecord | None = None
    ) -> str:
        self._operation_id = f'{OPERATION_PREFIX}{self.state.new_id()}'
        self._operation_started_ms = self.state.now_ms
        self._proposal = proposal
        return self._operation_id

    def _end_operation(self) -> None:
        self._operation_id = ''
        self._proposal = None
        self._retry_delay_ms = FIRST_RETRY_DELAY_MS

    def _schedule_retry(self) -> None:
        """Retry after a delay that doubles each time."""
        delay_ms = self._retry_delay_ms
        self._end_operation()
        jitter_ms = int(delay_ms * self.state.rng.random())
        self._next_operation_ms = self.state.now_ms + delay_ms + jitter_ms
        self._retry_delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)
