"""Queries between sidecars: the outcome of a key's claim, and help without control nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from minthitch.mesh.sidecar.control_links import NO_LEADER
from minthitch.mesh.sidecar.peer import Peer
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.connection import Connection

if TYPE_CHECKING:
    from minthitch.mesh.sidecar.sidecar import Sidecar

FETCH_FANOUT = 2  # sidecars that are asked for their state at a time while no control node is reachable
RELAY_TIMEOUT_S = 1.0  # for which another sidecar's claim is relayed
OnAnswer = Callable[[ops.Message | None], None]


class _Query:
    """An open query to the owner of a claim."""

    __slots__ = ("done", "peer", "timer")

    def __init__(self, done: OnAnswer, peer: Peer, timer: asyncio.TimerHandle) -> None:
        self.done, self.peer, self.timer = done, peer, timer


class PeerQueries:
    """Open queries of this sidecar, and answers to those of others."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar, self.loop = sidecar, sidecar.loop
        self.pending: dict[int, _Query] = {}

    # To the owner of a claim ------------------------------------------------------------------------

    def ask_owner(self, owner: str, claim: bytes, deadline: float, done: OnAnswer) -> None:
        sidecar = self.sidecar
        ip, _, epoch = owner.partition("/")
        if ip == sidecar.settings.own.ip:
            if epoch != str(sidecar.epoch):  # an earlier run of this sidecar: its outcome is unknown
                self.loop.call_soon(done, None)
                return
            sidecar.keys.on_query(0, claim, lambda message: self._answer_later(message, done))
            return
        ident, peer = sidecar.dispatcher.new_ident(), sidecar.dispatcher.peer(ip)
        timer = self.loop.call_at(deadline, self._on_timeout, ident)
        self.pending[ident] = _Query(done, peer, timer)
        peer.send((ops.CLAIM_QUERY, ident, claim), 0, lambda outgoing: None)

    def _answer_later(self, message: ops.Message, done: OnAnswer) -> None:
        self.loop.call_soon(done, message)

    def _on_timeout(self, ident: int) -> None:
        query = self.pending.pop(ident, None)
        if query is not None:
            query.done(None)

    def on_owner_answer(self, message: ops.Message) -> None:
        """The owner's answer."""
        query = self.pending.pop(message[1], None)
        if query is not None:
            query.timer.cancel()
            query.done(message)

    def on_peer_lost(self, peer: Peer) -> None:
        """The connection to it was lost."""
        for ident in [i for i, query in self.pending.items() if query.peer is peer]:
            query = self.pending.pop(ident)
            query.timer.cancel()
            query.done(None)

    # While no control node is reachable -------------------------------------------------------------

    def relay_claim(self, message: ops.Message) -> bool:
        """Sends a claim through another sidecar: without control nodes no key could be claimed here."""
        peers = self.sidecar.dispatcher.connected_peers()
        if not peers:
            return False
        self.sidecar.random.choice(peers).link.send(message, 0)
        return True

    def fetch_from_peers(self, message: ops.Message) -> None:
        """Asks a few connected sidecars for their state."""
        peers = self.sidecar.dispatcher.connected_peers()
        for peer in self.sidecar.random.sample(peers, min(len(peers), FETCH_FANOUT)):
            peer.link.send(message, 0)
        if not peers:  # a sidecar that has called nobody yet would stay isolated, and could claim no key
            known = [ip for ip in self.sidecar.controls.views.merged if ip != self.sidecar.settings.own.ip]
            for ip in self.sidecar.random.sample(known, min(len(known), FETCH_FANOUT)):
                self.sidecar.dispatcher.peer(ip).link.start()

    # From other sidecars ----------------------------------------------------------------------------

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        op, controls = message[0], self.sidecar.controls
        if op == ops.CLAIM_QUERY:
            self.sidecar.keys.on_query(
                message[1], message[2], lambda answer: send_if_connected(connection, answer)
            )
        elif op == ops.CLAIM:
            self._relay_claim_for(connection, message)
        elif op == ops.PEER_FETCH and controls.reachable():
            delta = controls.replica.since(message[1]) if controls.replica.index > message[1] else None
            send_if_connected(connection, (ops.PEER_STATE, delta, list(controls.views.merged.values())))

    def _relay_claim_for(self, connection: Connection, message: ops.Message) -> None:
        if not self.sidecar.controls.reachable():
            send_if_connected(connection, (ops.CLAIM_RESULT, message[1], NO_LEADER, "", b"", b""))
            return
        ident = message[1]
        self.sidecar.controls.claim(
            message[2:],
            self.loop.time() + RELAY_TIMEOUT_S,
            lambda *told: send_if_connected(connection, (ops.CLAIM_RESULT, ident, *told)),
        )


def send_if_connected(connection: Connection, message: ops.Message) -> None:
    if connection.up:
        connection.send(message, 1)
