"""Fixtures: scripted servers with discovery, and an embedded client connected to them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from minthitch import Client, Config
from minthitch.config import NO_SERVERS
from minthitch.listing import static_listing
from minthitch.settings import from_object
from rigs.discovery import Discovery, entry
from rigs.servers import Script, Seen, Server, address_of
from tests.net import settings_with


@dataclass
class Tier:
    """A tier of scripted servers, and its discovery service."""

    servers: list[Server]
    discovery: Discovery
    addresses: list[str]
    discovery_address: str

    @property
    def sends(self) -> list[Seen]:
        return [seen for server in self.servers for seen in server.seen]

    def config(self, watch: bool = False, **parts: Any) -> Config:
        known = NO_SERVERS if watch else static_listing(self.addresses)
        return Config(
            "test",
            ("127.0.0.1", 0),
            self.discovery_address if watch else "",
            1,
            256,
            known,
            from_object(settings_with(**parts)),
        )


@asynccontextmanager
async def tier(*scripts: Script) -> AsyncIterator[Tier]:
    servers, discovery = [Server(script) for script in scripts], Discovery()
    listeners = [await asyncio.start_server(server, "127.0.0.1", 0) for server in servers]
    discovery_listener = await asyncio.start_server(discovery, "127.0.0.1", 0)
    addresses = [address_of(listener) for listener in listeners]
    discovery.hosts = [entry(f"s{i}", address) for i, address in enumerate(addresses)]
    try:
        yield Tier(servers, discovery, addresses, address_of(discovery_listener))
    finally:
        for listener in (*listeners, discovery_listener):
            listener.close()


@dataclass
class Library:
    client: Client
    tier: Tier


@asynccontextmanager
async def library(
    *scripts: Script, watch: bool = False, close_within: float = 3.4, **parts: Any
) -> AsyncIterator[Library]:
    async with tier(*scripts) as servers:
        config = servers.config(watch, **parts)
        async with Client(config, close_within=close_within) as client:
            if watch:
                await servers.discovery.watches(1)
            yield Library(client, servers)
