"""A sidecar's outgoing connections: to the control nodes, and to other sidecars."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgpack

from minthitch.mesh.configuration.items import Replica
from minthitch.mesh.events.events import Event, log_event
from minthitch.mesh.registry.merged_views import MergedViews
from minthitch.mesh.registry.records import SidecarRecord, published_fields
from minthitch.mesh.registry.registry import RegistryDelta
from minthitch.mesh.transport import ops
from minthitch.mesh.transport.compression import decompress
from minthitch.mesh.transport.connection import Connection
from minthitch.mesh.transport.link import Link

REPORT_CHECK_S = 0.5  # between two checks whether there is something new to report
# After which an unchanged report is sent too. Heartbeats of the connection show that the sidecar is alive.
MAX_REPORT_INTERVAL_S = 2.0
CLAIM_RESEND_S = 0.4  # after which an unanswered claim is sent again, to the leader of that time
CLAIM_CHECK_S = 0.1  # between two checks of open claims
MAX_CONTROLS = 64  # control nodes that it stays connected to
OnClaimed = Callable[[str, str, bytes, bytes], None]  # verdict, owner, claim, digest
PROBE_AFTER_S = 1.0  # of silence, after which a connection to another sidecar is probed before it is used
# The same for a request that must run at most once: what is written to a dead connection may have run, and is
# lost.
PROBE_AFTER_ONCE_S = 0.2
HOLD_S = 0.15  # for which a call waits for a connection or a probe's answer before it goes to another server
# The same in round trips of earlier probes, where that is longer: on a slow link the answer queues behind
# uploads.
HOLD_ROUND_TRIPS = 4.0
PROBE_TIMEOUT_S = 1.5  # after which a connection without open calls is given up
MAX_CALL_AGE_S = PROBE_TIMEOUT_S + 0.5  # a call waits for longer only where this process was stopped
ROUND_TRIP_DECAY = 0.7  # weight of the known round trip when a probe is faster; a slower one counts in full
HELD_OPS = (ops.CALL, ops.OFFER)  # go to another server when no connection takes them in time
PEER_VIEW = "another sidecar"  # source name of the view that is used while no control node can be reached
GRANTED, HELD, FULL, NO_LEADER = "granted", "held", "full", "no leader"


class ControlHost(Protocol):
    """Receives what the control nodes send, and provides what is reported to them."""

    def on_update(self, config: bool, records: bool) -> None: ...
    def report_fields(self) -> tuple[Any, ...]: ...
    def relay_claim(self, message: ops.Message) -> bool: ...
    def fetch_from_peers(self, message: ops.Message) -> None: ...
    def lease_request(self) -> tuple[Any, ...] | None: ...
    def on_term(self, term: int) -> None: ...
    def on_lease(self, lease: tuple[Any, ...]) -> None: ...


class _Claim:
    __slots__ = ("ident", "body", "done", "sent_at", "sent_to")

    def __init__(self, ident: int, body: tuple[Any, ...], done: OnClaimed) -> None:
        self.ident, self.body, self.done = ident, body, done
        self.sent_at, self.sent_to = 0.0, ""

    @property
    def claim_id(self) -> bytes:
        """The id of this claim, from its body: key, owner, claim id, digest, replaced claim."""
        return bytes(self.body[2])


class ControlLinks:
    """Connections to all known control nodes, their last state, and the claims that wait for them."""

    def __init__(self, host: ControlHost, port: int, name: str) -> None:
        self.host, self.port, self.name = host, port, name
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, Link] = {}
        self.ip_by_connection: dict[Connection, str] = {}
        self.replica, self.views = Replica(), MergedViews()
        self.leader, self.term = "", 0
        self.seen_up_to_date = False  # whether an up-to-date control node has sent its whole state
        self.up_to_date_at: dict[str, float] = {}  # when each control node last spoke as up to date
        self.claims: dict[int, _Claim] = {}
        self.next_ident = 1
        # What all control nodes were last told, and when.
        self.reported: tuple[tuple[Any, ...], float] = ((), 0.0)
        self.report_timer = self.loop.call_later(0.0, self._on_report_timer)
        self.claim_timer: asyncio.TimerHandle | None = None  # set while claims are open

    def connect_to(self, ips: tuple[str, ...]) -> None:
        """Stays connected to each of these from now on."""
        for ip in ips:
            if ip not in self.links and len(self.links) < MAX_CONTROLS:
                link = Link(self, (ip, self.port), (ops.HELLO, "sidecar", self.name))
                link.on_up = lambda link, ip=ip: self._on_link_up(ip, link)
                self.links[ip] = link
                link.start()

    def _on_link_up(self, ip: str, link: Link) -> None:
        log_event(Event.CONTROL_UP, ip=ip)
        if link.connection is not None:
            self.ip_by_connection[link.connection] = ip
        self._report_to(ip)

    def on_connection_lost(self, connection: Connection) -> None:
        ip = self.ip_by_connection.pop(connection, "")
        if not ip:
            return
        log_event(Event.CONTROL_DOWN, ip=ip)
        self.up_to_date_at.pop(ip, None)
        self.views.disconnect(ip)
        for claim in self.claims.values():
            if claim.sent_to == ip:
                claim.sent_at = 0.0
        if not any(link.up for link in self.links.values()):
            log_event(Event.NO_CONTROL)
        self.host.on_update(False, True)
        self._resend_claims()

    def reachable(self) -> bool:
        return any(link.up for link in self.links.values())

    # Messages from control nodes --------------------------------------------------------------------

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        if message[0] == ops.CONTROL_STATE:
            self._on_state(self.ip_by_connection.get(connection, ""), message)
        elif message[0] == ops.LEASE_GRANT:
            self.host.on_lease(message[1:])
        elif message[0] == ops.CLAIM_RESULT:
            self.on_claimed(message)

    def _on_state(self, ip: str, message: ops.Message) -> None:
        _, fresh, term, leader, controls, delta, whole, changed, dropped = message
        if not ip:
            return
        config = False
        before = self.replica.index
        if delta is not None:
            if self.replica.merge(decompress(delta)):
                config = self.replica.index > before
            else:  # the control node assumes a newer state here than there is
                self._report_to(ip)
        records = whole or bool(changed) or bool(dropped)
        if records:  # of several control nodes with the same news, only the first changes something
            rows = [SidecarRecord(*row) for row in changed]
            records = self.views.update(self.loop.time(), ip, RegistryDelta(whole, rows, list(dropped)))
            records = self.views.disconnect(PEER_VIEW) or records
        records = self.views.expire(self.loop.time()) or records
        if term >= self.term and leader:
            self.term, self.leader = term, leader
        self.host.on_term(self.term)
        if not fresh:
            self.up_to_date_at.pop(ip, None)
        else:
            self.up_to_date_at[ip] = self.loop.time()
            self.seen_up_to_date = self.seen_up_to_date or self.replica.index > 0
        self.connect_to(controls)
        if config or records:
            self.host.on_update(config, records)
        if self.claims:
            self._resend_claims()

    def on_peer_state(self, message: ops.Message) -> None:
        """State of another sidecar, used only while no control node can be reached from here."""
        _, delta, records = message
        if self.reachable():
            return
        before = self.replica.index
        if delta is not None:
            self.replica.merge(delta)
        self.views.update(
            self.loop.time(), PEER_VIEW, RegistryDelta(True, [SidecarRecord(*row) for row in records], [])
        )
        self.host.on_update(self.replica.index > before, True)

    # Reports --------------------------------------------------------------------------------------

    def _on_report_timer(self) -> None:
        self.report_timer = self.loop.call_later(REPORT_CHECK_S, self._on_report_timer)
        row = self.host.report_fields()
        reported, at = self.reported
        if _significant_fields(row) != reported or self.loop.time() - at >= MAX_REPORT_INTERVAL_S:
            self._send_report(row)
        self._request_lease()
        if not self.reachable():
            self.host.fetch_from_peers((ops.PEER_FETCH, self.replica.index))

    def send_report(self) -> None:
        """Reports to all control nodes now."""
        self._send_report(self.host.report_fields())

    def _send_report(self, row: tuple[Any, ...]) -> None:
        self.reported = _significant_fields(row), self.loop.time()
        packed = cast(bytes, msgpack.packb((ops.REPORT, self.replica.index, *row)))
        for link in self.links.values():
            if link.connection is not None and link.connection.up:
                link.connection.send_packed(packed, 0)

    def _report_to(self, ip: str) -> None:
        link = self.links[ip]
        if link.up:
            link.send((ops.REPORT, self.replica.index, *self.host.report_fields()), 0)

    def _request_lease(self) -> None:
        leader = self.links.get(self.leader)
        if leader is not None and leader.up and (need := self.host.lease_request()) is not None:
            leader.send((ops.LEASE_REQUEST, *need), 0)

    # Claims ---------------------------------------------------------------------------------------

    def claim(self, body: tuple[Any, ...], deadline: float, done: OnClaimed) -> None:
        """Claims a key. `done` is called once: with the key's owner, or with NO_LEADER after `deadline`."""
        claim = _Claim(self.next_ident, body, done)
        self.next_ident += 1
        self.claims[claim.ident] = claim
        if self.claim_timer is None:
            self.claim_timer = self.loop.call_later(CLAIM_CHECK_S, self._on_claim_timer)
        self.loop.call_at(deadline, self._on_claim_deadline, claim.ident)
        self._send_claim(claim)

    def _on_claim_deadline(self, ident: int) -> None:
        claim = self.claims.pop(ident, None)
        if claim is not None:
            claim.done(NO_LEADER, "", b"", b"")

    def _send_claim(self, claim: _Claim) -> None:
        now = self.loop.time()
        message = (ops.CLAIM, claim.ident, *claim.body)
        first = self.links.get(self.leader)
        if first is not None and first.up:
            claim.sent_to, claim.sent_at = self.leader, now
            first.send(message, 0)
            return
        # The leader may be unreachable from here only: the other control nodes can forward the claim to it.
        for ip in sorted(self.links, key=lambda ip: -self.up_to_date_at.get(ip, 0.0)):
            if self.links[ip].up:
                claim.sent_to, claim.sent_at = ip, now
                self.links[ip].send(message, 0)
                return
        if self.host.relay_claim(message):
            claim.sent_to, claim.sent_at = "", now

    def _resend_claims(self) -> None:
        now = self.loop.time()
        for claim in list(self.claims.values()):
            moved = claim.sent_to != self.leader and self.leader in self.links and self.links[self.leader].up
            if now - claim.sent_at > CLAIM_RESEND_S or (moved and now - claim.sent_at > CLAIM_CHECK_S):
                self._send_claim(claim)

    def on_claimed(self, message: ops.Message) -> None:
        _, ident, verdict, owner, name, digest = message
        claim = self.claims.get(ident)
        # A grant of another claim on this key is not for this one.
        if claim is None or (verdict == GRANTED and name != claim.claim_id):
            return
        if verdict == NO_LEADER:
            claim.sent_at = min(claim.sent_at, self.loop.time() - CLAIM_RESEND_S + CLAIM_CHECK_S)
            return
        del self.claims[ident]
        claim.done(verdict, owner, name, digest)

    def _on_claim_timer(self) -> None:
        self.claim_timer = self.loop.call_later(CLAIM_CHECK_S, self._on_claim_timer) if self.claims else None
        self._resend_claims()

    def close(self) -> None:
        self.report_timer.cancel()
        if self.claim_timer is not None:
            self.claim_timer.cancel()
        for link in self.links.values():
            link.close()


