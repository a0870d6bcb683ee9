"""Links between hosts of one process and targets, which can be cut by host."""

import asyncio
import contextlib
import contextvars
import os
import socket
import struct

from bergamotstream.forwarding import connections

# How links fail: new connections are refused and open ones reset; new ones are
# opened and then reset; all are silent; open ones live on, new ones are refused.
MODES = ('refused', 'reset', 'hang', 'kept')

_host = contextvars.ContextVar('host', default='')


class _LostSocket(socket.socket):
    """Socket that connects to where no answer comes from."""

    def __init__(self, nowhere):
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self.setblocking(False)
        self._nowhere = nowhere

    def connect(self, address):
        super().connect(self._nowhere)


def _start_connecting(server):
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.connect_ex(server.getsockname())
    return connecting


class Links:
    """The connections of all hosts to targets."""

    def __init__(self, open_socket):
        self._open_socket = open_socket
        self.targets = []
        self._target_ports = set()
        self._mode_by_host = {}
        self._sockets_by_host = {}
        # Accepts connections in its backlog only.
        self._nowhere = socket.create_server(('127.0.0.1', 0), backlog=1_024)
        # Drops what is sent to it, as its backlog is full.
        self._full = socket.create_server(('127.0.0.1', 0), backlog=0)
        self._filling = [_start_connecting(self._full) for _ in range(4)]

    async def start_host(self, system, name):
        """Start a host whose connections are told apart by its name."""
        _host.set(name)
        self._sockets_by_host[name] = []
        await system.start_host(name)
        _host.set('')

    def add_target(self, target):
        """Count the connections to a target as links."""
        self.targets.append(target)
        self._target_ports.add(int(target.address.rpartition(':')[2]))

    def cut(self, names, mode):
        """Let the links of hosts fail in one of ``MODES``."""
        for name in names:
            self._mode_by_host[name] = mode
            for opened in self._sockets_by_host[name]:
                self._break(opened, mode)

    def heal(self):
        """End all cuts."""
        self._mode_by_host.clear()

    def open(self, address, **options):
        """Open a socket for a connection; stands in for the product's."""
        host, port = _host.get(), address[4][1]
        if port not in self._target_ports:
            return self._open_socket(address, **options)
        mode = self._mode_by_host.get(host, '')
        if mode in {'refused', 'kept'}:
            raise ConnectionRefusedError('no link')
        if mode == 'hang':
            opened = _LostSocket(self._full.getsockname())
        elif mode:
            opened = _LostSocket(self._nowhere.getsockname())
        else:
            opened = self._open_socket(address, **options)
        if mode == 'reset':
            asyncio.get_running_loop().call_later(
                0.005, self._break, opened, mode
            )
        self._sockets_by_host[host].append(opened)
        return opened

    def _break(self, opened, mode):
        if opened.fileno() < 0 or mode == 'kept':
            return
        if mode == 'hang':
            # What the target sends is lost from here on; the host waits.
            _silence(opened)
            return
        with contextlib.suppress(OSError):
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            opened.shutdown(socket.SHUT_RDWR)


def _silence(opened):
    """Replace what a socket reads by silence, without closing it."""
    near, far = socket.socketpair()
    near.setblocking(False)
    _silent.append(far)
    # The event loop polls the descriptor, which now never becomes readable.
    os.dup2(near.fileno(), opened.fileno())
    near.close()


_silent = []


@contextlib.contextmanager
def controlled_links():
    """Yield the links of the hosts that are started meanwhile."""
    replaced = connections._open_socket
    links = Links(replaced)
    connections._open_socket = links.open
    try:
        yield links
    finally:
        connections._open_socket = replaced
        for opened in _silent:
            opened.close()
        _silent.clear()
