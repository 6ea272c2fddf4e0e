"""Connections between sidecars break while calls of all kinds are in flight."""

from __future__ import annotations

import random

from rigs.simulation.cuts import RefusingNetwork
from rigs.simulation.play import Day, Played, play
from rigs.simulation.points.script import FAULTS_FROM_S
from rigs.simulation.schedule import Fault

LINK_FAULTS = (
    "reset-sidecar",
    "kill-sidecar",
    "freeze-sidecar",
    "cut-sidecar",
    "deaf-sidecar",
    "mute-sidecar",
    "pair-sidecar",
    "claim-kill",
    "sent-kill",
    "server-crash",
    "server-replaced",
)


def links_day(seed: int) -> Played:
    """Breaks connections between sidecars while keyed requests are repeated."""
    draw = random.Random(seed ^ 0xCA11)
    faults, at = list[Fault](), FAULTS_FROM_S
    while at < 8.0:
        duration = draw.choice((0.05, 0.2, 0.5, 1.5))
        faults.append(Fault(round(at, 4), draw.choice(LINK_FAULTS), draw.randrange(6), duration))
        at += draw.uniform(0.05, 0.5)
    return play(seed, faults, Day(seconds=9.0, rate=6.0, every=5.0, quiet=5.2, make_network=RefusingNetwork))
