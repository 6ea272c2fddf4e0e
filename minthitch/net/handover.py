"""Handover between two processes of one node at one address, over a Unix socket in a shared folder.

The new process connects to the old one's socket, puts its own socket in its place, and tells the old one when
it listens. The old one sends what it has learned, on connection and again when it shuts down. A connection
that ends means that the other process has ended. Each line is a keyword, optionally followed by JSON.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any, cast

READY, LEARNED, FINAL = b"ready", b"learned", b"last"
MAX_LINE_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5  # seconds for connecting to a process that may be there
MAX_PATH_BYTES = 100  # longer paths can't be bound as Unix sockets


class _Peer(asyncio.Protocol):
    """Either end of the connection between the two processes."""

    def __init__(
        self, on_line: Callable[[_Peer, bytes], None], on_lost: Callable[[_Peer], None], greeting: bytes = b""
    ) -> None:
        self.on_line, self.on_lost, self.greeting = on_line, on_lost, greeting
        self.data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send(self.greeting)

    def send(self, line: bytes) -> None:
        if self.transport is not None and line:
            self.transport.write(line + b"\n")

    def data_received(self, data: bytes) -> None:
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            self.on_line(self, line)
        if len(self.data) > MAX_LINE_BYTES and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.on_lost(self)


class Handover:
    """Tracks the process that this one replaces and the one that replaces it.

    `on_change` is called when one of them appears or disappears.
    `learned` returns what this process knows. `recall` takes what the previous process knew, and whether
    that process is shutting down.
    """

    def __init__(
        self,
        folder: str,
        address: str,
        on_change: Callable[[], None],
        log: Callable[[str], None],
        learned: Callable[[], dict[str, Any]] = dict,
        recall: Callable[[dict[str, Any], bool], None] = lambda table, last: None,
    ) -> None:
        self.learned, self.recall = learned, recall
        self.path = os.path.join(folder, f"minthitch-{address}.sock")
        self.on_change, self.log = on_change, log
        self.loop = asyncio.get_running_loop()
        self.predecessor: _Peer | None = None  # connection to the process that this one replaces
        self.successor: _Peer | None = None  # connection to the process that replaces this one
        self.server: asyncio.AbstractServer | None = None

    @property
    def has_predecessor(self) -> bool:
        return self.predecessor is not None

    @property
    def has_successor(self) -> bool:
        return self.successor is not None

    async def start(self) -> None:
        """Connects to the previous process and accepts a next one; needs a usable folder for either."""
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            self.log(f"handover is not available: the path {self.path!r} is too long")
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.predecessor = await self.loop.create_unix_connection(
                    lambda: _Peer(self._on_predecessor_line, self._on_lost), self.path
                )
        except (OSError, TimeoutError):
            self.predecessor = None  # this is the first process, or the previous one has died
        own_path = f"{self.path}.{os.getpid()}"
        try:
            self.server = await self.loop.create_unix_server(
                lambda: _Peer(self._on_successor_line, self._on_lost, self._line(LEARNED)), own_path
            )
            os.rename(own_path, self.path)
        except OSError as err:
            self.log(f"handover is not available: {err}")

    def announce_ready(self) -> None:
        """Tells the previous process that this one accepts clients."""
        if self.predecessor is not None:
            self.predecessor.send(READY)

    def hand_over(self) -> None:
        """Tells the next process that this one shuts down, and what it has learned up to now."""
        if self.successor is not None:
            self.successor.send(self._line(FINAL))

    def _line(self, word: bytes) -> bytes:
        return word + b" " + json.dumps(self.learned()).encode()

    def _on_successor_line(self, peer: _Peer, line: bytes) -> None:
        if line == READY and self.successor is not peer:
            self.successor = peer
            self.on_change()

    def _on_predecessor_line(self, peer: _Peer, line: bytes) -> None:
        word, _, text = line.partition(b" ")
        if word not in (LEARNED, FINAL):
            return
        try:
            table = json.loads(text)
        except (ValueError, RecursionError) as err:
            self.log(f"cannot read the state of the previous process: {err}")
            return
        if isinstance(table, dict) and table:
            self.recall(table, word == FINAL)

    def _on_lost(self, peer: _Peer) -> None:
        if peer in (self.predecessor, self.successor):
            self.predecessor = None if peer is self.predecessor else self.predecessor
            self.successor = None if peer is self.successor else self.successor
            self.on_change()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for peer in (self.predecessor, self.successor):
            if peer is not None and peer.transport is not None:
                peer.transport.abort()
