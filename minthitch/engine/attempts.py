"""A request that was taken, and each send of it to a server, which ends once, with an exact outcome."""

from __future__ import annotations

from typing import Protocol

from minthitch import interface as api
from minthitch.engine.calls import Answer, Call, Message, Served
from minthitch.engine.clock import Clock, Timer
from minthitch.engine.servers import Server


class Requester(Protocol):
    """Who asked: hears one answer to each call, perhaps before `Engine.admit` has returned."""

    def answer(self, call: Call, answer: Answer) -> None: ...


class AttemptHandle(Protocol):
    """An attempt as its carrier holds it: dropped when the engine gives it up."""

    def drop(self) -> None: ...


class AttemptOwner(Protocol):
    """What an attempt needs of the engine that decided it."""

    @property
    def clock(self) -> Clock: ...
    def may_write(self, request: Request, server: Server) -> bool: ...
    def may_stream(self, request: Request) -> bool: ...
    def attempt_written(self) -> None: ...
    def attempt_ended(self, attempt: Attempt) -> None: ...


class Request:
    """A request that was taken, until it is answered and its last attempt has ended."""

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
        self.attempts: list[Attempt | None] = []  # None: one that never left
        self.in_flight = 0
        self.closed = False  # answered, or its asker has gone
        self.timer: Timer | None = None


class Attempt:
    """What a carrier is given: it sets `carried`, asks `may_write` before it writes, calls `end` once."""

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
        self.at_most_once = (
            request.spec.effect is api.Effect.UNSAFE
        )  # may not go out again once it may have run
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
        """Nanoseconds until the request's deadline, 0 at least."""
        return max(self.request.deadline - self.engine.clock.now(), 0)

    def may_write(self) -> bool:
        """Whether bytes of the request may still go to the server, now."""
        return self.engine.may_write(self.request, self.server)

    @property
    def may_stream(self) -> bool:
        """Whether `end` may be given an answer with a rest that is still to come."""
        return self.engine.may_stream(self.request)

    def wrote(self) -> None:
        """Its last byte has left for the server; told once by its carrier."""
        self.engine.attempt_written()

    def end(self, status: api.Status, answer: Served | None = None) -> None:
        """Ends the attempt, once; what its carrier still holds of it is dropped."""
        if self.status is not None:
            return
        self.status, self.answer = status, answer
        if self.timer is not None:
            self.timer.cancel()
        carried, self.handle = self.handle, None
        if carried is not None:
            carried.drop()  # danger: an answer to a given-up attempt must not meet the next request
        self.engine.attempt_ended(self)
