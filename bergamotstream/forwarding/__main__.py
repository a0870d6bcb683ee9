"""
Start of a host
~~~~~~~~~~~~~~~

Runs an entry host: ``python3 -m bergamotstream.forwarding``. The sockets are
opened before the libraries are imported, which takes most of a start.
"""

import importlib
import os
import sys
from typing import Final

from bergamotstream import errors
from bergamotstream.forwarding import listening
from bergamotstream.platform import bootsettings

EXIT_INVALID_SETTINGS: Final = 2
# Hosts use no TLS. Without this the HTTP library reads all certificates of the
# system when it is imported, a third of the time of a start.
NO_CERTIFICATES: Final = {'SSL_CERT_FILE': os.devnull}


def main() -> None:
    """Run an entry host with the settings that the platform hands over."""
    try:
        config = bootsettings.load(bootsettings.settings_path())
    except errors.InvalidSettings as fault:
        sys.stderr.write(f'{fault.detail}\n{fault.remedy}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    listeners = listening.open_listeners(config)
    os.environ.update(NO_CERTIFICATES)
    hostdaemon = importlib.import_module('bergamotstream.forwarding.hostdaemon')
    hostdaemon.run(config, listeners)


if __name__ == '__main__':
    main()
