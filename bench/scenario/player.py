"""
Player
~~~~~~

Plays a scenario against one version of the system.
"""

import functools
from typing import Any

from bench import fakes, operators, shapes, traffic
from bench.scenario import language

# Members are agreed and all partitions are owned after about 2 s.
READY_MS = 3_000
LEAK_WATCH_MS = 11_000
STEP_MS = 1_000
MAX_DEADLINE_MS = 400_000


class Player:
    """Carries out the steps of a scenario in a world."""

    def __init__(self, world: fakes.World) -> None:
        """Play in ``world``."""
        self.world = world
        self.traffic = traffic.Traffic(world, world.seed)

    def play(self, step: language.Step) -> None:
        """Carry out one step."""
        getattr(self, f'do_{step.kind}')(*step.arguments)

    def do_load(
        self, rate: float, length: str, workspace: str, duration_ms: int
    ) -> None:
        """Start a steady load."""
        self.traffic.start(traffic.Load(rate, length, workspace, duration_ms))

    def do_send(
        self, length: str, tokens: int, workspace: str, *options: language.Step
    ) -> None:
        """Send requests of one size."""
        named = _named(options)
        for _ in range(named.pop('times', 1)):
            self.traffic.send(length, workspace, tokens, **named)

    def do_order(
        self, key: str, workspace: str, *options: language.Step
    ) -> None:
        """Send a call that must run at most once."""
        named = _named(options)
        for _ in range(named.pop('times', 1)):
            self.traffic.order(key, workspace, **named)

    def do_poison(self, workspace: str, *options: language.Step) -> None:
        """Send a request that crashes its target, over and over again."""
        named = _named(options)
        first = self.traffic.new_spec('short', workspace, 1_000)
        for number in range(named.pop('times', 1)):
            self.world.time.call_after(
                number * 1_000, self.traffic.send_poison, first, number
            )

    def do_kill(self, host: str) -> None:
        """Kill a host."""
        self.world.kill_host(host)

    def do_replace(self, host: str) -> None:
        """Kill a host and start a new one in its zone."""
        self.world.replace_host(host)

    def do_restart(self, host: str) -> None:
        """Start a host again under its name."""
        self.world.restart_host(host)

    def do_freeze(self, host: str, duration_ms: int | None) -> None:
        """Pause a host, for a time or until thawed."""
        self.world.hosts_by_name[host].freeze()
        if duration_ms is not None:
            self.world.time.call_after(duration_ms, self.do_thaw, host)

    def do_thaw(self, host: str) -> None:
        """Let a paused host continue."""
        self.world.hosts_by_name[host].thaw()

    def do_stop(self, host: str) -> None:
        """Ask a host to stop gracefully."""
        self.world.stop_host(host)

    def do_cut(self, one: str, other: str) -> None:
        """Separate two places."""
        self.world.links.cut(one, other)

    def do_silence(self, one: str, other: str) -> None:
        """Make the connections between two hosts silent."""
        self.world.links.silence(one, other)

    def do_loss(self, percent: int) -> None:
        """Lose a share of the messages between hosts."""
        self.world.links.loss = percent / 100

    def do_heal(self) -> None:
        """End all network faults."""
        self.world.links.heal()

    def do_kv(self, mode: str, duration_ms: int | None) -> None:
        """Change the fault of the key-value service."""
        slow = mode == 'slow'
        self.world.storage.set_mode(
            'up' if slow else mode, (duration_ms or 0) if slow else 0
        )

    def do_cold(self, target: str) -> None:
        """Turn an engine cold."""
        self.world.targets_by_name[target].turn_cold()

    def do_crash(self, target: str, duration_ms: int | None) -> None:
        """Crash a target."""
        self.world.targets_by_name[target].crash(duration_ms or 2_000)

    def do_mute(self, target: str) -> None:
        """Make the open connections of a target silent."""
        self.world.targets_by_name[target].silence()

    def do_zone(self, direction: str, zone: str, via: str | None) -> None:
        """Take a zone out of service or bring it back."""
        change = operators.Change('zones_out', zone, present=direction == 'out')
        self.world.operators.change(change, via or self._any_host())

    def do_retire(self, target: str, via: str | None) -> None:
        """Take a target out of service in the configuration."""
        change = operators.Change('targets_leaving', target, present=True)
        self.world.operators.change(change, via or self._any_host())

    def do_leaving(self, target: str) -> None:
        """Make a target leave without the operators."""
        self.world.mark_target_leaving(target)

    def do_race(self, zone: str, target: str) -> None:
        """Let two operators change the configuration at the same time."""
        names = [host.name for host in self.world.live_hosts()]
        changes = (
            operators.Change('zones_out', zone, present=True, drafted=True),
            operators.Change('targets_leaving', target, present=True),
        )
        for change, via in zip(changes, (names[0], names[-1]), strict=True):
            self.world.operators.change(change, via)

    def _any_host(self) -> str:
        return self.world.live_hosts()[-1].name


def play(scenario: language.Scenario, version: fakes.Version) -> fakes.World:
    """Run a scenario to its end and return the world."""
    shape = shapes.SHAPES_BY_NAME[scenario.shape]
    world = fakes.World(shape, version, scenario.seed)
    player = Player(world)
    for step in scenario.steps:
        world.time.call_at(READY_MS + step.at_ms, player.play, step)
    for trigger in scenario.triggers:
        world.triggers.add(
            fakes.Trigger(
                trigger.moment,
                trigger.action,
                trigger.host,
                functools.partial(player.play, trigger.step),
            )
        )
    finish(world, READY_MS + scenario.end_ms)
    return world


def finish(world: fakes.World, end_ms: int) -> None:
    """Run until all requests have ended and leaks would have shown."""
    world.time.run_until(end_ms)
    deadlines = [call.deadline_ms for call in world.checks.open_calls()]
    last_ms = min(max(deadlines, default=0), end_ms + MAX_DEADLINE_MS)
    while world.checks.open_calls() and world.time.now_ms < last_ms:
        world.time.run_until(world.time.now_ms + STEP_MS)
    last_ms = world.time.now_ms + LEAK_WATCH_MS
    while world.memory_in_use() and world.time.now_ms < last_ms:
        world.time.run_until(world.time.now_ms + STEP_MS)


def _named(options: tuple[language.Step, ...]) -> dict[str, Any]:
    names = {'deadline': 'deadline_ms'}
    return {
        names.get(option.kind, option.kind): option.arguments[0]
        for option in options
    }
