"""
Fleet records
~~~~~~~~~~~~~

Records of the operators' configuration (routes, services, workspaces) and of
the entries that targets and hosts publish.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple


class RetryPolicy(enum.Enum):
    """Whether a request may be retried on a second target."""

    ANY_TIME = 'any_time'
    # Continues with the event after the last one that was delivered.
    RESUME = 'resume'
    ONLY_IF_NOT_RUN = 'only_if_not_run'


class Share(NamedTuple):
    """Weight of one service among those of a route."""

    service: str
    weight: float


class RouteMatch(NamedTuple):
    """Where a route applies; the prefix begins and ends with a slash."""

    host_name: str
    prefix: str


class Route(NamedTuple):
    """Rules for the requests to one host name and path prefix."""

    name: str
    match: RouteMatch
    streaming: bool
    retry_policy: RetryPolicy
    # The longest time that a caller waits for its complete answer.
    timeout_ms: int
    # Time to the first byte within which an answer has its full value.
    goal_ms: int
    # 0 is the most urgent.
    priority: int
    # Empty if the service could not be read; its requests are refused.
    shares: tuple[Share, ...]
    # The number of targets to which one request may be sent.
    max_targets: int
    public: bool
    # The longest gap between events of an answer that is on time.
    pause_goal_ms: int


class EngineProfile(NamedTuple):
    """Speed and size of a service's model engines."""

    slots: int
    memory_tokens: int
    # Token steps per pass while requests are in decode; an engine admits new
    # work only between passes.
    steps_in_pass: int
    step_ms: float
    step_ms_per_request: float
    step_ms_per_thousand_context: float
    prefill_tokens_per_ms: float
    # Attention over pairs of a token and an earlier one.
    prefill_ms_per_million_pairs: float
    chunk_tokens: int
    usual_prompt_tokens: int
    usual_answer_tokens: int


class Service(NamedTuple):
    """A group of targets that do the same work."""

    name: str
    # Requests per second that a target can serve after its start; 0: no limit.
    cold_requests_per_s: float
    engine: EngineProfile | None
    # Path at which its targets tell their health.
    health_path: str = '/'


class Workspace(NamedTuple):
    """A customer; priority ``None`` stands for the route's priority."""

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Size limits of a caller's request."""

    max_header_bytes: int
    max_body_bytes: int


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes_by_match: Mapping[RouteMatch, Route]
    services_by_name: Mapping[str, Service]
    # Empty when no API keys are required.
    workspaces_by_key: Mapping[str, Workspace]
    requires_key: bool
    limits: CallerLimits
    # Whether routes, or keys, of the document could not be read.
    lacks_routes: bool = False
    lacks_keys: bool = False


class TargetEntry(NamedTuple):
    """The entry that a target publishes."""

    target_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_ms: int
    # Unix time of the start; if it changes, the target has lost its state.
    started_ms: int


class TargetRun(NamedTuple):
    """One run of a target; what a run has said does not hold for the next."""

    target_id: str
    started_ms: int


class HostEntry(NamedTuple):
    """A registered entry host of the system."""

    name: str
    zone: str
    caller_address: str
    peer_address: str
    incarnation: int


def run_of(target: TargetEntry) -> TargetRun:
    """Return the present run of a target."""
    return TargetRun(target.target_id, target.started_ms)
