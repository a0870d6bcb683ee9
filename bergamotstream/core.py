"""
Core
~~~~

Makes the decisions of one host without input or output: handles each event at
a given time and returns actions. Messages that the host sends to itself and
events that its components raise are handled before ``handle`` returns.
"""

import collections
from collections.abc import Callable, Sequence
from typing import Any

from bergamotstream import actions, components, events, settings, state

MAX_INTERNAL_STEPS = 10_000

_Pending = collections.deque[events.Event]


class HostCore:
    """The core of one host."""

    def __init__(
        self,
        config: settings.Settings,
        incarnation: str,
        kinds: Sequence[type[components.Component]],
    ) -> None:
        """Build one component of each kind around a shared state."""
        self.state = state.HostState(config, incarnation)
        self.components_by_name = {
            kind.name: kind(self.state) for kind in kinds
        }
        # The hooks run at each event, so components without one are left out.
        self._before_event_hooks = [
            component.before_event
            for kind, component in zip(
                kinds, self.components_by_name.values(), strict=True
            )
            if kind.before_event is not components.Component.before_event
        ]
        self._handlers_by_kind = collections.defaultdict(list)
        for component in self.components_by_name.values():
            for kind, handler in component.handlers():
                self._handlers_by_kind[kind].append(handler)

    def handle(self, event: events.Event, now_ms: int) -> components.Actions:
        """Handle one event at ``now_ms`` and return the actions to perform."""
        self.state.advance_to(now_ms)
        outgoing: components.Actions = []
        pending: _Pending = collections.deque()
        for hook in self._before_event_hooks:
            self._route(hook(), pending, outgoing)
        pending.append(event)
        for _ in range(MAX_INTERNAL_STEPS):
            if not pending:
                break
            produced = self._dispatch(pending.popleft())
            self._route(produced, pending, outgoing)
        return outgoing

    def _route(
        self,
        produced: components.Actions,
        pending: _Pending,
        outgoing: components.Actions,
    ) -> None:
        for action in produced:
            internal = self._internal_event(action)
            if internal is None:
                outgoing.append(action)
            else:
                pending.append(internal)

    def _dispatch(self, event: events.Event) -> components.Actions:
        if isinstance(event, events.MessageReceived):
            kind: type = type(event.message)
            arguments: tuple[Any, ...] = (event.message, event.sender)
        else:
            kind = type(event)
            arguments = (event,)
        produced: components.Actions = []
        for handler in self._handlers_for(kind):
            produced.extend(handler(*arguments))
        return produced

    def _handlers_for(self, kind: type) -> list[Callable[..., Any]]:
        return self._handlers_by_kind.get(kind, [])

    def _internal_event(self, action: actions.Action) -> events.Event | None:
        if isinstance(action, actions.Raise):
            return action.event
        if isinstance(action, actions.SendMessage):
            if action.host == self.state.host:
                return events.MessageReceived(action.host, action.message)
        return None
