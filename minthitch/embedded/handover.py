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
MOST_AT_ONCE = 1_000  # items taken in one turn of the loop: a flood must not hold up its timers


class Handover(Generic[T]):
    """Gives items to `take`, on the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, take: Callable[[T], None]) -> None:
        self.loop, self.take = loop, take
        self.items: deque[T] = deque()
        self.raised = False
        self.wakes = 0  # wake-ups so far

    def put(self, item: T) -> bool:
        """From any thread. False when the loop is closed: nobody will take it."""
        self.items.append(item)
        if self.raised:
            return True
        self.raised = True
        return self._wake()

    def _wake(self) -> bool:
        try:
            self.loop.call_soon_threadsafe(self._run)
        except RuntimeError:  # the loop is closed
            self.items.clear()
            return False
        self.wakes += 1
        return True

    def _run(self) -> None:
        self.raised = False  # danger: lowered behind the reading, an item in between would never be taken
        for _ in range(min(len(self.items), MOST_AT_ONCE)):
            self.take(self.items.popleft())
        if self.items and not self.raised:
            self.raised = True
            self.loop.call_soon(self._run)
