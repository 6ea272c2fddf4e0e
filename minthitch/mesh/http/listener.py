"""The listening side: clients and a server at `Out`, servers and operators at `Ctl`, `/ready`.

The connection's life, its parsing and its bounds are the node's (minthitch.net.callers); here are the mesh's
limits, its checks of heads and its answers with any status and fields.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable, Mapping
from typing import Protocol

from minthitch.engine.calls import Rejected
from minthitch.net.body_memory import BodyMemory
from minthitch.net.callers import Caller, Callers, Incoming

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
BACKLOG = 512  # connections that wait to be accepted: a full queue drops them for seconds
LEAST_BODIES = 8 * 1024 * 1024  # bytes for long bodies that are always granted
Fields = Iterable[tuple[bytes, bytes]]


class RequestHandler(Protocol):
    """Who answers clients."""

    def handle(self, client: ClientConnection, request: Incoming) -> None: ...
    def on_client_lost(self, client: ClientConnection) -> None: ...
    def accepts_requests(self) -> bool: ...
    def max_header_bytes(self) -> int: ...
    def max_body_bytes(self) -> int: ...
    def log_client_error(self, text: str) -> None: ...


class ClientConnection(Caller):
    """One client's connection."""

    def __init__(self, table: Callers, handler: RequestHandler) -> None:
        super().__init__(table)
        self.handler = handler
        self.head_size = 0
        self.token = 0  # counts what it asked: an answer to an earlier request must not meet a later one

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.head_size = 0

    def on_url(self, part: bytes) -> None:
        super().on_url(part)
        self._count(len(part))

    def _count(self, size: int) -> None:
        self.head_size += size
        if self.head_size > self.handler.max_header_bytes():
            raise Rejected(431, "head too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:  # a trailer
            return
        self._count(len(name) + len(value) + 4)
        lower = name.lower()
        # Danger: two Host fields let one end route by one and the other by the other (RFC 9112, 3.2).
        if lower == b"host" and lower in self.incoming.fields:
            raise Rejected(400, "Host is given twice")
        super().on_header(name, value)

    def _check_head(self, item: Incoming) -> None:
        version = self.parser.get_http_version()
        if version not in ("1.1", "1.0"):  # danger: a line without a version has no fields, and no end
            raise Rejected(400, f"HTTP version {version}")
        if b"host" not in item.fields and version == "1.1":
            raise Rejected(400, "no Host")
        length = item.fields.get(b"content-length")
        if length is not None and int(length) > self.handler.max_body_bytes():
            raise Rejected(413, "body too long")

    def on_body(self, part: bytes) -> None:
        super().on_body(part)
        if self.body_size > self.handler.max_body_bytes():
            raise Rejected(413, "body too long")

    def _start_request(self, item: Incoming | Rejected) -> None:
        if isinstance(item, Rejected):
            self._reject(item)
            return
        self.current = item
        self.token += 1
        try:
            self.handler.handle(self, item)
        except Rejected as err:
            self._reject(err)
        except Exception as err:  # danger: a fault of ours must not leave the client unanswered
            self.handler.log_client_error(f"{type(err).__name__}: {err}")
            self.respond(self.token, 500, (), b"")

    def reply(self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after: int = 0) -> None:
        fields = [(b"Content-Type", content_type)] if content_type else []
        if retry_after:
            fields.append((b"Retry-After", b"%.3f" % (retry_after / 1e9)))
        self.respond(self.token, status, fields, body)

    def respond(self, token: int, status: int, fields: Fields, body: bytes) -> None:
        """The one answer to the request that was taken with `token`; nothing if that is answered or gone."""
        item, transport = self.current, self.transport
        if token != self.token or item is None:
            return
        if transport is None or transport.is_closing():
            self._finish_reply(False)
            return
        head = [
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n"
            % (status, REASONS.get(status, "Status").encode(), len(body))
        ]
        head += [b"%b: %b\r\n" % field for field in fields]
        close = self._should_close(item)
        head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        transport.write(b"".join(head) + (b"" if item.method == b"HEAD" else body))
        self._finish_reply(close)


class _Host:
    """What the node's connections ask, answered for the mesh."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler

    @property
    def keeps_connections(self) -> bool:
        return self.handler.accepts_requests()

    def keeps_idle(self) -> bool:
        return self.handler.accepts_requests()

    def on_rejected(self, fields: Mapping[bytes, bytes], err: Rejected) -> None:
        pass

    def check(self, item: Incoming) -> None:
        pass

    def handle_request(self, caller: Caller, item: Incoming) -> None:
        pass

    def on_caller_lost(self, caller: Caller) -> None:
        if isinstance(caller, ClientConnection):
            self.handler.on_client_lost(caller)

    def ready(self) -> bool:
        return True

    def busy_retry_after(self) -> int:
        return 0

    def log(self, text: str) -> None:
        self.handler.log_client_error(text)


class Listener:
    """A listening address and all who came to it, bounded in number and in bytes of bodies."""

    def __init__(self, handler: RequestHandler, most: int, memory: int) -> None:
        self.handler = handler
        room: BodyMemory[Caller] = BodyMemory(max(memory, LEAST_BODIES), max(2 * memory, LEAST_BODIES))
        self.callers = Callers(_Host(handler), most, most + 24, room)
        self.listener: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Raises OSError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ClientConnection(self.callers, self.handler), host, int(port), backlog=BACKLOG
        )
        self.listener.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def taken(self) -> int:
        return self.callers.pending_count()

    def unsent(self) -> int:
        """Bytes of answers that are written and not handed to the system yet: closing would lose them."""
        return sum(
            caller.transport.get_write_buffer_size()
            for caller in self.callers.all
            if caller.transport is not None
        )

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.callers.close()
