"""A stand-in for discovery: lists and watches over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from rigs.servers import PATIENCE, read_message, reply


def entry(name: str, dial: str, health: str = "up", born_ms: int = 0, block: int = 0) -> dict[str, Any]:
    return {
        "host": name,
        "dial": dial,
        "site": "z",
        "class": "k",
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


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
