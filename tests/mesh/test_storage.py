"""The data folder of a control node: what is loaded after a restart, and which conditions are detected."""

from __future__ import annotations

import os
import resource
import shutil
import tempfile
import threading
import unittest
from functools import partial
from pathlib import Path

import lmdb
import msgpack

from minthitch.mesh.raft.actions import Persist, PersistedState
from minthitch.mesh.raft.log import DATA, EMPTY_SNAPSHOT, Entry, Snapshot
from minthitch.mesh.storage import lmdb_meta
from minthitch.mesh.storage.errors import (
    StoreCorruptedError,
    StoreUnavailableError,
    is_out_of_space,
)
from minthitch.mesh.storage.records import FORMAT_NAME, HEADER_KEY, checksummed, log_key
from minthitch.mesh.storage.store import Condition, Store
from minthitch.mesh.storage.writer import StorageWriter

MAP = 4 << 20
VOTERS = ("10.0.0.1#0", "10.0.0.2#0")


def entry(index: int, size: int = 100) -> Entry:
    return Entry(index, 1, DATA, bytes([index % 256]) * size)


def persist(
    write_id: int,
    *entries: Entry,
    truncate_from: int = 0,
    snapshot: Snapshot | None = None,
) -> Persist:
    return Persist(write_id, 1 + write_id, VOTERS[0], truncate_from, entries, snapshot)


class Folder(unittest.TestCase):
    def setUp(self) -> None:
        self.path = tempfile.mkdtemp()
        self.file = Path(self.path, "data.mdb")
        self.addCleanup(shutil.rmtree, self.path)

    def open(self, map_bytes: int = MAP) -> Store:
        store = Store(self.path, map_bytes)
        self.addCleanup(store.close)
        return store

    def initialized(self, map_bytes: int = MAP) -> Store:
        store = self.open(map_bytes)
        store.initialize("0")
        return store

    def reopened(self, store: Store) -> Store:
        store.close()
        return self.open(store.map_bytes)


class Loaded(Folder):
    def test_empty(self) -> None:
        store = self.open()
        self.assertEqual((store.condition, store.load(), store.incarnation), (Condition.EMPTY, None, ""))
        store.initialize("7f")
        store = self.reopened(store)
        self.assertEqual((store.condition, store.load(), store.incarnation), (Condition.INTACT, None, "7f"))

    def test_entries_term_and_vote(self) -> None:
        store = self.initialized()
        store.write(persist(1, entry(1), entry(2)))
        store.write(persist(2, entry(3)))
        saved = self.reopened(store).load()
        self.assertEqual(saved, PersistedState(3, VOTERS[0], EMPTY_SNAPSHOT, (entry(1), entry(2), entry(3))))

    def test_truncated(self) -> None:
        store = self.initialized()
        store.write(persist(1, *map(entry, range(1, 9))))
        store.write(persist(2, entry(4, 7), truncate_from=4))
        store.write(persist(3, truncate_from=4))
        saved = self.reopened(store).load()
        assert saved is not None
        self.assertEqual(saved.entries, tuple(map(entry, range(1, 4))))

    def test_snapshot_replaces_entries(self) -> None:
        store = self.initialized()
        store.write(persist(1, *map(entry, range(1, 9))))
        for size in (70_000, 100_000, 3, 0, 40_000):
            store.write(persist(2, snapshot=Snapshot(5, 1, VOTERS, b"z" * size)))
            store = self.reopened(store)
            saved = store.load()
            self.assertEqual(
                saved,
                PersistedState(
                    3, VOTERS[0], Snapshot(5, 1, VOTERS, b"z" * size), tuple(map(entry, range(6, 9)))
                ),
            )

    def test_snapshot_of_a_leader_beyond_the_log(self) -> None:
        store = self.initialized()
        store.write(persist(1, *map(entry, range(1, 9))))
        store.write(persist(2, entry(41), truncate_from=41, snapshot=Snapshot(40, 1, VOTERS, b"image")))
        saved = self.reopened(store).load()
        assert saved is not None
        self.assertEqual((saved.snapshot.index, saved.entries), (40, (entry(41),)))

    def test_file_stays_bounded(self) -> None:
        store = self.initialized()
        largest = 0
        for n in range(600):
            snapshot = Snapshot(n - 5, 1, VOTERS, b"i" * 60_000) if n % 20 == 19 else None
            store.write(persist(n, entry(n + 1, 3000), snapshot=snapshot))
            if n == 200:
                largest = self.file.stat().st_size
        self.assertLessEqual(self.file.stat().st_size, largest * 1.3)
        self.assertLess(largest, 1 << 20)


