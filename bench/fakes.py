"""
Fakes
~~~~~

A deployment in virtual time: hosts around one kind of core, targets, network,
key-value service, host list, operators and callers. Everything random comes
from the seed.
"""

import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from bergamotstream import actions, events, records, settings
from bench import (
    callers,
    checks,
    hosts,
    naive,
    network,
    operators,
    shapes,
    storage,
    targets,
    virtualtime,
)
from standins import enginemodel

HOST_LIST_LAG_MS = 2_000

CoreBuilder = Callable[[settings.Settings, str], Any]


class Version(NamedTuple):
    """A version of the system under test."""

    name: str
    build: CoreBuilder
    prepare: Callable[[storage.Storage], None]
    commands: operators.Commands
    policy: str = 'predictive'
    relays_in_order: bool = True


class HostList:
    """The platform's host list, which lags."""

    def __init__(self, world: 'World') -> None:
        """Start with the present hosts and targets known to all."""
        self.world = world
        self._history: list[tuple[int, events.HostListRead]] = []

    def changed(self) -> None:
        """Note the present hosts and targets."""
        present = events.HostListRead(
            tuple(self.world.listed_hosts_info()),
            tuple(self.world.target_infos),
        )
        self._history.append((self.world.time.now_ms, present))

    def read(self) -> events.HostListRead:
        """Return the list as it was ``HOST_LIST_LAG_MS`` ago."""
        limit_ms = self.world.time.now_ms - HOST_LIST_LAG_MS
        known = [entry for at_ms, entry in self._history if at_ms <= limit_ms]
        return known[-1] if known else self._history[0][1]


class Trigger(NamedTuple):
    """Runs ``callback`` once ``host`` carries out an action of a kind."""

    moment: str
    kind: str
    host: str
    callback: Callable[[], None]


class Triggers:
    """Faults that wait for an action of a host."""

    def __init__(self) -> None:
        """Start with none."""
        self._pending: list[Trigger] = []

    def add(self, trigger: Trigger) -> None:
        """Wait for the trigger's action."""
        self._pending.append(trigger)

    def fire(self, moment: str, host: hosts.Host, action: Any) -> None:
        """Run the triggers that waited for this action."""
        if not self._pending:
            return
        kinds = {type(action).__name__}
        if isinstance(action, actions.SendMessage):
            kinds.add(type(action.message).__name__)
        due = [
            trigger
            for trigger in self._pending
            if trigger.kind in kinds
            and (trigger.moment, trigger.host) == (moment, host.name)
        ]
        for trigger in due:
            self._pending.remove(trigger)
            trigger.callback()


