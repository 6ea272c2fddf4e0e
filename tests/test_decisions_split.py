"""Refactoring changes no decision: digests of all actions over simulated days stay the same.

They were computed before policy.py was split into minthitch/decisions. A change that is meant to decide
differently has to compute them again: `python -m tests.test_decisions_split` prints them.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from minthitch import interface as api
from minthitch.policy import Balancer
from tests.rules import ALL_CLASSES, MS, settings

SECOND = api.SECOND
SETUPS = {
    "free": settings(classes=ALL_CLASSES, retry_after=True, max_retry_after=SECOND, ask_for_list=True),
    "crowded": settings(
        classes=ALL_CLASSES,
        siblings=3,
        worth_by_work=True,
        tenants=(api.Tenant("a", 9.0), api.Tenant("b", 0.0)),
        over_share_worth=0.2,
    ),
    "below": settings(
        classes=ALL_CLASSES,
        tier=1,
        siblings=40,
        idle_close=4 * SECOND,
        budget_share=0.1,
        budget_free=2.0,
        prices=api.Prices(cross_zone=0.04),
    ),
    "cold": settings(
        classes=ALL_CLASSES, siblings=2, cold_time=25 * SECOND, cold_share=0.2, idle_close=10 * SECOND
    ),
    "alone": settings(classes=ALL_CLASSES, may_duplicate=False, may_cancel=False, max_attempts=2),
}
DIGESTS = {
    "free": "dcd305d74e58d3470a0d7694c6c746dd",
    "crowded": "903285cbb12b5d321640422b16355875",
    "below": "28454ec84e42329edf98ae8287f7a9b3",
    "cold": "a741c455816b9d920c563f0f1cb669ca",
    "alone": "18b0b4b720c7929855bba3808b30f659",
}
ODD = (
    api.Status.ERROR,
    api.Status.FULL,
    api.Status.CONNECT_FAILED,
    api.Status.RESET,
    api.Status.TIMEOUT,
    api.Status.MOOT,
)


class Day:
    """A seeded simulation of unreliable servers and clients around one balancer."""

    def __init__(
        self,
        setup: api.Settings,
        seed: int,
        cold: bool,
        make: Callable[[api.Settings, int], Balancer] = Balancer,
    ) -> None:
        self.setup, self.random, self.cold = setup, random.Random(seed), cold
        self.balancer = make(setup, seed)
        self.now, self.number, self.calls = 30 * SECOND, 0, 0
        self.due: list[tuple[int, int, api.Event]] = []
        self.out: dict[tuple[int, int], int] = {}  # attempts in flight: their server
        self.sent: dict[int, int] = {}
        self.idle: dict[int, int] = {}  # when a server has finished all its work
        self.entries = {s: self._entry(s) for s in range(1, 13)}

    def _entry(self, server: int) -> api.ServerEntry:
        started = self.now - self.random.randrange(3 * SECOND) if self.cold else 0
        return api.ServerEntry(server, zone=server % 2, cell=server % 4, kind=server % 3, started=started)

    def _later(self, delay: int, event: api.Event) -> None:
        self.number += 1
        heapq.heappush(self.due, (self.now + delay, self.number, event))

    def run(self, arrivals: int) -> Iterator[list[api.Action]]:
        yield self._handled(api.ListUpdate(api.ListKind.FULL, tuple(self.entries.values())))
        self._arrive()
        while self.due:
            self.now, _, event = heapq.heappop(self.due)
            if isinstance(event, api.AttemptEnded) and not self._lands(event):
                continue
            if isinstance(event, api.RequestArrived) and self.calls < arrivals:
                self._arrive()
            yield self._handled(event)
            if self.random.random() < 0.01:
                yield self._handled(self._listed())

    def _arrive(self) -> None:
        """Schedules the next request; in bursts they far exceed the servers' capacity."""
        self.calls += 1
        delay = int(self.random.expovariate(300 if self.calls % 400 > 250 else 40) * SECOND)
        patience = self.random.choice((400 * MS, SECOND, 3 * SECOND, 3 * SECOND))
        if self.random.random() < 0.04:
            self._later(delay + self.random.randrange(SECOND), api.RequestGone(self.calls))
        self._later(
            delay,
            api.RequestArrived(
                self.calls,
                self.random.randrange(len(self.setup.classes)),
                self.now + delay + patience,
                self.random.randrange(2),
                repeat=self.random.random() < 0.1,
            ),
        )

    def _lands(self, event: api.AttemptEnded) -> bool:
        return self.out.pop((event.request, event.attempt), None) is not None

    def _listed(self) -> api.ListUpdate:
        draw, server = self.random.random(), self.random.randrange(1, 15)
        if draw < 0.2:
            return api.ListUpdate(api.ListKind.FAILED)
        if draw < 0.3:
            return api.ListUpdate(api.ListKind.CACHED, tuple(self.entries.values()))
        if draw < 0.35:  # a power loss restarts all servers
            self.entries = {s: replace(e, started=self.now) for s, e in self.entries.items()}
            return api.ListUpdate(api.ListKind.FULL, tuple(self.entries.values()))
        entry = self.entries.get(server, self._entry(server))
        state = self.random.choice((api.State.READY, api.State.READY, api.State.DRAINING, api.State.GONE))
        self.entries[server] = replace(entry, state=state, started=self.now if draw < 0.7 else entry.started)
        return api.ListUpdate(api.ListKind.CHANGES, (self.entries[server],))

    def _handled(self, event: api.Event) -> list[api.Action]:
        actions = list(self.balancer.handle(self.now, event))
        for action in actions:
            if isinstance(action, api.Send):
                self._serve(action)
            elif isinstance(action, api.SetTimer):
                self._later(action.delay, api.TimerFired(action.token))
            elif isinstance(action, api.Cancel) and (action.request, action.attempt) in self.out:
                self._ends(2 * MS, action.request, action.attempt, api.Status.CANCELLED, 40 * MS)
        return actions

    def _serve(self, send: api.Send) -> None:
        attempt = self.sent.get(send.request, 0)
        self.sent[send.request], self.out[send.request, attempt] = attempt + 1, send.server
        kind, draw = send.server % 3, self.random.random()
        work = int(self.random.uniform(0.2, 1.8) * (60 + 50 * kind) * MS)
        self.idle[send.server] = max(self.idle.get(send.server, 0), self.now) + work
        took = self.idle[send.server] - self.now
        if draw < 0.03 or (send.server == 5 and self.now // (9 * SECOND) % 4 == 2):  # no answer
            self._ends(5 * SECOND, send.request, attempt, api.Status.TIMEOUT, 5 * SECOND)
        elif draw < 0.08 or (send.server == 7 and self.now // (7 * SECOND) % 3 == 1):
            odd = self.random.choice(ODD)
            self._ends(3 * MS, send.request, attempt, odd, 3 * MS)
        else:
            if draw > 0.97:
                self._later(took // 2, api.StreamStarted(send.request, attempt, send.server, took // 2))
            self._ends(took, send.request, attempt, api.Status.OK, took)

    def _ends(self, delay: int, request: int, attempt: int, status: api.Status, latency: int) -> None:
        closed = status is api.Status.OK or self.random.random() < 0.1
        self._later(
            delay, api.AttemptEnded(request, attempt, self.out[request, attempt], status, latency, closed)
        )


def digest(name: str, make: Callable[[api.Settings, int], Balancer] = Balancer) -> tuple[str, int]:
    """The hash of all actions of a day, and the number of events."""
    whole, events = hashlib.sha256(), 0
    for actions in Day(SETUPS[name], 7, name == "cold", make).run(900):
        whole.update(repr(actions).encode())
        events += 1
    return whole.hexdigest()[:32], events


@pytest.mark.parametrize("name", SETUPS)
def test_the_decisions_match_the_recorded_digests(name: str) -> None:
    found, events = digest(name)
    assert events > 2_000
    assert found == DIGESTS[name]


if __name__ == "__main__":
    for name in SETUPS:
        print(name, *digest(name))
