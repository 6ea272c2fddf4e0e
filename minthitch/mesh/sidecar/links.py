"""The lines of a sidecar: to every control node it knows of, and to the sidecars beside the servers that it
calls.
"""

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

REPORT_EVERY = 0.5  # seconds between two looks at what this sidecar would report
SURELY = 2.0  # seconds after which it is reported unchanged, too: the line's beat says that it is alive
CLAIM_AGAIN = 0.4  # seconds after which an unanswered claim is sent again, to whoever leads then
SWEEP = 0.1  # seconds between two looks at claims
MOST_CONTROLS = 64  # control nodes kept lines to
Claimed = Callable[[str, str, bytes, bytes], None]  # verdict, owner, claim, digest
DOUBT = 1.0  # seconds of silence after which a line to another sidecar is asked before it is used,
DOUBT_ONCE = 0.2  # and by what may not be repeated: what is written to a dead one may have run, and is over
HOLD = 0.15  # seconds that a call waits for a line or its answer before it is to go elsewhere, or
HOLD_WORDS = 4.0  # so many times what an answer took there: on a thin link it comes behind uploads
PROBE = 1.5  # seconds for the answer, then a line with nothing open is given up
STALE_CALL = PROBE + 0.5  # seconds for which a call can wait only where this process was stopped
WORD_KEEPS = 0.7  # weight of what is known when an answer came quicker; a slower one counts at once
HELD_OPS = (ops.CALL, ops.OFFER)  # these go elsewhere when no connection takes them in time
PEER = "another sidecar"  # whose view stands in where no control node can be reached
GRANTED, HELD, FULL, NO_LEADER = "granted", "held", "full", "no leader"


class Host(Protocol):
    """Who hears what the control nodes tell."""

    def changed(self, config: bool, records: bool) -> None: ...
    def report(self) -> tuple[Any, ...]: ...
    def relay(self, message: ops.Message) -> bool: ...
    def beg(self, message: ops.Message) -> None: ...
    def need(self) -> tuple[Any, ...] | None: ...
    def heard_of(self, term: int) -> None: ...
    def lent(self, lease: tuple[Any, ...]) -> None: ...


class _Claim:
    __slots__ = ("ident", "body", "done", "sent", "to")

    def __init__(self, ident: int, body: tuple[Any, ...], done: Claimed) -> None:
        self.ident, self.body, self.done = ident, body, done
        self.sent, self.to = 0.0, ""

    @property
    def name(self) -> bytes:
        """What tells this claim from all others, as its body holds it: key, owner, name, digest, over."""
        return bytes(self.body[2])


