"""Order of answers that wait until they fit into memory, without a network."""

import asyncio

import hypothesis
from hypothesis import strategies

from bergamotstream.forwarding import answerroom

ALLOWED = 1_000_000
LARGE = 600_000


class Answers:
    """Answers that are received until the test ends them."""

    def __init__(self):
        self.room = answerroom.AnswerRoom(ALLOWED)
        self.received = []
        self.held_bytes = 0
        self.most_bytes = 0
        self.ends = []
        self.tasks = []

    async def start(self, size):
        """Start to receive an answer, and let it go as far as it can."""
        self.ends.append(asyncio.Event())
        self.tasks.append(
            asyncio.create_task(self._receive(len(self.tasks), size))
        )
        await settle()

    async def end(self, number):
        """End an answer that is received."""
        self.ends[number].set()
        await settle()

    async def cancel(self, number):
        """End the request that an answer is for."""
        self.tasks[number].cancel()
        await settle()

    async def _receive(self, number, size):
        async with self.room.reserved(size):
            self.received.append(number)
            self.held_bytes += size
            self.most_bytes = max(self.most_bytes, self.held_bytes)
            try:
                await self.ends[number].wait()
            finally:
                self.held_bytes -= size


async def settle():
    """Let all tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


async def test_answer_is_received_once_those_before_it_have_ended():
    """Guards against large answers that end each other, all incomplete."""
    answers = Answers()
    for size in (LARGE, LARGE, ALLOWED // 2):
        await answers.start(size)
    assert (answers.received, len(answers.room)) == ([0], 2)
    await answers.end(0)
    assert answers.received == [0, 1]
    await answers.end(1)
    assert answers.received == [0, 1, 2]
    await answers.end(2)
    assert not len(answers.room)


async def test_short_answer_does_not_wait():
    """Guards against ordinary answers behind a crowd of large ones."""
    answers = Answers()
    for size in (LARGE, LARGE, answerroom.SHORT_BYTES):
        await answers.start(size)
    assert answers.received == [0, 2]
    for number in range(3):
        await answers.end(number)


async def test_answer_longer_than_the_room_is_received_alone():
    """Guards against an answer that no other can make room for."""
    answers = Answers()
    await answers.start(ALLOWED * 3)
    await answers.start(LARGE)
    assert answers.received == [0]
    await answers.end(0)
    assert answers.received == [0, 1]
    await answers.end(1)


async def test_answer_is_received_after_a_wait_in_vain(monkeypatch):
    """Guards against a target that cuts off what stays unread for long."""
    monkeypatch.setattr(answerroom, 'MAX_WAIT_S', 0.01)
    answers = Answers()
    await answers.start(LARGE)
    await answers.start(LARGE)
    async with asyncio.timeout(5):
        while answers.received != [0, 1]:
            await asyncio.sleep(0.01)
    await answers.end(1)
    await answers.start(LARGE)
    # The first still holds its room.
    assert answers.received == [0, 1]
    await answers.end(0)
    assert answers.received == [0, 1, 2]
    await answers.end(2)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['start', 'end', 'cancel']),
            strategies.integers(0, 9),
        ),
        max_size=40,
    )
)
def test_room_is_neither_lost_nor_granted_twice(steps):
    """Guards against room that a cancelled request keeps, or frees twice."""
    asyncio.run(_play(steps))


async def _play(steps):
    answers = Answers()
    for step, place in steps:
        if step == 'start':
            await answers.start((place + 1) * ALLOWED // 10)
        elif place < len(answers.tasks):
            await getattr(answers, step)(place)
        assert answers.held_bytes <= ALLOWED
        is_held = any(not task.done() for task in answers.tasks)
        assert bool(answers.held_bytes) == is_held
    for number in range(len(answers.tasks)):
        await answers.end(number)
    assert all(task.done() for task in answers.tasks)
    await answers.start(ALLOWED)
    assert answers.held_bytes == ALLOWED
    await answers.end(len(answers.tasks) - 1)
