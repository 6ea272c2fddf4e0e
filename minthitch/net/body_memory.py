"""Room for long bodies of requests: who may read on, within one sum for all. No I/O; times are given in.

A body is held whole, so that its request may be sent again where its class allows it. Where the sum is used
up, further bodies wait unread: their clients' time counts from the last byte.
"""

from __future__ import annotations

from typing import Generic, TypeVar

GROWTH_STEP_BYTES = 256 * 1024  # bytes asked for at once where a body's length is not known
OVERTAKE_WINDOW_S = 1.0  # seconds in which later bodies that fit may pass one that does not

Owner = TypeVar("Owner")


class BodyMemory(Generic[Owner]):
    """`most` bytes for all; up to `hard`, one body at a time, where none could be whole otherwise."""

    def __init__(self, limit: int, hard_limit: int) -> None:
        self.limit, self.hard_limit = limit, hard_limit
        self.held: dict[Owner, int] = {}  # bytes granted
        self.used = 0
        self.waiting: dict[Owner, tuple[int, float]] = {}  # further bytes asked for and since when, in order

    def reserve(self, owner: Owner, size: int, now: float) -> bool:
        """Whether `who` may hold `size` bytes in all; else it waits, and `grants` will name it."""
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
        """Those that may read on now."""
        granted: list[Owner] = []
        for owner, (more, since) in list(self.waiting.items()):
            if self.used + more <= self.limit:
                self._grant(owner, more)
                granted.append(owner)
            elif now >= since + OVERTAKE_WINDOW_S:
                break  # danger: small ones would pass a large one for ever
        # Danger: parts of many bodies would fill the room with none of them ever whole.
        if not granted and (first := self._largest_stuck()) is not None:
            more = self.waiting[first][0]
            if self.used + more <= self.hard_limit:
                self._grant(first, more)
                granted.append(first)
        return granted

    def _largest_stuck(self) -> Owner | None:
        """If nobody reads on, the one that has come farthest: the same one until it is whole."""
        if not self.waiting or any(owner not in self.waiting for owner in self.held):
            return None
        return max(self.waiting, key=lambda owner: self.held.get(owner, 0))

    def evict_stuck(self) -> Owner | None:
        """The one that must go, after `grants`, if nobody can read on; it holds nothing from here on."""
        first = self._largest_stuck()
        if first is not None:
            self.release(first)
        return first

    def _grant(self, owner: Owner, more: int) -> None:
        del self.waiting[owner]
        self.held[owner] = self.held.get(owner, 0) + more
        self.used += more

    def release(self, owner: Owner) -> None:
        """It holds nothing, and waits for nothing, any more."""
        self.waiting.pop(owner, None)
        self.used -= self.held.pop(owner, 0)
