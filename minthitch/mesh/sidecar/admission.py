"""Admission to the server beside this sidecar: its health by heartbeats, and the calls that it runs."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any

from minthitch.engine.calls import Message
from minthitch.interface import Status
from minthitch.mesh.configuration.calls import Heartbeat
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.upstream import NOT_RUN, RAN, Outcome, ServerPool, Upstream, UpstreamCall
from minthitch.mesh.limits.gate import Gate, QueuedRequest
from minthitch.mesh.transport import ops

# Ids of earlier server runs that are remembered, so that their late heartbeats are ignored.
MAX_PAST_SERVERS = 16
LOWEST_RANK = 99  # behind every rank in use
LOG_ABANDONED_AFTER_S = 2.0  # age from which an abandoned call is logged
DEADLINE_GRACE_S = 0.05  # after the deadline, in which the server's own answer may still come
CONNECT_FAILED = Status.CONNECT_FAILED.value
# Time in the queue after which a retry is not started: it is charged to the budget window in which it was
# sent.
MAX_RETRY_QUEUE_S = 0.5
AT_MOST_ONCE, RETRY = 1, 2  # flags of a call: it must not run twice; an earlier attempt may run too
Reply = Callable[[ops.Message], None]


class Job:
    """One call that waits for the server or runs there."""

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
    """Tracks the server by its heartbeats, and runs calls on it as far as its slots allow."""

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
        self.runs_started = self.retries_started = 0  # runs at the server, and those of them that are retries
        self.retries_running = 0  # calls that these make count as retries too
        self.end_by = math.inf  # when all calls have to end in a shutdown
        # Called with the key of each call whose body is not held here any more, perhaps more than once.
        self.on_body_released: Callable[[Hashable], None] = lambda key: None
        # Whether the retry budget covers the calls that a retry would make.
        self.may_run_retry: Callable[[], bool] = lambda: True

    # Heartbeats -------------------------------------------------------------------------------------

    def on_heartbeat(self, server_id: str, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of the server, unless it is late."""
        if server_id in self.past_server_ids:
            return  # a late heartbeat of a server run that has ended must not open the gate for it again
        if server_id != self.server_id:
            self._on_new_server(server_id, heartbeat)
        elif heartbeat.stat.seq <= self.seq and heartbeat.stat.state == "up":
            return  # a late heartbeat; a late `draining` counts, because no run is up again after it
        self.seq = max(heartbeat.stat.seq, self.seq)
        if heartbeat.summary.cap != self.slots:
            self.slots = self.gate.slots = heartbeat.summary.cap
        if heartbeat.stat.state != self.state:
            self._set_state(heartbeat.stat.state)

    def _on_new_server(self, server_id: str, heartbeat: Heartbeat) -> None:
        self._reject_queued("another life")
        if self.server_id:
            self.past_server_ids.append(self.server_id)
        self.upstream.is_usable = False  # idle connections belong to the earlier server run
        self.server_pool.hang_up(self.upstream)  # type: ignore[arg-type]
        self.upstream = Upstream(self.address)
        self.server_id, self.state, self.seq = server_id, "none", -1
        mean, means = self.gate.mean, self.gate.means
        self.gate = Gate(heartbeat.summary.cap)
        self.gate.mean, self.gate.means = mean, means
        self.slow_start_until = self.loop.time() + heartbeat.stat.cold_s

    def _set_state(self, state: str) -> None:
        self.state = state
        log_event(
            Event.SERVER, server_id=self.server_id, service=self.service, state=state, sequence=self.seq
        )
        if state != "up":
            self._reject_queued(state)
        self.on_change()

    def suspend(self) -> None:
        """Start no calls until the next heartbeat: another run may have replaced the present one."""
        if self.state == "up":
            self._set_state("none")

    def deregister(self, server_id: str) -> None:
        """Send nothing more to this run of the server."""
        if server_id not in self.past_server_ids:
            self.past_server_ids.append(server_id)
        if server_id == self.server_id and self.state != "none":
            self._set_state("none")

    def readmit(self, server_id: str) -> None:
        """This run took the place of an earlier one before, and counted as over when another took its own."""
        if server_id in self.past_server_ids:
            self.past_server_ids.remove(server_id)

    # Calls ----------------------------------------------------------------------------------------

    def call(self, origin: Hashable, reply: Reply, message: ops.Message) -> None:
        """Start or queue a call, or reject it at once."""
        job = Job((origin, message[1]), reply, message, self.loop.time(), self.end_by)
        rejection = self._admit(job, message)
        if rejection:
            self._reply_busy(job, rejection, False)
            self.on_body_released(job.key)

    def _admit(self, job: Job, message: ops.Message) -> str:
        """Start or queue the call; why it is rejected, or empty."""
        now = job.arrived_at
        if self.state != "up" or job.server_id != self.server_id or now >= self.end_by:
            return "gone"
        if job.flags & RETRY and not self.may_run_retry():
            return "budget"
        if self.gate.stuck(now):
            self._reject_queued("stuck")
            return "stuck"
        needs = self.gate.expected_duration(job.route, message[4])
        due = min(now + message[4], self.end_by)
        verdict = self.gate.arrive(now, QueuedRequest(job, message[5], due, job.deadline, needs))
        if verdict is None:
            return "full"
        self.jobs[job.key] = job
        job.timer = self.loop.call_at(job.deadline + DEADLINE_GRACE_S, self._on_deadline, job)
        if verdict:
            self._start(job)
        return ""

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
            lambda: self.on_body_released(job.key),
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
            outcome.reason == CONNECT_FAILED
            and not outcome.arrived
            and self.state == "up"
            and job.server_id == self.server_id
        ):
            self._set_state("none")  # no connection can be made: its next heartbeat may change that
        self._start_queued()

    def _reply(self, job: Job, outcome: Outcome) -> None:
        running, queued = self.gate.running, self.gate.queued
        if outcome.kind is RAN:
            job.reply((ops.ANSWER, job.ident, outcome.status, outcome.fields, outcome.body, running, queued))
        elif outcome.kind is NOT_RUN:
            self._reply_busy(job, outcome.reason, outcome.arrived)
        else:
            job.reply((ops.OUTCOME_UNKNOWN, job.ident, outcome.reason, running, queued))

    def _reply_busy(self, job: Job, why: str, arrived: bool) -> None:
        gate = self.gate
        job.reply(
            (
                ops.REJECTED,
                job.ident,
                why,
                arrived,
                gate.running,
                gate.queued,
                gate.expected_wait(LOWEST_RANK),
            )
        )

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
        self.on_body_released(job.key)

    def _on_deadline(self, job: Job) -> None:
        """Its time is over: the server stops by itself, and the caller has responded."""
        if job.upstream_call is not None:
            job.upstream_call.cancel()
        elif self.gate.remove(job):
            self._reply_busy(job, "late", False)
            self._forget(job)

    def cancel(self, origin: Hashable, ident: int) -> None:
        """The caller no longer needs the call, and gets no reply to it."""
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
        """The caller's connection is lost: idempotent calls are cancelled, others run on to their end."""
        jobs = [job for key, job in self.jobs.items() if isinstance(key, tuple) and key[0] == origin]
        # Queued calls first: else a slot that is freed would go to another of these calls, for which nobody
        # waits.
        for job in sorted(jobs, key=lambda job: job.upstream_call is not None):
            if job.upstream_call is None or not job.flags & AT_MOST_ONCE:
                self.cancel(origin, job.ident)
            else:
                self._log_if_long(job)

    def limit_deadlines(self, end_by: float) -> None:
        """Rejects calls that have not started by `end_by`: this process ends soon after."""
        self.end_by = end_by
        for waiting in self.gate.queue:
            waiting.deadline = min(waiting.deadline, end_by)
            waiting.job.deadline = waiting.deadline
        self.loop.call_at(end_by, self._reject_queued, "leaving")

    def body_bytes(self) -> tuple[int, int]:
        """Bytes of the request bodies of queued calls, and of running ones that are not sent yet."""
        queued, running = 0, self.server_pool.unsent_bytes()
        for job in self.jobs.values():
            if job.upstream_call is None:
                queued += len(job.message.body)
            else:
                running += len(job.message.body)
        return queued, running

    def server_fields(self) -> tuple[Any, ...]:
        """What is reported of the server: its id, slots, state, seconds left of its slow start."""
        return self.server_id, self.slots, self.state, max(self.slow_start_until - self.loop.time(), 0.0)

    def close(self) -> None:
        self.server_pool.close()
