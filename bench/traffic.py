"""
Traffic
~~~~~~~

Requests of each length with seeded sizes, sent at once or at a steady rate.
"""

import random
from typing import Any, NamedTuple

from bergamotstream import partitions, records
from bench import shapes

MS_PER_S = 1_000
BLOCK_TOKENS = 512
PROMPT_RANGES = {
    'short': (200, 4_000),
    'medium': (8_000, 32_000),
    'long': (100_000, 300_000),
    'huge': (600_000, 900_000),
    'orders': (1, 1),
}
OUTPUT_RANGES = {
    'short': (20, 60),
    'medium': (50, 150),
    'long': (100, 300),
    'huge': (100, 300),
    'orders': (1, 1),
}
DEADLINES_MS = {
    'short': 10_000,
    'medium': 30_000,
    'long': 120_000,
    'huge': 300_000,
    'orders': 10_000,
}
# Workspaces reuse a few prompt beginnings, such as instructions.
SHARED_PREFIXES = 4
SHARED_BLOCKS = 2


class Load(NamedTuple):
    """A steady rate of requests."""

    rate: float
    length: str
    workspace: str
    duration_ms: int


class Traffic:
    """Makes and sends requests in a world."""

    def __init__(self, world: Any, seed: int, prefix: str = 'r') -> None:
        """Draw sizes and gaps from ``seed``; ids start with ``prefix``."""
        self._prefix = prefix
        self.world = world
        self.chance = random.Random(f'traffic/{seed}')
        self._number = 0

    def start(self, load: Load) -> None:
        """Send requests at a rate with exponential gaps."""
        end_ms = self.world.time.now_ms + load.duration_ms
        self._schedule(load, end_ms)

    def send(
        self,
        length: str,
        workspace: str,
        tokens: int = 0,
        output: int = 0,
        deadline_ms: int = 0,
        via: str = '',
    ) -> Any:
        """Send one request; sizes that are 0 are drawn."""
        spec = self.new_spec(length, workspace, tokens, output)
        return self.world.send(spec, deadline_ms or DEADLINES_MS[length], via)

    def order(
        self, key: str, workspace: str, deadline_ms: int = 0, via: str = ''
    ) -> Any:
        """Send a call that must run at most once."""
        spec = self.new_spec('orders', workspace, 1, 1)._replace(
            idempotency_key=key,
            fingerprint=partitions.hash_text(key),
            body_digest=partitions.hash_text(f'{key} body'),
        )
        return self.world.send(spec, deadline_ms or DEADLINES_MS['orders'], via)

    def send_poison(self, first: records.RequestSpec, number: int) -> None:
        """Send a request with the prompt of ``first`` that crashes targets."""
        spec = first._replace(request_id=f'{first.request_id}-{number}')
        self.world.poisons.add(spec.request_id)
        self.world.send(spec, DEADLINES_MS['short'])

    def new_spec(
        self, length: str, workspace: str, tokens: int = 0, output: int = 0
    ) -> records.RequestSpec:
        """Make a request; sizes that are 0 are drawn."""
        self._number += 1
        request_id = f'{self._prefix}{self._number}'
        prompt = tokens or self.chance.randint(*PROMPT_RANGES[length])
        service = shapes.MODEL_SERVICE
        if length == 'orders':
            service = shapes.PLAIN_SERVICE
        fingerprint = partitions.hash_text(request_id)
        return records.RequestSpec(
            request_id=request_id,
            workspace=workspace,
            service=service,
            prompt_tokens=prompt,
            max_output_tokens=(
                output or self.chance.randint(*OUTPUT_RANGES[length])
            ),
            fingerprint=fingerprint,
            body_digest=fingerprint,
            prefix_hashes=self._block_hashes(workspace, request_id, prompt),
        )

    def _schedule(self, load: Load, end_ms: int) -> None:
        gap_ms = int(self.chance.expovariate(load.rate) * MS_PER_S)
        at_ms = self.world.time.now_ms + gap_ms
        if at_ms < end_ms:
            self.world.time.call_at(at_ms, self._send_next, load, end_ms)

    def _send_next(self, load: Load, end_ms: int) -> None:
        workspace = load.workspace
        if workspace in {'small', 'big'}:
            workspace = self.chance.choice(shapes.workspace_names(workspace))
        if load.length == 'orders':
            self._number += 1
            self.order(f'order-{self._number}', workspace)
        else:
            self.send(load.length, workspace)
        self._schedule(load, end_ms)

    def _block_hashes(
        self, workspace: str, request_id: str, prompt: int
    ) -> tuple[int, ...]:
        blocks = prompt // BLOCK_TOKENS
        shared = self.chance.randrange(SHARED_PREFIXES)
        names = [
            f'{workspace}/{shared}/{block}'
            if block < SHARED_BLOCKS
            else f'{request_id}/{block}'
            for block in range(blocks)
        ]
        return tuple(partitions.hash_text(name) for name in names)
