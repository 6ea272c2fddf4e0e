"""Encodes a snapshot as bytes, and decodes and validates such bytes. No I/O.

Layout: MAGIC, version, length of the body, CRC-32C over version, length and body (big-endian), then the body
in MessagePack. Anything else is rejected as a whole, with a Fault that names the reason.
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
MAX_BODY_BYTES = 8 * 1024 * 1024


class Fault(Enum):
    """Why bytes are not a valid snapshot."""

    EMPTY = "empty"
    FOREIGN = "not a snapshot"
    NEWER = "written in a newer format"
    TORN = "torn: truncated"
    LONGER = "longer than its header says"
    ALTERED = "altered: checksum mismatch"
    ODD = "complete, but its content is invalid"


class FrameError(ValueError):
    """Bytes that cannot be used; `fault` says why."""

    def __init__(self, fault: Fault, detail: str = "") -> None:
        super().__init__(f"{fault.value}{': ' if detail else ''}{detail}")
        self.fault = fault


def _checksum(version: int, body: bytes) -> int:
    return int(google_crc32c.value(struct.pack(">HI", version, len(body)) + body))


def encode(snapshot: Snapshot) -> bytes:
    """Raises ValueError if the body is larger than MAX_BODY_BYTES."""
    body = msgspec.msgpack.encode(snapshot)
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a snapshot of {len(body)} bytes exceeds the limit of {MAX_BODY_BYTES}")
    return HEADER.pack(MAGIC, VERSION, len(body), _checksum(VERSION, body)) + body


def decode(data: bytes) -> Snapshot:
    """Raises FrameError for any bytes that `encode` did not produce."""
    if not data.strip(b"\0"):  # after a power loss, a file may have its length but only zero bytes
        raise FrameError(Fault.EMPTY)
    if not data.startswith(MAGIC[: len(data)]):
        raise FrameError(Fault.FOREIGN)
    if len(data) < HEADER.size:
        raise FrameError(Fault.TORN)
    _, version, length, checksum = HEADER.unpack_from(data)
    if version > VERSION:
        raise FrameError(Fault.NEWER, f"{version}, newest supported is {VERSION}")
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
