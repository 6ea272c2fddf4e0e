"""The listening side: requests of callers, `/ready`, final answers, callers that leave or say nothing."""

from __future__ import annotations

import asyncio
import select
import time
from collections import deque
from collections.abc import Mapping
from typing import Protocol, cast

import httptools

from minthitch import interface as api
from minthitch.engine.calls import Answer, Call, Refused, Rejected, Served
from minthitch.engine.attempts import Request
from minthitch.engine.fields import MOST_BODY, NOT_FORWARDED

MOST_HEAD = 32 * 1024  # bytes of a request in front of its body
MOST_RAW = 256 * 1024  # bytes of a whole request as it comes, chunk framing and trailers included
MOST_WAITING = 16  # pipelined requests of one caller that are read ahead of the one in work
SLICE = 4 * 1024  # bytes parsed at once where requests are pipelined
SWEEP = 0.25  # seconds between two looks at all connections
YOUNG = 0.25  # seconds that a connection without a request stays at least: its first may be on the way
SILENT = 2.0  # seconds after which a connection that has asked nothing is closed
HALF = 2.5  # seconds for a whole request, from the connection or from its first byte: 3 are owed
UNREAD = 5.0  # seconds without progress after which a caller that does not take its answers is cut off
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
           408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
           431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}


class Incoming:
    """One whole request as it came."""

    __slots__ = ("method", "target", "fields", "head", "body", "keep", "heard", "call")

    def __init__(self) -> None:
        self.method, self.target, self.body, self.keep = b"", b"", b"", True
        self.heard = 0  # when its last byte came, on the monotonic clock
        self.fields: dict[bytes, bytes] = {}
        self.head: list[tuple[bytes, bytes]] = []  # fields that go on to the server
        self.call: Call | None = None  # as the engine was given it


class Host(Protocol):
    """What a caller's connection needs of the node."""

    @property
    def wanted(self) -> bool: ...
    def keeps_idle(self) -> bool: ...
    def turned_away(self, fields: Mapping[bytes, bytes], err: Rejected) -> None: ...
    def check(self, item: Incoming) -> None: ...
    def take(self, caller: Caller, item: Incoming) -> None: ...
    def left(self, caller: Caller) -> None: ...
    def ready(self) -> bool: ...
    def log(self, text: str) -> None: ...


