"""
Peer exchange
~~~~~~~~~~~~~

Sends the state of a host to its peers by datagram and applies the state that
they send.
"""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any, Final, cast

from bergamotstream import clock, errors, framing
from bergamotstream.forwarding import (
    commitments,
    crashcounts,
    eventlog,
    fleetrecords,
    outcomes,
    peerformat,
    scheduler,
)

# Changes within this time are sent in one message.
COALESCE_DELAY_S: Final = 0.004
# Delay of changes that free a target, per peer and at most: all peers process
# each message, and the load of a large system must not grow with the square
# of its hosts.
SEND_DELAY_PER_PEER_S: Final = 0.002
MAX_SEND_DELAY_S: Final = 0.15
# Heartbeat interval when nothing changes. Two heartbeats may be lost before a
# peer counts as dead.
HEARTBEAT_INTERVAL_S: Final = 0.8


class PeerExchange(asyncio.DatagramProtocol):
    """Messages to and from all other hosts."""

    def __init__(
        self,
        entry: fleetrecords.HostEntry,
        core: scheduler.Scheduler,
        recorder: outcomes.OutcomeRecorder,
        log: eventlog.EventLog,
        time_source: clock.Clock,
    ) -> None:
        """Send the state of the host ``entry``."""
        self.ready = False
        self.peers_by_name: dict[str, peerformat.HostState] = {}
        self._entry = entry
        self._core = core
        self._outcomes = recorder
        self._log = log
        self._clock = time_source
        self._sequence = 0
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._send_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the event loop."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Apply the state of a peer; called by the event loop."""
        now_ms = self._clock.now_ms()
        try:
            state = peerformat.decode(data, now_ms)
        except errors.InvalidMessage as fault:
            self._log.write('peer_message_refused', sender=addr, fault=fault)
            return
        if state.entry.name != self._entry.name:
            self._apply_state(state, now_ms)

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that was not delivered; called by the event loop."""
        self._log.write('peer_send_failed', fault=exc)

    def schedule_send(self) -> None:
        """Send the state at once, as peers may choose the same target."""
        self._changed.set()

    def schedule_delayed_send(self) -> None:
        """Send the state after a delay that depends on the peers."""
        if self._send_timer is None:
            delay_s = SEND_DELAY_PER_PEER_S * len(self.peers_by_name)
            self._send_timer = asyncio.get_running_loop().call_later(
                min(delay_s, MAX_SEND_DELAY_S), self._changed.set
            )

    async def run(self) -> None:
        """Send the state after changes and as a heartbeat."""
        while True:
            await self._wait_for_change()
            self._expire_silent_peers()
            await asyncio.sleep(COALESCE_DELAY_S)
            self._changed.clear()
            self.send_now()

    def send_now(self) -> None:
        """Send the current state to all peers."""
        if self._transport is None:
            return
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        now_ms = self._clock.now_ms()
        self._sequence += 1
        message = peerformat.encode(self._state(now_ms), now_ms)
        for address in self._peer_addresses():
            self._transport.sendto(message, framing.split_address(address))

    def live_peers(self) -> list[peerformat.HostState]:
        """Return the latest state of each peer that is not silent."""
        return list(self.peers_by_name.values())

    def has_ready(self) -> bool:
        """Tell whether another host takes requests of callers."""
        return any(peer.ready for peer in self.live_peers())

    def are_mostly_ahead(self) -> bool:
        """Tell whether most peers have documents that this host lacks."""
        own = self._core.view.items.complete_revision()
        peers = [peer for peer in self.live_peers() if peer.ready]
        ahead = [peer for peer in peers if peer.store_revision > own]
        return len(ahead) * 2 > len(peers)

    def store_answered_ms(self) -> int:
        """Return when the store last answered this host or a live peer."""
        own_ms = self._core.view.store_answered_ms
        heard = (peer.store_answered_ms for peer in self.live_peers())
        return max(own_ms, max(heard, default=own_ms))

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._changed.wait()

    def _state(self, now_ms: int) -> peerformat.HostState:
        return peerformat.HostState(
            entry=self._entry,
            sequence=self._sequence,
            ready=self.ready,
            store_revision=self._core.view.items.complete_revision(),
            news_revision=self._core.view.revision,
            own_commitments=tuple(self._core.table.own()),
            health_estimates=tuple(
                self._core.health.own_estimates(
                    now_ms, self._core.links.unproved()
                )
            ),
            store_answered_ms=self._core.view.store_answered_ms,
            blame=self._core.blame.report(now_ms),
            limits=self._core.limits.report(now_ms),
            link_report=self._core.links.report(self.peers_by_name.keys()),
            accepts_requests=True,
        )

    def _peer_addresses(self) -> Iterable[str]:
        registered = self._core.view.hosts_by_name
        known = {
            name: state.entry.peer_address
            for name, state in self.peers_by_name.items()
        }
        known |= {
            name: entry.peer_address for name, entry in registered.items()
        }
        known.pop(self._entry.name, None)
        return known.values()

    def _apply_state(self, state: peerformat.HostState, now_ms: int) -> None:
        name = state.entry.name
        fresh = self._core.table.update_peer(
            name,
            commitments.PeerState(
                state.entry.incarnation,
                state.sequence,
                now_ms,
                state.own_commitments,
            ),
        )
        if not fresh:
            return
        if name not in self.peers_by_name:
            self._log.write(
                'peer_heard', peer=name, incarnation=state.entry.incarnation
            )
            self.schedule_send()
        self.peers_by_name[name] = state
        self._core.health.update_peer(state.health_estimates, now_ms)
        for estimate in state.health_estimates:
            if estimate.refusing_ms:
                self._outcomes.record_crash(estimate.target_id, 'refusing_peer')
        self._core.links.hear(name, state.link_report)
        self._apply_blame(state, now_ms)
        for change in self._core.limits.hear(name, state.limits, now_ms):
            self._outcomes.statements.record_limit_change(change, name)

    def _apply_blame(self, state: peerformat.HostState, now_ms: int) -> None:
        process = crashcounts.PeerProcess(
            state.entry.name, state.entry.incarnation
        )
        blame = self._core.blame
        disputes = blame.disputed
        for fingerprint in blame.apply_report(process, state.blame, now_ms):
            self._log.write(
                'blame_learned',
                fingerprint=eventlog.hex_of(fingerprint),
                **blame.counts.crashes_of(fingerprint, now_ms)._asdict(),
                source=state.entry.name,
                incarnation=state.entry.incarnation,
            )
        if blame.disputed != disputes:
            # Peers refuse requests that need not be refused.
            self.schedule_send()

    def _expire_silent_peers(self) -> None:
        for name in self._core.table.remove_silent_peers(self._clock.now_ms()):
            self.peers_by_name.pop(name, None)
            self._log.write(
                'peer_lost', peer=name, silent_ms=commitments.PEER_SILENCE_MS
            )
