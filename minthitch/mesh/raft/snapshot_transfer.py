"""Transfer of a snapshot from a leader to a member, in chunks (dissertation, 5.3).

A member keeps the received part of a snapshot when the leader changes. `SnapshotId` identifies a snapshot
by its content: if the new leader sends the same one, the transfer continues where it stopped.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from minthitch.mesh.raft.log import Snapshot


class SnapshotId(NamedTuple):
    """Snapshots with the same id have the same bytes for the same position in the log."""

    last_index: int
    last_term: int
    length: int
    checksum: int  # CRC-32 of the whole snapshot


class OutgoingSnapshot:
    """The leader's side of a transfer: one chunk is in flight at a time.

    The first message carries no bytes; the response tells how much the member already has.
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
        """Whether the next chunk may be sent."""
        return self.offset is not None and self._chunk_sequence is None

    def next_chunk(self, size: int, sequence: int) -> bytes:
        """The chunk to send in the message with this sequence number; empty if none is due."""
        if self.offset is None or self._chunk_sequence is not None:
            return b""
        chunk = self.snapshot.data[self.offset : self.offset + size]
        self._chunk_sequence = sequence if chunk else None
        return chunk

    def acknowledged(self, received: int, sequence: int) -> None:
        """Record that the member had `received` bytes when it got the message with this sequence number.

        A chunk is lost if the member has answered a message sent after it and still has no more bytes. This
        detects a loss after one heartbeat, even on a link so slow that a retransmission timer would send
        each chunk twice.
        """
        if sequence < self._answered_sequence:
            return
        self._answered_sequence = sequence
        lost = self._chunk_sequence is not None and sequence > self._chunk_sequence
        if received != self.offset or lost:
            self.offset = received
            self._chunk_sequence = None


class IncomingSnapshot:
    """The member's side of a transfer: what has been received without a gap."""

    __slots__ = ("id", "data")

    def __init__(self, snapshot_id: SnapshotId) -> None:
        self.id = snapshot_id
        self.data = bytearray()

    def add_chunk(self, offset: int, chunk: bytes) -> None:
        """Append a chunk, unless it is a duplicate or follows a lost one."""
        if offset == len(self.data):
            self.data += chunk

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have been received."""
        return len(self.data) >= self.id.length

    @property
    def is_intact(self) -> bool:
        """Whether length and checksum match the leader's snapshot."""
        return len(self.data) == self.id.length and zlib.crc32(self.data) == self.id.checksum
