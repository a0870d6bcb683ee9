"""
Occupancy
~~~~~~~~~

The attempts that occupy one target and the memory that they reserve. Memory
of an ended attempt stays counted until a recent report no longer shows it.
"""

from typing import NamedTuple

from bergamotstream import records

# Share of memory and slots that only short requests may use.
SHORT_SHARE = 0.2
# Longest time between a grant and the arrival of its attempt at the target.
MAX_TRANSIT_MS = 500


class Requirement(NamedTuple):
    """What a request requires of one target."""

    length_class: records.LengthClass
    priority: int
    prompt_tokens: int
    memory_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    # The workspace has more than its share of the partition's slots.
    over_share: bool = False
    # A prompt part whose KV cache is exported to the group's next target;
    # each target begins ``delay_ms`` after the grant.
    exported: bool = False
    delay_ms: int = 0


class Occupant:
    """An attempt that occupies a target; ended ones may still run there."""

    def __init__(self, requirement: Requirement, granted_ms: int) -> None:
        """Occupy the target from ``granted_ms`` on."""
        self.requirement = requirement
        self.granted_ms = granted_ms
        self.ended_ms: int | None = None

    @property
    def short(self) -> bool:
        """Return whether it may use the share of short requests."""
        return self.requirement.length_class == 'short'


class Occupancy:
    """Reservations on one target, reconciled with its load reports."""

    def __init__(self, service: records.ServiceConfig) -> None:
        """Start empty; reports add the memory of unknown attempts."""
        self.occupants: dict[str, Occupant] = {}
        self.orphans: frozenset[str] = frozenset()
        self.memory_reserved = 0
        self._service = service
        self._non_short_memory = 0
        self._non_short_count = 0
        self._orphan_memory = 0
        self._freed_ms_by_attempt: dict[str, int] = {}

    @property
    def running(self) -> int:
        """Return attempts that run or may run on the target."""
        return len(self.occupants) + len(self.orphans)

    @property
    def memory_used(self) -> int:
        """Return memory in tokens that is reserved or held by orphans."""
        return self.memory_reserved + self._orphan_memory

    @property
    def non_short_memory_limit(self) -> int:
        """Return the memory that medium and long requests may use."""
        return int(self._service.memory_tokens * (1 - SHORT_SHARE))

    def fits(self, requirement: Requirement, cap: int) -> bool:
        """Return whether the request fits within ``cap`` and the memory."""
        slots = unreserved_slots(cap) if requirement.over_share else cap
        if self.running >= slots:
            return False
        if self._service.kind == 'plain':
            return True
        if (
            self.memory_used + requirement.memory_tokens
            > self._service.memory_tokens
        ):
            return False
        if requirement.length_class == 'short':
            return True
        if self._non_short_count + len(self.orphans) >= unreserved_slots(slots):
            return False
        return self.leaves_memory(requirement, 0)

    def leaves_memory(
        self, requirement: Requirement, reserved_tokens: int
    ) -> bool:
        """Return whether memory remains for a reserved prompt part."""
        used = self._non_short_memory + self._orphan_memory
        required = requirement.memory_tokens + reserved_tokens
        return used + required <= self.non_short_memory_limit

    def occupy(
        self, attempt_id: str, requirement: Requirement, now_ms: int
    ) -> None:
        """Reserve memory and a slot for an attempt."""
        if attempt_id in self.occupants:
            return
        occupant = Occupant(requirement, now_ms)
        self.occupants[attempt_id] = occupant
        self.orphans -= {attempt_id}
        if not self.orphans:
            self._orphan_memory = 0
        self._reserve(occupant, 1)

    def end(self, attempt_id: str, now_ms: int) -> None:
        """Keep an ended attempt's memory until a report omits it."""
        occupant = self.occupants.get(attempt_id)
        if occupant is not None and occupant.ended_ms is None:
            occupant.ended_ms = now_ms

    def free(self, attempt_id: str, now_ms: int) -> None:
        """Free an attempt that has certainly ended."""
        occupant = self.occupants.pop(attempt_id, None)
        if occupant is not None:
            self._reserve(occupant, -1)
            self._freed_ms_by_attempt[attempt_id] = now_ms

    def lost_attempts(
        self, reported_attempts: frozenset[str], sampled_ms: int
    ) -> tuple[str, ...]:
        """Return attempts that a restart before ``sampled_ms`` ended."""
        return tuple(
            attempt_id
            for attempt_id, occupant in self.occupants.items()
            if attempt_id not in reported_attempts
            and occupant.granted_ms < sampled_ms - MAX_TRANSIT_MS
        )

    def free_ended(
        self, reported_attempts: frozenset[str], sampled_ms: int, now_ms: int
    ) -> None:
        """Free ended attempts that a later report does not show."""
        gone = [
            attempt_id
            for attempt_id, occupant in self.occupants.items()
            if occupant.ended_ms is not None
            and attempt_id not in reported_attempts
            and sampled_ms >= occupant.ended_ms
        ]
        for attempt_id in gone:
            self.free(attempt_id, now_ms)

    def ended_but_reported(
        self, reported_attempts: frozenset[str]
    ) -> tuple[str, ...]:
        """Return ended attempts that a report still shows."""
        return tuple(
            attempt_id
            for attempt_id, occupant in self.occupants.items()
            if occupant.ended_ms is not None and attempt_id in reported_attempts
        )

    def find_orphans(
        self,
        reported_attempts: frozenset[str],
        memory_tokens: int,
        sampled_ms: int,
    ) -> None:
        """Find attempts that a report shows and that are unknown here.

        An attempt that was freed after the report was taken is no orphan.
        """
        self._freed_ms_by_attempt = {
            attempt_id: freed_ms
            for attempt_id, freed_ms in self._freed_ms_by_attempt.items()
            if freed_ms > sampled_ms
        }
        known = reported_attempts & self.occupants.keys()
        self.orphans = (
            reported_attempts - known - self._freed_ms_by_attempt.keys()
        )
        known_memory = sum(
            self.occupants[attempt_id].requirement.memory_tokens
            for attempt_id in known
        )
        unknown_memory = max(memory_tokens - known_memory, 0)
        self._orphan_memory = unknown_memory if self.orphans else 0

    def _reserve(self, occupant: Occupant, sign: int) -> None:
        memory = sign * occupant.requirement.memory_tokens
        self.memory_reserved += memory
        if not occupant.short:
            self._non_short_count += sign
            self._non_short_memory += memory


def unreserved_slots(slots: int) -> int:
    """Return the slots without the share that is reserved for others."""
    return max(int(slots * (1 - SHORT_SHARE)), min(slots, 1))
