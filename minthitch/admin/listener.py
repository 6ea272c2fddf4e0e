"""Listener for admin commands: one line per connection, bounded in number, size and time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from minthitch.admin.commands import ManagedNode, answer
from minthitch.config import ConfigError

MAX_CONNECTIONS = 16
MAX_LINE_BYTES = 1024
READ_TIMEOUT_S = 5.0  # for a complete line
WRITE_TIMEOUT_S = 5.0  # for the client to read the answer


class AdminConnection(asyncio.Protocol):
    """One client connection."""

    def __init__(self, listener: AdminListener) -> None:
        self.listener = listener
        self.line = b""
        self.answered = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.listener.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.line += data
        line, newline, _ = self.line.partition(b"\n")
        if newline:
            self._answer_line(line)
        elif len(self.line) > MAX_LINE_BYTES:
            self._reply(f"error a line of over {MAX_LINE_BYTES} bytes")

    def eof_received(self) -> None:
        if not self.answered and self.line:
            self._answer_line(self.line)

    def _answer_line(self, line: bytes) -> None:
        try:
            self._reply(answer(line[:MAX_LINE_BYTES], self.listener.node))
        except Exception as err:  # a fault here must not stop the node
            self.listener.log(f"operators' call {line[:60]!r}: {type(err).__name__}: {err}")
            self._reply("error the call failed; the log has it")

    def _reply(self, text: str) -> None:
        self.answered = True
        if self.transport is not None:
            self.transport.write(text.encode() + b"\n")
            self.transport.close()


class AdminListener:
    """Listens for admin commands. Silent clients must not block others or use up file descriptors."""

    def __init__(self, node: ManagedNode, log: Callable[[str], None]) -> None:
        self.node, self.log = node, log
        self.loop = asyncio.get_running_loop()
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Raises OSError."""
        self.server = await self.loop.create_server(lambda: AdminConnection(self), host, port)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def add(self, connection: AdminConnection) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            self._abort(next(iter(self.connections)))
        self.connections[connection] = None
        self.loop.call_later(READ_TIMEOUT_S + WRITE_TIMEOUT_S, self._abort, connection)

    def _abort(self, connection: AdminConnection) -> None:
        if self.connections.pop(connection, self) is None and connection.transport is not None:
            connection.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            self._abort(connection)


async def open_admin_listener(
    where: tuple[str, int], node: ManagedNode, log: Callable[[str], None]
) -> AdminListener:
    """Returns a started listener. Raises ConfigError if the address can't be bound."""
    listener = AdminListener(node, log)
    try:
        await listener.start(*where)
    except OSError as err:
        raise ConfigError(f"admin = {where[0]}:{where[1]}: {err.strerror or err}") from None
    return listener
