"""Three nodes, one store, random events, crashes, stalls and take-overs: the invariants of the record hold.

The simulation keeps its own ledger of what the servers ran. Mutations of the rules must be seen.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from minthitch.interface import MILLISECOND, SECOND
from minthitch.record.lifecycle import (
    Action,
    Answered,
    AttemptOver,
    CallerGone,
    Came,
    Conclude,
    Lifecycle,
    Need,
    Opened,
    Put,
    Release,
    SendRequested,
    StoreBack,
    Tell,
    Terms,
    Tick,
)
from minthitch.record.model import Done, Lost, Record, Settle, State
from rigs.modelstore import ModelStore

MS = MILLISECOND
LEASE = SECOND
IDENTITIES = [f"sale{i}" for i in range(6)]
NODES = ["n1", "n2", "n3"]


class Start:
    """One start of a node: its life, what the store owes it, what its servers do."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.epoch = world.store.start_epoch(name, LEASE // MS)
        self.life = world.make(Terms(name, self.epoch, lease=LEASE), world.now + LEASE)
        self.asked: list[Put] = []  # writes that are on their way
        self.out: list[tuple[int, int, str]] = []  # request, attempt, identity: at a server
        self.open: dict[int, str] = {}

    def feed(self, event: Any) -> None:
        for action in self.life.handle(self.world.now, event):
            self._act(action)

    def _act(self, action: Action) -> None:
        if isinstance(action, Put):
            self.asked.append(action)
        elif isinstance(action, Release):
            identity = self.open.get(action.number)
            if identity is not None:
                self.out.append((action.number, action.attempt, identity))
        elif isinstance(action, Conclude):
            identity = self.open.pop(action.number, None)
            if identity is not None and action.state is State.SERVED:
                self.world.heard[identity].append("served")
        elif isinstance(action, Tell):
            word = self.world.words.pop((self.epoch, action.number), None)
            identity = self.open.pop(action.number, None)
            if word is not None and identity is not None:  # else its caller left while the answer was held
                self.world.heard[identity].append(word)

    def request(self, identity: str) -> None:
        number = next(self.world.numbers)
        self.open[number] = identity
        self.feed(Opened(number, identity, "buy", b"d", Need.REQUIRED, self.world.now + 2 * SECOND))
        self.feed(SendRequested(number, 0, "s", 1))

    def serve(self, rng: random.Random, how: str) -> None:
        """A server does one of the attempts that are out."""
        number, attempt, identity = self.out.pop(rng.randrange(len(self.out)))
        if how != "never":
            self.world.ran[identity] += 1
        self.feed(AttemptOver(number, attempt, how == "never"))
        if number not in self.open:
            return
        state = {"served": State.SERVED, "failed": State.FAILED, "never": State.NEVER_RAN}[how]
        self.world.words[self.epoch, number] = state.value
        self.feed(Answered(number, state, 1, "", b"h" if how == "served" else b"", b"", b""))

    def store_does(self, rng: random.Random, how: str) -> None:
        put = self.asked.pop(0)
        if how == "lost":
            self.feed(Came(put.ticket, Lost("away")))
            return
        (result,) = self.world.store.apply([put.write])
        if how == "answers":
            self.feed(Came(put.ticket, result))
        else:  # it took effect, and its answer comes later, by reading back
            self.asked.append(put)


