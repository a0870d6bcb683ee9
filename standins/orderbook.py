"""
Order book
~~~~~~~~~~

State of an engine that orders change: model, adapters, version and role.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

ORDER_FIELDS = ('model', 'adapter', 'version', 'role')


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

    def apply(self, fence: int, order: Mapping[str, Any]) -> OrderAnswer:
        """Apply an order; one without fields only reads the state back."""
        unknown = set(order) - set(ORDER_FIELDS)
        if unknown:
            return self._answer('unknown_order')
        if self._checks_fencing and fence < self._highest_fence:
            return self._answer('old_fence')
        if order:
            self._highest_fence = max(fence, self._highest_fence)
            self._state.update(order)
        return self._answer('done')

    def _answer(self, status: str) -> OrderAnswer:
        state = {**self._state, 'fence': self._highest_fence}
        return OrderAnswer(status, state)
