"""
Host entry point
~~~~~~~~~~~~~~~~

Runs an entry host: ``python3 -S -m bergamotstream.forwarding``. Listen
sockets are opened before settings are read and libraries are imported, which
takes most of the start-up time. ``-S`` skips the search for site packages,
none of which a host uses.
"""

import importlib
import os

from bergamotstream.forwarding import listensockets

# Comma-separated addresses to listen on immediately, from the deploy file.
LISTEN_VARIABLE = 'BERGAMOTSTREAM_LISTEN'
# Hosts use no TLS. Without this the HTTP library loads all system certificates
# when it is imported, which takes a third of the start-up time.
NO_CERTIFICATES = {'SSL_CERT_FILE': os.devnull}


def main() -> None:
    """Run an entry host with the settings that the platform provides."""
    addresses = os.environ.get(LISTEN_VARIABLE, '').split(',')
    listeners = {
        address: listensockets.open_listener(address)
        for address in addresses
        if address
    }
    os.environ.update(NO_CERTIFICATES)
    hostdaemon = importlib.import_module('bergamotstream.forwarding.hostdaemon')
    hostdaemon.main(listeners)


if __name__ == '__main__':
    main()
