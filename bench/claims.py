"""
Cost of claims
~~~~~~~~~~~~~~

Measures key-value calls and bytes per claim and the latency that a claim adds,
with one owner in virtual time. Each claim is followed by its outcome, as with a
real request. Run it with ``python -m bench.claims``.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

import defopt

from bergamotstream import (
    actions,
    claims,
    core,
    events,
    messages,
    settings,
)
from standins import kvstore

PARTITION = 'claims:0'
MS_PER_S = 1_000
TICK_MS = 25
CALL_MS = 50
ANSWER_BYTES = 200
PERCENTILES = (50, 95, 99)


class Figures(NamedTuple):
    """What a run measured."""

    claims: int
    calls: int
    bytes_written: int
    largest_keys: int
    latencies_ms: list[int]


class ClaimRun:
    """One owner, one store and claims that arrive at random."""

    def __init__(self, rate: int, kv_ms: int, batch_ms: int) -> None:
        """``rate`` is claims a second, ``kv_ms`` one way to the store."""
        self._rate = rate
        self._kv_ms = kv_ms
        self._random = random.Random(rate)
        self._kv = kvstore.VirtualKv()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_ms = float()
        self._sent_ms_by_claim: dict[str, int] = {}
        self._latencies_ms: list[int] = []
        self._keys = 0
        platform = settings.Platform(kv='', host_list='')
        self._core = core.HostCore(
            settings.Settings(
                'h1',
                'z1',
                'c1',
                '',
                '',
                platform,
                timing=settings.Timing(claim_batch_ms=batch_ms),
            ),
            'i1',
            [claims.Claims],
        )

    def run(self, duration_s: int) -> Figures:
        """Run for ``duration_s`` of virtual time."""
        self._handle(events.PartitionAcquired(PARTITION))
        self._at(0, self._tick)
        self._at(MS_PER_S, self._arrive)
        while self._now_ms < duration_s * MS_PER_S:
            due = heapq.heappop(self._queue)
            self._now_ms = due[0]
            due[2]()
        return Figures(
            claims=len(self._latencies_ms),
            calls=self._kv.store.counts['writes'],
            bytes_written=self._kv.store.counts['bytes_written'],
            largest_keys=self._keys,
            latencies_ms=sorted(self._latencies_ms),
        )

    def _at(self, delay_ms: float, function: Callable[[], None]) -> None:
        entry = (self._now_ms + delay_ms, next(self._numbers), function)
        heapq.heappush(self._queue, entry)

    def _tick(self) -> None:
        self._keys = max(self._keys, len(self._kv.store.items_by_key))
        self._at(TICK_MS, self._tick)
        self._handle(events.Tick())

    def _arrive(self) -> None:
        gap_ms = self._random.expovariate(self._rate) * MS_PER_S
        self._at(gap_ms, self._arrive)
        claim_id = f'h1.1.{next(self._numbers)}'
        self._sent_ms_by_claim[claim_id] = int(self._now_ms)
        digest = self._random.getrandbits(64)
        message = messages.ClaimRequest(
            PARTITION, claim_id, 'ana', _key_of(claim_id), 0, digest
        )
        self._handle(events.MessageReceived('h2', message))

    def _report(self, claim_id: str) -> None:
        message = messages.OutcomeReport(
            PARTITION,
            claim_id,
            'ana',
            _key_of(claim_id),
            'ran',
            bytes(ANSWER_BYTES),
        )
        self._handle(events.MessageReceived('h2', message))

    def _handle(self, event: events.Event) -> None:
        for action in self._core.handle(event, int(self._now_ms)):
            if isinstance(action, actions.SendMessage):
                self._replied(action.message)
            elif not isinstance(action, actions.Observe):
                self._at(self._kv_ms, functools.partial(self._perform, action))

    def _perform(self, action: actions.Action) -> None:
        answered = self._kv.perform(action)
        if answered is not None:
            self._at(self._kv_ms, functools.partial(self._handle, answered))

    def _replied(self, message: messages.Message) -> None:
        if isinstance(message, messages.ClaimReply):
            if message.outcome != 'claimed':
                raise RuntimeError(message)
            sent_ms = self._sent_ms_by_claim.pop(message.claim_id)
            self._latencies_ms.append(int(self._now_ms) - sent_ms)
            self._at(CALL_MS, functools.partial(self._report, message.claim_id))


def _key_of(claim_id: str) -> str:
    return f'1790000000000-{claim_id}'


def measure(
    *,
    rates: tuple[int, ...] = (5, 20, 200),
    kv_ms: int = 2,
    seconds: int = 120,
    batch_ms: int = 20,
) -> None:
    """Print one line for each rate of claims.

    :param rates: Claims a second.
    :param kv_ms: One-way latency of the key-value service.
    :param seconds: Virtual duration of a run.
    :param batch_ms: Shortest time between two segments.
    """
    for rate in rates:
        figures = ClaimRun(rate, kv_ms, batch_ms).run(seconds)
        latencies = figures.latencies_ms
        shown = ' '.join(
            f'p{percentile}={latencies[len(latencies) * percentile // 100]}'
            for percentile in PERCENTILES
        )
        print(
            f'claims_per_s={rate} claims={figures.claims}'
            + f' calls_per_claim={figures.calls / figures.claims:.2f}'
            + f' calls_per_s={figures.calls / seconds:.1f}'
            + f' bytes_per_claim={figures.bytes_written / figures.claims:.0f}'
            + f' most_keys={figures.largest_keys} added_ms: {shown}'
        )


if __name__ == '__main__':
    defopt.run(measure)
