"""The store comes back from a copy; a later configuration is never applied."""

import asyncio
import pathlib

from parts import kit

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


def configuration(version, timeout_ms, *, is_last=False):
    routes = [
        kit.route('confirmar', '/confirmar/', 'non_idempotent', 'mostrador',
                  timeout_ms=timeout_ms, attempts=1),
    ]
    keys = {'taller': ['key-1'], 'cooperativa': ['key-2', 'key-3']}
    if is_last:
        # One more route, and a key less.
        routes.append(
            kit.route('hoja-trabajo', '/hoja/', 'idempotent', 'mostrador',
                      timeout_ms=timeout_ms)
        )
        keys['cooperativa'] = ['key-2']
    return kit.config(
        version, routes, [kit.service('mostrador', max_conns=96)], keys
    )


async def case(system, trouble):
    workers = [
        kit.Worker(system, f'i-plain-{number}', 'mostrador', slots=6,
                   zone=kit.ZONES[number])
        for number in range(3)
    ]
    await system.start(configuration(7, 1_500), workers)
    for host in system.hosts:
        for key in ('key-1', 'key-2', 'key-3'):
            _, answer = await system.send(host.front, '/confirmar/1', key, 1_500)
            if answer.status != 200:
                raise RuntimeError('no sound start')
    copied = system.store.take_copy()
    # Configurations in quick succession.
    for version in range(9, 29, 2):
        await asyncio.sleep(0.33)
        await system.store.write(
            'op/config', configuration(version, 1_500 + 10 * version)
        )
    await asyncio.sleep(0.5)
    if trouble:
        system.store.go_away()
        system.record('store', away=True)
        await asyncio.sleep(1.0)
        await system.store.come_back(copied)
        system.record('store', back=True, era=system.store.era, rev=system.store.state.revision)
    else:
        await asyncio.sleep(1.0)
    calls = system.store.calls
    # Long enough that the store is stable and all machines are in touch.
    await asyncio.sleep(2 * CONTACT_S)
    calls = system.store.calls - calls
    revision = await system.store.write(
        'op/config', configuration(30, 1_800, is_last=True)
    )
    system.record('operator', acknowledged='version 30', rev=revision)
    wrong = []
    for turn in range(6):
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        for host in system.hosts:
            attempt, answer = await system.send(host.front, '/confirmar/1', 'key-3', 1_500)
            if any(attempt in worker.runs for worker in workers):
                wrong.append('run with a key that is dropped')
            attempt, answer = await system.send(host.front, '/hoja/1', 'key-2', 1_500)
            if answer.status == 404:
                wrong.append('refused with 404 though the route is there')
        if turn == 2:
            # The revision goes on, beyond all that the hosts have seen.
            for number in range(3, 15):
                worker = kit.Worker(system, f'i-plain-{number}', 'mostrador', slots=6)
                system.workers.append(worker)
                workers.append(worker)
                await worker.start()
    for kind in sorted(set(wrong)):
        system.record.say(f'{wrong.count(kind)} of 18 requests: {kind}')
    system.record.say(
        f'{len(wrong)} of 36 requests, sent 2.5 to 16 s after the ack, were handled '
        f'as only an older version allows; store calls in 6 s before it: {calls}, '
        f'refused with 429: {system.store.calls_refused}'
    )
    return kit.BROKEN if wrong else kit.HELD


if __name__ == '__main__':
    kit.main(pathlib.Path(__file__).parent, 3, case)
