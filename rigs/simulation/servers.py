"""Simulated application servers beside the sidecars: they may answer late, wrongly or never, and send
heartbeats.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol, cast

from minthitch import interface as api
from minthitch.mesh.http.instance_probe import PROBE_TIMEOUT_S, ProbeVerdict
from minthitch.mesh.http.listener import ClientConnection
from minthitch.mesh.http.upstream import NOT_RUN, Outcome, UpstreamCall, classify_response
from minthitch.mesh.sidecar.handlers import AdminHandler
from minthitch.net.callers import Incoming
from rigs.simulation.loop import Machine, VirtualLoop

SLOTS = 4
HEARTBEAT_INTERVAL_S = 0.5
SIDECAR_DELAY_S = 0.0005  # between a sidecar and its server
KEY = b"x-idempotency-key"
OK = 200
ACKNOWLEDGED_WITHIN_S = 1.0  # a server waits this long for an acknowledgement
SILENT = -1  # in place of a status: the request ran and is never answered


class Surroundings(Protocol):
    """What a server needs from its site: the loop, random numbers and the history."""

    @property
    def loop(self) -> VirtualLoop: ...

    @property
    def random(self) -> random.Random: ...

    def record(self, what: str, who: str, **data: Any) -> None:
        """Adds an event to the history."""


class Sidecar(Protocol):
    """What a server needs from the sidecar beside it."""

    @property
    def ip(self) -> str: ...

    @property
    def service(self) -> str: ...

    @property
    def machine(self) -> Machine: ...

    @property
    def front(self) -> Any: ...


NestedCall = Callable[[Sidecar, str, Callable[[bool], None]], None]


class _UpstreamConnection:
    """The connection of a call at the server; `drop` closes it."""

    def __init__(self) -> None:
        self.dropped = False

    def drop(self) -> None:
        self.dropped = True


class SimServerPool:
    """The connection pool of the admission queue, without sockets."""

    def __init__(self, loop: VirtualLoop, server: Server, machine: Machine) -> None:
        self.loop, self.server, self.machine, self.life = loop, server, machine, machine.life

    def run(self, call: UpstreamCall) -> None:
        wire = _UpstreamConnection()
        call.handle = wire  # type: ignore[assignment]
        self.loop.after(SIDECAR_DELAY_S, self.machine, self._written, call, wire)

    def _written(self, call: UpstreamCall, wire: _UpstreamConnection) -> None:
        if call.status is not None:
            return
        if not call.may_write():
            call.end(api.Status.MOOT)
        elif not self.server.up:
            call.end(api.Status.CONNECT_FAILED)
        else:
            call.wrote()
            left = call.time_left / 1e9
            self.loop.after(SIDECAR_DELAY_S, self.loop.world, self.server.take, self, call, wire, left)

    def ended(self, call: UpstreamCall, outcome: Outcome | None) -> None:
        """Delivers the server's answer, or None for the end of the connection, to its sidecar."""
        if self.machine.life == self.life:
            self.loop.after(SIDECAR_DELAY_S, self.machine, self._ended, call, outcome)

    def _ended(self, call: UpstreamCall, outcome: Outcome | None) -> None:
        if call.status is not None:
            return
        if outcome is None:
            call.end(api.Status.RESET)
        else:
            call.finish(api.Status.OK, outcome)

    def probe(self, path: str, server_id: str, address: str, done: Callable[[ProbeVerdict], None]) -> None:
        """Asks the server whether this run of it is there; without an answer after a time, it is unknown."""
        self.loop.after(SIDECAR_DELAY_S, self.loop.world, self._probe_arrives, server_id, done)

    def _probe_arrives(self, server_id: str, done: Callable[[ProbeVerdict], None]) -> None:
        if self.machine.life != self.life:
            return
        server = self.server
        delay_s, verdict = SIDECAR_DELAY_S, ProbeVerdict.UNKNOWN
        if server.up and self.loop.now >= server.stalled_until:
            is_running = server.life == server_id
            verdict = ProbeVerdict.IS_RUNNING if is_running else ProbeVerdict.IS_NOT_RUNNING
        elif server.up:
            delay_s = PROBE_TIMEOUT_S
        self.loop.after(delay_s, self.machine, done, verdict)

    def hang_up(self, upstream: Any) -> None:
        pass

    def close(self) -> None:
        pass


class HeartbeatCall(NamedTuple):
    """A heartbeat on its way to the sidecar."""

    path: str
    body: bytes
    life: str
    state: str


class _AdminClient:
    """The connection of a server's call to its sidecar; records the acknowledgement."""

    token = 1

    def __init__(self, site: Surroundings, life: str, state: str) -> None:
        self.site, self.life, self.state = site, life, state
        self.sent_at = site.loop.now

    def respond(self, token: int, status: int, fields: Any, body: bytes) -> None:
        if status == OK and self.site.loop.now <= self.sent_at + ACKNOWLEDGED_WITHIN_S:
            self.site.record("beaten", self.life, state=self.state)


