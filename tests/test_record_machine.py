"""Simulates three nodes on one store with random events, crashes, suspensions and fencing.

The simulation counts itself what the servers ran and checks the invariants of the record against that.
Mutants of Lifecycle that violate a rule must be detected.
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
    AttemptFinished,
    CallerGone,
    Conclude,
    DeliverAnswer,
    Lifecycle,
    Opened,
    RecordingMode,
    RecordSettings,
    Release,
    SendRequested,
    StoreAvailable,
    SubmitWrite,
    Tick,
    WriteFinished,
)
from minthitch.record.model import Done, NotWritten, Record, Settle, State
from rigs.modelstore import ModelStore

MS = MILLISECOND
LEASE = SECOND
IDENTITIES = [f"sale{i}" for i in range(6)]
NODES = ["n1", "n2", "n3"]


class Process:
    """One process of a node: its lifecycle, its unfinished writes, its attempts at servers."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.epoch = simulation.store.start_epoch(name, LEASE // MS)
        self.lifecycle = simulation.create_lifecycle(
            RecordSettings(name, self.epoch, lease=LEASE), simulation.now + LEASE
        )
        self.submitted: list[SubmitWrite] = []  # writes without a result
        self.in_flight: list[tuple[int, int, str]] = []  # request, attempt, identity of attempts at a server
        self.open_requests: dict[int, str] = {}

    def feed(self, event: Any) -> None:
        for action in self.lifecycle.handle(self.simulation.now, event):
            self._act(action)

    def _act(self, action: Action) -> None:
        if isinstance(action, SubmitWrite):
            self.submitted.append(action)
        elif isinstance(action, Release):
            identity = self.open_requests.get(action.number)
            if identity is not None:
                self.in_flight.append((action.number, action.attempt, identity))
        elif isinstance(action, Conclude):
            identity = self.open_requests.pop(action.number, None)
            if identity is not None and action.state is State.SERVED:
                self.simulation.answers[identity].append("served")
        elif isinstance(action, DeliverAnswer):
            answer = self.simulation.pending_answers.pop((self.epoch, action.number), None)
            identity = self.open_requests.pop(action.number, None)
            # Without them the caller left while the answer was held.
            if answer is not None and identity is not None:
                self.simulation.answers[identity].append(answer)

    def request(self, identity: str) -> None:
        number = next(self.simulation.numbers)
        self.open_requests[number] = identity
        self.feed(
            Opened(number, identity, "buy", b"d", RecordingMode.REQUIRED, self.simulation.now + 2 * SECOND)
        )
        self.feed(SendRequested(number, 0, "s", 1))

    def serve(self, rng: random.Random, outcome: str) -> None:
        """A server handles one of the attempts."""
        number, attempt, identity = self.in_flight.pop(rng.randrange(len(self.in_flight)))
        if outcome != "never":
            self.simulation.executions[identity] += 1
        self.feed(AttemptFinished(number, attempt, outcome == "never"))
        if number not in self.open_requests:
            return
        state = {"served": State.SERVED, "failed": State.FAILED, "never": State.NEVER_RAN}[outcome]
        self.simulation.pending_answers[self.epoch, number] = state.value
        self.feed(Answered(number, state, 1, "", b"h" if outcome == "served" else b"", b"", b""))

    def finish_write(self, rng: random.Random, outcome: str) -> None:
        put = self.submitted.pop(0)
        if outcome == "lost":
            self.feed(WriteFinished(put.ticket, NotWritten("unavailable")))
            return
        (result,) = self.simulation.store.apply([put.write])
        if outcome == "answers":
            self.feed(WriteFinished(put.ticket, result))
        else:  # it took effect, and its result comes later, when it is read back
            self.submitted.append(put)


