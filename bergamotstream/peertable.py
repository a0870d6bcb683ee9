"""
Peer table
~~~~~~~~~~

The last heartbeat of each peer and how long each peer has been silent. A host
that was paused counts silence only from the moment it resumed, because the
peers' heartbeats may still be in its queues.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bergamotstream import messages, partitions

NEVER_MS = -1_000_000_000
TIMESTAMP_OFFSET_RANGE = 2**40
MAX_RETIRED_INCARNATIONS = 4


class PeerView(NamedTuple):
    """A peer's newest heartbeat.

    ``echoed_ms`` is this host's clock reading in the newest of its heartbeats
    that the peer had received when it sent this one.
    ``partitions_for_this_host`` names the partitions for which the peer
    supports this host as owner.
    """

    heartbeat: messages.Heartbeat
    received_ms: int
    echoed_ms: int
    supports: Mapping[str, str]
    released: frozenset[str]
    partitions_for_this_host: frozenset[str]


class PeerTable:
    """Heartbeats received by one host."""

    def __init__(self, host: str, incarnation: str) -> None:
        """``incarnation`` differs for each start of the same host name."""
        self.views_by_host: dict[str, PeerView] = {}
        self.started_ms = NEVER_MS
        self.resumed_ms = NEVER_MS
        self._host = host
        self._now_ms = NEVER_MS
        self._retired_incarnations_by_host: dict[str, tuple[str, ...]] = {}
        # Clock readings of an earlier start must not be mistaken for readings
        # of this one, so each start adds its own offset to its timestamps.
        self._timestamp_offset = (
            partitions.hash_text(incarnation) % TIMESTAMP_OFFSET_RANGE
        )

    def advance_to(self, now_ms: int, pause_ms: int) -> None:
        """Set the time; a gap above ``pause_ms`` counts as a pause."""
        if self.started_ms == NEVER_MS:
            self.started_ms = now_ms
        if now_ms - self._now_ms > pause_ms:
            self.resumed_ms = now_ms
        self._now_ms = now_ms

    def timestamp(self) -> int:
        """Return the clock reading to send in a heartbeat."""
        return self._now_ms + self._timestamp_offset

    def accept(self, sender: str, heartbeat: messages.Heartbeat) -> bool:
        """Store a heartbeat; return false if it cannot be used.

        That is one that is older than the known one, or that repeats votes
        that are not known. The latter is not echoed, so the sender sends its
        votes again.
        """
        known = self.views_by_host.get(sender)
        if known and not self._is_newer(sender, known.heartbeat, heartbeat):
            return False
        view = PeerView(
            heartbeat,
            self._now_ms,
            self._echoed_ms(heartbeat),
            {entry.partition: entry.host for entry in heartbeat.supports},
            frozenset(heartbeat.released),
            frozenset(
                entry.partition
                for entry in heartbeat.supports
                if entry.host == self._host
            ),
        )
        if heartbeat.repeats_votes:
            if known is None or not _has_same_votes(known.heartbeat, heartbeat):
                return False
            view = view._replace(
                supports=known.supports,
                released=known.released,
                partitions_for_this_host=known.partitions_for_this_host,
            )
        self.views_by_host[sender] = view
        return True

    def silence_ms(self, host: str) -> int:
        """Return for how long a host has been silent, in milliseconds."""
        if host == self._host:
            return 0
        view = self.views_by_host.get(host)
        received_ms = view.received_ms if view else NEVER_MS
        return self._now_ms - max(received_ms, self.resumed_ms)

    def echoes(self) -> tuple[messages.Echo, ...]:
        """Return the echoes to send in a heartbeat."""
        views = sorted(self.views_by_host.items())
        return tuple(
            messages.Echo(host, view.heartbeat.sent_ms) for host, view in views
        )

    def remove(self, host: str) -> None:
        """Drop the state of a host that has left permanently."""
        self.views_by_host.pop(host, None)
        self._retired_incarnations_by_host.pop(host, None)

    def _is_newer(
        self,
        sender: str,
        known: messages.Heartbeat,
        heartbeat: messages.Heartbeat,
    ) -> bool:
        if heartbeat.incarnation == known.incarnation:
            return heartbeat.sent_ms > known.sent_ms
        retired = self._retired_incarnations_by_host.get(sender, ())
        if heartbeat.incarnation in retired:
            return False
        retired = (*retired, known.incarnation)[-MAX_RETIRED_INCARNATIONS:]
        self._retired_incarnations_by_host[sender] = retired
        return True

    def _echoed_ms(self, heartbeat: messages.Heartbeat) -> int:
        for echo in heartbeat.echoes:
            if echo.host == self._host:
                echoed_ms = echo.sent_ms - self._timestamp_offset
                if self.started_ms <= echoed_ms <= self._now_ms:
                    return echoed_ms
        return NEVER_MS


def _has_same_votes(
    known: messages.Heartbeat, heartbeat: messages.Heartbeat
) -> bool:
    is_same_incarnation = known.incarnation == heartbeat.incarnation
    return is_same_incarnation and known.votes_number == heartbeat.votes_number
