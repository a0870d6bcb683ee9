"""Real host processes that are killed, paused and stopped by signals."""

import asyncio
import signal

from tests import hostprocesskit
from tests import platformkit as kit


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
        hostprocesskit.HostProcess(tmp_path, f'h{number}', store_address)
        for number in range(2)
    ]
    first, second = hosts
    both = sorted((first.caller, second.caller))

    async def names_both():
        return await second.resolved_addresses() == both

    async def names_second():
        return await second.resolved_addresses() == [second.caller]

    async with kit.raw_target(slow) as target:
        await system.store.put(
            'servers/t1', kit.target_document(target.address)
        )
        try:
            for host in hosts:
                host.start()
            await hostprocesskit.wait_until(names_both, 10)
            first.signal(signal.SIGKILL)
            await hostprocesskit.wait_until(names_second)
            first.start()
            await hostprocesskit.wait_until(names_both, 10)
            first.signal(signal.SIGSTOP)
            await hostprocesskit.wait_until(names_second)
            first.signal(signal.SIGCONT)
            await hostprocesskit.wait_until(names_both, 10)
            system.settings = [
                kit.make_settings()._replace(caller_address=first.caller)
            ]
            call = asyncio.ensure_future(system.call('/lookup/1'))
            await asyncio.sleep(0.2)
            first.signal(signal.SIGTERM)
            assert (await call)[0] == 200
            await hostprocesskit.wait_until(names_second, 2)
            assert await asyncio.to_thread(first.process.wait, 8) == 0
            assert 'event=stopped' in first.log.read_text()
        finally:
            for host in hosts:
                if host.process is not None:
                    host.process.kill()
                    host.process.wait()
            await system.store.stop()