class Caller(asyncio.Protocol):
    """One caller's connection. It has one request in work; further ones on it wait their turn."""

    def __init__(self, table: Callers) -> None:
        self.table, self.host = table, table.host
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.coming = Incoming()
        self.raw = self.size = 0  # bytes of the request that is being read; those of its body
        self.parts: list[bytes] = []
        self.waiting: deque[Incoming | Rejected] = deque()
        self.unread = b""  # came, and is not parsed yet
        self.heard = self.owed = 0
        self.current: Incoming | None = None
        self.request: Request | None = None  # the engine's, of the one in work
        self.asked = 0  # requests answered
        self.since = self.loop.time()  # when it connected, began its request, became idle or was closed
        self.reading = self.headed = self.broken = self.clogged = self.closing = False
        self.surplus = False  # over the node's number of callers: answered once, then closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.table.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.waiting.clear()
        self.unread = b""
        self.table.left(self)
        self.current = None

    def pause_writing(self) -> None:
        self.clogged, self.since = True, self.loop.time()

    def resume_writing(self) -> None:
        self.clogged = False
        self._next()

    def data_received(self, data: bytes) -> None:
        if self.broken or self.closing:
            return
        self.heard = time.monotonic_ns()
        self.unread += data
        self._next()

    def _parse(self) -> None:
        """Danger: one read may hold hundreds of requests, and a field without end grows unseen."""
        while self.unread and not self.broken and len(self.waiting) < MOST_WAITING:
            room = min((MOST_RAW if self.headed else MOST_HEAD) - self.raw, SLICE)
            part, self.unread = self.unread[:room], self.unread[room:]
            self.raw += len(part)
            try:
                if room <= 0:
                    raise Rejected(413 if self.headed else 431, "a request without end")
                self.parser.feed_data(part)
            except Rejected as err:
                self._break(err)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
                cause = err.__context__
                self._break(cause if isinstance(cause, Rejected)
                            else Rejected(400, f"malformed HTTP ({type(err).__name__})"))

    def _break(self, err: Rejected) -> None:
        """Nothing that comes behind a request that can't be taken is read."""
        self.broken, self.reading, self.unread = True, False, b""
        self.host.turned_away(self.coming.fields, err)
        self.waiting.append(err)

    # What the parser calls ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.coming, self.raw, self.size, self.parts = Incoming(), 0, 0, []
        self.headed = False
        self.reading = True
        if self.asked or self.current is not None:
            self.since = self.loop.time()  # the first request's time counts from the connection

    def on_url(self, part: bytes) -> None:
        self.coming.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:  # danger: a trailer would change a request that has been checked
            return
        lower = name.lower()
        if lower == b"content-length" and (not value.isdigit() or len(value) > 9 or int(value) > MOST_BODY):
            raise Rejected(413 if value.isdigit() else 400, f"Content-Length {value[:20]!r}")
        if lower in self.coming.fields and lower.startswith((b"x-", b"idempotency-key")):
            raise Rejected(400, "a header field is given twice")
        self.coming.fields[lower] = value
        if lower not in NOT_FORWARDED:
            self.coming.head.append((name, value))

    def on_headers_complete(self) -> None:
        self.headed, self.raw = True, 0
        coming = self.coming
        coming.method = self.parser.get_method()
        self._check(coming)
        expects = coming.fields.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.current is None and not self.waiting and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > MOST_BODY:
            raise Rejected(413, "body too long")
        self.parts.append(part)

    def on_message_complete(self) -> None:
        coming, self.coming = self.coming, Incoming()
        coming.body, coming.heard = b"".join(self.parts), self.heard
        coming.keep = self.parser.should_keep_alive()
        self.parts, self.reading, self.headed, self.raw = [], False, False, 0
        self.waiting.append(coming)

    def _check(self, item: Incoming) -> None:
        """Turns away by the head alone: nothing behind it need be read."""
        path = item.target.split(b"?", 1)[0]
        if path == b"/api":
            if item.method not in (b"GET", b"POST"):
                raise Rejected(405, f"{item.method.decode()} /api")
            self.host.check(item)
        elif path != b"/ready":
            raise Rejected(404, f"unknown path {path[:60]!r}")
        elif item.method not in (b"GET", b"HEAD"):
            raise Rejected(405, f"{item.method.decode()} /ready")

    # ------------------------------------------------------------------------------------------

    def _next(self) -> None:
        """Begins the requests that wait, one at a time; reads no further while one is in work."""
        transport = self.transport
        if transport is None:
            return
        while self.current is None and not self.closing and not self.clogged and not transport.is_closing():
            self._parse()
            if not self.waiting:
                break
            self._begin(self.waiting.popleft())
        if self.closing or transport.is_closing():
            return
        self.table.place(self)
        if self.waiting or self.unread:  # else it reads on, or it would not hear that the caller leaves
            if transport.is_reading():
                transport.pause_reading()
        elif not transport.is_reading():
            transport.resume_reading()

    def _begin(self, item: Incoming | Rejected) -> None:
        if isinstance(item, Rejected):
            self._reject(item)
            return
        self.current = item
        try:
            if item.target.split(b"?", 1)[0] == b"/ready":
                self.reply(200 if self.host.ready() else 503)
            else:
                self.host.take(self, item)
        except Rejected as err:
            self._reject(err)
        except Exception as err:  # danger: a fault of ours must not leave the caller unanswered
            self._reject(Rejected(502, f"{type(err).__name__}: {err}"))

    def _reject(self, err: Rejected) -> None:
        """Answers and closes: the same again must cost its sender a connection."""
        self.table.note(f"{err.status}: {err}")
        if self.current is None:
            self.current = Incoming()
        self.current.keep = False
        self.reply(err.status, retry_after=err.retry_after)

    @property
    def more(self) -> bool:
        """Whether requests, or parts of one, have come that are not answered yet."""
        return bool(self.waiting or self.unread or self.reading)

    def answer(self, call: Call, answer: Answer) -> None:
        """What the engine settled."""
        if self.current is None or self.current.call is not call:  # danger: it must not meet another request
            return
        if isinstance(answer, Served):
            self.reply(200, answer.body, answer.content_type)
        elif isinstance(answer, Refused):
            self.reply(503, retry_after=answer.retry_after_ns)
        else:
            self.reply(502)

    def reply(self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after: int = 0) -> None:
        """The one answer to the request in work."""
        item, transport = self.current, self.transport
        self.current = self.request = None
        self.asked += 1
        if item is None or transport is None or transport.is_closing():
            return
        head = [f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n".encode()]
        if content_type:
            head.append(b"Content-Type: " + content_type + b"\r\n")
        if retry_after:
            head.append(f"Retry-After: {retry_after / api.SECOND:.3f}\r\n".encode())
        if status == 405:
            head.append(b"Allow: GET, POST\r\n")
        # Danger: requests that have been read already would be dropped by a close.
        close = not item.keep or ((self.surplus or not self.host.wanted) and not self.more)
        head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        transport.write(b"".join(head) + (b"" if item.method == b"HEAD" else body))
        if close:
            self.close()
        else:
            self.loop.call_soon(self._next)

    def close(self) -> None:
        if self.transport is not None and not self.closing:
            self.closing, self.since = True, self.loop.time()
            self.waiting.clear()
            self.unread = b""
            self.transport.close()
            self.table.place(self)

    def overdue(self, now: float, stopping: bool) -> None:
        """Danger: connections that say nothing, or half of it, or that do not read, would stay for good."""
        if self.transport is None:
            return
        for_long = now - self.since
        if self.clogged or self.closing:
            before, self.owed = self.owed, self.transport.get_write_buffer_size()
            if self.owed < before:
                self.since = now
            elif for_long > UNREAD:
                self.transport.abort()
        elif self.current is not None or self.waiting or self.unread:
            return
        elif self.reading:
            if for_long > HALF:
                self._break(Rejected(408, "half a request"))
                self._next()
        elif (stopping or not self.asked) and for_long > (YOUNG if stopping else SILENT):
            self._close_unless_asked()

    def _close_unless_asked(self) -> None:
        if not self._unread_bytes():
            self.close()

    def _unread_bytes(self) -> bool:
        """Danger: a close over a request that has come and is not read cuts its client off."""
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))


