"""
Fleet view
~~~~~~~~~~

One host's view of the configuration, the targets, the availability zones out
of service and the other hosts. It is built from items of the store, or from
the same items of a peer; an older revision of a key never replaces a newer
one, and a configuration is never replaced by an older version.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, NamedTuple, TypeAlias

from bergamotstream import clock
from bergamotstream.forwarding import (
    doubtfulitems,
    faultreports,
    fleetrecords,
    pendingitems,
    storeitems,
    targettable,
    versionlag,
)
from bergamotstream.platform import documents, oddfields, protocol, store

# Entries that expired during an outage of the store are written again within
# about 2 s after its recovery; source: the platform's service discovery.
LAPSE_HOLD_MS: Final = 2_200
# Earlier than the start of any host's clock.
NEVER_MS: Final = -1_000_000
# A target that says it started later than this after now is not believed.
START_MARGIN_MS: Final = 3_600_000
_CLOCK: Final = clock.Clock()
# Runs of targets that are remembered to leave, also while they are not listed.
MAX_LEAVING: Final = 4_096


class Change(NamedTuple):
    """One change of a host's view, for the log."""

    subject: str
    outcome: str
    revision: int
    detail: str = ''


class InForce(NamedTuple):
    """The configuration that decides, for logs and gauges."""

    # 0 while none is known.
    version: int = 0
    # Where the store had it.
    position: store.Position = store.Position(0, 0)
    since_ms: int = NEVER_MS
    document: bytes = b''


_Applier: TypeAlias = Callable[[store.Item, str, int], Iterator[Change]]


