"""One request from its client (or the server beside this sidecar) to its one answer."""

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
    from minthitch.mesh.sidecar.links import Peer
    from minthitch.mesh.sidecar.sidecar import Sidecar
    from minthitch.net.callers import Incoming

MAX_PARALLEL_ATTEMPTS = 3  # copies of one call that are sent at once, at most
MIN_TIME_LEFT_S = 0.01  # seconds below which nothing is sent any more
RETRY_AFTER_FRACTIONS = (
    0.04,
    0.12,
)  # a refused client comes back after this part of its aim, or when there is room
MIN_RETRY_AFTER_S = 0.02  # seconds
CLAIM_WAIT_FRACTION = (
    0.45  # of what is left: so long a keyed request waits for its claim, and is then refused
)
NOT_RUN_STATUSES = frozenset(
    (408, 421, 429, 503)
)  # "it has not run and never will": kept only where that is known
REWRITTEN_HEADERS = frozenset((b"x-caller-service", b"x-deadline-ms", b"x-target-instance"))  # written anew
Fields = tuple[tuple[bytes, bytes], ...]


class Attempt:
    """One copy at one server."""

    __slots__ = ("ident", "exchange", "endpoint", "sent_at", "outgoing", "peer", "ended", "outcome")

    def __init__(self, ident: int, exchange: Exchange, endpoint: Endpoint, sent_at: float) -> None:
        self.ident, self.exchange, self.endpoint, self.sent_at = ident, exchange, endpoint, sent_at
        self.outgoing: Any = None
        self.peer: Peer | None = None  # whose link it was given to; None at the own gate
        self.ended = False
        self.outcome: int | str = "line fell"  # its status, or why there is none

    @property
    def fully_sent(self) -> bool:
        """Whether the other end may have it whole."""
        return self.outgoing is not None and bool(self.outgoing.whole)

    def describe(self, now: float) -> str:
        """Where it is, for the log."""
        return (
            f"{'sent' if self.fully_sent else 'not sent'} to {self.endpoint.ip} "
            f"{now - self.sent_at:.1f} s ago"
        )


