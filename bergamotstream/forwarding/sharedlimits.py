"""
Shared limits
~~~~~~~~~~~~~

Limits that hold for all hosts together, of which each host uses an equal part
without asking the others.
"""

from typing import Final

# Hosts that share a limit while the others are not known.
LEAST_HOSTS: Final = 6


class SharedLimit:
    """Base class of limits that are divided among the hosts."""

    def __init__(self) -> None:
        """Divide by the least number of hosts."""
        self._most_hosts = LEAST_HOSTS

    def update_host_count(self, count: int) -> None:
        """Divide by the most hosts seen; hosts out of sight still count."""
        self._most_hosts = max(self._most_hosts, count)

    def _part_of(self, total: float) -> float:
        return total / self._most_hosts
