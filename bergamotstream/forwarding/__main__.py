"""
Start of a host
~~~~~~~~~~~~~~~

Runs an entry host: ``python3 -S -m bergamotstream.forwarding``. Sockets are
opened before settings are read and libraries are imported, which takes most of
a start. Without ``-S`` the interpreter first looks for packages of the system,
none of which a host uses.
"""

import importlib
import os

from bergamotstream.forwarding import listensockets

# Addresses to listen on at once, from the deploy file.
LISTEN_VARIABLE = 'BERGAMOTSTREAM_LISTEN'
# Hosts use no TLS. Without this the HTTP library reads all certificates of the
# system when it is imported, a third of the time of a start.
NO_CERTIFICATES = {'SSL_CERT_FILE': os.devnull}


def main() -> None:
    """Run an entry host with the settings that the platform hands over."""
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
