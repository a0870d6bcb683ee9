"""
Records
~~~~~~~

Data types shared by the components of the core. All durations are milliseconds
and all sizes of prompts and memory are tokens.
"""

from collections.abc import Mapping
from typing import Literal, NamedTuple

RunState = Literal['not_run', 'may_have_run', 'ran']
ServiceKind = Literal['model', 'plain']
LengthClass = Literal['short', 'medium', 'long']

SHORT_PROMPT_TOKENS = 4_000
MEDIUM_PROMPT_TOKENS = 32_000
MAX_PROMPT_TOKENS = 1_000_000
# Tokens covered by one prefix hash; all hosts must use the same value.
BLOCK_TOKENS = 512
# The cell of hosts and targets that the host list gives without a cell.
DEFAULT_CELL = 'cell-1'


class HostInfo(NamedTuple):
    """An entry host as given in the host list."""

    name: str
    availability_zone: str
    caller_address: str
    peer_address: str
    leaving: bool = False
    cell: str = DEFAULT_CELL


class TargetInfo(NamedTuple):
    """A target as given in the host list."""

    name: str
    service: str
    availability_zone: str
    address: str
    leaving: bool = False
    cell: str = DEFAULT_CELL


class CellRecord(NamedTuple):
    """The agreed members of the cell."""

    epoch: int
    members: tuple[str, ...]


class WorkspaceConfig(NamedTuple):
    """Priority and limits of one workspace; lower priority runs first."""

    name: str
    priority: int
    weight: float
    max_concurrent: int
    tokens_per_s: int


class ServiceConfig(NamedTuple):
    """Configuration of the targets of a service."""

    name: str
    kind: ServiceKind
    memory_tokens: int = 400_000
    slots: int = 32
    partitions_per_zone: int = 1
    cold_limit: int = 1
    warm_after: int = 8
    checks_fencing: bool = True
    prefill_tokens_per_s: int = 20_000
    decode_ms_per_token: float = 20.0
    call_ms: int = 50


class Bundle(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    workspaces_by_name: Mapping[str, WorkspaceConfig]
    services_by_name: Mapping[str, ServiceConfig]
    zones_out: frozenset[str] = frozenset()
    targets_leaving: frozenset[str] = frozenset()


class RequestSpec(NamedTuple):
    """A caller's request without its text.

    ``prefix_hashes`` holds one hash for each full block of the prompt, each
    covering the prompt from its start. ``idempotency_key`` is empty when the
    request may be repeated; otherwise it must run at most once.
    """

    request_id: str
    workspace: str
    service: str
    prompt_tokens: int
    max_output_tokens: int
    fingerprint: int
    body_digest: int
    prefix_hashes: tuple[int, ...] = ()
    idempotency_key: str = ''
    key_age_ms: int = 0


class GrantedTarget(NamedTuple):
    """A target of a grant and the prompt tokens that it holds."""

    name: str
    address: str
    tokens: int


class Holding(NamedTuple):
    """A grant held by the accepting host, sent so that a new owner adopts it."""

    attempt_id: str
    request: RequestSpec
    targets: tuple[GrantedTarget, ...]
    remaining_ms: int
    first_token_seen: bool


class PartitionLoad(NamedTuple):
    """Expected wait before the first token by length class."""

    partition: str
    short_wait_ms: int
    medium_wait_ms: int
    long_wait_ms: int
    queued: int


class Blame(NamedTuple):
    """Share of target crashes attributed to a request fingerprint."""

    fingerprint: int
    score: float


class LoadReport(NamedTuple):
    """Load reported by a target; ``age_ms`` is the age of the report."""

    target: str
    start_id: str
    running: tuple[str, ...]
    memory_tokens_used: int
    age_ms: int
    cold: bool = False
    leaving: bool = False


class KvItem(NamedTuple):
    """A key with its value and modification revision."""

    key: str
    value: bytes
    revision: int


def length_class(prompt_tokens: int) -> LengthClass:
    """Return the length class of a prompt of ``prompt_tokens`` tokens."""
    if prompt_tokens <= SHORT_PROMPT_TOKENS:
        return 'short'
    if prompt_tokens <= MEDIUM_PROMPT_TOKENS:
        return 'medium'
    return 'long'
