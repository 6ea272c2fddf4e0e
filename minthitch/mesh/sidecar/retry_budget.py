"""The retry budgets of this sidecar, one for each service that it calls.

A retry is any attempt after a request's first. Calls that the server beside this sidecar makes while it runs
a retry are charged as retries too (minthitch.mesh.limits.budget).
"""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from typing import Any

from minthitch.mesh.configuration.settings import Bounds
from minthitch.mesh.limits.budget import COUNTING_S, Budget
from minthitch.mesh.limits.lease import NOT_NEEDED, Lease, LeaseClient
from minthitch.mesh.sidecar.admission import Admission

CHECK_INTERVAL_S = 0.25  # between two checks of the clock
STALL_THRESHOLD_S = CHECK_INTERVAL_S + COUNTING_S  # between two checks, above which this process was frozen
STALE_S = 0.1  # after such a freeze, in which messages may be old
MAX_SERVICES = 64  # for which calls of the own server are counted
MEAN_TOLERANCE = 0.05  # calls per run above a whole number that count as chance


def monotonic_now() -> float:
    """Seconds of the monotonic clock, read now.

    The loop's time is that of its current iteration, and this machine may have been frozen since.
    """
    return time.monotonic_ns() / 1e9


class RetryBudget:
    """A budget for each service, the lease on the shared allowance, and the charges for calls of retried
    runs.
    """

    def __init__(self, bounds: Bounds, admission: Admission) -> None:
        self.bounds, self.admission = bounds, admission
        self.budgets: dict[str, Budget] = {}
        self.lease_client = LeaseClient(lambda service, now: self.budget_for(service).allowance_spent(now))
        self.checked_at, self.stale_until = monotonic_now(), 0.0
        self.requested_last = False  # whether the last lease request named a service
        self.calls_made: dict[str, int] = {}  # by service: calls of the own server
        self.calls_charged: dict[str, float] = {}  # those of them that were charged as calls of retries
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
        """Whether this process may have just resumed after a freeze, and the age of messages is unknown."""
        if now - self.checked_at > STALL_THRESHOLD_S:
            self.stale_until = now + STALE_S
        return now < self.stale_until

    def record_request(self, service: str, may_be_nested: bool) -> None:
        """A request for the service came. `may_be_nested`: it may be a call of the own server."""
        now = monotonic_now()
        if may_be_nested and self._is_retry_call(service):
            self.budget_for(service).charge(now)  # counts as a retry, so it earns nothing
        elif not self.stale(now):
            self.budget_for(service).record_request(now)

    # Calls of retried runs --------------------------------------------------------------------------

    def _calls_per_run(self, service: str) -> int:
        """Mean number of calls to the service per run at the own server, rounded up."""
        return math.ceil(self.calls_made[service] / max(self.admission.runs_started, 1) - MEAN_TOLERANCE)

    def _expected_retry_calls(self, service: str) -> float:
        """Calls to the service that the retries running now may still make."""
        calls_per_run, admission = self._calls_per_run(service), self.admission
        expected = min(
            calls_per_run * admission.retries_started - self.calls_charged.get(service, 0.0),
            calls_per_run * admission.retries_running,
        )
        self.calls_charged[service] = calls_per_run * admission.retries_started - expected
        return expected

    def _is_retry_call(self, service: str) -> bool:
        """Whether a call of the own server is charged as one of a retry.

        Which run made the call is unknown, so as many calls are charged as the retries may make.
        """
        if not self.admission.gate.running:
            return False
        if service in self.calls_made or len(self.calls_made) < MAX_SERVICES:
            self.calls_made[service] = self.calls_made.get(service, 0) + 1
        if not self.admission.retries_running or self._expected_retry_calls(service) < 1:
            return False
        self.calls_charged[service] += 1
        return True

    def may_run_retry(self) -> bool:
        """Whether the budgets cover the calls that one more retry at the own server would make."""
        now = monotonic_now()
        return not self.stale(now) and all(
            self.budget_for(service).remaining(now)
            >= self._expected_retry_calls(service) + self._calls_per_run(service)
            for service in self.calls_made
            if self._calls_per_run(service)
        )

    # Leases ---------------------------------------------------------------------------------------

    def lease_request(self) -> tuple[Any, ...] | None:
        """For the leading control node, twice a second; None with nothing to request or give back."""
        now = monotonic_now()
        wanted = list(self._wanted(now))
        # One request more after the last: it tells the leader that nothing is held any more.
        asks, self.requested_last = bool(wanted) or self.requested_last, bool(wanted)
        return tuple(self.lease_client.report(now, wanted)) if asks else None

    def _on_timer(self) -> None:
        self.timer = self.admission.loop.call_later(CHECK_INTERVAL_S, self._on_timer)
        now = monotonic_now()
        self.stale(now)
        self.checked_at = now

    def _wanted(self, now: float) -> Iterator[tuple[str, int]]:
        for name, budget in self.budgets.items():
            if not budget.idle(now):
                yield name, budget.wanted(now)
            # What is not reported would be leased to another sidecar.
            elif self.lease_client.amounts.get(name) or budget.allowance_spent(now):
                yield name, NOT_NEEDED

    def on_lease(self, lease: tuple[Any, ...]) -> None:
        self.lease_client.on_lease(Lease(*lease))

    def close(self) -> None:
        self.timer.cancel()

    def status(self, service: str) -> dict[str, int]:
        """The budget of one service, for operators."""
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