class ControlLinks:
    """What the control nodes told, and the claims that wait for them."""

    def __init__(self, host: Host, port: int, name: str) -> None:
        self.host, self.port, self.name = host, port, name
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, Link] = {}
        self.by_line: dict[Connection, str] = {}
        self.replica, self.views = Replica(), MergedViews()
        self.leader, self.term = "", 0
        self.fresh_seen = False  # whether a control node that knows the newest has told us all it knows
        self.fresh: dict[str, float] = {}  # when each last spoke as one that knows the newest
        self.claims: dict[int, _Claim] = {}
        self.next = 1
        self.reported: tuple[tuple[Any, ...], float] = (
            (),
            0.0,
        )  # what all control nodes were last told, and when
        self.reporter = self.loop.call_later(0.0, self._report)
        self.sweeper: asyncio.TimerHandle | None = None  # while claims wait

    def know(self, ips: tuple[str, ...]) -> None:
        """Keeps a line to each of these from here on."""
        for ip in ips:
            if ip not in self.links and len(self.links) < MOST_CONTROLS:
                link = Link(self, (ip, self.port), (ops.HELLO, "sidecar", self.name))
                link.on_up = lambda link, ip=ip: self._up(ip, link)
                self.links[ip] = link
                link.start()

    def _up(self, ip: str, link: Link) -> None:
        log_event(Event.CONTROL_UP, ip=ip)
        if link.connection is not None:
            self.by_line[link.connection] = ip
        self._report_to(ip)

    def on_connection_lost(self, connection: Connection) -> None:
        ip = self.by_line.pop(connection, "")
        if not ip:
            return
        log_event(Event.CONTROL_DOWN, ip=ip)
        self.fresh.pop(ip, None)
        self.views.disconnect(ip)
        for claim in self.claims.values():
            if claim.to == ip:
                claim.sent = 0.0
        if not any(link.up for link in self.links.values()):
            log_event(Event.NO_CONTROL)
        self.host.changed(False, True)
        self._send_claims()

    def reachable(self) -> bool:
        return any(link.up for link in self.links.values())

    # What they tell -------------------------------------------------------------------------------

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        if message[0] == ops.CONTROL_STATE:
            self._state(self.by_line.get(connection, ""), message)
        elif message[0] == ops.LEASE_GRANT:
            self.host.lent(message[1:])
        elif message[0] == ops.CLAIM_RESULT:
            self.claimed(message)

    def _state(self, ip: str, message: ops.Message) -> None:
        _, fresh, term, leader, controls, delta, whole, changed, dropped = message
        if not ip:
            return
        config = False
        before = self.replica.index
        if delta is not None:
            if self.replica.merge(decompress(delta)):
                config = self.replica.index > before
            else:  # it believes that we have more than we have
                self._report_to(ip)
        records = whole or bool(changed) or bool(dropped)
        if records:  # of several control nodes that tell the same, the first one's word is news
            rows = [SidecarRecord(*row) for row in changed]
            records = self.views.update(self.loop.time(), ip, RegistryDelta(whole, rows, list(dropped)))
            records = self.views.disconnect(PEER) or records
        records = self.views.expire(self.loop.time()) or records
        if term >= self.term and leader:
            self.term, self.leader = term, leader
        self.host.heard_of(self.term)
        if not fresh:
            self.fresh.pop(ip, None)
        else:
            self.fresh[ip] = self.loop.time()
            self.fresh_seen = self.fresh_seen or self.replica.index > 0
        self.know(controls)
        if config or records:
            self.host.changed(config, records)
        if self.claims:
            self._send_claims()

    def fed(self, message: ops.Message) -> None:
        """What another sidecar knows, while no control node can be reached from here."""
        _, delta, records = message
        if self.reachable():
            return
        before = self.replica.index
        if delta is not None:
            self.replica.merge(delta)
        self.views.update(
            self.loop.time(), PEER, RegistryDelta(True, [SidecarRecord(*row) for row in records], [])
        )
        self.host.changed(self.replica.index > before, True)

    # Reports --------------------------------------------------------------------------------------

    def _report(self) -> None:
        self.reporter = self.loop.call_later(REPORT_EVERY, self._report)
        row = self.host.report()
        said, at = self.reported
        if _acted_on(row) != said or self.loop.time() - at >= SURELY:
            self._tell(row)
        self._ask_for_slack()
        if not self.reachable():
            self.host.beg((ops.PEER_FETCH, self.replica.index))

    def report(self) -> None:
        """Tells all control nodes now."""
        self._tell(self.host.report())

    def _tell(self, row: tuple[Any, ...]) -> None:
        self.reported = _acted_on(row), self.loop.time()
        word = cast(bytes, msgpack.packb((ops.REPORT, self.replica.index, *row)))
        for link in self.links.values():
            if link.connection is not None and link.connection.up:
                link.connection.send_packed(word, 0)

    def _report_to(self, ip: str) -> None:
        link = self.links[ip]
        if link.up:
            link.send((ops.REPORT, self.replica.index, *self.host.report()), 0)

    def _ask_for_slack(self) -> None:
        leader = self.links.get(self.leader)
        if leader is not None and leader.up and (need := self.host.need()) is not None:
            leader.send((ops.LEASE_REQUEST, *need), 0)

    # Claims ---------------------------------------------------------------------------------------

    def claim(self, body: tuple[Any, ...], deadline: float, done: Claimed) -> None:
        """`done` is called once: with whose the key is, or NO_LEADER where nobody could say by `deadline`."""
        claim = _Claim(self.next, body, done)
        self.next += 1
        self.claims[claim.ident] = claim
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(SWEEP, self._sweep)
        self.loop.call_at(deadline, self._late, claim.ident)
        self._send(claim)

    def _late(self, ident: int) -> None:
        claim = self.claims.pop(ident, None)
        if claim is not None:
            claim.done(NO_LEADER, "", b"", b"")

    def _send(self, claim: _Claim) -> None:
        now = self.loop.time()
        message = (ops.CLAIM, claim.ident, *claim.body)
        first = self.links.get(self.leader)
        if first is not None and first.up:
            claim.to, claim.sent = self.leader, now
            first.send(message, 0)
            return
        # Danger: the leader may be behind a cut of our own; the others can hand it on.
        for ip in sorted(self.links, key=lambda ip: -self.fresh.get(ip, 0.0)):
            if self.links[ip].up:
                claim.to, claim.sent = ip, now
                self.links[ip].send(message, 0)
                return
        if self.host.relay(message):
            claim.to, claim.sent = "", now

    def _send_claims(self) -> None:
        now = self.loop.time()
        for claim in list(self.claims.values()):
            moved = claim.to != self.leader and self.leader in self.links and self.links[self.leader].up
            if now - claim.sent > CLAIM_AGAIN or (moved and now - claim.sent > SWEEP):
                self._send(claim)

    def claimed(self, message: ops.Message) -> None:
        _, ident, verdict, owner, name, digest = message
        claim = self.claims.get(ident)
        if claim is None or (verdict == GRANTED and name != claim.name):  # another claim's grant is not ours
            return
        if verdict == NO_LEADER:
            claim.sent = min(claim.sent, self.loop.time() - CLAIM_AGAIN + SWEEP)
            return
        del self.claims[ident]
        claim.done(verdict, owner, name, digest)

    def _sweep(self) -> None:
        self.sweeper = self.loop.call_later(SWEEP, self._sweep) if self.claims else None
        self._send_claims()

    def close(self) -> None:
        self.reporter.cancel()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for link in self.links.values():
            link.close()


