"""Every decision of the balancer, with minthitch/decisions. Events and actions: minthitch/interface.py.

Request Replication (docs/design): per server a latency curve fitted to this node's own outcomes; per call
the cheapest set of servers whose joint chance to answer in time reaches the target, raced; losers cancelled.
"""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.admission import INITIAL_LIMIT
from minthitch.decisions.budget import RetryBudget
from minthitch.decisions.choice import MAX_CANDIDATES, TARGET, Candidate
from minthitch.decisions.cold import COLD_PART
from minthitch.decisions.evidence import CLASS_HALF_LIFE, Evidence
from minthitch.decisions.gamma import REFERENCE, SHAPE_MAX, fit_curve, fit_shape, gammainc
from minthitch.decisions.outcomes import Outcomes
from minthitch.decisions.placing import OVERDUE
from minthitch.decisions.requests import Attempt, Request
from minthitch.decisions.servers import Server
from minthitch.decisions.sets import cheapest_set

__all__ = [
    "CLASS_HALF_LIFE",
    "INITIAL_LIMIT",
    "MAX_CANDIDATES",
    "REFERENCE",
    "SHAPE_MAX",
    "TARGET",
    "Attempt",
    "Balancer",
    "Candidate",
    "Evidence",
    "Request",
    "RetryBudget",
    "Server",
    "cheapest_set",
    "fit_curve",
    "fit_shape",
    "gammainc",
]

AVOIDED_SHARE = 0.5  # share of calls answered within the reference time below which a server is shown as down
RESUBSCRIBE_PART = (
    0.25  # list calls are repeated within this part of the time after which the node counts as told
)


class Balancer(Outcomes):
    """One node's decisions. Feed events in order; carry out the actions in order."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.actions = []
        if isinstance(event, api.AttemptEnded):
            self._ended(now, event)
        elif isinstance(event, api.RequestArrived):
            self._arrived(now, event)
        elif isinstance(event, api.TimerFired):
            self._fired(now, event.token)
        elif isinstance(event, api.ListUpdate):
            self._on_list(now, event)
        elif isinstance(event, api.RequestGone) and (gone := self.requests.get(event.request)):
            self._cancel_others(gone, -1)  # guards against work, in every tier below, that nobody waits for
            self._close(gone)
        elif isinstance(event, api.StreamStarted) and (request := self.requests.get(event.request)):
            request.streaming = True
            self._cancel_others(request, event.attempt)
        return self.actions

    def _on_list(self, now: int, event: api.ListUpdate) -> None:
        if self.settings.ask_for_list and event.kind is api.ListKind.CACHED:
            self.actions.append(api.Subscribe())
        elif self.settings.ask_for_list and event.kind is api.ListKind.FAILED and not self.asking:
            self._say(now, f"list failed: going on with the {len(self.servers)} servers of the last one")
            self.asking = True  # anew after a jittered pause: when the list fails, all nodes fail together
            pause = self.random.uniform(RESUBSCRIBE_PART / 4, RESUBSCRIBE_PART) * self.settings.ask_within
            self.actions.append(api.SetTimer(0, int(pause)))
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {e.server for e in event.entries}
            self.servers = {s: v for s, v in self.servers.items() if s in named}
        new = list[Server]()
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is not api.State.READY:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.started != entry.started:
                credit = self.random.random()  # or all nodes would send at once
                self.servers[entry.server] = Server(entry, now, credit, self.settings.cold_window)
                new.append(self.servers[entry.server])
            else:
                known.entry = entry
        self.warm_from = min((s.warm_from(self.settings) for s in self.servers.values()), default=math.inf)
        if new and now < self.warm_from:
            # Guards against seconds in the dark: of all nodes' first calls a half goes out at once, and the
            # others evenly over time, at each node and at each server.
            places = self.random.sample(range(len(new)), len(new))
            for server, place in zip(new, places, strict=True):
                part = self._min_rate(now, server.warmth(now, self.settings))
                at_once = min(part * self.settings.cold_window, COLD_PART / self.settings.siblings)
                server.credit = (place + server.credit) / len(new) + at_once
        self.refusers = {s for s in self.refusers if self.servers.get(s.entry.server) is s}

    def _arrived(self, now: int, event: api.RequestArrived) -> None:
        request = Request(now, event, self.settings.classes[event.cls])
        self.requests[request.id] = request
        self.budget.note(now, self.budget.taken)
        if now >= self._answer_by(request) or not self._admit(now, event):
            self._refuse_or_fail(request)
        else:
            self.actions.append(api.SetTimer(request.id << 1 | 1, self._answer_by(request) - now))
            self._dispatch_held(now, request.cls)
            self._dispatch(now, request)

    def _fired(self, now: int, token: int) -> None:
        request = self.requests.get(token >> 1)
        if token == 0:
            self.asking = False
            self.actions.append(api.Subscribe())
        elif request and not request.closed and not request.streaming:
            if now >= self._answer_by(request):
                self._refuse_or_fail(request)
            elif now >= request.late or all(a.status is not None for a in request.attempts):
                self._dispatch_held(now, request.cls)
                self._dispatch(now, request)

    def avoided(self, now: int) -> int:
        """Ready servers that are not chosen while others are: most of their calls miss, or are overdue."""
        return sum(
            1
            for s in self.servers.values()
            if s.evidence.share(now) < AVOIDED_SHARE
            or (s.in_flight and now * s.open_rate - s.open_sent > OVERDUE * s.in_flight * self._load(now))
        )
