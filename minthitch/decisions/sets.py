"""Which servers race for a call: the cheapest set with a sufficient joint chance to answer in time."""

from __future__ import annotations

import math
from itertools import combinations

TYPE_CHECKING = False  # importing typing only for this would load one more module
if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import TypeVar

    S = TypeVar("S")
    Candidate = tuple[float, float, S]  # price, chance to answer in time, server
else:
    Candidate = tuple


def cheapest_set(candidates: Sequence[Candidate[S]], target: float, max_size: int) -> list[Candidate[S]]:
    """The cheapest set of at most `max_size` whose joint chance reaches the target, else the best server.

    The search is exact: a candidate is dropped only when `max_size` cheaper ones are as likely to answer.
    """
    best: tuple[Candidate[S], ...] = ()
    kept: list[Candidate[S]] = []
    cost = math.inf
    for c in sorted(candidates, key=lambda c: c[0]):
        if c[1] >= target and c[0] < cost:
            best, cost = (c,), c[0]
        if sum(k[1] >= c[1] for k in kept) < max_size:
            kept.append(c)
    for size in range(2, max_size + 1):
        if len(kept) < size or kept[0][0] * size >= cost:
            break
        for group in combinations([c for c in kept if c[0] < cost], size):
            price = sum(c[0] for c in group)
            if price < cost and 1.0 - math.prod(1.0 - c[1] for c in group) >= target:
                best, cost = group, price
    return list(best) or [max(candidates, key=lambda c: c[1])]
