"""What this sidecar may cause of further arrivals at each service, and what its server's repeats cause."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from typing import Any

from minthitch.mesh.configuration.settings import Bounds
from minthitch.mesh.limits.budget import COUNTING_S, Budget
from minthitch.mesh.limits.lease import NOT_NEEDED, Lease, LeaseClient
from minthitch.mesh.sidecar.admission import Admission

LOOK = 0.25  # seconds between two looks at the time, and
STALLED = LOOK + COUNTING_S  # between two that tell of a freeze
STALE_FOR = 0.1  # seconds after one in which what comes may have lain there for long
MOST_SERVICES = 64  # whose calls by the own server are told apart
SURPLUS = 0.05  # calls a run, beyond a whole number, that are put down to chance


def steady() -> float:
    """Seconds, read now: the loop's are those of its last turn, and this machine may have frozen since."""
    return time.monotonic_ns() / 1e9


class RetryBudget:
    """One budget for each service, the lease on their slack, and the charge of calls of repeated runs."""

    def __init__(self, bounds: Bounds, admission: Admission) -> None:
        self.bounds, self.admission = bounds, admission
        self.budgets: dict[str, Budget] = {}
        self.lease_client = LeaseClient(lambda service, now: self.of(service).allowance_spent(now))
        self.looked, self.stale_until = steady(), 0.0
        self.asked = False  # whether the last need said anything
        self.calls: dict[str, int] = {}  # by service: those that the own server has made
        self.charged: dict[str, float] = {}  # of them, those charged as calls of repeats
        admission.may_repeat = self.may_repeat
        self.timer = admission.loop.call_later(LOOK, self._look)

    def of(self, service: str) -> Budget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = self.budgets[service] = Budget(
                bounds.retry_ratio, bounds.retry_win_s, lambda now: self.lease_client.amount(service, now)
            )
        return found

    def stale(self, now: float) -> bool:
        """Whether this process may only just have woken, so that nobody knows the age of what it reads."""
        if now - self.looked > STALLED:
            self.stale_until = now + STALE_FOR
        return now < self.stale_until

    def taken(self, service: str, inner: bool) -> None:
        """A request for it came; `inner`: it may be a call of the own server."""
        now = steady()
        if inner and self._of_repeat(service):
            self.of(service).charge(now)  # danger: it counts as a repeat, and so it earns nothing
        elif not self.stale(now):
            self.of(service).record_request(now)

    # Calls of repeated runs -----------------------------------------------------------------------

    def _a_run(self, service: str) -> int:
        """Calls to it that one run at the own server makes, at most by the mean."""
        return math.ceil(self.calls[service] / max(self.admission.runs, 1) - SURPLUS)

    def _due(self, service: str) -> float:
        """Calls to it that the repeats which run now may still make."""
        a_run, house = self._a_run(service), self.admission
        due = min(a_run * house.repeated - self.charged.get(service, 0.0), a_run * house.repeats)
        self.charged[service] = a_run * house.repeated - due
        return due

    def _of_repeat(self, service: str) -> bool:
        """Danger: which run made this call can't be seen; as many as repeats may make count as theirs."""
        if not self.admission.gate.running:
            return False
        if service in self.calls or len(self.calls) < MOST_SERVICES:
            self.calls[service] = self.calls.get(service, 0) + 1
        if not self.admission.repeats or self._due(service) < 1:
            return False
        self.charged[service] += 1
        return True

    def may_repeat(self) -> bool:
        """Whether one more repeat may run at the own server, with the calls that it will make."""
        now = steady()
        return not self.stale(now) and all(
            self.of(service).remaining(now) >= self._due(service) + self._a_run(service)
            for service in self.calls
            if self._a_run(service)
        )

    # Leases ---------------------------------------------------------------------------------------

    def need(self) -> tuple[Any, ...] | None:
        """For the control node that leads, twice a second; None with nothing to ask for or give back."""
        now = steady()
        wanted = list(self._wanted(now))
        # Once more after the last: the leader is told that nothing is held any more.
        asks, self.asked = bool(wanted) or self.asked, bool(wanted)
        return tuple(self.lease_client.report(now, wanted)) if asks else None

    def _look(self) -> None:
        """It runs."""
        self.timer = self.admission.loop.call_later(LOOK, self._look)
        now = steady()
        self.stale(now)
        self.looked = now

    def _wanted(self, now: float) -> Iterator[tuple[str, int]]:
        for name, budget in self.budgets.items():
            if not budget.idle(now):
                yield name, budget.wanted(now)
            # Danger: what is not told is lent anew.
            elif self.lease_client.amounts.get(name) or budget.allowance_spent(now):
                yield name, NOT_NEEDED

    def lent(self, lease: tuple[Any, ...]) -> None:
        self.lease_client.on_lease(Lease(*lease))

    def close(self) -> None:
        self.timer.cancel()

    def status(self, service: str) -> dict[str, int]:
        """Of one service, for operators."""
        now, budget = steady(), self.of(service)
        slack, ratio = budget.allowance_spent(now), budget.ratio_spent(now)
        return {
            "requests": budget.requests(now),
            "spent": slack + ratio,
            "left": budget.remaining(now),
            "lease": budget.leased(now),
            "slack_spent": slack,
            "ratio_spent": ratio,
        }
