"""Long bytes that many are sent, made short once. Routes are alike: a thousand of them shrink to a tenth."""

from __future__ import annotations

import zlib

from minthitch.mesh.transport.framing import MAX_MESSAGE_BYTES, ProtocolError

MIN_BYTES = 4 * 1024  # bytes below which it does not pay
LEVEL = 1  # the quickest: higher ones save a few parts in a hundred more
ZLIB_FIRST_BYTE = 0x78  # zlib's first byte; what is sent as it is begins with a msgpack array's


def compress(data: bytes) -> bytes:
    """`data` must begin with a msgpack array, and so with no `ZLIB_FIRST_BYTE`."""
    return zlib.compress(data, LEVEL) if len(data) >= MIN_BYTES else data


def decompress(data: bytes) -> bytes:
    """What `compress` was given. Raises ProtocolError."""
    if not data or data[0] != ZLIB_FIRST_BYTE:
        return data
    inside = zlib.decompressobj()
    try:
        whole = inside.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as err:
        raise ProtocolError(f"bytes that can't be decompressed: {err}") from None
    if not inside.eof:  # danger: a few bytes could fill the memory
        raise ProtocolError("longer than may be, or cut short")
    return whole
