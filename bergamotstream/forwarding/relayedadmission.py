"""
Relayed admission
~~~~~~~~~~~~~~~~~

Admits a request that a peer has admitted and passed on. The caller has reached
the peer, so the peer's configuration decides, and this host serves the request
only if its own configuration says the same.
"""

from bergamotstream import errors
from bergamotstream.forwarding import exchangerecords, scheduler


def admit(
    core: scheduler.Scheduler,
    request: exchangerecords.CallerRequest,
    decision: exchangerecords.Decision | None,
    now_ms: int,
    *,
    is_sender_ahead: bool,
) -> exchangerecords.Job:
    """Return the job of a request of a peer.

    ``decision`` is what the peer's configuration says of it, ``None`` from
    hosts of earlier versions; these are not served while they know more of the
    store. Raises ``ConfigurationUnknown``, or
    ``ConfigurationOutdated`` if the configurations of the two hosts differ in
    what they say.
    """
    if decision is None and is_sender_ahead:
        raise _differing(None, f'revision {core.view.revision}')
    try:
        job = core.admit(request, now_ms, decision)
    except (errors.UnknownRoute, errors.UnknownKey) as unknown:
        raise _differing(
            decision, f'{unknown.code} {unknown.detail}'
        ) from unknown
    if decision is not None and decision != job.decision:
        raise _differing(decision, str(job.decision))
    return job


def _differing(
    decision: exchangerecords.Decision | None, here: str
) -> errors.ServiceError:
    return errors.ConfigurationOutdated(
        f'peer={decision} here={here}',
        retry_after_ms=scheduler.LEAVING_RETRY_MS,
    )
