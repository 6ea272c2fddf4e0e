"""Time for the engine: monotonic nanoseconds, and timers that never come early."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from minthitch.interface import SECOND


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """Monotonic and wall time in ns, and calls at a time."""

    def now(self) -> int: ...
    def wall(self) -> int: ...
    def at(self, when: int, call: Callable[[], None]) -> Timer: ...


class _LoopTimer:
    """Follows its call when the loop came early and it was armed again."""

    __slots__ = ("clock", "when", "call", "handle")

    def __init__(self, clock: LoopClock, when: int, call: Callable[[], None]) -> None:
        self.clock, self.when, self.call = clock, when, call
        self.handle = clock.loop.call_later(max(when - clock.now(), 0) / SECOND, self._due)

    def _due(self) -> None:
        # Danger: the loop rounds to milliseconds; a timer that comes early is ignored, and none follows.
        if self.clock.now() < self.when:
            self.handle = self.clock.loop.call_later(0.001, self._due)
        else:
            self.call()

    def cancel(self) -> None:
        self.handle.cancel()


class LoopClock:
    """The clock of an asyncio loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        return time.monotonic_ns()

    def wall(self) -> int:
        return time.time_ns()

    def at(self, when: int, call: Callable[[], None]) -> Timer:
        """Calls at or after `when`."""
        return _LoopTimer(self, when, call)
