"""The store of record in SQL that both databases speak; what differs is in each backend's `Dialect`.

Each rule of a record's life is a condition of one statement, so that it holds whatever a process thinks.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from minthitch.record.model import (
    Attempted,
    Claim,
    Done,
    Fenced,
    Held,
    Look,
    Missing,
    Record,
    Resolution,
    Result,
    Settle,
    State,
    Write,
)
from minthitch.record.store import CommitUnknown, StoreError

KEEP_TOKENS = 1_000  # batches whose tokens are kept: a lost answer is asked for at once
PAGE = 500  # records read at a time by an export
COLUMNS = (
    "identity, cls, digest, node, epoch, turn, state, server, attempts, made_at, ended_at, reason, "
    "answer_digest, answer, content_type, word, why"
)


@dataclass(frozen=True, slots=True)
class Dialect:
    """Where the databases differ."""

    mark: str  # a parameter's place
    now: str  # Unix ms by the store's clock
    blob: str
    number: str  # a 64-bit integer
    serial: str  # a key that counts up and is never given twice
    share: str  # behind a select: no one changes the row before this transaction ends


def migrations(dialect: Dialect) -> tuple[tuple[str, ...], ...]:
    """The schema's versions, each the statements that lead to it from the one before."""
    blob, number = dialect.blob, dialect.number
    return (
        (
            f"CREATE TABLE epochs (epoch {dialect.serial}, node TEXT NOT NULL, started {number} NOT NULL, "
            f"lease_until {number} NOT NULL, fenced {number} NOT NULL DEFAULT 0)",
            f"CREATE TABLE records (identity TEXT NOT NULL PRIMARY KEY, cls TEXT NOT NULL, "
            f"digest {blob} NOT NULL, node TEXT NOT NULL, epoch {number} NOT NULL, "
            f"turn {number} NOT NULL, state TEXT NOT NULL, server TEXT NOT NULL, "
            f"attempts {number} NOT NULL, made_at {number} NOT NULL, "
            f"ended_at {number} NOT NULL, reason TEXT NOT NULL, answer_digest {blob} NOT NULL, "
            f"answer {blob}, "
            f"content_type {blob} NOT NULL, word TEXT, why TEXT NOT NULL)",
            "CREATE INDEX records_open ON records (epoch) WHERE state = 'intent'",
            "CREATE INDEX records_ended ON records (ended_at)",
            f"CREATE TABLE conflicts (identity TEXT NOT NULL, epoch {number} NOT NULL, state TEXT NOT NULL, "
            f"answer_digest {blob} NOT NULL, at {number} NOT NULL, kind TEXT NOT NULL)",
            "CREATE INDEX conflicts_of ON conflicts (identity)",
            f"CREATE TABLE batches (number {dialect.serial}, token TEXT NOT NULL UNIQUE)",
        ),
    )


