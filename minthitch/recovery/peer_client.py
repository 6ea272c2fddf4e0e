"""Asks peers what they know, all at once, over their operators' listeners: GET, JSON, one connection each.

Bounded in count, bytes and time; whoever is silent, slow, endless or makes no sense is left out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from minthitch.recovery.peer_reports import PeerReport

TARGET = "/recovery/known"
MAX_RESPONSE_BYTES = 16 * 1024  # bytes


async def _query(host: str, port: int) -> PeerReport:
    reader, writer = await asyncio.open_connection(host, port, limit=MAX_RESPONSE_BYTES)
    try:
        writer.write(f"GET {TARGET} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        data = b""
        while part := await reader.read(MAX_RESPONSE_BYTES):
            data += part
            if len(data) > MAX_RESPONSE_BYTES:
                raise ValueError(f"over {MAX_RESPONSE_BYTES} bytes")
    finally:
        writer.transport.abort()
    head, _, body = data.partition(b"\r\n\r\n")
    if head.split(b" ", 2)[1:2] != [b"200"]:
        raise ValueError("not a 200")
    return msgspec.json.decode(body, type=PeerReport)


async def query_peers(peers: Sequence[tuple[str, int]], within: float) -> list[PeerReport]:
    """The words of those who answer within so many seconds. Never raises for what a peer does."""

    async def one(host: str, port: int) -> PeerReport | None:
        try:
            async with asyncio.timeout(within):
                return await _query(host, port)
        except (OSError, TimeoutError, ValueError, RecursionError):  # msgspec's errors are ValueErrors
            return None

    return [word for word in await asyncio.gather(*(one(*peer) for peer in peers)) if word is not None]
