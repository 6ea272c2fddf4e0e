"""The stated budget of further attempts."""

from __future__ import annotations

import math
from collections import deque

from minthitch import interface as api


class RetryBudget:
    """The stated budget of attempts beyond each request's first, over a sliding window."""

    def __init__(self, settings: api.Settings) -> None:
        self.share, self.free = settings.budget_share, settings.budget_free
        self.window = settings.budget_window
        self.taken = deque[int]()  # when requests came in, refused ones too
        self.sent = deque[int]()  # when further attempts went out

    def left(self, now: int) -> float:
        """Further attempts that may go out now. At the window's very edge a request no longer counts."""
        if self.share is None:
            return math.inf
        while self.taken and self.taken[0] <= now - self.window:
            self.taken.popleft()
        while self.sent and self.sent[0] < now - self.window:
            self.sent.popleft()
        return self.free + self.share * len(self.taken) - len(self.sent)

    def note(self, now: int, events: deque[int]) -> None:
        if self.share is not None:
            self.left(now)  # forgets what has left the window
            events.append(now)

    def moot(self, sent: int) -> None:
        """An attempt that never left the node does not count."""
        if sent in self.sent:
            self.sent.remove(sent)
