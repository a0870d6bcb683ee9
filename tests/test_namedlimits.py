"""Targets in need that name the request rate which they take from all hosts."""

import asyncio

import pytest

from tests import platformkit as kit

# The operators' bound: from CONTACT_S after a target named its limit, it gets in
# WINDOW_S at most this multiple of what the limit allows and a fixed number.
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_SLACK = 5
LOAD_PER_S = 25
LOAD_S = 10.0


class LimitedTarget:
    """Names its limit in all answers, and notes when requests arrive."""

    def __init__(self, limit):
        self.arrived_s = []
        self._limit = limit

    async def respond(self, request, writer):
        self.arrived_s.append(asyncio.get_running_loop().time())
        limit = f'Server-Limit: {self._limit}\r\n' if self._limit else ''
        path = request.request_line.split()[1]
        if path.startswith('/chat/'):
            extra = f'{limit}Transfer-Encoding: chunked\r\n'
            events = kit.chunk(kit.event(1)) + b'0\r\n\r\n'
            writer.write(kit.stream_head(request, extra) + events)
        else:
            await asyncio.sleep(0.05)
            writer.write(kit.answer(request, extra=limit))


def most_in_window(arrived_s, from_s):
    """Return the most requests in a window that begins at or after a time."""
    counted = [at_s for at_s in arrived_s if at_s >= from_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in counted)
            for start_s in counted
        ),
        default=0,
    )


async def call_steadily(system, path):
    """Call all hosts in turn; return the statuses."""
    async with asyncio.TaskGroup() as group:
        calls = []
        for number in range(int(LOAD_PER_S * LOAD_S)):
            host = number % len(system.daemons)
            call = system.call(f'{path}{number}', host=host)
            calls.append(group.create_task(call))
            await asyncio.sleep(1 / LOAD_PER_S)
    return [call.result()[0] for call in calls]


@pytest.mark.parametrize('limit', ['1', '1.1'])
@pytest.mark.parametrize('path', ['/lookup/', '/chat/'])
async def test_named_limit_of_a_target_holds_for_all_hosts(path, limit):
    """Guards against hosts that send more than a target in need takes."""
    limited = LimitedTarget(limit)
    others = (LimitedTarget(''), LimitedTarget(''))
    async with (
        kit.running_system(hosts=4) as system,
        kit.raw_target(limited.respond) as first,
        kit.raw_target(others[0].respond) as second,
        kit.raw_target(others[1].respond) as third,
    ):
        service = 'model' if path == '/chat/' else 'plain'
        for number, target in enumerate((first, second, third)):
            await system.add_target(f't{number}', target, service=service)
        statuses = await call_steadily(system, path)
    most = most_in_window(limited.arrived_s, limited.arrived_s[0] + CONTACT_S)
    assert most <= ALLOWED_RATIO * float(limit) * WINDOW_S + ALLOWED_SLACK
    assert most >= WINDOW_S * float(limit) / 2
    assert statuses.count(200) >= len(statuses) * 0.98
