"""What befalls the machines: schedules written down or drawn from a seed, within what must be borne."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from rigs.meshlab.history import Event
from rigs.meshlab.mesh import GRACE, Forge, Site, Vise

RESTART = 0.3  # seconds until a killed process is started again, at least
SYNC_S = 4.0  # seconds that a forge without its disk has to catch up


class Fault(NamedTuple):
    """`target`: number of the forge or vise, -1 for the forge that leads then."""

    at: float
    kind: str
    target: int = -1
    last: float = 1.0


CORE = ("kill-forge", "power-forge", "wipe-forge", "freeze-forge", "slow-forge", "cut-forge", "deaf-forge",
        "mute-forge", "hang-disk", "full-disk", "ack-kill", "ack-wipe", "reset-forge", "pair-forge")
ALL = ("all-killed", "all-power", "ack-power")
SIDE = ("kill-vise", "power-vise", "freeze-vise", "slow-vise", "cut-vise", "deaf-vise", "mute-vise",
        "forgeless", "reset-vise", "server-crash", "server-replaced", "server-drains", "server-stalls",
        "pair-vise", "service-stalls", "claim-kill", "sent-kill", "leave-vise")
MOMENTS = {  # event, a word in it, what strikes then
    "ack-kill": ("verdict", "200", "kill-forge"), "ack-wipe": ("verdict", "200", "wipe-forge"),
    "ack-power": ("verdict", "200", "all-power"), "claim-kill": ("claim", "granted", "kill-vise"),
    "sent-kill": ("arrival", "key", "kill-vise")}
KINDS = CORE + ALL + SIDE


def drawn(seed: int, until: float, first: float = 3.0) -> list[Fault]:
    """Faults between `first` and `until`: one of the core at a time, those of vises beside them."""
    draw = random.Random(seed)
    faults: list[Fault] = []
    at = first + draw.uniform(0.0, 2.0)
    while at < until - 3.0:
        kind = draw.choice(CORE) if draw.random() < 0.82 else draw.choice(ALL)
        last = draw.choice((0.2, 1.0, 2.5, 4.0))
        faults.append(Fault(round(at, 3), kind, draw.choice((-1, 0, 1, 2)), last))
        at += last + SYNC_S + draw.uniform(0.5, 3.0)
    at = first + draw.uniform(0.0, 1.0)
    while at < until - 1.0:
        last = draw.choice((0.2, 0.8, 2.5, 5.0))
        faults.append(Fault(round(at, 3), draw.choice(SIDE), draw.randrange(6), last))
        at += draw.uniform(0.3, 3.0)
    return sorted(faults)


class Faults:
    """Lets a schedule loose on a site."""

    def __init__(self, site: Site, schedule: list[Fault]) -> None:
        self.site, self.loop, self.schedule = site, site.loop, schedule
        self.undo: list[Callable[[], None]] = []
        self.asked: dict[str, str] = {}  # at which vise
        site.history.ears.append(self._note)

    def start(self) -> None:
        for fault in self.schedule:
            self.loop.after(fault.at, self.loop.world, self._strike, fault)

    def heal(self) -> None:
        """All that lasts still ends now."""
        self.site.history.ears.clear()
        undo, self.undo = self.undo, []
        for call in undo:
            call()
        self.site.say("healed", "world")

    def _strike(self, fault: Fault) -> None:
        if fault.kind in MOMENTS:
            self._at_moment(fault)
        elif fault.kind in ALL:
            self._all(fault)
        elif fault.kind == "service-stalls":
            for vise in self.site.vises[fault.target // 3 * 3:][:3]:
                self._server(fault, vise)
        elif fault.kind in CORE:
            forge = self.site.leader() if fault.target < 0 else self.site.forges[fault.target % 3]
            self._one(fault, forge, "core")
        else:
            vise = self.site.vises[fault.target % len(self.site.vises)]
            self._one(fault, vise, vise.ip)

    def _lasts(self, fault: Fault, scope: str, end: Callable[[], None]) -> None:
        """`end` comes once, when its time is over or all is healed."""
        self.site.say("trouble", scope, kind=fault.kind)

        def ended() -> None:
            end()
            self.site.say("well", scope, kind=fault.kind)

        def due() -> None:
            if ended in self.undo:
                self.undo.remove(ended)
                ended()

        self.undo.append(ended)
        self.loop.after(fault.last, self.loop.world, due)

    def _all(self, fault: Fault) -> None:
        nodes = [n for n in self.site.machines.values() if n.machine.running]
        for node in nodes:
            node.stop(power=fault.kind == "all-power")
        self._lasts(fault, "core", lambda: self._begin(*nodes))
        for vise in self.site.vises:
            self._lasts(fault, vise.ip, lambda: None)

    def _begin(self, *nodes: Forge | Vise) -> None:
        for node in nodes:
            if not node.machine.running:
                node.start()

    def _at_moment(self, fault: Fault) -> None:
        """Waits a while for its moment, and strikes just then."""
        what, word, then = MOMENTS[fault.kind]

        def ear(event: Event) -> None:
            if event.what == what and word in str(event.data):
                self.site.history.ears.remove(ear)
                now = fault._replace(kind=then)
                if then in ALL:
                    self._all(now)
                elif then in CORE:
                    self._one(now, self.site.leader(), "core")
                else:
                    self._one(now, self._asker(event), self._asker(event).ip)

        ears = self.site.history.ears
        ears.append(ear)
        self.loop.after(2.0, self.loop.world, lambda: ears.remove(ear) if ear in ears else None)

    def _asker(self, event: Event) -> Vise:
        """The vise that has claimed, or that sent what arrived."""
        ip = event.who if event.what == "claim" else self.asked[event.data["id"]]
        return next(vise for vise in self.site.vises if vise.ip == ip)

    def _note(self, event: Event) -> None:
        if event.what == "asked":
            self.asked[event.data["id"]] = event.who

    def _one(self, fault: Fault, node: Forge | Vise, scope: str) -> None:
        kind = fault.kind.rpartition("-")[0] if fault.kind[-5:] in ("forge", "-vise") else fault.kind
        machine, network = node.machine, self.site.network
        if not machine.running and not kind.startswith("server"):
            return
        if kind in ("kill", "power", "wipe"):
            node.stop(power=kind != "kill")
            if kind == "wipe" and isinstance(node, Forge):
                node.disk.wipe()
            fault = fault._replace(last=max(fault.last, RESTART))
            self._lasts(fault, scope, lambda: self._begin(node))
        elif kind == "freeze":
            self.loop.freeze(machine)
            life = machine.life
            self._lasts(fault, scope, lambda: self.loop.thaw(machine) if machine.life == life else None)
        elif kind == "leave" and isinstance(node, Vise):
            self._leave(fault, node)
        elif kind == "slow":
            machine.lag = 0.05
            self._lasts(fault, scope, lambda: setattr(machine, "lag", 0.0))
        elif kind == "reset":
            network.reset(machine)
            self._lasts(fault._replace(last=0.0), scope, lambda: None)
        elif isinstance(node, Forge) and kind in ("hang-disk", "full-disk"):
            name = "hung" if kind == "hang-disk" else "full"
            setattr(node.disk, name, True)
            self._lasts(fault, scope, lambda: setattr(node.disk, name, False))
        elif isinstance(node, Vise) and kind.startswith("server"):
            self._server(fault, node)
        else:
            self._cut(fault, node, kind, scope)

    def _leave(self, fault: Fault, vise: Vise) -> None:
        """SIGTERM, and the end of its process once nothing is open."""
        began, life = self.loop.now, vise.machine.life
        vise.leave()

        def look() -> None:
            if vise.machine.life == life and vise.machine.running:
                if vise.may_end(began):
                    self.site.say("left", vise.ip)
                    vise.stop()
                else:
                    self.loop.after(0.1, self.loop.world, look)

        def ended() -> None:
            if vise.machine.life == life and vise.machine.running:  # all is healed early
                vise.stop()
            self._begin(vise)

        look()
        self._lasts(fault._replace(last=GRACE + 0.3), vise.ip, ended)

    def _cut(self, fault: Fault, node: Forge | Vise, kind: str, scope: str) -> None:
        network = self.site.network
        others = [ip for ip in self.site.machines if ip != node.ip]
        if kind == "pair":
            others = [others[len(others) // 2]]
        elif kind == "forgeless":
            others = [forge.ip for forge in self.site.forges]
        pairs = [(ip, node.ip) for ip in others if kind != "mute"]
        pairs += [(node.ip, ip) for ip in others if kind != "deaf"]
        new = [pair for pair in pairs if pair not in network.cuts]
        for pair in new:
            network.cut(*pair)
        self._lasts(fault, scope, lambda: network.heal(new))
        if kind == "pair" and others[0] not in (scope, *(f.ip for f in self.site.forges)):
            self._lasts(fault, others[0], lambda: None)

    def _server(self, fault: Fault, vise: Vise) -> None:
        server, loop = vise.server, self.loop
        self.site.say("server trouble", vise.ip, kind=fault.kind)
        if fault.kind.endswith("stalls"):
            server.held_until = loop.now + fault.last
        elif not server.up:
            return
        elif fault.kind == "server-crash":
            server.crash()
            loop.after(fault.last, loop.world, server.start)
        elif fault.kind == "server-replaced":
            server.crash()
            server.start()
        else:
            server.drain()
            loop.after(max(fault.last, 1.0), loop.world, self._left, vise, server.number)

    def _left(self, vise: Vise, number: int) -> None:
        server = vise.server
        if server.up and server.number == number:
            server.leave()
            server.crash()
            self.loop.after(0.3, self.loop.world, server.start)
