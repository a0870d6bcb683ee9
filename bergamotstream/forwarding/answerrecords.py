"""
Answer records
~~~~~~~~~~~~~~

Log lines and counters of what targets, peers and the store send in place of the
answer to a request.
"""

from bergamotstream import checkedconnections, metrics
from bergamotstream.forwarding import connections, eventlog, fleetview


class AnswerRecorder:
    """Records invalid answers and those to other requests."""

    def __init__(
        self,
        view: fleetview.FleetView,
        log: eventlog.EventLog,
        meters: metrics.Metrics,
    ) -> None:
        """Find the names of targets in ``view``."""
        self._view = view
        self._log = log
        self._meters = meters

    def record_invalid(
        self, invalid: checkedconnections.InvalidResponse
    ) -> None:
        """Record an invalid answer of a target, a peer or the store."""
        self._meters.count('invalid_answers', invalid.rule)
        self._log.write(
            'answer_invalid',
            target=','.join(
                target.target_id
                for target in self._view.targets_by_id.values()
                if target.address == invalid.address
            ),
            **invalid._asdict(),
        )

    def record_skipped(self, skipped: connections.SkippedAnswer) -> None:
        """Record an answer that a target sent for another request."""
        self._meters.count('skipped_answers', str(skipped.status))
        self._log.write(
            'answer_skipped',
            id=skipped.attempt_id,
            address=skipped.address,
            foreign_id=skipped.foreign_id,
            status=skipped.status,
        )
