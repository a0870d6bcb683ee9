"""
Link interface
~~~~~~~~~~~~~~

Interface of the links to other hosts that the daemon uses.
"""

from typing import Protocol

from bergamotstream import messages, records


class Links(Protocol):
    """Links to the peers; received messages go to the daemon's queue."""

    async def start(self) -> None:
        """Listen for peers."""

    def send(self, host: records.HostInfo, message: messages.Message) -> None:
        """Send a message; it is dropped when the link is broken or full."""

    async def close(self) -> None:
        """Close all links."""
