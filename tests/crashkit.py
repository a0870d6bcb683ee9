"""
Crash kit
~~~~~~~~~

Hosts, targets that one request crashes, and a store, in virtual time. It plays
faults in series by seed:

    python -m tests.crashkit --first 1 --seeds 50
"""

import asyncio
import functools
import random
import sys
from typing import NamedTuple

import aiohttp
import defopt

from bergamotstream import clock, errors, metrics
from bergamotstream.forwarding import (
    blamerecords,
    dispatch,
    eventlog,
    fingerprints,
    fleetrecords,
    ingress,
    outcomes,
    peerexchange,
    requeststate,
    scheduler,
)
from bergamotstream.platform import callerformat, store
from tests import platformkit as kit

# The operators' bounds: after a request, or a part of prompts, has crashed this
# many targets, it may reach this many more, not counting those within
# CONTACT_MS.
CRASHES = 3
CRASHES_UNDER_PART = 5
MAX_LATER_SENDS = 3
# Parts of prompts: one that all requests of a workspace share, one that crashes
# targets, and some that sound requests have.
COMMON_PART = 'c0'
CRASHING_PART = 'bad'
SOUND_PARTS = 20
# Time that sound requests with parts take.
ORDINARY_MS = 300
CONTACT_MS = 3_000
STEP_MS = 50
EXCHANGE_INTERVAL_MS = 150
RECORD_INTERVAL_MS = 250
PROMPT_PREFIX = 'Bergamotstream-Prompt-Prefix'
LAPSE_MS = 3 * 1_200
RESTART_MS = 4_000


def refused_connection():
    """Return the fault of a target at which nothing listens."""
    return dispatch.TargetUnreachable(
        aiohttp.ClientConnectorError(None, ConnectionRefusedError())
    )


def connection_timeout():
    """Return the fault of a target that a host cannot reach."""
    return dispatch.TargetUnreachable(aiohttp.ConnectionTimeoutError())


def _prompt(part, own):
    return f'{COMMON_PART}:40,{part}:40,{own}:200'


CRASHING_BODY = b'crash'
# How the links of a host to all targets fail.
LINK_FAULTS = ('refused', 'reset', 'hang')


def _link_fault(mode):
    if mode == 'refused':
        return refused_connection()
    if mode == 'hang':
        return connection_timeout()
    return dispatch.TargetBroken('connection reset')


class Target(NamedTuple):
    """One run of a target."""

    target_id: str
    address: str
    born: int
    is_up: bool = True
    ended_ms: int = 0


class Load(NamedTuple):
    """Requests of callers."""

    # Each interval, the crashing request comes to one host, and an ordinary
    # one to each host.
    crashing_interval_ms: int = 1_000
    ordinary_interval_ms: int = 150
    path: str = '/lookup/666'
    # Whether one part crashes targets, in requests of which no two are alike.
    by_part: bool = False
    # Time that an ordinary request takes; it breaks if its target ends.
    ordinary_ms: int = 0
    # Whether all ordinary requests are alike.
    popular: bool = False
    # The crashing request is served for this time before it begins to crash.
    served_for_ms: int = 0
    # Each interval, a request like the crashing one is served at one host.
    twin_interval_ms: int = 0
    # Time after which a crashed target is back.
    restart_ms: int = RESTART_MS
    # Whether all requests have one path and no body, and differ only in the
    # prompt that their headers describe.
    described_only: bool = False

    def body_of(self, text):
        """Return the body of a request that would have ``text``."""
        return b'' if self.described_only else text


class Sent(NamedTuple):
    """A crashing request that reached a target."""

    at_ms: int
    target_id: str
    # Whether the operators' bound covers it: its host and the store had been
    # without faults for CONTACT_MS.
    in_contact: bool


class Store:
    """Items by revision; hosts apply them unless the store is away."""

    def __init__(self):
        self.revision = 0
        self.items_by_key = {}
        self.log = []
        self.away = False

    def put(self, key, document):
        self.revision += 1
        item = store.Item(key, self.revision, document)
        if document is None:
            self.items_by_key.pop(key, None)
        else:
            self.items_by_key[key] = item
        self.log.append(item)


