"""A small simulated site that runs the real programs: three control nodes, and six sidecars with one server
each.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from minthitch.mesh.configuration.schema import ROUTES
from minthitch.mesh.configuration.settings import (
    Bind,
    Bounds,
    Infra,
    Net,
    NodeSettings,
    SelfSettings,
    Terms,
    Tolerate,
)
from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.control.state_machine import StateMachine
from minthitch.mesh.idempotency.server_runs import SERVER_KEY_PREFIX
from minthitch.mesh.sidecar.control_links import OnClaimed
from minthitch.mesh.sidecar.shutdown_schedule import ShutdownSchedule
from minthitch.mesh.sidecar.sidecar import Sidecar
from minthitch.mesh.storage.store import Store
from minthitch.mesh.storage.writer import StorageWriter
from minthitch.mesh.transport.connection import Connection
from rigs.simulation.disk import SimDisk, SimStore, SimWriter
from rigs.simulation.history import History
from rigs.simulation.loop import Machine, VirtualLoop
from rigs.simulation.network import Network
from rigs.simulation.servers import Server, SimServerPool

PORT = 9000
ZONES = ("a", "b", "c")
CONTROLS = tuple(f"10.0.{zone}.1" for zone in range(3))  # the seeds, which form the initial group
SPARES = ("10.0.0.2", "10.0.1.2")  # further control nodes, which wait to replace a voter
SIDECARS = tuple(f"10.0.{zone}.{place}" for place in (11, 12) for zone in range(3))
SERVICES = ("shop", "bank")  # of the first and of the second sidecar in each zone
HOST = "mesh.test"
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 6.0, 10.0
KEY_WINDOW_S = 3.0  # short enough that claims expire more than once in a day
GRACE_S = 6.0
CLAIM_MARGIN_S = 3.0  # slightly longer than a client waits
BOUNDS = Bounds(
    retry_ratio=RETRY_RATIO,
    retry_slack=RETRY_SLACK,
    retry_win_s=RETRY_WINDOW_S,
    key_win_s=KEY_WINDOW_S,
    grace_s=GRACE_S,
)


def zone_of(ip: str) -> str:
    return ZONES[int(ip.split(".")[2])]


class Node:
    """A machine and the program that it runs."""

    def __init__(self, site: Site, ip: str) -> None:
        self.site, self.loop, self.ip = site, site.loop, ip
        self.machine = Machine(ip, round(site.loop.random.uniform(0.0, 1000.0), 3))
        site.network.add(ip, zone_of(ip), self.machine)
        self.starts = 0

    def boot(self, own: SelfSettings) -> NodeSettings:
        seeds = tuple(f"{ip}:8000" for ip in CONTROLS)
        return NodeSettings(
            own=own,
            net=Net(port_range=(PORT, PORT + 9), seeds=seeds, bind=Bind()),
            infra=Infra(),
            terms=Terms(tolerate=Tolerate(hw=1), bounds=BOUNDS),
        )

    def start(self) -> None:
        self.machine.running = self.machine.powered = True
        self.starts += 1
        self.site.network.resume_stuck()
        self.loop.on(self.machine, self.begin)

    def begin(self) -> None:
        raise NotImplementedError

    def stop(self, power: bool = False) -> None:
        """Kills the process, or cuts the power of the machine."""
        self.on_stopped(power)
        self.machine.powered = not power
        self.loop.end(self.machine)
        self.site.network.close_connections(self.machine)

    def on_stopped(self, power: bool) -> None:
        pass


class ControlNode(Node):
    shutdown_s = 1.3  # maximum duration of a shutdown after SIGTERM

    def __init__(self, site: Site, ip: str) -> None:
        super().__init__(site, ip)
        self.disk = SimDisk(site.sync_s)
        self.server: ControlServer | None = None
        self.leaving = False  # after SIGTERM: calls are refused
        self.writer: SimWriter | None = None

    def begin(self) -> None:
        own = SelfSettings(
            node=self.ip, mclass="core", ip=self.ip, az=zone_of(self.ip), region="r", init=self.starts == 1
        )
        server = self.server = self.site.make_control(
            self.boot(own), cast(Store, SimStore(self.disk)), self._make_writer, self.loop.time
        )
        self._watch_state(server.state)
        self.site.network.listen(self.machine, lambda: Connection(server), self.ip, PORT)
        self.loop.call_later(0.05, self._poll_stop_requested, server)

    def _make_writer(self, store: Any, done: Any, trouble: Any, clock: Any) -> StorageWriter:
        self.writer = SimWriter(self.loop, self.machine, self.disk, done, trouble, self._on_write)
        return cast(StorageWriter, self.writer)

    def _watch_state(self, state: StateMachine) -> None:
        """Records when a snapshot was restored, and when the leader expired claims."""
        restore, rotate = state.restore, state.claims.rotate

        def restored(snapshot: bytes) -> None:
            restore(snapshot)
            self.site.record("image", self.ip, size=len(snapshot))

        def rotated() -> None:
            rotate()
            if self.leads:
                self.site.record("rotated", self.ip)

        state.restore, state.claims.rotate = restored, rotated  # type: ignore[method-assign]

    def _on_write(self) -> None:
        for listener in list(self.site.writes):
            listener(self)

    def _poll_stop_requested(self, server: ControlServer) -> None:
        """Ends the process once the server has found an invariant violated, as the real program does."""
        if server.stop_requested.is_set():
            self.site.record("fault", self.ip, why=f"ended by itself: {server.failure!r}")
            self.loop.after(0.0, self.loop.world, self.stop)
            self.loop.after(1.0, self.loop.world, self.start)
            return
        self.loop.call_later(0.05, self._poll_stop_requested, server)

    def leave(self) -> None:
        """Starts the shutdown as the real program does on SIGTERM; a second signal has no effect."""
        if self.server is not None and not self.leaving:
            self.leaving = True
            self.loop.after(0.0, self.machine, self.server.begin_shutdown)

    def may_end(self, began: float) -> bool:
        return self.server is None or self.server.may_end.is_set()

    def on_stopped(self, power: bool) -> None:
        self.leaving = False
        if self.writer is not None:
            self.writer.abort(self.site.write_survival_probability if power else 0.5)
        self.server = self.writer = None

    @property
    def leads(self) -> bool:
        return self.server is not None and self.server.raft.role == "leader"

    @property
    def state(self) -> str:
        """The role or condition of the node, which is recorded when a fault hits it."""
        if self.server is None:
            return "down"
        core = self.server.raft
        if core.role in ("leader", "learner"):
            return core.role
        if core.role == "candidate":
            return "standing"
        in_contact = (
            core.in_contact_with_quorum(self.loop.now + self.machine.offset)
            and core.last_applied >= core.commit_index > 0
        )
        return "follower" if in_contact else "recovering"

    @property
    def has_partial_snapshot(self) -> bool:
        """Whether it has received a part of a leader's snapshot."""
        return self.server is not None and self.server.raft.follower.incoming_snapshot is not None


