"""The state of one sidecar: its requests, servers, connections and readiness."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Any

from minthitch.engine.calls import Rejected
from minthitch.mesh.configuration.errors import REPLIES, ErrorKind
from minthitch.mesh.configuration.routes import RoutingTable
from minthitch.mesh.configuration.settings import NodeSettings
from minthitch.mesh.events.events import Event, log_event, lost_line_count
from minthitch.mesh.http.instance_probe import ProbeVerdict
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.http.upstream import ServerPool
from minthitch.mesh.limits.nested import NestedCallDetector
from minthitch.mesh.sidecar.admission import Admission
from minthitch.mesh.sidecar.attempt_dispatcher import AttemptDispatcher
from minthitch.mesh.sidecar.body_memory import body_memory_bytes
from minthitch.mesh.sidecar.control_links import ControlLinks
from minthitch.mesh.sidecar.exchange import Exchange
from minthitch.mesh.sidecar.keys import IdempotencyKeys, digest_request, hashed
from minthitch.mesh.sidecar.load_balancer import LoadBalancer
from minthitch.mesh.sidecar.offers import OfferReceiver
from minthitch.mesh.sidecar.peer_queries import PeerQueries, send_if_connected
from minthitch.mesh.sidecar.retry_budget import RetryBudget
from minthitch.mesh.sidecar.run_recorder import RunRecorder
from minthitch.mesh.sidecar.server_lifecycle import ServerLifecycle
from minthitch.mesh.sidecar.shutdown_schedule import ShutdownSchedule
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.framing import MAX_MESSAGE_BYTES
from minthitch.net.callers import Incoming

MAX_SERVER_CONNECTIONS = 256  # to the own server: a guard, since the server's slots bound them anyway
MAX_DEADLINE_S = 600.0  # a longer deadline of a client is cut to this
MAX_FORWARDED_BODY_BYTES = MAX_MESSAGE_BYTES - 1024 * 1024  # of a call: the rest is for its head
DEFAULT_HEALTH_PATH = "/healthz"  # until there is a configuration
COUNT_INTERVAL_S = 1.0  # that one log line with counts covers
MAX_COUNTS_LOGGED = 6  # kinds of replies in one log line
SHUTDOWN_RETRY_AFTER_S = 0.05  # after which a client rejected in a shutdown is to try elsewhere


class Sidecar:
    """Everything that one sidecar holds, on the running loop."""

    def __init__(self, settings: NodeSettings, epoch: int, server_pool: ServerPool | None = None) -> None:
        """`epoch` grows with each start of the process; simulations pass a `server_pool` of their own."""
        self.settings, self.epoch = settings, epoch
        self.loop = asyncio.get_running_loop()
        self.port = settings.net.port_range[0]
        self.caller = settings.own.svc.encode()
        self.random = random.Random(epoch ^ hash(settings.own.ip))
        self.seq = 0
        self.leaving = False
        self.answer_by = math.inf  # the time of the final answers in a shutdown
        self.reject_from = math.inf  # the time from which requests are rejected in a shutdown
        self.logged_ready = False
        self.table: RoutingTable | None = None
        self.load_balancer = LoadBalancer(settings.own.az, epoch)
        self.sidecar_count = 1
        self.make_exchange: Callable[..., Exchange] = Exchange  # replaced while requests are traced
        self.exchanges: set[Exchange] = set()
        self.by_client: dict[ClientConnection, Exchange] = {}
        self.dispatcher, self.peer_queries = AttemptDispatcher(self), PeerQueries(self)
        self.nested_routes = NestedCallDetector()
        self.error_counts: dict[str, int] = {}
        server_pool = server_pool or ServerPool(MAX_SERVER_CONNECTIONS)
        self.admission = Admission(settings.own.upstream, settings.own.svc, server_pool, self.send_report)
        self.offers = OfferReceiver(self.admission, body_memory_bytes(settings.own.limits.mem_mb))
        self.retry_budget = RetryBudget(settings.terms.bounds, self.admission)
        self.name = f"{settings.own.ip}/{epoch}"
        self.controls = ControlLinks(self, self.port, self.name)
        self.keys = IdempotencyKeys(
            self.controls, settings.terms.bounds.key_win_s, self.name, self.peer_queries.ask_owner
        )
        self.run_recorder = RunRecorder(self.controls, self.name, epoch)
        self.server_lifecycle = ServerLifecycle(self.admission, self.run_recorder, self._probe_server)
        self.controls.connect_to(tuple(seed.rpartition(":")[0] for seed in settings.net.seeds))

    def _probe_server(self, server_id: str, done: Callable[[ProbeVerdict], None]) -> None:
        """Asks the server beside this sidecar whether this run of it is there."""
        own = self.settings.own
        service = self.table.services.get(own.svc) if self.table is not None else None
        path = service.health_path if service is not None else DEFAULT_HEALTH_PATH
        self.admission.server_pool.probe(path, server_id, own.upstream, done)

    # Reports to control nodes -----------------------------------------------------------------------

    def send_report(self) -> None:
        self.controls.send_report()

    def lease_request(self) -> tuple[Any, ...] | None:
        return self.retry_budget.lease_request()

    def on_term(self, term: int) -> None:
        self.retry_budget.lease_client.on_term(term)

    def on_lease(self, lease: tuple[Any, ...]) -> None:
        self.retry_budget.on_lease(lease)

    def report_fields(self) -> tuple[Any, ...]:
        self.seq += 1
        own = self.settings.own
        server_id, slots, state, slow_start_s = self.admission.server_fields()
        return (
            own.ip,
            self.port,
            self.epoch,
            self.seq,
            own.az,
            own.svc,
            server_id,
            slots,
            state,
            slow_start_s,
            not self.leaving,
        )

    def on_update(self, config: bool, records: bool) -> None:
        if config:
            self.table = RoutingTable(self.controls.replica)
            log_event(Event.CONFIG, index=self.table.index, routes=len(self.table.routes))
        if records:
            self._update_servers()
        if self.ready() and not self.logged_ready:
            self.logged_ready = True
            log_event(Event.READY)

    def _update_servers(self) -> None:
        records = self.controls.views.merged
        self.sidecar_count = max(len(records), 1)
        self.load_balancer.update_servers(
            self.loop.time(),
            (
                (r.service, r.server_id, r.ip, r.zone, r.capacity, r.slow_start_s)
                for r in records.values()
                if r.serving and r.state == "up" and r.server_id
            ),
        )
        self.dispatcher.close_unused(lambda ip: ip in records)

    def ready(self) -> bool:
        return self.table is not None and self.controls.seen_up_to_date and not self.leaving

    # Clients --------------------------------------------------------------------------------------

    def max_header_bytes(self) -> int:
        return self.table.limits.header_bytes if self.table is not None else 32 * 1024

    def max_body_bytes(self) -> int:
        allowed = self.table.limits.body_bytes if self.table is not None else MAX_FORWARDED_BODY_BYTES
        return min(allowed, MAX_FORWARDED_BODY_BYTES)

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
        if now >= self.reject_from:  # could not be answered before the process ends
            raise Rejected(503, "leaving", int(SHUTDOWN_RETRY_AFTER_S * 1e9))
        route = self.table.match(request.fields.get(b"host", b""), request.target)
        if route is None:
            client.respond(client.token, 404, (), b"")
            return
        if not request.fields.get(b"x-request-id"):
            raise Rejected(400, "no X-Request-Id")
        if route.kind == "keyed" and not request.fields.get(b"x-idempotency-key"):
            raise Rejected(400, "no X-Idempotency-Key")
        waited = (time.monotonic_ns() - request.received_at) / 1e9 if request.received_at else 0.0
        time_left = _deadline(request.fields.get(b"x-deadline-ms"), route.timeout) - min(waited, 1.0)
        service = route.choose_service(self.random.random())
        nested = self.nested_routes.record(route.name, self.admission.gate.running)
        # Calls that a server makes itself carry no idempotency key.
        self.retry_budget.record_request(
            service, route.kind != "keyed" and self.nested_routes.may_be_nested(route.name)
        )
        exchange = self.make_exchange(self, client, request, route, service, now, time_left, nested)
        self.exchanges.add(exchange)
        self.by_client[client] = exchange
        exchange.start()

    def on_client_lost(self, client: ClientConnection) -> None:
        exchange = self.by_client.pop(client, None)
        if exchange is not None and not exchange.closed and exchange.token == client.token:
            exchange.on_client_gone()

    def on_exchange_closed(self, exchange: Exchange) -> None:
        self.exchanges.discard(exchange)
        if self.by_client.get(exchange.client) is exchange:
            del self.by_client[exchange.client]

    def claim_key(self, exchange: Exchange) -> None:
        request = exchange.request
        self.keys.open(
            exchange,
            hashed(request.fields[b"x-idempotency-key"]),
            digest_request(request.method, request.target, request.body),
        )

    def count_error(self, kind: ErrorKind, route: str) -> None:
        """Counts a reply that this sidecar generated; the counts of a second are one log line."""
        if not self.error_counts:
            self.loop.call_later(COUNT_INTERVAL_S, self._log_error_counts)
        name = f"{kind.value} on {route}"
        self.error_counts[name] = self.error_counts.get(name, 0) + 1

    def _log_error_counts(self) -> None:
        counts, self.error_counts = self.error_counts, {}
        if not counts:
            return
        largest = sorted(counts.items(), key=lambda item: -item[1])[:MAX_COUNTS_LOGGED]
        log_event(Event.REFUSED, kinds=", ".join(f"{number} {name}" for name, number in largest))

    # Incoming connections ---------------------------------------------------------------------------

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        op = message[0]
        if op == ops.CALL:
            self.offers.on_call(connection, message)
            self.admission.call(connection, lambda answer: send_if_connected(connection, answer), message)
        elif op == ops.OFFER:
            self.offers.on_offer(connection, lambda answer: send_if_connected(connection, answer), message)
        elif op == ops.CANCEL:
            self.offers.on_cancel(connection, message[1])
            self.admission.cancel(connection, message[1])
        else:
            self.peer_queries.on_message(connection, message)

    def on_connection_lost(self, connection: Connection) -> None:
        self.offers.on_connection_lost(connection)
        self.admission.on_connection_lost(connection)

    def relay_claim(self, message: ops.Message) -> bool:
        return self.peer_queries.relay_claim(message)

    def fetch_from_peers(self, message: ops.Message) -> None:
        self.peer_queries.fetch_from_peers(message)

    # Shutdown ---------------------------------------------------------------------------------------

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Stops being ready; requests that are open or still accepted are answered by the schedule."""
        self.leaving, self.reject_from, self.answer_by = True, schedule.reject_from, schedule.answer_by
        # They may have later deadlines from their clients, and the end of the process would cut them off.
        for exchange in self.exchanges:
            exchange.limit_deadline(schedule.answer_by)
        self.admission.limit_deadlines(schedule.answer_by)
        self.send_report()

    def open_count(self) -> int:
        """Requests of clients and calls of other sidecars that are open."""
        return len(self.exchanges) + len(self.admission.jobs)

    def log_unanswered(self) -> None:
        """Logs each request whose client still waits, and the counts that are not logged yet."""
        now = self.loop.time()
        for exchange in self.exchanges:
            if not exchange.answered:
                request = exchange.request_id.decode(errors="replace")
                age, state = now - exchange.started_at, exchange.describe(now)
                log_event(Event.UNANSWERED, request=request, route=exchange.route.name, age=age, state=state)
        self._log_error_counts()

    def status(self) -> dict[str, Any]:
        """State of this sidecar, for operators."""
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
                "life": self.admission.server_id,
                "state": self.admission.state,
                "slots": gate.slots,
                "running": gate.running,
                "queued": gate.queued,
                "mean_s": round(gate.mean, 4),
            },
            "services": {
                name: {"servers": len(held), "budget": self.retry_budget.status(name)}
                for name, held in self.load_balancer.endpoints.items()
            },
            "keys": states,
            "open": len(self.exchanges),
            "nodes": self.sidecar_count,
            "lost_log_lines": lost_line_count(),
            "nested_routes": [
                name for name in self.nested_routes.request_counts if self.nested_routes.is_nested(name)
            ],
        }

    def close(self) -> None:
        self.run_recorder.close()
        self.controls.close()
        self.dispatcher.close()
        self.retry_budget.close()
        self.admission.close()


def _deadline(value: bytes | None, otherwise: float) -> float:
    """Seconds stated by X-Deadline-Ms, or `otherwise` without it. Raises Rejected."""
    if value is None:
        return otherwise
    try:
        seconds = float(value) / 1000.0
    except ValueError:
        raise Rejected(400, "bad X-Deadline-Ms") from None
    if not seconds >= 0.0:  # NaN fails this too
        raise Rejected(400, "bad X-Deadline-Ms")
    return min(seconds, MAX_DEADLINE_S)
