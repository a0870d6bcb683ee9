"""
Forecast
~~~~~~~~

Expected waits and finish times in a partition, from the targets' learned speeds
and the work that is queued.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bergamotstream import (
    fairqueue,
    grants,
    latencymodel,
    occupancy,
    records,
    state,
    targetplacement,
)

QUEUES = ('suspect', 'short', 'medium', 'long')
# Prompts whose expected wait stands for their class in load summaries.
TYPICAL_TOKENS: dict[records.LengthClass, int] = {
    'short': 2_000,
    'medium': 16_000,
    'long': 200_000,
}
NO_TARGET_WAIT_MS = 60_000


class Queued(NamedTuple):
    """Tokens of requests that are granted before another one."""

    prompt_tokens: int
    output_tokens: int

    def without(self, request: records.RequestSpec) -> 'Queued':
        """Return the tokens without a request that is itself queued."""
        return Queued(
            max(self.prompt_tokens - request.prompt_tokens, 0),
            max(self.output_tokens - request.max_output_tokens, 0),
        )


class Forecast:
    """Expected times of requests in one partition."""

    def __init__(
        self,
        shared: state.HostState,
        placer: targetplacement.Placer,
        queues: Mapping[str, fairqueue.FairQueue],
    ) -> None:
        """Use the targets of ``placer`` and the queues."""
        self._state = shared
        self._placer = placer
        self._queues = queues
        self._output_ratio = float(1)

    def load_summary(
        self, partition: str, queued: int
    ) -> records.PartitionLoad:
        """Return the load summary that is sent to other hosts."""
        waits = {
            length_class: self._typical_wait_ms(length_class)
            for length_class in TYPICAL_TOKENS
        }
        return records.PartitionLoad(
            partition=partition,
            short_wait_ms=waits['short'],
            medium_wait_ms=waits['medium'],
            long_wait_ms=waits['long'],
            queued=queued,
        )

    def ttft_ms(self, waiting: grants.WaitingRequest) -> float:
        """Return the expected time to first token of a queued request."""
        request = waiting.request
        requirement = occupancy.Requirement(
            waiting.length_class,
            waiting.engine_priority,
            request.prompt_tokens,
            0,
            request.prefix_hashes,
        )
        before = self._queued_before(waiting.length_class)
        return self._expected_ttft_ms(requirement, before.without(request))

    def learn_output(self, tokens: int, max_tokens: int) -> None:
        """Learn how much of their output limit requests use."""
        if max_tokens > 0:
            change = tokens / max_tokens - self._output_ratio
            self._output_ratio += latencymodel.SAMPLE_WEIGHT * change

    def fastest_ms(self, waiting: grants.WaitingRequest) -> float:
        """Return the shortest possible time to the last token."""
        if self._placer.service.kind == 'plain':
            return self._placer.best_speeds.call_ms
        request = waiting.request
        # Targets of a group prefill one after another; cached blocks may be
        # skipped.
        cached = len(request.prefix_hashes) * records.BLOCK_TOKENS
        uncached = max(request.prompt_tokens - cached, 0)
        prefill_ms = self._placer.best_speeds.prefill_ms(uncached)
        return prefill_ms + self.decode_ms(waiting)

    def decode_ms(self, waiting: grants.WaitingRequest) -> float:
        """Return the time from the first to the last token."""
        if self._placer.service.kind == 'plain':
            return 0
        ms_per_token = self._placer.best_speeds.decode_ms_per_token
        return waiting.request.max_output_tokens * ms_per_token

    def _typical_wait_ms(self, length_class: records.LengthClass) -> int:
        tokens = TYPICAL_TOKENS[length_class]
        priority = grants.engine_priority(length_class, 0)
        requirement = occupancy.Requirement(
            length_class, priority, tokens, tokens
        )
        return int(
            self._expected_ttft_ms(
                requirement, self._queued_before(length_class)
            )
        )

    def _queued_before(self, length_class: records.LengthClass) -> Queued:
        names = QUEUES[: QUEUES.index(length_class) + 1]
        return Queued(
            sum(self._queues[name].tokens for name in names),
            sum(self._queues[name].output_tokens for name in names),
        )

    def _expected_ttft_ms(
        self, requirement: occupancy.Requirement, queued: Queued
    ) -> float:
        """Return the TTFT behind queued work, bound by prefill or slots."""
        now_ms = self._state.now_ms
        lowest_ttft_ms = float(NO_TARGET_WAIT_MS)
        speed = float(0)
        slots = 0
        targets = self._placer.usable(now_ms)
        for target in targets:
            target.drain(now_ms)
            lowest_ttft_ms = min(
                lowest_ttft_ms, target.predicted_ttft_ms(requirement)
            )
            speed += target.speeds.prefill_tokens_per_s
            slots += target.cold_start.cap
        if requirement.length_class == 'long' and targets:
            speed *= min(self._placer.long_target_limit / len(targets), 1)
        if not targets:
            return lowest_ttft_ms
        prefill_ms = queued.prompt_tokens * latencymodel.MS_PER_S / speed
        ms_per_token = (
            self._placer.best_speeds.decode_ms_per_token * self._output_ratio
        )
        slots_ms = queued.output_tokens * ms_per_token / slots
        return lowest_ttft_ms + max(prefill_ms, slots_ms)