class Server:
    """One server beside one sidecar, through all its incarnations."""

    def __init__(self, site: Surroundings, sidecar: Sidecar) -> None:
        self.site, self.sidecar, self.loop = site, sidecar, site.loop
        self.number = 0
        self.up = False
        self.state, self.seq = "up", 0
        self.running: dict[UpstreamCall, SimServerPool] = {}
        self.failure_rate = 0.02  # share of requests that are unanswered, broken off, late or failed
        self.silent_rate = 0.0  # share of requests that run and are never answered; the connection stays open
        self.keeps_deadlines = False  # whether it answers 504 at the deadline that it was given
        self.stalled_until = 0.0
        self.slowdown = 1.0  # factor on the time that a request takes
        self.nested_call: NestedCall | None = None  # runs first in each request: (sidecar, id, continuation)

    @property
    def life(self) -> str:
        return f"{self.sidecar.service}-{self.sidecar.ip}-{self.number}"

    # Start and end

    def start(self) -> None:
        """Begins a new incarnation."""
        self.number += 1
        self.up, self.state, self.seq = True, "up", 0
        self.site.record("server", self.life, state="up")
        self._heartbeat_loop(self.number)

    def crash(self) -> None:
        self.up = False
        self.site.record("server", self.life, state="gone")
        self.reset_requests()

    def reset_requests(self) -> None:
        running, self.running = self.running, {}
        for call, pool in running.items():
            pool.ended(call, None)

    def drain(self) -> None:
        self.state = "draining"
        self.heartbeat()

    def leave(self) -> None:
        """Says that it is gone, and sends no heartbeats from then on."""
        self.state = "gone"
        self._call(f"/Instances.Deregister/{self.life}", b"{}", "gone")

    def _heartbeat_loop(self, number: int) -> None:
        if self.up and number == self.number and self.state != "gone":
            self.heartbeat()
            self.loop.after(HEARTBEAT_INTERVAL_S, self.loop.world, self._heartbeat_loop, number)

    def heartbeat(self) -> None:
        self.seq += 1
        self.deliver(self.heartbeat_call())

    def heartbeat_call(self) -> HeartbeatCall:
        """A heartbeat of now, which may be delivered later."""
        body = json.dumps(
            {
                "Addr": "127.0.0.1:8080",
                "Summary": {"Svc": self.sidecar.service, "Cap": SLOTS},
                "Stat": {"State": self.state, "Seq": self.seq},
            }
        ).encode()
        return HeartbeatCall(f"/Instances.Heartbeat/{self.life}", body, self.life, self.state)

    def deliver(self, heartbeat: HeartbeatCall) -> None:
        """Sends a heartbeat to the sidecar."""
        self._call(heartbeat.path, heartbeat.body, heartbeat.state, heartbeat.life)

    def _call(self, path: str, body: bytes, state: str, life: str = "") -> None:
        """Calls the sidecar beside it; an acknowledgement within a second is recorded."""
        client = _AdminClient(self.site, life or self.life, state)
        machine = self.sidecar.machine
        if machine.running:
            self.loop.after(SIDECAR_DELAY_S, machine, self._handle_call, client, path, body)

    def _handle_call(self, client: _AdminClient, path: str, body: bytes) -> None:
        request = Incoming()
        request.method, request.target, request.body = b"POST", path.encode(), body
        AdminHandler(self.sidecar.front).handle(cast(ClientConnection, client), request)

    # Requests

    def take(self, pool: SimServerPool, call: UpstreamCall, wire: _UpstreamConnection, left: float) -> None:
        """Handles a request; `left` is the time in seconds until the deadline that it was given."""
        if not self.up:
            pool.ended(call, None)
            return
        fields = {name.lower(): value for name, value in call.message.fields}
        key, name = fields.get(KEY, b"").decode(), call.request_id.decode()
        who = {
            "id": name,
            "key": key,
            "life": self.life,
            "meant": call.server_id.decode(),
            "service": self.sidecar.service,
            "target": call.message.target.decode(),
        }
        if call.server_id.decode() != self.life:
            self.site.record("arrival", self.sidecar.ip, ran=False, **who)
            pool.ended(call, Outcome(NOT_RUN, 421, reason="turned away"))
            return
        if len(self.running) >= 2 * SLOTS:
            self.site.record("arrival", self.sidecar.ip, ran=False, **who)
            pool.ended(call, Outcome(NOT_RUN, 503, reason="turned away"))
            return
        if wire.dropped:
            return
        self.site.record("arrival", self.sidecar.ip, ran=True, **who)
        self._work(pool, call, name, key, left if self.keeps_deadlines else math.inf)

    def _work(self, pool: SimServerPool, call: UpstreamCall, name: str, key: str, left: float) -> None:
        draw = self.site.random
        duration = self.slowdown * draw.lognormvariate(-3.2, 0.6)
        luck = draw.random()
        status = 200
        if luck < self.failure_rate:
            status = draw.choice((0, 0, 500, 200))  # no answer at all, broken off, a failure, late
            duration = 9.0 if status == 0 and luck < self.failure_rate / 2 else duration
            duration += draw.uniform(0.5, 3.0) if status == 200 else 0.0
        if self.silent_rate and draw.random() < self.silent_rate:
            status = SILENT
        duration = max(duration, self.stalled_until - self.loop.now)
        if duration > left:
            duration, status = left, 504
        self.running[call] = pool
        body = f"{key or name} by {self.life}".encode()

        def resume(ok: bool) -> None:
            self.loop.after(duration, self.loop.world, self._answer, pool, call, status if ok else 500, body)

        if self.nested_call is None:
            resume(True)
        else:
            self.nested_call(self.sidecar, name, resume)

    def _answer(self, pool: SimServerPool, call: UpstreamCall, status: int, body: bytes) -> None:
        if self.running.pop(call, None) is None:
            return
        name = call.request_id
        self.site.record("served", self.sidecar.ip, id=name.decode(), status=status, body=body.decode())
        if status == SILENT:
            return
        if status == 0:
            pool.ended(call, None)
            return
        fields = ((b"X-Request-Id", name), (b"X-Server-Seal", b"seal"))
        pool.ended(call, classify_response(call, status, False, fields, body))
