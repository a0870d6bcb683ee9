"""
Bundles
~~~~~~~

Updates this host to the newest version of the operators' configuration and
runs operators' commands on it. Two readers per cell watch the head in the
key-value service; other hosts see a newer version in heartbeats and fetch it
from the peer that reported it. A lower version is never adopted.
"""

from collections.abc import Generator

from bergamotstream import (
    actions,
    audit,
    bundleformat,
    bundlestore,
    components,
    configcommands,
    errors,
    events,
    kvflows,
    messages,
    records,
    state,
)

READERS_PER_CELL = 2
# Delay of a read after a failure. The jitter limits the readers of 200 cells to
# under 300 reads a second while the service is down.
READ_RETRY_MS = 1_000
READ_RETRY_JITTER_MS = 1_000
# Longest time between requests to peers; the first retry is much earlier.
MAX_REQUEST_INTERVAL_MS = 2_400
COMMAND_PREFIXES = ('config.', 'zone.', 'audit.')


class Bundles(components.Component):
    """The configuration of one host."""

    name = 'bundles'

    def __init__(self, shared: state.HostState) -> None:
        """Start without a bundle."""
        super().__init__(shared)
        self._runner = kvflows.FlowRunner('config/')
        self._store = bundlestore.BundleStore()
        self._commands = configcommands.ConfigCommands(
            self._store, shared.new_id, self._known_version, self._adopt_head
        )
        # The highest version seen; retained when a stale bundle is dropped.
        self._newest_bundle: records.Bundle | None = None
        self._pending_actions: components.Actions = []
        self._encoded_version = 0
        self._encoded_content = b''
        self._is_reading = False
        self._read_revision = -1
        self._next_read_ms = 0
        self._last_contact_ms: int | None = None
        self._next_request_ms = 0
        self._request_interval_ms = shared.settings.timing.ask_again_ms

    @property
    def version(self) -> int:
        """Return the highest version seen, 0 if none."""
        return self._newest_bundle.version if self._newest_bundle else 0

    @components.handles(events.Tick)
    def on_tick(self, _event: events.Tick) -> components.Actions:
        """Read the head, ask peers and drop a bundle that is too old."""
        now_ms = self.state.now_ms
        produced = self._runner.tick(now_ms)
        if self._is_reader() and not self._is_reading:
            if now_ms >= self._next_read_ms:
                self._is_reading = True
                produced += self._runner.start(self._watch_head(), now_ms)
        return produced + self._drop_stale_bundle() + self._request_from_peer()

    @components.handles(events.KvAnswered)
    def on_kv_answered(self, event: events.KvAnswered) -> components.Actions:
        """Resume the flow that waits for this answer."""
        return self._runner.handle_kv_answer(event, self.state.now_ms)

    @components.handles(events.AdminAsked)
    def on_admin_asked(self, event: events.AdminAsked) -> components.Actions:
        """Run a command on the configuration."""
        if not event.command.startswith(COMMAND_PREFIXES):
            return []
        if event.command == 'config.show':
            return [self._show_config(event.query_id)]
        return self._runner.start(self._run_command(event), self.state.now_ms)

    @components.handles(messages.BundleRequest)
    def on_bundle_request(
        self, message: messages.BundleRequest, sender: str
    ) -> components.Actions:
        """Send the bundle to a peer whose version is lower."""
        bundle = self.state.bundle
        if bundle is None or bundle.version <= message.version:
            return []
        reply = messages.BundleReply(bundle.version, self._encode_once(bundle))
        return [actions.SendMessage(sender, reply)]

    @components.handles(messages.BundleReply)
    def on_bundle_reply(
        self, message: messages.BundleReply, sender: str
    ) -> components.Actions:
        """Adopt a peer's bundle if it is newer."""
        if message.version < self.version:
            return []
        try:
            bundle = bundleformat.decode_bundle(
                message.content, self._newest_bundle
            )
        except errors.InvalidBundle as fault:
            fields = {'peer': sender, 'fault': fault.detail}
            return [actions.LogEvent('bundle_rejected', fields)]
        self._last_contact_ms = self.state.now_ms
        if bundle.version == message.version:
            # Peers that request it from this host get the same bytes;
            # encoding 13,000 workspaces again takes 50 ms.
            self._encoded_version = bundle.version
            self._encoded_content = message.content
        return self._adopt(bundle)

    def _run_command(self, event: events.AdminAsked) -> kvflows.Flow:
        try:
            body = yield from self._commands.flow(
                event.command, event.arguments
            )
        except errors.ServiceError as fault:
            return [
                *self._pop_actions(),
                actions.AnswerAdmin(
                    event.query_id, fault.code, _error_body(fault)
                ),
            ]
        answer = actions.AnswerAdmin(event.query_id, '', body)
        return [*self._pop_actions(), answer]

    def _show_config(self, query_id: str) -> actions.AnswerAdmin:
        bundle = self.state.bundle
        if bundle is None:
            fault = errors.ConfigurationUnknown(
                'this host has read no version; if there is none yet, make'
                + ' the first one with bergamotctl draft, sign and roll'
            )
            return actions.AnswerAdmin(query_id, fault.code, _error_body(fault))
        document = bundleformat.document_of(bundle)
        body = {'version': bundle.version, **document}
        return actions.AnswerAdmin(query_id, '', body)

    def _known_version(self) -> int:
        return self.version

    def _is_reader(self) -> bool:
        record = self.state.cell_record
        if record is None:
            return True
        live = self.state.live_peers | {self.state.host}
        members = [member for member in record.members if member in live]
        return self.state.host in self._pick_readers(members)

    def _pick_readers(self, members: list[str]) -> list[str]:
        """Return the readers, in different zones where that is possible.

        A zone that loses its connection to KV must not affect both readers.
        """
        first_by_zone: dict[str, str] = {}
        for member in members:
            info = self.state.hosts_by_name.get(member)
            zone = info.availability_zone if info else ''
            first_by_zone.setdefault(zone, member)
        preferred = list(first_by_zone.values())
        others = [name for name in members if name not in preferred]
        return [*preferred, *others][:READERS_PER_CELL]

    def _watch_head(self) -> kvflows.Flow:
        """Read the head for the first time, or wait until it changes."""
        delay_ms = self.state.rng.randrange(READ_RETRY_JITTER_MS)
        self._next_read_ms = self.state.now_ms + READ_RETRY_MS + delay_ms
        try:
            yield from self._read_head()
        except errors.ServiceError as fault:
            self._is_reading = False
            # A read after the outage confirms at once that KV is reachable; a
            # watch would do so only when the head changes.
            self._read_revision = -1
            fields = {'key': audit.HEAD_KEY, 'fault': str(fault)}
            return [actions.LogEvent('bundle_read_failed', fields)]
        self._is_reading = False
        self._next_read_ms = self.state.now_ms
        return self._pop_actions()

    def _read_head(
        self,
    ) -> Generator[kvflows.Step, kvflows.Answers, None]:
        if self._read_revision < 0:
            stored = yield from self._store.load()
        else:
            answers = yield (
                actions.KvWatch('', audit.HEAD_KEY, self._read_revision),
            )
            if answers[0].status != 'ok':
                raise errors.KvUnavailable(audit.HEAD_KEY)
            watched = yield from self._store.load_parts(answers[0].items)
            stored = watched or (yield from self._store.load())
        self._last_contact_ms = self.state.now_ms
        self._adopt_head(stored.head, stored.document)
        self._read_revision = stored.revision

    def _adopt_head(
        self, head: audit.Head, document: bundleformat.Document
    ) -> None:
        """Adopt a version of the head; flows return the pending actions."""
        if head.version >= max(self.version, 1):
            self._store.retain_parts(head)
            if head.version == self._version_in_force():
                # A watch ends every 30 s without a change; building the
                # bundle of 13,000 workspaces again takes 30 ms.
                return
            bundle = bundleformat.build_bundle(
                head.version, document, self._newest_bundle
            )
            self._pending_actions += self._adopt(bundle)

    def _pop_actions(self) -> components.Actions:
        produced = self._pending_actions + self._store.outbox
        self._pending_actions = []
        self._store.outbox.clear()
        return produced

    def _adopt(self, bundle: records.Bundle) -> components.Actions:
        """Put a bundle in force unless a higher version was seen.

        The same version comes into force again after it was dropped.
        """
        in_force = self.state.bundle
        if bundle.version < self.version:
            return []
        if in_force and in_force.version == bundle.version:
            return []
        self._newest_bundle = bundle
        self.state.bundle = bundle
        self.state.bundle_since_ms = self.state.now_ms
        return [
            actions.LogEvent('bundle_adopted', {'version': bundle.version}),
            actions.Raise(events.BundleChanged(bundle.version)),
        ]

    def _drop_stale_bundle(self) -> components.Actions:
        now_ms = self.state.now_ms
        if self._last_contact_ms is None or self._other_live_hosts():
            self._last_contact_ms = now_ms
        limit_ms = self.state.settings.timing.config_stale_limit_ms
        if self.state.bundle and now_ms - self._last_contact_ms > limit_ms:
            self.state.bundle = None
            fields = {'version': self.version, 'limit_ms': limit_ms}
            return [actions.LogEvent('bundle_too_old', fields)]
        return []

    def _other_live_hosts(self) -> set[str]:
        return self.state.live_peers - {self.state.host}

    def _request_from_peer(self) -> components.Actions:
        """Request a newer bundle from a peer with exponential backoff."""
        peers = self._peers_to_query()
        if not peers:
            self._request_interval_ms = self.state.settings.timing.ask_again_ms
            return []
        if self.state.now_ms < self._next_request_ms:
            return []
        self._next_request_ms = self.state.now_ms + self._request_interval_ms
        self._request_interval_ms = min(
            2 * self._request_interval_ms, MAX_REQUEST_INTERVAL_MS
        )
        request = messages.BundleRequest(self._version_in_force())
        return [actions.SendMessage(self.state.rng.choice(peers), request)]

    def _peers_to_query(self) -> list[str]:
        own_version = self._version_in_force()
        newer = [
            host
            for host, version in self.state.config_version_by_host.items()
            if version > own_version and version >= self.version
        ]
        if newer or own_version:
            return sorted(newer)
        known_hosts = self.state.live_peers | self.state.hosts_by_name.keys()
        return sorted(known_hosts - {self.state.host})

    def _version_in_force(self) -> int:
        return self.state.bundle.version if self.state.bundle else 0

    def _encode_once(self, bundle: records.Bundle) -> bytes:
        """Return the bundle for a peer; encoded once per version."""
        if self._encoded_version != bundle.version:
            self._encoded_version = bundle.version
            self._encoded_content = bundleformat.encode_bundle(bundle)
        return self._encoded_content


def _error_body(fault: errors.ServiceError) -> configcommands.Body:
    body: configcommands.Body = {
        'detail': fault.detail,
        'remedy': fault.remedy,
        'run_state': fault.run_state,
        'retry_after_ms': fault.retry_after_ms,
    }
    if fault.changed:
        body['changed'] = list(fault.changed)
    return body