class World:
    def __init__(self, make: Callable[[Terms, int], Lifecycle] = Lifecycle) -> None:
        self.make, self.store, self.now = make, ModelStore(), 100 * SECOND
        self.numbers = iter(range(1, 1 << 30))
        self.ran: Counter[str] = Counter()  # the servers' own ledger
        self.heard: dict[str, list[str]] = {identity: [] for identity in IDENTITIES}
        self.words: dict[tuple[int, int], str] = {}
        self.starts = {name: Start(self, name) for name in NODES}
        self.ghosts: list[Start] = []  # old processes that were stopped, and wake
        self.before: dict[str, tuple[int, State]] = {}

    def step(self, rng: random.Random) -> None:
        start = rng.choice([*self.starts.values(), *self.ghosts])
        roll = rng.random()
        if roll < 0.22:
            start.request(rng.choice(IDENTITIES))
        elif roll < 0.52 and start.asked:
            start.store_does(rng, rng.choices(["answers", "late", "lost"], [8, 1, 1])[0])
        elif roll < 0.68 and start.out:
            start.serve(rng, rng.choices(["served", "failed", "never"], [4, 1, 2])[0])
        elif roll < 0.72 and start.open:
            number = rng.choice(list(start.open))
            start.open.pop(number)
            start.feed(CallerGone(number, 1))
        elif roll < 0.76:
            start.feed(StoreBack())
        elif roll < 0.90:
            self._pass(rng.choice([1, 20, 100, 400]) * MS, start)
        elif roll < 0.95:
            self.store.fence_expired()
        else:
            self._restart(rng.choice(NODES), stalls=rng.random() < 0.5)
        self._monotone()

    def _pass(self, by: int, start: Start) -> None:
        self.now += by
        self.store.now += by // MS
        start.feed(Tick())

    def _restart(self, name: str, stalls: bool) -> None:
        """A crash; or the old process is stopped, thought dead, and wakes later."""
        old = self.starts[name]
        if stalls:
            self.ghosts.append(old)
        else:
            for _, _, identity in old.out:  # what was at a server may run all the same
                self.ran[identity] += 1
        self.starts[name] = Start(self, name)

    def _monotone(self) -> None:
        for identity, record in self.store.records.items():
            turn, state = self.before.get(identity, (0, State.INTENT))
            if turn == record.turn and state is not State.INTENT:
                assert record.state is state, f"{identity}: {state} became {record.state}"
            self.before[identity] = (record.turn, record.state)

    def finish(self) -> None:
        """All that is on its way ends, the store takes all, and every lease runs out."""
        rng = random.Random(0)
        for start in [*self.starts.values(), *self.ghosts]:
            for _ in range(200):
                if start.out:
                    start.serve(rng, "served")
                elif start.asked:
                    start.store_does(rng, "answers")
                elif start.life.backlog:
                    start.feed(StoreBack())
                else:
                    break
        self.store.now += 10 * LEASE // MS
        self.store.fence_expired()

    def judge(self) -> list[str]:
        """The operators' three questions, and that nothing stays an intent."""
        found = []
        for identity in IDENTITIES:
            record: Record | None = self.store.records.get(identity)
            if self.ran[identity] > 1:
                found.append(f"{identity}: ran {self.ran[identity]} times")
            told = record is not None and record.state in (State.SERVED, State.FAILED, State.DOUBT)
            if self.ran[identity] and not told:
                found.append(f"{identity}: ran, and is not reported")
            if "served" in self.heard[identity] and not self.ran[identity]:
                found.append(f"{identity}: reported served, and did not run")
            if record is not None and record.state is State.INTENT:
                found.append(f"{identity}: still an intent")
        return found


def play(seed: int, steps: int, make: Callable[[Terms, int], Lifecycle] = Lifecycle) -> list[str]:
    world, rng = World(make), random.Random(seed)
    for _ in range(steps):
        world.step(rng)
    world.finish()
    return world.judge()


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.integers(0, 1 << 32), st.integers(10, 300))
def test_no_sale_runs_twice_and_none_that_ran_is_unreported(seed: int, steps: int) -> None:
    assert play(seed, steps) == []


# Mutations: each leaves a rule out, and must be seen ----------------------------------------------


class SendsFirst(Lifecycle):
    """The intent is written after the send."""

    def _on_send_requested(self, now: int, call: Any, event: SendRequested) -> None:
        super()._on_send_requested(now, call, event)
        if not call.is_over and event.attempt in call.waiting:
            self._without_lease(call)

    def _without_lease(self, call: Any) -> None:
        for attempt in call.waiting:
            call.in_flight.add(attempt)
            self.actions.append(Release(call.opened.number, attempt))
        call.waiting = {}


class NoFence(Lifecycle):
    """A claim's word is taken without regard to the fence or the lease."""

    def _came(self, now: int, event: Came) -> None:
        self.lease_until = now + SECOND
        if type(event.result).__name__ == "Fenced":
            event = Came(event.ticket, Done())
        super()._came(now, event)


class SendsWhatIsInDoubt(Lifecycle):
    """A record in doubt is taken for one that never ran."""

    def _on_existing(self, now: int, call: Any, record: Record) -> None:
        if record.state is State.DOUBT and not call.is_over and not call.in_flight:
            call.durable = False
            self._release_if_leased(now, call)
        else:
            super()._on_existing(now, call, record)


class ForgetsOutcomes(Lifecycle):
    """A sale that failed is recorded as one that never ran."""

    def _put(self, now: int, write: Any, number: int) -> int:
        if isinstance(write, Settle) and write.state is State.FAILED:
            write = Settle(write.identity, write.epoch, State.NEVER_RAN, write.at)
        return super()._put(now, write, number)


@pytest.mark.parametrize("mutant", [SendsFirst, NoFence, SendsWhatIsInDoubt, ForgetsOutcomes])
def test_a_rule_left_out_is_seen(mutant: Callable[[Terms, int], Lifecycle]) -> None:
    assert any(play(seed, 300, mutant) for seed in range(60))