class Simulation:
    def __init__(self, create_lifecycle: Callable[[RecordSettings, int], Lifecycle] = Lifecycle) -> None:
        self.create_lifecycle, self.store, self.now = create_lifecycle, ModelStore(), 100 * SECOND
        self.numbers = iter(range(1, 1 << 30))
        self.executions: Counter[str] = Counter()  # how often the servers ran each call
        self.answers: dict[str, list[str]] = {identity: [] for identity in IDENTITIES}
        self.pending_answers: dict[tuple[int, int], str] = {}
        self.processes = {name: Process(self, name) for name in NODES}
        self.suspended: list[Process] = []  # replaced processes that may resume
        self.previous: dict[str, tuple[int, State]] = {}

    def step(self, rng: random.Random) -> None:
        process = rng.choice([*self.processes.values(), *self.suspended])
        roll = rng.random()
        if roll < 0.22:
            process.request(rng.choice(IDENTITIES))
        elif roll < 0.52 and process.submitted:
            process.finish_write(rng, rng.choices(["answers", "late", "lost"], [8, 1, 1])[0])
        elif roll < 0.68 and process.in_flight:
            process.serve(rng, rng.choices(["served", "failed", "never"], [4, 1, 2])[0])
        elif roll < 0.72 and process.open_requests:
            number = rng.choice(list(process.open_requests))
            process.open_requests.pop(number)
            process.feed(CallerGone(number, 1))
        elif roll < 0.76:
            process.feed(StoreAvailable())
        elif roll < 0.90:
            self._advance(rng.choice([1, 20, 100, 400]) * MS, process)
        elif roll < 0.95:
            self.store.fence_expired()
        else:
            self._restart(rng.choice(NODES), stalls=rng.random() < 0.5)
        self._check_transitions()

    def _advance(self, by: int, process: Process) -> None:
        self.now += by
        self.store.now += by // MS
        process.feed(Tick())

    def _restart(self, name: str, stalls: bool) -> None:
        """Starts a new process; the old one crashes, or is suspended and resumes later."""
        old = self.processes[name]
        if stalls:
            self.suspended.append(old)
        else:
            for _, _, identity in old.in_flight:  # attempts at a server may still run
                self.executions[identity] += 1
        self.processes[name] = Process(self, name)

    def _check_transitions(self) -> None:
        for identity, record in self.store.records.items():
            turn, state = self.previous.get(identity, (0, State.INTENT))
            if turn == record.turn and state is not State.INTENT:
                assert record.state is state, f"{identity}: {state} became {record.state}"
            self.previous[identity] = (record.turn, record.state)

    def finish(self) -> None:
        """Finishes all attempts and writes, then lets every lease expire."""
        rng = random.Random(0)
        for process in [*self.processes.values(), *self.suspended]:
            for _ in range(200):
                if process.in_flight:
                    process.serve(rng, "served")
                elif process.submitted:
                    process.finish_write(rng, "answers")
                elif process.lifecycle.backlog:
                    process.feed(StoreAvailable())
                else:
                    break
        self.store.now += 10 * LEASE // MS
        self.store.fence_expired()

    def violations(self) -> list[str]:
        """Calls that ran twice, ran unreported, were reported but never ran, or are still intents."""
        problems = []
        for identity in IDENTITIES:
            record: Record | None = self.store.records.get(identity)
            if self.executions[identity] > 1:
                problems.append(f"{identity}: ran {self.executions[identity]} times")
            reported = record is not None and record.state in (State.SERVED, State.FAILED, State.DOUBT)
            if self.executions[identity] and not reported:
                problems.append(f"{identity}: ran, and is not reported")
            if "served" in self.answers[identity] and not self.executions[identity]:
                problems.append(f"{identity}: reported served, and did not run")
            if record is not None and record.state is State.INTENT:
                problems.append(f"{identity}: still an intent")
        return problems


def simulate(
    seed: int, steps: int, create_lifecycle: Callable[[RecordSettings, int], Lifecycle] = Lifecycle
) -> list[str]:
    simulation, rng = Simulation(create_lifecycle), random.Random(seed)
    for _ in range(steps):
        simulation.step(rng)
    simulation.finish()
    return simulation.violations()


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.integers(0, 1 << 32), st.integers(10, 300))
def test_no_call_runs_twice_and_every_call_that_ran_is_reported(seed: int, steps: int) -> None:
    assert simulate(seed, steps) == []


# Mutants: each violates one rule and must be detected --------------------------------------------


class SendsBeforeIntent(Lifecycle):
    """Attempts are sent before the intent is durable."""

    def _on_send_requested(self, now: int, call: Any, event: SendRequested) -> None:
        super()._on_send_requested(now, call, event)
        if not call.is_over and event.attempt in call.waiting:
            self._release_unchecked(call)

    def _release_unchecked(self, call: Any) -> None:
        for attempt in call.waiting:
            call.in_flight.add(attempt)
            self.actions.append(Release(call.opened.number, attempt))
        call.waiting = {}


class IgnoresFence(Lifecycle):
    """Results are taken as done in spite of the fence and the lease."""

    def _on_write_finished(self, now: int, event: WriteFinished) -> None:
        self.lease_until = now + SECOND
        if type(event.result).__name__ == "Fenced":
            event = WriteFinished(event.ticket, Done())
        super()._on_write_finished(now, event)


class SendsCallsInDoubt(Lifecycle):
    """A call in doubt is sent as if it had never run."""

    def _on_existing(self, now: int, call: Any, record: Record) -> None:
        if record.state is State.DOUBT and not call.is_over and not call.in_flight:
            call.durable = False
            self._release_if_leased(now, call)
        else:
            super()._on_existing(now, call, record)


class FailedAsNeverRan(Lifecycle):
    """A failed call is recorded as never ran."""

    def _submit(self, now: int, write: Any, number: int) -> int:
        if isinstance(write, Settle) and write.state is State.FAILED:
            write = Settle(write.identity, write.epoch, State.NEVER_RAN, write.at)
        return super()._submit(now, write, number)


@pytest.mark.parametrize("mutant", [SendsBeforeIntent, IgnoresFence, SendsCallsInDoubt, FailedAsNeverRan])
def test_a_violated_rule_is_detected(mutant: Callable[[RecordSettings, int], Lifecycle]) -> None:
    assert any(simulate(seed, 300, mutant) for seed in range(60))
