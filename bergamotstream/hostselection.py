"""
Host selection
~~~~~~~~~~~~~~

Selects the hosts that the callers of a workspace should use. The first one
owns the workspace's account, so that charging its limits takes no message to
another host. A large workspace is distributed over several hosts in proportion
to its share of the token rates.
"""

import math

from bergamotstream import actions, components, events, partitions, records

MAX_ADDRESSES = 3


class HostSelection(components.Component):
    """Answers address queries."""

    name = 'placement'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start the rotation of large workspaces at their first host."""
        super().__init__(shared)
        self._answer_count = 0

    @components.handles(events.AddressAsked)
    def on_address_asked(
        self, event: events.AddressAsked
    ) -> components.Actions:
        """Return up to three hosts and how long to cache the answer."""
        ranked = self._ranked_hosts(event.workspace)
        host_count = min(self._host_count(event.workspace), len(ranked))
        if host_count > 1:
            self._answer_count += 1
            offset = self._answer_count % host_count
            ranked = (
                ranked[offset:host_count]
                + ranked[:offset]
                + ranked[host_count:]
            )
        return [
            actions.AnswerAddress(
                event.query_id,
                tuple(ranked[:MAX_ADDRESSES]),
                self.state.settings.timing.address_keep_ms,
            )
        ]

    def _ranked_hosts(self, workspace: str) -> list[records.HostInfo]:
        count = self.state.settings.limits.account_partitions
        partition = partitions.accounts_partition(workspace, count)
        names = [host.name for host in self._usable_hosts()]
        ordered = list(partitions.rendezvous_order(partition, names))
        owner = self.state.owner_of(partition)
        if owner in ordered:
            ordered.remove(owner)
            ordered.insert(0, owner)
        return [self.state.hosts_by_name[name] for name in ordered]

    def _usable_hosts(self) -> list[records.HostInfo]:
        live = self.state.live_peers | {self.state.host}
        leaving = set(self.state.leaving_hosts)
        if self.state.leaving:
            leaving.add(self.state.host)
        bundle = self.state.bundle
        zones_out = bundle.zones_out if bundle else frozenset()
        return [
            host
            for host in self.state.hosts_by_name.values()
            if host.name in live
            and host.name not in leaving
            and not host.leaving
            and host.availability_zone not in zones_out
        ]

    def _host_count(self, workspace: str) -> int:
        if self.state.bundle is None:
            return 1
        workspaces = self.state.bundle.workspaces_by_name
        if workspace not in workspaces:
            return 1
        total = sum(entry.tokens_per_s for entry in workspaces.values())
        share = workspaces[workspace].tokens_per_s / max(total, 1)
        return max(1, math.ceil(share * len(self.state.hosts_by_name)))
