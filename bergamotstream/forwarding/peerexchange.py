"""
Peer exchange
~~~~~~~~~~~~~

Sends the state of a host to its peers by datagram and applies the state that
they send. The peers are the hosts of its cell; hosts of other cells get a short
summary now and then, and all hosts what is rare and concerns them all.
"""

import asyncio
import contextlib
import random
from collections.abc import Set
from typing import Any, Final, NamedTuple, cast

from bergamotstream import clock, errors, framing
from bergamotstream.forwarding import (
    cellrooms,
    commitments,
    crashcounts,
    eventlog,
    fleetrecords,
    fleetview,
    hostrooms,
    outcomes,
    peerformat,
    scheduler,
)
from bergamotstream.platform import store

# Changes within this time are sent in one message.
COALESCE_DELAY_S: Final = 0.004
# Delay of changes that free a target, per peer and at most: all peers process
# each message, and the load of a large system must not grow with the square
# of its hosts.
SEND_DELAY_PER_PEER_S: Final = 0.002
MAX_SEND_DELAY_S: Final = 0.15
# Heartbeat interval when nothing changes. Two heartbeats may be lost before a
# peer counts as dead.
HEARTBEAT_INTERVAL_MS: Final = 800
MS_PER_S: Final = 1_000
# Hosts of other cells that get a summary with each heartbeat. A host thus hears
# five a second, and knows about eight, however many there are.
CONTACTS: Final = 4
# A host of another cell that has been silent for longer is not relied on.
FRESH_CONTACT_MS: Final = 1_500
# All hosts are told of successive changes no more often than this.
MIN_BROADCAST_INTERVAL_MS: Final = 200
# Heartbeats in which all hosts are told of a change that concerns them.
BROADCASTS: Final = 3
# While crashes or limits are known, all hosts are told again after this time,
# for those that have started since.
BROADCAST_INTERVAL_MS: Final = 4_000
# Longer than any process runs.
NEVER_DUE_MS: Final = 1 << 62


