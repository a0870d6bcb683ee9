"""
Placement load
~~~~~~~~~~~~~~

Requests to model engines as a played day has logged them, and what each is
worth when it is served.
"""

import pathlib
import re
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from bergamotstream.forwarding import scheduler

FIELD: Final = re.compile(r'(\w+)=("[^"]*"|\S+)')
LINE: Final = re.compile(r'\s*(-?\d+\.\d+) (\S+) event=ended ')
MS_PER_S: Final = 1_000
EVENT_TOKENS: Final = 46
# Events of an answer that was not served.
USUAL_EVENTS: Final = 30
HEADER: Final = 'at_ms,route,prompt_tokens,answer_tokens'


class Kind(NamedTuple):
    """A kind of request, after the users' sheets."""

    goal_ms: int
    pause_goal_ms: int
    deadline_ms: int
    worth: float
    late_worth: float
    mean_tokens: int


# Keyed by the goal, which tells the kinds apart on both sites.
KINDS_BY_GOAL: Final = {
    300: Kind(300, 200, 10_000, 1.3, 0.33, 4_960 + 10 * 1_600),
    1_500: Kind(1_500, 500, 10_000, 3.1, 0.79, 45_000 + 10 * 970),
    3_000: Kind(3_000, 800, 15_000, 22.0, 5.4, 210_000 + 10 * 800),
}
LEAST_SHARE: Final = 0.3
MOST_TIMES: Final = 4


class Arrival(NamedTuple):
    """One request; the first arrives at 0 ms."""

    at_ms: int
    goal_ms: int
    prompt_tokens: int
    answer_tokens: int

    @property
    def kind(self) -> Kind:
        """Return the kind of request."""
        return KINDS_BY_GOAL[self.goal_ms]

    @property
    def size(self) -> float:
        """Return what the request is worth against the mean of its kind."""
        written = self.answer_tokens * scheduler.DECODED_TOKEN_VALUE
        tokens = self.prompt_tokens + written
        share = tokens / self.kind.mean_tokens
        times = LEAST_SHARE + (1 - LEAST_SHARE) * share
        return min(times, MOST_TIMES)


def from_log(lines: Iterable[str], start_s: float, end_s: float) -> list[str]:
    """Return the rows of a load file from the log of a played day."""
    rows = []
    for line in lines:
        row = _row(line, start_s, end_s)
        if row is not None:
            rows.append(row)
    return [HEADER, *(','.join(map(str, row)) for row in sorted(rows))]


def _row(
    line: str, start_s: float, end_s: float
) -> tuple[int, int, int, int] | None:
    stamped = LINE.match(line)
    if stamped is None:
        return None
    fields = dict(FIELD.findall(line))
    arrived_s = float(stamped[1]) - int(fields['took_ms']) / MS_PER_S
    prompt_tokens = int(fields['prompt_tokens'])
    if not prompt_tokens or not start_s <= arrived_s < end_s:
        return None
    events = USUAL_EVENTS
    if fields['outcome'] == 'served':
        events = int(fields['last_event'].strip('"') or 0) + 1
    at_ms = round((arrived_s - start_s) * MS_PER_S)
    return (
        at_ms,
        int(fields['goal_ms']),
        prompt_tokens,
        events * EVENT_TOKENS,
    )


def read(path: pathlib.Path) -> list[Arrival]:
    """Return the requests of a load file."""
    return list(_parse(path.read_text().splitlines()))


def _parse(lines: list[str]) -> Iterator[Arrival]:
    if lines[0] != HEADER:
        raise ValueError(f'a load file begins with {HEADER}')
    for line in lines[1:]:
        yield Arrival(*map(int, line.split(',')))
