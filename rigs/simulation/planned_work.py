"""Days with planned shutdowns and no other faults.

Many sidecars are shut down at once under load, and control nodes in turn, while servers are slow or stop
answering and the configuration changes. Some clients wait longer than a shutdown takes.
"""

from __future__ import annotations

import random

from rigs.simulation.clients import Clients, Operators
from rigs.simulation.mesh import CONTROLS, GRACE_S, SIDECARS, Site
from rigs.simulation.play import Action, Day, Played, play, print_days
from rigs.simulation.schedule import SYNC_S, Fault

FIRST_S, LAST_S = 3.0, 12.0  # the first SIGTERM, and the end of slow and silent servers
DEADLINES_S = (1.5, 0.7 * GRACE_S, 1.2 * GRACE_S, 1.6 * GRACE_S)  # some are after the end of the shutdown
TIMEOUT = 2.0 * GRACE_S
CONTROL_RATE = 0.5  # share of days on which the control nodes are restarted, one after another


def draw_planned_work(seed: int) -> tuple[list[Fault], Day]:
    """Draws which sidecars are shut down and when, and how servers and operators behave meanwhile."""
    draw = random.Random(seed ^ 0x51674E)
    schedule = []
    at, until = FIRST_S + draw.uniform(0.0, 1.0), LAST_S - GRACE_S
    while at < until:
        spread = draw.choice((0.02, 0.5, 1.5))
        for target in draw.sample(range(len(SIDECARS)), draw.randrange(2, len(SIDECARS))):
            schedule.append(Fault(round(at + draw.uniform(0.0, spread), 3), "leave-sidecar", target))
        at += GRACE_S + spread + draw.uniform(0.5, 1.5)
    if draw.random() < CONTROL_RATE:
        first = FIRST_S + draw.uniform(0.0, 1.0)
        for number in range(len(CONTROLS)):
            schedule.append(Fault(round(first + number * SYNC_S, 3), "leave-control", number))
    day = Day(
        seconds=LAST_S + 2.0,
        rate=draw.choice((2.0, 5.0, 10.0)),
        every=draw.choice((0.2, 0.8)),
        quiet=9.0,
        failure_rate=draw.choice((0.0, 0.02)),
        deadlines=DEADLINES_S,
        timeout=TIMEOUT,
        actions=(
            (2.5, _servers(draw.choice((1.0, 6.0, 30.0)), draw.choice((0.0, 0.02, 0.1)))),
            (LAST_S, _servers()),
        ),
    )
    return sorted(schedule), day


def _servers(slowdown: float = 1.0, silent_rate: float = 0.0) -> Action:
    def action(site: Site, clients: Clients, operators: Operators) -> None:
        for sidecar in site.sidecars:
            sidecar.server.slowdown, sidecar.server.silent_rate = slowdown, silent_rate
            sidecar.server.keeps_deadlines = True

    return action


def play_planned_work(seed: int) -> Played:
    """Runs the day drawn from this seed."""
    schedule, day = draw_planned_work(seed)
    return play(seed, schedule, day)


def main(argv: list[str]) -> None:
    """`python -m rigs.simulation.planned_work FIRST COUNT`: the rules that each of these days violated."""
    print_days("planned work", play_planned_work, argv)


if __name__ == "__main__":
    import sys

    main(sys.argv[1:])
