"""
Naive version
~~~~~~~~~~~~~

A core without the decisions of docs/design.md, to compare with: round robin
over all targets, no limits, no ownership, no claims, a retry on any error, and
last write wins for the configuration.
"""

import json
import math

from bergamotstream import actions, events, records, settings, state
from bench import shapes

CONFIG_KEY = 'config/naive'
POLL_CONFIG_MS = 5_000
MAX_TRIES = 5


class Running:
    """A request that the naive core runs."""

    def __init__(self, spec: records.RequestSpec, deadline_ms: int) -> None:
        """Start with no attempt made."""
        self.spec = spec
        self.deadline_ms = deadline_ms
        self.tries = 0


class NaiveCore:
    """Same interface as ``core.HostCore``."""

    def __init__(
        self,
        config: settings.Settings,
        incarnation: str,
        first_bundle: records.Bundle,
    ) -> None:
        """Start with the first configuration."""
        self.state = state.HostState(config, incarnation)
        self.state.bundle = first_bundle
        self._targets_by_service: dict[str, list[records.TargetInfo]] = {}
        self._hosts: tuple[records.HostInfo, ...] = ()
        self._turn = self.state.rng.randrange(shapes.MODEL_TARGETS)
        self._running_by_request: dict[str, Running] = {}
        self._requests_by_attempt: dict[str, str] = {}
        self._changes_by_operation: dict[str, events.AdminAsked] = {}
        self._poll_ms = 0

    def handle(self, event: events.Event, now_ms: int) -> list[actions.Action]:
        """Handle one event at ``now_ms`` and return actions."""
        self.state.now_ms = now_ms
        name = type(event).__name__.lower()
        method = getattr(self, f'_on_{name}', None)
        return method(event) if method else []

    def _on_tick(self, event: events.Tick) -> list[actions.Action]:
        if self.state.now_ms < self._poll_ms:
            return []
        self._poll_ms = self.state.now_ms + POLL_CONFIG_MS
        return [actions.KvRead(self.state.new_id(), CONFIG_KEY)]

    def _on_hostlistread(
        self, event: events.HostListRead
    ) -> list[actions.Action]:
        self._hosts = event.hosts
        self._targets_by_service = {}
        for target in event.targets:
            known = self._targets_by_service.setdefault(target.service, [])
            known.append(target)
        return []

    def _on_requestreceived(
        self, event: events.RequestReceived | events.ResumeReceived
    ) -> list[actions.Action]:
        request_id = event.request.request_id
        self._running_by_request[request_id] = Running(
            event.request, event.deadline_ms
        )
        return self._try(request_id)

    _on_resumereceived = _on_requestreceived

    def _on_callergone(self, event: events.CallerGone) -> list[actions.Action]:
        self._running_by_request.pop(event.request_id, None)
        return []

    def _on_attemptfinished(
        self, event: events.AttemptFinished
    ) -> list[actions.Action]:
        request_id = self._requests_by_attempt.get(event.attempt_id, '')
        if self._running_by_request.pop(request_id, None) is None:
            return []
        return [actions.FinishRequest(request_id)]

    def _on_attemptfailed(
        self, event: events.AttemptFailed
    ) -> list[actions.Action]:
        request_id = self._requests_by_attempt.get(event.attempt_id, '')
        return self._try(request_id)

    def _on_addressasked(
        self, event: events.AddressAsked
    ) -> list[actions.Action]:
        order = list(self._hosts)
        self.state.rng.shuffle(order)
        keep_ms = self.state.settings.timing.address_keep_ms
        return [actions.AnswerAddress(event.query_id, tuple(order), keep_ms)]

    def _on_adminasked(self, event: events.AdminAsked) -> list[actions.Action]:
        read = actions.KvRead(self.state.new_id(), CONFIG_KEY)
        self._changes_by_operation[read.operation_id] = event
        return [read]

    def _on_kvanswered(self, event: events.KvAnswered) -> list[actions.Action]:
        change = self._changes_by_operation.pop(event.operation_id, None)
        revision = event.items[0].revision if event.items else 0
        if event.status == 'ok' and event.items:
            self._apply(event.items[0].value)
        if change is None:
            return []
        if event.status not in {'ok', 'conflict'}:
            return [actions.AnswerAdmin(change.query_id, 'kv_unavailable', {})]
        if change.command == 'written' and event.status == 'ok':
            return [actions.AnswerAdmin(change.query_id, '', {})]
        return [self._write(change, revision)]

    def _on_stoprequested(
        self, event: events.StopRequested
    ) -> list[actions.Action]:
        return [actions.StopProcess()]

    def _try(self, request_id: str) -> list[actions.Action]:
        running = self._running_by_request.get(request_id)
        if running is None:
            return []
        chosen = self._choose(running.spec)
        if running.tries == MAX_TRIES or not chosen:
            self._running_by_request.pop(request_id)
            return [
                actions.RefuseRequest(request_id, 'target_failed', 'not_run')
            ]
        running.tries += 1
        attempt_id = self.state.new_id()
        self._requests_by_attempt[attempt_id] = request_id
        return [
            actions.Dispatch(
                attempt_id, request_id, chosen, 0, running.deadline_ms
            )
        ]

    def _choose(
        self, spec: records.RequestSpec
    ) -> tuple[records.GrantedTarget, ...]:
        bundle = self.state.bundle
        usable = [
            target
            for target in self._targets_by_service.get(spec.service, ())
            if bundle is None or not self._is_away(bundle, target)
        ]
        if bundle is None or not usable:
            return ()
        memory = bundle.services_by_name[spec.service].memory_tokens
        tokens = spec.prompt_tokens + spec.max_output_tokens
        count = math.ceil(tokens / memory)
        self._turn += count
        share = math.ceil(spec.prompt_tokens / count)
        picked = [
            usable[(self._turn + number) % len(usable)]
            for number in range(count)
        ]
        return tuple(
            records.GrantedTarget(target.name, target.address, share)
            for target in picked
        )

    def _is_away(
        self, bundle: records.Bundle, target: records.TargetInfo
    ) -> bool:
        zone_out = target.availability_zone in bundle.zones_out
        return zone_out or target.name in bundle.targets_leaving

    def _apply(self, content: bytes) -> None:
        if self.state.bundle is None:
            return
        table = json.loads(content)
        self.state.bundle = self.state.bundle._replace(
            version=table['version'],
            zones_out=frozenset(table['zones_out']),
            targets_leaving=frozenset(table['targets_leaving']),
        )

    def _write(
        self, change: events.AdminAsked, revision: int
    ) -> actions.Action:
        content = change.arguments.get('content')
        if content is None:
            content = self._changed(change)
        write = actions.KvWrite(
            self.state.new_id(), CONFIG_KEY, content, revision
        )
        self._changes_by_operation[write.operation_id] = change._replace(
            command='written', arguments={'content': content}
        )
        return write

    def _changed(self, change: events.AdminAsked) -> bytes:
        bundle = self.state.bundle
        if bundle is None:
            return b''
        names_by_part = {
            'zones_out': bundle.zones_out,
            'targets_leaving': bundle.targets_leaving,
        }
        part = change.arguments['part']
        name = frozenset((change.arguments['name'],))
        if change.arguments['present']:
            names_by_part[part] |= name
        else:
            names_by_part[part] -= name
        table = {'version': bundle.version + 1, **names_by_part}
        return json.dumps(table, default=sorted).encode()
