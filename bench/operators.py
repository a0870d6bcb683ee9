"""
Operators
~~~~~~~~~

Operators change the configuration through any host; an accepted change is
watched by the checks.
"""

import collections
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from bergamotstream import actions, events
from bench import checks, shapes

Command = tuple[str, Mapping[str, Any]]


class Change(NamedTuple):
    """A zone or target that operators take out or bring back.

    ``part`` is the attribute of the bundle. A ``drafted`` change goes through
    draft, sign-off and roll-out even if it concerns a zone.
    """

    part: str
    name: str
    present: bool
    drafted: bool = False


class Pending:
    """A change under way at a host and the commands that are left."""

    def __init__(self, change: Change, via: str) -> None:
        """Start with no command sent."""
        self.change = change
        self.via = via
        self.commands: collections.deque[Command] = collections.deque()


Commands = Callable[[Change, int], list[Command]]


def naive_commands(change: Change, _base_version: int) -> list[Command]:
    """Return the one command of the naive version."""
    return [('change', change._asdict())]


def real_commands(change: Change, base_version: int) -> list[Command]:
    """Return the commands for a change of version ``base_version``."""
    zone = change.part == 'zones_out'
    if zone and not change.drafted:
        command = 'zone.out' if change.present else 'zone.in'
        return [(command, {'zone': change.name, 'operator': 'ana'})]
    section, mark = ('zones', 'out') if zone else ('targets', 'leaving')
    edit = {
        'path': f'{section}/{change.name}',
        'value': mark if change.present else None,
    }
    draft = {'author': 'ana', 'base_version': base_version, 'changes': [edit]}
    return [
        ('config.draft', draft),
        ('config.sign', {'signer': 'berta'}),
        ('config.roll', {'operator': 'ana'}),
    ]


class Operators:
    """Sends changes and waits for their answers."""

    def __init__(self, world: Any) -> None:
        """Start without a change under way."""
        self.world = world
        self.answers: list[str] = []
        self._pending_by_query: dict[str, Pending] = {}

    def change(self, change: Change, via: str) -> None:
        """Make a change through host ``via``."""
        host = self.world.hosts_by_name[via]
        bundle = host.core.state.bundle
        pending = Pending(change, via)
        pending.commands.extend(
            self.world.version.commands(change, bundle.version if bundle else 0)
        )
        self._send(pending, {})

    def answered(self, action: actions.AnswerAdmin) -> None:
        """Send the next command, or watch an accepted change."""
        pending = self._pending_by_query.pop(action.query_id, None)
        if pending is None:
            return
        if action.code or not pending.commands:
            self.answers.append(action.code or 'accepted')
            if not action.code:
                self._accepted(pending.change)
            return
        self._send(pending, action.body)

    def _send(self, pending: Pending, answer: Mapping[str, Any]) -> None:
        command, arguments = pending.commands.popleft()
        query_id = self.world.new_query(None)
        self._pending_by_query[query_id] = pending
        host = self.world.hosts_by_name[pending.via]
        asked = events.AdminAsked(
            query_id,
            command,
            {
                'wall_ms': self.world.time.now_ms,
                'draft': answer.get('draft', ''),
                **arguments,
            },
        )
        self.world.links.send(shapes.CALLERS, host.name, host.receive, asked)

    def _accepted(self, change: Change) -> None:
        now_ms = self.world.time.now_ms
        watched = self.world.checks
        watched.facts_by_key[change.name] = checks.Fact(
            change.name, change.present, now_ms
        )
        if change.present:
            watched.away_since_ms[change.name] = now_ms
        else:
            watched.away_since_ms.pop(change.name, None)
