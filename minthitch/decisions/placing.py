"""Sending, holding and settling requests."""

from __future__ import annotations

from minthitch import interface as api
from minthitch.decisions.admission import CROWD_LEAST, GROWTH_MOST
from minthitch.decisions.choice import SET_MOST, Choice
from minthitch.decisions.requests import Attempt, Request
from minthitch.decisions.servers import Server

OVERDUE = 3.0  # a call still out after this multiple of what it should take is raced by one more copy
HOLD = api.SECOND // 10  # a request that no server may take now is tried again after this
BACK_PART = 0.04, 0.12  # a refused client comes back after this part of its aim: it may still be in time


class Placing(Choice):
    """What goes out, what waits until a server may take it, and what is answered here."""

    def _dispatch(self, now: int, request: Request, timed: bool = False) -> None:
        """Send to the cheapest set of servers that the request's class allows; hold if there is none.

        While calls of it are out, this is one more copy, raced with those that are overdue. `timed`: it is
        held, and its timer is set.
        """
        spec, tried, anchor, allow = request.spec, request.attempts, request.anchor, self.settings
        room = allow.max_attempts - len(tried) if now < self._answer_by(request) else 0
        further = int(min(self.extra_attempts, self.budget.left(now)))
        out = any(a.status is None for a in tried)
        races = spec.effect is not api.Effect.UNSAFE and allow.may_duplicate and allow.may_cancel
        if room <= 0 or (anchor and spec.effect is api.Effect.UNSAFE) or (tried and further < 1):
            return None if out else self._refuse_or_fail(request)
        if out and (not races or self.slowdown >= GROWTH_MOST or self.congestion >= CROWD_LEAST):
            return None  # guards against copies that only lengthen queues
        most = 1 if out or not races else min(SET_MOST, room, further + (not tried))
        base, load = self._base_latency(now, request.cls), self._load(now)
        pool = self._eligible(now)
        if anchor and spec.effect is api.Effect.KEYED and now >= anchor.sent + spec.window:
            return None if out else self._refuse_or_fail(request)
        pool = self._open_to(now, request, pool, out)
        if not pool:
            return None if out else self._hold(now, request, timed)
        for _price, _chance, server in self._choose(now, request, pool, most, base * load):
            self._send(now, request, server, base, load)
        if races:
            # Guards against silent servers and connections: the set was right when it was sent only.
            patience = int(OVERDUE * base * load)
            request.late = now + patience
            if request.late < self._answer_by(request):
                self.actions.append(api.SetTimer(request.id << 1 | 1, patience))
        return None

    def _hold(self, now: int, request: Request, timed: bool) -> None:
        """No server may take it now: it waits for one, or is settled."""
        if not request.anchor and now + HOLD >= request.half:
            return self._refuse_or_fail(
                request
            )  # guards against clients that wait for nothing: they may ask again
        self.held[request.cls][request.id], request.held = request, True
        return None if timed else self.actions.append(api.SetTimer(request.id << 1 | 1, HOLD))

    def _dispatch_held(self, now: int, cls: int = -1) -> None:
        """Where all servers are cold, requests held that are worth more than this class's go first."""
        if now >= self.warm_from or not any(self.held):
            return
        values = self._values(now)
        while any(self.held):
            best = max(range(len(values)), key=lambda i: values[i] if self.held[i] else -1.0)
            if cls >= 0 and values[best] <= values[cls]:
                return
            first = next(iter(self.held[best].values()))
            self._dispatch(now, first, timed=True)
            if first.held:
                return

    def _send(self, now: int, request: Request, server: Server, base: float, load: float) -> None:
        # Guards against storms: copies and retries are earned by answers only, as every tier multiplies them.
        if request.attempts:
            self.extra_attempts -= 1.0
            self.budget.note(now, self.budget.sent)
        attempt = Attempt(server, now, base, base * load)
        self._release(request)
        request.attempts.append(attempt)
        self._track(attempt, 1)
        if server.warmth(now, self.settings) < 1.0:
            server.credit -= 1.0
            server.lately.note(now, 0.0, True, False)
        self.actions.append(api.Send(request.id, server.entry.server))

    def _track(self, attempt: Attempt, by: int) -> None:
        """Keep the sums over open attempts, whose age counts as time waited."""
        server = attempt.server
        server.in_flight += by
        self.total_in_flight += by
        server.open_rate += by / attempt.base
        server.open_sent += by * attempt.sent / attempt.base

    def _release(self, request: Request) -> None:
        if request.held:
            del self.held[request.cls][request.id]
            request.held = False

    def _cancel_others(self, request: Request, winner: int) -> None:
        for index, attempt in enumerate(request.attempts):
            if attempt.status is None and index != winner and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.id, index))

    def _refuse_or_fail(self, request: Request) -> None:
        """The final answer where no server gave one: a refusal only if a further try is harmless."""
        if request.repeat_safe or request.anchor is None:
            # Guards against all that were refused together coming back together, before queues are shorter.
            pause = self.random.uniform(*BACK_PART) * request.spec.aim if self.settings.retry_after else 0.0
            self.actions.append(api.Refuse(request.id, min(int(pause), self.settings.max_retry_after)))
        else:
            self.actions.append(api.Fail(request.id))
        self._cancel_others(request, -1)
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing more is sent; it is kept only until its last attempt has ended."""
        request.closed = True
        self._release(request)
        if all(a.status is not None for a in request.attempts):
            del self.requests[request.id]