class World:
    """A deployment under test."""

    def __init__(self, shape: shapes.Shape, version: Version, seed: int):
        """Start all hosts and targets at 0 ms."""
        self.shape = shape
        self.version = version
        self.seed = seed
        self.chance = random.Random(seed)
        self.timing = settings.Timing()
        self.time = virtualtime.VirtualTime()
        self.links = network.Network(self.time, shape, random.Random(seed + 1))
        self.storage = storage.Storage(self.time, self.links)
        self.triggers = Triggers()
        self.checks = checks.Checks(self)
        self.operators = operators.Operators(self)
        self.requests_by_attempt: dict[str, str] = {}
        self.calls_by_request: dict[str, callers.Call] = {}
        self.poisons: set[str] = set()
        self.target_infos = list(shapes.targets())
        self.targets_by_name: dict[str, Any] = {}
        self.hosts_by_name: dict[str, hosts.Host] = {}
        self.host_list = HostList(self)
        self._clients_by_workspace: dict[str, callers.Client] = {}
        self._clients_by_query: dict[str, callers.Client | None] = {}
        self._starts = 0
        version.prepare(self.storage)
        self._start_all()

    def start_host(self, info: records.HostInfo) -> None:
        """Start a host process under a new incarnation."""
        self._starts += 1
        self.links.zones_by_place[info.name] = info.availability_zone
        config = shapes.host_settings(
            self.shape, info, self.seed, self.version.policy
        )
        core = self.version.build(config, f'i{self._starts}')
        self.hosts_by_name[info.name] = hosts.Host(self, info, core)

    def kill_host(self, name: str) -> None:
        """Kill a host and drop it from the host list."""
        self.hosts_by_name[name].kill()
        self.host_list.changed()

    def restart_host(self, name: str) -> None:
        """Start a host again under the same name."""
        self.hosts_by_name[name].kill()
        self.start_host(self.hosts_by_name[name].info)
        self.host_list.changed()

    def stop_host(self, name: str) -> None:
        """Ask a host to stop gracefully."""
        host = self.hosts_by_name[name]
        host.stop_asked_ms = self.time.now_ms
        host.receive(events.StopRequested())
        self.host_list.changed()

    def live_hosts(self) -> list[hosts.Host]:
        """Return the hosts that run and are not paused."""
        return [host for host in self.hosts_by_name.values() if host.responsive]

    def replace_host(self, name: str) -> None:
        """Kill a host and start one with a new name in its zone."""
        old = self.hosts_by_name[name]
        old.kill()
        new_name = f'h{len(self.hosts_by_name) + 1}'
        self.start_host(
            old.info._replace(
                name=new_name,
                caller_address=f'{new_name}:callers',
                peer_address=f'{new_name}:peers',
            )
        )
        self.host_list.changed()

    def mark_target_leaving(self, name: str) -> None:
        """Show a target as leaving in the host list and its own reports."""
        self.targets_by_name[name].leave()
        self.target_infos = [
            info._replace(leaving=True) if info.name == name else info
            for info in self.target_infos
        ]
        self.checks.away_since_ms[name] = self.time.now_ms
        self.host_list.changed()

    def listed_hosts_info(self) -> Iterator[records.HostInfo]:
        """Yield the hosts that run."""
        for host in self.hosts_by_name.values():
            if host.alive:
                leaving = host.stop_asked_ms is not None
                yield host.info._replace(leaving=leaving)

    def listed_hosts(self) -> list[hosts.Host]:
        """Return the hosts that the lagging host list shows."""
        return [
            self.hosts_by_name[info.name]
            for info in self.host_list.read().hosts
        ]

    def engines(self) -> Iterator[targets.EngineTarget]:
        """Yield the model engines."""
        for target in self.targets_by_name.values():
            if isinstance(target, targets.EngineTarget):
                yield target

    def memory_in_use(self) -> bool:
        """Tell whether any engine holds an attempt."""
        return any(
            target.engine.sequences_by_attempt for target in self.engines()
        )

    def is_poison(self, attempt_id: str) -> bool:
        """Tell whether an attempt crashes the target that runs it."""
        return self.requests_by_attempt.get(attempt_id) in self.poisons

    def send(
        self, spec: records.RequestSpec, deadline_ms: int, via: str = ''
    ) -> callers.Call:
        """Send a caller's request."""
        call = callers.Call(self, spec, deadline_ms)
        call.via = via
        self.calls_by_request[spec.request_id] = call
        self.checks.call_sent(call)
        call.send()
        return call

    def client(self, workspace: str) -> callers.Client:
        """Return the client of a workspace."""
        if workspace not in self._clients_by_workspace:
            self._clients_by_workspace[workspace] = callers.Client(
                self, workspace
            )
        return self._clients_by_workspace[workspace]

    def new_query(self, client: callers.Client | None) -> str:
        """Return a query id whose address answer goes to ``client``."""
        query_id = f'q{len(self._clients_by_query) + 1}'
        self._clients_by_query[query_id] = client
        return query_id

    def address_answered(
        self, host: hosts.Host, action: actions.AnswerAddress
    ) -> None:
        """Check an address answer and send it to the client that asked."""
        client = self._clients_by_query.get(action.query_id)
        if client is None:
            return
        self.checks.address_given(host, action)
        host.to_caller(client.answered, action)

    def _start_all(self) -> None:
        engine_settings = enginemodel.EngineSettings()
        call_ms = shapes.bundle().services_by_name['plain'].call_ms
        for info in self.target_infos:
            if info.service == shapes.MODEL_SERVICE:
                target: Any = targets.EngineTarget(self, info, engine_settings)
            else:
                target = targets.PlainTarget(self, info, call_ms)
            self.targets_by_name[info.name] = target
        for host_info in shapes.hosts(self.shape):
            self.start_host(host_info)
        self.host_list.changed()


def naive_version() -> Version:
    """Return the naive version."""
    return Version(
        'naive',
        lambda config, incarnation: naive.NaiveCore(
            config, incarnation, shapes.bundle()
        ),
        prepare=lambda store: None,
        commands=operators.naive_commands,
        relays_in_order=False,
    )
