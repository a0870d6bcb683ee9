"""
Session state
~~~~~~~~~~~~~

State of one open request at the accepting host.
"""

from typing import Literal, NamedTuple

from bergamotstream import records

ChargeState = Literal['none', 'asked', 'granted', 'local']
ClaimState = Literal['none', 'asked', 'claimed', 'closed']
Stage = Literal['finding', 'asking', 'claiming', 'running']


class Attempt(NamedTuple):
    """A granted attempt."""

    attempt_id: str
    partition: str
    targets: tuple[records.GrantedTarget, ...]
    engine_priority: int
    asked_ms: int = 0
    dispatched_ms: int = 0
    started: bool = False
    first_token_ms: int = 0
    stalled_resumes: int = 0


class Claim(NamedTuple):
    """The claim of a request that must run at most once."""

    claim_id: str
    partition: str
    sent_ms: int
    state: ClaimState


class PendingGrantRequest(NamedTuple):
    """A grant request that has not been answered."""

    partition: str
    owner: str
    last_sent_ms: int
    retry_interval_ms: int


class Session:
    """One open request at the accepting host."""

    def __init__(
        self,
        request: records.RequestSpec,
        workspace: records.WorkspaceConfig,
        service: records.ServiceConfig,
        received_ms: int,
        deadline_ms: int,
    ) -> None:
        """``deadline_ms`` is the time remaining at ``received_ms``."""
        self.request = request
        self.workspace = workspace
        self.service = service
        self.received_ms = received_ms
        self.deadline_at_ms = received_ms + deadline_ms
        self.stage: Stage = 'asking'
        self.offset = 0
        self.attempt: Attempt | None = None
        self.grant_request: PendingGrantRequest | None = None
        self.claim: Claim | None = None
        self.charge_state: ChargeState = 'none'
        self.charge_partition = ''
        self.charge_requested_ms = 0
        self.excluded_targets: tuple[str, ...] = ()
        self.denials_by_partition: dict[str, tuple[str, int]] = {}
        self.pending_finds: set[str] = set()
        self.may_have_run = False
        self._may_have_run_before = False
        self.last_target = ''
        self.caller_gone_ms = 0
        self.grant_retry_at_ms = 0
        self.ownerless_since_ms = 0

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return not self.request.idempotency_key

    def worst_run_state(self, run_state: records.RunState) -> records.RunState:
        """Return the run state that an error may report."""
        return 'may_have_run' if self.may_have_run else run_state

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time remaining until the deadline."""
        return self.deadline_at_ms - now_ms

    def charged_tokens(self) -> int:
        """Return the tokens charged to the workspace."""
        return self.request.prompt_tokens + self.request.max_output_tokens

    @property
    def resumable(self) -> bool:
        """Return whether a running attempt can be attached to again."""
        return self.repeatable and self.service.kind == 'model'

    def record_dispatch(self, target: str) -> None:
        """Record that ``target`` may run the request from now on.

        The target's confirmation may be handled after the message that ends
        the request, for example when the host was paused in between.
        """
        self.stage = 'running'
        self.last_target = target
        self._may_have_run_before = self.may_have_run
        self.may_have_run = True

    def record_refusal(self) -> None:
        """Record that the last dispatch certainly did not run."""
        self.may_have_run = self._may_have_run_before

    @property
    def can_attach_elsewhere(self) -> bool:
        """Return whether this host may attach to an attempt elsewhere.

        It may only before it has dispatched the request itself, since a host
        that was paused must not reclaim a request that has moved.
        """
        return self.resumable and not self.may_have_run

    def reset_grant_request(self) -> None:
        """Return to the stage that requests a grant."""
        self.grant_request = None
        self.stage = 'asking'
        self.denials_by_partition.clear()
