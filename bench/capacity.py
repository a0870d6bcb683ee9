"""
Capacity
~~~~~~~~

``python -m bench.capacity`` prints how the control load of a host grows with
the size of its cell, its configuration and its requests: CPU time, bytes
sent, memory and key-value calls, each with a least-squares line. Time is
virtual, CPU time is real. docs/CAPACITY.md explains the columns.
"""

import collections
import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

import defopt

from bench import capacitycell, capacityfit, capacityparts

MS_PER_S = 1_000
# 10 ms of CPU time in a second are 1% of a core.
NS_PER_S_PER_PERCENT = 10_000_000
MIB = 1_048_576
COLUMNS = (
    'core %',
    'codec %',
    'sent B/s',
    'messages/s',
    'KV calls/s',
    'KV B/s',
)
Row = tuple[float, ...]
Shape = capacitycell.Shape


class Totals(NamedTuple):
    """Counts of all hosts of a cell in one measured window."""

    core_ns: int
    codec_ns: int
    meter: capacitycell.Meter


def measure(shape: Shape, warm_ms: int, window_ms: int, windows: int) -> Row:
    """Run a cell and return the figures of an average host.

    The machine is shared, so CPU time is that of the cheapest window; bytes
    and calls are the mean of all windows.
    """
    cell = capacitycell.Cell(shape)
    cell.run_until_ready(warm_ms)
    totals = [_run_window(cell, window_ms) for _ in range(windows)]
    scale = MS_PER_S / window_ms / shape.hosts
    best = min(totals, key=lambda entry: entry.core_ns + entry.codec_ns)
    sent = collections.Counter[str]()
    sent_bytes = collections.Counter[str]()
    for total in totals:
        sent.update(total.meter.sent)
        sent_bytes.update(total.meter.sent_bytes)
    kv_calls = sum(sum(entry.meter.kv_calls.values()) for entry in totals)
    kv_bytes = sum(entry.meter.kv_bytes for entry in totals)
    print(
        f'<!-- {title_of(shape)}: core %',
        _largest(best.meter.cpu_ns, scale / NS_PER_S_PER_PERCENT),
        '; sent B/s',
        _largest(sent_bytes, scale / windows),
        f'; ended {cell.ended()}, versions {cell.versions()} -->',
    )
    return tuple(
        amount * scale
        for amount in (
            best.core_ns / NS_PER_S_PER_PERCENT,
            best.codec_ns / NS_PER_S_PER_PERCENT,
            sum(sent_bytes.values()) / windows,
            sum(sent.values()) / windows,
            kv_calls / windows,
            kv_bytes / windows,
        )
    )


def title_of(shape: Shape) -> str:
    """Return the fields of a shape that differ from the default."""
    changed = [
        f'{name}={amount}'
        for name, amount in shape._asdict().items()
        if amount != Shape._field_defaults[name]
    ]
    return ', '.join(changed) or 'default'


def _run_window(cell: capacitycell.Cell, window_ms: int) -> Totals:
    cell.run_window(window_ms)
    total = capacitycell.Meter()
    for host in cell.hosts:
        total.add(host.meter)
    cpu_ns = total.cpu_ns
    codec_ns = cpu_ns['encode'] + cpu_ns['decode']
    return Totals(sum(cpu_ns.values()) - codec_ns, codec_ns, total)


def memory_mib(shape: Shape) -> float:
    """Return the memory of the control state of one host, in MiB.

    All hosts run in this process; what the fakes keep is divided as well.
    """
    gc.collect()
    tracemalloc.start()
    cell = capacitycell.Cell(shape)
    cell.run_until_ready(warm_ms=MS_PER_S)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / len(cell.hosts_by_name) / MIB


