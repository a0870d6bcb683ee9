"""Random sequences of events for a partition's owner."""

import hypothesis
from hypothesis import strategies

from bench import simulation
from bergamotstream import actions, events, messages, records

OUTCOMES = ('finished', 'not_run', 'failed', 'cancelled', 'target_lost')
TARGETS = ('t00', 't01', 't02')
STEP = strategies.one_of(
    strategies.tuples(
        strategies.just('ask'),
        strategies.sampled_from((500, 3_000, 20_000, 90_000, 300_000, 700_000)),
        strategies.sampled_from(('w0', 'w1', 'w2')),
    ),
    strategies.tuples(
        strategies.just('release'),
        strategies.integers(0, 40),
        strategies.sampled_from(OUTCOMES),
    ),
    strategies.tuples(
        strategies.just('report'),
        strategies.sampled_from(TARGETS),
        strategies.tuples(
            strategies.booleans(),
            strategies.sampled_from(('1', '2', '3')),
            strategies.integers(0, 900),
            strategies.sets(strategies.integers(0, 40), max_size=4),
        ),
    ),
    strategies.tuples(
        strategies.sampled_from(('again', 'find', 'leave')),
        strategies.integers(0, 40),
        strategies.none(),
    ),
    strategies.tuples(
        strategies.just('renew'), strategies.integers(0, 40), strategies.none()
    ),
    strategies.tuples(
        strategies.just('first'),
        strategies.integers(0, 40),
        strategies.integers(10, 5_000),
    ),
    strategies.tuples(
        strategies.just('wait'),
        strategies.integers(1, 2_000),
        strategies.none(),
    ),
)


class Driver:
    """Applies steps to a core and checks the caps at each grant."""

    def __init__(self):
        """Start with an owner of three targets."""
        self.world = simulation.Simulation(3)
        self.core = self.world.core
        self.now_ms = 1_000
        self.asked = 0
        self.granted = []
        self.messages = []

    def step(self, kind, first, second):
        """Apply one step."""
        getattr(self, f'do_{kind}')(first, second)
        for target in self.world.owner.targets_by_name.values():
            memory = target.service.memory_tokens
            assert 0 <= target.occupancy.memory_reserved <= memory

    def handle(self, event):
        """Handle an event and check every grant."""
        for action in self.core.handle(event, self.now_ms):
            if not isinstance(action, actions.SendMessage):
                continue
            reply = action.message
            if isinstance(reply, messages.GrantReply) and reply.granted:
                self.granted.append((reply.attempt_id, action.host))
                self.check(reply)

    def check(self, reply):
        """Check the targets of a grant."""
        for entry in reply.targets:
            target = self.world.owner.targets_by_name[entry.name]
            assert target.running <= target.cold_start.cap
            used = target.occupancy.memory_used
            assert used <= target.service.memory_tokens

    def send(self, host, message):
        """Send a message to the owner."""
        self.handle(events.MessageReceived(host, message))

    def granted_attempt(self, index):
        """Return one of the attempts granted so far."""
        if not self.granted:
            return 'unknown', 'h1'
        return self.granted[index % len(self.granted)]

    def do_ask(self, tokens, workspace):
        """Ask for a grant."""
        self.asked += 1
        request = records.RequestSpec(
            f'r{self.asked}',
            workspace,
            simulation.SERVICE,
            tokens,
            100,
            self.asked % 7,
            self.asked,
        )
        message = messages.GrantRequest(
            simulation.PARTITION, request, 600_000, 0
        )
        self.messages.append((message, f'h{self.asked % 3 + 1}'))
        self.send(f'h{self.asked % 3 + 1}', message)

    def do_again(self, index, _):
        """Repeat a request that may be queued, granted or finished."""
        if self.messages:
            message, host = self.messages[index % len(self.messages)]
            self.send(host, message)

    def do_find(self, index, _):
        """Move a grant to another host."""
        self.send('h3', messages.FindRequest(simulation.PARTITION, f'r{index}'))

    def do_leave(self, index, _):
        """Toggle whether a target is leaving."""
        state = self.core.state
        name = TARGETS[index % len(TARGETS)]
        info = state.targets_by_name[name]
        state.targets_by_name[name] = info._replace(leaving=not info.leaving)
        self.handle(events.HostListRead((), ()))

    def do_release(self, index, outcome):
        """End an attempt."""
        attempt_id, host = self.granted_attempt(index)
        self.send(
            host,
            messages.GrantRelease(simulation.PARTITION, attempt_id, outcome),
        )

    def do_renew(self, index, _):
        """Renew an attempt."""
        attempt_id, host = self.granted_attempt(index)
        self.send(
            host, messages.GrantRenew(simulation.PARTITION, (attempt_id,))
        )

    def do_first(self, index, ttft_ms):
        """Report a first token."""
        attempt_id, host = self.granted_attempt(index)
        self.send(
            host,
            messages.GrantProgress(simulation.PARTITION, attempt_id, ttft_ms),
        )

    def do_report(self, target, content):
        """Report a load, whether or not it is true."""
        cold, start_id, age_ms, indexes = content
        running = {self.granted_attempt(index)[0] for index in indexes}
        report = records.LoadReport(
            target, start_id, tuple(running), 9_000, age_ms, cold
        )
        self.handle(events.LoadReported(report))

    def do_wait(self, duration_ms, _):
        """Let time pass."""
        self.now_ms += duration_ms
        self.handle(events.Tick())


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(STEP, max_size=60))
def test_grants_keep_within_memory_and_caps(steps):
    """Guards against orders of events that exceed a target's memory or cap."""
    driver = Driver()
    for kind, first, second in steps:
        driver.step(kind, first, second)


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(STEP, max_size=60))
def test_memory_returns_when_all_has_ended(steps):
    """Guards against reserved memory that is not freed at the end."""
    driver = Driver()
    for kind, first, second in steps:
        driver.step(kind, first, second)
    for request_id, waiting in list(
        driver.world.owner.admission.waiting_by_request.items()
    ):
        driver.send(
            waiting.accepting_host,
            messages.GrantCancel(simulation.PARTITION, request_id),
        )
    driver.do_wait(10_000, None)
    for target in TARGETS:
        driver.do_report(target, (False, '9', 0, ()))
    for state in driver.world.owner.targets_by_name.values():
        assert state.occupancy.memory_used == 0
        assert state.running == 0
        assert not state.reserved_for
