"""One call of the host, as the engine's asker: it hears one answer, or the error that turned it away."""

from __future__ import annotations

import asyncio
import threading
from typing import Protocol

from minthitch.embedded.handover import Handover
from minthitch.engine import Answer, Call, Request

Result = Answer | BaseException


class Holder(Protocol):
    """Who holds the tickets that are not settled."""

    def settled(self, ticket: Ticket) -> None: ...


class Ticket:
    """A held call. `answer` and `turn_away` are called on the engine's thread, once in all."""

    __slots__ = ("call", "holder", "request", "gone", "result")

    def __init__(self, call: Call, holder: Holder) -> None:
        self.call, self.holder = call, holder
        self.request: Request | None = None  # once the engine has taken it
        self.gone = False  # the host waits no more
        self.result: Result | None = None

    def answer(self, call: Call, answer: Answer) -> None:
        self._settle(answer)

    def turn_away(self, error: BaseException) -> None:
        self._settle(error)

    def _settle(self, result: Result) -> None:
        if self.result is not None:  # danger: the host must hear one answer only
            return
        self.result = result
        self.holder.settled(self)
        if not self.gone:
            self.deliver()

    def deliver(self) -> None:
        raise NotImplementedError


class LoopTicket(Ticket):
    """Waited for by a task of a host's loop."""

    __slots__ = ("mailbox", "future")

    def __init__(self, call: Call, holder: Holder, mailbox: Handover[LoopTicket]) -> None:
        super().__init__(call, holder)
        self.mailbox = mailbox
        self.future: asyncio.Future[Answer] = mailbox.loop.create_future()

    def deliver(self) -> None:
        self.mailbox.put(self)

    def resolve(self) -> None:
        """On the host's loop."""
        if self.future.done():
            return
        if isinstance(self.result, BaseException):
            self.future.set_exception(self.result)
        elif self.result is not None:
            self.future.set_result(self.result)


class ThreadTicket(Ticket):
    """Waited for by a thread without a loop."""

    __slots__ = ("done",)

    def __init__(self, call: Call, holder: Holder) -> None:
        super().__init__(call, holder)
        self.done = threading.Event()

    def deliver(self) -> None:
        self.done.set()
