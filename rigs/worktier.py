"""Real servers that behave as the lab's model of them: cores, slots, work by a stream of random numbers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from minthitch.interface import SECOND
from minthitch.lab.scenario import Tier, span
from minthitch.lab.streams import Stream
from rigs.servers import Seen, Server, address_of, reply


class WorkServer:
    """One server: `cores` requests at work, the rest wait; beyond `slots` they are turned away unread."""

    def __init__(self, tier: Tier, number: int, seed: int) -> None:
        self.tier, self.stream = tier, Stream(seed, f"real server {number}")
        self.cores = asyncio.Semaphore(tier.cores)
        self.work = span(tier.work) / SECOND / tier.kinds[number % len(tier.kinds)]
        self.held = self.served = 0
        self.silent = False

    async def __call__(self, seen: Seen) -> bytes | None:
        if self.held >= self.tier.slots:
            return reply(503, extra="X-Unprocessed: 1\r\n")
        if self.silent:
            return None
        self.held += 1
        try:
            async with self.cores:
                await asyncio.sleep(self.work * self.stream.spread(self.tier.spread, self.tier.width))
        finally:
            self.held -= 1
        self.served += 1
        return reply(200, (seen.field("X-Correlation-Id") or "").encode())


class WorkTier:
    """All servers of one tier, on loopback."""

    def __init__(self, tier: Tier, seed: int) -> None:
        self.servers = [WorkServer(tier, number, seed) for number in range(tier.servers)]
        self.stack = AsyncExitStack()
        self.addresses: list[str] = []

    async def __aenter__(self) -> WorkTier:
        for server in self.servers:
            listener = await asyncio.start_server(Server(server), "127.0.0.1", 0)
            self.stack.callback(listener.close)
            self.addresses.append(address_of(listener))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()
