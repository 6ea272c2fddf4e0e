"""The connections of a sidecar to the one server beside it.

Keeping, parsing and ending them is the node's (minthitch.net.servers); here are the mesh's fields, its
outcomes, and the check that an answer belongs to the request that waits for it.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import cast

from minthitch import interface as api
from minthitch.engine.attempts import Attempt
from minthitch.engine.calls import Message, Served
from minthitch.engine.servers import Server
from minthitch.net.servers import COPIED, IDLE_PART, Connection, Pool

IDLE = 8 * api.SECOND  # servers say Keep-Alive; half of this is used, well below what they state
CONNECT = api.SECOND // 2  # for one on the same machine: less than callers wait, so a silent server is known
LEAST_IDLE = 0.25  # seconds for which a connection is kept at least
REQUEST_ID = b"x-request-id"
MOST_STRAYS = 8  # answers to other requests that one connection may bring before it is given up
RAN, NOT_RUN, UNKNOWN = "ran", "not run", "unknown"


class Upstream:
    """The server beside this sidecar, as the pool knows it."""

    __slots__ = ("host", "port", "is_usable", "withdrawn_at")

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.is_usable, self.withdrawn_at = True, 0


class Outcome:
    """What became of an errand."""

    __slots__ = ("kind", "status", "fields", "body", "why", "arrived")

    def __init__(
        self,
        kind: str,
        status: int = 0,
        fields: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        why: str = "",
        arrived: bool = True,
    ) -> None:
        self.kind, self.status, self.fields, self.body, self.why = kind, status, fields, body, why
        self.arrived = arrived  # whether the server saw it: then it counts as an arrival


class UpstreamCall:
    """One request to the server beside this sidecar: it ends once."""

    __slots__ = (
        "server",
        "message",
        "identity",
        "life",
        "caller",
        "deadline",
        "at_most_once",
        "started",
        "status",
        "handle",
        "done",
        "written",
        "may_stream",
    )

    def __init__(
        self,
        server: Upstream,
        message: Message,
        identity: bytes,
        life: bytes,
        caller: bytes,
        deadline: int,
        once: bool,
        done: Callable[[Outcome], None],
    ) -> None:
        self.server, self.message, self.identity, self.life = server, message, identity, life
        self.caller, self.deadline, self.at_most_once, self.done = caller, deadline, once, done
        self.started = time.monotonic_ns()
        self.status: api.Status | None = None
        self.handle: Connection | None = None
        self.written = False  # whether a byte of it may have left: from then on it may have run
        self.may_stream = False

    @property
    def time_left(self) -> int:
        return max(self.deadline - time.monotonic_ns(), 0)

    def may_write(self) -> bool:
        return self.status is None and self.time_left > 0 and self.server.is_usable

    def wrote(self) -> None:
        """A byte of it has been handed to the transport, or all of it."""
        self.written = True

    def end(self, status: api.Status, answer: Served | None = None) -> None:
        """As the pool tells it, where no answer came."""
        never = status.never_ran and not self.written
        self.finish(status, Outcome(NOT_RUN if never else UNKNOWN, why=status.value, arrived=not never))

    def finish(self, status: api.Status, outcome: Outcome) -> None:
        if self.status is not None:
            return
        self.status = status
        carried, self.handle = self.handle, None
        if carried is not None:
            carried.drop()
        self.done(outcome)

    def cancel(self) -> None:
        """Its asker needs it no more: the connection is closed, which most servers hear."""
        self.end(api.Status.CANCELLED)


class ServerConnection(Connection):
    """One connection to the server; it carries one request at a time."""

    strays = 0  # answers that belonged to others
    not_executed = False  # whether the answer that comes says that its request did not run

    def _begin(self) -> None:
        super()._begin()
        self.not_executed = False

    def send(self, attempt: Attempt) -> None:
        """Writes the request. From its first byte on it may have run.

        A server may act on a head or on a part of a body. (The node's class, whose servers read them whole,
        proves "never ran" up to the last byte.)
        """
        assert self.transport is not None
        attempt.wrote()
        self.attempt, attempt.handle = attempt, self
        self.written = False
        errand = cast(UpstreamCall, attempt)
        head, body = _head(errand), errand.message.body
        if len(body) > COPIED:
            self.transport.write(head)
            self.transport.write(body)
        else:
            self.transport.write(head + body)
        if self.transport.get_write_buffer_size() == 0:
            self._wrote()

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        if self.headed or self.complete:  # a trailer, or a field of what follows
            return
        lower = name.lower()
        if lower == b"x-not-executed":
            self.not_executed = True
        elif lower == b"keep-alive":
            self._keeps(value)

    def _is_anothers(self, errand: UpstreamCall) -> bool:
        """A surplus answer to an earlier request came first. Not so where it tells no id at all."""
        told = request_ids(self.fields)
        return bool(told) and errand.identity not in told and self.strays < MOST_STRAYS

    def _keeps(self, value: bytes) -> None:
        """The server says for how long it keeps an idle connection: none is used that is older than half."""
        _, _, seconds = value.lower().partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if digits.isdigit() and len(digits) < 6:
            self.pool.idle_for = max(min(self.pool.idle_for, IDLE_PART * int(digits)), LEAST_IDLE)

    def _answered(self) -> None:
        attempt = self.attempt
        if attempt is None:
            self._passed_on()
            return
        errand = cast(UpstreamCall, attempt)
        if self._is_anothers(errand) and self.lasts and not self.surplus:
            self.strays += 1
            self._reset()  # the one that is due is still to come
            return
        outcome = judge(errand, self.status, self.not_executed, tuple(self.fields), self.body)
        keep = self.lasts and self.written and not self.surplus and outcome.kind is not UNKNOWN
        self._reset()
        if keep:
            self.attempt, attempt.handle = None, None
            self.pool.keep(self)
        errand.finish(api.Status.OK, outcome)


def _head(errand: UpstreamCall) -> bytes:
    message = errand.message
    head = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
    head += [b"%s: %s\r\n" % field for field in message.fields]
    head.append(
        b"X-Deadline-Ms: %d\r\nX-Caller-Service: %s\r\nX-Target-Instance: %s\r\n"
        % (errand.time_left // 1_000_000, errand.caller, errand.life)
    )
    if message.body or message.method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(message.body))
    return b"".join(head) + b"\r\n"


def request_ids(fields: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    """The ids of the requests that an answer says it belongs to: one, if it is sound."""
    return {value for name, value in fields if name.lower() == REQUEST_ID}


def judge(
    errand: UpstreamCall,
    status: int,
    said_not_run: bool,
    fields: tuple[tuple[bytes, bytes], ...],
    body: bytes,
) -> Outcome:
    """What an answer proves. Only the server's own word, and 421, prove that a request did not run.

    Nothing is believed of an answer that does not carry the id of its request and no other: a surplus answer
    to an earlier request may come in the place of the one that is due, and may say that it did not run.
    """
    table = {name.lower(): value for name, value in fields}
    if request_ids(fields) != {errand.identity}:
        return Outcome(UNKNOWN, status, why="an answer to another request")
    if status < 200:  # a change of protocol that nobody asked for
        return Outcome(UNKNOWN, status, why="no final answer")
    if status == 421 or (said_not_run and status in (400, 429, 503)):
        return Outcome(NOT_RUN, status, why="turned away")
    if 200 <= status < 300 and b"x-server-seal" not in table:
        return Outcome(UNKNOWN, status, why="a success without its seal")
    if b"content-encoding" in table:  # danger: these are not the server's own bytes
        return Outcome(UNKNOWN, status, why="an encoded body")
    return Outcome(RAN, status, fields, body)


class ServerPool(Pool):
    """The connections to the server beside this sidecar."""

    def __init__(self, most: int) -> None:
        spec = api.RequestClass("any", aim=api.SECOND, deadline=api.SECOND)
        super().__init__(api.Settings((spec,), connect_timeout=CONNECT, idle_close=IDLE), most)

    def run(self, errand: UpstreamCall) -> None:
        self.start(cast(Attempt, errand))

    async def _open(self, server: Server) -> Connection:
        self.opening += 1
        try:
            _, connection = await self.loop.create_connection(
                lambda: ServerConnection(self, server), server.host, server.port
            )
        finally:
            self.opening -= 1
        return connection