def _acted_on(row: tuple[Any, ...]) -> tuple[Any, ...]:
    """What others act on, and whether the server is slow still: who hears of it later must not believe it."""
    record = SidecarRecord(*row)
    return *published_fields(record), record.slow_start_s > 0


class PeerHost(Protocol):
    """Who hears what other sidecars answer."""

    def answered(self, peer: Peer, message: ops.Message) -> None: ...
    def lost(self, peer: Peer) -> None: ...
    def unsent(self, idents: list[int]) -> None: ...


class _Unsent:
    """A message that waits for a connection."""

    __slots__ = ("message", "rank", "left", "since")

    def __init__(self, message: ops.Message, rank: int, left: Callable[[Any], None], since: float) -> None:
        self.message, self.rank, self.left, self.since = message, rank, left, since

    @property
    def ident(self) -> int:
        return cast(int, self.message[1])

    @property
    def is_call(self) -> bool:
        return bool(self.message[0] in HELD_OPS)


class Peer:
    """The line to one sidecar, opened with the first call. What could not leave is told as `lost`."""

    def __init__(self, host: PeerHost, ip: str, port: int, name: str) -> None:
        self.host, self.ip = host, ip
        self.link = Link(self, (ip, port), (ops.HELLO, ops.PEER, name))
        self.link.on_up, self.link.on_down = self._connected, self._down
        self.loop = asyncio.get_running_loop()
        self.probe: asyncio.TimerHandle | None = None  # while the line is asked
        self.holding: asyncio.TimerHandle | None = None  # while calls wait
        self.asked, self.word = 0.0, 0.0  # when the line was asked; seconds that its answers take
        self.pending: list[_Unsent] = []

    def send(self, message: ops.Message, rank: int, left: Callable[[Any], None], once: bool = False) -> None:
        """`left` is given the parcel once it is handed to a line: until then it surely is not there.

        `once`: it may not be repeated, and is lost with a line that proves dead.
        """
        connection = self.link.connection if self.link.up else None
        doubt = DOUBT_ONCE if once else DOUBT
        if (
            connection is not None
            and self.probe is None
            and self.loop.time() - connection.last_received < doubt
        ):
            left(connection.send(message, rank))
            return
        self.pending.append(_Unsent(message, rank, left, self.loop.time()))
        if message[0] in HELD_OPS and self.holding is None:
            hold = min(max(HOLD, HOLD_WORDS * self.word), PROBE)
            self.holding = self.loop.call_later(hold, self._held)
        if connection is None:
            self.link.start()
        elif self.probe is None:
            self._ask(connection)

    def _connected(self, link: Link) -> None:
        """Nothing is sent before the other process has said a word.

        The system takes connections, and all that is written to them, for a process that is stopped.
        """
        if link.connection is not None:
            self._ask(link.connection)

    def _ask(self, connection: Connection) -> None:
        self.probe, self.asked = self.loop.call_later(PROBE, self._unheard, connection), self.loop.time()
        connection.probe(self._answers)

    def _answers(self) -> None:
        took = self.loop.time() - self.asked
        self.word = max(took, WORD_KEEPS * self.word + (1.0 - WORD_KEEPS) * took)
        self._send_pending()

    def _held(self) -> None:
        """Calls that no line has taken go elsewhere; what else waits goes on waiting."""
        self.holding = None
        calls = [row.ident for row in self.pending if row.is_call]
        self.pending = [row for row in self.pending if not row.is_call]
        if calls:
            self.host.unsent(calls)

    def withdraw(self, ident: int) -> None:
        """That message must not leave any more."""
        self.pending = [row for row in self.pending if row.ident != ident]

    def _unheard(self, connection: Connection) -> None:
        self.probe = None
        if (
            not connection.outstanding
        ):  # what is open may have run and be answered yet: there the line's own beat decides
            connection.close()  # danger: a new try might wait behind a cut for as long again

    def _wait_no_more(self) -> None:
        for timer in (self.probe, self.holding):
            if timer is not None:
                timer.cancel()
        self.probe = self.holding = None

    def _send_pending(self) -> None:
        self._wait_no_more()
        pending, self.pending = self.pending, []
        stale = []
        for row in pending:
            if row.is_call and self.loop.time() - row.since > STALE_CALL:
                # This process was stopped: the time that the call states, and its claim, may be over.
                stale.append(row.ident)
            else:
                row.left(self.link.send(row.message, row.rank))
        if stale:
            self.host.unsent(stale)

    def _down(self, link: Link) -> None:
        self._wait_no_more()
        self.pending.clear()  # what is lost with the link is told to have never left, and so must not
        self.host.lost(self)
        if link.retry_timer is not None:  # it is tried again when there is something to send
            link.retry_timer.cancel()
            link.retry_timer = None

    def on_message(self, connection: Connection, message: ops.Message) -> None:
        self.host.answered(self, message)

    def on_connection_lost(self, connection: Connection) -> None:
        pass  # `_down` follows

    def close(self) -> None:
        self._wait_no_more()
        self.link.close()
