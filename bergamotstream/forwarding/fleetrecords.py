"""
Fleet records
~~~~~~~~~~~~~

What the operators and the targets state: routes, services, workspaces and
the entries of targets.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class RetryPolicy(enum.Enum):
    """Whether a request may be sent to a second target."""

    ANY_TIME = 'any_time'
    # From the event after the last one that was delivered.
    RESUME = 'resume'
    ONLY_IF_NOT_RUN = 'only_if_not_run'


class Share(NamedTuple):
    """Part of a route's requests that goes to one service."""

    service: str
    weight: int


class RouteMatch(NamedTuple):
    """Where a route applies; the prefix begins and ends with a slash."""

    host_name: str
    prefix: str


class Route(NamedTuple):
    """Rules of the requests of one host name and path prefix."""

    name: str
    match: RouteMatch
    streaming: bool
    retry_policy: RetryPolicy
    # The longest time for which a caller is kept waiting.
    timeout_ms: int
    # Time to the first byte within which an answer has its full value.
    goal_ms: int
    # 0 is the most urgent.
    priority: int
    shares: tuple[Share, ...]
    # The number of targets to which one request may be sent.
    max_targets: int
    public: bool
    # The longest pause between events of an answer that is on time.
    pause_goal_ms: int


class EngineProfile(NamedTuple):
    """Speed and size of a service's model engines."""

    slots: int
    memory_tokens: int
    # Token steps that an engine takes before it looks at new work, while
    # requests are being written.
    steps_in_pass: int
    step_ms: float
    step_ms_per_request: float
    step_ms_per_thousand_context: float
    prefill_tokens_per_ms: float
    # For pairs of a token and an earlier one.
    prefill_ms_per_million_pairs: float
    chunk_tokens: int
    usual_prompt_tokens: int
    usual_answer_tokens: int


class Service(NamedTuple):
    """A group of targets that do the same work."""

    name: str
    # Requests a second that a target bears after its start; 0: no limit.
    cold_requests_per_s: float
    engine: EngineProfile | None


class Workspace(NamedTuple):
    """A customer with a priority; ``None`` leaves that to the route."""

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """What a caller may send."""

    max_header_bytes: int
    max_body_bytes: int


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes_by_match: Mapping[RouteMatch, Route]
    services_by_name: Mapping[str, Service]
    # Empty when no keys are asked for.
    workspaces_by_key: Mapping[str, Workspace]
    requires_key: bool
    limits: CallerLimits


class TargetEntry(NamedTuple):
    """What a target states of itself."""

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_ms: int
    # Unix time of the start; a changed one means that nothing was kept.
    started_ms: int


class HostEntry(NamedTuple):
    """A registered entry host of the system."""

    name: str
    zone: str
    caller_address: str
    peer_address: str
    incarnation: int
