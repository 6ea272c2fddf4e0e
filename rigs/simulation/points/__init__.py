"""Schedules for the hard cases of the control plane, each drawn from a seed. `Point.play` runs a day and
returns its history with the violated rules.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from rigs.simulation.planted_points import CUT_OFF, MANY_CHANGES, ONE_ORDER, RIGHT_CALLER, SECOND_LOSS
from rigs.simulation.play import Played
from rigs.simulation.points.isolation import isolation_day
from rigs.simulation.points.links import links_day
from rigs.simulation.points.many_changes import many_changes_day
from rigs.simulation.points.orders import orders_day
from rigs.simulation.points.second_loss import second_loss_day
from rigs.simulation.points.stale_sidecar import stale_sidecar_day


class Point(NamedTuple):
    """One hard case and the function that runs a day for it."""

    name: str
    play: Callable[[int], Played]


def isolation_or_stale_day(seed: int) -> Played:
    """Every fifth day tests a sidecar with stale peers, the others the isolation of a control node."""
    return stale_sidecar_day(seed // 5) if seed % 5 == 4 else isolation_day(seed - seed // 5)


POINTS = (
    Point(CUT_OFF, isolation_or_stale_day),
    Point(ONE_ORDER, orders_day),
    Point(SECOND_LOSS, second_loss_day),
    Point(MANY_CHANGES, many_changes_day),
    Point(RIGHT_CALLER, links_day),
)
