"""
Held grants
~~~~~~~~~~~

Grants that the sessions of one host hold: dispatch, progress, renewal,
release.
"""

from collections.abc import Iterable

from bergamotstream import (
    actions,
    components,
    messages,
    records,
    sessionstate,
    state,
)

# After these outcomes the request must not be sent to the same targets again.
EXCLUDING_OUTCOMES = frozenset(('not_run', 'target_lost', 'failed'))


class HeldGrants:
    """Attempts of the sessions of one host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without attempts."""
        self._state = shared
        self.sessions_by_attempt: dict[str, sessionstate.Session] = {}

    def hold(
        self, session: sessionstate.Session, attempt: sessionstate.Attempt
    ) -> None:
        """Store a grant for a session."""
        session.attempt = attempt
        session.grant_request = None
        self.sessions_by_attempt[attempt.attempt_id] = session

    def dispatch(
        self, session: sessionstate.Session, *, resume: bool = False
    ) -> components.Actions:
        """Run the held attempt, or attach to it if it is already running."""
        attempt = session.attempt
        if attempt is None:
            return []
        session.record_dispatch(attempt.targets[-1].name)
        if not resume:
            attempt = attempt._replace(dispatched_ms=self._state.now_ms)
            session.attempt = attempt
        return [
            actions.Dispatch(
                attempt_id=attempt.attempt_id,
                request_id=session.request.request_id,
                targets=attempt.targets,
                engine_priority=attempt.engine_priority,
                remaining_ms=session.remaining_ms(self._state.now_ms),
                offset=session.offset,
                resume=resume,
            )
        ]

    def record_first_token(
        self, session: sessionstate.Session, attempt: sessionstate.Attempt
    ) -> components.Actions:
        """Record the first token and report the end of prefill to the owner."""
        now_ms = self._state.now_ms
        produced: components.Actions = []
        if not attempt.first_token_ms and not session.offset:
            label = records.length_class(session.request.prompt_tokens)
            elapsed_ms = now_ms - session.received_ms
            produced.append(actions.Observe('ttft', label, elapsed_ms))
        session.attempt = attempt._replace(first_token_ms=now_ms, started=True)
        if attempt.dispatched_ms:
            progress = messages.GrantProgress(
                attempt.partition,
                attempt.attempt_id,
                now_ms - attempt.dispatched_ms,
            )
            produced.extend(self.send_to_owner(attempt.partition, progress))
        return produced

    def release(
        self, session: sessionstate.Session, outcome: str
    ) -> components.Actions:
        """Release the grant; a running attempt is cancelled first."""
        attempt = session.attempt
        if attempt is None:
            return []
        produced: components.Actions = []
        if session.stage == 'running' and outcome != 'finished':
            produced.extend(
                actions.CancelAttempt(target.name, attempt.attempt_id)
                for target in attempt.targets
            )
        session.attempt = None
        self.sessions_by_attempt.pop(attempt.attempt_id, None)
        if outcome in EXCLUDING_OUTCOMES and session.stage == 'running':
            names = tuple(target.name for target in attempt.targets)
            session.excluded_targets += names
        release = messages.GrantRelease(
            partition=attempt.partition,
            attempt_id=attempt.attempt_id,
            outcome=outcome,
            output_tokens=session.offset,
            duration_ms=self._state.now_ms - attempt.dispatched_ms,
        )
        produced.extend(self.send_to_owner(attempt.partition, release))
        return produced

    def drop(self, session: sessionstate.Session) -> components.Actions:
        """Drop an attempt that the partition owner cancels or has moved."""
        attempt = session.attempt
        if attempt is None:
            return []
        session.attempt = None
        self.sessions_by_attempt.pop(attempt.attempt_id, None)
        return [actions.DropStream(attempt.attempt_id)]

    def return_grant(
        self, message: messages.GrantReply, sender: str
    ) -> components.Actions:
        """Release a grant that no session can use, unless it is held."""
        if not message.granted:
            return []
        if message.attempt_id in self.sessions_by_attempt:
            return []
        release = messages.GrantRelease(
            message.partition, message.attempt_id, 'unused'
        )
        return [actions.SendMessage(sender, release)]

    def renew(self) -> components.Actions:
        """Renew all grants, one message for each partition."""
        attempts_by_partition: dict[str, list[str]] = {}
        for attempt_id, session in self.sessions_by_attempt.items():
            if session.attempt is not None:
                partition = session.attempt.partition
                held = attempts_by_partition.setdefault(partition, [])
                held.append(attempt_id)
        produced: components.Actions = []
        for partition, attempt_ids in attempts_by_partition.items():
            renew = messages.GrantRenew(partition, tuple(attempt_ids))
            produced.extend(self.send_to_owner(partition, renew))
        return produced

    def holdings(self, partition: str) -> tuple[records.Holding, ...]:
        """Return the grants held in a partition."""
        return tuple(
            _holding(session, session.attempt, self._state.now_ms)
            for session in self.sessions_by_attempt.values()
            if session.attempt is not None
            and session.attempt.partition == partition
        )

    def send_find_requests(
        self, session: sessionstate.Session, partitions: Iterable[str]
    ) -> components.Actions:
        """Ask the owners whether the request is already running."""
        produced: components.Actions = []
        for partition in partitions:
            find = messages.FindRequest(partition, session.request.request_id)
            asked = self.send_to_owner(partition, find)
            if asked:
                session.pending_finds.add(partition)
            produced.extend(asked)
        return produced

    def send_to_owner(
        self, partition: str, message: messages.Message
    ) -> components.Actions:
        """Send a message to a partition's owner if one is known."""
        owner = self._state.owner_of(partition)
        return [actions.SendMessage(owner, message)] if owner else []


def _holding(
    session: sessionstate.Session, attempt: sessionstate.Attempt, now_ms: int
) -> records.Holding:
    return records.Holding(
        attempt_id=attempt.attempt_id,
        request=session.request,
        targets=attempt.targets,
        remaining_ms=session.remaining_ms(now_ms),
        first_token_seen=bool(attempt.first_token_ms),
    )
