"""A node on loopback between test servers and a test discovery from `rigs`."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from minthitch.config import Config
from minthitch.listing import parse_listing
from minthitch.net.node import Node
from minthitch.settings import from_object
from rigs.caller import Caller, call
from rigs.discovery import Discovery, entry
from rigs.servers import OK, PATIENCE, Script, Seen, Server, address_of, reply, reset, serve_ok
from rigs.settings import MS, SETTINGS, settings_with

__all__ = [
    "MS",
    "OK",
    "PATIENCE",
    "SETTINGS",
    "Caller",
    "Discovery",
    "Seen",
    "Server",
    "address_of",
    "call",
    "entry",
    "reply",
    "reset",
    "rig",
    "serve_ok",
    "settings_with",
]


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


def config(table: dict[str, Any], address: str, known: list[dict[str, Any]], sockets: int = 1024) -> Config:
    listing = parse_listing({"seq": 7, "whole": True, "hosts": known})
    return Config("test", ("127.0.0.1", 0), address, 1, sockets, listing, from_object(table))


@asynccontextmanager
async def rig(
    *scripts: Script, known: bool = True, sockets: int = 1024, watch: bool = True, **parts: Any
) -> AsyncIterator[Rig]:
    """A node with discovery and scripted servers `s0`, `s1` ...; from `s1` on, each has its own cell."""
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
