"""Leases on the retry allowance of each service, granted to the sidecars by the leading control node.

An amount is how much of the allowance a sidecar may use at once: its charges of the last T + ARRIVAL_S
seconds (`limits.budget`) never exceed the amount that it has when it makes one. The control node keeps, for
each run of a sidecar, an upper bound on what that run may have, and grants only what the sum of all upper
bounds leaves. Why no window has more than the allowance:

- **Returned.** A sidecar that is granted less spends no more than that, and its next report says that it
  has max(the new amount, its charges that still count); only then does the control node lower its bound.
  What is returned was not spent in any window that is still open.
- **Expired.** A lease lasts LEASE_S seconds: at the sidecar from when it sent the report that the lease
  answers, at the control node from when that report arrived, which is later. A suspended process or a slow
  message shortens the lease at the sidecar and lengthens it at the control node. The control node keeps a
  bound CLOCK_MARGIN_S + T + ARRIVAL_S longer than that, until what was spent last counts in no window. A
  later run at the same address proves that the one before has ended.
- **Another leader.** A control node grants only while it is certain to lead, so its leases began before any
  later leader's term. A sidecar that knows of a later leader accepts no lease of an earlier one, and its
  reports name the newest term it knows. The new leader counts what such reports say as leased, which sums to
  at most the allowance, and redistributes only that, until every lease that it can't know of has expired.
  Before the very first leader nothing was leased.
- **A new run** of a sidecar has nothing; a lease answers the report of one run.

Only monotonic clocks are used, each machine's own; CLOCK_MARGIN_S covers the difference in their rates.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from minthitch.mesh.limits.budget import ARRIVAL_S

LEASE_S = 6.0  # long enough to outlast a short partition of the control nodes or a change of leader
CLOCK_MARGIN_S = 0.5  # by which two monotonic clocks may drift apart over the life of a bound
GRANTED_FRACTION = 0.9  # of the allowance: the rest covers what `limits.budget` lists as not bounded
RECENT_REPORT_S = 2.5  # a sidecar whose last report is older takes no part in the distribution
NOT_NEEDED = -1  # as wanted amount: the sidecar needs none, not even a share of what is left over
MAX_ROWS = 64  # services in one report
MAX_SUBSCRIBERS = 20_000  # runs of sidecars that are known
MAX_REPORTS = 64  # whose sending times a sidecar remembers
MAX_PENDING = 32  # leases to one sidecar that no report has confirmed yet

ReportRow = tuple[str, int, int]  # service, amount leased, amount wanted or NOT_NEEDED
LeaseRow = tuple[str, int]  # service, amount


class Report(NamedTuple):
    """A sidecar's report: the newest term it knows, its number, the newest lease taken, the amounts."""

    term: int
    report_number: int
    lease_number: int
    rows: tuple[ReportRow, ...]


class Lease(NamedTuple):
    """The leader's lease: term, number, the report that it answers, amounts that change."""

    term: int
    number: int
    report_number: int
    rows: tuple[LeaseRow, ...]


class LeaseClient:
    """The sidecar's side. Times are seconds of its monotonic clock read just now."""

    def __init__(self, spent: Callable[[str, float], int]) -> None:
        """`spent`: charges to the allowance of a service that still count."""
        self.term = 0
        self.lease_number = 0
        self.report_number = 0
        self.amounts: dict[str, int] = {}
        self._spent = spent
        self._sent_at: dict[int, float] = {}  # by report number
        self._expires_at = float("-inf")

    def amount(self, service: str, now: float) -> int:
        """How much of the service's allowance is leased: 0 once the lease has expired."""
        return self.amounts.get(service, 0) if now < self._expires_at else 0

    def report(self, now: float, wanted: Iterable[tuple[str, int]]) -> Report:
        """The next report to the leader."""
        self.report_number += 1
        self._sent_at[self.report_number] = now
        self._sent_at.pop(self.report_number - MAX_REPORTS, None)
        if now >= self._expires_at:  # nothing more can be spent before the next lease
            self.amounts.clear()
        rows = tuple(
            (name, max(self.amounts.get(name, 0), self._spent(name, now)), amount) for name, amount in wanted
        )[:MAX_ROWS]
        return Report(self.term, self.report_number, self.lease_number, rows)

    def on_term(self, term: int) -> None:
        """A leader of `term` is known.

        A late lease of an earlier leader must not be taken: the new leader does not count it.
        """
        if term > self.term:
            self.term = term
            self.lease_number = 0

    def on_lease(self, lease: Lease) -> None:
        """The leader has answered a report."""
        self.on_term(lease.term)
        sent_at = self._sent_at.get(lease.report_number)
        if lease.term < self.term or lease.number <= self.lease_number or sent_at is None:
            return
        self.lease_number = lease.number
        for name, amount in lease.rows:
            self.amounts[name] = amount
        self._expires_at = max(self._expires_at, sent_at + LEASE_S)


