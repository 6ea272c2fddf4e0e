"""The replicated log in memory, with the voters at each point and what of it is durable."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgpack
from msgspec import Struct

from minthitch.mesh.raft.errors import ConsensusViolationError

NOOP, DATA, MEMBERS = 0, 1, 2  # kinds of entries, as stored and sent
RETAINED_ENTRIES = 512  # entries kept before a snapshot, so that a slow follower needs no snapshot
RETAINED_BYTES = 256 * 1024
NO_TERM = -1  # equal to the term of no entry


class Entry(Struct, frozen=True, gc=False):
    """One entry of the log. The data of a MEMBERS entry is a msgpack list of the voters' names."""

    index: int
    term: int
    kind: int
    data: bytes


def pack_members(voters: tuple[str, ...]) -> bytes:
    """The data of a MEMBERS entry."""
    return bytes(msgpack.packb(list(voters)))


class Snapshot:
    """The state machine as of `index`, with the term of that entry and the voters in force there."""

    __slots__ = ("index", "term", "voters", "data", "_checksum")

    def __init__(self, index: int, term: int, voters: tuple[str, ...], data: bytes) -> None:
        self.index = index
        self.term = term
        self.voters = voters
        self.data = data
        self._checksum: int | None = None

    def __eq__(self, other: object) -> bool:
        """The same data for the same position and voters."""
        if not isinstance(other, Snapshot):
            return NotImplemented
        same_position = (self.index, self.term, self.voters) == (other.index, other.term, other.voters)
        return same_position and self.data == other.data

    __hash__ = None  # type: ignore[assignment]

    @property
    def checksum(self) -> int:
        """CRC-32 of the data."""
        if self._checksum is None:
            self._checksum = zlib.crc32(self.data)
        return self._checksum


EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


class Unpersisted(NamedTuple):
    """What the disk has not been given yet."""

    truncate_from: int  # 0: nothing to delete
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class Log:
    """Entries `base_index + 1` to `last_index`. Those up to `snapshot.index` are in the snapshot as well.

    `submitted` is the last index that was given to the disk and `durable` the last index that it has
    stored, both only as far as the disk's content equals this log.
    """

    __slots__ = (
        "base_index",
        "base_term",
        "entries",
        "snapshot",
        "submitted",
        "durable",
        "retained_entries",
        "_voter_changes",
        "_truncate_from",
        "_snapshot_submitted",
        "_durable_after_write",
    )

    def __init__(self, snapshot: Snapshot, entries: list[Entry], on_disk: bool) -> None:
        """`on_disk`: snapshot and entries were read from the disk."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = entries
        self._voter_changes: list[tuple[int, tuple[str, ...]]] = [(snapshot.index, snapshot.voters)]
        for entry in entries:
            self._track_voters(entry)
        self.submitted = self.durable = self.last_index if on_disk else snapshot.index
        self.retained_entries = RETAINED_ENTRIES
        self._truncate_from = 0
        self._snapshot_submitted = True
        self._durable_after_write = 0

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot where there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest voters.

        They are in force once appended, before they are committed (dissertation, 4.1).
        """
        return self._voter_changes[-1][1]

    @property
    def voters_index(self) -> int:
        """The index of the entry that brought the newest voters."""
        return self._voter_changes[-1][0]

    @property
    def has_unpersisted(self) -> bool:
        """The disk has not been given everything."""
        return self.submitted < self.last_index or self._truncate_from > 0 or not self._snapshot_submitted

    def term_at(self, index: int) -> int:
        """The term of an entry from `base_index` to `last_index`; NO_TERM elsewhere."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return NO_TERM

    def entry_at(self, index: int) -> Entry:
        """The entry at an index after `base_index`."""
        return self.entries[index - self.base_index - 1]

    def voters_at(self, index: int) -> tuple[str, ...]:
        """The voters in force once `index` was appended (`index` not before the snapshot)."""
        return next(voters for changed_at, voters in reversed(self._voter_changes) if changed_at <= index)

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one."""
        self.entries.append(entry)
        self._track_voters(entry)

    def _track_voters(self, entry: Entry) -> None:
        if entry.kind == MEMBERS:
            self._voter_changes.append((entry.index, tuple(msgpack.unpackb(entry.data))))

    def truncate(self, index: int) -> None:
        """Delete the entries from `index` on. A change of voters among them is undone."""
        del self.entries[index - self.base_index - 1 :]
        while self._voter_changes[-1][0] >= index and len(self._voter_changes) > 1:
            self._voter_changes.pop()
        if index <= self.submitted:
            self._truncate_from = min(self._truncate_from or index, index)
        self._limit_persisted(index - 1)

    def _limit_persisted(self, index: int) -> None:
        """After `index` the disk may have other content than this log."""
        self.submitted = min(self.submitted, index)
        self.durable = min(self.durable, index)
        self._durable_after_write = min(self._durable_after_write, index)

    def take_unpersisted(self) -> Unpersisted:
        """What the disk has to be given now. Call `write_finished` once that is durable."""
        first = max(self.submitted, self.snapshot.index, self.base_index) + 1
        entries = tuple(self.entries[first - self.base_index - 1 :])
        unpersisted = Unpersisted(
            self._truncate_from, entries, None if self._snapshot_submitted else self.snapshot
        )
        self._truncate_from = 0
        self._snapshot_submitted = True
        self.submitted = self._durable_after_write = self.last_index
        return unpersisted

    def write_finished(self) -> None:
        """What was taken last is durable."""
        self.durable = max(self.durable, self._durable_after_write)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to an applied index by a snapshot; a few are kept for slow followers."""
        self.snapshot = snapshot
        self._snapshot_submitted = False
        base_index = self._retained_base(snapshot.index)
        self._discard_until(base_index, self.term_at(base_index))
        # Committed voters are never undone, so those before the snapshot are not needed.
        later = [change for change in self._voter_changes if change[0] > snapshot.index]
        self._voter_changes = [(snapshot.index, snapshot.voters), *later]

    def _retained_base(self, snapshot_index: int) -> int:
        """The lowest base index within the bounds on what is kept before a snapshot."""
        base_index = snapshot_index
        size = 0
        while base_index > self.base_index and snapshot_index - base_index < self.retained_entries:
            size += len(self.entry_at(base_index).data)
            if size > RETAINED_BYTES:
                break
            base_index -= 1
        return base_index

    def _discard_until(self, index: int, term: int) -> None:
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def install(self, snapshot: Snapshot, commit_index: int) -> None:
        """Replace the log up to a leader's snapshot, or all of it where the log differs from the leader's.

        Raises:
            ConsensusViolationError: the snapshot is not newer than `commit_index`.
        """
        if snapshot.index <= commit_index:
            raise ConsensusViolationError(f"snapshot {snapshot.index} is older than commit {commit_index}")
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot)
            return
        # Entries on the disk after the commit index may differ from those that the snapshot replaces. To
        # acknowledge them by their number alone would count a replica that does not exist.
        self._truncate_from = min(self._truncate_from or snapshot.index + 1, snapshot.index + 1)
        self._limit_persisted(commit_index)
        self.entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.snapshot = snapshot
        self._snapshot_submitted = False
        self._voter_changes = [(snapshot.index, snapshot.voters)]
        self.submitted = snapshot.index
