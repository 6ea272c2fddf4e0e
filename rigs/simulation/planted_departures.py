"""Planted programming errors that the days of `rigs.simulation.departures` must detect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

from minthitch.mesh.idempotency.server_runs import RunRecord, RunState
from minthitch.mesh.sidecar.run_registration import RunRegistry
from rigs.simulation.planted_drawn import Patch

_COUNTER = iter(range(1, 1_000_000_000))


def _admit_unrecorded(registry: RunRegistry, server_id: str, current: Any, done: Any) -> None:
    registry._loop.call_soon(done, RunRecord(RunState.ADMITTED, registry._epoch, next(_COUNTER)))


def _acknowledge_unrecorded(registry: RunRegistry, server_id: str, done: Any) -> None:
    """Without a record: it is lost with this process."""
    registry._loop.call_soon(done, RunRecord(RunState.LEFT, registry._epoch, 0))


def _acknowledge_first(registry: RunRegistry, server_id: str, done: Any) -> None:
    """The record is still under way when the call is answered."""
    registry._loop.call_soon(done, RunRecord(RunState.LEFT, registry._epoch, 0))
    _RECORD_LEFT(registry, server_id, lambda record: None)


_RECORD_LEFT = RunRegistry.record_left


AROUND_DEPARTURES: dict[str, Callable[[], list[Patch]]] = {
    "a departure kept in the memory of its sidecar": lambda: [
        mock.patch.object(RunRegistry, "admit", _admit_unrecorded),
        mock.patch.object(RunRegistry, "record_left", _acknowledge_unrecorded),
    ],
    "a departure acknowledged before it is committed": lambda: [
        mock.patch.object(RunRegistry, "record_left", _acknowledge_first)
    ],
}