class _Subscriber:
    """One run of a sidecar, as the leader knows it."""

    __slots__ = (
        "expires_at",
        "last_report_at",
        "leased",
        "wanted",
        "lease_number",
        "pending",
        "next_rows",
        "report_number",
        "answered_number",
    )

    def __init__(self) -> None:
        self.expires_at = self.last_report_at = 0.0
        self.leased: dict[str, int] = {}
        self.wanted: dict[str, int] = {}
        self.lease_number = 0
        self.report_number = 0
        self.answered_number = 0
        self.pending: list[tuple[int, tuple[LeaseRow, ...]]] = []  # leases that no report has confirmed yet
        self.next_rows: dict[str, int] = {}  # amounts to be granted with the next lease

    def upper_bound(self, service: str) -> int:
        """The largest amount that this run may have."""
        largest = max(self.leased.get(service, 0), self.next_rows.get(service, 0))
        for _, rows in self.pending:
            for name, amount in rows:
                if name == service and amount > largest:
                    largest = amount
        return largest

    def on_report(self, now: float, report: Report) -> None:
        """Update from a newer report."""
        self.report_number = report.report_number
        self.last_report_at = now
        self.expires_at = now + LEASE_S
        self.leased = {name: leased for name, leased, _ in report.rows[:MAX_ROWS]}
        self.wanted = {name: wanted for name, _, wanted in report.rows[:MAX_ROWS]}
        self.pending = [lease for lease in self.pending if lease[0] > report.lease_number]


