"""
Exchange records
~~~~~~~~~~~~~~~~

A caller's request as it was received, and the records derived from it.
"""

from typing import NamedTuple

import xxhash

from bergamotstream.forwarding import fleetrecords, placement


class CallerRequest(NamedTuple):
    """One request; ``target`` is the path and query exactly as received."""

    attempt_id: str
    method: str
    target: str
    host_name: str
    keys: tuple[str, ...]
    # ``None`` when the caller states no deadline.
    deadline_ms: int | None
    prompt_tokens: int
    # Ids of the prompt's parts in order; the last belongs to this request.
    prompt_parts: tuple[str, ...]
    # Upper limit of the answer's length.
    max_answer_tokens: int
    # The caller's estimate of the answer's length; 0 without one.
    length_hint: int
    last_event_id: str
    # The forwarded headers, in the order received.
    headers: tuple[tuple[str, str], ...]

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


class Decision(NamedTuple):
    """What a configuration says of a request.

    A peer serves a request of another host only if its own configuration says
    the same.
    """

    service: str
    # Empty where no key is required.
    workspace: str
    streaming: bool
    retry_policy: fleetrecords.RetryPolicy
    # The number of targets to which the request may be sent.
    max_targets: int


class Job(NamedTuple):
    """An admitted request."""

    request: CallerRequest
    route: fleetrecords.Route
    service: fleetrecords.Service
    workspace: fleetrecords.Workspace | None
    priority: int
    fingerprint: int
    # Fingerprints of the prompt's parts that other requests may share.
    parts: tuple[int, ...]
    # A blamed part that this request is sent with to find out whether it still
    # crashes targets; 0 for other requests.
    trial_part: int
    # ``None`` for a plain service.
    generation: placement.Generation | None
    arrived_ms: int
    # Deadline for sending the final answer.
    end_ms: int

    @property
    def workspace_hash(self) -> int:
        """Return the hash of the workspace's name; 0 without one."""
        if self.workspace is None:
            return 0
        return xxhash.xxh32_intdigest(self.workspace.name.encode())

    @property
    def cost(self) -> int:
        """Return its tokens in an engine's memory; 1 for a plain service."""
        if self.generation is None:
            return 1
        tokens = self.generation.prompt_tokens + self.generation.answer_tokens
        return max(tokens, 1)

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Return all fingerprints that crashes are counted under."""
        return self.fingerprint, *self.parts

    @property
    def decision(self) -> Decision:
        """Return what this host's configuration says of the request."""
        return Decision(
            self.service.name,
            '' if self.workspace is None else self.workspace.name,
            self.route.streaming,
            self.route.retry_policy,
            self.route.max_targets,
        )


class Reservation(NamedTuple):
    """Memory on a helper for a part of a long prompt."""

    target: fleetrecords.TargetEntry
    ticket: str
    tokens: int


class Assignment(NamedTuple):
    """Where one attempt of a job is sent."""

    target: fleetrecords.TargetEntry
    helpers: tuple[fleetrecords.TargetEntry, ...]
    reservations: tuple[Reservation, ...]
    # Forecast time to the first byte of the answer.
    forecast_ms: float
    # Prefill time of each part on a target as fast as its profile.
    prefill_ms: float
    # Expected loss of value of this placement.
    cost: float
    placed_ms: int
    commitment_ids: tuple[int, ...]
