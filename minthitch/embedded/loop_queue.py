"""A queue from any thread to an event loop, with one wake-up for each batch of items.

Safe without locks: `deque.append` and `popleft` are atomic, and the flag is cleared before the queue is
read, so an item added after the read wakes the loop again. Two producers may both wake it; that is harmless.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")
MAX_BATCH = 1_000  # items handled in one loop iteration, so that a flood does not delay the loop's timers


class LoopQueue(Generic[T]):
    """Passes items to `handle`, which runs on the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle: Callable[[T], None]) -> None:
        self.loop, self.handle = loop, handle
        self.items: deque[T] = deque()
        self.wake_pending = False
        self.wake_ups = 0  # wake-ups so far

    def put(self, item: T) -> bool:
        """Add an item, from any thread. False when the loop is closed and the item will never be handled."""
        self.items.append(item)
        if self.wake_pending:
            return True
        self.wake_pending = True
        return self._wake()

    def _wake(self) -> bool:
        try:
            self.loop.call_soon_threadsafe(self._run)
        except RuntimeError:  # the loop is closed
            self.items.clear()
            return False
        self.wake_ups += 1
        return True

    def _run(self) -> None:
        # If this were cleared after the queue is read, an item added in between would be lost.
        self.wake_pending = False
        for _ in range(min(len(self.items), MAX_BATCH)):
            self.handle(self.items.popleft())
        if self.items and not self.wake_pending:
            self.wake_pending = True
            self.loop.call_soon(self._run)
