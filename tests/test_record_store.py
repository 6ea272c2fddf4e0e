"""Both stores of record against a reference model; SQLite with damaged files, locks and full disks."""

from __future__ import annotations

import os
import random
import resource
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from minthitch.record.model import (
    AddAttempt,
    Claim,
    Done,
    Existing,
    Fenced,
    Lookup,
    Missing,
    Record,
    Renew,
    Resolution,
    Settle,
    State,
    Write,
)
from minthitch.record.postgres import PostgresStore
from minthitch.record.sql import SqlStore
from minthitch.record.sqlite import SqliteStore
from minthitch.record.store import CommitUnknown, StoreError
from rigs.modelstore import ModelStore
from rigs.postgres import Postgres

LEASE = 60_000


@pytest.fixture
def sqlite(tmp_path: Path) -> Iterator[SqliteStore]:
    created = SqliteStore(tmp_path / "record.db", busy_timeout_ms=100)
    created.open()
    yield created
    created.close()


@pytest.fixture(params=["sqlite", "postgres"])
def reopen(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Callable[[], SqlStore]]:
    """Opens a further connection to the same store."""
    opened: list[SqlStore] = []
    server = Postgres(tmp_path / "pg.db") if request.param == "postgres" else None

    def connect() -> SqlStore:
        created = PostgresStore(server.url) if server is not None else SqliteStore(tmp_path / "record.db")
        created.open()
        opened.append(created)
        return created

    yield connect
    for created in opened:
        created.close()
    if server is not None:
        server.close()


@pytest.fixture
def store(reopen: Callable[[], SqlStore]) -> SqlStore:
    return reopen()


def claim(identity: str, epoch: int, digest: bytes = b"d", node: str = "n1") -> Claim:
    return Claim(identity, "buy", digest, node, epoch, "s1", 1)


def settle(identity: str, epoch: int, state: State = State.SERVED, digest: bytes = b"") -> Settle:
    return Settle(identity, epoch, state, 2, "", digest, b"ticket" if state is State.SERVED else None, b"a/b")


def apply(store: SqlStore, *writes: Write) -> list[object]:
    tokens = iter(range(1 << 30))
    return list(store.apply(f"t{random.random()}{next(tokens)}", writes))


