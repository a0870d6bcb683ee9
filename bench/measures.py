"""
Measures
~~~~~~~~

``python -m bench.measures`` prints the metrics of section 2.2 of
docs/design.md for both deployments in virtual time: time to first token,
slowdown of short requests by long ones, and service while an availability
zone leaves and returns.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from hdrh import histogram

from bench import fakes, operators, shapes, traffic
from bench.scenario import outcome, player, versions

# One run has 1,800 short requests, too few for a steady p99.
SEEDS = (20_261_204, 20_261_205, 20_261_206)
LOAD_MS = 60_000
LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 3
PERCENTILES = (50, 95, 99)
LENGTHS = ('short', 'medium', 'long')
ZONE_OUT_MS = 15_000
ZONE_IN_MS = 35_000

SHORT_LOADS = (
    traffic.Load(30, 'short', 'small', LOAD_MS),
    traffic.Load(2, 'medium', 'small', LOAD_MS),
)
LONG_LOADS = (traffic.Load(0.4, 'long', 'big', LOAD_MS),)


class Figures(NamedTuple):
    """What was measured for one version and shape."""

    ttft_by_length: dict[str, tuple[float, ...]]
    alone_ms: tuple[float, ...]
    slowdown: float
    zone_percent: float
    violations: int


def run(
    shape: shapes.Shape,
    version: fakes.Version,
    loads: tuple[traffic.Load, ...],
    seed: int,
    *,
    zone_leaves: bool = False,
) -> fakes.World:
    """Run loads to their end; with ``zone_leaves`` a zone goes and returns."""
    world = fakes.World(shape, version, seed)
    world.time.run_until(player.READY_MS)
    # One source for each load keeps its requests the same in all runs.
    for number, load in enumerate(loads):
        source = traffic.Traffic(world, seed + number, prefix=f'm{number}-')
        source.start(load)
    if zone_leaves:
        for at_ms, present in ((ZONE_OUT_MS, True), (ZONE_IN_MS, False)):
            change = operators.Change(
                'zones_out', shapes.ZONES[0], present=present
            )
            world.time.call_after(at_ms, world.operators.change, change, 'h2')
    player.finish(world, player.READY_MS + LOAD_MS)
    return world


def percentiles(worlds: list[fakes.World], length: str) -> tuple[float, ...]:
    """Return p50, p95 and p99 of TTFT in milliseconds of a length class."""
    times = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
    for call in calls_of(worlds, length):
        if call.ttft_ms is not None:
            times.record_value(call.ttft_ms)
    return tuple(times.get_value_at_percentile(share) for share in PERCENTILES)


def calls_of(worlds: list[fakes.World], length: str) -> Iterator[Any]:
    """Yield the calls of a length class in all runs."""
    for world in worlds:
        for call in world.checks.calls:
            if outcome.kind_of(call) == length:
                yield call


def measure(shape: shapes.Shape, version: fakes.Version) -> Figures:
    """Measure one version in one deployment."""
    all_loads = SHORT_LOADS + LONG_LOADS
    alone = [run(shape, version, SHORT_LOADS, seed) for seed in SEEDS]
    mixed = [run(shape, version, all_loads, seed) for seed in SEEDS]
    zone = run(shape, version, all_loads, SEEDS[0], zone_leaves=True)
    ttft_by_length = {length: percentiles(mixed, length) for length in LENGTHS}
    alone_ms = percentiles(alone, 'short')
    return Figures(
        ttft_by_length,
        alone_ms,
        slowdown=ttft_by_length['short'][1] / max(alone_ms[1], LOWEST_MS),
        zone_percent=outcome.answered_percent(zone, 'short'),
        violations=sum(
            len(world.checks.violations) for world in (*alone, *mixed, zone)
        ),
    )


def describe(name: str, figures: Figures) -> list[str]:
    """Return the figures of a version as lines."""
    lines = [f'  {name}']
    for length, found in figures.ttft_by_length.items():
        lines.append(f'    TTFT {length} p50/p95/p99: {_listed(found)}')
    alone = _listed(figures.alone_ms)
    lines.append(f'    TTFT short without long, p50/p95/p99: {alone}')
    lines.append(f'    slowdown of short p95: {figures.slowdown:.2f}')
    lines.append(
        f'    short answered in time while a zone leaves and returns: '
        f'{figures.zone_percent:.2f}%'
    )
    lines.append(f'    violations of invariants: {figures.violations}')
    return lines


def _listed(times_ms: tuple[float, ...]) -> str:
    return f'{"/".join(f"{entry:.0f}" for entry in times_ms)} ms'


def main() -> None:
    """Print all figures."""
    print(f'seeds {SEEDS}, {LOAD_MS} ms of load in each run, virtual time')
    for shape in shapes.SHAPES_BY_NAME.values():
        print(shape.name)
        for label, version in versions.measured_versions():
            print('\n'.join(describe(label, measure(shape, version))))


if __name__ == '__main__':
    main()
