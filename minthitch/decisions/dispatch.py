"""Sending requests, holding them until a server may take them, and answering them without a server."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.decisions.admission import CONGESTION_LOW, QUEUEING_SLOWDOWN
from minthitch.decisions.choice import MAX_COPIES, Choice
from minthitch.decisions.requests import Attempt, Request
from minthitch.decisions.servers import Server

OVERDUE_FACTOR = 3.0  # after this multiple of its expected latency one more copy races an attempt in flight
HOLD_INTERVAL = api.SECOND // 10  # a held request is tried again after this
RETRY_AFTER = 0.04, 0.12  # range of the pause told to a refused client, in aims: a retry may be in time


class Dispatch(Choice):
    """Which requests are sent, which are held, and which are answered by the node itself."""

    def _dispatch(self, now: int, request: Request, timer_set: bool = False) -> None:
        """Send to the cheapest set of servers that the request's class allows; hold if there is none.

        While attempts are in flight, this sends one more copy, which races those that are overdue.
        `timer_set`: the request is held, and its timer is already set.
        """
        spec, tried, earlier, allow = request.spec, request.attempts, request.may_have_run, self.settings
        attempts_left = allow.max_attempts - len(tried) if now < self._answer_by(request) else 0
        extra = int(min(self.extra_attempts, self.budget.remaining(now)))
        pending = any(a.status is None for a in tried)
        races = spec.effect is not api.Effect.UNSAFE and allow.may_duplicate and allow.may_cancel
        if attempts_left <= 0 or (earlier and spec.effect is api.Effect.UNSAFE) or (tried and extra < 1):
            return None if pending else self._refuse_or_fail(request)
        if pending and (not races or self.slowdown >= QUEUEING_SLOWDOWN or self.congestion >= CONGESTION_LOW):
            return None  # when queues build, a copy only lengthens them
        max_size = 1 if pending or not races else min(MAX_COPIES, attempts_left, extra + (not tried))
        base, load = self._base_latency(now, request.cls), self._load(now)
        pool = self._eligible(now)
        if earlier and spec.effect is api.Effect.KEYED and now >= earlier.sent_at + spec.window:
            return None if pending else self._refuse_or_fail(request)
        pool = self._sample_permitted(now, request, pool, pending)
        if not pool:
            return None if pending else self._hold(now, request, timer_set)
        for _price, _chance, server in self._choose(now, request, pool, max_size, base * load):
            self._send(now, request, server, base, load)
        if races:
            # The set was right only when it was sent: a server or connection may have gone silent since.
            overdue_after = int(OVERDUE_FACTOR * base * load)
            request.overdue_at = now + overdue_after
            if request.overdue_at < self._answer_by(request):
                self.actions.append(api.SetTimer(request.id << 1 | 1, overdue_after))
        return None

    def _hold(self, now: int, request: Request, timer_set: bool) -> None:
        """No server may take the request now: hold it, unless half of its time is over by the next try."""
        if not request.may_have_run and now + HOLD_INTERVAL >= request.half_time:
            return self._refuse_or_fail(request)  # early enough that the client may still try again
        self.held[request.cls][request.id], request.held = request, True
        return None if timer_set else self.actions.append(api.SetTimer(request.id << 1 | 1, HOLD_INTERVAL))

    def _dispatch_held(self, now: int, cls: int = -1) -> None:
        """While all servers are cold, send held requests, the most valuable class first.

        With `cls`, only those of classes worth more than it.
        """
        if now >= self.first_warm_at or not any(self.held):
            return
        values = self._class_values(now)
        while any(self.held):
            best = max(range(len(values)), key=lambda i: values[i] if self.held[i] else -1.0)
            if cls >= 0 and values[best] <= values[cls]:
                return
            first = next(iter(self.held[best].values()))
            self._dispatch(now, first, timer_set=True)
            if first.held:
                return

    def _send(self, now: int, request: Request, server: Server, base: float, load: float) -> None:
        # Copies and retries are paid for by answers only: every tier multiplies them, up to a retry storm.
        if request.attempts:
            self.extra_attempts -= 1.0
            self.budget.note(now, self.budget.extra_sent_at)
        attempt = Attempt(server, now, base, base * load)
        self._release(request)
        request.attempts.append(attempt)
        self._count_in_flight(attempt, 1)
        if server.warmth(now, self.settings) < 1.0:
            server.credit -= 1.0
            server.recent_sends.note(now, 0.0, True, False)
        self.actions.append(api.Send(request.id, server.entry.server))

    def _count_in_flight(self, attempt: Attempt, by: int) -> None:
        """Add to the counts and sums over attempts in flight, whose ages count as time waited."""
        server = attempt.server
        server.in_flight += by
        self.total_in_flight += by
        server.inverse_base_sum += by / attempt.base_latency
        server.scaled_sent_sum += by * attempt.sent_at / attempt.base_latency

    def _release(self, request: Request) -> None:
        if request.held:
            del self.held[request.cls][request.id]
            request.held = False

    def _cancel_others(self, request: Request, winner: int) -> None:
        for index, attempt in enumerate(request.attempts):
            if attempt.status is None and index != winner and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.id, index))

    def _refuse_or_fail(self, request: Request) -> None:
        """Answer a request for which no server did: refuse it only if a retry is harmless."""
        if request.repeat_safe or request.may_have_run is None:
            # The pause is random, or all clients refused together would come back together, while the queues
            # are as long as before.
            pause = self.random.uniform(*RETRY_AFTER) * request.spec.aim if self.settings.retry_after else 0.0
            self.actions.append(api.Refuse(request.id, min(int(pause), self.settings.max_retry_after)))
        else:
            self.actions.append(api.Fail(request.id))
        self._cancel_others(request, -1)
        self._close(request)

    def _close(self, request: Request) -> None:
        """Send nothing more for the request; it is kept only until its last attempt has ended."""
        request.closed = True
        self._release(request)
        if all(a.status is not None for a in request.attempts):
            del self.requests[request.id]
