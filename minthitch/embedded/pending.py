"""A call that the host waits for. It receives exactly one answer or one error."""

from __future__ import annotations

import asyncio
import threading
from typing import Protocol

from minthitch.embedded.loop_queue import LoopQueue
from minthitch.engine import Answer, Call, Request

Result = Answer | BaseException


class Owner(Protocol):
    """Keeps the calls that are not settled yet."""

    def discard(self, pending: PendingCall) -> None: ...


class PendingCall:
    """A held call. The engine's thread calls either `answer` or `fail`; only the first result counts."""

    __slots__ = ("call", "owner", "request", "abandoned", "result")

    def __init__(self, call: Call, owner: Owner) -> None:
        self.call, self.owner = call, owner
        self.request: Request | None = None  # set once the engine has admitted the call
        self.abandoned = False  # the host no longer waits
        self.result: Result | None = None

    def answer(self, call: Call, answer: Answer) -> None:
        self._settle(answer)

    def fail(self, error: BaseException) -> None:
        self._settle(error)

    def _settle(self, result: Result) -> None:
        if self.result is not None:  # the host must get one result only
            return
        self.result = result
        self.owner.discard(self)
        if not self.abandoned:
            self.deliver()

    def deliver(self) -> None:
        raise NotImplementedError


class LoopPendingCall(PendingCall):
    """Awaited by a task on one of the host's loops."""

    __slots__ = ("result_queue", "future")

    def __init__(self, call: Call, owner: Owner, result_queue: LoopQueue[LoopPendingCall]) -> None:
        super().__init__(call, owner)
        self.result_queue = result_queue
        self.future: asyncio.Future[Answer] = result_queue.loop.create_future()

    def deliver(self) -> None:
        self.result_queue.put(self)

    def resolve(self) -> None:
        """Set the future's result. Runs on the host's loop."""
        if self.future.done():
            return
        if isinstance(self.result, BaseException):
            self.future.set_exception(self.result)
        elif self.result is not None:
            self.future.set_result(self.result)


class ThreadPendingCall(PendingCall):
    """A pending call whose caller blocks its thread until the result has come."""

    __slots__ = ("done",)

    def __init__(self, call: Call, owner: Owner) -> None:
        super().__init__(call, owner)
        self.done = threading.Event()

    def deliver(self) -> None:
        self.done.set()
