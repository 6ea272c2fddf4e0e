"""Sends attempts to the sidecars beside the servers, and routes the outcomes back."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.sidecar.exchange import Attempt, Exchange
from minthitch.mesh.sidecar.load_balancer import Endpoint
from minthitch.mesh.sidecar.offers import OfferSender
from minthitch.mesh.sidecar.peer import Peer
from minthitch.mesh.transport import ops

if TYPE_CHECKING:
    from minthitch.mesh.sidecar.sidecar import Sidecar


OUTCOME_OPS = frozenset((ops.ANSWER, ops.REJECTED, ops.OUTCOME_UNKNOWN))  # each ends a call


class AttemptDispatcher:
    """Sends attempts, and reports each outcome to its exchange and to the load balancer."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar, self.loop, self.own_ip = sidecar, sidecar.loop, sidecar.settings.own.ip
        self.attempts: dict[int, Attempt] = {}
        self.peers: dict[str, Peer] = {}
        self.next_ident = 1
        self.offers = OfferSender()

    def new_ident(self) -> int:
        """An id that no other call or query of this sidecar has."""
        self.next_ident += 1
        return self.next_ident - 1

    # Sending ----------------------------------------------------------------------------------------

    def new_attempt(self, exchange: Exchange, endpoint: Endpoint, now: float) -> Attempt:
        attempt = Attempt(self.new_ident(), exchange, endpoint, now)
        self.attempts[attempt.ident] = attempt
        self.sidecar.load_balancer.on_sent(endpoint)
        return attempt

    def send(self, attempt: Attempt, message: ops.Message) -> None:
        ip = attempt.endpoint.ip
        if ip == self.own_ip:
            attempt.outgoing = _LOCAL_DELIVERY
            self.loop.call_soon(self.sidecar.admission.call, "own", self._on_local_answer, message)
            return
        attempt.peer = self.peer(ip)
        offer = self.offers.offer(self.loop.time(), message)
        if offer is not None:
            attempt.peer.send(offer, 0, lambda outgoing: None)
            return
        self._send_call(attempt, message)

    def _send_call(self, attempt: Attempt, message: ops.Message) -> None:
        rank = min(attempt.exchange.rank, 2)
        assert attempt.peer is not None
        attempt.peer.send(
            message, rank, lambda outgoing: _set_outgoing(attempt, outgoing), attempt.exchange.at_most_once
        )

    def _on_grant(self, peer: Peer, ident: int) -> None:
        """The receiver takes the body of a call that was offered. A second grant sends nothing."""
        attempt = self.attempts.get(ident)
        if attempt is None or attempt.peer is not peer or not self.offers.holds(ident):
            return
        message = self.offers.granted(self.loop.time(), ident)
        if message is not None:
            self._send_call(attempt, message)
        else:  # its time is over, and the sender no longer holds it
            del self.attempts[ident]
            peer.link.send((ops.CANCEL, ident), 0)
            self._not_sent(attempt)

    def _on_local_answer(self, message: ops.Message) -> None:
        self.loop.call_soon(self.handle_reply, message)

    def peer(self, ip: str) -> Peer:
        """The connection to the sidecar at this address, made on first use."""
        peer = self.peers.get(ip)
        if peer is None:
            record = self.sidecar.controls.views.merged.get(ip)
            port = record.port if record else self.sidecar.port
            peer = self.peers[ip] = Peer(self, ip, port, self.sidecar.name)
        return peer

    def connected_peers(self) -> list[Peer]:
        """Sidecars that this one is connected to now."""
        return [peer for peer in self.peers.values() if peer.link.up]

    def close_unused(self, is_listed: Callable[[str], bool]) -> None:
        """Closes connections to addresses that are gone and have no attempt in flight."""
        in_use = {attempt.endpoint.ip for attempt in self.attempts.values()}
        for ip in [ip for ip in self.peers if ip not in in_use and not is_listed(ip)]:
            self.peers.pop(ip).close()

    def cancel(self, attempt: Attempt) -> None:
        """Another attempt was faster, or the client no longer waits."""
        if self.attempts.pop(attempt.ident, None) is None:
            return
        now, route = self.loop.time(), attempt.exchange.route
        self.sidecar.load_balancer.on_ended(
            now,
            attempt.endpoint,
            route.name,
            route.latency_target,
            now - attempt.sent_at,
            ok=False,
            lost=False,
        )
        if attempt.endpoint.ip == self.own_ip:
            self.sidecar.admission.cancel("own", attempt.ident)
            return
        offered = self.offers.forget(attempt.ident)
        if attempt.peer is None:
            return
        if attempt.outgoing is None:  # not sent yet: it must not be sent now
            if offered:
                attempt.peer.link.send((ops.CANCEL, attempt.ident), 0)
            attempt.peer.withdraw(attempt.ident)
        else:
            attempt.outgoing.dropped = True
            attempt.peer.link.send((ops.CANCEL, attempt.ident), 0)

    # Outcomes ---------------------------------------------------------------------------------------

    def on_peer_message(self, peer: Peer, message: ops.Message) -> None:
        """A message of another sidecar. A call's outcome counts only from the peer that it was sent to."""
        if message[0] == ops.GRANT:
            self._on_grant(peer, message[1])
            return
        if message[0] in OUTCOME_OPS:
            attempt = self.attempts.get(message[1])
            if attempt is None or attempt.peer is not peer:
                return
        self.handle_reply(message)

    def handle_reply(self, message: ops.Message) -> None:
        """A reply of another sidecar, or of the server beside this one."""
        op = message[0]
        if op == ops.CLAIM_STATE:
            self.sidecar.peer_queries.on_owner_answer(message)
        elif op == ops.CLAIM_RESULT:
            self.sidecar.controls.on_claimed(message)
        elif op == ops.PEER_STATE:
            self.sidecar.controls.on_peer_state(message)
        elif op in OUTCOME_OPS:
            attempt = self.attempts.pop(message[1], None)
            self.offers.forget(message[1])
            if attempt is not None:
                self._on_outcome(attempt, message)

    def _on_outcome(self, attempt: Attempt, message: ops.Message) -> None:
        now, exchange, endpoint, load_balancer = (
            self.loop.time(),
            attempt.exchange,
            attempt.endpoint,
            self.sidecar.load_balancer,
        )
        route, took = exchange.route, now - attempt.sent_at
        attempt.ended, attempt.outcome = True, message[2]
        if message[0] == ops.ANSWER:
            _, _, status, fields, body, running, queued = message
            load_balancer.on_load_report(now, endpoint, running, queued)
            load_balancer.on_ended(
                now, endpoint, route.name, route.latency_target, took, ok=status < 500, lost=status >= 500
            )
            exchange.on_answer(attempt, status, fields, body)
        elif message[0] == ops.REJECTED:
            _, _, why, arrived, running, queued, queue_wait = message
            load_balancer.on_load_report(now, endpoint, running, queued)
            endpoint.in_flight = max(endpoint.in_flight - 1, 0)
            if why != "budget":  # the server still has capacity for calls that are no retries
                load_balancer.avoid(now, endpoint, why != "gone", arrived)
            exchange.on_rejected(attempt, arrived, queue_wait)
        else:
            _, _, why, running, queued = message
            load_balancer.on_load_report(now, endpoint, running, queued)
            load_balancer.on_ended(now, endpoint, route.name, route.latency_target, took, ok=False, lost=True)
            exchange.on_lost(attempt)

    def on_peer_lost(self, peer: Peer) -> None:
        """The connection was lost, or could not be made."""
        now, load_balancer = self.loop.time(), self.sidecar.load_balancer
        # By peer, not by address: calls of a new link to the same address are not lost with the old one.
        in_flight = [attempt for attempt in self.attempts.values() if attempt.peer is peer]
        if in_flight:
            log_event(Event.PEER_DOWN, ip=peer.ip, open=len(in_flight))
        for attempt in in_flight:
            self.attempts.pop(attempt.ident, None)
            self.offers.forget(attempt.ident)
            load_balancer.avoid(now, attempt.endpoint, False)
            if attempt.fully_sent:
                route = attempt.exchange.route
                load_balancer.on_ended(
                    now,
                    attempt.endpoint,
                    route.name,
                    route.latency_target,
                    now - attempt.sent_at,
                    ok=False,
                    lost=True,
                )
                attempt.exchange.on_lost(attempt)
            else:
                self._not_sent(attempt)
        self.sidecar.peer_queries.on_peer_lost(peer)

    def on_unsent(self, idents: list[int]) -> None:
        """No connection took these in time: their servers are avoided for a while."""
        for attempt in [self.attempts.pop(ident) for ident in idents if ident in self.attempts]:
            self.offers.forget(attempt.ident)
            self.sidecar.load_balancer.avoid(self.loop.time(), attempt.endpoint, False)
            self._not_sent(attempt)

    def _not_sent(self, attempt: Attempt) -> None:
        attempt.endpoint.in_flight = max(attempt.endpoint.in_flight - 1, 0)
        attempt.exchange.on_rejected(attempt, False, 0.0)

    def close(self) -> None:
        for peer in self.peers.values():
            peer.close()


class _LocalDelivery:
    """In place of a queued message for calls to the server beside this sidecar: sent at once, as a whole."""

    fully_sent, dropped = True, False


_LOCAL_DELIVERY = _LocalDelivery()


def _set_outgoing(attempt: Attempt, outgoing: Any) -> None:
    attempt.outgoing = outgoing
