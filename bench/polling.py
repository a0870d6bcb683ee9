"""
Polling
~~~~~~~

A host's polls of the load reports and cache events of watched targets.
"""

from typing import Any

from bergamotstream import actions, events
from bench import targets

PREFIX_GAP = 0.02


class Polls:
    """The targets that one host watches."""

    def __init__(self, host: Any) -> None:
        """Watch no target."""
        self.host = host
        self.world = host.world
        self._watched: set[str] = set()
        self._cached_by_target: dict[str, frozenset[int]] = {}
        self._sequences_by_target: dict[str, int] = {}

    def do_watchtarget(self, action: actions.WatchTarget) -> None:
        """Start to poll a target."""
        self._watched.add(action.target.name)

    def do_unwatchtarget(self, action: actions.UnwatchTarget) -> None:
        """Stop polling a target."""
        self._watched.discard(action.target)
        self._cached_by_target.pop(action.target, None)

    def poll(self) -> None:
        """Fetch what the watched targets report."""
        for name in sorted(self._watched):
            target = self.world.targets_by_name[name]
            if target.down:
                continue
            self._receive(name, events.LoadReported(target.report()))
            if isinstance(target, targets.EngineTarget):
                self._poll_prefixes(target)

    def _poll_prefixes(self, target: targets.EngineTarget) -> None:
        before = self._cached_by_target.get(target.name, frozenset())
        cached = frozenset(target.engine.cached_hashes())
        if cached == before:
            return
        self._cached_by_target[target.name] = cached
        sequence = self._sequences_by_target.get(target.name, 0) + 1
        self._sequences_by_target[target.name] = sequence
        if self.world.chance.random() < PREFIX_GAP:
            return
        report = events.PrefixesReported(
            target.name,
            sequence,
            added=tuple(sorted(cached - before)),
            removed=tuple(sorted(before - cached)),
        )
        self._receive(target.name, report)

    def _receive(self, place: str, event: events.Event) -> None:
        self.world.links.send(place, self.host.name, self.host.receive, event)
