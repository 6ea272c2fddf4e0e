"""The asking side of HTTP/1.1: one request at a time on a connection, kept for the next."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple, cast

import httptools

CONNECT = 1.0  # seconds for a connection


class Answer(NamedTuple):
    """A whole answer; names of fields in lower case."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes


class Wire(asyncio.Protocol):
    """One connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiting: asyncio.Future[Answer] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.fields: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        answer = Answer(self.parser.get_status_code(), self.fields, b"".join(self.parts))
        self.fields, self.parts = {}, []
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(answer)

    def connection_lost(self, err: Exception | None) -> None:
        self.transport = None
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionResetError("closed without an answer"))

    async def ask(self, pieces: Iterable[bytes]) -> Answer:
        """Raises OSError where the connection ends first."""
        if self.transport is None:
            raise ConnectionResetError("closed before")
        self.waiting = asyncio.get_running_loop().create_future()
        for piece in pieces:
            self.transport.write(piece)
            await asyncio.sleep(0)
            if self.transport is None:
                break
        return await self.waiting

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Door:
    """An address, and the connections to it that are kept."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self.idle: list[Wire] = []

    async def ask(self, pieces: Iterable[bytes], within: float, anew: bool = False) -> Answer:
        """Raises OSError (TimeoutError is one) where no answer comes `within` seconds."""
        wire: Wire | None = None
        try:
            async with asyncio.timeout(within):
                wire = await self._wire(anew)
                answer = await wire.ask(pieces)
        except BaseException:
            if wire is not None:
                wire.close()
            raise
        if answer.fields.get(b"connection", b"").lower() == b"close":
            wire.close()
        else:
            self.idle.append(wire)
        return answer

    async def _wire(self, anew: bool) -> Wire:
        while self.idle and not anew:
            wire = self.idle.pop()
            if wire.transport is not None:
                return wire
        async with asyncio.timeout(CONNECT):
            _, wire = await asyncio.get_running_loop().create_connection(Wire, self.ip, self.port)
        return wire

    def close(self) -> None:
        for wire in self.idle:
            wire.close()
        self.idle.clear()


def request(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> list[bytes]:
    """A request with its body's length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ["\r\n".join([*lines, "", ""]).encode() + body]


def in_chunks(target: str, fields: dict[str, str], body: bytes, size: int) -> list[bytes]:
    """A POST whose body comes in chunks of `size` bytes."""
    head = request("GET", target, fields | {"Transfer-Encoding": "chunked"})[0].replace(b"GET", b"POST", 1)
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return [head, *(b"%x\r\n%b\r\n" % (len(part), part) for part in parts), b"0\r\n\r\n"]
