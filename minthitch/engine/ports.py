"""What the engine knows of the world beside its askers: a carrier, a keeper, a source of lists."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from minthitch.engine.attempts import Attempt, Request
from minthitch.engine.calls import Answer
from minthitch.engine.servers import Server
from minthitch.interface import Action, Event, ListKind
from minthitch.listing import Listing


class Decider(Protocol):
    """What decides: the Balancer, or in the lab something that it is measured against."""

    def handle(self, now: int, event: Event) -> Sequence[Action]: ...


class Transport(Protocol):
    """Takes attempts to servers; each is written once or not at all, and ended by `Attempt.end`.

    `start` never ends its attempt before it has returned.
    """

    def start(self, attempt: Attempt) -> None: ...
    def hang_up(self, server: Server) -> None: ...
    def close(self) -> None: ...


class Recorder(Protocol):
    """Notes what becomes of requests where it must not be forgotten; it may hold sends and answers up.

    What it holds it gives back by `Engine.release`, `Engine.tell` or `Engine.conclude`.
    """

    def opened(self, request: Request) -> None: ...
    def may_start(self, attempt: Attempt) -> bool: ...
    def attempt_ended(self, attempt: Attempt) -> None: ...
    def may_answer(self, request: Request, answer: Answer) -> bool: ...
    def requester_left(self, request: Request) -> None: ...


class Source(Protocol):
    """Where lists come from, besides what it gives unasked."""

    def subscribe(self) -> None: ...
    def refresh(self) -> None: ...
    async def close(self) -> None: ...


class StaticSource:
    """A list that does not change: whoever asks gets it again."""

    def __init__(self, listing: Listing, listed: Callable[[Listing, ListKind], None]) -> None:
        self.listing, self.listed = listing, listed

    def subscribe(self) -> None:
        self.listed(self.listing, ListKind.FULL)

    refresh = subscribe

    async def close(self) -> None:
        return None
