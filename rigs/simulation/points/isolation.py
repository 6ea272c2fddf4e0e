"""Isolates a control node for twenty seconds while orders continue."""

from __future__ import annotations

import random

from rigs.simulation import order_checks
from rigs.simulation.control_client import ControlClient
from rigs.simulation.cuts import DIRECTIONS, MODES, Cut, isolate, restart
from rigs.simulation.mesh import CONTROLS, SPARES, ControlNode, Site
from rigs.simulation.play import Played
from rigs.simulation.points.orders import ORDER_ACTIONS
from rigs.simulation.points.script import CUT_S, FAULTS_FROM_S, Script, play_script

TARGETS = ("leader", "follower", "seed", "last read", "learner")


def isolation_day(seed: int, waits: bool = False) -> Played:
    """Isolates one control node for twenty seconds while orders continue.

    With `waits`, the time that calls wait for their answer is checked as well.
    """
    draw = random.Random(seed ^ 0xC07)
    script = Script(seed, lost=draw.choice((0.0, 0.05)))
    at, target = FAULTS_FROM_S + draw.uniform(0.5, 1.0), TARGETS[seed % len(TARGETS)]
    combination = seed // len(TARGETS)
    way, mode = DIRECTIONS[combination % len(DIRECTIONS)], MODES[combination // len(DIRECTIONS) % len(MODES)]
    restarts = draw.choice(((), (), (draw.uniform(0.1, 19.0),), (2.0, 9.0, 19.5)))
    cut = Cut(at, CUT_S, way, mode, restarts)

    def strike(site: Site, client: ControlClient) -> None:
        control = target_of(site, target, draw)
        client.site.record("target", control.ip, kind=target, way=way, mode=mode)
        isolate(site, control, cut)

    script.at(at, strike)
    if draw.random() < 0.4:  # the returning node may be the first candidate
        back = at + CUT_S + draw.choice((-0.05, 0.02, 0.1, 0.3))
        script.at(back, lambda site, client: restart(site, site.leader(), downtime_s=1.0))
    script.read_from(1.5, at + CUT_S + 4.0)
    for when in moments_around(draw, at, at + CUT_S + 3.0):
        draw.choice(ORDER_ACTIONS[:-1])(script, when)
    checks = (order_checks.waits,) if waits else ()
    controls = CONTROLS + SPARES if target == "learner" else CONTROLS
    return play_script(seed, script, at + CUT_S + 4.0, [], checks, controls)


def target_of(site: Site, target: str, draw: random.Random) -> ControlNode:
    """The control node that has this role now."""
    leader = site.leader()
    if target == "leader":
        return leader
    if target == "follower":
        return draw.choice([control for control in site.controls if control is not leader])
    if target == "seed":
        return site.controls[0]
    if target == "learner":
        return site.controls[-1]
    reads = [event.who for event in site.history.of("read")]
    return next((c for c in site.controls if reads and c.ip == reads[-1]), leader)


def moments_around(draw: random.Random, since: float, until: float) -> list[float]:
    """Draws times around the start and the end of the partition, and in between."""
    near = [end + draw.choice((-0.01, 0.001, 0.01, 0.1, 0.3)) for end in (since, since + CUT_S)]
    at, between = since + 0.5, list[float]()
    while at < until:
        between.append(at)
        at += draw.uniform(0.3, 1.6)
    return near + between
