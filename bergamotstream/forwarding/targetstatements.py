"""
Target statements
~~~~~~~~~~~~~~~~~

What targets say of themselves in the headers of their answers: the request
rate that they take, and that they leave. Each change of what a host believes
is logged once.
"""

import multidict

from bergamotstream import clock
from bergamotstream.forwarding import (
    eventlog,
    exchangerecords,
    fleetrecords,
    namedlimits,
    relayformat,
    scheduler,
)
from bergamotstream.platform import callerformat, protocol


class TargetStatements:
    """Records the statements of targets on one host."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        log: eventlog.EventLog,
        time_source: clock.Clock,
    ) -> None:
        """Update the state of ``core``."""
        self._core = core
        self._log = log
        self._clock = time_source

    def record_head(
        self,
        assignment: exchangerecords.Assignment,
        headers: multidict.CIMultiDictProxy[str],
    ) -> None:
        """Record what the target of a request says in its answer."""
        target = assignment.target
        self.record(fleetrecords.run_of(target), headers, 'answer')
        limits = self._core.limits
        texts = headers.getall(protocol.SERVER_LIMIT, ())
        per_s, is_valid = namedlimits.parse(texts, limits.limit_of(target))
        if not is_valid:
            self._log.write(
                'limit_unreadable',
                target=target.target_id,
                texts=texts,
                used_per_s=per_s,
            )
        change = limits.record_answer(
            target, per_s, assignment.placed_ms, self._clock.now_ms()
        )
        if change is not None:
            self.record_limit_change(change, 'target')

    def record(
        self,
        run: fleetrecords.TargetRun,
        headers: multidict.CIMultiDictProxy[str],
        source: str,
    ) -> None:
        """Record what a run of a target says in any answer of it.

        Peers are not told: each host learns it from the first answer that it
        gets, and one host's mistake would take a target from all of them.
        """
        if callerformat.says_leaving(headers) and (
            self._core.view.record_leaving(run)
        ):
            self._log.write(
                'target_leaving',
                target=run.target_id,
                started_ms=run.started_ms,
                source=source,
            )

    def record_relayed(self, headers: multidict.CIMultiDictProxy[str]) -> None:
        """Record what a target says in an answer that a peer passes on."""
        run = relayformat.take_run(multidict.CIMultiDict(headers))
        if run is not None:
            self.record(run, headers, 'relayed')

    def record_limit_change(
        self, change: namedlimits.Change, source: str
    ) -> None:
        """Log a limit that a target or a peer has told."""
        self._log.write(
            'limit_changed',
            target=change.run.target_id,
            started_ms=change.run.started_ms,
            per_s=change.per_s,
            previous_per_s=change.previous_per_s,
            age_ms=change.age_ms,
            source=source,
        )
