"""Many nodes, each under its referee, before servers that they share: queues, and what cold ones bear."""

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

IO_TIME = 100 * MS  # what a call takes beside its work


@dataclass
class SimulatedServer:
    """A server of one core: one call after another, slower while it is cold."""

    rate: float  # calls a second when it is warm
    started: int = 0  # 0 = long ago
    free: int = 0
    sent: list[int] = field(default_factory=list)
    served: int = 0
    out: int = 0
    max_connections: int = 0  # connections that it takes; 0 = as many as come
    silent: bool = False  # takes calls and answers none
    failing: bool = False  # answers at once, with an error
    dead: bool = False  # refuses connections
    held: Counter[int] = field(default_factory=Counter)  # node: connections, kept ones too
    busy: Counter[int] = field(default_factory=Counter)  # node: those with a call on them

    def connects(self, node: int) -> bool:
        """Whether a call of this node finds a connection, kept or new."""
        if self.dead:
            return False
        if self.held[node] <= self.busy[node]:
            if self.max_connections and self.held.total() >= self.max_connections:
                return False
            self.held[node] += 1
        self.busy[node] += 1
        return True

    def capacity(self, now: int, setup: Settings) -> float:
        """Calls a second that it can serve now."""
        age = (now - self.started) / setup.cold_time if self.started else 1.0
        return self.rate * min(1.0, setup.cold_share + (1 - setup.cold_share) * age)

    def take(self, now: int, setup: Settings) -> int:
        """When a call that comes now is answered; 0 = never."""
        self.sent.append(now)
        if self.silent or self.failing:
            return 0 if self.silent else now + MS
        self.free = max(self.free, now) + int(SECOND / self.capacity(now, setup))
        return self.free + IO_TIME


class SimulatedFleet:
    """`count` nodes that share nothing but their servers; `run` gives them Poisson traffic."""

    def __init__(
        self, setup: Settings, count: int, machines: dict[int, SimulatedServer], seed: int = 1
    ) -> None:
        self.setup, self.machines, self.random = setup, machines, random.Random(seed)
        self.nodes = [Node(setup, 1_000 * seed + i) for i in range(count)]
        self.read = [0] * count  # of each node's log
        # When, order, node, request, attempt, how it ends.
        self.events: list[tuple[int, int, int, int, int, Status]] = []
        self.accepted: set[tuple[int, int, int]] = set()  # attempts that a server has
        self.order = self.requests = self.refused = self.served = self.connect_failures = 0
        self.by_node = Counter[int]()  # calls served at each node
        self.ended: set[tuple[int, int, int]] = set()
        self.attempts = Counter[tuple[int, int]]()  # node, request: sends so far
        self.now = self.nodes[0].now

    def tell(self, kind: ListKind, entries: tuple[ServerEntry, ...]) -> None:
        for i, node in enumerate(self.nodes):
            node.wait(self.now - node.now)
            node.feed(ListUpdate(kind, entries))
            self._carry_out(i)

    def replace(self, old: list[int], new: list[int]) -> None:
        """All nodes hear in one instant that servers go, and that others have just started."""
        for number, before in zip(new, old, strict=True):
            self.machines[number] = SimulatedServer(self.machines[before].rate, self.now)
        self.tell(
            ListKind.CHANGES,
            (*(ServerEntry(s, State.GONE) for s in old), *(ServerEntry(s, started=self.now) for s in new)),
        )

    def run(
        self, span: int, rate: float, classes: tuple[RequestClass, ...] = (SAFE,), among: int | None = None
    ) -> None:
        """`rate` requests a second for `span` ns, classes by turns, at all nodes or the first `among`."""
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
            machine = self.machines[book.sent[attempt][0]]
            machine.out -= 1
            machine.busy[i] = max(machine.busy[i] - 1, 0)  # 0 at a server that started anew meanwhile
            machine.held[i] = max(machine.held[i] - (status is Status.CANCELLED), 0)
            machine.served += status is Status.OK
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
        machine = self.machines[action.server]
        if not machine.connects(i):
            self.connect_failures += 1
            at, status = self.now + MS, Status.CONNECT_FAILED
        else:
            machine.out += 1
            self.accepted.add((i, action.request, attempt))
            at, status = machine.take(self.now, self.setup), Status.ERROR if machine.failing else Status.OK
        if at:
            self.order += 1
            heapq.heappush(self.events, (at, self.order, i, action.request, attempt, status))

    def cold_overloads(self, number: int) -> list[tuple[int, float]]:
        """Windows in which a cold server was sent more than the rule allows: calls sent and allowed."""
        machine, found = self.machines[number], []
        for first, at in enumerate(machine.sent):
            if at >= machine.started + self.setup.cold_time:
                break
            sent = sum(1 for t in machine.sent[first:] if t < at + self.setup.cold_window)
            most = (
                self.setup.cold_multiple * machine.capacity(at, self.setup) * self.setup.cold_window / SECOND
            )
            if sent > most:
                found.append((sent, most))
        return found
