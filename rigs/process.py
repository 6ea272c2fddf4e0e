"""A node as a process on loopback, started as the platform starts it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections import deque
from pathlib import Path
from typing import Any

from rigs.caller import Caller
from rigs.servers import PATIENCE

ROOT = Path(__file__).parent.parent


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


async def is_ready(port: int) -> bool:
    """Whether the node that listens there says so, now."""
    try:
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        status, _, _ = await caller.ask(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        caller.writer.close()
    except (OSError, asyncio.IncompleteReadError):
        return False
    return status == 200


class NodeProcess:
    """`python -m minthitch` with a configuration of its own, and kept connections to it."""

    def __init__(self, table: dict[str, Any]) -> None:
        self.table = table  # without `listen`
        self.idle: deque[Caller] = deque()
        self.port = 0

    async def start(self) -> None:
        """Waits until `/ready` answers 200."""
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory()
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps({**self.table, "listen": f"127.0.0.1:{self.port}"}))
        operated = {"record", "operators"} & set(self.table)  # which the plain start does not know
        words = ["serve", str(path)] if operated else []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "minthitch",
            *words,
            cwd=ROOT,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )
        async with asyncio.timeout(PATIENCE):
            while not await is_ready(self.port):
                if self.process.returncode is not None:
                    raise RuntimeError(f"the node ended with {self.process.returncode}")
                await asyncio.sleep(0.02)

    async def connect(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        """One request on a kept connection, or on a new one."""
        caller = self.idle.pop() if self.idle else await self.connect()
        answer = await caller.ask(data)
        self.idle.append(caller)
        return answer

    async def stop(self) -> int:
        """SIGTERM; gives the exit code."""
        for caller in self.idle:
            caller.writer.close()
        self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE):
            code = await self.process.wait()
        self.folder.cleanup()
        return code
