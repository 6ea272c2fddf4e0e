"""Quick stand-in servers in a process of their own: `python -m rigs.quick COUNT`.

Prints their addresses as JSON and serves until its standard input ends. A request with `X-Silent` gets no
answer, one with `X-Wait: MS` gets it later; all others at once.
"""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import cast

import uvloop

ROOT = Path(__file__).parent.parent
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 16\r\nContent-Type: text/plain\r\n\r\nticket to Lahore"
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
WAIT = re.compile(rb"\r\nx-wait: *(\d+)", re.IGNORECASE)


class Quick(asyncio.Protocol):
    """One connection."""

    def __init__(self) -> None:
        self.data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end]
            length = int(match[1]) if (match := LENGTH.search(head)) else 0
            if len(self.data) < end + 4 + length:
                return
            self.data = self.data[end + 4 + length :]
            self._answer(head)

    def _answer(self, head: bytes) -> None:
        if b"X-Silent" in head or self.transport is None:
            return
        if wait := WAIT.search(head):
            asyncio.get_running_loop().call_later(int(wait[1]) / 1000, self._write)
        else:
            self._write()

    def _write(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(ANSWER)


async def serve(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Quick, "127.0.0.1", 0) for _ in range(count)]
    print(json.dumps([f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in servers]), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    for server in servers:
        server.close()


@contextmanager
def quick_servers(count: int) -> Iterator[list[str]]:
    """Their addresses."""
    process = subprocess.Popen(
        [sys.executable, "-m", "rigs.quick", str(count)],
        cwd=ROOT,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        yield json.loads(process.stdout.readline())
    finally:
        process.stdin.close()
        process.wait(10)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
