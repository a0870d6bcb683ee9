"""Replays a load through hosts and paced targets in virtual time."""

import random

import aiohttp

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    commitments,
    dispatch,
    eventlog,
    hostsettings,
    outcomes,
    requeststate,
    scheduler,
)
from bergamotstream.platform import store
from tests import platformkit as kit

TICK_MS = 5
SLOTS = 8
ANSWER_MS = 50
DOWN_MS = 1_000
SHARE_MS = 60


class Target:
    """Plain target that warms up with its answers, and crashes if flooded."""

    def __init__(self):
        self.jobs = []
        self.answers = SLOTS
        self.slow = 1
        self.down_until_ms = 0
        self.crashes = 0
        self.served = 0

    @property
    def width(self):
        """Return the number of requests that run at full speed."""
        return min(SLOTS, 1 + self.answers)

    def chill(self):
        """Become cold: one request at full speed, then one more for each."""
        self.answers = 0


class World:
    """Hosts that send a steady load to targets of one plain service."""

    def __init__(self, *, paced, targets=8, hosts=2, rate=300, seed=1):
        self.clock = clock.ManualClock()
        self.targets = [Target() for _ in range(targets)]
        self.born = [1_000] * targets
        self.rng = random.Random(seed)
        self.rate = rate
        self.hosts = [self._host(number, paced) for number in range(hosts)]
        self.waiting = []
        self.late = self.refused = self.failed = self.served = 0
        self.peak = [0] * targets
        self.revision = 100
        self.idle_waits = 0

    def _host(self, number, paced):
        settings = kit.make_settings(name=f'host-{number}')._replace(
            features=hostsettings.Features(target_pacing=paced)
        )
        core = scheduler.Scheduler(settings, random.Random(number))
        items = [store.Item('op/config', 1, kit.configuration_document())]
        items += [self._item(t) for t in range(len(self.targets))]
        core.view.replace_all(store.Page(tuple(items), 100), 0)
        recorder = outcomes.OutcomeRecorder(
            core, eventlog.EventLog(self.clock), self.clock, metrics.Metrics()
        )
        self._list(core, recorder, running=False)
        recorder.pace.update_zones()
        return core, recorder

    def _item(self, number, revision=2):
        document = kit.target_document(
            f'10.0.0.{number + 1}:80',
            slots=SLOTS,
            born=self.born[number],
            zone='rosario' if number % 2 else 'parana',
        )
        return store.Item(f'servers/t{number}', revision, document)

    def _list(self, core, recorder, *, running):
        for entry in core.view.targets_by_id.values():
            recorder.pace.record_listed(entry, is_running=running)

    def restart(self, *numbers):
        """Restart targets cold; hosts learn it at once."""
        self.revision += 1
        for number in numbers:
            self.targets[number].chill()
            self.born[number] += 1
        page = store.Page(
            tuple(self._item(number, self.revision) for number in numbers),
            self.revision,
        )
        for core, recorder in self.hosts:
            core.view.apply_changes(page, self.clock.now_ms())
            self._list(core, recorder, running=True)

    def set_zones_out(self, *zones):
        """Take zones out of service, or back."""
        for core, recorder in self.hosts:
            core.view.zones_out = set(zones)
            recorder.pace.update_zones()

    def run(self, duration_ms):
        """Replay the load."""
        for _ in range(duration_ms // TICK_MS):
            self.clock.advance(TICK_MS)
            now_ms = self.clock.now_ms()
            if now_ms % SHARE_MS == 0:
                self._share(now_ms)
            due = self.rate * TICK_MS / 1_000
            arrivals = int(due) + (self.rng.random() < due % 1)
            for _ in range(arrivals):
                core, recorder = self.rng.choice(self.hosts)
                job = kit.make_job(core, now_ms, path='/lookup/1')
                state = requeststate.RequestState(job, b'', None)
                self.waiting.append((now_ms, core, recorder, state))
            self._place(now_ms)
            for number, target in enumerate(self.targets):
                self._work(number, target, now_ms)

    def _share(self, now_ms):
        for sender, _ in self.hosts:
            for core, recorder in self.hosts:
                if core is not sender:
                    name = f'peer-{id(sender)}'
                    own = tuple(sender.table.own())
                    state = commitments.PeerState(1, now_ms, now_ms, own)
                    core.table.update_peer(name, state)
                    recorder.pace.hear(name, own)

    def _place(self, now_ms):
        waiting, self.waiting = self.waiting, []
        for due_ms, core, recorder, state in waiting:
            if due_ms > now_ms:
                self.waiting.append((due_ms, core, recorder, state))
                continue
            try:
                placed = core.place(state.job, state.tried_target_ids, now_ms)
            except errors.ServiceError as error:
                if isinstance(error, errors.Overloaded) and core.may_wait(
                    state.job, now_ms
                ):
                    self.waiting.append((now_ms + 50, core, recorder, state))
                else:
                    self.refused += 1
                continue
            served = state.add_try()
            served.is_sent = True
            recorder.record_placement(served, placed)
            self._send(core, recorder, served, placed)

    def _send(self, core, recorder, served, placed):
        number = int(placed.target.target_id[1:])
        target = self.targets[number]
        now_ms = self.clock.now_ms()
        if target.down_until_ms > now_ms:
            fault = dispatch.TargetUnreachable(aiohttp.ClientError('refused'))
            fault.connection_refused = True
            self._fail(core, recorder, served, placed, fault)
            return
        target.jobs.append([0.0, core, recorder, served, placed])
        self.peak[number] = max(self.peak[number], len(target.jobs))
        if len(target.jobs) > 2 * target.width:
            target.crashes += 1
            target.down_until_ms = now_ms + DOWN_MS
            target.chill()
            jobs, target.jobs = target.jobs, []
            for _, *rest in jobs:
                self._fail(*rest, dispatch.TargetBroken('reset'))

    def _fail(self, core, recorder, served, placed, fault):
        core.release(placed)
        recorder.record_fault(fault, served, placed)
        state = served.request
        if len(state.tried_target_ids) < state.job.route.max_targets:
            now_ms = self.clock.now_ms()
            self.waiting.append((now_ms, core, recorder, state))
        else:
            self.failed += 1

    def _work(self, number, target, now_ms):
        if not target.jobs:
            return
        crowd = max(1, len(target.jobs) / target.width)
        done_ms = ANSWER_MS * target.slow
        for job in list(target.jobs):
            job[0] += TICK_MS / crowd
            if job[0] >= done_ms:
                target.jobs.remove(job)
                self._finish(target, now_ms, *job[1:])

    def _finish(self, target, now_ms, core, recorder, served, placed):
        core.release(placed)
        recorder.record_success(served, placed)
        target.answers += 1
        target.served += 1
        self.served += 1
        self.late += now_ms - served.job.arrived_ms > served.job.route.goal_ms