class SidecarNode(Node):
    shutdown_s = GRACE_S

    def __init__(self, site: Site, ip: str, service: str) -> None:
        super().__init__(site, ip)
        self.service = service
        self.front: Sidecar | None = None
        self.server = Server(site, self)
        self.clients: dict[Any, None] = {}  # in order of arrival

    def begin(self) -> None:
        own = SelfSettings(
            node=self.ip,
            mclass="sidecar",
            ip=self.ip,
            az=zone_of(self.ip),
            region="r",
            upstream="127.0.0.1:8080",
            svc=self.service,
        )
        server_pool = SimServerPool(self.loop, self.server, self.machine)
        front = self.front = self.site.make_front(self.boot(own), 1_000 + self.starts, server_pool)
        # Its default seed depends on Python's randomized string hash.
        front.random.seed(self.loop.random.getrandbits(32))
        told = front.on_update

        def changed(config: bool, records: bool) -> None:
            told(config, records)
            if config and front.table is not None:
                self._record_table(front)

        front.on_update = changed  # type: ignore[method-assign]
        self._watch_claims(front)
        self.site.network.listen(self.machine, lambda: Connection(front), self.ip, PORT)
        self.site.record("start", self.ip)

    def _watch_claims(self, front: Sidecar) -> None:
        claim, life = front.controls.claim, self.machine.life

        def watched(body: tuple[Any, ...], deadline: float, done: OnClaimed) -> None:
            def told(verdict: str, owner: str, name: bytes, digest: bytes) -> None:
                what = "server-claim" if body[0].startswith(SERVER_KEY_PREFIX) else "claim"
                self.site.record(what, self.ip, key=body[0].hex(), verdict=verdict, owner=owner)
                if self.machine.life == life:  # otherwise the recorded event triggered a kill
                    done(verdict, owner, name, digest)

            claim(body, deadline, told)

        front.controls.claim = watched  # type: ignore[method-assign]

    def _record_table(self, front: Sidecar) -> None:
        rows = {
            row.name: (row.version, row.body is not None)
            for row in front.controls.replica._rows.values()
            if row.section == ROUTES
        }
        self.site.record("table", self.ip, life=self.starts, index=front.controls.replica.index, rows=rows)

    def leave(self) -> None:
        """Starts the shutdown as the real program does on SIGTERM; a second signal has no effect."""
        if self.front is not None and not self.front.leaving:
            schedule = ShutdownSchedule(self.loop.now + self.machine.offset, GRACE_S)
            self.loop.after(0.0, self.machine, self.front.begin_shutdown, schedule)

    def may_end(self, began: float) -> bool:
        idle = self.front is None or not self.front.open_count()
        return ShutdownSchedule(began, GRACE_S).may_end(self.loop.now, idle)

    def on_stopped(self, power: bool) -> None:
        self.front = None
        self.server.reset_requests()
        for client in list(self.clients):
            client.reset()
        self.clients.clear()


