"""
Peer table
~~~~~~~~~~

The last heartbeat of each peer and how long each peer has been silent. A host
that was paused counts silence only from the moment it resumed, because the
peers' heartbeats may still wait in its queues.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from bergamotstream import messages, partitions

NEVER_MS = -1_000_000_000
STAMP_RANGE = 2**40
RETIRED_KEPT = 4


class PeerView(NamedTuple):
    """A peer's newest heartbeat.

    ``echoed_ms`` is the own clock reading of the newest own heartbeat that
    the peer had received when it wrote this one. ``votes_number`` numbers
    ``supports``, 0 if they are unknown; ``confirmed_number`` numbers the own
    supports that the peer knows.
    """

    heartbeat: messages.Heartbeat
    received_ms: int
    echoed_ms: int
    supports: Mapping[str, str]
    supported_by_host: Mapping[str, tuple[str, ...]]
    released: frozenset[str]
    votes_number: int
    confirmed_number: int

    def differs(self, other: 'PeerView') -> bool:
        """Tell whether ownership has to be reviewed after ``other``."""
        mine, theirs = self.heartbeat, other.heartbeat
        return (
            self.supports != other.supports
            or self.released != other.released
            or mine.epoch != theirs.epoch
            or mine.incarnation != theirs.incarnation
        )


class PeerTable:
    """Heartbeats received by one host."""

    def __init__(self, host: str, incarnation: str) -> None:
        """``incarnation`` differs for each start of the same host name."""
        self.views_by_host: dict[str, PeerView] = {}
        self.started_ms = NEVER_MS
        self.awake_since_ms = NEVER_MS
        # Counts the heartbeats that reported something new on ownership.
        self.changes = 0
        self._host = host
        self._now_ms = NEVER_MS
        self._retired_by_host: dict[str, tuple[str, ...]] = {}
        # Clock readings of an earlier start must not look like readings of
        # this one, so each start adds its own offset to what it sends.
        self._stamp_offset = partitions.hash_text(incarnation) % STAMP_RANGE

    def advance_to(self, now_ms: int, pause_ms: int) -> None:
        """Note the time; a gap above ``pause_ms`` counts as a pause."""
        if self.started_ms == NEVER_MS:
            self.started_ms = now_ms
        if now_ms - self._now_ms > pause_ms:
            self.awake_since_ms = now_ms
        self._now_ms = now_ms

    def stamp(self) -> int:
        """Return the clock reading to send in a heartbeat."""
        return self._now_ms + self._stamp_offset

    def accept(self, sender: str, heartbeat: messages.Heartbeat) -> bool:
        """Keep a heartbeat; return false if a newer one is known."""
        known = self.views_by_host.get(sender)
        if known and not self._is_newer(sender, known.heartbeat, heartbeat):
            return False
        view = self._view(known, heartbeat)
        self.views_by_host[sender] = view
        if known is None or view.differs(known):
            self.changes += 1
        return True

    def all_confirmed(self, hosts: Iterable[str], votes_number: int) -> bool:
        """Tell whether hosts know the own supports of this number."""
        return all(
            self.views_by_host[host].confirmed_number == votes_number
            for host in hosts
        )

    def silence_ms(self, host: str) -> int:
        """Return for how long a host has been silent, in milliseconds."""
        if host == self._host:
            return 0
        view = self.views_by_host.get(host)
        heard_ms = view.received_ms if view else NEVER_MS
        return self._now_ms - max(heard_ms, self.awake_since_ms)

    def echoes(self) -> tuple[messages.Echo, ...]:
        """Return the echoes to send in a heartbeat."""
        return tuple(
            messages.Echo(host, view.heartbeat.sent_ms, view.votes_number)
            for host, view in self.views_by_host.items()
        )

    def forget(self, host: str) -> None:
        """Drop what is known of a host that has left for good."""
        self.views_by_host.pop(host, None)
        self._retired_by_host.pop(host, None)

    def _view(
        self, known: PeerView | None, heartbeat: messages.Heartbeat
    ) -> PeerView:
        echoed_ms, confirmed_number = self._echo(heartbeat)
        votes_number = heartbeat.votes_number
        if known and _has_same_votes(known, heartbeat):
            supports = known.supports
            supported_by_host = known.supported_by_host
        else:
            supports = {
                entry.partition: entry.host for entry in heartbeat.supports
            }
            supported_by_host = _invert(supports)
            if heartbeat.supports_omitted:
                votes_number = 0
        return PeerView(
            heartbeat,
            self._now_ms,
            echoed_ms,
            supports,
            supported_by_host,
            frozenset(heartbeat.released),
            votes_number,
            confirmed_number,
        )

    def _is_newer(
        self,
        sender: str,
        known: messages.Heartbeat,
        heartbeat: messages.Heartbeat,
    ) -> bool:
        if heartbeat.incarnation == known.incarnation:
            return heartbeat.sent_ms > known.sent_ms
        retired = self._retired_by_host.get(sender, ())
        if heartbeat.incarnation in retired:
            return False
        retired = (*retired, known.incarnation)[-RETIRED_KEPT:]
        self._retired_by_host[sender] = retired
        return True

    def _echo(self, heartbeat: messages.Heartbeat) -> tuple[int, int]:
        """Return the time and votes number that a peer echoes."""
        for echo in heartbeat.echoes:
            if echo.host == self._host:
                echoed_ms = echo.sent_ms - self._stamp_offset
                if self.started_ms <= echoed_ms <= self._now_ms:
                    return echoed_ms, echo.votes_number
        return NEVER_MS, 0


def _has_same_votes(known: PeerView, heartbeat: messages.Heartbeat) -> bool:
    if not heartbeat.supports_omitted:
        return False
    is_same_start = known.heartbeat.incarnation == heartbeat.incarnation
    return is_same_start and known.votes_number == heartbeat.votes_number


def _invert(supports: Mapping[str, str]) -> Mapping[str, tuple[str, ...]]:
    names_by_host: dict[str, tuple[str, ...]] = {}
    for name, host in supports.items():
        names_by_host[host] = (*names_by_host.get(host, ()), name)
    return names_by_host
