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

import defopt

from bench import capacitycell, capacityfit, capacityparts

NS_PER_MS = 1_000_000
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


def measure(shape: Shape, warm_ms: int, measured_ms: int) -> Row:
    """Run a cell and return the figures of an average host."""
    cell = capacitycell.Cell(shape)
    cell.run(warm_ms, measured_ms)
    total = capacitycell.Meter()
    for host in cell.hosts:
        total.cpu_ns.update(host.meter.cpu_ns)
        total.sent_bytes.update(host.meter.sent_bytes)
        total.sent.update(host.meter.sent)
        total.kv_calls.update(host.meter.kv_calls)
        total.kv_bytes += host.meter.kv_bytes
    scale = MS_PER_S / measured_ms / shape.hosts
    codec_ns = total.cpu_ns.pop('encode', 0) + total.cpu_ns.pop('decode', 0)
    core_ns = sum(total.cpu_ns.values())
    _note(shape, total, scale, cell)
    return (
        core_ns * scale / NS_PER_S_PER_PERCENT,
        codec_ns * scale / NS_PER_S_PER_PERCENT,
        sum(total.sent_bytes.values()) * scale,
        sum(total.sent.values()) * scale,
        sum(total.kv_calls.values()) * scale,
        total.kv_bytes * scale,
    )


def memory_mib(shape: Shape) -> float:
    """Return the memory of the control state of one host, in MiB.

    All hosts run in this process; what the fakes keep is divided as well.
    """
    gc.collect()
    tracemalloc.start()
    cell = capacitycell.Cell(shape)
    cell.run(0, MS_PER_S)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / len(cell.hosts_by_name) / MIB


def sweep(
    title: str,
    sizes: Sequence[float],
    shape_of: Callable[[float], Shape],
    warm_ms: int = 0,
    measured_ms: int = 4_000,
) -> None:
    """Measure one shape for each size and print the table."""
    rows = [measure(shape_of(size), warm_ms, measured_ms) for size in sizes]
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
        measured_ms=1_000,
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
    )
    sweep(
        'changes/s, 1,000 workspaces',
        (0, 0.13, 1, 10),
        lambda size: Shape(hosts=4, changes=size),
        measured_ms=16_000,
    )
    sweep(
        'changes/s, 13,000 workspaces',
        (0, 0.13),
        lambda size: Shape(hosts=4, changes=size, workspaces=13_000),
        warm_ms=2_000,
        measured_ms=32_000,
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


def _note(
    shape: Shape,
    total: capacitycell.Meter,
    scale: float,
    cell: capacitycell.Cell,
) -> None:
    """Print where CPU time and bytes went, and how requests ended."""
    cpu = _largest(total.cpu_ns, scale / NS_PER_S_PER_PERCENT)
    sent = _largest(total.sent_bytes, scale)
    finished: collections.Counter[str] = collections.Counter()
    for host in cell.hosts:
        finished.update(host.load.finished)
    print(f'<!-- {shape}')
    print(f'core % {cpu}; sent B/s {sent}; ended {dict(finished)}')
    versions = {
        host.core.state.bundle.version
        for host in cell.hosts
        if host.core.state.bundle
    }
    print(f'versions {versions} -->')


def _largest(counter: collections.Counter[str], scale: float) -> str:
    return ' '.join(
        f'{name}={amount * scale:.3g}'
        for name, amount in counter.most_common(6)
    )


if __name__ == '__main__':
    defopt.run(main)
