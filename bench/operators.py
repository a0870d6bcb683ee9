"""
Operators
~~~~~~~~~

Operators change the configuration through any host; an accepted change is
watched by the checks.
"""

from typing import Any

from bergamotstream import actions, events
from bench import checks, shapes

AGAIN_MS = 1_000


class Change:
    """A zone or target that an operator takes out or brings back."""

    def __init__(self, part: str, name: str, *, present: bool) -> None:
        """Add ``name`` to ``part`` of the bundle, or remove it."""
        self.part = part
        self.name = name
        self.present = present


class Operators:
    """Sends changes and waits for their answers."""

    def __init__(self, world: Any) -> None:
        """Start without a change under way."""
        self.world = world
        self.answers: list[str] = []
        self._changes_by_query: dict[str, Change] = {}

    def change(self, change: Change, via: str) -> None:
        """Ask host ``via`` for a change."""
        query_id = self.world.new_query(None)
        self._changes_by_query[query_id] = change
        arguments = {
            'part': change.part,
            'name': change.name,
            'present': change.present,
        }
        host = self.world.hosts_by_name[via]
        self.world.links.send(
            shapes.CALLERS,
            host.name,
            host.receive,
            events.AdminAsked(query_id, 'change', arguments),
        )

    def answered(self, action: actions.AnswerAdmin) -> None:
        """Watch an accepted change."""
        change = self._changes_by_query.pop(action.query_id, None)
        if change is None:
            return
        self.answers.append(action.code or 'accepted')
        if action.code:
            return
        now_ms = self.world.time.now_ms
        watched = self.world.checks
        watched.facts_by_key[change.name] = checks.Fact(
            change.name, change.present, now_ms
        )
        if change.present:
            watched.away_since_ms[change.name] = now_ms
        else:
            watched.away_since_ms.pop(change.name, None)
