"""The keeper in a real engine: a manual carrier, a real writer over SQLite, scripted store faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from minthitch.engine import Answer, Call, Engine, LoopClock, Message, Request, Served
from minthitch.interface import MILLISECOND, SECOND, ListKind, Settings, Status
from minthitch.listing import static_listing
from minthitch.record.keeper import RecordKeeper, digest
from minthitch.record.lifecycle import Lifecycle, RecordingMode, RecordSettings
from minthitch.record.model import Record, Resolution, State
from minthitch.record.sqlite import SqliteStore
from minthitch.record.writer import Results, Writer
from rigs.faultystore import Faults, FaultyStore
from rigs.servers import PATIENCE
from tests.rules import KEYED_CELL, SAFE, UNSAFE
from tests.test_engine import ManualTransport
from tests.test_node import run

SETTINGS = Settings(
    classes=(SAFE, KEYED_CELL, UNSAFE), max_attempts=4, tier=1, retry_after=True, max_retry_after=2 * SECOND
)


class Caller:
    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def answer(self, call: Call, answer: Answer) -> None:
        self.answers.append(answer)

    @property
    def answer_types(self) -> list[str]:
        return [type(answer).__name__ for answer in self.answers]


class Node:
    """An engine with a store of record, on the running event loop."""

    def __init__(self, path: Path, name: str = "n1", mode: RecordingMode = RecordingMode.REQUIRED) -> None:
        self.path, self.faults = path, Faults()
        loop = asyncio.get_running_loop()
        self.engine = Engine(SETTINGS, 1, LoopClock(loop), lambda text: None)
        self.carrier = self.engine.transport = ManualTransport()
        self.engine.listed(static_listing(["127.0.0.1:1", "127.0.0.1:2"]), ListKind.CACHED)
        self.keeper: RecordKeeper | None = None

        self.writer = Writer(
            self._make_store,
            lambda results: loop.call_soon_threadsafe(self._on_results, results),
            lambda: loop.call_soon_threadsafe(self._on_store_available),
        )
        epoch = self.writer.start(name, 10_000)
        record_settings = RecordSettings(
            name, epoch, intent_within=400 * MILLISECOND, answer_within=200 * MILLISECOND
        )
        lifecycle = Lifecycle(record_settings, self.engine.clock.now() + record_settings.lease)
        self.keeper = RecordKeeper(self.engine, lifecycle, self.writer, {2: mode}, b"X-Sale-Id")
        self.engine.recorder = self.keeper

    def _on_results(self, results: Results) -> None:
        if self.keeper is not None:
            self.keeper.on_results(results)

    def _on_store_available(self) -> None:
        if self.keeper is not None:
            self.keeper.on_store_available()

    def _make_store(self) -> Any:
        return FaultyStore(SqliteStore(self.path), self.faults)

    def request(
        self,
        identity: str,
        record_identity: str = "",
        cls: int = 2,
        body: bytes = b"one ticket",
        left: int = 2 * SECOND,
    ) -> tuple[Caller, Request]:
        caller = Caller()
        fields = [(b"X-Sale-Id", record_identity.encode())] if record_identity else []
        call = Call(identity.encode(), cls, Message(b"POST", b"/tickets", fields, body), time_left=left)
        return caller, self.engine.admit(caller, call)

    async def wait_until(self, ready: Callable[[], object]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not ready():
                await asyncio.sleep(0.005)

    async def wait_for_attempts(self, count: int = 1) -> None:
        await self.wait_until(lambda: len(self.carrier.attempts) >= count)

    def read_record(self, identity: str) -> Record | None:
        store = SqliteStore(self.path)
        store.open()
        try:
            return store.get(identity)
        finally:
            store.close()


@asynccontextmanager
async def node(path: Path, **more: Any) -> AsyncIterator[Node]:
    created = Node(path, **more)
    try:
        yield created
    finally:
        created.faults.resume.set()
        created.faults.unavailable = False
        assert created.keeper is not None
        created.keeper.close()
        await asyncio.to_thread(created.writer.close)


async def _served(path: Path) -> None:
    async with node(path) as n:
        caller, _ = n.request("a", "sale-1")
        assert not n.carrier.attempts  # not sent before its intent is durable
        await n.wait_for_attempts()
        record = n.read_record("sale-1")
        assert record is not None and record.state is State.INTENT and record.server
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket", ((b"content-type", b"a/b"),)))
        assert not caller.answers  # not answered before its outcome is durable
        await n.wait_until(lambda: caller.answers)
        assert caller.answers == [Served(b"ticket", ((b"content-type", b"a/b"),))]
        record = n.read_record("sale-1")
        assert record is not None and record.state is State.SERVED and record.answer == b"ticket"
        again, _ = n.request("b", "sale-1")  # a retry with the same identity
        await n.wait_until(lambda: again.answers)
        assert again.answers == caller.answers and len(n.carrier.attempts) == 1
        other, _ = n.request("c", "sale-1", body=b"two tickets")
        await n.wait_until(lambda: other.answers)
        assert other.answer_types == ["Failed"] and len(n.carrier.attempts) == 1


def test_a_call_is_recorded_before_it_is_sent_and_a_repeat_gets_the_recorded_answer(tmp_path: Path) -> None:
    run(_served, tmp_path / "r.db")


async def _unrecorded_class(path: Path) -> None:
    async with node(path) as n:
        caller, _ = n.request("a", cls=0)
        assert len(n.carrier.attempts) >= 1  # sent at once
        n.carrier.attempts[0].end(Status.OK, Served(b"x"))
        assert caller.answer_types == ["Served"] and n.writer.writes == 0 and not n.engine.held_answers
        assert n.keeper is not None and not n.keeper.requests and not n.keeper.lifecycle.calls


def test_unrecorded_classes_have_no_overhead(tmp_path: Path) -> None:
    run(_unrecorded_class, tmp_path / "r.db")


async def _restart(path: Path) -> None:
    async with node(path) as old:
        old.request("a", "sale-1")
        await old.wait_for_attempts()
        async with node(path) as new:  # the old process is suspended and presumed dead
            record = new.read_record("sale-1")
            assert record is not None and record.state is State.DOUBT
            caller, _ = new.request("b", "sale-1")
            await new.wait_until(lambda: caller.answers)
            assert caller.answer_types == ["Failed"] and not new.carrier.attempts  # never sent again
            late, _ = old.request("c", "sale-2")  # the old process resumes: it can neither write nor send
            await old.wait_until(lambda: late.answers)
            assert late.answer_types == ["Refused"] and len(old.carrier.attempts) == 1
            old.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
            await old.wait_until(lambda: not old.engine.held_answers)
            record = new.read_record("sale-1")
            assert record is not None and record.state is State.DOUBT
            store = SqliteStore(path)
            store.open()
            assert "taken over: served" in store.conflicts("sale-1")[0]  # its late outcome is kept
            store.resolve("sale-1", Resolution.NEVER_RAN, "the ledger has none")
            store.close()
            fresh, _ = new.request("d", "sale-1")
            await new.wait_for_attempts()
            new.carrier.attempts[0].end(Status.OK, Served(b"at last"))
            await new.wait_until(lambda: fresh.answers)
            assert fresh.answer_types == ["Served"]


def test_after_a_restart_the_open_call_is_in_doubt_and_the_old_process_is_fenced(tmp_path: Path) -> None:
    run(_restart, tmp_path / "r.db")


async def _unavailable_before_send(path: Path) -> None:
    async with node(path) as n:
        n.faults.unavailable = True
        caller, _ = n.request("a", "sale-1")
        await n.wait_until(lambda: caller.answers)
        assert caller.answer_types == ["Refused"] and caller.answers[0].retry_after > 0  # type: ignore[union-attr]
        assert not n.carrier.attempts
        n.faults.unavailable = False
        await n.wait_until(lambda: not n.writer.unavailable_reason)
        again, _ = n.request("b", "sale-1")
        await n.wait_for_attempts()
        n.carrier.attempts[0].end(Status.OK, Served(b"x"))
        await n.wait_until(lambda: again.answers)
        assert again.answer_types == ["Served"]


def test_a_call_is_refused_at_once_if_the_store_is_unavailable_before_the_send(tmp_path: Path) -> None:
    run(_unavailable_before_send, tmp_path / "r.db")


async def _stalls_before_send(path: Path) -> None:
    async with node(path) as n:
        n.faults.script.append("stalls")
        caller, _ = n.request("a", "sale-1")
        await n.wait_until(lambda: caller.answers)
        assert caller.answer_types == ["Refused"] and not n.carrier.attempts
        n.faults.resume.set()

        def intent_settled() -> bool:
            record = n.read_record("sale-1")
            return record is not None and record.state is State.NEVER_RAN

        await n.wait_until(intent_settled)  # the intent was written after all, and is settled as never ran


def test_a_call_is_refused_if_the_store_stalls_before_the_send_and_a_late_intent_is_settled(
    tmp_path: Path,
) -> None:
    run(_stalls_before_send, tmp_path / "r.db")


async def _stalls_before_outcome(path: Path) -> None:
    async with node(path) as n:
        caller, request = n.request("a", "sale-1")
        await n.wait_for_attempts()
        n.faults.script.append("stalls")
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await n.wait_until(lambda: caller.answers)
        assert caller.answer_types == ["Served"]  # in time, though its outcome is not durable
        assert n.engine.clock.now() < request.deadline
        record = n.read_record("sale-1")
        assert record is not None and record.state is State.INTENT
        n.faults.resume.set()
        await n.wait_until(lambda: (r := n.read_record("sale-1")) is not None and r.state is State.SERVED)


def test_an_answer_is_delivered_in_time_if_the_store_stalls_before_its_outcome(tmp_path: Path) -> None:
    run(_stalls_before_outcome, tmp_path / "r.db")


async def _unavailable_before_outcome(path: Path) -> None:
    async with node(path) as n:
        caller, _ = n.request("a", "sale-1")
        await n.wait_for_attempts()
        n.faults.unavailable = True
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await n.wait_until(lambda: caller.answers)
        assert caller.answer_types == ["Served"]
        n.faults.unavailable = False
        await n.wait_until(lambda: (r := n.read_record("sale-1")) is not None and r.state is State.SERVED)


def test_an_outcome_is_written_when_the_store_is_available_again(tmp_path: Path) -> None:
    run(_unavailable_before_outcome, tmp_path / "r.db")


async def _unknown_commit(path: Path, fault: str, sends: int) -> None:
    async with node(path) as n:
        n.faults.script.append(fault)
        caller, _ = n.request("a", "sale-1")
        await n.wait_until(lambda: n.carrier.attempts or caller.answers)
        assert len(n.carrier.attempts) == sends
        assert (n.read_record("sale-1") is not None) == bool(sends)


@pytest.mark.parametrize(("fault", "sends"), [("lost-after", 1), ("lost-before", 0)])
def test_an_intent_whose_commit_outcome_is_unknown_is_read_back(
    tmp_path: Path, fault: str, sends: int
) -> None:
    run(_unknown_commit, tmp_path / "r.db", fault, sends)


async def _best_effort(path: Path) -> None:
    async with node(path, mode=RecordingMode.BEST_EFFORT) as n:
        n.faults.unavailable = True
        caller, _ = n.request("a", "sale-1")
        await n.wait_for_attempts()
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await n.wait_until(lambda: caller.answers)
        assert caller.answer_types == ["Served"] and n.keeper is not None
        assert n.keeper.lifecycle.counts["unrecorded"] == 1


def test_best_effort_sends_unrecorded_and_counts_it(tmp_path: Path) -> None:
    run(_best_effort, tmp_path / "r.db")


async def _two_nodes(path: Path) -> None:
    async with node(path, name="n1") as one, node(path, name="n2") as two:
        first, _ = one.request("a", "sale-1")
        await one.wait_for_attempts()
        second, _ = two.request("b", "sale-1")
        await asyncio.sleep(0.1)
        assert not second.answers and not two.carrier.attempts
        one.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await two.wait_until(lambda: second.answers)
        assert first.answers == second.answers == [Served(b"ticket")] and not two.carrier.attempts


def test_a_retry_at_another_node_gets_the_answer_of_the_first_request(tmp_path: Path) -> None:
    run(_two_nodes, tmp_path / "r.db")


async def _wall_clock_jumps(path: Path) -> None:
    """The wall clock of the node jumps a day back and forth: it is recorded, but no decision uses it."""
    async with node(path) as n:
        real, jumps = n.engine.clock.wall, iter((0, -86_400, 86_400, -86_400) * 100)
        setattr(n.engine.clock, "wall", lambda: real() + next(jumps) * SECOND)  # noqa: B010
        for number in range(6):
            caller, _ = n.request(f"a{number}", f"sale-{number}")
            await n.wait_for_attempts(number + 1)
            n.carrier.attempts[number].end(Status.OK, Served(b"ticket"))
            await n.wait_until(caller.answers.copy)
            assert caller.answer_types == ["Served"]
        again, _ = n.request("b", "sale-0")
        await n.wait_until(lambda: again.answers)
        assert again.answer_types == ["Served"] and len(n.carrier.attempts) == 6


def test_wall_clock_jumps_of_a_node_change_no_outcome(tmp_path: Path) -> None:
    run(_wall_clock_jumps, tmp_path / "r.db")


async def _caller_leaves(path: Path) -> None:
    async with node(path) as n:
        caller, request = n.request("a", "sale-1")
        await n.wait_for_attempts()
        n.engine.abandon(request)
        await n.wait_until(lambda: (r := n.read_record("sale-1")) is not None and r.state is State.FAILED)
        assert not caller.answers and n.keeper is not None
        await n.wait_until(lambda: n.keeper is not None and not n.keeper.lifecycle.calls)
        assert not n.keeper.requests


def test_a_call_whose_caller_leaves_after_the_send_is_recorded_as_failed(tmp_path: Path) -> None:
    run(_caller_leaves, tmp_path / "r.db")


async def _drain(path: Path) -> None:
    async with node(path) as n:
        caller, _ = n.request("a", "sale-1")
        await n.wait_for_attempts()
        idle: list[int] = []
        n.engine.on_idle = lambda: idle.append(len(caller.answers))
        n.engine.drain(5 * SECOND)
        n.faults.script.append("stalls")
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        assert not idle and not caller.answers  # not idle while an answer is held
        await n.wait_until(lambda: idle)
        assert idle[0] == 1


def test_a_drain_waits_for_held_answers(tmp_path: Path) -> None:
    run(_drain, tmp_path / "r.db")


async def _many_calls(path: Path) -> None:
    async with node(path) as n:
        callers = [n.request(f"a{i}", f"sale-{i}")[0] for i in range(128)]
        await n.wait_for_attempts(128)
        intents = n.writer.batches
        for attempt in list(n.carrier.attempts):
            attempt.end(Status.OK, Served(b"ticket"))
        await n.wait_until(lambda: all(caller.answers for caller in callers))
        assert all(caller.answer_types == ["Served"] for caller in callers)
        assert n.writer.writes == 256 and n.writer.batches < 128  # far fewer syncs than calls
        assert intents < 64
        assert n.keeper is not None and not n.keeper.lifecycle.calls
        assert not n.keeper.requests and not n.keeper.deliverable


def test_many_concurrent_calls_share_syncs_and_leave_no_state_behind(tmp_path: Path) -> None:
    run(_many_calls, tmp_path / "r.db")


def test_a_digest_depends_on_how_the_bytes_are_split() -> None:
    assert digest(b"ab", b"c") != digest(b"a", b"bc") and digest(b"a") == digest(b"a")
