"""What befalls the machines: schedules written down or drawn from a seed, within what must be borne."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from minthitch.mesh.storage.store import Condition
from rigs.simulation.history import Event
from rigs.simulation.mesh import GRACE, ControlNode, SidecarNode, Site

RESTART = 0.3  # seconds until a killed process is started again, at least
SYNC_S = 4.0  # seconds that a control node without its disk has to catch up
FLASH = 0.02  # seconds without power of a machine whose disk is changed: nobody has missed it yet
WAITS = 2.0  # seconds that a fault waits for its moment
AGAIN = 0.1, 0.25, 0.4, 0.6, 0.9, 1.3  # seconds after all have power again until it is lost again


class Fault(NamedTuple):
    """`target`: number of the control node or sidecar, -1 for the control node that leads then."""

    at: float
    kind: str
    target: int = -1
    last: float = 1.0


LOSSES = {
    "wipe": Condition.EMPTY,
    "swap": Condition.EMPTY,
    "tear": Condition.TORN,
    "foreign": Condition.FOREIGN,
}  # of a disk
KEEPS = (
    "kill-control",
    "power-control",
    "freeze-control",
    "slow-control",
    "cut-control",
    "deaf-control",
    "mute-control",
    "hang-disk",
    "full-disk",
    "reset-control",
    "pair-control",
)  # no disk is lost: any may follow any
CORE = (
    *KEEPS,
    *(f"{kind}-control" for kind in LOSSES),
    "ack-kill",
    "ack-wipe",
    "ack-lost",
    "write-freeze",
    "write-power",
    "image-power",
    "lone-copy",
    "hung-copy",
)
ALL = ("all-killed", "all-power", "all-spread", "ack-power", "ack-power", "twice-power", "full-disks")
SIDE = (
    "kill-sidecar",
    "power-sidecar",
    "freeze-sidecar",
    "slow-sidecar",
    "cut-sidecar",
    "deaf-sidecar",
    "mute-sidecar",
    "control-lost",
    "reset-sidecar",
    "server-crash",
    "server-replaced",
    "server-drains",
    "server-stalls",
    "pair-sidecar",
    "service-stalls",
    "claim-kill",
    "sent-kill",
    "leave-sidecar",
)
MOMENTS = {  # event, a word in it, what strikes then
    "ack-kill": ("verdict", "200", "kill-control"),
    "ack-wipe": ("verdict", "200", "wipe-control"),
    "ack-lost": ("verdict", "200", "power-control"),
    "ack-power": ("verdict", "200", "all-power"),
    "claim-kill": ("claim", "granted", "kill-sidecar"),
    "sent-kill": ("arrival", "key", "kill-sidecar"),
}
KINDS = CORE + ALL + SIDE


def drawn(seed: int, until: float, first: float = 3.0) -> list[Fault]:
    """Faults between `first` and `until`: of the core one loss of a disk at a time, and others on top of it
    or in the midst of what it comes back through; those of sidecars beside them.
    """
    draw = random.Random(seed)
    faults: list[Fault] = []
    at = first + draw.uniform(0.0, 2.0)
    while at < until - 3.0:
        kind = draw.choice(CORE) if draw.random() < 0.82 else draw.choice(ALL)
        last = draw.choice((0.2, 1.0, 2.5, 4.0))
        fault = Fault(round(at, 3), kind, draw.choice((-1, 0, 1, 2)), last)
        faults.append(fault)
        at = ends(fault)
        for _ in range(draw.choice((0, 0, 1, 2))):
            when = draw.choice((draw.uniform(fault.at + 0.02, at), at + draw.uniform(0.0, 0.7)))
            more = Fault(
                round(when, 3),
                draw.choice(KEEPS),
                draw.choice((-1, fault.target, 0, 1, 2)),
                draw.choice((0.1, 0.3, 1.0)),
            )
            faults.append(more)
            at = max(at, ends(more))
        at += SYNC_S + draw.uniform(0.5, 3.0)
    at = first + draw.uniform(0.0, 1.0)
    while at < until - 1.0:
        last = draw.choice((0.2, 0.8, 2.5, 5.0))
        faults.append(Fault(round(at, 3), draw.choice(SIDE), draw.randrange(6), last))
        at += draw.uniform(0.3, 3.0)
    return sorted(faults)


def ends(fault: Fault) -> float:
    """When all that it broke is up again, at the latest."""
    waits = WAITS if fault.kind in (*MOMENTS, "image-power", "lone-copy", "hung-copy") else 0.0
    more = AGAIN[-1] + RESTART if fault.kind in ("twice-power", "image-power", "all-spread") else 0.0
    return fault.at + waits + max(fault.last, RESTART) + more


class Faults:
    """Lets a schedule loose on a site."""

    def __init__(self, site: Site, schedule: list[Fault]) -> None:
        self.site, self.loop, self.schedule = site, site.loop, schedule
        self.undo: list[Callable[[], None]] = []
        self.asked: dict[str, str] = {}  # at which sidecar
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
        elif fault.kind in ("lone-copy", "hung-copy"):
            self._lone_copy(fault)
        elif fault.kind in ALL:
            self._all(fault)
        elif fault.kind == "service-stalls":
            for sidecar in self.site.sidecars[fault.target // 3 * 3 :][:3]:
                self._server(fault, sidecar)
        elif fault.kind in CORE:
            control = self.site.leader() if fault.target < 0 else self.site.controls[fault.target % 3]
            self._one(fault, control, "core")
        else:
            sidecar = self.site.sidecars[fault.target % len(self.site.sidecars)]
            self._one(fault, sidecar, sidecar.ip)

    def _struck(self, fault: Fault, control: ControlNode) -> None:
        self.site.say("struck", control.ip, kind=fault.kind, state=control.state)

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
        for control in self.site.controls:
            self._struck(fault, control)
        if fault.kind == "full-disks":
            self._disks(fault, "core", "full", self.site.controls)
            return
        nodes = [n for n in self.site.machines.values() if n.machine.running]
        power = fault.kind != "all-killed" and fault.kind != "all-spread"
        if fault.kind == "all-spread":
            fault = fault._replace(last=fault.last + 1.0)
        for node in nodes:
            spread = self.loop.random.random() if fault.kind == "all-spread" else 0.0
            self.loop.after(spread, self.loop.world, self._stop, node, power)
        self._lasts(fault, "core", lambda: self._begin(*nodes))
        for sidecar in self.site.sidecars:
            self._lasts(fault, sidecar.ip, lambda: None)
        if fault.kind == "twice-power":
            again = fault.last + self.loop.random.choice(AGAIN)
            self.loop.after(again, self.loop.world, self._all, fault._replace(kind="all-power", last=RESTART))

    def _stop(self, node: ControlNode | SidecarNode, power: bool) -> None:
        if node.machine.running:
            node.stop(power=power)

    def _disks(self, fault: Fault, scope: str, name: str, controls: list[ControlNode]) -> None:
        """Hung or full."""
        for control in controls:
            setattr(control.disk, name, True)

        def well() -> None:
            for control in controls:
                setattr(control.disk, name, False)

        self._lasts(fault, scope, well)

    def _begin(self, *nodes: ControlNode | SidecarNode) -> None:
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
                    self._soon(self._all, now)
                elif then in CORE:
                    told = next((f for f in self.site.controls if f.ip == event.who), self.site.leader())
                    self._soon(self._one, now, self.loop.random.choice((told, self.site.leader())), "core")
                else:
                    self._one(now, self._asker(event), self._asker(event).ip)

        self._listen(ear)

    def _listen(self, ear: Callable[[Event], None]) -> None:
        ears = self.site.history.ears
        ears.append(ear)
        self.loop.after(WAITS, self.loop.world, lambda: ears.remove(ear) if ear in ears else None)

    def _soon(self, call: Callable[..., None], *args: object) -> None:
        """At once, or within 4 ms."""
        self.loop.after(self.loop.random.choice((0.0, 0.001, 0.004)), self.loop.world, call, *args)

    def _asker(self, event: Event) -> SidecarNode:
        """The sidecar that has claimed, or that sent what arrived."""
        ip = event.who if event.what == "claim" else self.asked[event.data["id"]]
        return next(sidecar for sidecar in self.site.sidecars if sidecar.ip == ip)

    def _note(self, event: Event) -> None:
        if event.what == "asked":
            self.asked[event.data["id"]] = event.who

    def _one(self, fault: Fault, node: ControlNode | SidecarNode, scope: str) -> None:
        kind = fault.kind.rpartition("-")[0] if fault.kind.endswith(("-control", "-sidecar")) else fault.kind
        machine, network = node.machine, self.site.network
        if not machine.running and not kind.startswith("server"):
            return
        if isinstance(node, ControlNode):
            self._struck(fault, node)
        if isinstance(node, ControlNode) and (kind in LOSSES or kind == "image-power"):
            self._lose(fault, node, kind)
        elif kind in ("kill", "power"):
            node.stop(power=kind != "kill")
            fault = fault._replace(last=max(fault.last, RESTART))
            self._lasts(fault, scope, lambda: self._begin(node))
        elif kind.startswith("write-"):
            self._at_write(fault)
        elif kind == "freeze":
            self.loop.freeze(machine)
            life = machine.life
            self._lasts(fault, scope, lambda: self.loop.thaw(machine) if machine.life == life else None)
        elif kind == "leave" and isinstance(node, SidecarNode):
            self._leave(fault, node)
        elif kind == "slow":
            machine.lag = 0.05
            self._lasts(fault, scope, lambda: setattr(machine, "lag", 0.0))
        elif kind == "reset":
            network.reset(machine)
            self._lasts(fault._replace(last=0.0), scope, lambda: None)
        elif isinstance(node, ControlNode) and kind in ("hang-disk", "full-disk"):
            self._disks(fault, scope, "hung" if kind == "hang-disk" else "full", [node])
        elif isinstance(node, SidecarNode) and kind.startswith("server"):
            self._server(fault, node)
        else:
            self._cut(fault, node, kind, scope)

    def _lose(self, fault: Fault, control: ControlNode, kind: str) -> None:
        """Its disk is lost with its power; only where all hold what was agreed: else it is one too many."""
        if not self.site.taken_in():
            self.site.say("unsynced", control.ip)
            return
        control.stop(power=True)
        control.disk.wipe(LOSSES.get(kind, Condition.EMPTY))
        last = FLASH if kind == "swap" else RESTART if kind == "image-power" else max(fault.last, RESTART)
        self._lasts(fault._replace(last=last), "core", lambda: self._begin(control))
        if kind == "image-power":
            self._at_snapshot(fault, control, self.loop.now + WAITS)

    def _at_snapshot(self, fault: Fault, control: ControlNode, until: float) -> None:
        """Power is lost where an image is half sent, at either end."""
        if control.has_partial_snapshot:
            node = self.loop.random.choice((control, self.site.leader()))
            self._one(fault._replace(kind="power-control"), node, "core")
        elif self.loop.now < until:
            self.loop.after(0.002, self.loop.world, self._at_snapshot, fault, control, until)

    def _at_write(self, fault: Fault) -> None:
        """The leader has a write under way: it freezes, and the write is done when it wakes or before; or
        its power is lost.
        """
        writes, until = self.site.writes, self.loop.now + WAITS

        def ear(control: ControlNode) -> None:
            if not control.leads or self.loop.now > until:
                return
            writes.remove(ear)
            if fault.kind == "write-power":
                self._soon(self._one, fault._replace(kind="power-control"), control, "core")
                return
            self._one(fault._replace(kind="freeze-control"), control, "core")
            if self.loop.random.random() < 0.5:
                self._disks(fault._replace(last=fault.last + 0.1), "core", "hung", [control])

        writes.append(ear)

    def _lone_copy(self, fault: Fault) -> None:
        """One control node is cut off; of the two that acknowledge a change one loses its disk and is back
        at once,
        the other its power. What comes back has to wait for that one's copy. `hung-copy`: the leader's
        disk hangs instead, and nothing may be acknowledged at all.
        """
        leader = self.site.leader()
        if not self.site.taken_in():
            self.site.say("unsynced", leader.ip)
            return
        others = [control for control in self.site.controls if control is not leader]
        self.loop.random.shuffle(others)
        lone, keeper = others
        hung = fault.kind == "hung-copy"
        network, since = self.site.network, self.loop.now + (0.0 if hung else 0.3)
        if hung:
            self._struck(fault, leader)
            self._disks(fault._replace(last=WAITS), "core", "hung", [leader])
        cuts = [pair for o in (leader, keeper) for pair in ((lone.ip, o.ip), (o.ip, lone.ip))]
        for pair in cuts:
            network.cut(*pair)
        self._lasts(fault._replace(last=WAITS), "core", lambda: network.heal(cuts))

        def ear(event: Event) -> None:
            if event.what != "verdict" or event.data["status"] != 200 or event.at < since:
                return
            self.site.history.ears.remove(ear)
            if not hung:
                self._struck(fault, leader)
                self._struck(fault, keeper)
            for control in (leader, keeper):
                self._stop(control, True)
            if not hung:
                leader.disk.wipe()
            network.heal(cuts)
            self._lasts(fault._replace(last=FLASH), "core", lambda: self._begin(leader))
            self._lasts(fault._replace(last=fault.last + 1.0), "core", lambda: self._begin(keeper))

        self._listen(ear)

    def _leave(self, fault: Fault, sidecar: SidecarNode) -> None:
        """SIGTERM, and the end of its process once nothing is open."""
        began, life = self.loop.now, sidecar.machine.life
        sidecar.leave()

        def look() -> None:
            if sidecar.machine.life == life and sidecar.machine.running:
                if sidecar.may_end(began):
                    self.site.say("left", sidecar.ip)
                    sidecar.stop()
                else:
                    self.loop.after(0.1, self.loop.world, look)

        def ended() -> None:
            if sidecar.machine.life == life and sidecar.machine.running:  # all is healed early
                sidecar.stop()
            self._begin(sidecar)

        look()
        self._lasts(fault._replace(last=GRACE + 0.3), sidecar.ip, ended)

    def _cut(self, fault: Fault, node: ControlNode | SidecarNode, kind: str, scope: str) -> None:
        network = self.site.network
        others = [ip for ip in self.site.machines if ip != node.ip]
        if kind == "pair":
            others = [others[len(others) // 2]]
        elif kind == "control-lost":
            others = [control.ip for control in self.site.controls]
        pairs = [(ip, node.ip) for ip in others if kind != "mute"]
        pairs += [(node.ip, ip) for ip in others if kind != "deaf"]
        new = [pair for pair in pairs if pair not in network.cuts]
        for pair in new:
            network.cut(*pair)
        self._lasts(fault, scope, lambda: network.heal(new))
        if kind == "pair" and others[0] not in (scope, *(f.ip for f in self.site.controls)):
            self._lasts(fault, others[0], lambda: None)

    def _server(self, fault: Fault, sidecar: SidecarNode) -> None:
        server, loop = sidecar.server, self.loop
        self.site.say("server trouble", sidecar.ip, kind=fault.kind)
        if fault.kind.endswith("stalls"):
            server.stalled_until = loop.now + fault.last
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
            loop.after(max(fault.last, 1.0), loop.world, self._left, sidecar, server.number)

    def _left(self, sidecar: SidecarNode, number: int) -> None:
        server = sidecar.server
        if server.up and server.number == number:
            server.leave()
            server.crash()
            self.loop.after(0.3, self.loop.world, server.start)
