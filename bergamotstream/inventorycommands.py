"""
Inventory commands
~~~~~~~~~~~~~~~~~~

Operators' commands that show the hosts, targets and partitions known to this
host, and the command that drains this host.
"""

from typing import Any

from bergamotstream import actions, components, events, partitions, records

# Prefixes of commands that other components answer.
FOREIGN_PREFIXES = ('config.', 'zone.', 'audit.', 'target.')


class InventoryCommands(components.Component):
    """Answers commands on hosts, targets and partitions."""

    name = 'inventory'

    @components.handles(events.AdminAsked)
    def on_admin_asked(self, event: events.AdminAsked) -> components.Actions:
        """Run a command on hosts, targets or partitions."""
        if event.command == 'hosts.show':
            return [_answer(event, {'hosts': self._hosts()})]
        if event.command == 'targets.show':
            return [_answer(event, {'targets': self._targets()})]
        if event.command == 'partitions.show':
            return [_answer(event, self._partitions())]
        if event.command == 'host.drain':
            body = {'host': self.state.host, 'state': 'leaving'}
            return [
                actions.Raise(events.StopRequested()),
                _answer(event, body),
            ]
        if event.command.startswith(FOREIGN_PREFIXES):
            return []
        return [actions.AnswerAdmin(event.query_id, 'unknown_command', {})]

    def _hosts(self) -> list[dict[str, Any]]:
        record = self.state.cell_record
        members = record.members if record else ()
        live = self.state.live_peers | {self.state.host}
        return [
            {
                **host._asdict(),
                'live': name in live,
                'member': name in members,
                'leaving': host.leaving or name in self.state.leaving_hosts,
                'config_version': self._config_version(name),
            }
            for name, host in sorted(self.state.hosts_by_name.items())
        ]

    def _config_version(self, host: str) -> int:
        if host == self.state.host:
            return self.state.bundle.version if self.state.bundle else 0
        return self.state.config_version_by_host.get(host, 0)

    def _targets(self) -> list[dict[str, Any]]:
        bundle = self.state.bundle
        zones_out = bundle.zones_out if bundle else frozenset()
        leaving = bundle.targets_leaving if bundle else frozenset()
        return [
            {
                **target._asdict(),
                'leaving': target.leaving or name in leaving,
                'zone_out': target.availability_zone in zones_out,
                'owner': self._owner_of(target),
            }
            for name, target in sorted(self.state.targets_by_name.items())
        ]

    def _owner_of(self, target: records.TargetInfo) -> str:
        bundle = self.state.bundle
        service = None
        if bundle is not None:
            service = bundle.services_by_name.get(target.service)
        if service is None:
            return ''
        partition = partitions.targets_partition(target, service)
        return self.state.owner_of(partition)

    def _partitions(self) -> dict[str, Any]:
        return {
            'partitions': dict(sorted(self.state.owners_by_partition.items())),
            'owned': sorted(self.state.owned_partitions),
        }


def _answer(
    event: events.AdminAsked, body: dict[str, Any]
) -> actions.AnswerAdmin:
    return actions.AnswerAdmin(event.query_id, '', body)
