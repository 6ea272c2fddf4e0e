"""Asks peers what they know, all at once, over their operators' listeners: GET, JSON, one connection each.

Bounded in count, bytes and time; whoever is silent, slow, endless or makes no sense is left out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from minthitch.recovery.hearsay import Word

TARGET = "/recovery/known"
MOST_ANSWER = 16 * 1024  # bytes


async def _ask(host: str, port: int) -> Word:
    reader, writer = await asyncio.open_connection(host, port, limit=MOST_ANSWER)
    try:
        writer.write(f"GET {TARGET} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        data = b""
        while part := await reader.read(MOST_ANSWER):
            data += part
            if len(data) > MOST_ANSWER:
                raise ValueError(f"over {MOST_ANSWER} bytes")
    finally:
        writer.transport.abort()
    head, _, body = data.partition(b"\r\n\r\n")
    if head.split(b" ", 2)[1:2] != [b"200"]:
        raise ValueError("not a 200")
    return msgspec.json.decode(body, type=Word)


async def ask_all(peers: Sequence[tuple[str, int]], within: float) -> list[Word]:
    """The words of those who answer within so many seconds. Never raises for what a peer does."""

    async def one(host: str, port: int) -> Word | None:
        try:
            async with asyncio.timeout(within):
                return await _ask(host, port)
        except (OSError, TimeoutError, ValueError, RecursionError):  # msgspec's errors are ValueErrors
            return None

    return [word for word in await asyncio.gather(*(one(*peer) for peer in peers)) if word is not None]
