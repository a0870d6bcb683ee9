"""
Placement
~~~~~~~~~

Answers which hosts a workspace's callers should use. The first one owns the
workspace's account, so that its limit is charged without a message; a large
workspace is spread over more hosts in proportion to its share.
"""

import math

from bergamotstream import actions, components, events, partitions, records

MAX_ADDRESSES = 3


class Placement(components.Component):
    """Address answers."""

    name = 'placement'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start the rotation of large workspaces at their first host."""
        super().__init__(shared)
        self._answers = 0

    @components.handles(events.AddressAsked)
    def answer(self, event: events.AddressAsked) -> components.Actions:
        """Return up to three hosts and how long to keep the answer."""
        ranked = self._ranked(event.workspace)
        spread = min(self._spread(event.workspace), len(ranked))
        if spread > 1:
            self._answers += 1
            turn = self._answers % spread
            ranked = ranked[turn:spread] + ranked[:turn] + ranked[spread:]
        return [
            actions.AnswerAddress(
                event.query_id,
                tuple(ranked[:MAX_ADDRESSES]),
                self.state.settings.timing.address_keep_ms,
            )
        ]

    def _ranked(self, workspace: str) -> list[records.HostInfo]:
        count = self.state.settings.limits.account_partitions
        partition = partitions.accounts_partition(workspace, count)
        names = [host.name for host in self._usable_hosts()]
        order = list(partitions.rendezvous_order(partition, names))
        owner = self.state.owner_of(partition)
        if owner in order:
            order.remove(owner)
            order.insert(0, owner)
        return [self.state.hosts_by_name[name] for name in order]

    def _usable_hosts(self) -> list[records.HostInfo]:
        alive = self.state.live_peers | {self.state.host}
        away = set(self.state.leaving_hosts)
        if self.state.leaving:
            away.add(self.state.host)
        bundle = self.state.bundle
        zones_out = bundle.zones_out if bundle else frozenset()
        return [
            host
            for host in self.state.hosts_by_name.values()
            if host.name in alive
            and host.name not in away
            and not host.leaving
            and host.availability_zone not in zones_out
        ]

    def _spread(self, workspace: str) -> int:
        if self.state.bundle is None:
            return 1
        workspaces = self.state.bundle.workspaces_by_name
        if workspace not in workspaces:
            return 1
        total = sum(entry.tokens_per_s for entry in workspaces.values())
        share = workspaces[workspace].tokens_per_s / max(total, 1)
        return max(1, math.ceil(share * len(self.state.hosts_by_name)))
