"""Order, shares and drain of waiting requests, and the same with real hosts."""

import asyncio
import math
import random

import hypothesis
import pytest
from hypothesis import strategies

from bergamotstream.forwarding.waiting import drain, order, shares
from tests import platformkit as kit

PLACES = 4
SERVICE_S = 0.1
LARGE_PER_S = 200
SMALL_PER_S = 5
SECONDS = 4
KEYS = {'large': 'key-large', 'small': 'key-small'}
AMOUNTS = strategies.lists(strategies.integers(0, 50), max_size=12)


@hypothesis.given(strategies.integers(1, 60), AMOUNTS)
def test_shares_use_all_room(room, wanted):
    """Guards against places that idle while a workspace could use them."""
    level = shares.fair_level(room, wanted)
    used = sum(min(demand, level) for demand in wanted)
    assert used == pytest.approx(min(room, sum(wanted)))
    if sum(wanted) <= room:
        assert level == math.inf


def test_small_workspace_is_below_its_share():
    """Guards against a share that counts requests of another workspace."""
    assert shares.fair_level(4, [200, 1]) == 3
    assert shares.fair_level(4, [200, 200]) == 2


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.integers(0, 3),
            strategies.integers(0, 9),
        )
    )
)
def test_order_holds_within_each_rank(added):
    """Guards against requests that overtake others which go before them."""
    queue = order.WaitQueue()
    keys = [
        queue.add(rank, end_ms, is_above_share=is_above)
        for is_above, rank, end_ms in added
    ]
    left = []
    while queue:
        first = next(queue.firsts())
        assert queue.count_before(first) == 0
        queue.remove(first)
        left.append(first)
    for rank in range(4):
        mine = [key for key in left if key.rank == rank]
        assert mine == sorted(key for key in keys if key.rank == rank)


def test_newcomer_waits_behind_its_like_only():
    """Guards against short prompts that wait for long ones."""
    queue = order.WaitQueue()
    queue.add(5, 100, is_above_share=False)
    assert queue.has_before(5, 200, is_above_share=False)
    assert not queue.has_before(5, 50, is_above_share=False)
    assert not queue.has_before(3, 200, is_above_share=True)


def test_retry_delay_follows_the_drain():
    """Guards against callers that come back before there is room."""
    drained = drain.Drain(random.Random(1))
    assert drained.retry_after_ms('s', 10, 0) is None
    drained.begin('s', 0)
    for at_ms in range(0, 2_000, 50):
        drained.record_placed('s', at_ms)
    delays = [drained.retry_after_ms('s', 40, 1_999) for _ in range(50)]
    # 40 places in 2 s, and 40 requests to come.
    assert min(delays) >= 1_999
    assert max(delays) <= 3_000
    assert len(set(delays)) > 10
    drained.end('s')
    assert drained.wait_ms('s', 1, 2_000) is None


async def press(system, key, per_s, statuses):
    """Send requests of a workspace to all hosts in turn."""
    calls = []
    for number in range(per_s * SECONDS):
        calls.append(
            asyncio.ensure_future(
                system.call(
                    f'/lookup/{key}{number}',
                    host=number % len(system.settings),
                    Api_Key=key,
                    Bergamotstream_Attempt_Id=f'{key}-{number}',
                )
            )
        )
        await asyncio.sleep(1 / per_s)
    for call in calls:
        statuses.append((await call)[0])


@pytest.mark.parametrize('hosts', [1, 3])
@pytest.mark.parametrize('urgent', ['large', 'small'])
async def test_small_workspace_is_served_beside_a_large_one(hosts, urgent):
    """Guards against a workspace that takes all places of a target.

    One plain target sheds what exceeds its places and a short queue.
    """
    running = 0
    served = []

    async def respond(request, writer):
        nonlocal running
        if running >= PLACES * 2:
            writer.write(refused(request))
            return
        running += 1
        async with places:
            await asyncio.sleep(SERVICE_S)
        running -= 1
        served.append(request)
        writer.write(kit.answer(request))

    places = asyncio.Semaphore(PLACES)
    document = kit.configuration_document(
        tenants=[
            {
                'name': name,
                'api_keys': [key],
                'priority': int(name != urgent),
            }
            for name, key in KEYS.items()
        ],
        routes=[
            kit.route(
                'lookup', '/lookup/', 'idempotent', timeout_ms=4_000, attempts=1
            )
        ],
    )
    async with (
        kit.running_system(hosts=hosts, document=document) as system,
        kit.raw_target(respond) as target,
    ):
        await system.add_target('t1', target, slots=PLACES)
        statuses = {name: [] for name in KEYS}
        await asyncio.gather(
            press(system, KEYS['large'], LARGE_PER_S, statuses['large']),
            press(system, KEYS['small'], SMALL_PER_S, statuses['small']),
        )
    small = statuses['small']
    assert small.count(200) >= 0.95 * len(small)
    # The target is as busy as it can be, less the start and the end.
    assert len(served) >= 0.8 * PLACES / SERVICE_S * SECONDS


def refused(request):
    """Return the answer of a target that is full."""
    return (
        f'HTTP/1.1 503 Full\r\n{kit.ATTEMPT}: {request.headers[kit.ATTEMPT]}\r\n'
        f'{kit.NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n'
    ).encode()
