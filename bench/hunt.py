"""Does the hunt find what it should? Drawn days with our decisions, and with faults planted in them.

`python -m bench.hunt [--quick]`: days of all families by the gate of `lab hunt`, and for each planted fault
how many draws it took to be seen. Ratios and counts only.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from multiprocessing import get_context
from typing import Any

from minthitch import interface as api
from minthitch.engine import Decider
from minthitch.lab.drawn import FAMILIES, day, plain
from minthitch.lab.hunt import Verdict
from minthitch.lab.nodes import MakeDecider
from minthitch.lab.rivals.base import World
from minthitch.lab.trial import verdict
from minthitch.policy import Attempt, Balancer, Request, Server
from rigs.cluster.without import Eager

DAYS, QUICK_DAYS = 200, 20  # over all families
DRAWS = 3  # within which a planted fault is to be seen


class Shy(Balancer):
    """After a refused connect nothing but open connections for 30 s: the full fleet's fault on zone days."""

    until = 0

    def _record_outcome(self, now: int, request: Request, attempt: Attempt, latency: int) -> None:
        super()._record_outcome(now, request, attempt, latency)
        if attempt.status is api.Status.CONNECT_FAILED:
            self.until = now + 30 * api.SECOND

    def _eligible(self, now: int) -> list[Server]:
        pool = super()._eligible(now)
        idle = [s for s in pool if s.in_flight < s.connections]
        return idle if now < self.until and len(idle) >= 3 else pool


class Twice(Balancer):
    """Sends what may have run again, whatever its class."""

    def _dispatch(self, now: int, request: Request, timer_set: bool = False) -> None:
        request.spec = replace(request.spec, effect=api.Effect.SAFE)
        super()._dispatch(now, request, timer_set)


class Astray(Balancer):
    """Repeats a keyed call in any group."""

    @staticmethod
    def _same_group(spec: api.RequestClass, a: Server, b: Server) -> bool:
        return True


class Polite(Balancer):
    """Says that a further try is harmless where a call may have run."""

    def _refuse_or_fail(self, request: Request) -> None:
        request.repeat_safe = True
        super()._refuse_or_fail(request)


class Tardy(Balancer):
    """Gives up a second behind the client."""

    def _answer_by(self, request: Request) -> int:
        return request.deadline + api.SECOND


class Loyal(Balancer):
    """Does not hear that a server drains."""

    def _on_list(self, now: int, event: api.ListUpdate) -> None:
        kept = tuple(e for e in event.entries if e.state is not api.State.DRAINING)
        super()._on_list(now, replace(event, entries=kept))


class Open(Balancer):
    """Turns nothing away."""

    def _admit(self, now: int, event: api.RequestArrived) -> bool:
        return True


class Deaf(Balancer):
    """Goes on to what is gone."""

    def _on_list(self, now: int, event: api.ListUpdate) -> None:
        ready = tuple(e for e in event.entries if e.state is api.State.READY)
        super()._on_list(now, api.ListUpdate(api.ListKind.CHANGES, ready))


class Shut(Balancer):
    """Turns away half of all."""

    def _admit(self, now: int, event: api.RequestArrived) -> bool:
        return super()._admit(now, event) and self.random.random() < 0.5


# Each with the family in which it is looked for.
PLANTED: dict[type[Balancer], str] = {
    Shy: "zone",
    Twice: "split",
    Astray: "split",
    Polite: "split",
    Tardy: "split",
    Loyal: "roll",
    Eager: "zone",
    Open: "zone",
    Deaf: "join",
    Shut: "calm",
}


def maker(fault: type[Balancer] | None) -> MakeDecider | None:
    if fault is None:
        return None

    def make(settings: api.Settings, seed: int, world: World) -> Decider:
        return fault(settings, seed)

    return make


def play(work: tuple[str, str, int]) -> tuple[str, str, int, Verdict]:
    """One drawn day: fault (empty: none), family, seed."""
    name, family, seed = work
    fault = next((fault for fault in PLANTED if fault.__name__ == name), None)
    return name, family, seed, verdict(day(family, plain(family, seed)), seed, maker(fault))


def works(days: int) -> Iterator[tuple[str, str, int]]:
    families = list(FAMILIES)
    for i in range(days):
        yield "", families[i % len(families)], 1 + i // len(families)
    for fault, family in PLANTED.items():
        for seed in range(1, DRAWS + 1):
            yield fault.__name__, family, seed


def shown(played: list[tuple[str, str, int, Verdict]], say: Callable[[str], Any] = print) -> list[str]:
    """Says what was seen; gives what falls short."""
    short = []
    clean = {(family, seed): found for name, family, seed, found in played if not name}
    for family in FAMILIES:
        mine = [found for (name, _), found in clean.items() if name == family]
        broken = sum(found.margin <= -1.0 for found in mine)
        failed = sum(not found.passed for found in mine)
        say(
            f"{family}: {len(mine)} days, {broken} with a broken rule, {failed} fail the gate, least margin "
            f"{min(found.margin for found in mine):+.3f}"
        )
        if failed:
            short.append(f"{failed} days of {family} fail")
    for fault, family in PLANTED.items():
        draws = [(seed, found) for name, _, seed, found in played if name == fault.__name__]
        # Seen where a rule breaks, or where a day is served worse than the same day without the fault.
        seen = [
            seed
            for seed, found in draws
            if found.margin <= -1.0 or (not found.passed and found.margin < clean[family, seed].margin - 0.02)
        ]
        say(
            f"planted, {fault.__name__} ({family}): seen in {len(seen)} of {len(draws)} draws, "
            f"{f'first in draw {seen[0]}' if seen else 'never'}"
        )
        if not seen:
            short.append(f"{fault.__name__} is not found in {len(draws)} draws")
    return short


def main() -> int:
    parser = argparse.ArgumentParser(prog="bench.hunt")
    parser.add_argument("--quick", action="store_true", help="20 days, and two draws of each fault")
    args = parser.parse_args()
    wanted = [
        work
        for work in works(QUICK_DAYS if args.quick else DAYS)
        if not (args.quick and work[0] and work[2] > 2)
    ]
    with ProcessPoolExecutor(max(os.cpu_count() or 1, 1), get_context("spawn")) as workers:
        played = list(workers.map(play, wanted))
    short = shown(played)
    print("hunt: ok" if not short else f"hunt: short: {'; '.join(short)}")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
