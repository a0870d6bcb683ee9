"""
Refusals
~~~~~~~~

Log lines and metrics of requests that a host refuses itself, with the
configuration that decided it, and of connections whose bytes are no request.
"""

from typing import Final

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import eventlog, exchangerecords, fleetview

# Refusals for what the caller sent; the others tell of this host's state.
LOWEST_CALLER_FAULT: Final = 400
HIGHEST_CALLER_FAULT: Final = 499
LIMIT_LINE_MS: Final = 1_000


class RefusalRecorder:
    """Records what one host refuses."""

    def __init__(
        self,
        view: fleetview.FleetView,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Name the configuration that ``view`` has in force."""
        self._view = view
        self._log = log
        self._clock = time_source
        self._meters = meters
        self._limit_logged_ms: dict[str, int] = {}

    def record(
        self,
        error: errors.ServiceError,
        request: exchangerecords.CallerRequest,
        sender: str,
    ) -> None:
        """Record a refusal; ``sender`` is the peer that has relayed it."""
        in_force = self._view.in_force
        self._meters.count('refusals', f'{error.status} {error.code}')
        self._log.write(
            _event_of(error.status),
            id=request.attempt_id,
            reason=error.code,
            status=error.status,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            peer=sender,
            version=in_force.version,
            in_force_ms=self._in_force_ms(),
            **_position_fields(self._view),
        )

    def record_unreadable(self, status: int, fault: str, caller: str) -> None:
        """Record a connection whose bytes are no request in the protocol."""
        self._meters.count('refusals', f'{status} unreadable')
        self._log.write(
            _event_of(status),
            reason='unreadable',
            status=status,
            detail=fault,
            caller=caller,
        )

    def record_limit(self, limit: str, allowed: int) -> None:
        """Record a connection that was closed at a limit for all callers.

        A line a second at most: crowds reach a limit many times.
        """
        self._meters.count('caller_limits', limit)
        now_ms = self._clock.now_ms()
        if now_ms >= self._limit_logged_ms.get(limit, 0) + LIMIT_LINE_MS:
            self._limit_logged_ms[limit] = now_ms
            self._log.write('caller_limit', limit=limit, allowed=allowed)

    def gauges(self) -> dict[metrics.Series, float]:
        """Return which configuration this host decides by."""
        fields = _position_fields(self._view)
        fields['version'] = self._view.in_force.version
        fields['in_force_ms'] = self._in_force_ms()
        now_ms = self._clock.now_ms()
        version = self._view.in_force.version
        known_ms = (
            self._view.outdated_since_ms(),
            self._view.lag.since_ms(version),
        )
        earliest_ms = min(
            (since_ms for since_ms in known_ms if since_ms is not None),
            default=now_ms,
        )
        fields['outdated_ms'] = now_ms - earliest_ms
        return {
            metrics.Series('configuration', name): float(number)
            for name, number in fields.items()
        }

    def _in_force_ms(self) -> int:
        """Return for how long the configuration has been in force, or -1."""
        in_force = self._view.in_force
        if not in_force.version:
            return -1
        return self._clock.now_ms() - in_force.since_ms


def _event_of(status: int) -> str:
    """Return the event: its lines are counted, so overload hides no fault."""
    is_fault = LOWEST_CALLER_FAULT <= status <= HIGHEST_CALLER_FAULT
    return 'caller_refused' if is_fault else 'refused'


def _position_fields(view: fleetview.FleetView) -> dict[str, int]:
    """Return up to where the store is known, and where the decision is from."""
    position = view.in_force.position
    return {
        'era': view.items.era,
        'revision': view.revision,
        'complete_revision': view.items.complete_revision(),
        'from_era': position.era,
        'from_revision': position.revision,
    }
