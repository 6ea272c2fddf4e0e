"""Checks every action of a balancer against the rules that it must keep, by a record of its requests."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from minthitch.interface import (
    MILLISECOND,
    SECOND,
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Group,
    HangUp,
    ListKind,
    ListUpdate,
    Log,
    Probe,
    Refresh,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestGone,
    Send,
    ServerEntry,
    SetTimer,
    Settings,
    State,
    Status,
    Subscribe,
    Tell,
    TimerFired,
)
from minthitch.policy import Balancer

MS = MILLISECOND
SAFE = RequestClass("read", SECOND, 3 * SECOND, Effect.SAFE, worth=2.0)
KEYED_ALL = RequestClass("put", SECOND, 3 * SECOND, Effect.KEYED, Group.ALL, 2 * SECOND)
KEYED_CELL = RequestClass("put-cell", SECOND, 3 * SECOND, Effect.KEYED, Group.CELL, 2 * SECOND)
KEYED_ZONE = RequestClass("put-zone", SECOND, 3 * SECOND, Effect.KEYED, Group.ZONE, 2 * SECOND)
UNSAFE = RequestClass("buy", SECOND, 3 * SECOND, Effect.UNSAFE, worth=5.0)
CLASSES = (SAFE, KEYED_ALL, KEYED_CELL, KEYED_ZONE, UNSAFE)
BOUND = RequestClass("read-old", SECOND, 3 * SECOND, Effect.SAFE, kinds=(1, 2))
BOUND_KEYED = RequestClass("put-here", SECOND, 3 * SECOND, Effect.KEYED, Group.CELL, 2 * SECOND, zones=(0,))
BOUND_UNSAFE = RequestClass("buy-here", SECOND, 3 * SECOND, Effect.UNSAFE, zones=(1,), kinds=(0, 2))
ALL_CLASSES = (*CLASSES, BOUND, BOUND_KEYED, BOUND_UNSAFE)


def settings(**changes: object) -> Settings:
    base: dict[str, object] = {
        "classes": CLASSES,
        "max_attempts": 4,
        "tick": MS,
        "answer_slack": 20 * MS,
        "drain_grace": 500 * MS,
        "cold_share": 0.3,
        "cold_time": 10 * SECOND,
        "cold_multiple": 3.0,
        "cold_window": 2 * SECOND,
    }
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


def entries(count: int, started: int = 0, kinds: int = 1) -> tuple[ServerEntry, ...]:
    return tuple(
        ServerEntry(i + 1, zone=i % 2, cell=i % 4, kind=i % kinds, started=started) for i in range(count)
    )


@dataclass
class RequestRecord:
    """What the checks know of one request."""

    arrived: RequestArrived
    due: int  # the client's deadline, or the arrival time if that is later
    taken_at: int = 0
    sent: list[tuple[int, int, Status | None]] = field(default_factory=list)  # server, time, outcome
    answers: int = 0


class Node:
    """A balancer whose actions are checked. `feed` raises AssertionError when one breaks a rule."""

    def __init__(self, setup: Settings, seed: int = 1) -> None:
        self.setup, self.balancer = setup, Balancer(setup, seed)
        self.now = 10 * SECOND
        self.records: dict[int, RequestRecord] = {}
        self.known: dict[int, ServerEntry] = {}
        self.withdrawn_at: dict[int, int] = {}  # server: since when it has been draining or gone
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        # Attempts beyond a first: when, of which request, index.
        self.extra_attempts: list[tuple[int, RequestRecord, int]] = []
        self.asked: int | None = None  # when the node last subscribed to the list
        self.subscribed = self.ask_failed = False
        self.free: dict[int, int] = {}  # when a server has served all it has been sent (see `started`)

    def feed(self, event: Event) -> list[Action]:
        self._observe(event)
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.log += actions
        return actions

    def _observe(self, event: Event) -> None:
        if isinstance(event, RequestArrived):
            self.records[event.request] = RequestRecord(event, max(event.deadline, self.now), self.now)
        elif isinstance(event, AttemptEnded) and event.request in self.records:
            book = self.records[event.request]
            if event.attempt < len(book.sent) and book.sent[event.attempt][2] is None:
                server, when, _ = book.sent[event.attempt]
                book.sent[event.attempt] = (server, when, event.status)
                if event.status is Status.OK and not book.answers:
                    book.answers = 1
        elif isinstance(event, RequestGone) and event.request in self.records:
            self.records[event.request].answers = 1
        elif isinstance(event, ListUpdate):
            self._observe_list(event)

    def _observe_list(self, event: ListUpdate) -> None:
        if event.kind is not ListKind.CACHED:
            self.subscribed = event.kind is not ListKind.FAILED
            self.ask_failed = not self.subscribed
        if event.kind is not ListKind.FAILED:
            if event.kind is not ListKind.CHANGES:
                for server in set(self.known) - {e.server for e in event.entries}:
                    self.withdrawn_at.setdefault(server, self.now)
            for entry in event.entries:
                if entry.state is State.READY:
                    self.known[entry.server] = entry
                    self.withdrawn_at.pop(entry.server, None)
                else:
                    self.withdrawn_at.setdefault(entry.server, self.now)

    def _check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert action.delay >= 0
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Cancel):
            assert self.setup.may_cancel
            assert action.attempt < len(self.records[action.request].sent), "cancel of an attempt never made"
        elif isinstance(action, (Refuse, Fail)):
            book = self.records[action.request]
            assert book.answers == 0, "a second final answer"
            assert self.now <= book.due + self.setup.answer_slack, "answered too late"
            book.answers = 1
            if isinstance(action, Refuse):
                spec = self.setup.classes[book.arrived.cls]
                ran = [s for s in book.sent if s[2] is None or not s[2].never_ran]
                assert (
                    not ran
                    or spec.effect is Effect.SAFE
                    or (spec.effect is Effect.KEYED and spec.group is Group.ALL)
                ), "refused what may have run"
        elif isinstance(action, Subscribe):
            assert self.setup.ask_for_list
            self.asked = self.now
        elif isinstance(action, Probe):
            assert self.setup.may_probe and action.server in self.known
        elif isinstance(action, HangUp):
            assert action.server in self.known
        elif isinstance(action, Tell):
            assert self.setup.may_tell and len(action.data) <= 256
        else:
            assert isinstance(action, (Log, Refresh))

    def _check_send(self, action: Send) -> None:
        book = self.records[action.request]
        spec = self.setup.classes[book.arrived.cls]
        assert book.answers == 0, "sent after the final answer"
        assert action.server in self.known, "sent to a server that no list named"
        assert self.now <= self.withdrawn_at.get(action.server, self.now) + self.setup.drain_grace, (
            "drain not kept"
        )
        assert len(book.sent) < self.setup.max_attempts
        ran = [s for s in book.sent if s[2] is None or not s[2].never_ran]
        if any(s[2] is None for s in book.sent):
            assert self.setup.may_duplicate, "two copies at once"
        if ran and spec.effect is Effect.UNSAFE:
            raise AssertionError("an unsafe request that may have run was sent again")
        if ran and spec.effect is Effect.KEYED:
            first, target = self.known[ran[0][0]], self.known[action.server]
            assert self.now < ran[0][1] + spec.window, "keyed repeat outside its window"
            assert spec.group is Group.ALL or (
                first.zone == target.zone if spec.group is Group.ZONE else first.cell == target.cell
            ), "keyed repeat outside its group"
        target = self.known[action.server]
        assert spec.zones is None or target.zone in spec.zones, "sent to a zone that the class may not use"
        assert spec.kinds is None or target.kind in spec.kinds, "sent to a kind that the class may not use"
        book.sent.append((action.server, self.now, None))
        if len(book.sent) > 1:
            self.extra_attempts.append((self.now, book, len(book.sent) - 1))
            self._check_budget()
        if self.setup.ask_for_list and not self.subscribed and self.asked is not None:
            patience = self.setup.ask_within * (4 if self.ask_failed else 1)
            assert self.now - self.asked <= patience, "sent on a list that has not been asked for"

    def _check_budget(self) -> None:
        """Extra attempts in the window up to now, this one included, against the requests received in it."""
        if self.setup.budget_share is None:
            return
        since = self.now - self.setup.budget_window
        made = sum(
            when >= since and book.sent[index][2] is not Status.MOOT
            for when, book, index in self.extra_attempts
        )
        taken = sum(book.taken_at > since for book in self.records.values())
        allowed = self.setup.budget_free + self.setup.budget_share * taken
        assert made <= allowed, f"{made} further attempts where {allowed} are allowed"

    # Driving the node -------------------------------------------------------------------

    def listed(self, count: int, started: int = 0) -> None:
        self.feed(ListUpdate(ListKind.CACHED, entries(count, started)))

    def request(self, number: int, cls: RequestClass = SAFE, left: int = 3 * SECOND) -> list[Action]:
        return self.feed(RequestArrived(number, self.setup.classes.index(cls), self.now + left))

    def end(self, number: int, attempt: int, status: Status, closed: bool = False) -> list[Action]:
        server, when, _ = self.records[number].sent[attempt]
        return self.feed(
            AttemptEnded(number, attempt, server, status, self.now - when, closed or status is Status.OK)
        )

    def wait(self, span: int) -> None:
        """Let time pass; timers fire when they are due."""
        until = self.now + span
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.feed(TimerFired(due[1]))
        self.now = until

    def unanswered(self) -> list[int]:
        return [
            n for n, b in self.records.items() if not b.answers and self.now > b.due + self.setup.answer_slack
        ]

    def train(
        self,
        rounds: int,
        latency: int = 100 * MS,
        slow: dict[int, int] | None = None,
        cls: RequestClass = SAFE,
    ) -> None:
        """Serve `rounds` requests one by one; a server answers in `latency`, or as `slow` says for it."""
        for _ in range(rounds):
            number = 1_000_000 + len(self.records)
            self.request(number, cls)
            while not self.records[number].answers:
                book = self.records[number]
                ends = [
                    (when + (slow or {}).get(server, latency), i)
                    for i, (server, when, status) in enumerate(book.sent)
                    if status is None
                ]
                if not ends or min(ends)[0] > book.arrived.deadline:
                    self.wait(max(book.arrived.deadline - self.now, 0))
                    break
                self.wait(max(min(ends)[0] - self.now, 0))
                if not book.answers:
                    self.end(number, min(ends)[1], Status.OK)
            for i, (_, _, status) in enumerate(self.records[number].sent):
                if status is None:
                    self.end(number, i, Status.CANCELLED, True)

    def started(self, number: int, service: int) -> list[tuple[int, int, int]]:
        """When the attempts of a request end, at servers that serve one call at a time."""
        ends = []
        for index, (server, when, _) in enumerate(self.records[number].sent):
            self.free[server] = max(self.free.get(server, 0), when) + service
            ends.append((self.free[server], number, index))
        return ends

    def queue(self, count: int, every: int, service: int, classes: tuple[RequestClass, ...] = (SAFE,)) -> int:
        """Requests at a constant rate to servers that serve one call at a time; how many were refused."""
        ends: list[tuple[int, int, int]] = []
        refused = 0
        for _ in range(count):
            number = 1_000_000 + len(self.records)
            refused += Refuse(number) in self.request(number, classes[number % len(classes)])
            ends = self.serve(ends + self.started(number, service), self.now + every)
        self.serve(ends, max((e[0] for e in ends), default=self.now))
        return refused

    def serve(self, ends: list[tuple[int, int, int]], until: int) -> list[tuple[int, int, int]]:
        for due, number, index in sorted(e for e in ends if e[0] <= until):
            self.wait(max(due - self.now, 0))
            late = bool(self.records[number].answers)
            actions = self.end(number, index, Status.CANCELLED if late else Status.OK, late)
            known = {e[1:] for e in ends}
            for action in actions:  # a copy sent in the meantime, which no server serves here
                if isinstance(action, Cancel) and (number, action.attempt) not in known:
                    self.end(number, action.attempt, Status.CANCELLED, True)
        self.wait(max(until - self.now, 0))
        return [e for e in ends if e[0] > until]


def hostile_day(setup: Settings, seed: int, steps: int = 400) -> Node:
    """Random valid events: late and repeated outcomes, unknown ids, servers that go and come back."""
    rng = random.Random(seed)
    node = Node(setup, seed)
    node.feed(ListUpdate(ListKind.CACHED, entries(rng.randint(0, 8), kinds=3)))
    for step in range(steps):
        roll = rng.random()
        if roll < 0.35:
            cls = rng.randrange(len(setup.classes))
            left = rng.choice([-5, 0, 1, 40, 500, 3000]) * MS
            node.feed(RequestArrived(step, cls, node.now + left, cost=rng.choice([0, 0, 5 * MS])))
        elif roll < 0.70 and node.records:
            number = rng.choice(list(node.records))
            book = node.records[number]
            pending = [i for i, s in enumerate(book.sent) if s[2] is None]
            if pending:
                index = rng.choice(pending)
                server, when, _ = book.sent[index]
                status = rng.choice([s for s in Status if s is not Status.OK] + 4 * [Status.OK])
                closed = bool(book.answers) or status is Status.OK
                ended = AttemptEnded(number, index, server, status, node.now - when, closed)
                node.feed(ended)
                if rng.random() < 0.1:
                    node.feed(ended)
        elif roll < 0.74:
            node.feed(AttemptEnded(10_000 + step, 0, 1, Status.OK, 5, True))
            node.feed(TimerFired(rng.randrange(1 << 34)))
        elif roll < 0.77 and node.records:
            node.feed(RequestGone(rng.choice([*node.records, 99_999])))
        elif roll < 0.84:
            kind = rng.choice([ListKind.FULL, ListKind.CHANGES, ListKind.CHANGES, ListKind.FAILED])
            named = [] if kind is ListKind.FAILED else rng.sample(range(1, 12), rng.randint(0, 8))
            states = list(State) if kind is ListKind.CHANGES else [State.READY, State.READY, State.DRAINING]
            node.feed(
                ListUpdate(
                    kind,
                    tuple(
                        ServerEntry(
                            s,
                            rng.choice(states),
                            (s - 1) % 2,
                            (s - 1) % 4,
                            (s - 1) % 3,
                            rng.choice([0, 0, node.now]),
                        )
                        for s in named
                    ),
                )
            )
        else:
            node.wait(rng.choice([0, 1, 20, 300]) * MS)
        assert not node.unanswered(), f"seed {seed}, step {step}"
    node.wait(10 * SECOND)
    assert not node.unanswered()
    return node
