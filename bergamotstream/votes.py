"""
Votes
~~~~~

The votes of a member: which host it supports as owner of each partition, and
which partitions it releases. Safety depends on one invariant: a member changes
its support only when the host it supported can no longer own the partition.
"""

from collections.abc import Iterable, Mapping, Sequence

from bergamotstream import cellrecord, partitions, records, state

# Takeover times after which even the first choice releases a partition that it
# is supported for but does not own.
FIRST_CHOICE_TIMEOUTS = 4


def rank_members(
    partition: str,
    members: Iterable[str],
    zones_by_host: Mapping[str, str],
    draining: frozenset[str],
) -> tuple[str, ...]:
    """Return the succession order of a partition.

    Hosts of the partition's zone come first, ``draining`` ones last.
    """
    zone = partitions.zone_of(partition)
    return tuple(
        sorted(
            partitions.rendezvous_order(partition, members),
            key=lambda member: (
                member in draining,
                bool(zone) and zones_by_host.get(member) != zone,
            ),
        )
    )


class Voter:
    """Computes ``state.votes``."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without supports."""
        self.state = shared
        self.released_ms_by_partition: dict[str, int] = {}
        self._epoch = 0
        self._epoch_adopted_ms = 0
        self._unowned_since_ms_by_partition: dict[str, int] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._rank_inputs: tuple[object, ...] = ()
        self._draining: frozenset[str] = frozenset()
        self._eligible: set[str] = set()
        self._is_epoch_agreed = False

    def review(self, names: Iterable[str]) -> None:
        """Update releases and supports of the named partitions."""
        record = self.state.cell_record
        if record is None:
            return
        if record.epoch != self._epoch:
            self._epoch = record.epoch
            self._epoch_adopted_ms = self.state.now_ms
        self._refresh_ranks(record)
        self._refresh_eligible(record)
        released = frozenset(
            name for name in names if self._should_release(name)
        )
        for name in released | self.state.votes.released:
            self.released_ms_by_partition[name] = self.state.now_ms
        supports = self._review_supports(names, released)
        if (supports, released) != self.state.votes:
            self.state.votes = state.Votes(supports, released)

    def _review_supports(
        self, names: Iterable[str], released: frozenset[str]
    ) -> dict[str, str]:
        abstention_ms = self.state.settings.timing.takeover_ms
        age_ms = self.state.now_ms - self.state.peers.started_ms
        if age_ms < abstention_ms or not self.state.reported_epoch:
            # Supports given before a restart are not known; their echoes
            # must have expired before this host supports another one.
            return {}
        supports = {}
        for name in names:
            host = self._vote(name, released)
            if host:
                supports[name] = host
        return supports

    def _vote(self, name: str, released: frozenset[str]) -> str:
        current = self.state.votes.supports.get(name, '')
        if current and not self._may_change_support(name, current, released):
            return current
        for host in self._candidates(name, is_first_vote=not current):
            if host in self._eligible:
                if not self._has_released(name, host, released):
                    return host
        return ''

    def _candidates(self, name: str, *, is_first_vote: bool) -> Sequence[str]:
        """Return the hosts to support, best first.

        A first vote joins the majority that elected the current owner. If
        there is none, it waits for up to a takeover time until all live
        members report the same record. Otherwise members with different
        views would split the votes.
        """
        if not is_first_vote:
            return self._ranks[name]
        owner = self.state.owner_of(name)
        wait_ms = self.state.settings.timing.takeover_ms
        is_recent = self.state.now_ms - self._epoch_adopted_ms < wait_ms
        if is_recent and not self._is_epoch_agreed:
            return (owner,)
        return (owner, *self._ranks[name])

    def _may_change_support(
        self, name: str, host: str, released: frozenset[str]
    ) -> bool:
        takeover_ms = self.state.settings.timing.takeover_ms
        if self._has_released(name, host, released):
            return True
        if self.state.peers.silence_ms(host) >= takeover_ms:
            return True
        record = self.state.cell_record
        if record is None or host in record.members:
            return False
        # A host that was removed but is not silent may still rely on what
        # this host reported before it adopted the current epoch.
        return self.state.now_ms - self._epoch_adopted_ms >= takeover_ms

    def _has_released(
        self, name: str, host: str, released: frozenset[str]
    ) -> bool:
        if host == self.state.host:
            return name in released
        view = self.state.peers.views_by_host.get(host)
        return view is not None and name in view.released

    def _should_release(self, name: str) -> bool:
        """Return whether this host releases a partition."""
        if not self._is_supported(name):
            self._unowned_since_ms_by_partition.pop(name, None)
            return False
        host = self.state.host
        first = self._first_eligible(name)
        if first and first not in self._draining and first != host:
            if host in self._draining:
                return True
        return self._has_failed_to_own(name, first == host)

    def _has_failed_to_own(self, name: str, is_first: bool) -> bool:
        """Return whether this host is supported but long fails to own.

        That happens when votes are split or when messages between hosts
        arrive in one direction only. The first choice has a longer timeout.
        """
        if self.state.owns(name):
            self._unowned_since_ms_by_partition.pop(name, None)
            return False
        now_ms = self.state.now_ms
        since_ms = self._unowned_since_ms_by_partition.setdefault(name, now_ms)
        limit_ms = self.state.settings.timing.takeover_ms
        if is_first:
            limit_ms *= FIRST_CHOICE_TIMEOUTS
        return now_ms - since_ms >= limit_ms

    def _is_supported(self, name: str) -> bool:
        host = self.state.host
        if self.state.votes.supports.get(name) == host:
            return True
        views = self.state.peers.views_by_host.values()
        return any(name in view.partitions_for_this_host for view in views)

    def _first_eligible(self, name: str) -> str:
        for host in self._ranks[name]:
            if host in self._eligible:
                return host
        return ''

    def _refresh_eligible(self, record: records.CellRecord) -> None:
        """Find the members that are able to own, as far as this host knows."""
        live = self.state.live_peers.intersection(record.members)
        views = self.state.peers.views_by_host
        self._eligible = {host for host in live if views[host].heartbeat.epoch}
        self._is_epoch_agreed = all(
            views[host].heartbeat.epoch == record.epoch for host in live
        )
        host = self.state.host
        if host in record.members and self.state.reported_epoch:
            if len(live) + 1 >= cellrecord.majority(record):
                self._eligible.add(host)

    def _refresh_ranks(self, record: records.CellRecord) -> None:
        """Drop the computed orders when one of their inputs has changed."""
        zones_out = self.state.bundle.zones_out if self.state.bundle else ()
        zones_by_host = {
            info.name: info.availability_zone
            for info in self.state.hosts_by_name.values()
        }
        zones_by_host[self.state.host] = self.state.settings.availability_zone
        self._draining = frozenset(
            member
            for member in record.members
            if member in self.state.leaving_hosts
            or zones_by_host.get(member) in zones_out
        )
        inputs = (record.members, zones_by_host, self._draining)
        if inputs == self._rank_inputs:
            return
        self._rank_inputs = inputs
        self._ranks = _LazyRanks(*inputs)


class _LazyRanks(dict[str, tuple[str, ...]]):
    """Succession orders by partition, each computed on first use."""

    def __init__(
        self,
        members: tuple[str, ...],
        zones_by_host: Mapping[str, str],
        draining: frozenset[str],
    ) -> None:
        super().__init__()
        self._inputs = (members, zones_by_host, draining)

    def __missing__(self, partition: str) -> tuple[str, ...]:
        order = rank_members(partition, *self._inputs)
        self[partition] = order
        return order
