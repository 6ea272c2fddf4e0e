"""What sidecars ask each other beside calls: what became of a key, and what those without control nodes
need.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from minthitch.mesh.sidecar.links import NO_LEADER, Peer
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection

if TYPE_CHECKING:
    from minthitch.mesh.sidecar.front import Front

BEGGED = 2  # sidecars that one without control nodes asks at a time
RELAY_FOR = 1.0  # seconds for which a claim of another sidecar is handed on
Told = Callable[[ops.Message | None], None]


class _Ask:
    """A question to a key's owner."""

    __slots__ = ("done", "peer", "timer")

    def __init__(self, done: Told, peer: Peer, timer: asyncio.TimerHandle) -> None:
        self.done, self.peer, self.timer = done, peer, timer


class Asks:
    """Questions of this sidecar that are open, and answers to those of others."""

    def __init__(self, front: Front) -> None:
        self.front, self.loop = front, front.loop
        self.open: dict[int, _Ask] = {}

    # Of a key's owner -----------------------------------------------------------------------------

    def ask(self, owner: str, claim: bytes, deadline: float, done: Told) -> None:
        front = self.front
        ip, _, epoch = owner.partition("/")
        if ip == front.boot.own.ip:
            if epoch != str(front.epoch):  # a life of ours before this one: nobody knows what became of it
                self.loop.call_soon(done, None)
                return
            front.keys.asked(0, claim, lambda message: self._told_own(message, done))
            return
        ident, peer = front.copies.number(), front.copies.peer(ip)
        timer = self.loop.call_at(deadline, self._late, ident)
        self.open[ident] = _Ask(done, peer, timer)
        peer.send((ops.CLAIM_QUERY, ident, claim), 0, lambda parcel: None)

    def _told_own(self, message: ops.Message, done: Told) -> None:
        self.loop.call_soon(done, message)

    def _late(self, ident: int) -> None:
        ask = self.open.pop(ident, None)
        if ask is not None:
            ask.done(None)

    def told(self, message: ops.Message) -> None:
        """The owner's answer."""
        ask = self.open.pop(message[1], None)
        if ask is not None:
            ask.timer.cancel()
            ask.done(message)

    def lost(self, peer: Peer) -> None:
        """Its line fell."""
        for ident in [i for i, ask in self.open.items() if ask.peer is peer]:
            ask = self.open.pop(ident)
            ask.timer.cancel()
            ask.done(None)

    # For want of control nodes ---------------------------------------------------------------------------

    def relay(self, message: ops.Message) -> bool:
        """Danger: cut off from all control nodes, no key could be claimed; another sidecar hands the claim
        on.
        """
        up = self.front.copies.up()
        if not up:
            return False
        self.front.random.choice(up).link.send(message, 0)
        return True

    def beg(self, message: ops.Message) -> None:
        """Asks a few of the sidecars that can be reached."""
        up = self.front.copies.up()
        for peer in self.front.random.sample(up, min(len(up), BEGGED)):
            peer.link.send(message, 0)
        if not up:  # danger: one that has called nobody yet would stay alone, and claim no key
            known = [ip for ip in self.front.controls.views.merged if ip != self.front.boot.own.ip]
            for ip in self.front.random.sample(known, min(len(known), BEGGED)):
                self.front.copies.peer(ip).link.start()

    # Asked by others ------------------------------------------------------------------------------

    def heard(self, connection: Connection, message: ops.Message) -> None:
        op, controls = message[0], self.front.controls
        if op == ops.CLAIM_QUERY:
            self.front.keys.asked(message[1], message[2], lambda answer: say_on(connection, answer))
        elif op == ops.CLAIM:
            self._relay_for(connection, message)
        elif op == ops.PEER_FETCH and controls.reachable():
            delta = controls.replica.since(message[1]) if controls.replica.index > message[1] else None
            say_on(connection, (ops.PEER_STATE, delta, list(controls.views.merged.values())))

    def _relay_for(self, connection: Connection, message: ops.Message) -> None:
        if not self.front.controls.reachable():
            say_on(connection, (ops.CLAIM_RESULT, message[1], NO_LEADER, "", b"", b""))
            return
        ident = message[1]
        self.front.controls.claim(
            message[2:],
            self.loop.time() + RELAY_FOR,
            lambda *told: say_on(connection, (ops.CLAIM_RESULT, ident, *told)),
        )


def say_on(connection: Connection, message: ops.Message) -> None:
    if connection.up:
        connection.send(message, 1)
