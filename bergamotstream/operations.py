"""
Operations
~~~~~~~~~~

Operators' commands that concern this host's view: lists of hosts and targets,
ownership, and the planned stop.
"""

from bergamotstream import actions, components, events, partitions, records

COMMAND_GROUPS = ('config', 'zone', 'audit')


class Operations(components.Component):
    """Answers ``hosts``, ``targets``, ``partitions`` and ``drain``."""

    name = 'operations'

    def __init__(self, shared: components.state.HostState) -> None:
        """Start without a planned stop."""
        super().__init__(shared)
        self._stop_from_ms = 0

    @components.handles(events.AdminAsked)
    def command(self, event: events.AdminAsked) -> components.Actions:
        """Answer a command; configuration commands are left to others."""
        answers = {
            'hosts': self._hosts,
            'targets': self._targets,
            'partitions': self._partitions,
        }
        answer = answers.get(event.command)
        if answer is not None:
            return [actions.AnswerAdmin(event.query_id, '', answer())]
        if event.command == 'drain':
            return [
                actions.AnswerAdmin(event.query_id, '', self._drain_state()),
                actions.Raise(events.StopRequested()),
            ]
        if event.command.split('.')[0] in COMMAND_GROUPS:
            return []
        return [actions.AnswerAdmin(event.query_id, 'unknown_command', {})]

    @components.handles(events.StopRequested)
    def stop(self, event: events.StopRequested) -> components.Actions:
        """Start a planned stop."""
        if not self.state.leaving:
            self.state.leaving = True
            self._stop_from_ms = self.state.now_ms
        return [actions.LogEvent('planned_stop', self._drain_state())]

    @components.handles(events.Tick)
    def tick(self, event: events.Tick) -> components.Actions:
        """End the process when callers have moved and nothing is open.

        Callers may use an address answer until it expires, so the host keeps
        serving at least that long.
        """
        if not self.state.leaving:
            return []
        timing = self.state.settings.timing
        elapsed_ms = self.state.now_ms - self._stop_from_ms
        if elapsed_ms < timing.address_keep_ms:
            return []
        if self.state.open_requests and elapsed_ms < timing.stop_limit_ms:
            return []
        return [actions.StopProcess()]

    def _drain_state(self) -> dict[str, object]:
        return {
            'host': self.state.host,
            'open_requests': self.state.open_requests,
        }

    def _hosts(self) -> dict[str, object]:
        return {
            'hosts': [
                self._describe_host(host)
                for host in self.state.hosts_by_name.values()
            ]
        }

    def _describe_host(self, host: records.HostInfo) -> dict[str, object]:
        own = host.name == self.state.host
        version = self.state.config_version_by_host.get(host.name, 0)
        if own and self.state.bundle is not None:
            version = self.state.bundle.version
        leaving = self.state.leaving if own else False
        return {
            'name': host.name,
            'availability_zone': host.availability_zone,
            'address': host.caller_address,
            'live': own or host.name in self.state.live_peers,
            'leaving': (
                leaving or host.leaving or host.name in self.state.leaving_hosts
            ),
            'config_version': version,
        }

    def _targets(self) -> dict[str, object]:
        return {
            'targets': [
                self._describe_target(target)
                for target in self.state.targets_by_name.values()
            ]
        }

    def _describe_target(self, target: records.TargetInfo) -> dict[str, object]:
        bundle = self.state.bundle
        service = None
        out = False
        if bundle is not None:
            service = bundle.services_by_name.get(target.service)
            out = target.availability_zone in bundle.zones_out
        owner = ''
        if service is not None:
            partition = partitions.targets_partition(target, service)
            owner = self.state.owner_of(partition)
        return {
            'name': target.name,
            'service': target.service,
            'availability_zone': target.availability_zone,
            'address': target.address,
            'leaving': target.leaving,
            'zone_out': out,
            'owner': owner,
        }

    def _partitions(self) -> dict[str, object]:
        return {
            'partitions': dict(self.state.owners_by_partition),
            'owned': sorted(self.state.owned_partitions),
        }
