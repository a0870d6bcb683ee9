"""
Grants
~~~~~~

Records of waiting requests and grants at a partition's owner, and the replies
that are sent about them.
"""

from bergamotstream import actions, messages, records

RANK_BY_LENGTH_CLASS: dict[records.LengthClass, int] = {
    'short': 0,
    'medium': 1,
    'long': 2,
}
# Each length class has a band of engine priorities for workspace priorities.
PRIORITIES_PER_CLASS = 100
FIRST_LONG_PRIORITY = 200


class WaitingRequest:
    """A request that waits for a target."""

    def __init__(
        self, message: messages.GrantRequest, accepting_host: str, now_ms: int
    ) -> None:
        """Record what ``accepting_host`` requested at ``now_ms``."""
        self.request = message.request
        self.accepting_host = accepting_host
        # Send time on the accepting host's clock, which precedes the grant.
        self.asked_ms = message.sent_ms
        self.priority = message.priority
        self.excluded = frozenset(message.excluded_targets)
        self.deadline_ms = now_ms + message.remaining_ms
        self.latest_start_ms = float(self.deadline_ms)
        self.length_class = records.length_class(message.request.prompt_tokens)
        self.queued = False
        self.overtaken_tokens = 0
        self.suspect = False
        self.blame = float(0)

    @property
    def cost_tokens(self) -> int:
        """Return the cost of the request in the fair queue."""
        request = self.request
        return max(request.prompt_tokens + request.max_output_tokens, 1)

    @property
    def engine_priority(self) -> int:
        """Return the priority at the engine; a lower number runs first."""
        return engine_priority(self.length_class, self.priority)


class Grant:
    """Permission to run one attempt, held by an accepting host."""

    def __init__(
        self,
        attempt_id: str,
        waiting: WaitingRequest,
        targets: tuple[records.GrantedTarget, ...],
        now_ms: int,
    ) -> None:
        """Grant ``targets`` at ``now_ms``."""
        self.attempt_id = attempt_id
        self.holder = waiting.accepting_host
        self.asked_ms = waiting.asked_ms
        self.request = waiting.request
        self.length_class = waiting.length_class
        self.engine_priority = waiting.engine_priority
        self.deadline_ms = waiting.deadline_ms
        self.suspect = waiting.suspect
        self.targets = targets
        self.granted_ms = now_ms
        self.expires_ms = now_ms
        self.predicted_ttft_ms = float(0)
        self.ttft_ms: int | None = None


def engine_priority(
    length_class: records.LengthClass, workspace_priority: int
) -> int:
    """Return the engine's priority: by length, then by workspace."""
    within = min(max(workspace_priority, 0), PRIORITIES_PER_CLASS - 1)
    return RANK_BY_LENGTH_CLASS[length_class] * PRIORITIES_PER_CLASS + within


def grant_reply(partition: str, grant: Grant) -> actions.SendMessage:
    """Return the message that sends a grant to its holder."""
    return actions.SendMessage(
        grant.holder,
        messages.GrantReply(
            partition=partition,
            request_id=grant.request.request_id,
            granted=True,
            attempt_id=grant.attempt_id,
            targets=grant.targets,
            engine_priority=grant.engine_priority,
            asked_ms=grant.asked_ms,
        ),
    )


def denial(
    partition: str,
    accepting_host: str,
    request_id: str,
    code: str,
    retry_after_ms: int = 0,
) -> actions.SendMessage:
    """Return the message that denies a request with an error code."""
    return actions.SendMessage(
        accepting_host,
        messages.GrantReply(
            partition=partition,
            request_id=request_id,
            granted=False,
            code=code,
            retry_after_ms=retry_after_ms,
        ),
    )
