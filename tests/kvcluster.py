"""Cores of several hosts around one key-value store, in virtual time."""

import heapq
import itertools
import random

from bergamotstream import actions, core, events, records, settings
from standins import kvstore

KV_ACTIONS = (
    actions.KvRead,
    actions.KvWrite,
    actions.KvDelete,
    actions.KvWatch,
)


def host_settings(name, **fields):
    """Return settings of a host without real addresses."""
    return settings.Settings(
        host=name,
        availability_zone='z1',
        cell='c1',
        caller_address='127.0.0.1:1',
        peer_address='127.0.0.1:2',
        platform=settings.Platform(kv='', host_list=''),
        **fields,
    )


class Cluster:
    """Delivers messages and key-value answers; ``now_ms`` is virtual."""

    def __init__(self, names, kinds, seed=1):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.kv = kvstore.VirtualKv()
        self.hosts_without_kv = set()
        self.kv_delay_ms = lambda: 2
        self.cores_by_host = {
            name: core.HostCore(host_settings(name), 'i1', kinds)
            for name in names
        }
        self.answers_by_query = {}
        self.sent = []
        self.raised = []
        self._numbers = itertools.count()
        self._queue = []

    def state(self, host):
        return self.cores_by_host[host].state

    def call_later(self, delay_ms, function, *arguments):
        entry = (self.now_ms + delay_ms, next(self._numbers))
        heapq.heappush(self._queue, (*entry, function, arguments))

    def handle(self, host, event):
        """Pass one event to a core and execute its actions."""
        if host not in self.cores_by_host:
            return
        produced = self.cores_by_host[host].handle(event, self.now_ms)
        for action in produced:
            self._carry_out(host, action)

    def run(self, duration_ms, tick_ms=25):
        """Advance virtual time."""
        end_ms = self.now_ms + duration_ms
        for tick in range(0, duration_ms, tick_ms):
            for host in self.cores_by_host:
                self.call_later(tick, self.handle, host, events.Tick())
        while self._queue and self._queue[0][0] < end_ms:
            due_ms, _, function, arguments = heapq.heappop(self._queue)
            self.now_ms = max(due_ms, self.now_ms)
            function(*arguments)
            self._answer_watches()
        self.now_ms = end_ms

    def run_command(self, host, command, wait_ms=5_000, **arguments):
        """Run an operator's command and return its answer."""
        query_id = self.submit_command(host, command, **arguments)
        self.run(wait_ms)
        return self.answers_by_query[query_id]

    def submit_command(self, host, command, **arguments):
        query_id = f'q{next(self._numbers)}'
        arguments.setdefault('wall_ms', self.now_ms)
        event = events.AdminAsked(query_id, command, arguments)
        self.call_later(0, self.handle, host, event)
        return query_id

    def _carry_out(self, host, action):
        if isinstance(action, KV_ACTIONS):
            self.call_later(self.kv_delay_ms(), self._perform, host, action)
        elif isinstance(action, actions.SendMessage):
            self.sent.append((host, action))
            received = events.MessageReceived(host, action.message)
            self.call_later(3, self.handle, action.host, received)
        elif isinstance(action, actions.AnswerAdmin):
            self.answers_by_query[action.query_id] = action

    def _perform(self, host, action):
        named = action._replace(operation_id=f'{host}|{action.operation_id}')
        if host in self.hosts_without_kv:
            answered = events.KvAnswered(named.operation_id, 'unavailable')
        else:
            answered = self.kv.perform(named)
        if answered is not None:
            self.deliver(answered, self.kv_delay_ms())
        else:
            self.call_later(30_000, self._end_watch, named.operation_id)

    def _end_watch(self, operation_id):
        if operation_id in self.kv.watches_by_operation:
            self.deliver(self.kv.end_watch(operation_id), 0)

    def deliver(self, answered, delay_ms):
        host, _, operation_id = answered.operation_id.partition('|')
        answered = answered._replace(operation_id=operation_id)
        self.call_later(delay_ms, self.handle, host, answered)

    def _answer_watches(self):
        for answered in self.kv.due_watches():
            self.deliver(answered, self.kv_delay_ms())


def share_versions(cluster):
    """Set at each host the other hosts' versions, as heartbeats do."""
    hosts = list(cluster.cores_by_host)
    for host in hosts:
        state = cluster.state(host)
        state.live_peers = set(hosts) - {host}
        state.cell_record = records.CellRecord(1, tuple(hosts))
        state.config_version_by_host = {
            peer: bundle.version
            for peer in hosts
            if peer != host and (bundle := cluster.state(peer).bundle)
        }
