"""
Language
~~~~~~~~

Parses scenario files; ``grammar.lark`` next to this module is the grammar.
"""

import pathlib
from typing import Any, NamedTuple

import lark

GRAMMAR = pathlib.Path(__file__).parent / 'grammar.lark'
MS_BY_UNIT = {'ms': 1, 's': 1_000}


class Step(NamedTuple):
    """Something that is done in a run, with its arguments."""

    kind: str
    arguments: tuple[Any, ...]
    at_ms: int = 0


class Trigger(NamedTuple):
    """A step that waits for an action of a host."""

    moment: str
    action: str
    host: str
    step: Step


class Expectation(NamedTuple):
    """What must hold for a version at the end of a run."""

    version: str
    kind: str
    arguments: tuple[Any, ...]


class Scenario(NamedTuple):
    """A parsed scenario; times count from the moment the system is ready."""

    shape: str
    seed: int
    end_ms: int
    steps: tuple[Step, ...]
    triggers: tuple[Trigger, ...]
    expectations: tuple[Expectation, ...]


class Builder(lark.Transformer[lark.Token, Scenario]):
    """Turns the parse tree into a scenario."""

    def start(self, statements: list[Any]) -> Scenario:
        """Collect the statements by type."""
        single = {
            entry.kind: entry.arguments[0]
            for entry in statements
            if isinstance(entry, Step)
            and entry.kind in {'deployment', 'seed', 'end'}
        }
        steps = [
            entry
            for entry in statements
            if isinstance(entry, Step) and entry.kind not in single
        ]
        return Scenario(
            shape=single.get('deployment', 'three-ms'),
            seed=single.get('seed', 1),
            end_ms=single.get('end', 30_000),
            steps=tuple(steps),
            triggers=tuple(_of_type(statements, Trigger)),
            expectations=tuple(_of_type(statements, Expectation)),
        )

    def at(self, parts: list[Any]) -> Step:
        """Set the time of a step."""
        at_ms, step = parts
        return step._replace(at_ms=at_ms)

    def trigger(self, parts: list[Any]) -> Trigger:
        """Make a step wait for an action."""
        return Trigger(*parts)

    def expect(self, parts: list[Any]) -> Expectation:
        """Keep an expectation."""
        version, step = parts
        return Expectation(version, step.kind, step.arguments)

    def duration(self, parts: list[Any]) -> int:
        """Return milliseconds."""
        amount, unit = parts
        return int(float(amount) * MS_BY_UNIT[unit])

    def number(self, parts: list[Any]) -> float:
        """Return a number."""
        return float(parts[0])

    def INT(self, token: lark.Token) -> int:  # noqa: N802
        """Return a whole number."""
        return int(token)

    def __default__(self, kind: Any, parts: list[Any], meta: Any) -> Step:
        """Turn every other rule into a step of the same name."""
        return Step(str(kind), tuple(parts))

    def __default_token__(self, token: lark.Token) -> str:
        """Return the text of every other terminal."""
        return str(token)


def parse(text: str) -> Scenario:
    """Parse a scenario; raises ``lark.UnexpectedInput`` with the place."""
    return Builder().transform(_parser.parse(text))


def _of_type(statements: list[Any], kind: type) -> list[Any]:
    return [entry for entry in statements if isinstance(entry, kind)]


_parser = lark.Lark(GRAMMAR.read_text(), parser='lalr')
