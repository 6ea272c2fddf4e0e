"""Clock of the engine: monotonic nanoseconds, and timers that never fire early."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Protocol

from minthitch.interface import SECOND

MIN_DELAY_S = 0.001  # the loop's resolution
MIN_COMPACT_SIZE = 1_000  # timers; from here on, cancelled ones are removed once they are over half


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """Monotonic and wall time in ns, and timers."""

    def now(self) -> int: ...
    def wall(self) -> int: ...
    def at(self, when: int, call: Callable[[], None]) -> Timer: ...


class _HeapTimer:
    __slots__ = ("clock", "call")

    def __init__(self, clock: LoopClock, call: Callable[[], None]) -> None:
        self.clock: LoopClock = clock
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None  # frees the callback now; the heap entry is removed later
            self.clock.cancelled += 1
            self.clock.compact()


class LoopClock:
    """Clock of an asyncio loop. One loop timer, armed for the earliest deadline, serves all timers.

    A request sets three timers and most never fire; a heap entry costs a tenth of a loop timer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[tuple[int, int, _HeapTimer]] = []
        self.count = self.cancelled = 0  # timers set so far; cancelled ones still in the heap
        self.handle: asyncio.TimerHandle | None = None
        self.armed = 0  # time for which `handle` is set

    def now(self) -> int:
        return time.monotonic_ns()

    def wall(self) -> int:
        return time.time_ns()

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        """Calls at or after `when`; timers for the same time fire in the order in which they were set."""
        timer = _HeapTimer(self, call)
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, timer))
        if self.handle is None or when < self.armed:
            self._arm(when, 0.0)
        return timer

    def _arm(self, when: int, min_delay_s: float) -> None:
        if self.handle is not None:
            self.handle.cancel()
        self.armed = when
        self.handle = self.loop.call_later(max((when - self.now()) / SECOND, min_delay_s), self._run_due)

    def _run_due(self) -> None:
        self.handle, now = None, self.now()
        while self.heap and (self.heap[0][0] <= now or self.heap[0][2].call is None):
            timer = heapq.heappop(self.heap)[2]
            call, timer.call = timer.call, None
            if call is None:
                self.cancelled -= 1
                continue
            try:
                call()
            except Exception as err:  # a failing timer must not stop the others
                self.loop.call_exception_handler({"message": "a timer failed", "exception": err})
        # The loop rounds to milliseconds and may fire before the earliest timer is due: arm it again, or it
        # would never fire.
        if self.heap and (self.handle is None or self.heap[0][0] < self.armed):
            self._arm(self.heap[0][0], MIN_DELAY_S)

    def compact(self) -> None:
        """Removes cancelled timers: at a high request rate they would fill memory until they are due."""
        if len(self.heap) >= MIN_COMPACT_SIZE and 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].call is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def close(self) -> None:
        """Stops all timers."""
        if self.handle is not None:
            self.handle.cancel()
        self.heap.clear()
