"""Which servers get a call: the permitted ones, their latency curves, and the cheapest set of them."""

from __future__ import annotations

import math

from minthitch import interface as api
from minthitch.decisions.cold import ColdServers
from minthitch.decisions.evidence import CLASS_HALF_LIFE, SPARSE, Evidence
from minthitch.decisions.gamma import SHAPE_MAX, fit_curve, gammainc
from minthitch.decisions.requests import Request
from minthitch.decisions.servers import Server
from minthitch.decisions.sets import cheapest_set

MAX_CURVES = 2_000  # curves cached; a day with one kind of server needs some hundreds
MAX_COPIES = 3  # servers raced for one call (docs/design)
TARGET = 0.95  # p_req: chance of an answer in the time left that a set must reach
CROSS_ZONE_FACTOR = 1.5  # multiplies the price of a server in another zone, where the settings charge for it
MAX_CANDIDATES = 50  # servers considered for one call, drawn at random: more cost time and hardly help
NODES_PER_SERVER = 20.0  # nodes that consider one server if all call at once, so that not all pick the best
Candidate = tuple[float, float, Server]  # as in sets: price, chance to answer in time, server


class Choice(ColdServers):
    """The choice of servers for one call."""

    def _sample_permitted(
        self, now: int, request: Request, pool: list[Server], pending: bool
    ) -> list[Server]:
        """Servers of `pool` that the request may be sent to next; a random sample if there are many.

        While an attempt is `pending`, servers tried before are left out; else they are the last resort.
        """
        spec, earlier, used = request.spec, request.may_have_run, [a.server for a in request.attempts]
        pool = [s for s in pool if s.may_take(spec)]
        pool = [s for s in pool if s not in used] or ([] if pending else pool)
        if earlier and spec.effect is api.Effect.KEYED:
            pool = [s for s in pool if self._same_group(spec, s, earlier.server)]
        scarce = any(now < s.connect_failed_at + self.settings.idle_close for s in self.unreachable)
        pool = [s for s in pool if self._can_connect(now, s, scarce)] or pool
        size = max(MAX_COPIES, math.ceil(NODES_PER_SERVER * len(self.servers) / self.settings.siblings))
        return self.random.sample(pool, min(len(pool), size, MAX_CANDIDATES))

    def _choose(
        self, now: int, request: Request, pool: list[Server], max_size: int, expected: float
    ) -> list[Candidate]:
        """The cheapest set of at most `max_size`; `expected`: the call's expected latency in ns."""
        spec, left = request.spec, (request.deadline - now) / expected
        candidates = [self._candidate(now, left, s) for s in pool]
        chosen = cheapest_set(candidates, TARGET, max_size)
        if len(chosen) > 1 and not request.repeat_safe:  # copies of a keyed request stay inside one group
            first = chosen[0][2]
            chosen = cheapest_set(
                [c for c in candidates if self._same_group(spec, c[2], first)], TARGET, max_size
            )
        return chosen

    def _can_connect(self, now: int, server: Server, scarce: bool) -> bool:
        """Whether an idle connection is open, or a new one is likely to succeed.

        Avoids dead servers, and servers with a full connection table, which refuse the more the more is
        tried. `scarce`: a listed server refused lately. A failure at servers that have left the list says
        nothing about those that start in their place, which have no open connection yet.
        """
        if server.in_flight < server.connections and now < server.answered_at + self.settings.idle_close:
            return True
        fresh = not scarce or server.connect_failed_at or server.warmth(now, self.settings) < 1.0
        return bool(fresh) and now >= server.connect_after

    def _candidate(self, now: int, left: float, server: Server) -> Candidate:
        """The server's price and its chance to answer within `left` times the expected latency.

        The outcomes of its kind serve as the prior, with PRIOR_WEIGHT, as each node has few of its own.
        """
        kind, own = self.kinds.setdefault(server.entry.kind, Evidence(CLASS_HALF_LIFE)), server.evidence
        # Attempts in flight add their age, so that a silent server is noticed though no attempt has ended.
        waiting = max(0.0, now * server.inverse_base_sum - server.scaled_sent_sum) / self._load(now)
        prior = kind.mean(now, 1.0)
        if server.warmth(now, self.settings) < 1.0:
            prior = min(prior, 1.0)  # or a server that just started would starve because others are slow
        mean = max(own.mean(now, prior, waiting), 1e-3)
        share, sparse = own.share(now, kind.share(now)), own.trials * own.fade(now) < SPARSE
        key = round(50 * math.log(mean)), min(round(200 * share), 199), sparse  # steps of 2% and 0.5%
        if key not in self.curves:
            if len(self.curves) >= MAX_CURVES:  # bounds memory: unusual servers add ever more curves
                self.curves.clear()
            self.curves[key] = fit_curve(math.exp(key[0] / 50), key[1] / 200, 1 if sparse else SHAPE_MAX)
        shape, mean = self.curves[key]
        crosses = self.settings.prices.cross_zone > 0 and server.entry.zone != self.settings.zone
        price = (server.in_flight + 1) * mean * (CROSS_ZONE_FACTOR if crosses else 1.0)
        return price, float(gammainc(shape, shape * left / mean)), server

    @staticmethod
    def _same_group(spec: api.RequestClass, a: Server, b: Server) -> bool:
        if spec.group is api.Group.ZONE:
            return a.entry.zone == b.entry.zone
        return spec.group is api.Group.ALL or a.entry.cell == b.entry.cell