MakeControl = Callable[..., ControlServer]
MakeFront = Callable[..., Sidecar]


class Site:
    """All machines, the network and the history, on one loop."""

    def __init__(
        self,
        seed: int,
        make_control: MakeControl = ControlServer,
        make_front: MakeFront = Sidecar,
        controls: tuple[str, ...] = CONTROLS,
        make_network: Callable[[VirtualLoop], Network] = Network,
    ) -> None:
        self.loop = VirtualLoop(seed)
        self.random = self.loop.random
        self.history = History()
        self.loop.failures = lambda who, what: self.record("fault", who, why=what)
        self.network = make_network(self.loop)
        self.make_control, self.make_front = make_control, make_front
        # Range of the duration of a disk write.
        self.sync_s = self.random.choice(((0.002, 0.012), (0.01, 0.06)))
        # Probability that a write in flight at a power loss reaches the disk.
        self.write_survival_probability = self.random.choice((0.0, 0.0, 0.5, 1.0))
        self.controls = [ControlNode(self, ip) for ip in controls]
        self.sidecars = [SidecarNode(self, ip, SERVICES[n // 3]) for n, ip in enumerate(SIDECARS)]
        nodes: list[ControlNode | SidecarNode] = [*self.controls, *self.sidecars]
        self.machines = {node.ip: node for node in nodes}
        # Listeners that are called when a control node starts a disk write.
        self.writes: list[Callable[[ControlNode], None]] = []

    def record(self, what: str, who: str, **data: Any) -> None:
        self.history.add(self.loop.now, what, who, **data)

    def start(self, failure_rate: float | None = None) -> None:
        drawn = self.random.choice((0.0, 0.02, 0.12))
        for sidecar in self.sidecars:
            sidecar.server.failure_rate = drawn if failure_rate is None else failure_rate
        for node in self.machines.values():
            self.loop.after(self.random.uniform(0.0, 0.3), self.loop.world, node.start)
        for sidecar in self.sidecars:
            self.loop.after(self.random.uniform(0.3, 0.6), self.loop.world, sidecar.server.start)

    def leader(self) -> ControlNode:
        return next((f for f in self.controls if f.leads and not f.machine.frozen), self.controls[0])

    def replicas_up_to_date(self) -> bool:
        """Whether every voter runs with its own disk, and the membership is committed and on every voter's
        disk.

        The number of voters must equal the initial one, also if there are spare nodes.
        """
        core = next(
            (
                f.server.raft
                for f in self.controls
                if f.server is not None
                and f.leads
                and f.server.raft.has_lease(self.loop.now + f.machine.offset)
            ),
            None,
        )
        if core is None:
            return False
        named = {f.server.raft.name: f for f in self.controls if f.server is not None}
        return (
            len(core.voters) == len(CONTROLS)
            and set(core.voters) <= named.keys()
            and core.log.voters_index <= core.commit_index
            and all(named[voter].disk.voters == core.voters for voter in core.voters)
        )