class RefusedWrites(Folder):
    def fill(self, store: Store) -> int:
        """Write until the file is full; returns the last index that was stored."""
        last = 0
        with self.assertRaises(StoreUnavailableError) as on_durable:
            while last < 10_000:
                store.write(persist(last + 1, entry(last + 1, 20_000)))
                last += 1
        self.assertTrue(is_out_of_space(on_durable.exception))
        return last

    def test_map_full(self) -> None:
        store = self.initialized(1 << 20)
        last = self.fill(store)
        saved = store.load()
        assert saved is not None
        self.assertEqual(len(saved.entries), last)
        store.reopen()
        saved = self.reopened(store).load()
        assert saved is not None
        self.assertEqual((len(saved.entries), saved.term), (last, last + 1))

    def test_refused_write_is_retried(self) -> None:
        store = self.initialized()
        store.write(persist(1, entry(1)))
        old = resource.getrlimit(resource.RLIMIT_FSIZE)
        size = self.file.stat().st_size
        resource.setrlimit(resource.RLIMIT_FSIZE, (size, old[1]))
        try:
            with self.assertRaises(StoreUnavailableError):
                store.write(persist(2, entry(2, 200_000)))
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, old)
        store.reopen()
        store.write(persist(2, entry(2, 200_000)))
        saved = self.reopened(store).load()
        assert saved is not None
        self.assertEqual(saved.entries, (entry(1), entry(2, 200_000)))


class Conditions(Folder):
    def filled(self) -> None:
        """A store with two entries, closed; its last commit wrote entry 2."""
        store = self.initialized()
        store.write(persist(1, entry(1)))
        store.write(persist(2, entry(2)))
        store.close()

    def patch(self, at: int, data: bytes) -> None:
        with open(self.file, "r+b") as f:
            f.seek(at)
            f.write(data)

    def test_foreign(self) -> None:
        self.file.write_bytes(os.urandom(100_000))
        store = self.open()
        self.assertEqual((store.condition, store.load()), (Condition.FOREIGN, None))
        store.initialize("1")
        self.assertEqual(store.condition, Condition.INTACT)
        self.assertTrue(Path(self.path, "data.mdb.aside").exists())

    def test_foreign_lmdb(self) -> None:
        with lmdb.Environment(self.path, lock=False) as env, env.begin(write=True) as txn:
            txn.put(b"other", b"thing")
        self.assertEqual(self.open().condition, Condition.FOREIGN)

    def test_newer(self) -> None:
        self.filled()
        with lmdb.Environment(self.path, lock=False) as env, env.begin(write=True) as txn:
            txn.put(
                HEADER_KEY, checksummed(HEADER_KEY, msgpack.packb([FORMAT_NAME, 2, "whatever", "it", "has"]))
            )
        self.assertEqual(self.open().condition, Condition.NEWER)

    def test_file_of_zeros(self) -> None:
        """A power loss lost the writes of the first commit, but not the file's length."""
        self.file.write_bytes(bytes(32768))
        self.assertEqual(self.open().condition, Condition.EMPTY)

    def test_torn_meta_keeps_what_was_acknowledged(self) -> None:
        """The newest meta page has its new transaction id, but otherwise old content."""
        self.filled()
        before = self.file.read_bytes()
        store = self.open()
        store.write(persist(3, entry(3)))
        store.close()
        newest = lmdb_meta.read_meta_pages(str(self.file))[0]
        head = lmdb_meta.PAGE_HEADER_BYTES + 24
        old = before[newest.offset + head : newest.offset + head + 112]
        for torn_bytes in (range(96), range(48), range(88), range(44), range(104)):
            for at in torn_bytes:
                self.patch(newest.offset + head + at, old[at : at + 1])
            store = self.open()
            saved = store.load()
            store.close()
            assert saved is not None
            self.assertEqual((saved.term, saved.entries), (3, (entry(1), entry(2))), torn_bytes)
            store = self.open()
            store.write(persist(3, entry(3)))
            store.close()

    def test_torn_meta_with_an_invalid_root(self) -> None:
        self.filled()
        newest = lmdb_meta.read_meta_pages(str(self.file))[0]
        self.patch(newest.offset + lmdb_meta.PAGE_HEADER_BYTES + 24 + 40, (1 << 40).to_bytes(8, "little"))
        saved = self.open().load()
        assert saved is not None
        self.assertEqual(saved.entries, (entry(1),))

    def test_damaged_record_is_a_lost_disk(self) -> None:
        """The commit was complete and may have been acknowledged, so the previous state is not used."""
        self.filled()
        raw = self.file.read_bytes()
        at = raw.rfind(entry(2).data)
        while at >= 0:
            self.patch(at + 50, b"\xff")
            at = raw.rfind(entry(2).data, 0, at)
        store = self.open()
        self.assertEqual((store.condition, store.load()), (Condition.TORN, None))
        store.initialize("9")
        self.assertEqual((store.condition, store.incarnation, store.load()), (Condition.INTACT, "9", None))

    def test_absent_entry_is_a_lost_disk(self) -> None:
        store = self.initialized()
        store.write(persist(1, entry(1), entry(2)))
        with store._environment.begin(write=True) as txn:
            txn.delete(log_key(1))
            store.header.transaction_id = txn.id()
            txn.put(HEADER_KEY, checksummed(HEADER_KEY, store.header.pack()))
        self.assertEqual(self.reopened(store).condition, Condition.TORN)

    def test_power_lost_at_any_write(self) -> None:
        """Whichever pages of an unsynced commit were written, the previous state is loaded."""
        self.filled()
        before = self.file.read_bytes()
        store = self.open()
        store.write(persist(3, entry(3)))
        store.close()
        after = self.file.read_bytes()
        before = before.ljust(len(after), b"\0")
        pages = [at for at in range(0, len(after), 4096) if before[at : at + 4096] != after[at : at + 4096]]
        data = [at for at in pages if at >= 8192]
        for mask in range(1 << len(data)):  # before the first sync, no meta page is written
            snapshot = bytearray(before)
            for n, at in enumerate(data):
                if mask >> n & 1:
                    snapshot[at : at + 4096] = after[at : at + 4096]
            self.file.write_bytes(snapshot)
            store = self.open()
            saved = store.load()
            store.close()
            assert saved is not None
            self.assertEqual((saved.term, saved.entries), (3, (entry(1), entry(2))))


