"""What is learned from how attempts end."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.admission import CROWD_LEAST, GROWTH, GROWTH_MOST, Admission
from minthitch.decisions.evidence import LOAD_HALF_LIFE
from minthitch.decisions.gamma import REFERENCE
from minthitch.decisions.known import SPARE_MOST
from minthitch.decisions.placing import OVERDUE, Placing
from minthitch.decisions.requests import Attempt, Request
from minthitch.decisions.servers import SHUT

SPARE_SHARE = 0.2  # further attempts allowed per answer got: bounds what the tiers multiply to about 1.2 each
FULL_SHRINKS = 12.0  # answers' growth that one call turned away as full undoes: one in twelve is many
ROOM = 1.5  # calls out that may be, as a multiple of what the answers got would need at their usual times


class Outcomes(Placing, Admission):
    """Evidence, the window and what copies may cost, by how attempts end."""

    def _ended(self, now: int, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.status is not None:  # told before
            return
        attempt.status = event.status
        self._track(attempt, -1)
        if event.status is not api.Status.MOOT:
            self._record_outcome(now, request, attempt, event.latency)
        elif event.attempt:
            self.budget.moot(attempt.sent)
        self._resize(now, attempt, event.status)
        if event.closed or event.status is api.Status.OK or request.closed:
            self._cancel_others(request, event.attempt)
            self._close(request)
        elif not request.streaming and all(a.status is not None for a in request.attempts):
            self._dispatch(now, request)
        self._dispatch_held(now)  # what this answer earned a cold server goes to the worthiest

    def _resize(self, now: int, attempt: Attempt, status: api.Status) -> None:
        """How many calls may be out, and copies may go out, after this outcome."""
        if status is api.Status.FULL:
            # Guards against servers that turn away before times tell: too much is out already. Also slows
            # growth while servers throttle one class; harmless there, as the first few calls stay.
            self.extra_limit = max(self.extra_limit - FULL_SHRINKS * GROWTH * self.smoothing, 0.0)
        if status is api.Status.OK:
            self.extra_attempts = min(SPARE_MOST, self.extra_attempts + SPARE_SHARE)
            # Guards against growing with the queues themselves: answers at their usual times need so many.
            self.flow.note(now, attempt.base, True, False)
            need = ROOM * self.flow.time * math.log(2) / LOAD_HALF_LIFE
            if self.slowdown < GROWTH_MOST and self.extra_limit < need:
                self.extra_limit += self._growth(now)
            else:
                # Guards against holding a window that keeps servers slow: they recover once nearly idle. A
                # node with few calls out yields by less: its strain strays by chance.
                yields = self.smoothing**2 if self.slowdown > GROWTH_MOST else 0.0
                part = 1.0 if self.extra_limit > need or self.slowdown > CROWD_LEAST else yields
                self.extra_limit = max(self.extra_limit - GROWTH * self.smoothing * part, 0.0)

    def _record_outcome(self, now: int, request: Request, attempt: Attempt, latency: int) -> None:
        """Take in how an attempt ended. A cancelled one only tells that it took longer than it had."""
        ok = attempt.status is api.Status.OK
        lost = not ok and attempt.status is not api.Status.CANCELLED
        server, waited = attempt.server, latency / attempt.expected
        self._learn_connections(now, attempt)
        server.evidence.note(now, waited, ok, lost)
        # Guards against a kind that is damned by a few silent servers: they return, and others of it start.
        self.kinds[server.entry.kind].note(now, min(waited, OVERDUE), ok, lost)
        # The common load is taken out, or a busy start would pass for what the class usually takes.
        self.classes[request.cls].note(now, latency / request.spec.aim / self._load(now), ok, lost)
        if ok or waited <= REFERENCE:
            self.load.note(now, latency / attempt.base, ok, lost)
        if server.warmth(now, self.settings) >= 1.0:
            self.warm.note(now, waited, ok, lost)
            self.warm_lately.note(now, waited, ok, lost)
            return
        self.cold.note(now, latency / api.SECOND, ok, lost)
        if ok:
            self._earned(now, server, waited)

    def _learn_connections(self, now: int, attempt: Attempt) -> None:
        """Whether its server takes connections, by an answer or a refusal."""
        server = attempt.server
        if attempt.status is api.Status.OK:
            server.connections, server.used = max(server.connections, server.in_flight + 1), now
            if attempt.sent > server.refused and server in self.refusers:  # it takes connections again
                self.refusers.remove(server)
                server.refused, server.rest = 0, SHUT // 2
        elif attempt.status is api.Status.CONNECT_FAILED:
            server.rest = min(2 * server.rest, max(self.settings.idle_close, SHUT))
            server.connect_after, server.connections, server.refused = now + server.rest, 0, now
            if self.servers.get(server.entry.server) is server:
                self.refusers.add(server)
