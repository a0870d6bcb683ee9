"""
Metrics
~~~~~~~

Counters and histograms of one host by name and label.
"""

import collections
from collections.abc import Callable, Mapping
from typing import NamedTuple

from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
PER_CENT = 100


class Series(NamedTuple):
    """A metric's name and its label, which may be empty."""

    metric: str
    label: str


class Summary(NamedTuple):
    """Count and quantiles of durations in milliseconds."""

    observed: int
    values_by_quantile: dict[float, int]


class Snapshot(NamedTuple):
    """All metrics at one point in time."""

    counters: dict[Series, int]
    summaries: dict[Series, Summary]
    gauges: Mapping[Series, float]


class Metrics:
    """Metrics of one host."""

    def __init__(self) -> None:
        """Start at zero and without gauges."""
        self.read_gauges: Callable[[], Mapping[Series, float]] = dict
        self._counters: collections.Counter[Series] = collections.Counter()
        self._histograms: dict[Series, histogram.HdrHistogram] = {}

    def count(self, metric: str, label: str = '', amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[Series(metric, label)] += amount

    def observe(self, metric: str, label: str, duration_ms: int) -> None:
        """Record a duration; values out of range are clamped."""
        series = Series(metric, label)
        if series not in self._histograms:
            self._histograms[series] = histogram.HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
        bounded = min(max(duration_ms, LOWEST_MS), HIGHEST_MS)
        self._histograms[series].record_value(bounded)

    def snapshot(self) -> Snapshot:
        """Return the current values."""
        summaries = {
            series: Summary(recorded.get_total_count(), quantiles(recorded))
            for series, recorded in self._histograms.items()
        }
        return Snapshot(dict(self._counters), summaries, self.read_gauges())


def quantiles(recorded: histogram.HdrHistogram) -> dict[float, int]:
    """Return the values of a histogram at ``QUANTILES``."""
    return {
        quantile: recorded.get_value_at_percentile(quantile * PER_CENT)
        for quantile in QUANTILES
    }
