"""A server that turns slow when it holds too many calls, and stays so until it was nearly idle. Pure."""

from __future__ import annotations

import math

from minthitch.lab.scenario import Choke, span


class Choking:
    """Told what a server holds whenever that changes; says how much slower it is.

    Means are exponential over the stated times, where real ones would be over windows: a simplification.
    """

    __slots__ = (
        "terms",
        "over",
        "rest",
        "most",
        "cores",
        "held",
        "busy",
        "mean",
        "used",
        "at",
        "since",
        "times",
    )

    def __init__(self, terms: Choke, cores: int) -> None:
        self.terms, self.cores = terms, cores
        self.over, self.rest, self.most = span(terms.over), span(terms.rest), span(terms.most)
        self.times = 0  # that it turned slow
        self.reset(0)

    def reset(self, now: int) -> None:
        """A new process."""
        self.held = self.busy = 0
        self.mean = self.used = 0.0  # calls held; part of the cores at work
        self.at, self.since = now, 0  # since when it is slow; 0 = it is not

    def look(self, now: int, held: int, busy: int) -> None:
        """At `now` it holds `held` calls and has `busy` cores at work; until now, what was told before."""
        if self.terms.at <= 0:
            return
        passed, self.at = now - self.at, now
        self.mean += (self.held - self.mean) * -math.expm1(-passed / self.over)
        self.used += (self.busy / self.cores - self.used) * -math.expm1(-passed / self.rest)
        self.held, self.busy = held, busy
        if not self.since and self.mean > self.terms.at:
            self.since, self.used = now, 1.0
            self.times += 1
        elif self.since and (self.used < self.terms.below or now - self.since >= self.most):
            self.since, self.mean = 0, 0.0

    @property
    def room(self) -> float:
        """Calls that may run or wait for long: while it is slow, few enough that it rests."""
        return 1.0 if self.since else self.terms.at - 1.0

    @property
    def factor(self) -> float:
        """Of its speed."""
        return 1.0 / self.terms.slower if self.since else 1.0
