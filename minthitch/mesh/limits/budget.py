"""The retry budget of one sidecar at one service: how many attempts beyond each request's first it may cause.

The rule, over every window of T seconds: further arrivals at a service <= ratio x its requests + allowance,
where the requests are those of that window, of the one before it, or of the one half a window before it,
whichever has the most. Each further arrival is charged to one of the two terms of that sum.

**The ratio.** Before a charge at u this sidecar makes sure that for every t >= u

    charges in (t - T - ARRIVAL_S, t] <= ratio x (own requests known at u, sent in (t - 3T/2, t - T/2])

A request is known for good, so the right side only grows, and what is true at u stays true whatever comes:
requests that cease, the end of this process. So for every t the sidecars' charges sum to at most ratio x
the requests of the window half a window before t: one and the same window for all, and one of the rule's
three. No sidecar needs to see another. (The window that ends at t would need requests yet to come. Each
sidecar's own newest window, without more, allows twice the bound: one spends for the requests of the window
before, another for those of this one.) The charges of one run of the process are covered by its own
requests, which stay sent when it ends: a new run has earned nothing, and owes nothing.

**The allowance.** All sidecars' charges in any window are at most the allowance: see `limits.lease`.

A charge is made before its attempt is sent, and the attempt arrives within ARRIVAL_S: what has waited for
longer is not started, nor what a machine finds when it wakes (`sidecar.admission`). A request is counted
within COUNTING_S of its sending: what this process may have left unread for longer earns nothing
(`sidecar.retry_budget`). Time is counted in spans, each included or left out, whichever is safe: of the 80
of a window 77 earn and 87 are charged, so that under an even load 0.885 of the ratio is used at most.

Calls of servers are requests as clients' are. A run that is a repeat makes calls, which are charged at the
sidecar beside its server, and earn nothing: as many as runs there make by the mean, and it is started only
where the budgets there have capacity for them. A request that its client abandons stays a request; its
attempts stay charged.

Not bounded: attempts that a network delayed for longer than ARRIVAL_S (a connection is given up after 2 s
without a message), and calls of repeats beyond the mean. For these a fraction of the allowance is never
granted (`limits.lease.GRANTED_FRACTION`).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

ARRIVAL_S = 0.75  # from a charge until its attempt has arrived, or never will
COUNTING_S = 0.25  # from a client's sending until its request is counted
SPANS = 80  # of a window: bounds the memory and the time of a check of all windows
DENIED_S = 2.0  # for which an attempt that could not be paid counts as wanted
MAX_DENIED = 50  # of these are counted


class Charge(NamedTuple):
    """One further arrival that is paid, by the ratio or from the allowance."""

    span: int
    from_allowance: bool


class Counts:
    """Numbers by span, of the newest spans."""

    def __init__(self, retained_spans: int) -> None:
        self.retained_spans = retained_spans
        self.rows: deque[list[int]] = deque()  # [span, number], spans growing

    def add(self, span: int, number: int = 1) -> None:
        """Count in a span."""
        rows = self.rows
        if rows and rows[-1][0] >= span:
            rows[-1][1] += number  # a clock that was read earlier; later is the safe side for a charge
        else:
            rows.append([span, number])
        self.forget(span)

    def forget(self, span: int) -> None:
        """Drop the spans that are too old at `span`."""
        while self.rows and self.rows[0][0] <= span - self.retained_spans:
            self.rows.popleft()

    def remove(self, span: int) -> None:
        """Count one less in a span."""
        for row in reversed(self.rows):
            if row[0] == span and row[1] > 0:
                row[1] -= 1
                return

    def total(self, span: int) -> int:
        """The sum of all spans."""
        self.forget(span)
        return sum(number for _, number in self.rows)

    def sums(self, first: int, last: int) -> list[int]:
        """Running sums up to and with each span from `first` to `last`."""
        table = {row[0]: row[1] for row in self.rows}
        sums, so_far = [], sum(number for span, number in self.rows if span < first)
        for span in range(first, last + 1):
            so_far += table.get(span, 0)
            sums.append(so_far)
        return sums


class Budget:
    """Further arrivals at one service. Times are seconds of a steady clock read just now."""

    def __init__(self, ratio: float, window: float, leased_allowance: Callable[[float], int]) -> None:
        """`leased_allowance`: how much of the allowance is leased to this sidecar at a time."""
        self.ratio = ratio
        self.leased_allowance = leased_allowance
        self.span = window / SPANS
        self.counting_spans = math.ceil(COUNTING_S / self.span)
        # Over which a charge counts, and the newest one.
        self.charge_spans = SPANS + math.ceil(ARRIVAL_S / self.span)
        self.requests_sent = Counts(SPANS * 3 // 2 + 1)
        self.ratio_charges = Counts(self.charge_spans + 1)
        self.allowance_charges = Counts(self.charge_spans + 1)
        self.denied: deque[float] = deque(maxlen=MAX_DENIED)
        self.last_span = -1  # of the last check of all windows
        self.earned = 0  # what that check left

    def _span_of(self, now: float) -> int:
        return int(now / self.span)

    def record_request(self, now: float) -> None:
        """A request for the service was accepted."""
        self.requests_sent.add(self._span_of(now))

    def _earned(self, now: float) -> int:
        """What the ratio leaves now."""
        span = self._span_of(now)
        if span != self.last_span:
            self.last_span, self.earned = span, self._remaining_by_ratio(span)
        return self.earned

    def _remaining_by_ratio(self, now: int) -> int:
        """The minimum over all windows that end from now on, as far as a charge of now counts in them."""
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
        """How much of the allowance may be used at once; 0 without a valid lease."""
        return self.leased_allowance(now)

    def allowance_spent(self, now: float) -> int:
        """Charges to the allowance that still count."""
        return self.allowance_charges.total(self._span_of(now))

    def ratio_spent(self, now: float) -> int:
        """Charges to the ratio that still count."""
        return self.ratio_charges.total(self._span_of(now))

    def requests(self, now: float) -> int:
        """Those that still earn something."""
        return self.requests_sent.total(self._span_of(now))

    def remaining(self, now: float) -> int:
        """Further arrivals that may be caused now."""
        return max(self._earned(now), 0) + max(self.leased(now) - self.allowance_spent(now), 0)

    def spend(self, now: float) -> Charge | None:
        """Charge one further arrival; None: there is none left. `refund` undoes it."""
        if self._earned(now) >= 1:
            return self._charge(now, False)
        if self.leased(now) > self.allowance_spent(now):
            return self._charge(now, True)
        self.denied.append(now)
        return None

    def charge(self, now: float) -> None:
        """Charge one that could not be prevented."""
        self._charge(now, self._earned(now) < 1)

    def _charge(self, now: float, from_allowance: bool) -> Charge:
        span = self._span_of(now)
        counts = self.allowance_charges if from_allowance else self.ratio_charges
        counts.add(span)
        if not from_allowance:
            self.earned -= 1
        return Charge(counts.rows[-1][0], from_allowance)

    def refund(self, charge: Charge) -> None:
        """Undo a charge whose attempt surely never arrived."""
        (self.allowance_charges if charge.from_allowance else self.ratio_charges).remove(charge.span)
        self.last_span = -1

    def wanted(self, now: float) -> int:
        """How much of the allowance is needed: what is in use, and what could not be paid."""
        while self.denied and self.denied[0] < now - DENIED_S:
            self.denied.popleft()
        return self.allowance_spent(now) + len(self.denied)

    def idle(self, now: float) -> bool:
        """Whether no request for the service came for longer than a window."""
        return not self.denied and not self.requests(now)
