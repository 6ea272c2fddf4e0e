"""One call of the host, as the engine's asker: it hears one answer, or the error that turned it away."""

from __future__ import annotations

import asyncio
import threading
from typing import Protocol

from minthitch.embedded.loop_queue import LoopQueue
from minthitch.engine import Answer, Call, Request

Result = Answer | BaseException


class Owner(Protocol):
    """Who holds the tickets that are not settled."""

    def discard(self, pending: PendingCall) -> None: ...


class PendingCall:
    """A held call. `answer` and `fail` are called on the engine's thread, once in all."""

    __slots__ = ("call", "owner", "request", "abandoned", "result")

    def __init__(self, call: Call, owner: Owner) -> None:
        self.call, self.owner = call, owner
        self.request: Request | None = None  # once the engine has taken it
        self.abandoned = False  # the host waits no more
        self.result: Result | None = None

    def answer(self, call: Call, answer: Answer) -> None:
        self._settle(answer)

    def fail(self, error: BaseException) -> None:
        self._settle(error)

    def _settle(self, result: Result) -> None:
        if self.result is not None:  # danger: the host must hear one answer only
            return
        self.result = result
        self.owner.discard(self)
        if not self.abandoned:
            self.deliver()

    def deliver(self) -> None:
        raise NotImplementedError


class LoopPendingCall(PendingCall):
    """Waited for by a task of a host's loop."""

    __slots__ = ("result_queue", "future")

    def __init__(self, call: Call, owner: Owner, result_queue: LoopQueue[LoopPendingCall]) -> None:
        super().__init__(call, owner)
        self.result_queue = result_queue
        self.future: asyncio.Future[Answer] = result_queue.loop.create_future()

    def deliver(self) -> None:
        self.result_queue.put(self)

    def resolve(self) -> None:
        """On the host's loop."""
        if self.future.done():
            return
        if isinstance(self.result, BaseException):
            self.future.set_exception(self.result)
        elif self.result is not None:
            self.future.set_result(self.result)


class ThreadPendingCall(PendingCall):
    """Waited for by a thread without a loop."""

    __slots__ = ("done",)

    def __init__(self, call: Call, owner: Owner) -> None:
        super().__init__(call, owner)
        self.done = threading.Event()

    def deliver(self) -> None:
        self.done.set()
