"""Requests traced for their operator: loaded, and paid for, only from the call that switches it on.

A traced trip is the same trip with its course noted (minthitch.mesh.sidecar.course). Nothing is decided here.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.idempotency.operations import Operation
from minthitch.mesh.sidecar.choice import Target
from minthitch.mesh.sidecar.course import (
    ANSWERED,
    CANCELLED,
    CLAIMS,
    GONE,
    GRANTED,
    LOST,
    NOT_HELD,
    OVERDUE,
    REFUSED,
    REPLIED,
    SENT,
    SETTLED,
    TOOK,
    TURNED_AWAY,
    Candidates,
    Course,
    Ring,
    named,
)
from minthitch.mesh.sidecar.retry_budget import steady
from minthitch.mesh.sidecar.trip import Attempt, Fields, Trip

if TYPE_CHECKING:
    from minthitch.mesh.configuration.routes import Route
    from minthitch.mesh.http.listener import ClientConnection
    from minthitch.mesh.sidecar.front import Front
    from minthitch.net.callers import Incoming

LONGEST = 3600  # seconds for which requests can be traced by one call
KEPT = 300.0  # seconds for which what was traced can still be asked


class Traced(Trip):
    """A trip that notes its course, and leaves it in the ring when it is over."""

    __slots__ = ("course", "ring")

    def __init__(
        self,
        ring: Ring,
        front: Front,
        client: ClientConnection,
        item: Incoming,
        route: Route,
        service: str,
        now: float,
        left: float,
        nested: bool,
    ) -> None:
        super().__init__(front, client, item, route, service, now, left, nested)
        self.ring, self.course = ring, Course(now)
        self.course.note(
            now,
            TOOK,
            route.name,
            route.kind,
            self.rank,
            service,
            self.due - now,
            self.deadline - now,
            route.max_attempts,
            front.nodes,
        )

    def note(self, word: str, *values: Any) -> None:
        self.course.note(self.front.loop.time(), word, *values)

    def left(self) -> int:
        return self.front.retry_budget.of(self.service).remaining(steady())

    def begin(self) -> None:
        if self.route.kind == "keyed":
            self.note(CLAIMS)
        super().begin()

    def go(self, operation: Operation) -> None:
        self.note(GRANTED)
        super().go(operation)

    def settle(self, status: int, fields: Fields, body: bytes) -> None:
        self.note(SETTLED, self.holder)
        super().settle(status, fields, body)

    def fail(self, kind: ErrorKind) -> None:
        self.note(NOT_HELD, kind.value, self.holder)
        super().fail(kind)

    def _send(self, first: bool = True) -> None:
        choice = self.front.choice
        choice.seen = self._looked
        try:
            super()._send(first)
        finally:
            choice.seen = None

    def _looked(self, wanted: int, candidates: Candidates) -> None:
        now = self.front.loop.time()
        self.course.looked(now, wanted, self.due - now, self.left(), candidates)

    def _send_to(self, target: Target, now: float) -> None:
        repeat = self.arrivals > 0
        super()._send_to(target, now)
        self.note(SENT, next(reversed(self.out)), target.life, target.ip, repeat, self.left())

    def _overdue(self) -> None:
        if not self.answered and self.out:
            self.note(OVERDUE)
        super()._overdue()

    def served(self, attempt: Attempt, status: int, fields: Fields, body: bytes) -> None:
        self.note(ANSWERED, attempt.ident, status, self.left())
        super().served(attempt, status, fields, body)

    def turned_away(self, attempt: Attempt, arrived: bool, wait: float) -> None:
        self.note(TURNED_AWAY, attempt.ident, str(attempt.word), arrived, self.left())
        super().turned_away(attempt, arrived, wait)

    def lost(self, attempt: Attempt) -> None:
        self.note(LOST, attempt.ident, str(attempt.word), self.left())
        super().lost(attempt)

    def abandoned(self) -> None:
        self.note(GONE)
        super().abandoned()

    def _respond_error(self, kind: ErrorKind) -> None:
        if not self.answered:
            self.note(REFUSED, kind.value)
        super()._respond_error(kind)

    def _respond(self, status: int, fields: Fields, body: bytes) -> None:
        if not self.answered:
            self.note(REPLIED, status)
        super()._respond(status, fields, body)

    def _close(self) -> None:
        if not self.closed:
            for ident in self.out:
                self.note(CANCELLED, ident)
            self.ring.keep(self.identity, self.course.packed())
        super()._close()


class Tracer:
    """Switches tracing on and off at one sidecar, and tells what was traced."""

    def __init__(self, front: Front) -> None:
        self.front, self.ring = front, Ring()
        self.until = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def switch(self, seconds: str) -> bool:
        """Traces all new requests for so long; "0" ends it now. Whether that is a number of seconds."""
        if not seconds.isdigit() or not 0 <= int(seconds) <= LONGEST:
            return False
        if self.timer is not None:
            self.timer.cancel()
        if int(seconds) == 0:
            self._end()
            return True
        loop = self.front.loop
        self.until = loop.time() + int(seconds)
        self.timer = loop.call_later(int(seconds), self._end)
        self.front.make_trip = partial(Traced, self.ring)
        log_event(Event.TRACED, state=f"for {seconds} s")
        return True

    def _end(self) -> None:
        self.until = 0.0
        self.front.make_trip = Trip
        self.timer = self.front.loop.call_later(KEPT, self._forget)
        log_event(Event.TRACED, state=f"no longer; {len(self.ring.held)} can be asked for {KEPT:.0f} s")

    def _forget(self) -> None:
        self.ring = Ring()

    def status(self) -> dict[str, Any]:
        left = max(self.until - self.front.loop.time(), 0.0)
        return {
            "left_s": round(left, 1),
            "kept": len(self.ring.held),
            "bytes": self.ring.size,
            "left_out": self.ring.left_out,
        }

    def explain(self, ident: bytes) -> dict[str, Any] | None:
        """The course of one request, over or still open; None where none is known."""
        steps: list[Any] | None = self.ring.find(ident)
        trips = [t for t in self.front.trips if isinstance(t, Traced) and t.identity == ident]
        if trips:
            steps = trips[-1].course.rows()
        if steps is None:
            return None
        return {
            "sidecar": self.front.name,
            "request": ident.decode("latin-1"),
            "open": bool(trips),
            "steps": named(steps),
        }


def unescaped(text: str) -> bytes:
    """The bytes of an id in a path, its %XX read. Raises ValueError."""
    first, *rest = text.split("%")
    return first.encode() + b"".join(bytes.fromhex(part[:2]) + part[2:].encode() for part in rest)
