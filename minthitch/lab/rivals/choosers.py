"""Rivals, each a small class after its public description. Pure."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from hashlib import blake2b

from minthitch import interface as api
from minthitch.lab.rivals.base import Ask, Rival, Upstream, World

EWMA_TAU = 10 * api.SECOND  # Finagle's decay time
RING_POINTS = 40  # of each server on the ring
BOUND = 1.25  # most load of a server over the mean load
EJECT_AFTER = 5  # failures one after another
EJECT_FOR = 30 * api.SECOND  # times the number of ejections
EJECT_MOST = 0.1  # part of the servers, one at least
BUDGET_SHARE, BUDGET_LEAST = 0.2, 3  # retries at once, of the requests under way
HEDGE_LATENCIES, HEDGE_LEAST = 1_000, 50  # kept for the percentile, and needed for it
HEDGE_AT = 0.95
PROBES, PROBE_POOL, PROBE_AGE = 3, 16, api.SECOND  # Prequal: a request, kept, and until too old
LIMIT_CALM, LIMIT_MOST, LIMIT_CALM_COUNT = 3, 1_000, 50  # Envoy's defaults: least limit, most, requests
LIMIT_EVERY, LIMIT_CALM_EVERY = 100 * api.MILLISECOND, 60 * api.SECOND  # between two updates; two calm times
LIMIT_BUFFER = 1.25  # of the calm time that is let pass
HOT_ABOVE = 0.84  # quantile of requests in flight from which a server is hot


class RoundRobin(Rival):
    """Each server in turn."""

    name = "round-robin"
    source = "the default of gRPC's round_robin and HAProxy's roundrobin"

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.turn = self.random.randrange(1 << 16)

    def pick(self, ask: Ask, pool: Sequence[Upstream]) -> Upstream:
        self.turn += 1
        return pool[self.turn % len(pool)]


class LeastRequest(Rival):
    """The one with fewer requests out, of two drawn at random."""

    name = "least-request"
    source = "Mitzenmacher, The Power of Two Choices in Randomized Load Balancing (2001); Envoy"

    def pick(self, ask: Ask, pool: Sequence[Upstream]) -> Upstream:
        a, b = self.random.choice(pool), self.random.choice(pool)
        return a if self.cost(a) <= self.cost(b) else b

    def cost(self, upstream: Upstream) -> float:
        return upstream.open


class PeakEwma(LeastRequest):
    """Two at random, by a latency average that jumps to peaks and decays, times requests out."""

    name = "peak-ewma"
    source = "Finagle's documentation, Aperture and P2C + Peak EWMA"

    def cost(self, upstream: Upstream) -> float:
        if not upstream.figure_at:
            return upstream.open * 1e12 if upstream.open else 0.0  # unknown: one request, then wait for it
        decay = math.exp(-(self.now - upstream.figure_at) / EWMA_TAU)
        return upstream.figure * decay * (upstream.open + 1)

    def learn(self, upstream: Upstream, status: api.Status, latency: int) -> None:
        decay = math.exp(-(self.now - upstream.figure_at) / EWMA_TAU) if upstream.figure_at else 0.0
        upstream.figure = max(float(latency), upstream.figure * decay + latency * (1.0 - decay))
        upstream.figure_at = self.now


class BoundedHash(Rival):
    """A ring of hashes by session; who is over its bound passes the request on."""

    name = "bounded-hash"
    source = "Mirrokni and others, Consistent Hashing with Bounded Loads (2017); HAProxy"

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.ring: list[tuple[int, Upstream]] = []
        self.edges: list[int] = []

    @staticmethod
    def _hash(text: str) -> int:
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())

    def relisted(self) -> None:
        points = [
            (self._hash(f"{up.entry.server} {i}"), up.entry.server)
            for up in self.order
            for i in range(RING_POINTS)
        ]
        points.sort()
        self.ring = [(point, self.servers[number]) for point, number in points]
        self.edges = [point for point, _ in points]

    def pick(self, ask: Ask, pool: Sequence[Upstream]) -> Upstream:
        allowed = {up.entry.server for up in pool}
        most = math.ceil(BOUND * (sum(up.open for up in pool) + 1) / len(pool))
        key = ask.event.key or self.random.getrandbits(63)
        start = bisect_left(self.edges, self._hash(str(key)))
        for step in range(len(self.ring)):
            upstream = self.ring[(start + step) % len(self.ring)][1]
            if upstream.entry.server in allowed and upstream.open < most:
                return upstream
        return min(pool, key=lambda up: up.open)


class OutlierEjection(LeastRequest):
    """Least request of two; servers that fail time after time are left out for a while; retries by budget."""

    name = "outlier-ejection"
    source = "Envoy's documentation: outlier detection (consecutive 5xx, gateway failures) and retry budgets"

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.retrying: set[int] = set()

    def usable(self, upstream: Upstream) -> bool:
        return self.now >= upstream.ejected_until

    def learn(self, upstream: Upstream, status: api.Status, latency: int) -> None:
        if status is api.Status.OK:
            upstream.failures = 0
        elif status is not api.Status.CANCELLED:
            upstream.failures += 1
            out = sum(not self.usable(up) for up in self.order)
            if upstream.failures >= EJECT_AFTER and out < max(EJECT_MOST * len(self.order), 1):
                upstream.failures, upstream.ejections = 0, upstream.ejections + 1
                upstream.ejected_until = self.now + EJECT_FOR * upstream.ejections

    def may_retry(self) -> bool:
        self.retrying &= self.asks.keys()
        return len(self.retrying) < max(BUDGET_SHARE * len(self.asks), BUDGET_LEAST)

    def sent(self, ask: Ask, upstream: Upstream) -> None:
        if len(ask.attempts) > 1:
            self.retrying.add(ask.event.request)


class AdaptiveConcurrency(OutlierEjection):
    """Outlier ejection, and no more requests at once than a limit that falls as answers slow down.

    The limit is multiplied by the calm time over the time now, plus its square root; the calm time is
    measured anew each minute while few requests are let in.
    """

    name = "adaptive-concurrency"
    source = "Envoy's documentation: the adaptive concurrency filter's gradient controller"

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.limit = self.before = float(LIMIT_CALM)  # now, and before the calm time was last measured
        self.calm = 0.0  # ns
        self.sample: list[int] = []
        self.measuring, self.measure_at, self.update_at = True, 0, 0

    def _try(self, ask: Ask) -> bool:
        if not ask.attempts and len(self.asks) > self.limit:  # this one is among them
            self._settle(ask)
            return False
        return super()._try(ask)

    def learn(self, upstream: Upstream, status: api.Status, latency: int) -> None:
        super().learn(upstream, status, latency)
        if status is api.Status.OK:
            self.sample.append(latency)
        if self.measuring and len(self.sample) >= LIMIT_CALM_COUNT:
            self.calm, self.measuring = float(self._middle()), False
            self.measure_at = self.now + LIMIT_CALM_EVERY
            self.limit, self.sample = max(self.limit, self.before), []
            self.update_at = self.now + LIMIT_EVERY
        elif not self.measuring and self.now >= self.update_at and self.sample:
            gradient = min(max(self.calm * LIMIT_BUFFER / max(self._middle(), 1), 0.5), 2.0)
            self.limit = min(max(gradient * self.limit + math.sqrt(self.limit), LIMIT_CALM), LIMIT_MOST)
            self.sample, self.update_at = [], self.now + LIMIT_EVERY
            if self.now >= self.measure_at:
                self.before, self.limit, self.measuring = self.limit, float(LIMIT_CALM), True

    def _middle(self) -> int:
        return sorted(self.sample)[len(self.sample) // 2]


class Hedged(LeastRequest):
    """Least request of two, and a second copy once the first is later than 95% are."""

    name = "hedged"
    source = "Dean, Barroso, The Tail at Scale (2013); gRPC's hedging (A6)"

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.latencies: deque[int] = deque(maxlen=HEDGE_LATENCIES)
        self.delay, self.since = 0, 0

    def learn(self, upstream: Upstream, status: api.Status, latency: int) -> None:
        if status is api.Status.OK:
            self.latencies.append(latency)
            self.since += 1
            if self.since >= HEDGE_LEAST:
                ordered = sorted(self.latencies)
                self.delay, self.since = ordered[int(HEDGE_AT * len(ordered))], 0

    def sent(self, ask: Ask, upstream: Upstream) -> None:
        if len(ask.attempts) == 1 and ask.spec.effect is api.Effect.SAFE and self.delay:
            self.actions.append(api.SetTimer(ask.event.request << 1 | 1, self.delay))

    def fired(self, token: int) -> None:
        ask = self.asks.get(token >> 1)
        if ask is not None and len(ask.attempts) == 1 and not ask.ended and self.settings.max_attempts > 1:
            pool = self.pool(ask)
            if pool:
                self.send(ask, self.pick(ask, pool))


class Prequal(Rival):
    """Probes ask servers for requests in flight and latency; the cold one with the least latency is taken."""

    name = "prequal"
    source = "Wydrowski and others, Load is not what you should balance: Introducing Prequal (NSDI 2024)"

    def __init__(self, settings: api.Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.probed: deque[tuple[int, int, int]] = deque(maxlen=PROBE_POOL)  # server, in flight, when
        self.flights: deque[int] = deque(maxlen=128)

    def learn(self, upstream: Upstream, status: api.Status, latency: int) -> None:
        if status is api.Status.OK:
            upstream.figure = 0.8 * upstream.figure + 0.2 * latency if upstream.figure else float(latency)

    def _probe(self) -> None:
        for _ in range(min(PROBES, len(self.order))):
            number = self.random.choice(self.order).entry.server
            self.world.probe(number, lambda flight, to=number: self._probed_back(to, flight))  # type: ignore[misc]

    def _probed_back(self, server: int, flight: int) -> None:
        self.probed.append((server, flight, self.now))
        self.flights.append(flight)

    def pick(self, ask: Ask, pool: Sequence[Upstream]) -> Upstream:
        self._probe()
        allowed = {up.entry.server for up in pool}
        known = [
            (server, flight)
            for server, flight, when in self.probed
            if server in allowed and self.now - when < PROBE_AGE
        ]
        if len(known) < 2:
            return self.random.choice(pool)
        ordered = sorted(self.flights)
        hot = ordered[min(int(HOT_ABOVE * len(ordered)), len(ordered) - 1)]
        cold = [row for row in known if row[1] <= hot]
        if cold:
            server, _ = min(cold, key=lambda row: (self.servers[row[0]].figure, row[1]))
        else:
            server, _ = min(known, key=lambda row: row[1])
        for i, row in enumerate(self.probed):  # a probe is used once
            if row[0] == server:
                del self.probed[i]
                break
        return self.servers[server]


RIVALS: dict[str, type[Rival]] = {
    rival.name: rival
    for rival in (
        RoundRobin,
        LeastRequest,
        PeakEwma,
        BoundedHash,
        OutlierEjection,
        AdaptiveConcurrency,
        Hedged,
        Prequal,
    )
}