class RecordedLog(eventlog.EventLog):
    """Keeps the events in place of writing lines."""

    def __init__(self, time_source):
        super().__init__(time_source)
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


class Host:
    """The decisions of one host, without its sockets."""

    def __init__(self, fleet, name):
        self.name = name
        self.fleet = fleet
        self.cut_ms = -CONTACT_MS
        self.is_cut = False
        # One of LINK_FAULTS while no link to targets works.
        self.link_fault = ''
        self.started_ms = fleet.clock.now_ms()
        self.core = scheduler.Scheduler(
            kit.make_settings(name=name), random.Random(fleet.rng.random())
        )
        self.log = RecordedLog(fleet.clock)
        entry = fleetrecords.HostEntry(
            name, 'z', '127.0.0.1:1', '127.0.0.1:2', self.started_ms
        )
        meters = metrics.Metrics()
        self.outcomes = outcomes.OutcomeRecorder(
            self.core, self.log, fleet.clock, meters
        )
        self.peers = peerexchange.PeerExchange(
            entry, self.core, self.outcomes, self.log, fleet.clock
        )
        self.ingress = ingress.Ingress(
            ingress.Dependencies(
                self.core,
                self,
                _NoReservations(),
                self.peers,
                self.log,
                fleet.clock,
                meters,
                self.outcomes,
                None,
                _Relay(fleet, name),
            )
        )
        self.peers.ready = fleet.has_relays
        self.records = blamerecords.BlameRecords(
            self,
            self.core.view,
            self.core.blame,
            self.log,
            fleet.clock,
        )
        self._away_since_ms = None

    async def open_lease(self, ttl_ms):
        """Stand in for the client of the store."""
        if self.fleet.store.away:
            raise store.StoreUnavailable('away')
        return store.Lease(1, 0)

    async def put_all(self, documents_by_key, lease):
        """Write records, which do not expire here."""
        for key, document in documents_by_key.items():
            self.fleet.store.put(key, document)

    async def send(self, outgoing):
        """Stand in for the dispatcher."""
        if self.link_fault:
            raise _link_fault(self.link_fault)
        self.fleet.deliver(outgoing, self)

    def probe(self):
        """Probe targets as the host's task does."""
        now_ms = self.fleet.clock.now_ms()
        for entry in self.core.reach.take_due_probes(now_ms):
            fault = self.fleet.fault_of(entry)
            answered = not (
                self.link_fault or isinstance(fault, dispatch.TargetUnreachable)
            )
            self.outcomes.record_probe(entry, now_ms, answered=answered)

    def hear_target(self, target_id):
        """Let a target answer, which shows that the links are sound."""
        entry = self.core.view.targets_by_id[target_id]
        now_ms = self.fleet.clock.now_ms()
        self.outcomes.record_probe(entry, now_ms, answered=True)

    def read_store(self):
        """Apply the items of the store as the watch does."""
        now_ms = self.fleet.clock.now_ms()
        self.core.blame.counts.record_store_answer(
            self.peers.store_answered_ms(), now_ms
        )
        if self.fleet.store.away:
            if self._away_since_ms is None:
                self._away_since_ms = now_ms
            return
        view = self.core.view
        view.store_answered_ms = now_ms
        if self._away_since_ms is not None:
            view.hold_after_reconnect(now_ms)
            self._away_since_ms = None
        if not view.revision:
            items = tuple(self.fleet.store.items_by_key.values())
            page = store.Page(items, self.fleet.store.revision)
            changes = view.replace_all(page, now_ms)
        else:
            items = tuple(self.fleet.store.log[view.revision :])
            page = store.Page(items, self.fleet.store.revision)
            changes = view.apply_changes(page, now_ms)
        self._report([*changes, *view.drop_lapsed(now_ms)])

    def _report(self, changes):
        for change in changes:
            kind, _, name = change.subject.partition(':')
            if kind == 'blamed':
                self.outcomes.record_blamed(name)
            if kind == 'target':
                self.outcomes.record_target_change(name, change.outcome)

    def exchange(self, others):
        """Send the state to all peers."""
        self.peers._sequence += 1
        now_ms = self.fleet.clock.now_ms()
        state = self.peers._state(now_ms)
        message = peerexchange.peerformat.encode(state, now_ms)
        for other in others:
            if other is not self and not (self.is_cut or other.is_cut):
                other.peers.datagram_received(message, self.name)

    async def call(self, path, body, attempt_id, prompt=''):
        """Send a request; return the code of its failure."""
        now_ms = self.fleet.clock.now_ms()
        try:
            state = self._admit(path, body, attempt_id, prompt)
            state.job = self.core.start_trial(state.job, now_ms)
            self.core.check_blame(state.job, now_ms)
            await self.ingress._serve_with_retries(state)
        except errors.ServiceError as error:
            return error.code
        except asyncio.CancelledError:
            return 'caller_gone'

    def start_request(self, path, body, attempt_id='a1', prompt=''):
        """Place a request; return its first try and the assignment."""
        first = self._admit(path, body, attempt_id, prompt).add_try()
        now_ms = self.fleet.clock.now_ms()
        assignment = self.core.place(first.job, (), now_ms)
        self.outcomes.record_placement(first, assignment)
        return first, assignment

    def make_job(self, part):
        """Return the job of a request with a part."""
        prompt = _prompt(part, 'own')
        return self._admit('/lookup/1', b'body', 'a1', prompt).job

    def refuses(self, job):
        """Tell whether a job is blamed here."""
        try:
            self.core.check_blame(job, self.fleet.clock.now_ms())
        except errors.RequestBlamed:
            return True
        return False

    def start_trial(self, job):
        """Tell whether this host now tries a blamed part with a job."""
        tried = self.core.start_trial(job, self.fleet.clock.now_ms())
        return bool(tried.trial_part)

    def has_confirmed(self, job):
        """Tell whether this host counts a crash under a request."""
        now_ms = self.fleet.clock.now_ms()
        seen = self.core.blame.counts.own_crashes_of(job.fingerprint, now_ms)
        return seen.confirmed > 0

    def _admit(self, path, body, attempt_id, prompt):
        headers = {kit.ATTEMPT: attempt_id, PROMPT_PREFIX: prompt}
        request = kit.make_request(path, **headers)
        job = self.core.admit(request, self.fleet.clock.now_ms())
        job = fingerprints.identify(job, body)
        return requeststate.RequestState(job, body, None)

    def start_ordinary(self, attempt_id, prompt, path, body):
        """Start a request that crashes nothing; return how to end it."""
        now_ms = self.fleet.clock.now_ms()
        try:
            state, assignment = self.start_request(
                path, body, attempt_id, prompt
            )
            self.core.check_blame(state.job, now_ms)
        except errors.RequestBlamed:
            self.core.release(assignment)
            if body != CRASHING_BODY and CRASHING_PART not in prompt:
                self.fleet.refused_ordinary += 1
            return None
        except errors.ServiceError:
            return None
        fault = self.fleet.fault_of(assignment.target)
        if self.link_fault:
            fault = _link_fault(self.link_fault)
        if fault is not None:
            self.core.release(assignment)
            self.outcomes.record_fault(fault, state, assignment)
            return None
        return functools.partial(self._end_ordinary, state, assignment)

    def _end_ordinary(self, state, assignment):
        self.core.release(assignment)
        fault = self.fleet.fault_of(assignment.target)
        if self.link_fault:
            fault = _link_fault('reset')
        elif fault and state.job.arrived_ms < self.fleet.clock.now_ms():
            fault = dispatch.TargetBroken('connection reset')
        if fault is None:
            self.outcomes.record_success(state, assignment)
        else:
            self.outcomes.record_fault(fault, state, assignment)


