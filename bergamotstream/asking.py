"""
Asking
~~~~~~

Asks the owners of target partitions for grants: the best partition first,
another one after a denial, the same one again when an answer is missing.
"""

from bergamotstream import (
    actions,
    components,
    messages,
    partitionchoice,
    sessionstate,
    state,
)

OWNER_WAIT_MS = 100
# Ownership moves in about 2 s; a longer gap means that the cell is in trouble.
MAX_OWNER_WAIT_MS = 5_000
MAX_ASK_INTERVAL_MS = 1_000
# Denials after which another partition may still grant.
PASSING_DENIALS = frozenset(
    ('no_owner', 'no_target', 'overloaded', 'deadline_unreachable')
)
# Share of the grant's lease within which a dispatch may still start.
USABLE_LEASE_SHARE = 0.9


class Refused(Exception):
    """No partition can grant; carries the final answer."""

    def __init__(self, code: str, retry_after_ms: int) -> None:
        """Keep the error code and when to come back, in milliseconds."""
        super().__init__(code)
        self.code = code
        self.retry_after_ms = retry_after_ms


class Asking:
    """Grant requests of the sessions of one host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without knowledge of partitions."""
        self._state = shared
        self._timing = shared.settings.timing
        self.choice = partitionchoice.PartitionChoice(shared)

    def ask(self, session: sessionstate.Session) -> components.Actions:
        """Ask the best partition; raises :class:`Refused` if there is none."""
        partition = self.choice.choose(
            session.request, session.service, session.denials_by_partition
        )
        if not partition:
            return self._wait_for_owner(session)
        self.choice.record_sent(partition, session.request)
        session.ownerless_since_ms = 0
        now_ms = self._state.now_ms
        session.ask = sessionstate.Ask(
            partition=partition,
            owner=self._state.owner_of(partition),
            last_ms=now_ms,
            interval_ms=self._timing.ask_again_ms,
        )
        return self._send(session, session.ask)

    def ask_again(self, session: sessionstate.Session) -> components.Actions:
        """Repeat an unanswered question when it is due."""
        now_ms = self._state.now_ms
        ask = session.ask
        if ask is None:
            if now_ms < session.ask_again_at_ms:
                return []
            return self.ask(session)
        if now_ms < ask.last_ms + ask.interval_ms:
            return []
        if self._state.owner_of(ask.partition) != ask.owner:
            return self.ask(session)
        session.ask = ask._replace(
            last_ms=now_ms,
            interval_ms=min(ask.interval_ms * 2, MAX_ASK_INTERVAL_MS),
        )
        return self._send(session, session.ask)

    def denied(
        self, session: sessionstate.Session, message: messages.GrantReply
    ) -> components.Actions:
        """Ask elsewhere; raises :class:`Refused` when that is no use."""
        if message.code not in PASSING_DENIALS:
            raise Refused(message.code, message.retry_after_ms)
        session.denials_by_partition[message.partition] = (
            message.code,
            message.retry_after_ms,
        )
        return self.ask(session)

    def usable(
        self,
        session: sessionstate.Session,
        message: messages.GrantReply,
        sender: str,
    ) -> bool:
        """Tell whether a reply answers the open question in time."""
        ask = session.ask
        if ask is None or ask.partition != message.partition:
            return False
        if ask.owner != sender:
            return False
        return not message.granted or self.is_leased(message.asked_ms)

    def is_leased(self, asked_ms: int) -> bool:
        """Tell whether the owner surely still counts an unused grant.

        ``asked_ms`` is this host's clock reading from before the owner
        granted, so the bound needs no common clock.
        """
        age_ms = self._state.now_ms - asked_ms
        return age_ms < self._timing.grant_lease_ms * USABLE_LEASE_SHARE

    def follow_owner(
        self, session: sessionstate.Session, partition: str, owner: str
    ) -> components.Actions:
        """Ask the new owner of a partition instead of the previous one.

        The new owner has been told what this host holds. A grant of the
        previous owner that is still under way is not among that, so it must
        not be used.
        """
        ask = session.ask
        if ask is None or ask.partition != partition or ask.owner == owner:
            return []
        session.ask = ask._replace(owner=owner, last_ms=self._state.now_ms)
        return self._send(session, session.ask)

    def withdraw(self, session: sessionstate.Session) -> components.Actions:
        """Cancel a question that waits for its answer."""
        ask = session.ask
        if ask is None:
            return []
        session.ask = None
        cancel = messages.GrantCancel(ask.partition, session.request.request_id)
        return [actions.SendMessage(ask.owner, cancel)]

    def _send(
        self, session: sessionstate.Session, ask: sessionstate.Ask
    ) -> components.Actions:
        request = messages.GrantRequest(
            partition=ask.partition,
            request=session.request,
            remaining_ms=session.remaining_ms(self._state.now_ms),
            priority=session.workspace.priority,
            excluded_targets=session.excluded_targets,
            sent_ms=ask.last_ms,
        )
        session.ask_again_at_ms = ask.last_ms + ask.interval_ms
        return [actions.SendMessage(ask.owner, request)]

    def _wait_for_owner(
        self, session: sessionstate.Session
    ) -> components.Actions:
        session.ask = None
        denials = session.denials_by_partition
        if not session.ownerless_since_ms:
            session.ownerless_since_ms = self._state.now_ms
        waited_ms = self._state.now_ms - session.ownerless_since_ms
        if self._unowned(session) and waited_ms < MAX_OWNER_WAIT_MS:
            session.denials_by_partition = {
                partition: denial
                for partition, denial in denials.items()
                if denial[0] != 'no_owner'
            }
            session.ask_again_at_ms = self._state.now_ms + OWNER_WAIT_MS
            return []
        if not denials:
            code = 'no_owner' if self._unowned(session) else 'no_target'
            raise Refused(code, self._timing.takeover_ms)
        best = min(denials.values(), key=lambda denial: denial[1])
        raise Refused(*best)

    def _unowned(self, session: sessionstate.Session) -> bool:
        denials = session.denials_by_partition
        if any(denial[0] == 'no_owner' for denial in denials.values()):
            return True
        return not all(
            self._state.owner_of(partition)
            for partition in self.choice.partitions_of(session.service.name)
        )
