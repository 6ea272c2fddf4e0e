"""Arrivals beyond each request's first, as one node may cause them, so that all nodes together keep the sum.

The shared rule: over any window, further arrivals at a service <= ratio x its requests + slack. A node spends
a part of ratio x the requests that it took itself, in the window that ends now, and its part of the slack.
The sum over all nodes then keeps the rule without any of them seeing it whole; PART leaves room for the
calls that a repeated run makes of its own. A new life begins with nothing spent and nothing earned. Times
are seconds.
"""

from __future__ import annotations

from collections import deque

PART = 0.5  # of ratio and slack that is spent: the rest covers calls of repeated runs, restarts and cuts
MOST_KEPT = 20_000  # times kept of one service: bounds memory at some 600 a second and node


class Budget:
    """Further arrivals at one service that this node may cause."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio, self.slack, self.window = ratio * PART, slack * PART, window
        self.taken: deque[float] = deque(maxlen=MOST_KEPT)
        self.spent: deque[float] = deque()

    def _forget(self, now: float) -> None:
        while self.taken and self.taken[0] <= now - self.window:
            self.taken.popleft()
        while self.spent and self.spent[0] < now - self.window:
            self.spent.popleft()

    def request(self, now: float) -> None:
        """A request for the service was taken."""
        self.taken.append(now)

    def left(self, now: float, nodes: int) -> float:
        """Further arrivals that may be caused now, `nodes` sharing the slack."""
        self._forget(now)
        return self.ratio * len(self.taken) + self.slack / max(nodes, 1) - len(self.spent)

    def spend(self, now: float, nodes: int) -> bool:
        """Takes one if there is one."""
        if self.left(now, nodes) < 1.0:
            return False
        self.spent.append(now)
        return True

    def charge(self, now: float) -> None:
        """One that could not be prevented: a call of a repeated run."""
        self._forget(now)
        if len(self.spent) < MOST_KEPT:
            self.spent.append(now)
