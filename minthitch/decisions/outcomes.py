"""What is learned from how attempts end."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.admission import CONGESTION_LOW, LIMIT_STEP, QUEUEING_SLOWDOWN, Admission
from minthitch.decisions.dispatch import OVERDUE_FACTOR, Dispatch
from minthitch.decisions.evidence import LOAD_HALF_LIFE
from minthitch.decisions.gamma import REFERENCE
from minthitch.decisions.requests import Attempt, Request
from minthitch.decisions.servers import CONNECT_BACKOFF
from minthitch.decisions.state import MAX_EXTRA_ATTEMPTS

EXTRA_PER_ANSWER = 0.2  # extra attempts earned per answer: each tier multiplies calls by about 1.2 at most
FULL_PENALTY = 12.0  # one FULL undoes the growth of this many answers: one FULL in twelve is a lot
LIMIT_MARGIN = 1.5  # the limit may exceed the calls in flight that the answers account for by this factor


class Outcomes(Dispatch, Admission):
    """Updates of the evidence, the in-flight limit and the extra attempts when an attempt ends."""

    def _on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.status is not None:  # reported before
            return
        attempt.status = event.status
        self._count_in_flight(attempt, -1)
        if event.status is not api.Status.MOOT:
            self._record_outcome(now, request, attempt, event.latency)
        elif event.attempt:
            self.budget.refund(attempt.sent_at)
        self._adjust_limits(now, attempt, event.status)
        if event.closed or event.status is api.Status.OK or request.closed:
            self._cancel_others(request, event.attempt)
            self._close(request)
        elif not request.streaming and all(a.status is not None for a in request.attempts):
            self._dispatch(now, request)
        self._dispatch_held(now)  # credit earned by this answer goes to the held request worth most

    def _adjust_limits(self, now: int, attempt: Attempt, status: api.Status) -> None:
        """Adjust the in-flight limit and the extra attempts to this outcome."""
        if status is api.Status.FULL:
            # Servers turn calls away before latencies rise: too many are in flight already. This also slows
            # growth while servers throttle a single class, which does no harm, as the initial limit stays.
            self.extra_limit = max(self.extra_limit - FULL_PENALTY * LIMIT_STEP * self.smoothing, 0.0)
        if status is api.Status.OK:
            self.extra_attempts = min(MAX_EXTRA_ATTEMPTS, self.extra_attempts + EXTRA_PER_ANSWER)
            # By Little's law, answers at their base latency account for so many calls in flight. Calls in
            # flight themselves would not do as a bound: a queue adds to them, and the limit would follow it.
            self.flow.note(now, attempt.base_latency, True, False)
            need = LIMIT_MARGIN * self.flow.time * math.log(2) / LOAD_HALF_LIFE
            if self.slowdown < QUEUEING_SLOWDOWN and self.extra_limit < need:
                self.extra_limit += self._limit_growth(now)
            else:
                # A limit that is merely held would keep servers slow: they recover only when nearly idle. A
                # node with few calls in flight shrinks it by less, as its slowdown varies by chance.
                queueing = self.smoothing**2 if self.slowdown > QUEUEING_SLOWDOWN else 0.0
                part = 1.0 if self.extra_limit > need or self.slowdown > CONGESTION_LOW else queueing
                self.extra_limit = max(self.extra_limit - LIMIT_STEP * self.smoothing * part, 0.0)

    def _record_outcome(self, now: int, request: Request, attempt: Attempt, latency: int) -> None:
        """Record how an attempt ended. A cancelled one shows only that it took longer than it was given."""
        ok = attempt.status is api.Status.OK
        failed = not ok and attempt.status is not api.Status.CANCELLED
        server, elapsed = attempt.server, latency / attempt.expected
        self._record_connection(now, attempt)
        server.evidence.note(now, elapsed, ok, failed)
        # Capped, or a few silent servers would discredit a kind: they come back, and others of it start.
        self.kinds[server.entry.kind].note(now, min(elapsed, OVERDUE_FACTOR), ok, failed)
        # Divided by the common load, or a busy start would raise the base latency of the class.
        self.classes[request.cls].note(now, latency / request.spec.aim / self._load(now), ok, failed)
        if ok or elapsed <= REFERENCE:
            self.load.note(now, latency / attempt.base_latency, ok, failed)
        if server.warmth(now, self.settings) >= 1.0:
            self.warm.note(now, elapsed, ok, failed)
            self.warm_recent.note(now, elapsed, ok, failed)
            return
        self.cold.note(now, latency / api.SECOND, ok, failed)
        if ok:
            self._earn_credit(now, server, elapsed)

    def _record_connection(self, now: int, attempt: Attempt) -> None:
        """Record whether the server accepts connections, by an answer or a failed connect."""
        server = attempt.server
        if attempt.status is api.Status.OK:
            server.connections, server.answered_at = max(server.connections, server.in_flight + 1), now
            if attempt.sent_at > server.connect_failed_at and server in self.unreachable:
                self.unreachable.remove(server)  # it accepts connections again
                server.connect_failed_at, server.backoff = 0, CONNECT_BACKOFF // 2
        elif attempt.status is api.Status.CONNECT_FAILED:
            server.backoff = min(2 * server.backoff, max(self.settings.idle_close, CONNECT_BACKOFF))
            server.connect_after, server.connections, server.connect_failed_at = now + server.backoff, 0, now
            if self.servers.get(server.entry.server) is server:
                self.unreachable.add(server)
