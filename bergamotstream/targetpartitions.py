"""
Target partitions
~~~~~~~~~~~~~~~~~

The component that runs the owner of each target partition that this host
owns. It passes events and messages to the owner of the partition concerned.
"""

from bergamotstream import (
    actions,
    components,
    events,
    grants,
    messages,
    partitionowner,
    partitions,
    policies,
    quarantine,
    records,
    state,
)

PARTITION_KIND = 'targets'
NO_OWNER_RETRY_MS = 250
BLAME_EXPIRY_INTERVAL_MS = 10_000


class TargetPartitions(components.Component):
    """Grants, queues and memory of the owned target partitions."""

    name = 'targetpartitions'

    def __init__(self, shared: state.HostState) -> None:
        """Start without partitions; an unknown policy raises at once."""
        super().__init__(shared)
        policies.get_policy_by_name(shared.settings.policy)
        self.owners_by_partition: dict[str, partitionowner.PartitionOwner] = {}
        self.quarantine = quarantine.Quarantine(
            shared.settings.limits.quarantine_after,
            shared.own_blame_by_fingerprint,
        )
        self._partition_by_target: dict[str, str] = {}
        self._last_expiry_ms = 0

    @components.handles(events.PartitionAcquired)
    def acquire(self, event: events.PartitionAcquired) -> components.Actions:
        """Watch the targets and query the members for their grants."""
        if not event.partition.startswith(f'{PARTITION_KIND}:'):
            return []
        previous = self.owners_by_partition.pop(event.partition, None)
        owner = partitionowner.PartitionOwner(
            event.partition,
            self._service_of(event.partition),
            self.state,
            self.quarantine,
        )
        self.owners_by_partition[event.partition] = owner
        self._update_targets()
        if previous is not None:
            owner.take_over(previous)
        return owner.adoption.query_holdings() + owner.pop_actions()

    @components.handles(events.PartitionLost)
    def release_partition(
        self, event: events.PartitionLost
    ) -> components.Actions:
        """Discard the state of a partition that the host no longer owns."""
        return self._close_partition(event.partition)

    @components.handles(events.HostListRead, events.BundleChanged)
    def update_configuration(
        self, event: events.HostListRead | events.BundleChanged
    ) -> components.Actions:
        """Apply changes of the host list and of the configuration."""
        produced: components.Actions = []
        for partition, owner in list(self.owners_by_partition.items()):
            if owner.service != self._service_of(partition):
                # Sizes and caps changed: rebuild the state from the holdings.
                produced.extend(
                    self.acquire(events.PartitionAcquired(partition))
                )
        self._update_targets()
        return produced + self._pop_all_actions()

    @components.handles(messages.GrantRequest)
    def request(
        self, message: messages.GrantRequest, sender: str
    ) -> components.Actions:
        """Grant, queue or deny a request."""
        owner = self._owner(message.partition)
        if owner is None:
            return [
                grants.denial(
                    message.partition,
                    sender,
                    message.request.request_id,
                    'no_owner',
                    NO_OWNER_RETRY_MS,
                )
            ]
        owner.request(message, sender)
        return owner.pop_actions()

    @components.handles(messages.GrantCancel)
    def cancel(
        self, message: messages.GrantCancel, sender: str
    ) -> components.Actions:
        """Remove a waiting request."""
        owner = self._owner(message.partition)
        if owner is None:
            return []
        waiting = owner.admission.waiting_by_request.get(message.request_id)
        if waiting is not None and waiting.accepting_host == sender:
            owner.admission.withdraw(message.request_id)
        return owner.pop_actions()

    @components.handles(messages.GrantRenew)
    def renew(
        self, message: messages.GrantRenew, sender: str
    ) -> components.Actions:
        """Extend leases."""
        owner = self._owner(message.partition)
        if owner is None:
            return []
        for attempt_id in message.attempt_ids:
            owner.renew(attempt_id, sender)
        return owner.pop_actions()

    @components.handles(messages.GrantProgress)
    def record_first_token(
        self, message: messages.GrantProgress, sender: str
    ) -> components.Actions:
        """Update the estimates from the first token of an attempt."""
        owner = self._owner(message.partition)
        if owner is None:
            return []
        owner.record_first_token(message)
        return owner.pop_actions()

    @components.handles(messages.GrantRelease)
    def release(
        self, message: messages.GrantRelease, sender: str
    ) -> components.Actions:
        """End a grant."""
        owner = self._owner(message.partition)
        if owner is None:
            return []
        owner.release(message, sender)
        return owner.pop_actions()

    @components.handles(messages.FindRequest)
    def find(
        self, message: messages.FindRequest, sender: str
    ) -> components.Actions:
        """Find the grant of a request that another host resumes."""
        owner = self._owner(message.partition)
        if owner is None:
            reply = messages.FindReply(
                message.partition, message.request_id, found=False
            )
            return [actions.SendMessage(sender, reply)]
        owner.find(message.request_id, sender)
        return owner.pop_actions()

    @components.handles(messages.HoldingsReply)
    def adopt(
        self, message: messages.HoldingsReply, sender: str
    ) -> components.Actions:
        """Adopt the grants that a member holds."""
        owner = self._owner(message.partition)
        if owner is None:
            return []
        owner.adopt(message.holdings, sender)
        return owner.pop_actions()

    @components.handles(events.LoadReported)
    def reconcile_report(
        self, event: events.LoadReported
    ) -> components.Actions:
        """Reconcile a target's bookkeeping with its report."""
        owner = self._owner_of_target(event.report.target)
        if owner is None:
            return []
        owner.reconcile_report(event.report)
        return owner.pop_actions()

    @components.handles(events.PrefixesReported)
    def update_prefixes(
        self, event: events.PrefixesReported
    ) -> components.Actions:
        """Update a digest of cached prefixes."""
        owner = self._owner_of_target(event.target)
        if owner is not None:
            owner.update_prefixes(event)
        return []

    @components.handles(events.Tick)
    def tick(self, event: events.Tick) -> components.Actions:
        """Expire leases and re-check the queues."""
        if self.state.now_ms - self._last_expiry_ms >= BLAME_EXPIRY_INTERVAL_MS:
            self._last_expiry_ms = self.state.now_ms
            self.quarantine.expire_old(self.state.now_ms)
        for owner in self.owners_by_partition.values():
            owner.tick()
        return self._pop_all_actions()

    def _owner(self, partition: str) -> partitionowner.PartitionOwner | None:
        return self.owners_by_partition.get(partition)

    def _owner_of_target(
        self, target: str
    ) -> partitionowner.PartitionOwner | None:
        return self._owner(self._partition_by_target.get(target, ''))

    def _pop_all_actions(self) -> components.Actions:
        produced: components.Actions = []
        for owner in self.owners_by_partition.values():
            produced.extend(owner.pop_actions())
        return produced

    def _close_partition(self, partition: str) -> components.Actions:
        owner = self.owners_by_partition.pop(partition, None)
        if owner is None:
            return []
        self.state.own_loads_by_partition.pop(partition, None)
        owner.close()
        return owner.pop_actions()

    def _service_of(self, partition: str) -> records.ServiceConfig:
        name = partitions.service_of(partition)
        bundle = self.state.bundle
        if bundle is None or name not in bundle.services_by_name:
            return records.ServiceConfig(name, 'model')
        return bundle.services_by_name[name]

    def _update_targets(self) -> None:
        listed: dict[str, dict[str, records.TargetInfo]] = {
            partition: {} for partition in self.owners_by_partition
        }
        self._partition_by_target.clear()
        services: dict[str, records.ServiceConfig] = {}
        for info in self.state.targets_by_name.values():
            service = services.get(info.service)
            if service is None:
                service = self._service_of(f'{PARTITION_KIND}:{info.service}')
                services[info.service] = service
            partition = partitions.targets_partition(info, service)
            members = listed.get(partition)
            if members is not None:
                members[info.name] = info
                self._partition_by_target[info.name] = partition
        for partition, owner in self.owners_by_partition.items():
            owner.update_targets(
                listed[partition], self._leaving(listed[partition])
            )

    def _leaving(self, listed: dict[str, records.TargetInfo]) -> frozenset[str]:
        """Return the targets that must not be given new work."""
        bundle = self.state.bundle
        zones_out = frozenset() if bundle is None else bundle.zones_out
        leaving = frozenset() if bundle is None else bundle.targets_leaving
        return frozenset(
            name
            for name, info in listed.items()
            if info.leaving
            or name in leaving
            or info.availability_zone in zones_out
        )
