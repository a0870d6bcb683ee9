"""
Admission
~~~~~~~~~

The queue of a target partition: which request is granted next, and which is
denied because it cannot meet its deadline.
"""

import heapq
from collections.abc import Callable, Iterator, Mapping

from bergamotstream import (
    actions,
    fairness,
    grants,
    placing,
    policies,
    prediction,
    quarantine,
    records,
    state,
    targetstate,
)

# Bounds the memory of the queue and the time that is spent in it.
MAX_QUEUED = 2_000
RETRY_MS = 500
MIN_RETRY_MS = 100
QUEUES = ('suspect', 'short', 'medium', 'long')
# Prompts whose expected wait stands for their class in load summaries.
TYPICAL_TOKENS: dict[records.LengthClass, int] = {
    'short': 2_000,
    'medium': 16_000,
    'long': 200_000,
}
NO_TARGET_WAIT_MS = 60_000

Granter = Callable[[grants.Waiting, placing.Placement], None]


class Admission:
    """Waiting requests of one partition."""

    def __init__(
        self,
        partition: str,
        shared: state.HostState,
        service: records.ServiceConfig,
        targets_by_name: dict[str, targetstate.TargetState],
        blame: quarantine.Quarantine,
    ) -> None:
        """Start with empty queues."""
        self.partition = partition
        self.waiting_by_request: dict[str, grants.Waiting] = {}
        self.placer = placing.Placer(
            service,
            targets_by_name,
            policies.get_policy_by_name(shared.settings.policy),
        )
        self._state = shared
        self._targets_by_name = targets_by_name
        self._blame = blame
        self._queues = {name: fairness.FairQueue() for name in QUEUES}
        self._latest_starts: list[tuple[float, int, grants.Waiting]] = []
        self._arrivals = 0
        self._denials: list[actions.Action] = []
        self._fresh: list[grants.Waiting] = []

    def submit(self, waiting: grants.Waiting) -> None:
        """Queue a request or deny it at once."""
        code = self._hopeless(waiting)
        if code:
            self.deny(waiting, code)
            return
        fingerprint = waiting.request.fingerprint
        shared = self._state.blame_by_fingerprint
        waiting.suspect = self._blame.score(fingerprint, shared) > 0
        if len(self.waiting_by_request) >= MAX_QUEUED:
            self._make_room()
        self.waiting_by_request[waiting.request.request_id] = waiting
        self._queue_of(waiting).push(waiting, self._weight(waiting))
        self._fresh.append(waiting)
        self._arrivals += 1
        latest = waiting.deadline_ms - self._fastest_ms(waiting)
        heapq.heappush(self._latest_starts, (latest, self._arrivals, waiting))

    def withdraw(self, request_id: str) -> None:
        """Remove a request that its accepting host no longer wants."""
        waiting = self.waiting_by_request.pop(request_id, None)
        if waiting is not None:
            self._queue_of(waiting).remove(waiting)
            self.placer.release_reservations(request_id)

    def pump(self, granter: Granter) -> None:
        """Grant waiting requests while there is room for them."""
        if not self.waiting_by_request:
            return
        now_ms = self._state.now_ms
        self.placer.update_long_limit(self._long_share(), now_ms)
        for name in QUEUES:
            self._pump_queue(self._queues[name], granter)
        for waiting in self._fresh:
            self._deny_if_late(waiting)
        self._fresh.clear()

    def check_deadlines(self) -> None:
        """Deny requests that could not finish even if granted now."""
        now_ms = self._state.now_ms
        while self._latest_starts and self._latest_starts[0][0] <= now_ms:
            _, _, waiting = heapq.heappop(self._latest_starts)
            if waiting.queued:
                self.deny(waiting, 'deadline_unreachable')

    def _deny_if_late(self, waiting: grants.Waiting) -> None:
        """Deny a request whose predicted finish is past its deadline."""
        if not waiting.queued:
            return
        wait_ms = self.expected_ms(waiting)
        finish_ms = self._state.now_ms + wait_ms + self._decode_ms(waiting)
        if finish_ms > waiting.deadline_ms:
            self.deny(waiting, 'deadline_unreachable', int(wait_ms))

    def deny(
        self, waiting: grants.Waiting, code: str, retry_ms: int = RETRY_MS
    ) -> None:
        """Answer a request with an error code."""
        request_id = waiting.request.request_id
        self.withdraw(request_id)
        self._denials.append(
            grants.denial(
                self.partition,
                waiting.asker,
                request_id,
                code,
                max(retry_ms, MIN_RETRY_MS),
            )
        )

    def deny_all(self, code: str) -> None:
        """Answer all waiting requests with an error code."""
        for waiting in list(self.waiting_by_request.values()):
            self.deny(waiting, code)

    def take_denials(self) -> list[actions.Action]:
        """Return the answers to send and forget them."""
        taken = self._denials
        self._denials = []
        return taken

    def load(self) -> records.PartitionLoad:
        """Return the expected waits for other hosts."""
        waits: dict[records.LengthClass, int] = {
            length_class: self._typical_ms(length_class)
            for length_class in TYPICAL_TOKENS
        }
        return records.PartitionLoad(
            partition=self.partition,
            short_wait_ms=waits['short'],
            medium_wait_ms=waits['medium'],
            long_wait_ms=waits['long'],
            queued=len(self.waiting_by_request),
        )

    def expected_ms(self, waiting: grants.Waiting) -> float:
        """Return the expected time to first token of a queued request."""
        need = targetstate.Need(
            waiting.length_class,
            waiting.engine_priority,
            waiting.request.prompt_tokens,
            0,
            waiting.request.prefix_hashes,
        )
        queued = self._queued_before(waiting.length_class)
        own = waiting.request.prompt_tokens if waiting.queued else 0
        return self._expected_ms(need, max(queued - own, 0))

    def _pump_queue(self, queue: fairness.FairQueue, granter: Granter) -> None:
        now_ms = self._state.now_ms
        waiting = queue.head()
        while waiting is not None:
            if self._newly_blamed(waiting):
                waiting = queue.head()
                continue
            placement = self.placer.place(waiting, now_ms)
            if placement is None:
                return
            queue.pop()
            finish_ms = placement.predicted_ttft_ms + self._decode_ms(waiting)
            if now_ms + finish_ms > waiting.deadline_ms:
                self.deny(
                    waiting,
                    'deadline_unreachable',
                    int(placement.predicted_ttft_ms),
                )
            else:
                self.waiting_by_request.pop(waiting.request.request_id)
                granter(waiting, placement)
            waiting = queue.head()

    def _newly_blamed(self, waiting: grants.Waiting) -> bool:
        """Move a request that was blamed while it waited."""
        if waiting.suspect:
            return False
        fingerprint = waiting.request.fingerprint
        shared = self._state.blame_by_fingerprint
        if self._blame.score(fingerprint, shared) <= 0:
            return False
        self.withdraw(waiting.request.request_id)
        self.submit(waiting)
        return True

    def _hopeless(self, waiting: grants.Waiting) -> str:
        """Return why a request can never be granted here, or ''."""
        request = waiting.request
        if request.prompt_tokens > records.MAX_PROMPT_TOKENS:
            return 'prompt_too_long'
        if self._blame.is_quarantined(
            request.fingerprint, self._state.blame_by_fingerprint
        ):
            return 'request_quarantined'
        if not self.placer.usable(self._state.now_ms):
            return 'no_target'
        if not self.placer.segments(waiting):
            return 'no_target'
        if self._excludes_all(waiting):
            return 'no_target'
        if self._fastest_ms(waiting) > waiting.deadline_ms - self._state.now_ms:
            return 'deadline_unreachable'
        return ''

    def _excludes_all(self, waiting: grants.Waiting) -> bool:
        names = set(self._targets_by_name)
        return bool(waiting.excluded) and names <= waiting.excluded

    def _make_room(self) -> None:
        """Deny the newest request of the workspace that queued the most."""
        counts: dict[str, int] = {}
        for queue in self._queues.values():
            for workspace, count in queue.count_by_workspace.items():
                counts[workspace] = counts.get(workspace, 0) + count
        largest = max(counts, key=counts.__getitem__)
        for name in reversed(QUEUES):
            newest = self._queues[name].newest_of(largest)
            if newest is not None:
                self.deny(newest, 'overloaded')
                return

    def _queue_of(self, waiting: grants.Waiting) -> fairness.FairQueue:
        if waiting.suspect:
            return self._queues['suspect']
        return self._queues[waiting.length_class]

    def _weight(self, waiting: grants.Waiting) -> float:
        bundle = self._state.bundle
        if bundle is None:
            return 1
        workspaces: Mapping[str, records.WorkspaceConfig] = (
            bundle.workspaces_by_name
        )
        config = workspaces.get(waiting.request.workspace)
        return 1 if config is None else config.weight

    def _long_share(self) -> float:
        """Return the share of long prompts in the queued and given work."""
        long_tokens = float(self._queues['long'].tokens)
        all_tokens = float(sum(queue.tokens for queue in self._queues.values()))
        for target in self._targets_by_name.values():
            target.drain(self._state.now_ms)
            long_left, left = target.prefills.tokens_by_length()
            long_tokens += long_left
            all_tokens += left
        return long_tokens / all_tokens if all_tokens else 0

    def _queued_before(self, length_class: records.LengthClass) -> float:
        names = QUEUES[: QUEUES.index(length_class) + 1]
        return sum(self._queues[name].tokens for name in names)

    def _expected_ms(self, need: targetstate.Need, queued: float) -> float:
        now_ms = self._state.now_ms
        best = float(NO_TARGET_WAIT_MS)
        speed = float(0)
        for target in self.placer.usable(now_ms):
            target.drain(now_ms)
            best = min(best, target.predicted_ttft_ms(need))
            speed += target.speeds.prefill_tokens_per_s
        if need.length_class == 'long' and self._targets_by_name:
            speed *= self.placer.long_limit / len(self._targets_by_name)
        if not speed:
            return best
        return best + queued * prediction.MS_PER_S / speed

    def _typical_ms(self, length_class: records.LengthClass) -> int:
        tokens = TYPICAL_TOKENS[length_class]
        priority = grants.engine_priority(length_class, 0)
        need = targetstate.Need(length_class, priority, tokens, tokens)
        return int(self._expected_ms(need, self._queued_before(length_class)))

    def _usable_targets(self) -> Iterator[targetstate.TargetState]:
        yield from self.placer.usable(self._state.now_ms)

    def _fastest_ms(self, waiting: grants.Waiting) -> float:
        """Return the shortest possible time to the last token."""
        speeds = [target.speeds for target in self._usable_targets()]
        if not speeds:
            return 0
        if self.placer.service.kind == 'plain':
            return min(entry.call_ms for entry in speeds)
        fastest = max(speeds, key=lambda entry: entry.prefill_tokens_per_s)
        segments = self.placer.segments(waiting)
        longest = max((entry.prompt_tokens for entry in segments), default=0)
        # Cached blocks may be skipped.
        cached = len(waiting.request.prefix_hashes) * prediction.BLOCK_TOKENS
        uncached = max(longest - cached, 0)
        return fastest.prefill_ms(uncached) + self._decode_ms(waiting)

    def _decode_ms(self, waiting: grants.Waiting) -> float:
        if self.placer.service.kind == 'plain':
            return 0
        paces = [
            target.speeds.decode_ms_per_token
            for target in self._usable_targets()
        ]
        return waiting.request.max_output_tokens * min(paces, default=0)
