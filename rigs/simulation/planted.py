"""Programming errors planted in the real code, each of which the simulation must detect."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from rigs.simulation.planted_departures import AROUND_DEPARTURES
from rigs.simulation.planted_drawn import PLANTED
from rigs.simulation.planted_points import AT_POINTS
from rigs.simulation.planted_shutdowns import IN_PLANNED_WORK


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Runs the code with this error planted."""
    known = PLANTED | IN_PLANNED_WORK | AROUND_DEPARTURES
    for plants in AT_POINTS.values():
        known |= plants
    with ExitStack() as stack:
        for patch in known[name]():
            stack.enter_context(patch)
        yield
