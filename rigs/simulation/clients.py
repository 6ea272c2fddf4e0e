"""Simulated clients and operators: their requests, retries, and the recording of answers."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, cast

from minthitch.engine.calls import Rejected
from minthitch.mesh.http.listener import ClientConnection
from minthitch.net.callers import Incoming
from rigs.simulation.mesh import HOST, KEY_WINDOW_S, SERVICES, ControlNode, SidecarNode, Site

KINDS = (
    ("idempotent", "/i/", "shop", 0.4),
    ("keyed", "/k/", "bank", 0.35),
    ("mutating", "/m/", "shop", 0.15),
    ("upload", "/u/", "bank", 0.1),
)
ROUTE_TIMEOUT_S = 3.0  # of the routes, in seconds; clients' own deadlines are shorter
LATENCY_TARGET_S = 0.5
HANG_UP_SLACK_S = 0.3  # a client hangs up this long after its deadline
DEADLINES_S = (0.6, 1.5, 2.5)  # each request draws one of these
EARLY_HANG_UP_RATE = 0.03  # share of requests whose client hangs up early, if not answered by then
MAX_TRIES = 4
OPERATOR_TIMEOUT_S = 1.5  # an operator waits this long for an answer
CHANGED_ROUTES = 6  # number of routes that operators change


class SimClientConnection:
    """The connection of a client for one request."""

    token = 1

    def __init__(
        self, clients: Clients, sidecar: SidecarNode, name: str, done: Callable[[int, bytes], None]
    ) -> None:
        self.clients, self.sidecar, self.name, self.done = clients, sidecar, name, done
        self.ended = False

    def respond(self, token: int, status: int, fields: Any, body: bytes) -> None:
        site = self.clients.site
        site.record("told", self.sidecar.ip, id=self.name, status=status, body=body.decode())
        self._end(status, body)

    def reset(self) -> None:
        """The sidecar's process has ended, or it is not listening."""
        self.clients.site.record("unheard", self.sidecar.ip, id=self.name)
        self._end(0, b"")

    def _end(self, status: int, body: bytes) -> None:
        self.sidecar.clients.pop(self, None)
        if not self.ended:
            self.ended = True
            loop = self.clients.site.loop
            loop.after(0.0005, loop.world, self.done, status, body)


