"""Entry hosts as separate processes."""

import asyncio
import json
import os
import pathlib
import subprocess
import sys

import aiohttp

from tests import boundhost
from tests import platformkit as kit

PROGRAM = 'bergamotstream.forwarding'
ROOT = pathlib.Path(__file__).parent.parent
# A dead host may stay listed for this time: contact_ms and 3 s.
RESOLVE_TIMEOUT_S = 6.0
SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
internal_ports = [{peer_port}, {peer_port}]
[listen]
front = "{caller}"
readiness = "{readiness}"
directory = "{directory}"
[bounds]
grace_s = 8
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
[platform]
address = "{store}"
"""


class HostProcess:
    """One host as a separate process."""

    def __init__(
        self, folder, name, store_address, source_ip='', zone='rosario'
    ):
        self.name = name
        self.zone = zone
        # The address that its connections come from, if not the usual one.
        self.source_ip = source_ip
        self.caller, self.readiness, self.directory = (
            kit.address() for _ in range(3)
        )
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                peer_port=kit.free_port(),
                caller=self.caller,
                readiness=self.readiness,
                directory=self.directory,
                store=store_address,
            )
        )
        self.log = folder / f'{name}.log'
        # Ports to which connections are refused while it exists.
        self.cut_file = folder / f'{name}.cut'
        self.process = None

    def start(self, root=ROOT):
        """Start the host of the checkout, or of another work tree."""
        environment = os.environ | {
            'BERGAMOTSTREAM_BOOT': str(self.settings),
            'BERGAMOTSTREAM_LISTEN': f'{self.caller},{self.directory}',
            'PYTHONPATH': str(root),
            boundhost.SOURCE_IP: self.source_ip,
            boundhost.CUT_FILE: str(self.cut_file),
        }
        # The program of the tests by its path, as older builds have another.
        program = (boundhost.__file__,) if self.source_ip else ('-m', PROGRAM)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    # SIGABRT then prints where a host hangs.
                    *('-X', 'faulthandler'),
                    *program,
                ],
                cwd=root,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def resolved_addresses(self):
        """Return the addresses in the answer of this host's directory."""
        url = f'http://{self.directory}/resolve?name=x&zone={self.zone}'
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    body = json.loads(await response.read())
                    return body['addresses']
        except aiohttp.ClientError:
            return []


async def wait_until(condition, timeout_s=RESOLVE_TIMEOUT_S):
    """Wait until a coroutine function returns true."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.1)