class _Relay:
    """Lets another host serve a request."""

    def __init__(self, fleet, own_name):
        self.own_name = own_name
        self._fleet = fleet

    async def send(self, peer, head, body):
        host = self._fleet.hosts_by_name[peer.name]
        request = callerformat.parse_request(
            head.method, head.target, head.caller_headers()
        )
        now_ms = self._fleet.clock.now_ms()
        job = fingerprints.identify(host.core.admit(request, now_ms), body)
        state = requeststate.RequestState(job, body, None)
        host.core.check_blame(job, now_ms)
        host.ingress._accept_relayed(state, head)
        await host.ingress._serve_with_retries(state)


class _NoReservations:
    def held(self, reservations):
        return _Nothing()


class _Nothing:
    async def __aenter__(self):
        return None

    async def __aexit__(self, *fault):
        return None


class Fleet:
    """Hosts before targets; one request crashes each target that runs it."""

    def __init__(self, hosts=4, targets=12, seed=1, same_id=False, **load):
        self.clock = clock.ManualClock(1_000_000)
        # Whether hosts serve requests for peers.
        self.has_relays = load.pop('links', False)
        self.rng = random.Random(seed)
        self.store = Store()
        self.sent = []
        self.codes = []
        # The last time at which the store was away.
        self.store_away_ms = -CONTACT_MS
        self._same_id = same_id
        self._load = Load(**load)
        # Ordinary requests: all, those blamed, and those that have not ended.
        self.ordinary = 0
        self.refused_ordinary = 0
        self.served_twins = 0
        self._started_ms = self.clock.now_ms()
        self._open_ordinary = []
        self._calls = 0
        self._crashes_silently = False
        self.store.put('op/config', kit.configuration_document())
        self.targets_by_address = {}
        for number in range(targets):
            target = Target(f't{number}', f'10.0.0.{number + 1}:80', number + 1)
            self._start_target(target)
        self.hosts_by_name = {}
        for number in range(hosts):
            self.start_host(f'h{number}')

    def start_host(self, name):
        """Start a host, or replace its process."""
        host = Host(self, name)
        self.hosts_by_name[name] = host
        host.read_store()

    def crash_silently(self):
        """Leave connections open at a crash; the caller disconnects."""
        self._crashes_silently = True

    def fault_of(self, entry):
        """Return what a request to an entry meets, ``None`` for success."""
        target = self.targets_by_address[entry.address]
        if not target.is_up:
            return refused_connection()
        if target.target_id != entry.target_id:
            return dispatch.TargetRefused(421, '')
        return None

    def deliver(self, outgoing, host):
        """Crash the target that the request reaches."""
        entry = outgoing.assignment.target
        fault = self.fault_of(entry)
        if fault is not None:
            raise fault
        now_ms = self.clock.now_ms()
        self.sent.append(
            Sent(now_ms, entry.target_id, self._is_in_contact(host))
        )
        self.targets_by_address[entry.address] = self.targets_by_address[
            entry.address
        ]._replace(is_up=False, ended_ms=now_ms)
        if self._crashes_silently:
            raise asyncio.CancelledError
        raise dispatch.TargetBroken('connection reset')

    async def run(self, duration_ms):
        """Advance the time; the request comes again at any host."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            await self._step(self.clock.now_ms())

    async def _step(self, now_ms):
        if self.store.away:
            self.store_away_ms = now_ms
        self._move_targets(now_ms)
        hosts = list(self.hosts_by_name.values())
        for host in hosts:
            host.cut_ms = now_ms if host.is_cut else host.cut_ms
            host.read_store()
            host.probe()
        if not now_ms % EXCHANGE_INTERVAL_MS:
            for host in hosts:
                host.exchange(hosts)
        if not now_ms % RECORD_INTERVAL_MS:
            for host in hosts:
                await host.records.write_missing()
        if not now_ms % self._load.ordinary_interval_ms:
            for host in hosts:
                self._start_ordinary(host, now_ms)
        if self._sends_twin(now_ms):
            self._start_twin(self.rng.choice(hosts), now_ms)
        self._end_ordinary(now_ms)
        is_served = now_ms < self._started_ms + self._load.served_for_ms
        if not (is_served or now_ms % self._load.crashing_interval_ms):
            await self._call_crashing(self.rng.choice(hosts))

    def _sends_twin(self, now_ms):
        if now_ms < self._started_ms + self._load.served_for_ms:
            return not now_ms % self._load.crashing_interval_ms
        interval_ms = self._load.twin_interval_ms
        return bool(interval_ms) and not now_ms % interval_ms

    def _start_ordinary(self, host, now_ms):
        self._calls += 1
        self.ordinary += 1
        attempt_id = f'o{self._calls}'
        part = f'{self.rng.randrange(SOUND_PARTS):x}'
        body = b'popular' if self._load.popular else attempt_id.encode()
        path = self._load.path if self._load.described_only else '/lookup/9'
        end = host.start_ordinary(
            attempt_id,
            _prompt(part, attempt_id),
            path,
            self._load.body_of(body),
        )
        if end is not None:
            self._open_ordinary.append((now_ms + self._load.ordinary_ms, end))

    def _start_twin(self, host, now_ms):
        """Start a request like the crashing one that is served."""
        attempt_id, prompt, body = self._next_crashing('t')
        end = host.start_ordinary(attempt_id, prompt, self._load.path, body)
        if end is not None:
            self.served_twins += 1
            self._open_ordinary.append((now_ms, end))

    def _end_ordinary(self, now_ms):
        due = [end for end_ms, end in self._open_ordinary if end_ms <= now_ms]
        self._open_ordinary = [
            entry for entry in self._open_ordinary if entry[0] > now_ms
        ]
        for end in due:
            end()

    async def _call_crashing(self, host):
        attempt_id, prompt, body = self._next_crashing('p')
        code = await host.call(self._load.path, body, attempt_id, prompt)
        self.codes.append(code)

    def _next_crashing(self, prefix):
        self._calls += 1
        attempt_id = f'{prefix}{self._calls}'
        if not self._load.by_part:
            return attempt_id, '', CRASHING_BODY
        prompt = _prompt(CRASHING_PART, attempt_id)
        return attempt_id, prompt, self._load.body_of(attempt_id.encode())

    def _move_targets(self, now_ms):
        for target in tuple(self.targets_by_address.values()):
            if target.is_up:
                continue
            ended_for_ms = now_ms - target.ended_ms
            if ended_for_ms >= self._load.restart_ms:
                name = target.target_id
                if not self._same_id:
                    name = f'{name.partition("-")[0]}-{now_ms}'
                self._start_target(Target(name, target.address, now_ms))
                self._remove_entry(target, unless=name)
            elif ended_for_ms >= LAPSE_MS and not self._same_id:
                self._remove_entry(target)

    def end_target(self, number):
        """End the target with a number for a cause of its own."""
        address = list(self.targets_by_address)[number]
        self.targets_by_address[address] = self.targets_by_address[
            address
        ]._replace(is_up=False, ended_ms=self.clock.now_ms())

    def _remove_entry(self, target, unless=''):
        key = f'servers/{target.target_id}'
        if target.target_id != unless and key in self.store.items_by_key:
            self.store.put(key, None)

    def _start_target(self, target):
        self.targets_by_address[target.address] = target
        document = kit.target_document(target.address, born=target.born)
        self.store.put(f'servers/{target.target_id}', document)

    def later_sends(self):
        """Return the sends that count against the operators' bound."""
        crashes = CRASHES_UNDER_PART if self._load.by_part else CRASHES
        if len(self.sent) < crashes:
            return []
        counted_from_ms = self.sent[crashes - 1].at_ms + CONTACT_MS
        return [
            sent
            for sent in self.sent[crashes:]
            if sent.at_ms > counted_from_ms and sent.in_contact
        ]

    def _is_in_contact(self, host):
        faulty_ms = max(self.store_away_ms, host.started_ms, host.cut_ms)
        return self.clock.now_ms() - faulty_ms > CONTACT_MS

    def restart_some(self):
        """Replace the process of one host, of half of them or of all."""
        names = list(self.hosts_by_name)
        count = self.rng.choice((1, len(names) // 2, len(names)))
        for name in self.rng.sample(names, count):
            self.start_host(name)

    def cut_some(self):
        """Cut one host off from its peers, or heal all cuts."""
        for host in self.hosts_by_name.values():
            host.is_cut = False
        self.rng.choice(list(self.hosts_by_name.values())).is_cut = True

    def heal(self):
        """End the cuts and the outage of the store."""
        self.store.away = False
        for host in self.hosts_by_name.values():
            host.is_cut = False

    def stop_store(self):
        """Let the store be away until all is healed."""
        self.store.away = True


# Scenarios of faults, by name.
SCENARIOS_BY_NAME = {}


def _scenario(play):
    SCENARIOS_BY_NAME[play.__name__] = play
    return play


@_scenario
async def calm(fleet):
    """Play no other fault."""
    await fleet.run(30_000)


@_scenario
async def outage_of_the_store(fleet):
    """Let the store be away while targets crash."""
    fleet.store.away = True
    await fleet.run(12_000)
    fleet.store.away = False
    await fleet.run(20_000)


@_scenario
async def hosts_replaced_in_turn(fleet):
    """Replace all hosts, one after the other."""
    await fleet.run(6_000)
    for name in tuple(fleet.hosts_by_name):
        fleet.start_host(name)
        await fleet.run(2_000)
    await fleet.run(15_000)


@_scenario
async def kills_of_all_hosts(fleet):
    """Kill all hosts, three times."""
    await fleet.run(4_000)
    for _ in range(3):
        for name in tuple(fleet.hosts_by_name):
            fleet.start_host(name)
        await fleet.run(6_000)


@_scenario
async def cut_off_hosts(fleet):
    """Cut half of the hosts off from their peers."""
    cut = list(fleet.hosts_by_name.values())[:2]
    for host in cut:
        host.is_cut = True
    await fleet.run(10_000)
    for host in cut:
        host.is_cut = False
    await fleet.run(20_000)


@_scenario
async def long_run(fleet):
    """Play for longer than any count lasts."""
    await fleet.run(130_000)


@_scenario
async def silent_crashes(fleet):
    """Let callers leave before the crash shows."""
    fleet.crash_silently()
    await fleet.run(30_000)


RANDOM_FAULTS = (
    Fleet.restart_some,
    Fleet.restart_some,
    Fleet.cut_some,
    Fleet.stop_store,
)
# Requests within CONTACT_MS after a fault do not count.
FAULT_INTERVALS_MS = (500, CONTACT_MS + 1_000, 2 * CONTACT_MS)


async def play_random_faults(seed, faults=8, *, by_part=False):
    """Play faults in series; return the requests that count."""
    rng = random.Random(seed)
    fleet = Fleet(
        seed=seed,
        same_id=rng.random() < 0.5,
        crashing_interval_ms=rng.choice((500, 1_000, 2_000)),
        ordinary_interval_ms=rng.choice((150, 1_500)),
        path=rng.choice(('/lookup/666', '/order/666')),
        by_part=by_part,
        ordinary_ms=ORDINARY_MS if by_part else 0,
    )
    for _ in range(faults):
        await fleet.run(rng.choice(FAULT_INTERVALS_MS))
        rng.choice(RANDOM_FAULTS)(fleet)
        await fleet.run(rng.choice(FAULT_INTERVALS_MS))
        fleet.heal()
    await fleet.run(5 * CONTACT_MS)
    return fleet.later_sends()


def main(*, first: int = 1, seeds: int = 50, by_part: bool = False) -> None:
    """Play seeds; exit with 1 if the bound is broken.

    :param first: First seed.
    :param seeds: Number of seeds.
    :param by_part: Let a part of prompts crash targets, not one request.
    """
    broken = {}
    for seed in range(first, first + seeds):
        later = asyncio.run(play_random_faults(seed, by_part=by_part))
        if len(later) > MAX_LATER_SENDS:
            broken[seed] = later
            print(f'seed {seed}: {len(later)} later requests: {later}')
    print(f'{seeds} seeds, {len(broken)} broken')
    sys.exit(bool(broken))


if __name__ == '__main__':
    defopt.run(main)
