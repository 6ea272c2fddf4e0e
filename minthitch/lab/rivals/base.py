"""What rivals have in common: a decider like the Balancer, that picks by its own rule. Pure.

Each obeys what the classes allow, as a careful operator would configure it: what may have run goes out again
only where the class says that this is harmless.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from minthitch import interface as api

ASK_AGAIN = api.SECOND  # after a call for the list failed
LIST_TOKEN = 0


class Sight(NamedTuple):
    """A server as it is: what only an oracle sees."""

    held: int  # calls that run or wait for a core
    speed: float  # of all its cores, with all that slows it
    room: float  # calls that may run or wait before it turns slow
    bears: bool  # one more call would not push it over


class World(Protocol):
    """What a rival may ask beside its events."""

    def see(self, server: int) -> Sight | None: ...

    def probe(self, server: int, heard: Callable[[int], None]) -> None: ...


class Upstream:
    """One server as a rival sees it."""

    __slots__ = ("entry", "open", "figure", "figure_at", "failures", "ejected_until", "ejections")

    def __init__(self, entry: api.ServerEntry) -> None:
        self.entry = entry
        self.open = 0
        self.figure, self.figure_at = 0.0, 0  # of the rival's own kind
        self.failures, self.ejected_until, self.ejections = 0, 0, 0


class Ask:
    """One request under way."""

    __slots__ = ("event", "spec", "attempts", "ended", "may_have_run")

    def __init__(self, event: api.RequestArrived, spec: api.RequestClass) -> None:
        self.event, self.spec = event, spec
        self.attempts: list[tuple[int, int]] = []  # server, when
        self.ended: set[int] = set()
        self.may_have_run: api.ServerEntry | None = None


class Rival:
    """Sends to one server that `pick` names, tries again where it is harmless, up to `max_attempts`."""

    name = "rival"
    source = ""

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        self.settings, self.world = settings, world
        self.random = random.Random(seed)
        self.servers: dict[int, Upstream] = {}
        self.order: list[Upstream] = []
        self.asks: dict[int, Ask] = {}
        self.actions: list[api.Action] = []
        self.now = 0

    # What a rival says of itself ----------------------------------------------------------------

    def pick(self, ask: Ask, pool: Sequence[Upstream]) -> Upstream:
        """One of `pool`, which is not empty."""
        raise NotImplementedError

    def learn(self, upstream: Upstream, status: api.Status, latency: int) -> None:
        """An attempt has ended."""

    def usable(self, upstream: Upstream) -> bool:
        return True

    def may_retry(self) -> bool:
        """Whether a further attempt is within the rival's budget."""
        return True

    def sent(self, ask: Ask, upstream: Upstream) -> None:
        """An attempt has gone out."""

    def fired(self, token: int) -> None:
        """A timer of the rival's own."""

    # Events -------------------------------------------------------------------------------------

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        if isinstance(event, api.RequestArrived):
            ask = self.asks[event.request] = Ask(event, self.settings.classes[event.cls])
            self._try(ask)
        elif isinstance(event, api.AttemptEnded):
            self._ended(event)
        elif isinstance(event, api.RequestGone):
            self._gone(event.request)
        elif isinstance(event, api.ListUpdate):
            self._listed(event)
        elif isinstance(event, api.TimerFired):
            if event.token == LIST_TOKEN:
                self.actions.append(api.Subscribe())
            else:
                self.fired(event.token)
        return self.actions

    def _listed(self, event: api.ListUpdate) -> None:
        if event.kind is api.ListKind.FAILED:
            self.actions.append(api.SetTimer(LIST_TOKEN, ASK_AGAIN))
            return
        if event.kind is not api.ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for number in [number for number in self.servers if number not in named]:
                del self.servers[number]
        for entry in event.entries:
            if entry.state is not api.State.READY:
                self.servers.pop(entry.server, None)
            elif entry.server in self.servers and self.servers[entry.server].entry.started == entry.started:
                self.servers[entry.server].entry = entry
            else:
                self.servers[entry.server] = Upstream(entry)
        self.order = [self.servers[number] for number in sorted(self.servers)]
        self.relisted()

    def relisted(self) -> None:
        """The list has changed."""

    def pool(self, ask: Ask) -> list[Upstream]:
        """Servers that the request may go to, those that it has not tried first."""
        spec, anchor = ask.spec, ask.may_have_run
        pool = [up for up in self.order if self.usable(up)] or self.order
        if anchor is not None and spec.effect is api.Effect.KEYED:
            pool = [
                up
                for up in pool
                if spec.group is api.Group.ALL
                or (spec.group is api.Group.CELL and up.entry.cell == anchor.cell)
                or (spec.group is api.Group.ZONE and up.entry.zone == anchor.zone)
            ]
        tried = {server for server, _ in ask.attempts}
        fresh = [up for up in pool if up.entry.server not in tried]
        return fresh or pool

    def _try(self, ask: Ask) -> bool:
        """Whether another attempt went out."""
        event, spec, anchor = ask.event, ask.spec, ask.may_have_run
        room = len(ask.attempts) < self.settings.max_attempts and self.now < event.deadline
        if anchor is not None and spec.effect is not api.Effect.SAFE:
            first = ask.attempts[0][1]
            room = room and spec.effect is api.Effect.KEYED and self.now < first + spec.window
        room = room and (not ask.attempts or self.may_retry())
        pool = self.pool(ask) if room else []
        if not pool:
            self._settle(ask)
            return False
        self.send(ask, self.pick(ask, pool))
        return True

    def send(self, ask: Ask, upstream: Upstream) -> None:
        upstream.open += 1
        ask.attempts.append((upstream.entry.server, self.now))
        self.actions.append(api.Send(ask.event.request, upstream.entry.server))
        self.sent(ask, upstream)

    def _settle(self, ask: Ask) -> None:
        if len(ask.ended) < len(ask.attempts):
            return  # another copy may still answer
        number = ask.event.request
        harmless = ask.may_have_run is None or ask.spec.effect is api.Effect.SAFE
        self.actions.append(api.Refuse(number) if harmless else api.Fail(number))
        self.asks.pop(number, None)

    def _ended(self, event: api.AttemptEnded) -> None:
        upstream = self.servers.get(event.server)
        if upstream is not None:
            upstream.open = max(upstream.open - 1, 0)
            if event.status is not api.Status.MOOT:
                self.learn(upstream, event.status, event.latency)
        ask = self.asks.get(event.request)
        if ask is None:
            return
        ask.ended.add(event.attempt)
        if event.closed or event.status is api.Status.OK:
            self._cancel(ask)
            self.asks.pop(event.request, None)
            return
        if not event.status.never_ran and ask.may_have_run is None:
            ask.may_have_run = upstream.entry if upstream is not None else api.ServerEntry(event.server)
        if len(ask.ended) == len(ask.attempts):
            self._try(ask)

    def _cancel(self, ask: Ask) -> None:
        self.actions += [
            api.Cancel(ask.event.request, index)
            for index in range(len(ask.attempts))
            if index not in ask.ended
        ]

    def _gone(self, number: int) -> None:
        ask = self.asks.pop(number, None)
        if ask is not None:
            self._cancel(ask)
