"""A caller's connection: request parsing, `/ready`, answers and timeouts."""

from __future__ import annotations

import asyncio
import io
import select
import time
from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol, cast

import httptools

from minthitch import interface as api
from minthitch.engine.attempts import Request
from minthitch.engine.calls import Answer, Call, Refused, Rejected, Served
from minthitch.engine.fields import MAX_REQUEST_BODY_BYTES, NOT_FORWARDED
from minthitch.engine.stream import Stream
from minthitch.net.body_memory import GROWTH_STEP_BYTES

if TYPE_CHECKING:
    from minthitch.net.caller_table import Callers

MAX_HEAD_BYTES = 32 * 1024  # size of the request line and the header fields
# Bytes of a request after its head that are not body: chunk framing and trailers. In addition
# FRAMING_PER_BODY_BYTE for each byte of the body, because each may be a chunk of its own.
MAX_FRAMING_BYTES = 256 * 1024
FRAMING_PER_BODY_BYTE = 8
MAX_BODY_BYTES = 34 * 1024 * 1024  # 32 MB must be accepted; malicious clients send 60 MB
# Bytes per second that a body must average once REQUEST_TIMEOUT_S has passed.
MIN_BODY_RATE = 16 * 1024
BODY_STALL_S = 5.0  # seconds without a byte after which an unfinished body is rejected
MAX_PIPELINED = 16  # pipelined requests of one connection that are parsed ahead of the current one
# Bytes given to the parser at once, so that few pipelined requests are parsed too far ahead.
HEAD_SLICE_BYTES = 4 * 1024
BODY_SLICE_BYTES = 64 * 1024  # the same within a body
# While the node closes idle connections, one without a request stays open for at least so many seconds:
# its first request may be on the way.
NEW_CONNECTION_GRACE_S = 0.25
FIRST_REQUEST_TIMEOUT_S = 2.0  # seconds after which a connection that sent no request is closed
# Seconds for a whole request, from the connection or from its first byte. An incomplete request must be
# ended within 3 s.
REQUEST_TIMEOUT_S = 2.5
# Seconds without progress after which a caller that does not read its answers is disconnected.
WRITE_STALL_S = 5.0
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
    """One complete HTTP request as received."""

    __slots__ = (
        "method",
        "target",
        "fields",
        "forwarded_fields",
        "body",
        "keep_alive",
        "accepts_chunked",
        "received_at",
        "call",
    )

    def __init__(self) -> None:
        self.method, self.target, self.body, self.keep_alive = b"", b"", b"", True
        self.accepts_chunked = True  # chunked transfer encoding; HTTP/1.0 clients do not know it
        self.received_at = 0  # when its last byte arrived, in ns of the monotonic clock
        self.fields: dict[bytes, bytes] = {}
        self.forwarded_fields: list[tuple[bytes, bytes]] = []  # header fields to forward to the server
        self.call: Call | None = None  # as passed to the engine


def _rejection_of(err: Exception) -> Rejected:
    """The rejection that a callback of the parser has raised, or one that states the parser's own error.

    A function of its own: a local name of the caller that refers to an exception raised below it would be a
    reference cycle, with all that was read.
    """
    cause = err.__context__
    return cause if isinstance(cause, Rejected) else Rejected(400, f"malformed HTTP ({type(err).__name__})")


class CallerHost(Protocol):
    """What a caller's connection needs from its node."""

    @property
    def keeps_connections(self) -> bool: ...
    def keeps_idle(self) -> bool: ...
    def on_rejected(self, fields: Mapping[bytes, bytes], err: Rejected) -> None: ...
    def check(self, item: Incoming) -> None: ...
    def handle_request(self, caller: Caller, item: Incoming) -> None: ...
    def on_caller_lost(self, caller: Caller) -> None: ...
    def ready(self) -> bool: ...
    def busy_retry_after(self) -> int: ...
    def log(self, text: str) -> None: ...


