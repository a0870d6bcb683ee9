"""
Inventory
~~~~~~~~~

Operators' commands on hosts and targets: what this host knows of them, and a
planned stop of this host.
"""

from typing import Any

from bergamotstream import actions, components, events


class Inventory(components.Component):
    """Answers ``hosts.show``, ``targets.show`` and ``host.drain``."""

    name = 'inventory'

    @components.handles(events.AdminAsked)
    def on_admin_asked(self, event: events.AdminAsked) -> components.Actions:
        """Run a command on hosts or targets."""
        if event.command == 'hosts.show':
            return [_answer(event, {'hosts': self._hosts()})]
        if event.command == 'targets.show':
            return [_answer(event, {'targets': self._targets()})]
        if event.command == 'host.drain':
            body = {'host': self.state.host, 'state': 'leaving'}
            return [
                actions.Raise(events.StopRequested()),
                _answer(event, body),
            ]
        return []

    def _hosts(self) -> list[dict[str, Any]]:
        record = self.state.record
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
            }
            for name, target in sorted(self.state.targets_by_name.items())
        ]


def _answer(
    event: events.AdminAsked, body: dict[str, Any]
) -> actions.AnswerAdmin:
    return actions.AnswerAdmin(event.query_id, '', body)
