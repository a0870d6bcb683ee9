"""
Partition
~~~~~~~~~

Measures one partition of 16 targets in virtual time for each policy: time to
first token by length class, slowdown of short requests by long ones, and the
cost of the owner's decisions. Run ``python -m bench.partition``.
"""

import argparse
import math
import random
from typing import NamedTuple

from hdrh import histogram

from bench import simulation
from bergamotstream import policies, records

TARGETS = 16
NOMINAL_TOKENS_PER_S = 20_000
WARM_UP_MS = 20_000
LONGEST_MS = 600_000
DEADLINE_MS = 1_800_000
PERCENTILES = (50, 95, 99)
# Share of requests and range of prompt tokens.
LENGTHS = (
    (0.7, 1_000, 4_000),
    (0.24, 4_001, 32_000),
    (0.04, 32_001, 100_000),
    (0.02, 100_001, 1_000_000),
)
MS_PER_S = 1_000


class Cost(NamedTuple):
    """Processor time of the owner's decisions in microseconds."""

    per_request: float
    per_target_s: float


class Outcome(NamedTuple):
    """Measured figures of one run."""

    histograms: dict[str, histogram.HdrHistogram]
    paces: histogram.HdrHistogram
    requests: int
    unfinished: int
    denied: int
    cost: Cost

    def percentile(self, length_class: str, percentile: int) -> int:
        """Return a TTFT in ms."""
        entry = self.histograms[length_class]
        return int(entry.get_value_at_percentile(percentile))


def make_arrivals(
    seed: int, load: float, duration_ms: int, targets: int = TARGETS
) -> list[simulation.Arrival]:
    """Return requests from ten workspaces, two of them large."""
    source = random.Random(seed)
    rate = load * targets * NOMINAL_TOKENS_PER_S / mean_prompt_tokens()
    arrivals: list[simulation.Arrival] = []
    at_ms = float(0)
    while at_ms < duration_ms:
        at_ms += source.expovariate(rate) * MS_PER_S
        arrivals.append(_arrival(source, int(at_ms), len(arrivals)))
    return arrivals


def mean_prompt_tokens() -> float:
    """Return the mean of the log-uniform mixture of prompt lengths."""
    return sum(
        share * (high - low) / math.log(high / low)
        for share, low, high in LENGTHS
    )


def run(
    policy: str,
    arrivals: list[simulation.Arrival],
    duration_ms: int,
    targets: int,
) -> Outcome:
    """Run one policy on given arrivals."""
    world = simulation.Simulation(targets, policy)
    for arrival in arrivals:
        world.submit(arrival)
    world.run_until(duration_ms)
    seconds = duration_ms / MS_PER_S
    cost = Cost(
        world.request_ns / simulation.NS_PER_US / max(len(arrivals), 1),
        world.target_ns / simulation.NS_PER_US / targets / seconds,
    )
    world.run_until(duration_ms + LONGEST_MS)
    histograms = {
        name: histogram.HdrHistogram(1, LONGEST_MS * 4, 3)
        for name in ('short', 'medium', 'long')
    }
    paces = histogram.HdrHistogram(1, LONGEST_MS, 3)
    unfinished = 0
    denied = 0
    for call in world.calls.values():
        if call.done_ms is None:
            unfinished += 1
        denied += len(call.codes)
        measured = WARM_UP_MS < call.arrival.at_ms < duration_ms
        if call.ttft_ms is not None and measured:
            tokens = call.arrival.request.prompt_tokens
            kind = records.length_class(tokens)
            histograms[kind].record_value(call.ttft_ms)
            if kind == 'short' and call.done_ms is not None:
                paces.record_value(_ms_per_token(call))
    return Outcome(histograms, paces, len(arrivals), unfinished, denied, cost)


def report(
    policy: str,
    arrivals: list[simulation.Arrival],
    duration_ms: int,
    targets: int,
) -> None:
    """Print the figures of a policy with and without long prompts."""
    present = run(policy, arrivals, duration_ms, targets)
    lighter = [
        arrival
        for arrival in arrivals
        if arrival.request.prompt_tokens <= records.MEDIUM_PROMPT_TOKENS
    ]
    absent = run(policy, lighter, duration_ms, targets)
    print(f'policy={policy} requests={present.requests}', end=' ')
    print(f'unfinished={present.unfinished} denied={present.denied}', end=' ')
    print(
        f'us_per_request={present.cost.per_request:.0f}',
        f'us_per_target_s={present.cost.per_target_s:.0f}',
    )
    for kind in present.histograms:
        values = [present.percentile(kind, part) for part in PERCENTILES]
        print(f'  {kind:6} p50/p95/p99 TTFT ms: {values}')
    pace = [present.paces.get_value_at_percentile(x) for x in PERCENTILES]
    print(f'  short  p50/p95/p99 ms between tokens: {pace}')
    before = absent.percentile('short', 95)
    after = present.percentile('short', 95)
    others = [absent.percentile('short', part) for part in PERCENTILES]
    print(f'  short without long prompts: {others}', end=' ')
    print(f'p95 slowdown={after / max(before, 1):.2f}', flush=True)


def main() -> None:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--policy', action='append')
    parser.add_argument('--load', type=float, default=0.55)
    parser.add_argument('--targets', type=int, default=TARGETS)
    parser.add_argument('--seconds', type=int, default=300)
    parser.add_argument('--seed', type=int, action='append')
    options = parser.parse_args()
    duration_ms = options.seconds * MS_PER_S
    for seed in options.seed or [1]:
        arrivals = make_arrivals(
            seed, options.load, duration_ms, options.targets
        )
        print(f'seed={seed} load={options.load} seconds={options.seconds}')
        for policy in options.policy or policies.all_policy_names():
            report(policy, arrivals, duration_ms, options.targets)


def _ms_per_token(call: simulation.Call) -> int:
    if call.done_ms is None or call.ttft_ms is None:
        return 0
    first_ms = call.arrival.at_ms + call.ttft_ms
    gaps = max(call.arrival.output_tokens - 1, 1)
    return max(round((call.done_ms - first_ms) / gaps), 1)


def _arrival(
    source: random.Random, at_ms: int, number: int
) -> simulation.Arrival:
    shares = [entry[0] for entry in LENGTHS]
    _, low, high = source.choices(LENGTHS, shares)[0]
    tokens = int(math.exp(source.uniform(math.log(low), math.log(high))))
    workspace = f'w{min(int(source.expovariate(0.5)), 9)}'
    output = source.randint(50, 400)
    request = records.RequestSpec(
        request_id=f'r{number}',
        workspace=workspace,
        service=simulation.SERVICE,
        prompt_tokens=tokens,
        max_output_tokens=output,
        fingerprint=number,
        body_digest=number,
    )
    host = f'h{source.randint(1, 3)}'
    return simulation.Arrival(at_ms, request, output, DEADLINE_MS, 0, host)


if __name__ == '__main__':
    main()
