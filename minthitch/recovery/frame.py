"""A snapshot as bytes, and what can be wrong with bytes that should be one. No I/O.

Layout: MAGIC, version, length of the body, CRC-32C over version, length and body (big-endian), then the body
in MessagePack. Whatever is not exactly that is told apart by name and never used in part.
"""

from __future__ import annotations

import struct
from enum import Enum

import google_crc32c
import msgspec

from minthitch.recovery.model import Snapshot

MAGIC = b"MINTSNAP"
VERSION = 1
HEADER = struct.Struct(">8sHII")  # magic, version, length, checksum
MAX_BODY_BYTES = 8 * 1024 * 1024  # bytes


class Fault(Enum):
    """Why bytes are no snapshot."""

    EMPTY = "empty"
    FOREIGN = "not a snapshot"
    NEWER = "of a newer version of the program"
    TORN = "torn: shorter than it says"
    LONGER = "longer than it says"
    ALTERED = "altered: the checksum does not fit"
    ODD = "whole, and not understood"


class FrameError(ValueError):
    """Bytes that can't be used; `fault` says why."""

    def __init__(self, fault: Fault, more: str = "") -> None:
        super().__init__(f"{fault.value}{': ' if more else ''}{more}")
        self.fault = fault


def _checksum(version: int, body: bytes) -> int:
    return int(google_crc32c.value(struct.pack(">HI", version, len(body)) + body))


def encode(snapshot: Snapshot) -> bytes:
    """Raises ValueError where it is larger than MAX_BODY_BYTES."""
    body = msgspec.msgpack.encode(snapshot)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a snapshot of {len(body)} bytes is over {MAX_BODY_BYTES}")
    return HEADER.pack(MAGIC, VERSION, len(body), _checksum(VERSION, body)) + body


def decode(data: bytes) -> Snapshot:
    """Raises FrameError for any bytes that `encode` did not make."""
    if not data.strip(b"\0"):  # a file system may leave a file's length and none of its bytes
        raise FrameError(Fault.EMPTY)
    if not data.startswith(MAGIC[: len(data)]):
        raise FrameError(Fault.FOREIGN)
    if len(data) < HEADER.size:
        raise FrameError(Fault.TORN)
    _, version, length, checksum = HEADER.unpack_from(data)
    if version > VERSION:
        raise FrameError(Fault.NEWER, f"{version} over {VERSION}")
    body = data[HEADER.size :]
    if len(body) < length:
        raise FrameError(Fault.TORN)
    if len(body) > length:
        raise FrameError(Fault.LONGER)
    if checksum != _checksum(version, body):
        raise FrameError(Fault.ALTERED)
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as err:
        raise FrameError(Fault.ODD, " ".join(str(err).split())) from None