class SqlStore(ABC):
    """A `Store` over one connection. Backends say how to run a statement and end a transaction."""

    dialect: Dialect

    def __init__(self) -> None:
        self._translated: dict[str, str] = {}

    # What a backend says ------------------------------------------------------------------------

    @abstractmethod
    def connect(self) -> None:
        """Raises StoreError."""

    @abstractmethod
    def run(self, statement: str, parameters: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        """Rows, or none. Raises StoreError."""

    @abstractmethod
    def changed(self, statement: str, parameters: Sequence[Any]) -> int:
        """Runs it; how many rows it changed. Raises StoreError."""

    @abstractmethod
    def start(self) -> None:
        """Begins a transaction that writes. Raises StoreError."""

    @abstractmethod
    def commit(self) -> bool:
        """False where the answer never came. Raises StoreError where it was not done."""

    @abstractmethod
    def rollback(self) -> None:
        """Ends the transaction, if there is one; never raises."""

    @abstractmethod
    def version(self) -> int:
        """Of the schema; 0 = none. Raises StoreError."""

    @abstractmethod
    def set_version(self, version: int) -> None: ...

    @abstractmethod
    def close(self) -> None: ...

    # Opening ------------------------------------------------------------------------------------

    def open(self) -> None:
        self.connect()
        steps = migrations(self.dialect)
        with self._transaction("the schema"):
            have = self.version()
            if have > len(steps):
                raise StoreError(f"schema version {have} of the store is newer than our {len(steps)}")
            for number in range(have, len(steps)):
                for statement in steps[number]:
                    self.run(statement)
            if have < len(steps):
                self.set_version(len(steps))

    @contextmanager
    def _transaction(self, what: str) -> Iterator[None]:
        """All of it or nothing. Raises StoreError, also where the commit's answer never came."""
        self.start()
        try:
            yield
        except BaseException:
            self.rollback()
            raise
        if not self.commit():
            raise StoreError(f"{what}: the commit's answer never came")

    def _sql(self, statement: str) -> str:
        """The statement in this dialect; each is translated once, as there are a few dozen."""
        known = self._translated.get(statement)
        if known is None:
            known = statement.replace("?", self.dialect.mark).replace("NOW", self.dialect.now)
            self._translated[statement] = known
        return known

    def _run(self, statement: str, *parameters: Any) -> list[tuple[Any, ...]]:
        return self.run(self._sql(statement), parameters)

    def _count_changed(self, statement: str, *parameters: Any) -> int:
        return self.changed(self._sql(statement), parameters)

    # Epochs -------------------------------------------------------------------------------------

    def start_epoch(self, node: str, lease: int) -> int:
        with self._transaction("a new epoch"):
            older = self._run("SELECT epoch FROM epochs WHERE node = ? AND fenced = 0", node)
            for (epoch,) in older:
                self._fence(epoch, "its node started anew")
            rows = self._run(
                "INSERT INTO epochs (node, started, lease_until) VALUES (?, NOW, NOW + ?) RETURNING epoch",
                node,
                lease,
            )
        return int(rows[0][0])

    def fence_expired(self) -> list[Record]:
        with self._transaction("a take-over"):
            ended = self._run("SELECT epoch FROM epochs WHERE fenced = 0 AND lease_until < NOW")
            return [record for (epoch,) in ended for record in self._fence(epoch, "its node fell silent")]

    def _fence(self, epoch: int, reason: str) -> list[Record]:
        """Danger: two that take over at once must not both count it; the condition lets one through."""
        if not self._count_changed("UPDATE epochs SET fenced = 1 WHERE epoch = ? AND fenced = 0", epoch):
            return []
        rows = self._run(
            f"UPDATE records SET state = 'doubt', reason = ?, ended_at = NOW "
            f"WHERE epoch = ? AND state = 'intent' RETURNING {COLUMNS}",
            reason,
            epoch,
        )
        return [_record(row) for row in rows]

    # Writes -------------------------------------------------------------------------------------

    def apply(self, token: str, writes: Sequence[Write]) -> list[Result]:
        self.start()
        try:
            results = self._batch(token, writes)
        except BaseException:
            self.rollback()
            raise
        if not self.commit():
            raise CommitUnknown("the commit's answer never came", results)
        return results

    def _batch(self, token: str, writes: Sequence[Write]) -> list[Result]:
        fenced: dict[int, bool] = {}
        results: list[Result] = []
        for write in writes:
            if not isinstance(write, Look) and write.epoch not in fenced:
                state = "SELECT fenced FROM epochs WHERE epoch = ?" + self.dialect.share
                rows = self._run(state, write.epoch)
                fenced[write.epoch] = not rows or bool(rows[0][0])
            results.append(self._write(write, not isinstance(write, Look) and fenced[write.epoch]))
        self._run("INSERT INTO batches (token) VALUES (?)", token)
        self._run("DELETE FROM batches WHERE number <= (SELECT max(number) FROM batches) - ?", KEEP_TOKENS)
        return results

    def _write(self, write: Write, fenced: bool) -> Result:
        if isinstance(write, Look):
            found = self.get(write.identity)
            return Missing() if found is None else Held(found)
        if fenced:
            if isinstance(write, Settle):  # a late word: it helps whoever has to resolve the doubt
                self._conflict(write, "from a node that was taken over")
            return Fenced()
        if isinstance(write, Claim):
            return self._claim(write)
        if isinstance(write, Attempted):
            done = self._count_changed(
                "UPDATE records SET server = ?, attempts = attempts + 1 "
                "WHERE identity = ? AND epoch = ? AND state = 'intent'",
                write.server,
                write.identity,
                write.epoch,
            )
            return Done() if done else self._as_it_is(write.identity)
        if isinstance(write, Settle):
            return self._settle(write)
        self._count_changed(
            "UPDATE epochs SET lease_until = NOW + ? WHERE epoch = ?", write.lease, write.epoch
        )
        return Done()

    def _as_it_is(self, identity: str) -> Result:
        found = self.get(identity)
        return Missing() if found is None else Held(found)

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
        return Done() if done else self._as_it_is(write.identity)

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
        if (found.epoch, found.state, found.answer_digest) == outcome:  # written before: its answer was lost
            return Done()
        self._conflict(write, "second outcome")
        return Held(found)

    def _conflict(self, write: Settle, kind: str) -> None:
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
        return _record(rows[0]) if rows else None

    def doubtful(self) -> list[Record]:
        rows = self._run(
            f"SELECT {COLUMNS} FROM records WHERE state IN ('doubt', 'failed') AND word IS NULL "
            "ORDER BY made_at, identity"
        )
        return [_record(row) for row in rows]

    def resolve(self, identity: str, word: Resolution, why: str) -> Record:
        with self._transaction("a resolution"):
            rows = self._run(
                "UPDATE records SET word = ?, why = ? WHERE identity = ? AND word IS NULL "
                f"AND state IN ('doubt', 'failed') RETURNING {COLUMNS}",
                word.value,
                why,
                identity,
            )
            found = _record(rows[0]) if rows else self.get(identity)
        if found is None:
            raise StoreError(f"no record of {identity!r}")
        if not rows:
            stands = found.word.value if found.word else found.state.value
            raise StoreError(f"{identity!r} is {stands}, which is not open to a word")
        return found

    def export(self) -> Iterator[Record]:
        after = ""
        while rows := self._run(
            f"SELECT {COLUMNS} FROM records WHERE identity > ? ORDER BY identity LIMIT ?", after, PAGE
        ):
            for row in rows:
                yield _record(row)
            after = rows[-1][0]

    def conflicts(self, identity: str) -> list[str]:
        rows = self._run(
            "SELECT kind, state, epoch, at FROM conflicts WHERE identity = ? ORDER BY at, kind", identity
        )
        return [f"{kind}: {state} by epoch {epoch} at {at}" for kind, state, epoch, at in rows]

    def prune(self, before: int, most: int) -> int:
        """Danger: what is open or in doubt stays, whatever its age."""
        ended = "state IN ('served', 'never-ran') OR (word IS NOT NULL AND state IN ('doubt', 'failed'))"
        with self._transaction("pruning"):
            count = self._count_changed(f"DELETE FROM records WHERE ended_at < ? AND ({ended})", before)
            (total,) = self._run("SELECT count(*) FROM records")[0]
            if total > most:
                count += self._count_changed(
                    f"DELETE FROM records WHERE identity IN (SELECT identity FROM records WHERE {ended} "
                    "ORDER BY ended_at LIMIT ?)",
                    total - most,
                )
            self._run("DELETE FROM conflicts WHERE identity NOT IN (SELECT identity FROM records)")
        return count


def _record(row: tuple[Any, ...]) -> Record:
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
