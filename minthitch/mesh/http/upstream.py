"""A sidecar's connections to the one server beside it.

Connection reuse, parsing and closing are the node's (minthitch.net.pool). This module adds the mesh's
headers, its outcomes, and the check that a response belongs to the request that waits for it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import cast

from minthitch import interface as api
from minthitch.engine.attempts import Attempt
from minthitch.engine.calls import Message, Served
from minthitch.engine.servers import Server
from minthitch.mesh.http.instance_probe import ProbeVerdict, probe_instance
from minthitch.net.pool import IDLE_FRACTION, MAX_COPY_BYTES, Connection, Pool

# Assumed idle limit of the server until it states one in Keep-Alive. The pool uses half of it, well below
# what servers state.
IDLE_CLOSE = 8 * api.SECOND
# To a server on the same machine. Shorter than callers wait, so that they learn of a silent server.
CONNECT_TIMEOUT = api.SECOND // 2
MIN_IDLE_S = 0.25  # an idle connection is kept for at least this long
REQUEST_ID = b"x-request-id"
MAX_STRAY_RESPONSES = 8  # responses to other requests on one connection before it is closed
RAN, NOT_RUN, UNKNOWN = "ran", "not run", "unknown"


class Upstream:
    """One run of the server beside this sidecar, in the form that the connection pool expects."""

    __slots__ = ("host", "port", "is_usable", "withdrawn_at")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.is_usable, self.withdrawn_at = True, 0


class Outcome:
    """The outcome of a call: `kind` is RAN, NOT_RUN or UNKNOWN; with RAN it holds the response."""

    __slots__ = ("kind", "status", "fields", "body", "reason", "arrived")

    def __init__(
        self,
        kind: str,
        status: int = 0,
        fields: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        reason: str = "",
        arrived: bool = True,
    ) -> None:
        self.kind, self.status, self.fields, self.body, self.reason = kind, status, fields, body, reason
        self.arrived = arrived  # whether the server may have seen the request: then it counts as an arrival


class UpstreamCall:
    """One request to the server beside this sidecar; it ends exactly once, with a call of `on_done`.

    The pool handles it like an Attempt of the engine.
    """

    __slots__ = (
        "server",
        "message",
        "request_id",
        "server_id",
        "caller_service",
        "deadline",
        "at_most_once",
        "started",
        "status",
        "handle",
        "on_done",
        "on_sent",
        "written",
        "may_stream",
    )

    def __init__(
        self,
        server: Upstream,
        message: Message,
        request_id: bytes,
        server_id: bytes,
        caller_service: bytes,
        deadline: int,
        once: bool,
        on_done: Callable[[Outcome], None],
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """`deadline`: on the monotonic clock, in nanoseconds; `once`: the request may not run twice.

        `on_sent` is called if the operating system has taken all of the request before it ends.
        """
        self.server, self.message, self.request_id, self.server_id = server, message, request_id, server_id
        self.caller_service, self.deadline, self.at_most_once = caller_service, deadline, once
        # None once they have been called: they refer to objects that refer to this call, and these would keep
        # the body until a collection.
        self.on_done: Callable[[Outcome], None] | None = on_done
        self.on_sent: Callable[[], None] | None = on_sent
        self.started = time.monotonic_ns()
        self.status: api.Status | None = None
        self.handle: Connection | None = None
        self.written = False  # whether a byte of it may have been sent: from then on it may have run
        self.may_stream = False

    @property
    def time_left(self) -> int:
        return max(self.deadline - time.monotonic_ns(), 0)

    def may_write(self) -> bool:
        return self.status is None and self.time_left > 0 and self.server.is_usable

    def wrote(self) -> None:
        """Called when the request is first handed to the transport, and when all of it has been sent."""
        if not self.written:
            self.written = True
            return
        on_sent, self.on_sent = self.on_sent, None
        if on_sent is not None:
            on_sent()

    def end(self, status: api.Status, answer: Served | None = None) -> None:
        """Called by the pool when no response came."""
        never = status.never_ran and not self.written
        self.finish(status, Outcome(NOT_RUN if never else UNKNOWN, reason=status.value, arrived=not never))

    def finish(self, status: api.Status, outcome: Outcome) -> None:
        if self.status is not None:
            return
        self.status = status
        carried, self.handle = self.handle, None
        if carried is not None:
            carried.drop()
        on_done, self.on_done, self.on_sent = self.on_done, None, None
        if on_done is not None:
            on_done(outcome)

    def cancel(self) -> None:
        """The caller does not need it any more. The connection is closed, which most servers notice."""
        self.end(api.Status.CANCELLED)


class ServerConnection(Connection):
    """One connection to the server; it carries one request at a time."""

    stray_responses = 0  # responses that belonged to other requests
    not_executed = False  # whether the current response states that its request did not run

    def _start_answer(self) -> None:
        super()._start_answer()
        self.not_executed = False

    def send(self, attempt: Attempt) -> None:
        """Write the request. From its first byte on it may have run.

        This server may act on the headers or on a part of the body. (The base class expects servers that read
        a request completely first, so there "never ran" is proven until the last byte has been sent.)
        """
        assert self.transport is not None
        attempt.wrote()
        self.attempt, attempt.handle = attempt, self
        self.written = False
        call = cast(UpstreamCall, attempt)
        head, body = _request_head(call), call.message.body
        if len(body) > MAX_COPY_BYTES:
            self.transport.write(head)
            self.transport.write(body)
            call.message.body = b""  # the transport has it, and nothing is written twice
        else:
            self.transport.write(head + body)
        if self.transport.get_write_buffer_size() == 0:
            self._on_written()

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        if self.head_complete or self.complete:  # a trailer, or a header of a later response
            return
        lower = name.lower()
        if lower == b"x-not-executed":
            self.not_executed = True
        elif lower == b"keep-alive":
            self._apply_keep_alive(value)

    def _is_stray(self, call: UpstreamCall) -> bool:
        """Whether this is a surplus response to an earlier request. One without any id is not."""
        found = request_ids(self.fields)
        return bool(found) and call.request_id not in found and self.stray_responses < MAX_STRAY_RESPONSES

    def _apply_keep_alive(self, value: bytes) -> None:
        """The server states its idle limit: no connection is used that was idle for half of it."""
        _, _, seconds = value.lower().partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if digits.isdigit() and len(digits) < 6:
            self.pool.max_idle_s = max(min(self.pool.max_idle_s, IDLE_FRACTION * int(digits)), MIN_IDLE_S)

    def _on_answer_complete(self) -> None:
        attempt = self.attempt
        if attempt is None:
            self._on_stream_complete()
            return
        call = cast(UpstreamCall, attempt)
        if self._is_stray(call) and self.keeps_open and not self.has_surplus:
            self.stray_responses += 1
            self._reset()  # the response to the current request is still to come
            return
        outcome = classify_response(call, self.status, self.not_executed, tuple(self.fields), self.body)
        keep = self.keeps_open and self.written and not self.has_surplus and outcome.kind is not UNKNOWN
        self._reset()
        if keep:
            self.attempt, attempt.handle = None, None
            self.pool.keep(self)
        call.finish(api.Status.OK, outcome)


def _request_head(call: UpstreamCall) -> bytes:
    message = call.message
    head = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
    head += [b"%s: %s\r\n" % field for field in message.fields]
    head.append(
        b"X-Deadline-Ms: %d\r\nX-Caller-Service: %s\r\nX-Target-Instance: %s\r\n"
        % (call.time_left // 1_000_000, call.caller_service, call.server_id)
    )
    if message.body or message.method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(message.body))
    return b"".join(head) + b"\r\n"


def request_ids(fields: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """The ids of the requests that a response claims to belong to: exactly one if it is valid."""
    return {value for name, value in fields if name.lower() == REQUEST_ID}


def classify_response(
    call: UpstreamCall,
    status: int,
    not_executed: bool,
    fields: tuple[tuple[bytes, bytes], ...],
    body: bytes,
) -> Outcome:
    """What a response proves. Only X-Not-Executed, with status 400, 429 or 503, and 421 prove NOT_RUN.

    A response counts only if it carries the id of its request and no other id: a surplus response to an
    earlier request may arrive in its place, and may state that the request did not run.
    """
    table = {name.lower(): value for name, value in fields}
    if request_ids(fields) != {call.request_id}:
        return Outcome(UNKNOWN, status, reason="an answer to another request")
    if status < 200:  # a protocol switch that was not requested
        return Outcome(UNKNOWN, status, reason="no final answer")
    if status == 421 or (not_executed and status in (400, 429, 503)):
        return Outcome(NOT_RUN, status, reason="turned away")
    if 200 <= status < 300 and b"x-server-seal" not in table:
        return Outcome(UNKNOWN, status, reason="a success without its seal")
    if b"content-encoding" in table:  # some intermediary has changed the server's bytes
        return Outcome(UNKNOWN, status, reason="an encoded body")
    return Outcome(RAN, status, fields, body)


class ServerPool(Pool):
    """The connections to the server beside this sidecar."""

    def __init__(self, max_connections: int) -> None:
        spec = api.RequestClass("any", aim=api.SECOND, deadline=api.SECOND)
        super().__init__(
            api.Settings((spec,), connect_timeout=CONNECT_TIMEOUT, idle_close=IDLE_CLOSE), max_connections
        )

    def run(self, call: UpstreamCall) -> None:
        self.start(cast(Attempt, call))

    def probe(self, path: str, server_id: str, address: str, done: Callable[[ProbeVerdict], None]) -> None:
        """Ask the server at `address`, by the health check at `path`, whether this run of it is there."""

        async def probe() -> None:
            done(await probe_instance(address, path, server_id))

        task = self.loop.create_task(probe())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def unsent_bytes(self) -> int:
        """Bytes of requests that the operating system has not taken yet."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self.connections
            if connection.transport is not None
        )

    async def _open(self, server: Server) -> Connection:
        self.connecting_count += 1
        try:
            _, connection = await self.loop.create_connection(
                lambda: ServerConnection(self, server), server.host, server.port
            )
        finally:
            self.connecting_count -= 1
        return connection
