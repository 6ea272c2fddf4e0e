"""Queries peers concurrently over their operators' listeners: GET, JSON, one connection each.

The number of peers, the response size and the time are bounded. A peer that does not answer in time, sends
too much or sends an invalid response is left out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from minthitch.recovery.peer_reports import PeerReport

TARGET = "/recovery/known"
MAX_RESPONSE_BYTES = 16 * 1024


async def _query(host: str, port: int) -> PeerReport:
    reader, writer = await asyncio.open_connection(host, port, limit=MAX_RESPONSE_BYTES)
    try:
        writer.write(f"GET {TARGET} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        data = b""
        while chunk := await reader.read(MAX_RESPONSE_BYTES):
            data += chunk
            if len(data) > MAX_RESPONSE_BYTES:
                raise ValueError(f"response is over {MAX_RESPONSE_BYTES} bytes")
    finally:
        writer.transport.abort()
    head, _, body = data.partition(b"\r\n\r\n")
    if head.split(b" ", 2)[1:2] != [b"200"]:
        raise ValueError("status is not 200")
    return msgspec.json.decode(body, type=PeerReport)


async def query_peers(peers: Sequence[tuple[str, int]], timeout_s: float) -> list[PeerReport]:
    """Gives the reports of the peers that answer within `timeout_s`. No peer's failure makes it raise."""

    async def query(host: str, port: int) -> PeerReport | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await _query(host, port)
        except (OSError, TimeoutError, ValueError, RecursionError):  # msgspec's errors are ValueErrors
            return None

    return [
        report for report in await asyncio.gather(*(query(*peer) for peer in peers)) if report is not None
    ]