class FleetView:
    """The current view; all times are given in milliseconds."""

    def __init__(self, wall_ms: Callable[[], int] = _CLOCK.wall_ms) -> None:
        """Start with an empty view; ``wall_ms`` returns the Unix time."""
        self.configuration: fleetrecords.Configuration | None = None
        self.in_force = InForce()
        self.lag = versionlag.VersionLag()
        self._targets = targettable.TargetTable()
        self.targets_by_id = self._targets.by_id
        self.zones_out: set[str] = set()
        self.hosts_by_name: dict[str, fleetrecords.HostEntry] = {}
        self.items = storeitems.StoreItems()
        self._doubtful = doubtfulitems.DoubtfulItems()
        self.store_answered_ms = NEVER_MS
        self._hold_lapsed_until_ms = 0
        self._drop_at_ms_by_target: dict[str, int] = {}
        self._wall_ms = wall_ms
        self._faults = faultreports.FaultReports()
        # Of the configuration in force.
        self._refused_fields = oddfields.Faults()
        # Runs that have said so themselves; the oldest come first.
        self._leaving_runs: dict[fleetrecords.TargetRun, None] = {}
        self._appliers: tuple[tuple[str, _Applier], ...] = (
            (protocol.CONFIG_KEY, self.apply_configuration),
            (protocol.ZONES_OUT_PREFIX, self._apply_zone_out),
            (protocol.TARGETS_PREFIX, self._apply_target),
            (protocol.HOSTS_PREFIX, self._apply_host),
            (protocol.BLAMED_PREFIX, self._apply_blamed),
        )

    @property
    def revision(self) -> int:
        """The revision up to which all changes are known."""
        return self.items.revision

    def outdated_since_ms(self) -> int | None:
        """Return since when a newer configuration is known to exist."""
        return self.items.pending.since_ms(protocol.CONFIG_KEY)

    def is_usable(self, entry: fleetrecords.TargetEntry, service: str) -> bool:
        """Tell whether a target may get new requests of a service."""
        return (
            entry.service == service
            and not entry.leaving
            and entry.zone not in self.zones_out
        )

    def record_leaving(self, run: fleetrecords.TargetRun) -> bool:
        """Record that a run of a target has said that it leaves.

        No entry of that run, however new, takes it back. Return whether it
        is news.
        """
        if run in self._leaving_runs:
            return False
        self._leaving_runs[run] = None
        if len(self._leaving_runs) > MAX_LEAVING:
            self._leaving_runs.pop(next(iter(self._leaving_runs)))
        known = self.targets_by_id.get(run.target_id)
        if known is None or fleetrecords.run_of(known) != run:
            return True
        self.targets_by_id[run.target_id] = known._replace(leaving=True)
        return not known.leaving

    def hold_after_reconnect(self, now_ms: int) -> None:
        """Keep targets whose entries expired while the store was away."""
        self.hold_lapsed(LAPSE_HOLD_MS, now_ms)

    def apply_changes(self, page: store.Page, now_ms: int) -> list[Change]:
        """Apply all changes that follow the complete revision.

        Those of another history are ignored.
        """
        if self.items.is_other_history(page):
            return []
        changes = self._apply_page(page, now_ms)
        self.items.pending.resolve_until(page.revision)
        return changes

    def apply_news(self, news: storeitems.News, now_ms: int) -> list[Change]:
        """Apply the changes that follow the current revision.

        Those of another history are ignored.
        """
        if self.items.is_other_history(news.page):
            return []
        news = self.items.with_known_documents(news)
        changes = self._apply_page(news.page, now_ms)
        changes.extend(
            Change(
                f'item:{reference.key}',
                'pending',
                reference.revision,
                f'{reference.length} bytes',
            )
            for reference in news.references
            if self.items.record_reference(reference, now_ms)
        )
        return changes

    def replace_all(self, page: store.Page, now_ms: int) -> list[Change]:
        """Apply a complete listing; keys that it lacks are deleted.

        A known key whose item cannot be read stays as it is. Of a listing from
        before the current revision, only items that are pending are taken. One
        of a later history replaces all that is known.
        """
        if page.era > self.items.era:
            return self.start_history(storeitems.News(page), now_ms)
        if self.items.is_other_history(page):
            return []
        if page.revision < self.revision:
            return [
                change
                for item in page.items
                if self.items.pending.is_pending(item.key)
                for change in self._apply(item, now_ms)
            ]
        self.items.complete_since = page.revision
        return self.apply_changes(
            self.items.with_deletions(storeitems.News(page)), now_ms
        )

    def replace_by_news(
        self, news: storeitems.News, now_ms: int
    ) -> list[Change]:
        """Apply a complete listing in which large items are only named.

        One of a later history replaces all that is known.
        """
        if news.page.era > self.items.era:
            return self.start_history(news, now_ms)
        if news.page.revision < self.revision:
            return []
        self.items.complete_since = news.page.revision
        return self.apply_news(
            news._replace(page=self.items.with_deletions(news)), now_ms
        )

    def start_history(self, news: storeitems.News, now_ms: int) -> list[Change]:
        """Apply the first listing of a store that has returned from a copy.

        The copy lacks what was written after it, until its writers write it
        again. So for a while targets that it lacks are kept, those that have
        left since stay away, and a zone out of service stays out. A run of a
        target that leaves has no way back.
        """
        before = self.items.position()
        for entry in tuple(self.targets_by_id.values()):
            if entry.leaving:
                self.record_leaving(fleetrecords.run_of(entry))
        page = self.items.with_deletions(news)
        known = doubtfulitems.Known(
            self.items, self.zones_out, self.targets_by_id
        )
        held = self._doubtful.hold(page, known, now_ms + LAPSE_HOLD_MS)
        self.items.start_history(page.era, held)
        self.items.complete_since = page.revision
        if before.revision:
            self.hold_lapsed(LAPSE_HOLD_MS, now_ms)
        changes = self.apply_news(news._replace(page=page), now_ms)
        if not before.revision:
            return changes
        detail = (
            f'era {before.era} to {page.era}, revision {before.revision} '
            f'before, {len(held)} items held'
        )
        returned = Change('store', 'returned', page.revision, detail)
        return [returned, *changes]

    def drop_lapsed(self, now_ms: int) -> list[Change]:
        """Drop the targets whose entries were not renewed in time.

        Held items that nobody has corrected take effect.
        """
        changes = [
            change
            for item in self._doubtful.take_due(now_ms)
            for change in self._take_effect(item, now_ms)
        ]
        due = [
            target_id
            for target_id, at_ms in self._drop_at_ms_by_target.items()
            if at_ms <= now_ms
        ]
        return [*changes, *map(self._drop_target, due)]

    def lapse_hold_ms(self, now_ms: int) -> int:
        """Return how much longer targets without entries are kept."""
        return max(self._hold_lapsed_until_ms - now_ms, 0)

    def hold_lapsed(self, hold_ms: int, now_ms: int) -> None:
        """Keep targets without entries for ``hold_ms``, as a peer does."""
        self._hold_lapsed_until_ms = max(
            self._hold_lapsed_until_ms, now_ms + hold_ms
        )

    def _apply_page(self, page: store.Page, now_ms: int) -> list[Change]:
        changes = [
            change
            for item in page.items
            for change in self._apply(item, now_ms)
        ]
        for unreadable in page.unreadable:
            changes.extend(
                self._report_once(
                    f'item:{unreadable.key}',
                    'unreadable',
                    page.revision,
                    unreadable.reason,
                )
            )
        self.items.revision = max(self.revision, page.revision)
        return changes

    def _apply(self, item: store.Item, now_ms: int) -> Iterator[Change]:
        if self.items.record(item) and not self._doubtful.is_held(item):
            yield from self._take_effect(item, now_ms)

    def _take_effect(self, item: store.Item, now_ms: int) -> Iterator[Change]:
        for prefix, apply in self._appliers:
            if item.key.startswith(prefix):
                yield from apply(item, item.key[len(prefix) :], now_ms)
                return

    def apply_configuration(
        self, item: store.Item, rest: str, now_ms: int
    ) -> Iterator[Change]:
        """Apply a configuration, from the store or from a peer, if it is newer.

        One of the version in force is applied if it has no refused field, and
        the one in force has.

        ``rest`` is empty, or the end of a key that only begins like its key.
        """
        if rest or item.document is None:
            return
        try:
            found = documents.read_configuration(item.document)
        except documents.Undecodable as fault:
            yield from self._report_once(
                'configuration', 'refused', item.revision, str(fault)
            )
            return
        decoded, faults = found.configuration, found.faults
        # The version in force may be written again without its odd fields.
        is_mended = self._refused_fields.count and not faults.count
        newest = self.in_force.version - bool(is_mended)
        if self.configuration is not None and decoded.version <= newest:
            yield Change('configuration', 'older', item.revision)
            return
        self.configuration = decoded
        self.in_force = InForce(
            decoded.version,
            store.Position(self.items.era, item.revision),
            now_ms,
            item.document,
        )
        yield Change(
            'configuration', 'in_force', item.revision, str(decoded.version)
        )
        yield from _refused_fields(faults, self._refused_fields, item.revision)
        self._refused_fields = faults

    def _apply_zone_out(
        self, item: store.Item, zone: str, now_ms: int
    ) -> Iterator[Change]:
        if item.document is None:
            self.zones_out.discard(zone)
            yield Change(f'zone:{zone}', 'in', item.revision)
            return
        self.zones_out.add(zone)
        yield Change(f'zone:{zone}', 'out', item.revision)

    def _apply_target(
        self, item: store.Item, target_id: str, now_ms: int
    ) -> Iterator[Change]:
        if item.document is None:
            yield from self._remove_target(target_id, item.revision, now_ms)
            return
        try:
            entry = documents.decode_target_entry(target_id, item.document)
        except documents.Undecodable as fault:
            self._targets.forget(target_id)
            yield from self._report_once(
                f'target:{target_id}', 'unreadable', item.revision, str(fault)
            )
            return
        if fleetrecords.run_of(entry) in self._leaving_runs:
            entry = entry._replace(leaving=True)
        self._drop_at_ms_by_target.pop(target_id, None)
        known = self.targets_by_id.get(target_id)
        if known is not None and self._is_past(known):
            if not self._is_past(entry):
                entry = entry._replace(started_ms=known.started_ms)
        elif known is not None:
            # Nothing was known of its start, so a change is no restart.
            known = known._replace(started_ms=entry.started_ms)
        if self._has_newer(entry):
            yield from self._report_once(
                f'target:{target_id}', 'superseded', item.revision, ''
            )
            return
        self._faults.forget(f'target:{target_id}')
        yield from self._drop_older(entry)
        self._targets.record(entry)
        yield Change(
            f'target:{target_id}',
            _target_outcome(known, entry),
            item.revision,
            entry.address,
        )

    def _has_newer(self, entry: fleetrecords.TargetEntry) -> bool:
        """Tell whether a target that started later uses the address."""
        other = self._targets.other_user(entry)
        return other is not None and self._start(other) > self._start(entry)

    def _start(self, entry: fleetrecords.TargetEntry) -> tuple[bool, int]:
        """Return the order of starts: one in the future counts as the first.

        Nothing but the order depends on the clock of this host, so one that is
        wrong costs no target.
        """
        return self._is_past(entry), entry.started_ms

    def _is_past(self, entry: fleetrecords.TargetEntry) -> bool:
        """Tell whether a target says that it has started already."""
        return entry.started_ms <= self._wall_ms() + START_MARGIN_MS

    def _report_once(
        self, subject: str, outcome: str, revision: int, detail: str
    ) -> Iterator[Change]:
        """Yield a fault unless it is the one reported last of its subject."""
        if self._faults.is_new(subject, f'{outcome} {detail}'):
            yield Change(subject, outcome, revision, detail)

    def _drop_older(self, entry: fleetrecords.TargetEntry) -> Iterator[Change]:
        """Drop the target that used the address before ``entry``.

        A crashed target stays listed until its heartbeats are missed, while
        another target may already serve at its address.
        """
        other = self._targets.other_user(entry)
        if other is not None:
            yield self._drop_target(other.target_id)

    def _remove_target(
        self, target_id: str, revision: int, now_ms: int
    ) -> Iterator[Change]:
        if target_id not in self.targets_by_id:
            return
        if now_ms < self._hold_lapsed_until_ms:
            self._drop_at_ms_by_target[target_id] = self._hold_lapsed_until_ms
            yield Change(f'target:{target_id}', 'lapsed', revision)
            return
        yield self._drop_target(target_id)

    def _drop_target(self, target_id: str) -> Change:
        self._drop_at_ms_by_target.pop(target_id, None)
        self._targets.forget(target_id)
        return Change(f'target:{target_id}', 'gone', self.revision)

    def _apply_host(
        self, item: store.Item, name: str, now_ms: int
    ) -> Iterator[Change]:
        if item.document is None:
            self.hosts_by_name.pop(name, None)
            yield Change(f'host:{name}', 'gone', item.revision)
            return
        try:
            self.hosts_by_name[name] = documents.decode_host_entry(
                name, item.document
            )
        except documents.Undecodable as fault:
            yield from self._report_once(
                f'host:{name}', 'unreadable', item.revision, str(fault)
            )
            return
        yield Change(f'host:{name}', 'registered', item.revision)

    def _apply_blamed(
        self, item: store.Item, rest: str, now_ms: int
    ) -> Iterator[Change]:
        """Report a blamed request; hosts forget it by themselves."""
        if item.document is not None:
            yield Change(f'blamed:{rest}', 'recorded', item.revision)


def _refused_fields(
    faults: oddfields.Faults, known: oddfields.Faults, revision: int
) -> Iterator[Change]:
    """Yield the refused fields that the version before did not have."""
    for fault in faults.first:
        if fault not in known.first:
            yield Change(
                'configuration',
                'field_refused',
                revision,
                f'{fault.key}: {fault.reason}',
            )
    more = faults.count - len(faults.first)
    if more and faults.count != known.count:
        yield Change('configuration', 'field_refused', revision, f'{more} more')


def _target_outcome(
    known: fleetrecords.TargetEntry | None, entry: fleetrecords.TargetEntry
) -> str:
    if known is None:
        return 'leaving' if entry.leaving else 'ready'
    if known.started_ms != entry.started_ms:
        return 'restarted'
    return 'leaving' if entry.leaving else 'changed'
