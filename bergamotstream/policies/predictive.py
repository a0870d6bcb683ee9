"""
Predictive
~~~~~~~~~~

The default policy: the lowest predicted time to first token.
"""

from typing import Any

from bergamotstream import latencymodel, occupancy, records, targetstate
from bergamotstream.policies import base

# A target gets a further prompt of a class while at most this many tokens run
# before it. The rest waits at the owner, where the queue is fair.
WINDOW_TOKENS: dict[records.LengthClass, int] = {
    'short': 1_024,
    'medium': 2_048,
    'long': 32_000,
}
# One prompt that is processed and one that waits keep an engine busy.
MAX_PREFILLS_AHEAD = 1
# An idle cold target is given a short request after this time, else it would
# stay cold for as long as warm ones suffice. Medium ones go there earlier.
IDLE_COLD_MS = 5_000


@base.register
class Predictive(base.Policy):
    """Chooses the target with the lowest predicted time to first token.

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
        self,
        candidates: base.Candidates,
        requirement: occupancy.Requirement,
        now_ms: int,
    ) -> targetstate.TargetState | None:
        """Return the candidate whose first token is expected first."""
        best: tuple[float, int, str] | None = None
        chosen = None
        window = self._window[requirement.length_class]
        for target in candidates:
            backlog = target.prefills.backlog_before(requirement.priority)
            if backlog.prefills > MAX_PREFILLS_AHEAD or backlog.tokens > window:
                continue
            predicted_ms = target.predicted_ttft_ms(requirement, backlog)
            if _is_long_idle(target, now_ms):
                # It must warm up, whatever its learned speed is.
                predicted_ms = 0
            elif _should_warm(target, requirement):
                predicted_ms /= latencymodel.COLD_FACTOR
            rating = (predicted_ms, target.running, target.name)
            if best is None or rating < best:
                best, chosen = rating, target
        return chosen


def _is_long_idle(target: targetstate.TargetState, now_ms: int) -> bool:
    """Return whether a cold target has been idle for long."""
    if not target.cold_start.known_cold or target.running:
        return False
    return now_ms - target.idle_since_ms >= IDLE_COLD_MS


def _should_warm(
    target: targetstate.TargetState, requirement: occupancy.Requirement
) -> bool:
    """Return whether a cold target should be chosen as if it were warm."""
    if not target.cold_start.known_cold or target.running:
        return False
    return requirement.length_class == 'medium'
