"""
Asked pauses
~~~~~~~~~~~~

Times for which targets want no request from this host. A target asks for one
in a refusal. It holds for this host and this run of the target only, so peers
are not told.
"""

import random
from typing import Final, NamedTuple

from bergamotstream.forwarding import fleetrecords, fleetview, namedlimits

MS_PER_S: Final = 1_000
# A longer pause is not meant: targets are replaced sooner.
MAX_PAUSE_MS: Final = 60_000
# A longer text is no number of seconds.
MAX_TEXT: Final = 32
# Share of a pause by which it is longer on some hosts, and the limits of it, so
# that hosts do not come back at once.
SPREAD_SHARE: Final = 0.1
SPREAD_MS: Final = (100, 1_000)
# For this time after a pause a host sends one request in each interval.
RETURN_MS: Final = 1_000
RETURN_INTERVAL_MS: Final = 100
# Runs that are remembered.
MAX_RUNS: Final = 4_096


class Pause(NamedTuple):
    """A pause, from the answer that asked for it to its end on this host."""

    run: fleetrecords.TargetRun
    asked_ms: int
    until_ms: int


class AskedPauses:
    """The pauses that targets have asked this host for."""

    def __init__(self, rng: random.Random) -> None:
        """Start without pauses; ``rng`` spreads their ends."""
        self._rng = rng
        self._pauses_by_run: dict[fleetrecords.TargetRun, Pause] = {}
        self._sent_ms_by_run: dict[fleetrecords.TargetRun, int] = {}
        # Runs whose odd texts are known; the oldest come first.
        self._odd_runs: dict[fleetrecords.TargetRun, None] = {}

    def record_asked(
        self, run: fleetrecords.TargetRun, asked_ms: int, now_ms: int
    ) -> Pause:
        """Record that a run asks for a pause; it replaces the one before.

        A pause over ``MAX_PAUSE_MS`` ends after that time.
        """
        pause_ms = min(asked_ms, MAX_PAUSE_MS)
        shortest_ms, longest_ms = SPREAD_MS
        most_ms = min(max(pause_ms * SPREAD_SHARE, shortest_ms), longest_ms)
        spread_ms = self._rng.randint(0, round(most_ms)) if pause_ms else 0
        pause = Pause(run, asked_ms, now_ms + pause_ms + spread_ms)
        self._pauses_by_run.pop(run, None)
        self._pauses_by_run[run] = pause
        if len(self._pauses_by_run) > MAX_RUNS:
            oldest = next(iter(self._pauses_by_run))
            self._pauses_by_run.pop(oldest)
            self._sent_ms_by_run.pop(oldest, None)
        return pause

    def record_odd(self, run: fleetrecords.TargetRun) -> bool:
        """Record a text that is no time; tell whether it is the first one."""
        if run in self._odd_runs:
            return False
        self._odd_runs[run] = None
        if len(self._odd_runs) > MAX_RUNS:
            self._odd_runs.pop(next(iter(self._odd_runs)))
        return True

    def record_sent(
        self, target: fleetrecords.TargetEntry, now_ms: int
    ) -> None:
        """Count a request to a target that has asked for a pause before."""
        run = fleetrecords.run_of(target)
        if run in self._pauses_by_run:
            self._sent_ms_by_run[run] = now_ms

    def wait_ms(self, target: fleetrecords.TargetEntry, now_ms: int) -> int:
        """Return the time until the target takes a request, 0 if it does."""
        run = fleetrecords.run_of(target)
        pause = self._pauses_by_run.get(run)
        if pause is None:
            return 0
        if now_ms < pause.until_ms:
            return pause.until_ms - now_ms
        if now_ms >= pause.until_ms + RETURN_MS:
            return 0
        sent_ms = self._sent_ms_by_run.get(run, fleetview.NEVER_MS)
        if sent_ms < pause.until_ms:
            return 0
        return max(sent_ms + RETURN_INTERVAL_MS - now_ms, 0)

    def is_pausing(self, target: fleetrecords.TargetEntry, now_ms: int) -> bool:
        """Tell whether a target wants no request now."""
        pause = self._pauses_by_run.get(fleetrecords.run_of(target))
        return pause is not None and now_ms < pause.until_ms


def parse(texts: list[str]) -> int | None:
    """Return the time in ms that the fields of an answer ask for.

    ``None`` unless there is one field, and it is a decimal number of seconds
    that is not negative.
    """
    if len(texts) != 1 or len(texts[0]) > MAX_TEXT:
        return None
    seconds = namedlimits.parse_number(texts[0])
    return None if seconds is None else round(seconds * MS_PER_S)
