"""
Errors
~~~~~~

Typed errors with a stable code, the run state of the request, an HTTP status
and a message that names the remedy. Error kinds register themselves by code.
"""

from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, Final

from bergamotstream import records

# Statuses by which callers learn that a request has not run and never will, so
# that they send it again: a timeout of the request, a misdirected one, a rate
# limit and an overload (RFC 9110, RFC 6585; on the platform PROTOCOL.md).
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Says nothing of whether a request has run.
BAD_GATEWAY: Final = 502

_kinds_by_code: dict[str, type['ServiceError']] = {}


class ServiceError(Exception):
    """Base class of all errors with a code."""

    code: ClassVar[str] = 'internal_error'
    status: ClassVar[int] = 500
    remedy: ClassVar[str] = 'report the request id to the operators'

    def __init__(
        self,
        detail: str = '',
        *,
        run_state: records.RunState = 'not_run',
        retry_after_ms: int = 0,
        changed: Sequence[Mapping[str, Any]] = (),
    ) -> None:
        """Store the detail and the retry delay in milliseconds.

        ``changed`` lists the conflicting changes of a version conflict.
        """
        super().__init__(f'{detail or self.code}; {self.remedy}')
        self.detail = detail
        self.run_state = run_state
        self.retry_after_ms = retry_after_ms
        self.changed = changed

    @property
    def http_status(self) -> int:
        """Return the status of the response that reports this error."""
        return get_http_status(type(self), self.run_state)


def get_http_status(
    kind: type[ServiceError], run_state: records.RunState
) -> int:
    """Return the status of an error kind.

    It is 502 where the own one would promise "not run" with another run state.
    """
    if run_state != 'not_run' and kind.status in NOT_RUN_STATUSES:
        return BAD_GATEWAY
    return kind.status


def register(kind: type[ServiceError]) -> type[ServiceError]:
    """Register an error kind under its code."""
    _kinds_by_code[kind.code] = kind
    return kind


def get_error_by_code(code: str) -> type[ServiceError]:
    """Return the error kind of a code, or the base class if unknown."""
    return _kinds_by_code.get(code, ServiceError)


def all_error_codes() -> tuple[str, ...]:
    """Return the registered codes in alphabetical order."""
    return tuple(sorted(_kinds_by_code))


def _declare(code: str, status: int, remedy: str) -> type[ServiceError]:
    name = ''.join(part.title() for part in code.split('_'))
    body = {'code': code, 'status': status, 'remedy': remedy}
    return register(type(name, (ServiceError,), body))


InvalidRequest = _declare(
    'invalid_request', 400, 'correct the named field and send it again'
)
InvalidSettings = _declare(
    'invalid_settings', 400, 'correct the named keys in the settings file'
)
InvalidBundle = _declare(
    'invalid_bundle', 400, 'correct the named entries of the bundle'
)
UnknownWorkspace = _declare(
    'unknown_workspace', 404, 'ask the operators to create the workspace'
)
UnknownRoute = _declare(
    'unknown_route',
    404,
    'use a host name and path that the operators configured',
)
UnknownKey = _declare(
    'unknown_key', 401, 'send one valid key, or ask the operators for one'
)
UnknownService = _declare(
    'unknown_service', 404, 'use a service that the operators configured'
)
PromptTooLong = _declare(
    'prompt_too_long', 413, 'send at most 1000000 prompt tokens'
)
HeadersTooLarge = _declare(
    'headers_too_large', 431, 'send shorter headers, below the stated limit'
)
BodyTooLarge = _declare('body_too_large', 413, 'send a body of at most 8 MB')
BodyTimeout = _declare(
    'body_timeout', 408, 'send the body within the time of the request'
)
DeadlinePassed = _declare(
    'deadline_passed', 504, 'allow more time and send it as a new request'
)
DeadlineUnreachable = _declare(
    'deadline_unreachable', 503, 'retry later or allow more time'
)
LimitReached = _declare(
    'limit_reached', 429, 'retry later or ask for a higher limit'
)
Overloaded = _declare('overloaded', 503, 'retry later')
NoTarget = _declare('no_target', 503, 'retry later')
NoOwner = _declare('no_owner', 503, 'retry later')
HostLeaving = _declare(
    'host_leaving', 503, 'ask for an address again and use that host'
)
ConfigurationUnknown = _declare(
    'configuration_unknown', 503, 'use another host or retry later'
)
ConfigurationOutdated = _declare(
    'configuration_outdated', 503, 'ask for an address again and use that host'
)
ClaimsUnavailable = _declare(
    'claims_unavailable', 503, 'retry later with the same key'
)
KeyConflict = _declare(
    'key_conflict', 409, 'use a new idempotency key for another body'
)
KeyExpired = _declare(
    'key_expired', 409, 'check the outcome before using a new key'
)
InProgress = _declare('in_progress', 409, 'retry later with the same key')
OutcomeUnknown = _declare(
    'outcome_unknown', 502, 'check the outcome before using a new key'
)
TargetFailed = _declare(
    'target_failed', 502, 'send it again if it may be repeated'
)
RequestQuarantined = _declare(
    'request_quarantined', 422, 'do not send this request again'
)
RequestBlamed = _declare(
    'request_blamed', 503, 'do not send this request again'
)
CallerGone = _declare(
    'caller_gone', 499, 'resume by request id or send a new request'
)
RetriesExhausted = _declare('retries_exhausted', 503, 'retry later')
VersionConflict = _declare(
    'version_conflict', 409, 'review what changed and submit again'
)
SignOffMissing = _declare(
    'sign_off_missing', 409, 'have another operator sign off the draft'
)
KvUnavailable = _declare(
    'kv_unavailable', 503, 'repeat when the key-value service answers'
)
UnknownCommand = _declare(
    'unknown_command', 404, 'use a command that bergamotctl --help lists'
)
ProtocolMismatch = _declare(
    'protocol_mismatch', 400, 'run the same protocol version on all hosts'
)
InvalidMessage = _declare(
    'invalid_message', 400, 'check the peer that sent the message'
)
