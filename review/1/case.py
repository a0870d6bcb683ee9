"""A worker's answer is followed by bytes without end; the host hangs."""

import asyncio
import pathlib

from parts import kit

TIMEOUT_MS = 1_500
DEADLINE_MS = 4_000
# A tenth of a worker's link.
BYTES_PER_S = 10_000_000
GARBAGE = b'\n' * 65_536


async def endless(worker, attempt, headers, reader, writer):
    """Write bytes that are no answer until the caller closes."""
    writer.write(kit.stream_head(worker, attempt))
    sent = 0
    try:
        while True:
            writer.write(kit.chunk(GARBAGE))
            await writer.drain()
            sent += len(GARBAGE)
            await asyncio.sleep(len(GARBAGE) / BYTES_PER_S)
    finally:
        worker.system.record('worker_closed', worker=worker.name, id=attempt, bytes=sent)


async def case(system, trouble):
    serve = endless if trouble else kit.stream_answer
    workers = [
        kit.Worker(system, 'i-plain-1', 'mostrador', slots=6),
        kit.Worker(system, 'i-plain-2', 'mostrador', slots=6, zone='santa-fe'),
        kit.Worker(system, 'i-model-1', 'asistente', serve=serve),
    ]
    await system.start(
        kit.config(
            1,
            [
                kit.route('cotizar', '/cotizar/', 'streaming', 'asistente',
                          timeout_ms=10_000, goal_ms=300, gap_target_ms=200,
                          resumable=True, sticky=True),
                kit.route('confirmar', '/confirmar/', 'non_idempotent', 'mostrador',
                          timeout_ms=TIMEOUT_MS, attempts=1),
            ],
            [kit.service('mostrador', max_conns=96),
             kit.service('asistente', engine=kit.ENGINE)],
            {'taller': ['key-1']},
        ),
        workers,
    )
    # Longer than contact_ms: the machines are in touch.
    await asyncio.sleep(3.5)
    host = system.hosts[0]
    for _ in range(5):
        _, answer = await system.send(host.front, '/confirmar/1', 'key-1', DEADLINE_MS)
        if answer.status != 200:
            raise RuntimeError('no sound start')
    # One stream at this host.
    attempt, request = system.request(
        host.front, '/cotizar/1', 'key-1', 10_000,
        extra='Bergamotstream-Model: m\r\nBergamotstream-Token-Counts: 5000,1600\r\n',
    )
    stream = asyncio.ensure_future(kit.drain(host.front, request, 12))
    await asyncio.sleep(0.3)
    # Orders of other consumers at the same host, to sound workers, and at
    # another host: these show that neither workers nor consumers are late.
    orders = {entry: [] for entry in system.hosts[:2]}
    for _ in range(24):
        for entry, sent in orders.items():
            sent.append(
                asyncio.ensure_future(
                    system.send(entry.front, '/confirmar/1', 'key-1', DEADLINE_MS)
                )
            )
        await asyncio.sleep(0.2)
    results = {
        entry: await asyncio.gather(*sent) for entry, sent in orders.items()
    }
    system.record('stream_ended', id=attempt, bytes_and_fault=await stream)
    runs = {attempt for worker in workers for attempt in worker.runs}
    late_by_host = {}
    for entry, sent in results.items():
        limit_s = TIMEOUT_MS / 1000
        open_then = [answer for _, answer in sent if answer.took_s > limit_s]
        late = [
            answer for answer in open_then
            if answer.took_s > limit_s + 0.5 or not answer.complete
        ]
        lost = [attempt for attempt, answer in sent if not answer.complete]
        system.record.say(
            f'{entry.name}: {len(sent)} orders; unanswered at timeout_ms: '
            f'{len(open_then)}; of these without an answer half a second later: '
            f'{len(late)}; never answered: {len(lost)}, of which '
            f'{len(runs.intersection(lost))} have run'
        )
        late_by_host[entry] = len(late) >= 8 and len(late) > len(open_then) / 2
    if late_by_host[system.hosts[1]]:
        raise RuntimeError('the stand-ins are too slow')
    return kit.BROKEN if late_by_host[host] else kit.HELD


if __name__ == '__main__':
    kit.main(pathlib.Path(__file__).parent, 3, case)
