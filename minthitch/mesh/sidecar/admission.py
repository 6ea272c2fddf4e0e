"""The gate in front of the one server beside this sidecar: what the mesh's callers ask of it, and its
beats.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any

import msgspec

from minthitch.engine.calls import Message
from minthitch.interface import Status
from minthitch.mesh.configuration.calls import Heartbeat, decode_heartbeat
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.upstream import NOT_RUN, RAN, Outcome, ServerPool, Upstream, UpstreamCall
from minthitch.mesh.limits.gate import Gate, QueuedRequest
from minthitch.mesh.transport import ops

MAX_PAST_SERVERS = 16  # lives of servers that are over and remembered: their late beats mean nothing
LOWEST_RANK = 99  # a rank behind which nobody waits
LOG_ABANDONED_AFTER_S = 2.0  # seconds after which a call that is given up is worth a line in the log
DEADLINE_GRACE_S = 0.05  # seconds beyond the deadline in which the server's own word on it may still come
CONNECT_FAILED = Status.CONNECT_FAILED.value
MAX_RETRY_QUEUE_S = (
    0.5  # seconds in the queue after which a further copy is not begun: it was paid in its window
)
AT_MOST_ONCE, RETRY = 1, 2  # flags of a call: it may not run twice; another copy of it went out before
Reply = Callable[[ops.Message], None]


class Job:
    """One call at the gate."""

    __slots__ = (
        "key",
        "ident",
        "message",
        "identity",
        "caller",
        "server_id",
        "deadline",
        "flags",
        "reply",
        "upstream_call",
        "arrived_at",
        "started_at",
        "timer",
        "done",
        "route",
    )

    def __init__(
        self, key: Hashable, reply: Reply, message: ops.Message, now: float, end_by: float = math.inf
    ) -> None:
        _, ident, server_id, time_left, _, _, flags, method, target, fields, body, identity, caller, route = (
            message
        )
        self.key, self.ident, self.server_id, self.flags, self.reply = key, ident, server_id, flags, reply
        self.message = Message(method, target, fields, body)
        self.identity, self.caller, self.route = identity, caller, route
        self.deadline = min(now + time_left, end_by)
        self.upstream_call: UpstreamCall | None = None
        self.arrived_at, self.started_at = now, 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.done = False


class Admission:
    """Knows the server's life by its beats, and runs on it what may run."""

    def __init__(
        self, upstream: str, service: str, server_pool: ServerPool, on_change: Callable[[], None]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.address, self.service, self.on_change = upstream, service, on_change
        self.server_pool = server_pool
        self.gate: Gate[Job] = Gate(0)
        self.server_id, self.state, self.slots, self.seq = "", "none", 0, -1
        self.slow_start_until = 0.0
        self.past_server_ids: deque[str] = deque(maxlen=MAX_PAST_SERVERS)
        self.upstream = Upstream(upstream)
        self.jobs: dict[Hashable, Job] = {}
        self.runs_started = self.retries_started = (
            0  # begun at the server, and those of them that are further copies
        )
        self.retries_running = 0  # further copies that run now: their calls are repeats too
        self.end_by = math.inf  # by when all calls have to end: this process ends then
        self.may_run_retry: Callable[[], bool] = lambda: True  # whether their calls could be paid

    # The server's own word ------------------------------------------------------------------------

    def on_heartbeat(self, server_id: str, body: bytes) -> None:
        """Raises ValueError where it can't be read."""
        try:
            heartbeat = decode_heartbeat(body)
        except msgspec.DecodeError as err:
            raise ValueError(f"beat of {server_id[:40]}: {err}") from None
        if server_id in self.past_server_ids:
            return  # danger: a late beat of a life that is over would open the gate for it again
        if server_id != self.server_id:
            self._on_new_server(server_id, heartbeat)
        elif heartbeat.stat.seq <= self.seq:
            return  # a late one
        self.seq = heartbeat.stat.seq
        if heartbeat.summary.cap != self.slots:
            self.slots = self.gate.slots = heartbeat.summary.cap
        if heartbeat.stat.state != self.state:
            self._set_state(heartbeat.stat.state)

    def _on_new_server(self, server_id: str, heartbeat: Heartbeat) -> None:
        self._reject_queued("another life")
        if self.server_id:
            self.past_server_ids.append(self.server_id)
        self.upstream.usable = False  # danger: kept connections belong to the life before
        self.server_pool.hang_up(self.upstream)  # type: ignore[arg-type]
        self.upstream = Upstream(self.address)
        self.server_id, self.state = server_id, "none"
        mean, means = self.gate.mean, self.gate.means
        self.gate = Gate(heartbeat.summary.cap)
        self.gate.mean, self.gate.means = mean, means
        self.slow_start_until = self.loop.time() + heartbeat.stat.cold_s

    def _set_state(self, state: str) -> None:
        log_event(Event.SERVER, server_id=self.server_id, service=self.service, state=state)
        self.state = state
        if state != "up":
            self._reject_queued(state)
        self.on_change()

    def deregister(self, server_id: str) -> None:
        if server_id not in self.past_server_ids:
            self.past_server_ids.append(server_id)
        if server_id == self.server_id and self.state != "none":
            self._set_state("none")

    # Calls ----------------------------------------------------------------------------------------

    def call(self, origin: Hashable, reply: Reply, message: ops.Message) -> None:
        now = self.loop.time()
        job = Job((origin, message[1]), reply, message, now, self.end_by)
        if self.state != "up" or job.server_id != self.server_id or now >= self.end_by:
            self._reply_busy(job, "gone", False)
            return
        if job.flags & RETRY and not self.may_run_retry():
            self._reply_busy(job, "budget", False)
            return
        if self.gate.stuck(now):
            self._reject_queued("stuck")
            self._reply_busy(job, "stuck", False)
            return
        needs = self.gate.needs(job.route, message[4])
        due = min(now + message[4], self.end_by)
        verdict = self.gate.arrive(now, QueuedRequest(job, message[5], due, job.deadline, needs))
        if verdict is None:
            self._reply_busy(job, "full", False)
            return
        self.jobs[job.key] = job
        job.timer = self.loop.call_at(job.deadline + DEADLINE_GRACE_S, self._on_deadline, job)
        if verdict:
            self._start(job)

    def _start(self, job: Job) -> None:
        job.started_at = self.loop.time()
        deadline = time.monotonic_ns() + int((job.deadline - job.started_at) * 1e9)
        self.runs_started += 1
        self.retries_started += bool(job.flags & RETRY)
        self.retries_running += bool(job.flags & RETRY)
        job.upstream_call = UpstreamCall(
            self.upstream,
            job.message,
            job.identity,
            job.server_id.encode(),
            job.caller,
            deadline,
            bool(job.flags & AT_MOST_ONCE),
            lambda outcome: self._done(job, outcome),
        )
        self.server_pool.run(job.upstream_call)

    def _done(self, job: Job, outcome: Outcome) -> None:
        if job.server_id == self.server_id:
            took = self.loop.time() - job.started_at if outcome.kind is RAN and outcome.status < 500 else None
            self.gate.ended(job.route, took)
        self.retries_running -= bool(job.flags & RETRY)
        if not job.done:
            self._reply(job, outcome)
        self._forget(job)
        if (
            outcome.why == CONNECT_FAILED
            and not outcome.arrived
            and self.state == "up"
            and job.server_id == self.server_id
        ):
            self._set_state("none")  # no connection to it comes up: its next beat tells otherwise
        self._start_queued()

    def _reply(self, job: Job, outcome: Outcome) -> None:
        running, queued = self.gate.running, self.gate.queued
        if outcome.kind is RAN:
            job.reply((ops.ANSWER, job.ident, outcome.status, outcome.fields, outcome.body, running, queued))
        elif outcome.kind is NOT_RUN:
            self._reply_busy(job, outcome.why, outcome.arrived)
        else:
            job.reply((ops.LOST, job.ident, outcome.why, running, queued))

    def _reply_busy(self, job: Job, why: str, arrived: bool) -> None:
        gate = self.gate
        job.reply((ops.BUSY, job.ident, why, arrived, gate.running, gate.queued, gate.wait(LOWEST_RANK)))

    def _start_queued(self) -> None:
        starts, late = self.gate.next(self.loop.time()) if self.state == "up" else ([], [])
        for job in late:
            self._reply_busy(job, "late", False)
            self._forget(job)
        for job in starts:
            if job.flags & RETRY and self.loop.time() - job.arrived_at > MAX_RETRY_QUEUE_S:
                self.gate.ended(job.route, None)
                self._reply_busy(job, "late", False)
                self._forget(job)
            else:
                self._start(job)
        if any(job.done for job in starts):
            self._start_queued()

    def _reject_queued(self, why: str) -> None:
        for job in self.gate.clear():
            self._reply_busy(job, why, False)
            self._forget(job)

    def _forget(self, job: Job) -> None:
        job.done = True
        if job.timer is not None:
            job.timer.cancel()
        self.jobs.pop(job.key, None)

    def _on_deadline(self, job: Job) -> None:
        """Its time is over: the server ceases by itself, and its asker has answered."""
        if job.upstream_call is not None:
            job.upstream_call.cancel()
        elif self.gate.remove(job):
            self._reply_busy(job, "late", False)
            self._forget(job)

    def cancel(self, origin: Hashable, ident: int) -> None:
        """The asker needs it no more, and hears no more of it."""
        job = self.jobs.get((origin, ident))
        if job is None or job.done:
            return
        job.done = True
        self._log_if_long(job)
        if job.upstream_call is not None:
            job.upstream_call.cancel()
        else:
            self.gate.remove(job)
            self._forget(job)

    def _log_if_long(self, job: Job) -> None:
        age = self.loop.time() - job.arrived_at
        if age < LOG_ABANDONED_AFTER_S:
            return
        state = (
            "queued"
            if job.upstream_call is None
            else f"running for {self.loop.time() - job.started_at:.1f} s"
        )
        caller = job.caller.decode(errors="replace")
        log_event(Event.ABANDONED, route=job.route, caller=caller, age=age, state=state)

    def on_connection_lost(self, origin: Hashable) -> None:
        """The asker's line is gone. What may be repeated is given up; what may not runs on to its end."""
        jobs = [job for key, job in self.jobs.items() if isinstance(key, tuple) and key[0] == origin]
        # Danger: a slot that one of them frees would go to another of them, which nobody waits for.
        for job in sorted(jobs, key=lambda job: job.upstream_call is not None):
            if job.upstream_call is None or not job.flags & AT_MOST_ONCE:
                self.cancel(origin, job.ident)
            else:
                self._log_if_long(job)

    def limit_deadlines(self, end_by: float) -> None:
        """Calls that have not begun by `latest` are rejected in time: this process ends soon after."""
        self.end_by = end_by
        for waiting in self.gate.queue:
            waiting.deadline = min(waiting.deadline, end_by)
            waiting.job.deadline = waiting.deadline
        self.loop.call_at(end_by, self._reject_queued, "leaving")

    def server_fields(self) -> tuple[Any, ...]:
        """What others are told of the server: life, slots, state, cold seconds."""
        return self.server_id, self.slots, self.state, max(self.slow_start_until - self.loop.time(), 0.0)

    def close(self) -> None:
        self.server_pool.close()
