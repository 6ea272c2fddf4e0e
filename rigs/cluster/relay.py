"""A link between two processes over loopback that can be slowed, cut one way or both, reset, refused.

A cut link holds what is sent, as a network that drops packets does for as long as connections last. It still
takes connections: over loopback a connect cannot be left without an answer.
"""

from __future__ import annotations

import asyncio
import socket
from typing import cast

TO, BACK = "to", "back"  # towards who listens, and from there
BOTH = frozenset((TO, BACK))


class _Side(asyncio.Protocol):
    """One of the two connections of a pair; what comes here goes out at the other."""

    def __init__(self, link: Link, way: str) -> None:
        self.link, self.way = link, way
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []  # came before the other side was there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.sides.add(self)
        self.steer()
        if self.way == TO:
            self.link.tasks.add(task := asyncio.ensure_future(self._join()))
            task.add_done_callback(self.link.tasks.discard)

    async def _join(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, other = await loop.create_connection(
                lambda: _Side(self.link, BACK), "127.0.0.1", self.link.target
            )
        except OSError:
            self.abort()
            return
        self.other, other.other = other, self
        for data in self.pending:
            self._pass(data)
        self.pending.clear()
        if self.transport is None or self.transport.is_closing():
            other.abort()

    def steer(self) -> None:
        """Danger: what a cut holds would fill memory; the system's own buffers hold it instead."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.way in self.link.cut:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.pending.append(data)
        elif self.link.delay:
            asyncio.get_running_loop().call_later(self.link.delay, self._pass, data)
        else:
            self._pass(data)

    def _pass(self, data: bytes) -> None:
        link, other = self.link, self.other
        if other is None or other.transport is None or other.transport.is_closing():
            return
        if link.left is not None and self.way == TO:
            data, link.left = data[: link.left], max(link.left - len(data), 0)
        other.transport.write(data)
        if link.left == 0 and self.way == TO:
            other.transport.close()  # what was passed arrives; the rest never does
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Link:
    """Listens at `port` and leads to `target`, both on loopback."""

    def __init__(self, name: str, target: int = 0) -> None:
        self.name, self.target = name, target
        self.sides = set[_Side]()
        self.tasks = set[asyncio.Task[None]]()
        self.cut = frozenset[str]()  # ways on which nothing passes
        self.delay = 0.0  # seconds, each way
        self.left: int | None = None  # bytes towards the listener until the connection ends within a message
        self.listener: asyncio.Server | None = None
        # Danger: a port that is given back while a node still calls it may be the next test's.
        self.held = self._bound(0)
        self.port = int(self.held.getsockname()[1])

    @staticmethod
    def _bound(port: int) -> socket.socket:
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        held.bind(("127.0.0.1", port))
        return held

    async def open(self) -> None:
        """Takes connections, at the same port as before."""
        if self.listener is None:
            loop = asyncio.get_running_loop()
            self.listener = await loop.create_server(lambda: _Side(self, TO), sock=self._bound(self.port))

    def refuse(self) -> None:
        """As where no process listens: connects fail, connections are reset."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        self.reset()

    def close(self) -> None:
        """For good: the port is given back."""
        self.refuse()
        self.held.close()

    def reset(self) -> None:
        for side in list(self.sides):
            side.abort()

    def set_cut(self, ways: frozenset[str]) -> None:
        self.cut = ways
        for side in list(self.sides):
            side.steer()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"
