"""
Shared limits
~~~~~~~~~~~~~

Limits that hold for all hosts together; each host uses an equal share without
coordination.
"""

from typing import Final

# Number of hosts that is assumed until more are known.
MIN_HOSTS: Final = 6


class SharedLimit:
    """Base class of limits that are divided among the hosts."""

    def __init__(self) -> None:
        """Start with the assumed number of hosts."""
        self._max_hosts = MIN_HOSTS

    def update_host_count(self, count: int) -> None:
        """Divide by the most hosts seen so far.

        Hosts that are no longer visible may still use their share.
        """
        self._max_hosts = max(self._max_hosts, count)

    def _host_share(self, total: float) -> float:
        return total / self._max_hosts
