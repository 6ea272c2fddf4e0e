"""Group commit: batches, commits with an unknown outcome, an unavailable store, and close."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from minthitch.record import writer as writer_module
from minthitch.record.model import Claim, Done, NotWritten, Result, Settle, State
from minthitch.record.sqlite import SqliteStore
from minthitch.record.store import StoreError
from minthitch.record.writer import Writer
from rigs.faultystore import Faults, FaultyStore
from rigs.servers import PATIENCE


class WriterHarness:
    """A writer over a faulty SQLite store, and the results it delivered."""

    def __init__(self, path: Path) -> None:
        self.path, self.faults = path, Faults()
        self.results: dict[int, Result] = {}
        self.batches: list[int] = []
        self.recoveries = 0
        self.changed = threading.Condition()
        self.writer = Writer(self._make_store, self._deliver, self._on_available)
        self.epoch = self.writer.start("n1", 60_000)

    def _make_store(self) -> Any:
        return FaultyStore(SqliteStore(self.path), self.faults)

    def _deliver(self, results: list[tuple[int, Result]]) -> None:
        with self.changed:
            self.batches.append(len(results))
            for ticket, result in results:
                assert ticket not in self.results  # one result for each ticket
                self.results[ticket] = result
            self.changed.notify_all()

    def _on_available(self) -> None:
        with self.changed:
            self.recoveries += 1
            self.changed.notify_all()

    def claim(self, ticket: int) -> None:
        self.writer.put(ticket, Claim(f"sale{ticket}", "buy", b"d", "n1", self.epoch, "s", 1))

    def wait_until(self, ready: Callable[[], bool]) -> None:
        with self.changed:
            assert self.changed.wait_for(ready, PATIENCE)

    def read_record(self, identity: str) -> Any:
        store = SqliteStore(self.path)
        store.open()
        try:
            return store.get(identity)
        finally:
            store.close()


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[WriterHarness]:
    created = WriterHarness(tmp_path / "record.db")
    yield created
    created.faults.resume.set()
    created.faults.unavailable = False
    created.writer.close()


def test_writes_that_gather_during_a_commit_form_one_batch(harness: WriterHarness) -> None:
    harness.faults.script.append("stalls")
    harness.claim(0)
    assert harness.faults.stalled.wait(PATIENCE)
    for ticket in range(1, 101):
        harness.claim(ticket)
    harness.faults.resume.set()
    harness.wait_until(lambda: len(harness.results) == 101)
    assert harness.batches == [1, 100]  # 101 writes, two syncs
    assert set(harness.results.values()) == {Done()}


def test_the_batch_and_the_queue_are_bounded(harness: WriterHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(writer_module, "MAX_BATCH", 10)
    monkeypatch.setattr(writer_module, "MAX_WAITING", 25)
    harness.faults.script.append("stalls")
    harness.claim(0)
    assert harness.faults.stalled.wait(PATIENCE)
    for ticket in range(1, 31):
        harness.claim(ticket)
    assert [harness.results[t] for t in range(26, 31)] == [
        NotWritten("too many writes are waiting")
    ] * 5  # rejected at once
    harness.faults.resume.set()
    harness.wait_until(lambda: len(harness.results) == 31)
    assert max(harness.batches) == 10


@pytest.mark.parametrize(("fault", "written"), [("lost-after", True), ("lost-before", False)])
def test_a_commit_with_an_unknown_outcome_is_read_back(
    harness: WriterHarness, fault: str, written: bool
) -> None:
    harness.faults.script.append(fault)
    harness.claim(1)
    harness.wait_until(lambda: 1 in harness.results and harness.recoveries == 1)
    assert isinstance(harness.results[1], Done if written else NotWritten)
    assert (harness.read_record("sale1") is not None) == written
    harness.claim(2)
    harness.wait_until(lambda: 2 in harness.results)
    assert harness.results[2] == Done()


def test_an_unknown_outcome_is_resolved_after_a_reconnect(harness: WriterHarness) -> None:
    harness.faults.script.append("stalls")
    harness.claim(0)
    assert harness.faults.stalled.wait(PATIENCE)
    harness.faults.script.append("lost-after")
    harness.claim(1)
    harness.faults.resume.set()
    harness.wait_until(lambda: 0 in harness.results)
    harness.wait_until(lambda: bool(harness.writer.unavailable_reason) or 1 in harness.results)
    harness.wait_until(lambda: 1 in harness.results)
    assert harness.results[1] == Done()


def test_writes_fail_at_once_while_the_store_is_unavailable(harness: WriterHarness) -> None:
    harness.faults.unavailable = True
    harness.claim(1)
    harness.wait_until(lambda: 1 in harness.results)
    began = time.monotonic()
    for ticket in range(2, 12):
        harness.claim(ticket)
    harness.wait_until(lambda: len(harness.results) == 11)
    assert time.monotonic() - began < PATIENCE / 2
    assert {type(result) for result in harness.results.values()} == {NotWritten}
    harness.faults.unavailable = False
    harness.wait_until(lambda: harness.recoveries == 1)
    harness.claim(20)
    harness.wait_until(lambda: 20 in harness.results)
    assert harness.results[20] == Done() and harness.read_record("sale1") is None


def test_a_full_store_fails_the_batch_and_the_writer_continues(harness: WriterHarness) -> None:
    harness.faults.script.append("fails")
    harness.claim(1)
    harness.wait_until(lambda: harness.recoveries == 1)
    assert harness.results[1] == NotWritten("no space left")
    harness.claim(2)
    harness.wait_until(lambda: 2 in harness.results)
    assert harness.results[2] == Done()


def test_close_writes_the_waiting_writes(harness: WriterHarness) -> None:
    for ticket in range(50):
        harness.claim(ticket)
    harness.writer.close(PATIENCE)
    assert len(harness.results) == 50 and set(harness.results.values()) == {Done()}
    harness.claim(60)
    assert harness.results[60] == NotWritten("the writer is closed")
    assert harness.read_record("sale49") is not None


def test_close_while_the_store_is_unavailable_ends_in_time_and_delivers_all_results(
    harness: WriterHarness,
) -> None:
    harness.faults.unavailable = True
    harness.claim(1)
    harness.wait_until(lambda: 1 in harness.results)
    harness.claim(2)
    harness.writer.close(PATIENCE)
    assert not harness.writer.thread.is_alive() and isinstance(harness.results[2], NotWritten)


def test_a_store_that_cannot_be_opened_is_an_error_at_start(tmp_path: Path) -> None:
    writer = Writer(lambda: SqliteStore(tmp_path), lambda results: None, lambda: None)
    with pytest.raises(StoreError, match="unable to open"):
        writer.start("n1", 1_000)
    writer.close()


def test_writes_are_applied_in_order(harness: WriterHarness) -> None:
    harness.faults.script.append("stalls")
    harness.claim(0)
    assert harness.faults.stalled.wait(PATIENCE)
    harness.claim(1)
    harness.writer.put(2, Settle("sale1", harness.epoch, State.SERVED, 1))
    harness.writer.put(3, Settle("sale1", harness.epoch, State.FAILED, 1))
    harness.faults.resume.set()
    harness.wait_until(lambda: 3 in harness.results)
    assert harness.results[2] == Done() and type(harness.results[3]).__name__ == "Existing"
    assert harness.read_record("sale1").state is State.SERVED
