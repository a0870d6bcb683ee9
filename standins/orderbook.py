"""
Order book
~~~~~~~~~~

State of an engine that orders change: model, adapters, version and role.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

# Fields that an order of each kind sets; ``state`` only reads the state back.
FIELDS_BY_KIND: Mapping[str, frozenset[str]] = {
    'load': frozenset(('model', 'adapter', 'version')),
    'adapter': frozenset(('adapter',)),
    'version': frozenset(('version',)),
    'role': frozenset(('role',)),
    'state': frozenset(),
}
LOADING_KINDS = frozenset(('load', 'adapter', 'version'))


class OrderAnswer(NamedTuple):
    """Answer to an order; ``status`` is ``done`` or a code."""

    status: str
    state: dict[str, Any]


class OrderBook:
    """Applies orders and keeps the highest fencing number seen."""

    def __init__(self, checks_fencing: bool) -> None:
        """With ``checks_fencing`` an old number is rejected."""
        self._checks_fencing = checks_fencing
        self._highest_fence = 0
        self._state: dict[str, Any] = {'role': 'both', 'version': ''}

    def check(self, fence: int, order: Mapping[str, Any]) -> str:
        """Return why an order is rejected, or ``done``."""
        known = FIELDS_BY_KIND.get(str(order.get('kind')))
        if known is None or set(order) - known - {'kind'}:
            return 'unknown_order'
        if self._checks_fencing and fence < self._highest_fence:
            return 'old_fence'
        return 'done'

    def apply(self, fence: int, order: Mapping[str, Any]) -> OrderAnswer:
        """Apply an order unless it is rejected."""
        status = self.check(fence, order)
        if status == 'done':
            self._highest_fence = max(fence, self._highest_fence)
            wanted = {name: order[name] for name in order if name != 'kind'}
            self._state.update(wanted)
        return self.answer(status)

    def answer(self, status: str) -> OrderAnswer:
        """Return an answer with the present state."""
        state = {**self._state, 'fence': self._highest_fence}
        return OrderAnswer(status, state)
