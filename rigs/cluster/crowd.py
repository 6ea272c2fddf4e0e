"""An open load on the nodes' links: each want is asked over a kept connection, and each ask ends in one word.

Who is refused may come back, as another call of the same want: `w7`, then `w7.1`.
"""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from rigs.cluster.history import Event
from rigs.cluster.relay import Link
from rigs.servers import read_message

PATIENCE = 1.0  # seconds behind its deadline until a client takes a node for silent
AT_ONCE = 0.02  # seconds until one that heeds no Retry-After comes back
LEAST_LEFT = 0.3  # seconds of its deadline without which nobody comes back
RETRY_AFTER = re.compile(rb"\r\nretry-after: ([0-9.]+)", re.I)


@dataclass(frozen=True, slots=True)
class Want:
    cls: str
    deadline: float  # seconds
    method: str = "POST"
    key: bool = False


class Crowd:
    """`wants` with their weights; each goes to one of the links by turns of chance.

    Who is refused comes back up to `returns` times; `heedless` of them at once, whatever Retry-After says.
    """

    def __init__(
        self,
        links: Sequence[Link],
        wants: Mapping[Want, float],
        seed: int,
        returns: int = 0,
        heedless: float = 0.0,
    ) -> None:
        self.returns, self.heedless = returns, heedless
        self.links, self.wants, self.random = list(links), list(wants), random.Random(seed)
        self.weights = list(wants.values())
        self.events: list[Event] = []
        self.node: dict[str, int] = {}  # of each want
        self.idle: list[deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = [
            deque() for _ in self.links
        ]
        self.tasks = set[asyncio.Task[None]]()
        self.number = 0

    async def run(self, rate: float, seconds: float) -> None:
        """`rate` wants a second, one after another without waiting for answers."""
        loop = asyncio.get_running_loop()
        at = began = loop.time()
        while (at := at + self.random.expovariate(rate)) < began + seconds:
            await asyncio.sleep(max(at - loop.time(), 0))
            self.tasks.add(task := asyncio.ensure_future(self._one()))
            task.add_done_callback(self.tasks.discard)

    async def end(self) -> None:
        """Waits for the last answers."""
        await asyncio.gather(*self.tasks)
        for kept in self.idle:
            for _, writer in kept:
                writer.close()

    async def _one(self) -> None:
        self.number += 1
        first, want = f"w{self.number}", self.random.choices(self.wants, self.weights)[0]
        heedless = self.random.random() < self.heedless
        until = time.monotonic() + want.deadline
        for back in range(1 + self.returns):
            left = until - time.monotonic()
            word, pause = await self._once(f"{first}.{back}" if back else first, replace(want, deadline=left))
            pause = AT_ONCE if heedless else pause
            if word != "refused" or time.monotonic() + pause > until - LEAST_LEFT:
                return
            await asyncio.sleep(pause)

    async def _once(self, call: str, want: Want) -> tuple[str, float]:
        """How it ended, and in how many seconds it may come back."""
        node = self.node[call] = self.random.randrange(len(self.links))
        self.events.append(Event(time.monotonic(), f"n{node}", "asked", call, want.cls))
        pause = 0.0
        try:
            async with asyncio.timeout(want.deadline + PATIENCE):
                word, pause = await self._ask(node, call, want)
        except TimeoutError:
            word = "silent"
        except (OSError, asyncio.IncompleteReadError):
            word = "lost"
        self.events.append(Event(time.monotonic(), f"n{node}", "heard", call, want.cls, word))
        return word, pause

    async def _ask(self, node: int, call: str, want: Want) -> tuple[str, float]:
        kept = self.idle[node]
        while kept and (kept[-1][1].is_closing() or kept[-1][0].at_eof()):
            kept.pop()
        reader, writer = (
            kept.pop() if kept else await asyncio.open_connection("127.0.0.1", self.links[node].port)
        )
        try:
            key = f"Idempotency-Key: {call}\r\n" if want.key else ""
            length = "" if want.method == "GET" else "Content-Length: 0\r\n"
            writer.write(
                (
                    f"{want.method} /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {call}\r\n"
                    f"X-Service-Class: {want.cls}\r\nX-Time-Left: {want.deadline * 1000:.0f}m\r\n"
                    f"{key}{length}\r\n"
                ).encode()
            )
            head, _ = await read_message(reader)
        except BaseException:
            writer.transport.abort()
            raise
        if b"connection: close" in head.lower():
            writer.close()
        else:
            kept.append((reader, writer))
        after = RETRY_AFTER.search(head)
        return {200: "served", 503: "refused"}.get(int(head.split()[1]), "failed"), (
            float(after[1]) if after else 0.0
        )
