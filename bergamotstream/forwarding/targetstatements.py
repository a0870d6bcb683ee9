"""
Target statements
~~~~~~~~~~~~~~~~~

What targets say of themselves in the headers of their answers: the request
rate that they take, pauses that they ask for, and that they leave. Each change
of what a host believes is logged once.
"""

from typing import Final

import multidict

from bergamotstream import clock
from bergamotstream.forwarding import (
    askedpauses,
    dispatch,
    eventlog,
    exchangerecords,
    fleetrecords,
    namedlimits,
    relayformat,
    scheduler,
)
from bergamotstream.platform import callerformat, protocol

MAX_LOGGED_TEXT: Final = 40


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
        status: int,
        headers: multidict.CIMultiDictProxy[str],
    ) -> None:
        """Record what the target of a request says in its answer."""
        target = assignment.target
        run = fleetrecords.run_of(target)
        self.record(run, status, headers, 'answer')
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
        status: int,
        headers: multidict.CIMultiDictProxy[str],
        source: str,
    ) -> None:
        """Record what a run of a target says in any answer to this host."""
        self.record_leaving(run, headers, source)
        asked = headers.getall(protocol.RETRY_AFTER, [])
        if asked and status == dispatch.UNAVAILABLE:
            self._record_asked(run, asked, source)

    def record_leaving(
        self,
        run: fleetrecords.TargetRun,
        headers: multidict.CIMultiDictProxy[str],
        source: str,
    ) -> None:
        """Record whether a run of a target says that it leaves.

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
            self.record_leaving(run, headers, 'relayed')

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

    def _record_asked(
        self, run: fleetrecords.TargetRun, texts: list[str], source: str
    ) -> None:
        """Record that a target wants no request for a time."""
        now_ms = self._clock.now_ms()
        asked_ms = askedpauses.parse(texts)
        if asked_ms is None:
            if self._core.pauses.record_odd(run):
                self._log.write(
                    'pause_unreadable',
                    target=run.target_id,
                    started_ms=run.started_ms,
                    texts=[text[:MAX_LOGGED_TEXT] for text in texts],
                    source=source,
                )
            return
        pause = self._core.pauses.record_asked(run, asked_ms, now_ms)
        self._log.write(
            'pause_asked',
            target=run.target_id,
            started_ms=run.started_ms,
            asked_ms=asked_ms,
            until_in_ms=pause.until_ms - now_ms,
            source=source,
        )
