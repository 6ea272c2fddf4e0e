"""The state of one node's balancer, and the estimates from it that every decision uses."""

from __future__ import annotations

import math
import random

from minthitch import interface as api
from minthitch.decisions.budget import RetryBudget
from minthitch.decisions.evidence import CLASS_HALF_LIFE, HALF_LIFE, LOAD_HALF_LIFE, PRIOR_WEIGHT, Evidence
from minthitch.decisions.gamma import REFERENCE
from minthitch.decisions.requests import Request
from minthitch.decisions.servers import Server

PRIOR_MEAN = 0.2  # expected latency of a class before any outcome, as a share of its aim: leaves much slack
MAX_EXTRA_ATTEMPTS = 10.0  # saved up at most: enough for a server that dies with calls in flight
LOAD_MIN_SAMPLES = 10.0  # least answers behind the common load, up to HALF_LIFE old: many nodes get few
LOG_INTERVAL = 10 * api.SECOND  # least time between two log lines of one kind


class BalancerState:
    """The state of one node's decisions; base class of all classes that decide, Balancer last."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[int, Server] = {}  # ready servers only: those that may be sent to
        self.requests: dict[int, Request] = {}
        self.curves: dict[tuple[int, int, bool], tuple[float, float]] = {}  # cache of fitted curves
        self.kinds: dict[int, Evidence] = {}  # outcomes of all servers of one kind
        self.classes = [Evidence(CLASS_HALF_LIFE) for _ in settings.classes]  # latencies in aims
        # The common load: latencies of all calls, relative to the base latency of their class.
        self.load = Evidence(LOAD_HALF_LIFE, LOAD_MIN_SAMPLES)
        self.baseline_load, self.baseline_at = math.inf, 0  # the lowest recent load; when it was updated
        self.tenant_tokens = [(0.0, 0)] * len(settings.tenants)  # token buckets: tokens, last update
        self.total_in_flight, self.mean_in_flight = 0, 0.0  # attempts in flight; average over recent arrivals
        # Requests that wait until a server may take them, by class, in order of arrival.
        self.held: list[dict[int, Request]] = [{} for _ in settings.classes]
        self.first_warm_at: float = math.inf  # when the first listed server is warm; until then all are cold
        self.congestion = self.extra_limit = 0.0  # smoothed congestion; in-flight limit above the initial one
        self.capacity, self.capacity_lost_at = 0.0, -HALF_LIFE  # servers by warmth; when it last fell sharply
        self.arrivals, self.smoothing = 0, 1.0  # requests so far; weight of the newest one in averages
        self.slowdown = 1.0  # latency over what it should be, as of the last arrival
        self.load_now, self.load_at = 1.0, -1  # the cached common load and the time it is for
        self.warm = Evidence(HALF_LIFE)  # outcomes at warm servers
        self.cold = Evidence(LOAD_HALF_LIFE, LOAD_MIN_SAMPLES)  # outcomes at cold servers, in seconds
        self.warm_recent = Evidence(LOAD_HALF_LIFE)  # outcomes at warm servers, with a shorter memory
        self.peak_rate, self.peak_rate_at = 0.0, 0  # highest answers per ns of a warm server; when it was set
        self.flow = Evidence(LOAD_HALF_LIFE)  # answers, with the base latency of each
        self.extra_attempts = MAX_EXTRA_ATTEMPTS / 2  # copies and retries that answers have paid for
        self.budget = RetryBudget(settings)
        self.unreachable = set[Server]()  # listed servers whose last connect failed: don't rely on a new one
        self.resubscribing = False  # a timer is set that subscribes again
        self.log_after: dict[str, int] = {}  # by the start of a log line: when the next one may be written
        self.actions: list[api.Action] = []

    def _log(self, now: int, text: str) -> None:
        """Write a log line for the operators, at most one in LOG_INTERVAL of those that begin alike."""
        if now >= self.log_after.get(text[:4], 0):
            self.log_after[text[:4]] = now + LOG_INTERVAL
            self.actions.append(api.Log(text))

    def _answer_by(self, request: Request) -> int:
        """When to answer at the latest: two ticks before the deadline.

        A timer fires in the first batch at or after its time, so it may be a tick late.
        """
        return request.deadline - 2 * self.settings.tick

    def _base_latency(self, now: int, cls: int) -> float:
        """What a call of this class takes at a load of 1, in nanoseconds."""
        return max(self.classes[cls].mean(now, PRIOR_MEAN), 1e-3) * self.settings.classes[cls].aim

    def _load(self, now: int) -> float:
        """Current latency as a multiple of the base latency; attempts in flight count by their age.

        Overdue attempts are left out, or a few silent servers would look like a load on all.
        """
        if now != self.load_at:
            ages = (
                (now * s.inverse_base_sum - s.scaled_sent_sum, s.in_flight)
                for s in self.servers.values()
                if s.in_flight
            )
            waiting = sum(age for age, calls in ages if age <= REFERENCE * calls * self.load_now)
            self.load_now, self.load_at = self.load.mean(now, 1.0, waiting), now
        return self.load_now

    def _class_values(self, now: int) -> list[float]:
        """Worth of each class; per unit of server time unless the settings already count worth by work.

        A class without outcomes is taken to need what the others need on average. By its aim alone it could
        be refused for ever, as its latency would never be measured.
        """
        specs = self.settings.classes
        if self.settings.worth_by_work:
            return [spec.worth for spec in specs]
        fades = [c.fade(now) for c in self.classes]
        time = sum(c.time * f * spec.aim for c, f, spec in zip(self.classes, fades, specs, strict=True))
        prior = PRIOR_MEAN * sum(spec.aim for spec in specs) / len(specs)
        ends = sum(c.ends * f for c, f in zip(self.classes, fades, strict=True))
        average = (time + PRIOR_WEIGHT * prior) / (ends + PRIOR_WEIGHT)
        return [
            spec.worth / (max(c.mean(now, average / spec.aim), 1e-3) * spec.aim)
            for c, spec in zip(self.classes, specs, strict=True)
        ]

    def _warm_count(self, now: int) -> int:
        return sum(1 for s in self.servers.values() if s.warmth(now, self.settings) >= 1.0)
