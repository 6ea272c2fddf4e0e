"""The other control nodes: a line to each, and how a control node that forgot is taken in."""

from __future__ import annotations

from typing import Protocol

from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.actions import Action, Send
from minthitch.mesh.raft.messages import encode_message
from minthitch.mesh.raft.placement import Location
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Host as Hears
from minthitch.mesh.transport.link import Link
from minthitch.mesh.events.events import Event, say


class Host(Hears, Protocol):
    """The control node whose lines these are."""

    core: RaftNode

    def act(self, actions: list[Action]) -> None: ...
    def time(self) -> float: ...


class Others:
    """The links to them, by address."""

    def __init__(self, host: Host, ip: str, port: int, place: Location) -> None:
        self.host, self.ip, self.port = host, ip, port
        self.hello = (ops.HELLO, "control", ip, *place)
        self.links: dict[str, Link] = {}

    def know(self, ips: tuple[str, ...]) -> None:
        """Keeps a line to each of these from here on."""
        for ip in ips:
            if ip not in self.links and ip != self.ip:
                link = Link(self.host, (ip, self.port), self.hello)
                self.links[ip] = link
                link.start()

    def send(self, action: Send) -> None:
        ip = action.to.partition("#")[0]
        self.know((ip,))
        link = self.links.get(ip)
        if link is not None:
            link.send((ops.RAFT, action.to, self.host.core.name, encode_message(action.message)), 0)

    def called(self, ip: str, place: tuple[str, ...]) -> None:
        """It has opened a link itself, and told its zone and region.

        Danger: a learner's seeds may name no leader, but the leader calls.
        """
        if len(place) == len(Location._fields):
            self.host.core.locations[ip] = Location(*place)
        self.know((ip,))
        if ip in self.links:
            self.links[ip].nudge()

    def ask_to_join(self) -> None:
        """A learner asks everyone to be taken in."""
        if self.host.core.role == "learner":
            say(Event.KNOCKED, member=self.host.core.name)
            for link in self.links.values():
                link.send((ops.JOIN, self.host.core.name), 0)

    def asked_to_join(self, who: str, said_by: str) -> None:
        """`said_by` is the address that opened the link: only the learner's own word is handed on, and so
        once, whoever takes whom for the leader."""
        ip, core = who.partition("#")[0], self.host.core
        self.know((ip,))
        leader = self.links.get((core.leader or "").partition("#")[0])
        if core.role != "leader" and said_by == ip and leader is not None:
            leader.send((ops.JOIN, who), 0)
        self.host.act(core.add_learner(self.host.time(), who))

    def close(self) -> None:
        for link in self.links.values():
            link.close()
