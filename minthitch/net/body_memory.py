"""A memory budget for long request bodies: whose body may be read on. No I/O; times are passed in.

A body is buffered completely, so that its request can be retried where its class allows it. Once the budget
is used up, further bodies wait unread; a request's deadline counts from its last byte, so waiting costs it
nothing.
"""

from __future__ import annotations

from typing import Generic, TypeVar

GROWTH_STEP_BYTES = 256 * 1024  # bytes reserved at once for a body of unknown length
OVERTAKE_WINDOW_S = 1.0  # seconds for which later, smaller bodies may overtake one that does not fit

Owner = TypeVar("Owner")


class BodyMemory(Generic[Owner]):
    """`limit` bytes in all, or `hard_limit` for one body at a time when otherwise none could be completed."""

    def __init__(self, limit: int, hard_limit: int) -> None:
        self.limit, self.hard_limit = limit, hard_limit
        self.held: dict[Owner, int] = {}  # bytes granted
        self.used = 0
        self.waiting: dict[Owner, tuple[int, float]] = {}  # further bytes requested and since when, in order

    def reserve(self, owner: Owner, size: int, now: float) -> bool:
        """Whether `owner` may hold `size` bytes in all; if not, it waits until `grant_waiting` returns it."""
        more = size - self.held.get(owner, 0)
        if more <= 0:
            return True
        if owner not in self.waiting and self.used + more <= self.limit and not self._is_blocked(now):
            self.held[owner] = size
            self.used += more
            return True
        self.waiting[owner] = more, self.waiting.get(owner, (0, now))[1]
        return False

    def _is_blocked(self, now: float) -> bool:
        return bool(self.waiting) and now >= next(iter(self.waiting.values()))[1] + OVERTAKE_WINDOW_S

    def grant_waiting(self, now: float) -> list[Owner]:
        """Grants what fits, in order, and returns the owners that may continue."""
        granted: list[Owner] = []
        for owner, (more, since) in list(self.waiting.items()):
            if self.used + more <= self.limit:
                self._grant(owner, more)
                granted.append(owner)
            elif now >= since + OVERTAKE_WINDOW_S:
                break  # otherwise small bodies could overtake a large one for ever
        # Partial bodies could fill the budget with none of them ever complete.
        if not granted and (first := self._largest_stuck()) is not None:
            more = self.waiting[first][0]
            if self.used + more <= self.hard_limit:
                self._grant(first, more)
                granted.append(first)
        return granted

    def _largest_stuck(self) -> Owner | None:
        """If all owners wait for more, the one that holds most: the same one until its body is complete."""
        if not self.waiting or any(owner not in self.waiting for owner in self.held):
            return None
        return max(self.waiting, key=lambda owner: self.held.get(owner, 0))

    def evict_stuck(self) -> Owner | None:
        """To be called after `grant_waiting`: if nobody can continue, drops one owner and returns it."""
        first = self._largest_stuck()
        if first is not None:
            self.release(first)
        return first

    def _grant(self, owner: Owner, more: int) -> None:
        del self.waiting[owner]
        self.held[owner] = self.held.get(owner, 0) + more
        self.used += more

    def release(self, owner: Owner) -> None:
        """Frees what the owner holds and cancels what it waits for."""
        self.waiting.pop(owner, None)
        self.used -= self.held.pop(owner, 0)
