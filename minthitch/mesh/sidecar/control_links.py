"""A sidecar's connections to the control nodes: their state, reports to them, and claims."""

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
