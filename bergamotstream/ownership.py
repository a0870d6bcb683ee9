"""
Ownership
~~~~~~~~~

Which host owns each partition. A host owns a partition while a majority of
the record's members, all reporting the same epoch, supports it and each of
them has echoed one of its heartbeats of the last ``owner_valid_ms``.
"""

import collections
import itertools
from collections.abc import Iterator

from bergamotstream import (
    actions,
    cellrecord,
    components,
    events,
    messages,
    partitions,
    peertable,
    records,
    state,
    votes,
)

# The votes of a partition that is no longer listed are retained for this long,
# so that an incomplete host list does not make a member drop its support.
PARTITION_RETENTION_MS = 10_000
FOREVER_MS = 2**62

Views = tuple[peertable.PeerView, ...]
# Maximum delay until a silent peer or the end of a wait is detected.
REVIEW_INTERVAL_MS = 100


class Ownership(components.Component):
    """Computes owners; must run after membership, whose state it reads."""

    name = 'ownership'

    def __init__(self, shared: state.HostState) -> None:
        """Start without partitions."""
        super().__init__(shared)
        self._voter = votes.Voter(shared)
        self._last_listed_ms_by_partition: dict[str, int] = {}
        self._expires_ms = FOREVER_MS
        self._next_review_ms = 0

    def before_event(self) -> components.Actions:
        """Stop owning partitions whose echoes have become too old."""
        if self.state.now_ms < self._expires_ms:
            return []
        return self._review_owned()

    @components.handles(events.Tick)
    def on_tick(self, event: events.Tick) -> components.Actions:
        """Review votes and owners periodically, as they depend on time."""
        if self.state.now_ms < self._next_review_ms:
            return []
        return self._review()

    @components.handles(
        events.HostListRead,
        events.BundleChanged,
        events.StopRequested,
        events.KvAnswered,
    )
    def on_event(self, event: events.Event) -> components.Actions:
        """Review votes and owners."""
        return self._review()

    @components.handles(messages.Heartbeat)
    def on_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: str
    ) -> components.Actions:
        """Review votes and owners if the heartbeat brings a change.

        A newer echo alone changes nothing until the current ones expire.
        """
        is_same_epoch = heartbeat.epoch == self.state.reported_epoch
        if heartbeat.repeats_votes and is_same_epoch:
            return []
        return self._review()

    @components.handles(messages.RecordNotice)
    def on_record_notice(
        self, notice: messages.RecordNotice, sender: str
    ) -> components.Actions:
        """Review votes and owners."""
        return self._review()

    def _review(self) -> components.Actions:
        self._next_review_ms = self.state.now_ms + REVIEW_INTERVAL_MS
        self._refresh_partitions()
        self._voter.review(self._last_listed_ms_by_partition)
        produced = self._review_owned()
        self._refresh_owners()
        return produced

    def _refresh_partitions(self) -> None:
        now_ms = self.state.now_ms
        limits = self.state.settings.limits
        names = partitions.all_partitions(
            self.state.bundle,
            self.state.targets_by_name.values(),
            limits.account_partitions,
            limits.claim_partitions,
        )
        listed_ms = self._last_listed_ms_by_partition
        listed_ms.update(dict.fromkeys(sorted(names), now_ms))
        for name in listed_ms.keys() - names:
            if now_ms - listed_ms[name] > PARTITION_RETENTION_MS:
                listed_ms.pop(name)

    def _review_owned(self) -> components.Actions:
        valid_until_ms = {
            name: until_ms
            for name, until_ms in self._ownership_deadlines()
            if self.state.now_ms < until_ms
        }
        owned = set(valid_until_ms)
        self._expires_ms = min(valid_until_ms.values(), default=FOREVER_MS)
        lost = self.state.owned_partitions - owned
        acquired = owned - self.state.owned_partitions
        self.state.owned_partitions = owned
        for former in lost:
            self.state.owners_by_partition.pop(former, None)
        self.state.owners_by_partition.update(
            dict.fromkeys(acquired, self.state.host)
        )
        changes: list[events.Event] = []
        changes.extend(map(events.PartitionLost, sorted(lost)))
        changes.extend(map(events.PartitionAcquired, sorted(acquired)))
        return [actions.Raise(change) for change in changes]

    def _ownership_deadlines(self) -> Iterator[tuple[str, int]]:
        """Yield the partitions that a majority supports, with their expiry."""
        record = self.state.cell_record
        if record is None or self.state.reported_epoch != record.epoch:
            return
        if self.state.host not in record.members:
            return
        views = tuple(self._views_of_epoch(record))
        quorum = cellrecord.majority(record)
        valid_ms = self.state.settings.timing.owner_valid_ms
        for name in self._partitions_with_support(views):
            confirmed_ms = sorted(
                self._confirmation_times_ms(name, views), reverse=True
            )
            if len(confirmed_ms) >= quorum:
                yield name, confirmed_ms[quorum - 1] + valid_ms

    def _partitions_with_support(self, views: Views) -> list[str]:
        """Return the listed partitions for which a member supports this host.

        Most partitions belong to other hosts, so this saves most of the work.
        """
        votes = self.state.votes
        supported = set(
            itertools.chain.from_iterable(
                view.partitions_for_this_host for view in views
            )
        )
        supported.update(
            name
            for name, host in votes.supports.items()
            if host == self.state.host
        )
        supported.difference_update(votes.released)
        return [
            name
            for name in self._last_listed_ms_by_partition
            if name in supported
        ]

    def _confirmation_times_ms(self, name: str, views: Views) -> list[int]:
        """Return when each supporter last confirmed a heartbeat of this host.

        A supporter that received a release may support another host since,
        so it counts only once it confirms a heartbeat sent after the release.
        """
        released_ms = self._voter.released_ms_by_partition.get(
            name, peertable.NEVER_MS
        )
        confirmed_ms = [
            view.echoed_ms
            for view in views
            if name in view.partitions_for_this_host
            and view.echoed_ms > released_ms
        ]
        if self.state.votes.supports.get(name) == self.state.host:
            confirmed_ms.append(FOREVER_MS)
        return confirmed_ms

    def _views_of_epoch(
        self, record: records.CellRecord
    ) -> Iterator[peertable.PeerView]:
        for member in record.members:
            view = self.state.peers.views_by_host.get(member)
            if view and view.heartbeat.epoch == record.epoch:
                yield view

    def _refresh_owners(self) -> None:
        """Record as owners the live hosts that a majority supports."""
        record = self.state.cell_record
        if record is None:
            return
        counts = self._count_supports(record)
        quorum = cellrecord.majority(record)
        owners = {
            name: host
            for (name, host), count in counts.items()
            if count >= quorum and host in self.state.live_peers
        }
        owners.update(
            dict.fromkeys(self.state.owned_partitions, self.state.host)
        )
        self.state.owners_by_partition = owners

    def _count_supports(
        self, record: records.CellRecord
    ) -> collections.Counter[tuple[str, str]]:
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        if self.state.host in record.members:
            counts.update(self.state.votes.supports.items())
        for member in self.state.live_peers.intersection(record.members):
            view = self.state.peers.views_by_host[member]
            counts.update(view.supports.items())
        return counts
