"""
Daemon
~~~~~~

``bergamotstreamd``: the entry host. It reads its settings, builds the core
and serves until SIGTERM has let all open requests finish.
"""

import asyncio
import contextlib
import secrets
import signal
import sys

import defopt
from absl import logging

from bergamotstream import (
    corebuilder,
    errors,
    events,
    hostprocess,
    keyvalues,
    peerlinks,
    plugins,
    settings,
    settingscheck,
)

EXIT_INVALID_SETTINGS = 2
INCARNATION_BYTES = 4


def build(config: settings.Settings) -> hostprocess.HostProcess:
    """Build the process of one host; needs a running event loop."""
    incoming: asyncio.Queue[events.Event] = asyncio.Queue()
    plugins.import_plugins('bergamotstream.keyvalues')
    client_type = keyvalues.get_client_by_name(config.platform.kv_client)
    return hostprocess.HostProcess(
        config,
        corebuilder.build_core(config, secrets.token_hex(INCARNATION_BYTES)),
        client_type(config.platform.kv, config.timing.kv_timeout_ms),
        incoming,
        peerlinks.PeerLinks(config, incoming),
    )


async def serve(config: settings.Settings) -> None:
    """Serve until stopped by SIGTERM or SIGINT."""
    process = build(config)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.request_stop)
    await process.run()


def main(*, config: str, check: bool = False) -> None:
    """Run an entry host.

    :param config: TOML settings file
    :param check: only check the settings; the exit status is 2 if wrong
    """
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    try:
        loaded = settingscheck.load_checked(config)
    except errors.InvalidSettings as fault:
        sys.stderr.write(f'{fault.detail}\n{fault.remedy}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    if check:
        sys.stdout.write(f'{config}: valid\n')
        return
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(loaded))


def run() -> None:
    """Run with the arguments of the command line."""
    defopt.run(main)


if __name__ == '__main__':
    run()
