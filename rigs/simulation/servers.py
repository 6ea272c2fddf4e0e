"""Servers beside the sidecars: they run what comes, slowly, not at all, or without an answer; and they
beat.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from minthitch import interface as api
from minthitch.mesh.http.upstream import NOT_RUN, Outcome, UpstreamCall, judge
from rigs.simulation.loop import Machine, VirtualLoop

if TYPE_CHECKING:
    from rigs.simulation.mesh import SidecarNode, Site

SLOTS = 4
BEAT_S = 0.5
NEAR = 0.0005  # seconds from the sidecar to its server
KEY = b"x-idempotency-key"
Inner = Callable[["SidecarNode", str, Callable[[bool], None]], None]


class _Wire:
    """What an errand holds while it is at the server; dropping it closes the connection."""

    def __init__(self) -> None:
        self.dropped = False

    def drop(self) -> None:
        self.dropped = True


class SimServerPool:
    """What the admission queue asks of a shelf."""

    def __init__(self, loop: VirtualLoop, server: Server, machine: Machine) -> None:
        self.loop, self.server, self.machine, self.life = loop, server, machine, machine.life

    def run(self, errand: UpstreamCall) -> None:
        wire = _Wire()
        errand.carried = wire  # type: ignore[assignment]
        self.loop.after(NEAR, self.machine, self._written, errand, wire)

    def _written(self, errand: UpstreamCall, wire: _Wire) -> None:
        if errand.status is not None:
            return
        if not errand.may_write():
            errand.end(api.Status.MOOT)
        elif not self.server.up:
            errand.end(api.Status.CONNECT_FAILED)
        else:
            errand.wrote()
            self.loop.after(NEAR, self.loop.world, self.server.take, self, errand, wire)

    def ended(self, errand: UpstreamCall, outcome: Outcome | None) -> None:
        """The server's answer, or the connection's end, as its sidecar comes to see it."""
        if self.machine.life == self.life:
            self.loop.after(NEAR, self.machine, self._ended, errand, outcome)

    def _ended(self, errand: UpstreamCall, outcome: Outcome | None) -> None:
        if errand.status is not None:
            return
        if outcome is None:
            errand.end(api.Status.RESET)
        else:
            errand.finish(api.Status.OK, outcome)

    def hang_up(self, upstream: Any) -> None:
        pass

    def close(self) -> None:
        pass


class Server:
    """One server's lives, one after another, at one sidecar."""

    def __init__(self, site: Site, sidecar: SidecarNode) -> None:
        self.site, self.sidecar, self.loop = site, sidecar, site.loop
        self.number = 0
        self.up = False
        self.state, self.seq = "up", 0
        self.running: dict[UpstreamCall, SimServerPool] = {}
        self.mood = 0.02  # chance that an answer is lost, broken off, late or a failure
        self.held_until = 0.0
        self.pace = 1.0  # what it takes, as a multiple
        self.inner: Inner | None = None  # calls that each run makes first: (sidecar, id, what to do then)

    @property
    def life(self) -> str:
        return f"{self.sidecar.service}-{self.sidecar.ip}-{self.number}"

    # Its life

    def start(self) -> None:
        """A new life."""
        self.number += 1
        self.up, self.state, self.seq = True, "up", 0
        self.site.say("server", self.life, state="up")
        self._beat_on(self.number)

    def crash(self) -> None:
        self.up = False
        self.site.say("server", self.life, state="gone")
        self.cut_off()

    def cut_off(self) -> None:
        running, self.running = self.running, {}
        for errand, shelf in running.items():
            shelf.ended(errand, None)

    def drain(self) -> None:
        self.state = "draining"
        self.beat()

    def leave(self) -> None:
        self.sidecar_call(lambda front: front.admission.leave(self.life))

    def _beat_on(self, number: int) -> None:
        if self.up and number == self.number:
            self.beat()
            self.loop.after(BEAT_S, self.loop.world, self._beat_on, number)

    def beat(self) -> None:
        self.seq += 1
        life, state = self.life, self.state
        body = json.dumps(
            {
                "Addr": "127.0.0.1:8080",
                "Summary": {"Svc": self.sidecar.service, "Cap": SLOTS},
                "Stat": {"State": state, "Seq": self.seq},
            }
        ).encode()

        def beaten(front: Any) -> None:
            front.admission.beat(life, body)
            self.site.say("beaten", life, state=state)

        self.sidecar_call(beaten)

    def sidecar_call(self, call: Any) -> None:
        machine = self.sidecar.machine
        if machine.running:
            self.loop.after(NEAR, machine, lambda: call(self.sidecar.front))

    # Its work

    def take(self, shelf: SimServerPool, errand: UpstreamCall, wire: _Wire) -> None:
        if not self.up:
            shelf.ended(errand, None)
            return
        fields = {name.lower(): value for name, value in errand.message.fields}
        key, name = fields.get(KEY, b"").decode(), errand.identity.decode()
        who = {
            "id": name,
            "key": key,
            "life": self.life,
            "meant": errand.life.decode(),
            "service": self.sidecar.service,
            "target": errand.message.target.decode(),
        }
        if errand.life.decode() != self.life:
            self.site.say("arrival", self.sidecar.ip, ran=False, **who)
            shelf.ended(errand, Outcome(NOT_RUN, 421, why="turned away"))
            return
        if len(self.running) >= 2 * SLOTS:
            self.site.say("arrival", self.sidecar.ip, ran=False, **who)
            shelf.ended(errand, Outcome(NOT_RUN, 503, why="turned away"))
            return
        if wire.dropped:
            return
        self.site.say("arrival", self.sidecar.ip, ran=True, **who)
        self._work(shelf, errand, name, key)

    def _work(self, shelf: SimServerPool, errand: UpstreamCall, name: str, key: str) -> None:
        draw = self.site.random
        took = self.pace * draw.lognormvariate(-3.2, 0.6)
        odd = draw.random()
        status = 200
        if odd < self.mood:
            status = draw.choice((0, 0, 500, 200))  # no answer at all, broken off, a failure, late
            took = 9.0 if status == 0 and odd < self.mood / 2 else took
            took += draw.uniform(0.5, 3.0) if status == 200 else 0.0
        took = max(took, self.held_until - self.loop.now)
        self.running[errand] = shelf
        body = f"{key or name} by {self.life}".encode()

        def go_on(ok: bool) -> None:
            self.loop.after(took, self.loop.world, self._answer, shelf, errand, status if ok else 500, body)

        if self.inner is None:
            go_on(True)
        else:
            self.inner(self.sidecar, name, go_on)

    def _answer(self, shelf: SimServerPool, errand: UpstreamCall, status: int, body: bytes) -> None:
        if self.running.pop(errand, None) is None:
            return
        name = errand.identity
        self.site.say("served", self.sidecar.ip, id=name.decode(), status=status, body=body.decode())
        if status == 0:
            shelf.ended(errand, None)
            return
        fields = ((b"X-Request-Id", name), (b"X-Server-Seal", b"seal"))
        shelf.ended(errand, judge(errand, status, False, fields, body))
