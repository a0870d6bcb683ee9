"""
Actions
~~~~~~~

The actions that the core returns for the host process to perform. A result, if
there is one, arrives as an event with the same identifier.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bergamotstream import events, messages, records


class SendMessage(NamedTuple):
    """Send a message to a peer; the core delivers its own to itself."""

    host: str
    message: messages.Message


class Raise(NamedTuple):
    """Pass an internal event to the components of the same core."""

    event: events.Event


class Dispatch(NamedTuple):
    """Run an attempt on its targets and relay the answer to the caller.

    ``offset`` tokens have already been relayed to the caller. ``resume``
    attaches to an attempt that is already running on the target.
    """

    attempt_id: str
    request_id: str
    targets: tuple[records.GrantedTarget, ...]
    engine_priority: int
    remaining_ms: int
    offset: int = 0
    resume: bool = False


class CancelAttempt(NamedTuple):
    """Cancel an attempt at a target and drop its stream."""

    target: str
    attempt_id: str


class DropStream(NamedTuple):
    """Stop reading an attempt without cancelling it at its targets."""

    attempt_id: str


class FinishRequest(NamedTuple):
    """End the caller's answer successfully.

    ``answer`` is set when the answer comes from a recorded outcome.
    """

    request_id: str
    answer: bytes = b''


class RefuseRequest(NamedTuple):
    """End the caller's request with a typed error."""

    request_id: str
    code: str
    run_state: records.RunState
    retry_after_ms: int = 0
    detail: str = ''


class RestartAnswer(NamedTuple):
    """Make the caller discard the tokens that it has already received."""

    request_id: str


class AnswerAddress(NamedTuple):
    """Answer an address query; the caller may cache it for ``keep_ms``."""

    query_id: str
    hosts: tuple[records.HostInfo, ...]
    keep_ms: int


class AnswerAdmin(NamedTuple):
    """Answer an operator's command; ``code`` is empty on success."""

    query_id: str
    code: str
    body: Mapping[str, Any]


class WatchTarget(NamedTuple):
    """Start to poll load and cache events of a target."""

    target: records.TargetInfo


class UnwatchTarget(NamedTuple):
    """Stop polling a target."""

    target: str


class SendOrder(NamedTuple):
    """Send an order (load, adapter, version, role) to a target."""

    order_id: str
    target: str
    address: str
    fence: int
    order: Mapping[str, Any]


class KvRead(NamedTuple):
    """Read one key, or all keys with a prefix.

    ``after_key`` and ``limit`` read the keys with a prefix in pages, in the
    order of keys.
    """

    operation_id: str
    key: str
    prefix: bool = False
    after_key: str = ''
    limit: int = 0


class KvWrite(NamedTuple):
    """Write if the key's revision is ``expected_revision`` (0: absent)."""

    operation_id: str
    key: str
    value: bytes
    expected_revision: int


class KvDelete(NamedTuple):
    """Delete a key, or all keys from ``key`` up to and without ``end_key``."""

    operation_id: str
    key: str
    end_key: str = ''


class KvWatch(NamedTuple):
    """Wait until the key's revision exceeds ``after_revision``."""

    operation_id: str
    key: str
    after_revision: int


class LogEvent(NamedTuple):
    """Write one log line of key=value pairs."""

    event: str
    fields: Mapping[str, Any]


class Count(NamedTuple):
    """Add to a counter."""

    metric: str
    label: str = ''
    amount: int = 1


class Observe(NamedTuple):
    """Record a duration in milliseconds in a histogram."""

    metric: str
    label: str
    duration_ms: int


class StopProcess(NamedTuple):
    """The graceful shutdown is complete; the process may exit."""


Action = (
    SendMessage
    | Raise
    | Dispatch
    | CancelAttempt
    | DropStream
    | FinishRequest
    | RefuseRequest
    | RestartAnswer
    | AnswerAddress
    | AnswerAdmin
    | WatchTarget
    | UnwatchTarget
    | SendOrder
    | KvRead
    | KvWrite
    | KvDelete
    | KvWatch
    | LogEvent
    | Count
    | Observe
    | StopProcess
)
