"""
Reach
~~~~~

Decides which targets are probed, and which peer serves a request, while this
host does not reach all targets.
"""

import functools
import random
from collections.abc import Collection, Iterable, Iterator
from typing import Final

from bergamotstream.forwarding import (
    askedpauses,
    cells,
    fleetrecords,
    fleetview,
    hostsettings,
    links,
    peerformat,
    relaychoice,
    targethealth,
)
from bergamotstream.platform import store

# Targets that are probed at a time; one of them may have failed just then.
PROBED_TARGETS: Final = 2


class Reach:
    """The targets that one host reaches, and what it does about the others."""

    def __init__(
        self,
        view: fleetview.FleetView,
        cell_map: cells.Cells,
        health: targethealth.TargetHealth,
        monitor: links.LinkMonitor,
        pauses: askedpauses.AskedPauses,
        config: hostsettings.HostSettings,
        rng: random.Random,
    ) -> None:
        """Decide by what is known of targets and links."""
        self._view = view
        self._cells = cell_map
        self._health = health
        self._links = monitor
        self._pauses = pauses
        self._zone = config.zone
        self._rng = rng

    def record_failure(
        self,
        target: fleetrecords.TargetEntry,
        now_ms: int,
        symptoms: links.Symptoms,
    ) -> bool:
        """Record a try without an answer; tell if its service is lost by it."""
        usable = [
            entry.target_id
            for entry in self._usable(target.service)
            if not self._health.is_failing_at_peers(entry.target_id, now_ms)
        ]
        return self._links.record_failure(target, usable, now_ms, symptoms)

    def choose_relay(
        self,
        service: str,
        peers: Iterable[peerformat.HostState],
        excluded: Collection[str],
    ) -> peerformat.HostState | None:
        """Return a peer that should serve a request to a service, if any."""
        for agreeing in self._agreeing(peers):
            chosen = relaychoice.choose(
                agreeing, service, self._zone, excluded, self._rng
            )
            if chosen is not None:
                return chosen
        return None

    def choose_with_room(
        self,
        service: str,
        goal_ms: int,
        contacts: Iterable[peerformat.HostState],
        excluded: Collection[str],
    ) -> peerformat.HostState | None:
        """Return a host whose cell has room for a request, if any."""
        for agreeing in self._agreeing(contacts):
            chosen = relaychoice.choose_with_room(
                agreeing, service, goal_ms, excluded, self._rng
            )
            if chosen is not None:
                return chosen
        return None

    def _agreeing(
        self, peers: Iterable[peerformat.HostState]
    ) -> tuple[list[peerformat.HostState], ...]:
        """Return the peers that do not decide by an older configuration.

        First those that are known to have this host's one, then those that
        refuse what their own does not allow: they may have it by now.
        """
        listed = list(peers)
        return (
            [peer for peer in listed if self._is_current(peer)],
            [peer for peer in listed if peer.checks_decisions],
        )

    def _is_current(self, peer: peerformat.HostState) -> bool:
        """Tell whether a peer is known to have this host's configuration.

        Older builds tell no version, and a position stands for one only in the
        history that the configuration comes from.
        """
        in_force = self._view.in_force
        if peer.configuration_version:
            return peer.configuration_version == in_force.version
        if self._view.items.era != in_force.position.era:
            return False
        era = peer.store_era or self._view.items.assumed_era()
        known = store.Position(era, peer.store_revision)
        return known >= in_force.position

    def has_unreachable_target(self, service: str, now_ms: int) -> bool:
        """Tell whether this host fails to reach a target of a service.

        One that asks for a pause is in reach, and its time is kept.
        """
        return any(
            not self._health.is_reachable(entry.target_id, now_ms)
            and not self._pauses.is_pausing(entry, now_ms)
            for entry in self._usable(service)
        )

    def probe_path(self, target: fleetrecords.TargetEntry) -> str:
        """Return the path at which a target tells its health."""
        configuration = self._view.configuration
        service = configuration and configuration.services_by_name.get(
            target.service
        )
        return service.health_path if service else '/'

    def take_due_probes(self, now_ms: int) -> list[fleetrecords.TargetEntry]:
        """Return the targets to probe now, some of each doubtful service."""
        probed: list[fleetrecords.TargetEntry] = []
        for service in self._links.take_due_probes(now_ms):
            usable = [
                entry
                for entry in self._usable(service)
                if not self._pauses.is_pausing(entry, now_ms)
            ]
            self._rng.shuffle(usable)
            usable.sort(key=functools.partial(self._probe_rank, now_ms))
            probed.extend(usable[:PROBED_TARGETS])
        return probed

    def _probe_rank(
        self, now_ms: int, entry: fleetrecords.TargetEntry
    ) -> tuple[bool, bool]:
        """Return the order of probes: sound targets tell most of the links."""
        return (
            self._links.is_failing(entry.service, entry.target_id),
            self._health.is_failing_at_peers(entry.target_id, now_ms),
        )

    def _usable(self, service: str) -> Iterator[fleetrecords.TargetEntry]:
        for entry in self._view.targets_by_id.values():
            if self._view.is_usable(entry, service) and self._cells.serves(
                entry
            ):
                yield entry
