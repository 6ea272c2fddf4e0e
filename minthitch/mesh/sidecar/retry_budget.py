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

CHECK_INTERVAL_S = 0.25  # seconds between two looks at the time, and
STALL_THRESHOLD_S = CHECK_INTERVAL_S + COUNTING_S  # between two that tell of a freeze
STALE_S = 0.1  # seconds after one in which what comes may have lain there for long
MAX_SERVICES = 64  # whose calls by the own server are told apart
MEAN_TOLERANCE = 0.05  # calls a run, beyond a whole number, that are put down to chance


def monotonic_now() -> float:
    """Seconds, read now: the loop's are those of its last turn, and this machine may have frozen since."""
    return time.monotonic_ns() / 1e9


class RetryBudget:
    """One budget for each service, the lease on their slack, and the charge of calls of repeated runs."""

    def __init__(self, bounds: Bounds, admission: Admission) -> None:
        self.bounds, self.admission = bounds, admission
        self.budgets: dict[str, Budget] = {}
        self.lease_client = LeaseClient(lambda service, now: self.budget_for(service).allowance_spent(now))
        self.checked_at, self.stale_until = monotonic_now(), 0.0
        self.requested_last = False  # whether the last need said anything
        self.calls_made: dict[str, int] = {}  # by service: those that the own server has made
        self.calls_charged: dict[str, float] = {}  # of them, those charged as calls of repeats
        admission.may_run_retry = self.may_run_retry
        self.timer = admission.loop.call_later(CHECK_INTERVAL_S, self._on_timer)

    def budget_for(self, service: str) -> Budget:
        found = self.budgets.get(service)
        if found is None:
            bounds = self.bounds
            found = self.budgets[service] = Budget(
                bounds.retry_ratio, bounds.retry_win_s, lambda now: self.lease_client.amount(service, now)
            )
        return found

    def stale(self, now: float) -> bool:
        """Whether this process may only just have woken, so that nobody knows the age of what it reads."""
        if now - self.checked_at > STALL_THRESHOLD_S:
            self.stale_until = now + STALE_S
        return now < self.stale_until

    def record_request(self, service: str, may_be_nested: bool) -> None:
        """A request for it came; `inner`: it may be a call of the own server."""
        now = monotonic_now()
        if may_be_nested and self._is_retry_call(service):
            self.budget_for(service).charge(now)  # danger: it counts as a repeat, and so it earns nothing
        elif not self.stale(now):
            self.budget_for(service).request(now)

    # Calls of repeated runs -----------------------------------------------------------------------

    def _calls_per_run(self, service: str) -> int:
        """Calls to it that one run at the own server makes, at most by the mean."""
        return math.ceil(self.calls_made[service] / max(self.admission.runs_started, 1) - MEAN_TOLERANCE)

    def _expected_retry_calls(self, service: str) -> float:
        """Calls to it that the repeats which run now may still make."""
        calls_per_run, admission = self._calls_per_run(service), self.admission
        expected = min(
            calls_per_run * admission.retries_started - self.calls_charged.get(service, 0.0),
            calls_per_run * admission.retries_running,
        )
        self.calls_charged[service] = calls_per_run * admission.retries_started - expected
        return expected

    def _is_retry_call(self, service: str) -> bool:
        """Danger: which run made this call can't be seen; as many as repeats may make count as theirs."""
        if not self.admission.gate.running:
            return False
        if service in self.calls_made or len(self.calls_made) < MAX_SERVICES:
            self.calls_made[service] = self.calls_made.get(service, 0) + 1
        if not self.admission.retries_running or self._expected_retry_calls(service) < 1:
            return False
        self.calls_charged[service] += 1
        return True

    def may_run_retry(self) -> bool:
        """Whether one more repeat may run at the own server, with the calls that it will make."""
        now = monotonic_now()
        return not self.stale(now) and all(
            self.budget_for(service).remaining(now)
            >= self._expected_retry_calls(service) + self._calls_per_run(service)
            for service in self.calls_made
            if self._calls_per_run(service)
        )

    # Leases ---------------------------------------------------------------------------------------

    def lease_request(self) -> tuple[Any, ...] | None:
        """For the control node that leads, twice a second; None with nothing to ask for or give back."""
        now = monotonic_now()
        wanted = list(self._wanted(now))
        # Once more after the last: the leader is told that nothing is held any more.
        asks, self.requested_last = bool(wanted) or self.requested_last, bool(wanted)
        return tuple(self.lease_client.report(now, wanted)) if asks else None

    def _on_timer(self) -> None:
        """It runs."""
        self.timer = self.admission.loop.call_later(CHECK_INTERVAL_S, self._on_timer)
        now = monotonic_now()
        self.stale(now)
        self.checked_at = now

    def _wanted(self, now: float) -> Iterator[tuple[str, int]]:
        for name, budget in self.budgets.items():
            if not budget.idle(now):
                yield name, budget.wanted(now)
            # Danger: what is not told is lent anew.
            elif self.lease_client.amounts.get(name) or budget.allowance_spent(now):
                yield name, NOT_NEEDED

    def on_lease(self, lease: tuple[Any, ...]) -> None:
        self.lease_client.on_lease(Lease(*lease))

    def close(self) -> None:
        self.timer.cancel()

    def status(self, service: str) -> dict[str, int]:
        """Of one service, for operators."""
        now, budget = monotonic_now(), self.budget_for(service)
        slack, ratio = budget.allowance_spent(now), budget.ratio_spent(now)
        return {
            "requests": budget.requests(now),
            "spent": slack + ratio,
            "left": budget.remaining(now),
            "lease": budget.leased(now),
            "slack_spent": slack,
            "ratio_spent": ratio,
        }
