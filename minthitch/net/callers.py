"""The listening side: requests of callers, `/ready`, final answers, callers that leave."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from hashlib import blake2b
from typing import Protocol, cast

import httptools

from minthitch import interface as api

MOST_BODY = 64 * 1024
MOST_HEAD = 32 * 1024  # bytes of target and header fields
NOT_FORWARDED = frozenset((  # they belong to one connection, or are written anew
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-time-left"))
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           413: "Content Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}
TIME_LEFT = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DECIMAL = re.compile(rb"\d{1,12}(?:\.\d{1,9})?")


class BadRequest(Exception):
    """A request that can't be taken: the answer's status, and what the log says."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Call:
    """One whole request as it came."""

    __slots__ = ("method", "target", "fields", "head", "body", "keep")

    def __init__(self) -> None:
        self.method, self.target, self.body, self.keep = b"", b"", b"", True
        self.fields: dict[bytes, bytes] = {}
        self.head: list[bytes] = []  # header lines that go on to the server

    def time_left(self) -> int | None:
        """X-Time-Left in nanoseconds; None where there is none."""
        value = self.fields.get(b"x-time-left")
        if value is None:
            return None
        if not (match := TIME_LEFT.fullmatch(value)):
            raise BadRequest(400, "bad X-Time-Left")
        return int(float(match[1]) * (1_000_000 if match[2] == b"m" else 1_000))

    def key(self) -> int:
        """X-Session-Key is any text; equal texts give equal numbers, and 0 stands for none."""
        value = self.fields.get(b"x-session-key")
        return int.from_bytes(blake2b(value, digest_size=8).digest()) or 1 if value else 0

    def cost(self) -> int:
        value = self.fields.get(b"x-weight-hint")
        if value is None:
            return 0
        if not DECIMAL.fullmatch(value):
            raise BadRequest(400, "bad X-Weight-Hint")
        return int(float(value) * 1_000)


class Host(Protocol):
    """What a caller's connection needs of the node."""

    draining: bool

    def joined(self, caller: Caller) -> None: ...
    def left(self, caller: Caller) -> None: ...
    def take(self, caller: Caller, call: Call) -> None: ...
    def ready(self) -> bool: ...
    def log(self, text: str) -> None: ...


class Caller(asyncio.Protocol):
    """One caller's connection. It has one request in work; further ones on it wait their turn."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.call = Call()
        self.size = self.head = 0
        self.parts: list[bytes] = []
        self.waiting: deque[Call | BadRequest] = deque()
        self.current: Call | None = None
        self.surplus = False  # over the node's number of callers: answered once, then closed
        self.broken = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.host.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.waiting.clear()
        self.host.left(self)
        self.current = None

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            cause = err.__context__
            self.broken = True
            self.waiting.append(cause if isinstance(cause, BadRequest)
                                else BadRequest(400, f"malformed HTTP ({type(err).__name__})"))
        self._next()

    # What the parser calls ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.call, self.size, self.head, self.parts = Call(), 0, 0, []

    def on_url(self, part: bytes) -> None:
        self._count_head(len(part))
        self.call.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        lower = name.lower()
        if lower == b"content-length" and (not value.isdigit() or len(value) > 9 or int(value) > MOST_BODY):
            raise BadRequest(413 if value.isdigit() else 400, f"Content-Length {value[:20]!r}")
        if lower in self.call.fields and lower.startswith((b"x-", b"idempotency-key")):
            raise BadRequest(400, "a header field is given twice")
        self.call.fields[lower] = value
        if lower not in NOT_FORWARDED:
            self.call.head.append(name + b": " + value + b"\r\n")

    def on_headers_complete(self) -> None:
        expects = self.call.fields.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.current is None and not self.waiting and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > MOST_BODY:
            raise BadRequest(413, "body too long")
        self.parts.append(part)

    def on_message_complete(self) -> None:
        call, self.call = self.call, Call()
        call.method, call.body = self.parser.get_method(), b"".join(self.parts)
        call.keep = self.parser.should_keep_alive()
        self.waiting.append(call)

    def _count_head(self, size: int) -> None:
        self.head += size
        if self.head > MOST_HEAD:
            raise BadRequest(400, "header too long")

    # ------------------------------------------------------------------------------------------

    def _next(self) -> None:
        """Begins the requests that wait, one at a time; reads no further while one is in work."""
        transport = self.transport
        while self.waiting and self.current is None and transport and not transport.is_closing():
            item = self.waiting.popleft()
            if isinstance(item, BadRequest):
                self._reject(item, keep=False)
                return
            self.current = item
            try:
                self._route(item)
            except BadRequest as err:
                self._reject(err, keep=item.keep)
            except Exception as err:  # danger: a fault of ours must not leave the caller unanswered
                self._reject(BadRequest(502, f"{type(err).__name__}: {err}"), keep=False)
        if transport and not transport.is_closing():
            if self.waiting and transport.is_reading():
                transport.pause_reading()
            elif not self.waiting and not transport.is_reading():
                transport.resume_reading()

    def _route(self, call: Call) -> None:
        path = call.target.split(b"?", 1)[0]
        if path == b"/ready":
            if call.method not in (b"GET", b"HEAD"):
                raise BadRequest(405, f"{call.method.decode()} /ready")
            self.answer(200 if self.host.ready() else 503)
        elif path != b"/api":
            raise BadRequest(404, f"unknown path {path[:60]!r}")
        elif call.method not in (b"GET", b"POST"):
            raise BadRequest(405, f"{call.method.decode()} /api")
        else:
            self.host.take(self, call)

    def _reject(self, err: BadRequest, keep: bool) -> None:
        self.host.log(f"answered {err.status}: {err}")
        if self.current is None:
            self.current = Call()
        self.current.keep = keep
        self.answer(err.status)

    def answer(self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after: int = 0) -> None:
        """The one answer to the request in work."""
        call, transport = self.current, self.transport
        self.current = None
        if call is None or transport is None or transport.is_closing():
            return
        head = [f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n".encode()]
        if content_type:
            head.append(b"Content-Type: " + content_type + b"\r\n")
        if retry_after:
            head.append(f"Retry-After: {retry_after / api.SECOND:.3f}\r\n".encode())
        if status == 405:
            head.append(b"Allow: GET, POST\r\n")
        close = not call.keep or self.surplus or self.host.draining
        head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        transport.write(b"".join(head) + (b"" if call.method == b"HEAD" else body))
        if close:
            transport.close()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self._next)
        elif not transport.is_reading():
            transport.resume_reading()

    def close_idle(self) -> bool:
        """Closes the connection unless a request is in work on it."""
        if self.current is not None or self.waiting:
            return False
        if self.transport:
            self.transport.close()
        return True
