"""Group commit: batches, lost answers read back, a store that is away, and the end."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from minthitch.record import writer as writer_module
from minthitch.record.model import Claim, Done, Lost, Result, Settle, State
from minthitch.record.sqlite import SqliteStore
from minthitch.record.store import StoreError
from minthitch.record.writer import Writer
from rigs.faultystore import Faults, FaultyStore
from rigs.servers import PATIENCE


class Desk:
    """A writer over a faulty SQLite store, and what it delivered."""

    def __init__(self, path: Path) -> None:
        self.path, self.faults = path, Faults()
        self.results: dict[int, Result] = {}
        self.batches: list[int] = []
        self.backs = 0
        self.changed = threading.Condition()
        self.writer = Writer(self._make, self._deliver, self._back)
        self.epoch = self.writer.start("n1", 60_000)

    def _make(self) -> Any:
        return FaultyStore(SqliteStore(self.path), self.faults)

    def _deliver(self, results: list[tuple[int, Result]]) -> None:
        with self.changed:
            self.batches.append(len(results))
            for ticket, result in results:
                assert ticket not in self.results  # each ticket comes back once
                self.results[ticket] = result
            self.changed.notify_all()

    def _back(self) -> None:
        with self.changed:
            self.backs += 1
            self.changed.notify_all()

    def claim(self, ticket: int) -> None:
        self.writer.put(ticket, Claim(f"sale{ticket}", "buy", b"d", "n1", self.epoch, "s", 1))

    def until(self, ready: Callable[[], bool]) -> None:
        with self.changed:
            assert self.changed.wait_for(ready, PATIENCE)

    def look(self, identity: str) -> Any:
        store = SqliteStore(self.path)
        store.open()
        try:
            return store.get(identity)
        finally:
            store.close()


@pytest.fixture
def desk(tmp_path: Path) -> Iterator[Desk]:
    made = Desk(tmp_path / "record.db")
    yield made
    made.faults.go.set()
    made.faults.away = False
    made.writer.close()


def test_what_gathers_behind_a_commit_goes_in_one_batch(desk: Desk) -> None:
    desk.faults.script.append("stalls")
    desk.claim(0)
    assert desk.faults.stalled.wait(PATIENCE)
    for ticket in range(1, 101):
        desk.claim(ticket)
    desk.faults.go.set()
    desk.until(lambda: len(desk.results) == 101)
    assert desk.batches == [1, 100]  # 101 sales, two syncs
    assert set(desk.results.values()) == {Done()}


def test_a_batch_is_bounded(desk: Desk, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(writer_module, "MAX_BATCH", 10)
    monkeypatch.setattr(writer_module, "MOST_WAITING", 25)
    desk.faults.script.append("stalls")
    desk.claim(0)
    assert desk.faults.stalled.wait(PATIENCE)
    for ticket in range(1, 31):
        desk.claim(ticket)
    assert [desk.results[t] for t in range(26, 31)] == [Lost("it is too slow")] * 5  # at once
    desk.faults.go.set()
    desk.until(lambda: len(desk.results) == 31)
    assert max(desk.batches) == 10


@pytest.mark.parametrize(("fault", "written"), [("lost-after", True), ("lost-before", False)])
def test_a_commit_whose_answer_never_came_is_read_back(desk: Desk, fault: str, written: bool) -> None:
    desk.faults.script.append(fault)
    desk.claim(1)
    desk.until(lambda: 1 in desk.results and desk.backs == 1)
    assert isinstance(desk.results[1], Done if written else Lost)
    assert (desk.look("sale1") is not None) == written
    desk.claim(2)
    desk.until(lambda: 2 in desk.results)
    assert desk.results[2] == Done()


def test_a_lost_answer_while_the_store_is_away_waits_for_its_truth(desk: Desk) -> None:
    desk.faults.script.append("stalls")
    desk.claim(0)
    assert desk.faults.stalled.wait(PATIENCE)
    desk.faults.script.append("lost-after")
    desk.claim(1)
    desk.faults.go.set()
    desk.until(lambda: 0 in desk.results)
    desk.until(lambda: bool(desk.writer.away) or 1 in desk.results)
    desk.until(lambda: 1 in desk.results)
    assert desk.results[1] == Done()


def test_while_the_store_is_away_what_comes_is_told_at_once(desk: Desk) -> None:
    desk.faults.away = True
    desk.claim(1)
    desk.until(lambda: 1 in desk.results)
    began = time.monotonic()
    for ticket in range(2, 12):
        desk.claim(ticket)
    desk.until(lambda: len(desk.results) == 11)
    assert time.monotonic() - began < PATIENCE / 2
    assert {type(result) for result in desk.results.values()} == {Lost}
    desk.faults.away = False
    desk.until(lambda: desk.backs == 1)
    desk.claim(20)
    desk.until(lambda: 20 in desk.results)
    assert desk.results[20] == Done() and desk.look("sale1") is None


def test_a_full_store_loses_the_batch_and_goes_on(desk: Desk) -> None:
    desk.faults.script.append("fails")
    desk.claim(1)
    desk.until(lambda: desk.backs == 1)
    assert desk.results[1] == Lost("no space left")
    desk.claim(2)
    desk.until(lambda: 2 in desk.results)
    assert desk.results[2] == Done()


def test_a_close_writes_what_waits(desk: Desk) -> None:
    for ticket in range(50):
        desk.claim(ticket)
    desk.writer.close(PATIENCE)
    assert len(desk.results) == 50 and set(desk.results.values()) == {Done()}
    desk.claim(60)
    assert desk.results[60] == Lost("it is closed")
    assert desk.look("sale49") is not None


def test_a_close_while_the_store_is_away_ends_in_time_and_tells_all(desk: Desk) -> None:
    desk.faults.away = True
    desk.claim(1)
    desk.until(lambda: 1 in desk.results)
    desk.claim(2)
    desk.writer.close(PATIENCE)
    assert not desk.writer.thread.is_alive() and isinstance(desk.results[2], Lost)


def test_a_store_that_cannot_be_opened_is_an_error_at_the_start(tmp_path: Path) -> None:
    writer = Writer(lambda: SqliteStore(tmp_path), lambda results: None, lambda: None)
    with pytest.raises(StoreError, match="unable to open"):
        writer.start("n1", 1_000)
    writer.close()


def test_outcomes_are_written_in_the_order_in_which_they_came(desk: Desk) -> None:
    desk.faults.script.append("stalls")
    desk.claim(0)
    assert desk.faults.stalled.wait(PATIENCE)
    desk.claim(1)
    desk.writer.put(2, Settle("sale1", desk.epoch, State.SERVED, 1))
    desk.writer.put(3, Settle("sale1", desk.epoch, State.FAILED, 1))
    desk.faults.go.set()
    desk.until(lambda: 3 in desk.results)
    assert desk.results[2] == Done() and type(desk.results[3]).__name__ == "Held"
    assert desk.look("sale1").state is State.SERVED
