"""Orders to targets: fencing, windows of old holders and the load budget."""

import asyncio

import aiohttp
import pytest
from aiohttp import test_utils

from bergamotstream import actions, events, records, targetorders
from standins import weightstore
from tests import kvcluster

PARTITION = 'targets:asistente:rosario:0'
LOAD = {'kind': 'load', 'model': 'm2'}
ROLE = {'kind': 'role', 'role': 'prefill'}


class OrderCluster(kvcluster.Cluster):
    """Answers orders after ``order_ms`` and records when each was sent."""

    def __init__(self, hosts, *, checks_fencing=True):
        super().__init__(hosts, [targetorders.TargetOrders])
        self.order_ms = 10
        self.orders = []
        self.target_state = {}
        service = records.ServiceConfig(
            'asistente', 'model', checks_fencing=checks_fencing
        )
        for host in hosts:
            state = self.state(host)
            state.bundle = records.Bundle(1, {}, {'asistente': service})
            state.targets_by_name = {
                name: records.TargetInfo(name, 'asistente', 'rosario', 'a')
                for name in ('t1', 't2')
            }

    def own(self, host):
        for other in self.cores_by_host:
            self.state(other).owned_partitions.discard(PARTITION)
        self.state(host).owned_partitions.add(PARTITION)

    def order(self, host, order, target='t1'):
        return self.submit_command(
            host, 'target.order', target=target, order=order
        )

    def _carry_out(self, host, action):
        super()._carry_out(host, action)
        if isinstance(action, actions.SendOrder):
            self.orders.append((self.now_ms, host, action))
            answered = events.OrderAnswered(
                action.order_id, 'done', dict(self.target_state)
            )
            self.call_later(self.order_ms, self.handle, host, answered)


def codes(cluster, queries):
    return [cluster.answers_by_query[query].code for query in queries]


def test_new_holder_has_a_higher_number_and_the_old_one_stops():
    """Guards against two holders that send orders to one target."""
    cluster = OrderCluster(['h1', 'h2'])
    cluster.own('h1')
    queries = [cluster.order('h1', ROLE)]
    cluster.run(1_000)
    cluster.own('h2')
    queries.append(cluster.order('h2', ROLE))
    cluster.run(1_000)
    # h1 still believes that it owns the partition; its window has ended.
    cluster.state('h1').owned_partitions.add(PARTITION)
    queries.append(cluster.order('h1', ROLE))
    cluster.run(1_000)
    assert codes(cluster, queries) == ['', '', 'no_owner']
    assert [sent.fence for _, _, sent in cluster.orders] == [1, 2]


def test_target_without_fencing_is_ordered_after_the_old_window():
    """Guards against an order of the old holder after one of the new."""
    cluster = OrderCluster(['h1', 'h2'], checks_fencing=False)
    cluster.own('h1')
    cluster.order('h1', ROLE)
    cluster.run(2_100)
    cluster.order('h1', ROLE)
    cluster.run(100)
    cluster.own('h2')
    taken_ms = cluster.now_ms
    last = cluster.order('h2', ROLE)
    cluster.run(3_000)
    assert codes(cluster, [last]) == ['']
    ours = [sent for sent in cluster.orders if sent[1] == 'h2']
    assert [sent.order['kind'] for _, _, sent in ours] == ['state', 'role']
    assert ours[0][0] >= taken_ms + 2_020


def test_order_that_is_already_done_is_not_repeated():
    """Guards against a repeated load after a change of holder."""
    cluster = OrderCluster(['h1'], checks_fencing=False)
    cluster.own('h1')
    cluster.target_state = {'model': 'm2'}
    query = cluster.order('h1', LOAD)
    cluster.run(3_000)
    assert cluster.answers_by_query[query].body['state'] == {'model': 'm2'}
    assert [sent.order['kind'] for _, _, sent in cluster.orders] == ['state']


@pytest.mark.parametrize('fault', ['down', 'lose_answers'])
def test_outage_sends_no_order(fault):
    """Guards against orders sent without a confirmed fencing number."""
    cluster = OrderCluster(['h1'])
    cluster.own('h1')
    setattr(cluster.kv, fault, True)
    query = cluster.order('h1', ROLE)
    cluster.run(3_000)
    answer = cluster.answers_by_query[query]
    assert (answer.code, answer.body['run_state']) == (
        'kv_unavailable',
        'not_run',
    )
    assert not cluster.orders
    setattr(cluster.kv, fault, False)
    first, second = cluster.order('h1', ROLE), cluster.order('h1', ROLE)
    cluster.run(3_000)
    assert codes(cluster, [first, second]) == ['', '']


def test_slow_service_sends_no_order_outside_the_window():
    """Guards against an order sent after the window has ended."""
    cluster = OrderCluster(['h1'])
    cluster.own('h1')
    cluster.kv_delay_ms = lambda: 1_100
    query = cluster.order('h1', ROLE)
    cluster.run(20_000)
    assert codes(cluster, [query]) == ['kv_unavailable']
    assert not cluster.orders


def test_loads_run_one_at_a_time_across_hosts():
    """Guards against loads that exceed the limit of the weight store."""
    cluster = OrderCluster(['h1', 'h2'])
    cluster.order_ms = 30_000
    for host in ('h1', 'h2'):
        cluster.state(host).owned_partitions.add(PARTITION)
    first = cluster.order('h1', LOAD)
    cluster.run(1_000)
    second = cluster.order('h2', LOAD, target='t2')
    cluster.run(75_000)
    assert codes(cluster, [first, second]) == ['', '']
    times = [sent_ms for sent_ms, _, _ in cluster.orders]
    assert times[1] - times[0] >= 30_000


def test_slot_of_a_dead_host_is_free_again():
    """Guards against loads that wait forever for a host that died."""
    cluster = OrderCluster(['h1', 'h2'])
    cluster.order_ms = 10**9
    cluster.own('h1')
    cluster.order('h1', LOAD)
    cluster.run(1_000)
    cluster.cores_by_host.pop('h1')
    cluster.own('h2')
    cluster.order('h2', LOAD)
    cluster.run(30_000)
    assert [host for _, host, _ in cluster.orders] == ['h1', 'h2']


async def test_weight_store_rejects_loads_over_its_limit():
    """Guards against a stand-in that accepts loads over its limit."""
    store = weightstore.WeightStore(200_000, 2_000_000, 1)
    async with (
        test_utils.TestServer(store.application()) as server,
        aiohttp.ClientSession() as session,
    ):
        url = server.make_url('/weights/m2')

        async def load():
            async with session.get(url) as response:
                return response.status, len(await response.read())

        answers = await asyncio.gather(load(), load())
        assert sorted(answers) == [(200, 200_000), (429, 0)]
        assert (await load())[0] == 200
