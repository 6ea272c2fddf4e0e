"""The store of record in a SQLite file: WAL, each commit synced. For one node on one machine."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Sequence
from typing import Any

from minthitch.record.sql import Dialect, SqlStore
from minthitch.record.store import StoreError

NOT_DONE = (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_FULL, sqlite3.SQLITE_READONLY, sqlite3.SQLITE_CONSTRAINT)
BUSY_FOR = 2_000  # ms that a lock of another process is waited for
DIALECT = Dialect(
    mark="?",
    now="CAST((julianday('now') - 2440587.5) * 86400000 AS INTEGER)",
    blob="BLOB",
    number="INTEGER",
    serial="INTEGER PRIMARY KEY AUTOINCREMENT",
    share="",
)


class SqliteStore(SqlStore):
    """Used by the thread that opened it."""

    dialect = DIALECT

    def __init__(self, path: str | os.PathLike[str], busy_for: int = BUSY_FOR) -> None:
        super().__init__()
        self.path, self.busy_for = os.fspath(path), busy_for
        self.connection: sqlite3.Connection | None = None

    def connect(self) -> None:
        self.close()
        try:
            self.connection = sqlite3.connect(self.path, timeout=self.busy_for / 1000, isolation_level=None)
            mode = self.run("PRAGMA journal_mode = WAL")
            if mode != [("wal",)]:
                raise StoreError(f"{self.path}: no write-ahead log here ({mode[0][0]})")
            self.run("PRAGMA synchronous = FULL")
            if self.run("PRAGMA quick_check(1)") != [("ok",)]:
                raise StoreError(f"{self.path}: the file is damaged")
        except sqlite3.Error as err:
            self.close()
            raise StoreError(f"{self.path}: {err}") from None
        except StoreError:
            self.close()
            raise

    def _live(self) -> sqlite3.Connection:
        if self.connection is None:
            raise StoreError(f"{self.path}: not open")
        return self.connection

    def run(self, statement: str, parameters: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        try:
            return self._live().execute(statement, parameters).fetchall()
        except sqlite3.Error as err:
            raise StoreError(f"{self.path}: {err}") from None

    def changed(self, statement: str, parameters: Sequence[Any]) -> int:
        try:
            return self._live().execute(statement, parameters).rowcount
        except sqlite3.Error as err:
            raise StoreError(f"{self.path}: {err}") from None

    def start(self) -> None:
        # IMMEDIATE: the lock is taken before anything is read, so that what is read stays true.
        self.run("BEGIN IMMEDIATE")

    def commit(self) -> bool:
        """A lock or a full disk is a commit that was not done; after any other fault, reading back tells."""
        try:
            self._live().execute("COMMIT")
        except sqlite3.Error as err:
            self.rollback()
            if err.sqlite_errorcode & 0xFF not in NOT_DONE:  # a sync that failed may have reached the disk
                return False
            raise StoreError(f"{self.path}: {err}") from None
        return True

    def rollback(self) -> None:
        if self.connection is not None and self.connection.in_transaction:
            try:
                self.connection.execute("ROLLBACK")
            except sqlite3.Error:  # a full disk may have ended it already
                self.close()

    def version(self) -> int:
        return int(self.run("PRAGMA user_version")[0][0])

    def set_version(self, version: int) -> None:
        self.run(f"PRAGMA user_version = {int(version)}")

    def close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
