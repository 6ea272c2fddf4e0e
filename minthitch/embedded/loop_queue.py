"""Between threads: items in batches, one wake-up for each batch, not for each item.

Safe without locks: `deque.append` and `popleft` are atomic, and the flag is lowered before the queue is
read, so that what comes behind the reading wakes anew. Two producers may both wake; that is harmless.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")
MAX_BATCH = 1_000  # items taken in one turn of the loop: a flood must not hold up its timers


class LoopQueue(Generic[T]):
    """Gives items to `handle`, on the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle: Callable[[T], None]) -> None:
        self.loop, self.handle = loop, handle
        self.items: deque[T] = deque()
        # Danger: if this were cleared after the queue is read, an item put in between would never be handled.
        self.wake_pending = False
        self.wake_ups = 0  # wake-ups so far

    def put(self, item: T) -> bool:
        """From any thread. False when the loop is closed: nobody will handle it."""
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
        self.wake_pending = (
            False  # danger: lowered behind the reading, an item in between would never be taken
        )
        for _ in range(min(len(self.items), MAX_BATCH)):
            self.handle(self.items.popleft())
        if self.items and not self.wake_pending:
            self.wake_pending = True
            self.loop.call_soon(self._run)
