"""
Adoption
~~~~~~~~

A new owner collects the grants that members hold before it issues its own.
"""

from bergamotstream import (
    actions,
    assignments,
    grants,
    messages,
    occupancy,
    records,
    state,
    targetgroups,
)


class Adoption:
    """Queries to the members for the grants of one partition."""

    def __init__(self, partition: str, shared: state.HostState) -> None:
        """Start to wait for replies now."""
        self.partition = partition
        self.started_ms = shared.now_ms
        self.answered_hosts: set[str] = set()
        self._state = shared
        self._queried_ms = shared.now_ms
        self._complete = False

    def query_holdings(self) -> list[actions.Action]:
        """Query every host that may hold grants and has not answered."""
        self._queried_ms = self._state.now_ms
        return [
            actions.SendMessage(host, messages.HoldingsQuery(self.partition))
            for host in sorted(self._hosts() - self.answered_hosts)
        ]

    def retry_query(self) -> list[actions.Action]:
        """Repeat the query, because a message can be lost."""
        timing = self._state.settings.timing
        if self.complete:
            return []
        if self._state.now_ms - self._queried_ms < timing.ask_again_ms:
            return []
        return self.query_holdings()

    @property
    def complete(self) -> bool:
        """Return whether grants may be issued."""
        if not self._complete:
            waited_ms = self._state.now_ms - self.started_ms
            limit_ms = self._state.settings.timing.holdings_wait_ms
            missing = self._live_hosts() - self.answered_hosts
            self._complete = not missing or waited_ms >= limit_ms
        return self._complete

    @property
    def holders_known(self) -> bool:
        """Return whether an unknown attempt certainly has no holder.

        A host that has not answered may still hold grants of the previous
        owner; they expire after the lease.
        """
        lease_ms = self._state.settings.timing.grant_lease_ms
        if self._state.now_ms - self.started_ms >= lease_ms:
            return True
        return not self._hosts() - self.answered_hosts

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
) -> tuple[grants.Grant, list[occupancy.Requirement]]:
    """Return the grant of a holding and its requirements on the targets."""
    request = holding.request
    message = messages.GrantRequest(
        partition,
        request,
        holding.remaining_ms,
        _priority_of(request.workspace, shared),
    )
    waiting = grants.WaitingRequest(message, holder, shared.now_ms)
    grant = grants.Grant(
        holding.attempt_id, waiting, holding.targets, shared.now_ms
    )
    prompt_parts = targetgroups.prompt_parts_of(holding.targets, request)
    requirements = [
        assignments.requirement_of(waiting, prompt_part)
        for prompt_part in prompt_parts
    ]
    return grant, requirements


def _priority_of(workspace: str, shared: state.HostState) -> int:
    bundle = shared.bundle
    if bundle is None or workspace not in bundle.workspaces_by_name:
        return 0
    return bundle.workspaces_by_name[workspace].priority
