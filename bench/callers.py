"""
Callers
~~~~~~~

Callers ask for an address, send requests, keep what they receive and resume
at another host when theirs is lost.
"""

from typing import Any

from bergamotstream import actions, events, records
from bench import attempts, hosts, shapes

ASK_LIMIT_MS = 500
ASK_AGAIN_MS = 100
SILENT_HOST_MS = 2_000
WATCH_MS = 250
ELSEWHERE_CODES = frozenset(('host_leaving', 'configuration_unknown'))


class Client:
    """Keeps the address answer of one workspace."""

    def __init__(self, world: Any, workspace: str) -> None:
        """Start without an address."""
        self.world = world
        self.workspace = workspace
        self.addresses: tuple[records.HostInfo, ...] = ()
        self.keep_until_ms = 0
        self.asked_ms = -ASK_LIMIT_MS
        self._waiting: list['Call'] = []

    def find_host(self, call: 'Call') -> None:
        """Send ``call`` on once an address is known."""
        if self.world.time.now_ms < self.keep_until_ms and self.addresses:
            call.connect(self.addresses)
            return
        self._waiting.append(call)
        self._ask()

    def forget(self) -> None:
        """Drop the address answer after its hosts could not be used."""
        self.keep_until_ms = 0

    def answered(self, action: actions.AnswerAddress) -> None:
        """Keep an address answer and send on the calls that wait for it."""
        self.addresses = action.hosts
        self.keep_until_ms = self.world.time.now_ms + action.keep_ms
        self.asked_ms = -ASK_LIMIT_MS
        waiting = self._waiting
        self._waiting = []
        for call in waiting:
            if self.addresses:
                call.connect(self.addresses)
            else:
                self.world.time.call_after(ASK_AGAIN_MS, call.send)

    def _ask(self) -> None:
        world = self.world
        if world.time.now_ms < self.asked_ms + ASK_LIMIT_MS:
            return
        self.asked_ms = world.time.now_ms
        host = world.chance.choice(world.listed_hosts())
        query_id = world.new_query(self)
        world.links.send(
            shapes.CALLERS,
            host.name,
            host.receive,
            events.AddressAsked(query_id, self.workspace),
        )
        world.time.call_after(ASK_LIMIT_MS, self._ask_again)

    def _ask_again(self) -> None:
        if self._waiting:
            self._ask()


class Call:
    """One request of a caller from its sending to its outcome."""

    def __init__(
        self, world: Any, spec: records.RequestSpec, deadline_ms: int
    ) -> None:
        """``deadline_ms`` is the time that the request may take."""
        self.world = world
        self.spec = spec
        self.sent_ms = world.time.now_ms
        self.deadline_ms = self.sent_ms + deadline_ms
        self.via = ''
        self.host: hosts.Host | None = None
        self.reached = False
        self.tokens: list[str] = []
        self.ttft_ms: int | None = None
        self.ended_ms: int | None = None
        self.outcome = ''
        self.code = ''
        self.run_state = ''
        self.hosts_used: list[str] = []
        self._silent_since_ms: int | None = None

    def send(self) -> None:
        """Find a host and send the request."""
        if self.ended_ms is not None or self._late():
            return
        via = self.world.hosts_by_name.get(self.via)
        if via is not None and not self.hosts_used:
            self.connect((via.info,))
        else:
            self.world.client(self.spec.workspace).find_host(self)

    def connect(self, addresses: tuple[records.HostInfo, ...]) -> None:
        """Send the request to the first address that accepts it."""
        world = self.world
        for info in addresses:
            host = world.hosts_by_name.get(info.name)
            if host is not None and host.alive:
                if not world.links.is_cut(shapes.CALLERS, host.name):
                    self._open(host)
                    return
        world.client(self.spec.workspace).forget()
        world.time.call_after(ASK_AGAIN_MS, self.send)

    def received(self, host: hosts.Host, tokens: tuple[str, ...]) -> None:
        """Keep tokens of the answer."""
        if host is not self.host or self.ended_ms is not None:
            return
        if self.ttft_ms is None:
            self.ttft_ms = self.world.time.now_ms - self.sent_ms
        self.tokens.extend(tokens)

    def restarted(self, host: hosts.Host) -> None:
        """Discard the part of the answer that has arrived."""
        if host is self.host:
            self.tokens.clear()

    def ended(self, host: hosts.Host, outcome: str, action: Any) -> None:
        """Take the outcome, or go elsewhere where the error says so."""
        if host is not self.host or self.ended_ms is not None:
            return
        if outcome == 'finished':
            if action.answer:
                self.tokens = [action.answer.decode()]
            self._finish(outcome)
            return
        self.code = action.code
        self.run_state = action.run_state
        if action.code in ELSEWHERE_CODES:
            self.world.checks.sent_elsewhere(self, host)
            self.reached = bool(self.tokens)
            self.host_lost(host)
        else:
            self._finish(outcome)

    def host_lost(self, host: hosts.Host) -> None:
        """Resume at another host."""
        if host is not self.host or self.ended_ms is not None:
            return
        self.host = None
        self.world.client(self.spec.workspace).forget()
        self.world.time.call_after(ASK_AGAIN_MS, self.send)

    @property
    def whole(self) -> bool:
        """Tell whether the tokens are exactly the request's answer."""
        count = max(self.spec.max_output_tokens, 1)
        return self.tokens == [
            attempts.token_text(self.spec, index) for index in range(count)
        ]

    def _open(self, host: hosts.Host) -> None:
        remaining_ms = self.deadline_ms - self.world.time.now_ms
        event: events.Event = events.RequestReceived(self.spec, remaining_ms)
        if self.reached:
            event = events.ResumeReceived(
                self.spec, remaining_ms, len(self.tokens)
            )
        self.host = host
        self.reached = True
        self.hosts_used.append(host.name)
        self._silent_since_ms = None
        self.world.links.send(
            shapes.CALLERS, host.name, host.accept_call, self, event
        )
        self.world.time.call_after(WATCH_MS, self._watch, host)

    def _watch(self, host: hosts.Host) -> None:
        if host is not self.host or self.ended_ms is not None:
            return
        now_ms = self.world.time.now_ms
        cut = self.world.links.is_cut(shapes.CALLERS, host.name)
        if host.responsive and not cut:
            self._silent_since_ms = None
        elif self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        elif now_ms - self._silent_since_ms >= SILENT_HOST_MS:
            world = self.world
            world.links.send(
                shapes.CALLERS,
                host.name,
                host.close_call,
                self.spec.request_id,
            )
            self.host_lost(host)
            return
        self.world.time.call_after(WATCH_MS, self._watch, host)

    def _late(self) -> bool:
        if self.world.time.now_ms < self.deadline_ms:
            return False
        self.code = 'deadline_passed'
        self._finish('gave_up')
        return True

    def _finish(self, outcome: str) -> None:
        self.outcome = outcome
        self.ended_ms = self.world.time.now_ms
        self.world.checks.call_ended(self)
