"""
Adoption
~~~~~~~~

The wait of a new owner for the grants that the members hold.
"""

from bergamotstream import (
    actions,
    assignments,
    grants,
    groups,
    messages,
    occupancy,
    records,
    state,
)


class Adoption:
    """Questions to the members about the grants of one partition."""

    def __init__(self, partition: str, shared: state.HostState) -> None:
        """Start to wait at the present time."""
        self.partition = partition
        self.started_ms = shared.now_ms
        self.answered: set[str] = set()
        self._state = shared
        self._asked_ms = shared.now_ms
        self._complete = False

    def ask(self) -> list[actions.Action]:
        """Ask every host that may hold grants."""
        self._asked_ms = self._state.now_ms
        return [
            actions.SendMessage(host, messages.HoldingsQuery(self.partition))
            for host in sorted(self._hosts() - self.answered)
        ]

    def ask_again(self) -> list[actions.Action]:
        """Repeat the question, because a message can be lost."""
        timing = self._state.settings.timing
        if self.complete:
            return []
        if self._state.now_ms - self._asked_ms < timing.ask_again_ms:
            return []
        return self.ask()

    @property
    def complete(self) -> bool:
        """Tell whether grants may be given."""
        if not self._complete:
            waited_ms = self._state.now_ms - self.started_ms
            limit_ms = self._state.settings.timing.holdings_wait_ms
            missing = self._live_hosts() - self.answered
            self._complete = not missing or waited_ms >= limit_ms
        return self._complete

    @property
    def certain(self) -> bool:
        """Tell whether an unknown attempt surely has no holder.

        A host that has not answered may still hold grants of the previous
        owner; they expire after the lease.
        """
        lease_ms = self._state.settings.timing.grant_lease_ms
        if self._state.now_ms - self.started_ms >= lease_ms:
            return True
        return not self._hosts() - self.answered

    def _live_hosts(self) -> set[str]:
        return {self._state.host} | self._state.live_peers

    def _hosts(self) -> set[str]:
        record = self._state.cell_record
        if record is None:
            return self._live_hosts()
        return self._live_hosts().union(record.members)


def grant_of_holding(
    partition: str,
    holding: records.Holding,
    holder: str,
    shared: state.HostState,
) -> tuple[grants.Grant, list[occupancy.Need]]:
    """Return the grant of a holding and what it needs from its targets."""
    request = holding.request
    message = messages.GrantRequest(
        partition,
        request,
        holding.remaining_ms,
        _priority_of(request.workspace, shared),
    )
    waiting = grants.Waiting(message, holder, shared.now_ms)
    grant = grants.Grant(
        holding.attempt_id, waiting, holding.targets, shared.now_ms
    )
    segments = groups.segments_of(holding.targets, request)
    needs = [assignments.need_of(waiting, segment) for segment in segments]
    return grant, needs


def _priority_of(workspace: str, shared: state.HostState) -> int:
    bundle = shared.bundle
    if bundle is None or workspace not in bundle.workspaces_by_name:
        return 0
    return bundle.workspaces_by_name[workspace].priority
