"""A server in a process of its own: `python -m rigs.cluster.machine JSON`.

It has cores and a queue, is slow while it is cold, and ends where it is sent more than a cold server bears.
What it takes and answers it writes to its part of the history, which outlives it.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass
from typing import cast

FIELD = re.compile(rb"\r\n(x-correlation-id|x-service-class|content-length): *([^\r]*)", re.IGNORECASE)
PUSHED_OVER = 3  # its exit code
MOST_LIFE = 600  # seconds after which it ends by itself


@dataclass(frozen=True, slots=True)
class Make:
    """What a server is. Times in seconds; `born` is monotonic time, 0 for long ago."""

    name: str
    book: str  # the file of its part of the history
    cores: int = 2
    work: float = 0.07
    cold_share: float = 1.0
    cold_time: float = 0.0
    cold_multiple: float = 3.0
    cold_window: float = 1.0
    born: float = 0.0

    def text(self) -> str:
        return json.dumps(asdict(self))

    def warmth(self, now: float) -> float:
        age = now - self.born
        if not self.born or age >= self.cold_time:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * age / self.cold_time

    def bears(self, now: float) -> float:
        """Calls that may come within the window that ends now."""
        return self.cold_multiple * self.cores / self.work * self.warmth(now) * self.cold_window


class Machine:
    def __init__(self, make: Make) -> None:
        self.make, self.random = make, random.Random(make.name)
        self.book = os.open(make.book, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.recent = deque[float]()
        self.cores = asyncio.Semaphore(make.cores)

    def note(self, what: str, identity: str, cls: str) -> None:
        """One write a line, so that a line is whole or not there when the process is killed."""
        line = {"at": time.monotonic(), "who": self.make.name, "what": what, "call": identity, "cls": cls}
        os.write(self.book, json.dumps(line).encode() + b"\n")

    def took(self, identity: str, cls: str) -> None:
        now = time.monotonic()
        self.note("took", identity, cls)
        if self.make.warmth(now) < 1.0:
            self.recent.append(now)
            while self.recent[0] <= now - self.make.cold_window:
                self.recent.popleft()
            if len(self.recent) > self.make.bears(now):
                self.note("pushed over", identity, cls)
                os._exit(PUSHED_OVER)

    async def work(self, identity: str, cls: str) -> bytes:
        async with self.cores:
            usual = self.make.work / self.make.warmth(time.monotonic())
            await asyncio.sleep(usual * self.random.uniform(0.5, 1.5))
        self.note("did", identity, cls)
        body = b"done " + identity.encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Connection(asyncio.Protocol):
    def __init__(self, machine: Machine) -> None:
        self.machine, self.data = machine, b""
        self.tasks = set[asyncio.Task[None]]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            fields = {name.lower(): value.decode() for name, value in FIELD.findall(self.data[:end])}
            size = end + 4 + int(fields.get(b"content-length", "0"))
            if len(self.data) < size:
                return
            self.data = self.data[size:]
            identity, cls = fields.get(b"x-correlation-id", ""), fields.get(b"x-service-class", "")
            self.machine.took(identity, cls)
            self.tasks.add(task := asyncio.ensure_future(self._serve(identity, cls)))
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, identity: str, cls: str) -> None:
        answer = await self.machine.work(identity, cls)
        if not self.transport.is_closing():
            self.transport.write(answer)


async def serve(make: Make) -> None:
    machine = Machine(make)
    listener = await asyncio.get_running_loop().create_server(lambda: Connection(machine), "127.0.0.1", 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(MOST_LIFE)


if __name__ == "__main__":
    asyncio.run(serve(Make(**json.loads(sys.argv[1]))))