class Caller(asyncio.Protocol):
    """One caller's connection. It handles one request at a time; pipelined requests wait in a queue."""

    def __init__(self, callers: Callers) -> None:
        self.callers, self.host = callers, callers.host
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        # It refers to this object, so it is deleted with the connection: together they would stay until a
        # collection.
        self.parser = httptools.HttpRequestParser(self)
        self.incoming = Incoming()
        # Of the request being read: bytes of its head or of its framed body, and bytes of the body alone.
        self.parsed_bytes = self.body_size = 0
        self.stream: Stream | None = None  # rest of an answer that is streamed to the caller
        # Of the streamed answer: its encoding, whether the connection is reused after it.
        self.chunked = self.keeps_open = False
        self.body = io.BytesIO()  # BytesIO gives out its content without a copy
        self.pipelined: deque[Incoming | Rejected] = deque()
        self.unparsed = b""  # received, not given to the parser yet
        self.received_at = self.unsent_bytes = 0
        self.current: Incoming | None = None
        self.request: Request | None = None  # the engine's record of `current`
        self.answered_count = 0
        self.since = self.loop.time()  # when it connected, began its request, became idle or began to close
        self.granted = MAX_REQUEST_BODY_BYTES  # bytes of the current body that may be read
        self.held_body_bytes = 0  # bytes of complete long bodies still in memory
        self.awaits_memory = False  # reading is paused until there is memory for the body
        self.size_at_resume = 0  # bytes of the body that had arrived when reading last resumed
        self.last_data_at = 0.0  # time of the last received bytes
        self.reading = self.head_complete = self.broken = self.write_paused = self.closing = False
        self.over_limit = False  # above the node's connection limit: answered once, then closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pipelined.clear()
        self._discard_partial()
        del self.parser
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.drop()
        self.callers.remove(self)
        self.current = None

    def pause_writing(self) -> None:
        self.write_paused, self.since = True, self.loop.time()
        self.unsent_bytes = 0
        if self.stream is not None:
            self.stream.pause()

    def resume_writing(self) -> None:
        self.write_paused = False
        if self.stream is not None:
            self.stream.resume()
        self._process_pending()

    def data_received(self, data: bytes) -> None:
        if self.broken or self.closing:
            return
        self.received_at = time.monotonic_ns()
        self.last_data_at = self.loop.time()
        self.unparsed = self.unparsed + data if self.unparsed else data
        self._process_pending()

    def _parse(self) -> None:
        """Parses in slices: one read may hold hundreds of requests, and the parser does not bound a field."""
        while (
            self.unparsed
            and not self.broken
            and not self.awaits_memory
            and len(self.pipelined) < MAX_PIPELINED
        ):
            max_bytes = MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self.body_size
            allowed = (
                min(max_bytes - self.parsed_bytes, BODY_SLICE_BYTES)
                if self.head_complete
                else min(MAX_HEAD_BYTES - self.parsed_bytes, HEAD_SLICE_BYTES)
            )
            part, self.unparsed = self.unparsed[:allowed], self.unparsed[allowed:]
            self.parsed_bytes += len(part)
            try:
                if allowed <= 0:
                    raise Rejected(
                        413 if self.head_complete else 431, "request head or chunk framing too long"
                    )
                self.parser.feed_data(part)
            except Rejected as err:
                self._stop_reading(err)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
                self._stop_reading(_rejection_of(err))

    def _stop_reading(self, err: Rejected) -> None:
        """Rejects the current request and ignores everything after it."""
        self.broken, self.reading = True, False
        self.host.on_rejected(self.incoming.fields, err)
        self.pipelined.append(err.with_traceback(None))  # its frames hold the bytes that were being read
        self._discard_partial()

    def _discard_partial(self) -> None:
        """Frees what has arrived of a request that will not be complete, and the memory reserved for it."""
        self.unparsed, self.body, self.incoming = b"", io.BytesIO(), Incoming()
        if not self.held_body_bytes:  # else the reservation is also for complete bodies that are still needed
            self.callers.release_memory(self)

    # Parser callbacks ------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.incoming, self.parsed_bytes, self.body_size, self.size_at_resume, self.body = (
            Incoming(),
            0,
            0,
            0,
            io.BytesIO(),
        )
        self.granted, self.head_complete = MAX_REQUEST_BODY_BYTES, False
        self.reading = True
        if self.answered_count or self.current is not None:
            self.since = self.loop.time()  # the first request's time counts from the connection

    def on_url(self, part: bytes) -> None:
        self.incoming.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:  # a trailer must not change a request that has been checked
            return
        lower, value = name.lower(), value.strip(b" \t")
        if lower == b"content-length" and (
            not value.isdigit() or len(value) > 9 or int(value) > self.max_body_bytes()
        ):
            raise Rejected(413 if value.isdigit() else 400, f"Content-Length {value[:20]!r}")
        if lower in self.incoming.fields and lower.startswith((b"x-", b"idempotency-key")):
            raise Rejected(400, "duplicate header field")
        self.incoming.fields[lower] = value
        if lower not in NOT_FORWARDED:
            self.incoming.forwarded_fields.append((name, value))

    def on_headers_complete(self) -> None:
        self.head_complete, self.parsed_bytes = True, 0
        incoming = self.incoming
        incoming.method = self.parser.get_method()
        self._check_head(incoming)
        self._reserve_memory(int(incoming.fields.get(b"content-length", b"0")))
        expects = incoming.fields.get(b"expect", b"").lower() == b"100-continue"
        if expects and self.current is None and not self.pipelined and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.body_size += len(part)
        if self.body_size > self.max_body_bytes():
            raise Rejected(413, "request body too large")
        self.body.write(part)
        if self.body_size > self.granted:
            self._reserve_memory(self.body_size + GROWTH_STEP_BYTES)

    def max_body_bytes(self) -> int:
        """The largest body that a request may have."""
        return MAX_BODY_BYTES

    def _reserve_memory(self, size: int) -> None:
        """Reserves memory for a long body within the limit for all callers: many at once would fill it."""
        if size > max(MAX_REQUEST_BODY_BYTES, self.granted):
            if self.held_body_bytes + size > self.callers.body_memory.hard_limit:
                raise Rejected(413, "body exceeds the memory for request bodies")
            self.granted = size
            self.awaits_memory = not self.callers.body_memory.reserve(
                self, self.held_body_bytes + size, self.loop.time()
            )
            if self.awaits_memory:
                self.loop.call_soon(self.callers.grant_memory)

    def on_memory_granted(self) -> None:
        """Called once memory for the body is available."""
        self.awaits_memory, self.since, self.size_at_resume = False, self.loop.time(), self.body_size
        self._process_pending()

    def on_memory_denied(self) -> None:
        """Rejects a body that can't be held in memory beside the others; no server has seen the request."""
        self.awaits_memory = False
        self._stop_reading(Rejected(503, "no memory for the request body", self.host.busy_retry_after()))
        self._process_pending()

    def on_message_complete(self) -> None:
        incoming, self.incoming = self.incoming, Incoming()
        incoming.body, incoming.received_at = self.body.getvalue(), self.received_at
        incoming.keep_alive = self.parser.should_keep_alive()
        incoming.accepts_chunked = self.parser.get_http_version() != "1.0"
        if self.body_size > MAX_REQUEST_BODY_BYTES:
            self.held_body_bytes += self.body_size
        self.body, self.reading, self.head_complete, self.parsed_bytes = io.BytesIO(), False, False, 0
        self.pipelined.append(incoming)

    def _check_head(self, item: Incoming) -> None:
        """Rejects what the head alone rules out, so that the body need not be read."""
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

    def _process_pending(self) -> None:
        """Starts queued requests one at a time; parses no further while one is being handled."""
        transport = self.transport
        if transport is None:
            return
        while (
            self.current is None and not self.closing and not self.write_paused and not transport.is_closing()
        ):
            self._parse()
            if not self.pipelined:
                break
            self._start_request(self.pipelined.popleft())
        if self.closing or transport.is_closing():
            return
        self.callers.update_idle(self)
        # Read on while nothing is queued: otherwise a caller's disconnect would go unnoticed.
        if self.pipelined or self.unparsed or self.awaits_memory:
            if transport.is_reading():
                transport.pause_reading()
        elif not transport.is_reading():
            transport.resume_reading()

    def _start_request(self, item: Incoming | Rejected) -> None:
        if isinstance(item, Rejected):
            self._reject(item)
            return
        self.current = item
        try:
            if item.target.split(b"?", 1)[0] == b"/ready":
                self.reply(200 if self.host.ready() else 503)
            else:
                self.host.handle_request(self, item)
        except Rejected as err:
            self._reject(err)
        except Exception as err:  # an internal error must not leave the caller without an answer
            self._reject(Rejected(502, f"{type(err).__name__}: {err}"))

    def _reject(self, err: Rejected) -> None:
        """Answers and closes, so that repeating a bad request costs the client a new connection."""
        self.callers.count_rejected(f"{err.status}: {err}")
        if self.current is None:
            self.current = Incoming()
        self.current.keep_alive = False
        self.reply(err.status, retry_after=err.retry_after)

    @property
    def has_pending(self) -> bool:
        """Whether requests, complete or partial, have arrived and are not answered yet."""
        return bool(self.pipelined or self.unparsed or self.reading)

    def waiting_body_bytes(self) -> int:
        """Bytes of bodies that are arriving, or wait for an earlier request."""
        waiting = sum(len(item.body) for item in self.pipelined if isinstance(item, Incoming))
        return waiting + self.body.getbuffer().nbytes

    def _release_memory(self) -> None:
        if self.held_body_bytes and not self.pipelined:
            self.held_body_bytes = 0
            self.callers.release_memory(self)

    def answer(self, call: Call, answer: Answer) -> None:
        """Sends the engine's final answer."""
        # The answer may belong to an earlier request of this connection.
        if self.current is None or self.current.call is not call:
            if isinstance(answer, Served) and answer.rest is not None:
                answer.rest.drop()
            return
        if isinstance(answer, Served) and answer.rest is not None:
            self._start_stream(answer, answer.rest)
        elif isinstance(answer, Served):
            self.reply(200, answer.body, answer.content_type)
        elif isinstance(answer, Refused):
            self.reply(503, retry_after=answer.retry_after_ns)
        else:
            self.reply(502)

    def reply(self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after: int = 0) -> None:
        """Sends a complete answer to the current request."""
        item, transport = self.current, self.transport
        if item is None or transport is None or transport.is_closing():
            self._finish_reply(False)
            return
        head = [f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n".encode()]
        if content_type:
            head.append(b"Content-Type: " + content_type + b"\r\n")
        if retry_after:
            head.append(f"Retry-After: {retry_after / api.SECOND:.3f}\r\n".encode())
        if status == 405:
            head.append(b"Allow: GET, POST\r\n")
        close = self._should_close(item)
        head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        transport.write(b"".join(head) + (b"" if item.method == b"HEAD" else body))
        self._finish_reply(close)

    def _should_close(self, item: Incoming) -> bool:
        # Closing would drop requests that have already been read.
        return not item.keep_alive or (
            (self.over_limit or not self.host.keeps_connections) and not self.has_pending
        )

    def _start_stream(self, answer: Served, stream: Stream) -> None:
        """Starts an answer that is still arriving; the rest is forwarded at the pace of the slower side."""
        item, transport = self.current, self.transport
        if item is None or transport is None or transport.is_closing():
            stream.drop()
            return
        self.chunked = stream.length is None and item.accepts_chunked
        self.keeps_open = not self._should_close(item) and (stream.length is not None or item.accepts_chunked)
        head = [b"HTTP/1.1 200 OK\r\n"]
        if stream.length is not None:
            head.append(b"Content-Length: %d\r\n" % stream.length)
        elif self.chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        if answer.content_type:
            head.append(b"Content-Type: " + answer.content_type + b"\r\n")
        head.append(b"\r\n" if self.keeps_open else b"Connection: close\r\n\r\n")
        transport.write(b"".join(head))
        self.stream = stream
        self.receive(answer.body)
        stream.start(self)
        if self.write_paused:
            stream.pause()

    def receive(self, data: bytes) -> None:
        """Forwards a part of the streamed answer."""
        if self.transport is not None and data:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def ended(self, whole: bool) -> None:
        """Called when the streamed answer has ended; `whole` tells whether all of it arrived."""
        self.stream = None
        if self.transport is None:
            return
        if not whole:
            self.transport.abort()  # the caller must be able to tell that the answer is incomplete
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._finish_reply(not self.keeps_open)

    def _finish_reply(self, close: bool) -> None:
        """The current request has been answered in full."""
        self.current = self.request = None
        self.answered_count += 1
        self._release_memory()
        if self.transport is None or self.transport.is_closing():
            return
        if close:
            self.close()
        else:
            self.loop.call_soon(self._process_pending)

    def close(self) -> None:
        if self.transport is not None and not self.closing:
            self.closing, self.since = True, self.loop.time()
            self.pipelined.clear()
            self._release_memory()
            self._discard_partial()
            self.transport.close()
            self.callers.update_idle(self)

    def check_timeouts(self, now: float, stopping: bool) -> None:
        """Ends connections that stay silent, stop within a request, or do not read their answers."""
        if self.transport is None:
            return
        elapsed = now - self.since
        if self.write_paused or self.closing:
            before, self.unsent_bytes = self.unsent_bytes, self.transport.get_write_buffer_size()
            if self.unsent_bytes < before:
                self.since = now
            elif elapsed > WRITE_STALL_S:
                self.transport.abort()
        elif self.current is not None or self.pipelined or self.unparsed or self.awaits_memory:
            return
        elif self.reading:
            if (
                elapsed > REQUEST_TIMEOUT_S + (self.body_size - self.size_at_resume) / MIN_BODY_RATE
                or now - self.last_data_at > BODY_STALL_S
            ):
                self._stop_reading(Rejected(408, "incomplete request"))
                self._process_pending()
        elif (stopping or not self.answered_count) and elapsed > (
            NEW_CONNECTION_GRACE_S if stopping else FIRST_REQUEST_TIMEOUT_S
        ):
            self._close_if_no_input()

    def _close_if_no_input(self) -> None:
        if not self._has_unread_bytes():
            self.close()

    def _has_unread_bytes(self) -> bool:
        """Closing a socket with an unread request in it would reset the client's connection."""
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))
