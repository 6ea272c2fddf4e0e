"""An engine that keeps a record: a carrier by hand, a real writer over SQLite, faults by a script."""

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
from minthitch.record.life import Life, Need, Terms
from minthitch.record.model import Record, State, Word
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


class Asker:
    def __init__(self) -> None:
        self.heard: list[Answer] = []

    def answer(self, call: Call, answer: Answer) -> None:
        self.heard.append(answer)

    @property
    def words(self) -> list[str]:
        return [type(answer).__name__ for answer in self.heard]


class Node:
    """An engine with a record on this loop."""

    def __init__(self, path: Path, name: str = "n1", need: Need = Need.REQUIRED) -> None:
        self.path, self.faults = path, Faults()
        loop = asyncio.get_running_loop()
        self.engine = Engine(SETTINGS, 1, LoopClock(loop), lambda text: None)
        self.carrier = self.engine.transport = ManualTransport()
        self.engine.listed(static_listing(["127.0.0.1:1", "127.0.0.1:2"]), ListKind.CACHED)
        self.keeper: RecordKeeper | None = None

        self.writer = Writer(
            self._make,
            lambda results: loop.call_soon_threadsafe(self._came, results),
            lambda: loop.call_soon_threadsafe(self._back),
        )
        epoch = self.writer.start(name, 10_000)
        terms = Terms(name, epoch, intent_within=400 * MILLISECOND, answer_within=200 * MILLISECOND)
        life = Life(terms, self.engine.clock.now() + terms.lease)
        self.keeper = RecordKeeper(self.engine, life, self.writer, {2: need}, b"X-Sale-Id")
        self.engine.recorder = self.keeper

    def _came(self, results: Results) -> None:
        if self.keeper is not None:
            self.keeper.came(results)

    def _back(self) -> None:
        if self.keeper is not None:
            self.keeper.back()

    def _make(self) -> Any:
        return FaultyStore(SqliteStore(self.path), self.faults)

    def ask(
        self, identity: str, sale: str = "", cls: int = 2, body: bytes = b"one ticket", left: int = 2 * SECOND
    ) -> tuple[Asker, Request]:
        asker = Asker()
        fields = [(b"X-Sale-Id", sale.encode())] if sale else []
        call = Call(identity.encode(), cls, Message(b"POST", b"/tickets", fields, body), time_left=left)
        return asker, self.engine.admit(asker, call)

    async def until(self, ready: Callable[[], object]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not ready():
                await asyncio.sleep(0.005)

    async def sent(self, count: int = 1) -> None:
        await self.until(lambda: len(self.carrier.attempts) >= count)

    def look(self, identity: str) -> Record | None:
        store = SqliteStore(self.path)
        store.open()
        try:
            return store.show(identity)
        finally:
            store.close()


@asynccontextmanager
async def node(path: Path, **more: Any) -> AsyncIterator[Node]:
    made = Node(path, **more)
    try:
        yield made
    finally:
        made.faults.go.set()
        made.faults.away = False
        assert made.keeper is not None
        made.keeper.close()
        await asyncio.to_thread(made.writer.close)


async def _served(path: Path) -> None:
    async with node(path) as n:
        asker, _ = n.ask("a", "sale-1")
        assert not n.carrier.attempts  # not before its intent is durable
        await n.sent()
        record = n.look("sale-1")
        assert record is not None and record.state is State.INTENT and record.server
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket", ((b"content-type", b"a/b"),)))
        assert not asker.heard  # not before its outcome is
        await n.until(lambda: asker.heard)
        assert asker.heard == [Served(b"ticket", ((b"content-type", b"a/b"),))]
        record = n.look("sale-1")
        assert record is not None and record.state is State.SERVED and record.answer == b"ticket"
        again, _ = n.ask("b", "sale-1")  # the same sale, tried again by its client
        await n.until(lambda: again.heard)
        assert again.heard == asker.heard and len(n.carrier.attempts) == 1
        other, _ = n.ask("c", "sale-1", body=b"two tickets")
        await n.until(lambda: other.heard)
        assert other.words == ["Failed"] and len(n.carrier.attempts) == 1


def test_a_sale_is_on_record_before_it_is_sent_and_its_repeat_gets_its_answer(tmp_path: Path) -> None:
    run(_served, tmp_path / "r.db")


async def _unrecorded_pay_nothing(path: Path) -> None:
    async with node(path) as n:
        asker, _ = n.ask("a", cls=0)
        assert len(n.carrier.attempts) >= 1  # at once
        n.carrier.attempts[0].end(Status.OK, Served(b"x"))
        assert asker.words == ["Served"] and n.writer.writes == 0 and not n.engine.held_answers
        assert n.keeper is not None and not n.keeper.requests and not n.keeper.life.calls


def test_classes_that_are_not_recorded_pay_nothing(tmp_path: Path) -> None:
    run(_unrecorded_pay_nothing, tmp_path / "r.db")


async def _restart(path: Path) -> None:
    async with node(path) as old:
        old.ask("a", "sale-1")
        await old.sent()
        async with node(path) as new:  # the old process was stopped, and is thought dead
            record = new.look("sale-1")
            assert record is not None and record.state is State.DOUBT
            asker, _ = new.ask("b", "sale-1")
            await new.until(lambda: asker.heard)
            assert asker.words == ["Failed"] and not new.carrier.attempts  # never sent again
            late, _ = old.ask("c", "sale-2")  # the old one wakes: it can neither write nor send
            await old.until(lambda: late.heard)
            assert late.words == ["Refused"] and len(old.carrier.attempts) == 1
            old.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
            await old.until(lambda: not old.engine.held_answers)
            record = new.look("sale-1")
            assert record is not None and record.state is State.DOUBT
            store = SqliteStore(path)
            store.open()
            assert "taken over: served" in store.conflicts("sale-1")[0]  # its late word is kept
            store.resolve("sale-1", Word.NEVER_RAN, "the ledger has none")
            store.close()
            fresh, _ = new.ask("d", "sale-1")
            await new.sent()
            new.carrier.attempts[0].end(Status.OK, Served(b"at last"))
            await new.until(lambda: fresh.heard)
            assert fresh.words == ["Served"]


def test_after_a_restart_the_open_sale_is_in_doubt_and_the_old_process_is_fenced(tmp_path: Path) -> None:
    run(_restart, tmp_path / "r.db")


async def _away_before(path: Path) -> None:
    async with node(path) as n:
        n.faults.away = True
        asker, _ = n.ask("a", "sale-1")
        await n.until(lambda: asker.heard)
        assert asker.words == ["Refused"] and asker.heard[0].retry_after > 0  # type: ignore[union-attr]
        assert not n.carrier.attempts
        n.faults.away = False
        await n.until(lambda: not n.writer.away)
        again, _ = n.ask("b", "sale-1")
        await n.sent()
        n.carrier.attempts[0].end(Status.OK, Served(b"x"))
        await n.until(lambda: again.heard)
        assert again.words == ["Served"]


def test_a_store_that_is_away_before_the_send_refuses_at_once(tmp_path: Path) -> None:
    run(_away_before, tmp_path / "r.db")


async def _stalls_before(path: Path) -> None:
    async with node(path) as n:
        n.faults.script.append("stalls")
        asker, _ = n.ask("a", "sale-1")
        await n.until(lambda: asker.heard)
        assert asker.words == ["Refused"] and not n.carrier.attempts
        n.faults.go.set()

        def taken_back() -> bool:
            record = n.look("sale-1")
            return record is not None and record.state is State.NEVER_RAN

        await n.until(taken_back)  # the intent landed after all, and says that nothing ran


def test_a_store_that_stalls_before_the_send_refuses_and_takes_the_intent_back(tmp_path: Path) -> None:
    run(_stalls_before, tmp_path / "r.db")


async def _stalls_after(path: Path) -> None:
    async with node(path) as n:
        asker, request = n.ask("a", "sale-1")
        await n.sent()
        n.faults.script.append("stalls")
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await n.until(lambda: asker.heard)
        assert asker.words == ["Served"]  # in time, though its outcome is not durable
        assert n.engine.clock.now() < request.deadline
        record = n.look("sale-1")
        assert record is not None and record.state is State.INTENT
        n.faults.go.set()
        await n.until(lambda: (r := n.look("sale-1")) is not None and r.state is State.SERVED)


def test_a_store_that_stalls_between_answer_and_outcome_does_not_hold_the_answer(tmp_path: Path) -> None:
    run(_stalls_after, tmp_path / "r.db")


async def _away_after(path: Path) -> None:
    async with node(path) as n:
        asker, _ = n.ask("a", "sale-1")
        await n.sent()
        n.faults.away = True
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await n.until(lambda: asker.heard)
        assert asker.words == ["Served"]
        n.faults.away = False
        await n.until(lambda: (r := n.look("sale-1")) is not None and r.state is State.SERVED)


def test_a_store_that_vanishes_mid_sale_gets_the_outcome_when_it_is_back(tmp_path: Path) -> None:
    run(_away_after, tmp_path / "r.db")


async def _lost_commit(path: Path, fault: str, sends: int) -> None:
    async with node(path) as n:
        n.faults.script.append(fault)
        asker, _ = n.ask("a", "sale-1")
        await n.until(lambda: n.carrier.attempts or asker.heard)
        assert len(n.carrier.attempts) == sends
        assert (n.look("sale-1") is not None) == bool(sends)


@pytest.mark.parametrize(("fault", "sends"), [("lost-after", 1), ("lost-before", 0)])
def test_an_intent_whose_commit_answer_never_came_is_read_back(
    tmp_path: Path, fault: str, sends: int
) -> None:
    run(_lost_commit, tmp_path / "r.db", fault, sends)


async def _best_effort(path: Path) -> None:
    async with node(path, need=Need.BEST_EFFORT) as n:
        n.faults.away = True
        asker, _ = n.ask("a", "sale-1")
        await n.sent()
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await n.until(lambda: asker.heard)
        assert asker.words == ["Served"] and n.keeper is not None
        assert n.keeper.life.counts["unrecorded"] == 1


def test_best_effort_sells_on_and_counts(tmp_path: Path) -> None:
    run(_best_effort, tmp_path / "r.db")


async def _two_nodes(path: Path) -> None:
    async with node(path, name="n1") as one, node(path, name="n2") as two:
        first, _ = one.ask("a", "sale-1")
        await one.sent()
        second, _ = two.ask("b", "sale-1")
        await asyncio.sleep(0.1)
        assert not second.heard and not two.carrier.attempts
        one.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        await two.until(lambda: second.heard)
        assert first.heard == second.heard == [Served(b"ticket")] and not two.carrier.attempts


def test_a_retry_that_comes_to_another_node_gets_the_firsts_answer(tmp_path: Path) -> None:
    run(_two_nodes, tmp_path / "r.db")


async def _jumping(path: Path) -> None:
    """The node's wall clock jumps a day back and forth: it is kept for people, and decides nothing."""
    async with node(path) as n:
        real, jumps = n.engine.clock.wall, iter((0, -86_400, 86_400, -86_400) * 100)
        setattr(n.engine.clock, "wall", lambda: real() + next(jumps) * SECOND)  # noqa: B010
        for number in range(6):
            asker, _ = n.ask(f"a{number}", f"sale-{number}")
            await n.sent(number + 1)
            n.carrier.attempts[number].end(Status.OK, Served(b"ticket"))
            await n.until(asker.heard.copy)
            assert asker.words == ["Served"]
        again, _ = n.ask("b", "sale-0")
        await n.until(lambda: again.heard)
        assert again.words == ["Served"] and len(n.carrier.attempts) == 6


def test_a_nodes_clock_that_jumps_changes_no_outcome(tmp_path: Path) -> None:
    run(_jumping, tmp_path / "r.db")


async def _leaves(path: Path) -> None:
    async with node(path) as n:
        asker, request = n.ask("a", "sale-1")
        await n.sent()
        n.engine.abandon(request)
        await n.until(lambda: (r := n.look("sale-1")) is not None and r.state is State.FAILED)
        assert not asker.heard and n.keeper is not None
        await n.until(lambda: n.keeper is not None and not n.keeper.life.calls)
        assert not n.keeper.requests


def test_a_caller_that_leaves_mid_sale_is_on_record_as_failed(tmp_path: Path) -> None:
    run(_leaves, tmp_path / "r.db")


async def _drain(path: Path) -> None:
    async with node(path) as n:
        asker, _ = n.ask("a", "sale-1")
        await n.sent()
        idle: list[int] = []
        n.engine.on_idle = lambda: idle.append(len(asker.heard))
        n.engine.drain(5 * SECOND)
        n.faults.script.append("stalls")
        n.carrier.attempts[0].end(Status.OK, Served(b"ticket"))
        assert not idle and not asker.heard  # it is not idle while an answer is held up
        await n.until(lambda: idle)
        assert idle[0] == 1


def test_a_drain_waits_for_answers_that_are_held_up(tmp_path: Path) -> None:
    run(_drain, tmp_path / "r.db")


async def _many(path: Path) -> None:
    async with node(path) as n:
        askers = [n.ask(f"a{i}", f"sale-{i}")[0] for i in range(128)]
        await n.sent(128)
        intents = n.writer.batches
        for attempt in list(n.carrier.attempts):
            attempt.end(Status.OK, Served(b"ticket"))
        await n.until(lambda: all(asker.heard for asker in askers))
        assert all(asker.words == ["Served"] for asker in askers)
        assert n.writer.writes == 256 and n.writer.batches < 128  # far fewer syncs than sales
        assert intents < 64
        assert n.keeper is not None and not n.keeper.life.calls
        assert not n.keeper.requests and not n.keeper.told


def test_many_sales_at_once_share_their_syncs_and_leave_nothing_behind(tmp_path: Path) -> None:
    run(_many, tmp_path / "r.db")


def test_a_digest_is_of_the_parts_and_not_of_their_sum() -> None:
    assert digest(b"ab", b"c") != digest(b"a", b"bc") and digest(b"a") == digest(b"a")
