"""What this vise may cause of further arrivals at each service, and what its server's repeats cause."""

from __future__ import annotations

from minthitch.clamp.budget import Budget
from minthitch.press.boot import Bounds
from minthitch.vise.gatehouse import Gatehouse


class Purse:
    """One budget for each service."""

    def __init__(self, bounds: Bounds, gatehouse: Gatehouse) -> None:
        self.bounds, self.gatehouse = bounds, gatehouse
        self.budgets: dict[str, Budget] = {}
        self.nested = 0.0  # calls of repeated runs that are not charged yet, in parts

    def of(self, service: str) -> Budget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = self.budgets[service] = Budget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_win_s)
        return found

    def taken(self, service: str, now: float) -> None:
        """A request for it came, of a client or of the own server."""
        self.of(service).request(now)
        self._charge_nested(service, now)

    def _charge_nested(self, service: str, now: float) -> None:
        """Danger: calls of a repeated run are repeats too, and which run made this one can't be seen."""
        running = self.gatehouse.gate.running
        if self.gatehouse.repeats > 0 and running > 0:
            self.nested += self.gatehouse.repeats / running
            if self.nested >= 1.0:
                self.nested -= 1.0
                self.of(service).charge(now)
