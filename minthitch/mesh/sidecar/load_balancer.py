"""Selects the servers that a request is sent to.

Requests may be hedged: sent to several servers at once (Request Replication). The balancer keeps one latency
curve per server and route, fitted to the outcomes that this sidecar has seen: the mean m and the share p of
calls within the reference time give a Gamma distribution (minthitch.decisions.gamma). It selects the cheapest
set of servers whose joint probability of an answer within what is left of the route's latency target reaches
TARGET_PROBABILITY. Times are seconds and are passed in.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable

from minthitch.decisions.evidence import HALF_LIFE, SECOND, SPARSE, Evidence
from minthitch.decisions.gamma import REFERENCE, fit_curve, gammainc
from minthitch.decisions.sets import cheapest_set

TARGET_PROBABILITY = 0.9  # p_req: of an answer within the time left, that a set of servers must reach
INITIAL_MEAN_FRACTION = 0.3  # of the latency target: the mean latency of a route before any outcome
MIN_SAMPLE_WEIGHT = 0.05  # of the newest answer in a route's mean latency
CROSS_ZONE_FACTOR = 1.5  # by which the price of a server in another zone is multiplied
CROSS_ZONE_BYTES = 16 * 1024  # of body, for each of which that factor grows by 1
MAX_CROSS_ZONE_FACTOR = 6.0
LOAD_HALF_LIFE_S = 0.5  # of the load that a server has reported
UNREACHABLE_AVOID_S = 0.5  # for which a server that could not be reached gets no requests
BUSY_AVOID_S = 0.05  # the same for one that rejected a request for lack of capacity
MAX_CANDIDATES = 24  # drawn at random for each request: more take longer and are hardly better
MAX_CURVES = 2_000  # that are cached
# Share of its slots up to which a server gets hedged requests: they cost the others capacity.
MAX_HEDGE_LOAD = 0.6
FAILURE_HALF_LIFE_S = 3.0  # of a call in a server's failure rate
FAILURE_PRIOR = 2.0  # successful calls that a server is assumed to have had before any outcome
SLOW_START_CAPACITY = 0.5  # of its slots, that a server in slow start is assumed to have


class Endpoint:
    """One server of a service as this sidecar sees it."""

    __slots__ = (
        "ip",
        "server_id",
        "zone",
        "slots",
        "curves",
        "in_flight",
        "reported_load",
        "reported_at",
        "avoided_until",
        "slow_start_until",
        "calls",
        "failures",
        "counted_at",
    )

    def __init__(self, ip: str, server_id: str, zone: str, slots: int, slow_start_until: float) -> None:
        self.ip, self.server_id, self.zone, self.slots, self.slow_start_until = (
            ip,
            server_id,
            zone,
            slots,
            slow_start_until,
        )
        self.curves: dict[str, Evidence] = {}  # by route
        self.in_flight = 0  # calls of this sidecar
        # Its running and queued calls, and when it stated them.
        self.reported_load, self.reported_at = 0.0, 0.0
        self.avoided_until = 0.0
        # On all routes, decaying: calls that ended by themselves, and those of them that failed at once.
        self.calls = self.failures = 0.0
        self.counted_at = 0.0  # when they were last updated

    def estimated_load(self, now: float) -> float:
        """Calls that it has in hand: the larger of this sidecar's own and its reported load, which decays."""
        faded = self.reported_load * math.exp2((self.reported_at - now) / LOAD_HALF_LIFE_S)
        return max(float(self.in_flight), faded)

    def count_outcome(self, now: float, failed: bool) -> None:
        decay = math.exp2((self.counted_at - now) / FAILURE_HALF_LIFE_S)
        self.counted_at = now
        self.calls, self.failures = self.calls * decay + 1.0, self.failures * decay + failed

    def failure_rate(self, now: float) -> float:
        """The share of its calls that fail at once, independent of the time they have."""
        decay = math.exp2((self.counted_at - now) / FAILURE_HALF_LIFE_S)
        return self.failures * decay / (self.calls * decay + FAILURE_PRIOR)

    def capacity(self, now: float) -> float:
        return self.slots * (SLOW_START_CAPACITY if now < self.slow_start_until else 1.0)


