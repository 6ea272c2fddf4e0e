"""Days with faults in quick succession, while the same keys are requested at many sidecars at once."""

from __future__ import annotations

import random

from rigs.simulation.clients import Clients, Operators
from rigs.simulation.mesh import Site
from rigs.simulation.play import Action, Day, Played, play
from rigs.simulation.schedule import Fault

FIRST_S, LAST_S = 3.0, 11.5  # period with faults
CORE_FAULTS = (
    "kill-control",
    "freeze-control",
    "cut-control",
    "deaf-control",
    "mute-control",
    "hang-disk",
    "full-disk",
    "reset-control",
    "pair-control",
    "power-control",
    "slow-control",
)
SIDECAR_FAULTS = (
    "kill-sidecar",
    "freeze-sidecar",
    "cut-sidecar",
    "deaf-sidecar",
    "mute-sidecar",
    "control-lost",
    "reset-sidecar",
    "pair-sidecar",
    "claim-kill",
    "sent-kill",
    "server-crash",
    "server-replaced",
    "leave-sidecar",
    "server-drains",
)
KEY_COUNT, KEY_INTERVAL_S = 70, 0.12  # number of keys, and the time between two of them
# Seconds until the same key is requested again.
REPEAT_DELAYS_S = (0.0005, 0.003, 0.01, 0.03, 0.1, 0.3, 0.6, 1.0, 2.5)


def schedule(seed: int) -> list[Fault]:
    """Draws one fault of the core at a time in quick succession, and any number of faults of sidecars."""
    draw = random.Random(seed)
    faults: list[Fault] = []
    at = FIRST_S
    while at < LAST_S:
        duration = draw.choice((0.1, 0.3, 0.6, 1.2, 2.0))
        faults.append(
            Fault(round(at, 3), draw.choice(CORE_FAULTS), draw.choice((-1, -1, -1, 0, 1, 2)), duration)
        )
        at += duration + draw.choice((0.05, 0.2, 0.6))
    at = FIRST_S
    while at < LAST_S:
        duration = draw.choice((0.05, 0.2, 0.5, 1.0, 2.5))
        faults.append(Fault(round(at, 3), draw.choice(SIDECAR_FAULTS), draw.randrange(6), duration))
        at += draw.uniform(0.05, 0.8)
    return sorted(faults)


def _ask_everywhere(key: str) -> Action:
    """Requests one key at most of the sidecars at the same time, and repeats it."""

    def action(site: Site, clients: Clients, operators: Operators) -> None:
        draw, loop = site.random, site.loop

        def ask(sidecar: int) -> None:
            deadline = draw.choice((0.3, 0.8, 2.0))
            clients.ask(site.sidecars[sidecar], "keyed", key, lambda status, body: None, deadline)

        for sidecar in range(len(site.sidecars)):
            if draw.random() < 0.7:
                for wait in (0.0, *(draw.choice(REPEAT_DELAYS_S) for _ in range(3))):
                    loop.after(wait, loop.world, ask, sidecar)

    return action


STORM = Day(
    seconds=12.0,
    rate=2.0,
    every=0.3,
    actions=tuple((FIRST_S + KEY_INTERVAL_S * n, _ask_everywhere(f"storm{n}")) for n in range(KEY_COUNT)),
)


def storm(seed: int) -> Played:
    return play(seed, schedule(seed), STORM)