class Exchange:
    """Sends, hears outcomes, answers once. Times are the loop's seconds."""

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
        left: float,
        nested: bool,
    ) -> None:
        self.sidecar, self.client, self.token, self.request = sidecar, client, client.token, request
        self.route, self.service, self.started_at = route, service, now
        self.deadline = min(now + min(left, route.timeout), sidecar.answer_by)
        self.due = now + route.goal
        self.request_id = request.fields[b"x-request-id"]
        hop_by_hop = {part.strip().lower() for part in request.fields.get(b"connection", b"").split(b",")}
        self.fields: Fields = tuple(
            field
            for field in request.head
            if field[0].lower() not in REWRITTEN_HEADERS and field[0].lower() not in hop_by_hop
        )
        self.in_flight: dict[int, Attempt] = {}
        self.tried: set[str] = set()
        self.arrivals = 0  # servers that it may have reached
        self.charges: list[Charge] = []  # for those after the first
        self.operation: Operation | None = None
        self.answered = self.closed = False
        self.claim_owner = ""  # the sidecar that has claimed its key before
        self.fallback: tuple[int, Fields, bytes] | None = None  # a server's failure, told for want of better
        self.timers: list[asyncio.TimerHandle] = []
        self.at_most_once = route.kind != "idempotent"
        self.queue_wait = 0.0
        # What a run waits for goes first: its slot is held until then, and fails with it.
        self.rank = 0 if nested else 1 + route.priority

    def start(self) -> None:
        self.timers.append(self.sidecar.loop.call_at(self.deadline, self._on_deadline))
        if self.route.kind == "keyed":
            self.sidecar.claim_key(self)
        else:
            self._send_attempts()

    def limit_deadline(self, latest: float) -> None:
        """It is answered by `latest`, where its own deadline is later."""
        if latest < self.deadline:
            self.deadline = latest
            self.timers.append(self.sidecar.loop.call_at(latest, self._on_deadline))

    # Keyed ----------------------------------------------------------------------------------------

    def claim_deadline(self) -> float:
        """Until when it waits for its claim."""
        now = self.sidecar.loop.time()
        return now + CLAIM_WAIT_FRACTION * (self.deadline - now)

    def on_claim_granted(self, operation: Operation) -> None:
        """The key is its own."""
        self.operation = operation
        if self.answered or self.sidecar.loop.time() > self.deadline - MIN_TIME_LEFT_S:
            self._reject(ErrorKind.NO_TIME)
        else:
            self._send_attempts()

    def replay(self, status: int, fields: Fields, body: bytes) -> None:
        """A repeat's answer: the first one's, under the id of this try."""
        own = tuple(
            (name, self.request_id if name.lower() == b"x-request-id" else value) for name, value in fields
        )
        self._respond(status, own, body)
        self._close()

    def fail(self, kind: ErrorKind) -> None:
        """It was not sent and is not sent any more."""
        self._reject(kind)

    # Sending --------------------------------------------------------------------------------------

    def _send_attempts(self, first: bool = True) -> None:
        """Sends to the servers chosen, or ends it where there are none or no copy can be paid."""
        sidecar, now = self.sidecar, self.sidecar.loop.time()
        if now > self.deadline - MIN_TIME_LEFT_S:
            self._give_up(ErrorKind.NO_TIME)
            return
        max_attempts = 1
        if first and not self.at_most_once:
            retries_left = sidecar.retry_budget.budget_for(self.service).remaining(monotonic_now())
            max_attempts = max(
                1, min(self.route.tries - self.arrivals, 1 + retries_left, MAX_PARALLEL_ATTEMPTS)
            )
        endpoints = sidecar.load_balancer.pick(
            now,
            self.service,
            self.route.name,
            self.route.goal,
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
            hedge_delay = sidecar.load_balancer.hedge_delay(self.route.name, self.route.goal)
            self.timers.append(sidecar.loop.call_later(hedge_delay, self._hedge))

    def _charge_retries(self) -> bool:
        """Whether one more copy may go out: each after one that may have arrived is paid, and paid once."""
        budget = self.sidecar.retry_budget.budget_for(self.service)
        while len(self.charges) < self.arrivals:
            charge = budget.spend(monotonic_now())
            if charge is None:
                return False
            self.charges.append(charge)
        return True

    def _send_to(self, endpoint: Endpoint, now: float) -> None:
        is_retry = self.arrivals > 0  # another copy may run: what this one's run calls counts as repeats
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
        """Nothing has come for longer than such calls take: one more copy, if the budget has it."""
        if not self.answered and self.in_flight and self._may_retry():
            self._send_attempts(False)

    def _may_retry(self) -> bool:
        """Whether another copy of what may have run may go out, and could be paid."""
        sidecar = self.sidecar
        now = sidecar.loop.time()
        if self.at_most_once or self.arrivals >= self.route.tries or now > self.deadline - MIN_TIME_LEFT_S:
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
        """A server's whole answer."""
        self.in_flight.pop(attempt.ident, None)
        if self.closed:
            return
        if self.at_most_once and status in NOT_RUN_STATUSES:  # danger: it ran, and its client would ask anew
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
        """It did not run there and never will."""
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
        if self.arrivals >= self.route.tries:
            self._give_up(ErrorKind.BUSY)
            return
        self._send_attempts(
            False
        )  # what was turned away unseen is no arrival, and what was paid for it pays for this

    def on_lost(self, attempt: Attempt) -> None:
        """No answer will come of it, and it may have run."""
        self.in_flight.pop(attempt.ident, None)
        if self.closed or self.in_flight:
            return
        if self._may_retry():
            self._send_attempts(False)
            return
        self._end_unknown(ErrorKind.MAY_HAVE_RUN)

    def _give_up(self, kind: ErrorKind) -> None:
        """No server may take it now. What may not be repeated comes here only when nobody ran it."""
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
            # Its copy waits for a connection or a grant, or has left in part: closing withdraws it.
            self._reject(ErrorKind.NO_TIME)
            return
        # What may not be repeated runs on to its outcome, which its repeats are told.
        self._respond_error(ErrorKind.DEADLINE)

    # The end --------------------------------------------------------------------------------------

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
                self.sidecar.random.uniform(low, high) * self.route.goal, MIN_RETRY_AFTER_S, self.queue_wait
            )
            fields.append((b"Retry-After", b"%.3f" % pause))
        self.sidecar.count_error(kind, self.route.name)
        self._respond(reply.status, tuple(fields), b"")

    def _respond(self, status: int, fields: Fields, body: bytes) -> None:
        if not self.answered:
            self.answered = True
            self.client.respond(self.token, status, fields, body)

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
        """Where it is, for the log."""
        if self.in_flight:
            return ", ".join(attempt.describe(now) for attempt in self.in_flight.values())
        if self.route.kind == "keyed" and self.operation is None:
            return f"waiting for its key, claimed by {self.claim_owner or 'nobody known'}"
        return f"between attempts, {self.arrivals} made"

    def on_client_gone(self) -> None:
        """Its client has gone: what may be repeated is given up, what may not runs to its outcome."""
        self.answered = True
        if not self.at_most_once:
            self._close()
