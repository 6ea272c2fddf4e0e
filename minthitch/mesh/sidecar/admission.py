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

PAST = 16  # lives of servers that are over and remembered: their late beats mean nothing
LOWEST = 99  # a rank behind which nobody waits
LONG_S = 2.0  # seconds after which a call that is given up is worth a line in the log
LATE = 0.05  # seconds beyond the deadline in which the server's own word on it may still come
UNREACHED = Status.CONNECT_FAILED.value
REPEAT_WAITS = 0.5  # seconds in the queue after which a further copy is not begun: it was paid in its window
ONCE, REPEAT = 1, 2  # flags of a call: it may not run twice; another copy of it went out before
Reply = Callable[[ops.Message], None]


class Job:
    """One call at the gate."""

    __slots__ = (
        "key",
        "ident",
        "message",
        "identity",
        "caller",
        "life",
        "deadline",
        "flags",
        "reply",
        "errand",
        "came",
        "began",
        "timer",
        "over",
        "route",
    )

    def __init__(
        self, key: Hashable, reply: Reply, message: ops.Message, now: float, latest: float = math.inf
    ) -> None:
        _, ident, life, left, _, _, flags, method, target, fields, body, identity, caller, route = message
        self.key, self.ident, self.life, self.flags, self.reply = key, ident, life, flags, reply
        self.message = Message(method, target, fields, body)
        self.identity, self.caller, self.route = identity, caller, route
        self.deadline = min(now + left, latest)
        self.errand: UpstreamCall | None = None
        self.came, self.began = now, 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.over = False


