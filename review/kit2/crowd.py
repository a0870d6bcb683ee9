"""
Crowd
~~~~~

A crowd of clients that send requests without the last byte of their bodies and
stay open, beside ordinary callers, at two hosts whose memory is bounded.
"""

import asyncio

from kit2 import kit

BODY_BYTES = 1_000
# Half of the channels that a host accepts from callers.
CHANNELS = 1_000
CHANNELS_AT_ONCE = 50
INTERVAL_S = 0.1
RUN_S = 40.0
ORDINARY_INTERVAL_S = 0.2
# The rule: three ends on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


def unfinished(path, lines):
    """Return a request with these header lines and an unfinished body."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {kit.HOST_NAME}\r\n'
        'Bergamotstream-Attempt-Id: h1\r\n'
        'Bergamotstream-Deadline-Ms: 10000\r\n'
        f'{lines}Content-Length: {BODY_BYTES}\r\n\r\n'
    ).encode() + b'x' * (BODY_BYTES - 1)


async def _serve(worker, request, reader, writer):
    await asyncio.sleep(0.02)
    writer.write(kit.response(request, b'whole'))


async def _hold(host, sent, counts):
    """Send an unfinished request and stay open until the host closes."""
    channel = None
    try:
        channel = await kit.Channel.open(host.front)
        channel.writer.write(sent)
        status, _, _ = await channel.read_answer()
        counts[status] = counts.get(status, 0) + 1
        await channel.reader.read()
    except (OSError, EOFError, TimeoutError) as fault:
        name = type(fault).__name__
        counts[name] = counts.get(name, 0) + 1
    finally:
        if channel is not None:
            channel.close()


async def _press(host, sent, end, counts):
    """Keep a number of unfinished requests open at a host."""
    held = set()
    while kit.now() < end:
        room = min(CHANNELS - len(held), CHANNELS_AT_ONCE)
        for _ in range(room):
            task = asyncio.ensure_future(_hold(host, sent, counts))
            held.add(task)
            task.add_done_callback(held.discard)
        await asyncio.sleep(INTERVAL_S)
    for task in tuple(held):
        task.cancel()


async def _call_hosts(hosts, end):
    """Send ordinary requests to the hosts in turn; return the statuses."""
    calls = []
    while kit.now() < end:
        number = len(calls)
        host = hosts[number % len(hosts)]
        calls.append(
            asyncio.ensure_future(
                kit.call(host, '/lookup/1', f'o{number}', method='GET')
            )
        )
        await asyncio.sleep(ORDINARY_INTERVAL_S)
    return [status for status, _, _ in await asyncio.gather(*calls)]


async def play(record, sent, is_troubled):
    """Let the crowd send ``sent``; return the exit code of the case.

    Without trouble there are ordinary callers only.
    """
    async with kit.System(2) as system:
        for number in range(2):
            await system.add_worker(f'w{number}', _serve)
        await system.start()
        await asyncio.sleep(kit.CONTACT_S + 0.5)
        platform = kit.Platform(system.hosts, record)
        platform.begin()
        end = kit.now() + RUN_S
        counts = {}
        pressing = []
        if is_troubled:
            record.write(len(sent), 'bytes each,', CHANNELS, 'channels a host')
            pressing = [
                asyncio.ensure_future(_press(host, sent, end, counts))
                for host in system.hosts
            ]
        answers = await _call_hosts(system.hosts, end)
        platform.end()
        for task in pressing:
            task.cancel()
        record.write('ends of unfinished requests:', counts)
        record.write(
            f'ordinary {len(answers)} served {answers.count(200)}',
            f'without an answer {answers.count(0)}',
        )
        record.write('highest memory in MB:', platform.highest_mb)
        record.write('ends:', platform.ends)
        ended = sum(count >= ENDS for count in platform.ends.values())
        if ended >= MACHINES:
            record.write('Fault is broken: the processes end by themselves')
            return kit.BROKEN
        return kit.HELD
