"""Loopback stand-ins for tests of the node: servers with a script, discovery, and a caller."""

from __future__ import annotations

import asyncio
import json
import struct
import socket
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from minthitch.config import Config
from minthitch.listing import parse_listing
from minthitch.net.node import Node
from minthitch.settings import from_object

MS = 1_000_000
PATIENCE = 20.0  # seconds: a limit for a machine that is busy, never a measure

SETTINGS: dict[str, Any] = {
    "areas": ["z"], "flavors": ["k"], "registryMode": "push", "siblings": 1, "tier": 1, "periodNs": 5 * MS,
    "classes": [
        {"name": "safe", "effect": "repeatable", "objectiveNs": 4000 * MS, "deadlineNs": 8000 * MS},
        {"name": "keyed", "effect": "by_key", "group": "cell", "windowNs": 10000 * MS,
         "objectiveNs": 4000 * MS, "deadlineNs": 8000 * MS},
        {"name": "unsafe", "effect": "once", "objectiveNs": 4000 * MS, "deadlineNs": 8000 * MS}],
    "policyLimits": {"connectTimeoutNs": 2000 * MS, "idleCloseNs": 600_000 * MS, "maxOpen": 100, "sendCap": 4,
                     "maxRetryAfterNs": 2000 * MS, "mayCancel": True, "mayDuplicate": True,
                     "retryAfter": True},
    "rules": {"drainGraceNs": 500 * MS, "graceToAnswerNs": 20 * MS},
}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


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


def entry(name: str, dial: str, health: str = "up", born_ms: int = 0, block: int = 0) -> dict[str, Any]:
    return {"host": name, "dial": dial, "site": "z", "class": "k", "block": block, "health": health,
            "share": 1.0, "born_ms": born_ms}


class Discovery:
    """Answers watches with the whole list, then with what the test says."""

    def __init__(self) -> None:
        self.hosts: list[dict[str, Any]] = []
        self.seq = 1
        self.targets: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.changed = asyncio.Event()
        self.beats = True  # an empty line now and then while nothing changes

    async def __call__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head, _ = await read_message(reader)
            self.targets.append(head.split()[1].decode())
            if "watch" not in self.targets[-1]:
                whole = json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode()
                writer.write(reply(200, whole))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send(writer, {"seq": self.seq, "whole": True, "hosts": self.hosts})
            self.writers.append(writer)
            self.changed.set()
            while not reader.at_eof():
                if self.beats:
                    self.send(writer, b"")
                with suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(), 0.5)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    def send(writer: asyncio.StreamWriter, value: object) -> None:
        line = value if isinstance(value, bytes) else json.dumps(value).encode()
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def change(self, *hosts: dict[str, Any]) -> None:
        self.seq += 1
        self.send(self.writers[-1], {"seq": self.seq, "whole": False, "hosts": list(hosts)})

    def replace(self, *hosts: dict[str, Any]) -> None:
        """Another whole list, for the watches that are open and those to come."""
        self.hosts, self.seq = list(hosts), self.seq + 1
        for writer in self.writers:
            if not writer.transport.is_closing():
                self.send(writer, {"seq": self.seq, "whole": True, "hosts": self.hosts})

    async def watches(self, count: int) -> None:
        async with asyncio.timeout(PATIENCE):
            while len(self.writers) < count:
                self.changed.clear()
                await self.changed.wait()


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


def call(cls: str = "safe", body: bytes = b"", extra: str = "", left: str = "6000m",
         target: str = "/api") -> bytes:
    method = "GET" if cls == "safe" else "POST"
    key = "Idempotency-Key: k1\r\n" if cls == "keyed" else ""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {next(NUMBERS):x}\r\n"
            f"X-Service-Class: {cls}\r\nX-Time-Left: {left}\r\n{key}{length}{extra}\r\n").encode() + body


@dataclass
class Rig:
    node: Node
    servers: list[Server]
    discovery: Discovery
    addresses: list[str]

    async def caller(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.node.port))

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        return await (await self.caller()).ask(data)

    async def until(self, ready: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not ready():
                await asyncio.sleep(0.01)

    @property
    def sends(self) -> list[Seen]:
        return [seen for server in self.servers for seen in server.seen]


def settings_with(**parts: dict[str, Any]) -> dict[str, Any]:
    table = dict(SETTINGS)
    for name, part in parts.items():
        table[name] = {**table[name], **part} if isinstance(part, dict) else part
    return table


def config(table: dict[str, Any], address: str, known: list[dict[str, Any]], sockets: int = 1024) -> Config:
    listing = parse_listing({"seq": 7, "whole": True, "hosts": known})
    return Config("test", ("127.0.0.1", 0), address, 1, sockets, listing, from_object(table))


def address_of(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@asynccontextmanager
async def rig(*scripts: Script, known: bool = True, sockets: int = 1024, watch: bool = True,
              **parts: Any) -> AsyncIterator[Rig]:
    """A node with scripted servers `s0`, `s1` ..., each in a cell of its own from `s1` on, and discovery."""
    servers = [Server(script) for script in scripts]
    found = Discovery()
    listeners = [await asyncio.start_server(server, "127.0.0.1", 0) for server in servers]
    lookup = await asyncio.start_server(found, "127.0.0.1", 0)
    addresses = [address_of(listener) for listener in listeners]
    found.hosts = [entry(f"s{i}", address) for i, address in enumerate(addresses)]
    where = address_of(lookup)
    if not watch:
        lookup.close()
    node = Node(config(settings_with(**parts), where, found.hosts if known else [], sockets))
    await node.start()
    if watch:
        await found.watches(1)
    try:
        yield Rig(node, servers, found, addresses)
    finally:
        await node.stop()
        for listener in (*listeners, lookup):
            listener.close()
