"""
Listening
~~~~~~~~~

The sockets on which a host is called. They are opened first of all, so that
callers who connect while the rest of a host starts wait in the queue of a
socket instead of being refused. Each import here delays that.
"""

import socket

# More callers than connect in the time that a start takes.
QUEUE_LENGTH = 1_024

# Keyed by the address that the settings state.
Listeners = dict[str, socket.socket]


def open_listener(address: str) -> socket.socket:
    """Listen on ``IP:PORT``; raises ``OSError``."""
    ip, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)  # noqa: WPS425 - positional in the socket API
    listener.bind((ip, int(port)))
    listener.listen(QUEUE_LENGTH)
    return listener
