"""All short courses of a cold fleet, each played on the decisions alone. Pure.

Three nodes, two servers, and at every step nothing, a node's crash, a server's loss, or a split.

Held against it: no server that is cold is sent more than it bears, by all nodes together, and no node stays
dark while it has a list and a server that answers.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from itertools import product
from typing import Protocol

from minthitch import interface as api
from minthitch.interface import MILLISECOND, SECOND

NODES, SERVERS = 3, 2
STEP = 400 * MILLISECOND
# Steps behind the course in which each node has to send: what time gives one node at one server takes
# 3 nodes * (0.2 of the aim / 0.25) / (0.17 * 2) = 7.1 s at most; all are warm only behind that.
QUIET = 18
ASKS = 3  # requests at each node in a step: more than the cold servers can do
RATE = 20.0  # calls a second of a warm server, one after another
ACTS = ("", "crash 0", "crash 1", "crash 2", "lose 0", "lose 1", "split")
SPEC = api.RequestClass("c", SECOND, 3 * SECOND, api.Effect.SAFE)
SETTINGS = api.Settings(
    (SPEC,),
    siblings=NODES,
    max_attempts=4,
    drain_grace=SECOND,
    cold_share=0.25,
    cold_time=9 * SECOND,
    cold_multiple=2.0,
    idle_close=30 * SECOND,
    answer_slack=20 * MILLISECOND,
)


class Decider(Protocol):
    """What is searched; `minthitch.policy.Balancer` has this form."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]: ...


Make = Callable[[api.Settings, int], Decider]


class World:
    """One course. Server n is number n; each loss makes it start anew."""

    def __init__(self, make: Make, seed: int) -> None:
        self.make, self.seed, self.starts = make, seed, 0
        self.now = SECOND
        self.started, self.free = [self.now] * SERVERS, [0] * SERVERS
        self.sent: list[list[int]] = [[] for _ in range(SERVERS)]  # since its start
        self.by_node: list[list[int]] = [[] for _ in range(NODES)]
        self.cut: set[tuple[int, int]] = set()
        # When, order, node, its life, event, when that was sent.
        self.due: list[tuple[int, int, int, int, api.Event, int]] = []
        self.order = self.requests = 0
        self.lives = [0] * NODES
        self.attempts: dict[tuple[int, int], int] = {}  # node, request
        self.pushed = False
        self.nodes = [self._new() for _ in range(NODES)]
        for node in range(NODES):
            self._tell(node, api.ListKind.FULL)

    def _new(self) -> Decider:
        self.starts += 1
        return self.make(SETTINGS, self.seed * 1_000 + self.starts)

    def _tell(self, node: int, kind: api.ListKind) -> None:
        self._feed(
            node,
            api.ListUpdate(kind, tuple(api.ServerEntry(s, started=self.started[s]) for s in range(SERVERS))),
        )

    def act(self, act: str) -> None:
        what, _, number = act.partition(" ")
        if what == "crash":
            node = int(number)
            self.lives[node] += 1  # its timers and answers are nobody's
            self.nodes[node] = self._new()
            self._tell(node, api.ListKind.FULL)
        elif what == "lose":
            server = int(number)
            self.started[server], self.free[server], self.sent[server] = self.now, 0, []
            for node in range(NODES):
                self._tell(node, api.ListKind.CHANGES)
        elif what == "split":
            self.cut = set() if self.cut else {(0, 0), (1, 1), (2, 1)}

    def step(self) -> None:
        for node in range(NODES):
            for _ in range(ASKS):
                self.requests += 1
                self._feed(node, api.RequestArrived(self.requests, 0, self.now + SPEC.deadline))
        until = self.now + STEP
        while self.due and self.due[0][0] <= until:
            self.now, _, node, life, event, sent = heapq.heappop(self.due)
            if life == self.lives[node]:
                if isinstance(event, api.AttemptEnded):
                    gone = sent < self.started[event.server]
                    event = replace(
                        event, latency=self.now - sent, status=api.Status.RESET if gone else api.Status.OK
                    )
                self._feed(node, event)
        self.now = until

    def _later(self, at: int, node: int, event: api.Event, sent: int = 0) -> None:
        self.order += 1
        heapq.heappush(self.due, (at, self.order, node, self.lives[node], event, sent))

    def _feed(self, node: int, event: api.Event) -> None:
        for action in self.nodes[node].handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self._later(self.now + action.delay, node, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                self._send(node, action)

    def _send(self, node: int, action: api.Send) -> None:
        attempt = self.attempts[node, action.request] = self.attempts.get((node, action.request), -1) + 1
        if (node, action.server) in self.cut:  # it is never heard of again
            return
        server, warmth = action.server, self._warmth(action.server)
        self.free[server] = max(self.free[server], self.now) + int(SECOND / (RATE * warmth))
        self.by_node[node].append(self.now)
        self.sent[server].append(self.now)
        window = [at for at in self.sent[server] if at > self.now - SETTINGS.cold_window]
        bears = SETTINGS.cold_multiple * RATE * warmth * SETTINGS.cold_window / SECOND
        self.pushed = self.pushed or (warmth < 1.0 and len(window) > bears)
        self._later(
            self.free[server],
            node,
            api.AttemptEnded(action.request, attempt, server, api.Status.OK, 0),
            self.now,
        )

    def _warmth(self, server: int) -> float:
        age = (self.now - self.started[server]) / SETTINGS.cold_time
        return min(1.0, SETTINGS.cold_share + (1 - SETTINGS.cold_share) * age)


def play(make: Make, course: Sequence[str], seed: int) -> str:
    """What is broken on this course; "" where nothing is."""
    world = World(make, seed)
    for act in course:
        world.act(act)
        world.step()
    since = world.now
    for _ in range(QUIET):
        world.step()
    if world.pushed:
        return "pushed over"
    dark = [node for node in range(NODES) if not any(at >= since for at in world.by_node[node])]
    return f"node {dark[0]} stays dark" if dark else ""


def search(
    make: Make, depth: int, seed: int = 1, first: Sequence[str] = ACTS
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Each course of this depth, and what it broke."""
    for course in product(first, *[ACTS] * (depth - 1)):
        yield course, play(make, course, seed)