class Callers:
    """All callers' connections, bounded in number; those without a request in the order to close them."""

    def __init__(self, host: Host, most: int, hard: int) -> None:
        self.host, self.most, self.hard = host, most, hard
        self.loop = asyncio.get_running_loop()
        self.all: dict[Caller, None] = {}
        # Never asked, asked once, asked more; the one idle for longest first. Danger: by age of connection
        # hundreds that say nothing would push out the usual clients.
        self.idle: tuple[dict[Caller, None], ...] = ({}, {}, {})
        self.turned_away, self.last_text, self.said = 0, "", -1.0
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)

    def joined(self, caller: Caller) -> None:
        self.all[caller] = None
        if len(self.all) > self.most:
            victim = next((c for group in self.idle for c in group), None)
            if victim is not None:
                victim.close()
            caller.surplus = victim is None
            if len(self.all) > self.hard and caller.transport is not None:
                caller.transport.abort()  # danger: without descriptors nothing could be sent for anyone
                return
        self.place(caller)

    def place(self, caller: Caller) -> None:
        """Files a caller by what it does now."""
        self._drop(caller)
        if caller.current is not None or caller.more or caller.closing or caller.broken:
            return
        if caller.asked:
            caller.since = self.loop.time()
        self.idle[min(caller.asked, 2)][caller] = None

    def _drop(self, caller: Caller) -> None:
        for group in self.idle:
            group.pop(caller, None)

    def left(self, caller: Caller) -> None:
        self._drop(caller)
        self.all.pop(caller, None)
        self.host.left(caller)

    def taken(self) -> int:
        """Whole requests that have come and are not answered to the end."""
        return sum((caller.current is not None) + len(caller.waiting) for caller in self.all)

    def note(self, text: str) -> None:
        """Danger: a line for each would let bad clients fill the log."""
        self.turned_away += 1
        self.last_text = text
        self._say()

    def _say(self) -> None:
        if self.turned_away and self.loop.time() >= self.said + 1.0:
            self.host.log(f"turned away {self.turned_away} requests, the last with {self.last_text}")
            self.turned_away, self.said = 0, self.loop.time()

    def _look(self) -> None:
        now = self.loop.time()
        stopping = not self.host.keeps_idle()
        for caller in list(self.all):
            caller.overdue(now, stopping)
        self._say()

    def _sweep(self) -> None:
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)
        self._look()

    def close(self) -> None:
        self.sweeper.cancel()
        for caller in list(self.all):
            if caller.transport is not None:
                caller.transport.abort()
