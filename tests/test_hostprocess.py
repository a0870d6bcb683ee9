"""Real host processes that are killed, paused and stopped by signals."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp

from tests import platformkit as kit

ROOT = pathlib.Path(__file__).parent.parent
# A dead host may be named for so long: contact_ms and 3 s.
NAMED_LIMIT_S = 6.0
SETTINGS = """
node_name = "{name}"
ip = "127.0.0.1"
zone = "rosario"
internal_ports = [{peer_port}, {peer_port}]
[zones]
rosario = "ar-litoral"
[listen]
front = "{caller}"
readiness = "{readiness}"
directory = "{directory}"
[bounds]
grace_s = 8
drain_ms = 2000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 100
ttl_max_s = 5
hold_max_ms = 20000
[platform]
address = "{store}"
value_bytes = 1048576
ttl_min_ms = 1000
"""


class HostProcess:
    """One host as a process of its own."""

    def __init__(self, folder, name, store_address):
        self.caller, self.readiness, self.directory = (
            kit.address() for _ in range(3)
        )
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                peer_port=kit.free_port(),
                caller=self.caller,
                readiness=self.readiness,
                directory=self.directory,
                store=store_address,
            )
        )
        self.log = folder / f'{name}.log'
        self.process = None

    def start(self):
        environment = os.environ | {
            'BERGAMOTSTREAM_BOOT': str(self.settings),
            'BERGAMOTSTREAM_LISTEN': f'{self.caller},{self.directory}',
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'bergamotstream.forwarding'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.process.send_signal(number)

    async def named(self):
        """Return the addresses that this host's directory names."""
        url = f'http://{self.directory}/resolve?name=x&zone=rosario'
        try:
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as got:
                    body = json.loads(await got.read())
                    return body['addresses']
        except aiohttp.ClientError:
            return []


async def until(condition, limit_s=NAMED_LIMIT_S):
    """Wait until a coroutine function returns true."""
    async with asyncio.timeout(limit_s):
        while not await condition():
            await asyncio.sleep(0.1)


async def test_hosts_survive_kills_pauses_and_stops(tmp_path):
    """Guards against a dead host that is named, and a stop that cuts."""

    async def slow(request, writer):
        await asyncio.sleep(0.5)
        writer.write(kit.answer(request))

    system = kit.System()
    await system.store.start()
    await system.store.put('op/config', kit.configuration_document())
    store_address = '{0}:{1}'.format(*system.store._listener._address)
    hosts = [
        HostProcess(tmp_path, f'h{number}', store_address)
        for number in range(2)
    ]
    first, second = hosts
    both = sorted((first.caller, second.caller))

    async def names_both():
        return await second.named() == both

    async def names_second():
        return await second.named() == [second.caller]

    async with kit.raw_target(slow) as target:
        await system.store.put(
            'servers/t1', kit.target_document(target.address)
        )
        try:
            for host in hosts:
                host.start()
            await until(names_both, 10)
            first.signal(signal.SIGKILL)
            await until(names_second)
            first.start()
            await until(names_both, 10)
            first.signal(signal.SIGSTOP)
            await until(names_second)
            first.signal(signal.SIGCONT)
            await until(names_both, 10)
            system.settings = [
                kit.make_settings()._replace(caller_address=first.caller)
            ]
            call = asyncio.ensure_future(system.call('/lookup/1'))
            await asyncio.sleep(0.2)
            first.signal(signal.SIGTERM)
            assert (await call)[0] == 200
            await until(names_second, 2)
            assert await asyncio.to_thread(first.process.wait, 8) == 0
            assert 'event=stopped' in first.log.read_text()
        finally:
            for host in hosts:
                if host.process is not None:
                    host.process.kill()
                    host.process.wait()
            await system.store.stop()
