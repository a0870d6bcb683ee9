"""
Listen sockets
~~~~~~~~~~~~~~

The sockets on which a host accepts connections. They are opened first, so that
callers who connect while the rest of a host starts wait in the backlog of a
socket instead of being refused. Each import here delays that.
"""

import socket

# More than the callers that connect during a start.
BACKLOG = 1_024

# Keyed by the address that the settings state.
Listeners = dict[str, socket.socket]


def open_listener(address: str) -> socket.socket:
    """Listen on ``IP:PORT``; raises ``OSError``."""
    ip, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)  # noqa: WPS425 - positional in the socket API
    listener.bind((ip, int(port)))
    listener.listen(BACKLOG)
    return listener
