"""Tracing of requests for operators. The module is loaded only when an operator first switches it on.

A traced exchange is the same exchange with its steps recorded (minthitch.mesh.sidecar.trace). It decides
nothing.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from minthitch.mesh.configuration.errors import ErrorKind
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.idempotency.operations import Operation
from minthitch.mesh.sidecar.exchange import Attempt, Exchange, Fields
from minthitch.mesh.sidecar.load_balancer import Endpoint
from minthitch.mesh.sidecar.retry_budget import monotonic_now
from minthitch.mesh.sidecar.trace import (
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
    Trace,
    TraceBuffer,
    steps_as_dicts,
)

if TYPE_CHECKING:
    from minthitch.mesh.configuration.routes import Route
    from minthitch.mesh.http.listener import ClientConnection
    from minthitch.mesh.sidecar.sidecar import Sidecar
    from minthitch.net.callers import Incoming

MAX_DURATION_S = 3600  # of tracing by one call
RETENTION_S = 300.0  # for which traces are kept after tracing has ended


class TracedExchange(Exchange):
    """An exchange that records its steps, and stores them in the buffer at its end."""

    __slots__ = ("trace", "buffer")

    def __init__(
        self,
        buffer: TraceBuffer,
        sidecar: Sidecar,
        client: ClientConnection,
        request: Incoming,
        route: Route,
        service: str,
        now: float,
        time_left: float,
        nested: bool,
    ) -> None:
        super().__init__(sidecar, client, request, route, service, now, time_left, nested)
        self.buffer, self.trace = buffer, Trace(now)
        self.trace.add(
            now,
            TOOK,
            route.name,
            route.kind,
            self.rank,
            service,
            self.due - now,
            self.deadline - now,
            route.max_attempts,
            sidecar.sidecar_count,
        )

    def record_step(self, kind: str, *values: Any) -> None:
        self.trace.add(self.sidecar.loop.time(), kind, *values)

    def budget_left(self) -> int:
        return self.sidecar.retry_budget.budget_for(self.service).remaining(monotonic_now())

    def start(self) -> None:
        if self.route.kind == "keyed":
            self.record_step(CLAIMS)
        super().start()

    def on_claim_granted(self, operation: Operation) -> None:
        self.record_step(GRANTED)
        super().on_claim_granted(operation)

    def replay(self, status: int, fields: Fields, body: bytes) -> None:
        self.record_step(SETTLED, self.claim_owner)
        super().replay(status, fields, body)

    def fail(self, kind: ErrorKind) -> None:
        self.record_step(NOT_HELD, kind.value, self.claim_owner)
        super().fail(kind)

    def _send_attempts(self, first: bool = True) -> None:
        load_balancer = self.sidecar.load_balancer
        load_balancer.on_candidates = self._on_candidates
        try:
            super()._send_attempts(first)
        finally:
            load_balancer.on_candidates = None

    def _on_candidates(self, wanted: int, candidates: Candidates) -> None:
        now = self.sidecar.loop.time()
        self.trace.add_selection(now, wanted, self.due - now, self.budget_left(), candidates)

    def _send_to(self, endpoint: Endpoint, now: float) -> None:
        is_retry = self.arrivals > 0
        super()._send_to(endpoint, now)
        self.record_step(
            SENT,
            next(reversed(self.in_flight)),
            endpoint.server_id,
            endpoint.ip,
            is_retry,
            self.budget_left(),
        )

    def _hedge(self) -> None:
        if not self.answered and self.in_flight:
            self.record_step(OVERDUE)
        super()._hedge()

    def on_answer(self, attempt: Attempt, status: int, fields: Fields, body: bytes) -> None:
        self.record_step(ANSWERED, attempt.ident, status, self.budget_left())
        super().on_answer(attempt, status, fields, body)

    def on_rejected(self, attempt: Attempt, arrived: bool, queue_wait: float) -> None:
        self.record_step(TURNED_AWAY, attempt.ident, str(attempt.outcome), arrived, self.budget_left())
        super().on_rejected(attempt, arrived, queue_wait)

    def on_lost(self, attempt: Attempt) -> None:
        self.record_step(LOST, attempt.ident, str(attempt.outcome), self.budget_left())
        super().on_lost(attempt)

    def on_client_gone(self) -> None:
        self.record_step(GONE)
        super().on_client_gone()

    def _respond_error(self, kind: ErrorKind) -> None:
        if not self.answered:
            self.record_step(REFUSED, kind.value)
        super()._respond_error(kind)

    def _respond(self, status: int, fields: Fields, body: bytes) -> None:
        if not self.answered:
            self.record_step(REPLIED, status)
        super()._respond(status, fields, body)

    def _close(self) -> None:
        if not self.closed:
            for ident in self.in_flight:
                self.record_step(CANCELLED, ident)
            self.buffer.store(self.request_id, self.trace.packed())
        super()._close()


class Tracer:
    """Switches tracing on and off at one sidecar, and returns traces."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar, self.buffer = sidecar, TraceBuffer()
        self.until = 0.0
        self.timer: asyncio.TimerHandle | None = None

    def switch(self, seconds: str) -> bool:
        """Traces all new requests for so many seconds; "0" ends it. False where `seconds` is not such a
        number.
        """
        if not seconds.isdigit() or not 0 <= int(seconds) <= MAX_DURATION_S:
            return False
        if self.timer is not None:
            self.timer.cancel()
        if int(seconds) == 0:
            self._stop()
            return True
        loop = self.sidecar.loop
        self.until = loop.time() + int(seconds)
        self.timer = loop.call_later(int(seconds), self._stop)
        self.sidecar.make_exchange = partial(TracedExchange, self.buffer)
        log_event(Event.TRACED, state=f"for {seconds} s")
        return True

    def _stop(self) -> None:
        self.until = 0.0
        self.sidecar.make_exchange = Exchange
        self.timer = self.sidecar.loop.call_later(RETENTION_S, self._forget)
        log_event(
            Event.TRACED,
            state=f"no longer; {len(self.buffer.traces)} traces are kept for {RETENTION_S:.0f} s",
        )

    def _forget(self) -> None:
        self.buffer = TraceBuffer()

    def status(self) -> dict[str, Any]:
        time_left = max(self.until - self.sidecar.loop.time(), 0.0)
        return {
            "left_s": round(time_left, 1),
            "kept": len(self.buffer.traces),
            "bytes": self.buffer.size,
            "left_out": self.buffer.left_out,
        }

    def explain(self, ident: bytes) -> dict[str, Any] | None:
        """The trace of one request, finished or still open; None where there is none."""
        steps: list[Any] | None = self.buffer.find(ident)
        exchanges = [
            exchange
            for exchange in self.sidecar.exchanges
            if isinstance(exchange, TracedExchange) and exchange.request_id == ident
        ]
        if exchanges:
            steps = exchanges[-1].trace.rows()
        if steps is None:
            return None
        return {
            "sidecar": self.sidecar.name,
            "request": ident.decode("latin-1"),
            "open": bool(exchanges),
            "steps": steps_as_dicts(steps),
        }


def unescaped(text: str) -> bytes:
    """The bytes of a percent-encoded id in a path. Raises ValueError."""
    first, *rest = text.split("%")
    return first.encode() + b"".join(bytes.fromhex(part[:2]) + part[2:].encode() for part in rest)
