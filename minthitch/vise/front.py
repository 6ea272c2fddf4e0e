"""The data plane of one vise: its clients' trips, its peers, its gate, the forges, and what is ready."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Any

from minthitch.clamp.budget import Budget
from minthitch.clamp.nested import Nested
from minthitch.engine.calls import Rejected
from minthitch.net.callers import Incoming
from minthitch.press.boot import Boot
from minthitch.press.errors import REPLIES, ErrorKind
from minthitch.press.routes import Table
from minthitch.pulley import ops
from minthitch.pulley.line import Line
from minthitch.scribe.events import Event, say
from minthitch.spool.upstream import Shelf
from minthitch.spool.visitors import Visitor
from minthitch.vise.choice import Choice, Target
from minthitch.vise.gatehouse import Gatehouse
from minthitch.vise.keys import Keys, digest_of, hashed
from minthitch.vise.links import NO_LEADER, Forges, Peer
from minthitch.vise.trip import Attempt, Trip

MOST_SERVER_LINES = 256  # connections to the own server: its slots bound them, this is a guard
MOST_DEADLINE = 600.0  # seconds: a longer one is cut
COUNT_FOR = 1.0  # seconds that one line of the log tells of
COUNTS_SAID = 6  # kinds of answers in one line
BEGGED = 2  # vises that one without forges asks at a time
BACK_WHEN_LEAVING = 0.05  # seconds after which one that came too late is to try elsewhere
Told = Callable[[ops.Message | None], None]


class _Ask:
    """A question to a key's owner."""

    __slots__ = ("done", "peer", "timer")

    def __init__(self, done: Told, peer: Peer, timer: asyncio.TimerHandle) -> None:
        self.done, self.peer, self.timer = done, peer, timer


