"""
Crashes
~~~~~~~

Detects that a target has crashed and blames the attempts that were running.
Several hosts and the target's next report show the same crash; only the first
of them counts.
"""

from collections.abc import Iterable

from bergamotstream import grants, granttable, quarantine, state, targetstate


class CrashTracker:
    """Crashes of the targets of one partition."""

    def __init__(
        self,
        shared: state.HostState,
        grant_table: granttable.GrantTable,
        blame_scores: quarantine.Quarantine,
    ) -> None:
        """Blame attempts of ``grant_table``."""
        self._state = shared
        self._grant_table = grant_table
        self._quarantine = blame_scores

    def handle_target_lost(
        self, target: targetstate.TargetState, grant: grants.Grant
    ) -> None:
        """Handle the report of a host that lost an attempt's target.

        A host cannot determine which target of a group crashed, so for a group
        only a changed start id counts.
        """
        now_ms = self._state.now_ms
        target.back_off(now_ms)
        if len(grant.targets) > 1 or grant.granted_ms <= target.crashed_ms:
            return
        self.blame_running(target, target.occupancy.occupants)
        target.crashed_ms = now_ms
        # A later report with the same start id shows that it did not restart.
        target.turn_cold(now_ms, trust_reports=True)

    def blame_running(
        self, target: targetstate.TargetState, attempts: Iterable[str]
    ) -> None:
        """Blame the attempts that started since the last known crash."""
        running = [
            self._grant_table.grants_by_attempt[attempt_id]
            for attempt_id in attempts
            if attempt_id in self._grant_table.grants_by_attempt
        ]
        fingerprints = [
            grant.request.fingerprint
            for grant in running
            if grant.granted_ms > target.crashed_ms
        ]
        if fingerprints:
            self._quarantine.blame_crash(
                target.name,
                fingerprints,
                self._state.blame_by_fingerprint,
                self._state.now_ms,
            )
