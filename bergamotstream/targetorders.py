"""
Orders to targets
~~~~~~~~~~~~~~~~~

Sends operators' orders (load a model, adapter or version, change the role) to
targets. Only the owner of the target's partition sends orders, one at a time,
with a fencing number. If the target does not check the number, a new holder
waits until the send window of the previous holder has ended, and then reads
the state of the target.
"""

from collections.abc import Generator, Mapping
from typing import Any

from bergamotstream import (
    actions,
    components,
    errors,
    events,
    fencing,
    kvflows,
    loadbudget,
    partitions,
    records,
    state,
)

COMMAND = 'target.order'
KINDS = frozenset(('load', 'adapter', 'version', 'role'))
LOADING_KINDS = frozenset(('load', 'adapter', 'version'))
STATE_ORDER: Mapping[str, Any] = {'kind': 'state'}
TURN_POLL_MS = 100
# Longest time that an order waits for earlier orders of its partition.
MAX_TURN_WAIT_MS = 20_000

Body = dict[str, Any]
BodyFlow = Generator[kvflows.Step, Any, Body]


class TargetOrders(components.Component):
    """Sends orders to the targets of the partitions that this host owns."""

    name = 'orders'

    def __init__(self, shared: state.HostState) -> None:
        """Create the component without a fencing number."""
        super().__init__(shared)
        self._runner = kvflows.FlowRunner('orders/')
        self._budget = loadbudget.LoadBudget(self._now_ms)
        self._holders_by_partition: dict[str, fencing.FenceHolder] = {}
        self._renewals: list[kvflows.Flow] = []

    @components.handles(events.AdminAsked)
    def on_admin_asked(self, event: events.AdminAsked) -> components.Actions:
        """Run ``target.order``; its arguments are target and order."""
        if event.command != COMMAND:
            return []
        return self._runner.start(self._run_command(event), self.state.now_ms)

    @components.handles(events.KvAnswered)
    def on_kv_answered(self, event: events.KvAnswered) -> components.Actions:
        """Resume the flow that waits for this answer."""
        produced = self._runner.handle_kv_answer(event, self.state.now_ms)
        return produced + self._start_renewals()

    @components.handles(events.OrderAnswered)
    def on_order_answered(
        self, event: events.OrderAnswered
    ) -> components.Actions:
        """Resume the flow that waits for this order."""
        produced = self._runner.handle_order_answer(event, self.state.now_ms)
        return produced + self._start_renewals()

    @components.handles(events.Tick)
    def on_tick(self, _event: events.Tick) -> components.Actions:
        """Resume flows whose pause has ended."""
        produced = self._runner.tick(self.state.now_ms)
        return produced + self._start_renewals()

    @components.handles(events.PartitionLost)
    def on_partition_lost(
        self, event: events.PartitionLost
    ) -> components.Actions:
        """Stop sending orders to the targets of the partition."""
        holder = self._holders_by_partition.pop(event.partition, None)
        if holder is not None:
            holder.lost = True
        return []

    def _now_ms(self) -> int:
        return self.state.now_ms

    def _run_command(self, event: events.AdminAsked) -> kvflows.Flow:
        try:
            body = yield from self._execute(event.arguments)
        except errors.ServiceError as fault:
            body = {
                'detail': fault.detail,
                'remedy': fault.remedy,
                'run_state': fault.run_state,
                'retry_after_ms': fault.retry_after_ms,
            }
            return [actions.AnswerAdmin(event.query_id, fault.code, body)]
        return [actions.AnswerAdmin(event.query_id, '', body)]

    def _execute(self, arguments: Mapping[str, Any]) -> BodyFlow:
        target, service = self._check_arguments(arguments)
        order = arguments['order']
        partition = partitions.targets_partition(target, service)
        holder = yield from self._wait_for_turn(partition)
        with holder.lock():
            return (
                yield from self._send_fenced(holder, target, service, order)
            )

    def _check_arguments(
        self, arguments: Mapping[str, Any]
    ) -> tuple[records.TargetInfo, records.ServiceConfig]:
        target = self.state.targets_by_name.get(str(arguments.get('target')))
        if target is None:
            raise errors.InvalidRequest('target: there is no such target')
        order = arguments.get('order')
        if not isinstance(order, dict) or order.get('kind') not in KINDS:
            kinds = ', '.join(sorted(KINDS))
            raise errors.InvalidRequest(
                f'order: its kind must be one of {kinds}'
            )
        bundle = self.state.bundle
        if bundle is None:
            raise errors.ConfigurationUnknown()
        if target.service not in bundle.services_by_name:
            raise errors.UnknownService(target.service)
        return target, bundle.services_by_name[target.service]

    def _holder(self, partition: str) -> fencing.FenceHolder:
        if not self.state.owns(partition):
            owner = self.state.owner_of(partition) or 'no host'
            raise errors.NoOwner(f'{owner} owns {partition}, send it there')
        holder = self._holders_by_partition.get(partition)
        if holder is None or holder.lost:
            self._holders_by_partition[partition] = fencing.FenceHolder(
                partition,
                self.state.settings,
                self._now_ms,
                self.state.new_id(),
            )
        return self._holders_by_partition[partition]

    def _wait_for_turn(
        self, partition: str
    ) -> Generator[kvflows.Step, Any, fencing.FenceHolder]:
        since_ms = self.state.now_ms
        holder = self._holder(partition)
        while holder.busy:
            if self.state.now_ms - since_ms > MAX_TURN_WAIT_MS:
                raise errors.Overloaded('another order is still running')
            yield kvflows.Pause(TURN_POLL_MS)
            holder = self._holder(partition)
        return holder

    def _send_fenced(
        self,
        holder: fencing.FenceHolder,
        target: records.TargetInfo,
        service: records.ServiceConfig,
        order: Body,
    ) -> BodyFlow:
        yield from holder.ensure_window()
        if not service.checks_fencing:
            remaining_ms = holder.exclusive_from_ms - self.state.now_ms
            if remaining_ms > 0:
                yield kvflows.Pause(remaining_ms)
            current = yield from self._send_order(holder, target, STATE_ORDER)
            if _is_applied(current.state, order):
                return {'target': target.name, 'state': dict(current.state)}
        send = self._send_order
        if order['kind'] in LOADING_KINDS:
            send = self._send_with_budget
        done = yield from send(holder, target, order)
        return {'target': target.name, 'state': dict(done.state)}

    def _send_with_budget(
        self,
        holder: fencing.FenceHolder,
        target: records.TargetInfo,
        order: Mapping[str, Any],
    ) -> Generator[kvflows.Step, Any, events.OrderAnswered]:
        nonce = self.state.new_id()
        yield from self._budget.acquire(nonce)
        self._renewals.append(self._budget.renew(nonce))
        with self._budget.holding(nonce):
            return (yield from self._send_order(holder, target, order))

    def _send_order(
        self,
        holder: fencing.FenceHolder,
        target: records.TargetInfo,
        order: Mapping[str, Any],
    ) -> Generator[kvflows.Step, Any, events.OrderAnswered]:
        yield from holder.ensure_window()
        answers = yield kvflows.OrderStep(
            actions.SendOrder(
                order_id='',
                target=target.name,
                address=target.address,
                fence=holder.number,
                order=order,
            )
        )
        if answers[0].status != 'done':
            raise errors.TargetFailed(
                f'{target.name}: {answers[0].status}', run_state='may_have_run'
            )
        return answers[0]

    def _start_renewals(self) -> components.Actions:
        produced: components.Actions = []
        while self._renewals:
            flow = self._renewals.pop()
            produced.extend(self._runner.start(flow, self.state.now_ms))
        return produced


def _is_applied(
    target_state: Mapping[str, Any], order: Mapping[str, Any]
) -> bool:
    """Return whether a target already has the state that an order asks."""
    requested = {name: order[name] for name in order if name != 'kind'}
    return bool(requested) and all(
        target_state.get(name) == value for name, value in requested.items()
    )
