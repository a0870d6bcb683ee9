"""
Links
~~~~~

Tells a lost link of this host from a lost target. A try that fails says nothing
about its target by itself: the host may have lost its links. It does once
another target of the service has answered a request that was placed later. A
service at which several targets fail in a row is out of reach of this host
until a target answers again. Peers tell which of these targets they have reached
meanwhile; if there is one, the links of this host had failed.
"""

from collections.abc import Collection
from typing import Final, NamedTuple

from bergamotstream.forwarding import fleetrecords

# Targets that fail in a row before a service counts as out of reach; all of
# them if it has fewer.
LOST_TARGETS: Final = 3
# Targets that fail in a row before peers serve what comes next.
DOUBTFUL_TARGETS: Final = 2
# Wait for an answer to another request before a probe is sent, and the interval
# between probes while there is none.
FIRST_PROBE_MS: Final = 150
PROBE_INTERVAL_MS: Final = 400
# Maximum targets in a message to peers.
MAX_SHARED: Final = 64


class TargetTime(NamedTuple):
    """When something happened at one run of a target."""

    target_id: str
    started_ms: int
    at_ms: int


class Symptoms(NamedTuple):
    """How a try failed."""

    # Nothing listens at the target, or the link refuses for it.
    refused: bool = False
    # The connection is open, and no answer has come.
    silent: bool = False
    is_probe: bool = False


class Failure(NamedTuple):
    """The first failure at a target since the last answer of its service."""

    target_id: str
    started_ms: int
    at_ms: int
    # Whether the target refused a connection.
    refused: bool = False
    # Whether it was only silent, as busy ones may be.
    silent: bool = False


class Report(NamedTuple):
    """What a host tells its peers of its links."""

    # Services whose targets it does not reach.
    lost_services: tuple[str, ...] = ()
    # When their targets failed.
    failing: tuple[TargetTime, ...] = ()
    # Targets that fail at a peer and that this host has reached since.
    reached: tuple[TargetTime, ...] = ()


class Verdict(NamedTuple):
    """Failures that an answer explains."""

    failures: tuple[Failure, ...]
    # True if the links of this host failed, not the targets.
    links_failed: bool = False
    # Whether the service was out of reach until now.
    was_lost: bool = False


class _ServiceLinks:
    """Failures at the targets of one service."""

    def __init__(self) -> None:
        self.failures_by_target: dict[str, Failure] = {}
        self.is_lost = False
        self.probed_ms: int | None = None
        # Whether a target has failed that no request of a caller had reached.
        self.has_failed_probe = False
        # Whether a peer has reached one of these targets since it failed.
        self.is_refuted = False


NO_VERDICT: Final = Verdict(())


