"""
Round robin
~~~~~~~~~~~

The simplest policy, kept as a reference for measurements.
"""

from bergamotstream import occupancy, targetstate
from bergamotstream.policies import base


@base.register
class RoundRobin(base.Policy):
    """Chooses the targets in turn by name. Options: none."""

    name = 'round-robin'
    aliases = ('rr',)
    _last = ''

    def choose(
        self,
        candidates: base.Candidates,
        requirement: occupancy.Requirement,
        now_ms: int,
    ) -> targetstate.TargetState | None:
        """Return the next candidate after the last one used."""
        if not candidates:
            return None
        chosen = min(candidates, key=self._turn)
        self._last = chosen.name
        return chosen

    def _turn(self, target: targetstate.TargetState) -> tuple[bool, str]:
        return target.name <= self._last, target.name
