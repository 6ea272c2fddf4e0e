"""What one node knows, and what it judges of it that all parts of the decisions need."""

from __future__ import annotations

import math
import random

from minthitch import interface as api
from minthitch.decisions.budget import RetryBudget
from minthitch.decisions.evidence import CLASS_HALF_LIFE, HALF_LIFE, LOAD_HALF_LIFE, PRIOR, Evidence
from minthitch.decisions.gamma import REFERENCE
from minthitch.decisions.requests import Request
from minthitch.decisions.servers import Server

FIRST_MEAN = 0.2  # expected time of a class before any outcome, in aims: leaves most of the aim as slack
SPARE_MOST = 10.0  # further attempts saved up at most: enough for a server that dies with calls in flight
LOAD_KEEPS = 10.0  # answers at least that the common load is judged by, up to HALF_LIFE: many nodes have few
SAY_EVERY = 10 * api.SECOND  # between two log lines that begin alike


class Known:
    """The state of one node's decisions. The parts that decide stand on it, Balancer on all of them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[int, Server] = {}  # ready ones only: what may be sent to
        self.requests: dict[int, Request] = {}
        self.curves: dict[tuple[int, int, bool], tuple[float, float]] = {}  # curves worked out before
        self.kinds: dict[int, Evidence] = {}  # all servers of one kind together
        self.classes = [Evidence(CLASS_HALF_LIFE) for _ in settings.classes]  # times in aims
        self.load = Evidence(LOAD_HALF_LIFE, LOAD_KEEPS)  # all calls, times in what their class usually takes
        self.baseline_load, self.baseline_at = math.inf, 0  # the lowest load lately, and when it was judged
        self.shares = [(0.0, 0)] * len(settings.tenants)  # requests in a tenant's share; when counted
        self.total_in_flight, self.mean_in_flight = (
            0,
            0.0,
        )  # attempts that are out; on average over the last arrivals
        # Those that wait until a server may take them, by class, as they came.
        self.held: list[dict[int, Request]] = [{} for _ in settings.classes]
        self.warm_from: float = math.inf  # when the first listed server is warm; before, all are cold
        self.congestion = self.extra_limit = (
            0.0  # how crowded it is; how many may be out beyond the first few
        )
        self.capacity, self.lost = (
            0.0,
            -HALF_LIFE,
        )  # servers by their warmth, as last counted; when it last fell
        self.arrivals, self.smoothing = 0, 1.0  # requests so far; weight of the next one in averages
        self.slowdown = 1.0  # how much longer calls take than they should, as judged at the last arrival
        self.load_now, self.load_at = 1.0, -1  # the common load and when it was worked out
        self.warm = Evidence(HALF_LIFE)  # answers of warm servers
        self.cold = Evidence(LOAD_HALF_LIFE, LOAD_KEEPS)  # answers of cold ones, times in seconds
        self.warm_lately = Evidence(LOAD_HALF_LIFE)  # the same, as they are now
        self.peak_rate, self.peak_rate_at = (
            0.0,
            0,
        )  # the most that a warm server answered in a nanosecond, and when
        self.flow = Evidence(LOAD_HALF_LIFE)  # answers, with the times that they usually take
        self.extra_attempts = SPARE_MOST / 2  # further attempts (copies and retries) that answers have earned
        self.budget = RetryBudget(settings)
        self.refusers = set[Server]()  # listed ones that refused: new connections are not to be counted on
        self.asking = False
        self.said: dict[str, int] = {}  # when such a line for the one on call may be said again
        self.actions: list[api.Action] = []

    def _say(self, now: int, text: str) -> None:
        """A line for the one on call; of those that begin alike, one in SAY_EVERY."""
        if now >= self.said.get(text[:4], 0):
            self.said[text[:4]] = now + SAY_EVERY
            self.actions.append(api.Log(text))

    def _answer_by(self, request: Request) -> int:
        """Settle two ticks ahead of the client: a timer fires in the first batch at or past its time."""
        return request.deadline - 2 * self.settings.tick

    def _base_latency(self, now: int, cls: int) -> float:
        """What a call of this class usually takes, in nanoseconds."""
        return max(self.classes[cls].mean(now, FIRST_MEAN), 1e-3) * self.settings.classes[cls].aim

    def _load(self, now: int) -> float:
        """How long calls take now, as a multiple of the usual; calls still out count by their age.

        Guards against silent servers passing for a common load: overdue calls do not count.
        """
        if now != self.load_at:
            ages = (
                (now * s.open_rate - s.open_sent, s.in_flight) for s in self.servers.values() if s.in_flight
            )
            waiting = sum(age for age, calls in ages if age <= REFERENCE * calls * self.load_now)
            self.load_now, self.load_at = self.load.mean(now, 1.0, waiting), now
        return self.load_now

    def _values(self, now: int) -> list[float]:
        """The classes' worths, by what a call takes from servers where the settings leave that out.

        Guards against a class that is refused by its aim alone, as its calls were never seen: until they are,
        they take what others do.
        """
        specs = self.settings.classes
        if self.settings.worth_by_work:
            return [spec.worth for spec in specs]
        fades = [c.fade(now) for c in self.classes]
        time = sum(c.time * f * spec.aim for c, f, spec in zip(self.classes, fades, specs, strict=True))
        first = FIRST_MEAN * sum(spec.aim for spec in specs) / len(specs)
        ends = sum(c.ends * f for c, f in zip(self.classes, fades, strict=True))
        usual = (time + PRIOR * first) / (ends + PRIOR)
        return [
            spec.worth / (max(c.mean(now, usual / spec.aim), 1e-3) * spec.aim)
            for c, spec in zip(self.classes, specs, strict=True)
        ]

    def _warm_count(self, now: int) -> int:
        return sum(1 for s in self.servers.values() if s.warmth(now, self.settings) >= 1.0)