def test_a_record_from_claim_to_outcome(store: SqlStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    assert apply(store, Lookup("a")) == [Missing()]
    assert (
        apply(store, claim("a", epoch), AddAttempt("a", epoch, "s2", 5), settle("a", epoch)) == [Done()] * 3
    )
    record = store.get("a")
    assert record == Record(
        "a", "buy", b"d", "n1", epoch, 1, State.SERVED, "s2", 2, 1, 2, "", b"", b"ticket", b"a/b"
    )
    # It has an outcome and is never claimed again.
    assert apply(store, claim("a", epoch)) == [Existing(record)]


def test_an_outcome_is_written_once_and_a_second_is_a_conflict(store: SqlStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    apply(store, claim("a", epoch), settle("a", epoch, digest=b"1"))
    assert apply(store, settle("a", epoch, digest=b"1")) == [
        Done()
    ]  # a repeat after an unknown commit outcome
    (held,) = apply(store, settle("a", epoch, State.FAILED))
    assert isinstance(held, Existing) and held.record.state is State.SERVED
    assert [line.split(" at ")[0] for line in store.conflicts("a")] == [
        f"second outcome: failed by epoch {epoch}"
    ]


def test_of_nodes_that_claim_one_call_one_holds_it(reopen: Callable[[], SqlStore]) -> None:
    winners: list[str] = []
    barrier = threading.Barrier(4)
    reopen()

    def node(name: str) -> None:
        own = reopen()
        epoch = own.start_epoch(name, LEASE)
        for i in range(20):
            barrier.wait()
            if isinstance(apply(own, claim(f"sale{i}", epoch, node=name))[0], Done):
                winners.append(f"sale{i}")
        own.close()  # on the thread that opened it

    threads = [threading.Thread(target=node, args=(f"n{i}",)) for i in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(winners) == sorted(f"sale{i}" for i in range(20))


def test_a_restart_puts_open_intents_in_doubt_once_and_fences_the_old_process(store: SqlStore) -> None:
    old = store.start_epoch("n1", LEASE)
    apply(store, claim("open", old), claim("done", old), settle("done", old))
    new = store.start_epoch("n1", LEASE)
    assert new > old
    assert [r.identity for r in store.doubtful()] == ["open"]
    assert (
        apply(
            store, settle("open", old), claim("late", old), AddAttempt("open", old, "s", 1), Renew(old, LEASE)
        )
        == [Fenced()] * 4
    )  # the suspended process that resumes
    assert store.get("late") is None
    record = store.get("open")
    assert record is not None and record.state is State.DOUBT and record.epoch == old
    assert store.conflicts("open")[0].startswith(
        "from a node that was taken over: served"
    )  # its late outcome
    (held,) = apply(store, claim("open", new))
    assert isinstance(held, Existing) and held.record.state is State.DOUBT  # never sent again


def test_only_expired_epochs_are_fenced_and_each_once(
    reopen: Callable[[], SqlStore], store: SqlStore
) -> None:
    silent, live = store.start_epoch("n1", 0), store.start_epoch("n2", LEASE)
    apply(store, claim("a", silent), claim("b", live, node="n2"))
    while not (found := store.fence_expired()):  # until the store's clock, in ms, has advanced
        pass
    assert [r.identity for r in found] == ["a"] and found[0].state is State.DOUBT
    other = reopen()
    assert other.fence_expired() == store.fence_expired() == []
    other.close()
    assert apply(store, settle("b", live)) == [Done()]


def test_a_renewed_lease_is_kept(store: SqlStore) -> None:
    epoch = store.start_epoch("n1", 0)
    assert apply(store, Renew(epoch, LEASE), claim("a", epoch)) == [Done(), Done()]
    assert store.fence_expired() == []


def test_a_call_that_never_ran_may_be_claimed_again_with_a_new_turn(store: SqlStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    apply(store, claim("a", epoch), settle("a", epoch, State.NEVER_RAN))
    assert apply(store, claim("a", epoch)) == [Done()]
    record = store.get("a")
    assert record is not None and (record.turn, record.state, record.attempts) == (2, State.INTENT, 1)


def test_a_call_that_may_have_run_is_resolved_only_once(store: SqlStore) -> None:
    old = store.start_epoch("n1", LEASE)
    apply(store, claim("a", old), claim("b", old), claim("c", old), settle("c", old))
    new = store.start_epoch("n1", LEASE)
    assert store.resolve("a", Resolution.RAN, "the ledger has it").word is Resolution.RAN
    assert store.resolve("b", Resolution.NEVER_RAN, "the ledger has none").why == "the ledger has none"
    for identity, text in (("a", "'a' is ran"), ("c", "'c' is served"), ("z", "no record of 'z'")):
        with pytest.raises(StoreError, match=text):
            store.resolve(identity, Resolution.NEVER_RAN, "")
    assert store.doubtful() == []
    (held,) = apply(store, claim("a", new))
    assert isinstance(held, Existing) and held.record.word is Resolution.RAN
    assert apply(store, claim("b", new)) == [Done()]
    record = store.get("a")
    assert record is not None and record.state is State.DOUBT  # the outcome itself does not change


def test_a_batch_is_atomic(store: SqlStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    apply(store, claim("a", epoch))
    with pytest.raises(StoreError):
        store.apply("t1", [claim("b", epoch), settle("a", epoch), claim(None, epoch)])  # type: ignore[arg-type]
    assert store.get("b") is None and not store.is_committed("t1")
    record = store.get("a")
    assert record is not None and record.state is State.INTENT
    store.apply("t2", [claim("b", epoch)])
    assert store.is_committed("t2")


def test_pruning_keeps_open_and_unresolved_records(store: SqlStore) -> None:
    old = store.start_epoch("n1", LEASE)
    apply(store, claim("doubt", old))
    epoch = store.start_epoch("n1", LEASE)
    for i in range(10):
        apply(store, claim(f"s{i}", epoch), Settle(f"s{i}", epoch, State.SERVED, 100 + i))
    apply(store, claim("open", epoch), claim("failed", epoch), settle("failed", epoch, State.FAILED))
    assert store.prune(103, 1_000) == 3
    assert store.prune(0, 6) == 4
    assert {r.identity for r in store.export()} == {"doubt", "open", "failed", "s7", "s8", "s9"}
    assert store.prune(1 << 60, 0) == 3
    assert {r.identity for r in store.export()} == {"doubt", "open", "failed"}


def test_an_export_reads_all_pages(store: SqlStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    apply(store, *(claim(f"i{i:05}", epoch) for i in range(1_201)))
    assert [r.identity for r in store.export()] == [f"i{i:05}" for i in range(1_201)]


@pytest.mark.parametrize("seed", range(6))
def test_store_and_model_agree_on_random_writes(store: SqlStore, seed: int) -> None:
    rng, model = random.Random(seed), ModelStore()
    epochs = {
        "n1": (store.start_epoch("n1", LEASE), model.start_epoch("n1", LEASE)),
        "n2": (store.start_epoch("n2", LEASE), model.start_epoch("n2", LEASE)),
    }
    pairs = list(epochs.values())  # fenced epochs too: suspended processes resume writing
    for step in range(150):
        if rng.random() < 0.05:
            name = rng.choice(["n1", "n2"])
            epochs[name] = (store.start_epoch(name, LEASE), model.start_epoch(name, LEASE))
            pairs.append(epochs[name])
        store_epoch, model_epoch = rng.choice(pairs)
        identity, state = (
            f"i{rng.randrange(12)}",
            rng.choice([State.SERVED, State.FAILED, State.NEVER_RAN, State.NEVER_RAN]),
        )
        roll, digest = rng.random(), bytes([rng.randrange(3)])

        if rng.random() < 0.05:
            word = rng.choice(list(Resolution))
            resolved = model.resolve(identity, word, "w")
            try:
                store.resolve(identity, word, "w")
                assert resolved
            except StoreError:
                assert not resolved
        writes: list[Write] = []
        for epoch in (store_epoch, model_epoch):
            writes.append(
                claim(identity, epoch)
                if roll < 0.4
                else AddAttempt(identity, epoch, "s2", step)
                if roll < 0.5
                else Lookup(identity)
                if roll < 0.6
                else settle(identity, epoch, state, digest)
            )
        (one,), (two,) = apply(store, writes[0]), model.apply(writes[1:])
        assert type(one) is type(two), f"seed {seed}, step {step}"
    assert store_epoch == model_epoch
    facts = [
        {(r.identity, r.state, r.turn, r.attempts, r.word, r.epoch, r.answer_digest) for r in records}
        for records in (store.export(), model.records.values())
    ]
    assert facts[0] == facts[1]
    assert sum(len(store.conflicts(f"i{i}")) for i in range(12)) == len(model.conflicts)


# Files, locks, disks ----------------------------------------------------------------------------


def test_a_file_that_is_damaged_is_one_clear_error(tmp_path: Path) -> None:
    path = tmp_path / "record.db"
    path.write_bytes(b"no database at all" * 100)
    with pytest.raises(StoreError, match=r"record\.db: file is not a database"):
        SqliteStore(path).open()
    good = SqliteStore(tmp_path / "good.db")
    good.open()
    epoch = good.start_epoch("n1", LEASE)
    apply(good, *(claim(f"i{i}", epoch) for i in range(2_000)))
    good.close()
    data = bytearray((tmp_path / "good.db").read_bytes())
    data[4096 * 3 : 4096 * 6] = b"\xff" * 4096 * 3
    (tmp_path / "good.db").write_bytes(data)
    with pytest.raises(StoreError, match=r"good\.db: .*(damaged|malformed)"):
        SqliteStore(tmp_path / "good.db").open()


def test_a_path_that_cannot_be_used_is_one_clear_error(tmp_path: Path) -> None:
    for path in (tmp_path / "none" / "record.db", tmp_path):
        with pytest.raises(StoreError, match="unable to open"):
            SqliteStore(path).open()


def test_a_schema_newer_than_the_program_is_one_clear_error(
    reopen: Callable[[], SqlStore], store: SqlStore
) -> None:
    store.set_schema_version(99)
    with pytest.raises(StoreError, match="version 99 of the store is newer"):
        reopen()


def test_a_lock_of_another_process_is_an_error_after_the_timeout(sqlite: SqliteStore) -> None:
    epoch = sqlite.start_epoch("n1", LEASE)
    other = sqlite3.connect(sqlite.path, isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreError, match="locked"):
        apply(sqlite, claim("a", epoch))
    other.execute("ROLLBACK")
    other.close()
    assert apply(sqlite, claim("a", epoch)) == [Done()]


def _open_read_only_in_child(folder: str) -> None:
    """Runs in a child process that may no longer write the files."""
    if os.getuid() == 0:  # root may write read-only files
        os.setgid(65534)
        os.setuid(65534)
    try:
        SqliteStore(folder + "/record.db").open()
    except StoreError as err:
        os._exit(0 if "readonly database" in str(err) and "\n" not in str(err) else 1)
    os._exit(2)


def test_a_file_turned_read_only_is_one_clear_error_and_keeps_its_records() -> None:
    folder = Path(tempfile.mkdtemp(prefix="minthitch-"))
    try:
        store = SqliteStore(folder / "record.db")
        store.open()
        epoch = store.start_epoch("n1", LEASE)
        assert apply(store, claim("a", epoch)) == [Done()]
        store.run("PRAGMA query_only = ON")  # on the open connection, for SQLite's own error
        with pytest.raises(StoreError, match="readonly database") as caught:
            apply(store, claim("b", epoch))
        assert not isinstance(caught.value, CommitUnknown)
        store.close()
        (folder / "record.db").chmod(0o444)
        folder.chmod(0o555)
        child = os.fork()
        if not child:
            _open_read_only_in_child(str(folder))
        assert os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]) == 0
        folder.chmod(0o755)
        (folder / "record.db").chmod(0o644)
        reopened = SqliteStore(folder / "record.db")
        reopened.open()
        assert [record.identity for record in reopened.export()] == ["a"]
        assert apply(reopened, claim("b", epoch)) == [Done()]
        reopened.close()
    finally:
        folder.chmod(0o755)
        shutil.rmtree(folder)


@pytest.mark.parametrize("by", [-86_400_000, 86_400_000])
def test_clock_jumps_of_the_store_expire_leases_but_change_no_outcome(sqlite: SqliteStore, by: int) -> None:
    """Forward, every lease expires: its epoch is fenced, its open call in doubt. Backward, none does."""
    first_epoch, second_epoch = sqlite.start_epoch("n1", LEASE), sqlite.start_epoch("n2", LEASE)
    apply(sqlite, claim("a", first_epoch), claim("b", second_epoch, node="n2"), settle("b", second_epoch))
    sqlite.dialect = replace(sqlite.dialect, now=f"({sqlite.dialect.now} + {by})")
    sqlite._translated.clear()
    assert [record.identity for record in sqlite.fence_expired()] == (["a"] if by > 0 else [])
    late = apply(sqlite, settle("a", first_epoch), claim("c", second_epoch, node="n2"))
    assert late == ([Fenced(), Fenced()] if by > 0 else [Done(), Done()])
    shown = sqlite.get("b")
    assert shown is not None and shown.state is State.SERVED
    restarted = sqlite.start_epoch("n1", LEASE)  # a restart after the jump
    assert apply(sqlite, claim("d", restarted), settle("d", restarted)) == [Done(), Done()]
    # Never sent again, whatever the clock is.
    assert isinstance(apply(sqlite, claim("a", restarted))[0], Existing)


def test_a_full_disk_fails_the_batch_and_keeps_earlier_records(tmp_path: Path) -> None:
    """Simulates the full disk by a file size limit, in a process of its own."""
    code = f"""
import resource, signal, sys
sys.path.insert(0, {str(Path(__file__).parent.parent)!r})
from tests.test_record_store import *
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
store = SqliteStore({str(tmp_path / "record.db")!r})
store.open()
epoch = store.start_epoch("n1", LEASE)
assert apply(store, claim("before", epoch)) == [Done()]
resource.setrlimit(resource.RLIMIT_FSIZE, (200_000, resource.RLIM_INFINITY))
failed = 0
for i in range(20):
    try:
        apply(store, *(claim("x" * 500 + str(i) + "-" + str(j), epoch) for j in range(50)))
    except StoreError as err:
        failed += 1
assert failed, "the limit was never reached"
resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
reopened = SqliteStore({str(tmp_path / "record.db")!r})
reopened.open()
count = sum(1 for _ in reopened.export())
assert count % 50 == 1, count
assert apply(reopened, settle("before", epoch), claim("after", epoch)) == [Done(), Done()]
print("whole")
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.stdout == "whole\n", done.stderr
    assert resource.getrlimit(resource.RLIMIT_FSIZE)


def test_a_second_process_shares_the_file(sqlite: SqliteStore) -> None:
    epoch = sqlite.start_epoch("n1", LEASE)
    apply(sqlite, claim("a", epoch))
    code = f"""
import sys
sys.path.insert(0, {str(Path(__file__).parent.parent)!r})
from tests.test_record_store import *
other = SqliteStore({sqlite.path!r})
other.open()
epoch = other.start_epoch("n2", LEASE)
print([type(result).__name__ for result in apply(other, claim("a", epoch), claim("b", epoch))])
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.stdout == "['Existing', 'Done']\n", done.stderr
    assert apply(sqlite, settle("a", epoch)) == [Done()]
