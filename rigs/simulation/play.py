"""Runs one simulated day from a seed or an explicit schedule, and checks its history."""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from typing import Any, NamedTuple
from unittest import mock

from minthitch.mesh.control import consensus as consensus_module
from minthitch.mesh.control import server as server_module
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.events.events import LOG
from minthitch.mesh.raft import leader as leader_module
from minthitch.mesh.raft import log as log_module
from minthitch.mesh.sidecar.sidecar import Sidecar
from rigs.simulation import mesh
from rigs.simulation.checks import violations
from rigs.simulation.clients import DEADLINES_S, ROUTE_TIMEOUT_S, Clients, Operators
from rigs.simulation.fault_injector import FaultInjector
from rigs.simulation.history import History
from rigs.simulation.loop import VirtualLoop
from rigs.simulation.mesh import CONTROLS, MakeControl, MakeFront, Site
from rigs.simulation.network import Network
from rigs.simulation.schedule import Fault, draw_schedule

SNAPSHOT_INTERVALS = (10, 25, 60)  # log entries between two snapshots; a day has some 250
RETAINED_ENTRY_COUNTS = (0, 6, 40)  # log entries retained before a snapshot
CHUNK_SIZES_BYTES = (300, 2_000, 64 * 1024)  # of log entries or of a snapshot in one message
Action = Callable[[Site, Clients, Operators], None]


class Day(NamedTuple):
    """Duration and load of a day, additional actions by time, and the programs to run."""

    seconds: float = 16.0
    rate: float = 4.0  # requests a second at each sidecar
    every: float = 0.8  # seconds between two changes of the configuration
    quiet: float = 7.0  # seconds after the last fault, for recovery
    failure_rate: float | None = None  # of requests at servers; None: drawn
    deadlines: tuple[float, ...] = DEADLINES_S  # of clients, in seconds
    timeout: float = ROUTE_TIMEOUT_S  # of the routes, in seconds
    actions: tuple[tuple[float, Action], ...] = ()
    make_control: MakeControl = ControlServer
    make_front: MakeFront = Sidecar
    controls: tuple[str, ...] = CONTROLS
    make_network: Callable[[VirtualLoop], Network] = Network


class Played(NamedTuple):
    history: History
    broken: list[str]
    site: Site


def play(seed: int, schedule: Sequence[Fault] | None = None, day: Day = Day()) -> Played:  # noqa: B008
    """Runs a day; without a schedule, one is drawn from the seed."""
    faults = draw_schedule(seed, day.seconds) if schedule is None else list(schedule)
    chance = random.Random(seed ^ 0x5EED)
    site: Site | None = None

    def clock() -> int:
        return int(site.loop.time() * 1e9) if site is not None else 0

    with ExitStack() as stack:
        for patch in (
            mock.patch.object(os, "urandom", chance.randbytes),
            mock.patch.object(time, "monotonic_ns", clock),
            mock.patch.object(LOG, "disabled", True),
            *_patch_small_limits(chance),
        ):
            stack.enter_context(patch)
        site = Site(seed, day.make_control, day.make_front, day.controls, day.make_network)
        _run(site, faults, day)
    site.loop.close()
    return Played(site.history, violations(site.history), site)


def _patch_small_limits(chance: random.Random) -> list[Any]:
    """Patches limits to be so small that every day has snapshots and expiring claims."""
    return [
        mock.patch.object(consensus_module, "MAX_SNAPSHOT_ENTRIES", chance.choice(SNAPSHOT_INTERVALS)),
        mock.patch.object(server_module, "CLAIM_MARGIN_S", mesh.CLAIM_MARGIN_S),
        mock.patch.object(log_module, "RETAINED_ENTRIES", chance.choice(RETAINED_ENTRY_COUNTS)),
        mock.patch.object(leader_module, "CHUNK_BYTES", chance.choice(CHUNK_SIZES_BYTES)),
    ]


def _run(site: Site, schedule: list[Fault], day: Day) -> None:
    loop = site.loop
    clients = Clients(site, day.rate, day.seconds + day.quiet - 2.0, day.deadlines)
    operators = Operators(site, day.every, day.seconds, day.timeout)
    faults = FaultInjector(site, schedule)
    site.start(day.failure_rate)
    clients.start()
    operators.start()
    faults.start()
    for at, action in day.actions:
        loop.after(at, loop.world, action, site, clients, operators)
    loop.after(day.seconds, loop.world, faults.heal)
    loop.after(day.seconds + day.quiet, loop.world, operators.read_back)
    loop.after(day.seconds + day.quiet, loop.world, _check_replicas, site)
    loop.run_until(day.seconds + day.quiet + 2.0)
    site.record("end", "world")


def _check_replicas(site: Site) -> None:
    if not site.replicas_up_to_date():
        site.record("unsynced", "world")


def shrink(seed: int, schedule: Sequence[Fault], day: Day = Day(), max_runs: int = 60) -> list[Fault]:  # noqa: B008
    """Removes faults from a schedule as long as the same rule is still violated, in at most `max_runs`
    runs.
    """
    kept = list(schedule)
    rule = _rules(play(seed, kept, day).broken)
    tries, size = 0, max(len(kept) // 2, 1)
    while size and tries < max_runs:
        at = 0
        while at < len(kept) and tries < max_runs:
            shorter = kept[:at] + kept[at + size :]
            tries += 1
            if _rules(play(seed, shorter, day).broken) & rule:
                kept = shorter
            else:
                at += size
        size //= 2
    return kept


def _rules(broken: list[str]) -> set[str]:
    return {text.partition(":")[0] for text in broken}


def print_days(what: str, play_day: Callable[[int], Played], argv: list[str]) -> None:
    """Runs COUNT days from the seed FIRST, and prints the rules that each of them violated.

    Args:
        what: the sort of the days.
        play_day: runs the day drawn from a seed.
        argv: FIRST and COUNT.
    """
    first, count = int(argv[0]), int(argv[1])
    broken = 0
    for seed in range(first, first + count):
        found = play_day(seed).broken
        broken += bool(found)
        for text in found[:3]:
            print(f"seed {seed}: {text}")
    print(f"{what}: {broken} of {count} days broken")


def main(argv: list[str]) -> Any:
    """`python -m rigs.simulation.play SEED [WORD]`: one drawn day."""
    played = play(int(argv[0]))
    if len(argv) > 1:
        print(played.history.shown(argv[1]))
    print("\n".join(played.broken) or "nothing broken")


if __name__ == "__main__":
    import sys

    main(sys.argv[1:])
