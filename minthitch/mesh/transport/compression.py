"""Compression of large messages that many receivers get: it is done once for all of them.

Routes resemble each other: a thousand of them shrink to a tenth.
"""

from __future__ import annotations

import zlib

from minthitch.mesh.transport.framing import MAX_MESSAGE_BYTES, ProtocolError

MIN_BYTES = 4 * 1024  # shorter data is sent uncompressed: compressing it does not pay
LEVEL = 1  # the fastest level; higher ones save only a few percent more
ZLIB_FIRST_BYTE = 0x78  # tells compressed data from uncompressed, which begins with a msgpack array


def compress(data: bytes) -> bytes:
    """Compress `data` if it is long enough. It must be a msgpack array: no array begins with 0x78."""
    return zlib.compress(data, LEVEL) if len(data) >= MIN_BYTES else data


def decompress(data: bytes) -> bytes:
    """Undo `compress`.

    Raises:
        ProtocolError: `data` is not valid zlib data, is cut short, or exceeds MAX_MESSAGE_BYTES.
    """
    if not data or data[0] != ZLIB_FIRST_BYTE:
        return data
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as err:
        raise ProtocolError(f"invalid compressed data: {err}") from None
    if not decompressor.eof:  # the output is limited: a few bytes of input could otherwise exhaust the memory
        raise ProtocolError("compressed data is truncated or exceeds the maximum message size")
    return decompressed