def sweep(
    title: str,
    sizes: Sequence[float],
    shape_of: Callable[[float], Shape],
    warm_ms: int = 0,
    window_ms: int = 1_000,
    windows: int = 6,
) -> None:
    """Measure one shape for each size and print the table."""
    rows = [
        measure(shape_of(size), warm_ms, window_ms, windows) for size in sizes
    ]
    columns = dict(zip(COLUMNS, zip(*rows, strict=True), strict=True))
    print(capacityfit.table(title, sizes, columns), flush=True)


def sweep_memory(
    title: str, sizes: Sequence[float], shape_of: Callable[[float], Shape]
) -> None:
    """Measure the memory for each size and print the table."""
    measured = [memory_mib(shape_of(size)) for size in sizes]
    print(capacityfit.table(title, sizes, {'MiB': measured}), flush=True)


def measure_hosts() -> None:
    """Vary the hosts of a cell; flat cells show why cells are needed."""
    sweep('hosts', (2, 3, 4, 6, 8), lambda size: Shape(hosts=int(size)))
    sweep(
        'hosts, one flat cell',
        (8, 12, 24, 48),
        lambda size: Shape(hosts=int(size)),
        window_ms=500,
        windows=3,
    )
    sweep(
        'targets per host',
        (2, 4, 8, 16),
        lambda size: Shape(targets_per_host=size),
    )


def measure_configuration() -> None:
    """Vary workspaces and configuration changes."""
    sweep(
        'workspaces, idle',
        (10, 100, 1_000, 13_000),
        lambda size: Shape(hosts=4, workspaces=int(size)),
    )
    sweep(
        'workspaces, 1 change/s',
        (10, 100, 1_000, 13_000),
        lambda size: Shape(hosts=4, workspaces=int(size), changes=1),
        window_ms=4_000,
        windows=1,
    )
    sweep(
        'changes/s, 1,000 workspaces',
        (0, 0.13, 1, 10),
        lambda size: Shape(hosts=4, changes=size),
        window_ms=16_000,
        windows=1,
    )
    sweep(
        'changes/s, 13,000 workspaces',
        (0, 0.13),
        lambda size: Shape(hosts=4, changes=size, workspaces=13_000),
        warm_ms=2_000,
        window_ms=32_000,
        windows=1,
    )


def measure_requests() -> None:
    """Vary requests and non-idempotent requests."""
    sweep(
        'requests/s per host',
        (0, 5, 10, 22.5, 45),
        lambda size: Shape(requests=size),
        warm_ms=5_000,
    )
    sweep(
        'non-idempotent share at 10 requests/s',
        (0, 0.02, 0.1, 0.5),
        lambda size: Shape(requests=10, claimed_share=size),
        warm_ms=5_000,
    )


def measure_memory() -> None:
    """Vary what the control state depends on."""
    sweep_memory('hosts', (2, 4, 8), lambda size: Shape(hosts=int(size)))
    sweep_memory(
        'targets per host',
        (2, 8, 16),
        lambda size: Shape(hosts=4, targets_per_host=size),
    )
    sweep_memory(
        'workspaces',
        (10, 1_000, 13_000),
        lambda size: Shape(hosts=2, workspaces=int(size)),
    )
    sweep_memory(
        'requests/s per host',
        (0, 10, 22.5),
        lambda size: Shape(hosts=4, requests=size),
    )


def main(*, parts: tuple[str, ...] = ()) -> None:
    """Print all tables.

    :param parts: Names of measurements; all of them when empty.
    """
    begin = time.process_time()
    measurements = {
        'hosts': measure_hosts,
        'configuration': measure_configuration,
        'requests': measure_requests,
        'memory': measure_memory,
        'parts': capacityparts.measure,
    }
    for name in parts or measurements:
        measurements[name]()
    print(f'CPU time of this run: {time.process_time() - begin:.0f} s')


def _largest(counter: collections.Counter[str], scale: float) -> str:
    return ' '.join(
        f'{name}={amount * scale:.3g}'
        for name, amount in counter.most_common(6)
    )


if __name__ == '__main__':
    defopt.run(main)
