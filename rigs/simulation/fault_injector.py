"""Injects the faults of a schedule into a simulated site."""

from __future__ import annotations

from collections.abc import Callable

from minthitch.mesh.storage.store import Condition
from rigs.simulation.history import Event
from rigs.simulation.mesh import ControlNode, SidecarNode, Site
from rigs.simulation.schedule import (
    ALL,
    CONTROL_WORK,
    CORE,
    DISK_SWAP_S,
    EVENT_TIMEOUT_S,
    LOSSES,
    RESTART_S,
    SECOND_LOSS_DELAYS_S,
    TRIGGERS,
    Fault,
)


class FaultInjector:
    """Injects each fault of a schedule at its time, and ends it when its duration is over."""

    def __init__(self, site: Site, schedule: list[Fault]) -> None:
        self.site, self.loop, self.schedule = site, site.loop, schedule
        self.undo: list[Callable[[], None]] = []
        self.sender_of: dict[str, str] = {}  # request id: address of the sidecar that sent it
        site.history.listeners.append(self._remember_sender)

    def start(self) -> None:
        """Schedules all faults."""
        for fault in self.schedule:
            self.loop.after(fault.at, self.loop.world, self._inject, fault)

    def heal(self) -> None:
        """Ends all faults that are still active."""
        self.site.history.listeners.clear()
        undo, self.undo = self.undo, []
        for call in undo:
            call()
        self.site.record("healed", "world")

    def _inject(self, fault: Fault) -> None:
        if fault.kind in TRIGGERS:
            self._inject_at_event(fault)
        elif fault.kind in ("lone-copy", "hung-copy"):
            self._leave_one_replica(fault)
        elif fault.kind in ALL:
            self._fail_all(fault)
        elif fault.kind == "service-stalls":
            for sidecar in self.site.sidecars[fault.target // 3 * 3 :][:3]:
                self._fail_server(fault, sidecar)
        elif fault.kind in (*CORE, *CONTROL_WORK):
            control = self.site.leader() if fault.target < 0 else self.site.controls[fault.target % 3]
            self._fail_one(fault, control, "core")
        else:
            sidecar = self.site.sidecars[fault.target % len(self.site.sidecars)]
            self._fail_one(fault, sidecar, sidecar.ip)

    def _record(self, fault: Fault, control: ControlNode) -> None:
        self.site.record("struck", control.ip, kind=fault.kind, state=control.state)

    def _keep_active(self, fault: Fault, scope: str, end: Callable[[], None]) -> None:
        """Calls `end` once: when its duration is over, or when all faults are ended."""
        self.site.record("trouble", scope, kind=fault.kind)

        def ended() -> None:
            end()
            self.site.record("well", scope, kind=fault.kind)

        def due() -> None:
            if ended in self.undo:
                self.undo.remove(ended)
                ended()

        self.undo.append(ended)
        self.loop.after(fault.duration, self.loop.world, due)

    def _fail_all(self, fault: Fault) -> None:
        for control in self.site.controls:
            self._record(fault, control)
        if fault.kind == "full-disks":
            self._break_disks(fault, "core", "full", self.site.controls)
            return
        nodes = [n for n in self.site.machines.values() if n.machine.running]
        power = fault.kind != "all-killed" and fault.kind != "all-spread"
        if fault.kind == "all-spread":
            fault = fault._replace(duration=fault.duration + 1.0)
        for node in nodes:
            spread = self.loop.random.random() if fault.kind == "all-spread" else 0.0
            self.loop.after(spread, self.loop.world, self._stop, node, power)
        self._keep_active(fault, "core", lambda: self._start(*nodes))
        for sidecar in self.site.sidecars:
            self._keep_active(fault, sidecar.ip, lambda: None)
        if fault.kind == "twice-power":
            again = fault.duration + self.loop.random.choice(SECOND_LOSS_DELAYS_S)
            self.loop.after(
                again, self.loop.world, self._fail_all, fault._replace(kind="all-power", duration=RESTART_S)
            )

    def _stop(self, node: ControlNode | SidecarNode, power: bool) -> None:
        if node.machine.running:
            node.stop(power=power)

    def _break_disks(self, fault: Fault, scope: str, name: str, controls: list[ControlNode]) -> None:
        """Sets the flag `name` of the disks, `hung` or `full`, until the fault ends."""
        for control in controls:
            setattr(control.disk, name, True)

        def repair() -> None:
            for control in controls:
                setattr(control.disk, name, False)

        self._keep_active(fault, scope, repair)

    def _start(self, *nodes: ControlNode | SidecarNode) -> None:
        for node in nodes:
            if not node.machine.running:
                node.start()

    def _inject_at_event(self, fault: Fault) -> None:
        """Injects the fault when its triggering event is recorded."""
        trigger = TRIGGERS[fault.kind]

        def listener(event: Event) -> None:
            if event.what == trigger.event and trigger.text in str(event.data):
                self.site.history.listeners.remove(listener)
                now = fault._replace(kind=trigger.kind)
                if trigger.kind in ALL:
                    self._call_soon(self._fail_all, now)
                elif trigger.kind in CORE:
                    origin = next((f for f in self.site.controls if f.ip == event.who), self.site.leader())
                    target = self.loop.random.choice((origin, self.site.leader()))
                    self._call_soon(self._fail_one, now, target, "core")
                else:
                    sidecar = self._sender(event)
                    self._fail_one(now, sidecar, sidecar.ip)

        self._subscribe(listener)

    def _subscribe(self, listener: Callable[[Event], None]) -> None:
        listeners = self.site.history.listeners
        listeners.append(listener)

        def unsubscribe() -> None:
            if listener in listeners:
                listeners.remove(listener)

        self.loop.after(EVENT_TIMEOUT_S, self.loop.world, unsubscribe)

    def _call_soon(self, call: Callable[..., None], *args: object) -> None:
        """Schedules a call at once, or after 1 or 4 ms."""
        self.loop.after(self.loop.random.choice((0.0, 0.001, 0.004)), self.loop.world, call, *args)

    def _sender(self, event: Event) -> SidecarNode:
        """The sidecar that made the claim, or that sent the request that arrived."""
        ip = event.who if event.what == "claim" else self.sender_of[event.data["id"]]
        return next(sidecar for sidecar in self.site.sidecars if sidecar.ip == ip)

    def _remember_sender(self, event: Event) -> None:
        if event.what == "asked":
            self.sender_of[event.data["id"]] = event.who

    def _fail_one(self, fault: Fault, node: ControlNode | SidecarNode, scope: str) -> None:
        kind = fault.kind.rpartition("-")[0] if fault.kind.endswith(("-control", "-sidecar")) else fault.kind
        machine, network = node.machine, self.site.network
        if not machine.running and not kind.startswith("server"):
            return
        if isinstance(node, ControlNode):
            self._record(fault, node)
        if isinstance(node, ControlNode) and (kind in LOSSES or kind == "image-power"):
            self._lose_disk(fault, node, kind)
        elif kind in ("kill", "power"):
            node.stop(power=kind != "kill")
            fault = fault._replace(duration=max(fault.duration, RESTART_S))
            self._keep_active(fault, scope, lambda: self._start(node))
        elif kind.startswith("write-"):
            self._inject_at_write(fault)
        elif kind == "freeze":
            self.loop.freeze(machine)
            life = machine.life
            self._keep_active(fault, scope, lambda: self.loop.thaw(machine) if machine.life == life else None)
        elif kind == "leave":
            self._shut_down(fault, node, scope)
        elif kind == "slow":
            machine.lag = 0.05
            self._keep_active(fault, scope, lambda: setattr(machine, "lag", 0.0))
        elif kind == "reset":
            network.reset(machine)
            self._keep_active(fault._replace(duration=0.0), scope, lambda: None)
        elif isinstance(node, ControlNode) and kind in ("hang-disk", "full-disk"):
            self._break_disks(fault, scope, "hung" if kind == "hang-disk" else "full", [node])
        elif isinstance(node, SidecarNode) and kind.startswith("server"):
            self._fail_server(fault, node)
        else:
            self._partition(fault, node, kind, scope)

    def _lose_disk(self, fault: Fault, control: ControlNode, kind: str) -> None:
        """Cuts the power and loses the disk, but only while all replicas are up to date."""
        if not self.site.replicas_up_to_date():
            self.site.record("unsynced", control.ip)
            return
        control.stop(power=True)
        control.disk.wipe(LOSSES.get(kind, Condition.EMPTY))
        duration = max(fault.duration, RESTART_S)
        if kind == "swap":
            duration = DISK_SWAP_S
        elif kind == "image-power":
            duration = RESTART_S
        self._keep_active(fault._replace(duration=duration), "core", lambda: self._start(control))
        if kind == "image-power":
            self._power_loss_in_snapshot(fault, control, self.loop.now + EVENT_TIMEOUT_S)

    def _power_loss_in_snapshot(self, fault: Fault, control: ControlNode, until: float) -> None:
        """Cuts the power of the sender or the receiver while a snapshot is partly transferred."""
        if control.has_partial_snapshot:
            node = self.loop.random.choice((control, self.site.leader()))
            self._fail_one(fault._replace(kind="power-control"), node, "core")
        elif self.loop.now < until:
            self.loop.after(0.002, self.loop.world, self._power_loss_in_snapshot, fault, control, until)

    def _inject_at_write(self, fault: Fault) -> None:
        """Freezes the leader during a disk write, which completes before or after it wakes, or cuts its
        power.
        """
        writes, until = self.site.writes, self.loop.now + EVENT_TIMEOUT_S

        def listener(control: ControlNode) -> None:
            if not control.leads or self.loop.now > until:
                return
            writes.remove(listener)
            if fault.kind == "write-power":
                self._call_soon(self._fail_one, fault._replace(kind="power-control"), control, "core")
                return
            self._fail_one(fault._replace(kind="freeze-control"), control, "core")
            if self.loop.random.random() < 0.5:
                self._break_disks(fault._replace(duration=fault.duration + 0.1), "core", "hung", [control])

        writes.append(listener)

    def _leave_one_replica(self, fault: Fault) -> None:
        """One control node is isolated; of the two that acknowledge a change one loses its disk.

        That one is back at once. The other loses its power, and the rest have to wait for its replica.
        `hung-copy`: the leader's disk hangs instead, and nothing may be acknowledged at all.
        """
        leader = self.site.leader()
        if not self.site.replicas_up_to_date():
            self.site.record("unsynced", leader.ip)
            return
        others = [control for control in self.site.controls if control is not leader]
        self.loop.random.shuffle(others)
        isolated, second = others
        hung = fault.kind == "hung-copy"
        network, since = self.site.network, self.loop.now + (0.0 if hung else 0.3)
        if hung:
            self._record(fault, leader)
            self._break_disks(fault._replace(duration=EVENT_TIMEOUT_S), "core", "hung", [leader])
        cuts = [pair for o in (leader, second) for pair in ((isolated.ip, o.ip), (o.ip, isolated.ip))]
        for pair in cuts:
            network.cut(*pair)
        self._keep_active(fault._replace(duration=EVENT_TIMEOUT_S), "core", lambda: network.heal(cuts))

        def listener(event: Event) -> None:
            if event.what != "verdict" or event.data["status"] != 200 or event.at < since:
                return
            self.site.history.listeners.remove(listener)
            if not hung:
                self._record(fault, leader)
                self._record(fault, second)
            for control in (leader, second):
                self._stop(control, True)
            if not hung:
                leader.disk.wipe()
            network.heal(cuts)
            self._keep_active(fault._replace(duration=DISK_SWAP_S), "core", lambda: self._start(leader))
            self._keep_active(
                fault._replace(duration=fault.duration + 1.0), "core", lambda: self._start(second)
            )

        self._subscribe(listener)

    def _shut_down(self, fault: Fault, node: ControlNode | SidecarNode, scope: str) -> None:
        """Sends SIGTERM, ends the process as soon as it may end, and starts it again."""
        began, life = self.loop.now, node.machine.life
        self.site.record("sigterm", node.ip)
        node.leave()

        def end_when_idle() -> None:
            if node.machine.life == life and node.machine.running:
                if node.may_end(began):
                    self.site.record("left", node.ip)
                    node.stop()
                else:
                    self.loop.after(0.1, self.loop.world, end_when_idle)

        def ended() -> None:
            if node.machine.life == life and node.machine.running:  # all faults are ended early
                node.stop()
            self._start(node)

        end_when_idle()
        self._keep_active(fault._replace(duration=node.shutdown_s + RESTART_S), scope, ended)

    def _partition(self, fault: Fault, node: ControlNode | SidecarNode, kind: str, scope: str) -> None:
        network = self.site.network
        others = [ip for ip in self.site.machines if ip != node.ip]
        if kind == "pair":
            others = [others[len(others) // 2]]
        elif kind == "control-lost":
            others = [control.ip for control in self.site.controls]
        pairs = [(ip, node.ip) for ip in others if kind != "mute"]
        pairs += [(node.ip, ip) for ip in others if kind != "deaf"]
        new = network.partition(pairs)
        self._keep_active(fault, scope, lambda: network.heal(new))
        if kind == "pair" and others[0] not in (scope, *(f.ip for f in self.site.controls)):
            self._keep_active(fault, others[0], lambda: None)

    def _fail_server(self, fault: Fault, sidecar: SidecarNode) -> None:
        server, loop = sidecar.server, self.loop
        self.site.record("server trouble", sidecar.ip, kind=fault.kind)
        if fault.kind.endswith("stalls"):
            server.stalled_until = loop.now + fault.duration
        elif not server.up:
            return
        elif fault.kind == "server-crash":
            server.crash()
            loop.after(fault.duration, loop.world, server.start)
        elif fault.kind == "server-replaced":
            server.crash()
            server.start()
        else:
            server.drain()
            loop.after(max(fault.duration, 1.0), loop.world, self._end_drained, sidecar, server.number)

    def _end_drained(self, sidecar: SidecarNode, number: int) -> None:
        server = sidecar.server
        if server.up and server.number == number:
            server.leave()
            server.crash()
            self.loop.after(0.3, self.loop.world, server.start)
