"""Stand-in servers over HTTP/1.1 that answer by a script."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

PATIENCE = 20.0  # seconds: a limit for a machine that is busy, never a measure
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def address_of(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def reply(status: int, body: bytes = b"", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


@dataclass
class Seen:
    """One request as a server read it."""

    head: bytes
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    connection: int

    def field(self, name: str) -> str | None:
        for line in self.head.decode().split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None


Script = Callable[[Seen], Awaitable[bytes | None]]


async def serve_ok(_seen: Seen) -> bytes:
    return OK


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.split(b":")[1])
    return head, await reader.readexactly(size)


@dataclass
class Server:
    """A server that answers by a script; None from the script says nothing more on that connection."""

    script: Script = serve_ok
    seen: list[Seen] = field(default_factory=list)
    connections: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    closed: int = 0  # connections that the node has ended

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.changed.set()
        try:
            while True:
                head, body = await read_message(reader)
                seen = Seen(head, body, reader, writer, number)
                self.seen.append(seen)
                self.changed.set()
                answer = await self.script(seen)
                if answer is None:
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed += 1
            self.changed.set()
            writer.close()

    async def until(self, ready: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not ready():
                self.changed.clear()
                await self.changed.wait()
