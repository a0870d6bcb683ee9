"""
Sequences of key-value operations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A flow is a generator that yields a batch of key-value actions, an order to a
target or a pause, and is resumed with the answers in the same order. It returns
the actions for the shell. :class:`FlowRunner` keeps the flows of one component.
"""

import itertools
from collections.abc import Generator, Sequence
from typing import NamedTuple

from bergamotstream import actions, components, errors, events, records

KvAction = actions.KvRead | actions.KvWrite | actions.KvDelete | actions.KvWatch
Answers = list[events.KvAnswered]
Answer = events.KvAnswered | events.OrderAnswered


class Pause(NamedTuple):
    """Resume the flow after a duration in milliseconds."""

    duration_ms: int


class OrderStep(NamedTuple):
    """Send an order; the flow is resumed with a list of its one answer."""

    action: actions.SendOrder


Step = Sequence[KvAction] | Pause | OrderStep
Flow = Generator[Step, Answers, components.Actions]

WRITE_TRIES = 5
WRITE_PAUSE_MS = 200
RETRY_AFTER_MS = 1_000


class _Running:
    """A flow that waits for ``missing`` answers."""

    def __init__(self, flow: Flow) -> None:
        self.flow = flow
        self.answers_by_operation: dict[str, Answer | None] = {}

    def complete(self) -> bool:
        return None not in self.answers_by_operation.values()

    def take_answers(self) -> list[Answer]:
        answers = self.answers_by_operation.values()
        self.answers_by_operation = {}
        return [answered for answered in answers if answered]


class FlowRunner:
    """Starts and resumes flows; ``prefix`` marks their operation ids."""

    def __init__(self, prefix: str) -> None:
        """Start without flows."""
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._running_by_operation: dict[str, _Running] = {}
        self._paused: list[tuple[_Running, int]] = []

    def start(self, flow: Flow, now_ms: int) -> components.Actions:
        """Run a flow up to its first operations."""
        return self._resume(_Running(flow), None, now_ms)

    def handle_kv_answer(
        self, answered: events.KvAnswered, now_ms: int
    ) -> components.Actions:
        """Resume the flow that waits for an answer, if there is one."""
        return self._answer(answered.operation_id, answered, now_ms)

    def handle_order_answer(
        self, answered: events.OrderAnswered, now_ms: int
    ) -> components.Actions:
        """Resume the flow that waits for an order, if there is one."""
        return self._answer(answered.order_id, answered, now_ms)

    def _answer(
        self, operation_id: str, answered: Answer, now_ms: int
    ) -> components.Actions:
        running = self._running_by_operation.pop(operation_id, None)
        if running is None:
            return []
        running.answers_by_operation[operation_id] = answered
        if not running.complete():
            return []
        return self._resume(running, running.take_answers(), now_ms)

    def tick(self, now_ms: int) -> components.Actions:
        """Resume the flows whose pause has ended."""
        due = [running for running, end_ms in self._paused if end_ms <= now_ms]
        self._paused = [entry for entry in self._paused if entry[1] > now_ms]
        produced: components.Actions = []
        for running in due:
            produced.extend(self._resume(running, [], now_ms))
        return produced

    def _resume(
        self,
        running: _Running,
        answers: Sequence[Answer] | None,
        now_ms: int,
    ) -> components.Actions:
        try:
            # The first call of a generator's send() takes None.
            step = running.flow.send(answers)  # type: ignore[arg-type]
        except StopIteration as end:
            return end.value
        if isinstance(step, Pause):
            self._paused.append((running, now_ms + step.duration_ms))
            return []
        if isinstance(step, OrderStep):
            return [step.action._replace(order_id=self._expect(running))]
        return [
            action._replace(operation_id=self._expect(running))
            for action in step
        ]

    def _expect(self, running: _Running) -> str:
        """Return a new identifier whose answer the flow waits for."""
        operation_id = f'{self._prefix}{next(self._numbers)}'
        running.answers_by_operation[operation_id] = None
        self._running_by_operation[operation_id] = running
        return operation_id


def read_items(
    key: str, *, prefix: bool = False
) -> Generator[Step, Answers, tuple[records.KvItem, ...]]:
    """Read a key or a prefix; raises ``KvUnavailable``."""
    answers = yield (actions.KvRead('', key, prefix),)
    if answers[0].status != 'ok':
        raise errors.KvUnavailable(key, retry_after_ms=RETRY_AFTER_MS)
    return answers[0].items


def write_item(
    key: str, value: bytes, expected_revision: int
) -> Generator[Step, Answers, events.KvAnswered]:
    """Write until the answer is certain: ``ok`` or ``conflict``.

    After a lost answer the same write is sent again. Reading back would not
    do: a delayed write can still take effect after the read. A conflict with
    the same value means that the lost write took effect; a caller whose
    value others may have replaced since looks for its nonce instead. Raises
    ``KvUnavailable`` with the run state.
    """
    uncertain = False
    for _ in range(WRITE_TRIES):
        answers = yield (actions.KvWrite('', key, value, expected_revision),)
        status = answers[0].status
        if status in {'ok', 'conflict'}:
            return _recognise(answers[0], value)
        if status == 'unavailable' and not uncertain:
            raise errors.KvUnavailable(key, retry_after_ms=RETRY_AFTER_MS)
        uncertain = True
        yield Pause(WRITE_PAUSE_MS)
    raise errors.KvUnavailable(
        f'{key}: the answer was lost, read before repeating',
        run_state='may_have_run',
        retry_after_ms=RETRY_AFTER_MS,
    )


def _recognise(answered: events.KvAnswered, value: bytes) -> events.KvAnswered:
    if answered.status == 'conflict' and answered.items:
        if answered.items[0].value == value:
            return answered._replace(status='ok')
    return answered
