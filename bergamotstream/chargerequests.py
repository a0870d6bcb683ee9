"""
Charge requests
~~~~~~~~~~~~~~~

The accepting host's side of workspace limits: requests charges from the
account's owner, and falls back to a small fixed share while no owner replies.
"""

from collections.abc import Iterable

from bergamotstream import (
    actions,
    components,
    messages,
    partitions,
    sessionstate,
    state,
)

OWNER_TIMEOUT_MS = 600
# Without the owner, each host may use 1 / (divisor * hosts) of a limit.
FALLBACK_SHARE_DIVISOR = 4


class ChargeRequests:
    """Charges of the requests that are open at this host."""

    def __init__(self, shared: state.HostState) -> None:
        """Start without charges."""
        self._state = shared
        self._local_by_workspace: dict[str, int] = {}

    def request_charge(
        self, session: sessionstate.Session
    ) -> components.Actions:
        """Request a charge from the owner of the workspace's account."""
        count = self._state.settings.limits.account_partitions
        session.charge_partition = partitions.accounts_partition(
            session.request.workspace, count
        )
        session.charge_state = 'asked'
        session.charge_requested_ms = self._state.now_ms
        return self._send(session)

    def retry(self, session: sessionstate.Session) -> components.Actions:
        """Repeat the request; after the timeout use the local share."""
        if session.charge_state != 'asked':
            return []
        waited_ms = self._state.now_ms - session.charge_requested_ms
        if waited_ms >= OWNER_TIMEOUT_MS and self._is_within_fallback_share(
            session
        ):
            workspace = session.request.workspace
            local = self._local_by_workspace.get(workspace, 0)
            self._local_by_workspace[workspace] = local + 1
            session.charge_state = 'local'
            return []
        return self._send(session)

    def on_reply(
        self, session: sessionstate.Session, message: messages.ChargeReply
    ) -> bool:
        """Apply the owner's reply; returns False if it is refused."""
        if message.granted:
            if session.charge_state == 'asked':
                session.charge_state = 'granted'
            return True
        if session.charge_state != 'asked' or message.code == 'no_owner':
            # Without an owner the request is repeated until the fallback.
            return True
        return self._is_owner_behind(message)

    def _is_owner_behind(self, message: messages.ChargeReply) -> bool:
        """Tell whether the owner may lack a workspace, or a higher limit.

        The request is repeated until the owner has read the same bundle.
        """
        bundle = self._state.bundle
        if bundle is None or message.bundle_version >= bundle.version:
            return False
        if message.code == 'unknown_workspace':
            return True
        # An older build names no version, so its limits may be the latest.
        return message.code == 'limit_reached' and message.bundle_version > 0

    def release(self, session: sessionstate.Session) -> components.Actions:
        """End the charge of a closed request."""
        charge_state = session.charge_state
        session.charge_state = 'none'
        if charge_state == 'local':
            self._local_by_workspace[session.request.workspace] -= 1
            return []
        if charge_state == 'none':
            return []
        used = 0
        if session.may_have_run:
            used = session.request.prompt_tokens + session.offset
        release = messages.ChargeRelease(
            session.charge_partition,
            session.request.request_id,
            session.request.workspace,
            used,
        )
        owner = self._state.owner_of(session.charge_partition)
        return [actions.SendMessage(owner, release)] if owner else []

    def held_charges(
        self, sessions: Iterable[sessionstate.Session], partition: str
    ) -> tuple[messages.ChargeRequest, ...]:
        """Return the charges that this host holds in a partition."""
        return tuple(
            self._charge_request(session)
            for session in sessions
            if session.charge_partition == partition
            and session.charge_state in {'granted', 'local'}
        )

    def _send(self, session: sessionstate.Session) -> components.Actions:
        owner = self._state.owner_of(session.charge_partition)
        if not owner:
            return []
        return [actions.SendMessage(owner, self._charge_request(session))]

    def _charge_request(
        self, session: sessionstate.Session
    ) -> messages.ChargeRequest:
        return messages.ChargeRequest(
            session.charge_partition,
            session.request.request_id,
            session.request.workspace,
            session.charged_tokens(),
        )

    def _is_within_fallback_share(self, session: sessionstate.Session) -> bool:
        hosts = max(len(self._state.hosts_by_name), 1)
        share = session.workspace.max_concurrent // (
            FALLBACK_SHARE_DIVISOR * hosts
        )
        used = self._local_by_workspace.get(session.request.workspace, 0)
        return used < max(share, 1)
