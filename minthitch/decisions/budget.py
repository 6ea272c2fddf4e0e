"""The retry budget from the settings."""

from __future__ import annotations

import math
from collections import deque

from minthitch import interface as api


class RetryBudget:
    """Limits attempts beyond each request's first, retries and copies alike, over a sliding window."""

    def __init__(self, settings: api.Settings) -> None:
        self.share, self.free = settings.budget_share, settings.budget_free
        self.window = settings.budget_window
        self.arrived_at = deque[int]()  # arrival times of requests, refused ones included
        self.extra_sent_at = deque[int]()  # send times of attempts beyond a first

    def remaining(self, now: int) -> float:
        """Extra attempts that may be sent now. A request exactly one window old no longer counts."""
        if self.share is None:
            return math.inf
        while self.arrived_at and self.arrived_at[0] <= now - self.window:
            self.arrived_at.popleft()
        while self.extra_sent_at and self.extra_sent_at[0] < now - self.window:
            self.extra_sent_at.popleft()
        return self.free + self.share * len(self.arrived_at) - len(self.extra_sent_at)

    def note(self, now: int, times: deque[int]) -> None:
        if self.share is not None:
            self.remaining(now)  # drops times that have left the window
            times.append(now)

    def refund(self, sent_at: int) -> None:
        """An attempt that never left the node does not count."""
        if sent_at in self.extra_sent_at:
            self.extra_sent_at.remove(sent_at)
