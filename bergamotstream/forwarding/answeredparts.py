"""
Answered parts
~~~~~~~~~~~~~~

Decides how long an answer speaks for a part of prompts. Targets that end
together end requests that were sent before anything was known of it; a part at
fault also ends targets that were chosen after its first crash was known. Such
crashes contradict the answers before them.
"""

from typing import Final

from bergamotstream.forwarding import crashcounts, fleetview

# A sound part may run beside the cause again, rarely three times in a row.
CONTRADICTING_CRASHES: Final = 3


class AnsweredParts:
    """Crashes under parts since their last answer."""

    def __init__(self) -> None:
        """Start without a crash."""
        # When this host first knew of a crash since the last answer.
        self._known_ms_by_part: dict[int, int] = {}
        self._later_crashes_by_part: dict[int, int] = {}
        self._contradicted_ms_by_part: dict[int, int] = {}

    def record_known(self, part: int, now_ms: int) -> None:
        """Record that this host knows of a crash under a part."""
        self._known_ms_by_part.setdefault(part, now_ms)

    def record_broken(self, part: int, placed_ms: int, now_ms: int) -> None:
        """Record a target that ended under a try placed at ``placed_ms``."""
        if placed_ms > self._known_ms_by_part.get(part, now_ms):
            crashes = self._later_crashes_by_part.get(part, 0) + 1
            self._later_crashes_by_part[part] = crashes
            if crashes >= CONTRADICTING_CRASHES:
                self._contradicted_ms_by_part[part] = now_ms
        self.record_known(part, now_ms)

    def record_answer(self, part: int, answered_ms: int) -> None:
        """Record an answer, which counts against the crashes before it."""
        if self._known_ms_by_part.get(part, answered_ms) < answered_ms:
            self._later_crashes_by_part.pop(part, None)
        for times_by_part in (
            self._known_ms_by_part,
            self._contradicted_ms_by_part,
        ):
            if times_by_part.get(part, answered_ms) < answered_ms:
                times_by_part.pop(part)

    def contradicted_ms(self, part: int) -> int:
        """Return the time up to which answers say nothing about a part."""
        return self._contradicted_ms_by_part.get(part, fleetview.NEVER_MS)

    def drop_expired(self, now_ms: int) -> None:
        """Drop what is older than the time for which an answer counts."""
        limit_ms = now_ms - crashcounts.PART_LIMITS.served_ms
        crashcounts.drop_before(self._known_ms_by_part, limit_ms)
        crashcounts.drop_before(self._contradicted_ms_by_part, limit_ms)
        self._later_crashes_by_part = {
            part: crashes
            for part, crashes in self._later_crashes_by_part.items()
            if part in self._known_ms_by_part
        }
