"""Streams of random numbers by name: a change of one part of a run leaves the other streams alone."""

from __future__ import annotations

import math
from hashlib import blake2b

import numpy as np

BLOCK = 512  # numbers drawn at a time: one by one they cost ten times as much
KINDS = ("fixed", "exponential", "lognormal", "pareto")


class Stream:
    """Uniform numbers in [0, 1), from numpy's PCG64, and what is made of them."""

    __slots__ = ("generator", "block", "place")

    def __init__(self, seed: int, name: str) -> None:
        key = int.from_bytes(blake2b(name.encode(), digest_size=8).digest())
        self.generator = np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, key])))
        self.block: list[float] = []
        self.place = 0

    def uniform(self) -> float:
        if self.place >= len(self.block):
            self.block, self.place = self.generator.random(BLOCK).tolist(), 0
        self.place += 1
        return self.block[self.place - 1]

    def below(self, count: int) -> int:
        return int(self.uniform() * count)

    def exponential(self) -> float:
        """Of mean 1."""
        return -math.log(1.0 - self.uniform())

    def normal(self) -> float:
        """By Box and Muller."""
        return math.sqrt(2.0 * self.exponential()) * math.cos(2.0 * math.pi * self.uniform())

    def spread(self, kind: str, width: float) -> float:
        """A factor of mean 1: `width` is sigma of a lognormal, or the tail's index of a Pareto (above 1)."""
        if kind == "exponential":
            return self.exponential()
        if kind == "lognormal":
            return math.exp(width * self.normal() - width * width / 2.0)
        if kind == "pareto":
            return (width - 1.0) / width * math.exp(self.exponential() / width)
        return 1.0

    def pick(self, weights: list[float]) -> int:
        """A position by cumulative weights that end at 1."""
        x = self.uniform()
        return next((i for i, edge in enumerate(weights) if x < edge), len(weights) - 1)

    def sample(self, count: int, most: int) -> list[int]:
        """`most` different numbers below `count`, in the order drawn."""
        left = list(range(count))
        return [left.pop(self.below(len(left))) for _ in range(min(most, count))]


def edges(shares: list[float]) -> list[float]:
    """Cumulative weights that end at 1, for `Stream.pick`."""
    total = sum(shares)
    return [sum(shares[: i + 1]) / total for i in range(len(shares))]


class Streams:
    """All streams of one run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.made: dict[str, Stream] = {}

    def __call__(self, name: str) -> Stream:
        if name not in self.made:
            self.made[name] = Stream(self.seed, name)
        return self.made[name]

    def number(self, name: str) -> int:
        """A seed for what has random numbers of its own."""
        return int.from_bytes(blake2b(f"{self.seed} {name}".encode(), digest_size=8).digest())