class Clients:
    """Sends random requests to all sidecars."""

    def __init__(
        self, site: Site, rate: float, until: float, deadlines: tuple[float, ...] = DEADLINES_S
    ) -> None:
        self.site, self.loop, self.random = site, site.loop, site.random
        self.rate, self.until, self.count = rate, until, 0
        self.deadlines = deadlines

    def start(self) -> None:
        for sidecar in self.site.sidecars:
            self._schedule_next(sidecar, 1.5)

    def _schedule_next(self, sidecar: SidecarNode, more: float = 0.0) -> None:
        if self.loop.now < self.until:
            pause = self.random.expovariate(self.rate) + more
            self.loop.after(pause, self.loop.world, self._arrive, sidecar)

    def _arrive(self, sidecar: SidecarNode) -> None:
        self._schedule_next(sidecar)
        kind = self.random.choices([row[0] for row in KINDS], [row[3] for row in KINDS])[0]
        if kind == "keyed":
            self.operation(sidecar)
        else:
            self.ask(sidecar, kind, "", lambda status, body: None)

    def operation(self, sidecar: SidecarNode, second_sidecar: SidecarNode | None = None) -> str:
        """Sends one keyed operation and its repeats: often after a failure, sometimes after a success.

        With `second_sidecar`, which may be drawn, a second request with the key is sent at the same time.
        """
        self.count += 1
        key = f"key{self.count}"
        if second_sidecar is None and self.random.random() < 0.1:
            second_sidecar = self.random.choice(self.site.sidecars)
        self._try(sidecar, key, 1)
        if second_sidecar is not None:
            self._try(second_sidecar, key, 2)
        return key

    def _try(self, sidecar: SidecarNode, key: str, number: int) -> None:
        def done(status: int, body: bytes) -> None:
            again = 0.15 if status == 200 else 0.85
            if number < MAX_TRIES and self.random.random() < again:
                other = self.random.choice(self.site.sidecars)
                pause = self.random.choice((0.01, 0.1, 0.5, KEY_WINDOW_S * 0.4))
                self.loop.after(pause, self.loop.world, self._try, other, key, number + 1)

        self.ask(sidecar, "keyed", key, done)

    def ask(
        self,
        sidecar: SidecarNode,
        kind: str,
        key: str,
        done: Callable[[int, bytes], None],
        deadline: float | None = None,
        to: tuple[str, str] | None = None,
    ) -> str:
        """Sends one request with a new id. `to` replaces the path and service of its kind."""
        self.count += 1
        name = f"q{self.count}"
        place, service = to or next((place, service) for k, place, service, _ in KINDS if k == kind)
        seconds = deadline or self.random.choice(self.deadlines)
        item = _make_request(kind, place, name, key, seconds, self.random)
        self.site.record("asked", sidecar.ip, id=name, key=key, kind=kind, service=service, deadline=seconds)
        client = SimClientConnection(self, sidecar, name, done)
        if not sidecar.machine.running:
            client.reset()
            return name
        sidecar.clients[client] = None
        self.loop.after(0.0003, sidecar.machine, self._deliver, sidecar, client, item)
        early = self.random.random() < EARLY_HANG_UP_RATE
        stays = self.random.uniform(0.0, 0.2) if early else seconds + HANG_UP_SLACK_S
        self.loop.after(stays, self.loop.world, self._hang_up, sidecar, client, early)
        return name

    def _deliver(self, sidecar: SidecarNode, client: SimClientConnection, item: Incoming) -> None:
        assert sidecar.front is not None
        try:
            sidecar.front.handle(cast(ClientConnection, client), item)
        except Rejected as err:
            client.respond(1, err.status, (), b"")

    def _hang_up(self, sidecar: SidecarNode, client: SimClientConnection, early: bool) -> None:
        """Hangs up if the request is not answered yet."""
        if client.ended:
            return
        sidecar.clients.pop(client, None)
        self.site.record("gave up", sidecar.ip, id=client.name, early=early)
        client._end(-1, b"")
        front = sidecar.front
        if front is not None:
            self.loop.after(0.0003, sidecar.machine, front.on_client_lost, client)


def _make_request(kind: str, place: str, name: str, key: str, seconds: float, draw: Any) -> Incoming:
    item = Incoming()
    item.method = b"GET" if kind == "idempotent" else b"POST"
    item.target = place.encode() + (key or name).encode()
    head = [(b"X-Request-Id", name.encode()), (b"X-Deadline-Ms", b"%d" % (seconds * 1000))]
    if key:
        head.append((b"X-Idempotency-Key", key.encode()))
    item.forwarded_fields = list(head)
    item.fields = {b"host": HOST.encode(), **{field.lower(): value for field, value in head}}
    if kind == "upload":
        item.body = b"u" * draw.choice((1_000, 40_000))
    elif kind != "idempotent":
        item.body = (key or name).encode()
    return item


def route(
    name: str, ver: int, place: str, kind: str, service: str, timeout: float = ROUTE_TIMEOUT_S
) -> dict[str, Any]:
    return {
        "Name": name,
        "Ver": f"{ver:08x}",
        "Host": HOST,
        "Pfx": place,
        "Kind": kind,
        "TmoS": timeout,
        "GoalS": LATENCY_TARGET_S,
        "Tries": 3,
        "Svc": service,
    }


def initial_configuration(timeout: float = ROUTE_TIMEOUT_S) -> dict[str, Any]:
    return {
        "Upsert": {
            "Svcs": [{"Name": name, "Ver": "00000001"} for name in SERVICES],
            "Routes": [route(kind, 1, place, kind, service, timeout) for kind, place, service, _ in KINDS],
        }
    }