class Contact(NamedTuple):
    """A host of another cell as of its last message."""

    state: peerformat.HostState
    received_ms: int


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
        # Unknown unless the directory weighs hosts.
        self.own_room = hostrooms.UNKNOWN
        self.peers_by_name: dict[str, peerformat.HostState] = {}
        self._contacts_by_name: dict[str, Contact] = {}
        # Until when hosts of other cells, whose requests are served here, get
        # each heartbeat.
        self._partners_until_ms: dict[str, int] = {}
        self._rng = random.Random()
        # When a peer was last heard, or this process started.
        self.heard_ms = time_source.now_ms()
        self._heartbeat_ms = fleetview.NEVER_MS
        self._told_all: tuple[Set[object], ...] = (set(), set())
        self._told_all_ms = fleetview.NEVER_MS
        self._broadcasts_left = 0
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
        if state.entry.name == self._entry.name:
            return
        self.heard_ms = now_ms
        if state.is_summary:
            self._apply_summary(state, now_ms)
        else:
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
        state = self._state(now_ms)
        addresses_by_name = self._addresses_by_name()
        members = self._members() & addresses_by_name.keys()
        self._send(state, [addresses_by_name[name] for name in members], now_ms)
        outside = addresses_by_name.keys() - members
        told = self._choose_told(state, outside, now_ms) if outside else ()
        if told:
            # Summing up the cell costs as much as a decision, so not each time.
            self._send(
                self._summary(state, now_ms),
                [addresses_by_name[name] for name in told],
                now_ms,
            )

    def add_partner(self, name: str, until_ms: int) -> None:
        """Send a host of another cell, which waits for this one, heartbeats."""
        address = self._addresses_by_name().get(name)
        if address is None or name in self._members():
            return
        known_ms = self._partners_until_ms.get(name, until_ms)
        self._partners_until_ms[name] = max(known_ms, until_ms)
        now_ms = self._clock.now_ms()
        self._sequence += 1
        state = self._state(now_ms)
        self._send(self._summary(state, now_ms), [address], now_ms)

    def live_peers(self) -> list[peerformat.HostState]:
        """Return the latest state of each peer that is not silent."""
        return list(self.peers_by_name.values())

    def live_contacts(self) -> list[peerformat.HostState]:
        """Return the hosts of other cells that were heard lately."""
        oldest_ms = self._clock.now_ms() - FRESH_CONTACT_MS
        return [
            contact.state
            for contact in self._contacts_by_name.values()
            if contact.received_ms >= oldest_ms
        ]

    def heard_hosts(self) -> list[peerformat.HostState]:
        """Return the hosts of all cells that were heard lately."""
        return [*self.live_peers(), *self.live_contacts()]

    def is_heard(self, name: str) -> bool:
        """Tell whether a host of any cell is not silent."""
        return name in self.peers_by_name or name in self._contacts_by_name

    def has_ready(self) -> bool:
        """Tell whether another host takes requests of callers."""
        return any(peer.ready for peer in self.live_peers())

    def are_mostly_ahead(self) -> bool:
        """Tell whether most peers have documents that this host lacks."""
        own = self._core.view.items.complete_position()
        peers = [peer for peer in self.live_peers() if peer.ready]
        ahead = [peer for peer in peers if self._position_of(peer) > own]
        return len(ahead) * 2 > len(peers)

    def is_ahead(self, name: str) -> bool:
        """Tell whether a host has documents that this one lacks."""
        own = self._core.view.items.complete_position()
        return any(
            host.entry.name == name and self._position_of(host) > own
            for host in self.heard_hosts()
        )

    def _position_of(self, host: peerformat.HostState) -> store.Position:
        """Return up to where a host has all documents.

        Older builds name no era; their revision is one of ours as long as the
        store has not returned from a copy.
        """
        position = host.complete_position()
        if host.store_era:
            return position
        return position._replace(era=self._core.view.items.assumed_era())

    def store_answered_ms(self) -> int:
        """Return when the store last answered this host or a live peer."""
        own_ms = self._core.view.store_answered_ms
        heard = (host.store_answered_ms for host in self.heard_hosts())
        return max(own_ms, max(heard, default=own_ms))

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_MS / MS_PER_S):
                await self._changed.wait()

    def _state(self, now_ms: int) -> peerformat.HostState:
        return peerformat.HostState(
            entry=self._entry,
            sequence=self._sequence,
            ready=self.ready,
            store_era=self._core.view.items.era,
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
            checks_decisions=True,
            configuration_version=self._core.view.in_force.version,
            cell=self._core.cells.own,
            host_room=self.own_room,
        )

    def _summary(
        self, state: peerformat.HostState, now_ms: int
    ) -> peerformat.HostState:
        """Return what hosts of other cells are told."""
        return state._replace(
            is_summary=True,
            own_commitments=(),
            health_estimates=(),
            link_report=state.link_report._replace(failing=(), reached=()),
            rooms=cellrooms.rooms(self._core, now_ms),
        )

    def _send(
        self,
        state: peerformat.HostState,
        addresses: list[str],
        now_ms: int,
    ) -> None:
        if not addresses or self._transport is None:
            return
        message = peerformat.encode(state, now_ms)
        for address in addresses:
            self._transport.sendto(message, framing.split_address(address))

    def _members(self) -> set[str]:
        """Return the hosts that get the whole state.

        A host that takes this one for a member of its cell relies on it too.
        """
        cells = self._core.cells
        claimed = {
            name
            for name, state in self.peers_by_name.items()
            if cells.includes_own(state.cell)
        }
        return claimed | cells.members

    def _choose_told(
        self, state: peerformat.HostState, outside: Set[str], now_ms: int
    ) -> Set[str]:
        """Return the hosts of other cells that get a summary now."""
        is_heartbeat = now_ms - self._heartbeat_ms >= HEARTBEAT_INTERVAL_MS
        news = _news_for_all(state)
        is_changed = news != self._told_all
        interval_ms = BROADCAST_INTERVAL_MS if any(news) else NEVER_DUE_MS
        if is_changed:
            interval_ms = MIN_BROADCAST_INTERVAL_MS
        if now_ms - self._told_all_ms >= interval_ms:
            self._told_all = news
            self._told_all_ms = now_ms
            self._broadcasts_left = BROADCASTS if is_changed else 1
        elif not is_heartbeat:
            return set()
        if is_heartbeat:
            self._heartbeat_ms = now_ms
        if self._broadcasts_left:
            self._broadcasts_left -= 1
            return outside
        chosen = self._rng.sample(sorted(outside), min(CONTACTS, len(outside)))
        return outside & {*chosen, *self._partners_until_ms}

    def _addresses_by_name(self) -> dict[str, str]:
        registered = self._core.view.hosts_by_name
        known = {
            name: state.entry.peer_address
            for name, state in self.peers_by_name.items()
        }
        known |= {
            name: contact.state.entry.peer_address
            for name, contact in self._contacts_by_name.items()
        }
        known |= {
            name: entry.peer_address for name, entry in registered.items()
        }
        known.pop(self._entry.name, None)
        return known

    def _apply_summary(self, state: peerformat.HostState, now_ms: int) -> None:
        """Apply what a host of another cell tells."""
        name = state.entry.name
        known = self._contacts_by_name.get(name)
        if known is not None and _order(state) <= _order(known.state):
            return
        self._contacts_by_name[name] = Contact(state, now_ms)
        self._apply_news_for_all(state, now_ms)

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
        self._outcomes.pace.hear(name, state.own_commitments)
        self._core.health.update_peer(state.health_estimates, now_ms)
        for estimate in state.health_estimates:
            if estimate.refusing_ms:
                self._outcomes.record_crash(estimate.target_id, 'refusing_peer')
        self._core.links.hear(name, state.link_report)
        self._contacts_by_name.pop(name, None)
        self._apply_news_for_all(state, now_ms)

    def _apply_news_for_all(
        self, state: peerformat.HostState, now_ms: int
    ) -> None:
        name = state.entry.name
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
        now_ms = self._clock.now_ms()
        self._contacts_by_name = {
            name: contact
            for name, contact in self._contacts_by_name.items()
            if now_ms - contact.received_ms <= commitments.PEER_SILENCE_MS
        }
        self._partners_until_ms = {
            name: until_ms
            for name, until_ms in self._partners_until_ms.items()
            if until_ms > now_ms
        }
        for name in self._core.table.remove_silent_peers(now_ms):
            self.peers_by_name.pop(name, None)
            self._log.write(
                'peer_lost', peer=name, silent_ms=commitments.PEER_SILENCE_MS
            )


def _order(state: peerformat.HostState) -> tuple[int, int]:
    return state.entry.incarnation, state.sequence


def _news_for_all(state: peerformat.HostState) -> tuple[Set[object], ...]:
    """Return what all hosts must know, in a form that tells changes.

    Crashes count over all hosts, and a limit binds all of them. Only what this
    host has seen itself is told, as all others judge by the same evidence.
    """
    blame = state.blame
    crashes = {
        *blame.seen.crashes,
        *blame.seen.broken,
        *(entry[:2] for entry in blame.served if entry.successes),
    }
    limits = {
        (report.run, report.statement.per_s)
        for report in state.limits
        if report.statement is not None
    }
    return crashes, limits
