"""One snapshot on its way from a leader to a member, in chunks (dissertation, 5.3).

A member keeps the received part of a snapshot whoever sent it: `SnapshotId` shows by content whether a new
leader sends the same one, which then goes on where the last one stopped.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from minthitch.mesh.raft.log import Snapshot


class SnapshotId(NamedTuple):
    """Snapshots with the same id are the same bytes for the same position in the log."""

    last_index: int
    last_term: int
    length: int
    checksum: int  # CRC-32 of the whole


class OutgoingSnapshot:
    """The leader's side: one chunk is in flight at a time.

    The first message carries no bytes, and its answer tells how much the member has already.
    """

    __slots__ = ("snapshot", "id", "offset", "_chunk_sequence", "_answered_sequence")

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.id = SnapshotId(snapshot.index, snapshot.term, len(snapshot.data), snapshot.checksum)
        self.offset: int | None = None  # bytes that the member is known to have
        self._chunk_sequence: int | None = None  # of the message with the chunk in flight
        self._answered_sequence = 0  # of the newest message that was answered

    @property
    def chunk_due(self) -> bool:
        """The next chunk may be sent."""
        return self.offset is not None and self._chunk_sequence is None

    def next_chunk(self, size: int, sequence: int) -> bytes:
        """The chunk to send in the message of that sequence number; empty where none is due."""
        if self.offset is None or self._chunk_sequence is not None:
            return b""
        chunk = self.snapshot.data[self.offset : self.offset + size]
        self._chunk_sequence = sequence if chunk else None
        return chunk

    def acknowledged(self, received: int, sequence: int) -> None:
        """The member had `received` bytes when it got the message of that sequence number.

        A chunk is lost if a message sent after it was answered and the member still has no more bytes. That
        is known one heartbeat after the loss, also on a link so slow that a timer would send each chunk
        twice.
        """
        if sequence < self._answered_sequence:
            return
        self._answered_sequence = sequence
        lost = self._chunk_sequence is not None and sequence > self._chunk_sequence
        if received != self.offset or lost:
            self.offset = received
            self._chunk_sequence = None


class IncomingSnapshot:
    """The member's side: what has been received without a gap."""

    __slots__ = ("id", "data")

    def __init__(self, snapshot_id: SnapshotId) -> None:
        self.id = snapshot_id
        self.data = bytearray()

    def add_chunk(self, offset: int, chunk: bytes) -> None:
        """Append a chunk, unless it is a repeat or follows one that was lost."""
        if offset == len(self.data):
            self.data += chunk

    @property
    def is_complete(self) -> bool:
        """All bytes have been received."""
        return len(self.data) >= self.id.length

    @property
    def is_intact(self) -> bool:
        """The bytes are those that the leader had."""
        return len(self.data) == self.id.length and zlib.crc32(self.data) == self.id.checksum
