"""
Host settings
~~~~~~~~~~~~~

Settings of a host: its addresses, the address of the store and the operators'
limits.
"""

from typing import NamedTuple


class StoreSettings(NamedTuple):
    """The platform's store."""

    address: str


class Bounds(NamedTuple):
    """Limits that the operators set for the system."""

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
    # First and last port for traffic between hosts.
    peer_ports: tuple[int, int]
    store: StoreSettings
    bounds: Bounds

    @property
    def peer_address(self) -> str:
        """Return the address for other hosts."""
        return f'{self.ip}:{self.peer_ports[0]}'
