"""One request from its client (or the server beside this sidecar) to its one answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.idempotency.operations import Operation
from minthitch.mesh.limits.budget import Charge
from minthitch.mesh.sidecar.admission import ONCE, REPEAT
from minthitch.mesh.sidecar.choice import Target
from minthitch.mesh.sidecar.retry_budget import steady
from minthitch.mesh.transport import ops

if TYPE_CHECKING:
    from minthitch.mesh.configuration.routes import Route
    from minthitch.mesh.http.listener import ClientConnection
    from minthitch.mesh.sidecar.front import Front
    from minthitch.mesh.sidecar.links import Peer
    from minthitch.net.callers import Incoming

RACE_MOST = 3  # copies of one call that are sent at once, at most
LEAST_LEFT = 0.01  # seconds below which nothing is sent any more
BACK_PART = 0.04, 0.12  # a refused client comes back after this part of its aim, or when there is room
BACK_LEAST = 0.02  # seconds
HELD_PART = 0.45  # of what is left: so long a keyed request waits for its claim, and is then refused
PROMISES = frozenset((408, 421, 429, 503))  # "it has not run and never will": kept only where that is known
NOT_PASSED = frozenset((b"x-caller-service", b"x-deadline-ms", b"x-target-instance"))  # written anew
Fields = tuple[tuple[bytes, bytes], ...]


class Attempt:
    """One copy at one server."""

    __slots__ = ("ident", "trip", "target", "sent", "parcel", "peer", "over", "word")

    def __init__(self, ident: int, trip: Trip, target: Target, sent: float) -> None:
        self.ident, self.trip, self.target, self.sent = ident, trip, target, sent
        self.parcel: Any = None
        self.peer: Peer | None = None  # whose link it was given to; None at the own gate
        self.over = False
        self.word: int | str = "line fell"  # its status, or why there is none

    @property
    def left(self) -> bool:
        """Whether the other end may have it whole."""
        return self.parcel is not None and bool(self.parcel.whole)

    def describe(self, now: float) -> str:
        """Where it is, for the log."""
        return f"{'sent' if self.left else 'not sent'} to {self.target.ip} {now - self.sent:.1f} s ago"


class Trip:
    """Sends, hears outcomes, answers once. Times are the loop's seconds."""

    __slots__ = (
        "front",
        "client",
        "token",
        "item",
        "route",
        "service",
        "began",
        "deadline",
        "due",
        "identity",
        "fields",
        "out",
        "tried",
        "arrivals",
        "operation",
        "answered",
        "spare",
        "timers",
        "once",
        "closed",
        "wait",
        "rank",
        "paid",
        "holder",
    )

    def __init__(
        self,
        front: Front,
        client: ClientConnection,
        item: Incoming,
        route: Route,
        service: str,
        now: float,
        left: float,
        nested: bool,
    ) -> None:
        self.front, self.client, self.token, self.item = front, client, client.token, item
        self.route, self.service, self.began = route, service, now
        self.deadline = min(now + min(left, route.timeout), front.last)
        self.due = now + route.goal
        self.identity = item.fields[b"x-request-id"]
        named = {part.strip().lower() for part in item.fields.get(b"connection", b"").split(b",")}
        self.fields: Fields = tuple(
            field
            for field in item.forwarded_fields
            if field[0].lower() not in NOT_PASSED and field[0].lower() not in named
        )
        self.out: dict[int, Attempt] = {}
        self.tried: set[str] = set()
        self.arrivals = 0  # servers that it may have reached
        self.paid: list[Charge] = []  # for those after the first
        self.operation: Operation | None = None
        self.answered = self.closed = False
        self.holder = ""  # the sidecar that has claimed its key before
        self.spare: tuple[int, Fields, bytes] | None = None  # a server's failure, told for want of better
        self.timers: list[asyncio.TimerHandle] = []
        self.once = route.kind != "idempotent"
        self.wait = 0.0
        # What a run waits for goes first: its slot is held until then, and fails with it.
        self.rank = 0 if nested else 1 + route.priority

    def begin(self) -> None:
        self.timers.append(self.front.loop.call_at(self.deadline, self._out_of_time))
        if self.route.kind == "keyed":
            self.front.open_key(self)
        else:
            self._send()

    def limit_deadline(self, latest: float) -> None:
        """It is answered by `latest`, where its own deadline is later."""
        if latest < self.deadline:
            self.deadline = latest
            self.timers.append(self.front.loop.call_at(latest, self._out_of_time))

    # Keyed ----------------------------------------------------------------------------------------

    def give_up_at(self) -> float:
        """Until when it waits for its claim."""
        now = self.front.loop.time()
        return now + HELD_PART * (self.deadline - now)

    def go(self, operation: Operation) -> None:
        """The key is its own."""
        self.operation = operation
        if self.answered or self.front.loop.time() > self.deadline - LEAST_LEFT:
            self._refuse(ErrorKind.NO_TIME)
        else:
            self._send()

    def settle(self, status: int, fields: Fields, body: bytes) -> None:
        """A repeat's answer: the first one's, under the id of this try."""
        own = tuple(
            (name, self.identity if name.lower() == b"x-request-id" else value) for name, value in fields
        )
        self._respond(status, own, body)
        self._close()

    def fail(self, kind: ErrorKind) -> None:
        """It was not sent and is not sent any more."""
        self._refuse(kind)

    # Sending --------------------------------------------------------------------------------------

    def _send(self, first: bool = True) -> None:
        """Sends to the servers chosen, or ends it where there are none or no copy can be paid."""
        front, now = self.front, self.front.loop.time()
        if now > self.deadline - LEAST_LEFT:
            self._stuck(ErrorKind.NO_TIME)
            return
        most = 1
        if first and not self.once:
            copies = front.retry_budget.of(self.service).remaining(steady())
            most = max(1, min(self.route.tries - self.arrivals, 1 + copies, RACE_MOST))
        targets = front.choice.pick(
            now,
            self.service,
            self.route.name,
            self.route.goal,
            self.due - now,
            most,
            len(self.item.body),
            self.tried,
        )
        for number, target in enumerate(targets):
            if not self._pay():
                targets = targets[:number]
                break
            self._send_to(target, now)
        if not targets:
            self._stuck(ErrorKind.BUSY if self.tried else ErrorKind.NO_SERVER)
        elif first and not self.once:
            overdue = front.choice.overdue(self.route.name, self.route.goal)
            self.timers.append(front.loop.call_later(overdue, self._overdue))

    def _pay(self) -> bool:
        """Whether one more copy may go out: each after one that may have arrived is paid, and paid once."""
        budget = self.front.retry_budget.of(self.service)
        while len(self.paid) < self.arrivals:
            charge = budget.spend(steady())
            if charge is None:
                return False
            self.paid.append(charge)
        return True

    def _send_to(self, target: Target, now: float) -> None:
        repeat = self.arrivals > 0  # another copy may run: what this one's run calls counts as repeats
        attempt = self.front.copies.attempt(self, target, now)
        self.out[attempt.ident] = attempt
        self.tried.add(target.life)
        self.arrivals += 1
        flags = (ONCE if self.once else 0) | (REPEAT if repeat else 0)
        item = self.item
        self.front.copies.send(
            attempt,
            (
                ops.CALL,
                attempt.ident,
                target.life,
                self.deadline - now,
                self.due - now,
                self.rank,
                flags,
                item.method,
                item.target,
                self.fields,
                item.body,
                self.identity,
                self.front.caller,
                self.route.name,
            ),
        )

    def _overdue(self) -> None:
        """Nothing has come for longer than such calls take: one more copy, if the budget has it."""
        if not self.answered and self.out and self._may_repeat():
            self._send(False)

    def _may_repeat(self) -> bool:
        """Whether another copy of what may have run may go out, and could be paid."""
        front = self.front
        now = front.loop.time()
        if self.once or self.arrivals >= self.route.tries or now > self.deadline - LEAST_LEFT:
            return False
        if all(life in self.tried for life in front.choice.targets.get(self.service, ())):
            return False
        return len(self.paid) >= self.arrivals or front.retry_budget.of(self.service).remaining(steady()) > 0

    # Outcomes -------------------------------------------------------------------------------------

    def served(self, attempt: Attempt, status: int, fields: Fields, body: bytes) -> None:
        """A server's whole answer."""
        self.out.pop(attempt.ident, None)
        if self.closed:
            return
        if self.once and status in PROMISES:  # danger: it ran, and its client would ask anew
            self._end_unknown(ErrorKind.MAY_HAVE_RUN)
            return
        if status >= 500 and not self.once:
            self.spare = status, fields, body
            if self.out or (self._may_repeat() and self._again()):
                return
        if self.operation is not None:
            self.front.keys.operations.record_answer(self.operation, status, fields, body)
        self._respond(status, fields, body)
        self._close()

    def _again(self) -> bool:
        self._send(False)
        return not self.closed

    def turned_away(self, attempt: Attempt, arrived: bool, wait: float) -> None:
        """It did not run there and never will."""
        self.out.pop(attempt.ident, None)
        self.wait = min(self.wait, wait) if self.wait else wait
        if not arrived:
            self.arrivals -= 1
        if self.closed or self.answered:
            if not self.out:
                self._refuse(ErrorKind.DEADLINE)
            return
        if self.out:
            return
        if self.arrivals >= self.route.tries:
            self._stuck(ErrorKind.BUSY)
            return
        self._send(False)  # what was turned away unseen is no arrival, and what was paid for it pays for this

    def lost(self, attempt: Attempt) -> None:
        """No answer will come of it, and it may have run."""
        self.out.pop(attempt.ident, None)
        if self.closed or self.out:
            return
        if self._may_repeat():
            self._send(False)
            return
        self._end_unknown(ErrorKind.MAY_HAVE_RUN)

    def _stuck(self, kind: ErrorKind) -> None:
        """No server may take it now. What may not be repeated comes here only when nobody ran it."""
        if self.out:
            return
        if self.spare is not None:
            self._respond(*self.spare)
            self._close()
        else:
            self._refuse(kind)

    def _out_of_time(self) -> None:
        if self.closed:
            return
        if self.operation is None and not self.out and not self.arrivals:
            self._refuse(ErrorKind.NO_TIME)
            return
        if not self.once:
            self._end_unknown(ErrorKind.DEADLINE)
            return
        if not any(attempt.left for attempt in self.out.values()):
            # Its copy waits for a connection or a grant, or has left in part: closing withdraws it.
            self._refuse(ErrorKind.NO_TIME)
            return
        # What may not be repeated runs on to its outcome, which its repeats are told.
        self._respond_error(ErrorKind.DEADLINE)

    # The end --------------------------------------------------------------------------------------

    def _refuse(self, kind: ErrorKind) -> None:
        if self.operation is not None:
            self.front.keys.operations.record_not_run(self.operation)
        self._respond_error(kind)
        self._close()

    def _end_unknown(self, kind: ErrorKind) -> None:
        if self.operation is not None:
            self.front.keys.operations.record_unknown(self.operation)
        self._respond_error(kind)
        self._close()

    def _respond_error(self, kind: ErrorKind) -> None:
        reply = REPLIES[kind]
        fields: list[tuple[bytes, bytes]] = []
        if reply.status in (429, 503):
            low, high = BACK_PART
            pause = max(self.front.random.uniform(low, high) * self.route.goal, BACK_LEAST, self.wait)
            fields.append((b"Retry-After", b"%.3f" % pause))
        self.front.refused(kind, self.route.name)
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
        out, self.out = self.out, {}
        for attempt in out.values():
            self.arrivals -= not attempt.left
            self.front.copies.cancel(attempt)
        while len(self.paid) > max(self.arrivals - 1, 0):
            self.front.retry_budget.of(self.service).refund(self.paid.pop())
        self.front.over(self)

    def describe(self, now: float) -> str:
        """Where it is, for the log."""
        if self.out:
            return ", ".join(attempt.describe(now) for attempt in self.out.values())
        if self.route.kind == "keyed" and self.operation is None:
            return f"waiting for its key, claimed by {self.holder or 'nobody known'}"
        return f"between attempts, {self.arrivals} made"

    def abandoned(self) -> None:
        """Its client has gone: what may be repeated is given up, what may not runs to its outcome."""
        self.answered = True
        if not self.once:
            self._close()
