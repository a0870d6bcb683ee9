"""
Load
~~~~

The seeded requests of the demonstration.
"""

import random
import time
from typing import Any, NamedTuple

from bergamotstream import records
from demo import fleet

SEED = 20_260
ARRIVALS_PER_S = 5.0
OUTPUT_TOKENS = (5, 60)
# Faults meet more open streams when answers are longer.
LONG_OUTPUT_TOKENS = (50, 300)
DEADLINE_MS = {'short': 20_000, 'medium': 30_000, 'long': 50_000}
LONGEST_SHARE = 0.04
MEDIUM_FROM = records.SHORT_PROMPT_TOKENS + 1
LONG_FROM = records.MEDIUM_PROMPT_TOKENS + 1
LONG_TO = 300_000
# Kind of request and its share.
SHARES = {
    'short': 0.45,
    'medium': 0.15,
    'long': 0.1,
    'lookup': 0.2,
    'transfer': 0.1,
}
WORKSPACES_BY_KIND = {
    'short': ('panaderia', 'clinica'),
    'medium': ('clinica', 'archivo'),
    'long': ('archivo',),
    'lookup': ('panaderia', 'clinica'),
    'transfer': ('panaderia', 'clinica'),
}


class PlannedRequest(NamedTuple):
    """One request and when it is sent; ``kind`` is a key of ``SHARES``."""

    number: int
    at_s: float
    kind: str
    body: dict[str, Any]

    @property
    def plain(self) -> bool:
        """Tell whether it goes to the plain service."""
        return self.kind in {'lookup', 'transfer'}


def plan_load(
    count: int, output_tokens: tuple[int, int] = OUTPUT_TOKENS
) -> list[PlannedRequest]:
    """Return ``count`` requests in the order in which they are sent."""
    source = random.Random(SEED)
    at_s: float = 0
    planned = []
    for number in range(count):
        at_s += source.expovariate(ARRIVALS_PER_S)
        kinds = tuple(SHARES)
        kind = source.choices(kinds, tuple(SHARES.values()))[0]
        request = _plan(source, number, at_s, kind)
        if not request.plain:
            request.body['max_output_tokens'] = source.randint(*output_tokens)
        planned.append(request)
    return _with_longest(planned)


def _plan(
    source: random.Random, number: int, at_s: float, kind: str
) -> PlannedRequest:
    body: dict[str, Any] = {
        'workspace': source.choice(WORKSPACES_BY_KIND[kind]),
        'service': fleet.MODEL_SERVICE,
        'prompt': f'request {number} of the demonstration, {kind}',
        'max_output_tokens': 1,
        'deadline_ms': DEADLINE_MS.get(kind, DEADLINE_MS['short']),
    }
    if kind in {'lookup', 'transfer'}:
        body['service'] = fleet.PLAIN_SERVICE
    else:
        body['prompt_tokens'] = _prompt_tokens(source, kind)
    return PlannedRequest(number, at_s, kind, body)


def _prompt_tokens(source: random.Random, kind: str) -> int:
    ranges = {
        'short': (1_000, records.SHORT_PROMPT_TOKENS),
        'medium': (MEDIUM_FROM, records.MEDIUM_PROMPT_TOKENS),
        'long': (LONG_FROM, LONG_TO),
    }
    return source.randint(*ranges[kind])


def _with_longest(planned: list[PlannedRequest]) -> list[PlannedRequest]:
    """Give some long requests the largest prompt, at least one of them."""
    wanted = max(1, int(len(planned) * LONGEST_SHARE / 2))
    for request in planned:
        if wanted and request.kind == 'long':
            request.body['prompt_tokens'] = records.MAX_PROMPT_TOKENS
            wanted -= 1
    return planned


def new_key(number: int) -> str:
    """Return an idempotency key that begins with the present time."""
    return f'{time.time_ns() // 1_000_000}-demo-{number}'
