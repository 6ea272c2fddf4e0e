"""Admission control: the adaptive limit on calls in flight, and which requests are refused."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.evidence import HALF_LIFE, LOAD_HALF_LIFE, PRIOR_WEIGHT
from minthitch.decisions.state import PRIOR_MEAN, BalancerState

CONGESTION_LOW = 2.0  # load over the baseline load above which the class worth least is refused,
CONGESTION_HIGH = 3.0  # and the one worth most: by then the servers' cores are busy, and more calls only wait
LATENCY_SPREAD = 0.5  # spread of latencies around their mean, in means, that is taken for chance
BASELINE_DOUBLES = 120 * api.SECOND  # the baseline is the lowest load seen, doubled over this: fleets change
INITIAL_LIMIT = 2.5  # calls in flight per server, over all nodes: any server bears so many
LIMIT_STEP = 0.25  # the limit grows by this per answer while no queue builds, and shrinks by it in congestion
CAPACITY_LOSS = 0.05  # a loss of this share of the servers' capacity at once slows growth for HALF_LIFE,
GROWTH_AFTER_LOSS = 0.1  # to this share: queues show congestion only once servers are slow
SMOOTHING_LIMIT = 5.0  # limit below which averages span SMOOTHING_LIMIT / limit arrivals: few vary by chance
AIM_SHARE = 0.8  # mean latency of all classes, in aims, at which the class worth least is refused
QUEUEING_SLOWDOWN = 1.5  # slowdown up to which no queue builds; above it the limit shrinks
HELD_AIM_SHARE = 0.25  # share of its aim that a request may wait for a cold fleet, by recent answers


class Admission(BalancerState):
    """The limit on calls in flight, and the refusal of the requests worth least."""

    def _worth(self, now: int, event: api.RequestArrived) -> float:
        """A request's worth; less once its tenant has used up this node's part of its allowance.

        A token bucket per tenant holds up to one second of the allowance. Repeats take no token.
        """
        worth, tenants = self.settings.classes[event.cls].worth, self.settings.tenants
        if event.tenant < len(tenants) and tenants[event.tenant].allowance > 0.0 and not event.repeat:
            rate = tenants[event.tenant].allowance / self.settings.siblings
            left, at = self.tenant_tokens[event.tenant]
            left = min(left + rate * (now - at) / api.SECOND, max(rate, 1.0))
            self.tenant_tokens[event.tenant] = (left - 1.0 if left >= 1.0 else left), now
            worth *= 1.0 if left >= 1.0 else self.settings.over_share_worth
        return worth

    def _admit(self, now: int, event: api.RequestArrived) -> bool:
        """Whether to try the request at all. Only the first tier refuses: below it, work is already done.

        In overload queues would only grow, and servers may turn slow and stay so.
        """
        if self.settings.tier:
            return True
        worth, load = self._worth(now, event), self._load(now)
        # This node's part of the servers, cold ones counted by their warmth.
        part = self._update_capacity(now) / self.settings.siblings
        self._update_slowdown(now, load)
        congestion = self._update_congestion(part)
        if now < self.first_warm_at:
            return self._admits_cold(now, event.cls, worth)
        works = [
            1.0 if self.settings.worth_by_work else self._base_latency(now, i)
            for i in range(len(self.classes))
        ]
        highest = max(spec.worth / work for spec, work in zip(self.settings.classes, works, strict=True))
        limit = CONGESTION_LOW + (CONGESTION_HIGH - CONGESTION_LOW) * worth / works[event.cls] / highest
        # With fewer calls in flight than servers the load is not this node's: it might refuse for ever.
        if refused := self.mean_in_flight >= part and self.random.random() >= 1.0 + limit - congestion:
            self._log(
                now,
                f"refusing: load {load / self.baseline_load:.1f} times the calm one, "
                f"{self.total_in_flight} calls out",
            )
        return not refused

    def _update_slowdown(self, now: int, load: float) -> None:
        """How much longer calls take than they should, by the baseline load and by their aims."""
        # Chance must look neither like low load nor like congestion: a mean of few answers varies this much.
        error = LATENCY_SPREAD / math.sqrt(max(self.load.ends * self.load.fade(now), 1e-9))
        self.baseline_load = min(
            load * (1.0 + error), self.baseline_load * (1.0 + (now - self.baseline_at) / BASELINE_DOUBLES)
        )
        # A low load may never have been seen: latencies near the aims are too high in any case. All classes
        # together: the highest of several means of few answers is far off by chance.
        seen = [c.trials * c.fade(now) + PRIOR_WEIGHT for c in self.classes]
        near = sum(c.mean(now, PRIOR_MEAN) * n for c, n in zip(self.classes, seen, strict=True)) / sum(seen)
        by_aims, self.baseline_at = CONGESTION_LOW * load * near / AIM_SHARE / (1.0 + error), now
        self.slowdown = max(load / self.baseline_load / (1.0 + error), by_aims)

    def _update_congestion(self, part: float) -> float:
        """Congestion by the slowdown and by the calls in flight over their limit, smoothed."""
        # The limit holds before any answer tells; of many nodes each has its part in flight on average only.
        limit, self.arrivals = INITIAL_LIMIT * part + self.extra_limit, self.arrivals + 1
        self.smoothing = min(1.0, max(limit / SMOOTHING_LIMIT, 1.0 / self.arrivals))
        self.mean_in_flight += (self.total_in_flight - self.mean_in_flight) * self.smoothing
        congestion = max(CONGESTION_LOW * (self.mean_in_flight / limit) ** 2, self.slowdown)
        self.congestion += (min(congestion, CONGESTION_HIGH + 1.0) - self.congestion) * self.smoothing
        return self.congestion

    def _admits_cold(self, now: int, cls: int, worth: float) -> bool:
        """Whether a fleet that is cold as a whole can answer a request of this worth within its aim.

        Credit limits what cold servers get, and held requests worth most go first. So a request waits for the
        held ones worth as much or more, at the rate of recent answers. Without this, requests would be held
        only to be given up in the end, and all that are held would go out at once when the servers are warm.
        """
        values = self._class_values(now)
        value = values[cls] * worth / self.settings.classes[cls].worth if worth else 0.0
        ahead = sum(len(held) for held, each in zip(self.held, values, strict=True) if each >= value)
        rate = self.flow.ends * self.flow.fade(now) * math.log(2) / LOAD_HALF_LIFE
        first = INITIAL_LIMIT * max(len(self.servers), 1) / self.settings.siblings
        if refused := ahead >= max(first, HELD_AIM_SHARE * self.settings.classes[cls].aim * rate):
            self._log(
                now,
                f"refusing: no server is warm, {ahead} requests wait, {self.total_in_flight} calls out",
            )
        return not refused

    def _update_capacity(self, now: int) -> float:
        """The number of servers, cold ones counted by their warmth; scales the extra limit with it.

        With an unchanged limit the calls of servers that are now gone or cold would congest the others, which
        then stay slow for long. At its usual growth the limit would be back within a second or two.
        """
        seen = [
            s
            for s in self.servers.values()
            if s not in self.unreachable and now < s.answered_at + LOAD_HALF_LIFE
        ]
        rest = [
            s
            for s in self.servers.values()
            if s not in self.unreachable and now >= s.answered_at + LOAD_HALF_LIFE
        ]
        # Of the servers without a recent answer the same share is taken to be unreachable as of the others.
        part = (len(seen) + PRIOR_WEIGHT) / (len(seen) + len(self.unreachable) + PRIOR_WEIGHT)
        capacity = sum(s.warmth(now, self.settings) for s in seen)
        capacity = max(capacity + part * sum(s.warmth(now, self.settings) for s in rest), 1.0)
        if capacity < (1.0 - CAPACITY_LOSS) * self.capacity:
            self.capacity_lost_at = now
        self.extra_limit *= capacity / self.capacity if self.capacity else 1.0
        self.capacity = capacity
        return capacity

    def _limit_growth(self, now: int) -> float:
        """The step by which the extra limit grows with one answer."""
        return (
            LIMIT_STEP
            * self.smoothing
            * (GROWTH_AFTER_LOSS if now < self.capacity_lost_at + HALF_LIFE else 1.0)
        )
