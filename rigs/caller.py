"""A scripted HTTP/1.1 caller of the node."""

from __future__ import annotations

import asyncio

from rigs.servers import PATIENCE, read_message


class Caller:
    """A client's connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        async with asyncio.timeout(PATIENCE):
            head, body = await read_message(self.reader)
        return int(head.split()[1]), head, body

    async def ended(self) -> bytes:
        async with asyncio.timeout(PATIENCE):
            return await self.reader.read()


NUMBERS = iter(range(1, 1 << 30))


def call(
    cls: str = "safe", body: bytes = b"", extra: str = "", left: str = "6000m", target: str = "/api"
) -> bytes:
    method = "GET" if cls == "safe" else "POST"
    key = "Idempotency-Key: k1\r\n" if cls == "keyed" else ""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {next(NUMBERS):x}\r\n"
        f"X-Service-Class: {cls}\r\nX-Time-Left: {left}\r\n{key}{length}{extra}\r\n"
    ).encode() + body
