"""An admitted request and its attempts: each is one send to a server and ends once, with one status."""

from __future__ import annotations

from typing import Protocol

from minthitch import interface as api
from minthitch.engine.calls import Answer, Call, Message, Served
from minthitch.engine.clock import Clock, Timer
from minthitch.engine.servers import Server


class Requester(Protocol):
    """Receives one answer to each call, possibly before `Engine.admit` has returned."""

    def answer(self, call: Call, answer: Answer) -> None: ...


class AttemptHandle(Protocol):
    """The transport's handle on an attempt; the engine drops it when the attempt ends."""

    def drop(self) -> None: ...


class AttemptOwner(Protocol):
    """What an attempt needs from its engine."""

    @property
    def clock(self) -> Clock: ...
    def may_write(self, request: Request, server: Server) -> bool: ...
    def may_stream(self, request: Request) -> bool: ...
    def attempt_written(self) -> None: ...
    def attempt_ended(self, attempt: Attempt) -> None: ...


class Request:
    """An admitted request, kept until it is answered and its last attempt has ended."""

    __slots__ = (
        "number",
        "requester",
        "call",
        "spec",
        "deadline",
        "attempts",
        "in_flight",
        "closed",
        "timer",
    )

    def __init__(
        self, number: int, requester: Requester, call: Call, spec: api.RequestClass, deadline: int
    ) -> None:
        self.number, self.requester, self.call, self.spec, self.deadline = (
            number,
            requester,
            call,
            spec,
            deadline,
        )
        self.attempts: list[Attempt | None] = []  # None: not started
        self.in_flight = 0
        self.closed = False  # answered, or the requester has left
        self.timer: Timer | None = None


class Attempt:
    """One send, given to a transport, which sets `handle`, checks `may_write` before writing, calls `end`."""

    __slots__ = (
        "engine",
        "request",
        "index",
        "server",
        "at_most_once",
        "started",
        "status",
        "answer",
        "handle",
        "timer",
    )

    def __init__(self, engine: AttemptOwner, request: Request, index: int, server: Server) -> None:
        self.engine, self.request, self.index, self.server = engine, request, index, server
        self.at_most_once = request.spec.effect is api.Effect.UNSAFE  # no retry once it may have run
        self.started = engine.clock.now()
        self.status: api.Status | None = None
        self.answer: Served | None = None
        self.handle: AttemptHandle | None = None
        self.timer: Timer | None = None

    @property
    def message(self) -> Message:
        return self.request.call.message

    @property
    def time_left(self) -> int:
        """Nanoseconds until the request's deadline, at least 0."""
        return max(self.request.deadline - self.engine.clock.now(), 0)

    def may_write(self) -> bool:
        """Whether bytes of the request may still go to the server, now."""
        return self.engine.may_write(self.request, self.server)

    @property
    def may_stream(self) -> bool:
        """Whether `end` may get an answer whose body is not complete yet."""
        return self.engine.may_stream(self.request)

    def wrote(self) -> None:
        """Called once by the transport when the request's last byte has been written."""
        self.engine.attempt_written()

    def end(self, status: api.Status, answer: Served | None = None) -> None:
        """Ends the attempt and drops the transport's handle. Later calls do nothing."""
        if self.status is not None:
            return
        self.status, self.answer = status, answer
        if self.timer is not None:
            self.timer.cancel()
        handle, self.handle = self.handle, None
        if handle is not None:
            handle.drop()  # a late answer must not reach the connection's next request
        self.engine.attempt_ended(self)
