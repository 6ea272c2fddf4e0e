"""The data plane of one sidecar: its clients' trips, what it tells and is told, and what is ready."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Any

from minthitch.engine.calls import Rejected
from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.configuration.routes import Table
from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.http.upstream import ServerPool
from minthitch.mesh.limits.nested import Nested
from minthitch.mesh.sidecar.admission import Admission
from minthitch.mesh.sidecar.asks import Asks, say_on
from minthitch.mesh.sidecar.choice import Choice
from minthitch.mesh.sidecar.copies import Copies
from minthitch.mesh.sidecar.keys import Keys, digest_of, hashed
from minthitch.mesh.sidecar.links import ControlLinks
from minthitch.mesh.sidecar.offers import OfferReceiver
from minthitch.mesh.sidecar.retry_budget import RetryBudget
from minthitch.mesh.sidecar.shutdown_schedule import ShutdownSchedule
from minthitch.mesh.sidecar.trip import Trip
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.net.callers import Incoming

MOST_SERVER_LINES = 256  # connections to the own server: its slots bound them, this is a guard
MOST_DEADLINE = 600.0  # seconds: a longer one is cut
COUNT_FOR = 1.0  # seconds that one line of the log tells of
COUNTS_SAID = 6  # kinds of answers in one line
BACK_WHEN_LEAVING = 0.05  # seconds after which one that came too late is to try elsewhere


class Front:
    """Everything that one sidecar holds, on the running loop."""

    def __init__(self, boot: NodeSettings, epoch: int, shelf: ServerPool | None = None) -> None:
        """`epoch` is larger for each life; `shelf` is given by models, else the server's connections."""
        self.boot, self.epoch = boot, epoch
        self.loop = asyncio.get_running_loop()
        self.port = boot.net.port_range[0]
        self.caller = boot.own.svc.encode()
        self.random = random.Random(epoch ^ hash(boot.own.ip))
        self.seq = 0
        self.leaving = False
        self.last = math.inf  # by when all that is open is answered: this process ends then
        self.shut = math.inf  # from when on nothing more is taken
        self.said_ready = False
        self.table: Table | None = None
        self.choice = Choice(boot.own.az, epoch)
        self.nodes = 1
        self.make_trip: Callable[..., Trip] = Trip  # another while its operator traces requests
        self.trips: set[Trip] = set()
        self.by_visitor: dict[ClientConnection, Trip] = {}
        self.copies, self.asks = Copies(self), Asks(self)
        self.nested_routes = Nested()
        self.counts: dict[str, int] = {}
        shelf = shelf or ServerPool(MOST_SERVER_LINES)
        self.admission = Admission(boot.own.upstream, boot.own.svc, shelf, self.tell)
        self.offers = OfferReceiver(self.admission)
        self.retry_budget = RetryBudget(boot.terms.bounds, self.admission)
        self.name = f"{boot.own.ip}/{epoch}"
        self.controls = ControlLinks(self, self.port, self.name)
        self.keys = Keys(self.controls, boot.terms.bounds.key_win_s, self.name, self.asks.ask)
        self.controls.know(tuple(seed.rpartition(":")[0] for seed in boot.net.seeds))

    # What others are told -------------------------------------------------------------------------

    def tell(self) -> None:
        self.controls.report()

    def need(self) -> tuple[Any, ...] | None:
        return self.retry_budget.need()

    def heard_of(self, term: int) -> None:
        self.retry_budget.lease_client.on_term(term)

    def lent(self, lease: tuple[Any, ...]) -> None:
        self.retry_budget.lent(lease)

    def report(self) -> tuple[Any, ...]:
        self.seq += 1
        own = self.boot.own
        life, slots, state, cold = self.admission.record()
        return (
            own.ip,
            self.port,
            self.epoch,
            self.seq,
            own.az,
            own.svc,
            life,
            slots,
            state,
            cold,
            not self.leaving,
        )

    def changed(self, config: bool, records: bool) -> None:
        if config:
            self.table = Table(self.controls.replica)
            log_event(Event.CONFIG, index=self.table.index, routes=len(self.table.routes))
        if records:
            self._list()
        if self.ready() and not self.said_ready:
            self.said_ready = True
            log_event(Event.READY)

    def _list(self) -> None:
        records = self.controls.views.merged
        self.nodes = max(len(records), 1)
        self.choice.listed(
            self.loop.time(),
            (
                (r.service, r.server_id, r.ip, r.zone, r.capacity, r.slow_start_s)
                for r in records.values()
                if r.serving and r.state == "up" and r.server_id
            ),
        )
        self.copies.let_go(lambda ip: ip in records)

    def ready(self) -> bool:
        return self.table is not None and self.controls.fresh_seen and not self.leaving

    # Clients --------------------------------------------------------------------------------------

    def max_header_bytes(self) -> int:
        return self.table.limits.header_bytes if self.table is not None else 32 * 1024

    def max_body_bytes(self) -> int:
        return self.table.limits.body_bytes if self.table is not None else 64 * 1024 * 1024

    def accepts_requests(self) -> bool:
        return not self.leaving

    def log_client_error(self, text: str) -> None:
        log_event(Event.CLIENT_ERROR, text=text)

    def handle(self, client: ClientConnection, request: Incoming) -> None:
        """Raises Rejected where the request can't be taken."""
        now = self.loop.time()
        if self.table is None:
            pause = REPLIES[ErrorKind.NO_CONFIG].retry_after or 0.0
            raise Rejected(503, "no configuration", int(pause * 1e9))
        if now >= self.shut:  # danger: what is taken now could not be answered before the process ends
            raise Rejected(503, "leaving", int(BACK_WHEN_LEAVING * 1e9))
        route = self.table.match(request.fields.get(b"host", b""), request.target)
        if route is None:
            client.respond(client.token, 404, (), b"")
            return
        if not request.fields.get(b"x-request-id"):
            raise Rejected(400, "no X-Request-Id")
        if route.kind == "keyed" and not request.fields.get(b"x-idempotency-key"):
            raise Rejected(400, "no X-Idempotency-Key")
        waited = (time.monotonic_ns() - request.received_at) / 1e9 if request.received_at else 0.0
        left = _deadline(request.fields.get(b"x-deadline-ms"), route.timeout) - min(waited, 1.0)
        service = route.choose(self.random.random())
        nested = self.nested_routes.record(route.name, self.admission.gate.running)
        # Servers' own calls carry no key.
        self.retry_budget.taken(service, route.kind != "keyed" and self.nested_routes.may_be(route.name))
        trip = self.make_trip(self, client, request, route, service, now, left, nested)
        self.trips.add(trip)
        self.by_visitor[client] = trip
        trip.begin()

    def on_client_lost(self, client: ClientConnection) -> None:
        trip = self.by_visitor.pop(client, None)
        if trip is not None and not trip.closed and trip.token == client.token:
            trip.abandoned()

    def over(self, trip: Trip) -> None:
        self.trips.discard(trip)
        if self.by_visitor.get(trip.client) is trip:
            del self.by_visitor[trip.client]

    def open_key(self, trip: Trip) -> None:
        item = trip.item
        self.keys.open(
            trip, hashed(item.fields[b"x-idempotency-key"]), digest_of(item.method, item.target, item.body)
        )

    def refused(self, kind: ErrorKind, route: str) -> None:
        """Counts an answer of our own; a second's counts are one line in the log."""
        if not self.counts:
            self.loop.call_later(COUNT_FOR, self._say_counts)
        name = f"{kind.value} on {route}"
        self.counts[name] = self.counts.get(name, 0) + 1

    def _say_counts(self) -> None:
        counts, self.counts = self.counts, {}
        if not counts:
            return
        most = sorted(counts.items(), key=lambda item: -item[1])[:COUNTS_SAID]
        log_event(Event.REFUSED, kinds=", ".join(f"{number} {name}" for name, number in most))

    # Lines that others opened -----------------------------------------------------------------------

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        op = message[0]
        if op == ops.CALL:
            self.offers.arrived(connection, message)
            self.admission.call(connection, lambda answer: say_on(connection, answer), message)
        elif op == ops.OFFER:
            self.offers.offered(connection, lambda answer: say_on(connection, answer), message)
        elif op == ops.CANCEL:
            self.offers.withdrawn(connection, message[1])
            self.admission.cancel(connection, message[1])
        else:
            self.asks.heard(connection, message)

    def on_connection_lost(self, connection: Connection) -> None:
        self.offers.fell(connection)
        self.admission.fell(connection)

    def relay(self, message: ops.Message) -> bool:
        return self.asks.relay(message)

    def beg(self, message: ops.Message) -> None:
        self.asks.beg(message)

    # The end ----------------------------------------------------------------------------------------

    def leave(self, schedule: ShutdownSchedule) -> None:
        """No new clients are wanted; what is open or still accepted is answered in the schedule's time."""
        self.leaving, self.shut, self.last = True, schedule.reject_from, schedule.answer_by
        # Danger: these have their clients' deadlines, and the end of the process would cut them off.
        for trip in self.trips:
            trip.limit_deadline(schedule.answer_by)
        self.admission.limit_deadlines(schedule.answer_by)
        self.tell()

    def open(self) -> int:
        return len(self.trips) + len(self.admission.jobs)

    def log_unanswered(self) -> None:
        """Logs each request whose client still waits, and the replies that are not logged yet."""
        now = self.loop.time()
        for trip in self.trips:
            if not trip.answered:
                request = trip.identity.decode(errors="replace")
                age, state = now - trip.began, trip.describe(now)
                log_event(Event.UNANSWERED, request=request, route=trip.route.name, age=age, state=state)
        self._say_counts()

    def status(self) -> dict[str, Any]:
        """What this sidecar knows and does now, for operators."""
        gate = self.admission.gate
        states: dict[str, int] = {}
        for operation in self.keys.operations.by_claim_id.values():
            states[operation.state] = states.get(operation.state, 0) + 1
        return {
            "sidecar": self.name,
            "ready": self.ready(),
            "leaving": self.leaving,
            "configuration": {"index": self.controls.replica.index},
            "controls": {
                "leader": self.controls.leader,
                "term": self.controls.term,
                "lines": {ip: link.up for ip, link in self.controls.links.items()},
            },
            "server": {
                "life": self.admission.life,
                "state": self.admission.state,
                "slots": gate.slots,
                "running": gate.running,
                "queued": gate.queued,
                "mean_s": round(gate.mean, 4),
            },
            "services": {
                name: {"servers": len(held), "budget": self.retry_budget.status(name)}
                for name, held in self.choice.targets.items()
            },
            "keys": states,
            "open": len(self.trips),
            "nodes": self.nodes,
            "nested_routes": [name for name in self.nested_routes.seen if self.nested_routes.is_nested(name)],
        }

    def close(self) -> None:
        self.controls.close()
        self.copies.close()
        self.retry_budget.close()
        self.admission.close()


def _deadline(value: bytes | None, otherwise: float) -> float:
    """Seconds of X-Deadline-Ms. Raises Rejected."""
    if value is None:
        return otherwise
    try:
        seconds = float(value) / 1000.0
    except ValueError:
        raise Rejected(400, "bad X-Deadline-Ms") from None
    if not seconds >= 0.0:  # NaN fails this too
        raise Rejected(400, "bad X-Deadline-Ms")
    return min(seconds, MOST_DEADLINE)
