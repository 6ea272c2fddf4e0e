"""Many sidecars with three control nodes in virtual time: measures traffic and processor time.

The control nodes are complete, with consensus and disks. Of the sidecars only the part that talks to
control nodes runs. All receive every message, but only a few keep the list of servers, so that a thousand
fit into memory. Processor time is that of this process in a machine's callbacks, with simulated writes
instead of system calls.
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import pairwise
from statistics import median
from typing import Any, NamedTuple
from unittest import mock

from minthitch.mesh.control.server import ControlServer
from minthitch.mesh.registry.merged_views import MergedViews
from minthitch.mesh.registry.registry import RegistryDelta
from minthitch.mesh.sidecar.control_links import ControlLinks
from minthitch.mesh.sidecar.peer import Peer
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.framing import MAX_FRAME_PAYLOAD
from rigs.simulation.history import History
from rigs.simulation.loop import VirtualLoop, _Scheduled
from rigs.simulation.mesh import CONTROLS, PORT, ZONES, ControlNode, Node, Site, zone_of
from rigs.simulation.network import End, Network

LIST_KEEPERS = 20  # number of sidecars that keep the list of servers
MAX_HEARTBEAT_BYTES = 12  # a write up to this size is a heartbeat of the connection
SERVICES = 4
SYNC_S = 0.005, 0.01  # duration of a write to a control node's disk
# Seconds from the start; the sidecars start within START_SPREAD_S.
CONFIGURED_AT_S, SIDECARS_START_AT_S, START_SPREAD_S = 1.5, 2.0, 1.0
SETTLED_AT_S = 7.0  # from the start until the site is idle


class Usage(NamedTuple):
    """Traffic and processor time of one machine, or the mean of several."""

    messages_in: float
    messages_out: float
    heartbeats_out: float
    bytes_in: float
    bytes_out: float
    busy: float  # seconds of processor time

    def minus(self, other: Usage) -> Usage:
        return Usage(*(a - b for a, b in zip(self, other, strict=True)))

    def divided_by(self, number: float) -> Usage:
        return Usage(*(a / number for a in self))


class _Loop(VirtualLoop):
    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.busy: Counter[str] = Counter()

        self.clock_overhead_ns = _clock_overhead_ns()

    def _step(self, due: _Scheduled) -> None:
        began = time.process_time_ns()
        super()._step(due)
        self.busy[due.machine.name] += max(time.process_time_ns() - began - self.clock_overhead_ns, 0)


def _clock_overhead_ns() -> int:
    """Nanoseconds between two successive readings of the clock, which are many on some systems."""
    looks = [time.process_time_ns() for _ in range(2_001)]
    return int(median(b - a for a, b in pairwise(looks)))


class _Network(Network):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.sums: dict[str, Counter[str]] = defaultdict(Counter)
        self.slow_to, self.slow_by = "", 0.0  # extra delay of each full-size frame to that machine

    def send(self, end: End, item: Any) -> None:
        if isinstance(item, bytes):
            out = self.sums[end.ip]
            into = self.sums[end.peer.ip]
            is_message = len(item) > MAX_HEARTBEAT_BYTES
            out["messages_out" if is_message else "heartbeats_out"] += 1
            out["bytes_out"] += len(item)
            into["messages_in"] += is_message
            into["bytes_in"] += len(item)
            if end.peer.ip == self.slow_to and len(item) >= MAX_FRAME_PAYLOAD:  # delays all that follows too
                end.earliest_arrival = max(end.earliest_arrival, self.loop.now) + self.slow_by
        super().send(end, item)


class _RecordingViews(MergedViews):
    """Records when an awaited record arrives; keeps the list of servers only if `keeps_list`."""

    def __init__(self, sidecar: ReportingSidecar, keeps_list: bool) -> None:
        super().__init__()
        self.sidecar, self.keeps_list = sidecar, keeps_list

    def update(self, now: float, source: str, delta: RegistryDelta) -> bool:
        for record in delta.changed:
            if (record.ip, record.server_id, record.state) in self.sidecar.large_site.awaited:
                self.sidecar.large_site.record_update(self.sidecar.ip, record.ip)
        return self.keeps_list and super().update(now, source, delta)


class ReportingSidecar(Node):
    """The part of a sidecar that talks to control nodes."""

    def __init__(self, site: LargeSite, ip: str, service: str, keeps_list: bool) -> None:
        super().__init__(site, ip)
        self.large_site, self.service, self.keeps_list = site, service, keeps_list
        self.seq, self.life, self.state = 0, 1, "up"
        self.controls: ControlLinks | None = None
        self.peers: list[Peer] = []
        self.answers, self.losses, self.returned = 0, list[str](), list[int]()

    def begin(self) -> None:
        self.large_site.network.listen(self.machine, lambda: Connection(self), self.ip, PORT)
        self.controls = ControlLinks(self, PORT, f"{self.ip}/1")
        self.controls.views = _RecordingViews(self, self.keeps_list)
        self.controls.connect_to(CONTROLS)

    def lease_request(self) -> None:
        """An idle sidecar requests no lease."""

    def on_term(self, term: int) -> None:
        pass

    def on_lease(self, lease: object) -> None:
        pass

    def set_server_state(self, life: int, state: str) -> None:
        """Sets the state of its server, and reports it at once."""
        self.life, self.state = life, state
        if self.controls is not None:
            self.large_site.loop.after(0.0, self.machine, self.controls.send_report)

    def connect_to_all(self) -> None:
        """Sends a request to every other sidecar, and keeps the connections open."""
        for other in self.large_site.reporters:
            if other is not self:
                peer = Peer(self, other.ip, PORT, self.ip)
                peer.send((ops.PEER_FETCH, 0), 0, lambda parcel: None)
                self.peers.append(peer)

    # Callbacks of connections to other sidecars

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        if message[0] == ops.PEER_FETCH:
            connection.send((ops.PEER_STATE, None, ()), 0)

    def on_connection_lost(self, connection: Connection) -> None:
        pass

    def on_peer_message(self, peer: Peer, message: ops.Message) -> None:
        self.answers += 1

    def on_peer_lost(self, peer: Peer) -> None:
        self.losses.append(peer.ip)

    def on_unsent(self, idents: list[int]) -> None:
        self.returned += idents

    # Callbacks of ControlLinks

    def on_update(self, config: bool, records: bool) -> None:
        if config and self.controls is not None and self.controls.replica.index >= self.large_site.index > 0:
            self.large_site.record_update(self.ip, "config")

    def report_fields(self) -> tuple[Any, ...]:
        self.seq += 1
        return (
            self.ip,
            PORT,
            1,
            self.seq,
            zone_of(self.ip),
            self.service,
            f"{self.ip}-{self.life}",
            5,
            self.state,
            0.0,
            True,
        )

    def relay_claim(self, message: ops.Message) -> bool:
        return False

    def fetch_from_peers(self, message: ops.Message) -> None:
        pass


class LargeSite(Site):
    """A site with three control nodes and `count` sidecars."""

    def __init__(self, count: int, seed: int = 1, routes: int = 10) -> None:
        self.loop = self.metered_loop = _Loop(seed)
        self.random, self.history = self.loop.random, History()
        self.faults: list[str] = []
        self.loop.failures = lambda who, what: self.faults.append(f"{who}: {what}")
        self.network = self.metered_network = _Network(self.loop)
        self.make_control, self.sync_s = ControlServer, SYNC_S
        self.routes = routes
        self.writes = []
        self.controls = [ControlNode(self, ip) for ip in CONTROLS]
        self.reporters = [
            ReportingSidecar(self, f"10.0.{n % len(ZONES)}.{10 + n}", f"svc-{n % SERVICES}", n < LIST_KEEPERS)
            for n in range(count)
        ]
        self.awaited: set[tuple[str, str, str]] = set()
        self.index = 0
        self.first_update_at: dict[tuple[str, str], float] = {}  # by sidecar and update
        self.acknowledged = 0.0

    def begin(self) -> None:
        """Runs until all machines have started and the site is idle."""
        for control in self.controls:
            self.loop.after(0.0, self.loop.world, control.start)
        with mock.patch.object(os, "urandom", self.random.randbytes):
            self.loop.run_until(CONFIGURED_AT_S)
        self.patch(items(range(self.routes), 1))
        self.loop.run_until(SIDECARS_START_AT_S)
        for sidecar in self.reporters:
            self.loop.after(self.random.uniform(0.0, START_SPREAD_S), self.loop.world, sidecar.start)
        self.loop.run_until(SETTLED_AT_S)

    def record_update(self, sidecar: str, what: str) -> None:
        self.first_update_at.setdefault((sidecar, what), self.loop.now)

    def patch(self, body: bytes) -> None:
        control = self.leader()
        assert control.server is not None
        self.loop.after(0.0, control.machine, control.server.patch, body, self._patched)

    def _patched(self, result: tuple[Any, ...] | None) -> None:
        assert result is not None and result[0] == 200, result
        server = self.leader().server
        assert server is not None
        self.acknowledged, self.index = self.loop.now, server.state.items.index

    def usage(self, ips: tuple[str, ...] = CONTROLS) -> Usage:
        """The mean use of these machines so far."""
        sums: Counter[str] = Counter()
        for ip in ips:
            sums.update(self.metered_network.sums[ip])
        busy = sum(self.metered_loop.busy[ip] for ip in ips) / 1e9
        return Usage(
            sums["messages_in"],
            sums["messages_out"],
            sums["heartbeats_out"],
            sums["bytes_in"],
            sums["bytes_out"],
            busy,
        ).divided_by(len(ips))

    def list_keepers(self) -> tuple[str, ...]:
        return tuple(sidecar.ip for sidecar in self.reporters if sidecar.keeps_list)

    def usage_during(
        self, seconds: float, action: Callable[[], None] = lambda: None, ips: tuple[str, ...] = CONTROLS
    ) -> Usage:
        """The mean use of these machines in the given time after an action."""
        before = self.usage(ips)
        action()
        self.loop.run_until(self.loop.now + seconds)
        return self.usage(ips).minus(before)

    # Actions

    def connect_to_all(self, count: int) -> tuple[str, ...]:
        """Connects the last `count` sidecars to every other one; returns their addresses."""
        for sidecar in self.reporters[-count:]:
            self.loop.after(0.0, sidecar.machine, sidecar.connect_to_all)
        return tuple(sidecar.ip for sidecar in self.reporters[-count:])

    def drain(self) -> None:
        """Changes the state of one server to draining."""
        self._set_states(self.reporters[:1], "draining", 0.0)

    def replace(self, service: str, spread: float) -> None:
        """Replaces all servers of a service by new incarnations within `spread` seconds."""
        self._set_states([v for v in self.reporters if v.service == service], "up", spread)

    def _set_states(self, sidecars: list[ReportingSidecar], state: str, spread: float) -> None:
        self.first_update_at.clear()
        self.acknowledged = self.loop.now
        self.awaited = set()
        for sidecar in sidecars:
            life = sidecar.life + (state == "up")
            self.awaited.add((sidecar.ip, f"{sidecar.ip}-{life}", state))
            self.loop.after(
                self.random.uniform(0.0, spread), self.loop.world, sidecar.set_server_state, life, state
            )

    def change(self) -> None:
        """Changes one item of the configuration."""
        self.first_update_at.clear()
        self.acknowledged, self.index = 0.0, 1 << 60
        self.patch(items(range(1), 2))

    def delays(self) -> list[float]:
        """Seconds from the acknowledgement until each sidecar had the update, ascending."""
        return sorted(max(at - self.acknowledged, 0.0) for at in self.first_update_at.values())

    def close(self) -> None:
        self.loop.close()


def items(routes: range, version: int) -> bytes:
    """A call that sets these routes, and the services with version 1."""
    ver = f"{version:08x}"
    services = [{"Name": f"svc-{n}", "Ver": ver} for n in range(SERVICES)] if version == 1 else []
    listed = [
        {
            "Name": f"route-{n}",
            "Host": "mesh.test",
            "Pfx": f"/part-{n}/",
            "Kind": "idempotent",
            "Svc": f"svc-{n % SERVICES}",
            "TmoS": 2.0 + version,
            "GoalS": 0.5,
            "Ver": ver,
        }
        for n in routes
    ]
    return json.dumps({"Upsert": {"Svcs": services, "Routes": listed}}).encode()