class Operators:
    """Operators that change items at random control nodes, and retry until the answer is definite."""

    def __init__(self, site: Site, every: float, until: float, timeout: float = ROUTE_TIMEOUT_S) -> None:
        self.site, self.loop, self.random = site, site.loop, site.random
        self.every, self.until, self.timeout = every, until, timeout
        self.versions = [0] * CHANGED_ROUTES
        self.taken: list[dict[str, Any]] = []  # acknowledged calls

    def start(self) -> None:
        self.loop.after(0.5, self.loop.world, self.patch, initial_configuration(self.timeout), "proper")
        self.loop.after(3.0, self.loop.world, self._schedule_next)

    def _schedule_next(self) -> None:
        if self.loop.now >= self.until:
            return
        self.loop.after(self.random.expovariate(1.0 / self.every), self.loop.world, self._schedule_next)
        number = self.random.randrange(CHANGED_ROUTES)
        draw = self.random.random()
        if draw < 0.1:
            self._invalid(number)
        elif draw < 0.25:
            self.race(number)
        elif draw < 0.32 and self.taken:
            # Repeats an old call, which must change nothing.
            self.patch(self.random.choice(self.taken), "proper")
        else:
            self.change(number, drop=draw > 0.9)

    def change(self, number: int, drop: bool = False) -> None:
        self.versions[number] += 1
        ver = self.versions[number]
        if drop:
            self.patch({"Del": {"Routes": [{"Name": f"x{number}", "Ver": f"{ver:08x}"}]}}, "proper")
        else:
            self.patch(self._upsert(number, ver, 1.0 + ver), "proper")

    def race(self, number: int) -> None:
        """Sends the same version with different content twice at once, each to a random control node."""
        self.versions[number] += 1
        for timeout in (1.25, 1.75):
            self.patch(self._upsert(number, self.versions[number], timeout + self.versions[number]), "race")

    def identical_calls(self, number: int) -> None:
        """Sends the identical call to every control node at the same time."""
        self.versions[number] += 1
        call = self._upsert(number, self.versions[number], 1.0 + self.versions[number])
        for control in self.site.controls:
            self.site.record("sent", "operator", call=call, sort="proper")
            self._patch(call, "proper", control, [False])

    def _upsert(self, number: int, ver: int, timeout: float) -> dict[str, Any]:
        item = route(f"x{number}", ver, f"/x{number}/", "idempotent", "shop", timeout)
        return {"Upsert": {"Routes": [item]}}

    def _invalid(self, number: int) -> None:
        call = self._upsert(number, 0xFFFFFFFF, 666.0)
        call["Upsert"]["Routes"][0]["Svc"] = "nobody"
        self.patch(call, "invalid")

    def patch(self, call: dict[str, Any], sort: str) -> None:
        self.site.record("sent", "operator", call=call, sort=sort)
        self._patch(call, sort, self.random.choice(self.site.controls), [False])

    def _patch(self, call: dict[str, Any], sort: str, control: ControlNode, ended: list[bool]) -> None:
        """Sends the call to one node; `ended[0]` is true once the call has a definite answer."""
        gave_up = [False]

        def again() -> None:
            if not gave_up[0] and not ended[0]:
                gave_up[0] = True
                self._patch(call, sort, self.random.choice(self.site.controls), ended)

        def told(result: tuple[Any, ...] | None) -> None:
            self.loop.after(0.001, self.loop.world, clear, result)

        def clear(result: tuple[Any, ...] | None) -> None:
            if ended[0]:
                return
            if result is None:
                self.loop.after(0.1, self.loop.world, again)
                return
            ended[0] = True
            if result[0] == 200:
                self.taken.append(call)
            self.site.record("verdict", control.ip, call=call, sort=sort, status=result[0])

        body = json.dumps(call).encode()
        if control.machine.running and control.machine.powered:
            self.loop.after(0.001, control.machine, _call_at, control, "patch", body, told)
        self.loop.after(OPERATOR_TIMEOUT_S if control.machine.running else 0.1, self.loop.world, again)

    def read_back(self, place: int | None = None) -> None:
        """Reads the configuration from one control node after another until one answers."""
        controls = self.site.controls
        place = self.random.randrange(len(controls)) if place is None else place
        control = controls[place % len(controls)]
        done = [False]

        def told(result: tuple[Any, ...] | None) -> None:
            if result is not None and not done[0]:
                done[0] = True
                self.site.record("fetched", control.ip, body=json.loads(result[0]))

        def again() -> None:
            if not done[0]:
                done[0] = True
                self.read_back(place + 1)

        if control.machine.running:
            self.loop.after(0.001, control.machine, _call_at, control, "fetch", told)
        self.loop.after(0.5, self.loop.world, again)


def _call_at(control: ControlNode, name: str, *args: Any) -> None:
    if control.leaving:  # during shutdown its handlers answer 503
        args[-1](None)
    else:
        getattr(control.server, name)(*args)
