"""The retry budget of one sidecar at one service: how many extra attempts it may send.

An extra attempt is any beyond the first of its request: a retry or a hedged request.

The rule, over every window of T seconds: extra attempts that arrive at a service <= ratio x its requests +
allowance, where the requests are those of that window, of the one before it, or of the one half a window
before it, whichever has the most. Each extra attempt is charged to one of the two terms of that sum.

**The ratio.** Before a charge at u this sidecar makes sure that for every t >= u

    charges in (t - T - ARRIVAL_S, t] <= ratio x (own requests known at u, sent in (t - 3T/2, t - T/2])

A request that is known stays known, so the right side only grows, and what is true at u stays true whatever
follows: no more requests, or the end of this process. So for every t the charges of all sidecars sum to at
most ratio x the requests of the window half a window before t: the same window for all, and one of the rule's
three. Sidecars need not coordinate. (The window that ends at t would need requests yet to come. If each
sidecar only used its own newest window, twice the bound would be possible: one spends for the requests of the
window before, another for those of this one.) The charges of one run of the process are covered by its own
requests, which stay sent when it ends: a new run has earned nothing, and owes nothing.

**The allowance.** All sidecars' charges in any window are at most the allowance: see `limits.lease`.

A charge is made before its attempt is sent, and the attempt arrives within ARRIVAL_S: one that was queued for
longer is not started, nor one that a machine finds when it resumes (`sidecar.admission`). A request is
counted within COUNTING_S of its sending: one that this process may have left unread for longer earns nothing
(`sidecar.retry_budget`). Time is counted in spans, each included or left out, whichever is safe: of the 80
spans of a window 77 earn and 87 are charged, so that under an even load at most 0.885 of the ratio is used.

Nested calls, made by servers, are requests like those of clients. Those made by an extra attempt are charged
at the sidecar beside its server, and earn nothing: as many as an attempt there makes on average, and the
attempt is started only if the budgets there have capacity for them. A request that its client abandons stays
a request; its attempts stay charged.

Not bounded: attempts that the network delayed for longer than ARRIVAL_S (a connection is closed after 2 s
without a message), and nested calls of extra attempts beyond the average. To cover these, a fraction of the
allowance is never granted (`limits.lease.GRANTED_FRACTION`).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

ARRIVAL_S = 0.75  # from a charge until its attempt has arrived, or never will arrive
COUNTING_S = 0.25  # from when a client sends a request until it is counted
SPANS = 80  # in a window: bounds the memory, and the time that a check of all windows takes
DENIED_S = 2.0  # for which a denied attempt counts as wanted
MAX_DENIED = 50  # denied attempts that are counted


class Charge(NamedTuple):
    """The charge for one extra attempt, to the ratio or to the allowance."""

    span: int
    from_allowance: bool


class Counts:
    """Counters by span, for the newest spans."""

    def __init__(self, retained_spans: int) -> None:
        self.retained_spans = retained_spans
        self.rows: deque[list[int]] = deque()  # [span, number], in ascending order of spans

    def add(self, span: int, number: int = 1) -> None:
        """Count in a span."""
        rows = self.rows
        if rows and rows[-1][0] >= span:
            rows[-1][1] += number  # `span` was read from the clock earlier; counting a charge later is safe
        else:
            rows.append([span, number])
        self.forget(span)

    def forget(self, span: int) -> None:
        """Drop the spans that are too old when the current span is `span`."""
        while self.rows and self.rows[0][0] <= span - self.retained_spans:
            self.rows.popleft()

    def remove(self, span: int) -> None:
        """Undo one count in a span."""
        for row in reversed(self.rows):
            if row[0] == span and row[1] > 0:
                row[1] -= 1
                return

    def total(self, span: int) -> int:
        """The sum of all spans."""
        self.forget(span)
        return sum(number for _, number in self.rows)

    def sums(self, first: int, last: int) -> list[int]:
        """Running sums up to and including each span from `first` to `last`."""
        table = {row[0]: row[1] for row in self.rows}
        sums, so_far = [], sum(number for span, number in self.rows if span < first)
        for span in range(first, last + 1):
            so_far += table.get(span, 0)
            sums.append(so_far)
        return sums


class Budget:
    """Extra attempts at one service. Times are seconds of a monotonic clock read just now."""

    def __init__(self, ratio: float, window: float, leased_allowance: Callable[[float], int]) -> None:
        """`leased_allowance`: how much of the allowance is leased to this sidecar at a given time."""
        self.ratio = ratio
        self.leased_allowance = leased_allowance
        self.span = window / SPANS
        self.counting_spans = math.ceil(COUNTING_S / self.span)
        # Spans over which a charge counts, before the current one.
        self.charge_spans = SPANS + math.ceil(ARRIVAL_S / self.span)
        self.requests_sent = Counts(SPANS * 3 // 2 + 1)
        self.ratio_charges = Counts(self.charge_spans + 1)
        self.allowance_charges = Counts(self.charge_spans + 1)
        self.denied: deque[float] = deque(maxlen=MAX_DENIED)
        self.last_span = -1  # when all windows were checked last
        self.earned = 0  # result of that check, less what was charged since

    def _span_of(self, now: float) -> int:
        return int(now / self.span)

    def record_request(self, now: float) -> None:
        """A request for the service was accepted."""
        self.requests_sent.add(self._span_of(now))

    def _earned(self, now: float) -> int:
        """How many extra attempts the ratio allows now."""
        span = self._span_of(now)
        if span != self.last_span:
            self.last_span, self.earned = span, self._remaining_by_ratio(span)
        return self.earned

    def _remaining_by_ratio(self, now: int) -> int:
        """The minimum over all windows, ending now or later, in which a charge made now counts."""
        self.ratio_charges.forget(now)
        self.requests_sent.forget(now)
        first = now - SPANS * 3 // 2
        requests_sent = self.requests_sent.sums(first, now)
        ratio_charges = self.ratio_charges.sums(now - self.charge_spans, now)
        least = math.inf
        for ahead in range(self.charge_spans + 1):
            # Requests from span `ahead + 1 + counting_spans` after `first` to half a window before the end.
            high = requests_sent[min(ahead + SPANS - 1, SPANS * 3 // 2)]
            low = requests_sent[min(ahead + self.counting_spans, SPANS * 3 // 2)]
            before = ratio_charges[ahead - 1] if ahead else 0
            least = min(least, self.ratio * (high - low) - (ratio_charges[-1] - before))
        return math.floor(least + 1e-9)

    def leased(self, now: float) -> int:
        """How much of the allowance is leased to this sidecar; 0 without a valid lease."""
        return self.leased_allowance(now)

    def allowance_spent(self, now: float) -> int:
        """Charges to the allowance that still count."""
        return self.allowance_charges.total(self._span_of(now))

    def ratio_spent(self, now: float) -> int:
        """Charges to the ratio that still count."""
        return self.ratio_charges.total(self._span_of(now))

    def requests(self, now: float) -> int:
        """Requests that still earn something."""
        return self.requests_sent.total(self._span_of(now))

    def remaining(self, now: float) -> int:
        """How many extra attempts may be sent now."""
        return max(self._earned(now), 0) + max(self.leased(now) - self.allowance_spent(now), 0)

    def spend(self, now: float) -> Charge | None:
        """Charge one extra attempt; None if the budget is used up. `refund` undoes it."""
        if self._earned(now) >= 1:
            return self._charge(now, False)
        if self.leased(now) > self.allowance_spent(now):
            return self._charge(now, True)
        self.denied.append(now)
        return None

    def charge(self, now: float) -> None:
        """Charge one that can't be prevented."""
        self._charge(now, self._earned(now) < 1)

    def _charge(self, now: float, from_allowance: bool) -> Charge:
        span = self._span_of(now)
        counts = self.allowance_charges if from_allowance else self.ratio_charges
        counts.add(span)
        if not from_allowance:
            self.earned -= 1
        return Charge(counts.rows[-1][0], from_allowance)

    def refund(self, charge: Charge) -> None:
        """Undo a charge whose attempt certainly never arrived."""
        (self.allowance_charges if charge.from_allowance else self.ratio_charges).remove(charge.span)
        self.last_span = -1

    def wanted(self, now: float) -> int:
        """How much of the allowance is needed: what is in use, and what was denied."""
        while self.denied and self.denied[0] < now - DENIED_S:
            self.denied.popleft()
        return self.allowance_spent(now) + len(self.denied)

    def idle(self, now: float) -> bool:
        """Whether no request for the service came for longer than a window."""
        return not self.denied and not self.requests(now)
