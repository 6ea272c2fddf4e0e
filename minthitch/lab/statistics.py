"""What two rows of runs say of each other: paired differences and bootstrap intervals. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

RESAMPLES = 2_000
LEVEL = 0.95
NOTHING = 1e-9  # differences below this are none


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean of b - a over pairs, and its interval."""

    mean: float
    low: float
    high: float
    pairs: int

    @property
    def word(self) -> str:
        """`better`, `worse` or `no difference`, as the interval has it."""
        if self.pairs < 2 or (self.low <= NOTHING and self.high >= -NOTHING):
            return "no difference"
        return "better" if self.mean > 0 else "worse"


def interval(values: Sequence[float], seed: int = 0) -> tuple[float, float, float]:
    """Mean and its percentile bootstrap interval (Efron, 1979)."""
    array = np.asarray(values, dtype=float)
    if len(array) == 0:
        return 0.0, 0.0, 0.0
    mean = float(array.mean())
    if len(array) == 1:
        return mean, mean, mean
    generator = np.random.Generator(np.random.PCG64(seed))
    means = array[generator.integers(0, len(array), (RESAMPLES, len(array)))].mean(axis=1)
    low, high = np.quantile(means, [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return mean, float(low), float(high)


def paired(a: Sequence[float], b: Sequence[float]) -> Difference:
    """Of rows in the same order of seeds. Raises ValueError where their lengths differ."""
    if len(a) != len(b):
        raise ValueError(f"{len(a)} runs against {len(b)}: they are not pairs")
    mean, low, high = interval([y - x for x, y in zip(a, b, strict=True)])
    return Difference(mean, low, high, len(a))
