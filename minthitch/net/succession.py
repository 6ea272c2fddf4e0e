"""Two processes of one node at one address: each knows of the other by a socket in a shared folder.

The new process connects to the old one's socket, puts its own in that place, and says when it listens. The
old one says what it has learned, at once and as it ends. A connection that ends tells that the other process
has ended. Each line is a word and, behind it, JSON.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any, cast

READY, BEFORE, LAST = b"ready", b"learned", b"last"
MOST_LINE = 8 * 1024 * 1024  # bytes
FIND_WITHIN = 0.5  # seconds for a process that may be there
MOST_PATH = 100  # bytes: longer paths can't be bound


class _End(asyncio.Protocol):
    """Either end of the connection between the two."""

    def __init__(
        self, heard: Callable[[_End, bytes], None], lost: Callable[[_End], None], first: bytes = b""
    ) -> None:
        self.heard, self.lost, self.first = heard, lost, first
        self.data = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.say(self.first)

    def say(self, line: bytes) -> None:
        if self.transport is not None and line:
            self.transport.write(line + b"\n")

    def data_received(self, data: bytes) -> None:
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            self.heard(self, line)
        if len(self.data) > MOST_LINE and self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lost(self)


class Succession:
    """Whether such processes are there; `changed` is called as that changes.

    `learned` gives what this process knows, `recall` takes what the one before did and whether it ends.
    """

    def __init__(
        self,
        folder: str,
        address: str,
        changed: Callable[[], None],
        log: Callable[[str], None],
        learned: Callable[[], dict[str, Any]] = dict,
        recall: Callable[[dict[str, Any], bool], None] = lambda table, last: None,
    ) -> None:
        self.learned, self.recall = learned, recall
        self.path = os.path.join(folder, f"minthitch-{address}.sock")
        self.changed, self.log = changed, log
        self.loop = asyncio.get_running_loop()
        self.before: _End | None = None  # leads to the process that this one replaces
        self.after: _End | None = None  # the one that replaces this process
        self.server: asyncio.AbstractServer | None = None

    @property
    def predecessor(self) -> bool:
        return self.before is not None

    @property
    def successor(self) -> bool:
        return self.after is not None

    async def start(self) -> None:
        """Finds the process before, and can be found. Without a folder that can be used it does neither."""
        if len(os.fsencode(self.path)) > MOST_PATH:
            self.log(f"replacing this process is not prepared: the path {self.path!r} is too long")
            return
        try:
            async with asyncio.timeout(FIND_WITHIN):
                _, self.before = await self.loop.create_unix_connection(
                    lambda: _End(self._told, self._lost), self.path
                )
        except (OSError, TimeoutError):
            self.before = None  # the first process, or the one before has died
        own = f"{self.path}.{os.getpid()}"
        try:
            self.server = await self.loop.create_unix_server(
                lambda: _End(self._ready, self._lost, self._line(BEFORE)), own
            )
            os.rename(own, self.path)
        except OSError as err:
            self.log(f"replacing this process is not prepared: {err}")

    def listening(self) -> None:
        """Tells the process before that this one takes clients."""
        if self.before is not None:
            self.before.say(READY)

    def hand_over(self) -> None:
        """Tells the process behind that this one ends, and what it knows last."""
        if self.after is not None:
            self.after.say(self._line(LAST))

    def _line(self, word: bytes) -> bytes:
        return word + b" " + json.dumps(self.learned()).encode()

    def _ready(self, end: _End, line: bytes) -> None:
        if line == READY and self.after is not end:
            self.after = end
            self.changed()

    def _told(self, end: _End, line: bytes) -> None:
        word, _, text = line.partition(b" ")
        if word not in (BEFORE, LAST):
            return
        try:
            table = json.loads(text)
        except (ValueError, RecursionError) as err:
            self.log(f"what the process before has learned can't be read: {err}")
            return
        if isinstance(table, dict) and table:
            self.recall(table, word == LAST)

    def _lost(self, end: _End) -> None:
        if end in (self.before, self.after):
            self.before = None if end is self.before else self.before
            self.after = None if end is self.after else self.after
            self.changed()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for end in (self.before, self.after):
            if end is not None and end.transport is not None:
                end.transport.abort()
