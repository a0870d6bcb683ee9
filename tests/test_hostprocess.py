"""Real host processes that are killed, paused and stopped by signals."""

import asyncio
import contextlib
import signal
import socket

import pytest

from bergamotstream.forwarding import listensockets
from tests import hostprocesskit
from tests import platformkit as kit


async def test_hosts_survive_kills_pauses_and_stops(tmp_path):
    """Guards against listing a dead host and cutting off requests at a stop."""

    async def slow(request, writer):
        await asyncio.sleep(0.5)
        writer.write(kit.answer(request))

    system = kit.System()
    await system.store.start()
    await system.store.put('op/config', kit.configuration_document())
    store_address = '{0}:{1}'.format(*system.store._listener._address)
    hosts = [
        hostprocesskit.HostProcess(tmp_path, f'h{number}', store_address)
        for number in range(2)
    ]
    first, second = hosts
    both_addresses = sorted((first.caller, second.caller))

    async def lists_both():
        return await second.resolved_addresses() == both_addresses

    async def lists_second():
        return await second.resolved_addresses() == [second.caller]

    async with kit.raw_target(slow) as target:
        await system.store.put(
            'servers/t1', kit.target_document(target.address)
        )
        try:
            for host in hosts:
                host.start()
            await hostprocesskit.wait_until(lists_both, 10)
            first.signal(signal.SIGKILL)
            await hostprocesskit.wait_until(lists_second)
            first.start()
            await hostprocesskit.wait_until(lists_both, 10)
            first.signal(signal.SIGSTOP)
            await hostprocesskit.wait_until(lists_second)
            first.signal(signal.SIGCONT)
            await hostprocesskit.wait_until(lists_both, 10)
            system.settings = [
                kit.make_settings()._replace(caller_address=first.caller)
            ]
            call = asyncio.ensure_future(system.call('/lookup/1'))
            await asyncio.sleep(0.2)
            first.signal(signal.SIGTERM)
            assert (await call)[0] == 200
            await hostprocesskit.wait_until(lists_second, 2)
            assert await asyncio.to_thread(first.process.wait, 8) == 0
            assert 'event=stopped' in first.log.read_text()
        finally:
            for host in hosts:
                if host.process is not None:
                    host.process.kill()
                    host.process.wait()
            await system.store.stop()


async def test_killed_hosts_still_refuse_a_crashing_request(tmp_path):
    """Guards against blame that ends with the processes of all hosts."""

    async def crash(request, writer):
        kit.reset(writer)

    system = kit.System()
    await system.store.start()
    await system.store.put('op/config', kit.configuration_document())
    store_address = '{0}:{1}'.format(*system.store._listener._address)
    host = hostprocesskit.HostProcess(tmp_path, 'h1', store_address)
    system.settings = [kit.make_settings()._replace(caller_address=host.caller)]

    async def listed():
        return await host.resolved_addresses() == [host.caller]

    async def recorded():
        return any('/blamed/' in key for key in system.store.kv.items_by_key)

    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(system.store.stop)
        targets = [
            await stack.enter_async_context(kit.raw_target(crash))
            for _ in range(4)
        ]
        for number, target in enumerate(targets):
            document = kit.target_document(target.address)
            await system.store.put(f'servers/t{number}', document)
        try:
            host.start()
            await hostprocesskit.wait_until(listed, 10)
            await system.call('/lookup/1', b'crash')
            for number, target in enumerate(targets):
                if target.received:
                    await system.store.delete(f'servers/t{number}')
            await hostprocesskit.wait_until(recorded)
            host.signal(signal.SIGKILL)
            await asyncio.to_thread(host.process.wait)
            host.start()
            await hostprocesskit.wait_until(listed, 10)
            status, headers, _ = await system.call('/lookup/1', b'crash')
            assert status == 503
            assert float(headers['Retry-After']) > 0
            assert sum(len(target.received) for target in targets) == 2
            await system.call('/lookup/1', b'other')
            assert sum(len(target.received) for target in targets) == 4
        finally:
            if host.process is not None:
                host.process.kill()
                host.process.wait()


def test_reserved_address_is_kept_for_its_server():
    """Guards against a port that another process takes before its server.

    Soak, seeds 3016 and 3044: a host could not start, 'Address already in use'.
    """
    reserved = kit.address()
    ip, _, port = reserved.rpartition(':')
    with socket.socket() as other, pytest.raises(OSError, match='in use'):
        other.bind((ip, int(port)))
    with listensockets.open_listener(reserved) as listener:
        assert listener.getsockname() == (ip, int(port))


async def test_host_refuses_one_address_for_two_servers(tmp_path):
    """Guards against a host that ends with a fault when it is stopped.

    Soak, seed 4: 'ValueError: Invalid file descriptor: -1' below asyncio.run;
    two servers had closed one listen socket.
    """
    host = hostprocesskit.HostProcess(tmp_path, 'h0', kit.address())
    text = host.settings.read_text()
    host.settings.write_text(text.replace(host.readiness, host.directory))
    host.start()
    try:
        code = await asyncio.to_thread(host.process.wait, 20)
    finally:
        host.process.kill()
    log = host.log.read_text()
    assert 'ValueError' not in log
    assert code == 2
    assert 'listen.readiness' in log
    assert 'listen.directory' in log


EXIT_HANDLER = """
import atexit, time
atexit.register(time.sleep, 20)
"""


async def test_stopped_host_ends_whatever_its_libraries_do(tmp_path):
    """Guards against hosts that are killed at the end of their grace time.

    On slow machines the end of the interpreter took longer than what was left
    of it; here a library's exit handler does.
    """
    root = tmp_path / 'root'
    root.mkdir()
    package = hostprocesskit.ROOT / 'bergamotstream'
    (root / 'bergamotstream').symlink_to(package)
    (root / 'sitecustomize.py').write_text(EXIT_HANDLER)
    system = kit.System()
    await system.store.start()
    await system.store.put('op/config', kit.configuration_document())
    address = '{0}:{1}'.format(*system.store._listener._address)
    host = hostprocesskit.HostProcess(tmp_path, 'h1', address)
    try:
        host.start(root)
        async with asyncio.timeout(10):
            while 'event=readiness' not in host.log.read_text():
                await asyncio.sleep(0.05)
        host.signal(signal.SIGTERM)
        # The grace time.
        async with asyncio.timeout(8):
            while host.process.poll() is None:
                await asyncio.sleep(0.05)
        assert host.process.returncode == 0
        assert 'event=stopped' in host.log.read_text()
    finally:
        host.process.kill()
        host.process.wait()
        await system.store.stop()
