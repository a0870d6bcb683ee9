"""
Sequences of key-value operations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A flow is a generator that yields a batch of key-value actions, an order to a
target or a pause, and is resumed with the answers in the same order. It returns
actions to perform. :class:`FlowRunner` runs the flows of one component.
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

WRITE_ATTEMPTS = 5
WRITE_RETRY_DELAY_MS = 200
RETRY_AFTER_MS = 1_000


class _SuspendedFlow:
    """A flow and the answers to its outstanding operations."""

    def __init__(self, flow: Flow) -> None:
        self.flow = flow
        self.answers_by_operation: dict[str, Answer | None] = {}

    def has_all_answers(self) -> bool:
        return None not in self.answers_by_operation.values()

    def pop_answers(self) -> list[Answer]:
        answers = self.answers_by_operation.values()
        self.answers_by_operation = {}
        return [answered for answered in answers if answered]


class FlowRunner:
    """Starts and resumes flows; operation ids start with ``prefix``."""

    def __init__(self, prefix: str) -> None:
        """Create a runner without flows."""
        self._prefix = prefix
        self._operation_numbers = itertools.count(1)
        self._suspended_by_operation: dict[str, _SuspendedFlow] = {}
        self._paused: list[tuple[_SuspendedFlow, int]] = []

    def start(self, flow: Flow, now_ms: int) -> components.Actions:
        """Run a flow up to its first operations."""
        return self._resume(_SuspendedFlow(flow), None, now_ms)

    def handle_kv_answer(
        self, answered: events.KvAnswered, now_ms: int
    ) -> components.Actions:
        """Resume the flow that waits for this answer, if any."""
        return self._answer(answered.operation_id, answered, now_ms)

    def handle_order_answer(
        self, answered: events.OrderAnswered, now_ms: int
    ) -> components.Actions:
        """Resume the flow that waits for this order, if any."""
        return self._answer(answered.order_id, answered, now_ms)

    def _answer(
        self, operation_id: str, answered: Answer, now_ms: int
    ) -> components.Actions:
        suspended = self._suspended_by_operation.pop(operation_id, None)
        if suspended is None:
            return []
        suspended.answers_by_operation[operation_id] = answered
        if not suspended.has_all_answers():
            return []
        return self._resume(suspended, suspended.pop_answers(), now_ms)

    def tick(self, now_ms: int) -> components.Actions:
        """Resume the flows whose pause has ended."""
        due = [
            suspended for suspended, end_ms in self._paused if end_ms <= now_ms
        ]
        self._paused = [entry for entry in self._paused if entry[1] > now_ms]
        produced: components.Actions = []
        for suspended in due:
            produced.extend(self._resume(suspended, [], now_ms))
        return produced

    def _resume(
        self,
        suspended: _SuspendedFlow,
        answers: Sequence[Answer] | None,
        now_ms: int,
    ) -> components.Actions:
        try:
            # The first call of a generator's send() takes None.
            step = suspended.flow.send(answers)  # type: ignore[arg-type]
        except StopIteration as end:
            return end.value
        if isinstance(step, Pause):
            self._paused.append((suspended, now_ms + step.duration_ms))
            return []
        if isinstance(step, OrderStep):
            return [
                step.action._replace(
                    order_id=self._register_operation(suspended)
                )
            ]
        return [
            action._replace(operation_id=self._register_operation(suspended))
            for action in step
        ]

    def _register_operation(self, suspended: _SuspendedFlow) -> str:
        """Return the id of a new operation that the flow waits for."""
        operation_id = f'{self._prefix}{next(self._operation_numbers)}'
        suspended.answers_by_operation[operation_id] = None
        self._suspended_by_operation[operation_id] = suspended
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
    """Write and retry until the result is ``ok`` or ``conflict``.

    After a lost answer the same write is sent again. Reading the key instead
    is not enough: a delayed write can still take effect after the read. A
    conflict with the same value means that the lost write took effect. A
    caller whose value another writer may have replaced since then searches
    for its nonce instead. Raises ``KvUnavailable`` with the run state.
    """
    uncertain = False
    for _ in range(WRITE_ATTEMPTS):
        answers = yield (actions.KvWrite('', key, value, expected_revision),)
        status = answers[0].status
        if status in {'ok', 'conflict'}:
            return _resolve_lost_write(answers[0], value)
        if status == 'unavailable' and not uncertain:
            raise errors.KvUnavailable(key, retry_after_ms=RETRY_AFTER_MS)
        uncertain = True
        yield Pause(WRITE_RETRY_DELAY_MS)
    raise errors.KvUnavailable(
        f'{key}: the answer was lost, read the key before retrying',
        run_state='may_have_run',
        retry_after_ms=RETRY_AFTER_MS,
    )


def _resolve_lost_write(
    answered: events.KvAnswered, value: bytes
) -> events.KvAnswered:
    if answered.status == 'conflict' and answered.items:
        if answered.items[0].value == value:
            return answered._replace(status='ok')
    return answered
