"""
Network
~~~~~~~

Delays, jitter, loss and cuts between hosts, targets, callers and the
key-value service. Each pair of places has one ordered connection.
"""

import random
from collections.abc import Callable
from typing import Any

from bench import shapes, virtualtime

SAME_ZONE_MS = 1
KV_MS = 1
RECONNECT_MS = 750


class Network:
    """Carries calls between named places."""

    def __init__(
        self,
        time: virtualtime.VirtualTime,
        shape: shapes.Shape,
        chance: random.Random,
    ) -> None:
        """Draw jitter and loss from ``chance``."""
        self.time = time
        self.shape = shape
        self.chance = chance
        self.loss = float(0)
        self.zones_by_place = {
            info.name: info.availability_zone for info in shapes.targets()
        }
        self.changed_ms = 0
        self._cuts: set[tuple[str, str]] = set()
        self._silent_until_ms: dict[tuple[str, str], int] = {}
        self._last_arrival_ms: dict[tuple[str, str], int] = {}

    def send(
        self,
        source: str,
        destination: str,
        callback: Callable[..., Any],
        *arguments: Any,
        lossy: bool = False,
    ) -> None:
        """Call ``callback`` after the delay, unless the path is cut."""
        if self.is_cut(source, destination):
            return
        if lossy and self._lost(source, destination):
            return
        pair = (source, destination)
        arrival_ms = self.time.now_ms + self._delay_ms(source, destination)
        arrival_ms = max(arrival_ms, self._last_arrival_ms.get(pair, 0))
        self._last_arrival_ms[pair] = arrival_ms
        self.time.call_at(
            arrival_ms, self._deliver, source, destination, callback, arguments
        )

    def cut(self, one: str, other: str) -> None:
        """Drop everything between two places or zones until healed."""
        self._cuts.update(((one, other), (other, one)))
        self.changed_ms = self.time.now_ms

    def heal(self) -> None:
        """End all cuts and losses."""
        self._cuts.clear()
        self.loss = 0
        self.changed_ms = self.time.now_ms

    def silence(self, one: str, other: str) -> None:
        """Make the open connections of two hosts silent.

        The shell replaces a connection after ``link_silent_ms``; a new one
        works.
        """
        until_ms = self.time.now_ms + RECONNECT_MS
        for pair in ((one, other), (other, one)):
            self._silent_until_ms[pair] = until_ms

    def is_cut(self, source: str, destination: str) -> bool:
        """Tell whether a cut separates two places."""
        if not self._cuts or source == destination:
            return False
        return any(
            (one, other) in self._cuts
            for one in self._labels(source)
            for other in self._labels(destination)
        )

    def cut_off(self, place: str) -> bool:
        """Tell whether any cut concerns a place."""
        labels = self._labels(place)
        return any(one in labels for one, _ in self._cuts)

    def _deliver(
        self,
        source: str,
        destination: str,
        callback: Callable[..., Any],
        arguments: tuple[Any, ...],
    ) -> None:
        if not self.is_cut(source, destination):
            callback(*arguments)

    def _labels(self, place: str) -> tuple[str, ...]:
        zone = self.zones_by_place.get(place, '')
        return (place, zone, 'all')

    def _lost(self, source: str, destination: str) -> bool:
        until_ms = self._silent_until_ms.get((source, destination), 0)
        if self.time.now_ms < until_ms:
            return True
        return self.loss > 0 and self.chance.random() < self.loss

    def _delay_ms(self, source: str, destination: str) -> int:
        places = (source, destination)
        if source == destination:
            return 0
        jitter_ms = self.chance.randrange(2)
        if shapes.CALLERS in places:
            return self.shape.caller_ms + jitter_ms
        if shapes.KV in places:
            return KV_MS + jitter_ms
        zones = {self.zones_by_place.get(place) for place in places}
        base_ms = SAME_ZONE_MS if len(zones) == 1 else self.shape.zone_ms
        return base_ms + jitter_ms
