"""The store of record in SQL common to both databases; their differences are in `Dialect`.

Each state transition of a record is guarded by a condition in one statement, so that it holds even if a
process acts on outdated knowledge.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from minthitch.record.model import (
    AddAttempt,
    Claim,
    Done,
    Existing,
    Fenced,
    Lookup,
    Missing,
    Record,
    Resolution,
    Result,
    Settle,
    State,
    Write,
)
from minthitch.record.store import CommitUnknown, StoreError

MAX_TOKENS = 1_000  # batch tokens kept: the writer looks up its last one as soon as it has reconnected
EXPORT_PAGE_SIZE = 500  # records that an export reads at a time
COLUMNS = (
    "identity, cls, digest, node, epoch, turn, state, server, attempts, made_at, ended_at, reason, "
    "answer_digest, answer, content_type, word, why"
)


@dataclass(frozen=True, slots=True)
class Dialect:
    """The differences between the databases, as SQL fragments."""

    placeholder: str  # of a parameter
    now: str  # Unix ms by the store's clock
    blob: str
    integer: str  # a 64-bit integer
    auto_key: str  # an increasing key that is never reused
    row_lock: str  # suffix of a SELECT: locks the row against changes until the transaction ends


def migrations(dialect: Dialect) -> tuple[tuple[str, ...], ...]:
    """The statements that lead to each version of the schema from the one before."""
    blob, integer = dialect.blob, dialect.integer
    return (
        (
            f"CREATE TABLE epochs (epoch {dialect.auto_key}, node TEXT NOT NULL, started {integer} NOT NULL, "
            f"lease_until {integer} NOT NULL, fenced {integer} NOT NULL DEFAULT 0)",
            f"CREATE TABLE records (identity TEXT NOT NULL PRIMARY KEY, cls TEXT NOT NULL, "
            f"digest {blob} NOT NULL, node TEXT NOT NULL, epoch {integer} NOT NULL, "
            f"turn {integer} NOT NULL, state TEXT NOT NULL, server TEXT NOT NULL, "
            f"attempts {integer} NOT NULL, made_at {integer} NOT NULL, "
            f"ended_at {integer} NOT NULL, reason TEXT NOT NULL, answer_digest {blob} NOT NULL, "
            f"answer {blob}, "
            f"content_type {blob} NOT NULL, word TEXT, why TEXT NOT NULL)",
            "CREATE INDEX records_open ON records (epoch) WHERE state = 'intent'",
            "CREATE INDEX records_ended ON records (ended_at)",
            f"CREATE TABLE conflicts (identity TEXT NOT NULL, epoch {integer} NOT NULL, state TEXT NOT NULL, "
            f"answer_digest {blob} NOT NULL, at {integer} NOT NULL, kind TEXT NOT NULL)",
            "CREATE INDEX conflicts_of ON conflicts (identity)",
            f"CREATE TABLE batches (number {dialect.auto_key}, token TEXT NOT NULL UNIQUE)",
        ),
    )


class SqlStore(ABC):
    """A `Store` over one connection. Backends run the statements and transactions."""

    dialect: Dialect

    def __init__(self) -> None:
        self._translated: dict[str, str] = {}

    # To be implemented by a backend -------------------------------------------------------------

    @abstractmethod
    def connect(self) -> None:
        """Opens the connection. Raises StoreError."""

    @abstractmethod
    def run(self, statement: str, parameters: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        """Runs a statement and returns its rows, if any. Raises StoreError."""

    @abstractmethod
    def count_changed(self, statement: str, parameters: Sequence[Any]) -> int:
        """Runs a statement and returns the number of changed rows. Raises StoreError."""

    @abstractmethod
    def begin_transaction(self) -> None:
        """Begins a write transaction. Raises StoreError."""

    @abstractmethod
    def commit(self) -> bool:
        """Whether it is committed; False if unknown. Raises StoreError if it is not committed."""

    @abstractmethod
    def rollback(self) -> None:
        """Rolls back the open transaction, if any. Never raises."""

    @abstractmethod
    def schema_version(self) -> int:
        """The version of the schema; 0 = no schema. Raises StoreError."""

    @abstractmethod
    def set_schema_version(self, version: int) -> None: ...

    @abstractmethod
    def close(self) -> None: ...

    # Opening ------------------------------------------------------------------------------------

    def open(self) -> None:
        self.connect()
        steps = migrations(self.dialect)
        with self._transaction("migrating the schema"):
            current = self.schema_version()
            if current > len(steps):
                raise StoreError(
                    f"schema version {current} of the store is newer than the supported {len(steps)}"
                )
            for number in range(current, len(steps)):
                for statement in steps[number]:
                    self.run(statement)
            if current < len(steps):
                self.set_schema_version(len(steps))

    @contextmanager
    def _transaction(self, what: str) -> Iterator[None]:
        """Runs the block in a transaction. Raises StoreError, also for an unknown outcome."""
        self.begin_transaction()
        try:
            yield
        except BaseException:
            self.rollback()
            raise
        if not self.commit():
            raise StoreError(f"{what}: the outcome of the commit is unknown")

    def _translate(self, statement: str) -> str:
        """The statement in this dialect. The cache stays small: there are a few dozen statements."""
        translated = self._translated.get(statement)
        if translated is None:
            translated = statement.replace("?", self.dialect.placeholder).replace("NOW", self.dialect.now)
            self._translated[statement] = translated
        return translated

    def _run(self, statement: str, *parameters: Any) -> list[tuple[Any, ...]]:
        return self.run(self._translate(statement), parameters)

    def _count_changed(self, statement: str, *parameters: Any) -> int:
        return self.count_changed(self._translate(statement), parameters)

    # Epochs -------------------------------------------------------------------------------------

    def start_epoch(self, node: str, lease_ms: int) -> int:
        with self._transaction("starting an epoch"):
            older = self._run("SELECT epoch FROM epochs WHERE node = ? AND fenced = 0", node)
            for (epoch,) in older:
                self._fence(epoch, "its node started anew")
            rows = self._run(
                "INSERT INTO epochs (node, started, lease_until) VALUES (?, NOW, NOW + ?) RETURNING epoch",
                node,
                lease_ms,
            )
        return int(rows[0][0])

    def fence_expired(self) -> list[Record]:
        with self._transaction("fencing expired epochs"):
            expired = self._run("SELECT epoch FROM epochs WHERE fenced = 0 AND lease_until < NOW")
            return [record for (epoch,) in expired for record in self._fence(epoch, "its node fell silent")]

    def _fence(self, epoch: int, reason: str) -> list[Record]:
        """Fences the epoch and puts its open intents in doubt; returns those.

        If two processes fence it at once, the condition lets only one of them through.
        """
        if not self._count_changed("UPDATE epochs SET fenced = 1 WHERE epoch = ? AND fenced = 0", epoch):
            return []
        rows = self._run(
            f"UPDATE records SET state = 'doubt', reason = ?, ended_at = NOW "
            f"WHERE epoch = ? AND state = 'intent' RETURNING {COLUMNS}",
            reason,
            epoch,
        )
        return [_record_from_row(row) for row in rows]

    # Writes -------------------------------------------------------------------------------------

    def apply(self, token: str, writes: Sequence[Write]) -> list[Result]:
        self.begin_transaction()
        try:
            results = self._apply_batch(token, writes)
        except BaseException:
            self.rollback()
            raise
        if not self.commit():
            raise CommitUnknown("the outcome of the commit is unknown", results)
        return results

    def _apply_batch(self, token: str, writes: Sequence[Write]) -> list[Result]:
        fenced: dict[int, bool] = {}
        results: list[Result] = []
        for write in writes:
            if not isinstance(write, Lookup) and write.epoch not in fenced:
                state = "SELECT fenced FROM epochs WHERE epoch = ?" + self.dialect.row_lock
                rows = self._run(state, write.epoch)
                fenced[write.epoch] = not rows or bool(rows[0][0])
            results.append(self._apply_write(write, not isinstance(write, Lookup) and fenced[write.epoch]))
        self._run("INSERT INTO batches (token) VALUES (?)", token)
        self._run("DELETE FROM batches WHERE number <= (SELECT max(number) FROM batches) - ?", MAX_TOKENS)
        return results

    def _apply_write(self, write: Write, fenced: bool) -> Result:
        if isinstance(write, Lookup):
            found = self.get(write.identity)
            return Missing() if found is None else Existing(found)
        if fenced:
            if isinstance(write, Settle):  # keeps the late outcome for whoever resolves the call
                self._add_conflict(write, "from a node that was taken over")
            return Fenced()
        if isinstance(write, Claim):
            return self._claim(write)
        if isinstance(write, AddAttempt):
            done = self._count_changed(
                "UPDATE records SET server = ?, attempts = attempts + 1 "
                "WHERE identity = ? AND epoch = ? AND state = 'intent'",
                write.server,
                write.identity,
                write.epoch,
            )
            return Done() if done else self._current(write.identity)
        if isinstance(write, Settle):
            return self._settle(write)
        self._count_changed(
            "UPDATE epochs SET lease_until = NOW + ? WHERE epoch = ?", write.lease, write.epoch
        )
        return Done()

    def _current(self, identity: str) -> Result:
        found = self.get(identity)
        return Missing() if found is None else Existing(found)

    def _claim(self, write: Claim) -> Result:
        done = self._count_changed(
            f"INSERT INTO records ({COLUMNS}) VALUES (?, ?, ?, ?, ?, 1, 'intent', ?, 1, ?, 0, '', ?, NULL, "
            "?, NULL, '') ON CONFLICT (identity) DO UPDATE SET cls = excluded.cls, digest = excluded.digest, "
            "node = excluded.node, epoch = excluded.epoch, turn = records.turn + 1, state = 'intent', "
            "server = excluded.server, attempts = 1, made_at = excluded.made_at, ended_at = 0, reason = '', "
            "answer_digest = excluded.answer_digest, answer = NULL, content_type = excluded.content_type, "
            "word = NULL, why = '' WHERE records.state = 'never-ran' OR records.word = 'never-ran'",
            write.identity,
            write.cls,
            write.digest,
            write.node,
            write.epoch,
            write.server,
            write.at,
            b"",
            b"",
        )
        return Done() if done else self._current(write.identity)

    def _settle(self, write: Settle) -> Result:
        done = self._count_changed(
            "UPDATE records SET state = ?, ended_at = ?, reason = ?, answer_digest = ?, answer = ?, "
            "content_type = ? WHERE identity = ? AND epoch = ? AND state = 'intent'",
            write.state.value,
            write.at,
            write.reason,
            write.answer_digest,
            write.answer,
            write.content_type,
            write.identity,
            write.epoch,
        )
        if done:
            return Done()
        found = self.get(write.identity)
        if found is None:
            return Missing()
        outcome = (write.epoch, write.state, write.answer_digest)
        if (
            found.epoch,
            found.state,
            found.answer_digest,
        ) == outcome:  # a repeat of a commit with an unknown outcome
            return Done()
        self._add_conflict(write, "second outcome")
        return Existing(found)

    def _add_conflict(self, write: Settle, kind: str) -> None:
        self._run(
            "INSERT INTO conflicts (identity, epoch, state, answer_digest, at, kind) "
            "VALUES (?, ?, ?, ?, ?, ?)",
            write.identity,
            write.epoch,
            write.state.value,
            write.answer_digest,
            write.at,
            kind,
        )

    def is_committed(self, token: str) -> bool:
        return bool(self._run("SELECT 1 FROM batches WHERE token = ?", token))

    # Reading and resolving ----------------------------------------------------------------------

    def get(self, identity: str) -> Record | None:
        rows = self._run(f"SELECT {COLUMNS} FROM records WHERE identity = ?", identity)
        return _record_from_row(rows[0]) if rows else None

    def doubtful(self) -> list[Record]:
        rows = self._run(
            f"SELECT {COLUMNS} FROM records WHERE state IN ('doubt', 'failed') AND word IS NULL "
            "ORDER BY made_at, identity"
        )
        return [_record_from_row(row) for row in rows]

    def resolve(self, identity: str, word: Resolution, why: str) -> Record:
        with self._transaction("resolving a record"):
            rows = self._run(
                "UPDATE records SET word = ?, why = ? WHERE identity = ? AND word IS NULL "
                f"AND state IN ('doubt', 'failed') RETURNING {COLUMNS}",
                word.value,
                why,
                identity,
            )
            found = _record_from_row(rows[0]) if rows else self.get(identity)
        if found is None:
            raise StoreError(f"no record of {identity!r}")
        if not rows:
            status = found.word.value if found.word else found.state.value
            raise StoreError(f"{identity!r} is {status} and can not be resolved")
        return found

    def export(self) -> Iterator[Record]:
        after = ""
        while rows := self._run(
            f"SELECT {COLUMNS} FROM records WHERE identity > ? ORDER BY identity LIMIT ?",
            after,
            EXPORT_PAGE_SIZE,
        ):
            for row in rows:
                yield _record_from_row(row)
            after = rows[-1][0]

    def conflicts(self, identity: str) -> list[str]:
        rows = self._run(
            "SELECT kind, state, epoch, at FROM conflicts WHERE identity = ? ORDER BY at, kind", identity
        )
        return [f"{kind}: {state} by epoch {epoch} at {at}" for kind, state, epoch, at in rows]

    def prune(self, before: int, max_records: int) -> int:
        """Keeps open intents and unresolved records, whatever their age."""
        deletable = "state IN ('served', 'never-ran') OR (word IS NOT NULL AND state IN ('doubt', 'failed'))"
        with self._transaction("pruning"):
            count = self._count_changed(f"DELETE FROM records WHERE ended_at < ? AND ({deletable})", before)
            (total,) = self._run("SELECT count(*) FROM records")[0]
            if total > max_records:
                count += self._count_changed(
                    f"DELETE FROM records WHERE identity IN (SELECT identity FROM records WHERE {deletable} "
                    "ORDER BY ended_at LIMIT ?)",
                    total - max_records,
                )
            self._run("DELETE FROM conflicts WHERE identity NOT IN (SELECT identity FROM records)")
        return count


def _record_from_row(row: tuple[Any, ...]) -> Record:
    (
        identity,
        cls,
        digest,
        node,
        epoch,
        turn,
        state,
        server,
        attempts,
        made_at,
        ended_at,
        reason,
        answer_digest,
        answer,
        content_type,
        word,
        why,
    ) = row
    return Record(
        identity,
        cls,
        bytes(digest),
        node,
        epoch,
        turn,
        State(state),
        server,
        attempts,
        made_at,
        ended_at,
        reason,
        bytes(answer_digest),
        None if answer is None else bytes(answer),
        bytes(content_type),
        None if word is None else Resolution(word),
        why,
    )
