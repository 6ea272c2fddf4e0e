"""The data folder of a control node: opened and checked at startup, then written in transactions.

An LMDB commit syncs its data pages before it writes its meta page. A power loss can therefore tear only the
newest meta page, of a commit that was not yet reported as durable. The previous meta page is intact and
leads to everything that was acknowledged.
"""

from __future__ import annotations

import os
from enum import Enum
from typing import Any

import lmdb
import msgpack

from minthitch.mesh.raft.actions import Persist, PersistedState
from minthitch.mesh.raft.log import Snapshot
from minthitch.mesh.storage import lmdb_meta
from minthitch.mesh.storage.errors import (
    StoreCorruptedError,
    StoreUnavailableError,
    storage_errors,
)
from minthitch.mesh.storage.records import (
    CHUNK_BYTES,
    FORMAT_NAME,
    FORMAT_VERSION,
    HEADER_KEY,
    LOG_PREFIX,
    Header,
    checksummed,
    chunk_count,
    chunk_key,
    log_key,
    pack_entry,
    read_entries,
    read_snapshot,
    verified,
)

FILE_NAME = "data.mdb"
# Once the log has filled the file, an emergency snapshot may exceed its limit by 1/RESERVE_DIVISOR.
RESERVE_DIVISOR = 4
REUSE_COMMITS = 2  # LMDB reuses the pages that a commit freed only after this many further commits
FIRST_PAGES_BYTES = 4 * 4096
META_PAGES = 2
MIN_HEADER_FIELDS = 2  # name and version of the format


class Condition(Enum):
    """The state in which the data folder was found."""

    INTACT = "intact"
    EMPTY = "empty"
    TORN = "torn"  # acknowledged data may be missing: this disk must be treated as lost
    FOREIGN = "foreign"  # a file of another program
    NEWER = "newer"  # a file of a newer version of this program: it must not be changed


