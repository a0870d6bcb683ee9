"""
Heartbeats
~~~~~~~~~~

Cost of membership and ownership in a cell of 7 hosts: bytes of a heartbeat
and microseconds to encode, decode and handle it. Run with
``python -m bench.heartbeats``.
"""

import statistics
import time
from collections.abc import Callable

from bergamotstream import (
    actions,
    components,
    core,
    events,
    membership,
    messages,
    ownership,
    records,
    settings,
    wire,
)

HOSTS = 7
SERVICES = ('chat', 'tools')
ZONES = ('zone-a', 'zone-b', 'zone-c')
TICK_MS = 25
WARM_UP_TICKS = 400
ROUNDS = 2_000
LIMIT_BYTES = 262_144
ADDRESS = '127.0.0.1:1'
US_PER_S = 1_000_000


class Cell:
    """Cores that exchange messages without delay; the record is given."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.hosts = tuple(
            records.HostInfo(
                f'host-{index}', ZONES[index % len(ZONES)], ADDRESS, ADDRESS
            )
            for index in range(HOSTS)
        )
        self.cores = {host.name: self._start(host) for host in self.hosts}

    def tick(self) -> list[tuple[str, actions.SendMessage]]:
        """Advance one tick; return the messages that were sent."""
        self.now_ms += TICK_MS
        sent = [
            (name, action)
            for name, host in self.cores.items()
            for action in host.handle(events.Tick(), self.now_ms)
            if isinstance(action, actions.SendMessage)
        ]
        for sender, action in sent:
            event = events.MessageReceived(sender, action.message)
            self.cores[action.host].handle(event, self.now_ms)
        return sent

    def _start(self, host: records.HostInfo) -> core.HostCore:
        config = settings.Settings(
            host.name,
            host.availability_zone,
            host.cell,
            ADDRESS,
            ADDRESS,
            settings.Platform('', ''),
        )
        kinds = (membership.Membership, ownership.Ownership)
        built = core.HostCore(config, f'{host.name}-start', kinds)
        services = {
            name: records.ServiceConfig(name, 'model') for name in SERVICES
        }
        built.state.bundle = records.Bundle(1, {}, services)
        names = tuple(known.name for known in self.hosts)
        built.state.cell_record = records.CellRecord(1, names)
        built.state.reported_epoch = 1
        targets = tuple(
            records.TargetInfo(f'{service}-{zone}', service, zone, ADDRESS)
            for service in SERVICES
            for zone in ZONES
        )
        built.handle(events.HostListRead(self.hosts, targets), self.now_ms)
        return built


def measure(call: Callable[[], object]) -> float:
    """Return the mean duration of a call in microseconds."""
    started_s = time.perf_counter()
    for _ in range(ROUNDS):
        call()
    return (time.perf_counter() - started_s) / ROUNDS * US_PER_S


def report_message(kind: str, heartbeat: messages.Heartbeat) -> None:
    """Print size and codec costs of a heartbeat."""
    frame = wire.encode('host-0', 'cell-1', heartbeat, LIMIT_BYTES)
    encode_us = measure(
        lambda: wire.encode('host-0', 'cell-1', heartbeat, LIMIT_BYTES)
    )
    decode_us = measure(lambda: wire.decode(frame, LIMIT_BYTES))
    print(
        f'heartbeat={kind} bytes={len(frame)} '
        f'encode_us={encode_us:.1f} decode_us={decode_us:.1f}'
    )


class Stopwatch:
    """Mean duration of the handling of one kind of event."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._spent_s: list[float] = []

    def handle(
        self, host: core.HostCore, event: events.Event, now_ms: int
    ) -> components.Actions:
        """Let a core handle an event and note the duration."""
        started_s = time.perf_counter()
        produced = host.handle(event, now_ms)
        self._spent_s.append(time.perf_counter() - started_s)
        return produced

    def report(self) -> None:
        """Print the mean in microseconds."""
        mean_us = statistics.fmean(self._spent_s) * US_PER_S
        print(f'handle={self._kind} mean_us={mean_us:.1f}')


def measure_handling(cell: Cell) -> None:
    """Print the cost of handling heartbeats and ticks."""
    ticks, heartbeats = Stopwatch('tick'), Stopwatch('heartbeat')
    for _ in range(WARM_UP_TICKS):
        cell.now_ms += TICK_MS
        for name, host in cell.cores.items():
            for action in ticks.handle(host, events.Tick(), cell.now_ms):
                if isinstance(action, actions.SendMessage):
                    event = events.MessageReceived(name, action.message)
                    peer = cell.cores[action.host]
                    heartbeats.handle(peer, event, cell.now_ms)
    ticks.report()
    heartbeats.report()


def main() -> None:
    """Measure and print key=value lines."""
    cell = Cell()
    sent = []
    for _ in range(WARM_UP_TICKS):
        sent.extend(cell.tick())
    owned = len(cell.cores['host-0'].state.owners_by_partition)
    heartbeat = sent[-1][1].message
    if not isinstance(heartbeat, messages.Heartbeat):
        raise TypeError('the last message is not a heartbeat')
    print(f'hosts={HOSTS} partitions={owned}')
    votes = cell.cores[sent[-1][0]].state.votes.supports
    supports = tuple(messages.Support(*vote) for vote in votes.items())
    report_message('short', heartbeat)
    report_message(
        'full', heartbeat._replace(supports=supports, repeats_votes=False)
    )
    measure_handling(cell)


if __name__ == '__main__':
    main()