def _significant_fields(row: tuple[Any, ...]) -> tuple[Any, ...]:
    """The fields that others act on, and whether the server is in slow start.

    Without the latter, whoever hears of it later would take an old slow start for a current one.
    """
    record = SidecarRecord(*row)
    return *published_fields(record), record.slow_start_s > 0


class PeerHost(Protocol):
    """Receives what other sidecars answer."""

    def on_peer_message(self, peer: Peer, message: ops.Message) -> None: ...
    def on_peer_lost(self, peer: Peer) -> None: ...
    def on_unsent(self, idents: list[int]) -> None: ...


class _PendingMessage:
    """A message that waits for a connection."""

    __slots__ = ("message", "rank", "on_sent", "queued_at")

    def __init__(
        self, message: ops.Message, rank: int, on_sent: Callable[[Any], None], queued_at: float
    ) -> None:
        self.message, self.rank, self.on_sent, self.queued_at = message, rank, on_sent, queued_at

    @property
    def ident(self) -> int:
        return cast(int, self.message[1])

    @property
    def is_call(self) -> bool:
        return bool(self.message[0] in HELD_OPS)


class Peer:
    """The connection to one other sidecar, opened with the first call.

    What is still unsent when the connection is lost is reported with `on_peer_lost`.
    """

    def __init__(self, host: PeerHost, ip: str, port: int, name: str) -> None:
        self.host, self.ip = host, ip
        self.link = Link(self, (ip, port), (ops.HELLO, ops.PEER, name))
        self.link.on_up, self.link.on_down = self._on_connected, self._on_link_down
        self.loop = asyncio.get_running_loop()
        self.probe_timer: asyncio.TimerHandle | None = None  # set while the connection is probed
        self.hold_timer: asyncio.TimerHandle | None = None  # set while calls wait
        self.probed_at, self.round_trip = 0.0, 0.0  # time of the last probe; round trip in seconds
        self.pending: list[_PendingMessage] = []

    def send(
        self, message: ops.Message, rank: int, on_sent: Callable[[Any], None], at_most_once: bool = False
    ) -> None:
        """`on_sent` gets the queued message once a connection has it; before that it surely was not sent.

        `at_most_once`: it must not be sent again, so it would be lost with a connection that proves dead.
        """
        connection = self.link.connection if self.link.up else None
        max_silence = PROBE_AFTER_ONCE_S if at_most_once else PROBE_AFTER_S
        if (
            connection is not None
            and self.probe_timer is None
            and self.loop.time() - connection.last_received < max_silence
        ):
            on_sent(connection.send(message, rank))
            return
        self.pending.append(_PendingMessage(message, rank, on_sent, self.loop.time()))
        if message[0] in HELD_OPS and self.hold_timer is None:
            hold = min(max(HOLD_S, HOLD_ROUND_TRIPS * self.round_trip), PROBE_TIMEOUT_S)
            self.hold_timer = self.loop.call_later(hold, self._on_hold_timeout)
        if connection is None:
            self.link.start()
        elif self.probe_timer is None:
            self._probe(connection)

    def _on_connected(self, link: Link) -> None:
        """Sends nothing before the other process has answered a probe.

        The kernel accepts connections, and what is written to them, also for a process that is stopped.
        """
        if link.connection is not None:
            self._probe(link.connection)

    def _probe(self, connection: Connection) -> None:
        self.probe_timer, self.probed_at = (
            self.loop.call_later(PROBE_TIMEOUT_S, self._on_probe_timeout, connection),
            self.loop.time(),
        )
        connection.probe(self._on_probe_answer)

    def _on_probe_answer(self) -> None:
        took = self.loop.time() - self.probed_at
        self.round_trip = max(took, ROUND_TRIP_DECAY * self.round_trip + (1.0 - ROUND_TRIP_DECAY) * took)
        self._send_pending()

    def _on_hold_timeout(self) -> None:
        """Calls that no connection has taken go to another server; other messages go on waiting."""
        self.hold_timer = None
        calls = [row.ident for row in self.pending if row.is_call]
        self.pending = [row for row in self.pending if not row.is_call]
        if calls:
            self.host.on_unsent(calls)

    def withdraw(self, ident: int) -> None:
        """Drops a message that is not sent yet."""
        self.pending = [row for row in self.pending if row.ident != ident]

    def _on_probe_timeout(self, connection: Connection) -> None:
        self.probe_timer = None
        # An outstanding call may have run and still be answered: there the connection's own heartbeats
        # decide.
        if not connection.outstanding:
            connection.close()  # else the next call might wait as long behind the same cut

    def _cancel_timers(self) -> None:
        for timer in (self.probe_timer, self.hold_timer):
            if timer is not None:
                timer.cancel()
        self.probe_timer = self.hold_timer = None

    def _send_pending(self) -> None:
        self._cancel_timers()
        pending, self.pending = self.pending, []
        stale = []
        for row in pending:
            if row.is_call and self.loop.time() - row.queued_at > MAX_CALL_AGE_S:
                # This process was stopped: the time that the call states may be over, and the claim on its
                # key too.
                stale.append(row.ident)
            else:
                row.on_sent(self.link.send(row.message, row.rank))
        if stale:
            self.host.on_unsent(stale)

    def _on_link_down(self, link: Link) -> None:
        self._cancel_timers()
        self.pending.clear()  # what is lost with the link is reported as never sent, so it must not be sent
        self.host.on_peer_lost(self)
        if link.retry_timer is not None:  # the next message connects again
            link.retry_timer.cancel()
            link.retry_timer = None

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        self.host.on_peer_message(self, message)

    def on_connection_lost(self, connection: Connection) -> None:
        pass  # `_on_link_down` follows

    def close(self) -> None:
        self._cancel_timers()
        self.link.close()
