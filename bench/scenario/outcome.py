"""
Outcome
~~~~~~~

What a run did: counts by kind of request and violations by invariant, as the
lines of an ``.expected`` file, and the check of a scenario's expectations.
"""

import collections
from typing import Any

from bench import fakes
from bench.scenario import language

KINDS = ('short', 'medium', 'long', 'huge', 'orders')
LENGTH_LIMITS = (
    (4_000, 'short'),
    (32_000, 'medium'),
    (400_000, 'long'),
)
INVARIANTS = range(1, 11)
PERCENT = 100


def kind_of(call: Any) -> str:
    """Return the kind of a call: its length class or ``orders``."""
    if call.spec.idempotency_key:
        return 'orders'
    for limit, kind in LENGTH_LIMITS:
        if call.spec.prompt_tokens <= limit:
            return kind
    return 'huge'


def describe(world: fakes.World) -> list[str]:
    """Return the outcome of a run as lines."""
    lines = [world.version.name]
    for kind in KINDS:
        calls = [call for call in world.checks.calls if kind_of(call) == kind]
        if calls:
            lines.append(f'  {kind}: {_counts(calls)}')
    lines.extend(_refusals(world))
    if world.operators.answers:
        answers = collections.Counter(world.operators.answers)
        lines.append(f'  changes: {_listed(answers)}')
    lines.extend(_violations(world))
    return lines


def broken(world: fakes.World) -> set[int]:
    """Return the invariants that a run broke."""
    return {entry.invariant for entry in world.checks.violations}


def unmet(
    world: fakes.World, expectations: tuple[language.Expectation, ...]
) -> list[str]:
    """Return the expectations for this version that do not hold."""
    return [
        f'{entry.version} {entry.kind} {entry.arguments}'
        for entry in expectations
        if entry.version == world.version.name and not _holds(world, entry)
    ]


def answered_percent(world: fakes.World, kind: str | None) -> float:
    """Return the share of calls that got their whole answer in time."""
    calls = [
        call
        for call in world.checks.calls
        if kind is None or kind_of(call) == kind
    ]
    good = [call for call in calls if _answered(call)]
    return PERCENT * len(good) / max(len(calls), 1)


def _holds(world: fakes.World, entry: language.Expectation) -> bool:
    if entry.kind == 'clean':
        return not world.checks.violations
    if entry.kind == 'breaks':
        return set(entry.arguments) <= broken(world)
    if entry.kind == 'refused':
        codes = {call.code for call in world.checks.calls}
        return entry.arguments[0] in codes
    percent, kind = entry.arguments
    return answered_percent(world, kind) >= percent


def _answered(call: Any) -> bool:
    in_time = call.ended_ms is not None and call.ended_ms <= call.deadline_ms
    return call.outcome == 'finished' and call.whole and in_time


def _counts(calls: list[Any]) -> str:
    counts = collections.Counter(_result(call) for call in calls)
    names = ('answered', 'refused', 'failed')
    return ', '.join(f'{name} {counts[name]}' for name in names)


def _result(call: Any) -> str:
    if _answered(call):
        return 'answered'
    if call.outcome == 'refused' and call.run_state == 'not_run':
        return 'refused'
    return 'failed'


def _refusals(world: fakes.World) -> list[str]:
    codes = collections.Counter(
        f'{call.code}/{call.run_state}'
        for call in world.checks.calls
        if call.outcome == 'refused'
    )
    return [f'  errors: {_listed(codes)}'] if codes else []


def _violations(world: fakes.World) -> list[str]:
    lines = []
    for invariant in INVARIANTS:
        found = [
            entry
            for entry in world.checks.violations
            if entry.invariant == invariant
        ]
        if found:
            first = found[0]
            lines.append(
                f'  invariant {invariant}: {len(found)} violations, first at '
                f'{first.at_ms} ms: {first.subject}'
            )
    return lines or ['  no violations']


def _listed(counts: collections.Counter[str]) -> str:
    return ', '.join(f'{name} {counts[name]}' for name in sorted(counts))
