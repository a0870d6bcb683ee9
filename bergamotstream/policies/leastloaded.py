"""
Least loaded
~~~~~~~~~~~~

Balances the number of running attempts.
"""

from bergamotstream import occupancy, targetstate
from bergamotstream.policies import base


@base.register
class LeastLoaded(base.Policy):
    """Chooses the target with the fewest attempts. Options: none."""

    name = 'least-loaded'
    aliases = ('ll',)

    def choose(
        self,
        candidates: base.Candidates,
        requirement: occupancy.Requirement,
        now_ms: int,
    ) -> targetstate.TargetState | None:
        """Return the candidate with the fewest attempts, then tokens."""
        return min(candidates, key=_load, default=None)


def _load(target: targetstate.TargetState) -> tuple[int, int, str]:
    return target.running, target.occupancy.memory_used, target.name
