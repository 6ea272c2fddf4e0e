"""Loses a second machine after the first one was repaired, or after a rolling restart."""

from __future__ import annotations

import random

from rigs.simulation.control_client import ControlClient
from rigs.simulation.cuts import Cut, isolate
from rigs.simulation.mesh import CONTROLS, SPARES, ControlNode, Site
from rigs.simulation.play import Played
from rigs.simulation.points.isolation import moments_around
from rigs.simulation.points.orders import ORDER_ACTIONS
from rigs.simulation.points.script import FAULTS_FROM_S, Script, play_script
from rigs.simulation.schedule import SYNC_S

REPAIRS = ("wipe", "gone", "roll")


def second_loss_day(seed: int) -> Played:
    """Loses one machine for good or only its disk, or restarts all in turn; then another machine is lost."""
    draw = random.Random(seed ^ 0x10557)
    script = Script(seed, lost=0.0)
    kind, at = REPAIRS[seed % len(REPAIRS)], FAULTS_FROM_S
    second = at + (_rolling_restart(script, at) if kind == "roll" else 0.5) + SYNC_S
    first = draw.randrange(3)
    if kind != "roll":
        script.at(at, lambda site, client: lose_disk(site, _voter(site, first), for_good=kind == "gone"))
    away = draw.choice((1.0, 3.0, 8.0))

    def lose_another(site: Site, client: ControlClient) -> None:
        running = [c for c in site.controls if c.machine.running and is_voter(c)]
        target = site.leader() if draw.random() < 0.5 else draw.choice(running)
        _lose_temporarily(site, target, draw.choice(("power", "power", "cut", "freeze", "wipe")), away)

    script.at(second, lose_another)
    end = second + 8.0
    script.read_from(1.5, end)
    for when in moments_around(draw, at, end - 1.0):
        if when < end:
            draw.choice(ORDER_ACTIONS[:-1])(script, when)
    return play_script(seed, script, end + 2.0, [], controls=CONTROLS + SPARES)


def _lose_temporarily(site: Site, target: ControlNode, kind: str, away: float) -> None:
    if kind == "cut":
        isolate(site, target, Cut(site.loop.now, away))
        return
    site.record("struck", target.ip, kind=f"second {kind}", state=target.state)
    site.record("trouble", "core", kind="second")
    if kind == "freeze":
        site.loop.freeze(target.machine)
    else:
        target.stop(power=True)
    if kind == "wipe":
        target.disk.wipe()

    def back() -> None:
        if kind == "freeze":
            site.loop.thaw(target.machine)
        else:
            target.start()
        site.record("well", "core", kind="second")

    site.loop.after(away, site.loop.world, back)


def is_voter(control: ControlNode) -> bool:
    """Whether the node runs and is a voting member."""
    return control.server is not None and control.server.raft.name in control.server.raft.voters


def _voter(site: Site, number: int) -> ControlNode:
    """A voter by its number, or the leader if there are no voters."""
    voters = [control for control in site.controls if is_voter(control)]
    return voters[number % len(voters)] if voters else site.leader()


def lose_disk(site: Site, control: ControlNode, for_good: bool) -> None:
    """Stops the machine and loses its disk; it starts again empty after 0.5 s, or never."""
    site.record("struck", control.ip, kind="gone" if for_good else "wipe", state=control.state)
    site.record("trouble", "core", kind="first")
    control.stop(power=True)
    control.disk.wipe()

    def over() -> None:
        if not for_good:
            control.start()
        site.record("well", "core", kind="first")

    site.loop.after(0.5, site.loop.world, over)


def _rolling_restart(script: Script, at: float, every: float = 2.0) -> float:
    """Restarts all initial members in turn, and returns how long that takes."""
    for number in range(len(CONTROLS)):
        script.restart(at + number * every, number)
    return every * len(CONTROLS)
