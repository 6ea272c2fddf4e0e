"""What the server beside this sidecar says of itself: when it is admitted, and when its end is acknowledged.

A run of the server gets requests only after it is recorded as admitted, and `draining` or a deregistration
is acknowledged only after the run is recorded as left (`minthitch.mesh.idempotency.server_runs`). So no
heartbeat from before the acknowledgement can bring requests back to the server, whichever process gets it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from minthitch.mesh.configuration.calls import Heartbeat, decode_heartbeat
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.idempotency.server_runs import RunRecord, RunState
from minthitch.mesh.registry.records import ServerState

ACKNOWLEDGE_WITHIN_S = 0.8  # a server waits a second for its acknowledgement
LOG_PENDING_AFTER_S = 2.0  # for which a run has waited to be recorded as admitted
MAX_PENDING_RUNS = 4  # runs that wait to be recorded as admitted
MAX_LEFT_RUNS = 16  # ids of runs that have left, kept to ignore their late heartbeats
OnAcknowledged = Callable[[bool], None]  # whether the server's call is acknowledged


class ServerAdmission(Protocol):
    """The admission to the server."""

    server_id: str

    def on_heartbeat(self, server_id: str, heartbeat: Heartbeat) -> None:
        """Apply the server's state."""

    def suspend(self) -> None:
        """Start no calls until the next heartbeat of the present run."""

    def deregister(self, server_id: str) -> None:
        """Send nothing more to this run of the server."""


class Registry(Protocol):
    """The replicated record of server runs."""

    def admit(
        self, server_id: str, current: Callable[[], RunRecord | None], done: Callable[[RunRecord], None]
    ) -> None:
        """Record that a run is admitted."""

    def record_left(self, server_id: str, done: Callable[[RunRecord], None]) -> None:
        """Record that a run has left."""


class ServerLifecycle:
    """Applies the calls of the server beside this sidecar."""

    def __init__(self, admission: ServerAdmission, registry: Registry) -> None:
        self._loop = asyncio.get_running_loop()
        self._admission, self._registry = admission, registry
        self._admitted_id = ""  # the run that is recorded as admitted by this process
        self._admitted: RunRecord | None = None
        self._pending: dict[str, Heartbeat] = {}  # newest heartbeat of each run that is not yet admitted
        # Runs that have left; whether that is committed, and who waits for it.
        self._left: deque[str] = deque(maxlen=MAX_LEFT_RUNS)
        self._recorded: deque[str] = deque(maxlen=MAX_LEFT_RUNS)
        self._waiting: dict[str, list[Callable[[], None]]] = {}

    # Calls of the server ----------------------------------------------------------------------------

    def on_heartbeat(self, server_id: str, body: bytes, acknowledge: OnAcknowledged) -> None:
        """Handle a heartbeat; `acknowledge` is called once.

        Raises:
            ValueError: the body can't be read.
        """
        try:
            heartbeat = decode_heartbeat(body)
        except msgspec.DecodeError as error:
            raise ValueError(f"heartbeat of {server_id[:40]}: {error}") from None
        if ServerState(heartbeat.stat.state) is ServerState.DRAINING:
            self._on_draining(server_id, heartbeat, acknowledge)
            return
        if server_id not in self._left:
            self._on_up(server_id, heartbeat)
        acknowledge(True)

    def on_deregister(self, server_id: str, acknowledge: OnAcknowledged) -> None:
        """Handle a deregistration; `acknowledge` is called once."""
        self._admission.deregister(server_id)
        self._leave(server_id, acknowledge)

    def _on_draining(self, server_id: str, heartbeat: Heartbeat, acknowledge: OnAcknowledged) -> None:
        # A run that is not the present one may be an earlier one, and must not take its place.
        if self._admission.server_id in ("", server_id):
            self._admission.on_heartbeat(server_id, heartbeat)
        self._leave(server_id, acknowledge)

    def _on_up(self, server_id: str, heartbeat: Heartbeat) -> None:
        if server_id == self._admitted_id:
            self._admission.on_heartbeat(server_id, heartbeat)
            return
        pending = self._pending.get(server_id)
        if pending is None:
            self._begin_admission(server_id, heartbeat)
        elif heartbeat.stat.seq > pending.stat.seq:
            self._pending[server_id] = heartbeat

    # Admission of a run -----------------------------------------------------------------------------

    def _begin_admission(self, server_id: str, heartbeat: Heartbeat) -> None:
        if len(self._pending) >= MAX_PENDING_RUNS:
            return  # its next heartbeat asks again
        self._pending[server_id] = heartbeat
        self._admission.suspend()
        self._loop.call_later(LOG_PENDING_AFTER_S, self._log_pending, server_id)
        self._registry.admit(
            server_id, lambda: self._admitted, lambda record: self._on_admitted(server_id, record)
        )

    def _log_pending(self, server_id: str) -> None:
        if server_id in self._pending:
            log_event(Event.SERVER_PENDING, server_id=server_id, after=LOG_PENDING_AFTER_S)

    def _on_admitted(self, server_id: str, record: RunRecord) -> None:
        heartbeat = self._pending.pop(server_id, None)
        if heartbeat is None or server_id in self._left:
            return  # it has left in the meantime
        is_earlier = self._admitted is not None and self._admitted.is_later_than(record)
        if record.state == RunState.LEFT or is_earlier:
            self._left.append(server_id)
            log_event(Event.LATE_HEARTBEAT, server_id=server_id, sequence=heartbeat.stat.seq)
            return
        if self._admitted_id:
            self._left.append(self._admitted_id)  # this run has taken its place
        self._admitted_id, self._admitted = server_id, record
        if not self._pending:  # else another run may have taken its place: its next heartbeat shows that
            self._admission.on_heartbeat(server_id, heartbeat)

    # End of a run -----------------------------------------------------------------------------------

    def _leave(self, server_id: str, acknowledge: OnAcknowledged) -> None:
        """The gate is closed; the acknowledgement follows when no other process can open it again."""
        self._pending.pop(server_id, None)
        if server_id not in self._left:
            self._left.append(server_id)
        if server_id in self._recorded:
            acknowledge(True)
            return
        is_being_recorded = server_id in self._waiting
        self._wait(server_id, acknowledge)
        if not is_being_recorded:
            self._registry.record_left(server_id, lambda _record: self._on_recorded(server_id))

    def _wait(self, server_id: str, acknowledge: OnAcknowledged) -> None:
        waiting = self._waiting.setdefault(server_id, [])

        def on_recorded() -> None:
            timer.cancel()
            acknowledge(True)

        def on_timeout() -> None:
            waiting.remove(on_recorded)
            acknowledge(False)

        timer = self._loop.call_later(ACKNOWLEDGE_WITHIN_S, on_timeout)
        waiting.append(on_recorded)

    def _on_recorded(self, server_id: str) -> None:
        self._recorded.append(server_id)
        for on_recorded in self._waiting.pop(server_id, []):
            on_recorded()
