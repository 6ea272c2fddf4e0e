"""The records in the data file and their checksums.

    h            header: format, incarnation, generation, LMDB transaction, term, vote, snapshot, last index
    l + index    a log entry (index: 8 bytes, big endian)
    i + number   a chunk of the snapshot (number: 4 bytes, big endian)

Each value is the CRC-32 of key and body (4 bytes, little endian), then the body in msgpack.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgpack

from minthitch.mesh.raft.log import Entry, Snapshot
from minthitch.mesh.storage.errors import StoreCorruptedError

FORMAT_NAME, FORMAT_VERSION = "minthitch store", 1
HEADER_KEY, LOG_PREFIX, SNAPSHOT_PREFIX = b"h", b"l", b"i"
CHUNK_BYTES = 16 * 1024  # a value needs consecutive free pages, and fragmentation leaves only short runs
CHECKSUM_BYTES = 4


class Header:
    """The header record: it states which other records must exist."""

    __slots__ = (
        "incarnation",
        "generation",
        "transaction_id",
        "term",
        "voted_for",
        "voters",
        "snapshot_index",
        "snapshot_term",
        "snapshot_size",
        "last_index",
    )

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation  # set when the disk was initialized; part of the member's name
        self.generation = 0  # number of commits
        self.transaction_id = 0
        self.term = 0
        self.voted_for = ""
        self.voters: tuple[str, ...] = ()  # as of the snapshot
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.snapshot_size = 0
        self.last_index = 0

    def pack(self) -> bytes:
        """Encode the record's body; the fields are in the order of the slots."""
        fields = [FORMAT_NAME, FORMAT_VERSION, *(getattr(self, slot) for slot in self.__slots__)]
        return bytes(msgpack.packb(fields))

    @classmethod
    def unpack(cls, fields: list[Any]) -> Header:
        """Create a header from the fields of a decoded body."""
        header = cls("")
        for slot, value in zip(cls.__slots__, fields[2:], strict=True):
            setattr(header, slot, value)
        header.voters = tuple(header.voters)
        return header

    def copy(self) -> Header:
        """A copy of this header."""
        header = Header(self.incarnation)
        for slot in self.__slots__:
            setattr(header, slot, getattr(self, slot))
        return header


def checksummed(key: bytes, body: bytes) -> bytes:
    """The value of a record: the checksum and the body."""
    checksum = zlib.crc32(body, zlib.crc32(key))
    return checksum.to_bytes(CHECKSUM_BYTES, "little") + body


def verified(key: bytes, value: bytes | None) -> bytes:
    """The body of a record, after checking its checksum.

    Raises:
        StoreCorruptedError: the record is missing or damaged.
    """
    if value is None:
        raise StoreCorruptedError(f"record {key.hex()} is missing")
    body = value[CHECKSUM_BYTES:]
    if zlib.crc32(body, zlib.crc32(key)) != int.from_bytes(value[:CHECKSUM_BYTES], "little"):
        raise StoreCorruptedError(f"record {key.hex()} is damaged")
    return body


def log_key(index: int) -> bytes:
    """The key of a log entry."""
    return LOG_PREFIX + index.to_bytes(8, "big")


def chunk_key(number: int) -> bytes:
    """The key of a snapshot chunk."""
    return SNAPSHOT_PREFIX + number.to_bytes(4, "big")


def chunk_count(size: int) -> int:
    """The number of chunks of a snapshot of `size` bytes."""
    return -(-size // CHUNK_BYTES)


def pack_entry(entry: Entry) -> bytes:
    """Encode the body of a log entry's record."""
    return bytes(msgpack.packb((entry.term, entry.kind, entry.data)))


def read_snapshot(transaction: Any, header: Header) -> Snapshot:
    """Read the snapshot that the header describes.

    Raises:
        StoreCorruptedError: a chunk is missing or damaged.
    """
    keys = [chunk_key(number) for number in range(chunk_count(header.snapshot_size))]
    data = b"".join([verified(key, transaction.get(key)) for key in keys])
    if len(data) != header.snapshot_size:
        raise StoreCorruptedError("the snapshot's length differs from the one in the header")
    return Snapshot(header.snapshot_index, header.snapshot_term, header.voters, data)


def read_entries(transaction: Any, header: Header) -> tuple[Entry, ...]:
    """Read the log entries after the snapshot, up to the last index.

    Raises:
        StoreCorruptedError: an entry is missing, damaged or unexpected.
    """
    entries: list[Entry] = []
    with transaction.cursor() as cursor:
        found = cursor.set_range(LOG_PREFIX)
        while found and cursor.key()[:1] == LOG_PREFIX:
            key = cursor.key()
            index = header.snapshot_index + len(entries) + 1
            if key != log_key(index):
                raise StoreCorruptedError(f"entry {index} is missing")
            term, kind, data = msgpack.unpackb(verified(key, cursor.value()))
            entries.append(Entry(index, term, kind, data))
            found = cursor.next()
    if header.snapshot_index + len(entries) != header.last_index:
        raise StoreCorruptedError(f"the entries do not end at index {header.last_index}")
    return tuple(entries)
