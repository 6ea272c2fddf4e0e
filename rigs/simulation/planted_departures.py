"""Planted programming errors that the days of `rigs.simulation.departures` must detect."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any
from unittest import mock

from minthitch.mesh.idempotency.server_runs import RunRecord, RunState
from minthitch.mesh.sidecar.run_recorder import RunRecorder
from rigs.simulation.planted_drawn import Patch

_ORDERS = itertools.count(1)


def _admit_unrecorded(recorder: RunRecorder, server_id: str, done: Any) -> None:
    recorder._loop.call_soon(done, RunRecord(RunState.ADMITTED, next(_ORDERS)))


def _acknowledge_unrecorded(recorder: RunRecorder, server_id: str, done: Any) -> None:
    """Without a record: it is lost with this process."""
    recorder._loop.call_soon(done, RunRecord(RunState.LEFT, 0))


def _acknowledge_first(recorder: RunRecorder, server_id: str, done: Any) -> None:
    """The record is still under way when the call is answered."""
    recorder._loop.call_soon(done, RunRecord(RunState.LEFT, 0))
    _RECORD_LEFT(recorder, server_id, lambda record: None)


_RECORD_LEFT = RunRecorder.record_left


AROUND_DEPARTURES: dict[str, Callable[[], list[Patch]]] = {
    "a departure kept in the memory of its sidecar": lambda: [
        mock.patch.object(RunRecorder, "admit", _admit_unrecorded),
        mock.patch.object(RunRecorder, "record_left", _acknowledge_unrecorded),
    ],
    "a departure acknowledged before it is committed": lambda: [
        mock.patch.object(RunRecorder, "record_left", _acknowledge_first)
    ],
}
