"""The search for the day that fails: a gate, plain draws, then mutations of the worst, then shrinking. Pure.

`Hunt` says which day to play next and is told what it came to; who plays it, and in how many processes, is
the caller's. A day's figure is how far it stays over its gate: the rules first, then worth.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from minthitch.lab.drawn import GENES, Table, day, plain

SLACK = 0.02  # of worth that a day may be served less than by the late-seeing oracle: chance of one seed
PLAIN_PART = 0.6  # of the plays that are plain draws; the others go on from the worst ones
ROUND = 8  # plays drawn at a time from the worst ones
KEPT = 8  # worst days that are mutated
TRIES = 8  # mutations drawn for one that meets a niche not played before
CHANGED = 3  # genes that a mutation moves
STEP = 0.25  # the most by which it moves one
BUCKETS = 4  # parts of a gene's range that coverage tells apart
FAULT_GENES = ("load", "when", "last", "choke", "cold")  # the fault, and the state that it meets
MOST_SHRINKS = 40  # plays spent on one day

Result = Mapping[str, Any]


@dataclass(frozen=True)
class Verdict:
    """What one day came to."""

    reasons: tuple[str, ...]  # why the gate fails; empty: it is passed
    margin: float  # worth over the gate's; -1 and below where a rule is broken

    @property
    def passed(self) -> bool:
        return not self.reasons


def judge(ours: Result, late: Result) -> Verdict:
    """The gate: the four rules, and the worth that a late-seeing oracle serves on the same day."""
    broken = {rule: count for rule, count in ours["broken"].items() if count}
    margin = ours["worth"] - late["worth"] + SLACK
    reasons = [f"{rule}: {count}" for rule, count in broken.items()]
    if margin < 0.0:
        reasons.append(f"worth {ours['worth']:.3f}, a late-seeing oracle's is {late['worth']:.3f}")
    return Verdict(tuple(reasons), -1.0 - sum(broken.values()) if broken else margin)


@dataclass
class Play:
    """One day to play: with this seed, of these genes."""

    number: int
    family: str
    seed: int
    genes: dict[str, float]
    parent: int = -1  # the play that it goes on from; -1: a plain draw
    verdict: Verdict | None = None

    @property
    def table(self) -> Table:
        return day(self.family, self.genes)

    @property
    def niche(self) -> tuple[int, ...]:
        """What coverage tells apart: fault by state."""
        return tuple(int(self.genes[name] * BUCKETS) for name in FAULT_GENES)


@dataclass
class Hunt:
    """Draws days of one family, `most` in all, round by round: the same ones however they are played."""

    family: str
    most: int
    seed: int = 1
    plays: list[Play] = field(default_factory=list)
    seen: set[tuple[int, ...]] = field(default_factory=set)

    def round(self) -> list[Play]:
        """The next days to play, each then to be told; empty when there are no more."""
        done = len(self.plays)
        plain_ones = math.ceil(PLAIN_PART * self.most)
        if done < plain_ones:
            numbers = range(self.seed, self.seed + plain_ones)
            made = [Play(i, self.family, n, plain(self.family, n)) for i, n in enumerate(numbers)]
        else:
            made = [self._next(number) for number in range(done, min(done + ROUND, self.most))]
        self.plays += made
        return made

    def _next(self, number: int) -> Play:
        stream = random.Random(f"{self.family} {self.seed} {number}")
        worst = self.worst()
        play = self._mutant(number, worst[stream.randrange(len(worst))], stream)
        self.seen.add(play.niche)
        return play

    def _mutant(self, number: int, parent: Play, stream: random.Random) -> Play:
        """Of some tries one whose niche was not played, else the last."""
        for _ in range(TRIES):
            genes = dict(parent.genes)
            for name in stream.sample(GENES, CHANGED):
                moved = genes[name] + stream.uniform(-STEP, STEP)
                genes[name] = min(max(moved, 0.0), 0.999)
            if Play(number, self.family, 0, genes).niche not in self.seen:
                break
        return Play(number, self.family, parent.seed, genes, parent.number)

    def told(self, number: int, verdict: Verdict) -> None:
        """What a day came to. Raises IndexError for one that was not drawn."""
        play = self.plays[number]
        play.verdict = verdict
        self.seen.add(play.niche)

    def worst(self) -> list[Play]:
        """The plays nearest to failing, or furthest beyond, that are known by now."""
        known = [(play.verdict.margin, play.number, play) for play in self.plays if play.verdict is not None]
        return [play for _, _, play in sorted(known, key=lambda row: row[:2])[:KEPT]]

    def failed(self) -> list[Play]:
        return [play for play in self.plays if play.verdict is not None and not play.verdict.passed]


def smaller(table: Table) -> Iterator[Table]:
    """Days like this one with less in them, the largest cuts first."""
    deeds = table["deeds"]
    for i in range(len(deeds)):
        yield {**table, "deeds": deeds[:i] + deeds[i + 1 :]}
    last = max([deed["at"] + deed.get("last", 0.0) + deed.get("spread", 0.0) for deed in deeds], default=4.0)
    if last + 4.0 < table["seconds"]:
        yield {**table, "seconds": last + 4.0}
    load, network = table["load"], table["network"]
    if load.get("profile"):
        yield {**table, "load": {**load, "profile": []}}
    if load["heed"] < 1.0 or load["tries"] > 2:
        yield {**table, "load": {**load, "heed": 1.0, "tries": 2}}
    if network.get("loss"):
        yield {**table, "network": {**network, "loss": 0.0}}
    if len(table["tiers"]) > 1:
        tiers = [dict(tier) for tier in table["tiers"][:-1]]
        tiers[-1]["calls"] = 0
        names = {tier["name"] for tier in tiers}
        kept = [deed for deed in deeds if deed.get("tier", "gateway") in names]
        yield {**table, "tiers": tiers, "deeds": kept}


def shrink(table: Table, fails: Callable[[Table], bool], most: int = MOST_SHRINKS) -> Table:
    """The table cut down for as long as `fails` holds, within `most` plays (greedy, after Zeller's ddmin)."""
    spent = 0
    while spent < most:
        for less in smaller(table):
            spent += 1
            if fails(less):
                table = less
                break
            if spent >= most:
                break
        else:
            break
    return table
