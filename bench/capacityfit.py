"""
Slopes
~~~~~~

Least-squares line through measured points, and its table.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """``intercept + slope * size``; ``residual`` is the RMS of the errors."""

    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], measured: Sequence[float]) -> Line:
    """Return the least-squares line; needs two different sizes."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean = sum(measured) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    shared = sum(
        (size - mean_size) * (value - mean)
        for size, value in zip(sizes, measured, strict=True)
    )
    slope = shared / spread
    intercept = mean - slope * mean_size
    squares = sum(
        (value - intercept - slope * size) ** 2
        for size, value in zip(sizes, measured, strict=True)
    )
    return Line(intercept, slope, math.sqrt(squares / count))


def table(
    title: str,
    sizes: Sequence[float],
    columns: Mapping[str, Sequence[float]],
) -> str:
    """Return a Markdown table with one column for each measured quantity."""
    lines = [
        f'| {title} | ' + ' | '.join(columns) + ' |',
        '| --- |' + ' ---: |' * len(columns),
    ]
    for number, size in enumerate(sizes):
        row = [f'{values[number]:.4g}' for values in columns.values()]
        lines.append(f'| {size:g} | ' + ' | '.join(row) + ' |')
    if len(set(sizes)) > 1:
        lines += _fit_rows(sizes, columns)
    return '\n'.join(lines) + '\n'


def _fit_rows(
    sizes: Sequence[float], columns: Mapping[str, Sequence[float]]
) -> list[str]:
    fitted = [fit(sizes, values) for values in columns.values()]
    return [
        f'| {label} | ' + ' | '.join(f'{entry:.4g}' for entry in row) + ' |'
        for label, row in zip(
            ('intercept', 'slope', 'residual'),
            zip(*fitted, strict=True),
            strict=True,
        )
    ]
