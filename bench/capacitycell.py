"""
Cell under measurement
~~~~~~~~~~~~~~~~~~~~~~

Complete cores of one cell in virtual time. Each message passes through the
wire codec. CPU time is measured around the core and the codec only, so the
cost of the fakes around them is not counted.
"""

import collections
import functools
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from bergamotstream import (
    actions,
    corebuilder,
    events,
    messages,
    partitions,
    records,
    settings,
    wire,
)
from bench import capacityload, virtualtime
from standins import kvstore

ZONES = ('zone-a', 'zone-b', 'zone-c')
MODELS = ('model-1', 'model-2', 'model-3', 'model-4', 'model-5')
PLAIN = 'plain-1'
FRAME_HEADER_BYTES = 4
MESSAGE_MS = 2
KV_MS = 2
CELL = 'cell-0001'
READY_MS = 6_000
LIMIT_BYTES = settings.Limits().message_bytes


class Shape(NamedTuple):
    """Size and load of a cell; rates are per second, requests per host."""

    hosts: int = 8
    targets_per_host: float = 7.5
    workspaces: int = 1_000
    changes: float = 0
    requests: float = 0
    claimed_share: float = 0
    seed: int = 20_261_204


class Meter:
    """What one host has used since the last reset."""

    def __init__(self) -> None:
        """Start at zero."""
        self.cpu_ns: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes = 0
        self.sent: collections.Counter[str] = collections.Counter()
        self.kv_calls: collections.Counter[str] = collections.Counter()
        self.kv_bytes = 0

    def add(self, other: 'Meter') -> None:
        """Add what another host has used."""
        self.cpu_ns.update(other.cpu_ns)
        self.sent_bytes.update(other.sent_bytes)
        self.received_bytes += other.received_bytes
        self.sent.update(other.sent)
        self.kv_calls.update(other.kv_calls)
        self.kv_bytes += other.kv_bytes

    def timed(self, label: str, call: Callable[[], Any]) -> Any:
        """Call and add the CPU time to ``label``."""
        begin = time.process_time_ns()
        outcome = call()
        self.cpu_ns[label] += time.process_time_ns() - begin
        return outcome


class Host:
    """One core and its shell."""

    def __init__(self, cell: 'Cell', info: records.HostInfo) -> None:
        """Tick from a random phase on."""
        self.cell = cell
        self.info = info
        self.meter = Meter()
        self.watched: set[str] = set()
        self._encoded: tuple[Any, bytes] = (None, b'')
        config = _settings(info, cell.shape)
        self.core = corebuilder.build_core(config, _incarnation(info))
        self.load = capacityload.Load(self, cell.shape)
        timing = config.timing
        self._repeat(timing.tick_ms, self._tick)
        self._repeat(timing.host_list_ms, self._read_list)
        self._repeat(timing.load_poll_ms, self.load.poll)
        cell.time.call_after(0, self._read_list)

    def handle(self, event: Any, label: str = '') -> None:
        """Let the core handle an event and perform its actions."""
        now_ms = self.cell.time.now_ms
        produced = self.meter.timed(
            label or type(event).__name__,
            functools.partial(self.core.handle, event, now_ms),
        )
        for action in produced:
            self._perform(action)

    def receive(self, frame: bytes) -> None:
        """Decode and handle a frame of a peer."""
        self.meter.received_bytes += len(frame) + FRAME_HEADER_BYTES
        envelope = self.meter.timed(
            'decode', functools.partial(wire.decode, frame, LIMIT_BYTES)
        )
        self.handle(
            events.MessageReceived(envelope.sender, envelope.message),
            type(envelope.message).__name__,
        )

    def _perform(self, action: Any) -> None:
        if isinstance(action, actions.SendMessage):
            self._send(action)
        elif isinstance(action, actions.WatchTarget):
            self.watched.add(action.target.name)
        elif isinstance(action, actions.UnwatchTarget):
            self.watched.discard(action.target)
        elif type(action).__name__.startswith('Kv'):
            self.cell.kv_call(self, action)
        else:
            self.load.perform(action)

    def _send(self, action: actions.SendMessage) -> None:
        message = action.message
        if self._encoded[0] is not message:
            frame = self.meter.timed('encode', lambda: self._encode(message))
            self._encoded = (message, frame)
        frame = self._encoded[1]
        kind = type(message).__name__
        self.meter.sent[kind] += 1
        self.meter.sent_bytes[kind] += len(frame) + FRAME_HEADER_BYTES
        peer = self.cell.hosts_by_name.get(action.host)
        if peer is not None:
            self.cell.time.call_after(MESSAGE_MS, peer.receive, frame)

    def _encode(self, message: messages.Message) -> bytes:
        return wire.encode(self.info.name, self.info.cell, message, LIMIT_BYTES)

    def _tick(self) -> None:
        self.handle(events.Tick())

    def _read_list(self) -> None:
        self.handle(events.HostListRead(*self.cell.listed(self.info.cell)))

    def _repeat(self, period_ms: int, callback: Callable[[], None]) -> None:
        phase_ms = self.cell.random.randrange(period_ms)
        self.cell.time.call_after(phase_ms, self._again, period_ms, callback)

    def _again(self, period_ms: int, callback: Callable[[], None]) -> None:
        self.cell.time.call_after(period_ms, self._again, period_ms, callback)
        callback()