class Admission:
    """Knows the server's life by its beats, and runs on it what may run."""

    def __init__(self, upstream: str, service: str, shelf: ServerPool, changed: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.address, self.service, self.changed = upstream, service, changed
        self.shelf = shelf
        self.gate: Gate[Job] = Gate(0)
        self.life, self.state, self.slots, self.seq = "", "none", 0, -1
        self.cold_until = 0.0
        self.past: deque[str] = deque(maxlen=PAST)
        self.upstream = Upstream(upstream)
        self.jobs: dict[Hashable, Job] = {}
        self.runs = self.repeated = 0  # begun at the server, and those of them that are further copies
        self.repeats = 0  # further copies that run now: their calls are repeats too
        self.latest = math.inf  # by when all calls have to end: this process ends then
        self.may_repeat: Callable[[], bool] = lambda: True  # whether their calls could be paid

    # The server's own word ------------------------------------------------------------------------

    def beat(self, life: str, body: bytes) -> None:
        """Raises ValueError where it can't be read."""
        try:
            beat = decode_heartbeat(body)
        except msgspec.DecodeError as err:
            raise ValueError(f"beat of {life[:40]}: {err}") from None
        if life in self.past:
            return  # danger: a late beat of a life that is over would open the gate for it again
        if life != self.life:
            self._new_life(life, beat)
        elif beat.stat.seq <= self.seq:
            return  # a late one
        self.seq = beat.stat.seq
        if beat.summary.cap != self.slots:
            self.slots = self.gate.slots = beat.summary.cap
        if beat.stat.state != self.state:
            self._be(beat.stat.state)

    def _new_life(self, life: str, beat: Heartbeat) -> None:
        self._turn_away_queue("another life")
        if self.life:
            self.past.append(self.life)
        self.upstream.is_usable = False  # danger: kept connections belong to the life before
        self.shelf.hang_up(self.upstream)  # type: ignore[arg-type]
        self.upstream = Upstream(self.address)
        self.life, self.state = life, "none"
        mean, means = self.gate.mean, self.gate.means
        self.gate = Gate(beat.summary.cap)
        self.gate.mean, self.gate.means = mean, means
        self.cold_until = self.loop.time() + beat.stat.cold_s

    def _be(self, state: str) -> None:
        log_event(Event.SERVER, server_id=self.life, service=self.service, state=state)
        self.state = state
        if state != "up":
            self._turn_away_queue(state)
        self.changed()

    def leave(self, life: str) -> None:
        if life not in self.past:
            self.past.append(life)
        if life == self.life and self.state != "none":
            self._be("none")

    # Calls ----------------------------------------------------------------------------------------

    def call(self, origin: Hashable, reply: Reply, message: ops.Message) -> None:
        now = self.loop.time()
        job = Job((origin, message[1]), reply, message, now, self.latest)
        if self.state != "up" or job.life != self.life or now >= self.latest:
            self._busy(job, "gone", False)
            return
        if job.flags & REPEAT and not self.may_repeat():
            self._busy(job, "budget", False)
            return
        if self.gate.stuck(now):
            self._turn_away_queue("stuck")
            self._busy(job, "stuck", False)
            return
        needs = self.gate.needs(job.route, message[4])
        due = min(now + message[4], self.latest)
        verdict = self.gate.arrive(now, QueuedRequest(job, message[5], due, job.deadline, needs))
        if verdict is None:
            self._busy(job, "full", False)
            return
        self.jobs[job.key] = job
        job.timer = self.loop.call_at(job.deadline + LATE, self._late, job)
        if verdict:
            self._start(job)

    def _start(self, job: Job) -> None:
        job.began = self.loop.time()
        deadline = time.monotonic_ns() + int((job.deadline - job.began) * 1e9)
        self.runs += 1
        self.repeated += bool(job.flags & REPEAT)
        self.repeats += bool(job.flags & REPEAT)
        job.errand = UpstreamCall(
            self.upstream,
            job.message,
            job.identity,
            job.life.encode(),
            job.caller,
            deadline,
            bool(job.flags & ONCE),
            lambda outcome: self._done(job, outcome),
        )
        self.shelf.run(job.errand)

    def _done(self, job: Job, outcome: Outcome) -> None:
        if job.life == self.life:
            took = self.loop.time() - job.began if outcome.kind is RAN and outcome.status < 500 else None
            self.gate.ended(job.route, took)
        self.repeats -= bool(job.flags & REPEAT)
        if not job.over:
            self._tell(job, outcome)
        self._forget(job)
        if outcome.why == UNREACHED and not outcome.arrived and self.state == "up" and job.life == self.life:
            self._be("none")  # no connection to it comes up: its next beat tells otherwise
        self._next()

    def _tell(self, job: Job, outcome: Outcome) -> None:
        running, queued = self.gate.running, self.gate.queued
        if outcome.kind is RAN:
            job.reply((ops.ANSWER, job.ident, outcome.status, outcome.fields, outcome.body, running, queued))
        elif outcome.kind is NOT_RUN:
            self._busy(job, outcome.why, outcome.arrived)
        else:
            job.reply((ops.LOST, job.ident, outcome.why, running, queued))

    def _busy(self, job: Job, why: str, arrived: bool) -> None:
        gate = self.gate
        job.reply((ops.BUSY, job.ident, why, arrived, gate.running, gate.queued, gate.wait(LOWEST)))

    def _next(self) -> None:
        starts, late = self.gate.next(self.loop.time()) if self.state == "up" else ([], [])
        for job in late:
            self._busy(job, "late", False)
            self._forget(job)
        for job in starts:
            if job.flags & REPEAT and self.loop.time() - job.came > REPEAT_WAITS:
                self.gate.ended(job.route, None)
                self._busy(job, "late", False)
                self._forget(job)
            else:
                self._start(job)
        if any(job.over for job in starts):
            self._next()

    def _turn_away_queue(self, why: str) -> None:
        for job in self.gate.clear():
            self._busy(job, why, False)
            self._forget(job)

    def _forget(self, job: Job) -> None:
        job.over = True
        if job.timer is not None:
            job.timer.cancel()
        self.jobs.pop(job.key, None)

    def _late(self, job: Job) -> None:
        """Its time is over: the server ceases by itself, and its asker has answered."""
        if job.errand is not None:
            job.errand.cancel()
        elif self.gate.remove(job):
            self._busy(job, "late", False)
            self._forget(job)

    def cancel(self, origin: Hashable, ident: int) -> None:
        """The asker needs it no more, and hears no more of it."""
        job = self.jobs.get((origin, ident))
        if job is None or job.over:
            return
        job.over = True
        self._log_if_long(job)
        if job.errand is not None:
            job.errand.cancel()
        else:
            self.gate.remove(job)
            self._forget(job)

    def _log_if_long(self, job: Job) -> None:
        age = self.loop.time() - job.came
        if age < LONG_S:
            return
        state = "queued" if job.errand is None else f"running for {self.loop.time() - job.began:.1f} s"
        caller = job.caller.decode(errors="replace")
        log_event(Event.ABANDONED, route=job.route, caller=caller, age=age, state=state)

    def fell(self, origin: Hashable) -> None:
        """The asker's line is gone. What may be repeated is given up; what may not runs on to its end."""
        jobs = [job for key, job in self.jobs.items() if isinstance(key, tuple) and key[0] == origin]
        # Danger: a slot that one of them frees would go to another of them, which nobody waits for.
        for job in sorted(jobs, key=lambda job: job.errand is not None):
            if job.errand is None or not job.flags & ONCE:
                self.cancel(origin, job.ident)
            else:
                self._log_if_long(job)

    def limit_deadlines(self, latest: float) -> None:
        """Calls that have not begun by `latest` are rejected in time: this process ends soon after."""
        self.latest = latest
        for waiting in self.gate.queue:
            waiting.deadline = min(waiting.deadline, latest)
            waiting.job.deadline = waiting.deadline
        self.loop.call_at(latest, self._turn_away_queue, "leaving")

    def record(self) -> tuple[Any, ...]:
        """What others are told of the server: life, slots, state, cold seconds."""
        return self.life, self.slots, self.state, max(self.cold_until - self.loop.time(), 0.0)

    def close(self) -> None:
        self.shelf.close()