class LeaseGranter:
    """The control node's side. Times are seconds of its monotonic clock read just now."""

    def __init__(self, allowance: float, window: float) -> None:
        """`allowance`: that of each service; `window`: seconds over which charges count."""
        self.subscribers: dict[tuple[str, int], _Subscriber] = {}  # by address and epoch
        self._allowance = int(allowance * GRANTED_FRACTION)
        self._retention_s = CLOCK_MARGIN_S + window + ARRIVAL_S
        self._term = -1
        self._unknown_until = 0.0
        self._initially_leased: dict[str, int] = {}  # by service: what the first reports to this leader said

    def on_leadership(self, now: float, term: int, *, is_first_leader: bool) -> None:
        """This node leads in `term`. `is_first_leader`: no other has ever led."""
        if term != self._term:
            self._term = term
            self._unknown_until = now if is_first_leader else now + LEASE_S + self._retention_s
            self.subscribers = {}
            self._initially_leased = {}

    def on_report(self, now: float, ip: str, epoch: int, report: Report) -> None:
        """A run of a sidecar has reported."""
        if report.term != self._term:
            return
        subscriber = self.subscribers.get((ip, epoch))
        if subscriber is None:
            if len(self.subscribers) >= MAX_SUBSCRIBERS:
                return
            subscriber = self._add_subscriber(now, ip, epoch, report)
        elif report.report_number <= subscriber.report_number:
            return
        subscriber.on_report(now, report)

    def _add_subscriber(self, now: float, ip: str, epoch: int, report: Report) -> _Subscriber:
        subscriber = self.subscribers[ip, epoch] = _Subscriber()
        for name, leased, _ in report.rows[:MAX_ROWS]:
            self._initially_leased[name] = self._initially_leased.get(name, 0) + leased
        for (other_ip, other_epoch), other in self.subscribers.items():
            if other_ip == ip and other_epoch < epoch:
                other.expires_at = min(other.expires_at, now)
        return subscriber

    def distribute(self, now: float) -> None:
        """Recalculate how much each sidecar gets; the next leases carry the result."""
        expired = [key for key, one in self.subscribers.items() if one.expires_at + self._retention_s < now]
        for key in expired:
            del self.subscribers[key]
        for subscriber in self.subscribers.values():
            subscriber.next_rows = {}
        oldest = now - RECENT_REPORT_S
        recent = [one for one in self.subscribers.values() if one.last_report_at >= oldest]
        for service in sorted({name for subscriber in recent for name in subscriber.leased}):
            self._distribute(now, service, [one for one in recent if service in one.leased])

    def _available(self, now: float, service: str) -> int:
        """How much may be leased in total.

        After a change of leader the rest may be leased to runs that have not reported yet.
        """
        if now >= self._unknown_until:
            return self._allowance
        return min(self._initially_leased.get(service, 0), self._allowance)

    def _distribute(self, now: float, service: str, recent: list[_Subscriber]) -> None:
        bounds = {id(one): one.upper_bound(service) for one in self.subscribers.values()}
        bounds_of_recent = sum(bounds[id(one)] for one in recent)
        free = self._available(now, service) - sum(bounds.values())
        targets = _targets(max(free + bounds_of_recent, 0), [one.wanted.get(service, 0) for one in recent])
        by_need = sorted(zip(recent, targets, strict=True), key=lambda pair: -pair[0].wanted[service])
        for subscriber, target in by_need:
            bound = bounds[id(subscriber)]
            if target < subscriber.leased[service]:
                subscriber.next_rows[service] = target
            elif target > bound and free > 0:
                more = min(target - bound, free)
                free -= more
                subscriber.next_rows[service] = bound + more

    def grant(self, ip: str, epoch: int) -> Lease | None:
        """The lease for that run of a sidecar, while this node is certain to lead; None if nothing is new."""
        subscriber = self.subscribers.get((ip, epoch))
        if subscriber is None:
            return None
        if subscriber.report_number == subscriber.answered_number and not subscriber.next_rows:
            return None
        subscriber.lease_number += 1
        subscriber.answered_number = subscriber.report_number
        rows: tuple[LeaseRow, ...] = ()
        if subscriber.next_rows and len(subscriber.pending) < MAX_PENDING:
            rows = tuple(subscriber.next_rows.items())
            subscriber.pending.append((subscriber.lease_number, rows))
            subscriber.next_rows = {}
        return Lease(self._term, subscriber.lease_number, subscriber.report_number, rows)

    def status(self) -> dict[str, dict[str, int]]:
        """By service: what all runs together may have, and what they want."""
        subscribers = self.subscribers.values()
        names = {name for subscriber in subscribers for name in subscriber.leased}
        return {
            name: {
                "lent": sum(subscriber.upper_bound(name) for subscriber in subscribers),
                "wanted": sum(max(subscriber.wanted.get(name, 0), 0) for subscriber in subscribers),
            }
            for name in sorted(names)
        }


def _targets(available: int, wanted: list[int]) -> list[int]:
    """The amount for each: what it wants and an equal share of the rest; proportional if that is too much."""
    total = sum(max(amount, 0) for amount in wanted)
    if total > available:
        return [available * max(amount, 0) // total for amount in wanted]
    takers = sum(amount != NOT_NEEDED for amount in wanted)
    even, remainder = divmod(available - total, max(takers, 1))
    targets = []
    for amount in wanted:
        targets.append(0 if amount == NOT_NEEDED else amount + even + (remainder > 0))
        remainder -= amount != NOT_NEEDED
    return targets
