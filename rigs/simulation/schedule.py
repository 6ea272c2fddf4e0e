"""Schedules of faults, explicit or drawn from a seed, within what the system must tolerate."""

from __future__ import annotations

import random
from typing import NamedTuple

from minthitch.mesh.storage.store import Condition

RESTART_S = 0.3  # minimum time until a killed process is started again
SYNC_S = 4.0  # time for a control node that lost its disk to catch up
DISK_SWAP_S = 0.02  # a machine is down while its disk is swapped; too short for any timeout
EVENT_TIMEOUT_S = 2.0  # maximum wait of a fault for its triggering event
# Seconds after power is restored everywhere.
SECOND_LOSS_DELAYS_S = (0.1, 0.25, 0.4, 0.6, 0.9, 1.3)


class Fault(NamedTuple):
    """One fault. `target` is the number of the control node or sidecar, or -1 for the leader at that time."""

    at: float
    kind: str
    target: int = -1
    duration: float = 1.0


LOSSES = {  # condition of the disk after the fault
    "wipe": Condition.EMPTY,
    "swap": Condition.EMPTY,
    "tear": Condition.TORN,
    "foreign": Condition.FOREIGN,
}
DISK_KEEPING = (
    "kill-control",
    "power-control",
    "freeze-control",
    "slow-control",
    "cut-control",
    "deaf-control",
    "mute-control",
    "hang-disk",
    "full-disk",
    "reset-control",
    "pair-control",
)  # no disk is lost, so these may be combined freely
CORE = (
    *DISK_KEEPING,
    *(f"{kind}-control" for kind in LOSSES),
    "ack-kill",
    "ack-wipe",
    "ack-lost",
    "write-freeze",
    "write-power",
    "image-power",
    "lone-copy",
    "hung-copy",
)
CONTROL_WORK = ("leave-control",)  # planned shutdowns; drawn by `rigs.simulation.planned_work` only
ALL = ("all-killed", "all-power", "all-spread", "ack-power", "ack-power", "twice-power", "full-disks")
SIDECAR = (
    "kill-sidecar",
    "power-sidecar",
    "freeze-sidecar",
    "slow-sidecar",
    "cut-sidecar",
    "deaf-sidecar",
    "mute-sidecar",
    "control-lost",
    "reset-sidecar",
    "server-crash",
    "server-replaced",
    "server-drains",
    "server-stalls",
    "pair-sidecar",
    "service-stalls",
    "claim-kill",
    "sent-kill",
    "leave-sidecar",
)


class Trigger(NamedTuple):
    """The event that triggers a fault, a text that its data must contain, and the kind of fault to inject."""

    event: str
    text: str
    kind: str


TRIGGERS = {
    "ack-kill": Trigger("verdict", "200", "kill-control"),
    "ack-wipe": Trigger("verdict", "200", "wipe-control"),
    "ack-lost": Trigger("verdict", "200", "power-control"),
    "ack-power": Trigger("verdict", "200", "all-power"),
    "claim-kill": Trigger("claim", "granted", "kill-sidecar"),
    "sent-kill": Trigger("arrival", "key", "kill-sidecar"),
}
KINDS = CORE + CONTROL_WORK + ALL + SIDECAR


def draw_schedule(seed: int, until: float, first: float = 3.0) -> list[Fault]:
    """Draws faults between `first` and `until` (seconds).

    In the core at most one disk is lost at a time, with other faults during the loss or its recovery.
    Faults of sidecars are drawn independently.
    """
    draw = random.Random(seed)
    faults: list[Fault] = []
    at = first + draw.uniform(0.0, 2.0)
    while at < until - 3.0:
        kind = draw.choice(CORE) if draw.random() < 0.82 else draw.choice(ALL)
        duration = draw.choice((0.2, 1.0, 2.5, 4.0))
        fault = Fault(round(at, 3), kind, draw.choice((-1, 0, 1, 2)), duration)
        faults.append(fault)
        at = latest_end(fault)
        for _ in range(draw.choice((0, 0, 1, 2))):
            when = draw.choice((draw.uniform(fault.at + 0.02, at), at + draw.uniform(0.0, 0.7)))
            more = Fault(
                round(when, 3),
                draw.choice(DISK_KEEPING),
                draw.choice((-1, fault.target, 0, 1, 2)),
                draw.choice((0.1, 0.3, 1.0)),
            )
            faults.append(more)
            at = max(at, latest_end(more))
        at += SYNC_S + draw.uniform(0.5, 3.0)
    at = first + draw.uniform(0.0, 1.0)
    while at < until - 1.0:
        duration = draw.choice((0.2, 0.8, 2.5, 5.0))
        faults.append(Fault(round(at, 3), draw.choice(SIDECAR), draw.randrange(6), duration))
        at += draw.uniform(0.3, 3.0)
    return sorted(faults)


def latest_end(fault: Fault) -> float:
    """The latest time at which everything affected by the fault runs again."""
    waits = EVENT_TIMEOUT_S if fault.kind in (*TRIGGERS, "image-power", "lone-copy", "hung-copy") else 0.0
    more = (
        SECOND_LOSS_DELAYS_S[-1] + RESTART_S
        if fault.kind in ("twice-power", "image-power", "all-spread")
        else 0.0
    )
    return fault.at + waits + max(fault.duration, RESTART_S) + more
