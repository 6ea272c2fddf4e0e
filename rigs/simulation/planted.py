"""Faults of programming put into the real code, each of which the model must find."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

from rigs.simulation.planted_drawn import PLANTED
from rigs.simulation.planted_points import AT_POINTS
from rigs.simulation.planted_shutdowns import IN_PLANNED_WORK


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The code with this fault in it."""
    known = PLANTED | IN_PLANNED_WORK
    for plants in AT_POINTS.values():
        known |= plants
    with ExitStack() as stack:
        for patch in known[name]():
            stack.enter_context(patch)
        yield
