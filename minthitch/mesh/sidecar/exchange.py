"""One request, from its arrival to its single response.

The request comes from a client or from the server beside this sidecar. It is sent as one or several attempts,
in parallel (hedged) or in sequence (retried); each attempt after the first that may have reached a server is
a retry and is charged to the retry budget.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.idempotency.operations import Operation
from minthitch.mesh.limits.budget import Charge
from minthitch.mesh.sidecar.admission import AT_MOST_ONCE, RETRY
from minthitch.mesh.sidecar.load_balancer import Endpoint
from minthitch.mesh.sidecar.retry_budget import monotonic_now
from minthitch.mesh.transport import ops

if TYPE_CHECKING:
    from minthitch.mesh.configuration.routes import Route
    from minthitch.mesh.http.listener import ClientConnection
    from minthitch.mesh.sidecar.peer import Peer
    from minthitch.mesh.sidecar.sidecar import Sidecar
    from minthitch.net.callers import Incoming

MAX_PARALLEL_ATTEMPTS = 3  # of one request, sent at the same time
MIN_TIME_LEFT_S = 0.01  # to the deadline, below which no further attempt is sent
# Retry-After of a rejected request: a random fraction of the route's latency target in this range, or the
# servers' queue wait where that is longer.
RETRY_AFTER_FRACTIONS = 0.04, 0.12
MIN_RETRY_AFTER_S = 0.02
CLAIM_WAIT_FRACTION = 0.45  # of the time left: a keyed request without its claim by then is rejected
# These tell a client that its request has not run and never will, so they are passed on only where that is
# known.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Not forwarded from the client: the sidecar beside the server sets its own.
REWRITTEN_HEADERS = frozenset((b"x-caller-service", b"x-deadline-ms", b"x-target-instance"))
Fields = tuple[tuple[bytes, bytes], ...]


class Attempt:
    """One copy of a request, sent to one server."""

    __slots__ = ("ident", "exchange", "endpoint", "sent_at", "outgoing", "peer", "ended", "outcome")

    def __init__(self, ident: int, exchange: Exchange, endpoint: Endpoint, sent_at: float) -> None:
        self.ident, self.exchange, self.endpoint, self.sent_at = ident, exchange, endpoint, sent_at
        self.outgoing: Any = None  # the queued message; None until it is handed to a connection
        self.peer: Peer | None = None  # that it was given to; None for the server beside this sidecar
        self.ended = False
        self.outcome: int | str = "line fell"  # its status, or the reason why there is none

    @property
    def fully_sent(self) -> bool:
        """Whether the receiver may have all of it, and so may run it."""
        return self.outgoing is not None and bool(self.outgoing.fully_sent)

    def describe(self, now: float) -> str:
        """Its state, for the log."""
        return (
            f"{'sent' if self.fully_sent else 'not sent'} to {self.endpoint.ip} "
            f"{now - self.sent_at:.1f} s ago"
        )


class Exchange:
    """Sends the attempts of one request, collects their outcomes and responds once.

    Times are seconds of the loop's clock.
    """

    __slots__ = (
        "sidecar",
        "client",
        "token",
        "request",
        "route",
        "service",
        "started_at",
        "deadline",
        "due",
        "request_id",
        "fields",
        "in_flight",
        "tried",
        "arrivals",
        "operation",
        "answered",
        "fallback",
        "timers",
        "at_most_once",
        "closed",
        "queue_wait",
        "rank",
        "charges",
        "claim_owner",
    )

    def __init__(
        self,
        sidecar: Sidecar,
        client: ClientConnection,
        request: Incoming,
        route: Route,
        service: str,
        now: float,
        time_left: float,
        nested: bool,
    ) -> None:
        self.sidecar, self.client, self.token, self.request = sidecar, client, client.token, request
        self.route, self.service, self.started_at = route, service, now
        self.deadline = min(now + min(time_left, route.timeout), sidecar.answer_by)
        self.due = now + route.latency_target  # the end of the latency target
        self.request_id = request.fields[b"x-request-id"]
        hop_by_hop = {part.strip().lower() for part in request.fields.get(b"connection", b"").split(b",")}
        self.fields: Fields = tuple(
            field
            for field in request.forwarded_fields
            if field[0].lower() not in REWRITTEN_HEADERS and field[0].lower() not in hop_by_hop
        )
        self.in_flight: dict[int, Attempt] = {}
        self.tried: set[str] = set()  # ids of servers that got an attempt
        self.arrivals = 0  # attempts that may have reached their server
        self.charges: list[Charge] = []  # for the attempts after the first
        self.operation: Operation | None = None
        self.answered = self.closed = False
        self.claim_owner = ""  # the sidecar that claimed its key before
        self.fallback: tuple[int, Fields, bytes] | None = None  # a 5xx, for when nothing better comes
        self.timers: list[asyncio.TimerHandle] = []
        self.at_most_once = route.kind != "idempotent"
        self.queue_wait = 0.0  # seconds: the shortest that a server which rejected it has stated
        # Calls that a server makes while it runs a request go first: that run holds its slot until they end,
        # and fails with them.
        self.rank = 0 if nested else 1 + route.priority

    def start(self) -> None:
        self.timers.append(self.sidecar.loop.call_at(self.deadline, self._on_deadline))
        if self.route.kind == "keyed":
            self.sidecar.claim_key(self)
        else:
            self._send_attempts()

    def limit_deadline(self, latest: float) -> None:
        """Moves the deadline to `latest` where it is later."""
        if latest < self.deadline:
            self.deadline = latest
            self.timers.append(self.sidecar.loop.call_at(latest, self._on_deadline))

    # Idempotency key --------------------------------------------------------------------------------

    def claim_deadline(self) -> float:
        """Until when it waits for the claim on its key."""
        now = self.sidecar.loop.time()
        return now + CLAIM_WAIT_FRACTION * (self.deadline - now)

    def on_claim_granted(self, operation: Operation) -> None:
        """This sidecar owns the key: the request may be sent."""
        self.operation = operation
        if self.answered or self.sidecar.loop.time() > self.deadline - MIN_TIME_LEFT_S:
            self._reject(ErrorKind.NO_TIME)
        else:
            self._send_attempts()

    def replay(self, status: int, fields: Fields, body: bytes) -> None:
        """Responds with the stored answer of an earlier request with this key, under the id of this one."""
        own = tuple(
            (name, self.request_id if name.lower() == b"x-request-id" else value) for name, value in fields
        )
        self._respond(status, own, body)
        self._close()

    def fail(self, kind: ErrorKind) -> None:
        """It was not sent and will not be."""
        self._reject(kind)

    # Sending --------------------------------------------------------------------------------------

    def _send_attempts(self, first: bool = True) -> None:
        """Sends to the selected servers; gives up where there are none or the budget allows none."""
        sidecar, now = self.sidecar, self.sidecar.loop.time()
        if now > self.deadline - MIN_TIME_LEFT_S:
            self._give_up(ErrorKind.NO_TIME)
            return
        max_attempts = 1
        if first and not self.at_most_once:
            retries_left = sidecar.retry_budget.budget_for(self.service).remaining(monotonic_now())
            max_attempts = max(
                1, min(self.route.max_attempts - self.arrivals, 1 + retries_left, MAX_PARALLEL_ATTEMPTS)
            )
        endpoints = sidecar.load_balancer.pick(
            now,
            self.service,
            self.route.name,
            self.route.latency_target,
            self.due - now,
            max_attempts,
            len(self.request.body),
            self.tried,
        )
        for number, endpoint in enumerate(endpoints):
            if not self._charge_retries():
                endpoints = endpoints[:number]
                break
            self._send_to(endpoint, now)
        if not endpoints:
            self._give_up(ErrorKind.BUSY if self.tried else ErrorKind.NO_SERVER)
        elif first and not self.at_most_once:
            hedge_delay = sidecar.load_balancer.hedge_delay(self.route.name, self.route.latency_target)
            self.timers.append(sidecar.loop.call_later(hedge_delay, self._hedge))

    def _charge_retries(self) -> bool:
        """Whether one more attempt may be sent: each one after an attempt that may have arrived is charged
        once.
        """
        budget = self.sidecar.retry_budget.budget_for(self.service)
        while len(self.charges) < self.arrivals:
            charge = budget.spend(monotonic_now())
            if charge is None:
                return False
            self.charges.append(charge)
        return True

    def _send_to(self, endpoint: Endpoint, now: float) -> None:
        # An earlier attempt may run too: calls that this run makes count as retries.
        is_retry = self.arrivals > 0
        attempt = self.sidecar.dispatcher.new_attempt(self, endpoint, now)
        self.in_flight[attempt.ident] = attempt
        self.tried.add(endpoint.server_id)
        self.arrivals += 1
        flags = (AT_MOST_ONCE if self.at_most_once else 0) | (RETRY if is_retry else 0)
        request = self.request
        self.sidecar.dispatcher.send(
            attempt,
            (
                ops.CALL,
                attempt.ident,
                endpoint.server_id,
                self.deadline - now,
                self.due - now,
                self.rank,
                flags,
                request.method,
                request.target,
                self.fields,
                request.body,
                self.request_id,
                self.sidecar.caller,
                self.route.name,
            ),
        )

    def _hedge(self) -> None:
        """Sends one more attempt when none has been answered for unusually long and the budget allows it."""
        if not self.answered and self.in_flight and self._may_retry():
            self._send_attempts(False)

    def _may_retry(self) -> bool:
        """Whether a further attempt of what may have run is allowed and the budget could cover it."""
        sidecar = self.sidecar
        now = sidecar.loop.time()
        if (
            self.at_most_once
            or self.arrivals >= self.route.max_attempts
            or now > self.deadline - MIN_TIME_LEFT_S
        ):
            return False
        if all(
            server_id in self.tried for server_id in sidecar.load_balancer.endpoints.get(self.service, ())
        ):
            return False
        return (
            len(self.charges) >= self.arrivals
            or sidecar.retry_budget.budget_for(self.service).remaining(monotonic_now()) > 0
        )

    # Outcomes -------------------------------------------------------------------------------------

    def on_answer(self, attempt: Attempt, status: int, fields: Fields, body: bytes) -> None:
        """A server's complete response."""
        self.in_flight.pop(attempt.ident, None)
        if self.closed:
            return
        if self.at_most_once and status in NOT_RUN_STATUSES:  # it did run, and the client would send it again
            self._end_unknown(ErrorKind.MAY_HAVE_RUN)
            return
        if status >= 500 and not self.at_most_once:
            self.fallback = status, fields, body
            if self.in_flight or (self._may_retry() and self._retry()):
                return
        if self.operation is not None:
            self.sidecar.keys.operations.record_answer(self.operation, status, fields, body)
        self._respond(status, fields, body)
        self._close()

    def _retry(self) -> bool:
        self._send_attempts(False)
        return not self.closed

    def on_rejected(self, attempt: Attempt, arrived: bool, queue_wait: float) -> None:
        """The attempt did not run and never will."""
        self.in_flight.pop(attempt.ident, None)
        self.queue_wait = min(self.queue_wait, queue_wait) if self.queue_wait else queue_wait
        if not arrived:
            self.arrivals -= 1
        if self.closed or self.answered:
            if not self.in_flight:
                self._reject(ErrorKind.DEADLINE)
            return
        if self.in_flight:
            return
        if self.arrivals >= self.route.max_attempts:
            self._give_up(ErrorKind.BUSY)
            return
        # A rejection before arrival counts as no arrival, so what was charged for it covers the next attempt.
        self._send_attempts(False)

    def on_lost(self, attempt: Attempt) -> None:
        """The attempt gets no answer, and it may have run."""
        self.in_flight.pop(attempt.ident, None)
        if self.closed or self.in_flight:
            return
        if self._may_retry():
            self._send_attempts(False)
            return
        self._end_unknown(ErrorKind.MAY_HAVE_RUN)

    def _give_up(self, kind: ErrorKind) -> None:
        """No server can take it now. One that must run at most once comes here only when none has run it."""
        if self.in_flight:
            return
        if self.fallback is not None:
            self._respond(*self.fallback)
            self._close()
        else:
            self._reject(kind)

    def _on_deadline(self) -> None:
        if self.closed:
            return
        if self.operation is None and not self.in_flight and not self.arrivals:
            self._reject(ErrorKind.NO_TIME)
            return
        if not self.at_most_once:
            self._end_unknown(ErrorKind.DEADLINE)
            return
        if not any(attempt.fully_sent for attempt in self.in_flight.values()):
            # Its attempt waits for a connection or a grant, or was sent only in part: closing withdraws it.
            self._reject(ErrorKind.NO_TIME)
            return
        # A non-idempotent request runs on, so that its outcome can be given to repeats with the same key.
        self._respond_error(ErrorKind.DEADLINE)

    # Ending -----------------------------------------------------------------------------------------

    def _reject(self, kind: ErrorKind) -> None:
        if self.operation is not None:
            self.sidecar.keys.operations.record_not_run(self.operation)
        self._respond_error(kind)
        self._close()

    def _end_unknown(self, kind: ErrorKind) -> None:
        if self.operation is not None:
            self.sidecar.keys.operations.record_unknown(self.operation)
        self._respond_error(kind)
        self._close()

    def _respond_error(self, kind: ErrorKind) -> None:
        reply = REPLIES[kind]
        fields: list[tuple[bytes, bytes]] = []
        if reply.status in (429, 503):
            low, high = RETRY_AFTER_FRACTIONS
            pause = max(
                self.sidecar.random.uniform(low, high) * self.route.latency_target,
                MIN_RETRY_AFTER_S,
                self.queue_wait,
            )
            fields.append((b"Retry-After", b"%.3f" % pause))
        self.sidecar.count_error(kind, self.route.name)
        self._respond(reply.status, tuple(fields), b"")

    def _respond(self, status: int, fields: Fields, body: bytes) -> None:
        if not self.answered:
            self._on_answered()
            self.client.respond(self.token, status, fields, body)

    def _on_answered(self) -> None:
        """No further attempt is sent, so the body is not needed, even if the last one still runs."""
        self.answered = True
        self.request.body = b""

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        in_flight, self.in_flight = self.in_flight, {}
        for attempt in in_flight.values():
            self.arrivals -= not attempt.fully_sent
            self.sidecar.dispatcher.cancel(attempt)
        while len(self.charges) > max(self.arrivals - 1, 0):
            self.sidecar.retry_budget.budget_for(self.service).refund(self.charges.pop())
        self.sidecar.on_exchange_closed(self)

    def describe(self, now: float) -> str:
        """Its state, for the log."""
        if self.in_flight:
            return ", ".join(attempt.describe(now) for attempt in self.in_flight.values())
        if self.route.kind == "keyed" and self.operation is None:
            return f"waiting for its key, claimed by {self.claim_owner or 'no known sidecar'}"
        return f"between attempts, {self.arrivals} made"

    def on_client_gone(self) -> None:
        """Cancels an idempotent request; any other runs on to its outcome."""
        self._on_answered()
        if not self.at_most_once:
            self._close()
