"""A host without its links refuses requests with long heads for good."""

import asyncio
import pathlib

from parts import kit

PARTS = 1_000
REQUESTS = 20
# Proper requests that may be refused: 5, and one in 500.
ALLOWED = 5 + REQUESTS / 500


async def case(system, trouble):
    workers = [
        kit.Worker(system, f'i-model-{number}', 'asistente',
                   zone=kit.ZONES[number % 3], serve=kit.stream_answer)
        for number in range(4)
    ]
    await system.start(
        kit.config(
            1,
            [kit.route('catalogo', '/catalogo/', 'streaming', 'asistente',
                       timeout_ms=15_000, goal_ms=3_000, gap_target_ms=800,
                       resumable=True, sticky=True)],
            [kit.service('asistente', engine=kit.ENGINE)],
            {'taller': ['key-1']},
        ),
        workers,
    )
    host = system.hosts[0]
    parts = ','.join(f'{0x5c1e0000 + part:x}:40' for part in range(PARTS))
    long_head = (
        'Bergamotstream-Model: m\r\nBergamotstream-Token-Counts: 40000,900\r\n'
        f'Bergamotstream-Prompt-Prefix: {parts}\r\n'
    )
    short_head = 'Bergamotstream-Model: m\r\nBergamotstream-Token-Counts: 40000,900\r\n'
    if len(long_head) > 16_384 - 400:
        raise RuntimeError('longer than max_header_bytes')

    async def send(extra):
        return (await system.send(host.front, '/catalogo/1', 'key-1', 15_000, extra=extra))[1]

    if (await send(long_head)).status != 200:
        raise RuntimeError('no sound start')
    if trouble:
        await system.cut(host)
    # Longer than contact_ms; the host finds out with these.
    for _ in range(6):
        await send(short_head)
    await asyncio.sleep(1.0)
    results = {'long': [], 'short': []}
    for _ in range(REQUESTS):
        # Two requests at a time, one with a long head and one with a short one.
        answers = await asyncio.gather(send(long_head), send(short_head))
        for listed, answer in zip(results.values(), answers, strict=True):
            listed.append(answer.status)
    for name, statuses in results.items():
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        system.record.say(f'{name} heads ({REQUESTS} requests), answers by status: {counts}')
    denied = sum(
        300 <= status < 500 and status not in (408, 421, 429)
        for status in results['long']
    )
    return kit.BROKEN if denied > ALLOWED else kit.HELD


if __name__ == '__main__':
    kit.main(pathlib.Path(__file__).parent, 3, case)