class RouteLatency:
    """Mean latency of one route over all servers, in seconds."""

    __slots__ = ("mean", "count")

    def __init__(self, initial: float) -> None:
        self.mean, self.count = initial, 0

    def record(self, took: float) -> None:
        self.count += 1
        self.mean += max(MIN_SAMPLE_WEIGHT, 1.0 / (self.count + 1)) * (took - self.mean)


class LoadBalancer:
    """All servers by service, and the selection among them."""

    def __init__(self, zone: str, seed: int) -> None:
        self.zone, self.random = zone, random.Random(seed)
        self.endpoints: dict[str, dict[str, Endpoint]] = {}  # service -> server id -> endpoint
        self.latencies: dict[str, RouteLatency] = {}
        self.fitted_curves: dict[tuple[int, int], tuple[float, float]] = {}
        # Called with the number of servers wanted and the candidates while requests are traced.
        self.on_candidates: Callable[[int, list[tuple[float, float, Endpoint]]], None] | None = None

    def update_servers(self, now: float, servers: Iterable[tuple[str, str, str, str, int, float]]) -> None:
        """Replaces the servers by (service, server id, ip, zone, slots, slow start seconds) of all that
        serve.
        """
        listed: dict[str, dict[str, Endpoint]] = {}
        for service, server_id, ip, zone, slots, slow_start_s in servers:
            endpoint = self.endpoints.get(service, {}).get(server_id)
            if endpoint is None or endpoint.ip != ip:
                endpoint = Endpoint(ip, server_id, zone, slots, now + slow_start_s)
            endpoint.slots = slots
            listed.setdefault(service, {})[server_id] = endpoint
        self.endpoints = listed

    def route_latency(self, route: str, latency_target: float) -> RouteLatency:
        found = self.latencies.get(route)
        if found is None:
            found = self.latencies[route] = RouteLatency(latency_target * INITIAL_MEAN_FRACTION)
        return found

    def pick(
        self,
        now: float,
        service: str,
        route: str,
        latency_target: float,
        time_left: float,
        max_servers: int,
        body_bytes: int,
        excluded: Collection[str],
    ) -> list[Endpoint]:
        """Servers to send to, at most `max_servers`, without those `excluded`; [] where there is none.

        `time_left` is what is left of the latency target; `body_bytes` would cross zones.
        """
        pool = [
            t
            for t in self.endpoints.get(service, {}).values()
            if t.avoided_until <= now and t.server_id not in excluded
        ]
        if not pool:
            pool = [t for t in self.endpoints.get(service, {}).values() if t.server_id not in excluded]
        if not pool:
            return []
        if len(pool) > MAX_CANDIDATES:
            pool = self.random.sample(pool, MAX_CANDIDATES)
        else:
            self.random.shuffle(pool)  # else ties would send every sidecar to the same server
        base = self.route_latency(route, latency_target).mean
        candidates = [
            (self._price(now, t, body_bytes), self._chance(now, t, route, base, time_left), t) for t in pool
        ]
        if self.on_candidates is not None:
            self.on_candidates(max_servers, candidates)
        if max_servers > 1:
            idle = [c for c in candidates if c[2].estimated_load(now) < MAX_HEDGE_LOAD * c[2].capacity(now)]
            if len(idle) > 1:
                chosen = cheapest_set(idle, TARGET_PROBABILITY, max_servers)
                if _reaches(chosen):
                    return [c[2] for c in chosen]
        chosen = cheapest_set(candidates, TARGET_PROBABILITY, 1)
        if _reaches(chosen):
            return [chosen[0][2]]
        # No server reaches the target: take the best chance for its price. The fastest one alone would get
        # all calls.
        return [max(candidates, key=lambda c: (c[1] + 0.01) / c[0])[2]]

    def _price(self, now: float, endpoint: Endpoint, body_bytes: int) -> float:
        price = (endpoint.estimated_load(now) + 1.0) / max(endpoint.capacity(now), 1.0)
        if endpoint.zone != self.zone:
            price *= min(CROSS_ZONE_FACTOR + body_bytes / CROSS_ZONE_BYTES, MAX_CROSS_ZONE_FACTOR)
        return price

    def _chance(self, now: float, endpoint: Endpoint, route: str, base: float, time_left: float) -> float:
        shape, mean = self._curve(now, endpoint.curves.get(route))
        excess = endpoint.estimated_load(now) + 1.0 - endpoint.capacity(now)
        if excess > 0:  # it waits for a slot first
            time_left -= excess * mean * base / max(endpoint.capacity(now), 1.0)
        if time_left <= 0:
            return 0.0
        # A server that fails at once is idle, so it is cheap, and fast: by its latency alone it would get all
        # calls.
        return (1.0 - endpoint.failure_rate(now)) * gammainc(shape, shape * time_left / (mean * base))

    def _curve(self, now: float, evidence: Evidence | None) -> tuple[float, float]:
        if evidence is None:
            return 1.0, 1.0
        ticks = int(now * SECOND)
        mean = evidence.mean(ticks, 1.0)
        if evidence.trials * evidence.fade(ticks) < SPARSE:
            return 1.0, mean
        key = round(mean * 20), round(evidence.share(ticks) * 50)
        found = self.fitted_curves.get(key)
        if found is None:
            if len(self.fitted_curves) >= MAX_CURVES:
                self.fitted_curves.clear()
            found = self.fitted_curves[key] = fit_curve(max(key[0], 1) / 20, key[1] / 50)
        return found

    def on_sent(self, endpoint: Endpoint) -> None:
        endpoint.in_flight += 1

    def on_ended(
        self,
        now: float,
        endpoint: Endpoint,
        route: str,
        latency_target: float,
        took: float,
        *,
        ok: bool,
        lost: bool,
    ) -> None:
        """An attempt has ended: `ok` with a useful answer, `lost` without one (error, reset, silence)."""
        endpoint.in_flight = max(endpoint.in_flight - 1, 0)
        latency = self.route_latency(route, latency_target)
        if ok or (lost and took <= REFERENCE * latency.mean):  # slower failures show in the latency curve
            endpoint.count_outcome(now, lost)
        if ok:
            latency.record(took)
        evidence = endpoint.curves.get(route)
        if evidence is None:
            evidence = endpoint.curves[route] = Evidence(HALF_LIFE)
        evidence.note(int(now * SECOND), took / latency.mean, ok, lost)

    def on_load_report(self, now: float, endpoint: Endpoint, running: int, queued: int) -> None:
        """Load that the sidecar beside the server has stated in a reply."""
        endpoint.reported_load, endpoint.reported_at = float(running + queued), now

    def avoid(self, now: float, endpoint: Endpoint, busy: bool, by_server: bool = False) -> None:
        """Sends it nothing for a while: it was unreachable, or `busy`.

        `by_server`: the server itself rejected the call, not the sidecar beside it.
        """
        if by_server:  # nothing else is learned of it, and a fast rejection would look like a fast server
            endpoint.count_outcome(now, True)
        endpoint.avoided_until = now + (BUSY_AVOID_S if busy else UNREACHABLE_AVOID_S)

    def hedge_delay(self, route: str, latency_target: float) -> float:
        """Seconds after which an attempt has taken longer than is usual on its route."""
        return (REFERENCE + 1.0) * self.route_latency(route, latency_target).mean


def _reaches(chosen: list[tuple[float, float, Endpoint]]) -> bool:
    miss = 1.0
    for _, chance, _ in chosen:
        miss *= 1.0 - chance
    return 1.0 - miss >= TARGET_PROBABILITY
