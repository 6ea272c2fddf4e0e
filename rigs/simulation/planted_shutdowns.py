"""Planted programming errors that the days of `rigs.simulation.planned_work` must detect."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

from minthitch.mesh.sidecar import shutdown_schedule
from minthitch.mesh.sidecar.exchange import Exchange
from rigs.simulation.mesh import GRACE_S
from rigs.simulation.planted_drawn import Patch


def _without_limit(shut_down: object, latest: float) -> None:
    """Requests accepted before SIGTERM keep their own deadline."""


IN_PLANNED_WORK: dict[str, Callable[[], list[Patch]]] = {
    "open requests keep their deadline in a shutdown": lambda: [
        mock.patch.object(Exchange, "limit_deadline", _without_limit)
    ],
    "requests accepted until the end": lambda: [
        mock.patch.object(shutdown_schedule, "MAX_ACCEPT_S", GRACE_S),
        mock.patch.object(shutdown_schedule, "ACCEPT_FRACTION", 0.85),
    ],
    "open requests answered too soon": lambda: [
        mock.patch.object(shutdown_schedule, "ANSWER_MARGIN_S", GRACE_S),
        mock.patch.object(shutdown_schedule, "CUT_OFF_FRACTION", 0.5),
    ],
}
