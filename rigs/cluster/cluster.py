"""Nodes, servers and discovery as one cluster: what starts them, kills them, and breaks what is between.

Every node reaches each server, discovery and its clients over a link of its own. Nodes and servers are
processes, ended by their ids; discovery lives here, as to a node it is only a link that answers.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import tomli_w

from rigs.cluster.history import Event
from rigs.cluster.machine import Make
from rigs.cluster.relay import Link
from rigs.discovery import Discovery, entry
from rigs.process import ROOT, free_port, is_ready
from rigs.servers import PATIENCE, address_of


@dataclass(kw_only=True)
class Part:
    """What runs as a process."""

    process: asyncio.subprocess.Process | None = None

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, what: signal.Signals) -> None:
        if self.process is not None and self.up:
            self.process.send_signal(what)

    async def kill(self) -> None:
        """SIGKILL, also to one that is stopped; returns once it has ended."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass
class Server(Part):
    """`born_ms`: Unix time, as discovery tells it."""

    make: Make
    links: list[Link]  # by node
    born_ms: int = 0


@dataclass
class Node(Part):
    name: str
    front: Link  # its clients'
    lookup: Link  # to its discovery
    discovery: Discovery
    path: Path
    port: int = 0
    desk: int = 0  # its operators' listener
    peers: list[Link] = field(default_factory=list)  # to the other nodes' operators' listeners
    listener: asyncio.Server | None = None  # its discovery's


