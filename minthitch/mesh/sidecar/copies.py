"""The copies that this sidecar has out, and the lines to the sidecars beside the servers that got them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.sidecar.choice import Target
from minthitch.mesh.sidecar.links import Peer
from minthitch.mesh.sidecar.offers import OfferSender
from minthitch.mesh.sidecar.trip import Attempt, Trip
from minthitch.mesh.transport import ops

if TYPE_CHECKING:
    from minthitch.mesh.sidecar.front import Front


OUTCOMES = frozenset((ops.ANSWER, ops.REJECTED, ops.OUTCOME_UNKNOWN))  # what ends a call


class Copies:
    """Sends copies, and hears what became of each. Tells their trips and the choice."""

    def __init__(self, front: Front) -> None:
        self.front, self.loop, self.own_ip = front, front.loop, front.boot.own.ip
        self.attempts: dict[int, Attempt] = {}
        self.peers: dict[str, Peer] = {}
        self.next = 1
        self.offers = OfferSender()

    def number(self) -> int:
        """One that no other question of this sidecar has."""
        self.next += 1
        return self.next - 1

    # Out ------------------------------------------------------------------------------------------

    def attempt(self, trip: Trip, target: Target, now: float) -> Attempt:
        attempt = Attempt(self.number(), trip, target, now)
        self.attempts[attempt.ident] = attempt
        self.front.choice.sent(target)
        return attempt

    def send(self, attempt: Attempt, message: ops.Message) -> None:
        ip = attempt.target.ip
        if ip == self.own_ip:
            attempt.parcel = _WHOLE
            self.loop.call_soon(self.front.admission.call, "own", self._from_own_gate, message)
            return
        attempt.peer = self.peer(ip)
        offer = self.offers.offer(self.loop.time(), message)
        if offer is not None:
            attempt.peer.send(offer, 0, lambda parcel: None)
            return
        self._send_call(attempt, message)

    def _send_call(self, attempt: Attempt, message: ops.Message) -> None:
        rank = min(attempt.trip.rank, 2)
        assert attempt.peer is not None
        attempt.peer.send(message, rank, lambda parcel: _left(attempt, parcel), attempt.trip.once)

    def _granted(self, peer: Peer, ident: int) -> None:
        """The receiver takes the body of a call that was offered. A second grant sends nothing."""
        attempt = self.attempts.get(ident)
        if attempt is None or attempt.peer is not peer or not self.offers.holds(ident):
            return
        message = self.offers.granted(self.loop.time(), ident)
        if message is not None:
            self._send_call(attempt, message)
        else:  # its time is over, and it is held no more
            del self.attempts[ident]
            peer.link.send((ops.CANCEL, ident), 0)
            self._never_left(attempt)

    def _from_own_gate(self, message: ops.Message) -> None:
        self.loop.call_soon(self.answer, message)

    def peer(self, ip: str) -> Peer:
        peer = self.peers.get(ip)
        if peer is None:
            record = self.front.controls.views.merged.get(ip)
            port = record.port if record else self.front.port
            peer = self.peers[ip] = Peer(self, ip, port, self.front.name)
        return peer

    def up(self) -> list[Peer]:
        """Those that can be reached."""
        return [peer for peer in self.peers.values() if peer.link.up]

    def let_go(self, but: Callable[[str], bool]) -> None:
        """Ends the lines to all addresses that are gone, and no copy is out at."""
        busy = {attempt.target.ip for attempt in self.attempts.values()}
        for ip in [ip for ip in self.peers if ip not in busy and not but(ip)]:
            self.peers.pop(ip).close()

    def cancel(self, attempt: Attempt) -> None:
        """Another copy was faster, or nobody waits any more."""
        if self.attempts.pop(attempt.ident, None) is None:
            return
        now, route = self.loop.time(), attempt.trip.route
        self.front.choice.ended(
            now, attempt.target, route.name, route.latency_target, now - attempt.sent, ok=False, lost=False
        )
        if attempt.target.ip == self.own_ip:
            self.front.admission.cancel("own", attempt.ident)
            return
        offered = self.offers.forget(attempt.ident)
        if attempt.peer is None:
            return
        if attempt.parcel is None:  # it has not left: it must not, now
            if offered:
                attempt.peer.link.send((ops.CANCEL, attempt.ident), 0)
            attempt.peer.withdraw(attempt.ident)
        else:
            attempt.parcel.dropped = True
            attempt.peer.link.send((ops.CANCEL, attempt.ident), 0)

    # What becomes of them -------------------------------------------------------------------------

    def answered(self, peer: Peer, message: ops.Message) -> None:
        """Of another sidecar. A call's outcome is believed only from the peer that the call was sent to."""
        if message[0] == ops.GRANT:
            self._granted(peer, message[1])
            return
        if message[0] in OUTCOMES:
            attempt = self.attempts.get(message[1])
            if attempt is None or attempt.peer is not peer:
                return
        self.answer(message)

    def answer(self, message: ops.Message) -> None:
        """Of whichever sidecar, or the own gate."""
        op = message[0]
        if op == ops.CLAIM_STATE:
            self.front.asks.told(message)
        elif op == ops.CLAIM_RESULT:
            self.front.controls.claimed(message)
        elif op == ops.PEER_STATE:
            self.front.controls.fed(message)
        elif op in OUTCOMES:
            attempt = self.attempts.pop(message[1], None)
            self.offers.forget(message[1])
            if attempt is not None:
                self._ended(attempt, message)

    def _ended(self, attempt: Attempt, message: ops.Message) -> None:
        now, trip, target, choice = self.loop.time(), attempt.trip, attempt.target, self.front.choice
        route, took = trip.route, now - attempt.sent
        attempt.over, attempt.word = True, message[2]
        if message[0] == ops.ANSWER:
            _, _, status, fields, body, running, queued = message
            choice.told(now, target, running, queued)
            choice.ended(
                now, target, route.name, route.latency_target, took, ok=status < 500, lost=status >= 500
            )
            trip.served(attempt, status, fields, body)
        elif message[0] == ops.REJECTED:
            _, _, why, arrived, running, queued, wait = message
            choice.told(now, target, running, queued)
            target.out = max(target.out - 1, 0)
            if why != "budget":  # it has room for what is no repeat
                choice.shut(now, target, why != "gone", arrived)
            trip.turned_away(attempt, arrived, wait)
        else:
            _, _, why, running, queued = message
            choice.told(now, target, running, queued)
            choice.ended(now, target, route.name, route.latency_target, took, ok=False, lost=True)
            trip.lost(attempt)

    def lost(self, peer: Peer) -> None:
        """Its line fell, or did not come up."""
        now, choice = self.loop.time(), self.front.choice
        # By peer, not by address: the calls of a new link to the same address are not those of the old one.
        fallen = [attempt for attempt in self.attempts.values() if attempt.peer is peer]
        if fallen:
            log_event(Event.PEER_DOWN, ip=peer.ip, open=len(fallen))
        for attempt in fallen:
            self.attempts.pop(attempt.ident, None)
            self.offers.forget(attempt.ident)
            choice.shut(now, attempt.target, False)
            if attempt.left:
                route = attempt.trip.route
                choice.ended(
                    now,
                    attempt.target,
                    route.name,
                    route.latency_target,
                    now - attempt.sent,
                    ok=False,
                    lost=True,
                )
                attempt.trip.lost(attempt)
            else:
                self._never_left(attempt)
        self.front.asks.lost(peer)

    def unsent(self, idents: list[int]) -> None:
        """No line took these in time: their servers are left alone for a while."""
        for attempt in [self.attempts.pop(ident) for ident in idents if ident in self.attempts]:
            self.offers.forget(attempt.ident)
            self.front.choice.shut(self.loop.time(), attempt.target, False)
            self._never_left(attempt)

    def _never_left(self, attempt: Attempt) -> None:
        attempt.target.out = max(attempt.target.out - 1, 0)
        attempt.trip.turned_away(attempt, False, 0.0)

    def close(self) -> None:
        for peer in self.peers.values():
            peer.close()


class _Whole:
    """What stands for a parcel where nothing travels."""

    fully_sent, dropped = True, False


_WHOLE = _Whole()


def _left(attempt: Attempt, parcel: Any) -> None:
    attempt.parcel = parcel
