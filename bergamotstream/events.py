"""
Events
~~~~~~

The events that the core handles. The host process passes each one to
``HostCore.handle`` with the monotonic time in milliseconds.
"""

from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

from bergamotstream import messages, records

FailureKind = Literal['refused', 'lost', 'silent', 'rejected', 'target_died']
KvStatus = Literal['ok', 'conflict', 'unknown', 'unavailable']


class Tick(NamedTuple):
    """Time has passed; sent every 25 ms."""


class HostListRead(NamedTuple):
    """The platform's host list was read."""

    hosts: tuple[records.HostInfo, ...]
    targets: tuple[records.TargetInfo, ...]


class RequestReceived(NamedTuple):
    """A caller sent a request."""

    request: records.RequestSpec
    deadline_ms: int


class ResumeReceived(NamedTuple):
    """A caller resumes a request by id after ``offset`` tokens."""

    request: records.RequestSpec
    deadline_ms: int
    offset: int


class CallerGone(NamedTuple):
    """The caller closed its connection or stopped reading."""

    request_id: str


class AddressAsked(NamedTuple):
    """A caller asks which hosts to use."""

    query_id: str
    workspace: str


class MessageReceived(NamedTuple):
    """A peer sent a message."""

    sender: str
    message: messages.Message


class AttemptStarted(NamedTuple):
    """The target accepted the attempt."""

    attempt_id: str


class FirstToken(NamedTuple):
    """The first token of an attempt arrived."""

    attempt_id: str


class AttemptFinished(NamedTuple):
    """The target completed the attempt.

    ``answer`` is set only for plain services.
    """

    attempt_id: str
    output_tokens: int
    answer: bytes = b''


class AttemptFailed(NamedTuple):
    """An attempt ended early after ``offset`` tokens.

    ``refused``: nothing was sent, or the target said that it did not run it.
    ``lost``: the connection broke. ``silent``: no byte within the timeout.
    ``rejected``: the target ran it and reported an error.
    ``target_died``: the connection broke and new ones are refused.
    """

    attempt_id: str
    kind: FailureKind
    offset: int


class LoadReported(NamedTuple):
    """A watched target reported its load."""

    report: records.LoadReport


class PrefixesReported(NamedTuple):
    """A watched target published cache events, possibly with gaps."""

    target: str
    sequence: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


class KvAnswered(NamedTuple):
    """Answer to a key-value operation.

    ``unknown`` means that the operation may or may not have taken effect.
    On ``conflict``, ``items`` holds the current item if it is known.
    """

    operation_id: str
    status: KvStatus
    items: tuple[records.KvItem, ...] = ()


class OrderAnswered(NamedTuple):
    """Answer of a target to an order; ``status`` is ``done`` or a code."""

    order_id: str
    status: str
    state: Mapping[str, Any]


class AdminAsked(NamedTuple):
    """An operator's command."""

    query_id: str
    command: str
    arguments: Mapping[str, Any]


class StopRequested(NamedTuple):
    """The process was asked to stop gracefully."""


class PartitionAcquired(NamedTuple):
    """This host became the owner of a partition (raised by the core)."""

    partition: str


class PartitionLost(NamedTuple):
    """This host no longer owns a partition (raised by the core)."""

    partition: str


class BundleChanged(NamedTuple):
    """A newer bundle is in force on this host (raised by the core)."""

    version: int


Event = (
    Tick
    | HostListRead
    | RequestReceived
    | ResumeReceived
    | CallerGone
    | AddressAsked
    | MessageReceived
    | AttemptStarted
    | FirstToken
    | AttemptFinished
    | AttemptFailed
    | LoadReported
    | PrefixesReported
    | KvAnswered
    | OrderAnswered
    | AdminAsked
    | StopRequested
    | PartitionAcquired
    | PartitionLost
    | BundleChanged
)