class Cluster:
    """`table`: the nodes' operator file without `name`, `listen` and `discovery`; `make`: the servers.

    With `keeps` nodes write snapshots, and with `talks` they ask each other for what they know.
    """

    def __init__(
        self,
        nodes: int,
        servers: int,
        table: dict[str, Any],
        make: Make,
        command: tuple[str, ...] = (sys.executable, "-m", "minthitch"),
        keeps: bool = False,
        talks: bool = True,
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.place = Path(self.folder.name)
        if keeps:  # each writes snapshots; all into one folder, under their names
            (self.place / "kept").mkdir()
            table = {
                **table,
                "recovery": {"folder": str(self.place / "kept"), "cluster": "rig", "every": "300ms"},
            }
        self.lock = asyncio.Lock()  # what starts and ends processes, one at a time
        self.tasks = set[asyncio.Task[None]]()
        self.events: list[Event] = []  # of the nodes, as the cluster made them
        self.table, self.command = table, command
        self.servers = [
            Server(
                replace(make, name=f"s{i}", book=str(self.place / f"s{i}.book")),
                [Link(f"n{n}-s{i}") for n in range(nodes)],
            )
            for i in range(servers)
        ]
        self.nodes = [
            Node(
                f"n{n}", Link(f"client-n{n}"), Link(f"n{n}-discovery"), Discovery(), self.place / f"n{n}.toml"
            )
            for n in range(nodes)
        ]
        self.talks = keeps and talks
        self.forgetful = range(0)  # nodes whose snapshots go with the power
        if self.talks:
            for node in self.nodes:
                node.desk = free_port()
                node.peers = [Link(f"{node.name}-{other.name}") for other in self.nodes if other is not node]

    async def __aenter__(self) -> Cluster:
        try:
            for server in self.servers:
                for link in server.links:
                    await link.open()
            await asyncio.gather(*(self.start_server(i) for i in range(len(self.servers))))
            self.list_servers()
            await self.discovery_back()
            await asyncio.gather(*(self.start_node(n) for n in range(len(self.nodes))))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(part.kill() for part in self.parts()))
        self.discovery_lost()
        for link in self.links():
            link.close()
        self.folder.cleanup()

    def parts(self) -> list[Part]:
        return [*self.nodes, *self.servers]

    def links(self) -> Iterable[Link]:
        for server in self.servers:
            yield from server.links
        for node in self.nodes:
            yield from (node.front, node.lookup, *node.peers)

    def to_desk(self, of: Node) -> list[Link]:
        """The other nodes' links to its operators' listener."""
        return [link for node in self.nodes for link in node.peers if link.name.endswith(f"-{of.name}")]

    # Servers ------------------------------------------------------------------------------------

    async def start_server(self, number: int, cold: bool = False) -> None:
        server = self.servers[number]
        if server.up:
            return
        born, server.born_ms = (time.monotonic(), time.time_ns() // 1_000_000) if cold else (0.0, 0)
        server.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rigs.cluster.machine",
            replace(server.make, born=born).text(),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        assert server.process.stdout is not None
        async with asyncio.timeout(PATIENCE):
            port = int(await server.process.stdout.readline())
        for link in server.links:
            link.target = port
            await link.open()

    def list_servers(self) -> None:
        """Discovery tells each node of all that are up, by the addresses of its own links."""
        for n, node in enumerate(self.nodes):
            node.discovery.replace(
                *(
                    entry(s.make.name, s.links[n].address, "up", s.born_ms, i % 2)
                    for i, s in enumerate(self.servers)
                    if s.up
                )
            )

    async def kill_server(self, number: int) -> None:
        server = self.servers[number]
        for link in server.links:  # danger: its port may be another's as soon as it has ended
            link.refuse()
        await server.kill()

    # Discovery ----------------------------------------------------------------------------------

    async def discovery_back(self) -> None:
        for node in self.nodes:
            if node.listener is None:
                node.listener = await asyncio.start_server(node.discovery, "127.0.0.1", 0)
                node.lookup.target = int(address_of(node.listener).rpartition(":")[2])
            await node.lookup.open()

    def discovery_lost(self) -> None:
        for node in self.nodes:
            node.lookup.refuse()
            if node.listener is not None:
                node.listener.close()
                node.listener = None
            for writer in node.discovery.writers:
                writer.transport.abort()
            node.discovery.writers.clear()

    # Nodes --------------------------------------------------------------------------------------

    async def start_node(self, number: int) -> None:
        """Returns once the process is there; `ready` waits until it serves."""
        node = self.nodes[number]
        if node.up:
            return
        node.port = node.port or free_port()
        table = {
            "name": node.name,
            "listen": f"127.0.0.1:{node.port}",
            "discovery": node.lookup.address,
            "seed": f"{number + 1:x}",
            **self.table,
        }
        if self.talks:
            table["operators"] = {"listen": f"127.0.0.1:{node.desk}"}
            table["recovery"] = {**table["recovery"], "peers": [link.address for link in node.peers]}
        node.path.write_text(tomli_w.dumps(table))
        with open(self.place / f"{node.name}.log", "ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *self.command, "serve", str(node.path), cwd=ROOT, stderr=log
            )
        node.front.target = node.port
        await node.front.open()
        for link in self.to_desk(node):
            link.target = node.desk
            await link.open()
        if node.name in {event.who for event in self.events}:
            self.tasks.add(task := asyncio.ensure_future(self._back(number)))
            task.add_done_callback(self.tasks.discard)

    async def _back(self, number: int) -> None:
        """Danger: a node that has not said yet that it is ready owes nothing."""
        node = self.nodes[number]
        process = node.process
        while node.up and node.process is process and not await self.ready(number):
            await asyncio.sleep(0.02)
        if node.up and node.process is process:
            self.note(node, "back", "killed")

    async def kill_node(self, number: int) -> None:
        node = self.nodes[number]
        self.note(node, "away", "killed")
        for link in (node.front, *self.to_desk(node)):
            link.refuse()
        await node.kill()
        for server in self.servers:
            server.links[number].reset()

    def stop(self, number: int) -> None:
        """SIGSTOP: the node sleeps with all its connections open."""
        self.note(self.nodes[number], "away", "stopped")
        self.nodes[number].signal(signal.SIGSTOP)

    def wake(self, number: int) -> None:
        self.nodes[number].signal(signal.SIGCONT)
        self.note(self.nodes[number], "back", "stopped")

    def note(self, node: Node, what: str, why: str) -> None:
        """`away`: its clients can't reach it, or it is no more; `back`: from now on that is over."""
        self.events.append(Event(time.monotonic(), node.name, what, word=why))

    async def ready(self, number: int) -> bool:
        """What the node's /ready says, now."""
        try:
            async with asyncio.timeout(2.0):  # one that is stopped says nothing
                return await is_ready(self.nodes[number].port)
        except TimeoutError:
            return False

    async def all_ready(self, within: float = PATIENCE) -> None:
        """Raises TimeoutError."""
        async with asyncio.timeout(within):
            for number, node in enumerate(self.nodes):
                while node.up and not await self.ready(number):
                    await asyncio.sleep(0.02)

    # The whole ----------------------------------------------------------------------------------

    async def power_lost(self) -> None:
        """All processes are gone in one instant, and discovery with them."""
        self.discovery_lost()
        for part in self.parts():
            part.signal(signal.SIGKILL)
        for n in range(len(self.nodes)):
            await self.kill_node(n)
        for i in range(len(self.servers)):
            await self.kill_server(i)
        for n in self.forgetful:
            for path in (self.place / "kept").glob(f"{self.nodes[n].name}.*"):
                path.unlink()

    async def power_back(self) -> None:
        """All start at once; discovery knows of each server as it is there."""

        async def servers() -> None:
            await asyncio.gather(*(self.start_server(i, cold=True) for i in range(len(self.servers))))
            self.list_servers()
            await self.discovery_back()

        await asyncio.gather(servers(), *(self.start_node(n) for n in range(len(self.nodes))))
