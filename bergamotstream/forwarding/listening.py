"""
Listening
~~~~~~~~~

The sockets on which a host is called. They are opened first of all, so that
callers who connect while the rest of a host starts wait in the queue of a
socket instead of being refused.
"""

import socket
from collections.abc import Mapping
from typing import Final, TypeAlias

from bergamotstream.forwarding import hostsettings

# More callers than connect in the time that a start takes.
QUEUE_LENGTH: Final = 1_024

# Keyed by the address that the settings state.
Listeners: TypeAlias = Mapping[str, socket.socket]


def open_listeners(config: hostsettings.HostSettings) -> Listeners:
    """Open the sockets of all addresses; raises ``OSError``."""
    addresses = (
        config.caller_address,
        config.directory_address,
        config.readiness_address,
        config.peer_address,
    )
    return {address: _open(address) for address in addresses}


def _open(address: str) -> socket.socket:
    ip, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)  # noqa: WPS425 - positional in the socket API
    listener.bind((ip, int(port)))
    listener.listen(QUEUE_LENGTH)
    return listener
