"""
Cell fake
~~~~~~~~~

Several host cores with membership and ownership in one process: a network
with delays, cut links and loss, a KV with outages and lost answers, and hosts
that pause and restart. Each host has its own clock offset and drift.
"""

import heapq
import itertools
import json
import random

from bergamotstream import (
    actions,
    clock,
    core,
    events,
    membership,
    ownership,
    records,
    settings,
)

STEP_MS = 25
ZONES = ('zone-a', 'zone-b', 'zone-c')
LIMITS = settings.Limits(account_partitions=3, claim_partitions=1)
DRIFTS = (0.995, 1.0, 1.005)


class CellFake:
    """A cell of hosts ``h0``, ``h1``, ... and the network between them."""

    def __init__(self, count, seed=1):
        self.clock = clock.ManualClock(1_000_000)
        self.rng = random.Random(seed)
        self.cores_by_host, self.clocks_by_host, self.delayed_events = (
            {},
            {},
            {},
        )
        self.listed, self.paused, self.killed, self.cut_links = (
            {},
            set(),
            set(),
            set(),
        )
        self.loss_rate = 0.0
        self.kv_status, self.kv_lossy, self.kv_item = 'ok', False, None
        self.kv_calls = 0
        self._queue, self._number = [], itertools.count()
        for index in range(count):
            self.start(f'h{index}')

    def start(self, name):
        """Start or restart a host with a new incarnation and clock."""
        self.listed[name] = self.host_info(name)
        config = settings.Settings(
            name,
            self.listed[name].availability_zone,
            'cell-1',
            '127.0.0.1:1',
            '127.0.0.1:1',
            settings.Platform('', ''),
            limits=LIMITS,
        )
        component_classes = (membership.Membership, ownership.Ownership)
        incarnation = str(next(self._number))
        self.cores_by_host[name] = core.HostCore(
            config, incarnation, component_classes
        )
        self.clocks_by_host[name] = (
            self.rng.randrange(10**6),
            self.rng.choice(DRIFTS),
        )
        self.delayed_events[name] = []
        self.killed.discard(name)
        self.paused.discard(name)
        self.set_bundle(frozenset(), [name])
        self.list_hosts()

    def host_info(self, name):
        zone = ZONES[int(name[1:]) % len(ZONES)]
        return records.HostInfo(name, zone, '127.0.0.1:1', '127.0.0.1:1')

    def set_bundle(self, zones_out, names):
        for name in names:
            state = self.cores_by_host[name].state
            state.bundle = records.Bundle(1, {}, {}, zones_out)
            self.deliver(name, events.BundleChanged(1))

    def kill(self, name):
        self.killed.add(name)

    def resume(self, name):
        """Resume a paused host and deliver its delayed events."""
        self.paused.discard(name)
        waiting, self.delayed_events[name] = (
            self.delayed_events[name],
            [],
        )
        for event in waiting:
            self.deliver(name, event)

    def list_hosts(self):
        event = events.HostListRead(tuple(self.listed.values()), ())
        for name in self.cores_by_host:
            self.deliver_later(name, event)

    def deliver_later(self, name, event, delay_ms=1):
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._number), name, event))

    def deliver(self, name, event):
        """Let a host handle an event now, or when it resumes."""
        if name in self.killed:
            return
        if name in self.paused:
            self.delayed_events[name].append(event)
            return
        offset, drift = self.clocks_by_host[name]
        now_ms = offset + int(self.clock.now_ms() * drift)
        for action in self.cores_by_host[name].handle(event, now_ms):
            self._carry_out(name, action)

    def run(self, duration_ms):
        """Advance; check after each event that no partition has two owners.

        All hosts tick first, so that each has the current time.
        """
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for name in self.cores_by_host:
                if name not in self.paused:
                    self.deliver(name, events.Tick())
            self.check()
            while self._queue and self._queue[0][0] <= self.clock.now_ms():
                _, _, name, event = heapq.heappop(self._queue)
                self.deliver(name, event)
                self.check()

    def run_until(self, condition, limit_ms):
        """Advance until the condition holds; return the duration."""
        for duration_ms in range(0, limit_ms + STEP_MS, STEP_MS):
            if condition():
                return duration_ms
            self.run(STEP_MS)
        raise AssertionError(f'not reached within {limit_ms} ms')

    def check(self):
        owners = self.owners()
        assert len(owners) == len(dict(owners)), sorted(owners)

    def running_hosts(self):
        return [
            n for n in self.cores_by_host if n not in self.killed | self.paused
        ]

    def owners(self):
        return [
            (partition, name)
            for name in self.running_hosts()
            for partition in self.cores_by_host[name].state.owned_partitions
        ]

    def all_owned(self):
        return len(self.owners()) == LIMITS.account_partitions + 1

    def owner_of(self, partition):
        return dict(self.owners()).get(partition)

    def stored_record(self):
        return records.CellRecord(**json.loads(self.kv_item.value))

    def record(self, name):
        return self.cores_by_host[name].state.cell_record

    def _carry_out(self, name, action):
        if isinstance(action, actions.SendMessage):
            link = frozenset((name, action.host))
            is_lost = self.rng.random() < self.loss_rate
            if link not in self.cut_links and not is_lost:
                event = events.MessageReceived(name, action.message)
                self.deliver_later(
                    action.host, event, self.rng.randrange(1, 40)
                )
        elif isinstance(action, actions.KvRead | actions.KvWrite):
            status, items = self._kv(action)
            answer = events.KvAnswered(action.operation_id, status, items)
            self.deliver_later(name, answer, self.rng.randrange(1, 300))

    def _kv(self, action):
        self.kv_calls += 1
        if self.kv_status != 'ok':
            return self.kv_status, ()
        known = (self.kv_item,) if self.kv_item else ()
        status = 'ok'
        if isinstance(action, actions.KvWrite):
            revision = self.kv_item.revision if self.kv_item else 0
            if action.expected_revision != revision:
                return 'conflict', known
            self.kv_item = records.KvItem(
                action.key, action.value, revision + 1
            )
        is_answer_lost = self.kv_lossy and self.rng.random() < 0.3
        return ('unknown', ()) if is_answer_lost else (status, known)
