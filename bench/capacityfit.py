"""
Slopes
~~~~~~

Least-squares line through measured points, and its table.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
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
    lines = [_row(title, columns), _row('---', ('---:' for _ in columns))]
    lines.extend(
        _row(f'{size:g}', _texts(measured))
        for size, measured in zip(
            sizes, zip(*columns.values(), strict=True), strict=True
        )
    )
    if len(set(sizes)) > 1:
        lines.extend(_fit_rows(sizes, columns))
    return '\n'.join((*lines, ''))


def _fit_rows(
    sizes: Sequence[float], columns: Mapping[str, Sequence[float]]
) -> list[str]:
    fitted = [fit(sizes, values) for values in columns.values()]
    return [
        _row(label, _texts(numbers))
        for label, numbers in zip(
            Line._fields, zip(*fitted, strict=True), strict=True
        )
    ]


def _texts(numbers: Iterable[float]) -> list[str]:
    return [f'{number:.4g}' for number in numbers]


def _row(title: str, entries: Iterable[str]) -> str:
    cells = ' | '.join((title, *entries))
    return f'| {cells} |'
