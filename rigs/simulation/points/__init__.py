"""Schedules of the hard points of the control plane, each drawn from a seed: `Point.play` gives the history
with every rule that it breaks.
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
    """One of the operators' points and the days that probe it."""

    name: str
    play: Callable[[int], Played]


def isolation_or_stale_day(seed: int) -> Played:
    """Of five days one plays a sidecar beside stale peers."""
    return stale_sidecar_day(seed // 5) if seed % 5 == 4 else isolation_day(seed - seed // 5)


POINTS = (
    Point(CUT_OFF, isolation_or_stale_day),
    Point(ONE_ORDER, orders_day),
    Point(SECOND_LOSS, second_loss_day),
    Point(MANY_CHANGES, many_changes_day),
    Point(RIGHT_CALLER, links_day),
)
