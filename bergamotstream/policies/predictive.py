"""
Predictive
~~~~~~~~~~

The default policy: the lowest predicted time to first token.
"""

from typing import Any

from bergamotstream import occupancy, prediction, records, targetstate
from bergamotstream.policies import base

# A target takes a further prompt of a class while fewer tokens than this run
# before it. The rest waits at the owner, where the queue is fair.
WINDOW_TOKENS: dict[records.LengthClass, int] = {
    'short': 1_024,
    'medium': 2_048,
    'long': 32_000,
}
# One prompt that is processed and one that waits keep an engine busy.
MAX_AHEAD = 1
# An idle cold target is given a short request after this time, else it would
# stay cold for as long as warm ones suffice. Medium ones go there at once.
IDLE_COLD_MS = 5_000


@base.register
class Predictive(base.Policy):
    """Takes the target with the lowest predicted time to first token.

    Options: ``window_tokens``, a mapping from length class to the prompt
    tokens that may run before a request that is granted.
    """

    name = 'predictive'
    aliases = ('ttft',)
    separates_lengths = True

    def __init__(self, **options: Any) -> None:
        """Read the options."""
        super().__init__(**options)
        self._window = options.get('window_tokens', WINDOW_TOKENS)

    def choose(
        self, candidates: base.Candidates, need: occupancy.Need, now_ms: int
    ) -> targetstate.TargetState | None:
        """Return the candidate whose first token is expected first."""
        best: tuple[float, int, str] | None = None
        chosen = None
        window = self._window[need.length_class]
        for target in candidates:
            ahead = target.prefills.ahead(need.priority)
            if ahead.prefills > MAX_AHEAD or ahead.tokens > window:
                continue
            predicted_ms = target.predicted_ttft_ms(need, ahead)
            if _should_warm(target, need, now_ms):
                predicted_ms /= prediction.COLD_FACTOR
            rating = (predicted_ms, target.running, target.name)
            if best is None or rating < best:
                best, chosen = rating, target
        return chosen


def _should_warm(
    target: targetstate.TargetState, need: occupancy.Need, now_ms: int
) -> bool:
    """Tell whether a cold target should be chosen as if it were warm."""
    if not target.cold_start.slow or target.running:
        return False
    if need.length_class == 'medium':
        return True
    return now_ms - target.idle_since_ms >= IDLE_COLD_MS