class Front:
    """Everything that one vise holds, on the running loop."""

    def __init__(self, boot: Boot, epoch: int, shelf: Shelf | None = None) -> None:
        """`epoch` is larger for each life; `shelf` is given by models, else the server's connections."""
        self.boot, self.epoch = boot, epoch
        self.loop = asyncio.get_running_loop()
        self.port = boot.net.port_range[0]
        self.caller = boot.own.svc.encode()
        self.random = random.Random(epoch ^ hash(boot.own.ip))
        self.seq = 0
        self.leaving = False
        self.last = math.inf  # by when all that is open is answered: this process ends then
        self.shut = math.inf  # from when on nothing more is taken
        self.said_ready = False
        self.table: Table | None = None
        self.choice = Choice(boot.own.az, epoch)
        self.budgets: dict[str, Budget] = {}
        self.nodes = 1
        self.trips: set[Trip] = set()
        self.by_visitor: dict[Visitor, Trip] = {}
        self.attempts: dict[int, Attempt] = {}
        self.asks: dict[int, _Ask] = {}
        self.relays: dict[int, tuple[Line, int]] = {}
        self.next = 1
        self.nested_routes = Nested()
        self.nested = 0.0  # calls of repeated runs that are not charged yet, in parts
        self.peers: dict[str, Peer] = {}
        self.counts: dict[str, int] = {}
        shelf = shelf or Shelf(MOST_SERVER_LINES)
        self.gatehouse = Gatehouse(boot.own.upstream, boot.own.svc, shelf, self.tell)
        name = f"{boot.own.ip}/{epoch}"
        self.forges = Forges(self, self.port, name)
        self.keys = Keys(self.forges, boot.terms.bounds.key_win_s, name, self._ask)
        self.name = name
        self.forges.know(tuple(seed.rpartition(":")[0] for seed in boot.net.seeds))

    # What others are told -------------------------------------------------------------------------

    def tell(self) -> None:
        self.forges.report()

    def report(self) -> tuple[Any, ...]:
        self.seq += 1
        own = self.boot.own
        life, slots, state, cold = self.gatehouse.record()
        return (own.ip, self.port, self.epoch, self.seq, own.az, own.svc, life, slots, state, cold,
                not self.leaving)

    def changed(self, config: bool, records: bool) -> None:
        if config:
            self.table = Table(self.forges.replica)
            say(Event.CONFIG, index=self.table.index, routes=len(self.table.routes))
        if records:
            self._list()
        if self.ready() and not self.said_ready:
            self.said_ready = True
            say(Event.READY)

    def _list(self) -> None:
        records = self.forges.views.merged
        self.nodes = max(len(records), 1)
        self.choice.listed(self.loop.time(), (
            (r.service, r.life, r.ip, r.zone, r.slots, r.cold) for r in records.values()
            if r.serving and r.state == "up" and r.life))
        for ip in [ip for ip in self.peers if ip not in records and not self._on(ip)]:
            self.peers.pop(ip).close()

    def _on(self, ip: str) -> bool:
        return any(a.target.ip == ip for a in self.attempts.values())

    def ready(self) -> bool:
        return self.table is not None and self.forges.fresh_seen and not self.leaving

    # Clients --------------------------------------------------------------------------------------

    def header_bytes(self) -> int:
        return self.table.limits.header_bytes if self.table is not None else 32 * 1024

    def body_bytes(self) -> int:
        return self.table.limits.body_bytes if self.table is not None else 64 * 1024 * 1024

    def wanted(self) -> bool:
        return not self.leaving

    def note(self, text: str) -> None:
        say(Event.VISITOR, text=text)

    def take(self, visitor: Visitor, item: Incoming) -> None:
        """Raises Rejected where the request can't be taken."""
        now = self.loop.time()
        if self.table is None:
            pause = REPLIES[ErrorKind.NO_CONFIG].retry_after or 0.0
            raise Rejected(503, "no configuration", int(pause * 1e9))
        if now >= self.shut:  # danger: what is taken now could not be answered before the process ends
            raise Rejected(503, "leaving", int(BACK_WHEN_LEAVING * 1e9))
        route = self.table.match(item.fields.get(b"host", b""), item.target)
        if route is None:
            visitor.respond(visitor.token, 404, (), b"")
            return
        if not item.fields.get(b"x-request-id"):
            raise Rejected(400, "no X-Request-Id")
        if route.kind == "keyed" and not item.fields.get(b"x-idempotency-key"):
            raise Rejected(400, "no X-Idempotency-Key")
        waited = (time.monotonic_ns() - item.heard) / 1e9 if item.heard else 0.0
        left = _deadline(item.fields.get(b"x-deadline-ms"), route.timeout) - min(waited, 1.0)
        service = route.choose(self.random.random())
        self.budget(service).request(now)
        self._charge_nested(service, now)
        nested = self.nested_routes.note(route.name, self.gatehouse.gate.running)
        trip = Trip(self, visitor, item, route, service, now, left, nested)
        self.trips.add(trip)
        self.by_visitor[visitor] = trip
        trip.begin()

    def _charge_nested(self, service: str, now: float) -> None:
        """Danger: calls of a repeated run are repeats too, and which run made this one can't be seen."""
        running = self.gatehouse.gate.running
        if self.gatehouse.repeats > 0 and running > 0:
            self.nested += self.gatehouse.repeats / running
            if self.nested >= 1.0:
                self.nested -= 1.0
                self.budget(service).charge(now)

    def gone(self, visitor: Visitor) -> None:
        trip = self.by_visitor.pop(visitor, None)
        if trip is not None and not trip.closed and trip.token == visitor.token:
            trip.abandoned()

    def over(self, trip: Trip) -> None:
        self.trips.discard(trip)
        if self.by_visitor.get(trip.visitor) is trip:
            del self.by_visitor[trip.visitor]

    def open_key(self, trip: Trip) -> None:
        item = trip.item
        self.keys.open(trip, hashed(item.fields[b"x-idempotency-key"]),
                       digest_of(item.method, item.target, item.body))

    def budget(self, service: str) -> Budget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.boot.terms.bounds
            found = self.budgets[service] = Budget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_win_s)
        return found

    def refused(self, kind: ErrorKind, route: str) -> None:
        """Counts an answer of our own; a second's counts are one line in the log."""
        if not self.counts:
            self.loop.call_later(COUNT_FOR, self._say_counts)
        name = f"{kind.value} on {route}"
        self.counts[name] = self.counts.get(name, 0) + 1

    def _say_counts(self) -> None:
        counts, self.counts = self.counts, {}
        most = sorted(counts.items(), key=lambda item: -item[1])[:COUNTS_SAID]
        say(Event.REFUSED, kinds=", ".join(f"{number} {name}" for name, number in most))

    # Calls to other vises' servers ------------------------------------------------------------------

    def attempt(self, trip: Trip, target: Target, now: float) -> Attempt:
        attempt = Attempt(self.next, trip, target, now)
        self.next += 1
        self.attempts[attempt.ident] = attempt
        self.choice.sent(target)
        return attempt

    def send(self, attempt: Attempt, message: ops.Message) -> None:
        ip = attempt.target.ip
        if ip == self.boot.own.ip:
            attempt.parcel = _WHOLE
            self.loop.call_soon(self.gatehouse.call, "own", self._from_own_gate, message)
            return
        rank = min(attempt.trip.rank, 2)
        self._peer(ip).send(message, rank, lambda parcel: _left(attempt, parcel))

    def _from_own_gate(self, message: ops.Message) -> None:
        self.loop.call_soon(self._answered, message)

    def _peer(self, ip: str) -> Peer:
        peer = self.peers.get(ip)
        if peer is None:
            record = self.forges.views.merged.get(ip)
            peer = self.peers[ip] = Peer(self, ip, record.port if record else self.port, self.name)
        return peer

    def answered(self, peer: Peer, message: ops.Message) -> None:
        self._answered(message)

    def _answered(self, message: ops.Message) -> None:
        op = message[0]
        if op == ops.TOLD:
            ask = self.asks.pop(message[1], None)
            if ask is not None:
                ask.timer.cancel()
                ask.done(message)
        elif op == ops.CLAIMED:
            self.forges.claimed(message)
        elif op == ops.FED:
            self.forges.fed(message)
        elif op in (ops.ANSWER, ops.BUSY, ops.LOST):
            attempt = self.attempts.pop(message[1], None)
            if attempt is not None:
                self._ended(attempt, message)

    def _ended(self, attempt: Attempt, message: ops.Message) -> None:
        now, trip, target = self.loop.time(), attempt.trip, attempt.target
        route, took = trip.route, now - attempt.sent
        attempt.over = True
        if message[0] == ops.ANSWER:
            _, _, status, fields, body, running, queued = message
            self.choice.told(now, target, running, queued)
            self.choice.ended(now, target, route.name, route.goal, took, ok=status < 500, lost=status >= 500)
            trip.served(attempt, status, fields, body)
        elif message[0] == ops.BUSY:
            _, _, why, arrived, running, queued, wait = message
            self.choice.told(now, target, running, queued)
            target.out = max(target.out - 1, 0)
            self.choice.shut(now, target, why != "gone", arrived)
            trip.turned_away(attempt, arrived, wait)
        else:
            _, _, why, running, queued = message
            self.choice.told(now, target, running, queued)
            self.choice.ended(now, target, route.name, route.goal, took, ok=False, lost=True)
            trip.lost(attempt)

    def lost(self, peer: Peer) -> None:
        """Its line fell, or did not come up."""
        now = self.loop.time()
        fallen = [a for a in self.attempts.values() if a.target.ip == peer.ip]
        if fallen:
            say(Event.PEER_DOWN, ip=peer.ip, open=len(fallen))
        for attempt in fallen:
            self.attempts.pop(attempt.ident, None)
            self.choice.shut(now, attempt.target, False)
            if attempt.left:
                route = attempt.trip.route
                self.choice.ended(now, attempt.target, route.name, route.goal, now - attempt.sent,
                                  ok=False, lost=True)
                attempt.trip.lost(attempt)
            else:
                attempt.target.out = max(attempt.target.out - 1, 0)
                attempt.trip.turned_away(attempt, False, 0.0)
        for ident in [i for i, ask in self.asks.items() if ask.peer is peer]:
            ask = self.asks.pop(ident)
            ask.timer.cancel()
            ask.done(None)

    def cancel(self, attempt: Attempt) -> None:
        """Another copy was faster, or nobody waits any more."""
        if self.attempts.pop(attempt.ident, None) is None:
            return
        now, route = self.loop.time(), attempt.trip.route
        self.choice.ended(now, attempt.target, route.name, route.goal, now - attempt.sent,
                          ok=False, lost=False)
        if attempt.target.ip == self.boot.own.ip:
            self.gatehouse.cancel("own", attempt.ident)
            return
        peer = self._peer(attempt.target.ip)
        if attempt.parcel is None:  # it has not left: it must not, now
            peer.pending = [p for p in peer.pending if p[0][1] != attempt.ident]
        else:
            attempt.parcel.dropped = True
            peer.rope.send((ops.CANCEL, attempt.ident), 0)

    # Keys at other vises ----------------------------------------------------------------------------

    def _ask(self, owner: str, claim: bytes, deadline: float, done: Told) -> None:
        ip, _, epoch = owner.partition("/")
        if ip == self.boot.own.ip:
            if epoch != str(self.epoch):  # a life of ours before this one: nobody knows what became of it
                self.loop.call_soon(done, None)
                return
            self.keys.asked(0, claim, lambda message: self._told_own(message, done))
            return
        ident, self.next = self.next, self.next + 1
        peer = self._peer(ip)
        timer = self.loop.call_at(deadline, self._ask_late, ident)
        self.asks[ident] = _Ask(done, peer, timer)
        peer.send((ops.ASK, ident, claim), 0, lambda parcel: None)

    def _told_own(self, message: ops.Message, done: Told) -> None:
        self.loop.call_soon(done, message)

    def _ask_late(self, ident: int) -> None:
        ask = self.asks.pop(ident, None)
        if ask is not None:
            ask.done(None)

    # Lines that others opened -----------------------------------------------------------------------

    def heard(self, line: Line, message: ops.Message) -> None:
        op = message[0]
        if op == ops.CALL:
            self.gatehouse.call(line, lambda answer: _say_on(line, answer), message)
        elif op == ops.CANCEL:
            self.gatehouse.cancel(line, message[1])
        elif op == ops.ASK:
            self.keys.asked(message[1], message[2], lambda answer: _say_on(line, answer))
        elif op == ops.CLAIM:
            self._relay_for(line, message)
        elif op == ops.BEG and self.forges.reachable():
            delta = self.forges.replica.since(message[1]) if self.forges.replica.index > message[1] else None
            _say_on(line, (ops.FED, delta, list(self.forges.views.merged.values())))

    def fell(self, line: Line) -> None:
        self.gatehouse.fell(line)

    def relay(self, message: ops.Message) -> bool:
        """Danger: cut off from all forges, no key could be claimed; another vise hands the claim on."""
        up = [peer for peer in self.peers.values() if peer.rope.up]
        if not up:
            return False
        self.random.choice(up).rope.send(message, 0)
        return True

    def beg(self, message: ops.Message) -> None:
        """Asks a few of the vises that can be reached."""
        up = [peer for peer in self.peers.values() if peer.rope.up]
        for peer in self.random.sample(up, min(len(up), BEGGED)):
            peer.rope.send(message, 0)

    def _relay_for(self, line: Line, message: ops.Message) -> None:
        if not self.forges.reachable():
            _say_on(line, (ops.CLAIMED, message[1], NO_LEADER, "", b"", b""))
            return
        ident = message[1]
        self.forges.claim(message[2:], self.loop.time() + 1.0,
                          lambda *told: _say_on(line, (ops.CLAIMED, ident, *told)))

    # The end ----------------------------------------------------------------------------------------

    def leave(self, shut: float, last: float) -> None:
        """No new clients are wanted; what comes until `shut` is taken, and answered by `last` (loop's s)."""
        self.leaving, self.shut, self.last = True, shut, last
        self.tell()

    def open(self) -> int:
        return len(self.trips) + len(self.gatehouse.jobs)

    def status(self) -> dict[str, Any]:
        """What this vise knows and does now, for operators."""
        now, gate = self.loop.time(), self.gatehouse.gate
        states: dict[str, int] = {}
        for operation in self.keys.book.held.values():
            states[operation.state] = states.get(operation.state, 0) + 1
        return {
            "vise": self.name, "ready": self.ready(), "leaving": self.leaving,
            "configuration": {"index": self.forges.replica.index},
            "forges": {"leader": self.forges.leader, "term": self.forges.term,
                       "lines": {ip: rope.up for ip, rope in self.forges.ropes.items()}},
            "server": {"life": self.gatehouse.life, "state": self.gatehouse.state, "slots": gate.slots,
                       "running": gate.running, "queued": gate.queued, "mean_s": round(gate.mean, 4)},
            "services": {name: {"servers": len(held), "budget_left": self.budget(name).left(now, self.nodes)}
                         for name, held in self.choice.targets.items()},
            "keys": states, "open": len(self.trips), "nodes": self.nodes,
            "nested_routes": [name for name in self.nested_routes.seen if self.nested_routes.is_nested(name)],
        }

    def close(self) -> None:
        self.forges.close()
        for peer in self.peers.values():
            peer.close()
        self.gatehouse.close()


class _Whole:
    """What stands for a parcel where nothing travels."""

    whole, dropped = True, False


_WHOLE = _Whole()


def _left(attempt: Attempt, parcel: Any) -> None:
    attempt.parcel = parcel


def _say_on(line: Line, message: ops.Message) -> None:
    if line.up:
        line.send(message, 1)


def _deadline(value: bytes | None, otherwise: float) -> float:
    """Seconds of X-Deadline-Ms. Raises Rejected."""
    if value is None:
        return otherwise
    try:
        seconds = float(value) / 1000.0
    except ValueError:
        raise Rejected(400, "bad X-Deadline-Ms") from None
    if not seconds >= 0.0:  # NaN fails this too
        raise Rejected(400, "bad X-Deadline-Ms")
    return min(seconds, MOST_DEADLINE)
