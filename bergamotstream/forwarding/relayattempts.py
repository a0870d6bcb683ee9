"""
Relay attempts
~~~~~~~~~~~~~~

Lets a peer serve a request that this host cannot serve over its own links, or
for which its cell has no room, and writes the log events and metrics of it.
"""

import functools
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias, TypeVar

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    dispatch,
    eventlog,
    peerexchange,
    peerformat,
    peerrelay,
    relayformat,
    requeststate,
    scheduler,
)

# Tries that reach no target before a peer is asked to serve the request.
MAX_UNSENT_BEFORE_RELAY: Final = 2
# Peers that are asked in turn.
MAX_RELAYS: Final = 2
# Interval at which a peer that serves a request is checked to be alive.
PEER_CHECK_S: Final = 0.25

Received = TypeVar('Received')
# Called with the time for which a peer has sent nothing, in ms.
LossHandler: TypeAlias = Callable[[requeststate.Try, int], bool]


class CellFull(Exception):
    """The own cell has no room for a request, and another one has."""

    def __init__(self, peer: peerformat.HostState) -> None:
        """Keep the host that should serve the request."""
        super().__init__(peer.entry.name)
        self.peer = peer


class RelayAttempts:
    """Requests of this host that peers serve, and those of peers."""

    def __init__(
        self,
        core: scheduler.Scheduler,
        relay: peerrelay.PeerRelay,
        peers: peerexchange.PeerExchange,
        log: eventlog.EventLog,
        time_source: clock.Clock,
        meters: metrics.Metrics,
    ) -> None:
        """Send requests by ``relay`` to one of ``peers``."""
        self._core = core
        self._relay = relay
        self._peers = peers
        self._log = log
        self._clock = time_source
        self._meters = meters

    def is_possible(self, state: requeststate.RequestState) -> bool:
        """Tell whether a peer may reach targets that this host does not."""
        return not state.relayed_by and (
            self._has_unreachable_target(state)
            or bool(self._peers.live_contacts())
        )

    def choose_overflow(
        self, state: requeststate.RequestState
    ) -> peerformat.HostState | None:
        """Return a host of another cell that has room for a request.

        A request passes one other host at most, before it is sent to a target.
        """
        if state.relayed_by or state.tried_peers or state.tries_sent:
            return None
        job = state.job
        waited_ms = self._clock.now_ms() - job.arrived_ms
        return self._core.reach.choose_with_room(
            job.service.name,
            job.route.goal_ms - waited_ms,
            self._peers.live_contacts(),
            state.tried_peers,
        )

    def choose_peer(
        self, state: requeststate.RequestState
    ) -> peerformat.HostState | None:
        """Return the peer that should serve a request now, if any.

        Raises ``RequestBlamed`` for a request that crashes targets.
        """
        if state.relayed_by or len(state.tried_peers) >= MAX_RELAYS:
            return None
        if not self._is_needed(state):
            return None
        # As when it is placed: peers may have blamed it since it was admitted.
        self._core.check_blame(state.job, self._clock.now_ms())
        return self._choose(state)

    def has_peer(self, state: requeststate.RequestState) -> bool:
        """Tell whether a further try would go to a peer."""
        return (
            not state.relayed_by
            and len(state.tried_peers) < MAX_RELAYS
            and (self._is_needed(state) or self.is_possible(state))
            and self._choose(state) is not None
        )

    def _is_needed(self, state: requeststate.RequestState) -> bool:
        service = state.job.service.name
        return (
            state.is_out_of_targets
            or state.tries_unsent >= MAX_UNSENT_BEFORE_RELAY
            or self._core.links.is_lost(service)
            or self._core.links.is_doubtful(service)
        )

    def _choose(
        self, state: requeststate.RequestState
    ) -> peerformat.HostState | None:
        """Return a host of the own cell, or else one of another cell.

        If one of the own cell was tried in vain, its targets are down rather
        than out of this host's reach, so other cells come first.
        """
        own: list[peerformat.HostState] = []
        if not state.is_out_of_targets or self._has_unreachable_target(state):
            own = self._peers.live_peers()
        groups = [own, self._peers.live_contacts()]
        if not self._core.cells.members.isdisjoint(state.tried_peers):
            groups.reverse()
        for group in groups:
            chosen = self._core.reach.choose_relay(
                state.job.service.name, group, state.tried_peers
            )
            if chosen is not None:
                return chosen
        return None

    def _has_unreachable_target(self, state: requeststate.RequestState) -> bool:
        return self._core.reach.has_unreachable_target(
            state.job.service.name, self._clock.now_ms()
        )

    async def send(
        self,
        served: requeststate.Try,
        peer: peerformat.HostState,
        handle_loss: LossHandler,
    ) -> dispatch.Answer:
        """Send a request to a peer; until it answers it may have run.

        Raises what ``PeerRelay.send`` does.
        """
        state = served.request
        head = relayformat.head_of(
            state.job.request,
            self._relay.own_name,
            state.job.end_ms - self._clock.now_ms(),
            state.job.decision,
            tries_sent=state.tries_sent,
            reached_target_ids=tuple(state.reached_target_ids),
            last_event_id=state.last_event_id,
            is_counted=state.is_counted,
            trial_part=state.job.trial_part,
        )
        served.mark_sent()
        try:
            return await self.receive(
                served,
                peer,
                handle_loss,
                self._relay.send(peer.entry, head, state.body),
            )
        except (dispatch.TargetUnreachable, peerrelay.PeerRefused):
            served.mark_not_run(is_sent=False)
            raise
        except errors.ServiceError as error:
            if error.run_state == 'not_run':
                served.mark_not_run(is_sent=False)
            raise

    async def receive(
        self,
        served: requeststate.Try,
        peer: peerformat.HostState,
        handle_loss: LossHandler,
        receiving: Coroutine[Any, Any, Received],
    ) -> Received:
        """Return what a peer sends; ``handle_loss`` is called if it is lost."""
        started_ms = self._clock.now_ms()
        received = await dispatch.receive(
            receiving,
            PEER_CHECK_S,
            PEER_CHECK_S,
            functools.partial(
                self._handle_silent_peer, served, peer, handle_loss, started_ms
            ),
        )
        served.is_silent = False
        return received

    def _handle_silent_peer(
        self,
        served: requeststate.Try,
        peer: peerformat.HostState,
        handle_loss: LossHandler,
        since_ms: int,
    ) -> None:
        if not self._peers.is_heard(peer.entry.name):
            handle_loss(served, self._clock.now_ms() - since_ms)

    def record_sent(
        self, state: requeststate.RequestState, peer: peerformat.HostState
    ) -> None:
        """Record that a peer is asked to serve a request."""
        service = state.job.service.name
        self._meters.count('relayed_requests', 'sent')
        self._log.write(
            'relayed',
            id=state.job.request.attempt_id,
            peer=peer.entry.name,
            zone=peer.entry.zone,
            cell=peer.cell,
            service=service,
            version=self._core.view.in_force.version,
            links_lost=self._core.links.is_lost(service),
            unsent=state.tries_unsent,
            sent=state.tries_sent,
            left_ms=state.job.end_ms - self._clock.now_ms(),
        )

    def record_fault(
        self,
        served: requeststate.Try,
        peer: peerformat.HostState,
        fault: Exception,
        sent_ms: int,
    ) -> None:
        """Record a peer that did not serve a request."""
        self._meters.count('relayed_requests', 'failed')
        self._log.write(
            'relay_failed',
            id=served.job.request.attempt_id,
            peer=peer.entry.name,
            fault=repr(fault),
            waited_ms=self._clock.now_ms() - sent_ms,
            may_have_run=served.may_have_run,
        )

    def record_received(self, state: requeststate.RequestState) -> None:
        """Record a request that is served for a peer, which hears of it."""
        self._peers.add_partner(state.relayed_by, state.job.end_ms)
        self._meters.count('relayed_requests', 'received')
        self._log.write(
            'relay_received',
            id=state.job.request.attempt_id,
            peer=state.relayed_by,
            service=state.job.service.name,
            version=self._core.view.in_force.version,
            sent=state.tries_sent,
            last_event=state.last_event_id,
        )
