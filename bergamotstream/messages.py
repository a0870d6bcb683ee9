"""
Messages
~~~~~~~~

Messages between hosts of a cell. Every time span is a remaining duration in
milliseconds, because hosts do not share a clock; ``sent_ms`` is meaningful
only to the host that wrote it.
"""

from typing import Literal, NamedTuple

from bergamotstream import records

ClaimOutcome = Literal[
    'claimed',
    'recorded',
    'in_progress',
    'may_have_run',
    'conflict',
    'expired',
    'unavailable',
]


class Echo(NamedTuple):
    """Clock reading of the last heartbeat received from ``host``."""

    host: str
    sent_ms: int


class Support(NamedTuple):
    """The host that the sender supports as owner of ``partition``."""

    partition: str
    host: str


class Heartbeat(NamedTuple):
    """Liveness, ownership support and summaries, sent every 250 ms.

    ``votes_number`` is incremented whenever ``supports`` or ``released``
    changes. With ``repeats_votes`` both are omitted: they equal those of the
    last heartbeat with the same number, which the receiver has confirmed.
    """

    cell: str
    incarnation: str
    epoch: int
    sent_ms: int
    echoes: tuple[Echo, ...]
    supports: tuple[Support, ...]
    released: tuple[str, ...]
    leaving: bool
    config_version: int
    loads: tuple[records.PartitionLoad, ...]
    blames: tuple[records.Blame, ...]
    votes_number: int = 0
    repeats_votes: bool = False


class RecordNotice(NamedTuple):
    """The newest cell record known to the sender."""

    epoch: int
    members: tuple[str, ...]


class GrantRequest(NamedTuple):
    """Asks the owner of ``partition`` for a target.

    ``sent_ms`` is the clock of the requesting host. The owner returns the
    latest one as ``asked_ms``, which bounds the age of a grant for that
    host.
    """

    partition: str
    request: records.RequestSpec
    remaining_ms: int
    priority: int
    excluded_targets: tuple[str, ...] = ()
    sent_ms: int = 0


class GrantReply(NamedTuple):
    """Grants or denies; a denial carries a code and a retry delay."""

    partition: str
    request_id: str
    granted: bool
    attempt_id: str = ''
    targets: tuple[records.GrantedTarget, ...] = ()
    engine_priority: int = 0
    fence: int = 0
    code: str = ''
    retry_after_ms: int = 0
    asked_ms: int = 0


class GrantCancel(NamedTuple):
    """Withdraws a grant request that is still waiting."""

    partition: str
    request_id: str


class GrantRenew(NamedTuple):
    """Renews the leases of grants."""

    partition: str
    attempt_ids: tuple[str, ...]


class GrantExpired(NamedTuple):
    """Answers the renewal of a grant that the owner does not hold.

    With ``moved``, another host has resumed the request.
    """

    partition: str
    attempt_id: str
    moved: bool = False


class GrantProgress(NamedTuple):
    """Reports the first token of an attempt."""

    partition: str
    attempt_id: str
    ttft_ms: int


class GrantRelease(NamedTuple):
    """Ends a grant.

    ``outcome`` is ``finished``, ``not_run`` (refused by the target),
    ``unused`` (nothing was sent to the target), ``failed``, ``cancelled`` or
    ``target_lost``.
    """

    partition: str
    attempt_id: str
    outcome: str
    output_tokens: int = 0
    duration_ms: int = 0


class HoldingsQuery(NamedTuple):
    """Asks for the grants or charges of ``partition``; sent by a new owner."""

    partition: str


class HoldingsReply(NamedTuple):
    """The grants and charges that the sender holds in ``partition``."""

    partition: str
    holdings: tuple[records.Holding, ...]
    charges: tuple['ChargeRequest', ...]


class ChargeRequest(NamedTuple):
    """Charges a request to the limits of its workspace."""

    partition: str
    request_id: str
    workspace: str
    tokens: int


class ChargeReply(NamedTuple):
    """Accepts or denies a charge."""

    partition: str
    request_id: str
    granted: bool
    code: str = ''
    retry_after_ms: int = 0
    # Of the owner; 0 without a bundle, and from older builds.
    bundle_version: int = 0


class ChargeRelease(NamedTuple):
    """Ends a charge; ``tokens`` is what was used."""

    partition: str
    request_id: str
    workspace: str
    tokens: int


class ClaimRequest(NamedTuple):
    """Claims an idempotency key before the only dispatch."""

    partition: str
    claim_id: str
    workspace: str
    key: str
    key_age_ms: int
    body_digest: int


class ClaimReply(NamedTuple):
    """Outcome of a claim; ``recorded`` is the stored answer, if any."""

    partition: str
    claim_id: str
    outcome: ClaimOutcome
    recorded: bytes = b''
    retry_after_ms: int = 0


class OutcomeReport(NamedTuple):
    """Records how a claimed request ended: ``ran`` or ``abandoned``."""

    partition: str
    claim_id: str
    workspace: str
    key: str
    state: str
    answer: bytes = b''


class OutcomeAck(NamedTuple):
    """Confirms that an outcome is stored."""

    partition: str
    claim_id: str


class BundleRequest(NamedTuple):
    """Asks a peer for its bundle when it is newer than ``version``."""

    version: int


class BundleReply(NamedTuple):
    """The sender's bundle as JSON bytes."""

    version: int
    content: bytes


class FindRequest(NamedTuple):
    """Asks the owner of a partition for the grant of a running request."""

    partition: str
    request_id: str


class FindReply(NamedTuple):
    """Transfers a running grant to the requesting host."""

    partition: str
    request_id: str
    found: bool
    attempt_id: str = ''
    targets: tuple[records.GrantedTarget, ...] = ()
    remaining_ms: int = 0


Message = (
    Heartbeat
    | RecordNotice
    | GrantRequest
    | GrantReply
    | GrantCancel
    | GrantRenew
    | GrantExpired
    | GrantProgress
    | GrantRelease
    | HoldingsQuery
    | HoldingsReply
    | ChargeRequest
    | ChargeReply
    | ChargeRelease
    | ClaimRequest
    | ClaimReply
    | OutcomeReport
    | OutcomeAck
    | BundleRequest
    | BundleReply
    | FindRequest
    | FindReply
)
