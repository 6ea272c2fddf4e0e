"""Protocols of what the engine works with, apart from requesters: transport, recorder, list source."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from minthitch.engine.attempts import Attempt, Request
from minthitch.engine.calls import Answer
from minthitch.engine.servers import Server
from minthitch.interface import Action, Event, ListKind
from minthitch.listing import Listing


class Decider(Protocol):
    """Makes the decisions: the Balancer, or in the lab another algorithm to compare it with."""

    def handle(self, now: int, event: Event) -> Sequence[Action]: ...


class Transport(Protocol):
    """Sends attempts to servers. Each is written at most once and ended by `Attempt.end`.

    `start` must return before its attempt ends.
    """

    def start(self, attempt: Attempt) -> None: ...
    def hang_up(self, server: Server) -> None: ...
    def close(self) -> None: ...


class Recorder(Protocol):
    """Records outcomes of requests durably. It may delay sends and answers until its writes are done.

    It ends a delay with `Engine.release_attempt`, `Engine.release_answer` or `Engine.resolve`.
    """

    def opened(self, request: Request) -> None: ...
    def may_start(self, attempt: Attempt) -> bool: ...
    def attempt_ended(self, attempt: Attempt) -> None: ...
    def may_answer(self, request: Request, answer: Answer) -> bool: ...
    def requester_left(self, request: Request) -> None: ...


class Source(Protocol):
    """Source of server lists. It may also deliver lists without being asked."""

    def subscribe(self) -> None: ...
    def refresh(self) -> None: ...
    async def close(self) -> None: ...


class StaticSource:
    """A fixed list, delivered again on each request."""

    def __init__(self, listing: Listing, listed: Callable[[Listing, ListKind], None]) -> None:
        self.listing, self.listed = listing, listed

    def subscribe(self) -> None:
        self.listed(self.listing, ListKind.FULL)

    refresh = subscribe

    async def close(self) -> None:
        return None
