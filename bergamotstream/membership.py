"""
Membership
~~~~~~~~~~

Which hosts and targets exist, which hosts of the cell are alive, and what
they report in their heartbeats. :mod:`bergamotstream.cellrecord` keeps the
agreed members.
"""

from bergamotstream import (
    actions,
    cellrecord,
    components,
    events,
    messages,
    records,
    state,
)

# Copies of blame outlive their owner for as long as a quarantine lasts.
BLAME_KEPT_MS = 600_000


class Membership(components.Component):
    """Sends and receives heartbeats and keeps the lists of hosts."""

    name = 'membership'

    def __init__(self, shared: state.HostState) -> None:
        """Start without knowledge of other hosts."""
        super().__init__(shared)
        self._keeper = cellrecord.RecordKeeper(shared)
        self._next_heartbeat_ms = 0
        self._sent_view: tuple[state.Votes, int, bool] | None = None
        self._is_stopping = False
        self._numbered_votes: state.Votes | None = None
        self._votes_number = 0
        self._votes_sent_ms = 0
        self._blame_seen_ms: dict[int, int] = {}

    @components.handles(events.HostListRead)
    def on_host_list(self, event: events.HostListRead) -> components.Actions:
        """Replace the lists; keep members that the list shows no longer."""
        cell = self.state.settings.cell
        listed = {known.name: known for known in event.hosts}
        hosts_by_name = {
            name: known
            for name, known in self.state.hosts_by_name.items()
            if self._is_needed(name)
        }
        hosts_by_name.update(
            (name, known)
            for name, known in listed.items()
            if known.cell == cell
        )
        self._keeper.listed_hosts = frozenset(listed)
        self.state.hosts_by_name = hosts_by_name
        self.state.targets_by_name = {
            target.name: target
            for target in event.targets
            if target.cell == cell
        }
        self._forget_unknown_hosts()
        self._refresh_hosts()
        return []

    @components.handles(events.Tick)
    def on_tick(self, event: events.Tick) -> components.Actions:
        """Send a heartbeat when it is due or when a vote has changed."""
        self._refresh_hosts()
        self._drop_old_blame()
        produced = self._keeper.review()
        view = (
            self.state.votes,
            self.state.reported_epoch,
            self._is_stopping,
        )
        if self.state.now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = (
                self.state.now_ms + self.state.settings.timing.heartbeat_ms
            )
        elif view == self._sent_view:
            return produced
        self._sent_view = view
        return [*produced, *self._send_heartbeats()]

    @components.handles(messages.Heartbeat)
    def on_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: str
    ) -> components.Actions:
        """Keep what a peer reports; tell it the record if it is behind."""
        if heartbeat.cell != self.state.settings.cell:
            return []
        known = self.state.peers.views_by_host.get(sender)
        if not self.state.peers.accept(sender, heartbeat):
            return []
        self.state.live_peers.add(sender)
        self.state.config_version_by_host[sender] = heartbeat.config_version
        for load in heartbeat.loads:
            self.state.loads_by_partition[load.partition] = load
        self._merge_blame(known.heartbeat if known else None, heartbeat)
        self._refresh_hosts()
        record = self.state.cell_record
        if record is None or heartbeat.epoch >= record.epoch:
            return []
        return [
            actions.SendMessage(sender, notice)
            for notice in self._keeper.notice()
        ]

    @components.handles(messages.RecordNotice)
    def on_record_notice(
        self, notice: messages.RecordNotice, sender: str
    ) -> components.Actions:
        """Learn a newer record from a peer."""
        return self._keeper.learn(records.CellRecord(*notice))

    @components.handles(events.KvAnswered)
    def on_kv_answer(self, answer: events.KvAnswered) -> components.Actions:
        """Continue a read or change of the record."""
        if answer.operation_id.startswith(cellrecord.OPERATION_PREFIX):
            return self._keeper.answered(answer)
        return []

    @components.handles(events.StopRequested)
    def on_stop(self, event: events.StopRequested) -> components.Actions:
        """Report this host as leaving from now on."""
        self._is_stopping = True
        self._refresh_hosts()
        return []

    def _is_needed(self, host: str) -> bool:
        record = self.state.cell_record
        is_member = record is not None and host in record.members
        return is_member or host in self.state.live_peers

    def _forget_unknown_hosts(self) -> None:
        for host in list(self.state.peers.views_by_host):
            if host not in self.state.hosts_by_name:
                if not self._is_needed(host):
                    self.state.peers.forget(host)
                    self.state.config_version_by_host.pop(host, None)

    def _refresh_hosts(self) -> None:
        """Recompute which hosts are alive and which are leaving."""
        peers = self.state.peers
        limit_ms = self.state.settings.timing.takeover_ms
        self.state.live_peers = {
            host
            for host in peers.views_by_host
            if peers.silence_ms(host) < limit_ms
        }
        leaving = {
            known.name
            for known in self.state.hosts_by_name.values()
            if known.leaving
        }
        leaving.update(
            host
            for host, view in peers.views_by_host.items()
            if view.heartbeat.leaving
        )
        if self._is_stopping:
            leaving.add(self.state.host)
        self.state.leaving_hosts = leaving

    def _send_heartbeats(self) -> components.Actions:
        shared = self.state
        shared.loads_by_partition.update(shared.own_loads_by_partition)
        if shared.votes != self._numbered_votes:
            self._numbered_votes = shared.votes
            self._votes_number += 1
            self._votes_sent_ms = shared.now_ms
        full = self._compose_heartbeat()
        short = full._replace(supports=(), released=(), repeats_votes=True)
        hosts = set(shared.hosts_by_name) - {shared.host}
        confirmed = {host for host in hosts if self._has_votes(host)}
        # Equal messages in a row let the links encode each only once.
        return [
            *(actions.SendMessage(host, short) for host in sorted(confirmed)),
            *(
                actions.SendMessage(host, full)
                for host in sorted(hosts - confirmed)
            ),
        ]

    def _has_votes(self, host: str) -> bool:
        """Tell whether a peer has confirmed the present votes."""
        view = self.state.peers.views_by_host.get(host)
        return view is not None and view.echoed_ms > self._votes_sent_ms

    def _compose_heartbeat(self) -> messages.Heartbeat:
        shared = self.state
        votes = shared.votes
        return messages.Heartbeat(
            cell=shared.settings.cell,
            incarnation=shared.incarnation,
            epoch=shared.reported_epoch,
            sent_ms=shared.peers.stamp(),
            echoes=shared.peers.echoes(),
            supports=tuple(
                messages.Support(partition, host)
                for partition, host in votes.supports.items()
            ),
            released=tuple(sorted(votes.released)),
            leaving=shared.host in shared.leaving_hosts,
            config_version=shared.bundle.version if shared.bundle else 0,
            loads=tuple(shared.own_loads_by_partition.values()),
            blames=tuple(
                records.Blame(fingerprint, score)
                for fingerprint, score in shared.own_blame_by_fingerprint.items()
            ),
            votes_number=self._votes_number,
        )

    def _merge_blame(
        self,
        known: messages.Heartbeat | None,
        heartbeat: messages.Heartbeat,
    ) -> None:
        """Take over a peer's blame; drop what it has withdrawn.

        A restarted peer has forgotten its blame, which withdraws nothing.
        """
        copies = self.state.blame_by_fingerprint
        if known and known.incarnation == heartbeat.incarnation:
            for withdrawn in known.blames:
                copies.pop(withdrawn.fingerprint, None)
        for blame in heartbeat.blames:
            copies[blame.fingerprint] = blame.score
            self._blame_seen_ms[blame.fingerprint] = self.state.now_ms

    def _drop_old_blame(self) -> None:
        oldest_ms = self.state.now_ms - BLAME_KEPT_MS
        expired = [
            fingerprint
            for fingerprint, seen_ms in self._blame_seen_ms.items()
            if seen_ms < oldest_ms
        ]
        for fingerprint in expired:
            self._blame_seen_ms.pop(fingerprint)
            self.state.blame_by_fingerprint.pop(fingerprint, None)
