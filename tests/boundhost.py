"""Runs a host whose connections come from an address of its own.

Proxies and targets tell hosts of one machine apart by it, to cut the links of
one of them. While a file with ports exists, connections to these are refused.
"""

import os
import pathlib
import runpy
import socket

from bergamotstream.forwarding import connections

# Linux; chooses the port at connect time, so that ports are not used up.
IP_BIND_ADDRESS_NO_PORT = 24
SOURCE_IP = 'TEST_SOURCE_IP'
CUT_FILE = 'TEST_CUT_FILE'


def bind_connections():
    """Let all connections come from the address in the environment."""
    open_socket = connections._open_socket
    cut_file = pathlib.Path(os.environ[CUT_FILE])

    def open_bound(address, **options):
        port = str(address[4][1])
        if cut_file.exists() and port in cut_file.read_text().split():
            raise ConnectionRefusedError('no link')
        opened = open_socket(address, **options)
        opened.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        opened.bind((os.environ[SOURCE_IP], 0))
        return opened

    connections._open_socket = open_bound


if __name__ == '__main__':
    bind_connections()
    runpy.run_module('bergamotstream.forwarding', run_name='__main__')
