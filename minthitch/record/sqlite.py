"""The store of record in a SQLite file: WAL mode, each commit synced. For a single node."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Sequence
from typing import Any

from minthitch.record.sql import Dialect, SqlStore
from minthitch.record.store import StoreError

NOT_COMMITTED = (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_FULL, sqlite3.SQLITE_READONLY, sqlite3.SQLITE_CONSTRAINT)
BUSY_TIMEOUT_MS = 2_000  # how long to wait for a lock of another process
DIALECT = Dialect(
    placeholder="?",
    now="CAST((julianday('now') - 2440587.5) * 86400000 AS INTEGER)",
    blob="BLOB",
    integer="INTEGER",
    auto_key="INTEGER PRIMARY KEY AUTOINCREMENT",
    row_lock="",
)


class SqliteStore(SqlStore):
    """Used by the thread that opened it."""

    dialect = DIALECT

    def __init__(self, path: str | os.PathLike[str], busy_timeout_ms: int = BUSY_TIMEOUT_MS) -> None:
        super().__init__()
        self.path, self.busy_timeout_ms = os.fspath(path), busy_timeout_ms
        self.connection: sqlite3.Connection | None = None

    def connect(self) -> None:
        self.close()
        try:
            self.connection = sqlite3.connect(
                self.path, timeout=self.busy_timeout_ms / 1000, isolation_level=None
            )
            mode = self.run("PRAGMA journal_mode = WAL")
            if mode != [("wal",)]:
                raise StoreError(f"{self.path}: WAL mode is not available (journal mode is {mode[0][0]})")
            self.run("PRAGMA synchronous = FULL")
            if self.run("PRAGMA quick_check(1)") != [("ok",)]:
                raise StoreError(f"{self.path}: the file is damaged")
        except sqlite3.Error as err:
            self.close()
            raise StoreError(f"{self.path}: {err}") from None
        except StoreError:
            self.close()
            raise

    def _connected(self) -> sqlite3.Connection:
        if self.connection is None:
            raise StoreError(f"{self.path}: not open")
        return self.connection

    def run(self, statement: str, parameters: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        try:
            return self._connected().execute(statement, parameters).fetchall()
        except sqlite3.Error as err:
            raise StoreError(f"{self.path}: {err}") from None

    def count_changed(self, statement: str, parameters: Sequence[Any]) -> int:
        try:
            return self._connected().execute(statement, parameters).rowcount
        except sqlite3.Error as err:
            raise StoreError(f"{self.path}: {err}") from None

    def begin_transaction(self) -> None:
        # IMMEDIATE takes the write lock before the first read, so that what was read stays true.
        self.run("BEGIN IMMEDIATE")

    def commit(self) -> bool:
        """Raises StoreError for the codes in NOT_COMMITTED; after any other error the outcome is unknown."""
        try:
            self._connected().execute("COMMIT")
        except sqlite3.Error as err:
            self.rollback()
            # After a failed sync the commit may have reached the disk all the same.
            if err.sqlite_errorcode & 0xFF not in NOT_COMMITTED:
                return False
            raise StoreError(f"{self.path}: {err}") from None
        return True

    def rollback(self) -> None:
        if self.connection is not None and self.connection.in_transaction:
            try:
                self.connection.execute("ROLLBACK")
            except sqlite3.Error:  # a full disk may have rolled it back already
                self.close()

    def schema_version(self) -> int:
        return int(self.run("PRAGMA user_version")[0][0])

    def set_schema_version(self, version: int) -> None:
        self.run(f"PRAGMA user_version = {int(version)}")

    def close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
