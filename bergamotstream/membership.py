"""
Membership
~~~~~~~~~~

Which hosts and targets exist, which hosts of the cell are alive, and what
they report in their heartbeats. :mod:`bergamotstream.cellrecord` maintains the
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

# Copies of blame are kept for the duration of a quarantine after their owner
# last reported them.
BLAME_RETENTION_MS = 600_000


class Membership(components.Component):
    """Sends and receives heartbeats and maintains the lists of hosts."""

    name = 'membership'

    def __init__(self, shared: state.HostState) -> None:
        """Start without knowledge of other hosts."""
        super().__init__(shared)
        self._record_updater = cellrecord.RecordUpdater(shared)
        self._next_heartbeat_ms = 0
        self._sent_status: tuple[state.Votes, int, bool] | None = None
        self._is_stopping = False
        self._numbered_votes: state.Votes | None = None
        self._votes_number = 0
        self._votes_sent_ms = 0
        self._seen_ms_by_fingerprint: dict[int, int] = {}

    @components.handles(events.HostListRead)
    def on_host_list(self, event: events.HostListRead) -> components.Actions:
        """Replace the lists; retain members that are no longer listed."""
        cell = self.state.settings.cell
        listed = {info.name: info for info in event.hosts}
        hosts_by_name = {
            name: info
            for name, info in self.state.hosts_by_name.items()
            if self._is_member_or_live(name)
        }
        hosts_by_name.update(
            (name, info) for name, info in listed.items() if info.cell == cell
        )
        self._record_updater.listed_hosts = frozenset(listed)
        self.state.hosts_by_name = hosts_by_name
        self.state.targets_by_name = {
            target.name: target
            for target in event.targets
            if target.cell == cell
        }
        self._drop_unknown_hosts()
        self._refresh_hosts()
        return []

    @components.handles(events.Tick)
    def on_tick(self, event: events.Tick) -> components.Actions:
        """Send a heartbeat when it is due or when a vote has changed."""
        self._refresh_hosts()
        self._drop_old_blame()
        produced = self._record_updater.review()
        status = (
            self.state.votes,
            self.state.reported_epoch,
            self._is_stopping,
        )
        if self.state.now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = (
                self.state.now_ms + self.state.settings.timing.heartbeat_ms
            )
        elif status == self._sent_status:
            return produced
        self._sent_status = status
        return [*produced, *self._send_heartbeats()]

    @components.handles(messages.Heartbeat)
    def on_heartbeat(
        self, heartbeat: messages.Heartbeat, sender: str
    ) -> components.Actions:
        """Store a peer's report; send it the record if its epoch is older."""
        if heartbeat.cell != self.state.settings.cell:
            return []
        previous = self.state.peers.views_by_host.get(sender)
        if not self.state.peers.accept(sender, heartbeat):
            return []
        self.state.live_peers.add(sender)
        self.state.config_version_by_host[sender] = heartbeat.config_version
        for load in heartbeat.loads:
            self.state.loads_by_partition[load.partition] = load
        self._merge_blame(previous.heartbeat if previous else None, heartbeat)
        self._refresh_hosts()
        record = self.state.cell_record
        if record is None or heartbeat.epoch >= record.epoch:
            return []
        return [
            actions.SendMessage(sender, notice)
            for notice in self._record_updater.record_notices()
        ]

    @components.handles(messages.RecordNotice)
    def on_record_notice(
        self, notice: messages.RecordNotice, sender: str
    ) -> components.Actions:
        """Adopt a newer record from a peer."""
        return self._record_updater.adopt(records.CellRecord(*notice))

    @components.handles(events.KvAnswered)
    def on_kv_answered(self, answer: events.KvAnswered) -> components.Actions:
        """Continue a read or change of the record."""
        if answer.operation_id.startswith(cellrecord.OPERATION_PREFIX):
            return self._record_updater.handle_answer(answer)
        return []

    @components.handles(events.StopRequested)
    def on_stop(self, event: events.StopRequested) -> components.Actions:
        """Report this host as leaving from now on."""
        self._is_stopping = True
        self._refresh_hosts()
        return []

    def _is_member_or_live(self, host: str) -> bool:
        record = self.state.cell_record
        is_member = record is not None and host in record.members
        return is_member or host in self.state.live_peers

    def _drop_unknown_hosts(self) -> None:
        for host in list(self.state.peers.views_by_host):
            if host not in self.state.hosts_by_name:
                if not self._is_member_or_live(host):
                    self.state.peers.remove(host)
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
            info.name
            for info in self.state.hosts_by_name.values()
            if info.leaving
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
        up_to_date = {host for host in hosts if self._has_confirmed_votes(host)}
        # Equal messages in a row let the links encode each only once.
        return [
            *(actions.SendMessage(host, short) for host in sorted(up_to_date)),
            *(
                actions.SendMessage(host, full)
                for host in sorted(hosts - up_to_date)
            ),
        ]

    def _has_confirmed_votes(self, host: str) -> bool:
        """Return whether a peer has confirmed the current votes."""
        view = self.state.peers.views_by_host.get(host)
        return view is not None and view.echoed_ms > self._votes_sent_ms

    def _compose_heartbeat(self) -> messages.Heartbeat:
        shared = self.state
        votes = shared.votes
        return messages.Heartbeat(
            cell=shared.settings.cell,
            incarnation=shared.incarnation,
            epoch=shared.reported_epoch,
            sent_ms=shared.peers.timestamp(),
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
        previous: messages.Heartbeat | None,
        heartbeat: messages.Heartbeat,
    ) -> None:
        """Merge a peer's blame and drop what the peer has withdrawn.

        Blame that is missing because the peer restarted is not withdrawn.
        """
        copies = self.state.blame_by_fingerprint
        if previous and previous.incarnation == heartbeat.incarnation:
            for withdrawn in previous.blames:
                copies.pop(withdrawn.fingerprint, None)
        for blame in heartbeat.blames:
            copies[blame.fingerprint] = blame.score
            self._seen_ms_by_fingerprint[blame.fingerprint] = self.state.now_ms

    def _drop_old_blame(self) -> None:
        oldest_ms = self.state.now_ms - BLAME_RETENTION_MS
        expired = [
            fingerprint
            for fingerprint, seen_ms in self._seen_ms_by_fingerprint.items()
            if seen_ms < oldest_ms
        ]
        for fingerprint in expired:
            self._seen_ms_by_fingerprint.pop(fingerprint)
            self.state.blame_by_fingerprint.pop(fingerprint, None)
