"""Straight lines through measured points, by least squares."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """y = base + slope * x; `residual` is the largest distance of a point, as a part of the largest y."""

    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        return self.base + self.slope * x


def fitted(points: Sequence[tuple[float, float]]) -> Line:
    """The line with the least sum of squares. Raises ValueError with less than two different x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0.0:
        raise ValueError("all points have the same x")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    most = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(y - base - slope * x) for x, y in points) / most
    return Line(base, slope, residual)
