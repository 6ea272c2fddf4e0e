"""The listening side: clients and the server at `Out`, servers and operators at `Ctl`, `/ready`.

The life cycle, the parsing and the limits of a connection are the node's (minthitch.net.callers). This module
adds the mesh's limits, its checks of request headers, and responses with any status and headers.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable, Mapping
from typing import Protocol

from minthitch.engine.calls import Rejected
from minthitch.net.body_memory import BodyMemory
from minthitch.net.caller_table import Callers
from minthitch.net.callers import Caller, Incoming

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
BACKLOG = 512  # connections that wait to be accepted: if the queue is full, new ones are delayed by seconds
MIN_BODY_MEMORY = 8 * 1024 * 1024  # bytes that large request bodies may always take
Fields = Iterable[tuple[bytes, bytes]]


class RequestHandler(Protocol):
    """Responds to the requests of clients."""

    def handle(self, client: ClientConnection, request: Incoming) -> None: ...
    def on_client_lost(self, client: ClientConnection) -> None: ...
    def accepts_requests(self) -> bool: ...
    def max_header_bytes(self) -> int: ...
    def max_body_bytes(self) -> int: ...
    def log_client_error(self, text: str) -> None: ...


class ClientConnection(Caller):
    """The connection of one client."""

    def __init__(self, table: Callers, handler: RequestHandler) -> None:
        super().__init__(table)
        self.handler = handler
        self.header_bytes = 0
        self.token = 0  # number of the current request: a late response to an earlier one is recognized by it

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.header_bytes = 0

    def on_url(self, part: bytes) -> None:
        super().on_url(part)
        self._count_header_bytes(len(part))

    def _count_header_bytes(self, size: int) -> None:
        self.header_bytes += size
        if self.header_bytes > self.handler.max_header_bytes():
            raise Rejected(431, "request headers too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:  # a trailer
            return
        self._count_header_bytes(len(name) + len(value) + 4)
        lower = name.lower()
        # With two Host headers, two parties might route the same request differently (RFC 9112, 3.2).
        if lower == b"host" and lower in self.incoming.fields:
            raise Rejected(400, "duplicate Host header")
        super().on_header(name, value)

    def _check_head(self, item: Incoming) -> None:
        version = self.parser.get_http_version()
        # A request line without a version has no headers and no defined end.
        if version not in ("1.1", "1.0"):
            raise Rejected(400, f"unsupported HTTP version {version}")
        if b"host" not in item.fields and version == "1.1":
            raise Rejected(400, "missing Host header")

    def max_body_bytes(self) -> int:
        return self.handler.max_body_bytes()

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
        except Exception as err:  # a bug in a handler must not leave the client without a response
            self.handler.log_client_error(f"{type(err).__name__}: {err}")
            self.respond(self.token, 500, (), b"")

    def reply(self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after: int = 0) -> None:
        fields = [(b"Content-Type", content_type)] if content_type else []
        if retry_after:
            fields.append((b"Retry-After", b"%.3f" % (retry_after / 1e9)))
        self.respond(self.token, status, fields, body)

    def respond(self, token: int, status: int, fields: Fields, body: bytes) -> None:
        """Send the response to the request with this `token`; no effect if that was answered or is gone."""
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


class _HandlerAdapter:
    """Presents a RequestHandler to the node's connections as the host that they expect."""

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
    """A listening address and its clients, with limits on connections and on the memory for bodies."""

    def __init__(self, handler: RequestHandler, max_connections: int, body_memory: int) -> None:
        self.handler = handler
        room: BodyMemory[Caller] = BodyMemory(
            max(body_memory, MIN_BODY_MEMORY), max(2 * body_memory, MIN_BODY_MEMORY)
        )
        self.callers = Callers(_HandlerAdapter(handler), max_connections, max_connections + 24, room)
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Start to listen. Raises OSError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ClientConnection(self.callers, self.handler), host, int(port), backlog=BACKLOG
        )
        self.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

    def pending_requests(self) -> int:
        """How many requests have arrived and are not answered."""
        return self.callers.pending_count()

    def unsent_bytes(self) -> int:
        """Bytes of responses that the operating system has not taken yet: closing now would lose them."""
        return sum(
            caller.transport.get_write_buffer_size()
            for caller in self.callers.all
            if caller.transport is not None
        )

    def body_bytes(self) -> int:
        """Bytes of request bodies that are arriving, or wait for an earlier request of their connection."""
        return sum(caller.waiting_body_bytes() for caller in self.callers.all)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.callers.close()
