"""Exponentially decaying statistics over the outcomes of attempts."""

from __future__ import annotations

import math

from minthitch.decisions.gamma import REFERENCE

SECOND = 1_000_000_000  # same as interface.SECOND; importing interface only for this would load more modules
HALF_LIFE = 10 * SECOND  # age at which an outcome has half its weight: servers change within tens of seconds
LOAD_HALF_LIFE = 2 * SECOND  # the same for the common load, which every call measures and which moves faster
CLASS_HALF_LIFE = 60 * SECOND  # the same for a class's latency relative to other classes: almost constant
SPARSE = 5.0  # below this many outcomes the curve is exponential: two parameters need more than a few calls
PRIOR_WEIGHT = 2.0  # outcomes that the prior (the kind's or all servers' evidence) counts for
PRIOR_SHARE = 0.9  # share of calls within the reference time before any outcome: about the exponential's


class Evidence:
    """Decaying sums over outcomes; times are multiples of each call's expected latency."""

    __slots__ = ("half_life", "min_decay", "trials", "hits", "ends", "time", "at")

    def __init__(self, half_life: int, min_samples: float = 1.0) -> None:
        # An outcome decays earlier ones to no less than min_decay, or to their decay by HALF_LIFE if that is
        # less: the sums then hold about min_samples outcomes even if few come.
        self.half_life, self.min_decay = half_life, 1.0 - 1.0 / min_samples
        self.trials = self.hits = 0.0  # outcomes judged against the reference time; those within it
        self.ends = self.time = 0.0  # answers; time waited for answers and for failures
        self.at = 0

    def fade(self, now: int) -> float:
        """The factor by which the sums have decayed since the last outcome."""
        return math.exp2((self.at - now) / self.half_life)

    def note(self, now: int, elapsed: float, ok: bool, failed: bool) -> None:
        fade = max(self.fade(now), min(self.min_decay, math.exp2((self.at - now) / HALF_LIFE)))
        self.at = now
        self.time = self.time * fade + elapsed
        self.ends = self.ends * fade + ok
        judged = ok or failed or elapsed > REFERENCE  # if cancelled earlier, it might have been in time
        self.trials = self.trials * fade + judged
        self.hits = self.hits * fade + (ok and elapsed <= REFERENCE)

    def mean(self, now: int, prior: float, waiting: float = 0.0) -> float:
        """Time waited per answer: a failure adds its time and no answer, so it never lowers the mean."""
        fade = self.fade(now)
        return (self.time * fade + waiting + PRIOR_WEIGHT * prior) / (self.ends * fade + PRIOR_WEIGHT)

    def share(self, now: int, prior: float = PRIOR_SHARE) -> float:
        """Share of outcomes that were answers within the reference time."""
        fade = self.fade(now)
        return (self.hits * fade + PRIOR_WEIGHT * prior) / (self.trials * fade + PRIOR_WEIGHT)
