"""Room for long bodies of requests: who may read on, within one sum for all. No I/O; times are given in.

A body is held whole, so that its request may be sent again where its class allows it. Where the sum is used
up, further bodies wait unread: their clients' time counts from the last byte.
"""

from __future__ import annotations

from typing import Generic, TypeVar

STEP = 256 * 1024  # bytes asked for at once where a body's length is not known
PASSED_FOR = 1.0  # seconds in which later bodies that fit may pass one that does not

Who = TypeVar("Who")


class Room(Generic[Who]):
    """`most` bytes for all; up to `hard`, one body at a time, where none could be whole otherwise."""

    def __init__(self, most: int, hard: int) -> None:
        self.most, self.hard = most, hard
        self.held: dict[Who, int] = {}  # bytes granted
        self.used = 0
        self.waiting: dict[Who, tuple[int, float]] = {}  # further bytes asked for and since when, in order

    def ask(self, who: Who, size: int, now: float) -> bool:
        """Whether `who` may hold `size` bytes in all; else it waits, and `grants` will name it."""
        more = size - self.held.get(who, 0)
        if more <= 0:
            return True
        if who not in self.waiting and self.used + more <= self.most and not self._blocked(now):
            self.held[who] = size
            self.used += more
            return True
        self.waiting[who] = more, self.waiting.get(who, (0, now))[1]
        return False

    def _blocked(self, now: float) -> bool:
        return bool(self.waiting) and now >= next(iter(self.waiting.values()))[1] + PASSED_FOR

    def grants(self, now: float) -> list[Who]:
        """Those that may read on now."""
        granted: list[Who] = []
        for who, (more, since) in list(self.waiting.items()):
            if self.used + more <= self.most:
                self._grant(who, more)
                granted.append(who)
            elif now >= since + PASSED_FOR:
                break  # danger: small ones would pass a large one for ever
        # Danger: parts of many bodies would fill the room with none of them ever whole.
        if not granted and (first := self._stuck()) is not None:
            more = self.waiting[first][0]
            if self.used + more <= self.hard:
                self._grant(first, more)
                granted.append(first)
        return granted

    def _stuck(self) -> Who | None:
        """If nobody reads on, the one that has come farthest: the same one until it is whole."""
        if not self.waiting or any(who not in self.waiting for who in self.held):
            return None
        return max(self.waiting, key=lambda who: self.held.get(who, 0))

    def turn_away(self) -> Who | None:
        """The one that must go, after `grants`, if nobody can read on; it holds nothing from here on."""
        first = self._stuck()
        if first is not None:
            self.release(first)
        return first

    def _grant(self, who: Who, more: int) -> None:
        del self.waiting[who]
        self.held[who] = self.held.get(who, 0) + more
        self.used += more

    def release(self, who: Who) -> None:
        """It holds nothing, and waits for nothing, any more."""
        self.waiting.pop(who, None)
        self.used -= self.held.pop(who, 0)
