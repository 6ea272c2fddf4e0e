"""The listening side: requests of callers, `/ready`, final answers, callers that leave or say nothing."""

from __future__ import annotations

import asyncio
import io
import select
import time
from collections import deque
from collections.abc import Mapping
from typing import Protocol, cast

import httptools

from minthitch import interface as api
from minthitch.engine.attempts import Request
from minthitch.engine.calls import Answer, Call, Refused, Rejected, Served
from minthitch.engine.fields import MAX_REQUEST_BODY_BYTES, NOT_FORWARDED
from minthitch.engine.stream import Stream
from minthitch.net.crowd import victim
from minthitch.net.uploads import STEP, Room

MOST_HEAD = 32 * 1024  # bytes of a request in front of its body
MOST_FRAME = 256 * 1024  # bytes of a request behind its head that are not its body: framing, trailers
FRAME_PART = 8  # and as many for each byte of the body: one byte may be a chunk of its own
LONGEST_BODY = 34 * 1024 * 1024  # bytes: 32 MB are stated, and 60 MB come from those that mean harm
SLOWEST = 16 * 1024  # bytes a second at which a body must come, on average, beyond the first HALF seconds
STALLED = 5.0  # seconds without a byte of a body after which it will not come
MOST_WAITING = 16  # pipelined requests of one caller that are read ahead of the one in work
SLICE = 4 * 1024  # bytes parsed at once where requests are pipelined
BODY_SLICE = 64 * 1024  # the same inside of a body
SWEEP = 0.25  # seconds between two looks at all connections
YOUNG = 0.25  # seconds that a connection without a request stays at least: its first may be on the way
SILENT = 2.0  # seconds after which a connection that has asked nothing is closed
HALF = 2.5  # seconds for a whole request, from the connection or from its first byte: 3 are owed
UNREAD = 5.0  # seconds without progress after which a caller that does not take its answers is cut off
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class Incoming:
    """One whole request as it came."""

    __slots__ = ("method", "target", "fields", "head", "body", "keep", "chunks", "heard", "call")

    def __init__(self) -> None:
        self.method, self.target, self.body, self.keep = b"", b"", b"", True
        self.chunks = True  # whether its sender knows chunks: HTTP/1.0 does not
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
    def pause(self) -> int: ...
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
        self.rest: Stream | None = None  # of the answer that is passed on as it comes
        self.chunked = self.lasts = False  # how it goes on; whether the connection outlasts it
        self.body = io.BytesIO()  # which gives what it holds without a copy
        self.waiting: deque[Incoming | Rejected] = deque()
        self.unread = b""  # came, and is not parsed yet
        self.heard = self.owed = 0
        self.current: Incoming | None = None
        self.request: Request | None = None  # the engine's, of the one in work
        self.asked = 0  # requests answered
        self.since = self.loop.time()  # when it connected, began its request, became idle or was closed
        self.granted = MAX_REQUEST_BODY_BYTES  # bytes of the body that may be read
        self.whole = 0  # bytes of long bodies that have come whole and are held
        self.held_up = False  # until there is room for its body
        self.slack = 0  # bytes of the body that came before it was held up last
        self.came = 0.0  # when bytes came last
        self.reading = self.headed = self.broken = self.clogged = self.closing = False
        self.surplus = False  # over the node's number of callers: answered once, then closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.table.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.waiting.clear()
        self.unread = b""
        rest, self.rest = self.rest, None
        if rest is not None:
            rest.drop()
        self.table.left(self)
        self.current = None

    def pause_writing(self) -> None:
        self.clogged, self.since = True, self.loop.time()
        self.owed = 0
        if self.rest is not None:
            self.rest.pause()

    def resume_writing(self) -> None:
        self.clogged = False
        if self.rest is not None:
            self.rest.resume()
        self._next()

    def data_received(self, data: bytes) -> None:
        if self.broken or self.closing:
            return
        self.heard = time.monotonic_ns()
        self.came = self.loop.time()
        self.unread = self.unread + data if self.unread else data
        self._next()

    def _parse(self) -> None:
        """Danger: one read may hold hundreds of requests, and a field without end grows unseen."""
        while self.unread and not self.broken and not self.held_up and len(self.waiting) < MOST_WAITING:
            framed = MOST_FRAME + FRAME_PART * self.size
            room = min(framed - self.raw, BODY_SLICE) if self.headed else min(MOST_HEAD - self.raw, SLICE)
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
                self._break(
                    cause
                    if isinstance(cause, Rejected)
                    else Rejected(400, f"malformed HTTP ({type(err).__name__})")
                )

    def _break(self, err: Rejected) -> None:
        """Nothing that comes behind a request that can't be taken is read."""
        self.broken, self.reading, self.unread = True, False, b""
        self.host.turned_away(self.coming.fields, err)
        self.waiting.append(err)

    # What the parser calls ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.coming, self.raw, self.size, self.slack, self.body = Incoming(), 0, 0, 0, io.BytesIO()
        self.granted, self.headed = MAX_REQUEST_BODY_BYTES, False
        self.reading = True
        if self.asked or self.current is not None:
            self.since = self.loop.time()  # the first request's time counts from the connection

    def on_url(self, part: bytes) -> None:
        self.coming.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:  # danger: a trailer would change a request that has been checked
            return
        lower, value = name.lower(), value.strip(b" \t")
        if lower == b"content-length" and (
            not value.isdigit() or len(value) > 9 or int(value) > LONGEST_BODY
        ):
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
        self._make_room(int(coming.fields.get(b"content-length", b"0")))
        expects = coming.fields.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.current is None and not self.waiting and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > LONGEST_BODY:
            raise Rejected(413, "body too long")
        self.body.write(part)
        if self.size > self.granted:
            self._make_room(self.size + STEP)

    def _make_room(self, size: int) -> None:
        """Long bodies are read within one sum for all callers; danger: many at once would fill the memory."""
        if size > max(MAX_REQUEST_BODY_BYTES, self.granted):
            if self.whole + size > self.table.room.hard:
                raise Rejected(413, "body too long for the memory that there is")
            self.granted = size
            self.held_up = not self.table.room.ask(self, self.whole + size, self.loop.time())
            if self.held_up:
                self.loop.call_soon(self.table.grant)

    def read_on(self) -> None:
        """There is room for its body now."""
        self.held_up, self.since, self.slack = False, self.loop.time(), self.size
        self._next()

    def no_room(self) -> None:
        """Its body can't be held beside the others'; nothing of it was sent."""
        self.held_up = False
        self._break(Rejected(503, "no room for its body", self.host.pause()))
        self._next()

    def on_message_complete(self) -> None:
        coming, self.coming = self.coming, Incoming()
        coming.body, coming.heard = self.body.getvalue(), self.heard
        coming.keep = self.parser.should_keep_alive()
        coming.chunks = self.parser.get_http_version() != "1.0"
        if self.size > MAX_REQUEST_BODY_BYTES:
            self.whole += self.size
        self.body, self.reading, self.headed, self.raw = io.BytesIO(), False, False, 0
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
        # Else it reads on, or it would not hear that the caller leaves.
        if self.waiting or self.unread or self.held_up:
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

    def _give_room(self) -> None:
        if self.whole and not self.waiting:
            self.whole = 0
            self.table.give_room(self)

    def answer(self, call: Call, answer: Answer) -> None:
        """What the engine settled."""
        if self.current is None or self.current.call is not call:  # danger: it must not meet another request
            if isinstance(answer, Served) and answer.rest is not None:
                answer.rest.drop()
            return
        if isinstance(answer, Served) and answer.rest is not None:
            self._pass_on(answer, answer.rest)
        elif isinstance(answer, Served):
            self.reply(200, answer.body, answer.content_type)
        elif isinstance(answer, Refused):
            self.reply(503, retry_after=answer.retry_after_ns)
        else:
            self.reply(502)

    def reply(self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after: int = 0) -> None:
        """The one answer to the request in work."""
        item, transport = self.current, self.transport
        if item is None or transport is None or transport.is_closing():
            self._replied(False)
            return
        head = [f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n".encode()]
        if content_type:
            head.append(b"Content-Type: " + content_type + b"\r\n")
        if retry_after:
            head.append(f"Retry-After: {retry_after / api.SECOND:.3f}\r\n".encode())
        if status == 405:
            head.append(b"Allow: GET, POST\r\n")
        close = self._closes(item)
        head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        transport.write(b"".join(head) + (b"" if item.method == b"HEAD" else body))
        self._replied(close)

    def _closes(self, item: Incoming) -> bool:
        # Danger: requests that have been read already would be dropped by a close.
        return not item.keep or ((self.surplus or not self.host.wanted) and not self.more)

    def _pass_on(self, answer: Served, rest: Stream) -> None:
        """Begins an answer that is not whole yet; the rest goes on as it comes and as the caller takes it."""
        item, transport = self.current, self.transport
        if item is None or transport is None or transport.is_closing():
            rest.drop()
            return
        self.chunked = rest.length is None and item.chunks
        self.lasts = not self._closes(item) and (rest.length is not None or item.chunks)
        head = [b"HTTP/1.1 200 OK\r\n"]
        if rest.length is not None:
            head.append(b"Content-Length: %d\r\n" % rest.length)
        elif self.chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        if answer.content_type:
            head.append(b"Content-Type: " + answer.content_type + b"\r\n")
        head.append(b"\r\n" if self.lasts else b"Connection: close\r\n\r\n")
        transport.write(b"".join(head))
        self.rest = rest
        self.receive(answer.body)
        rest.start(self)
        if self.clogged:
            rest.pause()

    def receive(self, data: bytes) -> None:
        """A part of the answer that is passed on."""
        if self.transport is not None and data:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def ended(self, whole: bool) -> None:
        """The answer that is passed on has come to its end."""
        self.rest = None
        if self.transport is None:
            return
        if not whole:
            self.transport.abort()  # the caller must see that it is not whole
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._replied(not self.lasts)

    def _replied(self, close: bool) -> None:
        """The request in work is answered to its last byte."""
        self.current = self.request = None
        self.asked += 1
        self._give_room()
        if self.transport is None or self.transport.is_closing():
            return
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
        elif self.current is not None or self.waiting or self.unread or self.held_up:
            return
        elif self.reading:
            if for_long > HALF + (self.size - self.slack) / SLOWEST or now - self.came > STALLED:
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

    def __init__(self, host: Host, most: int, hard: int, room: Room[Caller]) -> None:
        self.host, self.most, self.hard, self.room = host, most, hard, room
        self.loop = asyncio.get_running_loop()
        self.all: dict[Caller, None] = {}
        # Never asked, asked once, asked more; the one idle for longest first.
        self.idle: tuple[dict[Caller, None], ...] = ({}, {}, {})
        self.turned_away, self.last_text, self.said = 0, "", -1.0
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)

    def joined(self, caller: Caller) -> None:
        self.all[caller] = None
        if len(self.all) > self.most:
            closed = victim(self.idle[0], self.idle[1], self.idle[2], self.loop.time())
            if closed is not None:
                closed.close()
            caller.surplus = closed is None
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
        self.give_room(caller)
        self.host.left(caller)

    def give_room(self, caller: Caller) -> None:
        """Its long bodies are held no more; others may read on."""
        self.room.release(caller)
        self.grant()

    def grant(self) -> None:
        """Lets those read on for whose bodies there is room."""
        if self.room.waiting:
            granted = self.room.grants(self.loop.time())
            for caller in granted:
                self.loop.call_soon(caller.read_on)
            if not granted and (stuck := self.room.turn_away()) is not None:
                self.loop.call_soon(stuck.no_room)

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
        self.grant()
        self._say()

    def _sweep(self) -> None:
        self.sweeper = self.loop.call_later(SWEEP, self._sweep)
        self._look()

    def close(self) -> None:
        self.sweeper.cancel()
        for caller in list(self.all):
            if caller.transport is not None:
                caller.transport.abort()
