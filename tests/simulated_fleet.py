"""Simulates many nodes that share servers with queues and cold starts; each node's rules are checked."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from minthitch.interface import (
    SECOND,
    Cancel,
    ListKind,
    ListUpdate,
    Refuse,
    RequestClass,
    Send,
    ServerEntry,
    Settings,
    State,
    Status,
)
from tests.rules import MS, SAFE, Node

IO_TIME = 100 * MS  # latency of a call in addition to its service time


@dataclass
class SimulatedServer:
    """A server that handles one call at a time, slower while it is cold."""

    rate: float  # calls per second when warm
    started: int = 0  # 0 = long ago
    free: int = 0
    sent: list[int] = field(default_factory=list)
    served: int = 0
    out: int = 0
    max_connections: int = 0  # 0 = unlimited
    silent: bool = False  # accepts calls but answers none
    failing: bool = False  # answers at once, with an error
    dead: bool = False  # refuses connections
    held: Counter[int] = field(default_factory=Counter)  # node: open connections, idle ones included
    busy: Counter[int] = field(default_factory=Counter)  # node: connections in use

    def connects(self, node: int) -> bool:
        """Takes an idle or new connection for a call of this node. Returns whether there is one."""
        if self.dead:
            return False
        if self.held[node] <= self.busy[node]:
            if self.max_connections and self.held.total() >= self.max_connections:
                return False
            self.held[node] += 1
        self.busy[node] += 1
        return True

    def capacity(self, now: int, setup: Settings) -> float:
        """Calls per second that it can serve now."""
        age = (now - self.started) / setup.cold_time if self.started else 1.0
        return self.rate * min(1.0, setup.cold_share + (1 - setup.cold_share) * age)

    def take(self, now: int, setup: Settings) -> int:
        """Accepts a call and returns when it is answered; 0 = never."""
        self.sent.append(now)
        if self.silent or self.failing:
            return 0 if self.silent else now + MS
        self.free = max(self.free, now) + int(SECOND / self.capacity(now, setup))
        return self.free + IO_TIME


class SimulatedFleet:
    """`count` nodes that share nothing but their servers; `run` gives them Poisson traffic."""

    def __init__(
        self, setup: Settings, count: int, servers: dict[int, SimulatedServer], seed: int = 1
    ) -> None:
        self.setup, self.servers, self.random = setup, servers, random.Random(seed)
        self.nodes = [Node(setup, 1_000 * seed + i) for i in range(count)]
        self.read = [0] * count  # position in each node's log
        # Time, order, node, request, attempt, status.
        self.events: list[tuple[int, int, int, int, int, Status]] = []
        self.accepted: set[tuple[int, int, int]] = set()  # attempts accepted by a server
        self.order = self.requests = self.refused = self.served = self.connect_failures = 0
        self.by_node = Counter[int]()  # calls served at each node
        self.ended: set[tuple[int, int, int]] = set()
        self.attempts = Counter[tuple[int, int]]()  # node, request: sends so far
        self.now = self.nodes[0].now

    def deliver_list(self, kind: ListKind, entries: tuple[ServerEntry, ...]) -> None:
        for i, node in enumerate(self.nodes):
            node.wait(self.now - node.now)
            node.feed(ListUpdate(kind, entries))
            self._carry_out(i)

    def replace(self, old: list[int], new: list[int]) -> None:
        """Replaces servers by cold ones; all nodes get the list change at once."""
        for number, before in zip(new, old, strict=True):
            self.servers[number] = SimulatedServer(self.servers[before].rate, self.now)
        self.deliver_list(
            ListKind.CHANGES,
            (*(ServerEntry(s, State.GONE) for s in old), *(ServerEntry(s, started=self.now) for s in new)),
        )

    def run(
        self, span: int, rate: float, classes: tuple[RequestClass, ...] = (SAFE,), among: int | None = None
    ) -> None:
        """Sends `rate` requests per second for `span` ns, classes in turn, to all or `among` nodes."""
        until, at = self.now + span, self.now
        while (at := at + int(self.random.expovariate(rate) * SECOND)) < until:
            self._serve(at)
            i = self.random.randrange(among or len(self.nodes))
            self.requests += 1
            self.refused += Refuse(self.requests) in self.nodes[i].request(
                self.requests, classes[self.requests % len(classes)]
            )
            self._carry_out(i)
        self._serve(until)

    def _serve(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            at, _, i, request, attempt, status = heapq.heappop(self.events)
            self._advance(at)
            self._end(i, request, attempt, status)
        self._advance(until)

    def _advance(self, at: int) -> None:
        self.now = at
        for i, node in enumerate(self.nodes):
            node.wait(at - node.now)
            self._carry_out(i)

    def _end(self, i: int, request: int, attempt: int, status: Status) -> None:
        if (i, request, attempt) in self.ended:
            return
        self.ended.add((i, request, attempt))
        book = self.nodes[i].records[request]
        if (i, request, attempt) in self.accepted:
            server = self.servers[book.sent[attempt][0]]
            server.out -= 1
            server.busy[i] = max(server.busy[i] - 1, 0)  # 0 if the server was restarted meanwhile
            server.held[i] = max(server.held[i] - (status is Status.CANCELLED), 0)
            server.served += status is Status.OK
        if status is Status.OK and not book.answers:
            self.served += 1
            self.by_node[i] += 1
        self.nodes[i].end(request, attempt, status, bool(book.answers))
        self._carry_out(i)

    def _carry_out(self, i: int) -> None:
        node = self.nodes[i]
        while self.read[i] < len(node.log):
            action = node.log[self.read[i]]
            self.read[i] += 1
            if isinstance(action, Send):
                self._send(i, action)
            elif isinstance(action, Cancel):
                self._end(i, action.request, action.attempt, Status.CANCELLED)

    def _send(self, i: int, action: Send) -> None:
        attempt = self.attempts[i, action.request]
        self.attempts[i, action.request] += 1
        server = self.servers[action.server]
        if not server.connects(i):
            self.connect_failures += 1
            at, status = self.now + MS, Status.CONNECT_FAILED
        else:
            server.out += 1
            self.accepted.add((i, action.request, attempt))
            at, status = server.take(self.now, self.setup), Status.ERROR if server.failing else Status.OK
        if at:
            self.order += 1
            heapq.heappush(self.events, (at, self.order, i, action.request, attempt, status))

    def cold_overloads(self, number: int) -> list[tuple[int, float]]:
        """Windows in which a cold server got more calls than the rule allows: calls sent and allowed."""
        server, found = self.servers[number], []
        for first, at in enumerate(server.sent):
            if at >= server.started + self.setup.cold_time:
                break
            sent = sum(1 for t in server.sent[first:] if t < at + self.setup.cold_window)
            most = (
                self.setup.cold_multiple * server.capacity(at, self.setup) * self.setup.cold_window / SECOND
            )
            if sent > most:
                found.append((sent, most))
        return found
