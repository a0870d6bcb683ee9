"""
Request checks
~~~~~~~~~~~~~~

Checks whether a request can be admitted, before anything is reserved.
"""

from bergamotstream import components, records, requestlog, state

RETRYABLE_CODES = frozenset(
    ('overloaded', 'configuration_unknown', 'in_progress')
)


def refusal_code(
    shared: state.HostState, request: records.RequestSpec, deadline_ms: int
) -> str:
    """Return the code of the first failed check, or '' to admit."""
    bundle = shared.bundle
    limits = shared.settings.limits
    if bundle is None:
        return 'configuration_unknown'
    if deadline_ms <= 0:
        return 'deadline_passed'
    if request.workspace not in bundle.workspaces_by_name:
        return 'unknown_workspace'
    if request.service not in bundle.services_by_name:
        return 'unknown_service'
    if request.prompt_tokens > records.MAX_PROMPT_TOKENS:
        return 'prompt_too_long'
    if _highest_blame(shared, request) >= limits.quarantine_after:
        return 'request_quarantined'
    return 'overloaded' if _is_full(shared) else ''


def refuse(
    shared: state.HostState,
    request: records.RequestSpec,
    code: str,
    *,
    resumed: bool = False,
) -> components.Actions:
    """Refuse a request that was not opened here.

    A ``resumed`` request may have run at its previous host.
    """
    retry_after_ms = 0
    if code in RETRYABLE_CODES:
        retry_after_ms = shared.settings.timing.takeover_ms
    # Refusing a duplicate leaves open whether the open request has run.
    run_state: records.RunState = 'not_run'
    if resumed or code == 'in_progress':
        run_state = 'may_have_run'
    return requestlog.refused(request, code, run_state, retry_after_ms)


def _highest_blame(
    shared: state.HostState, request: records.RequestSpec
) -> float:
    """Return the highest blame that this host or a peer has recorded."""
    return max(
        shared.blame_by_fingerprint.get(request.fingerprint, 0),
        shared.own_blame_by_fingerprint.get(request.fingerprint, 0),
    )


def _is_full(shared: state.HostState) -> bool:
    return shared.open_requests >= shared.settings.limits.open_requests