class Writer(Folder):
    def writer(
        self, store: Store
    ) -> tuple[StorageWriter, list[int], list[tuple[str, bool]], threading.Event]:
        done: list[int] = []
        failures: list[tuple[str, bool]] = []
        event = threading.Event()

        def on_durable(write_id: int) -> None:
            done.append(write_id)
            event.set()

        def on_failure(reason: str, lost: bool) -> None:
            failures.append((reason, lost))

        writer = StorageWriter(store, on_durable, on_failure, clock=lambda: 5.0)
        return writer, done, failures, event

    def test_in_order(self) -> None:
        writer, done, *_ = self.writer(self.initialized())
        for n in range(1, 4):
            writer.submit(persist(n, entry(n)))
        self.assertEqual(writer.pending_since, 5.0)
        writer.start()
        writer.stop()
        writer.join(10)
        self.assertEqual((done, writer.pending_since), ([1, 2, 3], None))

    def test_a_refused_write_is_reported_and_retried(self) -> None:
        store = self.initialized()
        refusals = [StoreUnavailableError("no"), StoreUnavailableError("no")]
        write = store.write

        def refuse(what: Persist) -> None:
            if refusals:
                raise refusals.pop()
            write(what)

        store.write = refuse  # type: ignore
        writer, done, failures, on_durable = self.writer(store)
        writer.start()
        writer.submit(persist(1, entry(1)))
        self.assertTrue(on_durable.wait(10))
        writer.stop()
        writer.join(10)
        self.assertEqual((done, failures), ([1], [("no", False)] * 2))

    def offer(
        self,
        writer: StorageWriter,
        snapshot: Snapshot,
        failures: list[tuple[str, bool]],
        reason: str,
        lost: bool,
    ) -> None:
        """Offer a snapshot after a refused write, as the server does."""
        failures.append((reason, lost))
        writer.emergency_snapshot = snapshot

    def test_a_snapshot_frees_a_full_file(self) -> None:
        """A write to a full file is refused until a snapshot drops the log before it."""
        for size in (100, 60_000):
            shutil.rmtree(self.path)
            store = self.initialized(2 << 20)
            last = 0
            with self.assertRaises(StoreUnavailableError):
                while last < 1_000:
                    store.write(persist(1, entry(last + 1, 20_000)))
                    last += 1
            store.reopen()
            snapshot = Snapshot(last, 1, VOTERS, b"s" * size)
            writer, _, failures, on_durable = self.writer(store)
            writer._on_failure = partial(self.offer, writer, snapshot, failures)
            writer.submit(persist(9, entry(last + 1, 20_000)))
            writer.start()
            self.assertTrue(on_durable.wait(10), failures)
            writer.stop()
            writer.join(10)
            saved = self.reopened(store).load()
            assert saved is not None
            self.assertEqual(
                (saved.term, saved.snapshot.index, saved.snapshot.voters, saved.entries),
                (10, last, VOTERS, (entry(last + 1, 20_000),)),
            )
            self.assertEqual({lost for _, lost in failures}, {False})

    def test_an_emergency_snapshot_beyond_the_disks_log_is_not_written(self) -> None:
        store = self.initialized()
        store.write(persist(1, entry(1), entry(2)))
        writer, *_ = self.writer(store)
        for index in (0, 3):
            writer.emergency_snapshot = Snapshot(index, 1, VOTERS, b"s")
            self.assertTrue(writer._make_space())
            self.assertEqual((store.header.snapshot_index, writer.emergency_snapshot), (0, None))
        writer.emergency_snapshot = Snapshot(2, 1, VOTERS, b"s")
        self.assertTrue(writer._make_space())
        saved = self.reopened(store).load()
        assert saved is not None
        self.assertEqual(
            (saved.term, saved.voted_for, saved.snapshot.index, saved.entries), (2, VOTERS[0], 2, ())
        )

    def test_corruption_is_reported_once(self) -> None:
        store = self.initialized()

        def broken(what: Persist) -> None:
            raise StoreCorruptedError("gone")

        store.write = broken  # type: ignore
        writer, done, failures, _event = self.writer(store)
        writer.submit(persist(1, entry(1)))
        writer.start()
        writer.join(10)
        self.assertEqual((done, failures, writer.pending_since), ([], [("gone", True)], 5.0))
