"""Helpers for tests of the core's components."""

from bergamotstream import (
    accounts,
    core,
    events,
    hostselection,
    records,
    sessions,
    settings,
    shutdown,
)

OWNER = 'h2'
PARTITION = 'targets:asistente:rosario:0'
SECOND_PARTITION = 'targets:asistente:parana:0'


def make_settings(host='h1'):
    """Return settings of a host in availability zone rosario."""
    platform = settings.Platform('http://127.0.0.1:1', 'http://127.0.0.1:2')
    return settings.Settings(
        host, 'rosario', 'cell-1', '127.0.0.1:3', '127.0.0.1:4', platform
    )


def make_bundle(**changes):
    """Return a bundle with one workspace and two services."""
    workspace = records.WorkspaceConfig('small', 0, 1.0, 4, 100_000)
    bundle = records.Bundle(
        version=1,
        workspaces_by_name={'small': workspace},
        services_by_name={
            'asistente': records.ServiceConfig('asistente', 'model'),
            'mostrador': records.ServiceConfig('mostrador', 'plain'),
        },
    )
    return bundle._replace(**changes)


def make_request(**changes):
    """Return a short request that may be repeated."""
    request = records.RequestSpec(
        request_id='r1',
        workspace='small',
        service='asistente',
        prompt_tokens=1_000,
        max_output_tokens=100,
        fingerprint=7,
        body_digest=9,
    )
    return request._replace(**changes)


class Host:
    """One core with the accepting host's components and fixed owners."""

    def __init__(self):
        """Let another host own every partition."""
        kinds = (
            accounts.Accounts,
            sessions.Sessions,
            hostselection.HostSelection,
            shutdown.GracefulShutdown,
        )
        self.core = core.HostCore(make_settings(), 'i1', kinds)
        shared = self.core.state
        shared.bundle = make_bundle()
        for name in ('h1', OWNER):
            shared.hosts_by_name[name] = records.HostInfo(
                name, 'rosario', f'{name}:1', f'{name}:2'
            )
        shared.live_peers = {OWNER}
        self.zones = ('rosario', 'parana')
        for zone in self.zones:
            for service in ('asistente', 'mostrador'):
                name = f'{service}-{zone}'
                shared.targets_by_name[name] = records.TargetInfo(
                    name, service, zone, '127.0.0.1:9'
                )
                partition = f'targets:{service}:{zone}:0'
                shared.owners_by_partition[partition] = OWNER
        for number in range(16):
            shared.owners_by_partition[f'accounts:{number}'] = OWNER
        shared.owners_by_partition['claims:0'] = OWNER
        self.now_ms = 1_000
        self.send(events.BundleChanged(1))

    def send(self, event, after_ms=0):
        """Handle an event after some time and return the actions."""
        self.now_ms += after_ms
        return self.core.handle(event, self.now_ms)

    def receive(self, message, after_ms=0, sender=OWNER):
        """Handle a message from a peer."""
        return self.send(events.MessageReceived(sender, message), after_ms)


def messages_of(produced, kind):
    """Return the messages of a kind among actions."""
    return [
        action.message
        for action in produced
        if isinstance(getattr(action, 'message', None), kind)
    ]


def actions_of(produced, kind):
    """Return the actions of a kind."""
    return [action for action in produced if isinstance(action, kind)]
