"""The PostgreSQL backend: the real client against a fake server and its failures."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import psycopg
import pytest

from minthitch.record.backends import open_store, redacted
from minthitch.record.model import Claim, Done, Existing, NotWritten, Record, Result, Settle, State
from minthitch.record.postgres import PostgresStore
from minthitch.record.store import CommitUnknown, StoreError
from minthitch.record.writer import Writer
from rigs.postgres import Postgres
from rigs.servers import PATIENCE
from tests.test_cli import command

LEASE = 60_000


@pytest.fixture
def server(tmp_path: Path) -> Iterator[Postgres]:
    created = Postgres(tmp_path / "pg.db")
    yield created
    created.close()


@pytest.fixture
def store(server: Postgres) -> Iterator[PostgresStore]:
    created = PostgresStore(server.url, statement_timeout_s=1.0)
    created.open()
    yield created
    created.close()


def claim(identity: str, epoch: int) -> Claim:
    return Claim(identity, "buy", b"d", "n1", epoch, "s1", 1)


def test_a_wrong_password_is_one_clear_error_that_does_not_contain_it(server: Postgres) -> None:
    url = server.url.replace("not%20a%20secret", "guessed-wrong")
    with pytest.raises(StoreError, match="password authentication failed") as caught:
        PostgresStore(url).open()
    assert "guessed-wrong" not in str(caught.value) and "\n" not in str(caught.value)
    assert redacted(url) == f"127.0.0.1:{server.port}/record"


def test_an_unreachable_or_refusing_server_is_one_clear_error(server: Postgres) -> None:
    server.always = "refuse"
    with pytest.raises(StoreError, match="127.0.0.1"):
        PostgresStore(server.url).open()
    server.close()
    with pytest.raises(StoreError, match="refused"):
        PostgresStore(server.url).open()


@pytest.mark.parametrize(("fault", "written"), [("reset-before", False), ("reset-after", True)])
def test_a_commit_without_a_response_has_an_unknown_outcome_and_is_read_back(
    server: Postgres, store: PostgresStore, fault: str, written: bool
) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.script.append(fault)
    with pytest.raises(CommitUnknown) as caught:
        store.apply("token", [claim("a", epoch)])
    assert caught.value.results == [Done()]
    store.open()
    assert store.is_committed("token") == written
    assert (store.get("a") is not None) == written


@pytest.mark.parametrize("state", ["40001", "53100", "23505"])
def test_after_a_server_error_at_commit_nothing_is_committed(
    server: Postgres, store: PostgresStore, state: str
) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.script.append(state)
    with pytest.raises(StoreError, match=state) as caught:
        store.apply("token", [claim("a", epoch)])
    assert not isinstance(caught.value, CommitUnknown)
    assert store.get("a") is None and store.apply("again", [claim("a", epoch)]) == [Done()]


def test_an_administrator_shutdown_during_commit_leaves_the_outcome_unknown(
    server: Postgres, store: PostgresStore
) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.script.append("57P01")
    with pytest.raises(CommitUnknown):
        store.apply("token", [claim("a", epoch)])
    store.open()
    assert not store.is_committed("token")


def test_a_stalled_server_is_given_up_in_time(server: Postgres, store: PostgresStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.script.append("stall")
    began = time.monotonic()
    with pytest.raises(CommitUnknown):
        store.apply("token", [claim("a", epoch)])
    assert time.monotonic() - began < PATIENCE / 2
    server.go.set()


def test_a_cancel_ends_the_statement_of_its_own_connection_only(server: Postgres) -> None:
    server.always = "stall"
    with psycopg.connect(server.url, autocommit=True) as one, psycopg.connect(server.url) as other:

        def cancel() -> None:
            server.stalled.wait(PATIENCE)
            one.cancel_safe()

        threading.Thread(target=cancel).start()
        with pytest.raises(psycopg.errors.QueryCanceled):
            one.execute("SELECT 1")
        server.always = ""
        assert one.execute("SELECT 2").fetchone() == (2,) and other.execute("SELECT 3").fetchone() == (3,)
    assert server.cancels == 1


def test_an_overdue_statement_is_cancelled_so_that_the_server_keeps_no_lock(
    server: Postgres, store: PostgresStore
) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.always = "stall"
    with pytest.raises(StoreError, match="57014"):
        store.apply("token", [claim("a", epoch)])
    server.always = ""
    assert server.cancels == 1 and store.apply("again", [claim("a", epoch)]) == [Done()]
    assert server.connections == 2  # that of the store and that of the cancel: the store did not reconnect


def test_a_server_that_ignores_cancel_is_disconnected(server: Postgres, store: PostgresStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.always = "deaf"
    with pytest.raises(StoreError):
        store.apply("token", [claim("a", epoch)])
    server.go.set()
    server.always = ""
    store.open()
    assert not store.is_committed("token") and store.apply("again", [claim("a", epoch)]) == [Done()]


def test_a_read_only_server_fails_the_batch(server: Postgres, store: PostgresStore) -> None:
    epoch = store.start_epoch("n1", LEASE)
    server.always = "read-only"
    with pytest.raises(StoreError, match="25006"):
        store.apply("token", [claim("a", epoch)])
    server.always = ""
    assert store.apply("again", [claim("a", epoch)]) == [Done()]


def test_bytes_texts_and_numbers_pass_unchanged(store: PostgresStore) -> None:
    epoch = store.start_epoch("nód 'ø\"; --", LEASE)
    identity, all_bytes = "säle '1' \\x $1 ?", bytes(range(256))
    store.apply(
        "t",
        [
            Claim(identity, "buy", all_bytes, "n", epoch, "s", 1 << 50),
            Settle(identity, epoch, State.SERVED, 1 << 51, "", all_bytes, all_bytes, b"a/b"),
        ],
    )
    record = store.get(identity)
    assert isinstance(record, Record) and record.answer == record.digest == all_bytes
    assert (record.made_at, record.ended_at, record.content_type) == (1 << 50, 1 << 51, b"a/b")


def test_the_fake_server_works_with_a_plain_psycopg_client(server: Postgres) -> None:
    with psycopg.connect(server.url, autocommit=True) as connection:
        connection.execute("CREATE TABLE t (a BIGINT, b TEXT, c BYTEA)")
        connection.execute("INSERT INTO t VALUES (%s, %s, %s)", (7, None, b"\x00\xff"))
        assert connection.execute("SELECT a, b, c FROM t").fetchall() == [(7, None, b"\x00\xff")]
        with pytest.raises(psycopg.errors.SyntaxError):
            connection.execute("SELECT FROM WHERE")
        with pytest.raises(psycopg.errors.InFailedSqlTransaction), connection.transaction():
            with pytest.raises(psycopg.Error):
                connection.execute("SELECT nothing FROM nowhere")
            connection.execute("SELECT 1")


def test_the_writer_reads_back_an_unknown_commit_and_survives_a_server_outage(server: Postgres) -> None:
    results: dict[int, Result] = {}
    changed = threading.Condition()
    recoveries: list[int] = []

    def deliver(given: list[tuple[int, Result]]) -> None:
        with changed:
            results.update(given)
            changed.notify_all()

    def on_available() -> None:
        with changed:
            recoveries.append(1)
            changed.notify_all()

    writer = Writer(lambda: PostgresStore(server.url, statement_timeout_s=1.0), deliver, on_available)
    epoch = writer.start("n1", LEASE)

    def until(ready: Any) -> None:
        with changed:
            assert changed.wait_for(ready, PATIENCE)

    server.script.append("reset-after")
    writer.put(1, claim("a", epoch))
    until(lambda: 1 in results and recoveries)
    assert results[1] == Done()
    server.always = "refuse"
    server.kill_all()
    writer.put(2, claim("b", epoch))
    until(lambda: 2 in results)
    assert isinstance(results[2], NotWritten)
    server.always = ""
    until(lambda: len(recoveries) == 2)
    writer.put(3, claim("b", epoch))
    writer.put(4, claim("a", epoch))
    until(lambda: 4 in results)
    assert results[3] == Done() and isinstance(results[4], Existing)
    writer.close()


def test_the_operators_commands_work_with_postgresql(server: Postgres, store: PostgresStore) -> None:
    old = store.start_epoch("n1", LEASE)
    store.apply("t", [claim("sale-1", old)])
    store.start_epoch("n1", LEASE)
    done = command("record", "--store", server.url, "doubtful")
    assert done.returncode == 0 and done.stdout.startswith("sale-1  doubt")
    done = command("record", "--store", server.url, "resolve", "sale-1", "ran", "--why", "the till has it")
    assert done.returncode == 0, done.stderr
    assert command("record", "--store", server.url, "doubtful").stdout == ""


def test_the_configured_location_selects_the_backend(tmp_path: Path) -> None:
    assert isinstance(open_store("postgresql://u:p@127.0.0.1:1/x"), PostgresStore)
    assert type(open_store(str(tmp_path / "r.db"))).__name__ == "SqliteStore"
