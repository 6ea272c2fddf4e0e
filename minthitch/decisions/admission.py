"""Whether a request is tried at all: crowding, and how many calls may be out."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.evidence import HALF_LIFE, LOAD_HALF_LIFE, PRIOR
from minthitch.decisions.known import FIRST_MEAN, Known

CROWD_LEAST = 2.0  # load over the calm load above which the least worthy call is refused,
CROWD_MOST = 3.0  # and the worthiest: by then the servers' cores are busy and more only waits
NOISE = 0.5  # spread of calls' times around their mean, in means, that is put down to chance
CALM_DOUBLES = 120 * api.SECOND  # the calm load is the lowest seen, doubled in this time: fleets change
INITIAL_LIMIT = 2.5  # calls out a server, over all nodes, that any bears: so many before answers tell more,
GROWTH = 0.25  # and further calls for each answer while queues do not build; as many fewer over CROWD_LEAST
LOSS = 0.05  # part of the servers' room whose loss at once slows growth for HALF_LIFE, and
REGROWTH = 0.1  # the part of growth that is left then: queues tell of crowding only when servers are slow
STEADY = 5.0  # window below which calls out are averaged, over STEADY / window arrivals: few swing by chance
AIM_PART = 0.8  # part of its aim that a class's calls take on average when the least worthy is refused
GROWTH_MOST = 1.5  # load over the calm one up to which queues do not build; over it fewer may be out
WAIT_PART = 0.25  # of its aim that a request may wait where all servers are cold, by what went out lately


class Admission(Known):
    """The window of calls out, and the refusal of the least worthy."""

    def _worth(self, now: int, event: api.RequestArrived) -> float:
        """A request's worth; less once its tenant has used up this node's part of the allowance."""
        worth, tenants = self.settings.classes[event.cls].worth, self.settings.tenants
        if event.tenant < len(tenants) and tenants[event.tenant].allowance > 0.0 and not event.repeat:
            rate = tenants[event.tenant].allowance / self.settings.siblings
            left, at = self.shares[event.tenant]
            left = min(left + rate * (now - at) / api.SECOND, max(rate, 1.0))
            self.shares[event.tenant] = (left - 1.0 if left >= 1.0 else left), now
            worth *= 1.0 if left >= 1.0 else self.settings.over_share_worth
        return worth

    def _admit(self, now: int, event: api.RequestArrived) -> bool:
        """Whether to try at all; only at the first tier, as further down the work above is already done.

        Guards against overload and crowding, where queues only grow and servers may turn slow and stay so.
        """
        if self.settings.tier:
            return True
        worth, load = self._worth(now, event), self._load(now)
        # This node's part of the servers, cold ones by what they can do.
        part = self._room(now) / self.settings.siblings
        self._judge_strain(now, load)
        crowd = self._judge_crowd(part)
        if now < self.warm_from:
            return self._admits_cold(now, event.cls, worth)
        works = [
            1.0 if self.settings.worth_by_work else self._base_latency(now, i)
            for i in range(len(self.classes))
        ]
        most = max(spec.worth / work for spec, work in zip(self.settings.classes, works, strict=True))
        limit = CROWD_LEAST + (CROWD_MOST - CROWD_LEAST) * worth / works[event.cls] / most
        # Guards against refusing for ever: with fewer calls out than servers the load is not ours.
        if refused := self.mean_in_flight >= part and self.random.random() >= 1.0 + limit - crowd:
            self._say(
                now,
                f"refusing: load {load / self.baseline_load:.1f} times the calm one, "
                f"{self.total_in_flight} calls out",
            )
        return not refused

    def _judge_strain(self, now: int, load: float) -> None:
        """How much longer calls take than they should, against the calm load and against their aims."""
        # Guards against taking chance for calm or crowding: a mean of few answers strays by so much.
        few = NOISE / math.sqrt(max(self.load.ends * self.load.fade(now), 1e-9))
        self.baseline_load = min(
            load * (1.0 + few), self.baseline_load * (1.0 + (now - self.baseline_at) / CALM_DOUBLES)
        )
        # Guards against a calm load that was never seen: calls near their aims are too slow in any case.
        # All classes together: the worst of several means of few is far off by chance.
        seen = [c.trials * c.fade(now) + PRIOR for c in self.classes]
        near = sum(c.mean(now, FIRST_MEAN) * n for c, n in zip(self.classes, seen, strict=True)) / sum(seen)
        slow, self.baseline_at = CROWD_LEAST * load * near / AIM_PART / (1.0 + few), now
        self.slowdown = max(load / self.baseline_load / (1.0 + few), slow)

    def _judge_crowd(self, part: float) -> float:
        """How crowded it is, by the strain and by the calls out beside those that may be."""
        # Guards against crowding servers before answers tell; of many nodes each holds its part on average.
        window, self.arrivals = INITIAL_LIMIT * part + self.extra_limit, self.arrivals + 1
        self.smoothing = min(1.0, max(window / STEADY, 1.0 / self.arrivals))
        self.mean_in_flight += (self.total_in_flight - self.mean_in_flight) * self.smoothing
        crowd = max(CROWD_LEAST * (self.mean_in_flight / window) ** 2, self.slowdown)
        self.congestion += (min(crowd, CROWD_MOST + 1.0) - self.congestion) * self.smoothing
        return self.congestion

    def _admits_cold(self, now: int, cls: int, worth: float) -> bool:
        """Whether a fleet that is cold as a whole can take a request of this worth in time for its aim.

        Credit holds what cold servers bear, and the worthiest held goes first: so a request waits for those
        that are worth as much, at the rate of what is answered. Guards against holding what is given up in
        the end, and against all that was held going out in one instant once the servers are warm.
        """
        values = self._values(now)
        value = values[cls] * worth / self.settings.classes[cls].worth if worth else 0.0
        ahead = sum(len(held) for held, each in zip(self.held, values, strict=True) if each >= value)
        rate = self.flow.ends * self.flow.fade(now) * math.log(2) / LOAD_HALF_LIFE
        first = INITIAL_LIMIT * max(len(self.servers), 1) / self.settings.siblings
        if refused := ahead >= max(first, WAIT_PART * self.settings.classes[cls].aim * rate):
            self._say(
                now, f"refusing: no server is warm, {ahead} requests wait, {self.total_in_flight} calls out"
            )
        return not refused

    def _room(self, now: int) -> float:
        """The servers, cold ones by what they can do; what may be out beyond the first calls goes with it.

        Guards against calls that were borne by servers which are gone or cold now: they crowd the others,
        which turn slow for long. Growing again as fast as ever would make up for the loss in a second or two.
        """
        seen = [s for s in self.servers.values() if s not in self.refusers and now < s.used + LOAD_HALF_LIFE]
        rest = [s for s in self.servers.values() if s not in self.refusers and now >= s.used + LOAD_HALF_LIFE]
        # Of those not heard of lately as many may refuse as of the others.
        part = (len(seen) + PRIOR) / (len(seen) + len(self.refusers) + PRIOR)
        room = sum(s.warmth(now, self.settings) for s in seen)
        room = max(room + part * sum(s.warmth(now, self.settings) for s in rest), 1.0)
        if room < (1.0 - LOSS) * self.capacity:
            self.lost = now
        self.extra_limit *= room / self.capacity if self.capacity else 1.0
        self.capacity = room
        return room

    def _growth(self, now: int) -> float:
        return GROWTH * self.smoothing * (REGROWTH if now < self.lost + HALF_LIFE else 1.0)
