"""Links to the other control nodes, and requests of learners to join the group."""

from __future__ import annotations

from typing import Protocol

from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.raft.actions import Action, Send
from minthitch.mesh.raft.member import Role
from minthitch.mesh.raft.membership import address_of
from minthitch.mesh.raft.messages import encode_message
from minthitch.mesh.raft.node import RaftNode
from minthitch.mesh.raft.placement import Location
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import MessageReceiver
from minthitch.mesh.transport.link import Link


class Host(MessageReceiver, Protocol):
    """The control node that owns the links."""

    raft: RaftNode

    def carry_out(self, actions: list[Action]) -> None:
        """Execute the actions of the consensus core."""

    def time(self) -> float:
        """The loop's time in seconds."""


class PeerLinks:
    """One link to each known control node, by address."""

    def __init__(self, host: Host, ip: str, port: int, location: Location) -> None:
        self.links: dict[str, Link] = {}
        self._host = host
        self._ip = ip
        self._port = port
        self._hello = (ops.HELLO, "control", ip, *location)

    def connect_to(self, addresses: tuple[str, ...]) -> None:
        """Open and keep a link to each of these addresses."""
        for address in addresses:
            if address not in self.links and address != self._ip:
                link = Link(self._host, (address, self._port), self._hello)
                self.links[address] = link
                link.start()

    def link_to_leader(self) -> Link | None:
        """The link to the leader; None if there is no known leader or no link to it."""
        return self.links.get(address_of(self._host.raft.leader or ""))

    def send(self, action: Send) -> None:
        """Send a message of the consensus core to another member."""
        address = address_of(action.to)
        self.connect_to((address,))
        link = self.links.get(address)
        if link is not None:
            envelope = (ops.RAFT, action.to, self._host.raft.name, encode_message(action.message))
            link.send(envelope, 0)

    def on_hello(self, address: str, location: tuple[str, ...]) -> None:
        """Another control node connected and sent its zone and region.

        This node connects back. A learner whose seeds do not include the leader finds the leader this way.
        """
        if len(location) == len(Location._fields):
            self._host.raft.locations[address] = Location(*location)
        self.connect_to((address,))
        if address in self.links:
            self.links[address].reconnect_now()

    def request_to_join(self) -> None:
        """As a learner, ask all other control nodes to be added to the group."""
        raft = self._host.raft
        if raft.role is Role.LEARNER:
            log_event(Event.JOIN_REQUESTED, member=raft.name)
            for link in self.links.values():
                link.send((ops.JOIN, raft.name), 0)

    def on_join_request(self, member: str, sender: str) -> None:
        """Handle a learner's request to be added to the group.

        It is forwarded to the leader only if it came from the learner itself (`sender`, the address that
        opened the connection). So it is forwarded once, even if two nodes take each other for the leader.
        """
        address, raft = address_of(member), self._host.raft
        self.connect_to((address,))
        leader = self.link_to_leader()
        if not raft.is_leader and sender == address and leader is not None:
            leader.send((ops.JOIN, member), 0)
        self._host.carry_out(raft.add_learner(self._host.time(), member))

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