class Cell:
    """Hosts, key-value service and network."""

    def __init__(self, shape: Shape) -> None:
        """Start all hosts at once with an empty key-value service."""
        self.shape = shape
        self.time = virtualtime.VirtualTime()
        self.random = random.Random(shape.seed)
        self.kv = kvstore.VirtualKv()
        capacityload.store_bundle(self.kv, shape.workspaces, MODELS, PLAIN)
        self._infos = [
            _host_info(number, CELL) for number in range(shape.hosts)
        ]
        self._targets = _target_infos(int(shape.hosts * shape.targets_per_host))
        self.running_by_target: dict[str, dict[str, bool]] = (
            collections.defaultdict(dict)
        )
        self.targets_by_name = {entry.name: entry for entry in self._targets}
        self.hosts_by_name: dict[str, Host] = {}
        for info in self._infos:
            self.hosts_by_name[info.name] = Host(self, info)
        if shape.changes:
            self._start_operator()

    @property
    def hosts(self) -> list[Host]:
        """Return the hosts of the cell without the operators' host."""
        return [self.hosts_by_name[info.name] for info in self._infos]

    def run_until_ready(self, warm_ms: int) -> None:
        """Run until the partitions have owners and ``warm_ms`` longer."""
        self.time.run_until(READY_MS + warm_ms)

    def run_window(self, duration_ms: int) -> None:
        """Reset the meters and run on."""
        for host in self.hosts_by_name.values():
            host.meter = Meter()
        self.time.run_until(self.time.now_ms + duration_ms)

    def ended(self) -> dict[str, int]:
        """Return how many requests ended in each way."""
        ended = collections.Counter[str]()
        for host in self.hosts:
            ended.update(host.load.finished)
        return dict(ended)

    def versions(self) -> set[int]:
        """Return the versions of the configuration in force."""
        bundles = [host.core.state.bundle for host in self.hosts]
        return {bundle.version for bundle in bundles if bundle}

    def listed(self, cell: str) -> tuple[Any, Any]:
        """Return the host list of a cell."""
        if cell == self._infos[0].cell:
            return tuple(self._infos), tuple(self._targets)
        return (_operator_info(),), ()

    def kv_call(self, host: Host, action: Any) -> None:
        """Send an operation to the key-value service."""
        host.meter.kv_calls[type(action).__name__] += 1
        host.meter.kv_bytes += len(getattr(action, 'value', b''))
        self.time.call_after(KV_MS, self._kv_apply, host, action)

    def _kv_apply(self, host: Host, action: Any) -> None:
        # Operation ids are unique within one host only.
        unique = f'{host.info.name}|{action.operation_id}'
        answered = self.kv.perform(action._replace(operation_id=unique))
        if answered is not None:
            self._kv_answer(answered)
        for due in self.kv.due_watches():
            self._kv_answer(due)

    def _kv_answer(self, answered: events.KvAnswered) -> None:
        name, _, operation_id = answered.operation_id.partition('|')
        host = self.hosts_by_name[name]
        host.meter.kv_bytes += sum(len(item.value) for item in answered.items)
        own = answered._replace(operation_id=operation_id)
        self.time.call_after(KV_MS, host.handle, own)

    def _start_operator(self) -> None:
        """Start a host of another cell that changes the configuration."""
        info = _operator_info()
        operator = Host(self, info)
        self.hosts_by_name[info.name] = operator
        capacityload.Operator(operator, self.shape.changes)


def _settings(info: records.HostInfo, shape: Shape) -> settings.Settings:
    return settings.Settings(
        host=info.name,
        availability_zone=info.availability_zone,
        cell=info.cell,
        caller_address=info.caller_address,
        peer_address=info.peer_address,
        platform=settings.Platform(kv='', host_list=''),
        seed=shape.seed,
        limits=settings.Limits(cell_hosts=max(shape.hosts, 2)),
    )


def _host_info(number: int, cell: str) -> records.HostInfo:
    return records.HostInfo(
        name=f'host-{number:04}',
        availability_zone=ZONES[number % len(ZONES)],
        caller_address=f'10.0.0.{number}:8000',
        peer_address=f'10.0.0.{number}:8001',
        cell=cell,
    )


def _incarnation(info: records.HostInfo) -> str:
    return f'{partitions.hash_text(info.name) % 2**32:08x}'


def _operator_info() -> records.HostInfo:
    return _host_info(0, 'cell-0002')._replace(name='operator')


def _target_infos(count: int) -> list[records.TargetInfo]:
    """Return targets over all zones; every sixth runs the plain service."""
    services = (*MODELS, PLAIN)
    return [
        records.TargetInfo(
            name=f'target-{number:05}',
            service=services[number % len(services)],
            availability_zone=ZONES[number // len(services) % len(ZONES)],
            address=f'10.1.{number // 250}.{number % 250}:9000',
            cell=CELL,
        )
        for number in range(count)
    ]
