"""
Request log
~~~~~~~~~~~

Log lines for the steps of one request. Each has the request id; none contains
text of a prompt or an answer.
"""

from bergamotstream import actions, records, sessionstate


def received(session: sessionstate.Session) -> actions.LogEvent:
    """Return the line of an admitted request."""
    request = session.request
    return actions.LogEvent(
        'request_received',
        {
            'request': request.request_id,
            'workspace': request.workspace,
            'service': request.service,
            'prompt_tokens': request.prompt_tokens,
            'max_output_tokens': request.max_output_tokens,
            'repeatable': session.repeatable,
            'remaining_ms': session.deadline_at_ms - session.received_ms,
        },
    )


def finished(
    session: sessionstate.Session, now_ms: int
) -> list[actions.Action]:
    """Return the line and the counter of an answered request."""
    fields = {**_identity(session, now_ms), 'output_tokens': session.offset}
    return [
        actions.LogEvent('request_finished', fields),
        actions.Count('answers', session.service.name),
    ]


def retried(
    session: sessionstate.Session, kind: str, now_ms: int
) -> list[actions.Action]:
    """Return the line and the counter of a retry after a failed attempt."""
    fields = _progress(session, kind, now_ms)
    return [
        actions.LogEvent('request_retried', fields),
        actions.Count('retries', kind),
    ]


def resumed(
    session: sessionstate.Session, kind: str, now_ms: int
) -> list[actions.Action]:
    """Return the line and the counter of a resumed stream."""
    fields = _progress(session, kind, now_ms)
    return [
        actions.LogEvent('request_resumed', fields),
        actions.Count('resumes', kind),
    ]


def refused(
    request: records.RequestSpec,
    code: str,
    run_state: records.RunState,
    retry_after_ms: int,
) -> list[actions.Action]:
    """Return the line, the counter and the final answer of a refusal."""
    fields = {
        'request': request.request_id,
        'workspace': request.workspace,
        'service': request.service,
        'code': code,
        'run_state': run_state,
        'retry_after_ms': retry_after_ms,
    }
    return [
        actions.LogEvent('request_refused', fields),
        actions.Count('refusals', code),
        actions.RefuseRequest(
            request.request_id, code, run_state, retry_after_ms
        ),
    ]


def _identity(
    session: sessionstate.Session, now_ms: int
) -> dict[str, str | int]:
    return {
        'request': session.request.request_id,
        'workspace': session.request.workspace,
        'target': session.last_target,
        'elapsed_ms': now_ms - session.received_ms,
    }


def _progress(
    session: sessionstate.Session, kind: str, now_ms: int
) -> dict[str, object]:
    return {
        **_identity(session, now_ms),
        'kind': kind,
        'offset': session.offset,
    }
