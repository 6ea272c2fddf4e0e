"""What the server beside this sidecar says of itself: when it is admitted, and when its end is acknowledged.

A run of the server gets requests only after it is recorded as admitted, and `draining` or a deregistration
is acknowledged only after the run is recorded as left (`minthitch.mesh.idempotency.server_runs`). So no
heartbeat from before the acknowledgement can bring requests back to the server, whichever process gets it.

Heartbeats may be seconds late, and a server that crashes says nothing. So the order in which two runs are
heard does not tell which of them is there: the server itself is asked. Where it gives no answer, the run with
the later record prevails until the other one goes on with heartbeats and the present one does not.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from minthitch.mesh.configuration.calls import Heartbeat, decode_heartbeat
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.instance_probe import ProbeVerdict
from minthitch.mesh.idempotency.server_runs import RunRecord, RunState
from minthitch.mesh.registry.records import ServerState

ACKNOWLEDGE_WITHIN_S = 0.8  # a server waits a second for its acknowledgement
LOG_PENDING_AFTER_S = 2.0  # for which a run has waited to be recorded as admitted
MAX_PENDING_RUNS = 4  # runs that wait to be recorded as admitted
MAX_LEFT_RUNS = 16  # ids of runs that are over, kept to ignore their late heartbeats without a command
SILENT_S = 3.0  # without a heartbeat, after which a run gives way to another one that sends heartbeats
OnAcknowledged = Callable[[bool], None]  # whether the server's call is acknowledged
Probe = Callable[[str, Callable[[ProbeVerdict], None]], None]


class ServerAdmission(Protocol):
    """The admission to the server."""

    server_id: str

    def on_heartbeat(self, server_id: str, heartbeat: Heartbeat) -> None:
        """Apply the server's state."""

    def suspend(self) -> None:
        """Start no calls until the next heartbeat of the present run."""

    def deregister(self, server_id: str) -> None:
        """Send nothing more to this run of the server."""

    def readmit(self, server_id: str) -> None:
        """Let a run that had given way to another one be applied again."""


class Recorder(Protocol):
    """Records runs of the server where a restart of this process does not lose them."""

    def admit(self, server_id: str, done: Callable[[RunRecord], None]) -> None:
        """Record that a run is admitted, unless it has left; `done` receives the valid record."""

    def record_left(self, server_id: str, done: Callable[[RunRecord], None]) -> None:
        """Record that a run has left; `done` is called once that is committed."""


