"""The sockets round the desk: one line a connection, bounded in number, size and time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from minthitch.admin.desk import Operated, answer
from minthitch.config import ConfigError

MOST_CONNECTIONS = 16
MOST_LINE = 1024  # bytes
READ_WITHIN = 5.0  # seconds for a whole line
TAKEN_WITHIN = 5.0  # seconds for a caller to take the answer


class Visit(asyncio.Protocol):
    """One connection of the staff's."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.line = b""
        self.answered = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.desk.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.desk.visits.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.line += data
        line, newline, _ = self.line.partition(b"\n")
        if newline:
            self._tell(line)
        elif len(self.line) > MOST_LINE:
            self._say(f"error a line of over {MOST_LINE} bytes")

    def eof_received(self) -> None:
        if not self.answered and self.line:
            self._tell(self.line)

    def _tell(self, line: bytes) -> None:
        try:
            self._say(answer(line[:MOST_LINE], self.desk.node))
        except Exception as err:  # danger: a fault here must not end the node that serves callers
            self.desk.log(f"operators' call {line[:60]!r}: {type(err).__name__}: {err}")
            self._say("error the call failed; the log has it")

    def _say(self, text: str) -> None:
        self.answered = True
        if self.transport is not None:
            self.transport.write(text.encode() + b"\n")
            self.transport.close()


class Desk:
    """Listens for staff. Danger: visitors that say nothing must not keep others out, nor take descriptors."""

    def __init__(self, node: Operated, log: Callable[[str], None]) -> None:
        self.node, self.log = node, log
        self.loop = asyncio.get_running_loop()
        self.visits: dict[Visit, None] = {}  # the one that has waited for longest first
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Raises OSError."""
        self.server = await self.loop.create_server(lambda: Visit(self), host, port)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def joined(self, visit: Visit) -> None:
        if len(self.visits) >= MOST_CONNECTIONS:
            self._cut(next(iter(self.visits)))
        self.visits[visit] = None
        self.loop.call_later(READ_WITHIN + TAKEN_WITHIN, self._cut, visit)

    def _cut(self, visit: Visit) -> None:
        if self.visits.pop(visit, self) is None and visit.transport is not None:
            visit.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for visit in list(self.visits):
            self._cut(visit)


async def open_desk(where: tuple[str, int], node: Operated, log: Callable[[str], None]) -> Desk:
    """A desk at work. Raises ConfigError where the address can't be bound."""
    desk = Desk(node, log)
    try:
        await desk.start(*where)
    except OSError as err:
        raise ConfigError(f"admin = {where[0]}:{where[1]}: {err.strerror or err}") from None
    return desk
