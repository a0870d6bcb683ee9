"""
Admission
~~~~~~~~~

The queue of a target partition: which request is granted next, and which is
denied because it cannot meet its deadline.
"""

from collections.abc import Callable, Mapping

from bergamotstream import (
    actions,
    assignments,
    demand,
    fairqueue,
    forecast,
    grants,
    lateststarts,
    policies,
    quarantine,
    records,
    state,
    targetplacement,
    targetstate,
)

# Bounds the memory of the queue and the time that is spent in it.
MAX_QUEUED = 2_000
DEFAULT_RETRY_MS = 500
MIN_RETRY_MS = 100
# A retry cannot succeed after these codes.
FINAL_CODES = frozenset(('request_quarantined', 'prompt_too_long'))
# Suspects that are tried in one pass; one may have to wait for another.
MAX_SUSPECTS_TRIED = 16
MAX_OVERTAKING_TRIED = 8
# Workspaces whose first request is tried when the next one is blocked.
MAX_HEADS_TRIED = 8
LONG_GRANT_INTERVAL_MS = 100

GrantCallback = Callable[[grants.WaitingRequest, assignments.Placement], None]


class Admission:
    """Waiting requests of one partition."""

    def __init__(
        self,
        partition: str,
        shared: state.HostState,
        service: records.ServiceConfig,
        targets_by_name: dict[str, targetstate.TargetState],
        blame_scores: quarantine.Quarantine,
    ) -> None:
        """Start with empty queues."""
        self.partition = partition
        self.waiting_by_request: dict[str, grants.WaitingRequest] = {}
        self.placer = targetplacement.Placer(
            service,
            targets_by_name,
            policies.get_policy_by_name(shared.settings.policy),
        )
        self._state = shared
        self._targets_by_name = targets_by_name
        self._quarantine = blame_scores
        self._queues = {name: fairqueue.FairQueue() for name in forecast.QUEUES}
        self.forecast = forecast.Forecast(shared, self.placer, self._queues)
        self._latest_starts = lateststarts.LatestStarts()
        self._next_long_grant_ms = shared.now_ms
        self._demand = demand.Demand(shared.now_ms)
        self._denials: list[actions.Action] = []
        self._new_requests: list[grants.WaitingRequest] = []

    def submit(self, waiting: grants.WaitingRequest) -> None:
        """Queue a request or deny it at once."""
        code = self._denial_code(waiting)
        if code:
            self.deny(waiting, code)
            return
        fingerprint = waiting.request.fingerprint
        shared = self._state.blame_by_fingerprint
        waiting.blame = self._quarantine.score(fingerprint, shared)
        waiting.suspect = waiting.blame > 0
        if len(self.waiting_by_request) >= MAX_QUEUED:
            self._deny_newest()
        self.waiting_by_request[waiting.request.request_id] = waiting
        self._queue_of(waiting).push(waiting, self._weight(waiting))
        self._new_requests.append(waiting)
        if len(self._queues['long']) == 1:
            self._next_long_grant_ms = self._state.now_ms
        self._demand.add(
            waiting.length_class,
            waiting.request.prompt_tokens,
            self._state.now_ms,
        )
        self._latest_starts.add(waiting, len(self.waiting_by_request))

    def withdraw(self, request_id: str) -> None:
        """Remove a waiting request from its queue."""
        waiting = self.waiting_by_request.pop(request_id, None)
        if waiting is not None:
            self._queue_of(waiting).remove(waiting)
            if waiting.suspect:
                self.placer.isolation.release(request_id)

    def grant_waiting(self, grant_callback: GrantCallback) -> None:
        """Grant waiting requests while there is room for them."""
        if not self.waiting_by_request:
            return
        for waiting in self._queues['suspect'].first(MAX_SUSPECTS_TRIED):
            self._try_grant(waiting, grant_callback)
        self._grant_from(self._queues['short'], grant_callback)
        self._grant_from(self._queues['medium'], grant_callback)
        self._grant_long(grant_callback)
        for waiting in self._new_requests:
            self._deny_if_late(waiting)
        self._new_requests.clear()

    def check_deadlines(self) -> None:
        """Deny requests that could not finish even if granted now."""
        for waiting in self._latest_starts.pop_late(self._state.now_ms):
            self.deny(waiting, 'deadline_unreachable')

    def _deny_if_late(self, waiting: grants.WaitingRequest) -> None:
        """Deny a request whose predicted finish is past its deadline."""
        if not waiting.queued:
            return
        wait_ms = self.forecast.ttft_ms(waiting)
        finish_ms = (
            self._state.now_ms + wait_ms + self.forecast.decode_ms(waiting)
        )
        if finish_ms > waiting.deadline_ms:
            self.deny(waiting, 'deadline_unreachable', int(wait_ms))

    def deny(
        self,
        waiting: grants.WaitingRequest,
        code: str,
        retry_ms: int = DEFAULT_RETRY_MS,
    ) -> None:
        """Deny a request with an error code."""
        request_id = waiting.request.request_id
        self.withdraw(request_id)
        retry_after_ms = max(retry_ms, MIN_RETRY_MS)
        if code in FINAL_CODES:
            retry_after_ms = 0
        self._denials.append(
            grants.denial(
                self.partition,
                waiting.accepting_host,
                request_id,
                code,
                retry_after_ms,
            )
        )

    def deny_all(self, code: str) -> None:
        """Deny all waiting requests with an error code."""
        for waiting in list(self.waiting_by_request.values()):
            self.deny(waiting, code)

    def pop_denials(self) -> list[actions.Action]:
        """Return and clear the pending denials."""
        taken = self._denials
        self._denials = []
        return taken

    def load_summary(self) -> records.PartitionLoad:
        """Return the load summary that is sent to other hosts."""
        self.placer.refresh()
        return self.forecast.load_summary(
            self.partition, len(self.waiting_by_request)
        )

    def _grant_from(
        self, queue: fairqueue.FairQueue, grant_callback: GrantCallback
    ) -> None:
        progress = True
        while progress:
            progress = self._grant_one(queue, grant_callback)

    def _grant_one(
        self, queue: fairqueue.FairQueue, grant_callback: GrantCallback
    ) -> bool:
        """Grant or deny one request; return False if all must wait."""
        waiting = queue.head()
        if waiting is None or self._try_grant(waiting, grant_callback):
            return waiting is not None
        if not self._blocked_individually(waiting):
            return False
        for other in queue.heads(MAX_HEADS_TRIED)[1:]:
            if self._try_grant(other, grant_callback):
                return True
            if not self._blocked_individually(other):
                return False
        return False

    def _blocked_individually(self, waiting: grants.WaitingRequest) -> bool:
        """Return whether later requests may fit where this one does not."""
        if waiting.excluded:
            return True
        return self.placer.over_share(waiting.request.workspace)

    def _grant_long(self, grant_callback: GrantCallback) -> None:
        """Grant long prompts; less often, because they wait for seconds."""
        now_ms = self._state.now_ms
        queue = self._queues['long']
        if not queue or now_ms < self._next_long_grant_ms:
            return
        self._next_long_grant_ms = now_ms + LONG_GRANT_INTERVAL_MS
        self.placer.update_long_target_limit(
            self._demand.others_tokens_per_s(now_ms), queue.tokens, now_ms
        )
        self._grant_from(queue, grant_callback)
        blocked = queue.head()
        if blocked is not None:
            self._overtake(queue, blocked, grant_callback)

    def _overtake(
        self,
        queue: fairqueue.FairQueue,
        blocked: grants.WaitingRequest,
        grant_callback: GrantCallback,
    ) -> None:
        """Let smaller prompts overtake one that waits for several targets.

        In total they have at most as many tokens as the prompt itself, so its
        wait stays bounded.
        """
        if len(self.placer.prompt_parts(blocked)) < 2:
            return
        for waiting in queue.first(MAX_OVERTAKING_TRIED):
            tokens = waiting.request.prompt_tokens
            overtaken_tokens = blocked.overtaken_tokens + tokens
            if overtaken_tokens > blocked.request.prompt_tokens:
                continue
            if waiting is not blocked and self._try_grant(
                waiting, grant_callback
            ):
                blocked.overtaken_tokens = overtaken_tokens

    def _try_grant(
        self, waiting: grants.WaitingRequest, grant_callback: GrantCallback
    ) -> bool:
        """Grant, deny or move a request; return False if it must wait."""
        if self._newly_blamed(waiting):
            return True
        placement = self.placer.place(waiting, self._state.now_ms)
        if placement is None:
            return False
        ttft_ms = placement.predicted_ttft_ms
        finish_ms = (
            self._state.now_ms + ttft_ms + self.forecast.decode_ms(waiting)
        )
        if finish_ms > waiting.deadline_ms:
            self.deny(waiting, 'deadline_unreachable', int(ttft_ms))
            return True
        self.waiting_by_request.pop(waiting.request.request_id)
        self._queue_of(waiting).dequeue(waiting)
        grant_callback(waiting, placement)
        return True

    def _newly_blamed(self, waiting: grants.WaitingRequest) -> bool:
        """Deny or move a request that was blamed while it waited."""
        fingerprint = waiting.request.fingerprint
        shared = self._state.blame_by_fingerprint
        score = self._quarantine.score(fingerprint, shared)
        if self._quarantine.is_quarantined(fingerprint, shared):
            self.deny(waiting, 'request_quarantined')
            return True
        waiting.blame = score
        if waiting.suspect or score <= 0:
            return False
        self.withdraw(waiting.request.request_id)
        self.submit(waiting)
        return True

    def _denial_code(self, waiting: grants.WaitingRequest) -> str:
        """Return why a request can never be granted here, or ''."""
        request = waiting.request
        if request.prompt_tokens > records.MAX_PROMPT_TOKENS:
            return 'prompt_too_long'
        if self._quarantine.is_quarantined(
            request.fingerprint, self._state.blame_by_fingerprint
        ):
            return 'request_quarantined'
        if not self.placer.any_usable(self._state.now_ms):
            return 'no_target'
        if not self.placer.prompt_parts(waiting):
            return 'no_target'
        if self._excludes_too_many(waiting):
            return 'no_target'
        fastest_ms = self.forecast.fastest_ms(waiting)
        waiting.latest_start_ms = waiting.deadline_ms - fastest_ms
        if waiting.latest_start_ms < self._state.now_ms:
            return 'deadline_unreachable'
        return ''

    def _excludes_too_many(self, waiting: grants.WaitingRequest) -> bool:
        if not waiting.excluded:
            return False
        remaining = sum(
            not target.leaving and name not in waiting.excluded
            for name, target in self._targets_by_name.items()
        )
        return remaining < len(self.placer.prompt_parts(waiting))

    def _deny_newest(self) -> None:
        """Deny the newest request of the workspace with the most queued."""
        counts: dict[str, int] = {}
        for queue in self._queues.values():
            for workspace, count in queue.count_by_workspace.items():
                counts[workspace] = counts.get(workspace, 0) + count
        largest = max(counts, key=counts.__getitem__)
        for name in reversed(forecast.QUEUES):
            newest = self._queues[name].newest_of(largest)
            if newest is not None:
                self.deny(newest, 'overloaded')
                return

    def _queue_of(self, waiting: grants.WaitingRequest) -> fairqueue.FairQueue:
        if waiting.suspect:
            return self._queues['suspect']
        return self._queues[waiting.length_class]

    def _weight(self, waiting: grants.WaitingRequest) -> float:
        bundle = self._state.bundle
        if bundle is None:
            return 1
        workspaces: Mapping[str, records.WorkspaceConfig] = (
            bundle.workspaces_by_name
        )
        config = workspaces.get(waiting.request.workspace)
        return 1 if config is None else config.weight