class ServerLifecycle:
    """Applies the calls of the server beside this sidecar.

    Args:
        admission: the admission to the server.
        recorder: records its runs.
        probe: asks the server whether the run with this id is there.
    """

    def __init__(self, admission: ServerAdmission, recorder: Recorder, probe: Probe) -> None:
        self._loop = asyncio.get_running_loop()
        self._admission, self._recorder, self._probe = admission, recorder, probe
        self._admitted_id = ""  # the run that this process has admitted last
        self._admitted: RunRecord | None = None  # and its record
        self._admitted_heard_at, self._admitted_seq = 0.0, -1  # its newest heartbeat
        # Runs that wait to be admitted, in the order of their first heartbeats, with the newest one of each.
        # They are decided one at a time, so that each gets a later order than those before it.
        self._pending: dict[str, Heartbeat] = {}
        self._deciding = ""  # the run whose record is under way
        self._left: deque[str] = deque(maxlen=MAX_LEFT_RUNS)  # runs that have said that they leave
        # Runs that another one has replaced, by id: the newest `Seq`, beyond which they are considered again.
        self._replaced: OrderedDict[str, int] = OrderedDict()
        self._recorded: deque[str] = deque(maxlen=MAX_LEFT_RUNS)  # runs whose departure is committed
        # Who is told once the departure of a run is committed, by run.
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
        if server_id not in self._left and heartbeat.stat.seq > self._replaced.get(server_id, -1):
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
            self._on_admitted_heartbeat(server_id, heartbeat)
            return
        pending = self._pending.get(server_id)
        if pending is None:
            self._begin_admission(server_id, heartbeat)
        elif heartbeat.stat.seq > pending.stat.seq:
            self._pending[server_id] = heartbeat

    def _on_admitted_heartbeat(self, server_id: str, heartbeat: Heartbeat) -> None:
        if heartbeat.stat.seq > self._admitted_seq:
            self._admitted_heard_at, self._admitted_seq = self._loop.time(), heartbeat.stat.seq
        self._admission.on_heartbeat(server_id, heartbeat)

    # Admission of a run -----------------------------------------------------------------------------

    def _begin_admission(self, server_id: str, heartbeat: Heartbeat) -> None:
        if len(self._pending) >= MAX_PENDING_RUNS:
            return  # its next heartbeat asks again
        self._pending[server_id] = heartbeat
        if server_id not in self._replaced:
            self._admission.suspend()
        self._loop.call_later(LOG_PENDING_AFTER_S, self._log_pending, server_id)
        self._decide_next()

    def _decide_next(self) -> None:
        if self._deciding or not self._pending:
            return
        server_id = self._deciding = next(iter(self._pending))
        self._recorder.admit(server_id, lambda record: self._on_record(server_id, record))

    def _on_record(self, server_id: str, record: RunRecord) -> None:
        """The run is recorded; where another one may be there, the server is asked."""
        has_left = record.state == RunState.LEFT
        if has_left or self._admitted is None or self._admitted_id in self._left:
            self._decide(server_id, record, admits=not has_left)
        else:
            self._probe(server_id, lambda verdict: self._on_probed(server_id, record, verdict))

    def _on_probed(self, server_id: str, record: RunRecord, verdict: ProbeVerdict) -> None:
        if verdict is ProbeVerdict.UNKNOWN:
            self._decide(server_id, record, admits=self._prevails(record))
        else:
            self._decide(server_id, record, admits=verdict is ProbeVerdict.IS_RUNNING)

    def _prevails(self, record: RunRecord) -> bool:
        """Whether a run takes the place of the present one if the server does not tell which is there."""
        is_later = self._admitted is None or not self._admitted.is_later_than(record)
        return is_later or self._loop.time() - self._admitted_heard_at > SILENT_S

    def _decide(self, server_id: str, record: RunRecord, *, admits: bool) -> None:
        self._deciding = ""
        heartbeat = self._pending.pop(server_id, None)
        if heartbeat is None:
            pass  # it has left in the meantime
        elif admits:
            self._take_over(server_id, record, heartbeat)
        else:
            self._ignore_up_to(server_id, heartbeat.stat.seq)
            log_event(Event.LATE_HEARTBEAT, server_id=server_id, sequence=heartbeat.stat.seq)
        self._decide_next()

    def _take_over(self, server_id: str, record: RunRecord, heartbeat: Heartbeat) -> None:
        """This run is the present one; the one before is replaced."""
        if self._admitted_id:
            self._ignore_up_to(self._admitted_id, self._admitted_seq)
        self._replaced.pop(server_id, None)
        self._admitted_id, self._admitted = server_id, record
        self._admitted_heard_at, self._admitted_seq = self._loop.time(), heartbeat.stat.seq
        self._admission.readmit(server_id)
        if not self._pending:  # else another run may have taken its place: its next heartbeat shows that
            self._admission.on_heartbeat(server_id, heartbeat)

    def _ignore_up_to(self, server_id: str, seq: int) -> None:
        """The run's heartbeats `up` change nothing up to this `Seq`; a later one has it considered again."""
        self._replaced[server_id] = max(seq, self._replaced.get(server_id, -1))
        if len(self._replaced) > MAX_LEFT_RUNS:
            self._replaced.popitem(last=False)

    def _log_pending(self, server_id: str) -> None:
        if server_id in self._pending:
            log_event(Event.SERVER_PENDING, server_id=server_id, after=LOG_PENDING_AFTER_S)

    # End of a run -----------------------------------------------------------------------------------

    def _leave(self, server_id: str, acknowledge: OnAcknowledged) -> None:
        """Acknowledge a departure once it is committed. The caller has closed the gate already."""
        self._pending.pop(server_id, None)
        if server_id not in self._left:
            self._left.append(server_id)
        if server_id in self._recorded:
            acknowledge(True)
            return
        is_under_way = server_id in self._waiting
        self._acknowledge_once_recorded(server_id, acknowledge)
        if not is_under_way:
            self._recorder.record_left(server_id, lambda _record: self._on_recorded(server_id))

    def _acknowledge_once_recorded(self, server_id: str, acknowledge: OnAcknowledged) -> None:
        """Acknowledge when the departure is committed, or refuse while the server still waits."""
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
