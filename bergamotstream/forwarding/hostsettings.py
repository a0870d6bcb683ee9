"""
Host settings
~~~~~~~~~~~~~

What a host is told at its start: its own addresses, the store and the bounds
that the operators state.
"""

from typing import NamedTuple


class StoreSettings(NamedTuple):
    """The platform's store."""

    address: str


class Bounds(NamedTuple):
    """Limits that the operators hold the system to."""

    stop_grace_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_slack: int


class HostSettings(NamedTuple):
    """Settings of one host."""

    name: str
    ip: str
    zone: str
    caller_address: str
    readiness_address: str
    directory_address: str
    # First and last port that hosts may use among themselves.
    peer_ports: tuple[int, int]
    store: StoreSettings
    bounds: Bounds

    @property
    def peer_address(self) -> str:
        """Return the address for other hosts."""
        return f'{self.ip}:{self.peer_ports[0]}'
