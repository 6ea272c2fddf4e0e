"""The in-memory replicated log, with the voters in force at each index and what of it is durable."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgpack
from msgspec import Struct

from minthitch.mesh.raft.errors import ConsensusViolationError

NOOP, DATA, MEMBERS = 0, 1, 2  # entry kinds, as stored and sent
RETAINED_ENTRIES = 512  # kept from before a snapshot, so that a slow follower does not need the snapshot
RETAINED_BYTES = 256 * 1024  # limit on the data of these entries
NO_TERM = -1  # differs from the term of every entry


class Entry(Struct, frozen=True, gc=False):
    """A log entry. The data of a MEMBERS entry is a msgpack list of voter names."""

    index: int
    term: int
    kind: int
    data: bytes


def pack_members(voters: tuple[str, ...]) -> bytes:
    """Encode voter names as the data of a MEMBERS entry."""
    return bytes(msgpack.packb(list(voters)))


class Snapshot:
    """State machine snapshot taken at `index`, with the term of that entry and the voters in force there."""

    __slots__ = ("index", "term", "voters", "data", "_checksum")

    def __init__(self, index: int, term: int, voters: tuple[str, ...], data: bytes) -> None:
        self.index = index
        self.term = term
        self.voters = voters
        self.data = data
        self._checksum: int | None = None

    def __eq__(self, other: object) -> bool:
        """Compare position, voters and data."""
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
    """What has not been passed to the disk yet."""

    truncate_from: int  # 0: nothing to delete
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class Log:
    """Entries `base_index + 1` to `last_index`. Those up to `snapshot.index` are also in the snapshot.

    `submitted` is the last index passed to the disk and `durable` the last index that it has stored. Both
    count only as far as the content of the disk matches this log.
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
        """`on_disk`: the snapshot and the entries were read from the disk."""
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
        """Index of the last entry, or of the snapshot if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def voters(self) -> tuple[str, ...]:
        """The newest voters.

        They take effect when appended, before they are committed (dissertation, 4.1).
        """
        return self._voter_changes[-1][1]

    @property
    def voters_index(self) -> int:
        """Index of the entry that set the newest voters."""
        return self._voter_changes[-1][0]

    @property
    def has_unpersisted(self) -> bool:
        """Whether anything has not been passed to the disk yet."""
        return self.submitted < self.last_index or self._truncate_from > 0 or not self._snapshot_submitted

    def term_at(self, index: int) -> int:
        """Term of the entry at `index`, from `base_index` to `last_index`; NO_TERM elsewhere."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return NO_TERM

    def entry_at(self, index: int) -> Entry:
        """Entry at `index`, which must be after `base_index`."""
        return self.entries[index - self.base_index - 1]

    def voters_at(self, index: int) -> tuple[str, ...]:
        """Voters in force once `index` was appended. `index` must not be before the snapshot."""
        return next(voters for changed_at, voters in reversed(self._voter_changes) if changed_at <= index)

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        self.entries.append(entry)
        self._track_voters(entry)

    def _track_voters(self, entry: Entry) -> None:
        if entry.kind == MEMBERS:
            self._voter_changes.append((entry.index, tuple(msgpack.unpackb(entry.data))))

    def truncate(self, index: int) -> None:
        """Delete the entries from `index` on. Voter changes among them are reverted."""
        del self.entries[index - self.base_index - 1 :]
        while self._voter_changes[-1][0] >= index and len(self._voter_changes) > 1:
            self._voter_changes.pop()
        if index <= self.submitted:
            self._truncate_from = min(self._truncate_from or index, index)
        self._limit_persisted(index - 1)

    def _limit_persisted(self, index: int) -> None:
        """Record that the disk may differ from this log after `index`."""
        self.submitted = min(self.submitted, index)
        self.durable = min(self.durable, index)
        self._durable_after_write = min(self._durable_after_write, index)

    def take_unpersisted(self) -> Unpersisted:
        """Return what has to be written now. Call `write_finished` once it is durable."""
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
        """Record that the result of the last `take_unpersisted` is durable."""
        self.durable = max(self.durable, self._durable_after_write)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to an applied index with a snapshot, but retain a few for slow followers."""
        self.snapshot = snapshot
        self._snapshot_submitted = False
        base_index = self._retained_base(snapshot.index)
        self._discard_until(base_index, self.term_at(base_index))
        # Committed voter changes are never reverted, so those before the snapshot are not needed.
        later = [change for change in self._voter_changes if change[0] > snapshot.index]
        self._voter_changes = [(snapshot.index, snapshot.voters), *later]

    def _retained_base(self, snapshot_index: int) -> int:
        """Lowest base index within the limits on entries retained before a snapshot."""
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
        """Replace the log up to a leader's snapshot, or all of it if the log conflicts with the leader's.

        Raises:
            ConsensusViolationError: the snapshot is not newer than `commit_index`.
        """
        if snapshot.index <= commit_index:
            raise ConsensusViolationError(
                f"snapshot {snapshot.index} is not newer than commit {commit_index}"
            )
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot)
            return
        # Entries on the disk after the commit index may differ from those covered by the snapshot.
        # Acknowledging them by index alone would count a replica that does not exist.
        self._truncate_from = min(self._truncate_from or snapshot.index + 1, snapshot.index + 1)
        self._limit_persisted(commit_index)
        self.entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.snapshot = snapshot
        self._snapshot_submitted = False
        self._voter_changes = [(snapshot.index, snapshot.voters)]
        self.submitted = snapshot.index
