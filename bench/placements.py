"""
Placements
~~~~~~~~~~

Replays recorded loads through the decisions of the hosts and the model of the
engines, compares policies side by side and draws the result:

    python -m bench.placements bench/loads/*.csv --seeds 1 2 3 --plot out.svg
"""

import importlib
import pathlib
import statistics
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final, NamedTuple

import defopt

from bench import placementload, placementworld
from bergamotstream.forwarding import fleetrecords

SERVICE: Final = fleetrecords.Service(
    name='model',
    cold_requests_per_s=0,
    engine=fleetrecords.EngineProfile(
        slots=8,
        memory_tokens=450_000,
        steps_in_pass=46,
        step_ms=0.925,
        step_ms_per_request=0.00966,
        step_ms_per_thousand_context=0.00254,
        prefill_tokens_per_ms=256,
        prefill_ms_per_million_pairs=0.0917,
        chunk_tokens=2_048,
        usual_prompt_tokens=13_000,
        usual_answer_tokens=1_540,
    ),
)
# One round trip to the only host that places.
PLACER_DELAY_MS: Final = 10
# Length of the windows whose worst two are shown; source: the users' bench.
WINDOW_MS: Final = 2_000
WORST_WINDOWS: Final = 2

Builder = Callable[[placementworld.Fleet], placementworld.World]
POLICIES: dict[str, Builder] = {}


def register(builder: Builder) -> Builder:
    """Register how hosts know what the others have placed."""
    POLICIES[builder.__name__] = builder
    return builder


@register
def shared(fleet: placementworld.Fleet) -> placementworld.World:
    """Hosts tell each other what they have placed."""
    return placementworld.World(fleet)


@register
def alone(fleet: placementworld.Fleet) -> placementworld.World:
    """Hosts know only what they have placed themselves."""
    world = placementworld.World(fleet)
    world.shares_placements = False
    return world


@register
def one_placer(fleet: placementworld.Fleet) -> placementworld.World:
    """One host places for all of them."""
    return placementworld.World(fleet._replace(hosts=1), PLACER_DELAY_MS)


class Row(NamedTuple):
    """Result of one load under one policy, over all seeds."""

    load: str
    policy: str
    worth: float
    worst_windows: float
    served: float
    in_time_by_goal: dict[int, float]
    forecast_error_ms: float


def main(
    *loads: pathlib.Path,
    policies: Sequence[str] = ('shared',),
    seeds: Sequence[int] = (1, 2, 3),
    hosts: int = 6,
    targets: int = 16,
    change: Sequence[str] = (),
    plot: pathlib.Path | None = None,
) -> None:
    """Replay loads and print a table.

    :param loads: Files that ``python -m bench.recordload`` has written.
    :param policies: How hosts know of each other's placements.
    :param seeds: Seeds of ties, hosts and hints.
    :param hosts: Number of hosts.
    :param targets: Number of engines.
    :param change: Constants to change, as ``placement.PART_COST=0.01``.
    :param plot: File for a drawing of the result.
    """
    for assignment in change:
        _change_constant(assignment)
    rows = []
    for path in loads:
        load = placementload.read(path)
        for name in policies:
            worlds = [
                placementworld.Fleet(SERVICE, targets, hosts, seed)
                for seed in seeds
            ]
            played = [POLICIES[name](fleet).play(load) for fleet in worlds]
            rows.append(result_row(path.stem, name, played))
    _print(rows)
    if plot is not None:
        _draw(rows, plot)


def _change_constant(assignment: str) -> None:
    place, _, text = assignment.partition('=')
    module_name, _, name = place.partition('.')
    module = importlib.import_module(f'bergamotstream.forwarding.{module_name}')
    kind = type(getattr(module, name))
    setattr(module, name, kind(text))


def result_row(
    load: str, name: str, played: list[list[placementworld.Outcome]]
) -> Row:
    """Return the result of one load under one policy."""
    outcomes = [outcome for run in played for outcome in run]
    errors_ms = [
        abs(outcome.first_ms - outcome.forecast_ms)
        for outcome in outcomes
        if outcome.served
    ]
    return Row(
        load,
        name,
        _worth(outcomes),
        statistics.fmean(_worst_windows(run) for run in played),
        sum(outcome.served for outcome in outcomes) / len(outcomes),
        dict(_in_time(outcomes)),
        statistics.median(errors_ms),
    )


def _worth(outcomes: list[placementworld.Outcome]) -> float:
    owed = sum(outcome.owed for outcome in outcomes)
    return sum(outcome.earned for outcome in outcomes) / owed


def _worst_windows(outcomes: list[placementworld.Outcome]) -> float:
    by_window: dict[int, list[placementworld.Outcome]] = {}
    for outcome in outcomes:
        window = outcome.arrival.at_ms // WINDOW_MS
        by_window.setdefault(window, []).append(outcome)
    worths = sorted(_worth(listed) for listed in by_window.values())
    return statistics.fmean(worths[:WORST_WINDOWS])


def _in_time(
    outcomes: list[placementworld.Outcome],
) -> Iterator[tuple[int, float]]:
    for goal_ms in placementload.KINDS_BY_GOAL:
        listed = [
            outcome
            for outcome in outcomes
            if outcome.arrival.goal_ms == goal_ms
        ]
        if listed:
            in_time = sum(outcome.in_time for outcome in listed)
            yield goal_ms, in_time / len(listed)


def _print(rows: list[Row]) -> None:
    for row in rows:
        kinds = ' '.join(
            f'{goal_ms}={share:.3f}'
            for goal_ms, share in row.in_time_by_goal.items()
        )
        print(
            f'{row.load:24} {row.policy:10} worth={row.worth:.3f}'
            f' worst={row.worst_windows:.3f} served={row.served:.3f}'
            f' in time: {kinds} error_ms={row.forecast_error_ms:.0f}'
        )


def _draw(rows: list[Row], path: pathlib.Path) -> None:
    """Draw worth and worst windows of each load by policy."""
    pyplot: Any = importlib.import_module('matplotlib.pyplot')
    names = sorted({row.policy for row in rows})
    loads = sorted({row.load for row in rows})
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4), sharey=True)
    for axis, field in zip(axes, ('worth', 'worst_windows'), strict=True):
        for offset, name in enumerate(names):
            heights = [
                getattr(row, field)
                for load in loads
                for row in rows
                if row.load == load and row.policy == name
            ]
            width = 0.8 / len(names)
            places = [index + offset * width for index in range(len(loads))]
            axis.bar(places, heights, width, label=name)
        axis.set_xticks(range(len(loads)), loads, rotation=20)
        axis.set_title(field.replace('_', ' '))
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)


if __name__ == '__main__':
    defopt.run(main)