class LinkMonitor:
    """What this host has seen of its links, by service."""

    def __init__(self) -> None:
        """Start with sound links."""
        self._links_by_service: dict[str, _ServiceLinks] = {}
        # The last request that each target has answered, by id and start.
        self._reached_ms_by_run: dict[tuple[str, int], int] = {}
        self._failing_by_peer: dict[str, tuple[TargetTime, ...]] = {}

    def record_failure(
        self,
        target: fleetrecords.TargetEntry,
        usable: Collection[str],
        now_ms: int,
        symptoms: Symptoms,
    ) -> bool:
        """Record a try without an answer; tell if the service is lost by it.

        ``usable`` are the ids of the service's targets that do not fail at
        peers. A service is lost only once a probe has failed too, as a request
        may end its targets.
        """
        links = self._links_by_service.setdefault(
            target.service, _ServiceLinks()
        )
        known = links.failures_by_target.get(target.target_id)
        links.failures_by_target[target.target_id] = Failure(
            target.target_id,
            target.started_ms,
            known.at_ms if known else now_ms,
            symptoms.refused or (known is not None and known.refused),
            symptoms.silent and (known is None or known.silent),
        )
        links.has_failed_probe = links.has_failed_probe or symptoms.is_probe
        failing = links.failures_by_target.keys() & set(usable)
        if (
            links.is_lost
            or not links.has_failed_probe
            or not failing
            or len(failing) < min(LOST_TARGETS, len(usable))
        ):
            return False
        links.is_lost = True
        return True

    def record_answer(
        self, target: fleetrecords.TargetEntry, placed_ms: int
    ) -> Verdict:
        """Record an answer to a request that was placed at a time."""
        run = target.target_id, target.started_ms
        self._reached_ms_by_run[run] = placed_ms
        service = target.service
        links = self._links_by_service.get(service)
        if links is None:
            return NO_VERDICT
        failures = tuple(links.failures_by_target.values())
        explained = tuple(
            failure for failure in failures if failure.at_ms <= placed_ms
        )
        if not explained:
            return NO_VERDICT
        links_failed = links.is_lost and links.is_refuted
        if links.is_lost:
            # Failures while the links return have the same cause.
            explained = failures
        # Failures count in a row, and the answer ends it.
        links.has_failed_probe = False
        for failure in explained:
            links.failures_by_target.pop(failure.target_id)
        if not links.failures_by_target:
            self._links_by_service.pop(service)
        return Verdict(explained, links_failed, was_lost=links.is_lost)

    def withdraw(self, service: str, target_id: str) -> None:
        """Drop the failure of a target that was silent and goes on."""
        links = self._links_by_service.get(service)
        if links is None or links.is_lost:
            return
        failure = links.failures_by_target.get(target_id)
        if failure is not None and failure.silent:
            links.failures_by_target.pop(target_id)
        if not links.failures_by_target:
            self._links_by_service.pop(service)

    def forget(self, target_id: str) -> None:
        """Drop the failure of a target that has left or restarted."""
        self._reached_ms_by_run = {
            run: reached_ms
            for run, reached_ms in self._reached_ms_by_run.items()
            if run[0] != target_id
        }
        for service, links in tuple(self._links_by_service.items()):
            links.failures_by_target.pop(target_id, None)
            if not links.failures_by_target:
                self._links_by_service.pop(service)

    def is_lost(self, service: str) -> bool:
        """Tell whether the targets of a service are out of reach."""
        links = self._links_by_service.get(service)
        return links is not None and links.is_lost

    def is_doubtful(self, service: str) -> bool:
        """Tell whether several targets of a service have failed in a row."""
        broken = [
            failure for failure in self.failures(service) if not failure.silent
        ]
        return len(broken) >= DOUBTFUL_TARGETS

    def report(self, live_peers: Collection[str]) -> Report:
        """Return what peers should know; those that are gone are dropped."""
        self._failing_by_peer = {
            name: failing
            for name, failing in self._failing_by_peer.items()
            if name in live_peers
        }
        lost = self.lost_services()
        failing = tuple(
            TargetTime(*failure[:3])
            for service in lost
            for failure in self.failures(service)
        )
        reached = tuple(
            failed._replace(at_ms=reached_ms)
            for failed in set().union(*self._failing_by_peer.values())
            if (reached_ms := self._reached_ms(failed)) > failed.at_ms
        )
        return Report(lost, failing[:MAX_SHARED], reached[:MAX_SHARED])

    def hear(self, peer: str, report: Report) -> None:
        """Apply the report of a peer."""
        self._failing_by_peer[peer] = report.failing
        reached_ms_by_run = {
            (entry.target_id, entry.started_ms): entry.at_ms
            for entry in report.reached
        }
        for links in self._links_by_service.values():
            for failure in links.failures_by_target.values():
                run = failure.target_id, failure.started_ms
                if reached_ms_by_run.get(run, failure.at_ms) > failure.at_ms:
                    links.is_refuted = True

    def lost_services(self) -> tuple[str, ...]:
        """Return the services whose targets are out of reach."""
        return tuple(filter(self.is_lost, self._links_by_service))

    def failures(self, service: str) -> tuple[Failure, ...]:
        """Return the failures at a service since its last answer."""
        links = self._links_by_service.get(service)
        return tuple(links.failures_by_target.values()) if links else ()

    def unproved(self) -> set[str]:
        """Return the targets whose failures may be due to the links."""
        return set().union(
            *(
                links.failures_by_target
                for links in self._links_by_service.values()
            )
        )

    def is_failing(self, service: str, target_id: str) -> bool:
        """Tell whether a target has failed since the last answer."""
        links = self._links_by_service.get(service)
        return links is not None and target_id in links.failures_by_target

    def take_due_probes(self, now_ms: int) -> list[str]:
        """Return the services at which a target should be probed now."""
        due = []
        for service, links in self._links_by_service.items():
            failures = links.failures_by_target.values()
            first_ms = min(failure.at_ms for failure in failures)
            due_ms = first_ms + FIRST_PROBE_MS
            if links.probed_ms is not None:
                due_ms = links.probed_ms + PROBE_INTERVAL_MS
            if due_ms <= now_ms:
                links.probed_ms = now_ms
                due.append(service)
        return due

    def _reached_ms(self, failed: TargetTime) -> int:
        """Return when this host placed the last request that was answered."""
        run = failed.target_id, failed.started_ms
        return self._reached_ms_by_run.get(run, failed.at_ms)
