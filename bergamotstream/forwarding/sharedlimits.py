"""
Shared limits
~~~~~~~~~~~~~

Limits that hold for all hosts together, of which each host uses an equal part
without asking the others.
"""

from typing import Final

# Hosts that share a limit while the others are not known.
MIN_HOSTS: Final = 6


class SharedLimit:
    """Base class of limits that are divided among the hosts."""

    def __init__(self) -> None:
        """Divide by the least number of hosts."""
        self._max_hosts = MIN_HOSTS

    def update_host_count(self, count: int) -> None:
        """Divide by the most hosts seen; hosts out of sight still count."""
        self._max_hosts = max(self._max_hosts, count)

    def _host_share(self, total: float) -> float:
        return total / self._max_hosts
