"""
Grant requests
~~~~~~~~~~~~~~

Requests grants from the owners of target partitions: from the best partition
first, from another one after a denial, again from the same one without a reply.
"""

from bergamotstream import (
    actions,
    components,
    messages,
    partitionchoice,
    sessionstate,
    state,
)

OWNER_RETRY_MS = 100
# Ownership moves in about 2 s; a longer gap means that the cell is degraded.
MAX_OWNER_WAIT_MS = 5_000
MAX_RETRY_INTERVAL_MS = 1_000
# Denials after which another partition may still grant.
RETRYABLE_DENIALS = frozenset(
    ('no_owner', 'no_target', 'overloaded', 'deadline_unreachable')
)
# Share of the grant's lease within which a dispatch may still start.
USABLE_LEASE_SHARE = 0.9


class GrantRefused(Exception):
    """No partition can grant; carries the error of the request."""

    def __init__(self, code: str, retry_after_ms: int) -> None:
        """Store the error code and the retry delay in milliseconds."""
        super().__init__(code)
        self.code = code
        self.retry_after_ms = retry_after_ms


class GrantRequests:
    """Grant requests of the sessions of one host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without known partitions."""
        self._state = shared
        self._timing = shared.settings.timing
        self.choice = partitionchoice.PartitionChoice(shared)

    def request_grant(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Ask the best partition; raises :class:`GrantRefused` without one."""
        partition = self.choice.choose(
            session.request, session.service, session.denials_by_partition
        )
        if not partition:
            return self._wait_for_owner(session)
        self.choice.record_sent(partition, session.request)
        session.ownerless_since_ms = 0
        now_ms = self._state.now_ms
        session.grant_request = sessionstate.PendingGrantRequest(
            partition=partition,
            owner=self._state.owner_of(partition),
            last_sent_ms=now_ms,
            retry_interval_ms=self._timing.ask_again_ms,
        )
        return self._send(session, session.grant_request)

    def retry_if_due(self, session: sessionstate.Session) -> components.Actions:
        """Repeat an unanswered request when it is due."""
        now_ms = self._state.now_ms
        pending = session.grant_request
        if pending is None:
            if now_ms < session.grant_retry_at_ms:
                return []
            return self.request_grant(session)
        if now_ms < pending.last_sent_ms + pending.retry_interval_ms:
            return []
        if self._state.owner_of(pending.partition) != pending.owner:
            return self.request_grant(session)
        session.grant_request = pending._replace(
            last_sent_ms=now_ms,
            retry_interval_ms=min(
                pending.retry_interval_ms * 2, MAX_RETRY_INTERVAL_MS
            ),
        )
        return self._send(session, session.grant_request)

    def on_denial(
        self, session: sessionstate.Session, message: messages.GrantReply
    ) -> components.Actions:
        """Ask another partition; raises :class:`GrantRefused` without one."""
        if message.code not in RETRYABLE_DENIALS:
            raise GrantRefused(message.code, message.retry_after_ms)
        session.denials_by_partition[message.partition] = (
            message.code,
            message.retry_after_ms,
        )
        return self.request_grant(session)

    def is_usable(
        self,
        session: sessionstate.Session,
        message: messages.GrantReply,
        sender: str,
    ) -> bool:
        """Return whether a reply is to the pending request and in time."""
        pending = session.grant_request
        if pending is None or pending.partition != message.partition:
            return False
        if pending.owner != sender:
            return False
        return not message.granted or self.is_leased(message.asked_ms)

    def is_leased(self, asked_ms: int) -> bool:
        """Return whether the lease of an unused grant surely holds.

        ``asked_ms`` was read from this host's clock before the owner
        granted, so the bound needs no common clock.
        """
        age_ms = self._state.now_ms - asked_ms
        return age_ms < self._timing.grant_lease_ms * USABLE_LEASE_SHARE

    def follow_owner(
        self, session: sessionstate.Session, partition: str, owner: str
    ) -> components.Actions:
        """Repeat the request to the new owner of a partition.

        The new owner has received the holdings of this host. They do not
        include a grant of the previous owner that is still in flight, so
        that grant must not be used.
        """
        pending = session.grant_request
        if (
            pending is None
            or pending.partition != partition
            or pending.owner == owner
        ):
            return []
        session.grant_request = pending._replace(
            owner=owner, last_sent_ms=self._state.now_ms
        )
        return self._send(session, session.grant_request)

    def cancel(self, session: sessionstate.Session) -> components.Actions:
        """Cancel a pending request."""
        pending = session.grant_request
        if pending is None:
            return []
        session.grant_request = None
        cancel = messages.GrantCancel(
            pending.partition, session.request.request_id
        )
        return [actions.SendMessage(pending.owner, cancel)]

    def _send(
        self,
        session: sessionstate.Session,
        pending: sessionstate.PendingGrantRequest,
    ) -> components.Actions:
        request = messages.GrantRequest(
            partition=pending.partition,
            request=session.request,
            remaining_ms=session.remaining_ms(self._state.now_ms),
            priority=session.workspace.priority,
            excluded_targets=session.excluded_targets,
            sent_ms=pending.last_sent_ms,
        )
        session.grant_retry_at_ms = (
            pending.last_sent_ms + pending.retry_interval_ms
        )
        return [actions.SendMessage(pending.owner, request)]

    def _wait_for_owner(
        self, session: sessionstate.Session
    ) -> components.Actions:
        session.grant_request = None
        denials = session.denials_by_partition
        if not session.ownerless_since_ms:
            session.ownerless_since_ms = self._state.now_ms
        waited_ms = self._state.now_ms - session.ownerless_since_ms
        if (
            self._has_unowned_partition(session)
            and waited_ms < MAX_OWNER_WAIT_MS
        ):
            session.denials_by_partition = {
                partition: denial
                for partition, denial in denials.items()
                if denial[0] != 'no_owner'
            }
            session.grant_retry_at_ms = self._state.now_ms + OWNER_RETRY_MS
            return []
        if not denials:
            code = (
                'no_owner'
                if self._has_unowned_partition(session)
                else 'no_target'
            )
            raise GrantRefused(code, self._timing.takeover_ms)
        best = min(denials.values(), key=lambda denial: denial[1])
        raise GrantRefused(*best)

    def _has_unowned_partition(self, session: sessionstate.Session) -> bool:
        denials = session.denials_by_partition
        if any(denial[0] == 'no_owner' for denial in denials.values()):
            return True
        return not all(
            self._state.owner_of(partition)
            for partition in self.choice.partitions_of(session.service.name)
        )
