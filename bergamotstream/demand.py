"""
Demand
~~~~~~

Recent prompt tokens by length class, and how many targets long prompts may
use at once. The rest stays free of long prompts.
"""

import math

from bergamotstream import records

# Time constant of the exponentially decaying average of the demand.
DECAY_TIME_MS = 20_000
# Targets without long prompts: the demand of the other prompts in targets plus
# this many times its square root, first while few long prompts wait, second
# with a backlog. A few targets need more headroom than many for the same wait.
# Source: square-root staffing, Halfin and Whitt, 1981.
CLEAR_HEADROOM = 1.5
BACKLOG_HEADROOM = 0.5
# Waiting tokens of long prompts per target at which the limit is widest.
BACKLOG_TOKENS = 200_000
MS_PER_S = 1_000


class Demand:
    """Decaying sums of the requested prompt tokens."""

    def __init__(self, now_ms: int) -> None:
        """Start without demand."""
        self._tokens: dict[records.LengthClass, float] = {}
        self._updated_ms = now_ms

    def add(
        self, length_class: records.LengthClass, tokens: int, now_ms: int
    ) -> None:
        """Count a request."""
        self._decay(now_ms)
        current = self._tokens.get(length_class, float(0))
        self._tokens[length_class] = current + tokens

    def others_tokens_per_s(self, now_ms: int) -> float:
        """Return the demand of short and medium prompts."""
        self._decay(now_ms)
        tokens = self._tokens.get('short', float(0))
        tokens += self._tokens.get('medium', float(0))
        return tokens * MS_PER_S / DECAY_TIME_MS

    def _decay(self, now_ms: int) -> None:
        factor = math.exp((self._updated_ms - now_ms) / DECAY_TIME_MS)
        self._updated_ms = now_ms
        for length_class in self._tokens:
            self._tokens[length_class] *= factor


def long_target_limit(
    targets: int, others_targets: float, waiting_long_tokens: float
) -> int:
    """Return how many of ``targets`` long prompts may use at once.

    ``others_targets`` is the demand of the other prompts in targets. The
    result is at least 1, and at most all but one of several targets.
    """
    headroom = math.sqrt(others_targets)
    narrow_limit = targets - math.ceil(
        others_targets + CLEAR_HEADROOM * headroom
    )
    wide_limit = targets - math.ceil(
        others_targets + BACKLOG_HEADROOM * headroom
    )
    narrow_limit = max(narrow_limit, targets // 4)
    backlog = waiting_long_tokens / (BACKLOG_TOKENS * max(targets, 1))
    limit = narrow_limit + round(
        max(wide_limit - narrow_limit, 0) * min(backlog, 1)
    )
    return max(min(limit, targets - 1), 1)