class Store:
    """The data folder `path`, limited to `map_bytes`. Only one thread at a time may use it.

    `condition` is the state it was found in. Only INTACT can be loaded; EMPTY and TORN need `initialize` with
    a new incarnation.
    """

    def __init__(self, path: str, map_bytes: int) -> None:
        self.path = path
        self.map_bytes = map_bytes
        self.file = os.path.join(path, FILE_NAME)
        self.header = Header("")
        self._environment: Any = None
        os.makedirs(path, exist_ok=True)
        self.condition = self._open_existing()

    @property
    def incarnation(self) -> str:
        """The incarnation with which this disk was initialized; empty if it never was."""
        return self.header.incarnation

    def initialize(self, incarnation: str) -> None:
        """Start empty with a new incarnation. Moves a foreign or newer file aside, and deletes any other.

        Raises:
            StoreUnavailableError: the disk refuses writes.
        """
        self.close()
        if os.path.exists(self.file):
            if self.condition in (Condition.FOREIGN, Condition.NEWER):
                os.replace(self.file, self.file + ".aside")
            else:
                os.remove(self.file)
        # Without this sync, a power loss could bring back the old file with votes of the old incarnation.
        self._sync_folder()
        self.header = Header(incarnation)
        with storage_errors():
            self._open()
            self._commit(self.header, None)
            self._sync_folder()
        self.condition = Condition.INTACT

    def load(self) -> PersistedState | None:
        """Read the stored state; None if there is none to resume from.

        Raises:
            StoreCorruptedError: the file can't be read any more.
        """
        if self.condition is not Condition.INTACT:
            return None
        header = self.header
        if header.generation <= 1:
            return None  # initialized, but nothing written since
        with storage_errors(reading=True), self._environment.begin() as transaction:
            snapshot = read_snapshot(transaction, header)
            entries = read_entries(transaction, header)
        return PersistedState(header.term, header.voted_for, snapshot, entries)

    def write(self, persist: Persist) -> None:
        """Write all of `persist` in one transaction; it is durable on return.

        Raises:
            StoreUnavailableError: nothing was written.
            StoreCorruptedError: the file is damaged.
        """
        header = self.header.copy()
        header.term = persist.term
        header.voted_for = persist.voted_for
        if persist.truncate_from:
            header.last_index = min(header.last_index, persist.truncate_from - 1)
        if persist.entries:
            header.last_index = persist.entries[-1].index
        if persist.snapshot is not None:
            header.snapshot_index = persist.snapshot.index
            header.snapshot_term = persist.snapshot.term
            header.voters = persist.snapshot.voters
            header.snapshot_size = len(persist.snapshot.data)
            header.last_index = max(header.last_index, header.snapshot_index)
        with storage_errors():
            self._commit(header, persist)

    def write_snapshot_in_reserve(self, snapshot: Snapshot) -> None:
        """Write a snapshot into a full file, above its limit, to drop the log entries that it covers.

        Raises:
            StoreUnavailableError, StoreCorruptedError: as for `write`.
        """
        with storage_errors():
            if self._environment is not None:
                self._environment.set_mapsize(self.map_bytes + self.map_bytes // RESERVE_DIVISOR)
        self.write(Persist(0, self.header.term, self.header.voted_for, 0, (), snapshot))
        for _ in range(REUSE_COMMITS):
            self.write(Persist(0, self.header.term, self.header.voted_for, 0, (), None))
        with storage_errors():
            self._environment.set_mapsize(self.map_bytes)  # if more is in use, LMDB keeps the larger size

    def close(self) -> None:
        """Close the file."""
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def reopen(self) -> None:
        """Reopen the file, as LMDB requires after a failed write.

        Raises:
            StoreCorruptedError: the file has changed since it was closed.
            StoreUnavailableError, OSError: it can't be read now.
        """
        before = self.header
        self.close()
        try:
            condition = self._open_existing()
        except (OSError, StoreUnavailableError):
            self.close()
            self.header = before
            raise
        after = self.header
        if condition is not Condition.INTACT or after.incarnation != before.incarnation:
            raise StoreCorruptedError("the file is not intact after reopening")
        if after.generation not in (before.generation, before.generation + 1):
            raise StoreCorruptedError(f"generation {after.generation} after {before.generation}")

    # Writing --------------------------------------------------------------------------------------

    def _open(self) -> None:
        # LMDB's lock file is not needed: only one process uses this folder.
        self._environment = lmdb.Environment(
            self.path,
            map_size=self.map_bytes,
            max_dbs=0,
            subdir=True,
            lock=False,
            sync=True,
            metasync=True,
            writemap=False,
            meminit=False,
        )

    def _sync_folder(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _commit(self, header: Header, persist: Persist | None) -> None:
        if self._environment is None:
            raise StoreUnavailableError("the file could not be reopened")
        with self._environment.begin(write=True) as transaction:
            if persist is not None:
                self._put(transaction, persist)
            header.generation = self.header.generation + 1
            header.transaction_id = transaction.id()
            transaction.put(HEADER_KEY, checksummed(HEADER_KEY, header.pack()))
        self.header = header

    def _put(self, transaction: Any, persist: Persist) -> None:
        previous = self.header
        if persist.truncate_from:
            _delete_entries(transaction, persist.truncate_from, previous.last_index)
        for entry in persist.entries:
            key = log_key(entry.index)
            transaction.put(key, checksummed(key, pack_entry(entry)))
        if persist.snapshot is not None:
            _delete_entries(transaction, previous.snapshot_index + 1, persist.snapshot.index)
            _put_snapshot(transaction, persist.snapshot.data, previous.snapshot_size)

    # Opening --------------------------------------------------------------------------------------

    def _open_existing(self) -> Condition:
        """Open the existing file. If its newest meta page is torn, try the previous one, once."""
        if not os.path.exists(self.file) or not self._has_content():
            return Condition.EMPTY
        metas = lmdb_meta.read_meta_pages(self.file)
        if not metas:
            return Condition.FOREIGN
        newest = metas[0]
        if len(metas) == 1 and newest.transaction_id > 1:
            return Condition.TORN  # after more than one commit both meta pages must be valid
        if not lmdb_meta.has_valid_roots(self.file, newest):
            return self._open_previous(metas)
        condition = self._open_and_check()
        # If the header record is of the newest commit, its meta page is complete and the damage is elsewhere.
        # That commit may have been acknowledged, so falling back to the previous state could lose it.
        meta_is_torn = self.header.transaction_id != newest.transaction_id
        if condition is Condition.INTACT and self._has_older_root(newest):
            condition = Condition.TORN
            meta_is_torn = True
        if condition is Condition.TORN and meta_is_torn:
            return self._open_previous(metas)
        return condition

    def _has_older_root(self, newest: lmdb_meta.MetaPage) -> bool:
        if newest.transaction_id <= 1:
            return False
        return lmdb_meta.last_freeing_transaction(self.file, newest) != newest.transaction_id

    def _has_content(self) -> bool:
        """Whether anything was written: a power loss during the first commit may leave a file of zeros."""
        with open(self.file, "rb") as opened:
            return any(opened.read(FIRST_PAGES_BYTES))

    def _open_previous(self, metas: list[lmdb_meta.MetaPage]) -> Condition:
        self.close()
        if len(metas) < META_PAGES or metas[1].transaction_id + 1 != metas[0].transaction_id:
            return Condition.TORN
        if not lmdb_meta.has_valid_roots(self.file, metas[1]):
            return Condition.TORN
        lmdb_meta.invalidate(self.file, metas[0])
        return self._open_and_check()

    def _open_and_check(self) -> Condition:
        self.header = Header("")
        try:
            with storage_errors():
                if self._environment is None:
                    self._open()
            with storage_errors(reading=True):
                return self._check()
        except StoreCorruptedError:
            return Condition.TORN

    def _check(self) -> Condition:
        """Read and verify all records.

        Raises:
            StoreCorruptedError: a record is missing or damaged.
        """
        with self._environment.begin() as transaction:
            value = transaction.get(HEADER_KEY)
            if value is None:
                return _condition_without_header(transaction)
            fields = msgpack.unpackb(verified(HEADER_KEY, value))
            if not isinstance(fields, list) or len(fields) < MIN_HEADER_FIELDS or fields[0] != FORMAT_NAME:
                return Condition.FOREIGN
            if fields[1] != FORMAT_VERSION:
                return Condition.NEWER
            self.header = Header.unpack(fields)
            if self.header.transaction_id != transaction.id():
                raise StoreCorruptedError(
                    f"header of transaction {self.header.transaction_id} in {transaction.id()}"
                )
            read_snapshot(transaction, self.header)
            read_entries(transaction, self.header)
        return Condition.INTACT


def _condition_without_header(transaction: Any) -> Condition:
    if transaction.stat()["entries"]:
        return Condition.FOREIGN
    return Condition.EMPTY if transaction.id() <= 1 else Condition.TORN


def _delete_entries(transaction: Any, first: int, last: int) -> None:
    """Delete the existing log entries from index `first` to `last`."""
    with transaction.cursor() as cursor:
        if not cursor.set_range(log_key(first)):
            return
        while LOG_PREFIX < cursor.key() <= log_key(last):
            if not cursor.delete():
                return


def _put_snapshot(transaction: Any, data: bytes, previous_size: int) -> None:
    count = chunk_count(len(data))
    for number in range(count, chunk_count(previous_size)):
        transaction.delete(chunk_key(number))
    for number in range(count):
        key = chunk_key(number)
        chunk = data[number * CHUNK_BYTES : (number + 1) * CHUNK_BYTES]
        transaction.put(key, checksummed(key, chunk))
