"""
Host settings
~~~~~~~~~~~~~

Settings of a host: its addresses, the address of the store and the operators'
limits, with the durations that follow from these limits.
"""

from typing import Final, NamedTuple

# Time from news of a configuration to the last request that is served by the
# one before: a pass of the engines and the way of the news.
APPLY_MARGIN_MS: Final = 500
# Time that a killed host is listed by the store after its last renewal counts
# from the operators' contact bound plus this; source: the platform's rules.
LISTED_AFTER_CONTACT_MS: Final = 3_000
# Reserve for the way of an answer of the directory, and for slow timers.
DIRECTORY_MARGIN_MS: Final = 1_000
# Longest lease of memory on a target; a longer one only delays its release
# after the host has ended.
MAX_MEMORY_LEASE_MS: Final = 3_500
# An unused reservation must end this long before it counts as leaked.
MEMORY_MARGIN_MS: Final = 500


# The least that the operators have given a host.
DEFAULT_MEMORY_MB: Final = 160
# What a host needs without any answer: the interpreter, the libraries and the
# state of a large fleet.
RESERVED_MEMORY_MB: Final = 80
MIN_HELD_MB: Final = 8
BYTES_PER_MB: Final = 1_000_000
# The least that a host holds for callers: one complete body of 4 MB, the
# operators' limit, which counts twice, and as much again.
MIN_CALLER_MB: Final = 16
# The least that the operators have given a host, and those of them that are not
# for sockets; source: the platform's rules for machines.
DEFAULT_MAX_FDS: Final = 4_100
FILE_FDS: Final = 200
# The least that the operators have given a host, so that one without figures
# attracts no more callers than it can serve.
DEFAULT_CPU_SHARE: Final = 0.5
DEFAULT_CORES: Final = 1
DEFAULT_LINK_MBPS: Final = 10
# Shares of the sockets that each server may have open. The rest is for targets,
# peers and the store.
CALLER_SOCKETS_SHARE: Final = 0.5
DIRECTORY_SOCKETS_SHARE: Final = 0.1
PEER_SOCKETS_SHARE: Final = 0.15
READINESS_SOCKETS_SHARE: Final = 0.05
MIN_SOCKETS: Final = 8


class StoreSettings(NamedTuple):
    """The platform's store."""

    address: str


class Bounds(NamedTuple):
    """Limits that the operators set for the system.

    The defaults are the strictest that the operators have used, so that a host
    without a figure breaks no limit.
    """

    # From the signal to stop to the end of the process by force.
    stop_grace_ms: int = 8_000
    # Retries in each window: this share of the requests, and a fixed number.
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 0
    # From the store's acknowledgement to the last request that is handled by
    # the configuration before.
    apply_ms: int = 2_000
    # A host is held to the limits that follow news after this long without a
    # fault.
    contact_ms: int = 3_000
    # Memory on targets is free this long after its last request.
    memory_free_ms: int = 4_000
    # Longest lease of memory that a target grants.
    memory_lease_max_ms: int = 20_000
    # Longest time for which callers keep an answer of the directory.
    address_ttl_max_ms: int = 5_000

    @property
    def max_outdated_ms(self) -> int:
        """How long a host serves while a newer configuration is known."""
        return max(self.apply_ms - APPLY_MARGIN_MS, 0)

    @property
    def memory_lease_ms(self) -> int:
        """Duration of a lease of memory, which is renewed while in use."""
        return min(
            MAX_MEMORY_LEASE_MS,
            self.memory_free_ms - MEMORY_MARGIN_MS,
            self.memory_lease_max_ms,
        )

    @property
    def unheard_listing_ms(self) -> int:
        """How long the directory lists hosts that have fallen silent."""
        return self.contact_ms + LISTED_AFTER_CONTACT_MS - DIRECTORY_MARGIN_MS


class Features(NamedTuple):
    """Decisions that a deployment's settings switch on or off."""

    # Acts where workspaces compete for places; see docs/settings.md.
    fair_waiting: bool = True
    weighted_directory: bool = False
    target_pacing: bool = False


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
    # Memory of the process; above it the platform ends the host.
    memory_mb: float = DEFAULT_MEMORY_MB
    features: Features = Features()
    # Descriptors of the process; it cannot open more.
    max_fds: int = DEFAULT_MAX_FDS
    # Share of each core that the process gets.
    cpu_share: float = DEFAULT_CPU_SHARE
    cores: float = DEFAULT_CORES
    link_mbps: float = DEFAULT_LINK_MBPS

    def connections(self, share: float) -> int:
        """Return how many connections a server with ``share`` may have."""
        sockets = max(self.max_fds - FILE_FDS, 0)
        return max(round(sockets * share), MIN_SOCKETS)

    @property
    def caller_bytes(self) -> int:
        """Return how much a host may hold for all callers together."""
        free_mb = self.memory_mb - RESERVED_MEMORY_MB
        return round(max(free_mb / 4, MIN_CALLER_MB) * BYTES_PER_MB)

    @property
    def held_bytes(self) -> int:
        """Return how much a host may hold of all answers together.

        A quarter of what is free, as buffers that grow are copied and the
        kernel holds what has not been read.
        """
        free_mb = self.memory_mb - RESERVED_MEMORY_MB
        return round(max(free_mb / 4, MIN_HELD_MB) * BYTES_PER_MB)

    @property
    def peer_address(self) -> str:
        """Return the address for other hosts."""
        return f'{self.ip}:{self.peer_ports[0]}'
