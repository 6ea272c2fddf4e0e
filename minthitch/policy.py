"""The balancer of one node, with minthitch/decisions. Events and actions: minthitch/interface.py.

Request Replication (docs/design): each server has a latency curve fitted to this node's own outcomes. Each
call goes to the cheapest set of servers whose joint chance to answer in time reaches the target. They race,
and the losers are cancelled.
"""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.admission import INITIAL_LIMIT
from minthitch.decisions.budget import RetryBudget
from minthitch.decisions.choice import MAX_CANDIDATES, TARGET, Candidate
from minthitch.decisions.cold import COLD_SHARE
from minthitch.decisions.dispatch import OVERDUE_FACTOR
from minthitch.decisions.evidence import CLASS_HALF_LIFE, Evidence
from minthitch.decisions.gamma import REFERENCE, SHAPE_MAX, fit_curve, fit_shape, gammainc
from minthitch.decisions.outcomes import Outcomes
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

AVOIDED_SHARE = 0.5  # a server is shown as down if a smaller share of its calls meets the reference time
RESUBSCRIBE_PART = 0.25  # a failed list call is repeated within this part of ask_within


class Balancer(Outcomes):
    """The decisions of one node. Feed it events in order, and carry out the returned actions in order."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.actions = []
        if isinstance(event, api.AttemptEnded):
            self._on_attempt_ended(now, event)
        elif isinstance(event, api.RequestArrived):
            self._on_arrival(now, event)
        elif isinstance(event, api.TimerFired):
            self._on_timer(now, event.token)
        elif isinstance(event, api.ListUpdate):
            self._on_list(now, event)
        elif isinstance(event, api.RequestGone) and (gone := self.requests.get(event.request)):
            self._cancel_others(gone, -1)  # or every tier below would work for a client that has left
            self._close(gone)
        elif isinstance(event, api.StreamStarted) and (request := self.requests.get(event.request)):
            request.streaming = True
            self._cancel_others(request, event.attempt)
        return self.actions

    def _on_list(self, now: int, event: api.ListUpdate) -> None:
        if self.settings.ask_for_list and event.kind is api.ListKind.CACHED:
            self.actions.append(api.Subscribe())
        elif self.settings.ask_for_list and event.kind is api.ListKind.FAILED and not self.resubscribing:
            self._log(now, f"list failed: going on with the {len(self.servers)} servers of the last one")
            self.resubscribing = True  # after a random pause, as a failure of the list hits all nodes at once
            pause = self.random.uniform(RESUBSCRIBE_PART / 4, RESUBSCRIBE_PART) * self.settings.ask_within
            self.actions.append(api.SetTimer(0, int(pause)))
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            listed = {e.server for e in event.entries}
            self.servers = {s: v for s, v in self.servers.items() if s in listed}
        new = list[Server]()
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if entry.state is not api.State.READY:
                self.servers.pop(entry.server, None)
            elif known is None or known.entry.started != entry.started:
                credit = self.random.random()  # random, or all nodes would send to it at once
                self.servers[entry.server] = Server(entry, now, credit, self.settings.cold_window)
                new.append(self.servers[entry.server])
            else:
                known.entry = entry
        self.first_warm_at = min((s.warm_at(self.settings) for s in self.servers.values()), default=math.inf)
        if new and now < self.first_warm_at:
            # While all servers are cold, random credit alone could leave a node without a server for seconds.
            # So half of all nodes' first calls are sent at once and the others evenly over time, at each node
            # and at each server.
            ranks = self.random.sample(range(len(new)), len(new))
            for server, rank in zip(new, ranks, strict=True):
                rate = self._min_rate(now, server.warmth(now, self.settings))
                at_once = min(rate * self.settings.cold_window, COLD_SHARE / self.settings.siblings)
                server.credit = (rank + server.credit) / len(new) + at_once
        self.unreachable = {s for s in self.unreachable if self.servers.get(s.entry.server) is s}

    def _on_arrival(self, now: int, event: api.RequestArrived) -> None:
        request = Request(now, event, self.settings.classes[event.cls])
        self.requests[request.id] = request
        self.budget.note(now, self.budget.arrived_at)
        if now >= self._answer_by(request) or not self._admit(now, event):
            self._refuse_or_fail(request)
        else:
            self.actions.append(api.SetTimer(request.id << 1 | 1, self._answer_by(request) - now))
            self._dispatch_held(now, request.cls)
            self._dispatch(now, request)

    def _on_timer(self, now: int, token: int) -> None:
        """Token 0 is the timer for a new subscription; a request's timers have `id << 1 | 1`."""
        request = self.requests.get(token >> 1)
        if token == 0:
            self.resubscribing = False
            self.actions.append(api.Subscribe())
        elif request and not request.closed and not request.streaming:
            if now >= self._answer_by(request):
                self._refuse_or_fail(request)
            elif now >= request.overdue_at or all(a.status is not None for a in request.attempts):
                self._dispatch_held(now, request.cls)
                self._dispatch(now, request)

    def avoided(self, now: int) -> int:
        """How many ready servers are passed over for others: most of their calls fail, or are overdue."""
        return sum(
            1
            for s in self.servers.values()
            if s.evidence.share(now) < AVOIDED_SHARE
            or (
                s.in_flight
                and now * s.inverse_base_sum - s.scaled_sent_sum
                > OVERDUE_FACTOR * s.in_flight * self._load(now)
            )
        )
