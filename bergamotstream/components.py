"""
Components
~~~~~~~~~~

Base class of the core's components and the decorator that registers a method
for a kind of event or message.
"""

from collections.abc import Callable, Iterator
from typing import Any

from bergamotstream import actions, state

Actions = list[actions.Action]
Handler = Callable[..., Actions]


def handles(*kinds: type) -> Callable[[Handler], Handler]:
    """Register a method for kinds of events or messages.

    A method for an event takes the event; a method for a message takes the
    message and the name of the host that sent it.
    """

    def decorator(method: Handler) -> Handler:
        method.handled_kinds = kinds  # type: ignore[attr-defined]
        return method

    return decorator


class Component:
    """A component of the core with its own state."""

    name = ''

    def __init__(self, shared: state.HostState) -> None:
        """Store the state that all components share."""
        self.state = shared

    def before_event(self) -> Actions:
        """Drop what has expired, before any event is handled.

        The core calls this first on each event, with the new time set, so
        that a host that resumes after a pause does not act on ownership or
        leases that have expired.
        """
        return []

    def handlers(self) -> Iterator[tuple[type, Callable[..., Any]]]:
        """Yield each handled kind with the bound method."""
        for attribute in dir(type(self)):
            method = getattr(type(self), attribute)
            for kind in getattr(method, 'handled_kinds', ()):
                yield kind, getattr(self, attribute)
